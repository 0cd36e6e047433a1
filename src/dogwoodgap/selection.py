"""Selects the backend server for a forwarded request; no I/O, and callers pass the time.

Model engines: rendezvous hashing maps a program to the same home engine on all nodes, so its turns
and sub-agents find their prefix cached there without coordination between nodes. A request goes to
another engine when queueing at its home engine would take longer than a new prefill of the prompt.
This handles bursts, and engines that crash, drain or slow down.

Plain services: the server with the lowest expected response time, estimated from its average
response time and its requests in flight.

Both avoid servers that fail some of their requests although they report themselves healthy. An
engine with a request rate limit is home to correspondingly fewer programs. For both kinds, the time
until a limit allows another request counts as delay.
"""

import collections
import collections.abc
import dataclasses
import math

import xxhash

from dogwoodgap import dialect, routes, servers

PREFILL_S_PER_TOKEN = 1 / 90_000
"""Prefill time; the engines of both deployments prefill 85 to 101 tokens per ms."""

RUNNING_REQUEST_DELAY_S = 0.0015
"""Delay that each running request adds to a turn, by decode steps and by prefill between them."""

DEFAULT_TURN_S = 0.22
"""Assumed time of a turn until one has completed: 70 tokens of 3 ms each."""

DEFAULT_PLAIN_S = 0.06
"""Assumed time of a plain request until one has completed."""

RESPONSE_TIME_WEIGHT = 0.1
"""Weight of a new response in the moving average of a server's response time."""

INITIAL_BACKOFF_S = 0.5
"""Backoff after a failed connection attempt; it doubles with each further one."""

MAX_BACKOFF_S = 2.0
MAX_BACKOFF_DOUBLINGS = 8
FAILURE_RATE_WEIGHT = 0.15
"""Weight of a new request in the moving average of a server's failure rate."""

TOLERATED_FAILURE_RATE = 0.2
"""Failure rate up to which a server is not avoided. Isolated failures come in bursts, in which
moving load to other servers costs more than a few retries."""

FAILURE_HALF_LIFE_S = 2.0
"""Time in which the failure rate halves without requests, so that the server is used again."""

FAILURE_COST_S = 0.5
"""Least delay that a failed request causes: its own time and a retry by the caller."""

FAILURE_COST_FACTOR = 4.0
"""Delay that a failed request causes, as a multiple of the typical response time."""

HANGING_FACTOR = 4.0
"""Multiple of its response time, or that of its peers, after which a silent server may hang."""

REMOTE_DATA_CENTRE_S = 0.001
"""Cost of a server in another data centre: about the one-way network delay."""

MIN_WEIGHT = 0.01
"""Least weight of a server as the home of programs; a server without a limit has 1."""

UNUSED_HASH_BITS = 12
"""Low bits of a 64-bit hash that exceed the precision of a float."""

HASH_RANGE = 2.0**52

MAX_SESSIONS = 4_096
"""Sessions whose last engine is remembered."""


@dataclasses.dataclass(slots=True)
class ServerState:
    """Load and failures of one server as this node knows them.

    Attributes
    ----------
    in_flight : int
        Requests of this node in flight.
    remote_in_flight : int
        Requests of other nodes in flight, as last reported.
    response_time_s : float
        Moving average of response times; 0 before the first response.
    backoff_until : float
        Monotonic time until which the server gets no requests after a failed connection.
    connect_failures : int
        Failed connection attempts since the last response.
    failure_rate : float
        Moving average of failed requests, 0 to 1, at the monotonic time ``failure_rate_at``.
    unanswered : dict
        Monotonic times at which this node sent requests that have no response yet, by a key of
        each attempt; the oldest first.
    """

    in_flight: int = 0
    remote_in_flight: int = 0
    response_time_s: float = 0.0
    backoff_until: float = 0.0
    connect_failures: int = 0
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    unanswered: dict[object, float] = dataclasses.field(default_factory=dict)

    @property
    def total_in_flight(self) -> int:
        """Return the known requests in flight of all nodes."""
        return self.in_flight + self.remote_in_flight

    def record_response(self, seconds: float) -> None:
        """Record a completed request."""
        self.connect_failures = 0
        if self.response_time_s == 0.0:
            self.response_time_s = seconds
        self.response_time_s += RESPONSE_TIME_WEIGHT * (seconds - self.response_time_s)

    def silent_s(self, now: float) -> float:
        """Return for how long the oldest request without a response has been running."""
        return now - next(iter(self.unanswered.values())) if self.unanswered else 0.0

    def decayed_failure_rate(self, now: float) -> float:
        """Return the failure rate, decayed since the last update."""
        return self.failure_rate * 0.5 ** ((now - self.failure_rate_at) / FAILURE_HALF_LIFE_S)

    def failure_cost_s(self, now: float, typical_s: float = 0.0) -> float:
        """Return the expected delay caused by failures, in seconds.

        Parameters
        ----------
        typical_s : float
            Typical response time of the service, in seconds.
        """
        if self.failure_rate <= TOLERATED_FAILURE_RATE:
            return 0.0
        rate = self.decayed_failure_rate(now)
        if rate <= TOLERATED_FAILURE_RATE:
            return 0.0
        return rate * max(FAILURE_COST_S, FAILURE_COST_FACTOR * typical_s)

    def record_outcome(self, now: float, *, failed: bool) -> None:
        """Update the failure rate with a request that the server accepted."""
        if failed or self.failure_rate:
            previous = self.decayed_failure_rate(now)
            self.failure_rate = previous + FAILURE_RATE_WEIGHT * (float(failed) - previous)
            self.failure_rate_at = now

    def record_unreachable(self, now: float) -> None:
        """Start a backoff after a failed connection attempt."""
        doublings = min(self.connect_failures, MAX_BACKOFF_DOUBLINGS)
        backoff_s = min(INITIAL_BACKOFF_S * 2**doublings, MAX_BACKOFF_S)
        self.connect_failures += 1
        self.backoff_until = now + backoff_s

    def record_reachable(self) -> None:
        """End the backoff after a new connection."""
        self.connect_failures = 0
        self.backoff_until = 0.0


class LoadTable:
    """The state of each server, and the engine that each session used last.

    Attributes
    ----------
    limit_per_s : callable
        Returns the request rate limit of a server, or None without one.
    available_at : callable
        Returns the monotonic time from which a server may get a request under its rate limit.
    """

    def __init__(self, data_centre: str = ""):
        self.data_centre = data_centre
        self.states: dict[str, ServerState] = {}
        self.session_servers: collections.OrderedDict[str, str] = collections.OrderedDict()
        self.limit_per_s: collections.abc.Callable[[servers.BackendServer], float | None] = (
            lambda _: None
        )
        self.available_at: collections.abc.Callable[[servers.BackendServer], float] = lambda _: 0.0

    def state(self, server: servers.BackendServer) -> ServerState:
        """Return the state of a server, creating it if needed."""
        state = self.states.get(server.id)
        if state is None:
            state = self.states[server.id] = ServerState()
        return state

    def remove(self, server: servers.BackendServer) -> None:
        """Drop the state of a removed server."""
        self.states.pop(server.id, None)

    def is_isolated(self) -> bool:
        """Return whether this node cannot connect to most of the servers that it used."""
        unreachable = sum(state.connect_failures > 0 for state in self.states.values())
        return 2 * unreachable > len(self.states)

    def record_failures(self, server_ids: list[str], now: float) -> None:
        """Record a failure for servers that did not complete a request that another one did."""
        for server_id in server_ids:
            if server_id in self.states:
                self.states[server_id].record_outcome(now, failed=True)

    def record_session(self, session_id: str, server: servers.BackendServer) -> None:
        """Remember the engine that has the prompt of a session in its cache."""
        if session_id:
            self.session_servers[session_id] = server.id
            self.session_servers.move_to_end(session_id)
            if len(self.session_servers) > MAX_SESSIONS:
                self.session_servers.popitem(last=False)


def usable_slots(table: LoadTable, server: servers.BackendServer, turn_s: float) -> float:
    """Return the slots of a server that its rate limit can fill with turns of a duration."""
    limit_per_s = table.limit_per_s(server)
    return server.slots if limit_per_s is None else min(server.slots, limit_per_s * turn_s)


def rendezvous_server(
    table: LoadTable, key: str, candidates: list[servers.BackendServer]
) -> servers.BackendServer:
    """Return the server for a key by weighted rendezvous hashing; all nodes get the same one.

    The weight is the usable part of a server's slots. It depends only on what all nodes know, not
    on the response times that each one measures.
    """

    def score(server: servers.BackendServer) -> float:
        digest = xxhash.xxh64_intdigest(f"{key}/{server.id}".encode()) >> UNUSED_HASH_BITS
        usable = usable_slots(table, server, DEFAULT_TURN_S) / max(1, server.slots)
        weight = max(usable, MIN_WEIGHT) if table.limit_per_s(server) is not None else 1.0
        return -weight / math.log((digest + 0.5) / HASH_RANGE)

    return max(candidates, key=score)


def engine_cost_s(
    table: LoadTable,
    server: servers.BackendServer,
    engine: routes.Engine,
    call: dialect.Call,
    is_home: bool,
    now: float,
) -> float:
    """Return the expected delay of a turn at an engine in seconds, without its own generation."""
    state = table.state(server)
    is_cached = is_home or table.session_servers.get(call.session_id) == server.id
    shared_tokens = sum(part.tokens for part in call.prompt_parts[:1])
    uncached_tokens = max(0, call.prompt_tokens - shared_tokens) if not is_cached else 0
    turn_s = state.response_time_s or DEFAULT_TURN_S
    queued = max(0, state.total_in_flight + 1 - engine.slots)
    return (
        uncached_tokens * PREFILL_S_PER_TOKEN
        + state.total_in_flight * RUNNING_REQUEST_DELAY_S
        + queued * turn_s / engine.slots
        + state.failure_cost_s(now)
        + max(0.0, table.available_at(server) - now)
        + (0.0 if server.data_centre == table.data_centre else REMOTE_DATA_CENTRE_S)
    )


def typical_response_s(table: LoadTable, candidates: list[servers.BackendServer]) -> float:
    """Return the expected response time of a plain server that has not responded yet.

    It is the average of those that have, and not below the default.
    """
    known = [
        response_time_s
        for server in candidates
        if (response_time_s := table.state(server).response_time_s)
    ]
    return max(DEFAULT_PLAIN_S, sum(known) / len(known)) if known else DEFAULT_PLAIN_S


def plain_cost_s(
    table: LoadTable, server: servers.BackendServer, now: float, typical_s: float
) -> float:
    """Return the expected time of a request at a plain server in seconds.

    A server is taken to be as fast as its peers until it responds. One that has been silent for
    long, against its own past and its peers, is expected to stay silent for as long again.
    """
    state = table.state(server)
    response_time_s = state.response_time_s or typical_s
    silent_s = state.silent_s(now)
    if silent_s > HANGING_FACTOR * max(response_time_s, typical_s):
        response_time_s = silent_s
    slots = max(1, server.slots)
    queued = max(0, state.total_in_flight + 1 - slots)
    data_centre_cost_s = 0.0 if server.data_centre == table.data_centre else REMOTE_DATA_CENTRE_S
    failure_cost_s = state.failure_cost_s(now, typical_s)
    return (
        data_centre_cost_s
        + failure_cost_s
        + max(0.0, table.available_at(server) - now)
        + response_time_s * (1 + queued / slots)
        + state.total_in_flight * response_time_s / slots / 8
    )


def choose(
    table: LoadTable,
    candidates: list[servers.BackendServer],
    engine: routes.Engine | None,
    call: dialect.Call,
    now: float,
) -> servers.BackendServer | None:
    """Return the server with the lowest expected delay, or None without candidates."""
    usable = [server for server in candidates if table.state(server).backoff_until <= now]
    usable = usable or candidates
    if not usable:
        return None
    if engine is None:
        salt = call.attempt_id
        typical_s = typical_response_s(table, usable)
        return min(
            usable,
            key=lambda server: (
                plain_cost_s(table, server, now, typical_s),
                xxhash.xxh32_intdigest((salt + server.id).encode()),
            ),
        )
    home_server = rendezvous_server(
        table, call.program_id or call.session_id or call.attempt_id, usable
    )
    return min(
        usable,
        key=lambda server: engine_cost_s(table, server, engine, call, server is home_server, now),
    )
