"""The simulated engine and the repeatability of experiments."""

import anyio
import pytest
import virtual_time

from dogwoodgap import clock
from dogwoodgap_lab import engine_model, simulation, strategies, workload


def test_an_experiment_repeats_exactly():
    """Guards against results that depend on the order in which ready tasks run."""
    results = [
        simulation.simulate(
            workload.LAKESHORE, strategies.FULL, 1.0, seed=3, horizon_s=200.0, warmup_s=50.0
        )
        for _ in range(2)
    ]
    assert results[0] == results[1]
    assert results[0].programs > 20


def test_every_token_second_of_memory_is_counted_once():
    """Guards against wasted memory that is not counted or counted twice."""

    async def main():
        memory = engine_model.MemoryTokenSeconds(0.0, 100.0)
        speed = engine_model.EngineSpeed(
            slots=1, memory_tokens=2_048, decode_slowdown=0.0, prefill_slowdown=0.0
        )
        runner = engine_model.SimulatedRunner("r", speed, memory)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(runner.run)
            await anyio.sleep(0.0)

            async def call(session, prompt, output):
                request = engine_model.SimulatedRequest(session, prompt, output)
                runner.submit(request)
                await request.done.wait()
                return request

            await call("a", 800, 224)  # 1,024 tokens, 0.1 s + 4.48 s
            first_end = clock.now()
            await anyio.sleep(10.0)
            again = await call("a", 1_024, 0)
            assert again.cached_tokens == 1_024
            await anyio.sleep(5.0)
            runner.mark_session_ended("a")
            await anyio.sleep(7.0)
            assert runner.release("a") == 1_024
            tasks.cancel_scope.cancel()
        assert memory.running == pytest.approx(1_024 * first_end)
        assert memory.reused == pytest.approx(1_024 * 10.0)
        assert memory.unused == pytest.approx(1_024 * 5.0)
        assert memory.ended == pytest.approx(1_024 * 7.0)
        assert runner.used_tokens == 0

    virtual_time.run(main)


def test_engine_queue_follows_priority_and_batches_slow_down():
    """Guards against a simulated engine without the effects that strategies rely on."""

    async def main():
        memory = engine_model.MemoryTokenSeconds()
        speed = engine_model.EngineSpeed(slots=2, decode_slowdown=0.5, prefill_slowdown=0.0)
        runner = engine_model.SimulatedRunner("r", speed, memory)
        ended = {}

        async def call(name, priority):
            request = engine_model.SimulatedRequest(name, 0, 100, priority=priority)
            runner.submit(request)
            await request.done.wait()
            ended[name] = clock.now()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(runner.run)
            async with anyio.create_task_group() as callers:
                for name, priority in (("a", 0), ("b", 0)):
                    callers.start_soon(call, name, priority)
                await anyio.sleep(0.5)
                for name, priority in (("late", 9), ("early", 1), ("middle", 5)):
                    callers.start_soon(call, name, priority)
            tasks.cancel_scope.cancel()
        # 100 tokens at 50 tokens/s take 2 s alone and 2 s * (1 + 0.5 * 2) in a batch of two.
        assert ended["a"] == pytest.approx(4.0)
        assert ended["early"] == pytest.approx(8.0)
        assert ended["middle"] == pytest.approx(8.0)
        assert ended["late"] > ended["middle"]

    virtual_time.run(main)


def test_running_requests_share_memory_with_the_cache():
    """Guards against a cache that ignores the memory of running requests."""

    async def main():
        speed = engine_model.EngineSpeed(slots=4, memory_tokens=1_024)
        runner = engine_model.SimulatedRunner("r", speed, engine_model.MemoryTokenSeconds())
        requests = [engine_model.SimulatedRequest(f"s{number}", 500, 12) for number in range(3)]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(runner.run)
            for request in requests:
                runner.submit(request)
            assert [request.started_at >= 0 for request in requests] == [True, True, False]
            await requests[2].done.wait()
            assert runner.used_tokens <= 1_024
            tasks.cancel_scope.cancel()

    virtual_time.run(main)
