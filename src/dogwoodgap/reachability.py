"""Finds out which backend servers a node can connect to, so that requests need not try.

A node may lose its path to some or all servers while other nodes still reach them. Requests would
find out one by one, each after a timeout. A server that could not be reached is probed in the
background with new connections, and gets requests again once one succeeds. If several servers
cannot be reached, the others are probed too, since they may be lost as well.
"""

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

SWEEP_FAILURES = 2
"""Unreachable servers from which on the others are probed as well."""

SWEEP_INTERVAL_S = 1.0
RECENT_CONTACT_S = 0.5
"""A server that responded within this time is not probed."""

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
        self.failed = anyio.Event()
        self.suspected: dict[str, servers.BackendServer] = {}
        self.swept_at = -SWEEP_INTERVAL_S
        self.cut_off: set[str] = set()

    def is_cut_off(self, service: str) -> bool:
        """Return whether this node cannot connect to any ready server of a service."""
        ready = self.server_registry.ready(service)
        return bool(ready) and all(
            self.loads.state(server).connect_failures > 0 for server in ready
        )

    def record_failure(self, server: servers.BackendServer) -> None:
        """Record a failed connection attempt, and start probing the server."""
        self.loads.state(server).record_unreachable(clock.now())
        self.failed.set()
        if server.service not in self.cut_off and self.is_cut_off(server.service):
            self.cut_off.add(server.service)
            events.emit(
                events.Event.SERVICE_CUT_OFF,
                "cannot connect to any server of a service; sending its requests to other nodes",
                service=server.service,
            )

    def record_success(self, server: servers.BackendServer) -> None:
        """Record a new connection; if the service was cut off, probe its other servers at once."""
        if self.loads.state(server).connect_failures == 0:
            return
        self.loads.state(server).record_reachable()
        if server.service in self.cut_off:
            self.cut_off.discard(server.service)
            events.emit(
                events.Event.SERVICE_REACHED,
                "connected to a server of a service that was cut off",
                service=server.service,
                server=server.id,
            )
            for other in self.unreachable():
                self.loads.state(other).backoff_until = 0.0

    def request_probe(self, server: servers.BackendServer) -> None:
        """Probe a server that did not respond in time on an open connection."""
        self.suspected[server.id] = server
        self.failed.set()

    async def run(self) -> None:
        """Probe unreachable servers until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self.failed.wait()
                self.probe_due(tasks)
                await anyio.sleep(PROBE_INTERVAL_S)
                if not self.suspected and not self.unreachable():
                    self.failed = anyio.Event()

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
        unreachable = self.unreachable()
        due = [
            server
            for server in unreachable
            if self.loads.state(server).backoff_until - PROBE_LEAD_S <= now
        ]
        is_regained = any(self.loads.state(server).backoff_until == 0.0 for server in due)
        probed = due if is_regained else random.sample(due, min(len(due), PROBES_PER_ROUND))
        if len(unreachable) >= SWEEP_FAILURES and now - self.swept_at >= SWEEP_INTERVAL_S:
            self.swept_at = now
            probed = probed + self.unconfirmed(now)
        probed = {server.id: server for server in probed} | self.suspected
        self.suspected = {}
        for server in probed.values():
            if self.loads.state(server).connect_failures:
                # Neither a request nor another probe tries to connect meanwhile.
                self.loads.state(server).backoff_until = now + PROBE_LEAD_S + PROBE_INTERVAL_S
            tasks.start_soon(self.probe, server)

    def unconfirmed(self, now: float) -> list[servers.BackendServer]:
        """Return the servers that are taken for reachable without a recent response."""
        return [
            server
            for server in self.server_registry.servers.values()
            if self.loads.state(server).connect_failures == 0
            and now - self.loads.state(server).last_contact_at > RECENT_CONTACT_S
        ]

    async def probe(self, server: servers.BackendServer) -> None:
        """Open a connection to a server and close it."""
        try:
            connection = await self.open_connection(server)
        except upstream.ServerUnreachableError:
            self.record_failure(server)
            return
        self.record_success(server)
        await connection.close()
