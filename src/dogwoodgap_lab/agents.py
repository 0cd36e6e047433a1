"""Agent programs that run against a fleet through the caller's client and keep what they saw."""

import dataclasses
import functools
import random
import typing

import anyio
import xxhash

from dogwoodgap import client, clock, exceptions, structures
from dogwoodgap_lab import deployments, engine

PATIENCE_S = 45.0
RETRY_DELAY_S = 0.3
BUDGET_TOKENS = 40_000


@dataclasses.dataclass(frozen=True, slots=True)
class CallStep:
    """A model call of ``words`` new prompt words; ``marker`` is one more word."""

    words: int
    max_tokens: int
    stream: bool
    marker: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class PauseStep:
    """A tool that runs outside the system."""

    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class ActionStep:
    """An action on a plain service."""

    service: str
    path: str
    idempotent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SubAgentStep:
    """A sub-agent that runs at the same time as the next steps."""

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
    """One acknowledged model call; times are wall time in seconds."""

    seq: int
    prompt: str
    text: str
    expected: str
    started_at: float = 0.0
    finished_at: float = 0.0


@dataclasses.dataclass(slots=True)
class ActionRecord:
    """One action and what its caller was told: ``done``, ``not-run`` or ``unknown``."""

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
    """What a caller saw of one program; times are wall time in seconds.

    Attributes
    ----------
    waiting_since : float
        Start of the request that is open at present; 0 between requests.
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
class Session:
    """A running program with its trace and its random numbers."""

    program: client.Program
    trace: Trace
    random: random.Random
    traces: list[Trace]
    tasks: anyio.abc.TaskGroup
    conversation: list[str] = dataclasses.field(default_factory=list)


def expected_text(conversation: list[str], max_tokens: int) -> str:
    """Return what any engine stand-in answers to a conversation."""
    prompt = [word for message in conversation for word in message.split()]
    seed = xxhash.xxh3_64_intdigest("\0".join(prompt).encode())
    return "".join(engine.token_text(seed, index) for index in range(max_tokens))


@functools.singledispatch
async def run_step(step: Step, session: Session) -> None:
    """Run one step of a script."""
    raise TypeError(f"no way to run a step of type {type(step).__name__}; register one")


@run_step.register
async def _(step: PauseStep, session: Session) -> None:
    await anyio.sleep(step.seconds)


@run_step.register
async def _(step: CallStep, session: Session) -> None:
    words = [
        f"{session.trace.name}{session.random.randrange(1_000_000)}" for _ in range(step.words)
    ]
    prompt = " ".join([*words, step.marker]).strip()
    started_at = session.trace.waiting_since = clock.wall()
    seq = session.program.seq
    session.conversation.append(prompt)
    expected = expected_text(session.conversation, step.max_tokens)
    text = await patiently(session, ask_once, step, prompt)
    session.conversation.append(text)
    session.trace.waiting_since = 0.0
    exchange = CallRecord(seq, prompt, text, expected, started_at, clock.wall())
    session.trace.calls.append(exchange)


@run_step.register
async def _(step: ActionStep, session: Session) -> None:
    key = "" if step.idempotent else f"{session.program.id}:{session.program.seq}"
    attempt = ActionRecord(step.service, step.path, key, step.idempotent, "unknown")
    attempt.started_at = session.trace.waiting_since = clock.wall()
    session.trace.actions.append(attempt)
    try:
        result = await patiently(session, act_once, step, key)
    except exceptions.DogwoodgapError as error:
        attempt.finished_at = clock.wall()
        attempt.verdict = "not-run" if error.not_run == "true" else "unknown"
        attempt.detail = f"{error.code}: {error.detail}"
        return
    session.trace.waiting_since = 0.0
    attempt.finished_at = clock.wall()
    attempt.verdict = verdict_of(result)
    attempt.detail = result.detail


@run_step.register
async def _(step: SubAgentStep, session: Session) -> None:
    child = await patiently(session, child_once)
    trace = Trace(f"{session.trace.name}c", session.trace.customer, child.id, clock.wall())
    trace.budget_tokens = session.trace.budget_tokens
    session.traces.append(trace)
    session.tasks.start_soon(run_steps, child, trace, step.steps, session)


async def ask_once(session: Session, step: CallStep, prompt: str) -> str:
    """Send one model call."""
    if step.stream:
        pieces = [
            piece async for piece in session.program.stream(prompt, max_tokens=step.max_tokens)
        ]
        return "".join(pieces)
    return (await session.program.call(prompt, max_tokens=step.max_tokens)).text


async def act_once(session: Session, step: ActionStep, key: str) -> structures.ActionResult:
    """Send one action."""
    return await session.program.act(
        step.service, step.path, {"from": key}, key=key or None, idempotent=step.idempotent
    )


async def child_once(session: Session) -> client.Program:
    """Create one sub-agent."""
    return await session.program.child()


async def patiently(
    session: Session, attempt: typing.Callable[..., typing.Awaitable[typing.Any]], *args: typing.Any
) -> typing.Any:
    """Repeat a step while it is refused for reasons that pass."""
    give_up_at = clock.now() + PATIENCE_S
    while True:
        try:
            return await attempt(session, *args)
        except exceptions.DogwoodgapError as error:
            session.trace.refusals.append(error.code)
            waits = 0 < error.retry_after_s <= PATIENCE_S
            passing = waits or isinstance(error, exceptions.RunnerFailedError)
            if not passing or clock.now() > give_up_at:
                raise
        await anyio.sleep(RETRY_DELAY_S)


def verdict_of(result: structures.ActionResult) -> str:
    """Return what an action's result tells its caller."""
    return {"false": "done", "true": "not-run"}.get(result.not_run, "unknown")


async def run_steps(
    program: client.Program, trace: Trace, steps: tuple[Step, ...], parent: Session
) -> None:
    """Run the steps of a sub-agent."""
    session = Session(program, trace, parent.random, parent.traces, parent.tasks)
    await follow(session, steps)


async def follow(session: Session, steps: tuple[Step, ...]) -> None:
    """Run steps one after another and end the program."""
    try:
        for step in steps:
            await run_step(step, session)
    except exceptions.DogwoodgapError as error:
        session.trace.error = f"{error.code}: {error.detail}"
    session.trace.waiting_since = 0.0
    session.trace.finished_at = clock.wall()


async def run_script(caller: client.Client, script: Script, seed: int, traces: list[Trace]) -> None:
    """Run one program with its sub-agents to its end."""
    trace = Trace(script.name, script.customer, "", clock.wall())
    trace.budget_tokens = script.budget_tokens
    traces.append(trace)
    try:
        program = await caller.program(
            script.service, id=f"{script.name}-{seed}", budget_tokens=script.budget_tokens
        )
        trace.program = program.id
        async with anyio.create_task_group() as tasks:
            session = Session(program, trace, random.Random(seed), traces, tasks)
            await follow(session, script.steps)
        await patiently(session, end_once)
    except exceptions.DogwoodgapError as error:
        trace.error = trace.error or f"{error.code}: {error.detail}"


async def end_once(session: Session) -> None:
    """End the program."""
    await session.program.end()


def random_script(
    deployment: deployments.Deployment, number: int, chance: random.Random, pause_s: float
) -> Script:
    """Return a random program of a deployment."""
    booking = {"orechov": "dryer-bookings", "lakeshore": "job-bookings"}[deployment.name]
    charge = {"orechov": "invoices", "lakeshore": "deposit-charges"}[deployment.name]
    steps: list[Step] = []
    for turn in range(chance.randint(2, 5)):
        steps.append(CallStep(chance.randint(5, 60), chance.randint(4, 24), chance.random() < 0.7))
        steps.append(PauseStep(chance.random() * pause_s))
        if chance.random() < 0.5:
            steps.append(ActionStep(deployment.plain_service, booking))
        if turn == 1 and chance.random() < 0.4:
            helper = (
                CallStep(20, 8, True),
                PauseStep(chance.random() * pause_s),
                CallStep(10, 8, False),
            )
            steps.append(SubAgentStep(helper))
    steps.append(ActionStep(deployment.plain_service, charge))
    name = f"{deployment.name}{number}"
    return Script(name, deployment.name, deployment.model_service, tuple(steps))
