"""Streams that clients take up again while gateways are restarted in turn during a release.

Four runners of version v1 serve when a release replaces two of them by runners of version v2, one
after the other. Three gateways are then stopped in turn; the third one serves the streams, and half
of the connections of its clients are reset. The clients take their streams up at another gateway.
"""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from stand_ins_2 import client, scene

from dogwoodgap import hashing

GATEWAYS = 7
STREAMS = 24
EVENTS = 26
EVENT_S = 0.13
"""Pause between events; the sheet allows 200 ms, and the whole stream takes 3.4 s of 4 s."""

GAP_S = 1.0
"""Pause between two stopped machines (roll_term: gap_s 1.3, with how = busy 1.0)."""

RESET_SHARE = 0.55
"""Share of the connections of one machine (reset_conns: x = 0.55, share = 0.35 of the machines)."""

RELEASE_GAP_S = 1.0
"""Pause between two replaced runners (release: share = 0.5 by default, x = 1, gap_s = 1)."""

SOLE_S = 22.0
"""Time for which all runners have one version before the release."""

MOST_MIXED = 2
"""Streams that may hold events of two versions (ORDER: more than two break the rule)."""


def programs(nodes: list[str], stopped: list[str], serving: str) -> list[str]:
    """Return programs whose streams are remembered at the gateways that are stopped.

    Only the order of the gateways for a program decides where that is: one program in 15 on seven
    gateways has these two.
    """
    others = [node for node in nodes if node != serving]
    found = []
    number = 0
    while len(found) < STREAMS:
        number += 1
        name = f"p{number:06x}"
        if set(hashing.rendezvous_order(name, others)[:2]) == set(stopped):
            found.append(name)
    return found


async def take_up(
    case: scene.Scene, begun: client.Answer, program: str, gateway: str
) -> client.Answer:
    """Take a broken stream up again at another gateway, with one retry."""
    answer = client.Answer("")
    for attempt in range(2):
        headers = turn_headers(f"{begun.attempt}-{attempt + 2}", program)
        headers |= {"Last-Event-Id": str(begun.last_id), "Resumes": begun.attempt}
        answer = await client.send(case.addresses[gateway]["front"], "/turn/a", headers)
        case.record(
            "taken up",
            attempt=answer.attempt,
            resumes=begun.attempt,
            after=begun.last_id,
            gateway=gateway,
            status=answer.status,
            events=answer.events,
            whole=answer.whole,
        )
        if answer.events or answer.status not in (429, 503):
            break
        await asyncio.sleep(float(answer.headers.get("retry-after", "0.1")))
    return answer


def turn_headers(attempt: str, program: str) -> dict[str, str]:
    """Return the headers of a turn."""
    return {
        "Attempt-Id": attempt,
        "Program-Id": program,
        "Session-Id": f"{program}-1",
        "Finish-Ms": "20000",
        "Token-Budget": "4000",
        "Token-Count": "600,300",
        "Model": "m",
        "Prompt-Prefix": f"5c1e07a2:500,{program}:100",
    }


def versions_of(*answers: client.Answer) -> list[str]:
    """Return the versions whose events a client got for one stream."""
    lines = [event for answer in answers for event in answer.events]
    return sorted({line.split("data: ")[1].split(" ")[0] for line in lines})


async def play(case: scene.Scene, is_troubled: bool) -> bool:
    """Play the case; return whether ORDER was broken."""
    await case.start_platform(GATEWAYS)
    case.platform.put("config", "main", "spec", scene.configuration(7))
    options = {"event_s": EVENT_S, "count": lambda request: EVENTS, "slots": 16}
    old = [case.new_runner(f"i-old{n}", "hull-llm", version="v1", **options) for n in range(4)]
    for runner in old:
        await runner.start()
    nodes = sorted(case.addresses)
    for name in nodes:
        case.start_gateway(name, first=True)
    await case.wait_ready(*nodes)
    await asyncio.sleep(SOLE_S)

    new = [case.new_runner(f"i-new{n}", "hull-llm", version="v2", **options) for n in range(2)]
    for added, replaced in zip(new, old, strict=False):
        await added.start()
        await asyncio.sleep(RELEASE_GAP_S)
        replaced.drain()
        case.record("release", added=added.id, draining=replaced.id)
    await asyncio.sleep(RELEASE_GAP_S)

    *stopped, serving = nodes[:3]
    gateway = nodes[-1]
    proxy = client.Proxy(case.addresses[serving]["front"])
    await proxy.start(case.address())
    chosen = programs(nodes, stopped, serving)
    tasks = [
        asyncio.create_task(client.send(proxy.address, "/turn/a", turn_headers(f"a-{p}", p)))
        for p in chosen
    ]
    await asyncio.sleep(0.6)
    if is_troubled:
        for name in (*stopped, serving):
            case.send_signal(name, signal.SIGTERM)
            await asyncio.sleep(GAP_S if name != serving else 0.2)
    else:
        await asyncio.sleep(2 * GAP_S + 0.2)
    case.record("connections reset", machine=serving, count=proxy.reset(RESET_SHARE))

    async def finish(program: str, task: asyncio.Task) -> list[str]:
        begun = await task
        case.record(
            "stream",
            attempt=begun.attempt,
            program=program,
            status=begun.status,
            events=begun.events,
            whole=begun.whole,
        )
        if begun.whole or not begun.events:
            return versions_of(begun)
        return versions_of(begun, await take_up(case, begun, program, gateway))

    results = await asyncio.gather(*map(finish, chosen, tasks))
    mixed = sum(len(versions) > 1 for versions in results)
    for runner in [*old, *new]:
        for run in runner.runs:
            case.record("run", runner=run.runner, attempt=run.attempt, events=run.events)
    case.record("result", mixed=mixed, allowed=MOST_MIXED, streams=len(results))
    return mixed > MOST_MIXED


if __name__ == "__main__":
    sys.exit(scene.run(pathlib.Path(__file__).resolve().parent, play))
