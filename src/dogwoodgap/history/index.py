"""Index of a log of turns: where each turn is, and when it and its segment expire; no I/O.

At 340 MB of turns of 2.6 kB it holds 130,000 entries, so a location is packed into bytes.
"""

import collections.abc
import dataclasses
import struct

from dogwoodgap.history import segments

EXPIRY_GRACE_MS = 1_000
"""Time by which a turn outlives its expiry, since the clocks of VMs differ a little."""

LOCATION = struct.Struct("<QIIQ")


@dataclasses.dataclass(frozen=True, slots=True)
class Location:
    """Where the body of a turn is, and when the turn expires in Unix ms."""

    segment: int
    offset: int
    length: int
    expires_ms: int

    def pack(self) -> bytes:
        """Return the packed form."""
        return LOCATION.pack(self.segment, self.offset, self.length, self.expires_ms)


@dataclasses.dataclass(slots=True)
class Segment:
    """A segment of the log.

    Attributes
    ----------
    valid_bytes : int
        Where its acknowledged records end.
    file_bytes : int
        Space that its file takes.
    expires_ms : int
        When the last turn expires that is in it, or whose expiry it extends.
    turns : list of str
        The turns that were written to it.
    """

    number: int
    valid_bytes: int = 0
    file_bytes: int = 0
    expires_ms: int = 0
    turns: list[str] = dataclasses.field(default_factory=list)


def is_live(expires_ms: int, now_ms: float) -> bool:
    """Return whether a turn has not expired."""
    return expires_ms + EXPIRY_GRACE_MS > now_ms


class TurnIndex:
    """Locations of turns, and the segments that they are in."""

    def __init__(self) -> None:
        self.locations: dict[str, bytes] = {}
        self.segments: dict[int, Segment] = {}

    def __len__(self) -> int:
        """Return the number of turns, some of which may have expired."""
        return len(self.locations)

    def find(self, turn: str) -> Location | None:
        """Return the location of a turn, also of one that has expired."""
        packed = self.locations.get(turn)
        return None if packed is None else Location(*LOCATION.unpack(packed))

    def find_live(self, turn: str, now_ms: float) -> Location | None:
        """Return the location of a turn unless it has expired."""
        found = self.find(turn)
        return found if found is not None and is_live(found.expires_ms, now_ms) else None

    def live(self, now_ms: float) -> collections.abc.Iterator[tuple[str, int]]:
        """Yield turns that have not expired with their expiry; the index may change meanwhile."""
        for turn in list(self.locations):
            found = self.find_live(turn, now_ms)
            if found is not None:
                yield turn, found.expires_ms

    def apply(self, number: int, entry: segments.Entry) -> None:
        """Add what a record of a segment tells. An extension of an unknown turn has no effect."""
        known = self.find(entry.turn)
        if known is None and entry.kind == segments.TURN:  # nearly all records of a restart
            self.locations[entry.turn] = LOCATION.pack(
                number, entry.offset, entry.length, entry.expires_ms
            )
            segment = self.segments[number]
            segment.turns.append(entry.turn)
            segment.expires_ms = max(segment.expires_ms, entry.expires_ms)
            return
        expires_ms = max(entry.expires_ms, 0 if known is None else known.expires_ms)
        if entry.kind == segments.TURN:
            location = Location(number, entry.offset, entry.length, expires_ms)
            self.segments[number].turns.append(entry.turn)
        elif known is None:
            return
        else:
            location = dataclasses.replace(known, expires_ms=expires_ms)
        self.locations[entry.turn] = location.pack()
        for changed in {number, location.segment}:
            segment = self.segments.get(changed)
            if segment is not None:
                segment.expires_ms = max(segment.expires_ms, expires_ms)

    def expired_segments(self, now_ms: float) -> list[Segment]:
        """Return the segments that hold nothing which has not expired."""
        return [
            segment for segment in self.segments.values() if not is_live(segment.expires_ms, now_ms)
        ]

    def remove(self, segment: Segment) -> None:
        """Remove a segment and the turns in it."""
        del self.segments[segment.number]
        for turn in segment.turns:
            found = self.find(turn)
            if found is not None and found.segment == segment.number:
                del self.locations[turn]

    def prune(self, now_ms: float) -> None:
        """Remove expired turns of all segments, after a restart has read all records."""
        expired = [
            turn
            for turn, packed in self.locations.items()
            if not is_live(LOCATION.unpack(packed)[-1], now_ms)
        ]
        for turn in expired:
            del self.locations[turn]
        if expired:
            for segment in self.segments.values():
                segment.turns = [turn for turn in segment.turns if turn in self.locations]

    @property
    def file_bytes(self) -> int:
        """Return the space that all segments take."""
        return sum(segment.file_bytes for segment in self.segments.values())
