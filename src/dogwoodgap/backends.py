"""Components of a node that communicate with backend servers."""

import functools
import ssl

import anyio
import anyio.abc
import httpx

from dogwoodgap import (
    adapters,
    backend_messages,
    breakers,
    cache_usage,
    cache_view,
    connections,
    exceptions,
    members,
    metrics,
    models,
    objectstore,
    orders,
    protection,
    quarantine,
    runners,
    scheduler,
    service_adapter,
    shards,
    structures,
    suspects,
)
from dogwoodgap import fleet as fleet_module
from dogwoodgap_wire import ttypes

VM_POLL_INTERVAL_S = 10.0
RUNNERS_PER_RESERVED_RUNNER = 10
"""One runner in ten may be reserved for suspect requests."""


class Backends:
    """Connections, runner directory, protection, caches, engine orders and dispatchers.

    Parameters
    ----------
    unpooled_client : httpx.AsyncClient
        Opens a connection for each request; for non-idempotent actions.
    kv_transfer : bool
        Whether this node can export and import KV cache, which requires a data folder.
    """

    def __init__(
        self,
        name: str,
        data_centre: str,
        fleet: fleet_module.Fleet,
        store: objectstore.ObjectStore,
        unpooled_client: httpx.AsyncClient,
        tasks: anyio.abc.TaskGroup,
        client_tls: ssl.SSLContext | None = None,
        *,
        kv_transfer: bool = False,
    ):
        self.name = name
        self.data_centre = data_centre
        self.fleet = fleet
        self.store = store
        self.tasks = tasks
        self.kv_transfer = kv_transfer
        self.dispatchers: dict[str, scheduler.Dispatcher] = {}
        self.plugins: dict[str, tuple[str, ...]] = {}
        self.connections = connections.RunnerClient(client_tls)
        self.engine = adapters.HttpEngineAdapter(self.connections.client)
        self.service = service_adapter.HttpServiceAdapter(self.connections.client, unpooled_client)
        self.usage = cache_usage.CacheUsage(self.counts_usage_of)
        self.directory = runners.Directory(
            name,
            self.connections,
            engine_load=self.engine_load,
            service_load=self.service.load,
            send=fleet.broadcast,
            on_change=self.notify,
            on_crash=self.on_crash,
        )
        self.quarantine = quarantine.Quarantine(
            name,
            claims=suspects.ClaimStore(store, is_over=fleet.ownership.is_over),
            journal=lambda record: fleet.ownership.session.record(record).wait(),
            send=fleet.broadcast,
            is_idle=self.directory.is_idle,
            probe=self.directory.check_health,
            boot=lambda: fleet.ownership.local_owner,
            reserve_limit=lambda service: (
                len(self.directory.views(service)) // RUNNERS_PER_RESERVED_RUNNER
            ),
        )
        self.guards = breakers.RunnerGuards()
        self.protection = protection.RunnerProtection(
            self.directory, self.quarantine, self.guards, tasks
        )
        self.cache = cache_view.CacheView(self.engine, self.model_views, self.is_live)
        self.orders = orders.ServiceControllers(self.engine, self.directory.views, fleet.fencing)
        self.register_handlers()

    def register_handlers(self) -> None:
        """Subscribe to changes of the fleet and register the handlers of peers' notices."""
        fleet = self.fleet
        fleet.configuration.subscribe(self.apply)
        fleet.membership.subscribe(self.on_member)
        fleet.ping_hooks.runners = self.directory.load_updates
        fleet.ping_hooks.on_load = self.on_load
        fleet.network.handlers.register(ttypes.RunnerNotice, self.on_runner_notice)
        fleet.network.handlers.register(ttypes.SuspectNotice, self.on_suspect_notice)

    def start(self) -> None:
        """Start the background tasks."""
        for component in (self.directory, self.quarantine, self.cache, self.orders):
            self.tasks.start_soon(component.run)
        self.tasks.start_soon(self.poll_vms)

    def apply(self, configuration: models.FleetConfiguration) -> None:
        """Apply a new configuration."""
        self.directory.apply(configuration)
        for name, service in configuration.services.items():
            if service.kind == "model":
                self.apply_plugins(name, service)
        for removed in set(self.dispatchers) - set(configuration.services):
            del self.dispatchers[removed]
        self.orders.apply(configuration)

    def apply_plugins(self, name: str, service: models.Service) -> None:
        """Create the dispatcher of a service, or replace its plug-ins by the configured ones."""
        usable = functools.partial(self.usable_views, name)
        configured = scheduler.from_service(
            name, service, usable, data_centre=self.data_centre, kv_transfer=self.kv_transfer
        )
        dispatcher = self.dispatchers.setdefault(name, configured)
        plugins = (service.ordering, service.placement, service.retention, service.admission)
        if dispatcher is not configured and plugins != self.plugins.get(name):
            dispatcher.replace_plugins(configured)
        self.plugins[name] = plugins

    async def engine_load(self, view: structures.RunnerView) -> backend_messages.LoadReport:
        """Fetch an engine's load report and record the cache usage in it."""
        report = await self.engine.load(view)
        self.usage.record_report(view, report)
        return report

    def counts_usage_of(self, view: structures.RunnerView) -> bool:
        """Return whether this node counts the cache usage of an engine; only one node does.

        It is the node that polls the engine from the engine's data centre, or from the first data
        centre by name when there is no live node in the engine's own.
        """
        data_centres = {member.data_centre for member in self.fleet.membership.alive()}
        data_centres.add(self.data_centre)
        counting_data_centre = (
            view.data_centre if view.data_centre in data_centres else min(data_centres)
        )
        key = structures.runner_key(view)
        return counting_data_centre == self.data_centre and self.directory.poller(key) == self.name

    def views(self, service: str) -> list[structures.RunnerView]:
        """Return the views of a service's runners."""
        return self.directory.views(service)

    def usable_views(self, service: str) -> list[structures.RunnerView]:
        """Return the runners that placement may choose."""
        return [view for view in self.directory.views(service) if self.protection.usable(view)]

    def model_views(self) -> list[structures.RunnerView]:
        """Return the views of all runners of model services."""
        return [view for name in self.dispatchers for view in self.directory.views(name)]

    def notify(self, service: str) -> None:
        """Wake the calls that wait for a runner of a service."""
        dispatcher = self.dispatchers.get(service)
        if dispatcher is not None:
            for view in self.directory.views(service):
                dispatcher.count_finished(view)
            dispatcher.notify()

    def is_live(self, session: str) -> bool | None:
        """Return whether the program of a session is active; None when another node owns it."""
        customer, _, program = session.partition("/")
        ownership = self.fleet.ownership
        if not ownership.owns(shards.program_shard(customer, program)):
            return None
        existing = ownership.table.find(customer, program)
        return existing is not None and existing.status == structures.ProgramStatus.ACTIVE

    def on_member(self, member: members.Member) -> None:
        """Divide the polling of runners among the live nodes of the data centre."""
        alive = self.fleet.membership.alive()
        local_nodes = [peer.node for peer in alive if peer.data_centre == self.data_centre]
        self.directory.set_nodes(local_nodes)
        if member.status is members.Status.DEAD:
            self.directory.forget_peer(member.node)

    def on_crash(self, view: structures.RunnerView) -> object:
        """Mark the requests that were in flight on a crashed runner as suspects."""
        return self.quarantine.record_crash(view)

    def on_load(
        self,
        member: members.Member,
        services: list[ttypes.ServiceLoad],
        loads: list[ttypes.RunnerLoad],
    ) -> None:
        """Apply the loads of runners that a peer reports."""
        self.directory.apply_load_updates(member.node, loads)

    async def on_runner_notice(
        self, sender: ttypes.Member, message: ttypes.RunnerNotice
    ) -> ttypes.Ack:
        """Apply a peer's notice about a runner."""
        self.directory.apply_notice(sender.node, message)
        return ttypes.Ack(ok=True)

    async def on_suspect_notice(
        self, sender: ttypes.Member, message: ttypes.SuspectNotice
    ) -> ttypes.Ack:
        """Apply a peer's notice about a suspect request."""
        self.quarantine.apply_notice(message)
        return ttypes.Ack(ok=True)

    async def poll_vms(self) -> None:
        """Periodically apply the platform's list of VMs."""
        while True:
            try:
                self.directory.apply_vms(await self.store.vms())
            except exceptions.StoreError:
                metrics.count("vms.unavailable")
            await anyio.sleep(VM_POLL_INTERVAL_S)

    async def aclose(self) -> None:
        """Close all connections to backend servers."""
        await self.connections.aclose()
