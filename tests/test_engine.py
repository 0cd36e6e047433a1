"""The fake model engine: priorities, cache limit, cancellation, resumption and faults."""

import contextlib

import anyio
import pytest
import virtual_time

from dogwoodgap import exceptions
from dogwoodgap_lab import engine, faults


@contextlib.asynccontextmanager
async def running(**options):
    """Run an engine's step loop around a test."""
    runner = engine.Engine(**options)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(runner.run)
        yield runner
        tasks.cancel_scope.cancel()


def request(name: str, words: int = 10, **options) -> engine.EngineRequest:
    options.setdefault("max_tokens", 5)
    return engine.EngineRequest(name, [name] * words, session=name, **options)


async def text_of(runner: engine.Engine, generation_request: engine.EngineRequest) -> list[str]:
    return [token.text async for token in runner.generate(generation_request) if token.text]


def test_lower_priority_number_runs_first():
    """Guards against an engine that ignores the priorities set by the scheduler."""

    async def main():
        order = []

        async def one(runner, generation_request):
            await text_of(runner, generation_request)
            order.append(generation_request.request_id)

        async with running(slots=1) as runner, anyio.create_task_group() as tasks:
            tasks.start_soon(one, runner, request("first"))
            await anyio.sleep(0.01)
            tasks.start_soon(one, runner, request("batch", priority=9))
            await anyio.sleep(0.01)
            tasks.start_soon(one, runner, request("urgent", priority=1))
        assert order == ["first", "urgent", "batch"]

    virtual_time.run(main)


def test_cache_evicts_the_least_recently_used_session_at_its_limit():
    """Guards against a cache without a limit, which would hide wasted memory."""

    async def main():
        async with running(cache_tokens=40) as runner:
            for name in ("a", "b", "a", "c"):
                await text_of(runner, request(name))
            assert [item.session for item in runner.cache.sessions()] == ["a", "c"]
            assert runner.cached_tokens() <= 40
            assert runner.cache.wasted_token_s > 0.0

    virtual_time.run(main)


def test_cancel_and_disconnect_free_memory():
    """Guards against memory that stays reserved for requests that have been cancelled."""

    async def main():
        async with running(slots=1) as runner, anyio.create_task_group() as tasks:
            tasks.start_soon(text_of, runner, request("cancelled", max_tokens=10_000))
            await anyio.sleep(1.0)
            with anyio.move_on_after(1.0):
                await text_of(runner, request("gone", max_tokens=10_000))
            assert runner.cache.reserved_tokens == 10_010
            assert runner.cancel("cancelled")
            assert runner.cache.reserved_tokens == 0
            assert not runner.waiting
            assert not runner.running

    virtual_time.run(main)


def test_resume_continues_the_same_text_on_another_engine():
    """Guards against a resumed completion that differs from the uninterrupted one."""

    async def main():
        async with running() as runner, running(tokens_per_step=3) as other:
            whole = await text_of(runner, request("x", max_tokens=20))
            rest = await text_of(other, request("x", max_tokens=20, resume_from=7))
            assert whole[7:] == rest

    virtual_time.run(main)


def test_crash_breaks_streams_and_refuses_until_the_restart():
    """Guards against a crash that leaves other requests of the runner running."""

    async def main():
        fault_injector = faults.FaultInjector(
            0, faults.RunnerFaults(crash_marker="boom", restart_s=5.0)
        )
        async with (
            running(fault_injector=fault_injector) as runner,
            anyio.create_task_group() as tasks,
        ):

            async def bystander():
                with pytest.raises(exceptions.RunnerFailedError):
                    await text_of(runner, request("x", max_tokens=1000))

            tasks.start_soon(bystander)
            await anyio.sleep(1.0)
            with pytest.raises(exceptions.RunnerUnreachableError):
                await text_of(runner, request("boom"))
            await anyio.sleep(5.0)
            assert len(await text_of(runner, request("y"))) == 5

    virtual_time.run(main)


def test_cache_events_are_delayed_or_lost_and_load_reports_lag():
    """Guards against a fake engine with more reliable reports than real engines."""

    async def main():
        chosen = faults.RunnerFaults(load_lag_s=0.5, event_delay_s=2.0, event_loss=0.5)
        async with running(fault_injector=faults.FaultInjector(1, chosen)) as runner:
            for number in range(8):
                await text_of(runner, request(f"s{number}"))
            assert runner.load().running == 1
            assert runner.load().age_s == 0.5
            assert runner.cache.events_since(0).cursor < 8
            await anyio.sleep(2.0)
            page = runner.cache.events_since(0)
            assert page.cursor <= 8
            assert 0 < len(page.events) < 8

    virtual_time.run(main)
