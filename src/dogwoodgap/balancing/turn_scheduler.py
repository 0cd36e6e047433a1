"""Queue and table of placed turns of one service; no I/O, and callers pass the time."""

import collections
import collections.abc
import dataclasses
import random

import cachetools

from dogwoodgap import dialect, pacing, routes, servers
from dogwoodgap.balancing import choice, engine_state, outcomes, reports, speeds

MAX_WAITING = 1_024
"""Turns that may wait; more are refused at once, since they would wait for seconds."""

MAX_UNPLACED = 8
"""Waiting turns without a suitable engine after which a pass over the queue ends."""

MAX_CANDIDATES = 48
"""Engines that are compared for a turn. Of more, a random sample is, so that the cost of a turn is
bounded in large services."""

CACHED_PARTS = 2
"""Last parts of a prompt by which the engines that know it are found in a large service."""

MAX_PARTS = 8_192
"""Parts of prompts whose last engine is remembered."""

PING_TIMEOUT_S = 0.25
"""Time after which a waiting turn is dropped unless its gateway has asked for it again."""

NEW_RATE_WINDOW_S = 1.0
"""Time over which the rate of placed new programs is measured."""

EXPIRY_FACTOR = 2.0
"""Multiple of its expected duration after which a placed turn counts no more."""

MIN_EXPIRY_S = 0.5
"""Least time for which a placed turn counts; engines may become slower after it was placed."""

MAX_LEARNT_SLOWNESS = 1.2
"""Slowness relative to the usual one up to which turns tell the usual speed of an engine."""

MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(slots=True)
class WaitingTurn:
    """A turn that waits for an engine, and why it waited last."""

    turn: engine_state.Turn
    asked_at: float
    reason: choice.Reason = choice.Reason.FULL


class TurnScheduler:
    """Places the turns of one service at its engines, lets them wait, or refuses them.

    Parameters
    ----------
    data_centre : str
        Data centre of this scheduler.
    rules : choice.Rules, optional
        Parts of the decision that are in use.
    """

    def __init__(self, data_centre: str = "", rules: choice.Rules | None = None):
        self.speeds = speeds.SpeedTable()
        self.reports = reports.ReportTable()
        self.chooser = choice.Chooser(self.speeds, self.reports, data_centre, rules)
        self.engines: dict[str, engine_state.EngineState] = {}
        self.placed: dict[engine_state.TurnKey, engine_state.PlacedTurn] = {}
        self.waiting: dict[engine_state.TurnKey, WaitingTurn] = {}
        self.ready: list[engine_state.EngineState] = []
        self.part_engines: cachetools.LRUCache[str, str] = cachetools.LRUCache(MAX_PARTS)
        self.random = random.Random(data_centre)
        self.new_placed_at: collections.deque[float] = collections.deque(maxlen=MAX_WAITING)

    def set_engines(
        self,
        ready: collections.abc.Iterable[servers.BackendServer],
        capacity: routes.Engine,
    ) -> None:
        """Use the engines that accept requests; an engine that is missing keeps its turns."""
        listed = {server.id: server for server in ready}
        for server in listed.values():
            known = self.engines.get(server.id)
            if known is None:
                known = self.engines[server.id] = engine_state.EngineState(
                    server.id,
                    capacity.slots,
                    capacity.cache_tokens,
                    server.data_centre,
                    server.started_ms,
                )
            elif known.started_ms != server.started_ms:
                for key in known.turns:
                    self.placed.pop(key, None)
                known.restart(server.started_ms)
            known.slots = capacity.slots
            known.memory_tokens = capacity.cache_tokens
        for engine in self.engines.values():
            engine.is_ready = engine.id in listed
        self.ready = [engine for engine in self.engines.values() if engine.is_ready]

    def remove_engine(self, engine_id: str) -> None:
        """Forget an engine that is no longer registered."""
        engine = self.engines.pop(engine_id, None)
        if engine is not None:
            for key in engine.turns:
                self.placed.pop(key, None)
        self.ready = [known for known in self.ready if known.id != engine_id]
        self.speeds.remove(engine_id)
        self.reports.remove(engine_id)

    def submit(self, turn: engine_state.Turn, now: float) -> outcomes.Decision | None:
        """Add a turn to the queue, or ask for one again.

        Returns
        -------
        outcomes.Decision or None
            The decision if the turn was placed before or cannot wait.
        """
        placed = self.placed.get(turn.key)
        if placed is not None:
            expected_s = placed.expected_end_at - placed.placed_at
            return outcomes.Decision(placed.engine_id, choice.Reason.BEST, expected_s)
        known = self.waiting.get(turn.key)
        if known is not None:
            known.asked_at = now
            return None
        refusal = self.refusal(turn, choice.Reason.FULL, now)
        if refusal is None and (
            len(self.waiting) >= MAX_WAITING or self.new_wait_s(turn) > choice.max_wait_s(turn)
        ):
            refusal = self.refuse(choice.Reason.FULL)
        if refusal is None:
            self.waiting[turn.key] = WaitingTurn(turn, now)
        return refusal

    def cancel(self, key: engine_state.TurnKey) -> None:
        """Remove a turn that waits or was placed but not sent."""
        self.waiting.pop(key, None)
        self.remove_placed(key)

    def remove_placed(self, key: engine_state.TurnKey) -> engine_state.PlacedTurn | None:
        """Remove a placed turn and return it."""
        placed = self.placed.pop(key, None)
        if placed is not None and placed.engine_id in self.engines:
            self.engines[placed.engine_id].turns.pop(key, None)
        return placed

    def run(
        self, now: float, only: engine_state.TurnKey | None = None
    ) -> dict[engine_state.TurnKey, outcomes.Decision]:
        """Decide on waiting turns in their order; return those that are decided.

        Parameters
        ----------
        only : engine_state.TurnKey, optional
            Turn that has just been submitted. The others found no suitable engine a moment ago, so
            that it takes nothing from them.
        """
        self.expire(now)
        decisions: dict[engine_state.TurnKey, outcomes.Decision] = {}
        views: dict[str, choice.View] = {}
        awaited: set[str] = set()
        unplaced = 0
        is_full = False
        for waiting in self.in_order(now, only):
            turn = waiting.turn
            if not is_full and unplaced < MAX_UNPLACED:
                candidates = [self.view(engine, views, now) for engine in self.candidates(turn)]
                chosen = self.chooser.choose(candidates, turn, now, awaited)
                if chosen.engine is not None:
                    decisions[turn.key] = self.place(waiting, chosen, now)
                    del views[chosen.engine.id]
                    continue
                unplaced += 1
                waiting.reason = chosen.reason
                if chosen.awaited:
                    awaited.add(chosen.awaited)
                is_full = chosen.reason is choice.Reason.FULL and not turn.excluded
            refusal = self.refusal(turn, waiting.reason, now)
            if refusal is not None:
                del self.waiting[turn.key]
                decisions[turn.key] = refusal
        return decisions

    def in_order(self, now: float, only: engine_state.TurnKey | None) -> list[WaitingTurn]:
        """Return the waiting turns to decide on, in their order."""
        if only is not None:
            return [self.waiting[only]] if only in self.waiting else []
        if not self.chooser.rules.use_order:
            return list(self.waiting.values())
        return sorted(self.waiting.values(), key=lambda waiting: choice.order(waiting.turn, now))

    def candidates(self, turn: engine_state.Turn) -> list[engine_state.EngineState]:
        """Return the engines to choose from: all, or a sample with those that know the prompt."""
        if len(self.ready) <= MAX_CANDIDATES:
            return self.ready
        known = {
            engine_id
            for part in turn.parts[-CACHED_PARTS:]
            if (engine_id := self.part_engines.get(part.id)) is not None
        }
        sample = self.random.sample(self.ready, MAX_CANDIDATES)
        sampled = {engine.id for engine in sample}
        return sample + [
            engine
            for engine_id in known - sampled
            if (engine := self.engines.get(engine_id)) is not None and engine.is_ready
        ]

    def view(
        self, engine: engine_state.EngineState, views: dict[str, choice.View], now: float
    ) -> choice.View:
        """Return an engine as it is in this pass."""
        view = views.get(engine.id)
        if view is None:
            view = views[engine.id] = self.chooser.view(engine, now)
        return view

    def place(self, waiting: WaitingTurn, chosen: choice.Choice, now: float) -> outcomes.Decision:
        """Place a turn at its engine."""
        turn, engine, estimate = waiting.turn, chosen.engine, chosen.estimate
        self.waiting.pop(turn.key, None)
        placed = engine_state.PlacedTurn(
            turn=turn,
            engine_id=engine.id,
            placed_at=now,
            read_tokens=estimate.read_tokens,
            read_by=now + estimate.read_s,
            expected_end_at=now + estimate.duration_s,
            expires_at=self.expires_at(turn, estimate.duration_s, now),
            others=estimate.others,
            known_others=engine.known(now),
            slowness=estimate.slowness,
        )
        engine.turns[turn.key] = self.placed[turn.key] = placed
        engine.cache.store(turn.parts)
        for part in turn.parts[-CACHED_PARTS:]:
            self.part_engines[part.id] = engine.id
        if turn.standing is pacing.TurnPriority.NEW:
            self.new_placed_at.append(now)
        return outcomes.Decision(engine.id, chosen.reason, estimate.duration_s)

    def expires_at(self, turn: engine_state.Turn, expected_s: float, now: float) -> float:
        """Return the time until which a placed turn counts without a sign of its gateway."""
        if not self.speeds.by_engine:
            # Nothing has been learnt yet, so that the expected duration may be far from the truth.
            return turn.deadline_at
        return min(turn.deadline_at, now + max(MIN_EXPIRY_S, EXPIRY_FACTOR * expected_s))

    def refusal(
        self, turn: engine_state.Turn, reason: choice.Reason, now: float
    ) -> outcomes.Decision | None:
        """Return the refusal of a turn that has waited too long, or would."""
        if now >= turn.deadline_at:
            return self.refuse(choice.Reason.DEADLINE)
        if not self.ready:
            return self.refuse(choice.Reason.NO_ENGINE)
        if now - turn.arrived_at >= choice.max_wait_s(turn):
            is_known = reason in (choice.Reason.GAP, choice.Reason.MEMORY, choice.Reason.NO_ENGINE)
            return self.refuse(reason if is_known else choice.Reason.WAIT_TOO_LONG)
        return None

    def new_wait_s(self, turn: engine_state.Turn) -> float:
        """Return how long a new program is expected to wait behind others; 0 for other turns."""
        if turn.standing is not pacing.TurnPriority.NEW or not self.new_placed_at:
            return 0.0
        ahead = sum(
            waiting.turn.standing is pacing.TurnPriority.NEW for waiting in self.waiting.values()
        )
        return ahead * NEW_RATE_WINDOW_S / len(self.new_placed_at)

    def refuse(self, reason: choice.Reason) -> outcomes.Decision:
        """Return a refusal with the time after which room is expected."""
        new = sum(
            waiting.turn.standing is pacing.TurnPriority.NEW for waiting in self.waiting.values()
        )
        retry_after_s = (new + 1) * NEW_RATE_WINDOW_S / max(1, len(self.new_placed_at))
        return outcomes.Decision(
            None,
            reason,
            retry_after_s=min(max(MIN_RETRY_AFTER_S, retry_after_s), MAX_RETRY_AFTER_S),
        )

    def expire(self, now: float) -> None:
        """Drop the turns of gateways that are gone, and old placements of new programs."""
        for key, waiting in list(self.waiting.items()):
            if now - waiting.asked_at > PING_TIMEOUT_S:
                del self.waiting[key]
        for key, placed in list(self.placed.items()):
            if now >= placed.expires_at:
                self.remove_placed(key)
        while self.new_placed_at and self.new_placed_at[0] < now - NEW_RATE_WINDOW_S:
            self.new_placed_at.popleft()

    def end(self, key: engine_state.TurnKey, ended: outcomes.EndedTurn, now: float) -> float | None:
        """Record the end of a placed turn; return its expected duration if it was known."""
        placed = self.remove_placed(key)
        engine = self.engines.get(ended.engine_id)
        if engine is None:
            return None
        if ended.load is not None and self.reports.record(
            engine.id, ended.load, min(now, ended.reported_at)
        ):
            known_requests = engine.known(now) + 1.0
            if placed is not None and placed.engine_id == engine.id:
                known_requests = placed.known_others + 1.0
            engine.record_load(ended.load, min(now, ended.reported_at), known_requests)
        if ended.is_unreachable:
            engine.failures.record_unreachable(now)
            engine.cache = engine_state.PrefixCache(engine.memory_tokens)
        elif ended.is_refused:
            engine.surplus = max(engine.surplus, engine.slots - engine.known(now))
            engine.surplus_at = now
        else:
            engine.failures.record_reachable()
            engine.failures.record_outcome(now, failed=ended.is_failed)
        if placed is None:
            return None
        if ended.is_done and placed.engine_id == engine.id:
            self.learn(placed, ended, now)
        return placed.expected_end_at - placed.placed_at

    def record_report(self, engine_id: str, load: dialect.ServerLoad, reported_at: float) -> None:
        """Record a load report of a turn that still runs."""
        if engine_id in self.engines:
            self.reports.record(engine_id, load, reported_at)

    def learn(self, placed: engine_state.PlacedTurn, ended: outcomes.EndedTurn, now: float) -> None:
        """Learn the speed of an engine from a turn that ended normally in a usual phase.

        The reports do not tell how much of a turn was in a slow phase.
        """
        if self.reports.slowness(placed.engine_id, now) > MAX_LEARNT_SLOWNESS:
            return
        self.speeds.record(
            placed.engine_id,
            speeds.TurnSample(
                read_tokens=placed.read_tokens,
                generated_tokens=ended.generated_tokens,
                max_output_tokens=placed.turn.max_output_tokens,
                first_tokens=ended.first_tokens,
                first_event_s=ended.first_event_s,
                duration_s=ended.duration_s,
                others=placed.others,
            ),
        )

    def summarise(self) -> dict[str, outcomes.EngineUse]:
        """Return the use of each engine at which this scheduler has placed turns."""
        return {
            engine.id: outcomes.EngineUse(
                len(engine.turns),
                sum(placed.held_tokens for placed in engine.turns.values()),
                self.speeds.own_step_s(engine.id),
            )
            for engine in self.engines.values()
            if engine.turns
        }

    def record_summary(self, node: str, uses: dict[str, outcomes.EngineUse], now: float) -> None:
        """Record the turns that another scheduler has placed; engines without any are missing."""
        for engine in self.engines.values():
            use = uses.get(engine.id)
            if use is None:
                engine.summaries.pop(node, None)
                continue
            engine.summaries[node] = engine_state.Summary(use.running, use.held_tokens, now)
            if use.step_s is not None:
                self.speeds.adopt(engine.id, use.step_s)
