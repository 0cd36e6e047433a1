"""How a program stands against its time objective; no network, no clock of its own.

Answers bursts, in which the engines have more turns than they run well: the gate lets programs
that are under way and can still end in time go first. The work of a program is not known, but its
budget grows with the turns that its author expects. The budget that a turn stands for is learnt
from programs that have ended.
"""

import dataclasses
import enum
import math

HOPELESS_STRAIN = 1.8
"""Time objectives are 1.3 to 1.7 times the time on idle engines, so that a program whose share of
work left exceeds its share of time left by more cannot end in time."""

BUDGET_PER_TURN = 1.5
"""Budget for each turn in multiples of the most that a turn may generate, before any is learnt."""

LEARNING_WEIGHT = 0.05
"""Weight of one ended program in the moving average of the budget for each turn."""


class Standing(enum.IntEnum):
    """Order of turns at a gate; lower goes first."""

    UNDER_WAY = 1
    NEW = 2
    LATE = 3
    OVERDUE = 4


@dataclasses.dataclass(slots=True)
class Pace:
    """The progress of one program.

    Attributes
    ----------
    first_at, finish_at : float
        Monotonic times of its first turn and of its time objective.
    turns : int
        Turns that have started, those of sub-agents included.
    """

    first_at: float
    finish_at: float
    turns: int = 0


class TurnEstimate:
    """The budget that a turn stands for, learnt from programs that have ended."""

    def __init__(self) -> None:
        self.budget_per_turn = BUDGET_PER_TURN

    def expected_turns(self, budget: int, turn_tokens: int) -> float:
        """Return the turns that a program's budget was made for."""
        return max(1.0, budget / (self.budget_per_turn * max(1, turn_tokens)))

    def note_end(self, budget: int, turn_tokens: int, turns: int) -> None:
        """Learn from a program that has ended."""
        if turns > 0 and turn_tokens > 0:
            found = budget / (turns * turn_tokens)
            self.budget_per_turn += LEARNING_WEIGHT * (found - self.budget_per_turn)


def standing(pace: Pace, expected_turns: float, now: float) -> Standing:
    """Return how a program stands before its next turn.

    Parameters
    ----------
    pace : Pace
        Progress before this turn.
    expected_turns : float
        All turns that the program is expected to have.
    now : float
        Monotonic time in seconds.
    """
    total_s = max(pace.finish_at - pace.first_at, 0.001)
    left_s = pace.finish_at - now
    if left_s <= -total_s:
        return Standing.OVERDUE
    turns_left = max(1.0, expected_turns - pace.turns)
    strain = math.inf if left_s <= 0 else (turns_left / expected_turns) * total_s / left_s
    if strain > HOPELESS_STRAIN:
        return Standing.LATE
    return Standing.UNDER_WAY if pace.turns else Standing.NEW
