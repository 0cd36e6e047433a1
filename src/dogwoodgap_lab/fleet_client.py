"""What the checks need to reach a fleet that ``fleet.sh`` has started."""

import contextlib
import dataclasses
import json
import os
import signal
import time

import anyio
import httpx
import typer

from dogwoodgap import ctl_client, exceptions
from dogwoodgap_lab import deployments

READY_TIMEOUT_S = 30.0
READY_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One line of a check's table; ``limit`` is the largest value that meets the aim."""

    name: str
    limit: float
    measured: float
    unit: str = ""

    @property
    def met(self) -> bool:
        """Whether the aim is met."""
        return self.measured <= self.limit


class FleetClient:
    """Reaches the nodes and the platform of a layout as administrator."""

    def __init__(self, layout: deployments.Layout, http: httpx.AsyncClient):
        self.layout = layout
        self.http = http
        self.names = [layout.node_name(index) for index in range(layout.node_count)]
        self.urls = dict(zip(self.names, layout.node_urls(), strict=True))

    def operator(self, node: str) -> ctl_client.Client:
        """Return the operators' client of one node."""
        return ctl_client.Client(self.http, [self.urls[node]])

    async def summary(self, node: str) -> dict:
        """Return the figures of a node, or raise httpx.HTTPError."""
        reply = await self.http.get(f"{self.urls[node]}/admin/v1/summary")
        reply.raise_for_status()
        return reply.json()

    async def dump(self, node: str) -> dict:
        """Return the state dump of a node."""
        reply = await self.http.get(f"{self.urls[node]}/admin/v1/dump")
        reply.raise_for_status()
        return reply.json()

    async def wait_ready(self) -> None:
        """Return when all nodes are ready and know each other."""
        with anyio.fail_after(READY_TIMEOUT_S):
            while not await self.complete():  # noqa: ASYNC110
                await anyio.sleep(READY_INTERVAL_S)

    async def complete(self) -> bool:
        """Return whether each node is ready and counts all nodes as alive."""
        for node in self.names:
            try:
                members = await self.operator(node).list_nodes()
            except exceptions.DogwoodgapError:
                return False
            if sum(member.state == "alive" for member in members) < len(self.names):
                return False
        return True

    async def configure(self) -> int:
        """Put the layout's configuration in force on all nodes and return its generation."""
        text = (self.layout.folder / "configuration.json").read_text(encoding="utf-8")
        operator = self.operator(self.names[0])
        request = ctl_client.Request(
            "PUT", "/configuration", json.loads(text), await operator.current_generation()
        )
        outcome = await operator.submit_change(request)
        await operator.wait(outcome.generation, READY_TIMEOUT_S)
        return outcome.generation

    async def set_platform_faults(self, **faults: object) -> None:
        """Switch faults of the platform stand-in."""
        reply = await self.http.put(f"{self.layout.platform_url}/faults", json=faults)
        reply.raise_for_status()

    def process_id(self, node: str) -> int:
        """Return the process id of a node, or 0 while it has none."""
        path = self.layout.folder / f"{node}.pid"
        with contextlib.suppress(FileNotFoundError, ValueError):
            return int(path.read_text(encoding="ascii"))
        return 0

    async def restart(self, node: str) -> None:
        """Kill a node of this fleet and return when ``fleet.sh`` starts it again."""
        killed = self.process_id(node)
        os.kill(killed, signal.SIGKILL)
        with anyio.fail_after(READY_TIMEOUT_S):
            while self.process_id(node) in {0, killed}:  # noqa: ASYNC110
                await anyio.sleep(READY_INTERVAL_S)


@contextlib.asynccontextmanager
async def connected(layout: deployments.Layout):
    """Yield a client of the fleet."""
    headers = {"Authorization": f"Bearer {deployments.ADMIN_TOKEN}"}
    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(
        headers=headers, timeout=5.0, limits=limits, trust_env=False
    ) as http:
        yield FleetClient(layout, http)


def report(rows: list[Row]) -> None:
    """Print a table of aims and figures; end with status 1 when one aim is missed."""
    load = os.getloadavg()[0]
    stamp = time.strftime("%Y-%m-%d %H:%M:%S")
    typer.echo(f"{stamp}, load {load:.0f} on {os.cpu_count()} processors")
    for row in rows:
        verdict = "met" if row.met else "MISSED"
        typer.echo(
            f"{row.name:<64} aim <= {row.limit:>8g} {row.unit:<6} measured {row.measured:>10.3f}"
            f"  {verdict}"
        )
    if not all(row.met for row in rows):
        raise typer.Exit(1)
