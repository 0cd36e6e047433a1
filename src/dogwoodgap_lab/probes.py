"""Probes sent to one node while it shuts down; none of their connections may break."""

import contextlib
import dataclasses
import math
import signal

import anyio
import httpx

from dogwoodgap import clock
from dogwoodgap_lab import deployments, oracle, stage

PROBE_TIMEOUT_S = 60.0
DISCOVERY_TTL_S = 5.0
MAX_REFUSALS_LOGGED = 3
END_EVENTS = ("event: done", "event: error")


@dataclasses.dataclass(frozen=True, slots=True)
class ProbePlan:
    """Timing of the probes around a planned stop.

    Attributes
    ----------
    duration_s, interval_s, tokens : float, float, int
        How long, how often and with how many output tokens probes are sent.
    lead_s : float
        Time between the first probe and SIGTERM.
    limit_s : float
        Maximum time to wait after the probes until the process ends.
    """

    duration_s: float
    interval_s: float
    tokens: int
    lead_s: float
    limit_s: float


async def stop_with_probes(
    controller: stage.FleetController, index: int, plan: ProbePlan, evidence: oracle.Evidence
) -> None:
    """Stop a node with SIGTERM while probes go through it, and record broken probes as evidence."""
    name = controller.layout.node_name(index)
    prober = Prober(controller, controller.layout.node_urls()[index])
    exits_before = len(controller.exit_statuses(index))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(prober.run, plan.duration_s, plan.interval_s, plan.tokens)
        await anyio.sleep(plan.lead_s)
        prober.signalled_at = clock.now()
        controller.send_signal(index, signal.SIGTERM)
        controller.log_event(f"{name} gets SIGTERM while it handles probes")
    with anyio.move_on_after(plan.limit_s):
        await controller.wait_exit(index, exits_before)
    statuses = controller.exit_statuses(index)[exits_before:]
    controller.log_event(
        f"{name} ended with status {statuses}: {prober.sent} probes, "
        f"{len(prober.cut)} cut, {len(prober.refused)} refused"
    )
    for text in prober.refused[:MAX_REFUSALS_LOGGED]:
        controller.log_event(f"refused: {text}")
    evidence.cut_requests += prober.cut
    evidence.probes_in_planned_stops += prober.sent
    if statuses != [0]:
        evidence.cut_requests.append(f"{name} ended with status {statuses} after SIGTERM")


@dataclasses.dataclass(slots=True)
class Prober:
    """Sends probe calls to one node, without retries.

    Attributes
    ----------
    cut : list of str
        Probes whose connection broke or whose stream ended without its last event.
    refused : list of str
        Probes that got a problem document, or whose connection was refused more than the discovery
        TTL after the signal, when the node need no longer listen.
    signalled_at : float
        Monotonic time of SIGTERM.
    """

    controller: stage.FleetController
    entry: str
    sent: int = 0
    signalled_at: float = math.inf
    cut: list[str] = dataclasses.field(default_factory=list)
    refused: list[str] = dataclasses.field(default_factory=list)

    async def run(self, duration_s: float, interval_s: float, max_tokens: int) -> None:
        """Send probes at a fixed interval and wait for all of them to end."""
        stop_at = clock.now() + duration_s
        limits = httpx.Limits(max_connections=None)
        async with (
            httpx.AsyncClient(base_url=self.entry, limits=limits, timeout=PROBE_TIMEOUT_S) as http,
            anyio.create_task_group() as tasks,
        ):
            while clock.now() < stop_at:
                self.sent += 1
                name = f"probe{self.sent}-{int(clock.wall_time() * 1000)}"
                tasks.start_soon(self.probe, http, name, max_tokens)
                await anyio.sleep(interval_s)

    async def probe(self, http: httpx.AsyncClient, program: str, max_tokens: int) -> None:
        """Create a program, make one streamed call and record how it ended."""
        layout_deployments = self.controller.layout.deployments
        deployment = layout_deployments[self.sent % len(layout_deployments)]
        started_at = clock.wall_time()
        try:
            problem = await run_probe(http, deployment, program, max_tokens)
        except httpx.HTTPError as error:
            refused = isinstance(error, httpx.ConnectError)
            if refused and clock.now() > self.signalled_at + DISCOVERY_TTL_S:
                self.refused.append(f"{program}: connected after the discovery TTL")
                return
            duration_s = clock.wall_time() - started_at
            self.cut.append(
                f"{self.entry} cut {program}, sent at "
                f"{started_at - self.controller.started_at:.2f} s, "
                f"after {duration_s:.2f} s: {type(error).__name__} {error}"
            )
            return
        if problem:
            self.refused.append(f"{program}: {problem}")


async def run_probe(
    http: httpx.AsyncClient, deployment: deployments.Deployment, program: str, max_tokens: int
) -> str:
    """Send the requests of one probe; return the problem document that ended it, or "".

    Raises
    ------
    httpx.HTTPError
        When a connection failed or an answer was incomplete.
    """
    headers = {"Authorization": f"Bearer {deployment.token}"}
    document = {"id": program, "service": deployment.model_service}
    reply = await http.post("/v1/programs", json=document, headers=headers)
    if not reply.is_success:
        return reply.text
    body = {
        "seq": 1,
        "messages": [{"role": "user", "content": f"{program} asks"}],
        "max_tokens": max_tokens,
        "stream": True,
    }
    problem = await stream(http, f"/v1/programs/{program}/calls", body, headers)
    # Ends the program; otherwise its cached prefix would count as held for a live program.
    with contextlib.suppress(httpx.ConnectError):
        await http.delete(f"/v1/programs/{program}", headers=headers)
    return problem


async def stream(
    http: httpx.AsyncClient, path: str, body: dict[str, object], headers: dict[str, str]
) -> str:
    """Read a streamed call to its last event; return its problem document, or "".

    Raises
    ------
    httpx.HTTPError
        When the stream ended without its last event.
    """
    last = ""
    async with http.stream("POST", path, json=body, headers=headers) as reply:
        if not reply.is_success:
            return (await reply.aread()).decode()
        async for line in reply.aiter_lines():
            if line.startswith("event: "):
                last = line
            elif last == "event: error" and line.startswith("data: "):
                return line
    if last not in END_EVENTS:
        raise httpx.RemoteProtocolError(f"the stream ended after {last or 'no event'!r}")
    return ""
