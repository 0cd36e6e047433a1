"""Assignment of shards, and of their programs and idempotency keys, to nodes.

The assignment is one platform object. Every change is a conditional update of the whole
document, so two nodes can never both acquire the same shard.
"""

import collections.abc
import dataclasses
import itertools
import logging
import uuid

import anyio
import msgspec

from dogwoodgap import clock, events, exceptions, hashing, objectstore

SHARD_COUNT = 1024
ASSIGNMENT_KEY = "shards/assignment"
WATCH_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.5
RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0


def shard_of(text: str) -> int:
    """Return the shard to which a name is hashed."""
    return hashing.stable_hash(text) % SHARD_COUNT


def root_of(program: str) -> str:
    """Return the id of a program's root; child ids extend it with ``.``."""
    return program.partition(".")[0]


def program_shard(customer: str, program: str) -> int:
    """Return the shard of a program; child programs are in the shard of their root."""
    return shard_of(f"{customer}/{root_of(program)}")


def key_shard(customer: str, key: str) -> int:
    """Return the shard of an idempotency key."""
    return shard_of(f"{customer}/key/{key}")


class Owner(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A node and its boot, which identifies one run of it."""

    node: str
    boot: str

    def __str__(self) -> str:
        """Return ``node/boot``."""
        return f"{self.node}/{self.boot}"


class Source(msgspec.Struct, frozen=True, array_like=True):
    """A stored object from which a new owner has to load a shard's state.

    Attributes
    ----------
    kind : str
        ``"journal"`` or ``"handoff"``.
    name : str
        ``node/boot`` of a journal; ``shard/version.suffix`` of a hand-over, with a random suffix.
    generation : int
        For a journal, the generation of the shard under that owner. The journal may also contain
        an earlier ownership of the same shard, which must not be read.
    """

    kind: str
    name: str
    generation: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ShardEntry:
    """Ownership of one shard.

    Attributes
    ----------
    generation : int
        Version of the assignment in which this owner acquired the shard.
    sources : tuple of Source
        What the owner still has to load; the newest comes last.
    """

    owner: Owner | None = None
    generation: int = 0
    sources: tuple[Source, ...] = ()


UNASSIGNED = ShardEntry()


class ShardRun(msgspec.Struct, array_like=True):
    """Run-length encoding of consecutive shards with the same entry.

    ``owner`` and ``sources`` are indexes into the lists of :class:`Document`; an owner of -1
    means that the shards have none.
    """

    count: int
    owner: int
    generation: int
    sources: int


class Document(msgspec.Struct, array_like=True):
    """Stored form of the assignment."""

    version: int
    nonce: str
    owners: list[Owner]
    sources: list[tuple[Source, ...]]
    runs: list[ShardRun]


@dataclasses.dataclass(slots=True)
class Assignment:
    """The owners of all shards at one version.

    Attributes
    ----------
    nonce : str
        Identifies one write attempt. After a lost reply, reading it back shows whether the write
        took effect.
    """

    version: int = 0
    nonce: str = ""
    shards: list[ShardEntry] = dataclasses.field(default_factory=lambda: [UNASSIGNED] * SHARD_COUNT)

    def owner(self, shard: int) -> Owner | None:
        """Return the owner of a shard, or None when there is none yet."""
        return self.shards[shard].owner

    def owned_by(self, owner: Owner) -> list[int]:
        """Return the shards that a boot owns."""
        return [shard for shard, entry in enumerate(self.shards) if entry.owner == owner]

    def owners(self) -> set[Owner]:
        """Return all owners of at least one shard."""
        return {entry.owner for entry in self.shards if entry.owner is not None}

    def sources(self) -> set[Source]:
        """Return all sources that some owner still has to load."""
        return {source for entry in self.shards for source in entry.sources}

    def assign(self, shard: int, owner: Owner, sources: tuple[Source, ...] = ()) -> None:
        """Assign a shard to ``owner`` as of the next version."""
        self.shards[shard] = ShardEntry(owner, self.version + 1, sources)


def encode(assignment: Assignment) -> bytes:
    """Return the stored form, with run-length encoding and each name stored once."""
    owners = sorted(assignment.owners())
    sources = list(dict.fromkeys(entry.sources for entry in assignment.shards))
    owner_indexes: dict[Owner | None, int] = {owner: index for index, owner in enumerate(owners)}
    owner_indexes[None] = -1
    source_indexes = {entry_sources: index for index, entry_sources in enumerate(sources)}
    runs = [
        ShardRun(
            len(list(group)),
            owner_indexes[entry.owner],
            entry.generation,
            source_indexes[entry.sources],
        )
        for entry, group in itertools.groupby(assignment.shards)
    ]
    document = Document(assignment.version, assignment.nonce, owners, sources, runs)
    return msgspec.msgpack.encode(document)


def decode(data: bytes) -> Assignment:
    """Return the assignment that ``data`` encodes.

    Raises
    ------
    JournalDamagedError
        When the data cannot be decoded.
    """
    try:
        document = msgspec.msgpack.decode(data, type=Document)
    except msgspec.DecodeError as error:
        raise exceptions.JournalDamagedError(
            f"object {ASSIGNMENT_KEY} cannot be decoded ({error}); restore it from a backup"
        ) from error
    entries: list[ShardEntry] = []
    for run in document.runs:
        owner = document.owners[run.owner] if run.owner >= 0 else None
        entry = ShardEntry(owner, run.generation, document.sources[run.sources])
        entries.extend([entry] * run.count)
    return Assignment(document.version, document.nonce, entries)


Change = collections.abc.Callable[[Assignment], bool]
"""Modifies a draft and returns whether anything changed. It must be idempotent: it may run again
on a draft that already contains its effect, and must then return False."""


class AssignmentStore:
    """Reads and updates the assignment object, and caches it.

    Parameters
    ----------
    store : objectstore.ObjectStore
        The platform's object store.
    bucket : objectstore.RateBucket
        The node's share of the platform's write rate. Updates are charged to it without waiting.
    """

    def __init__(self, store: objectstore.ObjectStore, bucket: objectstore.RateBucket):
        self.store = store
        self.bucket = bucket
        self.current = Assignment()
        self.object_version = objectstore.ABSENT
        self.loaded = False
        self.changed = anyio.Event()

    def owner(self, shard: int) -> Owner | None:
        """Return the cached owner of a shard."""
        return self.current.owner(shard)

    async def load(self) -> Assignment:
        """Read the assignment; a missing object means an empty assignment."""
        stored = await objectstore.get_optional(self.store, ASSIGNMENT_KEY)
        if stored is not None and stored.version > self.object_version:
            self.update_cache(decode(stored.data), stored.version)
        self.loaded = True
        return self.current

    async def refresh(self) -> None:
        """Ensure that the cached copy is the newest; read the document only when it changed.

        With 380 owners the document has 15 KB, three times a node's budget for control traffic in
        the second between two refreshes. The listing that reveals a change has 70 bytes.
        """
        page = await self.store.list_page(ASSIGNMENT_KEY, limit=1)
        if any(info.version > self.object_version for info in page.objects):
            await self.load()

    def update_cache(self, assignment: Assignment, object_version: int) -> None:
        """Replace the cached copy if the given version is newer."""
        if object_version <= self.object_version:
            return
        self.current = assignment
        self.object_version = object_version
        self.changed.set()
        self.changed = anyio.Event()

    async def update(self, change: Change) -> Assignment:
        """Apply a change to the newest version, retrying until it is in effect.

        Waits while the platform is unavailable. Returns an assignment that contains the change.
        """
        delay = RETRY_DELAY_S
        is_current = self.loaded
        while True:
            try:
                if not is_current:
                    await self.load()
                if await self.try_update(change):
                    return self.current
            except exceptions.VersionConflictError:
                pass
            except exceptions.StoreUnavailableError as error:
                log_unavailable(error)
            is_current = False
            await anyio.sleep(delay)
            delay = min(delay * 2, MAX_RETRY_DELAY_S)

    async def try_update(self, change: Change) -> bool:
        """Try one conditional write and return whether the change is in effect.

        After a lost reply the outcome is unknown. Reading back either finds the nonce of this
        attempt, or a version to which the change is applied again. If the change took effect and
        another writer followed, the second application changes nothing.
        """
        expected = self.object_version
        draft = dataclasses.replace(self.current, shards=list(self.current.shards))
        if not change(draft):
            return True
        draft.version += 1
        draft.nonce = uuid.uuid4().hex
        self.bucket.charge()
        try:
            version = await self.store.put(ASSIGNMENT_KEY, encode(draft), expected=expected)
        except exceptions.StoreUnavailableError:
            await self.load()
            return self.current.nonce == draft.nonce
        self.update_cache(draft, version)
        return True

    async def watch(self) -> None:
        """Keep the cached copy current with a watch; poll while the watch fails."""
        cursor = 0
        while True:
            try:
                page = await self.store.watch(
                    ASSIGNMENT_KEY, since=cursor, timeout_s=WATCH_TIMEOUT_S
                )
                await self.load()
                cursor = page.cursor
            except exceptions.StoreError as error:
                log_unavailable(error)
                await anyio.sleep(POLL_INTERVAL_S)
                await self.poll()

    async def poll(self) -> None:
        """Read the assignment once; a failure is only logged."""
        try:
            await self.load()
        except exceptions.StoreError as error:
            log_unavailable(error)


def log_unavailable(error: exceptions.DogwoodgapError) -> None:
    """Log that the assignment could not be read or written."""
    events.emit(
        events.Event.ASSIGNMENT_UNAVAILABLE,
        "shard assignment not available; using the cached copy",
        level=logging.WARNING,
        detail=error.detail,
        at=clock.now(),
    )
