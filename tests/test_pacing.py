"""Turn priorities by time objective, and the estimate of the budget per turn."""

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
def test_turn_priority(turns, now, expected):
    """Guards against programs that cannot end in time being admitted before those that can."""
    timing = pacing.ProgramTiming(started_at=0.0, finish_at=10.0, turns=turns)
    assert pacing.turn_priority(timing, 10.0, now) is expected


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    strategies.floats(0.1, 60),
    strategies.integers(0, 60),
    strategies.floats(1, 60),
    strategies.floats(0, 200),
)
def test_priority_never_improves_while_a_program_waits(total, turns, expected, now):
    """Guards against a turn that overtakes others only because it waited longer."""
    timing = pacing.ProgramTiming(0.0, total, turns)
    earlier = pacing.turn_priority(timing, expected, now)
    assert pacing.turn_priority(timing, expected, now + 1.0) >= earlier


def test_estimated_turns_follow_ended_programs():
    """Guards against an estimate that keeps its initial value when ended programs differ."""
    estimator = pacing.TurnEstimator()
    for _ in range(200):
        estimator.record_end(budget=3_000, turn_tokens=100, turns=10)
    assert estimator.expected_turns(3_000, 100) == pytest.approx(10, rel=0.05)
