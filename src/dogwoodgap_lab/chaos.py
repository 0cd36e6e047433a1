"""A seeded schedule of faults that are done to a running fleet."""

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
"""Nodes that are down, paused or stopping at once."""

SIGHTING_INTERVAL_S = 0.5
IN_FORCE_LIMIT_S = 10.0
LEAVING_S = 8.0
CRASH_MARKER = "crashword"
PLANNED_STOP = probes.Plan(duration_s=5.0, interval_s=0.4, tokens=40, lead_s=0.6, limit_s=75.0)

Fault = collections.abc.Callable[["Chaos", random.Random], collections.abc.Awaitable[None]]
faults: dict[str, Fault] = {}


def fault(function: Fault) -> Fault:
    """Add a fault to the schedule's choice."""
    faults[function.__name__] = function
    return function


@dataclasses.dataclass
class Chaos:
    """Does faults to a fleet and collects the evidence that only it can see.

    Attributes
    ----------
    absent : set of int
        Nodes that are down, paused or stopping.
    troubled : set of str
        Runners and the platform while a fault of theirs is on.
    """

    field: stage.FleetController
    load: load.Load
    found: oracle.Evidence
    tasks: anyio.abc.TaskGroup
    absent: set[int] = dataclasses.field(default_factory=set)
    troubled: set[str] = dataclasses.field(default_factory=set)
    poisoned: int = 0

    async def run(self, seed: int, seconds: float) -> None:
        """Begin faults at random times until the time is over; they end by themselves."""
        chance = random.Random(seed)
        end_at = clock.now() + seconds
        names = sorted(faults)
        async with anyio.create_task_group() as tasks:
            while clock.now() < end_at:
                await anyio.sleep(chance.uniform(MIN_GAP_S, MAX_GAP_S))
                name = chance.choice(names)
                own = random.Random(chance.random())
                tasks.start_soon(self.apply, name, own)

    async def apply(self, name: str, chance: random.Random) -> None:
        """Do one fault to its end."""
        with self.noting(name):
            await faults[name](self, chance)

    @contextlib.contextmanager
    def noting(self, what: str) -> collections.abc.Iterator[None]:
        """Add a process that is not ready in time to the evidence; the check goes on."""
        try:
            yield
        except stage.WaitTimeoutError as error:
            self.found.overdue.append(f"{what}: {error}")
            self.field.log_event(f"{what}: {error}")

    async def calm(self) -> None:
        """Switch every fault off and wait until all nodes serve."""
        await self.field.set_platform_faults()
        for runner in self.field.runners():
            await self.field.set_runner_faults(runner)
        for index in range(self.field.layout.node_count):
            self.field.send_signal(index, signal.SIGCONT)
        await self.field.wait_ready(range(self.field.layout.node_count))
        self.field.log_event("all faults are off and all nodes serve")

    def pick_node(self, chance: random.Random) -> int | None:
        """Return a node to which a fault may be done now."""
        free = [n for n in range(self.field.layout.node_count) if n not in self.absent]
        if len(self.absent) >= MAX_ABSENT_NODES or not free:
            return None
        return chance.choice(free)

    def pick_runner(self, chance: random.Random, *, plain: bool | None = None) -> stage.Runner:
        """Return a runner without another fault."""
        return chance.choice(
            [
                item
                for item in self.field.runners()
                if plain in (None, item.plain) and item.id not in self.troubled
            ]
        )

    @contextlib.contextmanager
    def away(self, index: int) -> collections.abc.Iterator[str]:
        """Mark a node as absent and yield its name."""
        self.absent.add(index)
        try:
            yield self.field.layout.node_name(index)
        finally:
            self.absent.discard(index)

    async def trouble_runner(self, runner: stage.Runner, seconds: float, **values: object) -> None:
        """Switch faults of a runner on for a while."""
        self.troubled.add(runner.id)
        try:
            await self.field.set_runner_faults(runner, crash_marker=CRASH_MARKER, **values)
            await anyio.sleep(seconds)
            await self.field.set_runner_faults(runner, crash_marker=CRASH_MARKER)
        finally:
            self.troubled.discard(runner.id)

    async def trouble_platform(self, text: str, seconds: float, **values: object) -> None:
        """Switch faults of the platform on for a while, unless it has others."""
        if "platform" in self.troubled:
            return
        self.troubled.add("platform")
        try:
            self.field.log_event(f"platform: {text} for {seconds:.1f} s")
            await self.field.set_platform_faults(**values)
            await anyio.sleep(seconds)
            await self.field.set_platform_faults()
        finally:
            self.troubled.discard("platform")

    async def watch_generations(self) -> None:
        """Note again and again which generation each node has in force."""
        while True:
            await anyio.sleep(SIGHTING_INTERVAL_S)
            async with anyio.create_task_group() as tasks:
                for index in range(self.field.layout.node_count):
                    tasks.start_soon(self.sight, index)

    async def sight(self, index: int) -> int | None:
        """Note the generation of one node; absent nodes may answer or not."""
        boot = str(self.field.pid(index))
        generation = await self.field.generation(index)
        if generation is not None:
            name = self.field.layout.node_name(index)
            sighting = oracle.ConfigurationSighting(name, boot, generation, clock.wall_time())
            self.found.sightings.append(sighting)
        return generation

    async def arm(self) -> None:
        """Make every engine crash on the marker word."""
        for runner in self.field.runners():
            await self.field.set_runner_faults(runner, crash_marker=CRASH_MARKER)


@fault
async def kill(chaos: Chaos, chance: random.Random) -> None:
    """Kill a node; the script starts it again."""
    index = chaos.pick_node(chance)
    if index is None:
        return
    with chaos.away(index) as name:
        if chaos.field.send_signal(index, signal.SIGKILL):
            chaos.field.log_event(f"{name} killed")
            await anyio.sleep(1.0)
            await chaos.field.wait_ready([index])


@fault
async def pause(chaos: Chaos, chance: random.Random) -> None:
    """Pause a node."""
    index = chaos.pick_node(chance)
    if index is None:
        return
    seconds = chance.uniform(1.0, 8.0)
    with chaos.away(index) as name:
        if chaos.field.send_signal(index, signal.SIGSTOP):
            chaos.field.log_event(f"{name} paused for {seconds:.1f} s")
            await anyio.sleep(seconds)
            chaos.field.send_signal(index, signal.SIGCONT)
            await chaos.field.wait_ready([index])


@fault
async def planned_stop(chaos: Chaos, chance: random.Random) -> None:
    """Stop a node as planned while requests go through it."""
    index = chaos.pick_node(chance)
    if index is None:
        return
    with chaos.away(index):
        await probes.planned_stop(chaos.field, index, PLANNED_STOP, chaos.found)
        await chaos.field.wait_ready([index])


@fault
async def outage(chaos: Chaos, chance: random.Random) -> None:
    """Take the platform away."""
    await chaos.trouble_platform("outage", chance.uniform(0.5, 5.0), outage=True)


@fault
async def slow_platform(chaos: Chaos, chance: random.Random) -> None:
    """Delay each call to the platform."""
    delay_s = chance.uniform(0.02, 0.4)
    text = f"each call takes {delay_s * 1000:.0f} ms"
    await chaos.trouble_platform(text, chance.uniform(1.0, 4.0), delay_s=delay_s)


@fault
async def lost_replies(chaos: Chaos, chance: random.Random) -> None:
    """Lose replies of the platform after the write."""
    share = chance.uniform(0.05, 0.5)
    text = f"{share:.0%} of the replies are lost"
    await chaos.trouble_platform(text, chance.uniform(1.0, 5.0), lost_replies=share)


@fault
async def poison(chaos: Chaos, chance: random.Random) -> None:
    """Run a program whose second request crashes each engine that runs it."""
    chaos.poisoned += 1
    chaos.field.log_event(f"program poison{chaos.poisoned} asks what crashes engines")
    item = chance.choice(chaos.field.layout.deployments)
    await chaos.load.run_poison(item, chaos.poisoned, CRASH_MARKER)


@fault
async def hang(chaos: Chaos, chance: random.Random) -> None:
    """Make a runner answer nothing."""
    runner = chaos.pick_runner(chance)
    seconds = chance.uniform(1.0, 6.0)
    chaos.field.log_event(f"{runner.id} hangs for {seconds:.1f} s")
    await chaos.trouble_runner(runner, seconds, hang=True)


@fault
async def silence(chaos: Chaos, chance: random.Random) -> None:
    """Make the open connections to a runner silent for good."""
    runner = chaos.pick_runner(chance)
    chaos.field.log_event(f"open connections to {runner.id} go silent")
    chaos.field.silence_count += 1
    await chaos.trouble_runner(runner, 0.0)


@fault
async def leave(chaos: Chaos, chance: random.Random) -> None:
    """Make a runner leave for a while."""
    runner = chaos.pick_runner(chance)
    chaos.field.log_event(f"{runner.id} leaves for {LEAVING_S:g} s")
    window = oracle.LeavingWindow(runner.id, clock.wall_time(), clock.wall_time() + LEAVING_S)
    chaos.found.leaving.append(window)
    await chaos.trouble_runner(runner, LEAVING_S, leaving=True)


@fault
async def reply_loss(chaos: Chaos, chance: random.Random) -> None:
    """Lose replies of a plain runner after the action."""
    runner = chaos.pick_runner(chance, plain=True)
    share = chance.uniform(0.2, 1.0)
    seconds = chance.uniform(1.0, 5.0)
    chaos.field.log_event(f"{runner.id} loses {share:.0%} of its replies for {seconds:.1f} s")
    await chaos.trouble_runner(runner, seconds, reply_loss=share)


@fault
async def race(chaos: Chaos, chance: random.Random) -> None:
    """Let two operators change the configuration at once."""
    layout = chaos.field.layout
    entries = chance.sample(range(layout.node_count), 2)
    values = [chance.uniform(600.0, 1200.0) for _ in entries]
    with contextlib.suppress(httpx.HTTPError):
        document, generation = await chaos.field.configuration(entries[0])
        chaos.field.log_event(f"two operators change generation {generation}")
        async with anyio.create_task_group() as tasks:
            for index, value in zip(entries, values, strict=True):
                tasks.start_soon(change_idle, chaos, index, document, generation, value)


async def change_idle(
    chaos: Chaos, index: int, document: dict, generation: int, value: float
) -> None:
    """Change one value and, when that is accepted, measure when it is in force everywhere."""
    name = sorted(document["profiles"])[0]
    profile = {**document["profiles"][name], "idle_seconds": value}
    wanted = {**document, "profiles": {**document["profiles"], name: profile}}
    entry = chaos.field.layout.node_urls()[index]
    try:
        reply = await chaos.field.put_configuration(entry, wanted, generation)
    except httpx.HTTPError:
        return
    if not reply.is_success or not reply.json()["applied"]:
        return
    accepted = oracle.AcceptedGeneration(reply.json()["generation"], clock.wall_time(), 0.0)
    chaos.found.accepted.append(accepted)
    started = clock.now()
    await wait_in_force(chaos, accepted.generation)
    accepted.in_force_after_s = clock.now() - started


async def wait_in_force(chaos: Chaos, generation: int) -> None:
    """Wait until each node that was present all the time has a generation, up to a limit."""
    waiting = set(range(chaos.field.layout.node_count))
    with anyio.move_on_after(IN_FORCE_LIMIT_S):
        while waiting := waiting - chaos.absent:
            for index in sorted(waiting):
                seen = await chaos.sight(index)
                if seen is not None and seen >= generation:
                    waiting.discard(index)
            await anyio.sleep(0.05)
