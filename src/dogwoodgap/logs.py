"""Log lines on a descriptor: bounded in volume, and never waiting for whoever reads them."""

import collections
import collections.abc
import json
import logging
import os
import select
import time

from pythonjsonlogger import json as json_formatter

LINES_PER_S = 300.0
"""Lines of one event number a second, on average; a node at its peak forwards 100 requests a
second."""

BURST_LINES = 600.0
MAX_LINE_BYTES = 4_096
"""A pipe that is ready for writing takes this many bytes without waiting (PIPE_BUF)."""

DROP_REPORT_INTERVAL_S = 5.0
"""Interval of the lines that count what was left out."""


class LineBucket:
    """Lines that one event may still write."""

    def __init__(self, now: float):
        self.lines = BURST_LINES
        self.updated_at = now

    def take(self, now: float) -> bool:
        """Return whether a line may be written now."""
        self.lines = min(BURST_LINES, self.lines + (now - self.updated_at) * LINES_PER_S)
        self.updated_at = now
        if self.lines < 1.0:
            return False
        self.lines -= 1.0
        return True


class BoundedHandler(logging.Handler):
    """Writes JSON lines to a descriptor and drops those that it cannot take now.

    Parameters
    ----------
    descriptor : int
        An open file, pipe or terminal.
    monotonic : callable, optional
        Monotonic time in seconds; lines are also written outside of an event loop.
    """

    def __init__(
        self, descriptor: int, monotonic: collections.abc.Callable[[], float] = time.monotonic
    ):
        super().__init__()
        self.descriptor = descriptor
        self.monotonic = monotonic
        self.poll = select.poll()
        self.poll.register(descriptor, select.POLLOUT)
        self.buckets: dict[int, LineBucket] = {}
        self.dropped: collections.Counter[int] = collections.Counter()
        self.reported_at = self.monotonic()
        self.setFormatter(
            json_formatter.JsonFormatter(
                "%(asctime)s %(levelname)s %(message)s",
                rename_fields={"asctime": "time", "levelname": "level"},
            )
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it."""
        now = self.monotonic()
        number = getattr(record, "event", 0)
        bucket = self.buckets.get(number)
        if bucket is None:
            bucket = self.buckets[number] = LineBucket(now)
        if not bucket.take(now) or not self.write(self.encode(record)):
            self.dropped[number] += 1
        if self.dropped and now - self.reported_at >= DROP_REPORT_INTERVAL_S:
            self.report_dropped(now)

    def encode(self, record: logging.LogRecord) -> bytes:
        """Return a record as one line."""
        line = self.format(record).encode(errors="replace")
        if len(line) >= MAX_LINE_BYTES:
            shortened = {"event": getattr(record, "event", 0), "message": record.getMessage()[:200]}
            line = json.dumps({**shortened, "shortened_bytes": len(line)}).encode()
        return line + b"\n"

    def write(self, line: bytes) -> bool:
        """Write a line if the reader takes it without waiting."""
        if not self.poll.poll(0):
            return False
        try:
            os.write(self.descriptor, line)
        except OSError:
            # Whoever read the log is gone; there is nowhere to report that to.
            return False
        return True

    def report_dropped(self, now: float) -> None:
        """Write how many lines of each event were left out."""
        counts = {str(number): count for number, count in sorted(self.dropped.items())}
        line = json.dumps({"event": 0, "message": "log lines were left out", "counts": counts})
        if self.write(line.encode() + b"\n"):
            self.dropped.clear()
            self.reported_at = now
