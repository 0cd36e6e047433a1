"""Reads a log of turns after a restart; blocks on the disk."""

import dataclasses

from dogwoodgap.history import disk, index, segments


@dataclasses.dataclass(slots=True)
class Recovered:
    """What is left of a log.

    Attributes
    ----------
    last : index.Segment
        The last segment with valid records; its number is 0 if there is none.
    last_number : int
        Highest number of any file, so that none is used twice.
    ignored_bytes : int
        Bytes behind the valid records of segments. They were never acknowledged.
    is_damaged : bool
        Whether acknowledged records are damaged, which is a fault of the disk.
    """

    turn_index: index.TurnIndex = dataclasses.field(default_factory=index.TurnIndex)
    last: index.Segment = dataclasses.field(default_factory=lambda: index.Segment(0))
    last_number: int = 0
    ignored_bytes: int = 0
    is_damaged: bool = False


def recover(files: disk.Disk) -> Recovered:
    """Read all segments, oldest first; raises ``OSError``.

    Writing goes on in a new segment, whose header tells what is valid. A damaged tail is therefore
    not truncated in its file, which is deleted as a whole.
    """
    recovered = Recovered()
    found = {segments.number_of(name): name for name in files.names()}
    numbers = sorted(number for number in found if number is not None)
    held: list[segments.Scan] = []
    for number in numbers:
        scanned = segments.scan(files.read(found[number]), number)
        if scanned.is_sound:
            for earlier in held:
                apply(recovered, earlier, valid_bytes(earlier, scanned))
            held.clear()
        held.append(scanned)
    for scanned in held:
        apply(recovered, scanned, None)
    if numbers:
        recovered.last_number = numbers[-1]
        # After a mere kill, records may be readable that a power loss would still take away.
        files.sync(found[numbers[-1]])
    return recovered


def valid_bytes(earlier: segments.Scan, scanned: segments.Scan) -> int | None:
    """Return how much of a segment is valid according to the next one that was found.

    Returns 0 for a segment that was given up at its first write, and None for one whose successor
    has expired and is deleted.
    """
    if earlier.number == scanned.previous:
        return scanned.previous_valid_bytes
    return 0 if earlier.number > scanned.previous else None


def apply(recovered: Recovered, scanned: segments.Scan, end: int | None) -> None:
    """Add the records of a segment, up to its valid end if that is known."""
    if end is None:
        end = scanned.valid_bytes
    elif end > scanned.valid_bytes:
        recovered.is_damaged = True
        end = scanned.valid_bytes
    segment = index.Segment(scanned.number, end, scanned.size)
    recovered.turn_index.segments[scanned.number] = segment
    recovered.ignored_bytes += scanned.size - end
    if end:
        recovered.last = segment
    for entry in scanned.entries:
        if entry.offset + entry.length <= end:
            recovered.turn_index.apply(scanned.number, entry)
