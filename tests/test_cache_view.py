"""Tests for the cache view, with an engine stand-in whose events are delayed or lost."""

import collections

import anyio
import virtual_time

from dogwoodgap import adapters, cache_usage, cache_view, exceptions, metrics, structures
from dogwoodgap_lab import engine, faults


class LocalAdapter:
    """Engine adapter that calls an engine directly; releases can be made to fail."""

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


def test_reconciliation_releases_only_sessions_of_ended_programs():
    """Guards against memory held for ended programs, and against releasing other sessions."""

    async def main():
        runner, view, _, _, caches = setup(faults.RunnerFaults(event_loss=1.0))
        for name in ("c/live", "c/gone", "c/foreign", "prefix:1"):
            runner.cache.store(name, 10)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(caches.run)
            await anyio.sleep(2 * cache_view.MIN_RECONCILE_INTERVAL_S)
            assert sessions(runner) == {"c/live", "c/foreign", "prefix:1"}
            assert caches.tokens(view, "c/live") == 10
            runner.cache.release("c/live")
            await anyio.sleep(2 * cache_view.MIN_RECONCILE_INTERVAL_S)
            assert caches.tokens(view, "c/live") == 0
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_release_is_repeated_until_the_engine_confirms():
    """Guards against a release that is lost when the engine fails to execute it."""

    async def main():
        runner, view, adapter, live, caches = setup()
        runner.cache.store("c/live", 10)
        caches.record_use(view, "c/live", 10)
        adapter.failing = True
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(caches.run)
            live["c/live"] = False
            caches.release("c/live")
            await anyio.sleep(10.0)
            assert "c/live" in sessions(runner)
            adapter.failing = False
            await anyio.sleep(cache_view.MAX_RETRY_S)
            assert sessions(runner) == set()
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_session_stored_after_its_release_is_released_again():
    """Guards against memory leaked by a call that was still running when its program ended."""

    async def main():
        runner, view, _, live, caches = setup(faults.RunnerFaults(event_delay_s=1.0))
        runner.cache.store("c/live", 10)
        caches.record_use(view, "c/live", 10)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(caches.run)
            await anyio.sleep(5.0)
            live["c/live"] = False
            caches.release("c/live")
            await anyio.sleep(1.0)
            assert sessions(runner) == set()
            runner.cache.store("c/live", 20)
            await anyio.sleep(5.0)
            assert sessions(runner) == set()
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_gap_in_events_triggers_early_reconciliation():
    """Guards against a view that stays wrong until the next regular reconciliation."""

    async def main():
        runner, view, adapter, _, caches = setup()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(caches.run)
            runner.cache.store("c/live", 10)
            await anyio.sleep(3.0)
            runner.fault_injector.faults = faults.RunnerFaults(event_loss=1.0)
            runner.cache.release("c/live")
            runner.cache.store("x", 1)
            before = adapter.lists
            await anyio.sleep(1.5 * cache_view.EVENTS_INTERVAL_S + cache_view.RECONCILE_AFTER_GAP_S)
            assert adapter.lists == before + 1
            assert caches.tokens(view, "c/live") == 0
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_cache_totals_become_counters_once(monkeypatch):
    """Guards against counting an engine restart as a decrease, and a total on two nodes."""
    monkeypatch.setattr(metrics, "counters", collections.Counter())
    view = structures.RunnerView("s", "r1", "http://r1", "a", 0, 0)
    counting = [True]
    usage = cache_usage.CacheUsage(lambda view: counting[0])
    for held, counts in ((500.0, True), (600.0, True), (90.0, True), (400.0, False), (700.0, True)):
        counting[0] = counts
        usage.record_report(view, adapters.LoadReport(held_token_s=held, wasted_token_s=held / 2))
    assert metrics.counters["cache.held"] == 100 + 90
    assert metrics.counters["cache.wasted"] == 50 + 45
