"""Log handler with rate limits that never blocks on a slow reader."""

import collections
import collections.abc
import json
import logging
import os
import select
import time

from pythonjsonlogger import json as json_formatter

LINES_PER_S = 300.0
"""Mean rate limit of each event number; a node forwards up to 100 requests a second."""

BURST_LINES = 600.0
MAX_LINE_BYTES = 4_096
"""PIPE_BUF on Linux: a write of this size to a writable pipe neither blocks nor is split."""

DROP_REPORT_INTERVAL_S = 5.0
"""Minimum interval between the lines that report dropped lines."""


class LineBucket:
    """Token bucket that limits the lines of one event number."""

    def __init__(self, now: float):
        self.lines = BURST_LINES
        self.updated_at = now

    def take(self, now: float) -> bool:
        """Return whether a line may be written now, and count it if so."""
        self.lines = min(BURST_LINES, self.lines + (now - self.updated_at) * LINES_PER_S)
        self.updated_at = now
        if self.lines < 1.0:
            return False
        self.lines -= 1.0
        return True


class BoundedHandler(logging.Handler):
    """Writes JSON lines to a descriptor; drops lines over the rate limit or not writable now.

    Parameters
    ----------
    descriptor : int
        An open file, pipe or terminal.
    monotonic : callable, optional
        Monotonic clock in seconds; not the event loop's, as lines are also written outside of it.
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
        """Write a record, or count it as dropped."""
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
        """Return a record as one JSON line; too long ones keep event and start of the message."""
        line = self.format(record).encode(errors="replace")
        if len(line) >= MAX_LINE_BYTES:
            shortened = {"event": getattr(record, "event", 0), "message": record.getMessage()[:200]}
            line = json.dumps({**shortened, "shortened_bytes": len(line)}).encode()
        return line + b"\n"

    def write(self, line: bytes) -> bool:
        """Write a line if that does not block; return whether it was written."""
        if not self.poll.poll(0):
            return False
        try:
            os.write(self.descriptor, line)
        except OSError:
            # The reader has closed the log, so there is no place to report the error.
            return False
        return True

    def report_dropped(self, now: float) -> None:
        """Write the number of dropped lines of each event."""
        counts = {str(number): count for number, count in sorted(self.dropped.items())}
        line = json.dumps({"event": 0, "message": "log lines were dropped", "counts": counts})
        if self.write(line.encode() + b"\n"):
            self.dropped.clear()
            self.reported_at = now
