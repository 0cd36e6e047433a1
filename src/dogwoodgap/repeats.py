"""When a forwarded request is sent again; no network, no clock of its own.

Answers servers that hang, fail or lose answers. Repeats are bounded by a share of all requests, so
that a service whose servers all fail gets little more than its callers' own load.
"""

import math

from dogwoodgap import progress, routes, selection

MAX_RETRIES = 2
"""Times that a request which may run twice is sent again after its answer was lost."""

RETRY_RATIO = 0.2
"""Repeats for each request of a service, in the long run."""

MAX_SAVED_RETRIES = 20.0
"""Repeats that a quiet service saves up: one server's requests when it crashes."""

MIN_REMAINING_S = 0.03
"""A request with less time left is not repeated: plain requests take 20 to 30 ms."""

RESPONSE_TIMEOUT_FACTOR = 4.0
"""Multiple of a server's usual answer time after which an idempotent request is sent elsewhere."""

MIN_RESPONSE_TIMEOUT_S = 0.15
"""Five times the usual 20 to 30 ms of an idempotent request, so that a busy server is not left."""

MAX_RESPONSE_TIMEOUT_S = 0.4
"""A third of the shortest deadline, so that two repeats still end in time."""

STREAM_RESPONSE_TIMEOUT_S = 1.2
"""Time without an event after which a kept connection counts as silent; callers abandon a stream
that is silent for 2 s."""


class RetryBudget:
    """The repeats that the requests of one service may cause."""

    def __init__(self) -> None:
        self.available = MAX_SAVED_RETRIES

    def record_request(self) -> None:
        """Count a request."""
        self.available = min(MAX_SAVED_RETRIES, self.available + RETRY_RATIO)

    def try_acquire(self) -> bool:
        """Return whether a repeat may be made, and count it."""
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


def acquire_retry(state: progress.Progress, budget: RetryBudget, remaining_s: float) -> bool:
    """Return whether a request that may have run is sent again, and count the repeat.

    Parameters
    ----------
    remaining_s : float
        Time until the request's limit in seconds.
    """
    state.retries += 1
    return (
        state.route.retryable
        and state.retries <= MAX_RETRIES
        and remaining_s > MIN_REMAINING_S
        and budget.try_acquire()
    )


def response_timeout_s(
    state: progress.Progress, server: selection.ServerState, *, is_reused: bool
) -> float:
    """Return how long the head of an answer is awaited, in seconds.

    A request waits for what comes when no repeat is left or when another server was silent as well,
    since the request itself may take long. A stream is only taken for lost on a kept
    connection: a long wait for its first event is usual in a burst.
    """
    if not state.route.retryable or state.retries >= MAX_RETRIES or state.suspect_servers:
        return math.inf
    if state.route.kind is routes.RouteKind.IDEMPOTENT:
        return min(
            MAX_RESPONSE_TIMEOUT_S,
            max(MIN_RESPONSE_TIMEOUT_S, RESPONSE_TIMEOUT_FACTOR * server.response_time_s),
        )
    return STREAM_RESPONSE_TIMEOUT_S if is_reused else math.inf
