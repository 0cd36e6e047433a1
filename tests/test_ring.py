"""Partners on the hash ring: mutual, bounded, connected, and stable while nodes come and go."""

import hypothesis
import hypothesis.strategies as st
import pytest

from dogwoodgap import ring

NAMES = st.sets(st.integers(0, 10_000).map(lambda number: f"gateway-{number}"), min_size=2)


def fleet(count, prefix="gateway"):
    return {f"{prefix}-{number:03}" for number in range(count)}


@hypothesis.given(NAMES)
def test_partnership_is_mutual(names):
    """Guards against a node that nobody monitors, and changes that pass a link one way only."""
    nodes = ring.Ring(names)
    partners = {name: nodes.partners(name) for name in names}
    for name, others in partners.items():
        assert name not in others
        assert all(name in partners[other] for other in others)


@pytest.mark.parametrize("count", [17, 64, 171, 400])
def test_changes_reach_all_nodes_over_few_partners(count):
    """Guards against work that grows with the fleet, and against nodes that changes reach late."""
    nodes = ring.Ring(fleet(count))
    partners = {name: nodes.partners(name) for name in nodes.names}
    sizes = [len(others) for others in partners.values()]
    assert sum(sizes) / count <= 8
    assert max(sizes) <= 2 + 3 * (1 + ring.MAX_POINTING)
    reached = {nodes.names[0]}
    for _ in range(6):
        reached |= {other for name in reached for other in partners[name]}
    assert len(reached) == count


@pytest.mark.parametrize("count", [64, 171, 400])
def test_a_restart_changes_few_partners(count):
    """Guards against connections that all nodes replace whenever one node leaves or joins."""
    names = fleet(count)
    before = ring.Ring(names)
    leaving = sorted(names)[count // 3]
    after = ring.Ring(names - {leaving})
    changed = sum(len(before.partners(name) ^ after.partners(name)) for name in names - {leaving})
    assert changed <= 2 * 8 * 2
