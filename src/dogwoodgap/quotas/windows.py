"""Counts the requests of a customer and decides how many more may be granted; no I/O.

Callers pass the monotonic time. The bound on what all nodes may admit in a window is the quota plus
a margin (overage and slack). The margin is divided between requests of programs under way, grants
that may be forgotten when their owner is lost, and requests that a node admits without an owner.
"""

import collections
import dataclasses
import math

INTERVAL_S = 0.25
"""Resolution of the counts. An interval counts until all of it has left the window."""

REPLY_VALID_S = 0.2
"""Time after which a granted request is no longer admitted, from when it was asked for. The owner
counts it for the window plus this time, so that a slow reply exceeds no window. With 0.1 s,
gateways with an eighth of a core took each other for lost and refused half of the requests."""

GRANT_VALID_S = 0.5
"""The same for requests that are granted beyond those that were asked for."""

REQUEST_SHARE = 1 / 2
"""Part of the margin that requests of programs under way may use. A program may need more requests
than the whole quota of a small customer, and is admitted when its first request fits."""

UNREPLICATED_SHARE = 1 / 6
"""Part of the margin that an owner may grant before another node knows of it. A new owner that the
one before does not reply to counts this part as used."""

AUTONOMOUS_SHARE = 1 / 6
"""Part of the margin that all nodes together may admit without an owner."""

PREFETCH_SHARE = 0.02
"""Part of what is left that one grant may contain beyond what was asked for."""

PREFETCH_MIN_LEFT = 0.5
"""Part of the quota that must be left for such grants, as those that lapse count as used."""

EXPECTED_TTL_S = 2.0
"""Time after which requests are forgotten that programs under way were expected to need but did not
send. Programs end within 1 to 2 s."""

PRIOR_PROGRAMS = 2.0
PRIOR_REQUESTS = 10.0
"""Assumed requests of a program, with the weight of ``PRIOR_PROGRAMS`` programs. Too small a value
lets programs of a small customer start that are refused midway; a large one delays some starts."""

EPOCH_S = 1.0
"""Programs count once the epoch after the one of their start is over, as they have then sent most
of their requests. Counted at once, a wave of starts would look like short programs."""

EPOCH_DECAY = 0.9
PROGRAM_DECAY = 0.95
"""Weight of earlier programs in the average, for each epoch or each new program; the larger one."""

MAX_RETRY_WINDOWS = 4.0
"""Longest time after which a refused start is told to retry, in windows."""


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """Rules of the deployment for all quotas.

    Attributes
    ----------
    window_s : float
        Length of the sliding window in seconds.
    overage : float
        Part of a quota by which all nodes together may exceed it.
    slack : float
        Requests in a window by which they may exceed it besides.
    """

    window_s: float = 5.0
    overage: float = 0.0
    slack: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Quota:
    """The quota of one customer: requests per second, and requests on top of them."""

    rate_per_s: float
    burst: float
    terms: Terms

    @property
    def limit(self) -> float:
        """Return the requests that the customer may send in a window."""
        return self.rate_per_s * self.terms.window_s + self.burst

    @property
    def margin(self) -> float:
        """Return the requests by which a window may exceed the limit."""
        return self.limit * self.terms.overage + self.terms.slack

    @property
    def request_cap(self) -> float:
        """Return the requests in a window up to which programs under way are served."""
        return self.limit + self.margin * REQUEST_SHARE

    @property
    def start_cap(self) -> float:
        """Return the counted requests up to which programs may start.

        Counts cover a little more than a window, on average; without the compensation, starts
        would be refused below the limit.
        """
        counted_s = self.terms.window_s + REPLY_VALID_S + INTERVAL_S / 2
        compensated = self.limit * counted_s / self.terms.window_s
        return min(compensated, (self.limit + self.request_cap) / 2)

    @property
    def unreplicated(self) -> int:
        """Return the requests that an owner may grant before another node knows of them."""
        return int(self.margin * UNREPLICATED_SHARE)

    def autonomous(self, nodes: int) -> int:
        """Return the requests in a window that one of several nodes may admit without an owner."""
        return int(self.margin * AUTONOMOUS_SHARE / max(1, nodes))


class SlidingCount:
    """Number of requests in a sliding window, in intervals of ``INTERVAL_S``.

    Parameters
    ----------
    lifetime_s : float
        Time for which a request counts, in seconds; up to one interval longer.
    """

    def __init__(self, lifetime_s: float):
        self.lifetime_s = lifetime_s
        self.counts: dict[int, int] = {}
        self.sum = 0
        self.expires_at = math.inf

    def add(self, requests: int, at: float) -> None:
        """Count requests at a time, which may lie ahead."""
        if requests:
            index = math.floor(at / INTERVAL_S)
            self.counts[index] = self.counts.get(index, 0) + requests
            self.sum += requests
            self.expires_at = min(self.expires_at, self.expiry(index))

    def expiry(self, index: int) -> float:
        """Return the time from which an interval no longer counts."""
        return (index + 1) * INTERVAL_S + self.lifetime_s

    def remove(self, requests: int, now: float) -> None:
        """Stop to count requests that count now, the oldest first.

        It is not known in which interval each was counted. Taking the oldest never makes the count
        smaller than the requests that remain.
        """
        self.total(now)
        for index in sorted(self.counts):
            removed = min(requests, self.counts[index])
            requests -= removed
            self.sum -= removed
            self.counts[index] -= removed
            if not self.counts[index]:
                del self.counts[index]

    def total(self, now: float) -> int:
        """Return the number of requests that count now."""
        if now >= self.expires_at:
            self.counts = {
                index: count for index, count in self.counts.items() if self.expiry(index) > now
            }
            self.sum = sum(self.counts.values())
            self.expires_at = min(map(self.expiry, self.counts), default=math.inf)
        return self.sum

    def time_until_free(self, requests: float, now: float) -> float:
        """Return the seconds until at least this number of requests no longer counts."""
        freed = 0
        for index in sorted(self.counts):
            if freed >= requests:
                break
            freed += self.counts[index]
            if freed >= requests:
                return max(0.0, self.expiry(index) - now)
        return 0.0 if requests <= 0 else self.lifetime_s + INTERVAL_S

    def intervals(self, now: float, ahead_s: float = 0.0) -> list[int]:
        """Return the counts of each interval, the one ``ahead_s`` from now first."""
        self.total(now)
        latest = math.floor((now + ahead_s) / INTERVAL_S)
        if not self.counts:
            return []
        oldest = min(self.counts)
        return [self.counts.get(index, 0) for index in range(latest, oldest - 1, -1)]

    def load(self, intervals: list[int], now: float, ahead_s: float = 0.0) -> None:
        """Add the counts that another node has returned with :meth:`intervals`.

        Transmission takes time, so that they count a little longer here.
        """
        for age, requests in enumerate(intervals):
            self.add(max(0, requests), now + ahead_s - age * INTERVAL_S)

    def clear(self) -> None:
        """Forget all requests."""
        self.counts.clear()
        self.sum = 0
        self.expires_at = math.inf


class ProgramDemand:
    """Learns how many requests a customer's programs need, and what those under way still need."""

    def __init__(self) -> None:
        self.programs = PRIOR_PROGRAMS
        self.requests = PRIOR_PROGRAMS * (PRIOR_REQUESTS - 1.0)
        self.epoch = 0
        self.new_starts = 0
        self.new_requests = 0
        self.unsettled_starts = 0
        self.expected: collections.deque[list[float]] = collections.deque()

    @property
    def requests_per_program(self) -> float:
        """Return the learnt number of requests of a program."""
        return 1.0 + self.requests / self.programs

    def outstanding(self, now: float) -> float:
        """Return the requests that programs under way are expected to send still."""
        while self.expected and self.expected[0][0] + EXPECTED_TTL_S <= now:
            self.expected.popleft()
        return sum(requests for _, requests in self.expected)

    def settle(self, now: float) -> None:
        """Add the programs and requests of ended epochs to the average."""
        epoch = math.floor(now / EPOCH_S)
        if epoch == self.epoch:
            return
        settled = self.unsettled_starts
        self.unsettled_starts = self.new_starts
        if epoch > self.epoch + 1:
            settled += self.unsettled_starts
            self.unsettled_starts = 0
        if settled:
            decay = max(EPOCH_DECAY, PROGRAM_DECAY**settled)
            self.programs = self.programs * decay + settled
            self.requests = self.requests * decay + self.new_requests
            self.new_requests = 0
        self.new_starts = 0
        self.epoch = epoch

    def record_start(self, now: float) -> None:
        """Record that a program was admitted."""
        self.settle(now)
        self.new_starts += 1
        batch_at = math.floor(now / INTERVAL_S) * INTERVAL_S
        if not self.expected or self.expected[-1][0] != batch_at:
            self.expected.append([batch_at, 0.0])
        self.expected[-1][1] += self.requests_per_program - 1.0

    def record_request(self, now: float) -> None:
        """Record a later request of a program under way."""
        self.settle(now)
        self.new_requests += 1
        needed = 1.0
        while self.expected and needed > 0.0:
            used = min(needed, self.expected[0][1])
            needed -= used
            self.expected[0][1] -= used
            if self.expected[0][1] <= 0.0:
                self.expected.popleft()


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What an owner grants.

    Attributes
    ----------
    granted : int
        Requests that may be sent, including ``prefetched``.
    prefetched : int
        Requests beyond those that were asked for.
    retry_after_s : float
        Time in seconds after which a refused request is likely to be granted; 0 if none is refused.
    """

    granted: int
    prefetched: int = 0
    retry_after_s: float = 0.0


class QuotaWindow:
    """The requests of one customer that its owner has granted."""

    def __init__(self, window_s: float):
        self.granted = SlidingCount(window_s + REPLY_VALID_S)
        self.demand = ProgramDemand()
        self.next_start_at = -math.inf

    def decide(
        self,
        quota: Quota,
        requests: int,
        starts: int,
        now: float,
        *,
        share: float = 1.0,
        recent: int = 0,
        in_program: bool = True,
    ) -> Decision:
        """Decide on requests, and count those that are granted.

        Parameters
        ----------
        requests, starts : int
            Requests that are asked for, and those among them that start a program.
        share : float
            Part of the quota that may be granted, above 0 up to 1.
        recent : int
            Requests that the asking node has admitted lately within ``GRANT_VALID_S``.
        in_program : bool
            Whether the requests belong to programs.
        """
        used = self.granted.total(now)
        later = min(requests - starts, max(0, int(quota.request_cap * share) - used))
        outstanding = self.demand.outstanding(now)
        # A program also starts only if the rest of it fits under the cap, or if it is alone.
        whole_cap = quota.request_cap * share - (self.demand.requests_per_program - 1.0)
        start_cap = min(quota.start_cap * share, max(whole_cap, 1.0))
        start_room = start_cap - used - later - outstanding
        started = min(starts, max(0, math.floor(start_room)))
        for _ in range(later if in_program else 0):
            self.demand.record_request(now)
        for _ in range(started):
            self.demand.record_start(now)
        granted = later + started
        self.granted.add(granted, now)
        if granted == requests:
            prefetched = self.prefetch(quota, share, recent, now, in_program=in_program)
            return Decision(granted + prefetched, prefetched)
        if later < requests - starts:
            excess = used + requests - starts - int(quota.request_cap * share)
            retry_after_s = self.granted.time_until_free(excess, now)
        else:
            retry_after_s = self.start_delay_s(quota, share, 1.0 - start_room, now)
        return Decision(granted, 0, max(retry_after_s, INTERVAL_S))

    def prefetch(
        self, quota: Quota, share: float, recent: int, now: float, *, in_program: bool
    ) -> int:
        """Grant requests in advance to a node that sends many, while much of the quota is left."""
        left = quota.limit * share - self.granted.total(now) - self.demand.outstanding(now)
        if left < quota.limit * PREFETCH_MIN_LEFT:
            return 0
        prefetched = min(recent, int(left * PREFETCH_SHARE))
        self.granted.add(prefetched, now + GRANT_VALID_S - REPLY_VALID_S)
        for _ in range(prefetched if in_program else 0):
            self.demand.record_request(now)
        return prefetched

    def start_delay_s(self, quota: Quota, share: float, missing: float, now: float) -> float:
        """Return when a refused start may be tried again; each one gets a later time.

        Programs can start at the rate at which the quota pays for whole ones.
        """
        spacing_s = quota.terms.window_s * self.demand.requests_per_program
        spacing_s /= max(quota.limit * share, 1.0)
        # What programs under way still need is first used and then leaves the window.
        free_s = self.granted.time_until_free(missing, now)
        earliest_at = now + min(free_s, self.granted.lifetime_s + INTERVAL_S)
        latest_at = now + MAX_RETRY_WINDOWS * quota.terms.window_s
        self.next_start_at = min(max(self.next_start_at + spacing_s, earliest_at), latest_at)
        return self.next_start_at - now
