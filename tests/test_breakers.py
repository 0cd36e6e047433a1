"""Tests for circuit breakers, adaptive concurrency and retry budgets."""

import anyio
import virtual_time

from dogwoodgap import breakers


def test_half_open_breaker_lets_one_probe_pass():
    """Guards against flooding a recovering runner, and a breaker stuck after a lost probe."""

    async def main():
        breaker = breakers.CircuitBreaker()
        for _ in range(breakers.FAILURES_TO_OPEN):
            assert breaker.admit()
            breaker.record_failure()
        assert not breaker.admit()
        await anyio.sleep(breakers.INITIAL_OPEN_S)
        assert breaker.admit()
        assert not breaker.admit()
        breaker.record_failure()
        await anyio.sleep(breakers.INITIAL_OPEN_S)
        assert not breaker.admit()
        await anyio.sleep(breakers.INITIAL_OPEN_S)
        assert breaker.admit()
        await anyio.sleep(breakers.PROBE_TIMEOUT_S)
        assert breaker.admit()
        breaker.record_success()
        assert breaker.admit()
        assert breaker.admit()

    virtual_time.run(main)


def test_late_failures_do_not_extend_an_open_breaker():
    """Guards against an open time that doubles with each failure of calls sent earlier."""

    async def main():
        breaker = breakers.CircuitBreaker()
        for _ in range(20):
            breaker.record_failure()
        await anyio.sleep(breakers.INITIAL_OPEN_S)
        assert breaker.admit()

    virtual_time.run(main)


def test_concurrency_finds_the_capacity_of_a_runner():
    """Guards against a limit that fails to decrease under queueing or to grow back."""

    async def main():
        limiter = breakers.AdaptiveConcurrency(32.0, 64.0)
        capacity = 8

        async def settle():
            for _ in range(400):
                in_flight = int(limiter.limit)
                latency_s = 0.1 * max(1.0, in_flight / capacity)
                await anyio.sleep(latency_s)
                limiter.record_finish(latency_s, in_flight)

        limiter.record_finish(0.1, 1)
        await settle()
        assert capacity <= limiter.limit <= 3 * capacity
        capacity = 24
        await settle()
        assert limiter.limit > 16
        limiter.record_finish(0.1, 1, refused=True)
        assert limiter.allows(0)

    virtual_time.run(main)


def test_retries_stay_a_share_of_traffic():
    """Guards against retries that multiply the load of an overloaded service."""
    budget = breakers.RetryBudget(share=0.1, burst=10.0)
    retries = 0
    for _ in range(1000):
        budget.record_first_attempt()
        retries += budget.take()
    assert 100 <= retries <= 111
