"""Configuration changes by operators: checked, conditional on a generation, and audited."""

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
)

NOTE_CHANGE_ID_PATTERN = re.compile(r"^change=([A-Za-z0-9-]{1,64})(?: |$)")

Edit = collections.abc.Callable[[models.FleetConfiguration], models.FleetConfiguration]


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Who asks for a change, on which base and why.

    Attributes
    ----------
    expected_generation : int
        The generation that the operator saw; a race with another operator is refused.
    id : str
        Chosen by the operator's tool; written to the history so that the tool can settle a lost
        reply.
    """

    identity: keys.Identity
    expected_generation: int
    id: str = ""
    comment: str = ""
    dry_run: bool = False


@dataclasses.dataclass
class ConfigurationUpdater:
    """Applies changes to the fleet configuration."""

    configuration: admin_parts.Configuration
    bootstrap_digest: str = ""

    async def commit(self, change: Change, edit: Edit) -> admin_parts.ChangeResult:
        """Apply an edit to the expected generation.

        Raises
        ------
        ConfigurationConflictError
            When another change came first; the detail shows it.
        ForbiddenError
            When the key may not make one of the changes; nothing is changed.
        SettingsInvalidError
            When the result is invalid; nothing is changed.
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
            differences=[str(item) for item in changes],
        )
        return admin_parts.ChangeResult(applied.generation, True, changes)

    async def base_configuration(self, change: Change) -> models.FleetConfiguration:
        """Return the expected generation; this node may not have heard of the latest one yet."""
        current = self.configuration.current
        if change.expected_generation == current.generation:
            return current
        if change.expected_generation < current.generation:
            raise await self.conflict_error(change)
        return await self.configuration.get(change.expected_generation)

    async def conflict_error(self, change: Change) -> exceptions.ConfigurationConflictError:
        """Return the error of a lost race, with what the key may see of the other change."""
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
            f"{change.expected_generation}; changed meanwhile: {summary}; get it again and repeat the "
            f"change"
        )

    def check_administrator_remains(
        self, before: models.FleetConfiguration, after: models.FleetConfiguration
    ) -> None:
        """Refuse a change that leaves no way to administer the fleet."""
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
        """Replace all that the key sees by a document."""
        return await self.commit(
            change, lambda base: revalidate(roles.merge_hidden(change.identity, base, document))
        )

    async def rollback(self, change: Change, generation: int) -> admin_parts.ChangeResult:
        """Make the content of an older generation the newest one.

        Keys stay as they are, since a rollback must not bring a revoked key back.
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
    """Validate a configuration that was put together from parts.

    Raises
    ------
    SettingsInvalidError
        With the path, the value and the reason of each fault.
    """
    return parse_document(document.model_dump(mode="json"))


def parse_document(document: object) -> models.FleetConfiguration:
    """Return the configuration that a decoded document describes.

    Raises
    ------
    SettingsInvalidError
        With the path, the value and the reason of each fault.
    """
    try:
        return models.FleetConfiguration.model_validate(document)
    except pydantic.ValidationError as error:
        raise exceptions.SettingsInvalidError(f"correct {models.format_errors(error)}") from error


def parse_resource(
    model: type[models.ModelT], path: str, body: object, fixed: dict[str, str]
) -> models.ModelT:
    """Return one resource of a decoded document, with the fields that the URL fixes.

    Raises
    ------
    SettingsInvalidError
        With the path, the value and the reason of each fault.
    """
    try:
        return model.model_validate(body | fixed if isinstance(body, dict) else body)
    except pydantic.ValidationError as error:
        raise exceptions.SettingsInvalidError(
            f"{path}: correct {models.format_errors(error)}"
        ) from error


def history_note(change: Change, changes: list[differences.Difference]) -> str:
    """Return the note of the history entry."""
    parts = [f"change={change.id}"] if change.id else []
    if change.comment:
        parts.append(f"{change.comment}:")
    return " ".join([*parts, differences.summary(changes)])


def parse_change_id(note: str) -> str:
    """Return the id of the change that a note names, or an empty string."""
    match = NOTE_CHANGE_ID_PATTERN.match(note)
    return match.group(1) if match else ""
