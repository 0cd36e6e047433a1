"""Another writer puts an entry with a field of another type among the runners' entries."""

import asyncio
import collections
import pathlib
import sys
import time

from stand_ins import gateways, runners, scene

RUNNERS = 4
CLIENTS = 20
ENTRY_AT_S = 4.0
RUN_S = 25.0
RESTART_S = 0.5
"""A process that exits is started again after a short delay."""

ENDS, MACHINES = 3, 2
"""The rule: three ends on a tenth of the machines, two at least."""

RECORD = pathlib.Path(__file__).with_name("record.txt")


def foreign_entry() -> dict:
    """Return an entry whose ``slots`` is a time in Unix ms instead of a small count."""
    now_ms = int(time.time() * 1000)
    return {
        "service": "plain",
        "addr": "127.0.0.1:9",
        "zone": "z1",
        "version": "1",
        "slots": now_ms,
        "state": "ready",
        "coldLeftMs": 0,
        "seq": now_ms,
        "born": now_ms,
    }


async def play(played: scene.Scene) -> int:
    """Send plain requests while the entry is there; return the exit code."""
    for _ in range(RUNNERS):
        await played.add_runner("plain", slots=6, queue=24)
    await played.start_gateways()
    begin = time.time()
    ends: list[tuple[float, gateways.Gateway, int]] = []

    async def write_entry() -> None:
        await asyncio.sleep(ENTRY_AT_S)
        while scene.has_trouble():
            played.platform.put("servers", "i-foreign", spec=foreign_entry())
            await asyncio.sleep(runners.BEAT_S)

    async def supervise(gateway: gateways.Gateway) -> None:
        while True:
            await asyncio.sleep(0.05)
            code = gateway.process.poll()
            if code is not None:
                ends.append((time.time() - begin, gateway, code))
                await asyncio.sleep(RESTART_S)
                gateway.start(bootstrap=False)

    async def read(number: int) -> None:
        client = played.client(f"a{number:04x}-")
        while True:
            avoid: set[str] = set()
            await client.send(
                "/reads/1", {"Deadline-Ms": "1200"}, "", avoid=avoid, method="GET", body=b""
            )
            await asyncio.sleep(0.1)

    tasks = [asyncio.create_task(write_entry())]
    tasks += [asyncio.create_task(supervise(gateway)) for gateway in played.gateways]
    tasks += [asyncio.create_task(read(number)) for number in range(CLIENTS)]
    await asyncio.sleep(RUN_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    return check(played, ends, begin)


def check(
    played: scene.Scene, ends: list[tuple[float, gateways.Gateway, int]], begin: float
) -> int:
    """Write the record; return 1 if processes ended by themselves too often."""
    counts = collections.Counter(gateway.name for _, gateway, _ in ends)
    often = [name for name, count in counts.items() if count >= ENDS]
    statuses = collections.Counter(attempt.status for attempt in played.attempts)
    lines = [
        f"processes that ended by themselves: {dict(counts)}; {len(often)} gateways {ENDS} times "
        f"or more (below {MACHINES} allowed); answers by status, 0 for none: {dict(statuses)}"
    ]
    print(lines[0])
    for at, gateway, code in ends:
        lines.append(f"{at:8.3f} {gateway.name} ended with {code}")
    lines += [
        f"{attempt.at - begin:8.3f} {attempt.attempt} at {attempt.gateway} "
        f"status {attempt.status} took {attempt.took_s:.3f}"
        for attempt in played.attempts
    ]
    lines += [f"{run.at - begin:8.3f} runner {run.runner} ran {run.attempt}" for run in played.runs]
    RECORD.write_text("\n".join(lines) + "\n")
    return 1 if len(often) >= MACHINES else 0


if __name__ == "__main__":
    sys.exit(scene.main(play))
