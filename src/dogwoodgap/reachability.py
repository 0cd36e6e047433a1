"""Finds out which backend servers a node can connect to, so that requests need not try.

A node may lose its path to some or all servers while other nodes still reach them. Requests would
find out one by one, each after a timeout. A server that could not be reached is probed in the
background with new connections, and gets requests again once one succeeds. Others of its service
are probed too, two for each one that fails until a new connection to any of them succeeds. Only a
sample is, since a large fleet would otherwise flood its servers whenever some of them crash.
"""

import collections
import collections.abc
import random

import anyio
import anyio.abc

from dogwoodgap import clock, events, selection, servers, upstream

PROBE_INTERVAL_S = 0.25
"""Interval between two rounds of probes while a server cannot be reached."""

PROBE_LEAD_S = PROBE_INTERVAL_S + upstream.CONNECT_TIMEOUT_S
"""Time before the end of a backoff at which a probe starts, so that requests do not try first."""

PROBES_PER_ROUND = 3
"""Probes of unreachable servers in a round. A node that has lost all servers needs no more to find
out that it reaches them again."""

CUT_OFF_SAMPLE = 6
"""Failing servers of a service that suffice to conclude that none of it can be reached."""

SWEEP_FACTOR = 2
"""Servers of a service that are probed for each one that fails."""

OpenConnection = collections.abc.Callable[
    [servers.BackendServer], collections.abc.Awaitable[upstream.Connection]
]


class ReachabilityMonitor:
    """Probes the servers that one node cannot connect to.

    Parameters
    ----------
    server_registry : servers.ServerRegistry
        Registered backend servers.
    loads : selection.LoadTable
        State of the servers; probes update it.
    open_connection : callable
        Opens a connection to a server, or raises ``ServerUnreachableError``.

    Attributes
    ----------
    on_failure, on_success : callable
        Called with a server after each failed and each successful connection attempt.
    """

    def __init__(
        self,
        server_registry: servers.ServerRegistry,
        loads: selection.LoadTable,
        open_connection: OpenConnection,
    ):
        self.server_registry = server_registry
        self.loads = loads
        self.open_connection = open_connection
        self.on_failure: collections.abc.Callable[[servers.BackendServer], None] = lambda server: (
            None
        )
        self.on_success: collections.abc.Callable[[servers.BackendServer], None] = lambda server: (
            None
        )
        self.wakeup = anyio.Event()
        self.suspected: dict[str, servers.BackendServer] = {}
        self.failing: dict[str, set[str]] = collections.defaultdict(set)
        self.swept: collections.Counter[str] = collections.Counter()
        self.cut_off: set[str] = set()

    def is_cut_off(self, service: str) -> bool:
        """Return whether this node cannot connect to any ready server of a service."""
        if not self.failing.get(service):
            return False
        ready = self.server_registry.ready(service)
        newly_failing = sum(server.id in self.failing[service] for server in ready)
        return newly_failing >= CUT_OFF_SAMPLE or (
            bool(ready) and all(self.loads.state(server).connect_failures > 0 for server in ready)
        )

    def is_isolated(self) -> bool:
        """Return whether a failed connection is likely to be this node's own problem."""
        return any(map(self.is_cut_off, self.cut_off)) or self.loads.is_isolated()

    def record_failure(self, server: servers.BackendServer) -> None:
        """Record a failed connection attempt, and start probing the server."""
        state = self.loads.state(server)
        if state.connect_failures == 0:
            self.failing[server.service].add(server.id)
        state.record_unreachable(clock.now())
        self.wakeup.set()
        if server.service not in self.cut_off and self.is_cut_off(server.service):
            self.cut_off.add(server.service)
            events.emit(
                events.Event.SERVICE_CUT_OFF,
                "cannot connect to any server of a service; sending its requests to other nodes",
                service=server.service,
                failing=sorted(self.failing[server.service]),
            )
        self.on_failure(server)

    def record_success(self, server: servers.BackendServer) -> None:
        """Record a new connection; if the service was cut off, probe its other servers at once."""
        self.on_success(server)
        state = self.loads.state(server)
        if state.connect_failures == 0 and not self.failing.get(server.service):
            return
        state.record_reachable()
        self.failing.pop(server.service, None)
        self.swept.pop(server.service, None)
        if server.service in self.cut_off:
            self.cut_off.discard(server.service)
            events.emit(
                events.Event.SERVICE_REACHED,
                "connected to a server of a service that was cut off",
                service=server.service,
                server=server.id,
            )
            for other in self.unreachable():
                self.request_probe(other)

    def request_probe(self, server: servers.BackendServer) -> None:
        """Probe a server that did not respond in time on an open connection."""
        self.suspected[server.id] = server
        self.wakeup.set()

    async def run(self) -> None:
        """Probe unreachable servers until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self.wakeup.wait()
                self.probe_due(tasks)
                await anyio.sleep(PROBE_INTERVAL_S)
                if not self.suspected and not self.unreachable():
                    self.wakeup = anyio.Event()

    def unreachable(self) -> list[servers.BackendServer]:
        """Return the registered servers to which the last connection attempt failed."""
        return [
            server
            for server in self.server_registry.servers.values()
            if self.loads.state(server).connect_failures > 0
        ]

    def probe_due(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start the probes of one round."""
        now = clock.now()
        due = [
            server
            for server in self.unreachable()
            if self.loads.state(server).backoff_until - PROBE_LEAD_S <= now
        ]
        drawn = random.sample(due, min(len(due), PROBES_PER_ROUND))
        probed = {server.id: server for server in drawn + self.sweep()} | self.suspected
        self.suspected = {}
        for server in probed.values():
            state = self.loads.state(server)
            if state.connect_failures:
                # Neither a request nor another probe tries to connect meanwhile.
                state.backoff_until = now + PROBE_LEAD_S + PROBE_INTERVAL_S
            tasks.start_soon(self.probe, server)

    def sweep(self) -> list[servers.BackendServer]:
        """Return servers to probe because others of their service began to fail."""
        chosen: list[servers.BackendServer] = []
        for service, failing in self.failing.items():
            if len(failing) <= self.swept[service]:
                continue
            self.swept[service] = len(failing)
            others = [
                server
                for server in self.server_registry.ready(service)
                if self.loads.state(server).connect_failures == 0
            ]
            sample = min(SWEEP_FACTOR * len(failing), CUT_OFF_SAMPLE)
            chosen += random.sample(others, min(len(others), sample))
        return chosen

    async def probe(self, server: servers.BackendServer) -> None:
        """Open a connection to a server and close it."""
        try:
            connection = await self.open_connection(server)
        except upstream.ServerUnreachableError:
            self.record_failure(server)
            return
        self.record_success(server)
        await connection.close()
