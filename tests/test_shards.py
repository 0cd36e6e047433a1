"""Shards of texts."""

from dogwoodgap import shards


def test_shard_accepts_text_and_is_stable():
    """Guards against a hash that rejects text, which made every shard lookup fail."""
    assert shards.shard_of("crew/ř-program") == shards.shard_of("crew/ř-program")
    assert shards.program_shard("crew", "p.1.2") == shards.program_shard("crew", "p")
    assert 0 <= shards.key_shard("crew", "k") < shards.SHARD_COUNT
