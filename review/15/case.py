"""All front machines are killed while the platform's store is down, and programs return."""

import asyncio
import collections
import pathlib
import random
import time

from stand_ins_3 import harness, http, machines, runners

TOLERATED_MACHINES = 1
STORE_DOWN_S = 4.0
KILLED_AFTER_S = 3.0
DOWN_S = 0.63
PROGRAMS = 16
BUDGET = 870
EVENTS = 9
EVENT_TOKENS = 10
TURN_TOKENS = EVENTS * EVENT_TOKENS
MAX_TURNS = 60
TRIES = 3
ROUTE = {
    "name": "batch-plan",
    "host": "hull.example",
    "pathPrefix": "/plan/",
    "kind": "streaming",
    "timeoutMs": 4000,
    "sloMs": 200,
    "priority": 1,
    "service": "hull-llm",
    "attempts": 1,
    "retain": False,
    "retainS": 60.0,
    "sticky": True,
    "resumable": True,
    "gapAimMs": 200,
}
ENGINE = {"slots": 16, "kvTokens": 125987, "eventTokens": EVENT_TOKENS}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "hull-llm", "healthPath": "/healthz", "maxConns": 170, "engine": ENGINE}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


class Case(harness.Case):
    """The deployment, its clients, and what they saw."""

    def __init__(self, folder: pathlib.Path):
        super().__init__(folder, TOLERATED_MACHINES)
        self.random = random.Random(1)
        self.tokens: collections.Counter[str] = collections.Counter()
        self.tokens_before: dict[str, int] = {}
        self.statuses: dict[str, list[int]] = collections.defaultdict(list)
        self.number = 0

    async def start(self) -> None:
        """Start the store, the runners and four front machines."""
        await self.store.start()
        self.store.put("config", "main", spec=CONFIGURATION)
        for number in range(3):
            address = machines.free_address()
            runner = runners.Runner(f"i-{number}", "hull-llm", address, "a", EVENTS, self.runs)
            await runner.start(self.store)
        for zone, number in (("a", 1), ("a", 2), ("b", 1), ("c", 1)):
            self.site.add(f"front-{zone}-{number}", "gateway", zone)
        for machine in self.site.machines:
            machine.start(is_first_start=True)
        for machine in self.site.machines:
            await machine.wait_until_ready()
        await asyncio.sleep(3.0)
        self.note("all machines have started")

    async def turn(self, program: str) -> int:
        """Send a turn, again after a failure; return the last status and count the tokens."""
        status = 0
        for _ in range(TRIES):
            self.number += 1
            headers = {
                "Host": ROUTE["host"],
                "Attempt-Id": f"{self.number:08x}",
                "Program-Id": program,
                "Session-Id": program,
                "Deadline-Ms": "4000",
                "Finish-Ms": "5200",
                "Token-Budget": str(BUDGET),
                "Token-Count": f"1166,{TURN_TOKENS}",
                "Model": "m",
            }
            front = self.random.choice(self.site.fronts)
            answer = await http.call(
                front.address("front"), "POST", "/plan/1", headers, b"x" * 600, timeout_s=4.5
            )
            status = answer.status if answer is not None else 0
            if status == 200:
                self.tokens[program] += answer.body.count(b"\nid: ") * EVENT_TOKENS
                self.tokens[program] += answer.body.startswith(b"id: ") * EVENT_TOKENS
                return status
            if status == 402:
                return status
            await asyncio.sleep(self.random.uniform(0.1, 0.4))
        return status

    async def loop(self, program: str, turns: int) -> None:
        """Run turns of a program until it is stopped; a 402 stops it too."""
        for _ in range(turns):
            status = await self.turn(program)
            self.statuses[program].append(status)
            if status != 200:
                return

    async def run(self) -> int:
        """Run the case; return the exit status."""
        await self.start()
        programs = [f"p{number:05x}" for number in range(PROGRAMS)]
        if harness.HAS_TROUBLE:
            self.store.set_down(True)
            self.note("the store is down")
        down_at = time.monotonic()
        loops = asyncio.gather(*(self.loop(program, MAX_TURNS) for program in programs))
        await asyncio.sleep(KILLED_AFTER_S)
        await loops
        self.tokens_before = dict(self.tokens)
        self.note("the programs were stopped")
        if harness.HAS_TROUBLE:
            for machine in self.site.machines:
                machine.kill()
            self.note("all front machines were killed")
            await asyncio.sleep(DOWN_S)
            for machine in self.site.machines:
                machine.start(is_first_start=False)
            await asyncio.sleep(max(0.0, down_at + STORE_DOWN_S - time.monotonic()))
            self.store.set_down(False)
            self.note("the store is back")
            for machine in self.site.machines:
                await machine.wait_until_ready()
        self.note("the programs return")
        async with asyncio.TaskGroup() as tasks:
            for program in programs:
                tasks.create_task(self.loop(program, MAX_TURNS))
        exceeded = []
        for program in programs:
            tokens = self.tokens[program]
            is_exceeded = tokens > BUDGET + TURN_TOKENS
            exceeded += [program] * is_exceeded
            turns_run = sum(run.program == program for run in self.runs)
            statuses = self.statuses[program]
            self.note(
                f"{program}: {self.tokens_before.get(program, 0)} tokens before, {tokens} in all, "
                f"budget {BUDGET}; {len(statuses)} turns were sent and {turns_run} run, "
                f"the last answer was {statuses[-1]}{' EXCEEDED' if is_exceeded else ''}"
            )
        self.note(f"{len(exceeded)} programs got more than their budget and one turn")
        return harness.BROKEN if exceeded else harness.HELD


if __name__ == "__main__":
    harness.main(Case, __file__)
