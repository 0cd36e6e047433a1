"""Tool actions of programs, and idempotent actions."""

import collections.abc
import dataclasses
import logging
import typing

import anyio
import anyio.abc

from dogwoodgap import (
    calls,
    clock,
    events,
    exceptions,
    intents,
    journal,
    lifecycle,
    metrics,
    programs,
    protection,
    records,
    service_adapter,
    sessions,
    structures,
)

URGENT_ATTEMPT_S = 1.0
"""A hanging runner must not use up the time in which another one can confirm."""

MIN_ATTEMPT_S = 1.0
URGENT_ROUND_S = 0.1
MAX_ROUND_S = 2.0
"""Longest pauses between two rounds over all runners."""

KeyOwner = collections.abc.Callable[
    [intents.Order, str], collections.abc.Awaitable[structures.ActionResult]
]


class IdempotentActions:
    """Sends idempotent actions to runner after runner until one confirms.

    Needs neither platform, owner nor queue, so any node runs them during an outage.
    """

    def __init__(
        self,
        service: service_adapter.HttpServiceAdapter,
        runners: intents.Runners,
        guard: protection.Protection | None = None,
    ):
        self.service = service
        self.runners = runners
        self.guard = guard or protection.NoProtection()

    async def run(self, order: intents.Order) -> structures.ActionResult:
        """Return the first answer that settles the action.

        Raises
        ------
        DeadlinePassedError
            When no runner confirmed; ``not_run`` says whether one may have received it.
        """
        tried: set[str] = set()
        received = False
        last: structures.ActionResult | None = None
        delay = intents.RETRY_DELAY_S
        while order.remaining_s() > 0:
            runner = intents.choose(self.runners(order.service), tried)
            if runner is None:
                tried.clear()
                await anyio.sleep(min(delay, order.remaining_s()))
                delay = min(delay * 2, URGENT_ROUND_S if order.urgent else MAX_ROUND_S)
                continue
            tried.add(runner.id)
            try:
                last = await self.attempt(runner, order)
            except (exceptions.RunnerUnreachableError, exceptions.RunnerLeavingError):
                continue
            except exceptions.OutcomeUnknownError:
                received = True
                continue
            received = True
            if last.not_run == "false":
                return last
        if last is not None:
            return last
        raise exceptions.DeadlinePassedError(
            f"no runner of {order.service} confirmed the action before its deadline; repeat it",
            not_run="unknown" if received else "true",
        )

    async def attempt(
        self, runner: structures.RunnerView, order: intents.Order
    ) -> structures.ActionResult:
        """Send the action to one runner, for a part of the remaining time."""
        remaining = order.remaining_s()
        share = URGENT_ATTEMPT_S if order.urgent else max(MIN_ATTEMPT_S, remaining / 2)
        runner.in_flight += 1
        try:
            async with self.guard.protect(runner, order.digest(), urgent=order.urgent):
                return await self.service.act(
                    runner,
                    order.path,
                    order.payload,
                    key="",
                    timeout_s=min(remaining, share),
                    trace=order.trace,
                )
        finally:
            runner.in_flight -= 1


@dataclasses.dataclass(frozen=True, slots=True)
class ActionWork:
    """What one action of a program needs from its start to its end."""

    program: programs.Program
    seq: int
    order: intents.Order
    authorization: str
    running: intents.RunningAction
    started: journal.Commit


class Actions:
    """Runs actions of the programs that the node owns, in order with their calls.

    Parameters
    ----------
    key_owner : callable
        Sends an order to the owner of its key; given the caller's ``Authorization`` header.
    limits : lifecycle.Lifecycle
        Checks the limits of the program's profile.
    """

    def __init__(
        self,
        session: sessions.Session,
        running_calls: calls.Calls,
        limits: lifecycle.Lifecycle,
        idempotent: IdempotentActions,
        key_owner: KeyOwner,
        tasks: anyio.abc.TaskGroup,
    ):
        self.session = session
        self.calls = running_calls
        self.limits = limits
        self.idempotent = idempotent
        self.key_owner = key_owner
        self.tasks = tasks
        self.running: dict[programs.ProgramKey, intents.RunningAction] = {}

    def busy(self, program: programs.Program) -> bool:
        """Return whether an action of the program is running."""
        return programs.key_of(program) in self.running

    async def run(
        self, program: programs.Program, seq: int, order: intents.Order, authorization: str
    ) -> structures.ActionResult:
        """Run the next action of a program, or return what this number ran.

        Raises
        ------
        SequenceConflictError, SequenceGapError, ProgramFinishedError
            When the action cannot start; nothing was run.
        """
        digest = programs.digest_of([order.service, order.path, order.payload, order.key])
        key = programs.key_of(program)
        entry = program.entry(seq)
        if isinstance(entry, programs.ActionEntry) and entry.unused:
            entry = None
        if entry is not None and entry.digest != digest:
            raise exceptions.SequenceConflictError(
                f"seq {seq} was used with another body; continue with {program.next_seq}"
            )
        running = self.running.get(key)
        if running is not None and entry is not None:
            return await running.wait(order.deadline_at)
        if isinstance(entry, programs.ActionEntry) and entry.settled():
            return typing.cast(structures.ActionResult, entry.result)
        if entry is None:
            programs.check_open(program)
            self.calls.check_order(program, seq)
            self.limits.check_limits(program, digest)
        # Recorded before anything is awaited, so that a repeat finds the entry and attaches.
        commit = self.record_start(program, seq, order, digest)
        started = intents.RunningAction(digest)
        self.running[key] = started
        work = ActionWork(program, seq, order, authorization, started, commit)
        self.tasks.start_soon(self.execute, work)
        return await started.wait(order.deadline_at)

    async def execute(self, work: ActionWork) -> None:
        """Store the start, send the action, and store its result."""
        program, running = work.program, work.running
        try:
            await self.wait_started(work)
            result = await self.send(work.order, work.authorization)
            running.pending = result
            await self.store_result(program, work.seq, running.digest, result)
            running.result = result
        except exceptions.DogwoodgapError as error:
            entry = program.actions.get(work.seq)
            if error.not_run == "true" and running.pending is None and entry is not None:
                entry.unused = True
            running.error = intents.truthful(error, running)
        except Exception as error:
            running.error = exceptions.DogwoodgapError(
                "the node failed while it ran the action; repeat the same seq"
            )
            events.emit(
                events.Event.ACTION_UNKNOWN,
                "unexpected error in an action of a program",
                level=logging.ERROR,
                program=program.id,
                detail=repr(error),
            )
        finally:
            self.running.pop(programs.key_of(program), None)
            running.done.set()

    def record_start(
        self, program: programs.Program, seq: int, order: intents.Order, digest: str
    ) -> journal.Commit:
        """Record that the program makes this action."""
        return self.session.record(
            records.ActionStarted(
                customer=program.customer,
                program=program.id,
                seq=seq,
                digest=digest,
                key=order.key,
                at=clock.wall(),
            )
        )

    async def wait_started(self, work: ActionWork) -> None:
        """Wait until the start is stored, or refuse the action at its deadline."""
        with anyio.CancelScope(deadline=work.order.deadline_at):
            await work.started.wait()
        if not work.started.stored.is_set():
            raise exceptions.StoreUnavailableError(
                "the start of the action could not be stored before the deadline; repeat it later",
                not_run="true",
            )

    async def send(self, order: intents.Order, authorization: str) -> structures.ActionResult:
        """Return the result of the action; an unknown outcome lets the program go on."""
        if not order.key:
            return await self.idempotent.run(order)
        try:
            return await self.key_owner(order, authorization)
        except exceptions.OutcomeUnknownError as error:
            metrics.count("actions.unknown_in_program")
            return structures.ActionResult(
                status=0, body=None, not_run="unknown", code=error.code, detail=error.detail
            )

    async def store_result(
        self, program: programs.Program, seq: int, digest: str, result: structures.ActionResult
    ) -> None:
        """Store the result and let the program go on."""
        record = records.ActionFinished(
            customer=program.customer,
            program=program.id,
            seq=seq,
            digest=digest,
            result=result,
            at=clock.wall(),
        )
        await self.session.record(record).wait()
