"""Server-sent events of an answer, cut out of its bytes without changing them."""

import dataclasses

MAX_EVENT_BYTES = 1024 * 1024
"""Bound of an event that is still incomplete; engines send a few kB."""

EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event; ``id`` is None where it has none."""

    data: bytes
    id: int | None


class EventSplitter:
    """Collects bytes and returns whole events."""

    def __init__(self) -> None:
        self.buffer = b""

    @property
    def is_empty(self) -> bool:
        """Return whether no part of an event is left over."""
        return not self.buffer

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes and return the events that they complete.

        Raises
        ------
        ValueError
            When an event grows beyond ``MAX_EVENT_BYTES``.
        """
        self.buffer += data
        events: list[StreamEvent] = []
        while (end := first_event_length(self.buffer)) > 0:
            events.append(StreamEvent(self.buffer[:end], parse_event_id(self.buffer[:end])))
            self.buffer = self.buffer[end:]
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events


def first_event_length(data: bytes) -> int:
    """Return the length of the first whole event, or 0 when none is whole."""
    ends = [
        at + len(terminator)
        for terminator in EVENT_TERMINATORS
        if (at := data.find(terminator)) >= 0
    ]
    return min(ends, default=0)


def parse_event_id(event: bytes) -> int | None:
    """Return the id of an event."""
    for line in event.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
