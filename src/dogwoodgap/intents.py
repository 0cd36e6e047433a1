"""Non-idempotent actions, which the owner of their idempotency key sends at most once."""

import collections.abc
import dataclasses
import logging
import typing
import uuid

import anyio
import anyio.abc

from dogwoodgap import (
    clock,
    events,
    exceptions,
    journal,
    metrics,
    models,
    programs,
    protection,
    records,
    service_adapter,
    sessions,
    structures,
)

FOLLOW_GRACE_S = 0.2
"""How long waiting requests outlast the deadline, to get the result that an action was not sent."""

RETRY_DELAY_S = 0.05
RunnerLookup = collections.abc.Callable[[str], list[structures.RunnerView]]


@dataclasses.dataclass(frozen=True, slots=True)
class Action:
    """One action on a plain service; ``key`` is empty when it is idempotent.

    Attributes
    ----------
    deadline_at : float
        Monotonic time in seconds.
    """

    customer: str
    key: str
    service: str
    path: str
    payload: typing.Any
    deadline_at: float
    trace: str = ""
    urgent: bool = False

    def digest(self) -> str:
        """Return the digest that identifies repeats of the action."""
        return programs.digest_of([self.service, self.path, self.payload])

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline_at - clock.now()


class RunningAction:
    """An action in progress; several requests may wait for it.

    Attributes
    ----------
    seq : int
        Number in its program; 0 outside of programs.
    sent : bool
        Whether the service may have received it.
    pending : structures.ActionResult or None
        Result that is not stored yet.
    """

    def __init__(self, digest: str, seq: int = 0):
        self.digest = digest
        self.seq = seq
        self.sent = False
        self.pending: structures.ActionResult | None = None
        self.result: structures.ActionResult | None = None
        self.error: exceptions.DogwoodgapError | None = None
        self.done = anyio.Event()

    async def wait(self, deadline_at: float) -> structures.ActionResult:
        """Return the result, or raise what is known when the waiting request's deadline passes."""
        with anyio.CancelScope(deadline=deadline_at + FOLLOW_GRACE_S):
            await self.done.wait()
        if self.error is not None:
            raise self.error
        if self.result is not None:
            return self.result
        if self.pending is not None:
            raise exceptions.StoreUnavailableError(
                "the result waits to be stored; repeat the same request to get it",
                not_run=typing.cast(exceptions.NotRun, self.pending.not_run),
            )
        raise exceptions.OutcomeUnknownError(
            "the action is still in progress; repeat the same request to follow it"
        )


class Intents:
    """Runs non-idempotent actions whose key this node owns.

    Parameters
    ----------
    runners : callable
        Returns the current views of a service's runners.
    configuration : callable
        Returns the fleet configuration in force.
    tasks : anyio.abc.TaskGroup
        Runs the actions, which continue after the requests that wait for them have ended.
    """

    def __init__(
        self,
        session: sessions.Session,
        service: service_adapter.HttpServiceAdapter,
        runners: RunnerLookup,
        configuration: collections.abc.Callable[[], models.FleetConfiguration],
        tasks: anyio.abc.TaskGroup,
        runner_protection: protection.Protection | None = None,
    ):
        self.session = session
        self.table = session.table
        self.service = service
        self.runners = runners
        self.configuration = configuration
        self.tasks = tasks
        self.protection = runner_protection or protection.NoProtection()
        self.running: dict[programs.ActionKey, RunningAction] = {}

    def record(self, record: records.Record) -> journal.Commit:
        """Apply a record and queue it for the journal."""
        return self.session.record(record)

    async def run(self, action: Action) -> structures.ActionResult:
        """Send an action once, wait for the running one, or return the recorded result.

        Raises
        ------
        KeyConflictError
            If the key was used with another action.
        OutcomeUnknownError
            If it was or may have been sent and no result is known.
        """
        digest = action.digest()
        key = programs.ActionKey(action.customer, action.key)
        running = self.running.get(key)
        entry = self.table.key(action.customer, action.key)
        existing = running or entry
        if existing is not None and existing.digest != digest:
            raise exceptions.KeyConflictError(
                "the idempotency key was used with another action; use a new key"
            )
        if running is None and entry is not None:
            return await self.recorded_result(entry, action.deadline_at)
        if running is None:
            running = RunningAction(digest)
            self.running[key] = running
            self.tasks.start_soon(self.execute, key, action, running)
        return await running.wait(action.deadline_at)

    async def recorded_result(
        self, entry: programs.KeyEntry, deadline_at: float
    ) -> structures.ActionResult:
        """Return the recorded result; when it is unknown, ask the service for the outcome."""
        if entry.result is not None and entry.settled():
            return entry.result
        with anyio.CancelScope(deadline=deadline_at):
            settled = await self.settle_intent(entry)
            if settled is not None:
                return settled
        raise unknown_outcome_error(entry.service)

    async def execute(
        self, key: programs.ActionKey, action: Action, running: RunningAction
    ) -> None:
        """Store the intent, send the action, and store its outcome."""
        try:
            result = await self.send_once(action, running)
            running.pending = result
            commit = self.record(
                outcome_record(action.customer, action.key, running.digest, result)
            )
            if result.not_run != "true":
                await commit.wait()
            running.result = result
        except exceptions.DogwoodgapError as error:
            running.error = correct_not_run(error, running)
        except Exception as error:
            running.error = unknown_outcome_error(action.service)
            events.emit(
                events.Event.ACTION_UNKNOWN,
                "unexpected error in an action",
                level=logging.ERROR,
                service=action.service,
                detail=repr(error),
            )
        finally:
            self.running.pop(key, None)
            running.done.set()

    async def send_once(self, action: Action, running: RunningAction) -> structures.ActionResult:
        """Store the intent and send the action; the result may say that nothing was sent."""
        intent = self.record(
            records.ActionIntent(
                customer=action.customer,
                key=action.key,
                digest=running.digest,
                token=uuid.uuid4().hex,
                service=action.service,
                path=action.path,
                at=clock.wall_time(),
            )
        )
        with anyio.CancelScope(deadline=action.deadline_at):
            await intent.wait()
        if intent.error is not None:
            raise intent.error
        if not intent.stored.is_set():
            return not_sent_result(
                "the intent could not be stored before the deadline; use a new key"
            )
        return await self.send(action, running)

    async def send(self, action: Action, running: RunningAction) -> structures.ActionResult:
        """Try runners until one accepts the connection; nothing is sent twice."""
        tried: set[str] = set()
        while action.remaining_s() > 0:
            if self.session.sealed:
                raise exceptions.JournalSealedError(
                    "another node took over before the action was sent; repeat it with its key"
                )
            runner = choose_runner(self.runners(action.service), tried)
            if runner is None:
                tried.clear()
                await anyio.sleep(min(RETRY_DELAY_S, action.remaining_s()))
                continue
            tried.add(runner.id)
            try:
                return await self.act(runner, action, running)
            except (exceptions.RunnerUnreachableError, exceptions.RunnerLeavingError):
                running.sent = False
            except exceptions.OutcomeUnknownError:
                return await self.poll_outcome(action)
        return not_sent_result("no runner could be reached before the deadline; use a new key")

    async def act(
        self, runner: structures.RunnerView, action: Action, running: RunningAction
    ) -> structures.ActionResult:
        """Send the action to one runner and count it as in flight."""
        runner.in_flight += 1
        try:
            async with self.protection.protect(runner, running.digest):
                # Set before sending, so that a cancelled action is never reported as not run.
                running.sent = True
                return await self.service.act(
                    runner,
                    action.path,
                    action.payload,
                    key=action.key,
                    timeout_s=action.remaining_s(),
                    trace=action.trace,
                )
        finally:
            runner.in_flight -= 1

    async def poll_outcome(self, action: Action) -> structures.ActionResult:
        """Poll the service until the deadline for the outcome of an unanswered action."""
        while True:
            outcome = await self.query_outcome(action.service, action.key)
            if outcome is not None:
                return outcome
            if action.remaining_s() <= 0 or not self.reports_outcomes(action.service):
                metrics.count("actions.unknown")
                raise unknown_outcome_error(action.service)
            await anyio.sleep(min(RETRY_DELAY_S, action.remaining_s()))

    def reports_outcomes(self, service: str) -> bool:
        """Return whether a service can report outcomes."""
        configured = self.configuration().services.get(service)
        return configured is not None and configured.answers_outcomes

    async def query_outcome(self, service: str, key: str) -> structures.ActionResult | None:
        """Return the outcome that any runner of a service reports for a key, or None."""
        if not self.reports_outcomes(service):
            return None
        for runner in self.runners(service):
            try:
                outcome = await self.service.outcome(runner, key)
            except exceptions.RunnerFailedError:
                continue
            if outcome is not None:
                return outcome
        return None

    async def settle_intent(self, entry: programs.KeyEntry) -> structures.ActionResult | None:
        """Query and store the outcome of an intent of an earlier boot, without sending it again.

        Returns None when the service reports no outcome. The action may still run then, since
        the request may be in transit.
        """
        outcome = await self.query_outcome(entry.service, entry.key)
        if outcome is None:
            return None
        await self.record(outcome_record(entry.customer, entry.key, entry.digest, outcome)).wait()
        return outcome


def choose_runner(
    views: list[structures.RunnerView], tried: collections.abc.Set[str]
) -> structures.RunnerView | None:
    """Return the least loaded runner that is up and was not tried."""
    usable = [view for view in views if view.id not in tried and not view.leaving]
    return min(usable, key=lambda view: (view.down, view.in_flight, view.id), default=None)


def not_sent_result(detail: str) -> structures.ActionResult:
    """Return the result of an action whose deadline passed before it was sent."""
    code = exceptions.DeadlinePassedError.code
    return structures.ActionResult(status=0, body=None, not_run="true", code=code, detail=detail)


def unknown_outcome_error(service: str) -> exceptions.OutcomeUnknownError:
    """Return the error for an action that may have been executed."""
    return exceptions.OutcomeUnknownError(
        f"the action may have run and {service} does not report its outcome; "
        "check with the service before using a new key"
    )


def outcome_record(
    customer: str, key: str, digest: str, result: structures.ActionResult
) -> records.ActionOutcome:
    """Return the record of an outcome."""
    return records.ActionOutcome(
        customer=customer, key=key, digest=digest, result=result, at=clock.wall_time()
    )


def correct_not_run(
    error: exceptions.DogwoodgapError, running: RunningAction
) -> exceptions.DogwoodgapError:
    """Set ``not_run`` of an error to what is known about the execution of the action."""
    if running.pending is not None:
        error.not_run = typing.cast(exceptions.NotRun, running.pending.not_run)
    elif running.sent and error.not_run == "true":
        error.not_run = "unknown"
    return error
