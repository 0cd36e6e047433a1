"""Bounds the memory of all request and response bodies that a process holds at a time.

Handles faulty servers and callers that send large bodies at the same time. Each body has a limit of
its own, but their sum grows with the number of requests. Above the limit the largest body that is
still being received is given up.
"""

import collections.abc
import contextlib

import anyio

MEMORY_SHARE = 16
"""Memory of a process per memory for bodies. A body is copied several times on its way, and both
sockets of a request buffer up to half a MB more."""


class BodyEvictedError(Exception):
    """A body was given up while it was received, since all bodies together became too large."""


class BodyHolding:
    """The bodies of one request that are held in memory.

    Attributes
    ----------
    size : int
        Bytes held.
    scope : anyio.CancelScope or None
        Ends the receiving of a body; None while none is received.
    """

    def __init__(self, memory: "BodyMemory"):
        self.memory = memory
        self.size = 0
        self.scope: anyio.CancelScope | None = None

    def add(self, size: int) -> None:
        """Count bytes that have been received; too many give up the largest body.

        Raises
        ------
        BodyEvictedError
            If that is the body of this holding.
        """
        self.size += size
        scope = self.scope
        self.memory.add(size)
        if scope is not None and self.scope is None:
            raise BodyEvictedError

    def remove(self, size: int) -> None:
        """Stop to count bytes, unless they have been given up already."""
        size = min(size, self.size)
        self.size -= size
        self.memory.total -= size

    def release(self) -> None:
        """Stop to count the bodies of this request."""
        self.remove(self.size)
        self.memory.holdings.discard(self)

    @contextlib.contextmanager
    def receiving(self) -> collections.abc.Iterator[None]:
        """Receive a body in this block.

        Raises
        ------
        BodyEvictedError
            If the body was given up.
        """
        with anyio.CancelScope() as scope:
            self.scope = scope
            try:
                yield
            finally:
                self.scope = None
        if scope.cancelled_caught:
            raise BodyEvictedError


class BodyMemory:
    """The bodies that a process holds.

    Parameters
    ----------
    limit_bytes : float
        Largest sum of their sizes.
    on_evict : callable
        Called with the size of a body that is given up and the sum of all, in bytes.
    """

    def __init__(
        self,
        limit_bytes: float,
        on_evict: collections.abc.Callable[[int, int], None] = lambda size, total: None,
    ):
        self.limit_bytes = limit_bytes
        self.on_evict = on_evict
        self.total = 0
        self.holdings: set[BodyHolding] = set()

    def hold(self) -> BodyHolding:
        """Return the holding of a new request."""
        holding = BodyHolding(self)
        self.holdings.add(holding)
        return holding

    def add(self, size: int) -> None:
        """Count received bytes, and give up bodies until the sum is within the limit."""
        self.total += size
        while self.total > self.limit_bytes:
            receiving = [holding for holding in self.holdings if holding.scope is not None]
            if not receiving:
                return
            self.evict(max(receiving, key=lambda holding: holding.size))

    def evict(self, holding: BodyHolding) -> None:
        """Give up the body that a holding receives."""
        self.on_evict(holding.size, self.total)
        holding.remove(holding.size)
        if holding.scope is not None:
            holding.scope.cancel()
            holding.scope = None
