"""Token budgets of programs on a route that keeps turns, when a gateway is killed.

Some programs have used half of their budgets when one gateway is killed. Then each of them starts
sub-agents, one after the other, without end. A sub-agent runs turns of its own, and its first turn
is at the start of a chain, so that it names no turn before.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stand_ins_2 import client, scene

from dogwoodgap import hashing

GATEWAYS = 6
STORAGE = ("storage-brno-a-1", "storage-brno-b-1", "storage-znojmo-1")
ZONES = ("brno-a", "brno-b", "znojmo")
PROGRAMS = 8
BUDGET = 2_400
TURN_TOKENS = 290
EVENT_TOKENS = 10
EVENTS = 24
"""Events of a turn: 240 tokens."""

TURNS_BEFORE = 5
SUB_AGENTS = 7
SUB_AGENT_TURNS = 2
BACK_AFTER_S = 2.9
"""Time for which the killed process is down (node_kill: for_s = 3.5 at most)."""

SETTLED_S = 17.0
"""Time for which the gateways run before the disruption."""


def programs(nodes: list[str], lost: str) -> list[str]:
    """Return programs whose budget one gateway keeps, a sixth of all programs."""
    found = []
    number = 0
    while len(found) < PROGRAMS:
        number += 1
        name = f"p{number:06x}"
        if hashing.rendezvous_order(name, nodes)[0] == lost:
            found.append(name)
    return found


class Program:
    """A program that loops without end."""

    def __init__(self, case: scene.Scene, name: str, gateways: list[str]):
        self.case = case
        self.name = name
        self.gateways = gateways
        self.sent = 0
        self.tokens = 0
        self.is_spent = False
        self.session = "main"
        self.previous = ""
        self.text = b""
        """Whole prompt of the turns so far."""

    def headers(self) -> dict[str, str]:
        """Return the headers of the next request."""
        self.sent += 1
        return {
            "Attempt-Id": f"{self.name}-{self.sent}",
            "Program-Id": self.name,
            "Session-Id": f"{self.name}-{self.session}",
            "Finish-Ms": "60000",
        }

    async def turn(self, body: bytes) -> None:
        """Run one turn; one that failed is sent again from its start, at most twice."""
        for _ in range(3):
            headers = self.headers() | {
                "Token-Budget": str(BUDGET),
                "Token-Count": f"600,{TURN_TOKENS}",
                "Model": "m",
                "Prompt-Prefix": f"5c1e07a2:500,{self.name}:100",
            }
            if self.previous:
                headers["Previous-Turn"] = self.previous
            gateway = self.gateways[self.sent % len(self.gateways)]
            address = self.case.addresses[gateway]["front"]
            answer = await client.send(address, "/turn/a", headers, body=body)
            tokens = EVENT_TOKENS * len(answer.events)
            self.tokens += tokens
            self.case.record(
                "turn",
                program=self.name,
                attempt=answer.attempt,
                gateway=gateway,
                session=self.session,
                previous=self.previous,
                status=answer.status,
                tokens=tokens,
                sum=self.tokens,
                whole=answer.whole,
            )
            if answer.status == 402:
                self.is_spent = True
                return
            if answer.whole and answer.status == 200:
                self.previous = answer.attempt
                data = [event.split("data: ")[1].encode() + b"\n" for event in answer.events]
                self.text += body + b"".join(data)
                return
            await asyncio.sleep(0.3)

    async def go_on(self) -> None:
        """Start sub-agents until the budget is spent.

        The prompt of a sub-agent begins with the prompt of its parent.
        """
        parent = self.text
        for number in range(SUB_AGENTS):
            self.session = f"agent{number}"
            self.previous = ""
            for body in (parent + b"new task", *[b"go on"] * (SUB_AGENT_TURNS - 1)):
                if not self.is_spent:
                    await self.turn(body)


async def wait_registered(case: scene.Scene) -> None:
    """Wait until all storage processes have registered."""
    for _ in range(400):
        known = case.platform.kinds.get("dogwoodgap-storage", {})
        if all(name in known for name in STORAGE):
            return
        await asyncio.sleep(0.05)
    raise scene.CannotRunError("the storage processes do not register")


async def play(case: scene.Scene, is_troubled: bool) -> bool:
    """Play the case; return whether BUDGET was broken."""
    await case.start_platform(GATEWAYS)
    case.platform.put("config", "main", "spec", scene.configuration(7, retain=True))
    options = {"event_s": 0.02, "count": lambda request: EVENTS}
    for number in range(3):
        await case.new_runner(f"i-llm{number}", "hull-llm", **options).start()
    for number, name in enumerate(STORAGE):
        case.start_storage(name, number, ZONES[number], first=True)
    nodes = sorted(case.addresses)
    for name in nodes:
        case.start_gateway(name, first=True)
    await case.wait_ready(*nodes)
    await wait_registered(case)
    await asyncio.sleep(SETTLED_S)

    lost, *serving = nodes
    running = [Program(case, name, serving) for name in programs(nodes, lost)]
    for _ in range(TURNS_BEFORE):
        await asyncio.gather(*(program.turn(b"go on") for program in running))
    if is_troubled:
        case.send_signal(lost, signal.SIGKILL)
        going = [asyncio.create_task(program.go_on()) for program in running]
        await asyncio.sleep(BACK_AFTER_S)
        case.start_gateway(lost, first=False)
        await asyncio.gather(*going)
    else:
        await asyncio.gather(*(program.go_on() for program in running))

    limit = BUDGET + TURN_TOKENS
    broken = [program for program in running if program.tokens > limit]
    case.record(
        "result",
        limit=limit,
        tokens={program.name: program.tokens for program in running},
        records={
            name: item["spec"]
            for name, item in case.platform.kinds.get("dogwoodgap-budgets", {}).items()
        },
        broken=len(broken),
    )
    return bool(broken)


if __name__ == "__main__":
    sys.exit(scene.run(pathlib.Path(__file__).resolve().parent, play))
