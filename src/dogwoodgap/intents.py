"""Non-idempotent actions at the owner of their key: at most one is ever sent for a key."""

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
"""The action learns at its deadline that it was not sent; its followers wait a little longer."""

RETRY_DELAY_S = 0.05
Runners = collections.abc.Callable[[str], list[structures.RunnerView]]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
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
        """Return the digest that a repeat must have."""
        return programs.digest_of([self.service, self.path, self.payload])

    def remaining_s(self) -> float:
        """Return the time until the deadline."""
        return self.deadline_at - clock.now()


class RunningAction:
    """An action in progress; several requests may wait for it.

    Attributes
    ----------
    sent : bool
        Whether the service may have received it.
    pending : structures.ActionResult or None
        The result that waits to be stored.
    """

    def __init__(self, digest: str):
        self.digest = digest
        self.sent = False
        self.pending: structures.ActionResult | None = None
        self.result: structures.ActionResult | None = None
        self.error: exceptions.DogwoodgapError | None = None
        self.done = anyio.Event()

    async def wait(self, deadline_at: float) -> structures.ActionResult:
        """Return the result, or raise what is known at the deadline of the follower."""
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
        Runs the actions, which outlive the requests that wait for them.
    """

    def __init__(
        self,
        session: sessions.Session,
        service: service_adapter.HttpServiceAdapter,
        runners: Runners,
        configuration: collections.abc.Callable[[], models.FleetConfiguration],
        tasks: anyio.abc.TaskGroup,
        guard: protection.Protection | None = None,
    ):
        self.session = session
        self.table = session.table
        self.service = service
        self.runners = runners
        self.configuration = configuration
        self.tasks = tasks
        self.guard = guard or protection.NoProtection()
        self.running: dict[programs.ActionKey, RunningAction] = {}

    def record(self, record: records.Record) -> journal.Commit:
        """Apply a record and queue it for the journal."""
        return self.session.record(record)

    async def run(self, order: Order) -> structures.ActionResult:
        """Send an action once, follow the one that runs, or return the recorded result.

        Raises
        ------
        KeyConflictError
            When the key was used with another action.
        OutcomeUnknownError
            When it was or may have been sent and no result is known.
        """
        digest = order.digest()
        key = programs.ActionKey(order.customer, order.key)
        running = self.running.get(key)
        entry = self.table.key(order.customer, order.key)
        known = running or entry
        if known is not None and known.digest != digest:
            raise exceptions.KeyConflictError(
                "the idempotency key was used with another action; use a new key"
            )
        if running is None and entry is not None:
            return await self.recorded(entry, order.deadline_at)
        if running is None:
            running = RunningAction(digest)
            self.running[key] = running
            self.tasks.start_soon(self.execute, key, order, running)
        return await running.wait(order.deadline_at)

    async def recorded(
        self, entry: programs.KeyEntry, deadline_at: float
    ) -> structures.ActionResult:
        """Return the result of an action that does not run now."""
        if entry.result is not None and entry.settled():
            return entry.result
        with anyio.CancelScope(deadline=deadline_at):
            settled = await self.settle_intent(entry)
            if settled is not None:
                return settled
        raise unknown_outcome(entry.service)

    async def execute(self, key: programs.ActionKey, order: Order, running: RunningAction) -> None:
        """Store the intent, send the action, and store its outcome."""
        try:
            result = await self.send_once(order, running)
            running.pending = result
            commit = self.record(outcome_record(order.customer, order.key, running.digest, result))
            if result.not_run != "true":
                await commit.wait()
            running.result = result
        except exceptions.DogwoodgapError as error:
            running.error = truthful(error, running)
        except Exception as error:
            running.error = unknown_outcome(order.service)
            events.emit(
                events.Event.ACTION_UNKNOWN,
                "unexpected error in an action",
                level=logging.ERROR,
                service=order.service,
                detail=repr(error),
            )
        finally:
            self.running.pop(key, None)
            running.done.set()

    async def send_once(self, order: Order, running: RunningAction) -> structures.ActionResult:
        """Return the service's answer, or a result that says that nothing was sent."""
        intent = self.record(
            records.ActionIntent(
                customer=order.customer,
                key=order.key,
                digest=running.digest,
                token=uuid.uuid4().hex,
                service=order.service,
                path=order.path,
                at=clock.wall(),
            )
        )
        with anyio.CancelScope(deadline=order.deadline_at):
            await intent.wait()
        if intent.error is not None:
            raise intent.error
        if not intent.stored.is_set():
            return not_sent("the intent could not be stored before the deadline; use a new key")
        return await self.send(order, running)

    async def send(self, order: Order, running: RunningAction) -> structures.ActionResult:
        """Try runners until one accepts the connection; nothing is sent twice."""
        tried: set[str] = set()
        while order.remaining_s() > 0:
            if self.session.sealed:
                raise exceptions.JournalSealedError(
                    "another node took over before the action was sent; repeat it with its key"
                )
            runner = choose(self.runners(order.service), tried)
            if runner is None:
                tried.clear()
                await anyio.sleep(min(RETRY_DELAY_S, order.remaining_s()))
                continue
            tried.add(runner.id)
            try:
                return await self.act(runner, order, running)
            except (exceptions.RunnerUnreachableError, exceptions.RunnerLeavingError):
                running.sent = False
            except exceptions.OutcomeUnknownError:
                return await self.learn(order)
        return not_sent("no runner could be reached before the deadline; use a new key")

    async def act(
        self, runner: structures.RunnerView, order: Order, running: RunningAction
    ) -> structures.ActionResult:
        """Send the action to one runner and count it as in flight."""
        runner.in_flight += 1
        try:
            async with self.guard.protect(runner, running.digest):
                # Set before the send, so that a cancelled one is never reported as not run.
                running.sent = True
                return await self.service.act(
                    runner,
                    order.path,
                    order.payload,
                    key=order.key,
                    timeout_s=order.remaining_s(),
                    trace=order.trace,
                )
        finally:
            runner.in_flight -= 1

    async def learn(self, order: Order) -> structures.ActionResult:
        """Ask the service until the deadline what became of an action without an answer."""
        while True:
            found = await self.ask(order.service, order.key)
            if found is not None:
                return found
            if order.remaining_s() <= 0 or not self.answers(order.service):
                metrics.count("actions.unknown")
                raise unknown_outcome(order.service)
            await anyio.sleep(min(RETRY_DELAY_S, order.remaining_s()))

    def answers(self, service: str) -> bool:
        """Return whether a service can report outcomes."""
        configured = self.configuration().services.get(service)
        return configured is not None and configured.answers_outcomes

    async def ask(self, service: str, key: str) -> structures.ActionResult | None:
        """Return the outcome that any runner of a service reports for a key."""
        if not self.answers(service):
            return None
        for runner in self.runners(service):
            try:
                found = await self.service.outcome(runner, key)
            except exceptions.RunnerFailedError:
                continue
            if found is not None:
                return found
        return None

    async def settle_intent(self, entry: programs.KeyEntry) -> structures.ActionResult | None:
        """Learn and store the outcome of an intent of an earlier boot; never send it again.

        Returns None when the service does not report one. That does not prove that nothing
        ran, since the request may still be on its way.
        """
        found = await self.ask(entry.service, entry.key)
        if found is None:
            return None
        await self.record(outcome_record(entry.customer, entry.key, entry.digest, found)).wait()
        return found


def choose(
    views: list[structures.RunnerView], tried: collections.abc.Set[str]
) -> structures.RunnerView | None:
    """Return the least loaded runner that is up and was not tried."""
    usable = [view for view in views if view.id not in tried and not view.leaving]
    return min(usable, key=lambda view: (view.down, view.in_flight, view.id), default=None)


def not_sent(detail: str) -> structures.ActionResult:
    """Return the outcome of an action whose deadline passed before it was sent."""
    code = exceptions.DeadlinePassedError.code
    return structures.ActionResult(status=0, body=None, not_run="true", code=code, detail=detail)


def unknown_outcome(service: str) -> exceptions.OutcomeUnknownError:
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
        customer=customer, key=key, digest=digest, result=result, at=clock.wall()
    )


def truthful(
    error: exceptions.DogwoodgapError, running: RunningAction
) -> exceptions.DogwoodgapError:
    """Correct what an error says about the execution of an action."""
    if running.pending is not None:
        error.not_run = typing.cast(exceptions.NotRun, running.pending.not_run)
    elif running.sent and error.not_run == "true":
        error.not_run = "unknown"
    return error
