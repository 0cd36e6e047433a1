"""Token budgets of programs whose owner is removed for good while a new gateway comes.

Six gateways serve. Some programs have used half of their budgets when one gateway is removed for
good and another one comes at another address one second later. The programs were calling a tool
meanwhile, and then go on without end until they are told that their budget is spent.
"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stand_ins_2 import client, scene

from dogwoodgap import hashing

GATEWAYS = 7
"""Six at the start, and the one that comes."""

PROGRAMS = 8
BUDGET = 2_400
TURN_TOKENS = 290
EVENT_TOKENS = 10
EVENTS = 24
"""Events of a turn: 240 tokens."""

TURNS_BEFORE = 5
TURNS_AFTER = 14
NEW_AFTER_S = 1.0
"""Time after which the new machine comes (replace_core: x = 1, up to 4)."""

TOOL_S = 2.7
"""Time of the call of a tool; its deadline is 3 s."""

SETTLED_S = 17.0
"""Time for which the gateways run before the disruption."""


def programs(nodes: list[str], lost: str, new: str) -> list[str]:
    """Return programs whose budget the lost gateway keeps, and the new one then takes over.

    Only the order of the gateways for a program decides that: one of 42 programs on these seven.
    """
    found = []
    number = 0
    while len(found) < PROGRAMS:
        number += 1
        name = f"p{number:06x}"
        if hashing.rendezvous_order(name, nodes)[:2] == [new, lost]:
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

    def headers(self) -> dict[str, str]:
        """Return the headers of the next request."""
        self.sent += 1
        return {
            "Attempt-Id": f"{self.name}-{self.sent}",
            "Program-Id": self.name,
            "Session-Id": f"{self.name}-s",
            "Finish-Ms": "60000",
        }

    async def turn(self) -> None:
        """Run one turn; one that failed is sent again from its start, at most twice."""
        for _ in range(3):
            headers = self.headers() | {
                "Token-Budget": str(BUDGET),
                "Token-Count": f"600,{TURN_TOKENS}",
                "Model": "m",
                "Prompt-Prefix": f"5c1e07a2:500,{self.name}:100",
            }
            gateway = self.gateways[self.sent % len(self.gateways)]
            answer = await client.send(self.case.addresses[gateway]["front"], "/turn/a", headers)
            tokens = EVENT_TOKENS * len(answer.events)
            self.tokens += tokens
            self.case.record(
                "turn",
                program=self.name,
                attempt=answer.attempt,
                gateway=gateway,
                status=answer.status,
                tokens=tokens,
                sum=self.tokens,
                whole=answer.whole,
            )
            if answer.status == 402:
                self.is_spent = True
                return
            if answer.whole and answer.status == 200:
                return
            await asyncio.sleep(0.3)

    async def call_tool(self) -> None:
        """Call a tool."""
        headers = self.headers()
        gateway = self.gateways[0]
        address = self.case.addresses[gateway]["front"]
        answer = await client.send(address, "/call/b", headers, deadline_s=3.0, body=b"book")
        self.case.record("tool", program=self.name, status=answer.status, whole=answer.whole)

    async def go_on(self) -> None:
        """Run turns until the budget is spent."""
        for _ in range(TURNS_AFTER):
            if not self.is_spent:
                await self.turn()


async def replace(case: scene.Scene, lost: str, new: str) -> None:
    """Remove a gateway for good, and start another one at another address."""
    case.send_signal(lost, signal.SIGKILL)
    await asyncio.sleep(NEW_AFTER_S)
    case.start_gateway(new, first=False)
    await case.wait_ready(new)


async def play(case: scene.Scene, is_troubled: bool) -> bool:
    """Play the case; return whether BUDGET was broken."""
    await case.start_platform(GATEWAYS)
    case.platform.put("config", "main", "spec", scene.configuration(7))
    options = {"event_s": 0.02, "count": lambda request: EVENTS}
    for number in range(3):
        await case.new_runner(f"i-llm{number}", "hull-llm", **options).start()
    tool = case.new_runner("i-act0", "hull-actions", event_s=TOOL_S)
    await tool.start()
    *nodes, new = sorted(case.addresses)
    for name in nodes:
        case.start_gateway(name, first=True)
    await case.wait_ready(*nodes)
    await asyncio.sleep(SETTLED_S)

    lost, *serving = nodes
    chosen = programs([*nodes, new], lost, new)
    running = [Program(case, name, serving) for name in chosen]
    for _ in range(TURNS_BEFORE):
        await asyncio.gather(*(program.turn() for program in running))
    tools = [asyncio.create_task(program.call_tool()) for program in running]
    await asyncio.sleep(0.1)
    began_at = time.monotonic()
    if is_troubled:
        await replace(case, lost, new)
        case.record("replaced", took_s=round(time.monotonic() - began_at, 3))
    await asyncio.gather(*tools)
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
