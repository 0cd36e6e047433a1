"""Reads and conditionally writes the fleet configuration and its history on the platform."""

import contextlib
import dataclasses
import typing
import uuid

import anyio

from dogwoodgap import clock, exceptions, models, objectstore, revisions

HISTORY_LIMIT = 500
"""About a day of history; the target size is 440 changes a day."""

UPDATE_TIMEOUT_S = 10.0
RETRY_DELAY_S = 0.2
ARCHIVE_ATTEMPTS = 10
TRIM_BATCH_SIZE = 8
MAX_CONFLICT_PATHS = 5

EMPTY_REVISION = revisions.Revision(
    0, "", "", 0.0, "", revisions.encode_document(models.FleetConfiguration(), 0)
)
"""Generation 0, in force while the platform stores no configuration."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRevision:
    """The current revision, its encoded form and the platform's version of the object."""

    revision: revisions.Revision
    version: int
    data: bytes


class RevisionStore:
    """Reads and writes configuration revisions.

    Each update first copies the revision that it replaces into the history. The nonce of every
    past generation can therefore be read, and a writer whose reply was lost can tell whether its
    own write succeeded, even if others have written since.

    Parameters
    ----------
    store : objectstore.ObjectStore
        Object store of the platform.
    bucket : objectstore.RateBucket, optional
        This node's share of the platform's write rate.
    """

    def __init__(
        self, store: objectstore.ObjectStore, bucket: objectstore.RateBucket | None = None
    ):
        self.store = store
        self.bucket = bucket

    async def read(self) -> StoredRevision:
        """Return the current revision; a missing object is generation 0."""
        try:
            stored = await self.store.get(revisions.CURRENT_KEY)
        except exceptions.ObjectMissingError:
            return StoredRevision(EMPTY_REVISION, objectstore.ABSENT, b"")
        return StoredRevision(revisions.decode(stored.data), stored.version, stored.data)

    async def get(self, generation: int) -> revisions.Revision:
        """Return a revision, current or past.

        Raises
        ------
        NotFoundError
            If the generation is neither current nor in the history.
        """
        current = await self.read()
        if current.revision.generation == generation:
            return current.revision
        try:
            stored = await self.store.get(revisions.history_key(generation))
        except exceptions.ObjectMissingError as error:
            raise exceptions.NotFoundError(
                f"generation {generation} is not in the history, which keeps the last "
                f"{HISTORY_LIMIT} generations"
            ) from error
        return revisions.decode(stored.data)

    async def history(self, limit: int) -> list[revisions.Revision]:
        """Return the newest revisions, the current one first."""
        history = [(await self.read()).revision]
        keys = await objectstore.list_all(self.store, revisions.HISTORY_PREFIX)
        for info in reversed(keys):
            if len(history) >= limit:
                break
            if int(info.key.rpartition("/")[2]) < history[0].generation:
                history.append(revisions.decode((await self.store.get(info.key)).data))
        return history[:limit]

    async def update(
        self,
        document: models.FleetConfiguration | dict[str, typing.Any],
        expected_generation: int,
        author: str,
        note: str = "",
    ) -> tuple[revisions.Revision, bytes]:
        """Write the next generation; return the revision and its encoded form.

        Raises
        ------
        SettingsInvalidError
            If the document is invalid; nothing was written.
        ConfigurationConflictError
            If another generation is current; holds what changed since the expected one.
        StoreUnavailableError
            If the platform did not confirm the write. ``not_run`` is "true" if the write was
            never sent, and "unknown" if it may have succeeded.
        """
        if not isinstance(document, models.FleetConfiguration):
            document = revisions.validate(document)
        deadline = clock.now() + UPDATE_TIMEOUT_S
        current = await self.archive_base(expected_generation)
        revision = revisions.Revision(
            generation=expected_generation + 1,
            nonce=uuid.uuid4().hex,
            author=author,
            at=clock.wall_time(),
            note=note,
            document=revisions.encode_document(document, expected_generation + 1),
        )
        data = revisions.encode(revision)
        await self.write(revision, data, current.version, deadline)
        with contextlib.suppress(exceptions.StoreError):
            await self.trim(revision.generation)
        return revision, data

    async def archive_base(self, expected_generation: int) -> StoredRevision:
        """Check that the expected generation is current and copy it into the history."""
        try:
            current = await self.read()
            if current.revision.generation != expected_generation:
                raise await self.conflict_error(expected_generation, current.revision)
            if current.version != objectstore.ABSENT:
                await self.archive(current)
        except exceptions.StoreUnavailableError as error:
            error.not_run = "true"
            raise
        return current

    async def archive(self, current: StoredRevision) -> None:
        """Copy the current revision into the history; retries while the platform is unavailable."""
        key = revisions.history_key(current.revision.generation)
        for _ in range(ARCHIVE_ATTEMPTS - 1):
            with contextlib.suppress(exceptions.StoreUnavailableError):
                return await self.archive_once(key, current.data)
            await anyio.sleep(RETRY_DELAY_S)
        return await self.archive_once(key, current.data)

    async def archive_once(self, key: str, data: bytes) -> None:
        """Create a history object unless it exists; an existing one has the same content."""
        with contextlib.suppress(exceptions.VersionConflictError):
            await self.put(key, data, objectstore.ABSENT)

    async def put(self, key: str, data: bytes, expected: int) -> None:
        """Write an object within this node's share of the write rate."""
        if self.bucket is not None:
            await self.bucket.take()
        await self.store.put(key, data, expected=expected)

    async def write(
        self, revision: revisions.Revision, data: bytes, version: int, deadline: float
    ) -> None:
        """Write the current object, with retries until it is known who wrote this generation.

        The write is conditional on the version of the base, so a retry cannot take effect twice.
        """
        while True:
            with contextlib.suppress(
                exceptions.VersionConflictError, exceptions.StoreUnavailableError
            ):
                await self.put(revisions.CURRENT_KEY, data, version)
                return
            with contextlib.suppress(exceptions.StoreError):
                written = await self.find_revision(revision.generation)
                if written is not None and written.nonce == revision.nonce:
                    return
                if written is not None:
                    current = (await self.read()).revision
                    raise await self.conflict_error(revision.generation - 1, current)
            if clock.now() >= deadline:
                raise exceptions.StoreUnavailableError(
                    f"the platform did not confirm generation {revision.generation} in "
                    f"{UPDATE_TIMEOUT_S} s; it was written if its nonce is {revision.nonce}",
                    not_run="unknown",
                )
            await anyio.sleep(RETRY_DELAY_S)

    async def find_revision(self, generation: int) -> revisions.Revision | None:
        """Return the stored revision of a generation, or None if it has not been written yet."""
        current = (await self.read()).revision
        if current.generation < generation:
            return None
        if current.generation == generation:
            return current
        stored = await self.store.get(revisions.history_key(generation))
        return revisions.decode(stored.data)

    async def conflict_error(
        self, expected_generation: int, current: revisions.Revision
    ) -> exceptions.ConfigurationConflictError:
        """Return the error for an outdated base, with what changed since that base."""
        changes: list[revisions.PathChange] = []
        with contextlib.suppress(exceptions.NotFoundError, exceptions.SettingsInvalidError):
            base = (
                EMPTY_REVISION if expected_generation == 0 else await self.get(expected_generation)
            )
            changes = revisions.diff(
                revisions.configuration_of(base), revisions.configuration_of(current)
            )
        paths = ", ".join(change.path for change in changes[:MAX_CONFLICT_PATHS]) or "unknown paths"
        more = (
            f" and {len(changes) - MAX_CONFLICT_PATHS} more"
            if len(changes) > MAX_CONFLICT_PATHS
            else ""
        )
        return exceptions.ConfigurationConflictError(
            f"generation {current.generation} by {current.author or 'unknown'} is current, not "
            f"{expected_generation}; it changed {paths}{more}; apply your change to it and retry",
            generation=current.generation,
            changes=changes,
        )

    async def trim(self, generation: int) -> None:
        """Delete up to ``TRIM_BATCH_SIZE`` of the oldest history objects beyond the limit."""
        page = await self.store.list_page(revisions.HISTORY_PREFIX, limit=TRIM_BATCH_SIZE)
        for info in page.objects:
            if int(info.key.rpartition("/")[2]) <= generation - HISTORY_LIMIT:
                await self.store.delete(info.key)
