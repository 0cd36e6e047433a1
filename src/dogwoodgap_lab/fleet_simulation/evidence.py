"""What a simulated run records: requests, their runs, disruptions and the event log."""

import dataclasses
import hashlib
import math

GRACE_S = 8.0
"""Time between SIGTERM and the end of a gateway, in seconds."""

EXIT_WAIT_S = 1.0
"""Time after a planned stop in which a lost response still counts as cut by it."""

STORE = "store"
"""Host of the log lines on the store, which every timeline shows."""

CONTEXT_S = 4.0
"""Time before the first request of a finding from which its timeline shows the gateways."""


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request: how it is routed, and how long a server works on it, in seconds."""

    name: str
    route_kind: str
    timeout_s: float
    work_s: float
    max_runs: int = 1
    events: int = 0
    is_turn: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        return self.route_kind == "idempotent" or bool(self.events)


KINDS = (
    Kind("ticks", "idempotent", 1.0, 0.001, max_runs=2),
    Kind("acts", "non_idempotent", 3.0, 0.087),
    Kind("pays", "non_idempotent", 3.0, 1.2),
    Kind("reads", "idempotent", 1.2, 0.03, max_runs=2),
    Kind("looks", "idempotent", 3.0, 0.35, max_runs=2),
    Kind("turns", "streaming", 4.0, 0.5, max_runs=2, events=10, is_turn=True),
    Kind("talks", "streaming", 4.0, 3.0, max_runs=2, events=10),
)


KIND_BY_NAME = {kind.name: kind for kind in KINDS}


@dataclasses.dataclass(frozen=True)
class Program:
    """A program whose turns share a budget of tokens; each event of a turn is one token."""

    name: str
    budget: int


@dataclasses.dataclass
class Attempt:
    """One request of a caller, which gave up at its deadline or got a whole response or none."""

    id: str
    kind: Kind
    gateway: str
    program: Program | None = None
    sent_at: float = math.inf
    ended_at: float = math.inf
    status: int = 0
    attempt_header: str = ""
    signed: bool = False
    body: bytes = b""
    whole: bool = False
    gave_up: bool = False
    extra: bytes = b""


@dataclasses.dataclass
class Run:
    """One time that a server began to work on a request, which a gateway sent to it."""

    attempt: str
    server: str
    sender: str
    began_at: float
    body: bytes = b""
    last_event: int = 0
    ended_at: float = math.inf
    broken: bool = False


@dataclasses.dataclass
class Stop:
    """A planned stop of a gateway, from the signal to the end of the process."""

    gateway: str
    began_at: float
    ended_at: float = math.inf


@dataclasses.dataclass
class Disruption:
    """An unplanned disruption of a gateway: a kill, pause or reset connection."""

    gateway: str
    began_at: float
    ended_at: float


@dataclasses.dataclass
class Life:
    """The time from the start of a gateway process to its SIGTERM or its end."""

    gateway: str
    began_at: float
    ended_at: float = math.inf


@dataclasses.dataclass
class Cut:
    """A time in which some gateways cannot reach any backend server."""

    gateways: frozenset[str]
    began_at: float
    ended_at: float = math.inf


@dataclasses.dataclass
class Outage:
    """A time in which the store does not answer as usual; the last delayed answer ends it."""

    began_at: float
    ended_at: float


@dataclasses.dataclass
class Departure:
    """The time from the mark of a server as leaving to the list with its next process."""

    server: str
    marked_at: float
    returned_at: float = math.inf


@dataclasses.dataclass
class Evidence:
    """Everything that a run has shown."""

    attempts: dict[str, Attempt] = dataclasses.field(default_factory=dict)
    runs: list[Run] = dataclasses.field(default_factory=list)
    stops: list[Stop] = dataclasses.field(default_factory=list)
    disruptions: list[Disruption] = dataclasses.field(default_factory=list)
    lives: list[Life] = dataclasses.field(default_factory=list)
    cuts: list[Cut] = dataclasses.field(default_factory=list)
    outages: list[Outage] = dataclasses.field(default_factory=list)
    departures: list[Departure] = dataclasses.field(default_factory=list)
    errors: list[str] = dataclasses.field(default_factory=list)
    log: list[tuple[float, str, str, str]] = dataclasses.field(default_factory=list)

    def add(self, at: float, host: str, text: str, request: str = "") -> None:
        """Add a line to the event log."""
        self.log.append((at, host, request, text))

    def digest(self) -> str:
        """Return a hash of the event log, equal for equal runs."""
        return hashlib.sha256(repr(self.log).encode()).hexdigest()[:12]

    def timeline(self, requests: set[str], gateways: set[str]) -> list[str]:
        """Return the log lines of some requests, and those of gateways around them."""
        times = [at for at, _, request, _ in self.log if request in requests]
        since, until = -math.inf, math.inf
        if times:
            since, until = min(times) - CONTEXT_S, max(times) + EXIT_WAIT_S
        return [
            f"  {at:10.4f} {host:<10} {text}"
            for at, host, request, text in self.log
            if request in requests
            or (not request and host in (*gateways, STORE) and since <= at <= until)
        ]
