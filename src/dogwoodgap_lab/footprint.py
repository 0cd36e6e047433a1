"""Measure memory and peer traffic of the nodes of a fleet, idle and with programs."""

import dataclasses

import anyio
import httpx
import typer

from dogwoodgap import clock, exceptions
from dogwoodgap_lab import deployments, fleet_client

PROGRAMS_PER_NODE = 1_000
PARALLEL_CALLERS = 84
SETTLE_S = 10.0
PROMPT = "note " * 200
OUTPUT_TOKENS = 20
WINDOW_S = 20.0
MEMORY_TARGET_KB = 64 * 1024
TRAFFIC_TARGET_BYTES_PER_S = 4 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Footprint:
    """Maxima over all nodes, and the number of active programs on the node with the fewest."""

    resident_kb: int
    traffic_bytes_per_s: float
    fewest_programs: int


async def measure(fleet: fleet_client.FleetClient) -> Footprint:
    """Measure all nodes over ``WINDOW_S``."""
    started = clock.now()
    before = {name: await fleet.dump(name) for name in fleet.names}
    await anyio.sleep(WINDOW_S)
    elapsed_s = clock.now() - started
    after = {name: await fleet.dump(name) for name in fleet.names}
    return Footprint(
        max(state["memory"]["resident_kb"] for state in after.values()),
        max(
            peer_traffic_bytes(after[name]) - peer_traffic_bytes(before[name])
            for name in fleet.names
        )
        / elapsed_s,
        min(state["programs"]["by_status"].get("active", 0) for state in after.values()),
    )


def peer_traffic_bytes(state: dict) -> int:
    """Return the bytes that a node has exchanged with its peers, from its state dump."""
    return state["peers"]["sent_bytes"] + state["peers"]["received_bytes"]


async def create_programs(layout: deployments.Layout, count: int) -> None:
    """Create programs through all nodes, and make one call for each."""
    deployment = layout.deployments[0]
    entries = layout.node_urls()
    headers = {"Authorization": f"Bearer {deployment.token}"}
    numbers = iter(range(count))

    async def create(entry: str) -> None:
        # One client per caller: a shared pool of 256 connections took 70 ms of CPU time per
        # program.
        async with httpx.AsyncClient(
            base_url=entry, headers=headers, timeout=30.0, trust_env=False
        ) as http:
            for number in numbers:
                # Each text differs, since the quarantine runs a text on two runners at most.
                messages = [{"role": "user", "content": f"{number} {PROMPT}"}]
                body = {"id": f"p{number}", "service": deployment.model_service}
                (await http.post("/v1/programs", json=body)).raise_for_status()
                call = {"seq": 1, "messages": messages, "max_tokens": OUTPUT_TOKENS}
                reply = await http.post(f"/v1/programs/p{number}/calls", json=call)
                reply.raise_for_status()

    async with anyio.create_task_group() as tasks:
        for number in range(PARALLEL_CALLERS):
            tasks.start_soon(create, entries[number % len(entries)])


async def check(layout: deployments.Layout) -> list[fleet_client.TargetResult]:
    """Measure the fleet idle and with programs, and return the results.

    Raises
    ------
    InvalidRequestError
        When a node has fewer than ``PROGRAMS_PER_NODE`` active programs.
    """
    async with fleet_client.connect(layout) as fleet:
        await fleet.wait_ready()
        await fleet.configure()
        await anyio.sleep(SETTLE_S)
        idle = await measure(fleet)
        typer.echo(f"idle: {idle}")
        await create_programs(layout, round(1.2 * PROGRAMS_PER_NODE * layout.node_count))
        await anyio.sleep(SETTLE_S)
        loaded = await measure(fleet)
    if loaded.fewest_programs < PROGRAMS_PER_NODE:
        raise exceptions.InvalidRequestError(
            f"a node has only {loaded.fewest_programs} active programs, too few to measure"
        )
    name = f"with {loaded.fewest_programs} programs or more"
    return [
        fleet_client.TargetResult(
            "resident memory, idle, largest node", MEMORY_TARGET_KB, idle.resident_kb, "kB"
        ),
        fleet_client.TargetResult(
            "peer traffic, idle, busiest node",
            TRAFFIC_TARGET_BYTES_PER_S,
            idle.traffic_bytes_per_s,
            "B/s",
        ),
        fleet_client.TargetResult(
            f"resident memory, {name}", MEMORY_TARGET_KB, loaded.resident_kb, "kB"
        ),
        fleet_client.TargetResult(
            f"peer traffic, {name}", TRAFFIC_TARGET_BYTES_PER_S, loaded.traffic_bytes_per_s, "B/s"
        ),
    ]
