"""The order of ownership is the same on all nodes and cheap to update."""

import hypothesis
import hypothesis.strategies as st

from dogwoodgap import hashing, ownership_order

NODES = st.frozensets(st.integers(0, 40).map(lambda number: f"n{number}"), min_size=1)


@hypothesis.given(st.lists(NODES, min_size=1, max_size=8), st.integers(1, 7))
def test_kept_orders_equal_new_ones_after_any_changes(views, length):
    """Guards against nodes that disagree on an owner because one has seen other changes before."""
    order = ownership_order.OwnershipOrder(length)
    for nodes in views:
        assert order.first("p", nodes) == hashing.rendezvous_order("p", nodes)[:length]


def test_a_joining_node_is_the_only_one_hashed(monkeypatch):
    """Guards against hashes of all nodes for each account when a large fleet changes."""
    hashed = []
    stable_hash = hashing.stable_hash
    monkeypatch.setattr(
        hashing, "stable_hash", lambda text: hashed.append(text) or stable_hash(text)
    )
    order = ownership_order.OwnershipOrder(6)
    nodes = frozenset(f"n{number}" for number in range(400))
    order.first("p", nodes)
    assert len(hashed) == 400
    order.first("p", nodes)
    order.first("p", nodes | {"new"})
    assert hashed[400:] == ["p@new"]
    leaving = next(iter(nodes - set(order.first("p", nodes))))
    order.first("p", nodes - {leaving})
    assert len(hashed) == 401
