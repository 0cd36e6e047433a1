"""Priority of a program's next turn by its time objective; no I/O, and callers pass the time.

When a burst exceeds the capacity of the engines, the concurrency limiter first admits programs that
are running and can still meet their time objective. The number of turns that a program needs is not
known, but its token budget grows with the turns that its author expects. The budget per turn is
estimated from programs that have ended.
"""

import dataclasses
import enum
import math

MAX_REQUIRED_SPEEDUP = 1.8
"""Largest ratio of the remaining share of work to the remaining share of time with which a program
can still meet its objective: objectives are 1.3 to 1.7 times the time on idle engines."""

INITIAL_BUDGET_PER_TURN = 1.5
"""Initial budget per turn, as a multiple of the maximum output tokens of a turn."""

AVERAGE_WEIGHT = 0.05
"""Weight of one ended program in the moving average of the budget per turn."""


class TurnPriority(enum.IntEnum):
    """Admission priority of a turn; lower values are admitted first."""

    UNDER_WAY = 1
    NEW = 2
    LATE = 3
    OVERDUE = 4


@dataclasses.dataclass(slots=True)
class ProgramTiming:
    """Turns and time objective of one program.

    Attributes
    ----------
    started_at, finish_at : float
        Monotonic times of the first turn and of the time objective.
    turns : int
        Turns started so far, including those of sub-agents.
    """

    started_at: float
    finish_at: float
    turns: int = 0


class TurnEstimator:
    """Estimates the turns of a program from its budget, using programs that have ended."""

    def __init__(self) -> None:
        self.budget_per_turn = INITIAL_BUDGET_PER_TURN

    def expected_turns(self, budget: int, turn_tokens: int) -> float:
        """Return the number of turns that a budget is expected to cover."""
        return max(1.0, budget / (self.budget_per_turn * max(1, turn_tokens)))

    def record_end(self, budget: int, turn_tokens: int, turns: int) -> None:
        """Update the estimate with a program that has ended."""
        if turns > 0 and turn_tokens > 0:
            observed = budget / (turns * turn_tokens)
            self.budget_per_turn += AVERAGE_WEIGHT * (observed - self.budget_per_turn)


def turn_priority(timing: ProgramTiming, expected_turns: float, now: float) -> TurnPriority:
    """Return the priority of a program's next turn.

    Parameters
    ----------
    timing : ProgramTiming
        State of the program before this turn.
    expected_turns : float
        Total turns that the program is expected to need.
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
