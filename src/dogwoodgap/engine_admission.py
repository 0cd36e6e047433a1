"""Admits turns to the engines: by a turn scheduler, or by the concurrency limit of this node.

Handles services with engines. Where turns are scheduled, each attempt first gets a place from the
scheduler. Otherwise, and when no scheduler replies, each node limits its own concurrent turns.
"""

import collections.abc
import contextlib
import dataclasses

from dogwoodgap import (
    candidates,
    clock,
    dialect,
    exceptions,
    exposition,
    gate,
    routes,
    selection,
    servers,
)
from dogwoodgap import progress as progress_module
from dogwoodgap.balancing import outcomes, scheduling


@dataclasses.dataclass(slots=True)
class Attempt:
    """An attempt at an engine.

    Attributes
    ----------
    server : servers.BackendServer or None
        Engine that a turn scheduler named; None if this node chooses.
    used : servers.BackendServer or None
        Server that the request was sent to.
    sent_at : float
        Monotonic time at which it was sent there.
    result : progress.AttemptResult or None
        Result of the attempt; None if it was ended.
    """

    server: servers.BackendServer | None = None
    used: servers.BackendServer | None = None
    sent_at: float = 0.0
    result: progress_module.AttemptResult | None = None

    def start(self, server: servers.BackendServer) -> None:
        """Record the server that the request is sent to now."""
        self.used = server
        self.sent_at = clock.now()


class EngineAdmission:
    """Admits the turns of one node.

    Parameters
    ----------
    active_routes : routes.ActiveRoutes
        Active routes.
    server_registry : servers.ServerRegistry
        Registered backend servers.
    loads : selection.LoadTable
        Load and failures of the servers.
    server_selector : candidates.ServerSelector
        Selects eligible servers.
    turn_placer : scheduling.TurnPlacer
        Asks turn schedulers.
    """

    def __init__(
        self,
        active_routes: routes.ActiveRoutes,
        server_registry: servers.ServerRegistry,
        loads: selection.LoadTable,
        server_selector: candidates.ServerSelector,
        turn_placer: scheduling.TurnPlacer,
    ):
        self.active_routes = active_routes
        self.server_registry = server_registry
        self.loads = loads
        self.server_selector = server_selector
        self.turn_placer = turn_placer
        self.limiters: dict[str, gate.ConcurrencyLimiter] = {}

    def engine(self, service: str) -> routes.Engine | None:
        """Return the engine settings of a service, or None if it runs no model engine."""
        table = self.active_routes.table
        service_config = table.services.get(service) if table else None
        return service_config.engine if service_config else None

    @contextlib.asynccontextmanager
    async def admitted(
        self, progress: progress_module.Progress
    ) -> collections.abc.AsyncIterator[None]:
        """Admit a request with all its attempts; what a scheduler places is admitted by it.

        Raises
        ------
        OverloadedError
            If a turn was not admitted in time; it was not run.
        """
        engine = self.engine(progress.service)
        progress.is_scheduled = engine is not None and self.turn_placer.is_on(progress.service)
        if engine is None or progress.is_scheduled:
            yield
            return
        async with self.limited(progress):
            yield

    @contextlib.asynccontextmanager
    async def limited(
        self, progress: progress_module.Progress
    ) -> collections.abc.AsyncIterator[None]:
        """Admit a turn by the concurrency limit of this node."""
        limiter = self.limiters.setdefault(progress.service, gate.ConcurrencyLimiter())
        self.update_limiter(limiter, progress.service)
        await limiter.acquire(progress.turn_priority)
        try:
            yield
        finally:
            limiter.release()

    def update_limiter(self, limiter: gate.ConcurrencyLimiter, service: str) -> None:
        """Update a limiter with the current capacity and load of its service."""
        ready = self.server_registry.ready(service)
        slots = sum(
            selection.usable_slots(
                self.loads,
                server,
                self.loads.state(server).response_time_s or selection.DEFAULT_TURN_S,
            )
            for server in ready
        )
        in_flight = sum(self.loads.state(server).total_in_flight for server in ready)
        limiter.resize(slots, self.server_selector.node_count(), in_flight)

    @contextlib.asynccontextmanager
    async def attempt(
        self, call: dialect.Call, progress: progress_module.Progress, *, is_refusable: bool
    ) -> collections.abc.AsyncIterator[Attempt]:
        """Admit one attempt of a scheduled request, and report how it ended.

        Parameters
        ----------
        is_refusable : bool
            Whether the request may be refused; otherwise it is sent without a place.

        Raises
        ------
        OverloadedError
            If a scheduler refused the turn.
        """
        attempt = Attempt()
        if not progress.is_scheduled:
            yield attempt
            return
        placement = await self.place(call, progress, is_refusable=is_refusable)
        if placement is None:
            if not is_refusable:
                yield attempt
                return
            async with self.limited(progress):
                yield attempt
            return
        events_before = progress.events
        # That of an earlier attempt is about another engine.
        progress.load = None
        try:
            attempt.server = self.server_registry.servers.get(placement.engine_id)
            yield attempt
        finally:
            is_whole = events_before == 0 and call.last_event_id is None
            ended = self.describe_end(progress, attempt, is_whole=is_whole)
            self.turn_placer.end(placement, ended)

    async def place(
        self, call: dialect.Call, progress: progress_module.Progress, *, is_refusable: bool
    ) -> scheduling.Placement | None:
        """Ask for a place; None if this node has to choose by itself."""
        now = clock.now()
        eligible = {
            server.id
            for server in self.server_selector.eligible_servers(progress)
            if self.loads.state(server).backoff_until <= now
        }
        if not eligible:
            # The choice without a scheduler raises the error that fits.
            return None
        ready = self.server_registry.ready(progress.service)
        excluded = [server.id for server in ready if server.id not in eligible]
        try:
            placement = await self.turn_placer.place(call, progress, excluded)
        except scheduling.PlacementRefusedError as refusal:
            progress.placements.append(f"refused:{refusal.reason}")
            if not is_refusable:
                return None
            raise exceptions.OverloadedError(
                f"no engine is free for this turn in time ({refusal.reason}); retry later",
                retry_after_s=refusal.retry_after_s,
            ) from refusal
        if placement is None:
            progress.placements.append("without_scheduler")
        else:
            progress.placements.append(
                f"{placement.engine_id}:{placement.reason}:{placement.expected_s:.3f}"
            )
        return placement

    def describe_end(
        self, progress: progress_module.Progress, attempt: Attempt, *, is_whole: bool
    ) -> outcomes.EndedTurn | None:
        """Return how an attempt ended, for its scheduler; None if it was sent to no server."""
        if attempt.used is None:
            return None
        if attempt.used is not attempt.server:
            exposition.placement_fallbacks.labels(progress.service, "unusable").inc()
        engine = self.engine(progress.service)
        tokens_per_event = engine.tokens_per_event if engine else 1
        result = attempt.result
        is_done = result is progress_module.AttemptResult.DONE and progress.events > 0
        first_event_at = progress.first_event_at or clock.now()
        return outcomes.EndedTurn(
            engine_id=attempt.used.id,
            is_done=is_done and is_whole,
            is_refused=result is progress_module.AttemptResult.NOT_RUN,
            is_unreachable=result is progress_module.AttemptResult.UNREACHABLE,
            is_failed=result
            in (progress_module.AttemptResult.UNKNOWN, progress_module.AttemptResult.FAILED),
            generated_tokens=progress.events * tokens_per_event,
            first_tokens=tokens_per_event,
            first_event_s=first_event_at - attempt.sent_at,
            duration_s=clock.now() - attempt.sent_at,
            load=progress.load,
            reported_at=progress.reported_at,
        )
