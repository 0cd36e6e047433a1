"""Cutting of server-sent events out of a stream of bytes."""

import hypothesis
import pytest
from hypothesis import strategies

from dogwoodgap import event_stream

EVENTS = strategies.lists(
    strategies.tuples(strategies.integers(0, 99), strategies.sampled_from(["\n", "\r\n"])),
    max_size=6,
)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(EVENTS, strategies.lists(strategies.integers(1, 9), min_size=1, max_size=40))
def test_events_are_the_same_however_the_bytes_arrive(numbers, sizes):
    """Guards against events that are cut or joined at the edges of network reads."""
    expected = [(f"id: {number}{end}data: x{end}{end}".encode(), number) for number, end in numbers]
    data = b"".join(item for item, _ in expected)
    splitter = event_stream.EventSplitter()
    found = []
    turn = 0
    while data:
        size = sizes[turn % len(sizes)]
        turn += 1
        found += splitter.feed(data[:size])
        data = data[size:]
    assert [(item.data, item.id) for item in found] == expected
    assert splitter.is_empty


def test_rest_of_an_event_is_noticed():
    """Guards against a stream that ends inside an event and looks complete."""
    splitter = event_stream.EventSplitter()
    assert splitter.feed(b"id: 1\ndata") == []
    assert not splitter.is_empty


def test_endless_event_is_refused():
    """Guards against memory that a faulty server fills."""
    with pytest.raises(ValueError, match="exceeds"):
        event_stream.EventSplitter().feed(b"x" * (event_stream.MAX_EVENT_BYTES + 1))
