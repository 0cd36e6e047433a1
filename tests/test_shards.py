"""Shards of names."""

from dogwoodgap import shards


def test_shard_of_a_name_is_the_documented_hash():
    """Guards against a hash call that refuses text, as xxhash 4 does, or that changes owners."""
    assert shards.program_shard("loupárna", "root.1.2") == shards.shard_of("loupárna/root")
    assert shards.shard_of("customer/acme") == 699
