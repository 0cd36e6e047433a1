"""``dogwoodgap-lab check``: random faults under load, then every rule against the evidence."""

import pathlib

import anyio

from dogwoodgap import clock
from dogwoodgap_lab import agents, chaos, evidence, load, oracle, report, stage

PROGRAMS_PER_S = 2.0
PAUSE_S = 2.0
TIGHT_BUDGETS = 0.2
SETTLE_LIMIT_S = 90.0
PROGRESS_INTERVAL_S = 5.0


async def run(folder: pathlib.Path, seed: int, seconds: float) -> int:
    """Run the load and the faults, verify the rules and return the exit status."""
    begin = clock.now()
    found = oracle.Evidence()
    async with stage.open_fleet(folder) as field:
        field.log_event(f"{field.layout.node_count} nodes are ready; seed {seed}")
        done = load.Load(field, seed, PAUSE_S, TIGHT_BUDGETS)
        await disturb(field, done, found, seed, seconds)
        found.traces = done.traces
        await evidence.collect(field, found)
        broken = oracle.verify(found)
        broken["settled"] = [
            f"{trace.program or trace.name} did not end" for trace in unsettled(done)
        ]
        rows = [
            *await report.measure(field, done),
            *report.counts(found),
            report.Row("configuration changes accepted", str(len(found.accepted))),
            report.Row("faults", str(len(field.events))),
            report.Row("duration", f"{clock.now() - begin:.1f} s"),
        ]
        report.show(rows, broken)
        report.show_errors(done)
        for faults in broken.values():
            for text in faults[: report.MAX_SHOWN]:
                report.explain(field, found, text)
    return 1 if any(broken.values()) else 0


async def disturb(
    field: stage.FleetController, done: load.Load, found: oracle.Evidence, seed: int, seconds: float
) -> None:
    """Run programs while faults happen, switch the faults off and wait for the programs."""
    async with anyio.create_task_group() as tasks:
        disorder = chaos.Chaos(field, done, found, tasks)
        with disorder.noting("start"):
            await disorder.arm()
        tasks.start_soon(disorder.watch_generations)
        tasks.start_soon(progress, field, done)
        finished = anyio.Event()

        async def run_load() -> None:
            await done.run(int(seconds * PROGRAMS_PER_S), seconds)
            finished.set()

        tasks.start_soon(run_load)
        await disorder.run(seed, seconds)
        with disorder.noting("end of the faults"):
            await disorder.calm()
        with anyio.move_on_after(SETTLE_LIMIT_S):
            await finished.wait()
        tasks.cancel_scope.cancel()


async def progress(field: stage.FleetController, done: load.Load) -> None:
    """Print how far the programs are."""
    while True:
        await anyio.sleep(PROGRESS_INTERVAL_S)
        field.log_event(f"programs: {done.started} started, {done.ended} ended")


def unsettled(done: load.Load) -> list[agents.Trace]:
    """Return the programs that still ran when the time to settle was over."""
    return [trace for trace in done.traces if not trace.finished_at and not trace.error]
