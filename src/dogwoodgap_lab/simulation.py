"""Simulation of a workload on real dispatchers and simulated engines, in virtual time."""

import dataclasses

import anyio
import anyio.abc
import anyio.lowlevel
import numpy as np
import trio
import trio.testing

from dogwoodgap import adapters, clock, exceptions, structures
from dogwoodgap_lab import direct_adapter, engine_model, figures, fleet, strategies, workload

IDLE_LIMIT_S = 300.0
MAX_REPEATS = 8
MAX_REFUSALS = 40
WALL_START_S = 1_800_000_000.0
UNLIMITED_MEMORY_TOKENS = 100_000_000


@dataclasses.dataclass(slots=True)
class ProgramTree:
    """The service that a program and its helpers have received so far."""

    attained_tokens: int = 0
    started_at: float = 0.0


class Simulation:
    """Runs programs against dispatchers and collects the results.

    Parameters
    ----------
    horizon_s : float
        Time of the last arrival; all programs run to their end.
    warmup_s : float
        Start of the measurement; earlier arrivals and memory held earlier are not counted.
    concurrency : int
        Number of concurrent programs of a closed loop; 0 means open-loop arrivals.
    """

    def __init__(
        self,
        deployment: workload.Deployment,
        strategy: strategies.Strategy,
        load: float,
        *,
        seed: int = 1,
        horizon_s: float = 2_400.0,
        warmup_s: float = 300.0,
        concurrency: int = 0,
    ):
        self.deployment = deployment
        self.strategy = strategy
        self.concurrency = concurrency
        self.horizon_s = horizon_s
        self.warmup_s = warmup_s
        self.programs = workload.generate(deployment, load, horizon_s, seed)
        self.memory = engine_model.MemoryTokenSeconds(warmup_s, horizon_s)
        self.fleet = fleet.Fleet(deployment, strategy, self.memory, seed)
        self.outcomes: list[figures.Outcome] = []
        self.calls = 0
        self.refused = 0
        self.missed_deadlines = 0
        self.completed_in_window = 0
        self.busy_s = 0.0

    async def run(self) -> None:
        """Run all programs to their end."""
        clock.set_wall_time(WALL_START_S)
        self.started_at = clock.now()
        self.memory.window_start += self.started_at
        self.memory.window_end += self.started_at
        async with anyio.create_task_group() as background:
            background.start_soon(self.fleet.run)
            background.start_soon(self.record_busy_time)
            await anyio.lowlevel.checkpoint()
            async with anyio.create_task_group() as callers:
                if self.concurrency:
                    await self.run_closed_loop(callers)
                else:
                    await self.run_open_loop(callers)
            background.cancel_scope.cancel()
        for runner in self.fleet.runners.values():
            runner.close()

    async def record_busy_time(self) -> None:
        """Record the busy time of the runners at the horizon."""
        await clock.sleep_until(self.started_at + self.horizon_s)
        self.busy_s = sum(runner.busy_s for runner in self.fleet.runners.values())

    async def run_open_loop(self, callers: anyio.abc.TaskGroup) -> None:
        """Start each program at its arrival time."""
        for program in self.programs:
            await clock.sleep_until(self.started_at + program.arrives_at)
            callers.start_soon(self.run_root_program, program)

    async def run_closed_loop(self, callers: anyio.abc.TaskGroup) -> None:
        """Start a program whenever another one ends, until the horizon."""
        remaining = iter(self.programs)

        async def worker() -> None:
            for program in remaining:
                if clock.now() - self.started_at >= self.horizon_s:
                    return
                await self.run_root_program(program)

        for _ in range(self.concurrency):
            callers.start_soon(worker)

    # Callers

    async def run_root_program(self, program: workload.ProgramSpec) -> None:
        """Run a root program and record its outcome."""
        arrived = clock.now()
        failed = False
        try:
            await self.run_program(program, ProgramTree(started_at=clock.wall_time()))
        except exceptions.OverloadedError:
            failed = True
        ended = clock.now() - self.started_at
        if self.warmup_s <= ended <= self.horizon_s:
            self.completed_in_window += 1
        counted = (
            program.arrives_at >= self.warmup_s and not program.abandoned and not program.looping
        )
        self.outcomes.append(
            figures.Outcome(
                program.customer,
                program.profile,
                clock.now() - arrived,
                program.ideal_s(),
                counted,
                failed,
            )
        )

    async def run_program(self, program: workload.ProgramSpec, tree: ProgramTree) -> None:
        """Run the turns of a program and end it unless it is abandoned."""
        node = self.fleet.owner(f"{program.customer}/{program.id}")
        try:
            await self.run_turns(node, program, tree)
        finally:
            for runner in self.fleet.runners.values():
                runner.mark_session_ended(f"{program.customer}/{program.id}")
        if not program.abandoned:
            self.fleet.execute(node.dispatcher.program_ended(program.customer, program.id))

    async def run_turns(
        self, node: fleet.Node, program: workload.ProgramSpec, tree: ProgramTree
    ) -> None:
        """Run the turns of a program with their tools and helpers."""
        context_tokens = program.shared_tokens
        repeats = 0
        last = len(program.turns) - 1
        for number, turn in enumerate(program.turns):
            work_item = self.work_item(program, tree, context_tokens, turn, number)
            await self.call(node, program, work_item, turn)
            context_tokens += turn.new_tokens + turn.output_tokens
            tree.attained_tokens += turn.new_tokens + turn.output_tokens
            repeats = repeats + 1 if turn.tool == "retry" else 0
            if self.strategy.limits and repeats >= MAX_REPEATS:
                return
            if number < last or program.abandoned:
                self.fleet.execute(
                    node.dispatcher.program_paused(work_item, turn.tool, IDLE_LIMIT_S)
                )
            if number < last:
                await self.use_tool(turn, tree)

    async def use_tool(self, turn: workload.TurnSpec, tree: ProgramTree) -> None:
        """Run the tool or the helper programs of a turn."""
        if not turn.helpers:
            await anyio.sleep(turn.pause_s)
            return
        async with anyio.create_task_group() as tasks:
            for helper in turn.helpers:
                tasks.start_soon(self.run_helper, helper, tree)

    async def run_helper(self, helper: workload.ProgramSpec, tree: ProgramTree) -> None:
        """Run a helper program; its parent continues even if its calls are refused."""
        try:
            await self.run_program(helper, tree)
        except exceptions.OverloadedError:
            return

    def work_item(
        self,
        program: workload.ProgramSpec,
        tree: ProgramTree,
        context_tokens: int,
        turn: workload.TurnSpec,
        number: int,
    ) -> structures.WorkItem:
        """Return the work item of a call, without the output length, unknown to schedulers."""
        weights = self.strategy.profile_weights or (
            self.deployment.latency_weight,
            self.deployment.cache_weight,
        )
        return structures.WorkItem(
            program=program.id,
            customer=program.customer,
            service=self.deployment.name,
            profile=program.profile,
            prompt_tokens=context_tokens + turn.new_tokens,
            max_tokens=1_500,
            attained_tokens=tree.attained_tokens,
            enqueued_at=clock.now(),
            deadline_at=clock.now() + self.strategy.call_deadline_s,
            urgency=program.urgency,
            latency_weight=weights[0],
            cache_weight=weights[1],
            shared_prefix=f"prefix:{program.profile}",
            started_at=tree.started_at,
            turns=number,
        )

    async def call(
        self,
        node: fleet.Node,
        program: workload.ProgramSpec,
        work_item: structures.WorkItem,
        turn: workload.TurnSpec,
    ) -> None:
        """Make one call, repeating it after ``retry_after_s`` when it is refused.

        Raises
        ------
        OverloadedError
            After ``MAX_REFUSALS`` refusals.
        """
        for _ in range(MAX_REFUSALS):
            try:
                placement = await node.dispatcher.acquire(work_item)
                break
            except exceptions.OverloadedError as error:
                self.refused += 1
                await anyio.sleep(max(1.0, error.retry_after_s))
                work_item.deadline_at = clock.now() + self.strategy.call_deadline_s
        else:
            raise exceptions.OverloadedError("the call was refused too many times")
        await self.generate(node, program, work_item, turn, placement)

    async def generate(
        self,
        node: fleet.Node,
        program: workload.ProgramSpec,
        work_item: structures.WorkItem,
        turn: workload.TurnSpec,
        placement: structures.Placement,
    ) -> None:
        """Run a call on the runner where it was placed."""
        self.calls += 1
        node.sent[placement.runner.id] = node.sent.get(placement.runner.id, 0) + 1
        session = f"{program.customer}/{program.id}"
        if placement.export_from:
            source = node.dispatcher.view(placement.export_from)
            await self.fleet.adapter.export(source, session, placement.import_tokens)
        if placement.import_tokens:
            self.fleet.adapter.set_pending_import(
                session,
                min(placement.import_tokens, work_item.prompt_tokens) - program.shared_tokens,
            )
        request = adapters.GenerationRequest(
            request_id=f"{session}/{work_item.turns}",
            model=self.deployment.name,
            messages=direct_adapter.encode_prompt(
                work_item.shared_prefix,
                program.shared_tokens,
                work_item.prompt_tokens - program.shared_tokens,
            ),
            max_tokens=turn.output_tokens,
            priority=placement.priority,
            session=session,
        )
        sent_at = clock.now()
        async for _ in self.fleet.adapter.generate(placement.runner, request):
            pass
        self.missed_deadlines += clock.now() > work_item.deadline_at
        duration_s = clock.now() - sent_at
        self.fleet.execute(node.dispatcher.call_finished(placement, turn.output_tokens, duration_s))
        node.dispatcher.release(placement)

    def result(self) -> figures.Result:
        """Return the results of the run."""
        counted = [outcome for outcome in self.outcomes if outcome.counted]
        latencies = np.array([outcome.latency_s for outcome in counted])
        runners = self.fleet.runners.values()
        prompt_tokens = sum(model.prompt_tokens for model in runners)
        computed_tokens = sum(model.computed_prompt_tokens for model in runners)
        cached_tokens = sum(model.cached_prompt_tokens for model in self.fleet.runners.values())
        held = self.memory.running + self.memory.reused + self.memory.unused + self.memory.ended
        return figures.Result(
            programs=len(counted),
            mean_s=float(latencies.mean()),
            median_s=float(np.percentile(latencies, 50)),
            p95_s=float(np.percentile(latencies, 95)),
            p99_s=float(np.percentile(latencies, 99)),
            wasted=self.memory.wasted_share(),
            fairness=figures.jain(counted),
            calls=self.calls,
            refused=self.refused,
            late=self.missed_deadlines,
            failed=sum(outcome.failed for outcome in counted),
            cached_share=cached_tokens / max(prompt_tokens, 1),
            computed_share=computed_tokens / max(prompt_tokens, 1),
            busy=self.busy_s / (self.horizon_s * len(self.fleet.runners)),
            completed_per_s=self.completed_in_window / (self.horizon_s - self.warmup_s),
            wasted_ended=self.memory.ended / max(held, 1.0),
            wasted_unused=self.memory.unused / max(held, 1.0),
        )


def calibrate(deployment: workload.Deployment) -> float:
    """Return the capacity of the engines in programs per second.

    This is the throughput of a closed loop with four programs per slot when the prefix cache
    never evicts. It depends only on the engines and the programs, not on a strategy; with limited
    memory, every strategy stays somewhat below it.
    """
    unlimited = dataclasses.replace(deployment, memory_tokens=UNLIMITED_MEMORY_TOKENS)
    result = simulate(
        unlimited,
        strategies.BASELINES["prefix-affinity"],
        4.0,
        horizon_s=3_000.0,
        concurrency=4 * fleet.SPEED.slots * deployment.runners,
    )
    return result.completed_per_s


def simulate(
    deployment: workload.Deployment, strategy: strategies.Strategy, load: float, **options
) -> figures.Result:
    """Run one simulation in virtual time; equal arguments give equal results."""
    # trio runs tasks that are ready at the same time in random order. It has no public API to
    # make that order reproducible.
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(0)
    simulation = Simulation(deployment, strategy, load, **options)
    anyio.run(
        simulation.run,
        backend="trio",
        backend_options={"clock": trio.testing.MockClock(autojump_threshold=0)},
    )
    return simulation.result()
