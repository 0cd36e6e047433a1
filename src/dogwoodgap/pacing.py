"""How a program stands against its time objective; no network, no clock of its own.

Answers bursts, in which the engines have more turns than they run well: the gate lets programs
that are under way and can still end in time go first. The work of a program is not known, but its
budget grows with the turns that its author expects. The budget that a turn stands for is learnt
from programs that have ended.
"""

import dataclasses
import enum
import math

MAX_REQUIRED_SPEEDUP = 1.8
"""Time objectives are 1.3 to 1.7 times the time on idle engines, so that a program whose share of
work left exceeds its share of time left by more cannot end in time."""

INITIAL_BUDGET_PER_TURN = 1.5
"""Budget for each turn in multiples of the most that a turn may generate, before any is learnt."""

AVERAGE_WEIGHT = 0.05
"""Weight of one ended program in the moving average of the budget for each turn."""


class TurnPriority(enum.IntEnum):
    """Order of turns at a gate; lower goes first."""

    UNDER_WAY = 1
    NEW = 2
    LATE = 3
    OVERDUE = 4


@dataclasses.dataclass(slots=True)
class ProgramTiming:
    """The progress of one program.

    Attributes
    ----------
    started_at, finish_at : float
        Monotonic times of its first turn and of its time objective.
    turns : int
        Turns that have started, those of sub-agents included.
    """

    started_at: float
    finish_at: float
    turns: int = 0


class TurnEstimator:
    """The budget that a turn stands for, learnt from programs that have ended."""

    def __init__(self) -> None:
        self.budget_per_turn = INITIAL_BUDGET_PER_TURN

    def expected_turns(self, budget: int, turn_tokens: int) -> float:
        """Return the turns that a program's budget was made for."""
        return max(1.0, budget / (self.budget_per_turn * max(1, turn_tokens)))

    def record_end(self, budget: int, turn_tokens: int, turns: int) -> None:
        """Learn from a program that has ended."""
        if turns > 0 and turn_tokens > 0:
            observed = budget / (turns * turn_tokens)
            self.budget_per_turn += AVERAGE_WEIGHT * (observed - self.budget_per_turn)


def turn_priority(timing: ProgramTiming, expected_turns: float, now: float) -> TurnPriority:
    """Return how a program stands before its next turn.

    Parameters
    ----------
    timing : ProgramTiming
        Progress before this turn.
    expected_turns : float
        All turns that the program is expected to have.
    now : float
        Monotonic time in seconds.
    """
    objective_s = max(timing.finish_at - timing.started_at, 0.001)
    remaining_s = timing.finish_at - now
    if remaining_s <= -objective_s:
        return TurnPriority.OVERDUE
    remaining_turns = max(1.0, expected_turns - timing.turns)
    required_speedup = (
        math.inf
        if remaining_s <= 0
        else (remaining_turns / expected_turns) * objective_s / remaining_s
    )
    if required_speedup > MAX_REQUIRED_SPEEDUP:
        return TurnPriority.LATE
    return TurnPriority.UNDER_WAY if timing.turns else TurnPriority.NEW
