"""The check that an accepted configuration is in force everywhere and never reverts."""

import contextlib
import dataclasses

import anyio
import httpx

from dogwoodgap import clock, ctl_client, exceptions
from dogwoodgap_lab import deployments, fleet_client

CALM_CHANGES = 20
FAULTY_CHANGES = 6
RACES = 20
LOST_REPLIES = 0.3
OUTAGE_S = 3.0
SAMPLE_INTERVAL_S = 0.02
IN_FORCE_LIMIT_S = 20.0
CALM_AIM_S = 1.0
FAULTY_AIM_S = 5.0
PROFILE = "/profiles/default"


@dataclasses.dataclass
class Samples:
    """What the nodes said of their generation.

    Attributes
    ----------
    latest : dict
        Newest generation that each node has reported, over all its boots.
    reverted : int
        Reports below an earlier one of the same node.
    """

    latest: dict[str, int] = dataclasses.field(default_factory=dict)
    reverted: int = 0
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def note(self, node: str, generation: int) -> None:
        """Take over a report."""
        if generation < self.latest.get(node, 0):
            self.reverted += 1
            return
        if generation > self.latest.get(node, 0):
            self.latest[node] = generation
            self.changed.set()
            self.changed = anyio.Event()


@dataclasses.dataclass
class Check:
    """Runs the phases against a fleet."""

    fleet: fleet_client.FleetClient
    samples: Samples = dataclasses.field(default_factory=Samples)
    turns: int = 100

    async def sample(self, node: str) -> None:
        """Ask a node for its generation again and again."""
        while True:
            with contextlib.suppress(httpx.HTTPError):
                self.samples.note(node, (await self.fleet.summary(node))["generation"])
            await anyio.sleep(SAMPLE_INTERVAL_S)

    async def change(self, node: str, generation: int, max_turns: int) -> int:
        """Change a profile through a node and return the new generation."""
        body = {"max_turns": max_turns}
        request = ctl_client.Request("PUT", PROFILE, body, generation)
        return (await self.fleet.operator(node).submit_change(request)).generation

    async def timed_change(self, node: str) -> float:
        """Change a profile; return the seconds from the request until all nodes have it."""
        self.turns += 1
        before = max(self.samples.latest.values())
        started = clock.now()
        generation = await self.change(node, before, self.turns)
        with anyio.move_on_after(IN_FORCE_LIMIT_S):
            while any(self.samples.latest.get(name, 0) < generation for name in self.fleet.names):
                await self.samples.changed.wait()
            return clock.now() - started
        return IN_FORCE_LIMIT_S

    async def calm(self) -> float:
        """Return the longest time of several changes."""
        times = []
        for number in range(CALM_CHANGES):
            times.append(await self.timed_change(self.fleet.names[number % len(self.fleet.names)]))
        return max(times)

    async def faulty(self) -> float:
        """Return the longest time while the platform loses replies and nodes are restarted.

        Each change is made when the next process of the killed node has begun to start, so the
        time includes that start, but not the second that ``fleet.sh`` waits before it.
        """
        await self.fleet.set_platform_faults(lost_replies=LOST_REPLIES)
        times = []
        for number in range(FAULTY_CHANGES):
            await self.fleet.restart(self.fleet.names[-1 - number % 3])
            times.append(await self.timed_change(self.fleet.names[number % 3]))
        await self.fleet.set_platform_faults()
        return max(times)

    async def race(self) -> bool:
        """Return whether of two operators one wins and the other is told the difference."""
        self.turns += 2
        before = max(self.samples.latest.values())
        refusals: list[str] = []
        won: list[int] = []

        async def operate(node: str, max_turns: int) -> None:
            try:
                won.append(await self.change(node, before, max_turns))
            except exceptions.ConfigurationConflictError as error:
                refusals.append(error.detail)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(operate, self.fleet.names[0], self.turns)
            tasks.start_soon(operate, self.fleet.names[1], self.turns + 1)
        told = [detail for detail in refusals if "profiles.default.max_turns" in detail]
        with anyio.move_on_after(IN_FORCE_LIMIT_S):
            while max(self.samples.latest.values()) <= before:
                await self.samples.changed.wait()
        return len(won) == 1 and len(told) == 1

    async def races(self) -> int:
        """Return the number of races that did not end as they should."""
        return sum([not await self.race() for _ in range(RACES)])

    async def outage(self) -> float:
        """Restart a node in an outage; return the seconds until it knows a change after it."""
        await self.fleet.set_platform_faults(outage=True)
        await self.fleet.restart(self.fleet.names[2])
        await anyio.sleep(OUTAGE_S)
        await self.fleet.set_platform_faults()
        return await self.timed_change(self.fleet.names[0])

    async def run(self) -> list[fleet_client.Row]:
        """Run all phases and return the table."""
        await self.fleet.wait_ready()
        await self.fleet.configure()
        async with anyio.create_task_group() as tasks:
            for name in self.fleet.names:
                tasks.start_soon(self.sample, name)
            while len(self.samples.latest) < len(self.fleet.names):
                await self.samples.changed.wait()
            calm_s = await self.calm()
            lost = await self.races()
            faulty_s = await self.faulty()
            outage_s = await self.outage()
            tasks.cancel_scope.cancel()
        nodes = len(self.fleet.names)
        return [
            fleet_client.Row(f"in force on {nodes} nodes, longest", CALM_AIM_S, calm_s, "s"),
            fleet_client.Row(
                f"the same, a node restarts and {LOST_REPLIES:.0%} of replies are lost",
                FAULTY_AIM_S,
                faulty_s,
                "s",
            ),
            fleet_client.Row(
                f"the same, after an outage of {OUTAGE_S:g} s with a restart",
                FAULTY_AIM_S,
                outage_s,
                "s",
            ),
            fleet_client.Row(f"races without one winner and one told, of {RACES}", 0, lost),
            fleet_client.Row("answers with an older generation", 0, self.samples.reverted),
        ]


async def check(layout: deployments.Layout) -> list[fleet_client.Row]:
    """Run the check against a running fleet."""
    async with fleet_client.connected(layout) as fleet:
        return await Check(fleet).run()
