"""Configuration changes by operators: authorized, conditional on a generation, and audited."""

import collections.abc
import dataclasses
import re

import pydantic

from dogwoodgap import (
    admin_parts,
    differences,
    events,
    exceptions,
    keys,
    metrics,
    models,
    roles,
    validation,
)

NOTE_CHANGE_ID_PATTERN = re.compile(r"^change=([A-Za-z0-9-]{1,64})(?: |$)")

Edit = collections.abc.Callable[[models.FleetConfiguration], models.FleetConfiguration]


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Author, expected generation and options of a requested configuration change.

    Attributes
    ----------
    expected_generation : int
        The generation that the operator has read; the change is refused if another one is
        current.
    id : str
        Chosen by the operator's tool and stored in the history, where the tool finds it after a
        lost reply.
    """

    identity: keys.Identity
    expected_generation: int
    id: str = ""
    comment: str = ""
    dry_run: bool = False


@dataclasses.dataclass
class ConfigurationUpdater:
    """Authorizes changes to the fleet configuration, applies them and logs them."""

    configuration: admin_parts.Configuration
    bootstrap_digest: str = ""

    async def commit(self, change: Change, edit: Edit) -> admin_parts.ChangeResult:
        """Apply an edit to the expected generation; nothing is stored if it changes nothing.

        Raises
        ------
        ConfigurationConflictError
            If another generation is current; the detail lists what changed.
        ForbiddenError
            If the key may not make one of the changes; nothing is stored.
        ConflictError
            If the change would leave no way to administer the fleet; nothing is stored.
        SettingsInvalidError
            If the result is invalid; nothing is stored.
        """
        base = await self.base_configuration(change)
        after = edit(base)
        changes = roles.check_changes(change.identity, base, after)
        if change.dry_run or not changes:
            return admin_parts.ChangeResult(base.generation, False, changes)
        self.check_administrator_remains(base, after)
        note = history_note(change, changes)
        try:
            applied = await self.configuration.update(
                after, change.expected_generation, change.identity.name, note
            )
        except exceptions.ConfigurationConflictError as error:
            raise await self.conflict_error(change) from error
        metrics.count("admin.changes")
        events.emit(
            events.Event.CONFIGURATION_CHANGED,
            "configuration changed",
            author=change.identity.name,
            generation=applied.generation,
            change=change.id,
            differences=[str(difference) for difference in changes],
        )
        return admin_parts.ChangeResult(applied.generation, True, changes)

    async def base_configuration(self, change: Change) -> models.FleetConfiguration:
        """Return the expected generation, read from the history if this node is behind it."""
        current = self.configuration.current
        if change.expected_generation == current.generation:
            return current
        if change.expected_generation < current.generation:
            raise await self.conflict_error(change)
        return await self.configuration.get(change.expected_generation)

    async def conflict_error(self, change: Change) -> exceptions.ConfigurationConflictError:
        """Return the error for an outdated generation, with the changes that the key may see."""
        current = self.configuration.current
        try:
            if current.generation <= change.expected_generation:
                current = await self.configuration.get(change.expected_generation + 1)
            expected = await self.configuration.get(change.expected_generation)
            changes = differences.between(
                roles.visible_configuration(change.identity, expected),
                roles.visible_configuration(change.identity, current),
            )
            summary = differences.summary(changes)
        except (exceptions.NotFoundError, exceptions.StoreError) as error:
            summary = f"not available ({error.detail})"
        return exceptions.ConfigurationConflictError(
            f"the configuration is at generation {current.generation}, not "
            f"{change.expected_generation}; changed since: {summary}; read it again and repeat "
            f"the change"
        )

    def check_administrator_remains(
        self, before: models.FleetConfiguration, after: models.FleetConfiguration
    ) -> None:
        """Refuse a change that leaves no unlimited administrator key and no bootstrap key."""
        if self.bootstrap_digest or roles.lacks_administrator(before):
            return
        if roles.lacks_administrator(after):
            raise exceptions.ConflictError(
                "this removes the last unlimited administrator key, and the settings have no "
                "admin.bootstrap_key_digest; create another administrator key first"
            )

    async def replace(
        self, change: Change, document: models.FleetConfiguration
    ) -> admin_parts.ChangeResult:
        """Replace the part of the configuration that the key may see with a document."""
        return await self.commit(
            change, lambda base: revalidate(roles.merge_hidden(change.identity, base, document))
        )

    async def rollback(self, change: Change, generation: int) -> admin_parts.ChangeResult:
        """Write the content of an older generation as a new generation.

        Keys are left unchanged, since a rollback must not make a revoked key valid again.
        """
        target = await self.configuration.get(generation)

        def edit(base: models.FleetConfiguration) -> models.FleetConfiguration:
            document = roles.visible_configuration(change.identity, target)
            document = document.model_copy(
                update={"keys": roles.visible_configuration(change.identity, base).keys}
            )
            return revalidate(roles.merge_hidden(change.identity, base, document))

        comment = f"rollback to generation {generation} {change.comment}".strip()
        return await self.commit(dataclasses.replace(change, comment=comment), edit)


def revalidate(document: models.FleetConfiguration) -> models.FleetConfiguration:
    """Validate a configuration that was merged from several documents.

    Raises
    ------
    SettingsInvalidError
        If the document is invalid; the detail has the path, reason and value of each error.
    """
    return parse_document(document.model_dump(mode="json"))


def parse_document(document: object) -> models.FleetConfiguration:
    """Validate a decoded JSON document as a fleet configuration.

    Raises
    ------
    SettingsInvalidError
        If the document is invalid; the detail has the path, reason and value of each error.
    """
    try:
        return models.FleetConfiguration.model_validate(document)
    except pydantic.ValidationError as error:
        raise exceptions.SettingsInvalidError(
            f"correct {validation.format_errors(error)}"
        ) from error


def parse_resource(
    model: type[validation.ModelT], path: str, body: object, fixed: dict[str, str]
) -> validation.ModelT:
    """Validate a decoded JSON document as one resource; ``fixed`` holds fields from the URL.

    Raises
    ------
    SettingsInvalidError
        If the document is invalid; the detail has the path, reason and value of each error.
    """
    try:
        return model.model_validate(body | fixed if isinstance(body, dict) else body)
    except pydantic.ValidationError as error:
        raise exceptions.SettingsInvalidError(
            f"{path}: correct {validation.format_errors(error)}"
        ) from error


def history_note(change: Change, changes: list[differences.Difference]) -> str:
    """Return the note of the history entry: change id, comment and differences."""
    parts = [f"change={change.id}"] if change.id else []
    if change.comment:
        parts.append(f"{change.comment}:")
    return " ".join([*parts, differences.summary(changes)])


def parse_change_id(note: str) -> str:
    """Return the change id at the start of a history note, or an empty string."""
    match = NOTE_CHANGE_ID_PATTERN.match(note)
    return match.group(1) if match else ""
