"""Replaces the gateways of an older build one after the other under load, and rolls back.

    git worktree add ../old COMMIT
    python tests/upgrade_search.py --old ../old --seed 1 --count 10

What callers and servers see is checked: token budgets, streams of two software versions, requests
that crash servers, and requests that a gateway cuts while it stops as planned.
"""

import argparse
import asyncio
import collections
import contextlib
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

import crash_search
from stand_ins import budgets, clients, scene

REPLACE_GAP_S = 2.0
STOP_LIMIT_S = 10.0
SETTLE_S = 4.0
LOOPING_PROGRAMS = 30
PAUSE_S = 0.7
RESUMED_STREAMS = 25
STREAM_DEADLINE_S = 4.0
ALLOWED_JOINED = 2
ALLOWED_CUT = 3


class Upgrade(crash_search.Search):
    """One upgrade and the way back, with a release of the servers and crashing requests."""

    def __init__(self, seed: int, folder: pathlib.Path, old: pathlib.Path):
        super().__init__(seed, folder, seconds=0.0)
        self.old = old
        self.kinds = []
        self.programs: list[clients.Program] = []
        self.streams: list[list[clients.Attempt]] = []
        self.stops: dict[str, list[tuple[float, float]]] = collections.defaultdict(list)
        for gateway in self.scene.gateways:
            gateway.build = old

    async def replace(self, gateway: crash_search.Gateway, build: pathlib.Path) -> None:
        """Stop a gateway as planned, and start it with another build."""
        begin = time.time()
        self.disturb(STOP_LIMIT_S, gateway.ip)
        gateway.signal(signal.SIGTERM)
        with contextlib.suppress(subprocess.TimeoutExpired):
            await asyncio.to_thread(gateway.process.wait, STOP_LIMIT_S)
        self.stops[gateway.ip].append((begin, time.time()))
        gateway.end()
        gateway.build = build
        gateway.start(bootstrap=False)
        self.note(f"{gateway.name} runs {build.name}")

    async def replace_all(self, build: pathlib.Path) -> None:
        """Replace all gateways one after the other."""
        order = self.random.sample(self.scene.gateways, len(self.scene.gateways))
        async with asyncio.TaskGroup() as tasks:
            for gateway in order:
                tasks.create_task(self.replace(gateway, build))
                await asyncio.sleep(REPLACE_GAP_S)
        await asyncio.sleep(SETTLE_S)

    async def loop_program(self, number: int) -> None:
        """Run looping programs one after the other."""
        client = self.scene.client(f"d{number:04x}-")
        for count in range(1_000):
            program = clients.Program(
                f"loop{number}-{count}", budgets.BUDGET, budgets.MOST, scene.EVENT_TOKENS
            )
            self.programs.append(program)
            await clients.loop_program(client, program, PAUSE_S, time.time() + 600.0)

    async def resume_streams(self, number: int) -> None:
        """Read streams, and take those up again that broke."""
        client = self.scene.client(f"e{number:04x}-")
        count = 0
        while True:
            count += 1
            self.streams.append(await self.read_stream(client, f"s{number}-{count}"))
            await asyncio.sleep(0.2)

    async def read_stream(self, client: clients.Client, name: str) -> list[clients.Attempt]:
        """Read one stream."""
        tries: list[clients.Attempt] = []
        deadline = time.time() + STREAM_DEADLINE_S
        began, last = "", 0
        avoid: set[str] = set()
        while time.time() < deadline - 0.1 and len(tries) < 4:
            headers = {"Session-Id": name, "Token-Count": "1166,290", "Model": "m"}
            headers |= {"Prompt-Prefix": f"5c1e07a2:512,{random.getrandbits(32):08x}:654"}
            headers |= {"Deadline-Ms": str(int((deadline - time.time()) * 1000))}
            if began:
                headers |= {"Last-Event-Id": str(last), "Resumes": began}
            attempt = await client.send("/turns/1", headers, name, avoid=avoid)
            tries.append(attempt)
            if attempt.events:
                began = began or attempt.attempt
                last = attempt.events[-1]
            if attempt.whole and attempt.status not in clients.PROMISES:
                break
            await asyncio.sleep(min(attempt.retry_after_s, 0.3) or 0.02)
        return tries

    async def play(self) -> None:
        """Upgrade and roll back under load."""
        self.write_cuts()
        await self.scene.start()
        for service in sorted(crash_search.CRASHING_PREFIXES):
            for _ in range(8):
                await self.add_server(service, events=29, gap_s=0.05)
        try:
            await self.scene.start_gateways()
            await asyncio.sleep(1.0)
            self.begin = time.time()
            self.seconds = 2 * (len(self.scene.gateways) * REPLACE_GAP_S + 8.0 + SETTLE_S)
            self.spawn(self.expire_entries())
            for number in range(crash_search.READERS):
                self.spawn(self.read(number))
            for number in range(LOOPING_PROGRAMS):
                self.spawn(self.loop_program(number))
            for number in range(RESUMED_STREAMS):
                self.spawn(self.resume_streams(number))
            for number in range(2):
                self.spawn(self.send_crashing(number))
            await asyncio.sleep(SETTLE_S)
            await self.replace_all(crash_search.ROOT)
            self.spawn(self.release_servers())
            await self.replace_all(self.old)
        finally:
            await self.end_tasks()
            self.scene.end()

    def failures(self) -> dict[str, int]:
        """Return how often each promise was broken."""
        most = budgets.BUDGET + budgets.MOST
        joined = [
            tries
            for tries in self.streams
            if len({version for attempt in tries for version in attempt.versions}) > 1
        ]
        late = collections.Counter(arrival.path for arrival in self.late())
        return {
            "programs above their budget": sum(program.tokens > most for program in self.programs),
            "streams of two versions": max(0, len(joined) - ALLOWED_JOINED),
            "late arrivals of a crashing request": max(
                0, max(late.values(), default=0) - crash_search.ALLOWED_RETRIES
            ),
            "unexpected errors in logs": sum(
                path.read_text().count("Traceback") for path in self.folder.glob("*.log")
            ),
            "requests cut by planned stops": max(0, len(self.cut()) - ALLOWED_CUT),
        }

    def cut(self) -> list[clients.Attempt]:
        """Return the requests that ended without an answer at gateways that stopped."""
        return [
            attempt
            for attempt in self.scene.attempts
            if not attempt.whole
            and (attempt.status or attempt.took_s > 0.3)
            and not attempt.attempt.startswith("c0")
            and any(
                begin <= attempt.at + attempt.took_s <= end
                for begin, end in self.stops[attempt.gateway.partition(":")[0]]
            )
        ]


async def play(seed: int, old: pathlib.Path, keep: pathlib.Path | None) -> bool:
    """Play one seed, print what came of it, and return whether all promises held."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary) if keep is None else keep / f"upgrade-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        upgrade = Upgrade(seed, folder, old)
        await upgrade.play()
        failures = {name: count for name, count in upgrade.failures().items() if count}
        (folder / "timeline.txt").write_text(upgrade.report() + "\n")
    statuses = collections.Counter(attempt.status for attempt in upgrade.scene.attempts)
    print(
        f"seed {seed}: {failures or 'held'}; {len(upgrade.programs)} programs, "
        f"{len(upgrade.streams)} streams, answers {dict(statuses)}",
        flush=True,
    )
    return not failures


def main() -> int:
    """Play seeds one after the other; return 1 if a promise was broken on any."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--old", type=pathlib.Path, required=True, help="checkout of the old build")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--keep", type=pathlib.Path, help="folder for timelines and logs")
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.count)
    old = arguments.old.resolve()
    held = [asyncio.run(play(seed, old, arguments.keep)) for seed in seeds]
    print(f"{sum(held)} of {len(held)} seeds held")
    return 0 if all(held) else 1


if __name__ == "__main__":
    sys.exit(main())
