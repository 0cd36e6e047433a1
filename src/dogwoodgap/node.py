"""The node process: creates all components and runs them."""

import contextlib
import signal

import anyio
import anyio.abc
import httpx
from starlette import routing

from dogwoodgap import (
    admin,
    admin_fleet,
    app,
    backends,
    clock,
    collectors,
    demand,
    dump,
    entries,
    events,
    exports,
    fleet,
    forwarding,
    intents,
    metrics,
    models,
    objectstore,
    operators,
    outbound,
    profiles,
    programs,
    prompts,
    recovery,
    releases,
    serving,
    settings,
    shards,
    structures,
    tls,
    views,
    workers,
)

METRICS_INTERVAL_S = 5.0
ACTIVE = structures.ProgramStatus.ACTIVE


class Node:
    """One dogwoodgap process.

    Parameters
    ----------
    node_settings : settings.NodeSettings
        Validated settings.

    Attributes
    ----------
    workers : workers.Workers
        Calls, actions and intents of the current boot; replaced when a new boot starts after the
        journal was sealed.
    stop : serving.GracefulStop
        ``stop.on_stop(callback)`` adds a step of the planned stop.
    """

    def __init__(self, node_settings: settings.NodeSettings):
        self.settings = node_settings
        self.certificates = tls.Certificates(node_settings.tls)
        self.stop = serving.GracefulStop(node_settings.membership.discovery_ttl_s)
        self.ready = False

    async def run(self) -> None:
        """Serve until a planned stop is complete."""
        section = self.settings.statsd
        metrics.configure(section.host, section.port, section.prefix)
        async with contextlib.AsyncExitStack() as stack:
            platform_client = await stack.enter_async_context(
                self.http_client(base_url=self.settings.platform.url)
            )
            self.peer_client = await stack.enter_async_context(self.http_client())
            unpooled = await stack.enter_async_context(self.http_client(keep_alive=0))
            # Runs after the tasks have ended, as they would fail on a closed client.
            stack.push_async_callback(self.close_backends)
            tasks = await stack.enter_async_context(anyio.create_task_group())
            self.tasks = tasks
            self.build(platform_client, unpooled)
            await self.serve()
            await self.fleet.membership.depart()
            tasks.cancel_scope.cancel()
        events.emit(events.Event.NODE_STOPPED, "node stopped", node=self.settings.node.name)

    async def close_backends(self) -> None:
        """Close the connections to backend servers."""
        await self.backends.aclose()

    @property
    def requires_peer_certificates(self) -> bool:
        """Whether other nodes must present a certificate of the configured authority."""
        return bool(self.settings.tls.client_authority)

    def http_client(self, base_url: str = "", keep_alive: int = 100) -> httpx.AsyncClient:
        """Return an HTTP client that keeps at most ``keep_alive`` idle connections."""
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=keep_alive)
        context = self.certificates.client_context()
        if context is not None:
            return httpx.AsyncClient(
                base_url=base_url, limits=limits, verify=context, trust_env=False
            )
        return outbound.create_client(base_url=base_url, limits=limits)

    def build(self, platform_client: httpx.AsyncClient, unpooled: httpx.AsyncClient) -> None:
        """Create all components.

        Parameters
        ----------
        platform_client : httpx.AsyncClient
            Client of the platform's store.
        unpooled : httpx.AsyncClient
            Client that opens a new connection for each request.
        """
        section = self.settings.node
        self.store = objectstore.HttpObjectStore(platform_client, self.settings.platform.timeout_s)
        hooks = recovery.Hooks(
            acquired=self.on_shards_acquired,
            boot_replaced=self.on_boot_replaced,
            busy=self.is_busy,
            settle_intent=self.settle_intent,
        )
        scheme = "https" if self.certificates.enabled else "http"
        client_tls = self.certificates.client_context()
        self.fleet = fleet.Fleet(
            self.settings,
            self.store,
            self.tasks,
            hooks,
            scheme,
            self.certificates.server_context(
                require_client_certificate=self.requires_peer_certificates
            ),
            client_tls,
        )
        self.backends = backends.Backends(
            section.name,
            section.data_centre,
            self.fleet,
            self.store,
            unpooled,
            self.tasks,
            client_tls,
            kv_transfer=bool(section.data_folder),
        )
        self.traffic = collectors.TrafficMeter(self.fleet.network.traffic)
        self.forwarder = forwarding.Forwarder(
            self.fleet.ownership, self.fleet.address_of, self.peer_client, section.name
        )
        self.export_store = None
        if section.data_folder:
            self.export_store = exports.ExportStore(section.data_folder, section.export_bytes)
        self.releases = releases.Releases(
            self.backends.engine,
            self.backends.views,
            self.tasks,
            self.backends.dispatchers,
            self.export_store,
        )
        self.workers = self.create_workers()
        self.services = self.create_services()
        self.app = app.build(self.services, extra_routes=[self.mount_administration()])
        self.stop.on_stop(self.app.close_connections)
        self.stop.on_stop(self.fleet.membership.leave)
        self.stop.on_stop(self.fleet.ownership.hand_over_all)
        self.stop.drain_callbacks += [self.app.wait_idle, self.wait_workers, self.app.wait_quiet]

    def create_workers(self) -> workers.Workers:
        """Return workers for the current boot."""
        return workers.Workers(
            self.fleet.ownership.session,
            self.backends,
            self.releases,
            self.current_configuration,
            self.run_at_key_owner,
            self.tasks,
            self.active_profile,
        )

    def active_profile(self, service: str) -> str:
        """Return the name of the profile that a service uses at this time."""
        return profiles.active_profile(
            self.current_configuration().services[service], clock.wall_time()
        )

    def create_services(self) -> app.Services:
        """Return the dependencies of the callers' HTTP API."""
        return app.Services(
            settings=self.settings,
            table=self.workers.session.table,
            calls=self.workers.calls,
            actions=self.workers.actions,
            intents=self.workers.intents,
            idempotent=self.workers.idempotent,
            lifecycle=self.workers.lifecycle,
            forwarder=self.forwarder,
            configuration=self.current_configuration,
            entries=self.fleet.entries,
            health=self.health,
            ttl_s=self.settings.membership.discovery_ttl_s,
            limiter=self.fleet.limiter,
        )

    def mount_administration(self) -> routing.Mount:
        """Return the routes of the administration API and register the state dump's sections."""
        dump.register_process(self.settings)
        collectors.register(self)
        administration = admin.Administration(
            configuration=operators.ConfigurationAdapter(self.fleet.configuration),
            programs=admin_fleet.TablePrograms(
                lambda: self.workers.session.table, self.end_program
            ),
            nodes=operators.NodesAdapter(self.fleet, self.stop),
            peak_source=demand.DemandReader(self.store),
            bootstrap_digest=self.settings.admin.bootstrap_key_digest,
            is_configured=self.fleet.configuration.ready.is_set,
        )
        return routing.Mount(admin.PREFIX, app=administration.build())

    async def serve(self) -> None:
        """Start the background tasks and serve callers until a planned stop has drained them."""
        closing = anyio.Event()
        self.tasks.start_soon(self.stop.watch_signals, signal.SIGTERM, signal.SIGINT)
        self.tasks.start_soon(self.certificates.watch)
        self.tasks.start_soon(self.close_when_drained, closing)
        self.tasks.start_soon(self.start)
        self.tasks.start_soon(self.report_metrics)
        context = self.certificates.server_context()
        bind = self.settings.node.http_bind
        await serving.serve(
            self.app, bind, context, closing, self.stop.forced, self.settings.connections
        )

    async def start(self) -> None:
        """Join the fleet; the node is ready once it has the fleet configuration."""
        if self.export_store is not None:
            await self.export_store.open()
        await self.fleet.start()
        self.backends.start()
        self.tasks.start_soon(self.sweep_programs)
        self.tasks.start_soon(self.releases.sweep)
        recorder = demand.DemandRecorder(self.store, self.arrivals, self.fleet.bucket)
        self.tasks.start_soon(recorder.run)
        await self.fleet.configuration.ready.wait()
        self.ready = True
        events.emit(events.Event.NODE_STARTED, "node started", node=self.settings.node.name)

    def arrivals(self) -> dict[str, int]:
        """Return the number of calls of each service since the process started."""
        return {name: item.arrivals for name, item in self.backends.dispatchers.items()}

    async def close_when_drained(self, closing: anyio.Event) -> None:
        """Close the listener when a planned stop has drained the node."""
        await self.stop.wait_drained()
        events.emit(events.Event.NODE_STOPPING, "node drained", node=self.settings.node.name)
        closing.set()

    async def wait_workers(self) -> None:
        """Wait until no call or action is running."""
        await self.workers.wait_idle()

    async def sweep_programs(self) -> None:
        """End programs that have passed a time limit; restarted after each new boot."""
        while True:
            with anyio.CancelScope() as self.sweep_scope:
                await self.workers.lifecycle.sweep()

    async def report_metrics(self) -> None:
        """Report gauges every ``METRICS_INTERVAL_S``."""
        while True:
            active = sum(
                program.status == structures.ProgramStatus.ACTIVE
                for program in self.workers.session.table.programs.values()
            )
            metrics.gauge("programs.active", active)
            metrics.gauge("calls.queued", self.workers.calls.queued.total())
            metrics.gauge("memory.resident", dump.memory_kb()["VmRSS"])
            self.traffic.sample()
            await anyio.sleep(METRICS_INTERVAL_S)

    def on_shards_acquired(self, acquired: set[int]) -> None:
        """Update the components that depend on the state of acquired shards."""
        self.fleet.record_acquired(acquired)
        self.restore_prefixes(acquired)
        for suspect in self.workers.session.table.suspects.values():
            self.backends.quarantine.replay(suspect)
        self.backends.orders.notify()

    def restore_prefixes(self, acquired: set[int]) -> None:
        """Tell the dispatchers which runners hold the prefixes of acquired programs."""
        for program in self.workers.session.table.programs.values():
            dispatcher = self.backends.dispatchers.get(program.service)
            turn = program.last_turn()
            if dispatcher is None or turn is None or program.status != ACTIVE:
                continue
            if shards.program_shard(program.customer, program.id) in acquired:
                item = prompts.taken_over_item(program)
                dispatcher.restore_program(item, turn.runner, program.context_tokens())

    def on_boot_replaced(self) -> None:
        """Continue as a new boot; running work belongs to the sealed boot and is abandoned."""
        self.workers.cancel_calls()
        self.workers = self.create_workers()
        self.sweep_scope.cancel()
        for name, value in vars(self.create_services()).items():
            setattr(self.services, name, value)
        self.tasks.start_soon(self.fleet.announce_boot)

    def is_busy(self, shard: int) -> bool:
        """Return whether work of a shard is running on this node."""
        return self.workers.is_busy(shard)

    async def settle_intent(self, entry: entries.KeyEntry) -> structures.ActionResult | None:
        """Ask the service for the outcome of an intent whose owner is lost."""
        return await self.workers.intents.query_outcome(entry.service, entry.key)

    async def end_program(
        self, program: programs.Program, status: structures.ProgramStatus, reason: str
    ) -> None:
        """End a program and release its engine cache."""
        await self.workers.lifecycle.end(program, status, reason)

    async def run_at_key_owner(
        self, action: intents.Action, authorization: str
    ) -> structures.ActionResult:
        """Run an action on the node that owns its key."""
        return await self.forwarder.run_at_key_owner(action, authorization, self.run_intent)

    async def run_intent(self, action: intents.Action) -> structures.ActionResult:
        """Run an action whose key this node owns."""
        return await self.workers.intents.run(action)

    def current_configuration(self) -> models.FleetConfiguration:
        """Return the fleet configuration in force."""
        return self.fleet.configuration.current

    def health(self) -> views.HealthView:
        """Return the answer of the health check."""
        stopping = self.stop.requested.is_set()
        return views.HealthView(self.settings.node.name, self.ready, stopping)
