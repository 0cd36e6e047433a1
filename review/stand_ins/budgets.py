"""Programs that loop until their budget is spent, and the check of what their clients received."""

import asyncio
import json
import pathlib
import random
import time

from stand_ins import clients, scene

BUDGET = 2320
MOST = 290
"""Most tokens that one turn generates, as its client says in ``Token-Count``."""


async def run_programs(
    played: scene.Scene,
    count: int,
    pause_s: float,
    trouble: asyncio.Task,
    run_s: float,
    prefix: str = "p",
) -> list[clients.Program]:
    """Run looping programs from now on while a disruption comes."""
    programs = [
        clients.Program(f"{prefix}{number:04x}", BUDGET, MOST, scene.EVENT_TOKENS)
        for number in range(count)
    ]

    async def run_one(program: clients.Program) -> None:
        await asyncio.sleep(random.uniform(0.0, pause_s))
        client = played.client(f"a{program.name}-")
        await clients.loop_program(client, program, pause_s, time.time() + run_s)

    async with asyncio.TaskGroup() as tasks:
        for program in programs:
            tasks.create_task(run_one(program))
    await trouble
    return programs


def check(
    played: scene.Scene, programs: list[clients.Program], begin: float, record: pathlib.Path
) -> int:
    """Write the record; return 1 if a program received more than its budget and one turn."""
    over = [program for program in programs if program.tokens > BUDGET + MOST]
    lines = [
        f"budget {BUDGET}, most of one turn {MOST}; {len(programs)} programs, "
        f"{len(over)} received more than {BUDGET + MOST} tokens: "
        + ", ".join(f"{program.name} {program.tokens}" for program in over)
    ]
    print(lines[0])
    lines += [json.dumps(vars(program)) for program in programs]
    lines += [
        f"{attempt.at - begin:8.3f} {attempt.program} {attempt.attempt} at {attempt.gateway} "
        f"status {attempt.status} events {len(attempt.events)} whole {attempt.whole} "
        f"took {attempt.took_s:.3f}"
        for attempt in played.attempts
    ]
    lines += [
        f"{run.at - begin:8.3f} runner {run.runner} ran {run.attempt}: {run.events} events, "
        f"{run.ended}"
        for run in played.runs
    ]
    record.write_text("\n".join(lines) + "\n")
    return 1 if over else 0
