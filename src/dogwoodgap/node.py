"""The node: builds every part and runs it."""

import contextlib
import logging
import signal
import uuid

import anyio
import anyio.abc
import httpx
import msgspec

from dogwoodgap import (
    actions,
    adapters,
    app,
    calls,
    events,
    exceptions,
    forwarding,
    intents,
    journal,
    lifecycle,
    metrics,
    models,
    objectstore,
    pacing,
    programs,
    releases,
    scheduler,
    serving,
    settings,
    structures,
    tls,
    views,
)

CONFIGURATION_KEY = "config/current"
WRITE_BURST = 8.0
EXPIRE_INTERVAL_S = 60.0


class Node:
    """One dogwoodgap process.

    Parameters
    ----------
    node_settings : settings.NodeSettings
        Validated settings.
    ownership : forwarding.Ownership, optional
        Who owns which shard; without one this node owns everything.

    Attributes
    ----------
    stop : serving.GracefulStop
        ``stop.on_stop(callback)`` adds a step of the planned stop.
    """

    def __init__(
        self,
        node_settings: settings.NodeSettings,
        ownership: forwarding.Ownership | None = None,
    ):
        self.settings = node_settings
        self.boot = uuid.uuid4().hex[:12]
        self.ownership = ownership or forwarding.SingleNode(node_settings.node.name, self.boot)
        self.configuration = models.FleetConfiguration()
        self.table = programs.ProgramTable()
        self.ready = False
        self.views: dict[str, list[structures.RunnerView]] = {}
        self.dispatchers: dict[str, scheduler.Dispatcher] = {}
        self.certificates = tls.Certificates(node_settings.tls)
        self.stop = serving.GracefulStop(node_settings.membership.discovery_ttl_s)

    async def run(self) -> None:
        """Serve until a planned stop has finished."""
        section = self.settings.statsd
        metrics.configure(section.host, section.port, section.prefix)
        async with contextlib.AsyncExitStack() as stack:
            self.platform = await stack.enter_async_context(
                self.client(base_url=self.settings.platform.url)
            )
            self.backends = await stack.enter_async_context(self.client())
            self.engines = await stack.enter_async_context(
                httpx.AsyncClient(
                    transport=pacing.PacedTransport(self.certificates.client_context())
                )
            )
            self.fresh = await stack.enter_async_context(self.client(keep_alive=0))
            tasks = await stack.enter_async_context(anyio.create_task_group())
            self.build(tasks)
            await self.serve(tasks)
            tasks.cancel_scope.cancel()
        events.emit(events.Event.NODE_STOPPED, "node stopped", node=self.settings.node.name)

    def client(self, base_url: str = "", keep_alive: int = 100) -> httpx.AsyncClient:
        """Return an HTTP client; ``keep_alive`` bounds the idle connections that it keeps."""
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=keep_alive)
        verify = self.certificates.client_context() or True
        return httpx.AsyncClient(base_url=base_url, limits=limits, verify=verify)

    def build(self, tasks: anyio.abc.TaskGroup) -> None:
        """Create the parts of the callers' side."""
        self.store = objectstore.HttpObjectStore(self.platform, self.settings.platform.timeout_s)
        bucket = objectstore.RateBucket(self.settings.platform.writes_per_s, WRITE_BURST)
        self.journal = journal.Journal(self.store, self.settings.node.name, self.boot, bucket)
        self.engine = adapters.HttpEngineAdapter(self.engines)
        self.service = adapters.HttpServiceAdapter(self.backends, self.fresh)
        self.releases = releases.Releases(self.engine, self.runners, tasks)
        self.calls = calls.Calls(
            self.table,
            self.journal,
            self.engine,
            self.dispatchers,
            tasks,
            self.in_force,
            self.releases.note,
        )
        self.lifecycle = lifecycle.Lifecycle(
            self.table,
            self.journal,
            self.calls,
            self.releases,
            self.in_force,
            self.ownership.owns,
        )
        self.intents = intents.Intents(
            self.table, self.journal, self.service, self.runners, self.in_force, tasks
        )
        self.idempotent = actions.IdempotentActions(self.service, self.runners)
        self.forwarder = forwarding.Forwarder(self.ownership, self.address_of, self.backends)
        self.actions = actions.Actions(
            self.table,
            self.journal,
            self.calls,
            self.lifecycle,
            self.idempotent,
            self.key_owner,
            tasks,
        )
        self.lifecycle.busy = self.actions.busy
        self.app = app.build(self.services())
        self.stop.waits += [self.app.wait_idle, self.wait_calls]

    def services(self) -> app.Services:
        """Return what the callers' interface uses."""
        return app.Services(
            settings=self.settings,
            table=self.table,
            calls=self.calls,
            actions=self.actions,
            intents=self.intents,
            idempotent=self.idempotent,
            lifecycle=self.lifecycle,
            forwarder=self.forwarder,
            configuration=self.in_force,
            entries=self.entries,
            health=self.health,
            ttl_s=self.settings.membership.discovery_ttl_s,
        )

    async def serve(self, tasks: anyio.abc.TaskGroup) -> None:
        """Run the background tasks and serve callers until the stop has drained."""
        tasks.start_soon(self.stop.watch_signals, signal.SIGTERM, signal.SIGINT)
        tasks.start_soon(self.journal.run)
        tasks.start_soon(self.lifecycle.sweep)
        tasks.start_soon(self.expire_keys)
        tasks.start_soon(self.certificates.watch)
        closing = anyio.Event()
        tasks.start_soon(self.drain, closing)
        await self.load_configuration()
        self.ready = True
        events.emit(events.Event.NODE_STARTED, "node started", node=self.settings.node.name)
        context = self.certificates.server_context()
        await serving.serve(self.app, self.settings.node.http_bind, context, closing)

    async def drain(self, closing: anyio.Event) -> None:
        """Close the listener when the planned stop has drained."""
        await self.stop.drained()
        events.emit(events.Event.NODE_STOPPING, "node drained", node=self.settings.node.name)
        closing.set()

    async def wait_calls(self) -> None:
        """Return when no call or action runs; they outlive the requests that follow them."""
        while self.calls.running:
            await next(iter(self.calls.running.values())).closed.wait()
        while waiting := [*self.actions.running.values(), *self.intents.running.values()]:
            await waiting[0].done.wait()

    async def expire_keys(self) -> None:
        """Forget idempotency keys past their retention, again and again."""
        while True:
            await anyio.sleep(EXPIRE_INTERVAL_S)
            self.intents.expire(self.ownership.owns)

    def in_force(self) -> models.FleetConfiguration:
        """Return the fleet configuration in force."""
        return self.configuration

    def runners(self, service: str) -> list[structures.RunnerView]:
        """Return the views of a service's runners."""
        return self.views.get(service, [])

    def address_of(self, node: str) -> str:
        """Return the address of a node's callers' interface."""
        return self.own_address() if node == self.settings.node.name else ""

    def own_address(self) -> str:
        """Return the address at which callers reach this node."""
        section = self.settings.node
        scheme = "https" if self.certificates.enabled else "http"
        return section.http_address or f"{scheme}://{section.http_bind}"

    def entries(self, customer: str, program: str) -> list[views.EntryView]:
        """Return the entry addresses in order of use."""
        section = self.settings.node
        if self.stop.requested.is_set():
            return []
        return [views.EntryView(self.own_address(), section.name, section.data_centre)]

    def health(self) -> views.HealthView:
        """Return whether the node is ready."""
        return views.HealthView(self.settings.node.name, self.ready, self.stop.requested.is_set())

    async def key_owner(self, order: intents.Order, authorization: str) -> structures.ActionResult:
        """Run an action at the owner of its key."""
        return await self.forwarder.key_action(order, authorization, self.intents.run)

    async def load_configuration(self) -> None:
        """Read the fleet configuration from the platform."""
        while True:
            try:
                stored = await self.store.get(CONFIGURATION_KEY)
                break
            except exceptions.ObjectMissingError:
                return
            except exceptions.StoreError as error:
                logging.getLogger("dogwoodgap").warning(error.detail)
                await anyio.sleep(0.2)
        self.apply_configuration(models.FleetConfiguration.model_validate_json(stored.data))

    def apply_configuration(self, configuration: models.FleetConfiguration) -> None:
        """Put a fleet configuration in force."""
        self.configuration = configuration
        for name, service in configuration.services.items():
            self.views[name] = [
                structures.RunnerView(
                    service=name,
                    id=runner.id,
                    address=runner.address,
                    data_centre=runner.data_centre,
                    slots=runner.slots,
                    cache_tokens=runner.cache_tokens,
                    checks_fencing=runner.checks_fencing,
                )
                for runner in service.runners
            ]
            if service.kind == "model":
                self.dispatchers[name] = scheduler.Dispatcher(
                    name, lambda name=name: self.views[name]
                )

    def dump(self) -> bytes:
        """Return the state of the process as JSON."""
        return msgspec.json.encode({"node": self.settings.node.name, "boot": self.boot})
