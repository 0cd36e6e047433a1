"""Turn schedulers of one gateway, for the gateways of its data centre that ask it for places.

Any gateway answers requests; which one is asked is decided by those that ask. A request is held
while its turn waits, so that the reply comes as soon as an engine is free, but only for a short
time: the sender asks again, which also shows that it still waits.
"""

import collections
import collections.abc
import logging
import math

import anyio
import anyio.abc

from dogwoodgap import (
    background,
    clock,
    events,
    exceptions,
    exposition,
    members,
    membership,
    pacing,
    peers,
    routes,
    servers,
)
from dogwoodgap.balancing import engine_state, outcomes, placement_wire, turn_scheduler
from dogwoodgap_wire import ttypes

HOLD_S = 0.05
"""Longest time that a request is held; less than the time after which its sender gives up."""

PASS_INTERVAL_S = 0.02
"""Time after which a waiting turn is looked at again, since prompts are read meanwhile."""

SUMMARY_INTERVAL_S = 0.2
"""Interval of the summaries that schedulers exchange while they have placed turns."""

SUMMARY_TIMEOUT_S = 0.1

LOG_INTERVAL_S = 1.0
"""Least time between two log lines about refused turns of a service."""


class SchedulerService:
    """Places turns at engines on behalf of the gateways that ask.

    Parameters
    ----------
    active_routes : routes.ActiveRoutes
        Active routes, with the capacity of the engines of each service.
    server_registry : servers.ServerRegistry
        Registered backend servers.
    data_centre : str
        Data centre of this gateway.

    Attributes
    ----------
    other_schedulers : callable
        Returns the members that may schedule turns besides this one.
    """

    def __init__(
        self,
        active_routes: routes.ActiveRoutes,
        server_registry: servers.ServerRegistry,
        data_centre: str,
    ):
        self.active_routes = active_routes
        self.server_registry = server_registry
        self.data_centre = data_centre
        self.by_service: dict[str, turn_scheduler.TurnScheduler] = {}
        self.listed: dict[str, tuple[list[servers.BackendServer], routes.Engine]] = {}
        self.waiters: dict[engine_state.TurnKey, anyio.Event] = {}
        self.decisions: dict[engine_state.TurnKey, outcomes.Decision] = {}
        self.passed_at: dict[str, float] = {}
        self.refused: dict[str, collections.Counter[str]] = collections.defaultdict(
            collections.Counter
        )
        self.logged_at: dict[str, float] = {}
        self.has_turns = anyio.Event()
        self.network: peers.Network | None = None
        self.other_schedulers: collections.abc.Callable[[], list[members.Member]] = list
        server_registry.removal_hooks.append(self.remove_server)

    def join(
        self, joined: membership.Membership, network: peers.Network, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Start to answer the members of a fleet."""
        self.network = network
        network.handlers.register(ttypes.PlacementRequest, self.on_request)
        network.handlers.register(ttypes.PlacementEnd, self.on_end)
        network.handlers.register(ttypes.EngineSummary, self.on_summary)
        background.start_service(tasks, self.exchange_summaries)

    def remove_server(self, server: servers.BackendServer) -> None:
        """Forget a removed engine."""
        scheduler = self.by_service.get(server.service)
        if scheduler is not None:
            scheduler.remove_engine(server.id)

    def scheduler(self, service: str) -> turn_scheduler.TurnScheduler | None:
        """Return the up-to-date scheduler of a service, or None if it has no engines."""
        table = self.active_routes.table
        configured = table.services.get(service) if table else None
        ready = self.server_registry.ready(service)
        if configured is None or configured.engine is None or not ready:
            return None
        scheduler = self.by_service.get(service)
        if scheduler is None:
            scheduler = self.by_service[service] = turn_scheduler.TurnScheduler(self.data_centre)
        if self.listed.get(service) != (ready, configured.engine):
            self.listed[service] = (list(ready), configured.engine)
            scheduler.set_engines(ready, configured.engine)
        return scheduler

    async def place(self, service: str, turn: engine_state.Turn) -> outcomes.Decision | None:
        """Return the decision on a turn, or None if it still waits.

        Raises
        ------
        NotFoundError
            If this gateway knows no engine of the service.
        """
        scheduler = self.scheduler(service)
        if scheduler is None:
            raise exceptions.NotFoundError(
                f"service {service!r} has no engines here; decide without a scheduler"
            )
        decision = self.decisions.pop(turn.key, None)
        if decision is None:
            decision = scheduler.submit(turn, clock.now())
        if decision is not None:
            return self.count(service, decision)
        self.has_turns.set()
        event = self.waiters[turn.key] = anyio.Event()
        try:
            self.run_pass(service, scheduler, turn.key)
            hold_until = clock.now() + HOLD_S
            while turn.key not in self.decisions and clock.now() < hold_until:
                with anyio.move_on_after(PASS_INTERVAL_S):
                    await event.wait()
                if clock.now() - self.passed_at.get(service, -math.inf) >= PASS_INTERVAL_S:
                    self.run_pass(service, scheduler)
        finally:
            if self.waiters.get(turn.key) is event:
                del self.waiters[turn.key]
            decision = self.decisions.pop(turn.key, None)
        return None if decision is None else self.count(service, decision)

    def run_pass(
        self,
        service: str,
        scheduler: turn_scheduler.TurnScheduler,
        only: engine_state.TurnKey | None = None,
    ) -> None:
        """Decide on the waiting turns of a service, or on one, and wake those that are decided."""
        now = clock.now()
        if only is None:
            self.passed_at[service] = now
        for key, decision in scheduler.run(now, only).items():
            event = self.waiters.get(key)
            if event is not None:
                self.decisions[key] = decision
                event.set()
            elif decision.engine_id is None:
                self.count(service, decision)

    def count(self, service: str, decision: outcomes.Decision) -> outcomes.Decision:
        """Count a decision, and log refusals at a bounded rate."""
        if decision.engine_id is not None:
            exposition.placements.labels(service, decision.reason.value).inc()
            return decision
        exposition.placement_refusals.labels(service, decision.reason.value).inc()
        self.refused[service][decision.reason.value] += 1
        now = clock.now()
        if now - self.logged_at.get(service, -LOG_INTERVAL_S) >= LOG_INTERVAL_S:
            self.logged_at[service] = now
            scheduler = self.by_service[service]
            events.emit(
                events.Event.TURNS_REFUSED,
                "turns were refused, since no engine would have been free in time",
                service=service,
                reasons=dict(self.refused.pop(service)),
                waiting=len(scheduler.waiting),
                placed=len(scheduler.placed),
                retry_after_s=round(decision.retry_after_s, 3),
            )
        return decision

    def end(
        self, service: str, key: engine_state.TurnKey, ended: outcomes.EndedTurn | None
    ) -> None:
        """Record the end of a turn, or that its gateway waits no longer."""
        scheduler = self.by_service.get(service)
        if scheduler is None:
            return
        self.decisions.pop(key, None)
        if ended is None:
            scheduler.cancel(key)
        else:
            expected_s = scheduler.end(key, ended, clock.now())
            if expected_s is not None and ended.is_done:
                exposition.expected_turn.labels(service).observe(expected_s)
                exposition.observed_turn.labels(service).observe(ended.duration_s)
        self.run_pass(service, scheduler)

    def update_metrics(self) -> None:
        """Set the gauges of waiting turns and of the age of reports."""
        now = clock.now()
        for service, scheduler in self.by_service.items():
            standings = collections.Counter(
                waiting.turn.standing for waiting in scheduler.waiting.values()
            )
            for standing in pacing.TurnPriority:
                exposition.waiting_turns.labels(service, standing.name).set(standings[standing])
            ages = sorted(
                scheduler.reports.age_s(engine_id, now) for engine_id in scheduler.reports.by_server
            )
            if ages:
                exposition.report_age.labels(service).set(ages[len(ages) // 2])

    # Messages

    async def on_request(
        self, sender: ttypes.Member, message: ttypes.PlacementRequest
    ) -> ttypes.PlacementReply:
        """Answer a request for a place."""
        turn = placement_wire.decode_turn(sender, message)
        scheduler = self.by_service.get(message.service_name)
        for reported in (message.reports or []) if scheduler is not None else []:
            scheduler.record_report(reported.engine, *placement_wire.decode_load(reported.report))
        try:
            decision = await self.place(message.service_name, turn)
        except exceptions.NotFoundError:
            return ttypes.PlacementReply(verdict=ttypes.PlacementVerdict.UNKNOWN)
        if decision is None:
            return ttypes.PlacementReply(verdict=ttypes.PlacementVerdict.WAITING)
        if decision.engine_id is None:
            return ttypes.PlacementReply(
                verdict=ttypes.PlacementVerdict.REFUSED,
                reason=decision.reason.value,
                retry_after_s=decision.retry_after_s,
            )
        return ttypes.PlacementReply(
            verdict=ttypes.PlacementVerdict.PLACED,
            engine=decision.engine_id,
            reason=decision.reason.value,
            expected_s=decision.expected_s,
        )

    async def on_end(self, sender: ttypes.Member, message: ttypes.PlacementEnd) -> ttypes.Ack:
        """Handle the end of a turn."""
        key = (sender.boot, message.number or 0)
        self.end(message.service_name, key, placement_wire.decode_end(message))
        return ttypes.Ack(ok=True)

    async def on_summary(self, sender: ttypes.Member, message: ttypes.EngineSummary) -> ttypes.Ack:
        """Handle the summary of another scheduler."""
        scheduler = self.scheduler(message.service_name)
        if scheduler is not None:
            uses = {
                use.engine: outcomes.EngineUse(use.running or 0, use.held_tokens or 0, use.step_s)
                for use in message.engines or []
            }
            scheduler.record_summary(sender.node, uses, clock.now())
        return ttypes.Ack(ok=True)

    async def exchange_summaries(self) -> None:
        """Send summaries to the other schedulers while turns are placed, until cancelled."""
        reported: set[str] = set()
        while True:
            if not reported and not any(known.placed for known in self.by_service.values()):
                self.has_turns = anyio.Event()
                await self.has_turns.wait()
            # Others may become known while a summary is sent.
            for service, scheduler in list(self.by_service.items()):
                summary = scheduler.summarise()
                # An empty summary is sent once, so that the last turns do not count on.
                if summary or service in reported:
                    await self.send_summary(service, summary)
                (reported.add if summary else reported.discard)(service)
            await anyio.sleep(SUMMARY_INTERVAL_S)

    async def send_summary(self, service: str, summary: dict[str, outcomes.EngineUse]) -> None:
        """Send the summary of a service to all other schedulers at the same time."""
        message = ttypes.EngineSummary(
            service_name=service,
            engines=[
                ttypes.EngineUse(
                    engine=engine_id,
                    running=use.running,
                    held_tokens=use.held_tokens,
                    step_s=use.step_s,
                )
                for engine_id, use in summary.items()
            ],
        )
        async with anyio.create_task_group() as tasks:
            for member in self.other_schedulers():
                tasks.start_soon(self.send, member, message)

    async def send(self, member: members.Member, message: ttypes.EngineSummary) -> None:
        """Send a summary to one scheduler; the next one replaces it if it is lost."""
        try:
            await self.network.request(
                member.peer_address, message, ttypes.Ack, timeout_s=SUMMARY_TIMEOUT_S
            )
        except exceptions.PeerError as error:
            logging.getLogger("dogwoodgap").debug("summary not delivered: %s", error.detail)
