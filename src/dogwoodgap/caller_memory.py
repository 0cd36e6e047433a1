"""Decides which connections are closed when they hold too much, or when a new one needs room.

Handles crowds of callers that send requests ahead and take no responses. What one connection may
hold is bounded, but the sum grows with their number; and while connections never become idle, no
new one is accepted. Connections that hold most are closed first, ordinary ones last.
"""

import collections.abc
import enum
import math
import typing


class Reason(enum.StrEnum):
    """Why a connection was closed."""

    UNREAD = "unread"
    """Its caller took nothing of a response for the timeout."""

    MEMORY = "memory"
    """All connections together held too much, and this one held most."""

    ROOM = "room"
    """Another caller waited for a connection."""


STALLED_AFTER_S = 1.0
"""Time without progress after which a caller counts as one that does not take its response. The
progress of a caller that reads is seen every half second."""


class Holder(typing.Protocol):
    """A connection.

    Attributes
    ----------
    unsent_bytes : int
        Bytes of a response that wait in this process for the caller.
    unsent_since : float
        Monotonic time at which the caller has last taken something while they waited.
    ahead_bytes : int
        Bytes of further requests that have been read.
    queued : bool
        Whether a request that was sent ahead waits for its turn.
    """

    unsent_bytes: int
    unsent_since: float
    ahead_bytes: int
    queued: bool

    def abort(self, reason: Reason) -> None:
        """Close the connection at once."""


def held_bytes(holder: Holder) -> int:
    """Return how many bytes a connection holds in this process."""
    return holder.unsent_bytes + holder.ahead_bytes


def is_suspect(holder: Holder, now: float) -> bool:
    """Return whether the caller takes no response, or has requests that wait for their turn."""
    is_stalled = holder.unsent_bytes > 0 and now - holder.unsent_since >= STALLED_AFTER_S
    return is_stalled or holder.queued


def choose_for_room(holders: collections.abc.Iterable[Holder], now: float) -> Holder | None:
    """Return the connection to close for a new one, or None if all behave as ordinary callers do.

    Of the suspect ones, the one that holds most is chosen.
    """
    suspects = [holder for holder in holders if is_suspect(holder, now)]
    return max(suspects, key=held_bytes, default=None)


class CallerMemory:
    """What the connections of all listeners hold.

    Parameters
    ----------
    limit_bytes : float
        Largest sum.
    """

    def __init__(self, limit_bytes: float):
        self.limit_bytes = limit_bytes
        self.total = 0
        self.held: dict[Holder, int] = {}

    def update(self, holder: Holder, now: float) -> None:
        """Count what a connection holds at a monotonic time, and close some while it is too much.

        Suspect connections are closed first, and of these the one that holds most.
        """
        self.forget(holder)
        if size := held_bytes(holder):
            self.held[holder] = size
            self.total += size
        while self.total > self.limit_bytes:
            largest = max(self.held, key=lambda one: (is_suspect(one, now), self.held[one]))
            self.forget(largest)
            largest.abort(Reason.MEMORY)

    def forget(self, holder: Holder) -> None:
        """Count a connection no longer."""
        self.total -= self.held.pop(holder, 0)


class StallDetector:
    """Tells when a peer takes nothing of what waits for it.

    Parameters
    ----------
    timeout_s : float
        Time after which it is given up.

    Attributes
    ----------
    since : float
        Monotonic time at which it has last taken something.
    """

    def __init__(self, timeout_s: float):
        self.timeout_s = timeout_s
        self.last_bytes = 0
        self.since = -math.inf

    def is_stalled(self, now: float, waiting_bytes: int) -> bool:
        """Take in how many bytes wait at a monotonic time; return whether the peer is given up."""
        if not self.last_bytes or waiting_bytes < self.last_bytes:
            self.since = now
        self.last_bytes = waiting_bytes
        return bool(waiting_bytes) and now - self.since >= self.timeout_s
