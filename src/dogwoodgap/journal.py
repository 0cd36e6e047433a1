"""Group commit of records into segments that only their writer or its successor can extend."""

import logging
import uuid

import anyio

from dogwoodgap import clock, events, exceptions, metrics, objectstore, records

MAX_SEGMENT_BYTES = 900_000
RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0
SEQUENCE_DIGITS = 10


def segment_key(node: str, boot: str, seq: int) -> str:
    """Return the key of a segment; keys of a boot sort by sequence."""
    return f"journal/{node}/{boot}/{seq:0{SEQUENCE_DIGITS}d}"


class Commit:
    """Records that will be stored together, and the wait for that."""

    def __init__(self, batch: list[records.Record]):
        self.batch = batch
        self.size = sum(records.encoded_size(record) for record in batch)
        self.stored = anyio.Event()
        self.error: exceptions.DogwoodgapError | None = None

    async def wait(self) -> None:
        """Return when the records are stored.

        Raises
        ------
        JournalSealedError
            When a successor took the journal over first.
        """
        await self.stored.wait()
        if self.error is not None:
            raise self.error


class Journal:
    """The journal of one boot of one node.

    Parameters
    ----------
    store : objectstore.ObjectStore
        Where segments are written with create-if-absent.
    node, boot : str
        Identity of the writer.
    bucket : objectstore.RateBucket
        The node's share of the platform's write rate.
    """

    def __init__(
        self,
        store: objectstore.ObjectStore,
        node: str,
        boot: str,
        bucket: objectstore.RateBucket,
    ):
        self.store = store
        self.node = node
        self.boot = boot
        self.bucket = bucket
        self.next_seq = 1
        self.pending: list[Commit] = []
        self.sealed = anyio.Event()
        self.wakeup = anyio.Event()
        self.stored_bytes = 0

    def stage(self, *batch: records.Record) -> Commit:
        """Queue records for the next segment and return the pending commit."""
        commit = Commit(list(batch))
        if self.sealed.is_set():
            self.fail(commit)
        else:
            self.pending.append(commit)
            self.wakeup.set()
        return commit

    async def append(self, *batch: records.Record) -> None:
        """Store records and return when they are durable."""
        await self.stage(*batch).wait()

    async def run(self) -> None:
        """Write segments until the journal is sealed."""
        while not self.sealed.is_set():
            if not self.pending:
                self.wakeup = anyio.Event()
                await self.wakeup.wait()
            await self.bucket.take()
            await self.write(self.take_batch())

    def take_batch(self) -> list[Commit]:
        """Remove the commits that fit into one segment."""
        batch = [self.pending.pop(0)]
        size = batch[0].size
        while self.pending and size + self.pending[0].size <= MAX_SEGMENT_BYTES:
            size += self.pending[0].size
            batch.append(self.pending.pop(0))
        return batch

    async def write(self, batch: list[Commit]) -> None:
        """Write one segment, repeating until it is stored or the journal is sealed."""
        content = [record for commit in batch for record in commit.batch]
        segment = records.Segment(nonce=uuid.uuid4().hex, records=content)
        data = records.encode_segment(segment)
        started = clock.now()
        if await self.write_until_settled(segment.nonce, data):
            self.next_seq += 1
            self.stored_bytes += len(data)
            metrics.timing("journal.commit", clock.now() - started)
            for commit in batch:
                commit.stored.set()
            return
        self.seal_found(batch)

    async def write_until_settled(self, nonce: str, data: bytes) -> bool:
        """Return whether the segment was stored, False when the journal is sealed."""
        key = segment_key(self.node, self.boot, self.next_seq)
        delay = RETRY_DELAY_S
        while True:
            try:
                await self.store.put(key, data, expected=objectstore.ABSENT)
                return True
            except exceptions.VersionConflictError:
                owner = await self.read_nonce(key)
                if owner is not None:
                    return owner == nonce
            except exceptions.StoreUnavailableError as error:
                events.emit(
                    events.Event.JOURNAL_WRITE_FAILED,
                    "journal write failed; it is repeated",
                    level=logging.WARNING,
                    key=key,
                    detail=error.detail,
                )
            await anyio.sleep(delay)
            delay = min(delay * 2, MAX_RETRY_DELAY_S)

    async def read_nonce(self, key: str) -> str | None:
        """Return the nonce of a stored segment, or None when it cannot be read now."""
        try:
            stored = await self.store.get(key)
        except exceptions.StoreError:
            return None
        return records.decode_segment(stored.data).nonce

    def seal_found(self, batch: list[Commit]) -> None:
        """Fail everything that is pending: a successor owns this journal."""
        self.sealed.set()
        events.emit(
            events.Event.JOURNAL_SEALED,
            "journal sealed by a successor",
            level=logging.WARNING,
            node=self.node,
            boot=self.boot,
        )
        for commit in [*batch, *self.pending]:
            self.fail(commit)
        self.pending.clear()

    def fail(self, commit: Commit) -> None:
        """Mark a commit as never stored."""
        commit.error = exceptions.JournalSealedError(
            "another node took over; ask GET /v1/entries and repeat the request there"
        )
        commit.stored.set()


async def replay(
    store: objectstore.ObjectStore, node: str, boot: str, first_seq: int = 1
) -> list[records.Segment]:
    """Return the segments of a journal in order, from ``first_seq``."""
    keys = await objectstore.list_all(store, f"journal/{node}/{boot}/0")
    segments = []
    for info in keys:
        if int(info.key.rpartition("/")[2]) >= first_seq:
            stored = await store.get(info.key)
            segments.append(records.decode_segment(stored.data))
    return segments


async def seal(
    store: objectstore.ObjectStore, node: str, boot: str, first_seq: int, sealed_by: str
) -> int:
    """Create the next segment of another writer's journal as a seal and return its sequence."""
    nonce = uuid.uuid4().hex
    data = records.encode_segment(records.Segment(nonce=nonce, sealed_by=sealed_by))
    while True:
        keys = await objectstore.list_all(store, f"journal/{node}/{boot}/0")
        last = int(keys[-1].key.rpartition("/")[2]) if keys else first_seq - 1
        if keys:
            stored = await store.get(keys[-1].key)
            if records.decode_segment(stored.data).sealed_by:
                return last
        try:
            key = segment_key(node, boot, last + 1)
            await store.put(key, data, expected=objectstore.ABSENT)
            return last + 1
        except exceptions.VersionConflictError:
            continue
