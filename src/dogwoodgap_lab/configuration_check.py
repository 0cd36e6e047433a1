"""The check that an accepted configuration is in force everywhere and never reverts."""

import contextlib
import dataclasses

import anyio
import httpx

from dogwoodgap import clock, ctl_client, exceptions
from dogwoodgap_lab import deployments, fleet_client

FAULT_FREE_CHANGES = 20
CHANGES_UNDER_FAULTS = 6
RACES = 20
LOST_REPLIES = 0.3
OUTAGE_S = 3.0
SAMPLE_INTERVAL_S = 0.02
APPLY_TIMEOUT_S = 20.0
FAULT_FREE_TARGET_S = 1.0
FAULTY_TARGET_S = 5.0
PROFILE = "/profiles/default"


@dataclasses.dataclass
class GenerationObservations:
    """What the nodes said of their generation.

    Attributes
    ----------
    latest : dict
        Newest generation that each node has reported, over all its boots.
    reversion_count : int
        Reports below an earlier one of the same node.
    """

    latest: dict[str, int] = dataclasses.field(default_factory=dict)
    reversion_count: int = 0
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def record(self, node: str, generation: int) -> None:
        """Take over a report."""
        if generation < self.latest.get(node, 0):
            self.reversion_count += 1
            return
        if generation > self.latest.get(node, 0):
            self.latest[node] = generation
            self.changed.set()
            self.changed = anyio.Event()


@dataclasses.dataclass
class Check:
    """Runs the phases against a fleet."""

    fleet: fleet_client.FleetClient
    observations: GenerationObservations = dataclasses.field(default_factory=GenerationObservations)
    last_max_turns: int = 100

    async def poll_generation(self, node: str) -> None:
        """Ask a node for its generation again and again."""
        while True:
            with contextlib.suppress(httpx.HTTPError):
                self.observations.record(node, (await self.fleet.summary(node))["generation"])
            await anyio.sleep(SAMPLE_INTERVAL_S)

    async def change(self, node: str, generation: int, max_turns: int) -> int:
        """Change a profile through a node and return the new generation."""
        body = {"max_turns": max_turns}
        request = ctl_client.Request("PUT", PROFILE, body, generation)
        return (await self.fleet.admin_client(node).change(request)).generation

    async def timed_change(self, node: str) -> float:
        """Change a profile; return the seconds from the request until all nodes have it."""
        self.last_max_turns += 1
        before = max(self.observations.latest.values())
        started = clock.now()
        generation = await self.change(node, before, self.last_max_turns)
        with anyio.move_on_after(APPLY_TIMEOUT_S):
            while any(
                self.observations.latest.get(name, 0) < generation for name in self.fleet.names
            ):
                await self.observations.changed.wait()
            return clock.now() - started
        return APPLY_TIMEOUT_S

    async def measure_without_faults(self) -> float:
        """Return the longest time of several changes."""
        times = []
        for number in range(FAULT_FREE_CHANGES):
            times.append(await self.timed_change(self.fleet.names[number % len(self.fleet.names)]))
        return max(times)

    async def measure_with_faults(self) -> float:
        """Return the longest time while the platform loses replies and nodes are restarted.

        Each change is made when the next process of the killed node has begun to start, so the
        time includes that start, but not the second that ``fleet.sh`` waits before it.
        """
        await self.fleet.set_platform_faults(lost_replies=LOST_REPLIES)
        times = []
        for number in range(CHANGES_UNDER_FAULTS):
            await self.fleet.restart(self.fleet.names[-1 - number % 3])
            times.append(await self.timed_change(self.fleet.names[number % 3]))
        await self.fleet.set_platform_faults()
        return max(times)

    async def run_race(self) -> bool:
        """Return whether of two operators one wins and the other is told the difference."""
        self.last_max_turns += 2
        before = max(self.observations.latest.values())
        conflict_details: list[str] = []
        accepted: list[int] = []

        async def try_change(node: str, max_turns: int) -> None:
            try:
                accepted.append(await self.change(node, before, max_turns))
            except exceptions.ConfigurationConflictError as error:
                conflict_details.append(error.detail)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(try_change, self.fleet.names[0], self.last_max_turns)
            tasks.start_soon(try_change, self.fleet.names[1], self.last_max_turns + 1)
        complete_details = [
            detail for detail in conflict_details if "profiles.default.max_turns" in detail
        ]
        with anyio.move_on_after(APPLY_TIMEOUT_S):
            while max(self.observations.latest.values()) <= before:
                await self.observations.changed.wait()
        return len(accepted) == 1 and len(complete_details) == 1

    async def count_failed_races(self) -> int:
        """Return the number of races that did not end as they should."""
        return sum([not await self.run_race() for _ in range(RACES)])

    async def measure_after_outage(self) -> float:
        """Restart a node in an outage; return the seconds until it knows a change after it."""
        await self.fleet.set_platform_faults(outage=True)
        await self.fleet.restart(self.fleet.names[2])
        await anyio.sleep(OUTAGE_S)
        await self.fleet.set_platform_faults()
        return await self.timed_change(self.fleet.names[0])

    async def run(self) -> list[fleet_client.TargetResult]:
        """Run all phases and return the table."""
        await self.fleet.wait_ready()
        await self.fleet.configure()
        async with anyio.create_task_group() as tasks:
            for name in self.fleet.names:
                tasks.start_soon(self.poll_generation, name)
            while len(self.observations.latest) < len(self.fleet.names):
                await self.observations.changed.wait()
            fault_free_s = await self.measure_without_faults()
            failed_races = await self.count_failed_races()
            faulty_s = await self.measure_with_faults()
            outage_s = await self.measure_after_outage()
            tasks.cancel_scope.cancel()
        nodes = len(self.fleet.names)
        return [
            fleet_client.TargetResult(
                f"in force on {nodes} nodes, longest", FAULT_FREE_TARGET_S, fault_free_s, "s"
            ),
            fleet_client.TargetResult(
                f"the same, a node restarts and {LOST_REPLIES:.0%} of replies are lost",
                FAULTY_TARGET_S,
                faulty_s,
                "s",
            ),
            fleet_client.TargetResult(
                f"the same, after an outage of {OUTAGE_S:g} s with a restart",
                FAULTY_TARGET_S,
                outage_s,
                "s",
            ),
            fleet_client.TargetResult(
                f"races without one winner and one told, of {RACES}", 0, failed_races
            ),
            fleet_client.TargetResult(
                "answers with an older generation", 0, self.observations.reversion_count
            ),
        ]


async def check(layout: deployments.Layout) -> list[fleet_client.TargetResult]:
    """Run the check against a running fleet."""
    async with fleet_client.connect(layout) as fleet:
        return await Check(fleet).run()
