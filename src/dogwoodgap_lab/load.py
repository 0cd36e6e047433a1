"""The programs of both deployments that demo and check run, each with a client of its own."""

import contextlib
import dataclasses
import random

import anyio
import httpx

from dogwoodgap import client, exceptions
from dogwoodgap_lab import agents, deployments, stage

MIN_BUDGET_TOKENS = 200
MAX_BUDGET_TOKENS = 2_500
"""One call reserves up to about 1,000 tokens (987 and 1,026 were seen), so a tight budget covers
some calls of a program and refuses later ones."""


@dataclasses.dataclass(slots=True)
class Load:
    """A set of programs and what their callers have seen.

    Attributes
    ----------
    tight_budgets : float
        Share of the programs whose budget may not cover all of their calls.
    ended : int
        Programs whose script has ended, with or without an error.
    """

    field: stage.FleetController
    seed: int
    pause_s: float
    tight_budgets: float = 0.0
    traces: list[agents.Trace] = dataclasses.field(default_factory=list)
    started: int = 0
    ended: int = 0

    async def run(self, count: int, spread_s: float) -> None:
        """Run ``count`` programs that start within ``spread_s`` and wait for all."""
        chance = random.Random(self.seed)
        async with (
            httpx.AsyncClient(limits=httpx.Limits(max_connections=None)) as http,
            anyio.create_task_group() as tasks,
        ):
            for number in range(count):
                items = self.field.layout.deployments
                item = items[number % len(items)]
                script = agents.random_script(item, number, chance, self.pause_s)
                if chance.random() < self.tight_budgets:
                    budget_tokens = chance.randint(MIN_BUDGET_TOKENS, MAX_BUDGET_TOKENS)
                    script = dataclasses.replace(script, budget_tokens=budget_tokens)
                delay_s = chance.random() * spread_s
                tasks.start_soon(self.run_one, http, item, script, number, delay_s)

    async def run_one(
        self,
        http: httpx.AsyncClient,
        item: deployments.Deployment,
        script: agents.Script,
        number: int,
        delay_s: float,
    ) -> None:
        """Run one program after a delay."""
        await anyio.sleep(delay_s)
        self.started += 1
        own = caller(self.field, item, http)
        await agents.run_script(own, script, self.seed * 1000 + number, self.traces)
        self.ended += 1

    async def run_poison(self, item: deployments.Deployment, number: int, marker: str) -> None:
        """Run a program whose second call carries a marker word."""
        steps = (
            agents.CallStep(10, 8, stream=True),
            agents.CallStep(10, 8, stream=True, marker=marker),
            agents.CallStep(10, 8, stream=False),
        )
        script = agents.Script(f"poison{number}", item.name, item.model_service, steps)
        async with httpx.AsyncClient() as http:
            own = caller(self.field, item, http)
            await agents.run_script(own, script, self.seed * 1000 + number, self.traces)

    def open_traces(self) -> list[agents.Trace]:
        """Return the programs that run at present."""
        return [trace for trace in self.traces if trace.program and not trace.finished_at]

    def latencies_s(self) -> list[float]:
        """Return the latencies of the programs that ended without an error, in order."""
        return sorted(
            trace.finished_at - trace.started_at
            for trace in self.traces
            if trace.finished_at and not trace.error and "." not in trace.program
        )


def caller(
    field: stage.FleetController,
    item: deployments.Deployment,
    http: httpx.AsyncClient | None = None,
) -> client.Client:
    """Return a caller of a deployment's customer."""
    return client.Client(field.layout.node_urls(), item.token, http=http or field.http)


async def owner(field: stage.FleetController, item: deployments.Deployment, program: str) -> str:
    """Return the entry that owns a program, or an empty text when no entry answers."""
    own = caller(field, item)
    with contextlib.suppress(exceptions.DogwoodgapError):
        return (await own.addresses(program))[0]
    return ""


def progress_after(trace: agents.Trace, moment: float) -> float | None:
    """Return how long a program waited for its first answer after a moment, in seconds.

    The time counts from the moment or from the start of the request, whichever is later.
    """
    steps = [(item.finished_at, item.started_at) for item in trace.calls]
    steps += [(item.finished_at, item.started_at) for item in trace.actions]
    later = sorted(step for step in steps if step[0] > moment)
    if not later:
        return None
    finished_at, started_at = later[0]
    return finished_at - max(moment, started_at)
