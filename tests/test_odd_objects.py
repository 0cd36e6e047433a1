"""Malformed objects of other writers in the lists of the platform's store."""

import json

import hypothesis
import msgspec
import pytest
from dogwoodgap_platform import listings, records, wire
from hypothesis import strategies

from dogwoodgap import followers, frames, servers
from dogwoodgap_wire import ttypes

SPEC = {"service": "plain", "addr": "127.0.0.1:1", "zone": "z", "slots": 4, "state": "ready"}
DEPTH = 100_000
ODD_VALUES = {
    "unpaired-surrogate": b'"\\ud800"',
    "invalid-utf8": b'"\xff\xfe"',
    "number-beyond-floats": b"1e999",
    "long-integer": b"9" * 5_000,
    "deep-array": b"[" * DEPTH + b"]" * DEPTH,
    "deep-object": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "not-a-number": b"NaN",
    "control-character": b'"\x01"',
    "quoted-brackets": b'"]}\\"["',
}


def stored(name: str, spec: bytes) -> bytes:
    """Return a stored object."""
    return b'{"metadata":{"name":"%s","rev":1},"spec":%s,"status":null}' % (name.encode(), spec)


def page(*items: bytes) -> bytes:
    """Return one page of a list."""
    return b'{"items":[%s],"hasMore":false,"storeRevision":9}' % b",".join(items)


def read_servers(content: bytes) -> list[servers.BackendServer]:
    """Return the servers in a page of entries."""
    read = listings.decode(content, wire.Page)
    assert read.store_revision == 9
    return listings.decode_each(listings.decode_objects(read), wire.decode_server)


def entry(name: str, **changes) -> bytes:
    """Return the entry of a server."""
    return stored(name, json.dumps(SPEC | changes).encode())


@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_unreadable_entry_hides_no_server(value):
    """Guards against one unreadable entry after which no gateway follows the list of servers."""
    odd = stored("odd", b'{"service":"plain","addr":%s}' % value)
    content = page(entry("first"), odd, entry("last", state="draining"))
    assert [server.id for server in read_servers(content)] == ["first", "last"]


@pytest.mark.parametrize(
    "changes",
    [
        {"slots": 2**40},
        {"slots": 0},
        {"born": 2**64 - 1},
        {"born": 2**63},
        {"born": -1},
        {"addr": "127.0.0.1:99999"},
        {"addr": "127.0.0.1:0"},
        {"addr": "127.0.0.1:" + "9" * 5_000},
        {"addr": "127.0.0.1:\u00b2"},
        {"addr": ":80"},
        {"state": "asleep"},
        {"service": 3},
        {"version": None},
    ],
    ids=str,
)
def test_entry_with_a_field_out_of_range_is_ignored(changes):
    """Guards against numbers that no message holds, which end each gateway that passes them on."""
    found = read_servers(page(entry("odd", **changes), entry("sound")))
    assert [server.id for server in found] == ["sound"]


@pytest.mark.parametrize("name", ["\u2603", "a\\n", "a b", ""])
def test_entry_whose_name_fits_no_header_is_ignored(name):
    """Guards against a server that every request fails for, since no header can name it."""
    assert [server.id for server in read_servers(page(entry(name), entry("sound")))] == ["sound"]


def test_unreadable_change_does_not_stop_a_watch():
    """Guards against a watch that fails again and again for one change of another writer."""
    change = b'{"object":%s,"tombstone":false}' % stored("odd", ODD_VALUES["deep-array"])
    changes = listings.decode(b'{"events":[%s],"storeRevision":12}' % change, wire.Changes)
    assert (len(changes.events), changes.store_revision) == (1, 12)


@pytest.mark.parametrize("spec", [b"[]", b'{"processes":[["s",18446744073709551615]]}', b"1e999"])
def test_unreadable_record_hides_no_other_record(spec):
    """Guards against a starting gateway that cannot load budgets or crashes."""
    sound = stored("00000000000000ff", b'{"processes":[["s",1]],"crashed_at":1.5}')
    read = listings.decode(page(stored("odd", spec), sound), wire.Page)
    found = listings.decode_each(listings.decode_objects(read), records.decode_crash)
    assert [record.digest for record in found] == [255]
    budget = stored("p1", b'{"budget":10,"mark":3}')
    read = listings.decode(page(stored("odd", spec), budget), wire.Page)
    found = listings.decode_each(listings.decode_objects(read), records.decode)
    assert [record.program for record in found] == ["p1"]


TEXT = strategies.text(strategies.characters(exclude_categories=()), max_size=8)
"""Includes unpaired surrogates."""

JSON_VALUES = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.floats() | TEXT,
    lambda inner: (
        strategies.lists(inner, max_size=2) | strategies.dictionaries(TEXT, inner, max_size=2)
    ),
    max_leaves=4,
)


@hypothesis.given(
    field=strategies.sampled_from([*sorted(SPEC), "born", "version"]), value=JSON_VALUES
)
def test_any_entry_is_ignored_or_can_be_passed_on(field, value):
    """Guards against values of other writers that are accepted and fail later."""
    content = page(entry("first"), entry("odd", **{field: value}), entry("last"))
    found = read_servers(content)
    assert {"first", "last"} <= {server.id for server in found}
    message = ttypes.ServerListing(servers=[followers.to_wire(server) for server in found])
    frame = frames.encode(1, message, reply=False)
    received = frames.decode(frame[frames.LENGTH_PREFIX.size :]).message
    assert [followers.from_wire(sent) for sent in received.servers] == found


@hypothesis.given(strategies.binary())
def test_bytes_that_are_no_list_raise_a_known_error(content):
    """Guards against errors that end the process instead of a retry of the call."""
    try:
        listings.decode(content, wire.Page)
    except listings.UNREADABLE:
        return
    msgspec.json.decode(content)
