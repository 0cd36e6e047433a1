"""Measures requests to services of different speeds, with real processes.

    python tests/slow_services.py --build . --play steady

Seven gateways run between stand-ins of servers, callers and the store. Each service has three
servers that take a fixed time for a request. Printed are, for each service: the share of requests
that were served, responses 502, runs a request, and response times next to the time of the work.
"""

import argparse
import asyncio
import collections
import dataclasses
import json
import pathlib
import random
import sys
import tempfile
import time

import crash_search
from stand_ins import runners, scene

SERVERS = 3
SLOTS = 64
PLAYS = ("steady", "one gateway", "hanging", "turning slow")
SLOW_FACTOR = 8
SLOW_S = (8.0, 16.0)
"""Time in which the servers of the last play are slow."""


@dataclasses.dataclass(frozen=True)
class Speed:
    """A service: the time of its work, the timeout of its route, and requests a second."""

    name: str
    work_s: float
    timeout_ms: int
    per_s: float


SPEEDS = [
    Speed("5ms", 0.005, 1200, 20.0),
    Speed("50ms", 0.05, 1200, 20.0),
    Speed("500ms-tight", 0.5, 1200, 20.0),
    Speed("500ms", 0.5, 4000, 20.0),
    Speed("5s", 5.0, 15000, 4.0),
]


class Server(runners.Runner):
    """A server that may hang, or be slow for a time."""

    hangs = False
    base_work_s = 0.0
    slow = (0.0, 0.0)

    async def run(self, request, attempt, writer):
        """Run one request."""
        if self.hangs:
            self.runs.append(
                runners.Run(time.time(), self.name, "1", self.service, attempt, {}, "")
            )
            await asyncio.Event().wait()
        is_slow = self.slow[0] <= time.time() < self.slow[1]
        self.work_s = self.base_work_s * (SLOW_FACTOR if is_slow else 1)
        await super().run(request, attempt, writer)


def configuration() -> dict:
    """Return one route and one service for each speed."""
    routes = [
        {
            **scene.PLAIN_ROUTE,
            "name": speed.name,
            "pathPrefix": f"/{speed.name}/",
            "timeoutMs": speed.timeout_ms,
            "service": speed.name,
        }
        for speed in SPEEDS
    ]
    services = [{"name": speed.name, "maxConns": 200} for speed in SPEEDS]
    return {**scene.CONFIGURATION, "routes": routes, "services": services}


async def play(name: str, build: pathlib.Path, seconds: float) -> scene.Scene:
    """Play one situation and return its scene."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary)
        (folder / "cuts.json").write_text(json.dumps({}))
        random.seed()
        played = scene.Scene(scene.free_net(scene.GATEWAYS), folder)
        for gateway in played.gateways:
            gateway.__class__ = crash_search.Gateway
            gateway.build = build
        await played.start()
        played.platform.put("config", "main", spec=configuration())
        begin = time.time() + 6.0
        for speed in SPEEDS:
            for number in range(SERVERS):
                server = await played.add_runner(speed.name, slots=SLOTS, work_s=speed.work_s)
                server.__class__ = Server
                server.base_work_s = speed.work_s
                server.hangs = name == "hanging" and number == 0
                if name == "turning slow" and speed.work_s < 1.0:
                    server.slow = (begin + SLOW_S[0], begin + SLOW_S[1])
        try:
            await played.start_gateways()
            await asyncio.sleep(max(0.0, begin - time.time()))
            async with asyncio.TaskGroup() as tasks:
                for speed in SPEEDS:
                    tasks.create_task(load(played, speed, name == "one gateway", seconds))
        finally:
            played.end()
    return played


async def load(played: scene.Scene, speed: Speed, is_one: bool, seconds: float) -> None:
    """Send the requests of one service at even intervals."""
    client = played.client(f"{speed.name}-")
    options = {"method": "GET", "body": b""}
    if is_one:
        options["gateway"] = f"{played.gateways[0].ip}:{crash_search.gateways.FRONT}"
    until = time.time() + seconds
    async with asyncio.TaskGroup() as tasks:
        while time.time() < until:
            headers = {"Deadline-Ms": str(speed.timeout_ms + 1000)}
            tasks.create_task(
                client.send(f"/{speed.name}/1", headers, speed.name, avoid=set(), **options)
            )
            await asyncio.sleep(1 / speed.per_s)


def report(name: str, played: scene.Scene) -> None:
    """Print a row for each service."""
    runs = collections.Counter(run.service for run in played.runs)
    for speed in SPEEDS:
        attempts = [one for one in played.attempts if one.path == f"/{speed.name}/1"]
        statuses = collections.Counter(attempt.status for attempt in attempts)
        took = sorted(attempt.took_s for attempt in attempts if attempt.status == 200)
        p50, p99 = (took[int(share * len(took))] if took else 0.0 for share in (0.5, 0.99))
        print(
            f"| {name} | {speed.name} | {statuses[200] / len(attempts):.3f} | {statuses[502]} "
            f"| {runs[speed.name] / len(attempts):.3f} | {p50:.3f} | {p99:.3f} "
            f"| {speed.work_s} |",
            flush=True,
        )


def main() -> int:
    """Play the chosen situations."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--build", type=pathlib.Path, default=crash_search.ROOT)
    parser.add_argument("--play", choices=PLAYS, action="append")
    parser.add_argument("--seconds", type=float, default=24.0)
    arguments = parser.parse_args()
    print("| play | service | served | 502 | runs a request | p50 s | p99 s | work s |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for name in arguments.play or PLAYS:
        build = arguments.build.resolve()
        report(name, asyncio.run(play(name, build, arguments.seconds)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
