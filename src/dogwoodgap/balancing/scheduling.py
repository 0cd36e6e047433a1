"""Asks the turn schedulers of the data centre for places, on behalf of one gateway.

The first live gateways by name are the schedulers of a data centre; none is elected. One that does
not reply within 0.1 s is not asked again for a second. If the next one does not reply either, the
gateway decides by itself, so that forwarding never depends on a scheduler.
"""

import collections.abc
import dataclasses
import itertools
import logging
import math
import typing

import anyio.abc
import cachetools

from dogwoodgap import (
    background,
    clock,
    dialect,
    events,
    exceptions,
    exposition,
    hashing,
    members,
    membership,
    peers,
    servers,
)
from dogwoodgap import progress as progress_module
from dogwoodgap.balancing import (
    engine_state,
    outcomes,
    placement_wire,
    scheduler_service,
)
from dogwoodgap_wire import ttypes

REQUEST_TIMEOUT_S = 0.1
"""A reply takes a round trip within the data centre and at most ``scheduler_service.HOLD_S``."""

UNREACHABLE_S = 1.0
"""Time for which a scheduler that did not reply is not asked."""

ATTEMPTS = 2
"""Schedulers that are asked in turn before the gateway decides by itself."""

GATEWAYS_PER_SCHEDULER = 32
"""Gateways of a data centre for each of its schedulers; each asks about 2 to 6 times a second."""

MAX_REPORTING = 4_096
"""Servers whose malformed report was logged, and that are remembered for it."""

MAX_UNSENT_REPORTS = 32
"""Engines whose last report is kept for the next request for a place."""

MAX_REPORT_AGE_S = 1.0
"""Age from which on a report says nothing about the present and is not sent."""

Mode = typing.Literal["auto", "always", "off"]


@dataclasses.dataclass(slots=True)
class Placement:
    """The place of a turn.

    Attributes
    ----------
    scheduler : members.Member or None
        Gateway that placed it; None for this one.
    expected_s : float
        Expected duration of the turn at the engine, in seconds.
    """

    service: str
    number: int
    engine_id: str
    reason: str
    scheduler: members.Member | None
    expected_s: float = 0.0


class PlacementRefusedError(Exception):
    """A scheduler refused a turn.

    Parameters
    ----------
    reason : str
        Why, as a value of ``choice.Reason``.
    retry_after_s : float
        Time after which the turn is likely to be placed, in seconds.
    """

    def __init__(self, reason: str, retry_after_s: float):
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class TurnPlacer:
    """Asks for the places of one gateway's turns.

    Parameters
    ----------
    service : scheduler_service.SchedulerService
        Turn schedulers of this gateway.

    Attributes
    ----------
    mode : str
        ``auto`` for services whose servers report how long work takes, ``always`` for all services
        with engines, or ``off``.
    """

    def __init__(self, service: scheduler_service.SchedulerService):
        self.service = service
        self.mode: Mode = "auto"
        self.reporting: set[str] = set()
        self.malformed: cachetools.LRUCache[servers.ProcessKey, bool] = cachetools.LRUCache(
            MAX_REPORTING
        )
        self.numbers = itertools.count(1)
        self.unsent_reports: dict[str, dict[str, placement_wire.TimedLoad]] = {}
        self.failed_at: dict[str, float] = {}
        self.membership: membership.Membership | None = None
        self.network: peers.Network | None = None
        self.tasks: anyio.abc.TaskGroup | None = None
        service.other_schedulers = self.other_schedulers

    def join(
        self, joined: membership.Membership, network: peers.Network, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Start to ask the members of a fleet, and to answer them."""
        self.membership = joined
        self.network = network
        self.tasks = tasks
        self.service.join(joined, network, tasks)

    def is_on(self, service: str) -> bool:
        """Return whether the turns of a service with engines are placed by schedulers."""
        return self.mode == "always" or (self.mode == "auto" and service in self.reporting)

    def observe(self, server: servers.BackendServer, metadata: dialect.ResponseMetadata) -> None:
        """Find out from the head of a response whether its server reports how long work takes."""
        load = metadata.load
        if load is not None and load.slowness is not None:
            if server.service not in self.reporting:
                self.reporting.add(server.service)
                events.emit(
                    events.Event.SLOWNESS_REPORTED,
                    "servers of a service report how long work takes",
                    service=server.service,
                    server=server.id,
                    turn_scheduling=self.mode,
                )
            if self.is_on(server.service):
                reports = self.unsent_reports.setdefault(server.service, {})
                if len(reports) < MAX_UNSENT_REPORTS or server.id in reports:
                    reports[server.id] = (load, clock.now())
        if metadata.malformed_load is not None and server.process not in self.malformed:
            self.malformed[server.process] = True
            events.emit(
                events.Event.LOAD_REPORT_MALFORMED,
                "a server sends malformed load reports, which are ignored; correct its software",
                level=logging.WARNING,
                server=server.id,
                value=metadata.malformed_load[:64].decode("latin-1"),
            )

    # Schedulers

    def gateways(self, data_centre: str) -> list[members.Member]:
        """Return the live gateways of a data centre by name."""
        alive = self.membership.table.alive()
        return [member for member in alive if member.data_centre == data_centre]

    def schedulers(self, key: str) -> list[members.Member | None]:
        """Return the schedulers to ask in turn for a program; None stands for this gateway."""
        if self.membership is None:
            return [None]
        local = self.membership.table.local
        located = self.gateways(local.data_centre)
        count = scheduler_count(located)
        in_order = sorted(
            located[:count], key=lambda member: hashing.stable_hash(f"{key}@{member.node}")
        )
        now = clock.now()
        return [
            None if member is local else member
            for member in [*in_order, *located[count : count + 1]]
            if now - self.failed_at.get(member.node, -math.inf) >= UNREACHABLE_S
        ][:ATTEMPTS]

    def other_schedulers(self) -> list[members.Member]:
        """Return the schedulers of all data centres besides this gateway."""
        if self.membership is None:
            return []
        table = self.membership.table
        found: list[members.Member] = []
        for data_centre in sorted({member.data_centre for member in table.alive()}):
            located = self.gateways(data_centre)
            found += [
                member
                for member in located[: scheduler_count(located)]
                if member is not table.local
            ]
        return found

    # Places

    async def place(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        excluded: collections.abc.Iterable[str],
    ) -> Placement | None:
        """Wait for the place of a turn; None if this gateway has to decide by itself.

        Raises
        ------
        PlacementRefusedError
            If a scheduler refused the turn.
        """
        number = next(self.numbers)
        turn = self.describe(call, progress, number, excluded)
        reports = self.take_reports(progress.service)
        reason = "no_reply"
        for scheduler in self.schedulers(call.program_id or call.attempt_id):
            try:
                if scheduler is None:
                    return await self.place_here(progress.service, turn, reports)
                return await self.ask(scheduler, progress.service, turn, reports)
            except exceptions.NotFoundError:
                reason = "unknown_service"
            except exceptions.PeerError as error:
                self.record_failure(scheduler, error)
        exposition.placement_fallbacks.labels(progress.service, reason).inc()
        return None

    def take_reports(self, service: str) -> dict[str, placement_wire.TimedLoad]:
        """Return the load reports received since a place was last asked for; not the old ones."""
        now = clock.now()
        return {
            engine_id: (load, reported_at)
            for engine_id, (load, reported_at) in self.unsent_reports.pop(service, {}).items()
            if now - reported_at <= MAX_REPORT_AGE_S
        }

    def describe(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        number: int,
        excluded: collections.abc.Iterable[str],
    ) -> engine_state.Turn:
        """Return what a scheduler needs to know of a turn."""
        parts = call.prompt_parts
        if not parts and call.session_id:
            # Without parts, what the last turn of the session had in its prompt is not known.
            parts = (dialect.PromptPart(f"session {call.session_id}", call.prompt_tokens),)
        local = None if self.membership is None else self.membership.table.local
        return engine_state.Turn(
            key=("" if local is None else local.boot, number),
            standing=progress.turn_priority,
            parts=parts,
            prompt_tokens=call.prompt_tokens,
            max_output_tokens=call.max_output_tokens,
            arrived_at=call.arrived_at,
            finish_at=math.inf if call.finish_at is None else call.finish_at,
            deadline_at=progress.deadline_at,
            excluded=frozenset(excluded),
            gap_s=progress.route.gap_objective_s or math.inf,
        )

    async def place_here(
        self,
        service: str,
        turn: engine_state.Turn,
        reports: collections.abc.Mapping[str, placement_wire.TimedLoad],
    ) -> Placement:
        """Wait for a place from this gateway's own scheduler."""
        number = turn.key[1]
        scheduler = self.service.by_service.get(service)
        for engine_id, (load, reported_at) in reports.items() if scheduler is not None else ():
            scheduler.record_report(engine_id, load, reported_at)
        is_decided = False
        try:
            while (decision := await self.service.place(service, turn)) is None:
                pass
            is_decided = True
        finally:
            if not is_decided:
                self.service.end(service, turn.key, None)
        if decision.engine_id is None:
            raise PlacementRefusedError(decision.reason.value, decision.retry_after_s)
        return Placement(
            service, number, decision.engine_id, decision.reason.value, None, decision.expected_s
        )

    async def ask(
        self,
        scheduler: members.Member,
        service: str,
        turn: engine_state.Turn,
        reports: collections.abc.Mapping[str, placement_wire.TimedLoad],
    ) -> Placement:
        """Wait for a place from another gateway."""
        number = turn.key[1]
        is_decided = False
        try:
            while True:
                reply = await self.network.request(
                    scheduler.peer_address,
                    placement_wire.encode_turn(service, turn, reports),
                    ttypes.PlacementReply,
                    timeout_s=REQUEST_TIMEOUT_S,
                )
                message, reports = reply.message, {}
                if message.verdict != ttypes.PlacementVerdict.WAITING:
                    break
            is_decided = True
        finally:
            if not is_decided:
                # The scheduler may have placed it meanwhile.
                self.send_end(scheduler, service, number, None)
        if message.verdict == ttypes.PlacementVerdict.REFUSED:
            raise PlacementRefusedError(message.reason or "", message.retry_after_s or 0.0)
        if message.verdict != ttypes.PlacementVerdict.PLACED or not message.engine:
            raise exceptions.NotFoundError(
                f"node {scheduler.node} knows no engines of service {service!r}; deciding here"
            )
        return Placement(
            service,
            number,
            message.engine,
            message.reason or "",
            scheduler,
            message.expected_s or 0.0,
        )

    def end(self, placement: Placement, ended: outcomes.EndedTurn | None) -> None:
        """Tell the scheduler how a placed turn ended, in the background."""
        if placement.scheduler is None:
            local = None if self.membership is None else self.membership.table.local
            key = ("" if local is None else local.boot, placement.number)
            self.service.end(placement.service, key, ended)
        else:
            self.send_end(placement.scheduler, placement.service, placement.number, ended)

    def send_end(
        self,
        scheduler: members.Member,
        service: str,
        number: int,
        ended: outcomes.EndedTurn | None,
    ) -> None:
        """Send the end of a turn to another gateway, in the background."""
        if clock.now() - self.failed_at.get(scheduler.node, -math.inf) < UNREACHABLE_S:
            return
        message = placement_wire.encode_end(service, number, ended)
        background.start(self.tasks, self.deliver, scheduler, message)

    async def deliver(self, scheduler: members.Member, message: ttypes.PlacementEnd) -> None:
        """Send the end of a turn; if it is lost, the scheduler forgets the turn later."""
        try:
            await self.network.request(
                scheduler.peer_address, message, ttypes.Ack, timeout_s=REQUEST_TIMEOUT_S
            )
        except exceptions.PeerError as error:
            self.record_failure(scheduler, error)

    def record_failure(self, scheduler: members.Member, error: exceptions.PeerError) -> None:
        """Do not ask a scheduler that does not reply for a while."""
        now = clock.now()
        if now - self.failed_at.get(scheduler.node, -math.inf) >= UNREACHABLE_S:
            events.emit(
                events.Event.TURN_SCHEDULER_LOST,
                "a turn scheduler does not reply; asking the next, or deciding here",
                node=scheduler.node,
                detail=error.detail,
            )
        self.failed_at[scheduler.node] = now


def scheduler_count(located: list[members.Member]) -> int:
    """Return the number of schedulers among the gateways of a data centre."""
    return -(-len(located) // GATEWAYS_PER_SCHEDULER)
