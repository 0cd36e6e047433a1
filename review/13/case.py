"""Front machines are cut off from all others, while clients and runners still reach them."""

import asyncio
import collections
import pathlib
import random
import time

from stand_ins_3 import harness, http, links, machines, runners

TOLERATED_MACHINES = 1
FRONTS = (("a", 1), ("a", 2), ("a", 3), ("b", 1), ("b", 2), ("c", 1), ("c", 2))
CUT_OFF = ("front-a-2", "front-b-1")
CUT_S = 12.0
PROGRAMS = 40
START_SPREAD_S = 7.0
LAST_S = 1.5
BUDGET = 870
EVENTS = 9
EVENT_TOKENS = 10
TURN_TOKENS = EVENTS * EVENT_TOKENS
TRIES = 3
TRIES_AFTER_REFUSAL = 2
MAX_TURNS = 60
STORE = "store"
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
        self.links = links.Links([f"front-{zone}-{number}" for zone, number in FRONTS])
        self.tokens: collections.Counter[str] = collections.Counter()
        self.by_front: dict[str, collections.Counter[str]] = collections.defaultdict(
            collections.Counter
        )
        self.statuses: dict[str, list[int]] = collections.defaultdict(list)
        self.number = 0

    async def start(self) -> None:
        """Start the store, the runners, and seven front machines with proxies on their links."""
        await self.store.start()
        self.store.put("config", "main", spec=CONFIGURATION)
        for number in range(5):
            address = machines.free_address()
            runner = runners.Runner(f"i-{number}", "hull-llm", address, "a", EVENTS, self.runs)
            await runner.start(self.store)
        for zone, number in FRONTS:
            machine = self.site.add(f"front-{zone}-{number}", "gateway", zone)
            machine.link_host = next(machines.hosts)
            control = f"{machine.link_host}:{self.site.ports['control']}"
            await self.links.proxy(control, machine.address("control"), machine.name)
            machine.store_address = machines.free_address()
            await self.links.proxy(
                machine.store_address, self.store.address, STORE, source=machine.name
            )
        for machine in self.site.machines:
            machine.start(is_first_start=True)
        for machine in self.site.machines:
            await machine.wait_until_ready()
        await asyncio.sleep(3.0)
        self.note("all machines have started")

    async def turn(self, program: str, until: float) -> int:
        """Send a turn, again after a failure; return the last status and count the tokens."""
        status = 0
        for _ in range(TRIES):
            if time.monotonic() >= until:
                return 0
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
            self.statuses[program].append(status)
            if status == 200:
                tokens = (b"\n" + answer.body).count(b"\nid: ") * EVENT_TOKENS
                self.tokens[program] += tokens
                self.by_front[program][front.name] += tokens
            if status in (200, 402):
                return status
            await asyncio.sleep(self.random.uniform(0.1, 0.4))
        return status

    async def loop(self, program: str, delay_s: float, until: float) -> None:
        """Run turns of a program until the third 402 in a row, as one that loops without end."""
        await asyncio.sleep(delay_s)
        refusals = 0
        for _ in range(MAX_TURNS):
            status = await self.turn(program, until)
            refusals = refusals + 1 if status == 402 else 0
            if refusals > TRIES_AFTER_REFUSAL or status not in (200, 402):
                return

    async def run(self) -> int:
        """Run the case; return the exit status."""
        await self.start()
        if harness.HAS_TROUBLE:
            self.links.isolated = set(CUT_OFF)
            self.note(f"{', '.join(CUT_OFF)} are cut off from all machines and from the store")
        until = time.monotonic() + CUT_S
        programs = [f"p{number:05x}" for number in range(PROGRAMS)]
        async with asyncio.TaskGroup() as tasks:
            for number, program in enumerate(programs):
                delay_s = (CUT_S - START_SPREAD_S - LAST_S) + START_SPREAD_S * number / PROGRAMS
                tasks.create_task(self.loop(program, delay_s, until))
        self.note(f"{CUT_S} s have passed")
        exceeded = []
        for program in programs:
            tokens = self.tokens[program]
            is_exceeded = tokens > BUDGET + TURN_TOKENS
            exceeded += [program] * is_exceeded
            turns_run = sum(run.program == program for run in self.runs)
            self.note(
                f"{program}: {tokens} tokens, budget {BUDGET}; {turns_run} turns were run; "
                f"tokens by machine {dict(self.by_front[program])}; "
                f"answers {self.statuses[program]}{' EXCEEDED' if is_exceeded else ''}"
            )
        self.note(f"{len(exceeded)} programs got more than their budget and one turn")
        return harness.BROKEN if exceeded else harness.HELD


if __name__ == "__main__":
    harness.main(Case, __file__)
