"""Four of seven gateways are killed at the same moment and come back, three times."""

import asyncio
import pathlib
import random
import sys
import time

from stand_ins import budgets, scene

RUNNERS = 9
PROGRAMS = 80
EVENTS, EVENT_GAP_S = 7, 0.025
PAUSE_S = 0.1
KILLED = 4
"""A share of 0.55 to 0.6 of seven gateways."""

KILLED_AT_S = 2.5
DOWN_S = (0.2, 1.0)
WAVES = 3
WAVE_S = 14.0
"""Longest time of the programs of one wave."""

RECORD = pathlib.Path(__file__).with_name("record.txt")


async def play(played: scene.Scene) -> int:
    """Run the programs, kill the gateways and start them again; return the exit code."""
    for _ in range(RUNNERS):
        await played.add_runner("model", events=EVENTS, gap_s=EVENT_GAP_S)
    await played.start_gateways()
    await asyncio.sleep(2.0)
    begin = time.time()
    programs = []

    async def kill_gateways() -> None:
        await asyncio.sleep(KILLED_AT_S)
        if scene.has_trouble():
            killed = random.sample(played.gateways, KILLED)
            print("killed", *[gateway.name for gateway in killed])
            await played.kill(killed, DOWN_S)

    for wave in range(WAVES):
        trouble = asyncio.create_task(kill_gateways())
        programs += await budgets.run_programs(
            played, PROGRAMS, PAUSE_S, trouble, WAVE_S, prefix=f"w{wave}p"
        )
    return budgets.check(played, programs, begin, RECORD)


if __name__ == "__main__":
    sys.exit(scene.main(play))
