"""Count what the control plane costs a gateway in fleets of several sizes, on virtual time.

Each simulated gateway is a real ``gateway.Gateway`` with real connection handling, but streams are
in memory, the store is a stand-in, and turns are placed without being sent. Counts therefore do not
depend on the machine.
"""

import collections
import collections.abc
import contextlib
import cProfile
import dataclasses
import logging
import math

import anyio
import anyio.abc
import anyio.streams.memory
import trio.testing

from dogwoodgap import (
    clock,
    dialect,
    exceptions,
    file_source,
    gate,
    gateway,
    pacing,
    peers,
    progress,
    routes,
    servers,
    settings,
    source,
)
from dogwoodgap_lab import capacity_fit

DATA_CENTRES = 5
LINK_DELAY_S = 0.001
STORE_DELAY_S = 0.004
HEARTBEAT_INTERVAL_S = 0.06
"""Interval at which the stored list of servers gets a new revision by a server's heartbeat."""

ENGINES = 20
ENGINE_SLOTS = 6
TURN_S = 0.2
TURNS_PER_PROGRAM = 5
TOKEN_BUDGET = 500
"""Low enough that the last turns of a program need a record in the store."""

START_S = 4.0
SETTLE_S = 2.0
MEASUREMENT_S = 5.0
STOP_S = 2.0
RESTARTED_SHARE = 1 / 3
WALL_START_S = 1_800_000_000.0


class MemoryStream(anyio.abc.ByteStream):
    """One end of an in-memory connection; data arrives after ``LINK_DELAY_S``."""

    def __init__(
        self,
        outgoing: anyio.streams.memory.MemoryObjectSendStream[tuple[float, bytes]],
        incoming: anyio.streams.memory.MemoryObjectReceiveStream[tuple[float, bytes]],
    ):
        self.outgoing = outgoing
        self.incoming = incoming
        self.arriving: tuple[float, bytes] | None = None

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return the next data once it has arrived."""
        if self.arriving is None:
            self.arriving = await self.incoming.receive()
        await clock.sleep_until(self.arriving[0])
        data, self.arriving = self.arriving[1], None
        return data

    async def send(self, item: bytes) -> None:
        """Send data."""
        await self.outgoing.send((clock.now() + LINK_DELAY_S, item))

    async def send_eof(self) -> None:
        """Close the sending direction."""
        self.outgoing.close()

    async def aclose(self) -> None:
        """Close both directions."""
        self.outgoing.close()
        self.incoming.close()


class Links:
    """The listeners of a simulated fleet by address."""

    def __init__(self) -> None:
        self.listeners: dict[str, collections.abc.Callable[[MemoryStream], None]] = {}

    def open(self, address: str) -> MemoryStream:
        """Return one end of a new connection to an address.

        Raises
        ------
        ConnectionRefusedError
            If nothing listens there.
        """
        if address not in self.listeners:
            raise ConnectionRefusedError(f"nothing listens on {address}")
        to_server, from_client = anyio.create_memory_object_stream[tuple[float, bytes]](math.inf)
        to_client, from_server = anyio.create_memory_object_stream[tuple[float, bytes]](math.inf)
        self.listeners[address](MemoryStream(to_client, from_client))
        return MemoryStream(to_server, from_server)


class SimulatedNetwork(peers.PeerNetwork):
    """Connections over simulated links; counts messages by kind, and opened connections."""

    def __init__(self, links: Links, address: str, tasks: anyio.abc.TaskGroup):
        super().__init__(address, tasks)
        self.links = links
        self.sent: collections.Counter[str] = collections.Counter()
        self.opened = 0

    async def request(self, address, message, reply_type, *, timeout_s, reconnect=False):  # noqa: ANN001
        """Count and send a message."""
        self.sent[type(message).__name__] += 1
        return await super().request(
            address, message, reply_type, timeout_s=timeout_s, reconnect=reconnect
        )

    async def open_stream(self, address: str) -> anyio.abc.ByteStream:
        """Open and count a connection."""
        self.opened += 1
        await anyio.sleep(2 * LINK_DELAY_S)
        return self.links.open(address)

    async def serve(self, *, task_status: anyio.abc.TaskStatus[int]) -> None:
        """Accept connections until cancelled."""
        self.links.listeners[self.bind] = lambda stream: self.tasks.start_soon(
            self.serve_stream, stream
        )
        try:
            task_status.started(0)
            await anyio.sleep_forever()
        finally:
            del self.links.listeners[self.bind]


class SimulatedStore:
    """Implements ``source.FleetSource``; the revision grows with each server's heartbeat."""

    def __init__(self, engines: int):
        self.calls: collections.Counter[str] = collections.Counter()
        self.servers = tuple(
            servers.BackendServer(
                f"e{number}",
                "llm",
                f"10.9.0.{number}:80",
                f"dc{number % DATA_CENTRES}",
                ENGINE_SLOTS,
            )
            for number in range(engines)
        )
        engine = routes.Engine(ENGINE_SLOTS, 50_000, 12)
        self.table = routes.RouteTable(1, [], [routes.Service("llm", 1100, engine)])

    async def read_routes(self) -> source.RoutesSnapshot:
        """Return the routes."""
        self.calls["routes"] += 1
        await anyio.sleep(STORE_DELAY_S)
        return source.RoutesSnapshot(self.table, 1)

    async def watch_routes(self, after: int, wait_s: float) -> source.WatchResult:
        """Wait; the routes never change."""
        self.calls["watches"] += 1
        await anyio.sleep(wait_s)
        return source.WatchResult(after, changed=False)

    async def read_servers(self) -> servers.Listing:
        """Return the servers at the current revision."""
        self.calls["servers"] += 1
        await anyio.sleep(STORE_DELAY_S)
        return servers.Listing(1 + int(clock.now() / HEARTBEAT_INTERVAL_S), self.servers)


class LineCounter(logging.Handler):
    """Counts log lines without writing them."""

    def __init__(self) -> None:
        super().__init__()
        self.lines = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Count a line."""
        self.lines += 1


class SimulatedGateway:
    """One gateway of the fleet, which can be stopped and started again."""

    def __init__(self, fleet: "SimulatedFleet", number: int):
        self.fleet = fleet
        self.number = number
        self.address = f"10.0.{number // 250}.{number % 250}:7080"
        self.scope = anyio.CancelScope()
        self.network: SimulatedNetwork | None = None
        self.gateway: gateway.Gateway | None = None
        self.tasks: anyio.abc.TaskGroup
        self.starts = 0

    def load_settings(self) -> settings.GatewaySettings:
        """Return the settings of this gateway."""
        return settings.GatewaySettings.model_validate(
            {
                "node": {
                    "name": f"gateway-{self.number:03}",
                    "data_centre": f"dc{self.number % DATA_CENTRES}",
                    "http_bind": self.address.replace(":7080", ":8080"),
                    "peer_bind": self.address,
                    "seeds": [member.address for member in self.fleet.gateways[:3]],
                },
                "platform": {"url": "http://unused"},
                "gateway": {"first_start": self.starts == 0},
            }
        )

    async def run(self) -> None:
        """Run until stopped."""
        self.scope = anyio.CancelScope()
        with self.scope:
            async with anyio.create_task_group() as tasks:
                self.network = SimulatedNetwork(self.fleet.links, self.address, tasks)
                self.gateway = gateway.Gateway(
                    self.load_settings(),
                    self.fleet.store,
                    self.fleet.records,
                    self.fleet.crash_records,
                    file_source.NoRemovals(),
                    dialect.HeaderCodec(),
                )
                self.starts += 1
                self.tasks = tasks
                self.fleet.networks.append(self.network)
                await self.gateway.start_following(self.network, tasks)
                tasks.start_soon(self.gateway.join, self.network, tasks)
                await anyio.sleep_forever()

    async def restart(self) -> None:
        """Stop as planned and start again with a new boot."""
        if self.gateway is not None and self.gateway.membership is not None:
            await self.gateway.membership.leave()
            await anyio.sleep(STOP_S)
            await self.gateway.membership.depart()
        self.gateway = None
        self.scope.cancel()
        self.fleet.tasks.start_soon(self.run)

    async def place_turns(self, turns_per_s: float) -> None:
        """Reserve, place and settle turns of programs at a constant rate."""
        number = 0
        while True:
            await anyio.sleep(1 / turns_per_s)
            number += 1
            if self.gateway is not None and self.gateway.membership is not None:
                self.tasks.start_soon(self.place_turn, self.gateway, number)

    async def place_turn(self, served: gateway.Gateway, number: int) -> None:
        """Reserve, place and settle one turn; a turn takes ``TURN_S``."""
        program = number // TURNS_PER_PROGRAM
        call = dialect.Call(
            f"a{self.number}-{number}",
            b"POST",
            b"/",
            "h",
            "/",
            [],
            clock.now(),
            finish_at=clock.now() + 3.0,
            program_id=f"p{self.number}-{program}",
            session_id=f"s{self.number}-{program}",
            token_budget=TOKEN_BUDGET,
            prompt_tokens=1_000,
            max_output_tokens=100,
        )
        state = progress.Progress(self.fleet.route, "llm", clock.now() + 3.0)
        forwarder = served.forwarder
        try:
            await served.budget_coordinator.reserve(call)
        except exceptions.DogwoodgapError:
            self.fleet.refused += 1
            return
        limiter = forwarder.limiters.setdefault("llm", gate.ConcurrencyLimiter())
        forwarder.update_limiter(limiter, "llm")
        with contextlib.suppress(exceptions.OverloadedError):
            await limiter.acquire(pacing.TurnPriority.UNDER_WAY)
            server = forwarder.server_selector.choose(call, state, forwarder.engine("llm"))
            forwarder.loads.state(server).in_flight += 1
            await anyio.sleep(TURN_S)
            forwarder.loads.state(server).in_flight -= 1
            limiter.release()
        served.budget_coordinator.settle(call, 70)
        self.fleet.placed += 1


@dataclasses.dataclass(slots=True)
class Totals:
    """Counts of the whole fleet at one moment."""

    messages: collections.Counter[str]
    connections: int
    store_calls: int
    log_lines: int
    busiest_messages: int
    placed: int


class SimulatedFleet:
    """A fleet of simulated gateways.

    Parameters
    ----------
    count : int
        Number of gateways.
    profiled : bool
        Whether function calls are counted, which takes most of the time of a run.
    restarting : bool
        Whether a share of the gateways restarts at the end.
    """

    def __init__(self, count: int, *, profiled: bool, restarting: bool):
        self.profiled = profiled
        self.restarting = restarting
        self.links = Links()
        self.store = SimulatedStore(ENGINES)
        self.records = file_source.InMemoryBudgetRecords()
        self.crash_records = file_source.InMemoryCrashRecords()
        self.route = routes.Route(
            "turn",
            "h",
            "/",
            routes.RouteKind.STREAMING,
            (routes.Target("llm"),),
            timeout_s=3.0,
            objective_s=0.2,
            prompts=True,
        )
        self.gateways: list[SimulatedGateway] = []
        for number in range(count):
            self.gateways.append(SimulatedGateway(self, number))
        self.networks: list[SimulatedNetwork] = []
        self.log_lines = LineCounter()
        self.placed = 0
        self.refused = 0
        self.profiles: dict[str, cProfile.Profile] = {}
        self.measures: list[capacity_fit.Measure] = []
        self.tasks: anyio.abc.TaskGroup

    def joined(self) -> int:
        """Return the number of gateways that know the whole fleet."""
        return sum(
            member.gateway is not None and member.gateway.node_count() == len(self.gateways)
            for member in self.gateways
        )

    def totals(self) -> Totals:
        """Return the counts so far."""
        messages: collections.Counter[str] = collections.Counter()
        for network in self.networks:
            messages += network.sent
        return Totals(
            messages,
            sum(network.opened for network in self.networks),
            self.store.calls.total(),
            self.log_lines.lines,
            max((network.sent.total() for network in self.networks), default=0),
            self.placed,
        )

    async def measure(
        self, part: str, seconds: float, step: collections.abc.Awaitable | None = None
    ) -> capacity_fit.Measure:
        """Run the fleet for a time and return what each gateway did, per second."""
        before = self.totals()
        began_at = clock.now()
        profile = self.profiles[part] = cProfile.Profile()
        if self.profiled:
            profile.enable()
        if step is not None:
            await step
        await anyio.sleep(seconds)
        profile.disable()
        after = self.totals()
        calls = sum(entry.callcount for entry in profile.getstats())
        elapsed_s = clock.now() - began_at
        scale = 1 / len(self.gateways) / elapsed_s
        values = {
            "calls_per_s": calls * scale,
            "messages_per_s": (after.messages - before.messages).total() * scale,
            "connections_per_s": (after.connections - before.connections) * scale,
            "store_calls_per_s": (after.store_calls - before.store_calls) * scale,
            "log_lines_per_s": (after.log_lines - before.log_lines) * scale,
            "busiest_messages_per_s": (after.busiest_messages - before.busiest_messages)
            / elapsed_s,
            "turns_per_s": (after.placed - before.placed) * scale,
            "joined_share": self.joined() / len(self.gateways),
        }
        for kind, count in sorted((after.messages - before.messages).items()):
            values[f"{kind}_per_s"] = count * scale
        return capacity_fit.Measure(part, len(self.gateways), values)

    async def restart_some(self) -> None:
        """Restart a share of the gateways in turn."""
        restarted = self.gateways[:: round(1 / RESTARTED_SHARE)]
        for member in restarted:
            self.tasks.start_soon(member.restart)
            await anyio.sleep(MEASUREMENT_S / len(restarted))

    async def run(self, turns_per_s: float) -> None:
        """Run all phases and keep their measures."""
        clock.set_wall_time(WALL_START_S)
        logger = logging.getLogger("dogwoodgap")
        logger.addHandler(self.log_lines)
        logger.setLevel(logging.INFO)
        logger.propagate = False
        async with anyio.create_task_group() as self.tasks:
            for member in self.gateways:
                self.tasks.start_soon(member.run)
            self.measures.append(await self.measure("start", START_S))
            await anyio.sleep(SETTLE_S)
            self.measures.append(await self.measure("rest", MEASUREMENT_S))
            for member in self.gateways:
                self.tasks.start_soon(member.place_turns, turns_per_s)
            await anyio.sleep(1)
            self.measures.append(await self.measure("turns", MEASUREMENT_S))
            if self.restarting:
                measured = await self.measure("restarts", STOP_S + 2, self.restart_some())
                self.measures.append(measured)
            self.tasks.cancel_scope.cancel()


def measure(
    count: int, turns_per_s: float = 1.0, *, profiled: bool = True, restarting: bool = True
) -> SimulatedFleet:
    """Run a fleet of ``count`` gateways on virtual time and return it with its measures."""

    async def run() -> SimulatedFleet:
        fleet = SimulatedFleet(count, profiled=profiled, restarting=restarting)
        await fleet.run(turns_per_s)
        return fleet

    clock_options = {"clock": trio.testing.MockClock(autojump_threshold=0)}
    return anyio.run(run, backend="trio", backend_options=clock_options)
