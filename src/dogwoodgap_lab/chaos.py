"""Inject faults into a running fleet, by a seeded random schedule."""

import collections.abc
import contextlib
import dataclasses
import random
import signal

import anyio
import anyio.abc
import httpx

from dogwoodgap import clock
from dogwoodgap_lab import load, oracle, probes, stage

MIN_GAP_S = 0.2
MAX_GAP_S = 1.4
MAX_ABSENT_NODES = 2
"""Maximum number of nodes that are down, paused or stopping at the same time."""

GENERATION_POLL_INTERVAL_S = 0.5
APPLY_TIMEOUT_S = 10.0
LEAVING_S = 8.0
CRASH_MARKER = "crashword"
PLANNED_STOP = probes.ProbePlan(duration_s=5.0, interval_s=0.4, tokens=40, lead_s=0.6, limit_s=75.0)

Fault = collections.abc.Callable[["Chaos", random.Random], collections.abc.Awaitable[None]]
faults: dict[str, Fault] = {}


def fault(function: Fault) -> Fault:
    """Register a fault, under the name of its function, for the random schedule."""
    faults[function.__name__] = function
    return function


@dataclasses.dataclass
class Chaos:
    """Injects faults into a fleet and records the evidence that depends on them.

    Attributes
    ----------
    absent : set of int
        Indexes of the nodes that are down, paused or stopping.
    troubled : set of str
        Ids of the runners with an active fault, and ``platform`` while it has one.
    poison_count : int
        Number of programs started so far whose requests crash engines.
    """

    controller: stage.FleetController
    load: load.LoadGenerator
    evidence: oracle.Evidence
    tasks: anyio.abc.TaskGroup
    absent: set[int] = dataclasses.field(default_factory=set)
    faulty: set[str] = dataclasses.field(default_factory=set)
    poison_count: int = 0

    async def run(self, seed: int, seconds: float) -> None:
        """Start faults at random intervals for ``seconds``, and wait until all have ended."""
        rng = random.Random(seed)
        end_at = clock.now() + seconds
        names = sorted(faults)
        async with anyio.create_task_group() as tasks:
            while clock.now() < end_at:
                await anyio.sleep(rng.uniform(MIN_GAP_S, MAX_GAP_S))
                name = rng.choice(names)
                fault_rng = random.Random(rng.random())
                tasks.start_soon(self.apply, name, fault_rng)

    async def apply(self, name: str, rng: random.Random) -> None:
        """Run one fault to its end."""
        with self.record_timeouts(name):
            await faults[name](self, rng)

    @contextlib.contextmanager
    def record_timeouts(self, activity: str) -> collections.abc.Iterator[None]:
        """Record a timeout of the block as evidence instead of raising it."""
        try:
            yield
        except stage.WaitTimeoutError as error:
            self.evidence.timeouts.append(f"{activity}: {error}")
            self.controller.log_event(f"{activity}: {error}")

    async def clear_faults(self) -> None:
        """Clear the faults of all runners and the platform and wait until all nodes are ready."""
        await self.controller.set_platform_faults()
        for runner in self.controller.runners():
            await self.controller.set_runner_faults(runner)
        for index in range(self.controller.layout.node_count):
            self.controller.send_signal(index, signal.SIGCONT)
        await self.controller.wait_ready(range(self.controller.layout.node_count))
        self.controller.log_event("all faults are cleared and all nodes are ready")

    def choose_node(self, rng: random.Random) -> int | None:
        """Return a random node without a fault, or None if too many nodes are absent."""
        candidates = [n for n in range(self.controller.layout.node_count) if n not in self.absent]
        if len(self.absent) >= MAX_ABSENT_NODES or not candidates:
            return None
        return rng.choice(candidates)

    def choose_runner(self, rng: random.Random, *, plain: bool | None = None) -> stage.Runner:
        """Return a random runner without a fault; ``plain`` limits the choice to one kind."""
        return rng.choice(
            [
                item
                for item in self.controller.runners()
                if plain in (None, item.plain) and item.id not in self.faulty
            ]
        )

    @contextlib.contextmanager
    def mark_absent(self, index: int) -> collections.abc.Iterator[str]:
        """Mark a node as absent during the block and yield the node's name."""
        self.absent.add(index)
        try:
            yield self.controller.layout.node_name(index)
        finally:
            self.absent.discard(index)

    async def inject_runner_faults(
        self, runner: stage.Runner, seconds: float, **values: object
    ) -> None:
        """Inject faults into a runner for some seconds."""
        self.faulty.add(runner.id)
        try:
            await self.controller.set_runner_faults(runner, crash_marker=CRASH_MARKER, **values)
            await anyio.sleep(seconds)
            await self.controller.set_runner_faults(runner, crash_marker=CRASH_MARKER)
        finally:
            self.faulty.discard(runner.id)

    async def inject_platform_faults(self, text: str, seconds: float, **values: object) -> None:
        """Inject faults into the platform for some seconds, unless it already has a fault."""
        if "platform" in self.faulty:
            return
        self.faulty.add("platform")
        try:
            self.controller.log_event(f"platform: {text} for {seconds:.1f} s")
            await self.controller.set_platform_faults(**values)
            await anyio.sleep(seconds)
            await self.controller.set_platform_faults()
        finally:
            self.faulty.discard("platform")

    async def watch_generations(self) -> None:
        """Record the configuration generation of each node periodically."""
        while True:
            await anyio.sleep(GENERATION_POLL_INTERVAL_S)
            async with anyio.create_task_group() as tasks:
                for index in range(self.controller.layout.node_count):
                    tasks.start_soon(self.record_generation, index)

    async def record_generation(self, index: int) -> int | None:
        """Record and return the generation of one node, or None if it does not answer."""
        boot = str(self.controller.pid(index))
        generation = await self.controller.generation(index)
        if generation is not None:
            name = self.controller.layout.node_name(index)
            observation = oracle.GenerationObservation(name, boot, generation, clock.wall_time())
            self.evidence.generation_observations.append(observation)
        return generation

    async def set_crash_marker(self) -> None:
        """Make every runner crash on requests with the marker word."""
        for runner in self.controller.runners():
            await self.controller.set_runner_faults(runner, crash_marker=CRASH_MARKER)


@fault
async def kill(chaos: Chaos, rng: random.Random) -> None:
    """Kill a node, which ``fleet.sh`` starts again."""
    index = chaos.choose_node(rng)
    if index is None:
        return
    with chaos.mark_absent(index) as name:
        if chaos.controller.send_signal(index, signal.SIGKILL):
            chaos.controller.log_event(f"{name} killed")
            await anyio.sleep(1.0)
            await chaos.controller.wait_ready([index])


@fault
async def pause(chaos: Chaos, rng: random.Random) -> None:
    """Pause a node's process with SIGSTOP."""
    index = chaos.choose_node(rng)
    if index is None:
        return
    seconds = rng.uniform(1.0, 8.0)
    with chaos.mark_absent(index) as name:
        if chaos.controller.send_signal(index, signal.SIGSTOP):
            chaos.controller.log_event(f"{name} paused for {seconds:.1f} s")
            await anyio.sleep(seconds)
            chaos.controller.send_signal(index, signal.SIGCONT)
            await chaos.controller.wait_ready([index])


@fault
async def planned_stop(chaos: Chaos, rng: random.Random) -> None:
    """Stop a node with SIGTERM while it handles requests."""
    index = chaos.choose_node(rng)
    if index is None:
        return
    with chaos.mark_absent(index):
        await probes.stop_with_probes(chaos.controller, index, PLANNED_STOP, chaos.evidence)
        await chaos.controller.wait_ready([index])


@fault
async def outage(chaos: Chaos, rng: random.Random) -> None:
    """Make the platform unavailable."""
    await chaos.inject_platform_faults("outage", rng.uniform(0.5, 5.0), outage=True)


@fault
async def slow_platform(chaos: Chaos, rng: random.Random) -> None:
    """Delay each call to the platform."""
    delay_s = rng.uniform(0.02, 0.4)
    text = f"each call takes {delay_s * 1000:.0f} ms"
    await chaos.inject_platform_faults(text, rng.uniform(1.0, 4.0), delay_s=delay_s)


@fault
async def lost_replies(chaos: Chaos, rng: random.Random) -> None:
    """Lose replies of the platform after it has applied the write."""
    share = rng.uniform(0.05, 0.5)
    text = f"{share:.0%} of the replies are lost"
    await chaos.inject_platform_faults(text, rng.uniform(1.0, 5.0), lost_replies=share)


@fault
async def poison(chaos: Chaos, rng: random.Random) -> None:
    """Run a program whose second call crashes each engine that executes it."""
    chaos.poison_count += 1
    chaos.controller.log_event(
        f"program poison{chaos.poison_count} sends a request that crashes engines"
    )
    deployment = rng.choice(chaos.controller.layout.deployments)
    await chaos.load.run_poison(deployment, chaos.poison_count, CRASH_MARKER)


@fault
async def hang(chaos: Chaos, rng: random.Random) -> None:
    """Make a runner stop answering."""
    runner = chaos.choose_runner(rng)
    seconds = rng.uniform(1.0, 6.0)
    chaos.controller.log_event(f"{runner.id} hangs for {seconds:.1f} s")
    await chaos.inject_runner_faults(runner, seconds, hang=True)


@fault
async def silence(chaos: Chaos, rng: random.Random) -> None:
    """Silence the open connections to a runner permanently."""
    runner = chaos.choose_runner(rng)
    chaos.controller.log_event(f"open connections to {runner.id} go silent")
    chaos.controller.silence_count += 1
    await chaos.inject_runner_faults(runner, 0.0)


@fault
async def leave(chaos: Chaos, rng: random.Random) -> None:
    """Make a runner leave for ``LEAVING_S``."""
    runner = chaos.choose_runner(rng)
    chaos.controller.log_event(f"{runner.id} leaves for {LEAVING_S:g} s")
    window = oracle.LeavingWindow(runner.id, clock.wall_time(), clock.wall_time() + LEAVING_S)
    chaos.evidence.leaving.append(window)
    await chaos.inject_runner_faults(runner, LEAVING_S, leaving=True)


@fault
async def reply_loss(chaos: Chaos, rng: random.Random) -> None:
    """Lose replies of a plain runner after it has executed the action."""
    runner = chaos.choose_runner(rng, plain=True)
    share = rng.uniform(0.2, 1.0)
    seconds = rng.uniform(1.0, 5.0)
    chaos.controller.log_event(f"{runner.id} loses {share:.0%} of its replies for {seconds:.1f} s")
    await chaos.inject_runner_faults(runner, seconds, reply_loss=share)


@fault
async def race(chaos: Chaos, rng: random.Random) -> None:
    """Make two operators change the same configuration generation concurrently."""
    layout = chaos.controller.layout
    entries = rng.sample(range(layout.node_count), 2)
    values = [rng.uniform(600.0, 1200.0) for _ in entries]
    with contextlib.suppress(httpx.HTTPError):
        document, generation = await chaos.controller.configuration(entries[0])
        chaos.controller.log_event(f"two operators change generation {generation}")
        async with anyio.create_task_group() as tasks:
            for index, idle_seconds in zip(entries, values, strict=True):
                tasks.start_soon(
                    change_idle_seconds, chaos, index, document, generation, idle_seconds
                )


async def change_idle_seconds(
    chaos: Chaos, index: int, document: dict, generation: int, idle_seconds: float
) -> None:
    """Change one value and, if accepted, record the time until every node has applied it."""
    name = sorted(document["profiles"])[0]
    profile = {**document["profiles"][name], "idle_seconds": idle_seconds}
    changed_document = {**document, "profiles": {**document["profiles"], name: profile}}
    entry = chaos.controller.layout.node_urls()[index]
    try:
        reply = await chaos.controller.put_configuration(entry, changed_document, generation)
    except httpx.HTTPError:
        return
    if not reply.is_success or not reply.json()["applied"]:
        return
    accepted = oracle.AcceptedGeneration(reply.json()["generation"], clock.wall_time(), 0.0)
    chaos.evidence.accepted.append(accepted)
    started = clock.now()
    await wait_applied(chaos, accepted.generation)
    accepted.applied_after_s = clock.now() - started


async def wait_applied(chaos: Chaos, generation: int) -> None:
    """Wait until the nodes that were never absent meanwhile have applied a generation.

    Returns after ``APPLY_TIMEOUT_S`` at the latest.
    """
    waiting = set(range(chaos.controller.layout.node_count))
    with anyio.move_on_after(APPLY_TIMEOUT_S):
        while waiting := waiting - chaos.absent:
            for index in sorted(waiting):
                seen = await chaos.record_generation(index)
                if seen is not None and seen >= generation:
                    waiting.discard(index)
            await anyio.sleep(0.05)
