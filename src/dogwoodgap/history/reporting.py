"""Log lines on retained turns whose number does not grow with the load."""

import logging
import math
import typing

from dogwoodgap import clock, events

LOG_INTERVAL_S = 1.0
"""Interval between two lines of one event; a failed storage VM affects each turn."""


class LimitedLog:
    """Emits each event at most once per interval, with the number of lines that were skipped."""

    def __init__(self) -> None:
        self.emitted_at: dict[events.Event, float] = {}
        self.skipped: dict[events.Event, int] = {}

    def emit(self, event: events.Event, message: str, **fields: typing.Any) -> None:
        """Write a log line unless there was one within the interval."""
        now = clock.now()
        if now - self.emitted_at.get(event, -math.inf) < LOG_INTERVAL_S:
            self.skipped[event] = self.skipped.get(event, 0) + 1
            return
        self.emitted_at[event] = now
        skipped = self.skipped.pop(event, 0)
        events.emit(event, message, level=logging.WARNING, skipped_lines=skipped, **fields)
