"""Measure the CPU time of one scheduling decision for different numbers of runners."""

import dataclasses
import time

import anyio
import trio.testing

from dogwoodgap import clock, registry, scheduler, structures

RUNNER_COUNTS = (10, 620)
DECISIONS = 5_000
ROUNDS = 5
DATA_CENTRES = ("a", "b", "c")


@dataclasses.dataclass(frozen=True, slots=True)
class DecisionCost:
    """CPU time of one decision.

    Attributes
    ----------
    choose_us : float
        Ordering key of the call and choice of its runner, in microseconds.
    call_us : float
        A whole call: also admission, queue, accounting and the end of the call, in microseconds.
    candidates : float
        Mean number of runners that were compared for one call.
    """

    runners: int
    choose_us: float
    call_us: float
    candidates: float


def idle_runner_views(count: int) -> list[structures.RunnerView]:
    """Return views of idle runners, spread over three data centres."""
    return [
        structures.RunnerView(
            service="model",
            id=f"r{number}",
            address="",
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            slots=16,
            cache_tokens=200_000,
        )
        for number in range(count)
    ]


def make_work_item(number: int, runners: int) -> structures.WorkItem:
    """Return a call of one of 500 programs, with its prefix cached on one runner."""
    return structures.WorkItem(
        program=f"p{number % 500}",
        customer=f"c{number % 40}",
        service="model",
        profile="default",
        prompt_tokens=6_000,
        max_tokens=300,
        attained_tokens=number % 9_000,
        enqueued_at=0.0,
        deadline_at=clock.now() + 60.0,
        prefix_runner=f"r{number % runners}",
        prefix_tokens=5_000,
        shared_prefix="prefix:default",
    )


async def measure(runners: int) -> DecisionCost:
    """Return the best of several rounds, to exclude interference by other processes."""
    views = idle_runner_views(runners)
    dispatcher = scheduler.Dispatcher("model", lambda: views, data_centre="a")
    for number in range(4):
        dispatcher.apply_cache_event(f"r{number}", "prefix:default", 3_000)
    items = [make_work_item(number, runners) for number in range(DECISIONS)]
    dispatcher.index.refresh(views)
    choose_s = []
    call_s = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for work in items:
            dispatcher.ordering.key(work)
            dispatcher.placement.choose(work, dispatcher.index)
        choose_s.append(time.perf_counter() - started)
    evaluated = dispatcher.index.evaluated_candidates / (ROUNDS * DECISIONS)
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for work in items:
            granted = await dispatcher.acquire(work)
            dispatcher.call_finished(granted, 200, 5.0)
            dispatcher.release(granted)
        call_s.append(time.perf_counter() - started)
    scale = 1e6 / DECISIONS
    return DecisionCost(runners, min(choose_s) * scale, min(call_s) * scale, evaluated)


def run() -> list[DecisionCost]:
    """Measure with each number of runners, on virtual time."""
    registry.load()
    return [
        anyio.run(
            measure,
            runner_count,
            backend="trio",
            backend_options={"clock": trio.testing.MockClock(autojump_threshold=0)},
        )
        for runner_count in RUNNER_COUNTS
    ]


def markdown_table(costs: list[DecisionCost]) -> list[str]:
    """Return the lines of a Markdown table, one row per number of runners."""
    rows = [
        "| runners | choose (µs) | whole call (µs) | candidates |",
        "| --- | --- | --- | --- |",
    ]
    rows += [
        f"| {cost.runners} | {cost.choose_us:.1f} | {cost.call_us:.1f} | {cost.candidates:.1f} |"
        for cost in costs
    ]
    return rows
