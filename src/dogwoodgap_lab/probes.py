"""Requests that go straight to one entry while it stops as planned; none may be cut."""

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
MAX_REFUSALS_NOTED = 3
END_EVENTS = ("event: done", "event: error")


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """How a planned stop is watched.

    Attributes
    ----------
    duration_s, interval_s, tokens : float, float, int
        How long, how often and with how many output tokens probes are sent.
    lead_s : float
        Time between the first probe and the signal.
    limit_s : float
        Longest time for which the end of the process is awaited after the probes.
    """

    duration_s: float
    interval_s: float
    tokens: int
    lead_s: float
    limit_s: float


async def planned_stop(
    field: stage.FleetController, index: int, plan: Plan, found: oracle.Evidence
) -> None:
    """Stop a node with SIGTERM while probes go through it, and add what was cut to the evidence."""
    name = field.layout.node_name(index)
    watched = Probes(field, field.layout.node_urls()[index])
    before = len(field.exit_statuses(index))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watched.run, plan.duration_s, plan.interval_s, plan.tokens)
        await anyio.sleep(plan.lead_s)
        watched.signalled_at = clock.now()
        field.send_signal(index, signal.SIGTERM)
        field.log_event(f"{name} stops as planned (SIGTERM), with requests through it")
    with anyio.move_on_after(plan.limit_s):
        await field.wait_exit(index, before)
    statuses = field.exit_statuses(index)[before:]
    field.log_event(
        f"{name} ended with status {statuses}: {watched.sent} probes, "
        f"{len(watched.cut)} cut, {len(watched.refused)} refused"
    )
    for text in watched.refused[:MAX_REFUSALS_NOTED]:
        field.log_event(f"refused: {text}")
    found.cut_requests += watched.cut
    found.probes_in_planned_stops += watched.sent
    if statuses != [0]:
        found.cut_requests.append(f"{name} ended with status {statuses} after SIGTERM")


@dataclasses.dataclass(slots=True)
class Probes:
    """Calls sent to one entry, never repeated.

    Attributes
    ----------
    cut : list of str
        Probes whose connection broke or whose stream ended without its last event.
    refused : list of str
        Probes that got a problem document, or that opened a connection when the node had
        listened for its discovery TTL after the signal.
    signalled_at : float
        Monotonic time of the signal to stop.
    """

    field: stage.FleetController
    entry: str
    sent: int = 0
    signalled_at: float = math.inf
    cut: list[str] = dataclasses.field(default_factory=list)
    refused: list[str] = dataclasses.field(default_factory=list)

    async def run(self, duration_s: float, interval_s: float, max_tokens: int) -> None:
        """Send probes at an interval and wait for all of them."""
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
        """Create a program, run one streamed call and note how it ended."""
        items = self.field.layout.deployments
        item = items[self.sent % len(items)]
        started_at = clock.wall_time()
        try:
            problem = await converse(http, item, program, max_tokens)
        except httpx.HTTPError as error:
            refused = isinstance(error, httpx.ConnectError)
            if refused and clock.now() > self.signalled_at + DISCOVERY_TTL_S:
                self.refused.append(f"{program}: connected after the discovery TTL")
                return
            lasted_s = clock.wall_time() - started_at
            self.cut.append(
                f"{self.entry} cut {program}, sent at {started_at - self.field.started_at:.2f} s, "
                f"after {lasted_s:.2f} s: {type(error).__name__} {error}"
            )
            return
        if problem:
            self.refused.append(f"{program}: {problem}")


async def converse(
    http: httpx.AsyncClient, item: deployments.Deployment, program: str, max_tokens: int
) -> str:
    """Send the requests of one probe; return the problem document that ended it, if any.

    Raises
    ------
    httpx.HTTPError
        When an answer did not arrive whole.
    """
    headers = {"Authorization": f"Bearer {item.token}"}
    document = {"id": program, "service": item.model_service}
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
    # The probe's program has to end, or its memory would count as held for a live program.
    with contextlib.suppress(httpx.ConnectError):
        await http.delete(f"/v1/programs/{program}", headers=headers)
    return problem


async def stream(
    http: httpx.AsyncClient, path: str, body: dict[str, object], headers: dict[str, str]
) -> str:
    """Read one streamed call to its last event; return its problem document, if any."""
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
