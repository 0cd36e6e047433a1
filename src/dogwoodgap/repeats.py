"""Retry policy of forwarded requests; no I/O, and callers pass the time.

Handles backend servers that hang, fail or lose responses. Retries are limited to a fraction of all
requests, so a service whose servers all fail gets little more than the load of its callers.
"""

import math

from dogwoodgap import progress, routes, selection

MAX_RETRIES = 2
"""Maximum number of retries of an idempotent or resumable request whose response was lost."""

RETRY_RATIO = 0.2
"""Long-term ratio of retries to requests of a service."""

MAX_SAVED_RETRIES = 20.0
"""Retries that an idle service accumulates: the requests that one crashing server loses."""

MIN_REMAINING_S = 0.03
"""Remaining time below which a request is not retried: plain requests take 20 to 30 ms."""

RESPONSE_TIMEOUT_FACTOR = 4.0
"""Multiple of a server's average response time after which an idempotent request is retried."""

MIN_RESPONSE_TIMEOUT_S = 0.15
"""Five times the usual 20 to 30 ms of an idempotent request, so a busy server does not time out."""

MAX_RESPONSE_TIMEOUT_S = 0.4
"""A third of the shortest deadline, so two retries still fit."""

STREAM_RESPONSE_TIMEOUT_S = 1.2
"""Wait for the first event of a stream on a reused connection. Callers abandon a stream that is
silent for 2 s."""


class RetryBudget:
    """Limits the retries of one service; each request adds a fraction of a retry."""

    def __init__(self) -> None:
        self.available = MAX_SAVED_RETRIES

    def record_request(self) -> None:
        """Add the share of retries that a request allows."""
        self.available = min(MAX_SAVED_RETRIES, self.available + RETRY_RATIO)

    def try_acquire(self) -> bool:
        """Take one retry; return False if none is available."""
        if self.available < 1.0:
            return False
        self.available -= 1.0
        return True


def acquire_retry(state: progress.Progress, budget: RetryBudget, remaining_s: float) -> bool:
    """Return whether to retry a request that may have run, and count the retry.

    Parameters
    ----------
    remaining_s : float
        Time until the deadline of the request in seconds.
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
    """Return how long to wait for the response head, in seconds.

    The wait is unlimited when no retry is left, or when another server already failed to respond,
    since the request itself may be slow. A stream only times out on a reused connection: in a burst
    its first event is often late.
    """
    if not state.route.retryable or state.retries >= MAX_RETRIES or state.suspect_servers:
        return math.inf
    if state.route.kind is routes.RouteKind.IDEMPOTENT:
        return min(
            MAX_RESPONSE_TIMEOUT_S,
            max(MIN_RESPONSE_TIMEOUT_S, RESPONSE_TIMEOUT_FACTOR * server.response_time_s),
        )
    return STREAM_RESPONSE_TIMEOUT_S if is_reused else math.inf
