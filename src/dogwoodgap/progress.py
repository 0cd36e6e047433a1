"""What has happened to one forwarded request so far."""

import collections
import dataclasses
import enum

from dogwoodgap import dialect, pacing, routes


class ExchangeResult(enum.Enum):
    """How the exchange with one server ended."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedResponse:
    """An answer of a backend server that was read to its end."""

    status: int
    headers: dialect.Headers
    body: bytes


@dataclasses.dataclass(slots=True)
class Progress:
    """What has happened to one request so far.

    Attributes
    ----------
    runs : collections.Counter
        How often each server may have run it, by id.
    retries : int
        Times that it was sent again after it may have run.
    events : int
        Events of its stream that the caller was given.
    last_event_id : bytes or None
        Id of the last of them.
    suspect_servers : list of str
        Servers that were silent or answered with a server error, by id. They are at fault if
        another server answers; otherwise the request may be.
    failure : BufferedResponse or None
        The last server error; the caller gets it when no other try is made.
    """

    route: routes.Route
    service: str
    deadline_at: float
    turn_priority: pacing.TurnPriority = pacing.TurnPriority.UNDER_WAY
    runs: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    retries: int = 0
    refusals: int = 0
    events: int = 0
    last_event_id: bytes | None = None
    excluded: set[str] = dataclasses.field(default_factory=set)
    attempt_log: list[str] = dataclasses.field(default_factory=list)
    offered_at: float | None = None
    status: int = 0
    suspect_servers: list[str] = dataclasses.field(default_factory=list)
    failure: BufferedResponse | None = None

    @property
    def may_have_run(self) -> bool:
        """Return whether any server may have run the request."""
        return any(self.runs.values())


class StreamBrokenError(Exception):
    """A stream that the caller has begun to receive cannot be finished."""
