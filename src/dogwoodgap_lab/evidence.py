"""Collect evidence for the oracle from the nodes and fake servers of an idle fleet."""

import contextlib

import anyio
import msgspec

from dogwoodgap import clock, exceptions, transport, views
from dogwoodgap_lab import agents, deployments, engine, load, oracle, plain_service, stage

RELEASE_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.5


async def collect(controller: stage.FleetController, evidence: oracle.Evidence) -> None:
    """Add histories, budgets, ledgers, engine logs and held sessions to the evidence."""
    by_customer = {item.name: item for item in controller.layout.deployments}
    for trace in evidence.traces:
        if trace.program:
            await read_program(controller, by_customer[trace.customer], trace, evidence)
    evidence.executions = await read_ledgers(controller)
    evidence.engine_log = await read_engine_logs(controller)
    evidence.refused_work = await read_refused_work(controller)
    await wait_released(controller, evidence)


async def read_refused_work(controller: stage.FleetController) -> dict[str, list[float]]:
    """Return the wall times at which leaving runners refused work, by runner."""
    return {
        item.id: await controller.get_json(f"{item.url}/refused") for item in controller.runners()
    }


async def read_program(
    controller: stage.FleetController,
    deployment: deployments.Deployment,
    trace: agents.Trace,
    evidence: oracle.Evidence,
) -> None:
    """Add the history and the remaining budget of a program, read through the callers' API."""
    caller = load.create_client(controller, deployment)
    path = f"/v1/programs/{trace.program}"
    with contextlib.suppress(exceptions.NotFoundError):
        data = await caller.send(transport.Request("GET", f"{path}/history", program=trace.program))
        evidence.histories[trace.program] = msgspec.json.decode(data, type=views.HistoryView).turns
        data = await caller.send(transport.Request("GET", path, program=trace.program))
        view = msgspec.json.decode(data, type=views.ProgramView)
        evidence.remaining_tokens[trace.program] = view.remaining_tokens


async def read_ledgers(controller: stage.FleetController) -> list[plain_service.Execution]:
    """Return all executed actions, from one runner per service since they share one ledger."""
    first = {item.service: item for item in reversed(controller.runners()) if item.plain}
    executions: list[plain_service.Execution] = []
    for runner in first.values():
        document = await controller.get_json(f"{runner.url}/ledger")
        executions.extend(msgspec.convert(document, list[plain_service.Execution]))
    return executions


async def read_engine_logs(controller: stage.FleetController) -> list[oracle.EngineEntry]:
    """Return all requests that engines accepted, oldest first."""
    entries = []
    for runner in controller.runners():
        if runner.plain:
            continue
        document = await controller.get_json(f"{runner.url}/requests")
        for item in msgspec.convert(document, list[engine.RequestEntry]):
            entries.append(
                oracle.EngineEntry(
                    runner.id, item.session, item.prompt_tokens, item.generated_tokens, item.at
                )
            )
    return sorted(entries, key=lambda entry: entry.at)


async def read_held_sessions(controller: stage.FleetController) -> dict[str, list[str]]:
    """Return the sessions that engines hold, by runner."""
    sessions = {}
    for runner in controller.runners():
        if not runner.plain:
            document = await controller.get_json(f"{runner.url}/cache")
            sessions[runner.id] = [item["session"] for item in document]
    return sessions


async def wait_released(controller: stage.FleetController, evidence: oracle.Evidence) -> None:
    """Wait until no engine holds sessions of ended programs, for at most ``RELEASE_TIMEOUT_S``."""
    give_up_at = clock.now() + RELEASE_TIMEOUT_S
    while True:
        evidence.held_sessions = await read_held_sessions(controller)
        if not oracle.engine_memory(evidence) or clock.now() > give_up_at:
            return
        await anyio.sleep(POLL_INTERVAL_S)
