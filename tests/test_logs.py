"""Tests of the log handler under load and with readers that stop reading."""

import json
import logging
import os

from dogwoodgap import logs


class Clock:
    """A clock that is set by the test."""

    def __init__(self):
        self.time = 0.0

    def __call__(self):
        return self.time


def record(event=1, message="m"):
    item = logging.LogRecord("dogwoodgap", logging.INFO, "f", 1, message, None, None)
    item.event = event
    return item


def read(descriptor):
    return [json.loads(line) for line in os.read(descriptor, 1 << 20).splitlines()]


def test_lines_of_one_event_are_limited_and_dropped_lines_counted():
    """Guards against unlimited log volume under load, and against lines dropped silently."""
    reading, writing = os.pipe()
    clock = Clock()
    handler = logs.BoundedHandler(writing, clock)
    lines = []
    for number in range(5_000):
        clock.time = number / 5_000
        handler.emit(record(1))
        if number % 100 == 0:
            lines += read(reading)
    handler.emit(record(2))
    clock.time = 10.0
    handler.emit(record(3))
    lines += read(reading)
    events = [line["event"] for line in lines]
    assert events.count(1) <= logs.BURST_LINES + logs.LINES_PER_S + 1
    assert {2, 3} <= set(events)
    summary = next(line for line in lines if "counts" in line)
    assert summary["counts"]["1"] == 5_000 - events.count(1)


def test_stalled_reader_does_not_block_the_process():
    """Guards against a process that blocks when its log is not read."""
    reading, writing = os.pipe()
    clock = Clock()
    handler = logs.BoundedHandler(writing, clock)
    for number in range(3_000):
        clock.time = float(number)
        handler.emit(record(1, "x" * 1_000))
    assert handler.dropped[1] > 0
    os.close(reading)
    handler.emit(record(1))


def test_long_lines_are_truncated():
    """Guards against lines that exceed PIPE_BUF and are written to a pipe only in part."""
    reading, writing = os.pipe()
    handler = logs.BoundedHandler(writing, Clock())
    handler.emit(record(1, "x" * 10_000))
    (line,) = read(reading)
    assert line["shortened_bytes"] > logs.MAX_LINE_BYTES
