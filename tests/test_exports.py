"""Exported prefixes on disk: space limit, damaged files, and import for the next call."""

import anyio
import pytest

from dogwoodgap import backend_messages, exports, releases, structures

BLOCK_BYTES = 1_000


def block(session: str) -> backend_messages.KvBlock:
    return backend_messages.KvBlock(session, 10, b"x" * BLOCK_BYTES)


@pytest.fixture
def store(tmp_path):
    return exports.ExportStore(str(tmp_path), 3 * BLOCK_BYTES + 200)


def test_oldest_exports_are_deleted_and_damaged_ones_are_not_loaded(store):
    """Guards against a full data folder and against importing a damaged prefix into an engine."""

    async def main():
        await store.open()
        for number in range(5):
            assert await store.save(block(f"c/p{number}"))
        assert [await store.load(f"c/p{number}") for number in range(2)] == [None, None]
        assert await store.load("c/p4") == block("c/p4")
        await store.path("c/p3").write_bytes(b"\xc1")
        assert await store.load("c/p3") is None
        assert not await store.save(backend_messages.KvBlock("c/big", 10, b"x" * 10_000))
        await store.open()
        assert [path async for path in store.folder.iterdir()] == []

    anyio.run(main)


class Engine:
    """Records which runner has which session; imports and exports blocks."""

    def __init__(self):
        self.held = {("r1", "c/p")}
        self.released = anyio.Event()

    async def export(self, runner, session):
        await anyio.lowlevel.checkpoint()
        return block(session)

    async def import_block(self, runner, block):
        await anyio.lowlevel.checkpoint()
        self.held.add((runner.id, block.session))

    async def release(self, runner, session):
        await anyio.lowlevel.checkpoint()
        self.held.discard((runner.id, session))
        self.released.set()


def test_export_frees_the_engine_and_the_next_runner_imports(store):
    """Guards against cache held during a pause although it was exported, and a lost export."""

    async def main():
        await store.open()
        engine = Engine()
        views = [
            structures.RunnerView("llm", name, "http://x", "a", 4, 100) for name in ["r1", "r2"]
        ]
        async with anyio.create_task_group() as tasks:
            engine_cache = releases.Releases(
                engine, lambda service: views, tasks, export_store=store
            )
            order = structures.CacheOrder(structures.CacheAction.EXPORT, "r1", "c/p", 10)
            engine_cache.execute_orders("llm", [order])
            with anyio.fail_after(5.0):
                await engine.released.wait()
            assert engine.held == set()
            item = structures.WorkItem("p", "c", "llm", "x", 12, 1, 0, 0.0, 1.0)
            placement = structures.Placement(views[1], 0, import_tokens=10, item=item)
            await engine_cache.import_prefix(placement)
            assert engine.held == {("r2", "c/p")}

    anyio.run(main)
