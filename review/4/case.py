"""Streams are taken up again after four of seven gateways are killed during a release."""

import asyncio
import pathlib
import random
import sys
import time

from stand_ins import clients, runners, scene

RUNNERS = 12
SLOTS = 24
REPLACED = 6
"""A share of 0.5 of the runners."""

GAP_S = 1.0
LINGER_S = 6.0
STREAMS = 280
EVENTS, EVENT_GAP_S = 20, 0.14
OPTIONS = {"slots": SLOTS, "queue": 72, "events": EVENTS, "gap_s": EVENT_GAP_S}
TURN_TOKENS = EVENTS * scene.EVENT_TOKENS
KILLED = 4
"""A share of 0.55 to 0.6 of seven gateways."""

RELEASE_AT_S = 14.0
KILLED_AT_S = RELEASE_AT_S + REPLACED * GAP_S + 1.0
DOWN_S = (1.0, 2.0)
RUN_S = 27.0
DEADLINE_S = 4.0
MAX_TRIES = 4
ALLOWED = 2
"""Streams that may hold events of two versions."""

RECORD = pathlib.Path(__file__).with_name("record.txt")


async def release(played: scene.Scene) -> None:
    """Replace some runners: the new one starts first, then the old one drains and leaves."""
    old_runners = played.runners[:REPLACED]
    for old in old_runners:
        await played.add_runner("model", version="2", **OPTIONS)
        old.drain()
        asyncio.get_running_loop().call_later(LINGER_S, old.leave)
        await asyncio.sleep(GAP_S)


async def read_stream(client: clients.Client, name: str) -> list[clients.Attempt]:
    """Read one stream, and take it up again where its connection broke."""
    tries: list[clients.Attempt] = []
    deadline = time.time() + DEADLINE_S
    began = ""
    last = 0
    avoid: set[str] = set()
    while time.time() < deadline - 0.1 and len(tries) < MAX_TRIES:
        headers = {
            "Session-Id": name,
            "Token-Count": f"1166,{TURN_TOKENS}",
            "Prompt-Prefix": f"5c1e07a2:512,{random.getrandbits(32):08x}:654",
            "Model": "m",
            "Deadline-Ms": str(int((deadline - time.time()) * 1000)),
        }
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


async def play(played: scene.Scene) -> int:
    """Read streams, release, and kill the gateways; return the exit code."""
    for _ in range(RUNNERS):
        await played.add_runner("model", version="1", **OPTIONS)
    await played.start_gateways()
    begin = time.time()
    streams: list[list[clients.Attempt]] = []

    async def read_streams(number: int) -> None:
        client = played.client(f"a{number:04x}-")
        await asyncio.sleep(random.uniform(0.0, 2.0))
        count = 0
        while time.time() < begin + RUN_S:
            count += 1
            streams.append(await read_stream(client, f"s{number:04x}-{count}"))
            await asyncio.sleep(random.uniform(0.05, 0.3))

    async with asyncio.TaskGroup() as tasks:
        for number in range(STREAMS):
            tasks.create_task(read_streams(number))
        await asyncio.sleep(RELEASE_AT_S)
        tasks.create_task(release(played))
        await asyncio.sleep(KILLED_AT_S - RELEASE_AT_S)
        if scene.has_trouble():
            killed = random.sample(played.gateways, KILLED)
            print("killed", *[gateway.name for gateway in killed])
            await played.kill(killed, DOWN_S)
    return check(streams, played.runs, begin)


def check(streams: list[list[clients.Attempt]], runs: list[runners.Run], begin: float) -> int:
    """Write the record; return 1 if too many streams hold events of two versions."""
    joined = [
        tries
        for tries in streams
        if len({version for attempt in tries for version in attempt.versions}) > 1
    ]
    resumed = [tries for tries in streams if any(attempt.resumes for attempt in tries)]
    lines = [
        f"{len(streams)} streams, {len(resumed)} taken up again, "
        f"{len(joined)} with events of two versions (allowed: {ALLOWED})"
    ]
    print(lines[0])
    for title, group in (("of two versions", joined), ("taken up again", resumed)):
        lines.append(f"streams {title}:")
        lines += [
            f"{attempt.at - begin:8.3f} {attempt.program} {attempt.attempt} at {attempt.gateway} "
            f"status {attempt.status} resumes {attempt.resumes or '-'} "
            f"first {attempt.first_event} versions {''.join(attempt.versions)}"
            for tries in group
            for attempt in tries
        ]
    lines.append("runs at the runners:")
    lines += [
        f"{run.at - begin:8.3f} runner {run.runner} version {run.version} ran {run.attempt}: "
        f"from {run.first_event}, {run.events} events, {run.ended}"
        for run in runs
    ]
    RECORD.write_text("\n".join(lines) + "\n")
    return 1 if len(joined) > ALLOWED else 0


if __name__ == "__main__":
    sys.exit(scene.main(play))
