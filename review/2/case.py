"""One gateway is lost while programs loop; their token budgets must hold."""

import asyncio
import pathlib
import random
import signal
import sys
import time

from stand_ins import budgets, scene

RUNNERS = 9
PROGRAMS = 110
EVENTS, EVENT_GAP_S = 29, 0.05
PAUSE_S = 1.0
"""Mean time of the tool calls between two turns."""

LOST_AT_S = 7.0
RUN_S = 45.0
RECORD = pathlib.Path(__file__).with_name("record.txt")


async def play(played: scene.Scene) -> int:
    """Run the programs and kill one gateway for good; return the exit code."""
    for _ in range(RUNNERS):
        await played.add_runner("model", events=EVENTS, gap_s=EVENT_GAP_S)
    await played.start_gateways()
    await asyncio.sleep(2.0)
    begin = time.time()

    async def lose_gateway() -> None:
        await asyncio.sleep(LOST_AT_S)
        if scene.has_trouble():
            lost = random.choice(played.gateways)
            lost.signal(signal.SIGKILL)
            print(f"killed {lost.name}")

    trouble = asyncio.create_task(lose_gateway())
    programs = await budgets.run_programs(played, PROGRAMS, PAUSE_S, trouble, RUN_S)
    return budgets.check(played, programs, begin, RECORD)


if __name__ == "__main__":
    sys.exit(scene.main(play))
