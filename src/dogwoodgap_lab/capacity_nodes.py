"""Many nodes in one process: control traffic, processor time, platform calls, failures.

Each node is a real ``fleet.Fleet`` with TCP connections to its peers on loopback. The platform is
the stand-in's object table, called without HTTP. The HTTP server for callers and the runners are
left out; ``capacity_processes`` measures whole processes.
"""

import time

import anyio
import anyio.abc

from dogwoodgap import (
    clock,
    fleet,
    members,
    models,
    objectstore,
    recovery,
    revisions,
    settings,
    shards,
)
from dogwoodgap_lab import capacity_fit, capacity_state, objects

DATA_CENTRES = 7
PLATFORM_DELAY_S = 0.002
JOIN_LIMIT_S = 60.0
STAGGER_S = 1.0
"""All nodes share one core here. When 40 start at once, their pings take longer than the time after
which members are suspected, and the probes that follow keep the core busy for good."""

SETTLE_S = 15.0
"""Longer than the time after which differing member tables are exchanged."""

MEASURE_S = 20.0
FAILURE_S = 15.0
UPDATES = 5
SPREAD_LIMIT_S = 30.0


class Host:
    """One node of the process, which can be killed."""

    def __init__(self, name: str, data_centre: str, address: str, seeds: list[str]):
        document = {
            "node": {
                "name": name,
                "data_centre": data_centre,
                "peer_bind": address,
                "seeds": seeds,
            },
            "platform": {"url": "http://127.0.0.1:9"},
        }
        self.settings = settings.NodeSettings.model_validate(document)
        self.scope = anyio.CancelScope()
        self.starting = anyio.Event()

    async def run(
        self, store: objectstore.ObjectStore, *, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        """Run until the scope is cancelled, which ends the node without a farewell."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                self.fleet = fleet.Fleet(self.settings, store, tasks, recovery.Hooks(), "http")
                task_status.started()
                await tasks.start(self.fleet.network.serve)
                tasks.start_soon(self.fleet.membership.run)
                await self.starting.wait()
                parts = (self.fleet.configuration, self.fleet.limiter, self.fleet.ownership)
                for part in parts:
                    tasks.start_soon(part.run)
                tasks.start_soon(self.fleet.confirm_ownership)
                await anyio.sleep_forever()

    def moved_bytes(self) -> float:
        """Return the bytes sent and received so far."""
        traffic = self.fleet.network.traffic
        return traffic.sent_bytes + traffic.received_bytes


def even_assignment(hosts: list[Host]) -> shards.Assignment:
    """Return an assignment that gives every node its share, as after all rebalancing."""
    assignment = shards.Assignment()
    for shard in range(shards.SHARD_COUNT):
        assignment.assign(shard, hosts[shard % len(hosts)].fleet.ownership.local_owner)
    assignment.version = 1
    return assignment


class Trial:
    """One run with a number of nodes."""

    def __init__(self, count: int, base_port: int):
        addresses = [f"127.0.0.1:{base_port + number}" for number in range(count)]
        self.hosts = [
            Host(f"n{number:03}", f"dc{number % DATA_CENTRES}", address, addresses[:3])
            for number, address in enumerate(addresses)
        ]
        self.table = objects.MemoryObjectStore()
        self.table.faults.delay_s = PLATFORM_DELAY_S
        self.table.set_vms([objectstore.Vm(address, address) for address in addresses])

    async def run(self) -> dict[str, float]:
        """Return all figures of the trial."""
        before_rss = capacity_state.resident_bytes()
        async with anyio.create_task_group() as tasks:
            for host in self.hosts:
                await tasks.start(host.run, self.table)
                await anyio.sleep(STAGGER_S)
            await self.prepare()
            joined_s = await self.join()
            for host in self.hosts:
                host.starting.set()
            await anyio.sleep(SETTLE_S)
            found = {"join_s": joined_s} | self.check()
            found |= await self.idle()
            rss = capacity_state.resident_bytes() - before_rss
            found["added_rss_mb_per_node"] = rss / 1e6 / len(self.hosts)
            found |= await self.updates()
            found |= await self.failure(found["bytes_per_s_per_node"])
            tasks.cancel_scope.cancel()
        return found

    async def prepare(self) -> None:
        """Write the first configuration and an even assignment."""
        document = models.FleetConfiguration(generation=1).model_dump_json().encode()
        await self.table.put(revisions.CURRENT_KEY, document)
        assignment = shards.encode(even_assignment(self.hosts))
        await self.table.put(shards.ASSIGNMENT_KEY, assignment)

    async def join(self) -> float:
        """Wait until all nodes know each other, as in a fleet that has run for long.

        Nodes that own shards before that would take shards over from members that they do not
        know yet, and all takeovers would share the one core of this process.
        """
        started = clock.now()
        while clock.now() - started < JOIN_LIMIT_S:
            await anyio.sleep(0.1)
            if self.check()["nodes_with_all_members"] == len(self.hosts):
                break
        return clock.now() - started

    def check(self) -> dict[str, float]:
        """Return how many nodes know all others, and how many shards are served."""
        count = len(self.hosts)
        complete = [len(host.fleet.membership.alive()) == count for host in self.hosts]
        loaded = [len(host.fleet.ownership.session.loaded) for host in self.hosts]
        return {"nodes_with_all_members": sum(complete), "served_shards": sum(loaded)}

    async def idle(self) -> dict[str, float]:
        """Return what an idle node costs."""
        calls = dict(self.table.calls)
        moved = [host.moved_bytes() for host in self.hosts]
        cpu, started = time.process_time(), clock.now()
        await anyio.sleep(MEASURE_S)
        cpu, elapsed = time.process_time() - cpu, clock.now() - started
        rates = [
            (host.moved_bytes() - old) / elapsed
            for host, old in zip(self.hosts, moved, strict=True)
        ]
        made = {kind: (self.table.calls[kind] - calls[kind]) / elapsed for kind in calls}
        return {
            "bytes_per_s_per_node": sum(rates) / len(rates),
            "bytes_per_s_of_busiest_node": max(rates),
            "cpu_percent_per_node": 100 * cpu / elapsed / len(self.hosts),
            "platform_reads_per_s": made["read"],
            "platform_writes_per_s": made["write"],
            "platform_watches_per_s": made["watch"],
        }

    async def updates(self) -> dict[str, float]:
        """Return how long small documents and one of the target size take to be in force."""
        times = [await self.update(models.FleetConfiguration()) for _ in range(UPDATES)]
        moved = sum(host.moved_bytes() for host in self.hosts)
        full = await self.update(capacity_state.target_configuration())
        moved = sum(host.moved_bytes() for host in self.hosts) - moved
        return {
            "update_small_median_s": sorted(times)[len(times) // 2],
            "update_small_max_s": max(times),
            "update_target_size_s": full,
            "update_target_size_kb_per_node": moved / 1e3 / len(self.hosts),
        }

    async def update(self, document: models.FleetConfiguration) -> float:
        """Change the configuration at the first node and wait until all have it."""
        editor = self.hosts[0].fleet.configuration
        started = clock.now()
        generation = await editor.update(document, editor.generation, "lab")
        with anyio.fail_after(SPREAD_LIMIT_S):
            while True:
                known = [host.fleet.configuration.generation for host in self.hosts]
                if min(known) >= generation:
                    return clock.now() - started
                await anyio.sleep(0.005)

    async def failure(self, idle_bytes_per_s: float) -> dict[str, float]:
        """Kill a node; return the time until all shards are served, and the extra load."""
        await anyio.sleep(2.0)
        calls = dict(self.table.calls)
        victim, *others = self.hosts[::-1]
        moved = sum(host.moved_bytes() for host in others)
        victim.scope.cancel()
        started = clock.now()
        served_after = FAILURE_S
        while clock.now() - started < FAILURE_S:
            await anyio.sleep(0.02)
            served = sum(len(host.fleet.ownership.session.loaded) for host in others)
            if served == shards.SHARD_COUNT and served_after == FAILURE_S:
                served_after = clock.now() - started
        moved = sum(host.moved_bytes() for host in others) - moved
        elapsed = clock.now() - started
        made = {kind: self.table.calls[kind] - calls[kind] for kind in calls}
        return {
            "failure_takeover_s": served_after,
            "failure_extra_bytes_per_node": moved / len(others) - idle_bytes_per_s * elapsed,
            "failure_platform_reads_in_15_s": made["read"],
            "failure_platform_writes_in_15_s": made["write"],
        }


def measure(count: int, base_port: int) -> capacity_fit.Measure:
    """Return the figures of a number of nodes."""
    trial_of: list[dict[str, float]] = []

    async def main() -> None:
        trial_of.append(await Trial(count, base_port).run())

    anyio.run(main, backend_options={"use_uvloop": True})
    shape = "full mesh" if count <= members.FULL_MESH_NODES else "8 partners"
    if trial_of[0]["served_shards"] < shards.SHARD_COUNT:
        shape = "not at rest"
    return capacity_fit.Measure(f"nodes in one process, {shape} (nodes)", count, trial_of[0])
