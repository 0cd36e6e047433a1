"""Where, whether and in which order turns are placed at engines; no I/O, callers pass the time.

Handles engines that differ in speed and are slow for a while, long prompts beside short ones, and
demand beyond what all engines can serve. A turn goes to the engine at which it and the turns there
together lose the least time. It waits while every engine is full, while its prompt would interrupt
running streams for too long, and while a faster engine is expected to be free so soon that the turn
ends earlier there.
"""

import collections.abc
import dataclasses
import enum
import math

from dogwoodgap import pacing
from dogwoodgap.balancing import engine_state, reports, speeds

REMOTE_DATA_CENTRE_S = 0.001
"""Cost of an engine in another data centre: about the one-way network delay."""

MEMORY_SHARE = 0.95
"""Part of an engine's memory that placed turns may hold; an engine that holds more crashes."""

GAP_SHARE = 0.5
"""Part of the longest pause between events that reading prompts may take. The rest is left to
the steps, to prompts that other schedulers place there, and to slow phases that begin meanwhile."""

MAX_STRETCH = pacing.MAX_REQUIRED_SPEEDUP
"""Largest time that a first turn may take, with what the others lose by it, relative to its time on
an idle engine. Beyond that, the programs under way would miss their objectives as well."""

MAX_GAP_WAIT_S = 0.2
"""Longest time that a long prompt waits for an engine whose streams bear it."""

NEW_WAIT_SHARE = 0.25
"""Part of its objective that a new program may wait before it is refused."""

MAX_WAIT_S = {
    pacing.TurnPriority.UNDER_WAY: 1.5,
    pacing.TurnPriority.NEW: 0.25,
    pacing.TurnPriority.LATE: 1.0,
    pacing.TurnPriority.OVERDUE: 0.25,
}
"""Longest wait by standing, for a new program only without an objective. Callers abandon a stream
that is silent for 2 s."""

AGEING_SHARE = 0.5
"""Part of its longest wait after which a turn has the next better standing, but not better than a
new program: turns of programs under way still precede it."""


class Reason(enum.Enum):
    """Why a turn was placed at its engine, waits, or was refused."""

    BEST = "best"
    CACHED = "cached"
    ONLY = "only"
    GAP_OVERRIDDEN = "gap_overridden"
    NO_ENGINE = "no_engine"
    FULL = "full"
    MEMORY = "memory"
    GAP = "gap"
    FASTER_SOON = "faster_soon"
    CROWDED = "crowded"
    WAIT_TOO_LONG = "wait_too_long"
    DEADLINE = "deadline"


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """Parts of the decision, which tests turn off to measure what each one earns."""

    use_speeds: bool = True
    use_reports: bool = True
    use_cache: bool = True
    use_harm: bool = True
    use_gap: bool = True
    wait_for_faster: bool = True
    use_order: bool = True
    use_stretch: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """Expected course of a turn at an engine.

    Attributes
    ----------
    read_tokens : int
        Prompt tokens that the engine has to read.
    read_s, duration_s : float
        Times until its prompt is read, with those that are being read, and until it ends.
    harm_s : float
        Time that the running turns lose.
    penalty_s : float
        Cost of failures and distance.
    idle_s : float
        Time that the turn would take at an idle engine of the service's usual speed.
    others, slowness : float
        Other requests at the engine, and its slowness relative to its usual one.
    """

    read_tokens: int
    read_s: float
    duration_s: float
    harm_s: float
    penalty_s: float
    idle_s: float
    others: float
    slowness: float

    @property
    def cost_s(self) -> float:
        """Return the time that is lost by all turns together."""
        return self.duration_s + self.harm_s + self.penalty_s


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """An engine as it is in one pass over the queue.

    Attributes
    ----------
    step_s, read_token_s : float
        Present times for each generated token and for each prompt token.
    unread_s : float
        Time to read the prompts that it is reading.
    others, held_tokens : float
        Requests there, and the tokens that they hold at most.
    free_in_s : float
        Time until the first of them ends.
    """

    engine: engine_state.EngineState
    step_s: float
    read_token_s: float
    unread_s: float
    others: float
    held_tokens: float
    free_in_s: float
    penalty_s: float
    slowness: float
    is_backed_off: bool

    @property
    def has_slot(self) -> bool:
        """Return whether it has a slot for one more turn."""
        return self.others <= self.engine.slots - 1

    def has_memory(self, turn: engine_state.Turn) -> bool:
        """Return whether it has memory for a turn with its whole output.

        A turn that exceeds the memory on its own is sent to an idle engine, which tells its caller.
        """
        needed = turn.prompt_tokens + turn.max_output_tokens
        limit = MEMORY_SHARE * self.engine.memory_tokens
        return self.held_tokens == 0.0 or self.held_tokens + needed <= limit


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """An engine for a turn; without one, the turn waits for the reason."""

    engine: engine_state.EngineState | None
    reason: Reason
    estimate: Estimate | None = None
    awaited: str = ""


class Chooser:
    """Chooses engines by what is known of their speed and of their present slowness."""

    def __init__(
        self,
        speed_table: speeds.SpeedTable,
        report_table: reports.ReportTable,
        data_centre: str = "",
        rules: Rules | None = None,
    ):
        self.speeds = speed_table
        self.reports = report_table
        self.data_centre = data_centre
        self.rules = rules or Rules()

    def view(self, engine: engine_state.EngineState, now: float) -> View:
        """Return an engine as it is now."""
        rules = self.rules
        slowness = self.reports.slowness(engine.id, now) if rules.use_reports else 1.0
        if rules.use_speeds:
            step_s = self.speeds.step_s(engine.id) * slowness
        else:
            step_s = self.speeds.usual_step_s * slowness
        read_token_s = step_s * self.speeds.read_ratio
        penalty_s = engine.failures.failure_cost_s(now)
        if engine.data_centre != self.data_centre:
            penalty_s += REMOTE_DATA_CENTRE_S
        return View(
            engine=engine,
            step_s=step_s,
            read_token_s=read_token_s,
            unread_s=engine.unread_tokens(now) * read_token_s,
            others=engine.occupancy(now),
            held_tokens=engine.held_tokens(now),
            free_in_s=engine.next_end_in_s(now),
            penalty_s=penalty_s,
            slowness=slowness,
            is_backed_off=engine.failures.backoff_until > now,
        )

    def estimate(self, view: View, turn: engine_state.Turn) -> Estimate:
        """Return the expected course of a turn that is sent to an engine now."""
        cached = view.engine.cache.cached_tokens(turn.parts) if self.rules.use_cache else 0
        read_tokens = max(0, turn.prompt_tokens - cached)
        crowding = self.speeds.crowding.per_request
        own_read_s = read_tokens * view.read_token_s
        read_s = own_read_s + view.unread_s
        output_tokens = self.speeds.output_tokens(turn.max_output_tokens)
        generate_s = output_tokens * view.step_s
        harm_s = view.others * (own_read_s + crowding * generate_s) if self.rules.use_harm else 0.0
        return Estimate(
            read_tokens=read_tokens,
            read_s=read_s,
            duration_s=read_s + generate_s * (1.0 + crowding * view.others),
            harm_s=harm_s,
            penalty_s=view.penalty_s,
            idle_s=(read_tokens * self.speeds.read_ratio + output_tokens)
            * self.speeds.usual_step_s,
            others=view.others,
            slowness=view.slowness,
        )

    def choose(
        self,
        views: collections.abc.Iterable[View],
        turn: engine_state.Turn,
        now: float,
        awaited: collections.abc.Container[str] = (),
    ) -> Choice:
        """Return the engine for a turn, or why it waits.

        Parameters
        ----------
        views : iterable of View
            Engines that accept requests.
        awaited : container of str
            Engines whose next free slot another waiting turn will take.
        """
        usable = [view for view in views if view.engine.id not in turn.excluded]
        usable = [view for view in usable if not view.is_backed_off] or usable
        if not usable:
            return Choice(None, Reason.NO_ENGINE)
        with_slot = [view for view in usable if view.has_slot]
        if not with_slot:
            return Choice(None, Reason.FULL)
        free = [view for view in with_slot if view.has_memory(turn)]
        if not free:
            return Choice(None, Reason.MEMORY)
        estimates = [(self.estimate(view, turn), view) for view in free]
        bearing = estimates
        if self.rules.use_gap:
            bearing = [pair for pair in estimates if bears(pair[0], turn)]
        if not bearing and now - turn.arrived_at < MAX_GAP_WAIT_S:
            return Choice(None, Reason.GAP)
        estimate, best = min(bearing or estimates, key=lambda pair: pair[0].cost_s)
        if self.rules.wait_for_faster and bearing:
            faster = self.faster_soon(usable, estimate, turn, awaited)
            if faster:
                return Choice(None, Reason.FASTER_SOON, awaited=faster)
        if (
            self.rules.use_stretch
            and turn.standing is pacing.TurnPriority.NEW
            and estimate.duration_s + estimate.harm_s > MAX_STRETCH * estimate.idle_s
        ):
            return Choice(None, Reason.CROWDED)
        if not bearing:
            reason = Reason.GAP_OVERRIDDEN
        elif len(usable) == 1:
            reason = Reason.ONLY
        elif estimate.read_tokens < turn.prompt_tokens:
            reason = Reason.CACHED
        else:
            reason = Reason.BEST
        return Choice(best.engine, reason, estimate)

    def faster_soon(
        self,
        usable: list[View],
        best: Estimate,
        turn: engine_state.Turn,
        awaited: collections.abc.Container[str],
    ) -> str:
        """Return a full engine at which the turn ends earlier although it waits, or nothing."""
        found, least_s = "", best.cost_s
        for view in usable:
            if view.has_slot or view.free_in_s >= least_s or view.engine.id in awaited:
                continue
            cost_s = view.free_in_s + self.estimate(view, turn).cost_s
            if cost_s < least_s:
                found, least_s = view.engine.id, cost_s
        return found


def bears(estimate: Estimate, turn: engine_state.Turn) -> bool:
    """Return whether the streams at an engine bear the reading of a prompt."""
    return estimate.others < 1.0 or estimate.read_s <= GAP_SHARE * turn.gap_s


def max_wait_s(turn: engine_state.Turn) -> float:
    """Return how long a turn may wait before it is refused."""
    if turn.standing is pacing.TurnPriority.NEW and math.isfinite(turn.finish_at):
        return max(0.0, NEW_WAIT_SHARE * (turn.finish_at - turn.arrived_at))
    return MAX_WAIT_S[turn.standing]


def order(turn: engine_state.Turn, now: float) -> tuple[int, float, float]:
    """Return the key by which waiting turns are sorted.

    Turns of programs under way precede new programs, late and overdue ones; within a standing, the
    one that has to finish first. A late or overdue turn rises with its waiting time.
    """
    standing = int(turn.standing)
    has_waited_long = now - turn.arrived_at >= AGEING_SHARE * MAX_WAIT_S[turn.standing]
    if standing > pacing.TurnPriority.NEW and has_waited_long:
        standing -= 1
    return standing, min(turn.finish_at, turn.deadline_at), turn.arrived_at
