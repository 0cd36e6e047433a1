"""The requests of customers that one node may admit, and those that it has admitted; no I/O."""

import collections
import math

from dogwoodgap.quotas import windows

MAX_RETURNED = 1_000
"""Requests that were admitted but not sent, of which the owner is told. Forgotten ones count."""

RETURN_MARGIN_S = 1.0
"""A request is returned only while its owner certainly counts it for this time."""


class Lease:
    """State of one customer on a node that admits its requests.

    Parameters
    ----------
    window_s : float
        Length of the sliding window in seconds.

    Attributes
    ----------
    left : int
        Granted requests that are not used yet.
    expires_at : float
        Monotonic time from which they may not be used.
    returned_at : deque of float
        Times at which requests were admitted that were never sent.
    """

    def __init__(self, window_s: float):
        self.left = 0
        self.expires_at = -math.inf
        self.admitted = windows.SlidingCount(window_s)
        self.autonomous = windows.SlidingCount(window_s)
        self.returned_at: collections.deque[float] = collections.deque(maxlen=MAX_RETURNED)
        self.last_used_at = -math.inf

    def add(self, requests: int, expires_at: float) -> None:
        """Add requests that were granted in advance; the earlier expiry applies to all of them."""
        if requests <= 0:
            return
        self.expires_at = min(self.expires_at, expires_at) if self.left else expires_at
        self.left += requests

    def take(self, now: float) -> bool:
        """Use a granted request, if one is left."""
        if now >= self.expires_at:
            self.left = 0
        if not self.left:
            return False
        self.left -= 1
        return True

    def record(self, now: float) -> None:
        """Count an admitted request."""
        self.admitted.add(1, now)
        self.last_used_at = now

    def recent(self, now: float) -> int:
        """Return the requests that were admitted within ``GRANT_VALID_S``."""
        self.admitted.total(now)
        latest = math.floor(now / windows.INTERVAL_S)
        intervals = math.ceil(windows.GRANT_VALID_S / windows.INTERVAL_S)
        return sum(self.admitted.counts.get(latest - age, 0) for age in range(intervals))

    def take_returned(self, now: float) -> int:
        """Return how many requests to give back to the owner, and forget them."""
        earliest = now - self.admitted.lifetime_s + RETURN_MARGIN_S
        returned = sum(at >= earliest for at in self.returned_at)
        self.returned_at.clear()
        return returned

    def admit_autonomously(self, quota: windows.Quota, nodes: int, now: float) -> bool:
        """Admit a request without an owner, up to an equal part of the margin for that."""
        if self.autonomous.total(now) >= quota.autonomous(nodes):
            return False
        self.autonomous.add(1, now)
        return True
