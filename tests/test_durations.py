"""Estimates of how long requests take, and what can still finish before a stop."""

import anyio
import pytest
import virtual_time
from hypothesis import given
from hypothesis import strategies as st

from dogwoodgap import durations, routes

KIND = ("plain", routes.RouteKind.IDEMPOTENT)
SECONDS = st.lists(st.floats(min_value=0.0, max_value=30.0), min_size=1, max_size=200)


@given(SECONDS)
def test_estimate_is_not_below_a_recent_duration(seconds):
    """Guards against promising callers an end that recent requests did not meet."""
    window = durations.DurationWindow()
    for value in seconds:
        window.add(value)
    bound_s = window.bound_s(0.0)
    if len(seconds) < durations.MIN_SAMPLES:
        assert bound_s is None
    else:
        assert bound_s >= max(seconds[-durations.WINDOW :])
        for kept in (window.attempts, window.whole):
            assert len(kept.by_size) == len(kept.recent) == min(len(seconds), durations.WINDOW)


def test_estimate_of_steady_durations_adds_no_reserve():
    """Guards against refusing slow but steady requests that could finish."""
    window = durations.DurationWindow()
    for _ in range(durations.MIN_SAMPLES):
        window.add(3.0)
    assert window.bound_s(0.0) == 3.0


def test_requests_that_are_still_running_raise_the_estimate():
    """Guards against an estimate that does not notice that a service has turned slow."""

    async def main():
        estimator = durations.DurationEstimator()
        for _ in range(durations.MIN_SAMPLES):
            with estimator.measure(KIND):
                await anyio.sleep(0.1)
        with estimator.measure(KIND):
            await anyio.sleep(2.0)
            assert estimator.bound_s(KIND) >= 2.0

    virtual_time.run(main)


def test_attempt_that_was_given_up_counts_and_a_refusal_does_not():
    """Guards against an average of only those requests that were fast enough to finish."""

    async def main():
        estimator = durations.DurationEstimator()
        for _ in range(durations.MIN_SAMPLES):
            with anyio.move_on_after(1.5), estimator.measure(KIND):
                await anyio.sleep_forever()
        for _ in range(durations.WINDOW):
            with estimator.measure(KIND) as measurement:
                measurement.is_run = False
        assert estimator.bound_s(KIND) == pytest.approx(1.5)

    virtual_time.run(main)


def test_attempts_that_end_early_do_not_lower_the_estimate():
    """Guards against requests that begin too late in a stop, since failures seemed fast."""

    async def main():
        estimator = durations.DurationEstimator()
        for _ in range(2 * durations.WINDOW):
            with estimator.measure(KIND) as measurement:
                measurement.is_whole = False
                await anyio.sleep(0.01)
        assert estimator.bound_s(KIND) is None
        for _ in range(durations.MIN_SAMPLES):
            with estimator.measure(KIND):
                await anyio.sleep(3.0)
            with estimator.measure(KIND) as measurement:
                measurement.is_whole = False
                await anyio.sleep(0.01)
        assert estimator.bound_s(KIND) == pytest.approx(3.0)
        with estimator.measure(KIND) as measurement:
            measurement.is_whole = False
            await anyio.sleep(5.0)
        assert estimator.bound_s(KIND) >= 5.0

    virtual_time.run(main)


def test_hanging_server_beside_one_that_fails_at_once_does_not_raise_the_typical_duration():
    """Guards against longer and longer waits at a hanging server, one of three.

    The second of the three fails at once, the third responds after 20 ms.
    """

    async def main():
        estimator = durations.DurationEstimator()
        for _ in range(durations.WINDOW):
            with estimator.measure(KIND):
                await anyio.sleep(0.02)
            with estimator.measure(KIND) as measurement:
                measurement.is_whole = False
            with estimator.measure(KIND):
                await anyio.sleep(0.15)
        assert estimator.typical_s(KIND) == pytest.approx(0.02)

    virtual_time.run(main)


@pytest.mark.parametrize(
    ("deadline_at", "bound_s", "expected"),
    [
        (9.0, 5.0, True),
        (20.0, 5.0, True),
        (20.0, 6.0, False),
        (20.0, None, False),
        (10.0, None, True),
    ],
)
def test_requests_that_cannot_finish_before_a_stop(deadline_at, bound_s, expected):
    """Guards against requests that are cut at the end of a stop, or refused although they fit."""
    assert durations.can_finish(5.0, deadline_at, 10.0, bound_s) is expected
