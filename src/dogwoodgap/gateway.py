"""The gateway: forwards callers' requests by configured routes; one on each entry VM."""

import dataclasses
import logging
import signal
import typing
import uuid

import anyio
import anyio.abc

from dogwoodgap import (
    bootstrap,
    budget_owners,
    clock,
    crashes,
    dialect,
    events,
    exposition,
    followers,
    forwarder,
    ingress,
    members,
    membership,
    peers,
    removals,
    routes,
    servers,
    settings,
    source,
)
from dogwoodgap_wire import ttypes

STOP_MARGIN_S = 0.6
"""The process ends this long before it would be killed."""

TTL_SPREAD = 3
"""Some callers keep a directory answer for three times its lifetime."""

JOIN_S = 1.5
"""Time for the first contact with another gateway before this one takes itself for the only."""

POLL_S = 0.05
"""Interval at which a stop looks whether its last requests have ended."""


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryAnswer:
    """Addresses for callers, and how long they may be kept."""

    addresses: tuple[str, ...]
    ttl_s: float


class Entrance(typing.Protocol):
    """Answers the readiness check and callers that ask for addresses; met by an adapter."""

    async def ready(self, incoming: ingress.Incoming, responder: ingress.Responder) -> None:
        """Answer the readiness check."""

    async def directory(self, incoming: ingress.Incoming, responder: ingress.Responder) -> None:
        """Answer a caller that asks for addresses."""


class Gateway:
    """One gateway process.

    Parameters
    ----------
    loaded : settings.GatewaySettings
        Checked settings.
    store : source.FleetSource
        Reads routes and backend servers.
    records : source.BudgetRecords
        Budgets in the platform's store.
    requests : source.Removals
        Requests to empty storage VMs.
    codec : dialect.Dialect
        Header names of the deployment.
    """

    def __init__(
        self,
        loaded: settings.GatewaySettings,
        store: source.FleetSource,
        records: source.BudgetRecords,
        requests: source.Removals,
        codec: dialect.Dialect,
    ):
        self.settings = loaded
        self.boot = uuid.uuid4().hex[:12]
        self.book = routes.ActiveRoutes()
        self.directory = servers.ServerDirectory(loaded.gateway.return_grace_s)
        self.route_follower = followers.RouteFollower(store, self.book)
        self.server_follower = followers.ServerFollower(store, self.directory, self.route_follower)
        self.removal_follower = removals.RemovalFollower(
            requests, lambda: self.server_follower.rank
        )
        self.suspects = crashes.CrashTracker()
        self.accounts = budget_owners.BudgetCoordinator(records)
        self.forwarder = forwarder.Forwarder(
            self.book,
            self.directory,
            codec,
            self.accounts,
            self.suspects,
            loaded.node.data_centre,
        )
        self.forwarder.candidates.node_count = self.node_count
        self.front = ingress.Server(self.forwarder.handle, self.limits)
        self.stopping = False
        self.membership: membership.Membership | None = None
        self.remote_loads: dict[str, dict[str, int]] = {}

    def limits(self) -> routes.Limits:
        """Return the limits for a new connection."""
        return self.book.table.limits if self.book.table else routes.Limits()

    def node_count(self) -> int:
        """Return the number of gateways that callers are sent to, at least this one."""
        return max(1, len(self.membership.alive())) if self.membership else 1

    @property
    def ready(self) -> bool:
        """Return whether callers may be sent here; members know routes and servers."""
        return not self.stopping and self.membership is not None

    def answer_directory(self) -> DirectoryAnswer:
        """Return the addresses of the gateways that are ready."""
        found = [
            member.http_address
            for member in (self.membership.alive() if self.membership else [])
            if member.http_address
        ]
        return DirectoryAnswer(tuple(found), self.settings.gateway.directory_ttl_s)

    async def run(self, entrance: Entrance) -> None:
        """Serve until SIGTERM."""
        section = self.settings.gateway
        async with anyio.create_task_group() as tasks:
            network = peers.PeerNetwork(self.settings.node.peer_bind, tasks)
            network.hello = lambda: ttypes.Member(node=self.settings.node.name, boot=self.boot)
            await tasks.start(network.serve)
            start = bootstrap.Bootstrap(
                network, self.settings.node.seeds, self.route_follower, self.server_follower
            )
            tasks.start_soon(start.run)
            tasks.start_soon(self.route_follower.run)
            tasks.start_soon(self.server_follower.run)
            tasks.start_soon(self.forwarder.close_retired)
            ready = ingress.Server(entrance.ready)
            await tasks.start(ready.serve, section.ready_bind)
            directory = ingress.Server(entrance.directory)
            await tasks.start(directory.serve, section.directory_bind)
            if section.metrics_bind:
                await tasks.start(ingress.Server(self.serve_metrics).serve, section.metrics_bind)
            await tasks.start(self.front.serve, self.settings.node.http_bind)
            tasks.start_soon(self.join, network, tasks)
            events.emit(
                events.Event.GATEWAY_STARTED,
                "gateway listens",
                node=self.settings.node.name,
                boot=self.boot,
            )
            await self.wait_for_stop()
            await self.stop()
            tasks.cancel_scope.cancel()

    async def serve_metrics(self, incoming: ingress.Incoming, responder: ingress.Responder) -> None:
        """Answer a reader of the metrics."""
        exposition.servers_age.set(self.directory.age_s)
        exposition.routes_version.set(self.book.version)
        await exposition.serve(incoming, responder)

    async def join(self, network: peers.PeerNetwork, tasks: anyio.abc.TaskGroup) -> None:
        """Become a member once callers can be served."""
        await self.route_follower.known.wait()
        await self.server_follower.known.wait()
        hooks = membership.Hooks(
            generation=lambda: self.book.version,
            on_generation=lambda member, version: self.route_follower.note_version(version),
            runners=self.own_loads,
            on_load=self.note_loads,
        )
        joined = membership.Membership(self.settings, self.boot, network, None, hooks)
        self.accounts.join(joined, network, tasks)
        self.server_follower.join(joined, network)
        self.suspects.start_sharing(network, joined.table.others, tasks)
        if self.settings.gateway.first_start:
            self.accounts.assume_no_losses()
        else:
            await self.accounts.record_client.load()
        tasks.start_soon(joined.run)
        with anyio.move_on_after(JOIN_S):
            while not joined.table.others():
                await joined.woken.wait()
        await self.accounts.fetch_losses()
        self.membership = joined
        tasks.start_soon(self.accounts.run)
        tasks.start_soon(self.removal_follower.run)

    def own_loads(self, node: str) -> list[ttypes.RunnerLoad]:
        """Return this node's requests in flight by backend server."""
        return [
            ttypes.RunnerLoad(runner=server_id, in_flight=state.in_flight)
            for server_id, state in self.forwarder.loads.states.items()
            if state.in_flight
        ]

    def note_loads(
        self,
        member: members.Member,
        services: list[ttypes.ServiceLoad],
        runners: list[ttypes.RunnerLoad],
    ) -> None:
        """Take over another node's requests in flight."""
        self.remote_loads[member.node] = {item.runner: item.in_flight for item in runners}
        totals: dict[str, int] = {}
        for loads in self.remote_loads.values():
            for server_id, number in loads.items():
                totals[server_id] = totals.get(server_id, 0) + number
        for server_id, state in self.forwarder.loads.states.items():
            state.remote_in_flight = totals.get(server_id, 0)

    async def wait_for_stop(self) -> None:
        """Wait for SIGTERM; SIGHUP is noted and changes nothing that is in use."""
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as received:
            async for number in received:
                if number != signal.SIGHUP:
                    return
                events.emit(events.Event.GATEWAY_RELOADED, "SIGHUP received")

    async def stop(self) -> None:
        """Leave the callers' directory, answer what still comes, then end."""
        section = self.settings.gateway
        started_at = clock.now()
        end_at = started_at + section.stop_grace_s - STOP_MARGIN_S
        self.stopping = True
        events.emit(
            events.Event.GATEWAY_STOPPING, "planned stop began", active=self.forwarder.active
        )
        if self.membership is not None:
            await self.membership.leave()
        await clock.sleep_until(started_at + section.directory_ttl_s * TTL_SPREAD)
        self.front.closing = True
        while clock.now() < end_at and (self.front.connections or self.forwarder.active):
            self.front.close_idle()
            await anyio.sleep(POLL_S)
        if self.membership is not None:
            with anyio.move_on_after(STOP_MARGIN_S / 2):
                await self.membership.depart()
        events.emit(
            events.Event.GATEWAY_STOPPED,
            "gateway ends",
            level=logging.INFO,
            active=self.forwarder.active,
            took_s=round(clock.now() - started_at, 3),
        )
