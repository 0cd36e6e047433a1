"""Retained turns as the gateways hold them, and for how long they are stored."""

import collections.abc
import dataclasses

from dogwoodgap import clock
from dogwoodgap_wire import ttypes

MILLISECONDS_PER_S = 1_000

END_MARGIN_S = 5.0
"""Added to the time for which a turn is retained: its response ends after it was stored, the next
turn takes time to arrive, and the clocks of VMs differ."""

MAX_EXTRA_S = 60.0
"""Longest time for which a turn is stored beyond what is required. A turn is extended when a later
one of its chain outlasts it. Without extra time each turn of a chain would store all turns before
it again, which is 3.6 MB in place of 0.14 MB for 51 turns."""

OVERHEAD_BYTES = 600
"""Memory of a turn beside its text and the ids of its ancestors: objects and their fields."""

PROGRAM_PREFIX = "\nprogram\n"
"""Begins the ids of program records. Ids of turns come from headers, which hold no line feed."""

ID_BYTES = 90
"""Memory of the id of an ancestor of about 40 characters."""


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """A whole turn; it never changes, except that its time of expiry may be extended.

    Attributes
    ----------
    customer : str
        Name of the customer whose turn it is; empty without customers.
    ancestors : tuple of str
        Ids of the turns that it continues, oldest first.
    input, output : bytes
        Its own input, and the data of its events, each followed by a line feed.
    ended_ms, expires_ms : int
        Wall times of the end of its response and of its deletion, in ms since the Unix epoch.
    program : str
        Program of the turn; empty if it is not known.
    """

    id: str
    customer: str
    ancestors: tuple[str, ...]
    input: bytes
    output: bytes
    ended_ms: int
    expires_ms: int
    program: str = ""

    @property
    def text_bytes(self) -> int:
        """Return the length of input and output."""
        return len(self.input) + len(self.output)

    @property
    def memory_bytes(self) -> int:
        """Return about how much memory the turn takes."""
        return self.text_bytes + OVERHEAD_BYTES + ID_BYTES * len(self.ancestors)


def program_record_id(program: str) -> str:
    """Return the id of the record that a program has had a whole turn."""
    return PROGRAM_PREFIX + program


def program_record(program: str) -> Turn:
    """Return the record that a program has had a whole turn; it has neither text nor a chain."""
    return Turn(program_record_id(program), "", (), b"", b"", 0, 0, program)


def wall_ms() -> int:
    """Return the wall time in ms since the Unix epoch."""
    return round(clock.wall_time() * MILLISECONDS_PER_S)


def required_ms(now_ms: int, retain_s: float) -> int:
    """Return the wall time until which a turn that ends now, and its chain, must be stored."""
    return now_ms + round((retain_s + END_MARGIN_S) * MILLISECONDS_PER_S)


def stored_s(retain_s: float) -> float:
    """Return for how long a turn is stored that is written now, in seconds."""
    return retain_s + END_MARGIN_S + min(retain_s, MAX_EXTRA_S)


def stored_ms(now_ms: int, retain_s: float) -> int:
    """Return the wall time until which a turn is stored that is written now."""
    return now_ms + round(stored_s(retain_s) * MILLISECONDS_PER_S)


def to_wire(turn: Turn) -> ttypes.TurnRecord:
    """Convert a turn to a message entry."""
    return ttypes.TurnRecord(
        id=turn.id,
        customer=turn.customer,
        ancestors=list(turn.ancestors),
        input=turn.input,
        output=turn.output,
        ended_ms=turn.ended_ms,
        expires_ms=turn.expires_ms,
        program=turn.program,
    )


def from_wire(record: ttypes.TurnRecord) -> Turn:
    """Convert a message entry to a turn.

    Raises
    ------
    ValueError
        If a field is missing, so that the turn cannot be taken for whole.
    """
    if record.id is None or record.input is None or record.output is None:
        raise ValueError("a turn lacks its id, input or output")
    return Turn(
        record.id,
        record.customer or "",
        tuple(record.ancestors or ()),
        bytes(record.input),
        bytes(record.output),
        record.ended_ms or 0,
        record.expires_ms or 0,
        record.program or "",
    )


def chain_text(chain: collections.abc.Iterable[Turn], new_input: bytes) -> bytes:
    """Return the body that a server gets: the turns of a chain, oldest first, and the new input."""
    parts: list[bytes] = []
    for turn in chain:
        parts += (turn.input, turn.output)
    return b"".join([*parts, new_input])
