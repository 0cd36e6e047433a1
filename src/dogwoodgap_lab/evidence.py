"""Collect the oracle's evidence from a fleet that has settled."""

import contextlib

import anyio
import msgspec

from dogwoodgap import clock, exceptions, transport, views
from dogwoodgap_lab import agents, deployments, engine, load, oracle, plain_service, stage

SETTLE_LIMIT_S = 20.0
POLL_S = 0.5


async def collect(field: stage.FleetController, evidence: oracle.Evidence) -> None:
    """Add histories, budgets, ledgers, engine logs and held sessions."""
    by_customer = {item.name: item for item in field.layout.deployments}
    for trace in evidence.traces:
        if trace.program:
            await read_program(field, by_customer[trace.customer], trace, evidence)
    evidence.executions = await read_ledgers(field)
    evidence.engine_log = await read_engine_logs(field)
    evidence.refused_work = await read_refused(field)
    await wait_released(field, evidence)


async def read_refused(field: stage.FleetController) -> dict[str, list[float]]:
    """Return when work arrived at runners that were leaving."""
    return {item.id: await field.get_json(f"{item.url}/refused") for item in field.runners()}


async def read_program(
    field: stage.FleetController,
    deployment: deployments.Deployment,
    trace: agents.Trace,
    evidence: oracle.Evidence,
) -> None:
    """Read the history and the budget of a program as its caller would."""
    caller = load.caller(field, deployment)
    path = f"/v1/programs/{trace.program}"
    with contextlib.suppress(exceptions.NotFoundError):
        data = await caller.send(transport.Request("GET", f"{path}/history", program=trace.program))
        evidence.histories[trace.program] = msgspec.json.decode(data, type=views.HistoryView).turns
        data = await caller.send(transport.Request("GET", path, program=trace.program))
        view = msgspec.json.decode(data, type=views.ProgramView)
        evidence.remaining_tokens[trace.program] = view.remaining_tokens


async def read_ledgers(field: stage.FleetController) -> list[plain_service.Execution]:
    """Return all executed actions; the runners of a service share one ledger."""
    first = {item.service: item for item in reversed(field.runners()) if item.plain}
    found: list[plain_service.Execution] = []
    for runner in first.values():
        document = await field.get_json(f"{runner.url}/ledger")
        found.extend(msgspec.convert(document, list[plain_service.Execution]))
    return found


async def read_engine_logs(field: stage.FleetController) -> list[oracle.EngineEntry]:
    """Return all requests that engines accepted, in order of time."""
    found = []
    for runner in field.runners():
        if runner.plain:
            continue
        document = await field.get_json(f"{runner.url}/requests")
        for item in msgspec.convert(document, list[engine.RequestEntry]):
            found.append(
                oracle.EngineEntry(
                    runner.id, item.session, item.prompt_tokens, item.generated_tokens, item.at
                )
            )
    return sorted(found, key=lambda entry: entry.at)


async def read_held(field: stage.FleetController) -> dict[str, list[str]]:
    """Return the sessions that engines hold, by runner."""
    found = {}
    for runner in field.runners():
        if not runner.plain:
            document = await field.get_json(f"{runner.url}/cache")
            found[runner.id] = [item["session"] for item in document]
    return found


async def wait_released(field: stage.FleetController, evidence: oracle.Evidence) -> None:
    """Wait until no engine holds memory of ended programs, up to a limit."""
    give_up_at = clock.now() + SETTLE_LIMIT_S
    while True:
        evidence.held_sessions = await read_held(field)
        if not oracle.engine_memory(evidence) or clock.now() > give_up_at:
            return
        await anyio.sleep(POLL_S)
