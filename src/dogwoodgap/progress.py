"""What has happened to one forwarded request so far."""

import collections
import dataclasses
import enum

from dogwoodgap import dialect, pacing, routes


class Result(enum.Enum):
    """How the exchange with one server ended."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class WholeAnswer:
    """An answer of a backend server that was read to its end."""

    status: int
    headers: dialect.Headers
    body: bytes


@dataclasses.dataclass(slots=True)
class Progress:
    """What has happened to one request so far.

    Attributes
    ----------
    ran : collections.Counter
        How often each server may have run it, by id.
    repeats : int
        Times that it was sent again after it may have run.
    events : int
        Events of its stream that the caller was given.
    last_event_id : bytes or None
        Id of the last of them.
    doubted : list of str
        Servers that were silent or answered with a server error, by id. They are at fault if
        another server answers; otherwise the request may be.
    failure : WholeAnswer or None
        The last server error; the caller gets it when no other try is made.
    """

    route: routes.Route
    service: str
    limit_at: float
    standing: pacing.Standing = pacing.Standing.UNDER_WAY
    ran: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    repeats: int = 0
    refusals: int = 0
    events: int = 0
    last_event_id: bytes | None = None
    excluded: set[str] = dataclasses.field(default_factory=set)
    trail: list[str] = dataclasses.field(default_factory=list)
    offered_at: float | None = None
    status: int = 0
    doubted: list[str] = dataclasses.field(default_factory=list)
    failure: WholeAnswer | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether any server may have run the request."""
        return any(self.ran.values())


class StreamBrokenError(Exception):
    """A stream that the caller has begun to receive cannot be finished."""
