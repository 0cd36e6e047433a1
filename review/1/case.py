"""The settings change while a gateway stops: it gets SIGTERM, and SIGHUP 1.5 s later."""

import asyncio
import pathlib
import random
import signal
import sys
import time

from stand_ins import clients, gateways, scene

RUNNERS = 9
STREAMS = 60
EVENTS, EVENT_GAP_S = 29, 0.05
TURN_TOKENS = EVENTS * scene.EVENT_TOKENS
STOPS = 3
STOP_EVERY_S = 10.0
HUP_AFTER_S = 1.5
GRACE_S = 8.0
"""The bound ``graceS``."""

DEADLINE_MS = 4000
RECORD = pathlib.Path(__file__).with_name("record.txt")


async def stop(gateway: gateways.Gateway) -> tuple[str, float]:
    """Stop one gateway as planned, and start it again."""
    address = f"{gateway.ip}:{gateways.FRONT}"
    stopped_at = time.time()
    gateway.signal(signal.SIGTERM)
    await asyncio.sleep(HUP_AFTER_S)
    if scene.has_trouble():
        gateway.signal(signal.SIGHUP)
    # The process is not a child that the event loop could wait for.
    while gateway.process.poll() is None and time.time() < stopped_at + GRACE_S:  # noqa: ASYNC110
        await asyncio.sleep(0.02)
    print(
        f"{gateway.name} ended {time.time() - stopped_at:.1f} s after SIGTERM "
        f"with {gateway.process.poll()}"
    )
    gateway.end()
    gateway.start(bootstrap=False)
    return address, stopped_at


async def play(played: scene.Scene) -> int:
    """Read streams while gateways stop in turn; return the exit code."""
    for _ in range(RUNNERS):
        await played.add_runner("model", events=EVENTS, gap_s=EVENT_GAP_S)
    await played.start_gateways()
    await asyncio.sleep(2.0)
    begin = time.time()
    end = begin + STOPS * STOP_EVERY_S

    async def read_streams(number: int) -> None:
        client = played.client(f"a{number:04x}-")
        while time.time() < end:
            headers = {
                "Session-Id": f"s{number:04x}",
                "Token-Count": f"1166,{TURN_TOKENS}",
                "Prompt-Prefix": f"5c1e07a2:512,{random.getrandbits(32):08x}:654",
                "Model": "m",
                "Deadline-Ms": str(DEADLINE_MS),
            }
            avoid: set[str] = set()
            attempt = await client.send("/turns/1", headers, f"s{number:04x}", avoid=avoid)
            await asyncio.sleep(max(attempt.retry_after_s, random.uniform(0.1, 0.4)))

    stops: list[tuple[str, float]] = []
    async with asyncio.TaskGroup() as tasks:
        for number in range(STREAMS):
            tasks.create_task(read_streams(number))
        for gateway in random.sample(played.gateways, STOPS):
            stops.append(await stop(gateway))
            await asyncio.sleep(max(0.0, begin + len(stops) * STOP_EVERY_S - time.time()))
    return check(played, stops, begin)


def check(played: scene.Scene, stops: list[tuple[str, float]], begin: float) -> int:
    """Write the record; return 1 if a gateway that stopped cut a request that a runner had."""
    runs = {run.attempt: run for run in played.runs}
    lost: list[clients.Attempt] = []
    for attempt in played.attempts:
        ended_at = attempt.at + attempt.took_s
        is_in_stop = any(
            address == attempt.gateway and at <= ended_at <= at + GRACE_S + 1.0
            for address, at in stops
        )
        used_up = attempt.took_s >= DEADLINE_MS / 1000
        if is_in_stop and not attempt.whole and not used_up and attempt.attempt in runs:
            lost.append(attempt)
    lines = [
        f"{len(stops)} planned stops, {len(played.attempts)} requests, "
        f"{len(lost)} cut after they had reached a runner (none allowed)"
    ]
    print(lines[0])
    lines += [f"{at - begin:8.3f} {address} gets SIGTERM" for address, at in stops]
    for title, group in (("cut", lost), ("all", played.attempts)):
        lines.append(f"requests, {title}:")
        lines += [
            f"{attempt.at - begin:8.3f} {attempt.attempt} at {attempt.gateway} "
            f"status {attempt.status} events {len(attempt.events)} whole {attempt.whole} "
            f"took {attempt.took_s:.3f}"
            for attempt in group
        ]
    lines += [
        f"{run.at - begin:8.3f} runner {run.runner} ran {run.attempt}: {run.events} events, "
        f"{run.ended}"
        for run in played.runs
    ]
    RECORD.write_text("\n".join(lines) + "\n")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(scene.main(play))
