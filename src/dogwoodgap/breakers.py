"""Overload protection per runner: circuit breaker, adaptive concurrency and retry budget."""

import dataclasses
import enum

from dogwoodgap import clock, structures

FAILURES_TO_OPEN = 3
"""Consecutive failures that open a breaker; a single lost reply must not."""

INITIAL_OPEN_S = 1.0
MAX_OPEN_S = 30.0
PROBE_TIMEOUT_S = 30.0
"""A probe without a result after this time is abandoned, so that the breaker cannot get stuck."""

LATENCY_TOLERANCE = 2.0
"""Latency above this multiple of the recent minimum is treated as queueing."""

DECREASE_FACTOR = 0.8
BASELINE_WINDOW_S = 30.0
"""Each window starts at half the limit, so that its minimum latency is measured without queueing.
A baseline that increased by 1% per sample grew with the queue and never limited it."""

RETRY_SHARE = 0.1
RETRY_BURST = 10.0


class BreakerState(enum.StrEnum):
    """States of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class CircuitBreaker:
    """Circuit breaker of one runner; in half-open state it admits one probe at a time.

    The open time doubles with each failed probe, up to ``MAX_OPEN_S``.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.open_s = INITIAL_OPEN_S
        self.open_until = 0.0
        self.probe_until = 0.0
        self.opened = False

    @property
    def state(self) -> BreakerState:
        """Return the current state."""
        if not self.opened:
            return BreakerState.CLOSED
        return BreakerState.OPEN if clock.now() < self.open_until else BreakerState.HALF_OPEN

    def available(self) -> bool:
        """Return whether a request may be sent, without admitting it."""
        state = self.state
        if state is BreakerState.HALF_OPEN:
            return clock.now() >= self.probe_until
        return state is BreakerState.CLOSED

    def admit(self) -> bool:
        """Admit a request if available; in half-open state it becomes the probe."""
        if not self.available():
            return False
        if self.opened:
            self.probe_until = clock.now() + PROBE_TIMEOUT_S
        return True

    def record_success(self) -> None:
        """Close the breaker after a success."""
        self.failures = 0
        self.opened = False
        self.open_s = INITIAL_OPEN_S
        self.probe_until = 0.0

    def record_failure(self) -> None:
        """Count a failure; after a failed probe the breaker opens for twice as long."""
        self.failures += 1
        if self.opened:
            if self.state is BreakerState.OPEN:
                return
            self.open_s = min(MAX_OPEN_S, self.open_s * 2.0)
            self.open()
        elif self.failures >= FAILURES_TO_OPEN:
            self.open()

    def open(self) -> None:
        """Refuse requests for the current open time, for example after a confirmed crash."""
        self.opened = True
        self.open_until = clock.now() + self.open_s
        self.probe_until = 0.0

    def abandon_probe(self) -> None:
        """Allow another probe after one that ended without a result, such as by cancellation."""
        self.probe_until = 0.0


class AdaptiveConcurrency:
    """Limit on this node's requests to one runner, adjusted by latency (AIMD).

    Parameters
    ----------
    initial : float
        Initial limit.
    maximum : float
        Upper bound of the limit.
    """

    def __init__(self, initial: float, maximum: float):
        self.limit = min(initial, maximum)
        self.maximum = maximum
        self.min_latency_s = 0.0
        self.window_min_latency_s = 0.0
        self.window_ends_at = 0.0
        self.decreased_at = -1.0

    def allows(self, in_flight: int) -> bool:
        """Return whether one more request fits."""
        return in_flight < int(self.limit)

    def record_finish(self, latency_s: float, in_flight: int, *, refused: bool = False) -> None:
        """Adjust the limit after a request.

        Parameters
        ----------
        latency_s : float
            Time to the first token or to the answer, in seconds.
        in_flight : int
            Requests in flight when it finished, including itself. The limit only grows while at
            least half of it is in use.
        refused : bool
            Whether the runner was overloaded or timed out.
        """
        if not refused:
            self.update_baseline(latency_s)
        if refused or latency_s > LATENCY_TOLERANCE * self.min_latency_s:
            self.decrease(latency_s)
        elif in_flight >= int(self.limit) // 2:
            self.limit = min(self.maximum, self.limit + 1.0 / self.limit)

    def update_baseline(self, latency_s: float) -> None:
        """Update the minimum latency over the current and the previous window."""
        now = clock.now()
        if now >= self.window_ends_at:
            self.start_window(now)
        min_s = self.window_min_latency_s
        self.window_min_latency_s = min(min_s, latency_s) if min_s else latency_s
        self.min_latency_s = min(self.min_latency_s, latency_s) if self.min_latency_s else latency_s

    def start_window(self, now: float) -> None:
        """Start a window and halve the limit to measure latency without queueing."""
        if self.window_min_latency_s:
            self.limit = max(1.0, self.limit / 2.0)
        self.min_latency_s = self.window_min_latency_s
        self.window_min_latency_s = 0.0
        self.window_ends_at = now + BASELINE_WINDOW_S

    def decrease(self, latency_s: float) -> None:
        """Decrease the limit, at most once per latency so that a burst counts only once."""
        now = clock.now()
        if now - self.decreased_at >= latency_s:
            self.limit = max(1.0, self.limit * DECREASE_FACTOR)
            self.decreased_at = now


class RetryBudget:
    """Token bucket filled by first attempts, which limits retries to a share of traffic."""

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST):
        self.share = share
        self.burst = burst
        self.tokens = burst

    def record_first_attempt(self) -> None:
        """Add a fraction of a retry."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def take(self) -> bool:
        """Take a token for a retry; return False if none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclasses.dataclass(slots=True)
class RunnerGuard:
    """Circuit breaker and concurrency limit of one runner."""

    breaker: CircuitBreaker
    concurrency: AdaptiveConcurrency


class RunnerGuards:
    """A node's guards by runner and retry budgets by service."""

    def __init__(self) -> None:
        self.guards: dict[str, RunnerGuard] = {}
        self.budgets: dict[str, RetryBudget] = {}

    def guard(self, view: structures.RunnerView) -> RunnerGuard:
        """Return the guard of a runner, created on first use."""
        key = structures.runner_key(view)
        if key not in self.guards:
            # Continuous batching needs queued requests, so the maximum is twice the slots.
            concurrency = AdaptiveConcurrency(float(view.slots), 2.0 * view.slots)
            self.guards[key] = RunnerGuard(CircuitBreaker(), concurrency)
        return self.guards[key]

    def budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service, created on first use."""
        return self.budgets.setdefault(service, RetryBudget())

    def available(self, view: structures.RunnerView) -> bool:
        """Return whether a runner may get one more request."""
        guard = self.guard(view)
        return guard.breaker.available() and guard.concurrency.allows(view.in_flight)

    def forget(self, keys: set[str]) -> None:
        """Remove the guards of runners that left the configuration."""
        for key in keys:
            self.guards.pop(key, None)
