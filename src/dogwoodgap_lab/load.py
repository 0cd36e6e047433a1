"""Load generator of the demo and the check: scripted programs of the deployments."""

import contextlib
import dataclasses
import random

import anyio
import httpx

from dogwoodgap import client, exceptions
from dogwoodgap_lab import agents, deployments, stage

MIN_BUDGET_TOKENS = 200
MAX_BUDGET_TOKENS = 2_500
"""One call reserves up to about 1,000 tokens (observed: 987 and 1,026), so a tight budget allows
some calls of a program and refuses later ones."""


@dataclasses.dataclass(slots=True)
class LoadGenerator:
    """Runs programs against a fleet and records traces of what their callers observe.

    Attributes
    ----------
    pause_s : float
        Pause that the scripts are built with.
    tight_budget_share : float
        Share of the programs whose budget may not cover all of their calls.
    ended : int
        Number of programs whose script has ended, with or without an error.
    """

    controller: stage.FleetController
    seed: int
    pause_s: float
    tight_budget_share: float = 0.0
    traces: list[agents.Trace] = dataclasses.field(default_factory=list)
    started: int = 0
    ended: int = 0

    async def run(self, count: int, spread_s: float) -> None:
        """Run ``count`` programs that start at random within ``spread_s`` and wait for all."""
        rng = random.Random(self.seed)
        async with (
            httpx.AsyncClient(limits=httpx.Limits(max_connections=None)) as http,
            anyio.create_task_group() as tasks,
        ):
            for number in range(count):
                layout_deployments = self.controller.layout.deployments
                deployment = layout_deployments[number % len(layout_deployments)]
                script = agents.random_script(deployment, number, rng, self.pause_s)
                if rng.random() < self.tight_budget_share:
                    budget_tokens = rng.randint(MIN_BUDGET_TOKENS, MAX_BUDGET_TOKENS)
                    script = dataclasses.replace(script, budget_tokens=budget_tokens)
                delay_s = rng.random() * spread_s
                tasks.start_soon(self.run_one, http, deployment, script, number, delay_s)

    async def run_one(
        self,
        http: httpx.AsyncClient,
        deployment: deployments.Deployment,
        script: agents.Script,
        number: int,
        delay_s: float,
    ) -> None:
        """Run the script of one program after a delay."""
        await anyio.sleep(delay_s)
        self.started += 1
        caller = create_client(self.controller, deployment, http)
        await agents.run_script(caller, script, self.seed * 1000 + number, self.traces)
        self.ended += 1

    async def run_poison(
        self, deployment: deployments.Deployment, number: int, marker: str
    ) -> None:
        """Run a program whose second call contains a word that crashes engines."""
        steps = (
            agents.CallStep(10, 8, stream=True),
            agents.CallStep(10, 8, stream=True, marker=marker),
            agents.CallStep(10, 8, stream=False),
        )
        script = agents.Script(f"poison{number}", deployment.name, deployment.model_service, steps)
        async with httpx.AsyncClient() as http:
            caller = create_client(self.controller, deployment, http)
            await agents.run_script(caller, script, self.seed * 1000 + number, self.traces)

    def open_traces(self) -> list[agents.Trace]:
        """Return the traces of the programs that are running."""
        return [trace for trace in self.traces if trace.program and not trace.finished_at]

    def latencies_s(self) -> list[float]:
        """Return the sorted latencies of top-level programs that ended without an error."""
        return sorted(
            trace.finished_at - trace.started_at
            for trace in self.traces
            if trace.finished_at and not trace.error and "." not in trace.program
        )


def create_client(
    controller: stage.FleetController,
    deployment: deployments.Deployment,
    http: httpx.AsyncClient | None = None,
) -> client.Client:
    """Return a client with the key of a deployment's customer."""
    return client.Client(
        controller.layout.node_urls(), deployment.token, http=http or controller.http
    )


async def owner_url(
    controller: stage.FleetController, deployment: deployments.Deployment, program: str
) -> str:
    """Return the URL of the node that owns a program, or an empty string if no node answers."""
    caller = create_client(controller, deployment)
    with contextlib.suppress(exceptions.DogwoodgapError):
        return (await caller.addresses(program))[0]
    return ""


def next_response_wait_s(trace: agents.Trace, since: float) -> float | None:
    """Return how long a program waited for its first answer after a time, in seconds.

    The wait starts at ``since`` or at the start of the request, whichever is later. Returns None if
    there is no later answer.
    """
    steps = [(item.finished_at, item.started_at) for item in trace.calls]
    steps += [(item.finished_at, item.started_at) for item in trace.actions]
    later = sorted(step for step in steps if step[0] > since)
    if not later:
        return None
    finished_at, started_at = later[0]
    return finished_at - max(since, started_at)
