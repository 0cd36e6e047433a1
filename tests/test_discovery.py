"""Order of the entry addresses that discovery returns."""

from dogwoodgap import discovery, members, shards


def member(node, centre):
    return members.Member(node, "b1", centre, f"{node}:8080", f"{node}:7080")


def test_owner_first_then_its_data_centre_and_only_live_nodes():
    """Guards against directing callers to a remote data centre or to an owner that is not alive."""
    alive = [member("n1", "a"), member("n2", "b"), member("n3", "b"), member("n4", "a")]
    owners = {shards.program_shard("acme", "p"): "n3"}
    discoverer = discovery.Discovery(lambda: alive, lambda shard: owners.get(shard, ""), "a", 5.0)
    response = discoverer.entries("acme", "p.1")
    assert [entry.node for entry in response.entries][:2] == ["n3", "n2"]
    assert len(response.entries) == 4
    assert response.ttl_seconds == 5.0
    del alive[2]
    response = discoverer.entries("acme", "p")
    assert {entry.node for entry in response.entries[:2]} == {"n1", "n4"}
    assert [entry.data_centre for entry in response.entries] == ["a", "a", "b"]
