"""When a forwarded request is sent again; no network, no clock of its own.

Answers servers that hang, fail or lose answers. Repeats are bounded by a share of all requests, so
that a service whose servers all fail gets little more than its callers' own load.
"""

import math

from dogwoodgap import progress, routes, selection

MAX_REPEATS = 2
"""Times that a request which may run twice is sent again after its answer was lost."""

REPEAT_SHARE = 0.2
"""Repeats for each request of a service, in the long run."""

MOST_SAVED = 20.0
"""Repeats that a quiet service saves up: one server's requests when it crashes."""

MIN_LEFT_S = 0.03
"""A request with less time left is not repeated: plain requests take 20 to 30 ms."""

PATIENCE_FACTOR = 4.0
"""Multiple of a server's usual answer time after which an idempotent request is sent elsewhere."""

MIN_PATIENCE_S = 0.15
"""Five times the usual 20 to 30 ms of an idempotent request, so that a busy server is not left."""

MAX_PATIENCE_S = 0.4
"""A third of the shortest deadline, so that two repeats still end in time."""

STREAM_SILENCE_S = 1.2
"""Time without an event after which a kept connection counts as silent; callers abandon a stream
that is silent for 2 s."""


class RepeatBudget:
    """The repeats that the requests of one service may cause."""

    def __init__(self) -> None:
        self.saved = MOST_SAVED

    def note_request(self) -> None:
        """Count a request."""
        self.saved = min(MOST_SAVED, self.saved + REPEAT_SHARE)

    def take(self) -> bool:
        """Return whether a repeat may be made, and count it."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True


def may_repeat(state: progress.Progress, budget: RepeatBudget, left_s: float) -> bool:
    """Return whether a request that may have run is sent again, and count the repeat.

    Parameters
    ----------
    left_s : float
        Time until the request's limit in seconds.
    """
    state.repeats += 1
    return (
        state.route.repeatable
        and state.repeats <= MAX_REPEATS
        and left_s > MIN_LEFT_S
        and budget.take()
    )


def patience_s(
    state: progress.Progress, server: selection.ServerState, *, is_reused: bool
) -> float:
    """Return how long the head of an answer is awaited, in seconds.

    A request waits for what comes when no repeat is left or when another server was silent as well,
    since the request itself may take long. A stream is only taken for lost on a kept
    connection: a long wait for its first event is usual in a burst.
    """
    if not state.route.repeatable or state.repeats >= MAX_REPEATS or state.doubted:
        return math.inf
    if state.route.kind is routes.RouteKind.IDEMPOTENT:
        return min(MAX_PATIENCE_S, max(MIN_PATIENCE_S, PATIENCE_FACTOR * server.answer_s))
    return STREAM_SILENCE_S if is_reused else math.inf
