"""Turns at a gate: a burst is played and what callers get is compared with no gate."""

import heapq

import anyio
import pytest
import virtual_time

from dogwoodgap import exceptions, gate, pacing

SLOTS = 16
PROGRAMS = 130


def test_share_bounds_the_turns_of_a_node():
    """Guards against more turns at the engines than they run well."""

    async def main():
        limiter = gate.ConcurrencyLimiter()
        limiter.resize(SLOTS, nodes=2, in_flight=SLOTS)
        admitted = 0
        for _ in range(30):
            try:
                with anyio.fail_after(0):
                    await limiter.acquire(pacing.TurnPriority.NEW)
                admitted += 1
            except (TimeoutError, exceptions.OverloadedError):
                break
        assert admitted == pytest.approx(SLOTS * gate.TURNS_PER_SLOT / 2, abs=1)

    virtual_time.run(main)


def test_node_may_exceed_its_share_while_others_are_idle():
    """Guards against waiting turns beside free slots."""

    async def main():
        limiter = gate.ConcurrencyLimiter()
        for _ in range(int(SLOTS * gate.BORROWING_UTILIZATION)):
            limiter.resize(SLOTS, nodes=4, in_flight=limiter.running)
            await limiter.acquire(pacing.TurnPriority.NEW)
        assert limiter.running == int(SLOTS * gate.BORROWING_UTILIZATION)

    virtual_time.run(main)


def test_turns_under_way_go_before_new_and_late_ones():
    """Guards against programs that are given up after most of their work is done."""

    async def main():
        limiter = gate.ConcurrencyLimiter()
        await limiter.acquire(pacing.TurnPriority.NEW)
        order = []

        async def wait(priority):
            await limiter.acquire(priority)
            order.append(priority)
            limiter.release()

        async with anyio.create_task_group() as tasks:
            for priority in (
                pacing.TurnPriority.LATE,
                pacing.TurnPriority.NEW,
                pacing.TurnPriority.UNDER_WAY,
            ):
                tasks.start_soon(wait, priority)
            await anyio.wait_all_tasks_blocked()
            limiter.release()
        assert order == sorted(order)
        assert limiter.running == 0

    virtual_time.run(main)


def test_new_program_is_refused_early_with_a_time_to_return():
    """Guards against callers that wait for nothing, and against a place that leaks."""

    async def main():
        limiter = gate.ConcurrencyLimiter()
        await limiter.acquire(pacing.TurnPriority.NEW)
        started = anyio.current_time()
        with pytest.raises(exceptions.OverloadedError) as caught:
            await limiter.acquire(pacing.TurnPriority.NEW)
        assert anyio.current_time() - started <= gate.MAX_WAIT_S[pacing.TurnPriority.NEW] + 0.01
        assert (caught.value.not_run, caught.value.retry_after_s > 0) == ("true", True)
        limiter.release()
        await limiter.acquire(pacing.TurnPriority.NEW)
        assert limiter.running == 1

    virtual_time.run(main)


def test_caller_that_leaves_while_waiting_gives_its_place_up():
    """Guards against places of callers that are gone."""

    async def main():
        limiter = gate.ConcurrencyLimiter()
        await limiter.acquire(pacing.TurnPriority.NEW)
        with anyio.move_on_after(0.01):
            await limiter.acquire(pacing.TurnPriority.UNDER_WAY)
        limiter.release()
        assert limiter.running == 0

    virtual_time.run(main)


class Engine:
    """Runs up to its slots at once; each turn takes longer the more run beside it."""

    def __init__(self):
        self.running = 0
        self.waiting = []
        self.count = 0

    async def turn(self):
        """Run one turn of 0.2 s on an idle engine and 0.3 s on a full one, as the sheets say."""
        self.count += 1
        if self.running >= SLOTS:
            event = anyio.Event()
            heapq.heappush(self.waiting, (self.count, event))
            await event.wait()
        self.running += 1
        for _ in range(10):
            await anyio.sleep(0.02 * (1 + 0.5 * self.running / SLOTS))
        self.running -= 1
        if self.waiting:
            heapq.heappop(self.waiting)[1].set()


async def play_burst(limited):
    """Play programs of 4 turns at twice the capacity for 5 s; return those in time."""
    engine = Engine()
    limiter = gate.ConcurrencyLimiter()
    in_time = []
    ends = []

    async def program():
        started = anyio.current_time()
        timing = pacing.ProgramTiming(started, started + 4 * 0.24 * 1.7 + 0.2)
        for number in range(4):
            while limited:
                limiter.resize(SLOTS, nodes=1, in_flight=limiter.running)
                try:
                    await limiter.acquire(pacing.turn_priority(timing, 4, anyio.current_time()))
                    break
                except exceptions.OverloadedError as error:
                    await anyio.sleep(error.retry_after_s)
            await engine.turn()
            if limited:
                limiter.release()
            timing.turns = number + 1
            await anyio.sleep(0.04)
        ends.append(anyio.current_time())
        in_time.append(anyio.current_time() <= timing.finish_at)

    async with anyio.create_task_group() as tasks:
        for _ in range(PROGRAMS):
            tasks.start_soon(program)
            await anyio.sleep(5 / PROGRAMS)
    assert len(ends) == PROGRAMS
    return sum(in_time)


def test_more_programs_end_in_time_in_a_burst():
    """Plays the load that the gate answers: all programs end, and more of them in time."""

    async def main():
        unlimited_count = await play_burst(limited=False)
        limited_count = await play_burst(limited=True)
        assert limited_count >= 1.3 * unlimited_count

    virtual_time.run(main)
