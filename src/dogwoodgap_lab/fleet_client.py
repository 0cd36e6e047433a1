"""Client of a fleet that ``fleet.sh`` has started, for checks and measurements."""

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
class TargetResult:
    """A measured value and the largest value that meets the target."""

    name: str
    limit: float
    measured: float
    unit: str = ""

    @property
    def met(self) -> bool:
        """Whether the target is met."""
        return self.measured <= self.limit


class FleetClient:
    """Reaches the nodes and the platform of a layout as administrator."""

    def __init__(self, layout: deployments.Layout, http: httpx.AsyncClient):
        self.layout = layout
        self.http = http
        self.names = [layout.node_name(index) for index in range(layout.node_count)]
        self.urls = dict(zip(self.names, layout.node_urls(), strict=True))

    def admin_client(self, node: str) -> ctl_client.Client:
        """Return an administration client that talks to one node only."""
        return ctl_client.Client(self.http, [self.urls[node]])

    async def summary(self, node: str) -> dict:
        """Return the summary of a node.

        Raises
        ------
        httpx.HTTPError
            When the node does not answer with success.
        """
        reply = await self.http.get(f"{self.urls[node]}/admin/v1/summary")
        reply.raise_for_status()
        return reply.json()

    async def dump(self, node: str) -> dict:
        """Return the state dump of a node."""
        reply = await self.http.get(f"{self.urls[node]}/admin/v1/dump")
        reply.raise_for_status()
        return reply.json()

    async def wait_ready(self) -> None:
        """Wait until every node counts all nodes as alive."""
        with anyio.fail_after(READY_TIMEOUT_S):
            while not await self.all_members_alive():  # noqa: ASYNC110
                await anyio.sleep(READY_INTERVAL_S)

    async def all_members_alive(self) -> bool:
        """Return whether each node answers and counts all nodes as alive."""
        for node in self.names:
            try:
                members = await self.admin_client(node).list_nodes()
            except exceptions.DogwoodgapError:
                return False
            if sum(member.state == "alive" for member in members) < len(self.names):
                return False
        return True

    async def configure(self) -> int:
        """Apply the layout's configuration on all nodes and return its generation."""
        text = (self.layout.folder / "configuration.json").read_text(encoding="utf-8")
        admin = self.admin_client(self.names[0])
        request = ctl_client.Request(
            "PUT", "/configuration", json.loads(text), await admin.current_generation()
        )
        outcome = await admin.submit_change(request)
        await admin.wait_for_generation(outcome.generation, READY_TIMEOUT_S)
        return outcome.generation

    async def set_platform_faults(self, **faults: object) -> None:
        """Set the faults of the fake platform; those not named are off."""
        reply = await self.http.put(f"{self.layout.platform_url}/faults", json=faults)
        reply.raise_for_status()

    def process_id(self, node: str) -> int:
        """Return the process id of a node, or 0 while it does not run."""
        path = self.layout.folder / f"{node}.pid"
        with contextlib.suppress(FileNotFoundError, ValueError):
            return int(path.read_text(encoding="ascii"))
        return 0

    async def restart(self, node: str) -> None:
        """Kill a node and wait until ``fleet.sh`` has started its next process."""
        old_pid = self.process_id(node)
        os.kill(old_pid, signal.SIGKILL)
        with anyio.fail_after(READY_TIMEOUT_S):
            while self.process_id(node) in {0, old_pid}:  # noqa: ASYNC110
                await anyio.sleep(READY_INTERVAL_S)


@contextlib.asynccontextmanager
async def connect(layout: deployments.Layout):
    """Yield a client of the fleet with the administrator's key."""
    headers = {"Authorization": f"Bearer {deployments.ADMIN_TOKEN}"}
    limits = httpx.Limits(max_connections=None)
    async with httpx.AsyncClient(
        headers=headers, timeout=5.0, limits=limits, trust_env=False
    ) as http:
        yield FleetClient(layout, http)


def report(results: list[TargetResult]) -> None:
    """Print a table of targets and measured values.

    Raises
    ------
    typer.Exit
        With status 1 when a target is missed.
    """
    load_average = os.getloadavg()[0]
    timestamp = time.strftime("%Y-%m-%d %H:%M:%S")
    typer.echo(f"{timestamp}, load {load_average:.0f} on {os.cpu_count()} processors")
    for result in results:
        verdict = "met" if result.met else "MISSED"
        typer.echo(
            f"{result.name:<64} target <= {result.limit:>8g} {result.unit:<6} "
            f"measured {result.measured:>10.3f}  {verdict}"
        )
    if not all(result.met for result in results):
        raise typer.Exit(1)
