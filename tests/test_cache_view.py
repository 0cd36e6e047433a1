"""Release of cache memory against an engine stand-in with late and lost events."""

import collections

import anyio
import virtual_time

from dogwoodgap import adapters, cache_usage, cache_view, exceptions, metrics, structures
from dogwoodgap_lab import engine, faults


class LocalAdapter:
    """Reaches an engine without HTTP; orders can fail."""

    def __init__(self, runner: engine.Engine):
        self.runner = runner
        self.failing = False
        self.lists = 0

    async def release(self, view, session: str) -> None:
        if self.failing:
            raise exceptions.RunnerFailedError("lost order")
        self.runner.release(session)

    async def cache(self, view) -> list[adapters.CachedSession]:
        self.lists += 1
        return self.runner.cache.sessions()

    async def cache_events(self, view, since: int) -> adapters.CacheEventPage:
        return self.runner.cache.events_since(since)


LIVE = {"c/live": True, "c/gone": False}


def setup(chosen: faults.RunnerFaults | None = None):
    runner = engine.Engine(fault_injector=faults.FaultInjector(2, chosen))
    view = structures.RunnerView("llm", "r1", "http://r1", "dc", 4, 1000)
    adapter = LocalAdapter(runner)
    live = dict(LIVE)
    return runner, view, adapter, live, cache_view.CacheView(adapter, lambda: [view], live.get)


def sessions(runner: engine.Engine) -> set[str]:
    return {item.session for item in runner.cache.sessions()}


def test_comparison_releases_only_what_is_known_to_be_gone():
    """Guards against memory held for ended programs, and against releasing others' sessions."""

    async def main():
        runner, view, _, _, found = setup(faults.RunnerFaults(event_loss=1.0))
        for name in ("c/live", "c/gone", "c/foreign", "prefix:1"):
            runner.cache.store(name, 10)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(found.run)
            await anyio.sleep(2 * cache_view.MIN_COMPARE_S)
            assert sessions(runner) == {"c/live", "c/foreign", "prefix:1"}
            assert found.tokens(view, "c/live") == 10
            runner.cache.release("c/live")
            await anyio.sleep(2 * cache_view.MIN_COMPARE_S)
            assert found.tokens(view, "c/live") == 0
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_release_is_repeated_until_the_engine_confirms():
    """Guards against a lost release order."""

    async def main():
        runner, view, adapter, live, found = setup()
        runner.cache.store("c/live", 10)
        found.used(view, "c/live", 10)
        adapter.failing = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(found.run)
            live["c/live"] = False
            found.release("c/live")
            await anyio.sleep(10.0)
            assert "c/live" in sessions(runner)
            adapter.failing = False
            await anyio.sleep(cache_view.MAX_RETRY_S)
            assert sessions(runner) == set()
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_session_stored_after_its_release_is_released_again():
    """Guards against a call that was still running when its program ended."""

    async def main():
        runner, view, _, live, found = setup(faults.RunnerFaults(event_delay_s=1.0))
        runner.cache.store("c/live", 10)
        found.used(view, "c/live", 10)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(found.run)
            await anyio.sleep(5.0)
            live["c/live"] = False
            found.release("c/live")
            await anyio.sleep(1.0)
            assert sessions(runner) == set()
            runner.cache.store("c/live", 20)
            await anyio.sleep(5.0)
            assert sessions(runner) == set()
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_gap_in_events_brings_the_comparison_forward():
    """Guards against a view that stays wrong until the next regular comparison."""

    async def main():
        runner, view, adapter, _, found = setup()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(found.run)
            runner.cache.store("c/live", 10)
            await anyio.sleep(3.0)
            runner.fault_injector.faults = faults.RunnerFaults(event_loss=1.0)
            runner.cache.release("c/live")
            runner.cache.store("x", 1)
            before = adapter.lists
            await anyio.sleep(1.5 * cache_view.EVENTS_INTERVAL_S + cache_view.COMPARE_AFTER_GAP_S)
            assert adapter.lists == before + 1
            assert found.tokens(view, "c/live") == 0
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_cache_totals_become_counters_once(monkeypatch):
    """Guards against a restarted engine that counts down, and a total counted by two nodes."""
    monkeypatch.setattr(metrics, "totals", collections.Counter())
    view = structures.RunnerView("s", "r1", "http://r1", "a", 0, 0)
    counting = [True]
    usage = cache_usage.CacheUsage(lambda view: counting[0])
    for held, counts in ((500.0, True), (600.0, True), (90.0, True), (400.0, False), (700.0, True)):
        counting[0] = counts
        usage.note(view, adapters.LoadReport(held_token_s=held, wasted_token_s=held / 2))
    assert metrics.totals["cache.held"] == 100 + 90
    assert metrics.totals["cache.wasted"] == 50 + 45
