"""Tests for ordering, placement, admission and the dispatcher's queue."""

import math

import anyio
import anyio.lowlevel
import pytest
import virtual_time

from dogwoodgap import clock, exceptions, models, ordering, placement, scheduler, structures


def view(name="r0", **fields):
    values = {"service": "m", "address": "", "data_centre": "a", "slots": 2, "cache_tokens": 10_000}
    return structures.RunnerView(id=name, **(values | fields))


def item(program="p", **fields):
    values = {
        "customer": "c",
        "service": "m",
        "profile": "default",
        "prompt_tokens": 1_000,
        "max_tokens": 100,
        "attained_tokens": 0,
        "enqueued_at": clock.now(),
        "deadline_at": clock.now() + 1_000.0,
    }
    return structures.WorkItem(program=program, **(values | fields))


def test_a_long_program_is_not_starved_by_new_short_ones():
    """Guards against starvation of a large program under least-attained-service ordering."""

    async def main():
        runners = [view(slots=1)]
        dispatcher = scheduler.Dispatcher("m", lambda: runners)
        served = []

        async def call(work):
            placed = await dispatcher.acquire(work)
            served.append(work)
            await anyio.sleep(1.0)
            dispatcher.release(placed)

        async with anyio.create_task_group() as tasks:
            for number in range(3):
                tasks.start_soon(call, item(f"first{number}"))
            await anyio.sleep(0.1)
            large = item("large", attained_tokens=10**9, deadline_at=clock.now() + 10**7)
            tasks.start_soon(call, large)
            for number in range(1_500):
                # Twice as many arrivals as the runner serves.
                tasks.start_soon(call, item(f"s{number}a", deadline_at=clock.now() + 10**7))
                tasks.start_soon(call, item(f"s{number}b", deadline_at=clock.now() + 10**7))
                await anyio.sleep(1.0)
            await anyio.sleep(1_500.0)
            tasks.cancel_scope.cancel()
        bound = ordering.MAX_ATTAINED_PENALTY_S + ordering.MAX_FAIR_EXCESS * 10.0 + 10.0
        before = served[: served.index(large)]
        assert max(work.enqueued_at for work in before) <= bound

    virtual_time.run(main)


def test_urgent_calls_and_small_programs_come_first():
    """Guards against an order that ignores urgency or attained service."""

    async def main():
        order = ordering.ProgramOrdering(slack=True)
        small = order.key(item(attained_tokens=100))
        large = order.key(item(attained_tokens=100_000))
        urgent = order.key(item(attained_tokens=100_000, urgency=1))
        late = order.key(item(attained_tokens=100_000, deadline_at=clock.now() + 0.05))
        assert urgent < late < small < large

    virtual_time.run(main)


def test_a_flooding_customer_waits_behind_others():
    """Guards against one customer whose many calls delay those of all others."""

    async def main():
        order = ordering.ProgramOrdering()
        for number in range(10):
            order.record_service(item(customer=f"c{number}"), 100)
        order.record_service(item(customer="c0"), 50_000)
        assert order.key(item(customer="c0")) > order.key(item(customer="c1"))
        weighted = order.key(item(customer="c2"))
        assert weighted == order.key(item(customer="c1"))

    virtual_time.run(main)


def test_refused_calls_were_never_sent():
    """Guards against refusals with ``not_run="true"`` for calls that reached a runner."""

    async def main():
        runners = [view(queued=50, running=2)]
        dispatcher = scheduler.Dispatcher("m", lambda: runners)
        with pytest.raises(exceptions.OverloadedError) as early:
            await dispatcher.acquire(item(deadline_at=clock.now() + 1.0))
        assert clock.now() == 0.0
        with pytest.raises(exceptions.OverloadedError) as late:
            await dispatcher.acquire(item(deadline_at=clock.now() + 900.0))
        assert clock.now() == 900.0
        assert [early.value.not_run, late.value.not_run] == ["true", "true"]
        assert early.value.retry_after_s >= 1.0
        assert runners[0].in_flight == runners[0].sent_since_report == 0
        assert not dispatcher.queue

    virtual_time.run(main)


def test_a_free_runner_admits_calls_whose_estimate_misses_the_deadline():
    """Guards against wrong estimates that refuse every call and so are never corrected."""

    async def main():
        runners = [view()]
        dispatcher = scheduler.Dispatcher("m", lambda: runners)
        placed = await dispatcher.acquire(item(max_tokens=100_000, deadline_at=clock.now() + 1.0))
        assert placed.estimated_finish_s > 1.0

    virtual_time.run(main)


def test_the_estimated_wait_includes_the_competition_of_peers():
    """Guards against wait estimates that ignore the capacity that other nodes use."""

    async def main():
        runners = [view(queued=1, running=2)]
        dispatcher = scheduler.Dispatcher("m", lambda: runners)

        async def call(program):
            await dispatcher.acquire(item(program, deadline_at=clock.now() + 5_000.0))

        async with anyio.create_task_group() as tasks:
            for number in range(100):
                tasks.start_soon(call, f"p{number}")
            await anyio.sleep(0.1)
            for _ in range(50):
                await anyio.sleep(20.0)
                # One slot becomes free; peers take all others before this node is notified.
                runners[0].in_flight, runners[0].sent_since_report = 2, 0
                runners[0].queued = runners[0].running = 1
                dispatcher.notify()
            began = clock.now()
            late = item("late", attained_tokens=10**6, deadline_at=began + 120.0)
            with pytest.raises(exceptions.OverloadedError) as refused:
                await dispatcher.acquire(late)
            assert clock.now() == began
            assert refused.value.not_run == "true"
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_the_queue_is_bounded_but_open_to_urgent_calls():
    """Guards against a queue that grows without bound, and a bound that refuses urgent calls."""

    async def main():
        runners = [view(queued=10, running=2)]
        dispatcher = scheduler.Dispatcher("m", lambda: runners)
        dispatcher.admission.max_waiting = 3
        refused = []

        async def call(**fields):
            try:
                await dispatcher.acquire(item(**fields))
            except exceptions.OverloadedError:
                refused.append(fields)

        async with anyio.create_task_group() as tasks:
            for _ in range(5):
                tasks.start_soon(call)
            await anyio.sleep(0.1)
            tasks.start_soon(call)
            await anyio.sleep(0.1)
            assert (len(dispatcher.queue), len(refused)) == (3, 3)
            async with anyio.create_task_group() as urgent:
                urgent.start_soon(lambda: call(urgency=5))
                await anyio.sleep(0.1)
                assert len(dispatcher.queue) == 4
                assert dispatcher.queue[0].item.urgency == 5
                urgent.cancel_scope.cancel()
            assert len(dispatcher.queue) == 3
            tasks.cancel_scope.cancel()
        assert not dispatcher.queue

    virtual_time.run(main)


@pytest.mark.parametrize("backend", ["asyncio", "trio"])
def test_a_cancelled_call_releases_its_grant(backend):
    """Guards against leaked in-flight counts when a call is cancelled.

    A runner may be granted after the cancellation and before the call resumes.
    """

    async def main():
        runners = [view(slots=1)]
        dispatcher = scheduler.Dispatcher("m", lambda: runners)
        held = [await dispatcher.acquire(item()), await dispatcher.acquire(item())]

        async def call():
            placed = await dispatcher.acquire(item())
            try:
                await anyio.sleep_forever()
            finally:
                dispatcher.release(placed, failed=True)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(call)
            while not dispatcher.queue:
                await anyio.lowlevel.checkpoint()
            tasks.cancel_scope.cancel()
            dispatcher.release(held[0])
            assert not dispatcher.queue
        dispatcher.release(held[1])
        assert runners[0].in_flight == 0

    anyio.run(main, backend=backend)


@pytest.mark.parametrize("count", [10, 620])
def test_the_number_of_candidates_does_not_grow_with_the_fleet(count):
    """Guards against decisions whose cost grows with the number of runners."""

    async def main():
        runners = [view(f"r{number}", data_centre="ab"[number % 2]) for number in range(count)]
        dispatcher = scheduler.Dispatcher("m", lambda: runners, data_centre="a")
        for number in range(count):
            dispatcher.apply_cache_event(f"r{number}", "prefix", 500)
        work = item(prefix_runner="r3", prefix_tokens=900, shared_prefix="prefix")
        placed = await dispatcher.acquire(work)
        limit = 1 + placement.MAX_SHARED_HOLDERS + placement.SAMPLED_RUNNERS
        assert 1 < dispatcher.index.evaluated_candidates <= limit
        assert placed.runner.id == "r3"

    virtual_time.run(main)


def test_runners_that_are_down_leaving_or_excluded_get_nothing():
    """Guards against sending calls to unusable runners when all sampled ones are unusable."""

    async def main():
        runners = [view(f"r{number}", down=True) for number in range(100)]
        runners[40].down = False
        runners[41].down, runners[41].leaving = False, True
        runners[42].down = False
        dispatcher = scheduler.Dispatcher("m", lambda: runners)
        for _ in range(3):
            placed = await dispatcher.acquire(item(exclude={"r42"}))
            assert placed.runner.id == "r40"

    virtual_time.run(main)


def test_load_is_corrected_by_own_and_peers_sends():
    """Guards against choosing a runner whose report omits the calls sent to it since then."""

    async def main():
        runners = [view("r0"), view("r1")]
        dispatcher = scheduler.Dispatcher("m", lambda: runners)
        await anyio.sleep(1.0)
        dispatcher.load_reported("r0", clock.now())
        dispatcher.peers_sent("r0", clock.now() + 0.1, 5)
        dispatcher.peers_sent("r1", runners[1].reported_at - 1.0, 5)
        assert (runners[0].load(), runners[1].load()) == (5, 0)
        assert (await dispatcher.acquire(item())).runner.id == "r1"
        await anyio.sleep(1.0)
        dispatcher.load_reported("r0", clock.now())
        assert math.isclose(runners[0].load(), 0)

    virtual_time.run(main)


def test_engines_without_transfer_are_never_asked_to_export():
    """Guards against planning KV cache transfers that the engines do not support."""

    async def main():
        settings = models.Service(kind="model")
        runners = [view("r0", running=1), view("r1")]
        work = item(prefix_runner="r0", prefix_tokens=900)
        for moves, expected in ((False, ("", 0)), (True, ("r0", 900))):
            runners[0].queued = 0 if moves else 1
            runners[0].in_flight, runners[1].in_flight = 2, 0
            dispatcher = scheduler.from_service("m", settings, lambda: runners, kv_transfer=moves)
            placed = await dispatcher.acquire(work)
            assert (placed.export_from, placed.import_tokens) == expected
            assert dispatcher.retention.export is moves

    virtual_time.run(main)


def test_an_unknown_plug_in_is_refused_with_its_name():
    """Guards against a misspelt plug-in name that silently selects the default."""
    settings = models.Service(kind="model", ordering="longest-first")
    with pytest.raises(exceptions.SettingsInvalidError, match="longest-first"):
        scheduler.from_service("m", settings, list)
