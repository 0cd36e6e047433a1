"""Splits a byte stream into server-sent events without changing the bytes."""

import dataclasses

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of an incomplete event; events of engines are a few kB."""

LONGEST_TERMINATOR = b"\r\n\r\n"
EVENT_TERMINATORS = (b"\n\n", LONGEST_TERMINATOR)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamEvent:
    """A complete event with its terminator; ``id`` is None if it has no numeric id."""

    data: bytes
    id: int | None


class EventSplitter:
    """Buffers received bytes and returns complete events.

    Attributes
    ----------
    buffer : bytearray
        The bytes of an incomplete event.
    searched : int
        Bytes at its begin in which no terminator begins.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.searched = 0

    @property
    def is_empty(self) -> bool:
        """Return whether no incomplete event is buffered."""
        return not self.buffer

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes and return the events that are now complete.

        Raises
        ------
        ValueError
            If an incomplete event exceeds ``MAX_EVENT_BYTES``.
        """
        self.buffer += data
        events: list[StreamEvent] = []
        begin = 0
        while end := first_event_end(self.buffer, max(begin, self.searched)):
            event = bytes(self.buffer[begin:end])
            events.append(StreamEvent(event, parse_event_id(event)))
            begin = end
        del self.buffer[:begin]
        self.searched = max(0, len(self.buffer) - len(LONGEST_TERMINATOR) + 1)
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return events


def has_data(event: StreamEvent) -> bool:
    """Return whether an event has a data field; otherwise it is a comment, or only sets an id."""
    return any(line.partition(b":")[0] == b"data" for line in event.data.splitlines())


def data_of(event: StreamEvent) -> bytes:
    """Return the data of an event: its data fields, joined by line feeds."""
    values: list[bytes] = []
    for line in event.data.splitlines():
        name, _, value = line.partition(b":")
        if name == b"data":
            values.append(value.removeprefix(b" "))
    return b"\n".join(values)


def first_event_end(data: bytearray, start: int) -> int:
    """Return the end of the first terminator that begins at ``start`` or later, or 0."""
    end = 0
    for terminator in EVENT_TERMINATORS:
        at = data.find(terminator, start, end or len(data))
        if at >= 0:
            end = at + len(terminator)
    return end


def parse_event_id(event: bytes) -> int | None:
    """Return the id of an event, or None if it has no numeric id."""
    for line in event.splitlines():
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
