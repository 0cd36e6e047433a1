"""State of one forwarded request across its attempts."""

import collections
import dataclasses
import enum
import math

from dogwoodgap import body_memory, dialect, pacing, routes
from dogwoodgap.history import recording


class AttemptResult(enum.Enum):
    """Result of one attempt at a server."""

    DONE = "done"
    NOT_RUN = "not_run"
    UNREACHABLE = "unreachable"
    UNKNOWN = "unknown"
    FAILED = "failed"


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedResponse:
    """A backend server's response that was read completely."""

    status: int
    headers: dialect.Headers
    body: bytes


@dataclasses.dataclass(slots=True)
class Progress:
    """State of one request across its attempts.

    Attributes
    ----------
    deadline_at : float
        Monotonic time at which the request is ended.
    runs : collections.Counter
        Number of times that each server may have run the request, by server id.
    retries : int
        Number of times that the request was retried after it may have run.
    has_retry : bool
        Whether a retry was acquired for which the last attempt was given up.
    is_relayed : bool
        Whether another gateway sent the request, so that it must not be sent to a third one.
    helper_refusals : int
        Number of other gateways that did not accept the request.
    helper_search_ends_at : float or None
        Monotonic time until which other gateways are asked.
    refusals : int
        Number of servers that did not run the request: they refused it or were unreachable.
    events : int
        Number of stream events sent to the caller.
    last_event_id : bytes or None
        Id of the last event sent to the caller.
    stream_type : bytes or None
        Content type of the stream; what continues it has to have the same one.
    required_version : str or None
        Software version that has to continue the stream; None before its first event.
    stream_versions : list of str
        Software versions of the servers whose events were sent to the caller, in order.
    excluded : set of str
        Ids of the servers that refused the request or were unreachable.
    attempt_log : list of str
        Servers, results and errors of the attempts so far, for the request log.
    offered_at : float or None
        Monotonic time at which the request was first sent to a server.
    quota_counted_at : float or None
        Monotonic time at which the request was counted toward a quota; None without one.
    suspect_servers : list of str
        Ids of servers that did not respond or returned a server error. They are considered at
        fault if another server responds; otherwise the request itself may be the cause.
    failure : BufferedResponse or None
        The last server error; it is sent to the caller if no further attempt is made.
    body_holding : body_memory.BodyHolding
        Counts the bodies of the request that are held in memory.
    turn_recording : recording.TurnRecording or None
        Records a turn that is kept.
    is_scheduled : bool
        Whether a turn scheduler places the request.
    placements : list of str
        Engines that a turn scheduler named for the attempts, why, and the expected time.
    first_event_at : float or None
        Monotonic time of the first event of the stream.
    load : dialect.ServerLoad or None
        Load report of the last response, received at ``reported_at``.
    """

    route: routes.Route
    service: str
    deadline_at: float
    turn_priority: pacing.TurnPriority = pacing.TurnPriority.UNDER_WAY
    runs: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    retries: int = 0
    has_retry: bool = False
    is_relayed: bool = False
    helper_refusals: int = 0
    helper_search_ends_at: float | None = None
    refusals: int = 0
    events: int = 0
    last_event_id: bytes | None = None
    stream_type: bytes | None = None
    required_version: str | None = None
    stream_versions: list[str] = dataclasses.field(default_factory=list)
    excluded: set[str] = dataclasses.field(default_factory=set)
    attempt_log: list[str] = dataclasses.field(default_factory=list)
    offered_at: float | None = None
    quota_counted_at: float | None = None
    status: int = 0
    suspect_servers: list[str] = dataclasses.field(default_factory=list)
    failure: BufferedResponse | None = None
    body_holding: body_memory.BodyHolding = dataclasses.field(
        default_factory=lambda: body_memory.BodyMemory(math.inf).hold()
    )
    turn_recording: recording.TurnRecording | None = None
    is_scheduled: bool = False
    placements: list[str] = dataclasses.field(default_factory=list)
    first_event_at: float | None = None
    load: dialect.ServerLoad | None = None
    reported_at: float = -math.inf

    @property
    def may_have_run(self) -> bool:
        """Return whether any server may have run the request."""
        return any(self.runs.values())


class StreamBrokenError(Exception):
    """A stream that the caller has started to receive cannot be completed."""
