"""All front machines are stopped and started in turn, while programs run."""

import asyncio
import collections
import pathlib
import random
import signal
import time

from stand_ins_3 import harness, http, machines, runners

TOLERATED_MACHINES = 1
FRONTS = (("a", 1), ("a", 2), ("a", 3), ("b", 1), ("b", 2), ("c", 1), ("c", 2))
GAP_S = 1.0
GRACE_S = 8.0
DOWN_S = 0.5
PROGRAMS = 12
FIRST_START_S = 6.2
START_SPREAD_S = 0.5
SUB_AGENTS = 3
CACHED_S = 3.0
BEFORE_S = 5.0
LONG_STREAMS_PER_S = 9.0
LONG_EVENTS = 28
LONG_PAUSE_S = 0.12
THINK_S = 0.06
BUDGET = 870
EVENTS = 9
EVENT_TOKENS = 10
TURN_TOKENS = EVENTS * EVENT_TOKENS
TRIES = 3
MAX_TURNS = 60
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


class SizedRunner(runners.Runner):
    """A runner whose streams have as many events as a request allows; long ones are slow."""

    async def handle(
        self, request: http.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request."""
        sized = runners.Runner(self.name, self.service, self.address, self.zone, EVENTS, self.runs)
        tokens = int(request.headers.get("token-count", f"0,{TURN_TOKENS}").split(",")[1])
        sized.events = tokens // EVENT_TOKENS
        if sized.events > EVENTS:
            sized.event_pause_s = LONG_PAUSE_S
        return await sized.handle(request, reader, writer)


class Case(harness.Case):
    """The deployment, its clients, and what they saw."""

    def __init__(self, folder: pathlib.Path):
        super().__init__(folder, TOLERATED_MACHINES)
        self.random = random.Random(1)
        self.tokens: collections.Counter[str] = collections.Counter()
        self.by_front: dict[str, collections.Counter[str]] = collections.defaultdict(
            collections.Counter
        )
        self.statuses: dict[str, list[int]] = collections.defaultdict(list)
        self.number = 0
        self.stopped_at: dict[str, float] = {}

    async def start(self) -> None:
        """Start the store, the runners and seven front machines."""
        await self.store.start()
        self.store.put("config", "main", spec=CONFIGURATION)
        for number in range(5):
            address = machines.free_address()
            runner = SizedRunner(f"i-{number}", "hull-llm", address, "a", EVENTS, self.runs)
            await runner.start(self.store)
        for zone, number in FRONTS:
            self.site.add(f"front-{zone}-{number}", "gateway", zone)
        for machine in self.site.machines:
            machine.start(is_first_start=True)
        for machine in self.site.machines:
            await machine.wait_until_ready()
        await asyncio.sleep(3.0)
        self.note("all machines have started")

    async def restart(self, machine: machines.Machine) -> None:
        """Stop a machine with SIGTERM, and start it again once its process has ended."""
        machine.signal(signal.SIGTERM)
        self.stopped_at[machine.name] = time.monotonic()
        self.note(f"{machine.name} gets SIGTERM")
        await asyncio.to_thread(machine.wait_for_end, GRACE_S)
        machine.kill()
        self.note(f"{machine.name} has ended")
        await asyncio.sleep(DOWN_S)
        machine.start(is_first_start=False)
        await machine.wait_until_ready()
        del self.stopped_at[machine.name]
        self.note(f"{machine.name} is ready again")

    def choose_front(self) -> machines.Machine:
        """Return a machine that a kept answer of a directory may name."""
        now = time.monotonic()
        fronts = [
            front
            for front in self.site.fronts
            if now - self.stopped_at.get(front.name, now) < CACHED_S
        ]
        return self.random.choice(fronts or self.site.fronts)

    async def long_streams(self) -> None:
        """Send long streams that belong to no program."""

        async def send() -> None:
            self.number += 1
            headers = {
                "Host": ROUTE["host"],
                "Attempt-Id": f"{self.number:08x}",
                "Deadline-Ms": "4000",
                "Token-Count": f"1166,{LONG_EVENTS * EVENT_TOKENS}",
                "Model": "m",
            }
            front = self.choose_front()
            await http.call(front.address("front"), "POST", "/plan/1", headers, b"x", timeout_s=4.5)

        async with asyncio.TaskGroup() as tasks:
            while True:
                tasks.create_task(send())
                await asyncio.sleep(1 / LONG_STREAMS_PER_S)

    async def roll(self) -> None:
        """Restart all machines in turn."""
        async with asyncio.TaskGroup() as tasks:
            for machine in self.site.fronts:
                tasks.create_task(self.restart(machine))
                await asyncio.sleep(GAP_S)

    async def turn(self, program: str, session: str) -> int:
        """Send a turn, again after a failure; return the last status and count the tokens."""
        status = 0
        for _ in range(TRIES):
            self.number += 1
            headers = {
                "Host": ROUTE["host"],
                "Attempt-Id": f"{self.number:08x}",
                "Program-Id": program,
                "Session-Id": session,
                "Deadline-Ms": "4000",
                "Finish-Ms": "5200",
                "Token-Budget": str(BUDGET),
                "Token-Count": f"1166,{TURN_TOKENS}",
                "Model": "m",
            }
            front = self.choose_front()
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

    async def loop(self, program: str, session: str) -> None:
        """Run turns of one line of a program until a 402."""
        for _ in range(MAX_TURNS):
            status = await self.turn(program, session)
            if status != 200:
                return
            await asyncio.sleep(self.random.expovariate(1 / THINK_S))

    async def run_program(self, program: str, delay_s: float) -> None:
        """Run a program that loops with several sub-agents until it is stopped."""
        await asyncio.sleep(delay_s)
        async with asyncio.TaskGroup() as tasks:
            for number in range(SUB_AGENTS):
                tasks.create_task(self.loop(program, f"{program}.{number}"))

    async def run(self) -> int:
        """Run the case; return the exit status."""
        await self.start()
        programs = [f"p{number:05x}" for number in range(PROGRAMS)]
        long_streams = asyncio.create_task(self.long_streams())
        await asyncio.sleep(BEFORE_S)
        async with asyncio.TaskGroup() as tasks:
            if harness.HAS_TROUBLE:
                tasks.create_task(self.roll())
            for number, program in enumerate(programs):
                delay_s = FIRST_START_S + START_SPREAD_S * number / PROGRAMS
                tasks.create_task(self.run_program(program, delay_s))
        long_streams.cancel()
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
