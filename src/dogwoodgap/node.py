"""The node: builds every part and runs it."""

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

REPORT_INTERVAL_S = 5.0
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
        The work of the present boot; replaced after a seal.
    stop : serving.GracefulStop
        ``stop.on_stop(callback)`` adds a step of the planned stop.
    """

    def __init__(self, node_settings: settings.NodeSettings):
        self.settings = node_settings
        self.certificates = tls.Certificates(node_settings.tls)
        self.stop = serving.GracefulStop(node_settings.membership.discovery_ttl_s)
        self.ready = False

    async def run(self) -> None:
        """Serve until a planned stop has finished."""
        section = self.settings.statsd
        metrics.configure(section.host, section.port, section.prefix)
        async with contextlib.AsyncExitStack() as stack:
            platform = await stack.enter_async_context(
                self.client(base_url=self.settings.platform.url)
            )
            self.peers = await stack.enter_async_context(self.client())
            fresh = await stack.enter_async_context(self.client(keep_alive=0))
            # After the tasks, which would fail on a closed client.
            stack.push_async_callback(self.close_backends)
            tasks = await stack.enter_async_context(anyio.create_task_group())
            self.tasks = tasks
            self.build(platform, fresh)
            await self.serve()
            await self.fleet.membership.depart()
            tasks.cancel_scope.cancel()
        events.emit(events.Event.NODE_STOPPED, "node stopped", node=self.settings.node.name)

    async def close_backends(self) -> None:
        """Close the connections to backend servers."""
        await self.backends.aclose()

    @property
    def checks_peers(self) -> bool:
        """Whether connections of other nodes need a certificate of the configured authority."""
        return bool(self.settings.tls.client_authority)

    def client(self, base_url: str = "", keep_alive: int = 100) -> httpx.AsyncClient:
        """Return an HTTP client; ``keep_alive`` bounds the idle connections that it keeps."""
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=keep_alive)
        context = self.certificates.client_context()
        if context is not None:
            return httpx.AsyncClient(
                base_url=base_url, limits=limits, verify=context, trust_env=False
            )
        return outbound.create_client(base_url=base_url, limits=limits)

    def build(self, platform: httpx.AsyncClient, fresh: httpx.AsyncClient) -> None:
        """Create all parts."""
        section = self.settings.node
        self.store = objectstore.HttpObjectStore(platform, self.settings.platform.timeout_s)
        hooks = recovery.Hooks(
            acquired=self.on_acquired,
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
            self.certificates.server_context(require_client=self.checks_peers),
            client_tls,
        )
        self.backends = backends.Backends(
            section.name,
            section.data_centre,
            self.fleet,
            self.store,
            fresh,
            self.tasks,
            client_tls,
            kv_transfer=bool(section.data_folder),
        )
        self.traffic = collectors.TrafficMeter(self.fleet.network.traffic)
        self.forwarder = forwarding.Forwarder(
            self.fleet.ownership, self.fleet.address_of, self.peers, section.name
        )
        self.exported = None
        if section.data_folder:
            self.exported = exports.ExportStore(section.data_folder, section.export_bytes)
        self.memory = releases.Releases(
            self.backends.engine,
            self.backends.views,
            self.tasks,
            self.backends.dispatchers,
            self.exported,
        )
        self.workers = self.new_workers()
        self.services = self.new_services()
        self.app = app.build(self.services, extra_routes=[self.administration()])
        self.stop.on_stop(self.app.close_connections)
        self.stop.on_stop(self.fleet.membership.leave)
        self.stop.on_stop(self.fleet.ownership.hand_over_all)
        self.stop.drain_callbacks += [self.app.wait_idle, self.wait_workers, self.app.wait_quiet]

    def new_workers(self) -> workers.Workers:
        """Return workers for the present boot."""
        return workers.Workers(
            self.fleet.ownership.session,
            self.backends,
            self.memory,
            self.in_force,
            self.key_owner,
            self.tasks,
            self.active_profile,
        )

    def active_profile(self, service: str) -> str:
        """Return the profile that a service uses at this hour."""
        return profiles.active_profile(self.in_force().services[service], clock.wall())

    def new_services(self) -> app.Services:
        """Return what the callers' interface uses."""
        return app.Services(
            settings=self.settings,
            table=self.workers.session.table,
            calls=self.workers.calls,
            actions=self.workers.actions,
            intents=self.workers.intents,
            idempotent=self.workers.idempotent,
            lifecycle=self.workers.lifecycle,
            forwarder=self.forwarder,
            configuration=self.in_force,
            entries=self.fleet.entries,
            health=self.health,
            ttl_s=self.settings.membership.discovery_ttl_s,
            limiter=self.fleet.limiter,
        )

    def administration(self) -> routing.Mount:
        """Return the routes of the administration API and register the collectors of the dump."""
        dump.register_process(self.settings)
        collectors.register(self)
        parts = admin.Administration(
            configuration=operators.ConfigurationAdapter(self.fleet.configuration),
            programs=admin_fleet.TablePrograms(
                lambda: self.workers.session.table, self.end_program
            ),
            nodes=operators.NodesAdapter(self.fleet, self.stop),
            peak_source=demand.DemandReader(self.store),
            bootstrap_digest=self.settings.admin.bootstrap_key_digest,
            is_configured=self.fleet.configuration.ready.is_set,
        )
        return routing.Mount(admin.PREFIX, app=parts.build())

    async def serve(self) -> None:
        """Run the background tasks and serve callers until the stop has drained."""
        closing = anyio.Event()
        self.tasks.start_soon(self.stop.watch_signals, signal.SIGTERM, signal.SIGINT)
        self.tasks.start_soon(self.certificates.watch)
        self.tasks.start_soon(self.drain, closing)
        self.tasks.start_soon(self.start)
        self.tasks.start_soon(self.report_always)
        context = self.certificates.server_context()
        bind = self.settings.node.http_bind
        await serving.serve(self.app, bind, context, closing, self.stop.forced)

    async def start(self) -> None:
        """Join the fleet; callers are served when the configuration is known."""
        if self.exported is not None:
            await self.exported.open()
        await self.fleet.start()
        self.backends.start()
        self.tasks.start_soon(self.sweep_always)
        self.tasks.start_soon(self.memory.sweep)
        recorder = demand.DemandRecorder(self.store, self.arrivals, self.fleet.bucket)
        self.tasks.start_soon(recorder.run)
        await self.fleet.configuration.ready.wait()
        self.ready = True
        events.emit(events.Event.NODE_STARTED, "node started", node=self.settings.node.name)

    def arrivals(self) -> dict[str, int]:
        """Return the calls of each service since the start."""
        return {name: item.arrivals for name, item in self.backends.dispatchers.items()}

    async def drain(self, closing: anyio.Event) -> None:
        """Close the listener when the planned stop has drained."""
        await self.stop.wait_drained()
        events.emit(events.Event.NODE_STOPPING, "node drained", node=self.settings.node.name)
        closing.set()

    async def wait_workers(self) -> None:
        """Return when no call or action runs."""
        await self.workers.wait_idle()

    async def sweep_always(self) -> None:
        """End programs that have passed a time limit, again and again."""
        while True:
            with anyio.CancelScope() as self.sweeping:
                await self.workers.lifecycle.sweep()

    async def report_always(self) -> None:
        """Report gauges again and again."""
        while True:
            active = sum(
                program.status == structures.ProgramStatus.ACTIVE
                for program in self.workers.session.table.programs.values()
            )
            metrics.gauge("programs.active", active)
            metrics.gauge("calls.queued", self.workers.calls.queued.total())
            metrics.gauge("memory.resident", dump.memory_kb()["VmRSS"])
            self.traffic.sample()
            await anyio.sleep(REPORT_INTERVAL_S)

    def on_acquired(self, acquired: set[int]) -> None:
        """Take over what came with acquired shards."""
        self.fleet.record_acquired(acquired)
        self.inherit_prefixes(acquired)
        for suspect in self.workers.session.table.suspects.values():
            self.backends.quarantine.replay(suspect)
        self.backends.orders.notify()

    def inherit_prefixes(self, acquired: set[int]) -> None:
        """Tell the dispatchers where the prefixes of acquired programs are."""
        for program in self.workers.session.table.programs.values():
            dispatcher = self.backends.dispatchers.get(program.service)
            turn = program.last_turn()
            if dispatcher is None or turn is None or program.status != ACTIVE:
                continue
            if shards.program_shard(program.customer, program.id) in acquired:
                item = prompts.taken_over_item(program)
                dispatcher.restore_program(item, turn.runner, program.context_tokens())

    def on_boot_replaced(self) -> None:
        """Go on under a new boot: everything that runs belongs to the sealed one."""
        self.workers.cancel_calls()
        self.workers = self.new_workers()
        self.sweeping.cancel()
        for name, value in vars(self.new_services()).items():
            setattr(self.services, name, value)
        self.tasks.start_soon(self.fleet.announce_boot)

    def is_busy(self, shard: int) -> bool:
        """Return whether work of a shard is running here."""
        return self.workers.is_busy(shard)

    async def settle_intent(self, entry: entries.KeyEntry) -> structures.ActionResult | None:
        """Ask the service how an intent of a lost owner ended."""
        return await self.workers.intents.query_outcome(entry.service, entry.key)

    async def end_program(
        self, program: programs.Program, status: structures.ProgramStatus, reason: str
    ) -> None:
        """End a program and release its engine memory."""
        await self.workers.lifecycle.end(program, status, reason)

    async def key_owner(self, order: intents.Action, authorization: str) -> structures.ActionResult:
        """Run an action at the owner of its key."""
        return await self.forwarder.run_at_key_owner(order, authorization, self.run_intent)

    async def run_intent(self, order: intents.Action) -> structures.ActionResult:
        """Run an action whose key this node owns."""
        return await self.workers.intents.run(order)

    def in_force(self) -> models.FleetConfiguration:
        """Return the fleet configuration in force."""
        return self.fleet.configuration.current

    def health(self) -> views.HealthView:
        """Return whether the node is ready."""
        stopping = self.stop.requested.is_set()
        return views.HealthView(self.settings.node.name, self.ready, stopping)
