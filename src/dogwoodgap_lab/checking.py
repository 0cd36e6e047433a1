"""``dogwoodgap-lab check``: run programs under random faults, then verify the oracle's rules."""

import pathlib

import anyio

from dogwoodgap import clock
from dogwoodgap_lab import agents, chaos, evidence, load, oracle, report, stage

PROGRAMS_PER_S = 2.0
MEAN_PAUSE_S = 2.0
TIGHT_BUDGET_SHARE = 0.2
SETTLE_TIMEOUT_S = 90.0
PROGRESS_INTERVAL_S = 5.0


async def run(folder: pathlib.Path, seed: int, seconds: float) -> int:
    """Run the load and the faults, verify the rules and return the exit status.

    The status is 1 if a rule is broken or a program has not ended.
    """
    begin = clock.now()
    run_evidence = oracle.Evidence()
    async with stage.open_fleet(folder) as controller:
        controller.log_event(f"{controller.layout.node_count} nodes are ready; seed {seed}")
        generator = load.LoadGenerator(controller, seed, MEAN_PAUSE_S, TIGHT_BUDGET_SHARE)
        await run_with_faults(controller, generator, run_evidence, seed, seconds)
        run_evidence.traces = generator.traces
        await evidence.collect(controller, run_evidence)
        broken = oracle.verify(run_evidence)
        broken["settled"] = [
            f"{trace.program or trace.name} did not end" for trace in unfinished_traces(generator)
        ]
        rows = [
            *await report.measure(controller, generator),
            *report.counts(run_evidence),
            report.Row("configuration changes accepted", str(len(run_evidence.accepted))),
            report.Row("faults", str(len(controller.events))),
            report.Row("duration", f"{clock.now() - begin:.1f} s"),
        ]
        report.print_report(rows, broken)
        report.print_errors(generator)
        for faults in broken.values():
            for text in faults[: report.MAX_FAULTS_SHOWN]:
                report.print_traces(controller, run_evidence, text)
    return 1 if any(broken.values()) else 0


async def run_with_faults(
    controller: stage.FleetController,
    generator: load.LoadGenerator,
    run_evidence: oracle.Evidence,
    seed: int,
    seconds: float,
) -> None:
    """Run programs under faults, then clear the faults and wait for the programs to end."""
    async with anyio.create_task_group() as tasks:
        chaos_run = chaos.Chaos(controller, generator, run_evidence, tasks)
        with chaos_run.record_timeouts("start"):
            await chaos_run.set_crash_marker()
        tasks.start_soon(chaos_run.watch_generations)
        tasks.start_soon(print_progress, controller, generator)
        finished = anyio.Event()

        async def run_load() -> None:
            await generator.run(int(seconds * PROGRAMS_PER_S), seconds)
            finished.set()

        tasks.start_soon(run_load)
        await chaos_run.run(seed, seconds)
        with chaos_run.record_timeouts("end of the faults"):
            await chaos_run.clear_faults()
        with anyio.move_on_after(SETTLE_TIMEOUT_S):
            await finished.wait()
        tasks.cancel_scope.cancel()


async def print_progress(controller: stage.FleetController, generator: load.LoadGenerator) -> None:
    """Print the number of started and ended programs periodically."""
    while True:
        await anyio.sleep(PROGRESS_INTERVAL_S)
        controller.log_event(f"programs: {generator.started} started, {generator.ended} ended")


def unfinished_traces(generator: load.LoadGenerator) -> list[agents.Trace]:
    """Return the traces of programs that were still running after ``SETTLE_TIMEOUT_S``."""
    return [trace for trace in generator.traces if not trace.finished_at and not trace.error]
