"""Reads turns of a log, from memory or from the disk, with a bound on time and on bytes."""

import dataclasses
import functools

import anyio
import cachetools

from dogwoodgap import frames
from dogwoodgap.history import blocking, disk, index, segments
from dogwoodgap_wire import ttypes

READ_TIMEOUT_S = 0.5
"""A read waits behind the writes of a disk that stalls; gateways ask the next VM after 0.05 s."""

MAX_FETCHED_BYTES = frames.MAX_FRAME_BYTES - 512 * 1024
"""Bytes of the turns in one reply; the rest of a frame is left for ids."""

RECENT_BYTES = 8_000_000
"""Bodies kept in memory; at 0.1 MB per second they are those of a retention of 60 s."""


PARALLEL_READS = 4
"""Reads of the disk at a time; each may hold several copies of the largest turn in memory."""


@dataclasses.dataclass(slots=True)
class Fetched:
    """Result of a read.

    Attributes
    ----------
    unread : list of str
        Turns that are stored, but could not be read.
    omitted : list of str
        Turns that are stored, but would make the reply too large.
    """

    turns: list[ttypes.TurnRecord]
    unread: list[str]
    omitted: list[str]


class TurnReader:
    """Reads turns of a log.

    Parameters
    ----------
    files : disk.Disk
        The folder of the log.
    run_blocking : blocking.Run
        Runs functions that block on the disk.
    """

    def __init__(self, files: disk.Disk, run_blocking: blocking.Run):
        self.files = files
        self.run_blocking = run_blocking
        self.reads = anyio.Semaphore(PARALLEL_READS)
        self.recent: cachetools.LRUCache[str, bytes] = cachetools.LRUCache(RECENT_BYTES, len)

    def keep(self, turn: str, body: bytes) -> None:
        """Keep the body of a turn that was just stored in memory."""
        if len(body) <= RECENT_BYTES:
            self.recent[turn] = body

    async def fetch(self, locations: dict[str, index.Location]) -> Fetched:
        """Return the turns at these locations."""
        fetched = Fetched([], [], [])
        size = 0
        unread: dict[str, index.Location] = {}
        for turn, found in locations.items():
            if size and size + found.length > MAX_FETCHED_BYTES:
                fetched.omitted.append(turn)
                continue
            size += found.length
            body = self.recent.get(turn)
            if body is None:
                unread[turn] = found
            else:
                fetched.turns.append(segments.decode_turn(turn, found.expires_ms, body))
        if unread:
            bodies: dict[str, bytes] = {}
            with anyio.move_on_after(READ_TIMEOUT_S):
                async with self.reads:
                    bodies = await self.run_blocking(functools.partial(read, self.files, unread))
            for turn, body in bodies.items():
                expires_ms = unread[turn].expires_ms
                fetched.turns.append(segments.decode_turn(turn, expires_ms, body))
            fetched.unread = [turn for turn in unread if turn not in bodies]
        return fetched


def read(files: disk.Disk, locations: dict[str, index.Location]) -> dict[str, bytes]:
    """Return the bodies of turns that can be read; the caller reports the others as unread."""
    bodies: dict[str, bytes] = {}
    for turn, found in locations.items():
        prefix = segments.body_offset(turn)
        name = segments.file_name(found.segment)
        try:
            data = files.read(name, found.offset - prefix, found.length + prefix)
        except OSError:
            continue
        body = segments.check_body(data, found.segment, turn)
        if body is not None:
            bodies[turn] = body
    return bodies
