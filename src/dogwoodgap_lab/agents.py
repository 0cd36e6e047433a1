"""Scripted agent programs that run against a fleet and record what their callers observe."""

import dataclasses
import functools
import random
import typing

import anyio
import xxhash

from dogwoodgap import client, clock, exceptions, structures
from dogwoodgap_lab import deployments, engine

RETRY_TIMEOUT_S = 45.0
RETRY_DELAY_S = 0.3
BUDGET_TOKENS = 40_000


@dataclasses.dataclass(frozen=True, slots=True)
class CallStep:
    """A model call with ``words`` random prompt words, followed by ``marker`` if set."""

    words: int
    max_tokens: int
    stream: bool
    marker: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PauseStep:
    """A pause, in place of a tool outside the system."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ActionStep:
    """An action on a plain service."""

    service: str
    path: str
    idempotent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SubAgentStep:
    """A sub-agent that runs concurrently with the next steps."""

    steps: "tuple[Step, ...]"


Step = CallStep | PauseStep | ActionStep | SubAgentStep


@dataclasses.dataclass(frozen=True, slots=True)
class Script:
    """The steps of one program."""

    name: str
    customer: str
    service: str
    steps: tuple[Step, ...]
    budget_tokens: int = BUDGET_TOKENS


@dataclasses.dataclass(slots=True)
class CallRecord:
    """An acknowledged model call; times are wall time in seconds.

    ``expected`` is the text that the fake engine generates for the conversation.
    """

    seq: int
    prompt: str
    text: str
    expected: str
    started_at: float = 0.0
    finished_at: float = 0.0


@dataclasses.dataclass(slots=True)
class ActionRecord:
    """An action and the verdict that its caller got: ``done``, ``not-run`` or ``unknown``."""

    service: str
    path: str
    key: str
    idempotent: bool
    verdict: str
    detail: str = ""
    started_at: float = 0.0
    finished_at: float = 0.0


@dataclasses.dataclass(slots=True)
class Trace:
    """What the caller of a program observed; times are wall time in seconds.

    Attributes
    ----------
    waiting_since : float
        Start of the request in progress; 0 between requests.
    refusals : list of str
        Codes of all errors that requests got, in order.
    """

    name: str
    customer: str
    program: str
    started_at: float
    finished_at: float = 0.0
    calls: list[CallRecord] = dataclasses.field(default_factory=list)
    actions: list[ActionRecord] = dataclasses.field(default_factory=list)
    refusals: list[str] = dataclasses.field(default_factory=list)
    error: str = ""
    waiting_since: float = 0.0
    budget_tokens: int = BUDGET_TOKENS


@dataclasses.dataclass(slots=True)
class ScriptRun:
    """State of a running program.

    ``traces`` and ``tasks`` are shared with its sub-agents.
    """

    program: client.Program
    trace: Trace
    random: random.Random
    traces: list[Trace]
    tasks: anyio.abc.TaskGroup
    conversation: list[str] = dataclasses.field(default_factory=list)


def expected_text(conversation: list[str], max_tokens: int) -> str:
    """Return the text that every fake engine generates for a conversation."""
    prompt = [word for message in conversation for word in message.split()]
    seed = xxhash.xxh3_64_intdigest("\0".join(prompt).encode())
    return "".join(engine.token_text(seed, index) for index in range(max_tokens))


@functools.singledispatch
async def run_step(step: Step, run: ScriptRun) -> None:
    """Run one step of a script."""
    raise TypeError(f"run_step does not support {type(step).__name__}; register a handler")


@run_step.register
async def _(step: PauseStep, run: ScriptRun) -> None:
    await anyio.sleep(step.seconds)


@run_step.register
async def _(step: CallStep, run: ScriptRun) -> None:
    words = [f"{run.trace.name}{run.random.randrange(1_000_000)}" for _ in range(step.words)]
    prompt = " ".join([*words, step.marker]).strip()
    started_at = run.trace.waiting_since = clock.wall_time()
    seq = run.program.seq
    run.conversation.append(prompt)
    expected = expected_text(run.conversation, step.max_tokens)
    text = await retry_transient(run, send_call, step, prompt)
    run.conversation.append(text)
    run.trace.waiting_since = 0.0
    record = CallRecord(seq, prompt, text, expected, started_at, clock.wall_time())
    run.trace.calls.append(record)


@run_step.register
async def _(step: ActionStep, run: ScriptRun) -> None:
    key = "" if step.idempotent else f"{run.program.id}:{run.program.seq}"
    action = ActionRecord(step.service, step.path, key, step.idempotent, "unknown")
    action.started_at = run.trace.waiting_since = clock.wall_time()
    run.trace.actions.append(action)
    try:
        result = await retry_transient(run, send_action, step, key)
    except exceptions.DogwoodgapError as error:
        action.finished_at = clock.wall_time()
        action.verdict = "not-run" if error.not_run == "true" else "unknown"
        action.detail = f"{error.code}: {error.detail}"
        return
    run.trace.waiting_since = 0.0
    action.finished_at = clock.wall_time()
    action.verdict = verdict_of(result)
    action.detail = result.detail


@run_step.register
async def _(step: SubAgentStep, run: ScriptRun) -> None:
    child = await retry_transient(run, create_sub_agent)
    trace = Trace(f"{run.trace.name}c", run.trace.customer, child.id, clock.wall_time())
    trace.budget_tokens = run.trace.budget_tokens
    run.traces.append(trace)
    run.tasks.start_soon(run_sub_agent, child, trace, step.steps, run)


async def send_call(run: ScriptRun, step: CallStep, prompt: str) -> str:
    """Send a model call and return its text."""
    if step.stream:
        chunks = [chunk async for chunk in run.program.stream(prompt, max_tokens=step.max_tokens)]
        return "".join(chunks)
    return (await run.program.call(prompt, max_tokens=step.max_tokens)).text


async def send_action(run: ScriptRun, step: ActionStep, key: str) -> structures.ActionResult:
    """Send an action and return its result."""
    return await run.program.act(
        step.service, step.path, {"from": key}, key=key or None, idempotent=step.idempotent
    )


async def create_sub_agent(run: ScriptRun) -> client.Program:
    """Create a child program."""
    return await run.program.child()


async def retry_transient(
    run: ScriptRun, operation: typing.Callable[..., typing.Awaitable[typing.Any]], *args: typing.Any
) -> typing.Any:
    """Run an operation, repeating it after transient errors for up to ``RETRY_TIMEOUT_S``.

    Raises
    ------
    DogwoodgapError
        The last error, when it is not transient or the time is over.
    """
    give_up_at = clock.now() + RETRY_TIMEOUT_S
    while True:
        try:
            return await operation(run, *args)
        except exceptions.DogwoodgapError as error:
            run.trace.refusals.append(error.code)
            has_retry_delay = 0 < error.retry_after_s <= RETRY_TIMEOUT_S
            transient = has_retry_delay or isinstance(error, exceptions.RunnerFailedError)
            if not transient or clock.now() > give_up_at:
                raise
        await anyio.sleep(RETRY_DELAY_S)


def verdict_of(result: structures.ActionResult) -> str:
    """Return the verdict that an action's result gives its caller."""
    return {"false": "done", "true": "not-run"}.get(result.not_run, "unknown")


async def run_sub_agent(
    program: client.Program, trace: Trace, steps: tuple[Step, ...], parent: ScriptRun
) -> None:
    """Run the steps of a sub-agent with the state that it shares with its parent."""
    run = ScriptRun(program, trace, parent.random, parent.traces, parent.tasks)
    await run_steps(run, steps)


async def run_steps(run: ScriptRun, steps: tuple[Step, ...]) -> None:
    """Run steps in order until one fails, and complete the trace."""
    try:
        for step in steps:
            await run_step(step, run)
    except exceptions.DogwoodgapError as error:
        run.trace.error = f"{error.code}: {error.detail}"
    run.trace.waiting_since = 0.0
    run.trace.finished_at = clock.wall_time()


async def run_script(caller: client.Client, script: Script, seed: int, traces: list[Trace]) -> None:
    """Run a program and its sub-agents, then end it."""
    trace = Trace(script.name, script.customer, "", clock.wall_time())
    trace.budget_tokens = script.budget_tokens
    traces.append(trace)
    try:
        program = await caller.program(
            script.service, id=f"{script.name}-{seed}", budget_tokens=script.budget_tokens
        )
        trace.program = program.id
        async with anyio.create_task_group() as tasks:
            run = ScriptRun(program, trace, random.Random(seed), traces, tasks)
            await run_steps(run, script.steps)
        await retry_transient(run, end_program)
    except exceptions.DogwoodgapError as error:
        trace.error = trace.error or f"{error.code}: {error.detail}"


async def end_program(run: ScriptRun) -> None:
    """Send the request that ends the program."""
    await run.program.end()


def random_script(
    deployment: deployments.Deployment, number: int, rng: random.Random, pause_s: float
) -> Script:
    """Return a random script for a deployment; pauses last up to ``pause_s``."""
    booking = {"orechov": "dryer-bookings", "lakeshore": "job-bookings"}[deployment.name]
    charge = {"orechov": "invoices", "lakeshore": "deposit-charges"}[deployment.name]
    steps: list[Step] = []
    for turn in range(rng.randint(2, 5)):
        steps.append(CallStep(rng.randint(5, 60), rng.randint(4, 24), rng.random() < 0.7))
        steps.append(PauseStep(rng.random() * pause_s))
        if rng.random() < 0.5:
            steps.append(ActionStep(deployment.plain_service, booking))
        if turn == 1 and rng.random() < 0.4:
            helper = (
                CallStep(20, 8, True),
                PauseStep(rng.random() * pause_s),
                CallStep(10, 8, False),
            )
            steps.append(SubAgentStep(helper))
    steps.append(ActionStep(deployment.plain_service, charge))
    name = f"{deployment.name}{number}"
    return Script(name, deployment.name, deployment.model_service, tuple(steps))
