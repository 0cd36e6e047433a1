"""The gateway process, which forwards requests by configured routes; one per entry VM."""

import dataclasses
import gc
import logging
import math
import signal
import sys
import typing
import uuid

import anyio
import anyio.abc

from dogwoodgap import (
    background,
    body_memory,
    bootstrap,
    broadcast,
    budget_owners,
    clock,
    connection_limits,
    crashes,
    dialect,
    events,
    exceptions,
    exposition,
    followers,
    forwarder,
    ingress,
    members,
    membership,
    peer_relay,
    peers,
    permits,
    process_signals,
    removals,
    route_follower,
    routes,
    servers,
    settings,
    source,
    stream_owners,
)
from dogwoodgap.customers import currency, currency_follower
from dogwoodgap.history import cache, vms
from dogwoodgap.history import client as history_client
from dogwoodgap.quotas import windows
from dogwoodgap_wire import ttypes

STOP_MARGIN_S = 0.6
"""Time before the end of the stop grace period at which the process exits."""

DIRECTORY_TTL_FACTOR = 3
"""Some callers cache a directory response for up to three times its TTL."""

JOIN_TIMEOUT_S = 1.5
"""Time to wait for contact with another gateway before starting as the only member."""

CRASH_LOAD_TIMEOUT_S = 0.5
"""Time after which a starting gateway gets requests although it could not load all crashes."""

STOP_POLL_INTERVAL_S = 0.05
"""Interval at which a stop checks whether the last requests have finished."""

LAST_ACCEPT_MARGIN_S = 0.3
"""Time before the end of the requests of a stop from which no connection is accepted. Without it,
requests that arrived last were closed unanswered when the gateway took 0.2 s to read them."""

LAST_RESPONSES_TIMEOUT_S = 0.15
"""Time to send the error responses of requests that were still unfinished at the end of a stop."""

LAST_RECORDS_TIMEOUT_S = 0.15
"""Time kept at the end of a stop to hand over token accounts and to write the last records."""

MAX_RECORDS_TIMEOUT_S = 1.5
"""Longest time to hand over accounts and records in a stop that ends early: a transfer to an owner
that does not respond takes 1 s, and what it returns is then recorded."""

MAX_DEPARTURE_S = STOP_MARGIN_S / 2
"""Longest time to announce that this process has ended."""

LAST_DEPARTURE_S = 0.75 * STOP_MARGIN_S
"""Time after the end of the last requests until which the departure is announced; the rest of
``STOP_MARGIN_S`` is left to the exit of the process."""

BYTES_PER_MB = 1_000_000
MS_PER_S = 1_000

EXIT_UNAVAILABLE = 1
"""Exit status of a gateway that cannot listen on its addresses."""


@dataclasses.dataclass(frozen=True, slots=True)
class DirectoryResponse:
    """Gateway addresses for callers, and how long they may be cached."""

    addresses: tuple[str, ...]
    ttl_s: float


class DiscoveryEndpoints(typing.Protocol):
    """Handlers of the readiness check and the directory; implemented by an adapter."""

    async def ready(self, request: ingress.Request, responder: ingress.Responder) -> None:
        """Respond to a readiness check."""

    async def directory(self, request: ingress.Request, responder: ingress.Responder) -> None:
        """Respond to a caller that resolves the gateway addresses."""


class Gateway:
    """One gateway process.

    Parameters
    ----------
    gateway_settings : settings.GatewaySettings
        Validated settings.
    store : source.FleetSource
        Reads routes and backend servers.
    records : source.BudgetRecords
        Token budget records in the platform's store.
    crash_records : source.CrashRecords
        Records of requests that crash servers, in the platform's store.
    removal_requests : source.Removals
        Removal requests for storage VMs.
    header_codec : dialect.HeaderCodec
        Decodes and encodes headers under the deployment's names.
    storage_vms : source.StorageVms, optional
        Storage VMs that keep turns; without them, turns of routes that retain turns are refused.
    """

    def __init__(
        self,
        gateway_settings: settings.GatewaySettings,
        store: source.FleetSource,
        records: source.BudgetRecords,
        crash_records: source.CrashRecords,
        removal_requests: source.Removals,
        header_codec: dialect.HeaderCodec,
        storage_vms: source.StorageVms | None = None,
    ):
        self.settings = gateway_settings
        self.boot = uuid.uuid4().hex[:12]
        self.active_routes = routes.ActiveRoutes()
        self.server_registry = servers.ServerRegistry(gateway_settings.gateway.return_grace_s)
        self.route_follower = route_follower.RouteFollower(store, self.active_routes)
        self.route_follower.currency = currency.RoutesCurrency(
            gateway_settings.gateway.revocation_ms / MS_PER_S
        )
        self.server_follower = followers.ServerFollower(
            store, self.server_registry, self.route_follower
        )
        self.removal_follower = removals.RemovalFollower(
            removal_requests, lambda: self.server_follower.rank, storage_vms, self.retains_turns
        )
        self.crash_tracker = crashes.CrashTracker(self.server_registry, crash_records)
        self.budget_coordinator = budget_owners.BudgetCoordinator(records)
        self.permit_coordinator = permits.PermitCoordinator()
        self.stream_recorder = stream_owners.StreamRecorder(self.server_registry)
        self.forwarder = forwarder.Forwarder(
            self.active_routes,
            self.server_registry,
            header_codec,
            self.budget_coordinator,
            self.crash_tracker,
            self.permit_coordinator,
            self.stream_recorder,
            gateway_settings.node.data_centre,
            gateway_settings.gateway.max_response_bytes,
            gateway_settings.gateway.max_relayed_requests,
        )
        self.forwarder.server_selector.node_count = self.node_count
        self.forwarder.authenticator.currency = self.route_follower.currency
        self.forwarder.quota_coordinator.terms = windows.Terms(
            gateway_settings.gateway.quota_window_s,
            gateway_settings.gateway.quota_overage,
            gateway_settings.gateway.quota_slack,
        )
        self.forwarder.turn_placer.mode = gateway_settings.gateway.turn_scheduling
        self.forwarder.on_departure = lambda: self.server_follower.pass_on(None)
        memory_bytes = gateway_settings.gateway.memory_limit_mb * BYTES_PER_MB or math.inf
        self.body_memory = body_memory.BodyMemory(
            memory_bytes / body_memory.MEMORY_SHARE, log_evicted_body
        )
        self.storage_vm_follower = vms.StorageVmFollower(
            storage_vms, self.retains_turns, gateway_settings.gateway.tolerated_losses + 1
        )
        self.forwarder.history_client = history_client.HistoryClient(
            history_client.Options(
                gateway_settings.node.data_centre,
                gateway_settings.gateway.tolerated_losses,
                cache.size_bytes(memory_bytes),
                min(gateway_settings.gateway.max_chain_bytes, self.body_memory.limit_bytes),
            )
        )
        self.shared = connection_limits.shared(
            gateway_settings.connections, gateway_settings.gateway.memory_limit_mb
        )
        self.request_server = ingress.Server(
            self.forwarder.handle,
            self.limits,
            connection_limits.max_connections(
                gateway_settings.gateway.max_connections, connection_limits.CALLER_SHARE
            ),
            self.body_memory,
            self.shared,
        )
        self.relay_server = ingress.Server(
            self.forwarder.handle_relayed,
            lambda: peer_relay.relay_limits(self.limits(), self.max_chain_bytes()),
            connection_limits.max_connections(
                gateway_settings.connections.max_relay_connections, connection_limits.RELAY_SHARE
            ),
            self.body_memory,
            self.shared,
        )
        self.stopping = False
        self.stop_requested = anyio.Event()
        self.announced: membership.Membership | None = None
        self.membership: membership.Membership | None = None
        self.remote_loads: dict[str, dict[str, int]] = {}
        self.currency_follower: currency_follower.CurrencyFollower | None = None

    def limits(self) -> routes.Limits:
        """Return the request limits that apply to a new connection."""
        return self.active_routes.table.limits if self.active_routes.table else routes.Limits()

    def retains_turns(self) -> bool:
        """Return whether a route retains turns."""
        table = self.active_routes.table
        return table is not None and table.retains_turns

    def node_count(self) -> int:
        """Return the number of gateways in the directory, at least 1."""
        return max(1, len(self.membership.alive())) if self.membership else 1

    def max_chain_bytes(self) -> int:
        """Return by how much the retained turns before a request can lengthen it."""
        if not self.retains_turns():
            return 0
        return int(self.forwarder.history_client.options.max_chain_bytes)

    @property
    def ready(self) -> bool:
        """Return whether callers may use this gateway.

        It joins the membership only after routes and servers are known.
        """
        return not self.stopping and self.membership is not None

    def directory_response(self) -> DirectoryResponse:
        """Return the addresses of all ready gateways."""
        addresses = [
            member.http_address
            for member in (self.membership.alive() if self.membership else [])
            if member.http_address
        ]
        return DirectoryResponse(tuple(addresses), self.settings.gateway.directory_ttl_s)

    async def run(self, endpoints: DiscoveryEndpoints) -> None:
        """Serve until SIGTERM or SIGINT."""
        async with anyio.create_task_group() as tasks:
            start_scope = anyio.CancelScope()
            await tasks.start(self.watch_signals, start_scope)
            with start_scope:
                await self.start(endpoints, tasks)
            await self.wait_for_stop()
            await self.stop()
            tasks.cancel_scope.cancel()

    async def start(self, endpoints: DiscoveryEndpoints, tasks: anyio.abc.TaskGroup) -> None:
        """Start to listen, then join the other gateways.

        Raises
        ------
        AddressUnavailableError
            If an address stays in use.
        """
        section = self.settings.gateway
        network = peers.PeerNetwork(self.settings.node.peer_bind, tasks)
        network.bind_timeout_s = section.bind_timeout_s
        network.limit_connections(self.settings.connections)
        await self.start_following(network, tasks)
        self.start_history(tasks)
        background.start_service(tasks, self.forwarder.close_retired)
        background.start_service(tasks, self.forwarder.monitor.run)
        for server, address in (
            (self.service_server(endpoints.ready), section.ready_bind),
            (self.service_server(endpoints.directory), section.directory_bind),
            (self.service_server(self.serve_metrics), section.metrics_bind),
            (self.relay_server, section.relay_bind),
            (self.request_server, self.settings.node.http_bind),
        ):
            if address:
                await tasks.start(server.serve, address, section.bind_timeout_s)
        events.emit(
            events.Event.GATEWAY_STARTED,
            "gateway listening",
            node=self.settings.node.name,
            boot=self.boot,
        )
        await self.join(network, tasks)

    def service_server(self, handler: ingress.Handler) -> ingress.Server:
        """Return a server for the readiness check, the directory or the metrics."""
        limit = connection_limits.max_connections(
            self.settings.connections.max_service_connections,
            connection_limits.SERVICE_SHARE,
            connection_limits.MIN_SERVICE_CONNECTIONS,
        )
        return ingress.Server(handler, max_connections=limit, shared=self.shared)

    async def start_following(self, network: peers.PeerNetwork, tasks: anyio.abc.TaskGroup) -> None:
        """Start to exchange messages with other gateways, and to follow routes and servers."""
        network.hello = lambda: ttypes.Member(node=self.settings.node.name, boot=self.boot)
        await tasks.start(network.serve)
        bootstrapper = bootstrap.Bootstrap(
            network, self.settings.node.seeds, self.route_follower, self.server_follower
        )
        background.start_service(tasks, bootstrapper.run)
        background.start_service(tasks, self.route_follower.run)
        self.currency_follower = currency_follower.CurrencyFollower(
            self.route_follower, network, bootstrapper.fetch_from
        )
        background.start_service(tasks, self.currency_follower.run)
        background.start_service(tasks, self.server_follower.run)

    def start_history(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start to use storage VMs, which costs nothing until a route retains turns."""
        network = peers.PeerNetwork("", tasks)
        network.hello = lambda: ttypes.Member(node=self.settings.node.name, boot=self.boot)
        network.keep_idle_s = history_client.KEEP_IDLE_S
        self.forwarder.history_client.start(self.storage_vm_follower, network, tasks)
        history = self.forwarder.history_client
        self.budget_coordinator.is_unknown_program = history.is_unknown_program

    async def serve_metrics(self, request: ingress.Request, responder: ingress.Responder) -> None:
        """Respond to a metrics scrape."""
        exposition.servers_age.set(self.server_registry.age_s)
        exposition.routes_version.set(self.active_routes.version)
        if self.currency_follower is not None:
            exposition.routes_proof_age.set(self.currency_follower.proof_age_s())
        self.forwarder.scheduler_service.update_metrics()
        exposition.limited_servers.set(self.permit_coordinator.limits.limited_count())
        await exposition.serve(request, responder)

    async def join(self, network: peers.PeerNetwork, tasks: anyio.abc.TaskGroup) -> None:
        """Join the membership once routes and servers are known."""
        await self.route_follower.initialized.wait()
        await self.server_follower.initialized.wait()
        hooks = membership.Hooks(
            generation=lambda: self.active_routes.version,
            on_generation=lambda member, version: self.route_follower.refresh_if_older_than(
                version
            ),
            runners=self.local_loads,
            on_load=self.update_remote_loads,
            crash_digest=self.crash_tracker.evidence.digest,
            on_crash_digest=self.crash_tracker.compare_digest,
        )
        joined = membership.Membership(self.settings, self.boot, network, None, hooks)
        self.budget_coordinator.join(joined, network, tasks)
        broadcaster = broadcast.Broadcaster(joined, network, tasks)
        self.server_follower.join(joined, network, broadcaster)
        self.currency_follower.join(joined)
        self.crash_tracker.join(joined, network, broadcaster)
        self.permit_coordinator.join(joined, network, broadcaster)
        self.forwarder.quota_coordinator.join(joined, network, tasks)
        other_seeds = set(self.settings.node.seeds) - {joined.local.peer_address}
        self.forwarder.quota_coordinator.ownership.expected_nodes = 1 + len(other_seeds)
        self.stream_recorder.join(joined, network, tasks)
        if self.settings.gateway.turn_scheduling != "off":
            self.forwarder.turn_placer.join(joined, network, tasks)
        if self.settings.gateway.relay_bind:
            address = peer_relay.same_port_address(self.settings.gateway.relay_bind)
            self.forwarder.peer_relay.join(joined, address)
        if self.settings.gateway.first_start:
            self.budget_coordinator.assume_no_losses()
            self.forwarder.quota_coordinator.assume_first_start()
        else:
            await background.run_once(self.budget_coordinator.record_client.load)
        self.announced = joined
        background.start_service(tasks, joined.run)
        with anyio.move_on_after(JOIN_TIMEOUT_S):
            while not joined.table.others():
                await joined.wakeup.wait()
        # A gateway that could not learn what others know starts all the same.
        await background.run_once(self.budget_coordinator.fetch_losses)
        await background.run_once(self.permit_coordinator.fetch_limits)
        if not self.settings.gateway.first_start:
            await self.load_crashes(tasks)
        self.membership = joined
        background.start_service(tasks, self.crash_tracker.recorder.run)
        background.start_service(tasks, self.budget_coordinator.run)
        background.start_service(tasks, self.removal_follower.run)

    async def load_crashes(self, tasks: anyio.abc.TaskGroup) -> None:
        """Load the crashes of servers before this gateway gets requests, unless that takes long."""
        with anyio.move_on_after(CRASH_LOAD_TIMEOUT_S) as scope:
            await background.run_once(self.crash_tracker.load)
        if scope.cancelled_caught:
            background.start(tasks, self.crash_tracker.load)

    def local_loads(self, node: str) -> list[ttypes.RunnerLoad]:
        """Return this node's in-flight requests per backend server."""
        return [
            ttypes.RunnerLoad(runner=server_id, in_flight=state.in_flight)
            for server_id, state in self.forwarder.loads.states.items()
            if state.in_flight
        ]

    def update_remote_loads(
        self,
        member: members.Member,
        services: list[ttypes.ServiceLoad],
        runners: list[ttypes.RunnerLoad],
    ) -> None:
        """Store another node's in-flight requests and update the totals per server."""
        self.remote_loads[member.node] = {load.runner: load.in_flight for load in runners}
        totals: dict[str, int] = {}
        for loads in self.remote_loads.values():
            for server_id, in_flight in loads.items():
                totals[server_id] = totals.get(server_id, 0) + in_flight
        for server_id, state in self.forwarder.loads.states.items():
            state.remote_in_flight = totals.get(server_id, 0)

    async def watch_signals(
        self, start_scope: anyio.CancelScope, *, task_status: anyio.abc.TaskStatus
    ) -> None:
        """Request a stop at the first SIGTERM or SIGINT, also while the gateway starts.

        No other signal changes anything. Signals are received until the process ends, since their
        default action would end it at once.
        """
        async with process_signals.receive() as received:
            task_status.started()
            async for signum in received:
                if signum == signal.SIGHUP:
                    events.emit(events.Event.GATEWAY_RELOADED, "SIGHUP received")
                else:
                    self.stop_requested.set()
                    start_scope.cancel()

    async def wait_for_stop(self) -> None:
        """Wait until a stop is requested."""
        await self.stop_requested.wait()

    async def wait_until_quiet(self, end_at: float) -> None:
        """Wait until no caller is connected and no request is active, but not longer."""
        while clock.now() < end_at and (self.request_server.connections or self.forwarder.active):
            self.request_server.close_idle()
            await anyio.sleep(STOP_POLL_INTERVAL_S)

    async def close_servers(self, give_up_at: float) -> None:
        """Stop to listen, and wait until all accepted requests have ended, but not longer."""
        async with anyio.create_task_group() as tasks:
            for server in (self.request_server, self.relay_server):
                tasks.start_soon(server.close, give_up_at)

    async def write_last_records(self, give_up_at: float) -> None:
        """Hand over what the other gateways need of the requests that were handled here."""
        if self.announced is None:
            return
        timeout_s = min(give_up_at - clock.now(), MAX_RECORDS_TIMEOUT_S)
        async with anyio.create_task_group() as tasks:
            background.start(tasks, self.budget_coordinator.close, timeout_s)
            background.start(tasks, self.crash_tracker.recorder.close, timeout_s)

    async def stop(self) -> None:
        """Leave the directory, handle requests that still arrive, then close all connections.

        Callers may use cached addresses until the listeners are closed. What they send late is
        handled if it can finish in time, and refused as not run otherwise.
        """
        section = self.settings.gateway
        started_at = clock.now()
        end_at = started_at + section.stop_grace_s - STOP_MARGIN_S
        self.stopping = True
        self.forwarder.end_requests_at(end_at)
        events.emit(
            events.Event.GATEWAY_STOPPING, "graceful stop started", active=self.forwarder.active
        )
        if self.announced is not None:
            await self.announced.leave()
            cached_until = started_at + section.directory_ttl_s * DIRECTORY_TTL_FACTOR
            await clock.sleep_until(min(cached_until, end_at))
        self.request_server.closing = True
        self.relay_server.closing = True
        await self.wait_until_quiet(end_at - LAST_ACCEPT_MARGIN_S)
        events.emit(
            events.Event.GATEWAY_CLOSING,
            "the planned stop waits for callers no longer",
            active=self.forwarder.active,
            connections=len(self.request_server.connections),
            relay_connections=len(self.relay_server.connections),
            after_s=round(clock.now() - started_at, 3),
        )
        # No request can arrive after this, so that the end of the process cuts none.
        await self.close_servers(end_at + LAST_RESPONSES_TIMEOUT_S)
        await self.write_last_records(end_at + LAST_RESPONSES_TIMEOUT_S + LAST_RECORDS_TIMEOUT_S)
        if self.announced is not None:
            timeout_s = min(MAX_DEPARTURE_S, end_at + LAST_DEPARTURE_S - clock.now())
            with anyio.move_on_after(timeout_s):
                await self.announced.depart()
        events.emit(
            events.Event.GATEWAY_STOPPED,
            "gateway stopped",
            level=logging.INFO,
            active=self.forwarder.active,
            connections=len(self.request_server.connections),
            refused=self.forwarder.refused_at_stop,
            took_s=round(clock.now() - started_at, 3),
        )


def log_evicted_body(size: int, total: int) -> None:
    """Log and count a body that was given up."""
    exposition.evicted_bodies.inc()
    events.emit(
        events.Event.BODY_EVICTED,
        "a body was given up, since all bodies together exceed their memory",
        level=logging.WARNING,
        bytes=size,
        total_bytes=total,
    )


def run_process(served_gateway: Gateway, endpoints: DiscoveryEndpoints) -> None:
    """Run a gateway until it has stopped; exits with 1 if it cannot listen on an address."""
    # Full collections wait until garbage is a quarter of what is not frozen, such as all modules.
    gc.freeze()
    try:
        anyio.run(served_gateway.run, endpoints, backend_options={"use_uvloop": True})
        # The exit collects garbage several times, which took up to 0.6 s of the grace period.
        gc.freeze()
    except* exceptions.AddressUnavailableError as group:
        error: BaseException = group
        while isinstance(error, BaseExceptionGroup):
            error = error.exceptions[0]
        events.emit(
            events.Event.GATEWAY_START_FAILED,
            "the gateway cannot start",
            level=logging.ERROR,
            detail=str(error),
        )
        sys.exit(EXIT_UNAVAILABLE)
