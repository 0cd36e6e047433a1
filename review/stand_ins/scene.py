"""A small deployment: the platform's store, runners, and seven gateways in three zones."""

import asyncio
import collections.abc
import contextlib
import os
import pathlib
import random
import signal
import socket
import tempfile
import time
import traceback

from stand_ins import clients, gateways, runners, store

GATEWAYS = 7
SLOTS = 16
EVENT_TOKENS = 10
START_LIMIT_S = 30.0
RUNNER_PORT = 9000
STORE_PORT = 8142
FIRST_RUNNER = 100

MODEL_ROUTE = {
    "name": "turns",
    "host": clients.HOST,
    "pathPrefix": "/turns/",
    "kind": "streaming",
    "timeoutMs": 4000,
    "sloMs": 200,
    "priority": 1,
    "service": "model",
    "attempts": 1,
    "sticky": True,
    "resumable": True,
    "retain": False,
    "retainS": 60.0,
    "gapAimMs": 200,
}
PLAIN_ROUTE = {
    "name": "reads",
    "host": clients.HOST,
    "pathPrefix": "/reads/",
    "kind": "idempotent",
    "timeoutMs": 1200,
    "sloMs": 120,
    "priority": 2,
    "service": "plain",
    "attempts": 2,
}
CONFIGURATION = {
    "version": 7,
    "routes": [MODEL_ROUTE, PLAIN_ROUTE],
    "services": [
        {
            "name": "model",
            "maxConns": 170,
            "engine": {"slots": SLOTS, "kvTokens": 125987, "eventTokens": EVENT_TOKENS},
        },
        {"name": "plain", "maxConns": 100},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_net(addresses: int) -> str:
    """Return a loopback network whose addresses have all ports of a deployment free."""
    ports = [
        gateways.FRONT,
        gateways.READY,
        gateways.DIRECTORY,
        gateways.CONTROL,
        gateways.METRICS,
        gateways.RELAY,
        RUNNER_PORT,
        STORE_PORT,
    ]
    while True:
        net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        with contextlib.suppress(OSError):
            for port in ports:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f"{net}.{random.randint(1, addresses)}", port))
            return net


class Scene:
    """The processes and stand-ins of one run."""

    def __init__(self, net: str, folder: pathlib.Path):
        self.net = net
        self.platform = store.Store()
        self.runs: list[runners.Run] = []
        self.runners: list[runners.Runner] = []
        self.attempts: list[clients.Attempt] = []
        ips = [f"{net}.{number + 1}" for number in range(GATEWAYS)]
        self.gateways = [
            gateways.Gateway(
                f"front-{'abc'[number % 3]}-{number}",
                ip,
                f"z{number % 3}",
                folder,
                f"{net}.200:{STORE_PORT}",
                [ips[0], ips[3], ips[5]],
            )
            for number, ip in enumerate(ips)
        ]
        self.directory = clients.Directory(ips)

    async def add_runner(self, service: str, **options) -> runners.Runner:
        """Start a runner."""
        number = len(self.runners)
        runner = runners.Runner(
            f"i-{service}{number}",
            service,
            f"{self.net}.{FIRST_RUNNER + number}",
            RUNNER_PORT,
            self.runs,
            self.platform,
            zone=f"z{number % 3}",
            **options,
        )
        self.runners.append(runner)
        await runner.start()
        return runner

    def client(self, name: str) -> clients.Client:
        """Return a new client."""
        return clients.Client(self.directory, self.attempts, name)

    async def start(self) -> None:
        """Start the store and the gateways, and wait until the directory names all of them."""
        self.platform.put("config", "main", spec=CONFIGURATION)
        await self.platform.start(f"{self.net}.200", STORE_PORT)

    async def start_gateways(self) -> None:
        """Start the gateways, and wait until the directory names all of them."""
        for gateway in self.gateways:
            gateway.start(bootstrap=True)
        until = time.time() + START_LIMIT_S
        while len(await self.directory.resolve()) < GATEWAYS:
            if time.time() > until:
                raise TimeoutError("the gateways did not start")
            await asyncio.sleep(0.2)

    async def kill(self, killed: list[gateways.Gateway], down_s: tuple[float, float]) -> None:
        """Kill processes at the same moment; each is started again after a time in the range."""
        for gateway in killed:
            gateway.signal(signal.SIGKILL)
        async with asyncio.TaskGroup() as tasks:
            for gateway in killed:
                tasks.create_task(self.restart(gateway, random.uniform(*down_s)))

    async def restart(self, gateway: gateways.Gateway, after_s: float) -> None:
        """Start a killed process again."""
        await asyncio.sleep(after_s)
        gateway.end()
        gateway.start(bootstrap=False)

    def end(self) -> None:
        """End all processes."""
        for gateway in self.gateways:
            gateway.end()


Play = collections.abc.Callable[[Scene], collections.abc.Awaitable[int]]


async def run(play: Play) -> int:
    """Play a case in a new scene and return its exit code."""
    with tempfile.TemporaryDirectory() as folder:
        scene = Scene(free_net(GATEWAYS), pathlib.Path(folder))
        try:
            await scene.start()
            return await play(scene)
        finally:
            scene.end()


def main(play: Play) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    seed = os.environ.get("SEED")
    random.seed(seed)
    try:
        return asyncio.run(run(play))
    except BaseException:
        traceback.print_exc()
        return 2
