"""Journal with group commit of records into segments.

Segments are created with create-if-absent under consecutive keys, so a successor seals a journal
by creating its next segment.
"""

import collections
import collections.abc
import logging
import uuid

import anyio

from dogwoodgap import clock, events, exceptions, metrics, objectstore, records

MAX_SEGMENT_BYTES = 900_000
"""No commit is added to a segment that would exceed this uncompressed size."""

MAX_COMMIT_BYTES = 990_000
"""Uncompressed limit of one commit. zlib adds at most 0.1%, so the object stays below the store's
limit of 1 MB."""

MAX_RECORD_BYTES = 950_000
"""Limit of the records of one caller; the rest is reserved for their framing in a checkpoint."""

RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0
SEQUENCE_DIGITS = 10
MAX_PARALLEL_READS = 16


def segment_key(node: str, boot: str, seq: int) -> str:
    """Return the object key of a segment; the keys of one boot sort by sequence number."""
    return f"journal/{node}/{boot}/{seq:0{SEQUENCE_DIGITS}d}"


def sequence_of(key: str) -> int:
    """Return the sequence number in a segment's key."""
    return int(key.rpartition("/")[2])


class Commit:
    """Records to be stored together in one segment; a commit without records is a barrier.

    Attributes
    ----------
    seq : int
        Of a completed barrier: the first segment that holds only records staged after it.
    """

    def __init__(self, batch: list[records.Record]):
        self.records = batch
        self.size = sum(records.encoded_size(record) for record in batch)
        self.stored = anyio.Event()
        self.error: exceptions.DogwoodgapError | None = None
        self.seq = 0

    async def wait(self) -> None:
        """Wait until the records are stored.

        Raises
        ------
        JournalSealedError
            When a successor sealed the journal first.
        JournalClosedError
            When the node stopped first.
        """
        await self.stored.wait()
        if self.error is not None:
            raise self.error


class Journal:
    """Writer of the journal of one boot.

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
        self.pending: collections.deque[Commit] = collections.deque()
        self.sealed = anyio.Event()
        self.closed = False
        self.wakeup = anyio.Event()
        self.stored_bytes = 0

    def set_rate(self, rate_per_s: float) -> None:
        """Change the node's share of the platform's write rate."""
        self.bucket.set_rate(rate_per_s)

    def validate(self, *batch: records.Record) -> None:
        """Check that records can be stored; call this before applying them to the table.

        Raises
        ------
        JournalSealedError
            When a successor has sealed the journal.
        RecordTooLargeError
            When the records do not fit into one segment.
        """
        if self.sealed.is_set():
            raise sealed_error()
        size = sum(records.encoded_size(record) for record in batch)
        if size > MAX_RECORD_BYTES:
            raise exceptions.RecordTooLargeError(
                f"the record has {size} bytes and the limit is {MAX_RECORD_BYTES}; "
                "send a shorter message"
            )

    def stage(self, *batch: records.Record) -> Commit:
        """Queue records for the next segment and return the pending commit.

        Raises
        ------
        RecordTooLargeError
            When the records do not fit into one segment; nothing is queued.
        """
        commit = Commit(list(batch))
        if commit.size > MAX_COMMIT_BYTES:
            raise exceptions.RecordTooLargeError(
                f"the records have {commit.size} bytes and the limit is {MAX_COMMIT_BYTES}; "
                "send a shorter message"
            )
        self.enqueue(commit)
        return commit

    def barrier(self) -> Commit:
        """Queue a segment boundary; once it completes, ``seq`` is the segment that follows it."""
        commit = Commit([])
        self.enqueue(commit)
        return commit

    def enqueue(self, commit: Commit) -> None:
        """Queue a commit, or fail it when the journal is sealed or closed."""
        if self.sealed.is_set():
            fail_commit(commit, sealed_error())
        elif self.closed:
            fail_commit(commit, closed_error())
        else:
            self.pending.append(commit)
            self.wakeup.set()

    async def append(self, *batch: records.Record) -> None:
        """Store records and return when they are durable."""
        await self.stage(*batch).wait()

    async def run(self) -> None:
        """Write segments until the journal is sealed."""
        try:
            while not self.sealed.is_set():
                self.complete_barriers()
                if not self.pending:
                    self.wakeup = anyio.Event()
                    await self.wakeup.wait()
                    continue
                await self.bucket.take()
                if not self.sealed.is_set():
                    await self.write_batch()
        finally:
            self.closed = True
            self.fail_pending(closed_error())

    def complete_barriers(self) -> None:
        """Complete the barriers at the head of the queue; all records before them are stored."""
        while self.pending and not self.pending[0].records:
            commit = self.pending.popleft()
            commit.seq = self.next_seq
            commit.stored.set()

    def next_batch(self) -> list[Commit]:
        """Return the queued commits that fit into one segment, up to the next barrier."""
        batch: list[Commit] = []
        size = 0
        for commit in self.pending:
            if not commit.records or (batch and size + commit.size > MAX_SEGMENT_BYTES):
                break
            size += commit.size
            batch.append(commit)
        return batch

    async def write_batch(self) -> None:
        """Write one segment, retrying until it is stored or the journal is sealed.

        The commits stay in the queue until then, so that cancelling the writer fails them too.
        """
        batch = self.next_batch()
        batch_records = [record for commit in batch for record in commit.records]
        segment = records.Segment(nonce=uuid.uuid4().hex, records=batch_records)
        data = records.encode_segment(segment)
        started = clock.now()
        stored = await self.write_segment(segment.nonce, data)
        if not stored:
            self.mark_sealed()
            return
        self.next_seq += 1
        if self.sealed.is_set():
            return
        self.stored_bytes += len(data)
        metrics.timing("journal.commit", clock.now() - started)
        for _ in batch:
            self.pending.popleft().stored.set()

    async def write_segment(self, nonce: str, data: bytes) -> bool:
        """Write a segment and return True once it is stored, or False when the journal is sealed.

        The stored nonce shows whether an existing segment is this one, written by an attempt
        whose reply was lost, or a successor's seal.
        """
        key = segment_key(self.node, self.boot, self.next_seq)
        delay = RETRY_DELAY_S
        while not self.sealed.is_set():
            try:
                await self.store.put(key, data, expected=objectstore.ABSENT)
                return True
            except exceptions.VersionConflictError:
                stored_nonce = await self.read_nonce(key)
                if stored_nonce is not None:
                    return stored_nonce == nonce
            except exceptions.StoreUnavailableError as error:
                events.emit(
                    events.Event.JOURNAL_WRITE_FAILED,
                    "journal write failed; retrying",
                    level=logging.WARNING,
                    key=key,
                    detail=error.detail,
                )
            await anyio.sleep(delay)
            delay = min(delay * 2, MAX_RETRY_DELAY_S)
        return False

    async def read_nonce(self, key: str) -> str | None:
        """Return the nonce of a stored segment, or None when it cannot be read now.

        The result for a damaged object is "", which matches no writer. A writer must not
        acknowledge records without proof that it wrote the segment.
        """
        try:
            stored = await self.store.get(key)
            return records.decode_segment(stored.data).nonce
        except exceptions.JournalDamagedError:
            return ""
        except exceptions.StoreError:
            return None

    def mark_sealed(self) -> None:
        """Mark the journal as sealed by a successor and fail all pending commits."""
        if self.sealed.is_set():
            return
        self.sealed.set()
        self.wakeup.set()
        events.emit(
            events.Event.JOURNAL_SEALED,
            "journal sealed by a successor",
            level=logging.WARNING,
            node=self.node,
            boot=self.boot,
        )
        self.fail_pending(sealed_error())

    def fail_pending(self, error: exceptions.DogwoodgapError) -> None:
        """Fail all queued commits."""
        while self.pending:
            fail_commit(self.pending.popleft(), error)


def fail_commit(commit: Commit, error: exceptions.DogwoodgapError) -> None:
    """Complete a commit with an error; its records may still have been stored."""
    commit.error = error
    commit.stored.set()


def sealed_error() -> exceptions.JournalSealedError:
    """Return the error for writes after a takeover."""
    return exceptions.JournalSealedError(
        "another node took over; ask GET /v1/entries and repeat the request there"
    )


def closed_error() -> exceptions.JournalClosedError:
    """Return the error for writes that did not complete before the node stopped."""
    return exceptions.JournalClosedError(
        "the node stopped before the record was stored; repeat the request"
    )


async def segment_sequences(store: objectstore.ObjectStore, node: str, boot: str) -> list[int]:
    """Return the sequence numbers of the stored segments in ascending order."""
    infos = await objectstore.list_all(store, f"journal/{node}/{boot}/0")
    return [sequence_of(info.key) for info in infos]


async def read_segment(
    store: objectstore.ObjectStore, node: str, boot: str, seq: int
) -> records.Segment:
    """Return one stored segment."""
    stored = await store.get(segment_key(node, boot, seq))
    return records.decode_segment(stored.data)


async def replay(
    store: objectstore.ObjectStore, node: str, boot: str, first_seq: int = 1
) -> list[records.Segment]:
    """Return the segments of a journal in order, from ``first_seq``.

    Raises
    ------
    JournalDamagedError
        When a segment between the first and the last one is missing or damaged.
    """
    sequences = [seq for seq in await segment_sequences(store, node, boot) if seq >= first_seq]
    if sequences != list(range(first_seq, first_seq + len(sequences))):
        raise exceptions.JournalDamagedError(
            f"journal of {node}/{boot} has gaps after segment {first_seq}; "
            "read the checkpoint head again, and restore the missing objects if gaps remain"
        )
    segments: dict[int, records.Segment] = {}
    limiter = anyio.CapacityLimiter(MAX_PARALLEL_READS)

    async def read(seq: int) -> None:
        async with limiter:
            segments[seq] = await read_segment(store, node, boot, seq)

    await read_segments(read, sequences)
    return [segments[seq] for seq in sequences]


async def read_segments(
    read: collections.abc.Callable[[int], collections.abc.Awaitable[None]], sequences: list[int]
) -> None:
    """Read segments in parallel; raise the first failure itself instead of an exception group."""
    failures: list[exceptions.StoreError] = []

    async def read_or_collect(seq: int) -> None:
        try:
            await read(seq)
        except exceptions.StoreError as error:
            failures.append(error)

    async with anyio.create_task_group() as tasks:
        for seq in sequences:
            tasks.start_soon(read_or_collect, seq)
    if failures:
        raise failures[0]


async def seal(
    store: objectstore.ObjectStore, node: str, boot: str, first_seq: int, sealed_by: str
) -> int:
    """Seal another writer's journal with a segment after its last one; return its sequence number.

    The writer may have written and already deleted a segment at the same sequence number, in
    which case the seal is ineffective. A writer never deletes its newest segment, so a segment
    above the seal reveals this, and the seal is written again after it.
    """
    nonce = uuid.uuid4().hex
    data = records.encode_segment(records.Segment(nonce=nonce, sealed_by=sealed_by))
    while True:
        sequences = await segment_sequences(store, node, boot)
        last = sequences[-1] if sequences else first_seq - 1
        if sequences and (await read_segment(store, node, boot, last)).sealed_by:
            return last
        try:
            await store.put(segment_key(node, boot, last + 1), data, expected=objectstore.ABSENT)
        except exceptions.VersionConflictError:
            continue
        sequences = await segment_sequences(store, node, boot)
        if sequences and sequences[-1] == last + 1:
            return last + 1
