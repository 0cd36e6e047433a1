"""Counts and logs connections that were closed because of what their callers did not take."""

import collections
import logging
import math

from dogwoodgap import caller_memory, clock, events, exposition

LOG_INTERVAL_S = 5.0
"""Time between two log lines of the same reason; a crowd is closed by the thousand."""


class ClosedCallers:
    """Connections closed by this process, by reason."""

    def __init__(self) -> None:
        self.unlogged: collections.Counter[caller_memory.Reason] = collections.Counter()
        self.logged_at: dict[caller_memory.Reason, float] = {}

    def record(self, reason: caller_memory.Reason, held_bytes: int, address: str) -> None:
        """Count a closed connection; a line stands for those since the last one of its reason.

        Parameters
        ----------
        held_bytes : int
            Bytes that the connection held in this process.
        address : str
            Address of the listener.
        """
        exposition.closed_callers.labels(reason.value).inc()
        self.unlogged[reason] += 1
        now = clock.now()
        if now - self.logged_at.get(reason, -math.inf) < LOG_INTERVAL_S:
            return
        self.logged_at[reason] = now
        events.emit(
            events.Event.CALLERS_CLOSED,
            "connections were closed, since their callers take no responses or hold too much",
            level=logging.WARNING,
            reason=reason.value,
            connections=self.unlogged.pop(reason),
            address=address,
            held_bytes=held_bytes,
        )


closed = ClosedCallers()
"""Of this process, as its metrics are."""
