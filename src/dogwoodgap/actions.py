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

URGENT_ATTEMPT_TIMEOUT_S = 1.0
"""Timeout of one urgent attempt, so that a hanging runner leaves time to try another one."""

MIN_ATTEMPT_TIMEOUT_S = 1.0
MAX_URGENT_BACKOFF_S = 0.1
MAX_BACKOFF_S = 2.0
"""Longest delays between two passes over all runners."""

SendToKeyOwner = collections.abc.Callable[
    [intents.Action, str], collections.abc.Awaitable[structures.ActionResult]
]


class IdempotentActions:
    """Sends idempotent actions to one runner after another until one confirms.

    Depends on neither the platform, a shard owner nor a queue, so that any node can run them
    during an outage.
    """

    def __init__(
        self,
        service: service_adapter.HttpServiceAdapter,
        runners: intents.RunnerLookup,
        runner_protection: protection.Protection | None = None,
    ):
        self.service = service
        self.runners = runners
        self.protection = runner_protection or protection.NoProtection()

    async def run(self, action: intents.Action) -> structures.ActionResult:
        """Return the first conclusive result.

        Raises
        ------
        DeadlinePassedError
            If no runner confirmed; ``not_run`` says whether one may have received it.
        """
        tried: set[str] = set()
        received = False
        last_result: structures.ActionResult | None = None
        delay = intents.RETRY_DELAY_S
        while action.remaining_s() > 0:
            runner = intents.choose_runner(self.runners(action.service), tried)
            if runner is None:
                tried.clear()
                await anyio.sleep(min(delay, action.remaining_s()))
                delay = min(delay * 2, MAX_URGENT_BACKOFF_S if action.urgent else MAX_BACKOFF_S)
                continue
            tried.add(runner.id)
            try:
                last_result = await self.attempt(runner, action)
            except (exceptions.RunnerUnreachableError, exceptions.RunnerLeavingError):
                continue
            except exceptions.OutcomeUnknownError:
                received = True
                continue
            received = True
            if last_result.not_run == "false":
                return last_result
        if last_result is not None:
            return last_result
        raise exceptions.DeadlinePassedError(
            f"no runner of {action.service} confirmed the action before its deadline; repeat it",
            not_run="unknown" if received else "true",
        )

    async def attempt(
        self, runner: structures.RunnerView, action: intents.Action
    ) -> structures.ActionResult:
        """Send the action to one runner, with at most a part of the remaining time."""
        remaining = action.remaining_s()
        attempt_timeout_s = (
            URGENT_ATTEMPT_TIMEOUT_S if action.urgent else max(MIN_ATTEMPT_TIMEOUT_S, remaining / 2)
        )
        runner.in_flight += 1
        try:
            async with self.protection.protect(runner, action.digest(), urgent=action.urgent):
                return await self.service.act(
                    runner,
                    action.path,
                    action.payload,
                    key="",
                    timeout_s=min(remaining, attempt_timeout_s),
                    trace=action.trace,
                )
        finally:
            runner.in_flight -= 1


@dataclasses.dataclass(frozen=True, slots=True)
class ActionContext:
    """State of one action of a program while it runs."""

    program: programs.Program
    seq: int
    action: intents.Action
    authorization: str
    running: intents.RunningAction
    started: journal.Commit


class Actions:
    """Runs actions of the programs that the node owns, in sequence with their calls.

    Parameters
    ----------
    send_to_key_owner : callable
        Sends an action, with the caller's ``Authorization`` header, to the owner of its key.
    program_lifecycle : lifecycle.Lifecycle
        Checks the limits of the program's profile.
    """

    def __init__(
        self,
        session: sessions.Session,
        running_calls: calls.Calls,
        program_lifecycle: lifecycle.Lifecycle,
        idempotent: IdempotentActions,
        send_to_key_owner: SendToKeyOwner,
        tasks: anyio.abc.TaskGroup,
    ):
        self.session = session
        self.calls = running_calls
        self.lifecycle = program_lifecycle
        self.idempotent = idempotent
        self.send_to_key_owner = send_to_key_owner
        self.tasks = tasks
        self.running: dict[programs.ProgramKey, intents.RunningAction] = {}

    def has_running_action(self, program: programs.Program) -> bool:
        """Return whether an action of the program is running."""
        return programs.key_of(program) in self.running

    async def run(
        self, program: programs.Program, seq: int, action: intents.Action, authorization: str
    ) -> structures.ActionResult:
        """Run the next action of a program, or return the result recorded for this number.

        Raises
        ------
        SequenceConflictError, SequenceGapError, ProgramFinishedError
            If the action cannot start; nothing was run.
        """
        digest = programs.digest_of([action.service, action.path, action.payload, action.key])
        key = programs.key_of(program)
        entry = program.entry(seq)
        if isinstance(entry, programs.ActionEntry) and entry.unused:
            entry = None
        if entry is not None and entry.digest != digest:
            raise exceptions.SequenceConflictError(
                f"seq {seq} was used with another body; continue with {program.next_seq}"
            )
        running = self.running.get(key)
        if running is not None and running.seq == seq and entry is not None:
            return await running.wait(action.deadline_at)
        if isinstance(entry, programs.ActionEntry) and entry.settled():
            return typing.cast(structures.ActionResult, entry.result)
        if running is not None and entry is not None:
            raise exceptions.SequenceGapError(
                f"seq {running.seq} has not ended yet; wait for its result, then repeat seq {seq}",
                not_run="unknown",
            )
        if entry is None:
            programs.check_open(program)
            self.calls.check_sequence(program, seq)
            self.lifecycle.check_limits(program, digest)
        # Recorded before the first await, so that a concurrent repeat finds the entry.
        commit = self.record_start(program, seq, action, digest)
        new_action = intents.RunningAction(digest, seq)
        self.running[key] = new_action
        context = ActionContext(program, seq, action, authorization, new_action, commit)
        self.tasks.start_soon(self.execute, context)
        return await new_action.wait(action.deadline_at)

    async def execute(self, context: ActionContext) -> None:
        """Store the start, send the action, and store its result."""
        program, running = context.program, context.running
        try:
            await self.wait_started(context)
            result = await self.send(context.action, context.authorization)
            running.pending = result
            await self.store_result(program, context.seq, running.digest, result)
            running.result = result
        except exceptions.DogwoodgapError as error:
            entry = program.actions.get(context.seq)
            if error.not_run == "true" and running.pending is None and entry is not None:
                entry.unused = True
            running.error = intents.correct_not_run(error, running)
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
        self, program: programs.Program, seq: int, action: intents.Action, digest: str
    ) -> journal.Commit:
        """Record the start of an action."""
        return self.session.record(
            records.ActionStarted(
                customer=program.customer,
                program=program.id,
                seq=seq,
                digest=digest,
                key=action.key,
                at=clock.wall_time(),
            )
        )

    async def wait_started(self, context: ActionContext) -> None:
        """Wait until the start is stored, or raise at the deadline of the action."""
        with anyio.CancelScope(deadline=context.action.deadline_at):
            await context.started.wait()
        if not context.started.stored.is_set():
            raise exceptions.StoreUnavailableError(
                "the start of the action could not be stored before the deadline; repeat it later",
                not_run="true",
            )

    async def send(self, action: intents.Action, authorization: str) -> structures.ActionResult:
        """Send an action; an unknown outcome is a result too, so that the program continues."""
        if not action.key:
            return await self.idempotent.run(action)
        try:
            return await self.send_to_key_owner(action, authorization)
        except exceptions.OutcomeUnknownError as error:
            metrics.count("actions.unknown_in_program")
            return structures.ActionResult(
                status=0, body=None, not_run="unknown", code=error.code, detail=error.detail
            )

    async def store_result(
        self, program: programs.Program, seq: int, digest: str, result: structures.ActionResult
    ) -> None:
        """Record the result of an action and wait until it is stored."""
        record = records.ActionFinished(
            customer=program.customer,
            program=program.id,
            seq=seq,
            digest=digest,
            result=result,
            at=clock.wall_time(),
        )
        await self.session.record(record).wait()
