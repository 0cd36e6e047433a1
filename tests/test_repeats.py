"""Repeats of forwarded requests: bounded when all servers fail, patient with slow ones."""

import math

import pytest

from dogwoodgap import progress, repeats, routes, selection


def state(kind, **options):
    route = routes.Route("r", "h", "/", kind, (routes.Target("s"),), 1.0, 0.1, **options)
    return progress.Progress(route, "s", 10.0)


def test_repeats_stay_a_share_of_the_load_when_all_servers_fail():
    """Plays 2,000 requests at servers that fail them all; guards against a retry storm."""
    budget = repeats.RetryBudget()
    sent = 0
    for _ in range(2_000):
        budget.record_request()
        request = state(routes.RouteKind.IDEMPOTENT)
        sent += 1
        while repeats.acquire_retry(request, budget, 1.0):
            sent += 1
    assert sent <= 2_000 * (1 + repeats.RETRY_RATIO) + repeats.MAX_SAVED_RETRIES


def test_quiet_service_repeats_every_request_of_a_crashed_server():
    """Guards against a budget that refuses the repeats for which it is there."""
    budget = repeats.RetryBudget()
    for _ in range(int(repeats.MAX_SAVED_RETRIES)):
        budget.record_request()
        assert repeats.acquire_retry(state(routes.RouteKind.IDEMPOTENT), budget, 1.0)


def test_request_that_may_not_run_twice_is_not_repeated():
    """Guards against a booking that is made twice."""
    request = state(routes.RouteKind.NON_IDEMPOTENT)
    assert not repeats.acquire_retry(request, repeats.RetryBudget(), 1.0)


@pytest.mark.parametrize(
    ("response_time_s", "expected"),
    [(0.02, repeats.MIN_RESPONSE_TIMEOUT_S), (0.08, 0.32), (0.5, repeats.MAX_RESPONSE_TIMEOUT_S)],
)
def test_patience_follows_the_usual_answer_time(response_time_s, expected):
    """Guards against leaving a server that is only slow."""
    server = selection.ServerState(response_time_s=response_time_s)
    request = state(routes.RouteKind.IDEMPOTENT)
    assert repeats.response_timeout_s(request, server, is_reused=False) == pytest.approx(expected)
    request.suspect_servers.append("s1")
    assert repeats.response_timeout_s(request, server, is_reused=False) == math.inf


def test_stream_is_only_left_on_a_kept_connection():
    """Guards against turns that are read in again because a burst delays their first event."""
    request = state(routes.RouteKind.STREAMING, resumable=True)
    server = selection.ServerState()
    assert repeats.response_timeout_s(request, server, is_reused=False) == math.inf
    assert (
        repeats.response_timeout_s(request, server, is_reused=True)
        == repeats.STREAM_RESPONSE_TIMEOUT_S
    )
