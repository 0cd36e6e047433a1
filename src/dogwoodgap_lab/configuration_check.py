"""Check that every node applies an accepted configuration and never reverts to an older one."""

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
    """Configuration generations that the nodes have reported.

    Attributes
    ----------
    latest : dict
        Newest generation by node, kept over restarts of the node.
    reversion_count : int
        Reports of a generation older than one that the same node reported before.
    changed : anyio.Event
        Set, and replaced by a new event, when a node reports a newer generation.
    """

    latest: dict[str, int] = dataclasses.field(default_factory=dict)
    reversion_count: int = 0
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def record(self, node: str, generation: int) -> None:
        """Record the generation that a node reports."""
        if generation < self.latest.get(node, 0):
            self.reversion_count += 1
            return
        if generation > self.latest.get(node, 0):
            self.latest[node] = generation
            self.changed.set()
            self.changed = anyio.Event()


@dataclasses.dataclass
class Check:
    """Runs the phases of the check against a fleet."""

    fleet: fleet_client.FleetClient
    observations: GenerationObservations = dataclasses.field(default_factory=GenerationObservations)
    last_max_turns: int = 100

    async def poll_generation(self, node: str) -> None:
        """Poll a node for its generation until cancelled."""
        while True:
            with contextlib.suppress(httpx.HTTPError):
                self.observations.record(node, (await self.fleet.summary(node))["generation"])
            await anyio.sleep(SAMPLE_INTERVAL_S)

    async def change(self, node: str, generation: int, max_turns: int) -> int:
        """Change a profile through a node and return the new generation.

        Raises
        ------
        ConfigurationConflictError
            When ``generation`` is no longer the current one.
        """
        body = {"max_turns": max_turns}
        request = ctl_client.Request("PUT", PROFILE, body, generation)
        return (await self.fleet.admin_client(node).submit_change(request)).generation

    async def timed_change(self, node: str) -> float:
        """Change a profile; return the seconds until all nodes report it, at most the timeout."""
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
        """Return the longest time of several changes, in seconds."""
        times = []
        for number in range(FAULT_FREE_CHANGES):
            times.append(await self.timed_change(self.fleet.names[number % len(self.fleet.names)]))
        return max(times)

    async def measure_with_faults(self) -> float:
        """Return the longest time of changes during lost platform replies and node restarts.

        Each change is made as soon as the new process of a killed node exists. The time includes
        the start of that process, but not the second that ``fleet.sh`` waits before it.
        """
        await self.fleet.set_platform_faults(lost_replies=LOST_REPLIES)
        times = []
        for number in range(CHANGES_UNDER_FAULTS):
            await self.fleet.restart(self.fleet.names[-1 - number % 3])
            times.append(await self.timed_change(self.fleet.names[number % 3]))
        await self.fleet.set_platform_faults()
        return max(times)

    async def run_race(self) -> bool:
        """Return whether one of two concurrent changes is accepted and the other gets the diff."""
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
        """Return how many races did not end with one accepted and one rejected change."""
        return sum([not await self.run_race() for _ in range(RACES)])

    async def measure_after_outage(self) -> float:
        """Restart a node during a platform outage; return the seconds of a change after it."""
        await self.fleet.set_platform_faults(outage=True)
        await self.fleet.restart(self.fleet.names[2])
        await anyio.sleep(OUTAGE_S)
        await self.fleet.set_platform_faults()
        return await self.timed_change(self.fleet.names[0])

    async def run(self) -> list[fleet_client.TargetResult]:
        """Run all phases and return their results."""
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
                f"applied by {nodes} nodes, longest", FAULT_FREE_TARGET_S, fault_free_s, "s"
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
                f"races not ended by one acceptance and one full conflict, of {RACES}",
                0,
                failed_races,
            ),
            fleet_client.TargetResult(
                "reports of an older generation", 0, self.observations.reversion_count
            ),
        ]


async def check(layout: deployments.Layout) -> list[fleet_client.TargetResult]:
    """Run the check against a running fleet."""
    async with fleet_client.connect(layout) as fleet:
        return await Check(fleet).run()
