"""Measure CPU time, memory and platform calls of node processes.

``scripts/fleet.sh`` starts the processes; this module writes their settings and reads ``/proc``.
"""

import os
import pathlib
import shlex

import anyio
import httpx
import msgspec
import tomli_w

from dogwoodgap import clock, models, objectstore
from dogwoodgap_lab import capacity_fit, capacity_state

HTTP_PORT_OFFSET = 10
PEER_PORT_OFFSET = 50
RUNNER_PORT_OFFSET = 100
DATA_CENTRES = 7
ENGINE_PROCESSES = 4
START_TIMEOUT_S = 60.0
SETTLE_S = 15.0
MEASUREMENT_S = 15.0


class Shape(msgspec.Struct, frozen=True):
    """Size of a fleet; ``spread`` puts nodes and runners into all data centres instead of one."""

    part: str
    nodes: int
    runners: int
    base_port: int
    spread: bool = True

    @property
    def platform(self) -> str:
        """Return the base URL of the fake platform."""
        return f"http://127.0.0.1:{self.base_port}"

    def data_centre(self, number: int) -> str:
        """Return the data centre of a node or runner."""
        return f"dc{number % DATA_CENTRES if self.spread else 0}"


def write_files(shape: Shape, folder: pathlib.Path) -> None:
    """Write the settings of the nodes and the list of processes for ``fleet.sh``."""
    folder.mkdir(parents=True, exist_ok=True)
    lines = [f"platform lab dogwoodgap-lab platform --bind 127.0.0.1:{shape.base_port}"]
    ports = [shape.base_port + RUNNER_PORT_OFFSET + number for number in range(shape.runners)]
    for number in range(min(ENGINE_PROCESSES, shape.runners)):
        binds = " ".join(f"--bind 127.0.0.1:{port}" for port in ports[number::ENGINE_PROCESSES])
        lines.append(f"engines{number} lab dogwoodgap-lab engine-runner {binds}")
    for number in range(shape.nodes):
        path = folder / f"node{number}.toml"
        path.write_text(tomli_w.dumps(node_settings(shape, number)), encoding="utf-8")
        lines.append(f"node{number} node dogwoodgap-node run {shlex.quote(str(path))}")
    (folder / "processes").write_text("\n".join(lines) + "\n", encoding="utf-8")
    (folder / "shape.json").write_bytes(msgspec.json.encode(shape))


def node_settings(shape: Shape, number: int) -> dict[str, dict[str, object]]:
    """Return the settings document of a node."""
    peers = [f"127.0.0.1:{shape.base_port + PEER_PORT_OFFSET + n}" for n in range(shape.nodes)]
    return {
        "node": {
            "name": f"node{number}",
            "data_centre": shape.data_centre(number),
            "http_bind": f"127.0.0.1:{shape.base_port + HTTP_PORT_OFFSET + number}",
            "peer_bind": peers[number],
            "seeds": peers[:3],
        },
        "platform": {"url": shape.platform},
        "log": {"level": "warning"},
    }


def vm_list(shape: Shape) -> list[objectstore.Vm]:
    """Return the list of VMs that the platform reports."""
    addresses = [f"127.0.0.1:{shape.base_port + PEER_PORT_OFFSET + n}" for n in range(shape.nodes)]
    return [objectstore.Vm(f"node{n}", address) for n, address in enumerate(addresses)]


def configuration(shape: Shape) -> models.FleetConfiguration:
    """Return a fleet configuration with one model service."""
    model_runners = [
        models.Runner(
            id=f"r{number}",
            address=f"http://127.0.0.1:{shape.base_port + RUNNER_PORT_OFFSET + number}",
            data_centre=shape.data_centre(number),
        )
        for number in range(shape.runners)
    ]
    service = models.Service(kind="model", runners=model_runners)
    return models.FleetConfiguration(generation=1, services={"llm": service})


def cpu_seconds(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def wait_for_status(client: httpx.AsyncClient, url: str, status: int = 200) -> None:
    """Wait until a URL answers with a status.

    Raises
    ------
    TimeoutError
        When it has not within ``START_TIMEOUT_S``.
    """
    with anyio.fail_after(START_TIMEOUT_S):
        while True:
            try:
                if (await client.get(url)).status_code == status:
                    return
            except httpx.TransportError:
                pass
            await anyio.sleep(0.1)


async def measure(folder: pathlib.Path) -> capacity_fit.Measure:
    """Apply the configuration, let the fleet settle and measure its processes."""
    shape = msgspec.json.decode((folder / "shape.json").read_bytes(), type=Shape)
    async with httpx.AsyncClient(trust_env=False, timeout=10.0) as client:
        await wait_for_status(client, f"{shape.platform}/stats")
        data = configuration(shape).model_dump_json().encode()
        reply = await client.put(f"{shape.platform}/objects/config/current", content=data)
        reply.raise_for_status()
        # With an empty list of VMs, nodes would read it every 2 s instead of every 30 s.
        vms = await client.put(f"{shape.platform}/vms", content=msgspec.json.encode(vm_list(shape)))
        vms.raise_for_status()
        for number in range(shape.nodes):
            await wait_for_status(
                client, f"http://127.0.0.1:{shape.base_port + HTTP_PORT_OFFSET + number}/health"
            )
        await anyio.sleep(SETTLE_S)
        return await measure_idle(client, shape, folder)


async def measure_idle(
    client: httpx.AsyncClient, shape: Shape, folder: pathlib.Path
) -> capacity_fit.Measure:
    """Return the figures of an idle fleet over ``MEASUREMENT_S``."""
    pids = [int((folder / f"node{n}.pid").read_text()) for n in range(shape.nodes)]
    calls_before = (await client.get(f"{shape.platform}/stats")).json()
    started = clock.now()
    cpu_before = [cpu_seconds(pid) for pid in pids]
    await anyio.sleep(MEASUREMENT_S)
    elapsed = clock.now() - started
    cpu_percents = [
        100 * (cpu_seconds(node_pid) - before) / elapsed
        for node_pid, before in zip(pids, cpu_before, strict=True)
    ]
    rss_mb = [capacity_state.resident_bytes(pid) / 1e6 for pid in pids]
    calls_after = (await client.get(f"{shape.platform}/stats")).json()
    values = {
        "cpu_percent_mean": sum(cpu_percents) / len(cpu_percents),
        "cpu_percent_max": max(cpu_percents),
        "rss_mb_mean": sum(rss_mb) / len(rss_mb),
        "rss_mb_max": max(rss_mb),
        **{
            f"platform_{kind}_per_s": (calls_after[kind] - calls_before[kind]) / elapsed
            for kind in calls_before
        },
    }
    size = shape.runners if "(runners)" in shape.part else shape.nodes
    return capacity_fit.Measure(shape.part, size, values)
