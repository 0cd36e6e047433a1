"""Loading of shards while the platform is unavailable."""

import anyio

from dogwoodgap import events, loading, shards
from dogwoodgap_lab import objects


def test_unreadable_journal_is_reported_once_for_all_shards(monkeypatch):
    """Guards against hundreds of log lines, one per shard, four times a second."""
    emitted = []
    monkeypatch.setattr(events, "emit", lambda event, message, **fields: emitted.append(message))
    table = objects.MemoryObjectStore()
    table.faults.outage = True
    source = shards.Source("journal", "n2/b", 1)
    entry = shards.ShardEntry(shards.Owner("n1", "a"), 2, (source,))

    async def main():
        return await loading.load(table, dict.fromkeys(range(512), entry), entry.owner, 0.0)

    assert anyio.run(main).parts == {}
    assert emitted == [
        "journal n2/b could not be loaded; the load is repeated",
        "state of 512 shards could not be loaded; the load is repeated",
    ]
