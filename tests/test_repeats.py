"""Retry policy: limited when all servers fail, with timeouts that fit slow servers."""

import math

import pytest

from dogwoodgap import progress, repeats, routes


def new_progress(kind, **options):
    route = routes.Route("r", "h", "/", kind, (routes.Target("s"),), 1.0, 0.1, **options)
    return progress.Progress(route, "s", 10.0)


def test_retries_stay_a_fraction_of_the_load_when_all_servers_fail():
    """Guards against a retry storm when all servers fail 2,000 requests."""
    budget = repeats.RetryBudget()
    sent = 0
    for _ in range(2_000):
        budget.record_request()
        request = new_progress(routes.RouteKind.IDEMPOTENT)
        sent += 1
        while repeats.acquire_retry(request, budget, 1.0):
            sent += 1
    assert sent <= 2_000 * (1 + repeats.RETRY_RATIO) + repeats.MAX_SAVED_RETRIES


def test_idle_service_retries_every_request_of_a_crashed_server():
    """Guards against a retry budget too small for the crash of one server."""
    budget = repeats.RetryBudget()
    for _ in range(int(repeats.MAX_SAVED_RETRIES)):
        budget.record_request()
        assert repeats.acquire_retry(new_progress(routes.RouteKind.IDEMPOTENT), budget, 1.0)


def test_non_idempotent_request_is_not_retried():
    """Guards against running a request with side effects, such as a booking, twice."""
    request = new_progress(routes.RouteKind.NON_IDEMPOTENT)
    assert not repeats.acquire_retry(request, repeats.RetryBudget(), 1.0)


@pytest.mark.parametrize(
    ("typical_s", "remaining_s", "expected"),
    [
        (None, 1.2, 0.6),
        (None, 0.2, repeats.MIN_RESPONSE_TIMEOUT_S),
        (0.02, 1.2, repeats.MIN_RESPONSE_TIMEOUT_S),
        (0.08, 1.2, 0.32),
        (0.2, 1.2, 0.4),
        (0.5, 1.5, 0.75),
        (0.5, 1.2, math.inf),
        (5.0, 15.0, 7.5),
        (0.02, 0.16, math.inf),
    ],
)
def test_timeout_follows_typical_durations_and_leaves_time_for_a_retry(
    typical_s, remaining_s, expected
):
    """Guards against giving up on a server that is only as slow as its service."""
    request = new_progress(routes.RouteKind.IDEMPOTENT)
    timeout_s = repeats.response_timeout_s(request, typical_s, remaining_s, is_reused=False)
    assert timeout_s == pytest.approx(expected)
    request.suspect_servers.append("s1")
    timeout_s = repeats.response_timeout_s(request, typical_s, remaining_s, is_reused=False)
    assert timeout_s == math.inf


def test_refused_retry_is_not_counted():
    """Guards against a request that asks for a retry while it waits, and so loses it."""
    budget = repeats.RetryBudget()
    budget.available = 0.5
    request = new_progress(routes.RouteKind.IDEMPOTENT)
    assert not repeats.acquire_retry(request, budget, 1.0)
    budget.available = 2.0
    assert [repeats.acquire_retry(request, budget, 1.0) for _ in range(3)] == [True, True, False]


def test_stream_only_times_out_on_a_reused_connection():
    """Guards against a second prefill of a prompt whose first event is late in a burst."""
    request = new_progress(routes.RouteKind.STREAMING, resumable=True)
    assert repeats.response_timeout_s(request, 0.1, 4.0, is_reused=False) == math.inf
    timeout_s = repeats.response_timeout_s(request, 0.1, 4.0, is_reused=True)
    assert timeout_s == repeats.STREAM_RESPONSE_TIMEOUT_S
