"""Hashing of names to shards, and refreshes of the shard assignment."""

import anyio

from dogwoodgap import objectstore, shards
from dogwoodgap_lab import objects


def test_shard_of_a_name_is_the_documented_hash():
    """Guards against a hash that rejects str, as xxhash 4 does, or changes a program's shard."""
    assert shards.program_shard("loupárna", "root.1.2") == shards.shard_of("loupárna/root")
    assert shards.shard_of("customer/acme") == 699


def test_refresh_reads_only_a_changed_assignment():
    """Guards against reading the whole document every second, and against missing a change."""

    class CountingTable(objects.MemoryObjectStore):
        documents = 0

        async def get(self, key):
            self.documents += 1
            return await super().get(key)

    async def main():
        table = CountingTable()
        reader, writer = (
            shards.AssignmentStore(table, objectstore.RateBucket(100.0, 8.0)) for _ in range(2)
        )
        for name in ("n1", "n2"):
            owner = shards.Owner(name, "b")

            def change(draft, owner=owner):
                is_changed = draft.owner(7) != owner
                draft.assign(7, owner)
                return is_changed

            await writer.update(change)
            before = table.documents
            for _ in range(5):
                await reader.refresh()
                assert reader.owner(7) == owner
            assert table.documents == before + 1

    anyio.run(main, backend="trio")
