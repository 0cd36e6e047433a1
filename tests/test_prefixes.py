"""Tests for prefix retention, export and release."""

import anyio
import virtual_time
from hypothesis import given, settings
from hypothesis import strategies as st

from dogwoodgap import retention, scheduler, structures

ORDER = [
    structures.CacheAction.RETAIN,
    structures.CacheAction.EXPORT,
    structures.CacheAction.RELEASE,
]


def view(name="r0", **fields):
    values = {"service": "m", "address": "", "data_centre": "a", "slots": 4, "cache_tokens": 10_000}
    return structures.RunnerView(id=name, **(values | fields))


def item(program="p", **fields):
    values = {
        "customer": "c",
        "service": "m",
        "profile": "default",
        "prompt_tokens": 5_000,
        "max_tokens": 100,
        "attained_tokens": 0,
        "enqueued_at": 0.0,
        "deadline_at": 10_000.0,
    }
    return structures.WorkItem(program=program, **(values | fields))


async def finish_call(dispatcher, work):
    placed = await dispatcher.acquire(work)
    orders = dispatcher.call_finished(placed, 100, 2.0)
    dispatcher.release(placed)
    return placed, orders


@settings(derandomize=True, max_examples=200, deadline=None, database=None)
@given(
    tokens=st.integers(1, 200_000),
    rests=st.tuples(st.floats(0, 900), st.floats(0, 900)).map(sorted),
    pressures=st.tuples(st.floats(0, 1), st.floats(0, 1)).map(sorted),
    weights=st.tuples(st.floats(0, 100), st.floats(0, 100)),
    export=st.booleans(),
)
def test_longer_pauses_and_fuller_memory_never_retain_more(
    tokens, rests, pressures, weights, export
):
    """Guards against retention that gets more likely with longer pauses or fuller memory."""
    plugin = retention.CostRetention(export=export)

    def rank(remaining_s, pressure):
        pause = structures.Pause("p", "t", tokens, 0.0, pressure, 100_000, 8_000.0, *weights)
        return ORDER.index(plugin.choose_for_remaining(pause, remaining_s))

    assert rank(rests[0], pressures[0]) <= rank(rests[1], pressures[0])
    assert rank(rests[0], pressures[0]) <= rank(rests[0], pressures[1])


def test_the_remaining_time_of_a_heavy_tailed_pause_grows():
    """Guards against expecting an early return after a pause that is already long."""
    histogram = retention.PauseHistogram()
    for _ in range(500):
        histogram.observe(1.0)
    for _ in range(20):
        histogram.observe(300.0)
    assert histogram.residual_s(5.0) > 10 * histogram.residual_s(0.0)


def test_a_pause_histogram_follows_changed_durations():
    """Guards against a histogram that old pauses dominate permanently."""
    histogram = retention.PauseHistogram()
    for _ in range(20_000):
        histogram.observe(200.0)
    for _ in range(6_000):
        histogram.observe(1.0)
    assert histogram.residual_s(0.0) < 40.0


def test_memory_of_ended_and_idle_programs_is_released():
    """Guards against engine memory held for ended or idle programs."""

    async def main():
        runners = [view()]
        plugin = retention.ReleaseOnlyRetention()
        dispatcher = scheduler.Dispatcher("m", lambda: runners, retention=plugin)
        for program in ("ended", "idle"):
            work = item(program)
            await finish_call(dispatcher, work)
            dispatcher.program_paused(work, "tool", 60.0)
        ended = dispatcher.program_ended("c", "ended")
        await anyio.sleep(61.0)
        swept = dispatcher.sweep()
        orders = [(order.action.value, order.session) for order in [*ended, *swept]]
        assert orders == [("release", "c/ended"), ("release", "c/idle")]
        assert not dispatcher.sessions.sessions

    virtual_time.run(main)


def test_a_program_whose_call_was_interrupted_reaches_the_idle_limit():
    """Guards against leaked memory when the caller dies during a refused or failed call."""

    async def main():
        runners = [view()]
        dispatcher = scheduler.Dispatcher("m", lambda: runners)
        for program in ("cancelled", "failed"):
            await finish_call(dispatcher, item(program))
        placed = await dispatcher.acquire(item("failed"))
        dispatcher.release(placed, failed=True)
        runners[0].queued = 100
        with anyio.move_on_after(1.0):
            await dispatcher.acquire(item("cancelled"))
        await anyio.sleep(1_000.0)
        assert {order.session for order in dispatcher.sweep()} == {"c/cancelled", "c/failed"}
        assert not dispatcher.sessions.sessions

    virtual_time.run(main)


def test_reconciliation_releases_sessions_after_lost_orders():
    """Guards against memory leaked by a lost release, and against releasing live sessions."""

    async def main():
        runners = [view("r0"), view("r1")]
        dispatcher = scheduler.Dispatcher("m", lambda: runners)
        for program in ("live", "gone"):
            await finish_call(dispatcher, item(program))
        dispatcher.program_ended("c", "gone")
        holder = dispatcher.sessions.sessions["c/live"].runner
        other = "r1" if holder == "r0" else "r0"
        ended = dispatcher.reconcile(holder, ["c/live", "c/gone"])
        stale = dispatcher.reconcile(other, ["c/live"])
        assert [order.session for order in ended] == ["c/gone"]
        assert [(order.runner, order.session) for order in stale] == [(other, "c/live")]

    virtual_time.run(main)


def test_reports_during_a_first_call_release_nothing():
    """Guards against releasing a prefix when the engine finishes before the node does."""

    async def main():
        runners = [view()]
        dispatcher = scheduler.Dispatcher("m", lambda: runners)
        placed = await dispatcher.acquire(item())
        assert dispatcher.reconcile("r0", ["c/p"]) == []
        dispatcher.release(placed, failed=True)
        await anyio.sleep(1_000.0)
        dispatcher.sweep()
        assert [order.session for order in dispatcher.reconcile("r0", ["c/p"])] == ["c/p"]

    virtual_time.run(main)


def test_an_exported_prefix_is_imported_by_the_next_call_and_a_failed_export_is_not():
    """Guards against importing tokens whose export failed."""

    async def main():
        runners = [view(cached_tokens=10_000, cache_tokens=10_000)]
        dispatcher = scheduler.Dispatcher("m", lambda: runners)
        work = item()
        await finish_call(dispatcher, work)
        for _ in range(50):
            dispatcher.retention.observe("default", "approval", 200.0)
        (order,) = dispatcher.program_paused(work, "approval", 900.0)
        assert order.action == structures.CacheAction.EXPORT
        placed = await dispatcher.acquire(item(prompt_tokens=6_000))
        assert placed.import_tokens == 5_100
        dispatcher.release(placed, failed=True)
        dispatcher.order_failed(order)
        placed = await dispatcher.acquire(item(prompt_tokens=6_000))
        assert (placed.import_tokens, placed.runner.id) == (0, "r0")
        assert placed.item.exported_tokens == dispatcher.sessions.exported_tokens == 0

    virtual_time.run(main)


def test_exports_are_bounded():
    """Guards against unbounded growth of the exported KV cache."""

    async def main():
        runners = [view(slots=100, cached_tokens=10_000, cache_tokens=10_000)]
        dispatcher = scheduler.Dispatcher("m", lambda: runners)
        table = dispatcher.sessions
        table.max_exported_tokens = 12_000
        for number in range(5):
            work = item(f"p{number}")
            await finish_call(dispatcher, work)
            runners[0].cached_tokens = 10_000
            dispatcher.program_paused(work, "tool", 900.0)
        exported = [name for name, session in table.sessions.items() if session.exported]
        assert exported == ["c/p3", "c/p4"]
        assert table.exported_tokens == sum(table.exports.values()) == 10_200

    virtual_time.run(main)
