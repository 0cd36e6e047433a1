"""Retry policy of forwarded requests; no I/O, and callers pass the time.

Handles backend servers that hang, fail or lose responses. Retries are limited to a fraction of all
requests, so a service whose servers all fail gets little more than the load of its callers.
"""

import math

from dogwoodgap import progress, routes

MAX_RETRIES = 2
"""Maximum number of retries of an idempotent or resumable request whose response was lost."""

RETRY_RATIO = 0.2
"""Long-term ratio of retries to requests of a service."""

MAX_SAVED_RETRIES = 20.0
"""Retries that an idle service accumulates: the requests that one crashing server loses."""

MIN_REMAINING_S = 0.03
"""Remaining time below which a request is not retried: plain requests take 20 to 30 ms."""

RESPONSE_TIMEOUT_FACTOR = 4.0
"""Multiple of a typical response time after which an idempotent request is retried."""

MIN_RESPONSE_TIMEOUT_S = 0.15
"""Processes and networks pause for this long; no response time is learnt below it."""

LEAST_RESPONSE_TIMEOUT_FACTOR = 1.5
"""Least multiple of a typical response time after which a request is retried, if time is short."""

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
    """Return whether to retry a request that may have run; a retry that is granted is counted.

    Parameters
    ----------
    remaining_s : float
        Time until the deadline of the request in seconds.
    """
    if (
        not state.route.retryable
        or state.retries >= MAX_RETRIES
        or remaining_s <= MIN_REMAINING_S
        or not budget.try_acquire()
    ):
        return False
    state.retries += 1
    return True


def response_timeout_s(
    state: progress.Progress, typical_s: float | None, remaining_s: float, *, is_reused: bool
) -> float:
    """Return how long to wait for the response head before a retry is worth it, in seconds.

    The wait is unlimited when no retry is left or could still finish, or when another server
    already failed to respond, since the request itself may be slow. A stream only times out on a
    reused connection: in a burst its first event is often late.

    Parameters
    ----------
    typical_s : float or None
        Typical duration of such requests, in seconds, if it is known.
    remaining_s : float
        Time until the deadline of the request, in seconds.
    """
    if not state.route.retryable or state.retries >= MAX_RETRIES or state.suspect_servers:
        return math.inf
    if state.route.kind is not routes.RouteKind.IDEMPOTENT:
        return STREAM_RESPONSE_TIMEOUT_S if is_reused else math.inf
    if typical_s is None:
        return max(MIN_RESPONSE_TIMEOUT_S, remaining_s / 2)
    fair_share_s = remaining_s / (1 + MAX_RETRIES - state.retries)
    timeout_s = max(
        MIN_RESPONSE_TIMEOUT_S,
        LEAST_RESPONSE_TIMEOUT_FACTOR * typical_s,
        min(RESPONSE_TIMEOUT_FACTOR * typical_s, fair_share_s),
    )
    return timeout_s if remaining_s - timeout_s >= typical_s else math.inf


def is_silent(waited_s: float, typical_s: float | None) -> bool:
    """Return whether a server that has not responded takes longer than its service usually does."""
    return typical_s is not None and waited_s > max(
        MIN_RESPONSE_TIMEOUT_S, LEAST_RESPONSE_TIMEOUT_FACTOR * typical_s
    )
