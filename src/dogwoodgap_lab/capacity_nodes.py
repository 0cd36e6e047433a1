"""Measure many nodes in one process: peer traffic, CPU time, platform calls, failures.

Each node is a real ``fleet.Fleet`` with TCP connections to its peers on loopback. The platform is
an in-memory object store, called without HTTP. There are no runners and no HTTP server for callers;
``capacity_processes`` measures whole processes.
"""

import time

import anyio
import anyio.abc

from dogwoodgap import (
    clock,
    fleet,
    models,
    objectstore,
    recovery,
    revisions,
    ring,
    settings,
    shards,
)
from dogwoodgap_lab import capacity_fit, capacity_state, objects

DATA_CENTRES = 7
PLATFORM_DELAY_S = 0.002
JOIN_TIMEOUT_S = 60.0
START_INTERVAL_S = 1.0
"""All nodes share one core. When 40 start at once, their pings take longer than the suspicion
timeout of the membership, and the resulting probes keep the core busy permanently."""

SETTLE_S = 15.0
"""Longer than the interval at which nodes exchange differing member tables."""

MEASUREMENT_S = 20.0
FAILURE_WINDOW_S = 15.0
UPDATES = 5
UPDATE_TIMEOUT_S = 30.0


class InProcessNode:
    """One node of this process, which can be killed on its own."""

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
        self.services_allowed = anyio.Event()

    async def run(
        self, store: objectstore.ObjectStore, *, task_status: anyio.abc.TaskStatus[None]
    ) -> None:
        """Run until the scope is cancelled, which ends the node as a crash would."""
        with self.scope:
            async with anyio.create_task_group() as tasks:
                self.fleet = fleet.Fleet(self.settings, store, tasks, recovery.Hooks(), "http")
                task_status.started()
                await tasks.start(self.fleet.network.serve)
                tasks.start_soon(self.fleet.membership.run)
                await self.services_allowed.wait()
                services = (self.fleet.configuration, self.fleet.limiter, self.fleet.ownership)
                for service in services:
                    tasks.start_soon(service.run)
                tasks.start_soon(self.fleet.confirm_ownership)
                await anyio.sleep_forever()

    def traffic_bytes(self) -> float:
        """Return the bytes exchanged with peers so far."""
        traffic = self.fleet.network.traffic
        return traffic.sent_bytes + traffic.received_bytes


def even_assignment(nodes: list[InProcessNode]) -> shards.Assignment:
    """Return an assignment that distributes the shards evenly, as after rebalancing."""
    assignment = shards.Assignment()
    for shard in range(shards.SHARD_COUNT):
        assignment.assign(shard, nodes[shard % len(nodes)].fleet.ownership.local_owner)
    assignment.version = 1
    return assignment


class Trial:
    """One measurement with a given number of nodes."""

    def __init__(self, count: int, base_port: int):
        addresses = [f"127.0.0.1:{base_port + number}" for number in range(count)]
        self.nodes = [
            InProcessNode(f"n{number:03}", f"dc{number % DATA_CENTRES}", address, addresses[:3])
            for number, address in enumerate(addresses)
        ]
        self.table = objects.MemoryObjectStore()
        self.table.faults.delay_s = PLATFORM_DELAY_S
        self.table.set_vms([objectstore.Vm(address, address) for address in addresses])

    async def run(self) -> dict[str, float]:
        """Run the measurement and return its figures."""
        before_rss = capacity_state.resident_bytes()
        async with anyio.create_task_group() as tasks:
            for node in self.nodes:
                await tasks.start(node.run, self.table)
                await anyio.sleep(START_INTERVAL_S)
            await self.write_initial_state()
            joined_s = await self.wait_joined()
            for node in self.nodes:
                node.services_allowed.set()
            await anyio.sleep(SETTLE_S)
            figures = {"join_s": joined_s} | self.fleet_state()
            figures |= await self.measure_idle()
            rss = capacity_state.resident_bytes() - before_rss
            figures["added_rss_mb_per_node"] = rss / 1e6 / len(self.nodes)
            figures |= await self.measure_updates()
            figures |= await self.measure_failure(figures["bytes_per_s_per_node"])
            tasks.cancel_scope.cancel()
        return figures

    async def write_initial_state(self) -> None:
        """Write the first configuration and an even shard assignment to the platform."""
        document = models.FleetConfiguration(generation=1).model_dump_json().encode()
        await self.table.put(revisions.CURRENT_KEY, document)
        assignment = shards.encode(even_assignment(self.nodes))
        await self.table.put(shards.ASSIGNMENT_KEY, assignment)

    async def wait_joined(self) -> float:
        """Wait until all nodes know each other; return the seconds that it took.

        Nodes that own shards earlier would take over shards from members that they do not know yet,
        and all takeovers would share the one core of this process.
        """
        started = clock.now()
        while clock.now() - started < JOIN_TIMEOUT_S:
            await anyio.sleep(0.1)
            if self.fleet_state()["nodes_with_all_members"] == len(self.nodes):
                break
        return clock.now() - started

    def fleet_state(self) -> dict[str, float]:
        """Return how many nodes know all members, and how many shards are served."""
        count = len(self.nodes)
        complete_views = [len(node.fleet.membership.alive()) == count for node in self.nodes]
        loaded_shards = [len(node.fleet.ownership.session.loaded) for node in self.nodes]
        return {"nodes_with_all_members": sum(complete_views), "served_shards": sum(loaded_shards)}

    async def measure_idle(self) -> dict[str, float]:
        """Return the traffic, CPU time and platform calls of idle nodes."""
        calls = dict(self.table.calls)
        traffic = [node.traffic_bytes() for node in self.nodes]
        cpu, started = time.process_time(), clock.now()
        await anyio.sleep(MEASUREMENT_S)
        cpu, elapsed = time.process_time() - cpu, clock.now() - started
        rates = [
            (node.traffic_bytes() - old) / elapsed
            for node, old in zip(self.nodes, traffic, strict=True)
        ]
        platform_calls = {kind: (self.table.calls[kind] - calls[kind]) / elapsed for kind in calls}
        return {
            "bytes_per_s_per_node": sum(rates) / len(rates),
            "bytes_per_s_of_busiest_node": max(rates),
            "cpu_percent_per_node": 100 * cpu / elapsed / len(self.nodes),
            "platform_reads_per_s": platform_calls["read"],
            "platform_writes_per_s": platform_calls["write"],
            "platform_watches_per_s": platform_calls["watch"],
        }

    async def measure_updates(self) -> dict[str, float]:
        """Return how long all nodes take to apply small configurations and one of target size."""
        small_s = [await self.measure_update(models.FleetConfiguration()) for _ in range(UPDATES)]
        traffic = sum(node.traffic_bytes() for node in self.nodes)
        target_size_s = await self.measure_update(capacity_state.target_configuration())
        traffic = sum(node.traffic_bytes() for node in self.nodes) - traffic
        return {
            "update_small_median_s": sorted(small_s)[len(small_s) // 2],
            "update_small_max_s": max(small_s),
            "update_target_size_s": target_size_s,
            "update_target_size_kb_per_node": traffic / 1e3 / len(self.nodes),
        }

    async def measure_update(self, document: models.FleetConfiguration) -> float:
        """Change the configuration at the first node; return the seconds until all have it."""
        configuration = self.nodes[0].fleet.configuration
        started = clock.now()
        generation = await configuration.update(document, configuration.generation, "lab")
        with anyio.fail_after(UPDATE_TIMEOUT_S):
            while True:
                known = [node.fleet.configuration.generation for node in self.nodes]
                if min(known) >= generation:
                    return clock.now() - started
                await anyio.sleep(0.005)

    async def measure_failure(self, idle_bytes_per_s: float) -> dict[str, float]:
        """Kill a node; return the seconds until all shards are served, and the extra load."""
        await anyio.sleep(2.0)
        calls = dict(self.table.calls)
        killed, *survivors = self.nodes[::-1]
        traffic = sum(node.traffic_bytes() for node in survivors)
        killed.scope.cancel()
        started = clock.now()
        takeover_s = FAILURE_WINDOW_S
        while clock.now() - started < FAILURE_WINDOW_S:
            await anyio.sleep(0.02)
            served = sum(len(node.fleet.ownership.session.loaded) for node in survivors)
            if served == shards.SHARD_COUNT and takeover_s == FAILURE_WINDOW_S:
                takeover_s = clock.now() - started
        traffic = sum(node.traffic_bytes() for node in survivors) - traffic
        elapsed = clock.now() - started
        platform_calls = {kind: self.table.calls[kind] - calls[kind] for kind in calls}
        return {
            "failure_takeover_s": takeover_s,
            "failure_extra_bytes_per_node": traffic / len(survivors) - idle_bytes_per_s * elapsed,
            "failure_platform_reads_in_15_s": platform_calls["read"],
            "failure_platform_writes_in_15_s": platform_calls["write"],
        }


def measure(count: int, base_port: int) -> capacity_fit.Measure:
    """Return the figures of a fleet of ``count`` nodes in this process."""
    results: list[dict[str, float]] = []

    async def main() -> None:
        results.append(await Trial(count, base_port).run())

    anyio.run(main, backend_options={"use_uvloop": True})
    shape = "full mesh" if count <= ring.FULL_MESH_NODES else "8 partners"
    if results[0]["served_shards"] < shards.SHARD_COUNT:
        shape = "not at rest"
    return capacity_fit.Measure(f"nodes in one process, {shape} (nodes)", count, results[0])
