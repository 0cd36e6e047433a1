"""Control of a running test fleet: processes, fake servers and administration API."""

import collections.abc
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import typing

import anyio
import httpx
import msgspec

from dogwoodgap import clock, exceptions, shards
from dogwoodgap_lab import deployments, faults, objects

READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
SERVER_TIMEOUT_S = 10.0
ADMIN_HEADERS = {"Authorization": f"Bearer {deployments.ADMIN_TOKEN}"}


@dataclasses.dataclass(frozen=True, slots=True)
class Runner:
    """A backend server of the test fleet."""

    id: str
    service: str
    port: int
    plain: bool

    @property
    def url(self) -> str:
        """Return the runner's base URL."""
        return f"http://127.0.0.1:{self.port}"


@dataclasses.dataclass(frozen=True, slots=True)
class FleetEvent:
    """A logged event, such as an injected fault; ``at`` is wall time in seconds."""

    at: float
    text: str


class WaitTimeoutError(Exception):
    """A process did not reach an expected state in time."""


@contextlib.contextmanager
def time_limit(timeout_s: float, failure: str) -> collections.abc.Iterator[None]:
    """Return a context manager that limits the time of its block.

    Raises
    ------
    WaitTimeoutError
        When the block exceeds the time; ``failure`` is the start of the message.
    """
    try:
        with anyio.fail_after(timeout_s):
            yield
    except TimeoutError as error:
        raise WaitTimeoutError(f"{failure} within {timeout_s:g} s; read the logs") from error


class FleetController:
    """Controls the processes that ``fleet.sh`` started.

    Attributes
    ----------
    events : list of FleetEvent
        The events logged so far, oldest first.
    silence_count : int
        How often connections were silenced; see ``faults.RunnerFaults.silence``.
    """

    def __init__(self, layout: deployments.Layout, http: httpx.AsyncClient):
        self.layout = layout
        self.http = http
        self.started_at = clock.wall_time()
        self.events: list[FleetEvent] = []
        self.silence_count = 0

    def log_event(self, text: str) -> None:
        """Record an event and print it."""
        event = FleetEvent(clock.wall_time(), text)
        self.events.append(event)
        print(f"[{event.at - self.started_at:5.1f} s] {text}", flush=True)

    def runners(self) -> list[Runner]:
        """Return all backend servers."""
        runners = []
        for index, deployment in enumerate(self.layout.deployments):
            for number, port in enumerate(self.layout.model_ports(index)):
                name = f"{deployment.model_service}-{number + 1}"
                runners.append(Runner(name, deployment.model_service, port, plain=False))
            for number, port in enumerate(self.layout.plain_ports(index)):
                name = f"{deployment.plain_service}-{number + 1}"
                runners.append(Runner(name, deployment.plain_service, port, plain=True))
        return runners

    def path(self, index: int, suffix: str) -> pathlib.Path:
        """Return the path of a node's file with a suffix, such as ``pid``."""
        return self.layout.folder / f"{self.layout.node_name(index)}.{suffix}"

    def pid(self, index: int) -> int:
        """Return the process id of a node, or 0 if there is none."""
        try:
            return int(self.path(index, "pid").read_text(encoding="utf-8"))
        except (OSError, ValueError):
            return 0

    def exit_statuses(self, index: int) -> list[int]:
        """Return the exit statuses of all ended processes of a node."""
        try:
            return [int(line) for line in self.path(index, "exit").read_text().split()]
        except OSError:
            return []

    def send_signal(self, index: int, number: signal.Signals) -> bool:
        """Send a signal to a node; return whether it was running."""
        pid = self.pid(index)
        if not pid:
            return False
        with contextlib.suppress(ProcessLookupError):
            os.kill(pid, number)
            return True
        return False

    async def wait_exit(self, index: int, previous_count: int) -> None:
        """Wait until a node has exited more than ``previous_count`` times."""
        while True:
            if len(self.exit_statuses(index)) > previous_count:
                return
            await anyio.sleep(POLL_INTERVAL_S)

    async def is_ready(self, index: int) -> bool:
        """Return whether a node is ready and not stopping."""
        with contextlib.suppress(httpx.HTTPError):
            reply = await self.http.get(f"{self.layout.node_urls()[index]}/health", timeout=1.0)
            document = reply.json()
            return bool(document["ready"] and not document["stopping"])
        return False

    async def wait_ready(self, indexes: typing.Iterable[int]) -> None:
        """Wait until each of some nodes is ready."""
        for index in indexes:
            name = self.layout.node_name(index)
            with time_limit(READY_TIMEOUT_S, f"{name} was not ready"):
                while True:
                    if await self.is_ready(index):
                        break
                    await anyio.sleep(POLL_INTERVAL_S)

    async def configure(self) -> None:
        """Apply the configuration of the layout and wait until all nodes are ready."""
        document = json.loads((self.layout.folder / "configuration.json").read_text())
        node_url = self.layout.node_urls()[0]
        with time_limit(READY_TIMEOUT_S, "the configuration was not accepted"):
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    reply = await self.put_configuration(node_url, document, 0)
                    if reply.is_success:
                        break
                    if reply.status_code == httpx.codes.UNPROCESSABLE_ENTITY:
                        raise exceptions.SettingsInvalidError(
                            f"the configuration of the layout was refused: {reply.text}; correct it"
                        )
                await anyio.sleep(POLL_INTERVAL_S)
        await self.wait_ready(range(self.layout.node_count))

    async def assignment(self) -> shards.Assignment:
        """Return the assignment of shards that the platform stores."""
        reply = await self.http.get(f"{self.layout.platform_url}/objects/{shards.ASSIGNMENT_KEY}")
        return shards.decode(reply.raise_for_status().content)

    async def wait_shards_balanced(self) -> None:
        """Wait until every node owns at least half of an equal share of the shards.

        Returns without an error after ``READY_TIMEOUT_S``.
        """
        share = shards.SHARD_COUNT // self.layout.node_count
        with anyio.move_on_after(READY_TIMEOUT_S):
            while True:
                current = await self.assignment()
                held = [len(current.owned_by(owner)) for owner in current.owners()]
                balanced = len(held) == self.layout.node_count and min(held) * 2 > share
                if balanced and not current.sources():
                    return
                await anyio.sleep(POLL_INTERVAL_S)

    async def put_configuration(
        self, node_url: str, document: dict[str, typing.Any], generation: int
    ) -> httpx.Response:
        """Replace the configuration if ``generation`` is the current one."""
        headers = {**ADMIN_HEADERS, "If-Match": f'"{generation}"'}
        url = f"{node_url}/admin/v1/configuration"
        return await self.http.put(url, json=document, headers=headers, timeout=10.0)

    async def configuration(self, index: int) -> tuple[dict[str, typing.Any], int]:
        """Return the current configuration of a node and its generation."""
        url = f"{self.layout.node_urls()[index]}/admin/v1/configuration"
        reply = await self.http.get(url, headers=ADMIN_HEADERS, timeout=2.0)
        reply.raise_for_status()
        return reply.json(), int(reply.headers["etag"].strip('"'))

    async def generation(self, index: int) -> int | None:
        """Return the current generation of a node, or None when it does not answer."""
        url = f"{self.layout.node_urls()[index]}/admin/v1/configuration"
        with contextlib.suppress(httpx.HTTPError):
            reply = await self.http.get(url, headers=ADMIN_HEADERS, timeout=1.0)
            if reply.is_success:
                return int(reply.headers["etag"].strip('"'))
        return None

    async def set_platform_faults(self, **values: typing.Any) -> None:
        """Set the faults of the platform; those not named are turned off."""
        await self.put_faults(
            self.layout.platform_url, dataclasses.asdict(objects.StoreFaults(**values))
        )

    async def set_runner_faults(self, runner: Runner, **values: typing.Any) -> None:
        """Set the faults of a runner; those not named are turned off."""
        new_faults = faults.RunnerFaults(**{"silence": self.silence_count, **values})
        await self.put_faults(runner.url, msgspec.to_builtins(new_faults))

    async def put_faults(self, url: str, document: dict[str, typing.Any]) -> None:
        """Send faults to a fake server, retrying while it restarts after a crash."""
        with time_limit(SERVER_TIMEOUT_S, f"{url} did not accept its faults"):
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    (await self.http.put(f"{url}/faults", json=document)).raise_for_status()
                    return
                await anyio.sleep(POLL_INTERVAL_S)

    async def get_json(self, url: str) -> typing.Any:
        """Get JSON from a fake server, retrying while it restarts after a crash."""
        with time_limit(SERVER_TIMEOUT_S, f"{url} could not be read"):
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    return (await self.http.get(url)).raise_for_status().json()
                await anyio.sleep(POLL_INTERVAL_S)


@contextlib.asynccontextmanager
async def open_fleet(folder: pathlib.Path) -> typing.AsyncIterator[FleetController]:
    """Yield the controller of a fleet once it is configured and ready."""
    # No keep-alive, since an injected fault may silence open connections to a runner.
    limits = httpx.Limits(max_keepalive_connections=0)
    async with httpx.AsyncClient(limits=limits) as http:
        controller = FleetController(deployments.read_layout(folder), http)
        await controller.configure()
        await controller.wait_shards_balanced()
        yield controller
