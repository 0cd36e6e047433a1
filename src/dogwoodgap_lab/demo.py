"""The demonstration: both deployments under load while nodes and the platform fail."""

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
LOAD_LIMIT_S = 45.0
TAKEOVER_AIM_S = 5.0
# A node that stops listens for its discovery TTL of 5 s; probes stay within it.
PLANNED_STOP = probes.Plan(duration_s=5.0, interval_s=0.2, tokens=60, lead_s=1.0, limit_s=25.0)
PROGRESS_INTERVAL_S = 2.0


@dataclasses.dataclass
class Demo:
    """The course of the demonstration and what it measures."""

    field: stage.FleetController
    seed: int
    load: load.Load
    found: oracle.Evidence = dataclasses.field(default_factory=oracle.Evidence)
    belt_stop: str = "not sent"
    killed_at: float = 0.0
    killed_programs: list[agents.Trace] = dataclasses.field(default_factory=list)

    async def run(self) -> None:
        """Run the load and the faults side by side."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.progress)
            async with anyio.create_task_group() as course:
                course.start_soon(self.run_load)
                course.start_soon(self.run_faults)
            tasks.cancel_scope.cancel()
        self.found.traces = self.load.traces
        await evidence.collect(self.field, self.found)

    async def run_load(self) -> None:
        """Run all programs, up to a limit."""
        with anyio.move_on_after(LOAD_LIMIT_S):
            await self.load.run(PROGRAMS, SPREAD_S)

    async def run_faults(self) -> None:
        """Kill a node, take the platform away and stop a node as planned."""
        begin = clock.now()
        await clock.sleep_until(begin + KILL_AT_S)
        killed = await self.kill()
        await clock.sleep_until(begin + OUTAGE_AT_S)
        await self.outage()
        await clock.sleep_until(begin + STOP_AT_S)
        await self.planned_stop((killed + 1) % self.field.layout.node_count)

    async def progress(self) -> None:
        """Print how far the programs are."""
        while True:
            await anyio.sleep(PROGRESS_INTERVAL_S)
            turns = sum(len(trace.calls) for trace in self.load.traces)
            self.field.log_event(
                f"programs: {self.load.started} started, {self.load.ended} ended, {turns} turns"
            )

    async def kill(self) -> int:
        """Kill the node whose programs have most calls in flight; return its index."""
        owned = await self.programs_by_node()
        counts = [sum(trace.waiting_since > 0 for trace in group) for group in owned]
        victim = counts.index(max(counts))
        self.killed_programs = owned[victim]
        self.killed_at = clock.wall_time()
        # The node stays away, so that its programs go on only if others take them over.
        self.field.path(victim, "gone").touch()
        self.field.send_signal(victim, signal.SIGKILL)
        self.field.log_event(
            f"{self.field.layout.node_name(victim)} killed with SIGKILL; it served "
            f"{len(owned[victim])} programs, {counts[victim]} of them in the middle of a request"
        )
        return victim

    async def programs_by_node(self) -> list[list[agents.Trace]]:
        """Return the open programs by the index of the node that owns them."""
        entries = self.field.layout.node_urls()
        by_customer = {item.name: item for item in self.field.layout.deployments}
        owned: list[list[agents.Trace]] = [[] for _ in entries]

        async def ask(trace: agents.Trace) -> None:
            entry = await load.owner(self.field, by_customer[trace.customer], trace.program)
            if entry in entries:
                owned[entries.index(entry)].append(trace)

        async with anyio.create_task_group() as tasks:
            for trace in self.load.open_traces():
                tasks.start_soon(ask, trace)
        return owned

    async def outage(self) -> None:
        """Take the platform away, and stop a belt meanwhile."""
        self.field.log_event(f"the platform is out for {OUTAGE_S:g} s")
        await self.field.set_platform_faults(outage=True)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.stop_belt)
            await anyio.sleep(OUTAGE_S)
        await self.field.set_platform_faults()
        self.field.log_event("the platform is back")

    async def stop_belt(self) -> None:
        """Stop a huller belt while the platform is out."""
        item = self.field.layout.deployments[0]
        started_at = clock.wall_time()
        try:
            result = await load.caller(self.field, item).act(
                item.plain_service, "belt-stop", {"belt": 3}, idempotent=True, urgent=True
            )
        except exceptions.DogwoodgapError as error:
            self.belt_stop = f"failed: {error.code}"
        else:
            self.belt_stop = verdict(result, clock.wall_time() - started_at)
        self.field.log_event(f"belt stop during the outage: {self.belt_stop}")

    async def planned_stop(self, index: int) -> None:
        """Stop a node with SIGTERM while requests go through it."""
        await probes.planned_stop(self.field, index, PLANNED_STOP, self.found)

    def takeover_s(self) -> list[float]:
        """Return how long each program of the killed node waited for its next answer."""
        waits = [load.progress_after(trace, self.killed_at) for trace in self.killed_programs]
        return sorted(wait for wait in waits if wait is not None)


def verdict(result: structures.ActionResult, seconds: float) -> str:
    """Return what the belt stop's caller was told."""
    if result.not_run == "false" and result.status == 200:
        return f"confirmed after {seconds * 1000:.0f} ms"
    return f"not confirmed: {result.detail or result.status}"


async def run(folder: pathlib.Path, seed: int) -> int:
    """Run the demonstration against a fleet; return the exit status."""
    begin = clock.now()
    async with stage.open_fleet(folder) as field:
        field.log_event(
            f"{field.layout.node_count} nodes are ready, configured and share the shards"
        )
        demo = Demo(field, seed, load.Load(field, seed, PAUSE_S))
        await demo.run()
        broken = oracle.verify(demo.found)
        measures = await report.measure(field, demo.load)
        waits = demo.takeover_s()
        rows = [
            *measures,
            report.Row("killed node: programs it served", str(len(demo.killed_programs))),
            report.Row("killed node: longest wait to go on", report.seconds(waits[-1:])),
            report.Row("killed node: aim", f"{TAKEOVER_AIM_S:g} s"),
            report.Row("belt stop during the outage", demo.belt_stop),
            *report.counts(demo.found),
            report.Row("duration", f"{clock.now() - begin:.1f} s"),
        ]
        report.show(rows, broken)
        is_right = not any(broken.values()) and demo.belt_stop.startswith("confirmed")
        return 0 if is_right and not report.unfinished(demo.load) else 1
