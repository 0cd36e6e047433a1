"""Another writer puts an entry that cannot be read among the runners' entries; a runner drains."""

import asyncio
import pathlib
import sys
import time

from stand_ins import scene

RUNNERS = 4
CLIENTS = 20
ENTRY_AT_S = 4.0
DRAIN_AT_S = 8.0
RUN_S = 16.0
DRAIN_S = 2.0
"""The bound ``drainMs``."""

UNREADABLE = b"\xff\xfe\x00\xd8\xff"
RECORD = pathlib.Path(__file__).with_name("record.txt")


async def play(played: scene.Scene) -> int:
    """Send plain requests and drain a runner; return the exit code."""
    for _ in range(RUNNERS):
        await played.add_runner("plain", slots=6, queue=24)
    await played.start_gateways()
    begin = time.time()
    drained = played.runners[0]

    async def read(number: int) -> None:
        client = played.client(f"a{number:04x}-")
        while True:
            avoid: set[str] = set()
            await client.send(
                "/reads/1", {"Deadline-Ms": "1200"}, "", avoid=avoid, method="GET", body=b""
            )
            await asyncio.sleep(0.1)

    tasks = [asyncio.create_task(read(number)) for number in range(CLIENTS)]
    await asyncio.sleep(ENTRY_AT_S)
    if scene.has_trouble():
        # In the store's JSON, the bytes stand in a string, as escapes of single surrogates.
        text = UNREADABLE.decode("utf-8", "surrogateescape")
        played.platform.put("servers", "i-foreign", spec=text)
    await asyncio.sleep(DRAIN_AT_S - ENTRY_AT_S)
    drained.drain()
    acknowledged_at = time.time()
    await asyncio.sleep(RUN_S - DRAIN_AT_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    late = [
        run
        for run in played.runs
        if run.runner == drained.name and run.at > acknowledged_at + DRAIN_S
    ]
    lines = [
        f"{len(late)} requests reached {drained.name} later than {DRAIN_S} s after the store "
        "had acknowledged that it drains (none allowed)"
    ]
    print(lines[0])
    lines.append(f"{acknowledged_at - begin:8.3f} {drained.name} is draining")
    lines += [
        f"{attempt.at - begin:8.3f} {attempt.attempt} at {attempt.gateway} "
        f"status {attempt.status} took {attempt.took_s:.3f}"
        for attempt in played.attempts
    ]
    lines += [f"{run.at - begin:8.3f} runner {run.runner} ran {run.attempt}" for run in played.runs]
    RECORD.write_text("\n".join(lines) + "\n")
    return 1 if late else 0


if __name__ == "__main__":
    sys.exit(scene.main(play))
