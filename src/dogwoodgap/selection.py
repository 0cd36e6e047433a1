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

NEIGHBOUR_S = 0.0015
"""Delay that each running request adds: its share of every step and of prefill between steps."""

TURN_S = 0.22
"""Typical time of a turn before any was measured: 70 tokens of 3 ms."""

PLAIN_S = 0.06
"""Typical time of a plain request before any was measured."""

AVERAGE_WEIGHT = 0.1
"""Weight of a new measurement in the moving average of a server's answer time."""

FAILURE_PAUSE_S = 0.5
"""A server that accepted no connection gets no request for this long, doubled each time."""

MAX_FAILURE_PAUSE_S = 2.0
FAILURE_WEIGHT = 0.15
"""Weight of a new request in the moving average of a server's failures."""

TOLERATED_FAILURES = 0.2
"""Up to this average a server is not avoided: single failures come in bursts, in which sending the
load of some servers to the others costs more than a few repeats."""

FAILURE_HALF_LIFE_S = 2.0
"""Time in which the average halves without requests, so that the server is tried again."""

FAILURE_COST_S = 0.5
"""Delay of a request that failed: its own time and that of another try by the caller."""

REMOTE_S = 0.001
"""Preference for the own data centre, about one way between two of them."""

KNOWN_LINES = 4_096
"""Lines of turns whose engine is remembered."""


@dataclasses.dataclass(slots=True)
class ServerState:
    """What this node knows of one server's load.

    Attributes
    ----------
    in_flight : int
        Requests of this node.
    remote : int
        Requests of other nodes, as they last said.
    answer_s : float
        Moving average of the time of an answer; 0 before the first.
    paused_until : float
        Until then it gets nothing, since it accepted no connection.
    failing : float
        Moving average of failed requests, 0 to 1, at ``failing_at`` (monotonic time in seconds).
    """

    in_flight: int = 0
    remote: int = 0
    answer_s: float = 0.0
    paused_until: float = 0.0
    failures: int = 0
    failing: float = 0.0
    failing_at: float = 0.0

    @property
    def busy(self) -> int:
        """Return all requests in flight that are known."""
        return self.in_flight + self.remote

    def note_answer(self, seconds: float) -> None:
        """Record a completed request."""
        self.failures = 0
        if self.answer_s == 0.0:
            self.answer_s = seconds
        self.answer_s += AVERAGE_WEIGHT * (seconds - self.answer_s)

    def failing_average(self, now: float) -> float:
        """Return the moving average of failed requests."""
        return self.failing * 0.5 ** ((now - self.failing_at) / FAILURE_HALF_LIFE_S)

    def failing_cost_s(self, now: float) -> float:
        """Return the expected delay by failed requests in seconds."""
        if self.failing <= TOLERATED_FAILURES:
            return 0.0
        average = self.failing_average(now)
        return average * FAILURE_COST_S if average > TOLERATED_FAILURES else 0.0

    def note_outcome(self, now: float, *, failed: bool) -> None:
        """Record whether the server failed a request that it had taken."""
        if failed or self.failing:
            before = self.failing_average(now)
            self.failing = before + FAILURE_WEIGHT * (float(failed) - before)
            self.failing_at = now

    def note_unreachable(self, now: float) -> None:
        """Record that no connection was accepted."""
        pause = min(FAILURE_PAUSE_S * 2**self.failures, MAX_FAILURE_PAUSE_S)
        self.failures += 1
        self.paused_until = now + pause


class LoadTable:
    """The states of all servers and the engines that lines of turns have used."""

    def __init__(self, data_centre: str = ""):
        self.data_centre = data_centre
        self.states: dict[str, ServerState] = {}
        self.lines: collections.OrderedDict[str, str] = collections.OrderedDict()

    def state(self, server: servers.BackendServer) -> ServerState:
        """Return the state of a server."""
        found = self.states.get(server.id)
        if found is None:
            found = self.states[server.id] = ServerState()
        return found

    def forget(self, server: servers.BackendServer) -> None:
        """Drop a server that is gone."""
        self.states.pop(server.id, None)

    def note_failures(self, server_ids: list[str], now: float) -> None:
        """Record that servers failed a request which another server answered."""
        for server_id in server_ids:
            if server_id in self.states:
                self.states[server_id].note_outcome(now, failed=True)

    def note_line(self, session_id: str, server: servers.BackendServer) -> None:
        """Remember the engine that holds a line's prompt."""
        if session_id:
            self.lines[session_id] = server.id
            self.lines.move_to_end(session_id)
            if len(self.lines) > KNOWN_LINES:
                self.lines.popitem(last=False)


def home(key: str, candidates: list[servers.BackendServer]) -> servers.BackendServer:
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
    cached = is_home or table.lines.get(call.session_id) == server.id
    shared = sum(part.tokens for part in call.prompt_parts[:1])
    unread = max(0, call.prompt_tokens - shared) if not cached else 0
    turn_s = state.answer_s or TURN_S
    waiting = max(0, state.busy + 1 - engine.slots)
    return (
        unread * PREFILL_S_PER_TOKEN
        + state.busy * NEIGHBOUR_S
        + waiting * turn_s / engine.slots
        + state.failing_cost_s(now)
        + (0.0 if server.data_centre == table.data_centre else REMOTE_S)
    )


def plain_cost_s(table: LoadTable, server: servers.BackendServer, now: float) -> float:
    """Return the expected time of a request at a plain server."""
    state = table.state(server)
    answer_s = state.answer_s or PLAIN_S
    slots = max(1, server.slots)
    waiting = max(0, state.busy + 1 - slots)
    near = 0.0 if server.data_centre == table.data_centre else REMOTE_S
    failing = state.failing_cost_s(now)
    return near + failing + answer_s * (1 + waiting / slots) + state.busy * answer_s / slots / 8


def choose(
    table: LoadTable,
    candidates: list[servers.BackendServer],
    engine: routes.Engine | None,
    call: dialect.Call,
    now: float,
) -> servers.BackendServer | None:
    """Return the server with the least expected delay, or None when there is none."""
    usable = [server for server in candidates if table.state(server).paused_until <= now]
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
    owner = home(call.program_id or call.session_id or call.attempt_id, usable)
    return min(
        usable,
        key=lambda server: engine_cost_s(table, server, engine, call, server is owner, now),
    )
