"""Memory and control traffic of the nodes of a fleet, idle and with programs."""

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
MEMORY_AIM_KB = 64 * 1024
TRAFFIC_AIM_BYTES_PER_S = 4 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Footprint:
    """The largest figures of all nodes, and the fewest programs of one."""

    resident_kb: int
    traffic_bytes_per_s: float
    fewest_programs: int


async def measure(fleet: fleet_client.FleetClient) -> Footprint:
    """Measure all nodes over one window."""
    started = clock.now()
    before = {name: await fleet.dump(name) for name in fleet.names}
    await anyio.sleep(WINDOW_S)
    elapsed_s = clock.now() - started
    after = {name: await fleet.dump(name) for name in fleet.names}
    return Footprint(
        max(state["memory"]["resident_kb"] for state in after.values()),
        max(exchanged(after[name]) - exchanged(before[name]) for name in fleet.names) / elapsed_s,
        min(state["programs"]["by_status"].get("active", 0) for state in after.values()),
    )


def exchanged(state: dict) -> int:
    """Return the bytes that a node has sent to and received from other nodes."""
    return state["peers"]["sent_bytes"] + state["peers"]["received_bytes"]


async def create_programs(layout: deployments.Layout, wanted: int) -> None:
    """Create programs with one call each, through all nodes."""
    deployment = layout.deployments[0]
    entries = layout.node_urls()
    headers = {"Authorization": f"Bearer {deployment.token}"}
    numbers = iter(range(wanted))

    async def create(entry: str) -> None:
        # One client per caller: a shared pool of 256 connections took 70 ms of processor time
        # for each program.
        async with httpx.AsyncClient(
            base_url=entry, headers=headers, timeout=30.0, trust_env=False
        ) as http:
            for number in numbers:
                # Different texts: the quarantine runs one text on two runners at most.
                messages = [{"role": "user", "content": f"{number} {PROMPT}"}]
                body = {"id": f"p{number}", "service": deployment.model_service}
                (await http.post("/v1/programs", json=body)).raise_for_status()
                call = {"seq": 1, "messages": messages, "max_tokens": OUTPUT_TOKENS}
                reply = await http.post(f"/v1/programs/p{number}/calls", json=call)
                reply.raise_for_status()

    async with anyio.create_task_group() as tasks:
        for number in range(PARALLEL_CALLERS):
            tasks.start_soon(create, entries[number % len(entries)])


async def check(layout: deployments.Layout) -> list[fleet_client.Row]:
    """Measure the fleet idle and with programs, and return the table."""
    async with fleet_client.connected(layout) as fleet:
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
            f"a node has only {loaded.fewest_programs} programs; create more"
        )
    name = f"with {loaded.fewest_programs} programs or more"
    return [
        fleet_client.Row(
            "resident memory, idle, largest node", MEMORY_AIM_KB, idle.resident_kb, "kB"
        ),
        fleet_client.Row(
            "peer traffic, idle, busiest node",
            TRAFFIC_AIM_BYTES_PER_S,
            idle.traffic_bytes_per_s,
            "B/s",
        ),
        fleet_client.Row(f"resident memory, {name}", MEMORY_AIM_KB, loaded.resident_kb, "kB"),
        fleet_client.Row(
            f"peer traffic, {name}", TRAFFIC_AIM_BYTES_PER_S, loaded.traffic_bytes_per_s, "B/s"
        ),
    ]
