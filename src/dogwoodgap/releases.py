"""Cache orders to engines: release and export of prefixes in tool pauses and after programs end."""

import collections.abc
import dataclasses
import logging

import anyio
import anyio.abc

from dogwoodgap import (
    adapters,
    events,
    exceptions,
    exports,
    metrics,
    programs,
    scheduler,
    structures,
)

RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 10.0
SWEEP_INTERVAL_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class SessionLocation:
    """Session on one runner."""

    service: str
    runner: str
    session: str


class Releases:
    """Sends cache orders to engines; releases of ended programs are retried until confirmed.

    Parameters
    ----------
    runners : callable
        Returns the current views of a service's runners.
    tasks : anyio.abc.TaskGroup
        Runs one task for each unconfirmed order.
    dispatchers : mapping, optional
        Dispatchers by service, which decide what happens to prefixes in tool pauses.
    export_store : exports.ExportStore, optional
        Stores exported prefixes; without it nothing is exported.
    """

    def __init__(
        self,
        engine: adapters.EngineAdapter,
        runners: collections.abc.Callable[[str], list[structures.RunnerView]],
        tasks: anyio.abc.TaskGroup,
        dispatchers: collections.abc.Mapping[str, scheduler.Dispatcher] | None = None,
        export_store: exports.ExportStore | None = None,
    ):
        self.engine = engine
        self.runners = runners
        self.tasks = tasks
        self.dispatchers = dispatchers if dispatchers is not None else {}
        self.export_store = export_store
        self.pending: set[SessionLocation] = set()
        self.holders: dict[programs.ProgramKey, set[str]] = {}

    def record_holder(self, program: programs.Program, runner: structures.RunnerView) -> None:
        """Record that a call of the program is about to be sent to a runner."""
        self.holders.setdefault(programs.key_of(program), set()).add(runner.id)

    def holders_of(self, program: programs.Program) -> set[str]:
        """Return the runners that may hold the program's prefix, including from the journal."""
        recorded = {turn.runner for turn in program.turns()}
        return recorded | self.holders.get(programs.key_of(program), set())

    def release(self, program: programs.Program, call_ended: anyio.Event | None = None) -> None:
        """Release an ended program's session on all runners that may hold it.

        A call that is still running would store the session again, so the orders wait for
        ``call_ended``.
        """
        holders = self.holders_of(program)
        self.holders.pop(programs.key_of(program), None)
        for runner in sorted(holders):
            location = SessionLocation(program.service, runner, programs.session_of(program))
            if location not in self.pending:
                self.pending.add(location)
                self.tasks.start_soon(self.release_until_confirmed, location, call_ended)

    async def release_until_confirmed(
        self, location: SessionLocation, call_ended: anyio.Event | None
    ) -> None:
        """Retry a release until it is confirmed or the runner has left the configuration."""
        if call_ended is not None:
            await call_ended.wait()
        self.end_in_dispatcher(location)
        if self.export_store is not None:
            await self.export_store.delete(location.session)
        delay = RETRY_DELAY_S
        while (runner := self.find_runner(location)) is not None:
            try:
                await self.engine.release(runner, location.session)
                metrics.count("releases.confirmed")
                break
            except exceptions.RunnerFailedError as error:
                events.emit(
                    events.Event.RELEASE_REPEATED,
                    "release of engine memory was not confirmed; retrying",
                    level=logging.WARNING,
                    runner=location.runner,
                    detail=error.detail,
                )
            await anyio.sleep(delay)
            delay = min(delay * 2, MAX_RETRY_DELAY_S)
        self.pending.discard(location)

    def end_in_dispatcher(self, location: SessionLocation) -> None:
        """Remove an ended program from its dispatcher."""
        dispatcher = self.dispatchers.get(location.service)
        if dispatcher is not None:
            customer, _, program = location.session.partition("/")
            dispatcher.program_ended(customer, program)

    def execute_orders(
        self, service: str, orders: collections.abc.Iterable[structures.CacheOrder]
    ) -> None:
        """Execute a dispatcher's cache orders in the background."""
        for order in orders:
            if order.action == structures.CacheAction.RELEASE:
                self.tasks.start_soon(self.release_once, service, order)
            elif order.action == structures.CacheAction.EXPORT and self.export_store is not None:
                self.tasks.start_soon(self.export_once, service, order)

    async def release_once(self, service: str, order: structures.CacheOrder) -> None:
        """Release a prefix without retries, since the program may need it again."""
        runner = self.find_runner(SessionLocation(service, order.runner, order.session))
        if runner is None:
            return
        try:
            await self.engine.release(runner, order.session)
            metrics.count("releases.paused")
        except exceptions.RunnerFailedError:
            if service in self.dispatchers:
                self.dispatchers[service].order_failed(order)

    async def export_once(self, service: str, order: structures.CacheOrder) -> None:
        """Export a prefix to the data folder and release it on the engine."""
        runner = self.find_runner(SessionLocation(service, order.runner, order.session))
        if runner is None:
            return
        try:
            stored = await self.export_store.save(await self.engine.export(runner, order.session))
            if stored:
                await self.engine.release(runner, order.session)
                metrics.count("prefixes.exported")
                return
        except (exceptions.RunnerFailedError, OSError):
            metrics.count("prefixes.export_failed")
        if service in self.dispatchers:
            self.dispatchers[service].order_failed(order)

    async def import_prefix(self, placement: structures.Placement) -> None:
        """Import the prefix into the chosen runner, from the data folder or another runner.

        After a failure the engine recomputes the prefix.
        """
        item = placement.item
        if item is None or self.export_store is None or not placement.import_tokens:
            return
        session = f"{item.customer}/{item.program}"
        try:
            source = self.find_runner(SessionLocation(item.service, placement.export_from, session))
            if placement.export_from and source is not None:
                block = await self.engine.export(source, session)
            else:
                block = await self.export_store.load(session)
            if block is not None:
                await self.engine.import_block(placement.runner, block)
                metrics.count("prefixes.imported")
        except exceptions.RunnerFailedError:
            metrics.count("prefixes.import_failed")

    async def sweep(self) -> None:
        """Re-evaluate paused programs once per second, until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            for service, dispatcher in list(self.dispatchers.items()):
                self.execute_orders(service, dispatcher.sweep())

    def find_runner(self, location: SessionLocation) -> structures.RunnerView | None:
        """Return the runner of a session, or None if it has left the configuration."""
        views = self.runners(location.service)
        return next((view for view in views if view.id == location.runner), None)
