"""``dogwoodgap-lab demo``: run both deployments while nodes and the platform fail."""

import dataclasses
import pathlib
import signal

import anyio

from dogwoodgap import clock, exceptions, structures
from dogwoodgap_lab import agents, evidence, load, oracle, probes, report, stage

PROGRAMS = 56
SPREAD_S = 16.0
PAUSE_S = 1.5
KILL_AT_S = 5.0
OUTAGE_AT_S = 11.0
OUTAGE_S = 3.0
STOP_AT_S = 16.0
LOAD_TIMEOUT_S = 45.0
TAKEOVER_TARGET_S = 5.0
# A stopping node listens for its discovery TTL of 5 s; all probes are sent within it.
PLANNED_STOP = probes.ProbePlan(duration_s=5.0, interval_s=0.2, tokens=60, lead_s=1.0, limit_s=25.0)
PROGRESS_INTERVAL_S = 2.0


@dataclasses.dataclass
class Demo:
    """Runs the demonstration and records its measurements.

    Attributes
    ----------
    belt_stop : str
        Result of the urgent action during the platform outage.
    killed_at : float
        Wall time at which a node was killed.
    killed_programs : list of Trace
        Programs that the killed node owned.
    """

    controller: stage.FleetController
    seed: int
    load: load.LoadGenerator
    evidence: oracle.Evidence = dataclasses.field(default_factory=oracle.Evidence)
    belt_stop: str = "not sent"
    killed_at: float = 0.0
    killed_programs: list[agents.Trace] = dataclasses.field(default_factory=list)

    async def run(self) -> None:
        """Run the load and the faults concurrently, then collect the evidence."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.print_progress)
            async with anyio.create_task_group() as phases:
                phases.start_soon(self.run_load)
                phases.start_soon(self.run_faults)
            tasks.cancel_scope.cancel()
        self.evidence.traces = self.load.traces
        await evidence.collect(self.controller, self.evidence)

    async def run_load(self) -> None:
        """Run all programs for at most ``LOAD_TIMEOUT_S``."""
        with anyio.move_on_after(LOAD_TIMEOUT_S):
            await self.load.run(PROGRAMS, SPREAD_S)

    async def run_faults(self) -> None:
        """Kill a node, make the platform unavailable, and stop another node with SIGTERM."""
        started = clock.now()
        await clock.sleep_until(started + KILL_AT_S)
        killed = await self.kill_node()
        await clock.sleep_until(started + OUTAGE_AT_S)
        await self.run_outage()
        await clock.sleep_until(started + STOP_AT_S)
        await self.stop_node((killed + 1) % self.controller.layout.node_count)

    async def print_progress(self) -> None:
        """Print the numbers of programs and turns periodically."""
        while True:
            await anyio.sleep(PROGRESS_INTERVAL_S)
            turns = sum(len(trace.calls) for trace in self.load.traces)
            self.controller.log_event(
                f"programs: {self.load.started} started, {self.load.ended} ended, {turns} turns"
            )

    async def kill_node(self) -> int:
        """Kill the node with the most requests in flight and return its index."""
        traces_by_node = await self.programs_by_node()
        counts = [sum(trace.waiting_since > 0 for trace in group) for group in traces_by_node]
        killed_index = counts.index(max(counts))
        self.killed_programs = traces_by_node[killed_index]
        self.killed_at = clock.wall_time()
        # Keeps fleet.sh from restarting the node: its programs continue only after a takeover.
        self.controller.path(killed_index, "gone").touch()
        self.controller.send_signal(killed_index, signal.SIGKILL)
        self.controller.log_event(
            f"{self.controller.layout.node_name(killed_index)} killed with SIGKILL; it served "
            f"{len(traces_by_node[killed_index])} programs, "
            f"{counts[killed_index]} of them in the middle of a request"
        )
        return killed_index

    async def programs_by_node(self) -> list[list[agents.Trace]]:
        """Return the traces of open programs by the index of the owning node."""
        entries = self.controller.layout.node_urls()
        by_customer = {item.name: item for item in self.controller.layout.deployments}
        traces_by_node: list[list[agents.Trace]] = [[] for _ in entries]

        async def ask(trace: agents.Trace) -> None:
            entry = await load.owner_url(
                self.controller, by_customer[trace.customer], trace.program
            )
            if entry in entries:
                traces_by_node[entries.index(entry)].append(trace)

        async with anyio.create_task_group() as tasks:
            for trace in self.load.open_traces():
                tasks.start_soon(ask, trace)
        return traces_by_node

    async def run_outage(self) -> None:
        """Make the platform unavailable, and send the action that stops a belt meanwhile."""
        self.controller.log_event(f"the platform is unavailable for {OUTAGE_S:g} s")
        await self.controller.set_platform_faults(outage=True)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.stop_belt)
            await anyio.sleep(OUTAGE_S)
        await self.controller.set_platform_faults()
        self.controller.log_event("the platform is available again")

    async def stop_belt(self) -> None:
        """Stop a huller belt by an urgent action and record its result."""
        deployment = self.controller.layout.deployments[0]
        started_at = clock.wall_time()
        try:
            result = await load.create_client(self.controller, deployment).act(
                deployment.plain_service, "belt-stop", {"belt": 3}, idempotent=True, urgent=True
            )
        except exceptions.DogwoodgapError as error:
            self.belt_stop = f"failed: {error.code}"
        else:
            self.belt_stop = describe_result(result, clock.wall_time() - started_at)
        self.controller.log_event(f"belt stop during the outage: {self.belt_stop}")

    async def stop_node(self, index: int) -> None:
        """Stop a node with SIGTERM while probes go through it."""
        await probes.stop_with_probes(self.controller, index, PLANNED_STOP, self.evidence)

    def takeover_s(self) -> list[float]:
        """Return how long the programs of the killed node waited for their next answer, sorted."""
        waits = [load.next_response_wait_s(trace, self.killed_at) for trace in self.killed_programs]
        return sorted(wait for wait in waits if wait is not None)


def describe_result(result: structures.ActionResult, seconds: float) -> str:
    """Describe the result of the belt stop."""
    if result.not_run == "false" and result.status == 200:
        return f"confirmed after {seconds * 1000:.0f} ms"
    return f"not confirmed: {result.detail or result.status}"


async def run(folder: pathlib.Path, seed: int) -> int:
    """Run the demonstration against a running fleet and return the exit status."""
    started = clock.now()
    async with stage.open_fleet(folder) as controller:
        controller.log_event(
            f"{controller.layout.node_count} nodes are ready, configured and share the shards"
        )
        demo = Demo(controller, seed, load.LoadGenerator(controller, seed, PAUSE_S))
        await demo.run()
        broken = oracle.verify(demo.evidence)
        rows_measured = await report.measure(controller, demo.load)
        waits = demo.takeover_s()
        rows = [
            *rows_measured,
            report.Row("killed node: programs it owned", str(len(demo.killed_programs))),
            report.Row(
                "killed node: longest wait for an answer", report.format_seconds(waits[-1:])
            ),
            report.Row("killed node: target", f"{TAKEOVER_TARGET_S:g} s"),
            report.Row("belt stop during the outage", demo.belt_stop),
            *report.counts(demo.evidence),
            report.Row("duration", f"{clock.now() - started:.1f} s"),
        ]
        report.print_report(rows, broken)
        passed = not any(broken.values()) and demo.belt_stop.startswith("confirmed")
        return 0 if passed and not report.failed_or_unfinished(demo.load) else 1
