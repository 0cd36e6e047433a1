"""Concurrency limit of turns, and a simulated burst with and without it."""

import heapq

import anyio
import pytest
import virtual_time

from dogwoodgap import exceptions, gate, pacing

SLOTS = 16
PROGRAMS = 130


def test_node_is_limited_to_its_share():
    """Guards against a node that admits more turns than its share of the slots."""

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
    """Guards against turns that queue while engine slots are free."""

    async def main():
        limiter = gate.ConcurrencyLimiter()
        for _ in range(int(SLOTS * gate.BORROWING_UTILIZATION)):
            limiter.resize(SLOTS, nodes=4, in_flight=limiter.running)
            await limiter.acquire(pacing.TurnPriority.NEW)
        assert limiter.running == int(SLOTS * gate.BORROWING_UTILIZATION)

    virtual_time.run(main)


def test_running_programs_are_admitted_before_new_and_late_ones():
    """Guards against new programs taking the slots of programs whose work is mostly done."""

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


def test_new_program_is_refused_early_with_a_retry_delay():
    """Guards against a long wait before a refusal, and a refused turn that stays counted."""

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


def test_cancelled_waiter_is_not_admitted():
    """Guards against admitting the turn of a caller that has disconnected."""

    async def main():
        limiter = gate.ConcurrencyLimiter()
        await limiter.acquire(pacing.TurnPriority.NEW)
        with anyio.move_on_after(0.01):
            await limiter.acquire(pacing.TurnPriority.UNDER_WAY)
        limiter.release()
        assert limiter.running == 0

    virtual_time.run(main)


class Engine:
    """Simulated engine with SLOTS slots; turns slow down as more of them run concurrently."""

    def __init__(self):
        self.running = 0
        self.waiting = []
        self.count = 0

    async def turn(self):
        """Run one turn: 0.2 s on an idle engine, 0.3 s on a full one."""
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


async def simulate_burst(limited):
    """Simulate 5 s of 4-turn programs at twice the capacity; return how many end in time."""
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


def test_limit_increases_programs_that_end_in_time_in_a_burst():
    """Guards against a limiter that starves programs, so that a burst ends no better with it."""

    async def main():
        unlimited_count = await simulate_burst(limited=False)
        limited_count = await simulate_burst(limited=True)
        assert limited_count >= 1.3 * unlimited_count

    virtual_time.run(main)
