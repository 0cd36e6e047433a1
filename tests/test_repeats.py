"""Repeats of forwarded requests: bounded when all servers fail, patient with slow ones."""

import math

import pytest

from dogwoodgap import progress, repeats, routes, selection


def state(kind, **options):
    route = routes.Route("r", "h", "/", kind, (routes.Target("s"),), 1.0, 0.1, **options)
    return progress.Progress(route, "s", 10.0)


def test_repeats_stay_a_share_of_the_load_when_all_servers_fail():
    """Plays 2,000 requests at servers that fail them all; guards against a retry storm."""
    budget = repeats.RepeatBudget()
    sent = 0
    for _ in range(2_000):
        budget.note_request()
        request = state(routes.RouteKind.IDEMPOTENT)
        sent += 1
        while repeats.may_repeat(request, budget, 1.0):
            sent += 1
    assert sent <= 2_000 * (1 + repeats.REPEAT_SHARE) + repeats.MOST_SAVED


def test_quiet_service_repeats_every_request_of_a_crashed_server():
    """Guards against a budget that refuses the repeats for which it is there."""
    budget = repeats.RepeatBudget()
    for _ in range(int(repeats.MOST_SAVED)):
        budget.note_request()
        assert repeats.may_repeat(state(routes.RouteKind.IDEMPOTENT), budget, 1.0)


def test_request_that_may_not_run_twice_is_not_repeated():
    """Guards against a booking that is made twice."""
    request = state(routes.RouteKind.NON_IDEMPOTENT)
    assert not repeats.may_repeat(request, repeats.RepeatBudget(), 1.0)


@pytest.mark.parametrize(
    ("answer_s", "expected"),
    [(0.02, repeats.MIN_PATIENCE_S), (0.08, 0.32), (0.5, repeats.MAX_PATIENCE_S)],
)
def test_patience_follows_the_usual_answer_time(answer_s, expected):
    """Guards against leaving a server that is only slow."""
    server = selection.ServerState(answer_s=answer_s)
    request = state(routes.RouteKind.IDEMPOTENT)
    assert repeats.patience_s(request, server, is_reused=False) == pytest.approx(expected)
    request.doubted.append("s1")
    assert repeats.patience_s(request, server, is_reused=False) == math.inf


def test_stream_is_only_left_on_a_kept_connection():
    """Guards against turns that are read in again because a burst delays their first event."""
    request = state(routes.RouteKind.STREAMING, resumable=True)
    server = selection.ServerState()
    assert repeats.patience_s(request, server, is_reused=False) == math.inf
    assert repeats.patience_s(request, server, is_reused=True) == repeats.STREAM_SILENCE_S
