"""Append-only log of turns on a storage VM's disk, with group commit.

A worker thread writes and syncs what has gathered meanwhile, so the rate of turns does not depend
on the time of a sync. All other work, also reading turns that were stored lately, goes on while
the disk stalls.
"""

import collections
import collections.abc
import dataclasses
import functools
import math
import typing

import anyio

from dogwoodgap import clock, exceptions
from dogwoodgap.history import blocking, disk, index, log_reading, recovery, segments
from dogwoodgap_wire import ttypes

SEGMENT_BYTES = 2_000_000
"""Size from which a new segment is begun; a restart reads whole segments into memory."""

SEGMENT_AGE_S = 15.0
"""Age at which a new segment is begun, so that space is reclaimed soon after the turns expire."""

MAX_COMMIT_BYTES = 4_000_000
"""Bytes that are written with one sync; the largest turn may exceed them."""

MAX_PENDING_BYTES = 8_000_000
"""Bytes of turns that wait for a commit; a burst of the largest turns must not exhaust memory."""

DISK_TIMEOUT_S = 0.25
"""A sync takes 0.5 to 5 ms. A commit that takes longer than this is stalled: turns are refused, so
that gateways use other storage VMs; they wait for 0.15 s themselves."""

RECORD_BYTES = 1_000
"""More than the bytes of a record beside its body: header of the segment, fields and id."""

CLEAN_INTERVAL_S = 1.0
MILLISECONDS = 1_000


def now_ms() -> int:
    """Return wall time in Unix ms."""
    return round(clock.wall_time() * MILLISECONDS)


@dataclasses.dataclass(slots=True, eq=False)
class PendingStore:
    """Turns that wait for a commit; without a body, only the expiry of a turn is extended.

    Attributes
    ----------
    error : str
        Reason why they were not stored; empty if they were.
    """

    turns: list[ttypes.TurnRecord]
    bodies: list[bytes | None]
    size: int
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    error: str = ""
    is_abandoned: bool = False


class TurnLog:
    """The log of one storage VM; :meth:`open` it, then :meth:`run` it.

    Parameters
    ----------
    files : disk.Disk
        The folder of the log.
    limit_bytes : float
        Space that its files may take.
    run_blocking : blocking.Run
        Runs functions that block on the disk.
    """

    def __init__(
        self,
        files: disk.Disk,
        limit_bytes: float = math.inf,
        run_blocking: blocking.Run = blocking.run_in_thread,
    ):
        self.files = files
        self.limit_bytes = limit_bytes
        self.run_blocking = run_blocking
        self.index = index.TurnIndex()
        self.current: index.Segment | None = None
        self.current_begun_at = 0.0
        self.previous = index.Segment(0)
        self.last_number = 0
        self.pending: collections.deque[PendingStore] = collections.deque()
        self.pending_bytes = 0
        self.blocked_since: float | None = None
        self.wakeup = anyio.Event()
        self.reader = log_reading.TurnReader(files, run_blocking)
        self.is_failing = False
        self.on_failure: collections.abc.Callable[[str], None] = lambda reason: None
        self.on_recovery: collections.abc.Callable[[], None] = lambda: None

    async def open(self) -> recovery.Recovered:
        """Read the log; raises ``OSError`` if the disk cannot be read."""
        recovered = await self.run_blocking(functools.partial(recovery.recover, self.files))
        self.index = recovered.turn_index
        self.index.prune(now_ms())
        self.previous = recovered.last
        self.last_number = recovered.last_number
        return recovered

    def expiry(self, turn: str) -> int | None:
        """Return when a turn expires in Unix ms, or None if it is not stored."""
        found = self.index.find_live(turn, now_ms())
        return None if found is None else found.expires_ms

    def live(self) -> list[tuple[str, int]]:
        """Return all turns that have not expired, with the time at which they do."""
        return list(self.index.live(now_ms()))

    async def store(self, turns: list[ttypes.TurnRecord]) -> None:
        """Store turns durably. A turn that is stored already only has its expiry extended.

        Raises
        ------
        HistoryUnavailableError
            If they could not be stored, or not in time; they may still be stored later.
        """
        bodies: list[bytes | None] = [segments.encode_body(turn) for turn in turns]
        await self.submit(PendingStore(turns, bodies, sum(len(body or b"") for body in bodies)))

    async def extend(self, expiries: dict[str, int]) -> None:
        """Extend the expiry of stored turns durably; raises ``HistoryUnavailableError``."""
        turns = [ttypes.TurnRecord(id=turn, expires_ms=at) for turn, at in expiries.items()]
        await self.submit(PendingStore(turns, [None] * len(turns), 0))

    async def submit(self, request: PendingStore) -> None:
        """Wait until a request is committed; raises ``HistoryUnavailableError``."""
        if self.blocked_since is not None and clock.now() - self.blocked_since > DISK_TIMEOUT_S:
            raise refusal("the disk does not respond")
        if self.pending and self.pending_bytes + request.size > MAX_PENDING_BYTES:
            raise refusal(f"{self.pending_bytes} bytes wait for the disk")
        self.pending.append(request)
        self.pending_bytes += request.size
        self.wakeup.set()
        with anyio.move_on_after(DISK_TIMEOUT_S):
            await request.done.wait()
        if not request.done.is_set():
            request.is_abandoned = True
            raise refusal(f"the disk did not confirm within {DISK_TIMEOUT_S} s")
        if request.error:
            raise refusal(request.error)

    async def flush(self) -> None:
        """Wait until all turns before are committed; raises ``HistoryUnavailableError``."""
        await self.submit(PendingStore([], [], 0))

    async def run(self) -> None:
        """Commit what is to be stored and remove what has expired, until cancelled."""
        clean_at = clock.now()
        while True:
            with anyio.move_on_at(clean_at):
                await self.wakeup.wait()
            self.wakeup = anyio.Event()
            while self.pending:
                await self.commit()
                # Under load, turns wait after each commit.
                clean_at = await self.clean(clean_at)
            clean_at = await self.clean(clean_at)

    async def clean(self, due_at: float) -> float:
        """Remove what has expired if that is due; return when it is due next."""
        if clock.now() < due_at:
            return due_at
        await self.remove_expired()
        return clock.now() + CLEAN_INTERVAL_S

    def take_batch(self) -> list[PendingStore]:
        """Return the requests of the next commit."""
        batch: list[PendingStore] = []
        size = 0
        while self.pending and (not batch or size + self.pending[0].size <= MAX_COMMIT_BYTES):
            request = self.pending.popleft()
            self.pending_bytes -= request.size
            if not request.is_abandoned:
                batch.append(request)
                size += request.size
        return batch

    async def commit(self) -> None:
        """Write and sync one batch, then answer its requests."""
        batch = self.take_batch()
        if not batch:
            return
        if self.current is not None and (
            self.current.valid_bytes >= SEGMENT_BYTES
            or clock.now() - self.current_begun_at > SEGMENT_AGE_S
        ):
            self.close_segment()
        error = ""
        try:
            await self.write(batch)
        except (OSError, exceptions.HistoryUnavailableError) as failure:
            error = str(failure)
        for request in batch:
            request.error = error
            request.done.set()
        if error and not self.is_failing:
            self.on_failure(error)
        elif not error and self.is_failing:
            self.on_recovery()
        self.is_failing = bool(error)

    async def write(self, batch: list[PendingStore]) -> None:
        """Write and sync one batch; raises ``OSError`` or ``HistoryUnavailableError``."""
        expected_bytes = sum(request.size for request in batch) + RECORD_BYTES * sum(
            len(request.turns) for request in batch
        )
        if self.index.file_bytes + expected_bytes > self.limit_bytes:
            # Before the records are encoded, since it may remove the current segment.
            await self.remove_expired()
        segment = self.current or self.next_segment()
        header = b""
        if segment is not self.current:
            header = segments.encode_header(
                segment.number, self.previous.number, self.previous.valid_bytes
            )
        data, entries, bodies = self.encode(segment, batch, len(header))
        if not entries:
            return
        if self.index.file_bytes + len(header) + len(data) > self.limit_bytes:
            raise refusal(f"the disk limit of {self.limit_bytes:.0f} bytes is reached")
        try:
            await self.change(append_durably, self.files, segment.number, header + data)
        except OSError:
            await self.abandon(segment, len(data))
            raise
        if segment is not self.current:
            self.current, self.current_begun_at = segment, clock.now()
            self.index.segments[segment.number] = segment
        segment.valid_bytes += len(header) + len(data)
        segment.file_bytes = segment.valid_bytes
        for entry in entries:
            self.index.apply(segment.number, entry)
        for turn, body in bodies.items():
            self.reader.keep(turn, body)

    def encode(
        self, segment: index.Segment, batch: list[PendingStore], header_bytes: int
    ) -> tuple[bytes, list[segments.Entry], dict[str, bytes]]:
        """Return the records of a batch, what they add to the index, and the bodies of turns."""
        records: list[bytes] = []
        entries: list[segments.Entry] = []
        bodies: dict[str, bytes] = {}
        known: dict[str, int] = {}
        position = segment.valid_bytes + header_bytes
        for request in batch:
            for turn, body in zip(request.turns, request.bodies, strict=True):
                expires_ms = turn.expires_ms or 0
                stored_ms = known.get(turn.id) or self.expiry(turn.id)
                if stored_ms is None and body is None:
                    continue
                if stored_ms is not None and stored_ms >= expires_ms:
                    continue
                kind = segments.TURN if stored_ms is None else segments.EXTENSION
                content = body if stored_ms is None and body is not None else b""
                record = segments.encode_record(segment.number, kind, turn.id, expires_ms, content)
                offset = position + segments.body_offset(turn.id)
                entries.append(segments.Entry(kind, turn.id, expires_ms, offset, len(content)))
                records.append(record)
                position += len(record)
                known[turn.id] = expires_ms
                if kind == segments.TURN:
                    bodies[turn.id] = content
        return b"".join(records), entries, bodies

    async def change(
        self, function: collections.abc.Callable[..., None], *args: typing.Any
    ) -> None:
        """Run a function that changes files; while it takes long, new turns are refused."""
        self.blocked_since = clock.now()
        try:
            await self.run_blocking(functools.partial(function, *args))
        finally:
            self.blocked_since = None

    def next_segment(self) -> index.Segment:
        """Return a new segment; numbers rise with time, also if all older ones are deleted."""
        self.last_number = max(self.last_number + 1, now_ms())
        return index.Segment(self.last_number)

    def close_segment(self) -> None:
        """Write no more to the current segment."""
        if self.current is not None:
            self.previous, self.current = self.current, None

    async def abandon(self, segment: index.Segment, written_bytes: int) -> None:
        """Give up a segment after a failed write or sync, whose effect is not known.

        The header of the next segment tells which part of this one is valid.
        """
        if segment is self.current:
            segment.file_bytes += written_bytes
            self.close_segment()
        else:
            await self.remove_file(segment.number)

    async def remove_file(self, number: int) -> bool:
        """Remove the file of a segment; return whether that succeeded."""
        name = segments.file_name(number)
        try:
            await self.change(self.files.remove, name)
        except FileNotFoundError:
            return True
        except OSError as error:
            self.on_failure(f"{name} cannot be removed: {error}")
            return False
        return True

    async def remove_expired(self) -> None:
        """Remove the segments that hold nothing which has not expired.

        The folder is not synced: a segment that reappears is removed again.
        """
        for segment in self.index.expired_segments(now_ms()):
            if segment is self.current:
                self.close_segment()
            if await self.remove_file(segment.number):
                self.index.remove(segment)

    async def fetch(self, turns: list[str]) -> log_reading.Fetched:
        """Return the turns among these that are stored."""
        now = now_ms()
        found = {turn: self.index.find_live(turn, now) for turn in turns}
        return await self.reader.fetch(
            {turn: location for turn, location in found.items() if location is not None}
        )


def refusal(reason: str) -> exceptions.HistoryUnavailableError:
    """Return the error of turns that were not stored."""
    return exceptions.HistoryUnavailableError(f"{reason}; use another storage VM")


def append_durably(files: disk.Disk, number: int, data: bytes) -> None:
    """Append to a segment and sync it."""
    name = segments.file_name(number)
    files.append(name, data)
    files.sync(name)
