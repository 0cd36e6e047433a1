"""The node: builds every part and runs it."""

import logging
import uuid

import anyio
import httpx
import hypercorn.asyncio
import hypercorn.config
import msgspec

from dogwoodgap import (
    adapters,
    app,
    calls,
    events,
    exceptions,
    journal,
    metrics,
    models,
    objectstore,
    programs,
    records,
    scheduler,
    settings,
    structures,
)
from dogwoodgap import clock as clock_module

CONFIGURATION_KEY = "config/current"
WRITE_BURST = 8.0


class Node:
    """One dogwoodgap process.

    Parameters
    ----------
    node_settings : settings.NodeSettings
        Validated settings.
    """

    def __init__(self, node_settings: settings.NodeSettings):
        self.settings = node_settings
        self.boot = uuid.uuid4().hex[:12]
        self.configuration = models.FleetConfiguration()
        self.table = programs.ProgramTable()
        self.ready = False
        self.views: dict[str, list[structures.RunnerView]] = {}
        self.dispatchers: dict[str, scheduler.Dispatcher] = {}

    async def run(self) -> None:
        """Serve until cancelled."""
        section = self.settings.node
        metrics.configure(
            self.settings.statsd.host, self.settings.statsd.port, self.settings.statsd.prefix
        )
        limits = httpx.Limits(max_connections=None, max_keepalive_connections=100)
        async with (
            httpx.AsyncClient(base_url=self.settings.platform.url, limits=limits) as platform,
            httpx.AsyncClient(limits=limits) as backends,
            anyio.create_task_group() as tasks,
        ):
            self.store = objectstore.HttpObjectStore(platform, self.settings.platform.timeout_s)
            bucket = objectstore.RateBucket(self.settings.platform.writes_per_s, WRITE_BURST)
            self.journal = journal.Journal(self.store, section.name, self.boot, bucket)
            self.engine = adapters.HttpEngineAdapter(backends)
            self.calls = calls.Calls(self.table, self.journal, self.engine, self.dispatchers, tasks)
            tasks.start_soon(self.journal.run)
            await self.load_configuration()
            self.ready = True
            events.emit(events.Event.NODE_STARTED, "node started", node=section.name)
            await self.serve_http()
            tasks.cancel_scope.cancel()

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
        self.configuration = models.FleetConfiguration.model_validate_json(stored.data)
        for name, service in self.configuration.services.items():
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

    async def serve_http(self) -> None:
        """Serve callers until shutdown."""
        config = hypercorn.config.Config()
        config.bind = [self.settings.node.http_bind]
        config.accesslog = None
        config.errorlog = None
        await hypercorn.asyncio.serve(app.build(self), config)

    def profile(self, program: programs.Program) -> models.Profile:
        """Return the profile of a program."""
        return self.configuration.profiles.get(program.profile, models.Profile())

    async def create_program(self, customer: str, body: models.ProgramRequest) -> programs.Program:
        """Create a program, or return the one with this id."""
        service = self.configuration.services.get(body.service)
        if service is None:
            raise exceptions.UnknownServiceError(
                f"service {body.service!r} is not configured; "
                f"use one of {', '.join(sorted(self.configuration.services))}"
            )
        name = body.profile or service.profile
        profile = self.configuration.profiles.get(name)
        if profile is None:
            raise exceptions.UnknownProfileError(
                f"profile {name!r} does not exist; "
                f"use one of {', '.join(sorted(self.configuration.profiles))}"
            )
        record = app.created_record(customer, body, profile, name)
        known = self.table.programs.get(programs.ProgramKey(customer, record.program))
        if known is None:
            self.table.apply(record)
            await self.journal.append(record)
        return self.table.get(customer, record.program)

    async def end_program(
        self, program: programs.Program, status: structures.ProgramStatus, reason: str
    ) -> None:
        """End a program and release its engine memory."""
        if program.status != structures.ProgramStatus.ACTIVE:
            return
        record = records.ProgramEnded(
            customer=program.customer,
            program=program.id,
            status=status.value,
            reason=reason,
            at=clock_module.wall(),
        )
        self.table.apply(record)
        await self.journal.append(record)

    def dump(self) -> bytes:
        """Return the state of the process as JSON."""
        return msgspec.json.encode({"node": self.settings.node.name, "boot": self.boot})
