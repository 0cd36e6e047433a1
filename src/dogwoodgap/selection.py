"""Choice of the backend server for a forwarded request; no network, no clock of its own.

Model engines: all nodes give a program the same home engine by rendezvous hashing, so its turns
and sub-agents find their prefix cached there without any message between nodes. A request leaves
its home when waiting there would take longer than reading the prompt again elsewhere. This
answers bursts and engines that crash, drain or slow down.

Plain services: the server with the least expected time, by learnt speed and requests in flight.

Both avoid servers that fail part of their requests while their health answers are good.
"""

import collections
import dataclasses

import xxhash

from dogwoodgap import dialect, routes, servers

PREFILL_S_PER_TOKEN = 1 / 90_000
"""Reading a prompt: the engines of both deployments read 85 to 101 tokens a ms."""

RUNNING_REQUEST_DELAY_S = 0.0015
"""Delay that each running request adds: its share of every step and of prefill between steps."""

DEFAULT_TURN_S = 0.22
"""Typical time of a turn before any was measured: 70 tokens of 3 ms."""

DEFAULT_PLAIN_S = 0.06
"""Typical time of a plain request before any was measured."""

RESPONSE_TIME_WEIGHT = 0.1
"""Weight of a new measurement in the moving average of a server's answer time."""

INITIAL_BACKOFF_S = 0.5
"""A server that accepted no connection gets no request for this long, doubled each time."""

MAX_BACKOFF_S = 2.0
FAILURE_RATE_WEIGHT = 0.15
"""Weight of a new request in the moving average of a server's failures."""

TOLERATED_FAILURE_RATE = 0.2
"""Up to this average a server is not avoided: single failures come in bursts, in which sending the
load of some servers to the others costs more than a few repeats."""

FAILURE_HALF_LIFE_S = 2.0
"""Time in which the average halves without requests, so that the server is tried again."""

FAILURE_COST_S = 0.5
"""Delay of a request that failed: its own time and that of another try by the caller."""

REMOTE_DATA_CENTRE_S = 0.001
"""Preference for the own data centre, about one way between two of them."""

MAX_SESSIONS = 4_096
"""Lines of turns whose engine is remembered."""


@dataclasses.dataclass(slots=True)
class ServerState:
    """What this node knows of one server's load.

    Attributes
    ----------
    in_flight : int
        Requests of this node.
    remote_in_flight : int
        Requests of other nodes, as they last said.
    response_time_s : float
        Moving average of the time of an answer; 0 before the first.
    backoff_until : float
        Until then it gets nothing, since it accepted no connection.
    failure_rate : float
        Moving average of failed requests, 0 to 1, at ``failure_rate_at`` (monotonic time, s).
    """

    in_flight: int = 0
    remote_in_flight: int = 0
    response_time_s: float = 0.0
    backoff_until: float = 0.0
    connect_failures: int = 0
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0

    @property
    def total_in_flight(self) -> int:
        """Return all requests in flight that are known."""
        return self.in_flight + self.remote_in_flight

    def record_response(self, seconds: float) -> None:
        """Record a completed request."""
        self.connect_failures = 0
        if self.response_time_s == 0.0:
            self.response_time_s = seconds
        self.response_time_s += RESPONSE_TIME_WEIGHT * (seconds - self.response_time_s)

    def decayed_failure_rate(self, now: float) -> float:
        """Return the moving average of failed requests."""
        return self.failure_rate * 0.5 ** ((now - self.failure_rate_at) / FAILURE_HALF_LIFE_S)

    def failure_cost_s(self, now: float) -> float:
        """Return the expected delay by failed requests in seconds."""
        if self.failure_rate <= TOLERATED_FAILURE_RATE:
            return 0.0
        rate = self.decayed_failure_rate(now)
        return rate * FAILURE_COST_S if rate > TOLERATED_FAILURE_RATE else 0.0

    def record_outcome(self, now: float, *, failed: bool) -> None:
        """Record whether the server failed a request that it had taken."""
        if failed or self.failure_rate:
            previous = self.decayed_failure_rate(now)
            self.failure_rate = previous + FAILURE_RATE_WEIGHT * (float(failed) - previous)
            self.failure_rate_at = now

    def record_unreachable(self, now: float) -> None:
        """Record that no connection was accepted."""
        backoff_s = min(INITIAL_BACKOFF_S * 2**self.connect_failures, MAX_BACKOFF_S)
        self.connect_failures += 1
        self.backoff_until = now + backoff_s


class LoadTable:
    """The states of all servers and the engines that lines of turns have used."""

    def __init__(self, data_centre: str = ""):
        self.data_centre = data_centre
        self.states: dict[str, ServerState] = {}
        self.session_servers: collections.OrderedDict[str, str] = collections.OrderedDict()

    def state(self, server: servers.BackendServer) -> ServerState:
        """Return the state of a server."""
        found = self.states.get(server.id)
        if found is None:
            found = self.states[server.id] = ServerState()
        return found

    def remove(self, server: servers.BackendServer) -> None:
        """Drop a server that is gone."""
        self.states.pop(server.id, None)

    def record_failures(self, server_ids: list[str], now: float) -> None:
        """Record that servers failed a request which another server answered."""
        for server_id in server_ids:
            if server_id in self.states:
                self.states[server_id].record_outcome(now, failed=True)

    def record_session(self, session_id: str, server: servers.BackendServer) -> None:
        """Remember the engine that holds a line's prompt."""
        if session_id:
            self.session_servers[session_id] = server.id
            self.session_servers.move_to_end(session_id)
            if len(self.session_servers) > MAX_SESSIONS:
                self.session_servers.popitem(last=False)


def rendezvous_server(key: str, candidates: list[servers.BackendServer]) -> servers.BackendServer:
    """Return the same server on all nodes for one key (rendezvous hashing)."""
    return max(candidates, key=lambda server: xxhash.xxh64_intdigest(f"{key}/{server.id}".encode()))


def engine_cost_s(
    table: LoadTable,
    server: servers.BackendServer,
    engine: routes.Engine,
    call: dialect.Call,
    is_home: bool,
    now: float,
) -> float:
    """Return the expected delay of a turn at an engine, beyond its own generation."""
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
        + (0.0 if server.data_centre == table.data_centre else REMOTE_DATA_CENTRE_S)
    )


def plain_cost_s(table: LoadTable, server: servers.BackendServer, now: float) -> float:
    """Return the expected time of a request at a plain server."""
    state = table.state(server)
    response_time_s = state.response_time_s or DEFAULT_PLAIN_S
    slots = max(1, server.slots)
    queued = max(0, state.total_in_flight + 1 - slots)
    data_centre_s = 0.0 if server.data_centre == table.data_centre else REMOTE_DATA_CENTRE_S
    failure_s = state.failure_cost_s(now)
    return (
        data_centre_s
        + failure_s
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
    """Return the server with the least expected delay, or None when there is none."""
    usable = [server for server in candidates if table.state(server).backoff_until <= now]
    usable = usable or candidates
    if not usable:
        return None
    if engine is None:
        salt = call.attempt_id
        return min(
            usable,
            key=lambda server: (
                plain_cost_s(table, server, now),
                xxhash.xxh32_intdigest((salt + server.id).encode()),
            ),
        )
    home_server = rendezvous_server(call.program_id or call.session_id or call.attempt_id, usable)
    return min(
        usable,
        key=lambda server: engine_cost_s(table, server, engine, call, server is home_server, now),
    )
