"""How programs stand against their time objective."""

import hypothesis
import pytest
from hypothesis import strategies

from dogwoodgap import pacing


@pytest.mark.parametrize(
    ("turns", "now", "expected"),
    [
        (0, 0.0, pacing.TurnPriority.NEW),
        (2, 4.0, pacing.TurnPriority.UNDER_WAY),
        (2, 8.0, pacing.TurnPriority.LATE),
        (9, 11.0, pacing.TurnPriority.LATE),
        (9, 21.0, pacing.TurnPriority.OVERDUE),
    ],
)
def test_standing(turns, now, expected):
    """Guards against programs that cannot end in time ahead of those that can."""
    timing = pacing.ProgramTiming(started_at=0.0, finish_at=10.0, turns=turns)
    assert pacing.turn_priority(timing, 10.0, now) is expected


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    strategies.floats(0.1, 60),
    strategies.integers(0, 60),
    strategies.floats(1, 60),
    strategies.floats(0, 200),
)
def test_standing_never_improves_while_a_program_waits(total, turns, expected, now):
    """Guards against a turn that overtakes others by waiting longer."""
    timing = pacing.ProgramTiming(0.0, total, turns)
    earlier = pacing.turn_priority(timing, expected, now)
    assert pacing.turn_priority(timing, expected, now + 1.0) >= earlier


def test_budget_of_a_turn_is_learnt():
    """Guards against a deployment whose budgets differ from those that were measured."""
    estimator = pacing.TurnEstimator()
    for _ in range(200):
        estimator.record_end(budget=3_000, turn_tokens=100, turns=10)
    assert estimator.expected_turns(3_000, 100) == pytest.approx(10, rel=0.05)
