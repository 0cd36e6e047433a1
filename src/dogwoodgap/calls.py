"""Model calls of programs: order, budget, dispatch and streaming."""

import collections
import collections.abc
import contextlib
import logging

import anyio
import anyio.abc

from dogwoodgap import (
    adapters,
    answers,
    clock,
    events,
    exceptions,
    journal,
    models,
    programs,
    prompts,
    protection,
    records,
    releases,
    scheduler,
    sessions,
    structures,
)

MAX_ATTEMPTS = 3
HELD_BACK_S = 0.1


class Calls:
    """Runs model calls of the programs that the node owns.

    Parameters
    ----------
    session : sessions.Session
        The boot whose programs these are.
    dispatchers : mapping
        Dispatcher of each model service.
    tasks : anyio.abc.TaskGroup
        Runs the calls, which outlive the requests that follow them.
    configuration : callable
        Returns the fleet configuration in force.
    guard : protection.Protection, optional
        Surrounds each request to a runner.
    memory : releases.Releases, optional
        Told before a call is sent, so that the memory can be released.
    """

    def __init__(
        self,
        session: sessions.Session,
        engine: adapters.EngineAdapter,
        dispatchers: collections.abc.Mapping[str, scheduler.Dispatcher],
        tasks: anyio.abc.TaskGroup,
        configuration: collections.abc.Callable[[], models.FleetConfiguration],
        memory: releases.Releases | None = None,
        guard: protection.Protection | None = None,
    ):
        self.session = session
        self.table = session.table
        self.engine = engine
        self.dispatchers = dispatchers
        self.tasks = tasks
        self.configuration = configuration
        self.memory = memory
        self.guard = guard or protection.NoProtection()
        self.running: dict[programs.ProgramKey, answers.RunningCall] = {}
        self.queued: collections.Counter[str] = collections.Counter()

    def record(self, *batch: records.Record) -> journal.Commit:
        """Apply records and queue them for the journal."""
        return self.session.record(*batch)

    def attach(
        self, program: programs.Program, request: models.CallRequest, digest: str
    ) -> answers.RunningCall | None:
        """Return the call with this number and body that runs or has finished.

        Raises
        ------
        SequenceConflictError
            When the number was used with another body.
        """
        entry = program.entry(request.seq)
        if entry is None or (isinstance(entry, programs.ActionEntry) and entry.unused):
            return None
        if entry.digest != digest:
            raise exceptions.SequenceConflictError(
                f"seq {request.seq} was used with another body; continue with {program.next_seq}"
            )
        running = self.running.get(programs.key_of(program))
        if running is not None and running.seq == request.seq:
            return running
        if isinstance(entry, programs.CallEntry) and entry.turn is not None:
            return answers.finished_call(entry)
        return None

    def submit(
        self,
        program: programs.Program,
        request: models.CallRequest,
        deadline_s: float,
        trace: str = "",
    ) -> answers.RunningCall:
        """Start a call, or return the one that already runs or ran with this number.

        Raises
        ------
        SequenceConflictError, SequenceGapError, ProgramFinishedError, BudgetExceededError
            When the call cannot start; nothing was run.
        """
        digest = prompts.digest_of(request)
        attached = self.attach(program, request, digest)
        if attached is not None:
            return attached
        programs.check_open(program)
        self.check_order(program, request.seq)
        return self.start(program, request, digest, clock.now() + deadline_s, trace)

    def check_order(self, program: programs.Program, seq: int) -> None:
        """Refuse a number that is not the next one, or that comes before the last call ended."""
        if seq < program.next_seq:
            raise exceptions.SequenceConflictError(
                f"seq {seq} was used with another request; continue with {program.next_seq}"
            )
        if seq != program.next_seq:
            raise exceptions.SequenceGapError(
                f"seq {seq} is not the next one; continue with {program.next_seq}"
            )
        running = self.running.get(programs.key_of(program))
        if running is not None:
            raise exceptions.SequenceGapError(
                f"seq {running.seq} has not ended yet; wait for its result"
            )

    def start(
        self,
        program: programs.Program,
        request: models.CallRequest,
        digest: str,
        deadline_at: float,
        trace: str,
    ) -> answers.RunningCall:
        """Reserve the budget and run the call in a task of its own."""
        reserved = prompts.reservation(request.messages, request.max_tokens)
        started = self.record(
            records.CallStarted(
                customer=program.customer,
                program=program.id,
                seq=request.seq,
                digest=digest,
                reserved_tokens=reserved,
                at=clock.wall(),
            )
        )
        call = answers.RunningCall(request.seq, digest)
        self.running[programs.key_of(program)] = call
        work = prompts.Work(call, program, request, started, deadline_at, trace)
        self.tasks.start_soon(self.run, work)
        return call

    async def run(self, work: prompts.Work) -> None:
        """Run a call to its end and record how it ended."""
        call, program = work.call, work.program
        try:
            turn = await self.attempt_in_time(work)
            call.finishing = True
            call.ended.set()
            await self.record(
                records.CallFinished(customer=program.customer, program=program.id, turn=turn)
            ).wait()
            call.turn = turn
        except exceptions.JournalSealedError as error:
            call.error = error
        except exceptions.DogwoodgapError as error:
            if call.ran and error.not_run == "true":
                # Refused by a later step, but a runner was asked before.
                error.not_run = "unknown"
            call.error = error
            self.record_failure(work, error)
        except Exception as error:
            call.error = exceptions.DogwoodgapError(
                "the node failed while it ran the call; repeat the same seq"
            )
            events.emit(
                events.Event.CALL_FAILED,
                "unexpected error in a call",
                level=logging.ERROR,
                program=program.id,
                detail=repr(error),
            )
            self.record_failure(work, call.error)
        finally:
            self.running.pop(programs.key_of(program), None)
            call.ended.set()
            call.closed.set()
            call.notify()

    def record_failure(self, work: prompts.Work, error: exceptions.DogwoodgapError) -> None:
        """Journal a failed call without waiting for it.

        The answer may go out first: a successor that finds only the start record charges the
        whole reservation, which is never less than what is charged here.
        """
        if self.table.programs.get(programs.key_of(work.program)) is not work.program:
            # The shard was given up; its new owner charges the call.
            return
        entry = work.program.calls[work.request.seq]
        failed = records.CallFailed(
            customer=work.program.customer,
            program=work.program.id,
            seq=work.request.seq,
            digest=work.call.digest,
            charged_tokens=entry.reserved_tokens if work.call.ran else 0,
            code=error.code,
            at=clock.wall(),
        )
        # A sealed journal or a moved shard refuses the record; the new owner charges the call.
        with contextlib.suppress(exceptions.DogwoodgapError):
            self.record(failed)

    async def attempt_in_time(self, work: prompts.Work) -> structures.Turn:
        """Run the attempts until the deadline or until the program ends."""
        call = work.call
        call.scope.deadline = work.deadline_at
        turn = None
        with call.scope:
            turn = await self.attempt(work)
        if turn is not None:
            return turn
        raise self.stopped(work)

    def stopped(self, work: prompts.Work) -> exceptions.DogwoodgapError:
        """Return why a call was stopped before its turn was complete."""
        not_run: exceptions.NotRun = "false" if work.call.ran else "true"
        error = work.call.cancelled_by
        if error is not None:
            return type(error)(error.detail, not_run=not_run)
        if not work.started.stored.is_set():
            return exceptions.StoreUnavailableError(
                "the start of the call could not be stored before the deadline; repeat it later",
                not_run=not_run,
            )
        return exceptions.DeadlinePassedError(
            "the call did not finish before its deadline; repeat it with a later one",
            not_run=not_run,
        )

    async def attempt(self, work: prompts.Work) -> structures.Turn:
        """Place the call, stream it, and return the turn; resumes on another runner."""
        dispatcher = self.dispatchers.get(work.program.service)
        if dispatcher is None:
            raise exceptions.UnknownServiceError(
                f"service {work.program.service!r} is not configured; ask an operator to add it"
            )
        item = self.work_item(work)
        self.guard.first_attempt(work.program.service)
        failures = 0
        held_back: set[str] = set()
        while True:
            placement = await self.place(work.program.service, dispatcher, item)
            failed = True
            try:
                turn = await self.send(work, dispatcher, placement)
                failed = False
                return turn
            except exceptions.RunnerFailedError:
                failures += 1
                retried = self.guard.may_retry(work.program.service)
                if failures == MAX_ATTEMPTS or not retried:
                    raise
                item.exclude.add(placement.runner.id)
            except exceptions.OverloadedError:
                # The quarantine holds the request back: it runs on two runners already, or is a
                # suspect that must run alone. Another runner, or a later time, may do.
                held_back.add(placement.runner.id)
                item.exclude.add(placement.runner.id)
            finally:
                dispatcher.release(placement, failed=failed)
            if held_back and item.exclude >= {view.id for view in dispatcher.runners()}:
                item.exclude -= held_back
                held_back.clear()
                await anyio.sleep(HELD_BACK_S)

    async def send(
        self, work: prompts.Work, dispatcher: scheduler.Dispatcher, placement: structures.Placement
    ) -> structures.Turn:
        """Send a call to its runner when its start is stored, and settle its prefix."""
        await work.started.wait()
        if self.memory is not None:
            await self.memory.import_prefix(placement)
        sent_at = clock.now()
        turn = await self.stream(work, placement)
        self.settle_prefix(work, dispatcher, placement, turn, clock.now() - sent_at)
        return turn

    def settle_prefix(
        self,
        work: prompts.Work,
        dispatcher: scheduler.Dispatcher,
        placement: structures.Placement,
        turn: structures.Turn,
        duration_s: float,
    ) -> None:
        """Tell the scheduler of a whole answer and of the tool pause that follows it."""
        orders = dispatcher.call_finished(placement, turn.output_tokens, duration_s)
        profile = self.configuration().profiles.get(work.program.profile, models.Profile())
        tool = work.request.next_tool or ""
        orders += dispatcher.program_paused(placement.item, tool, profile.idle_seconds)
        if self.memory is not None:
            self.memory.execute_orders(work.program.service, orders)

    async def place(
        self, service: str, dispatcher: scheduler.Dispatcher, item: structures.WorkItem
    ) -> structures.Placement:
        """Wait for a runner; the call counts as queued meanwhile."""
        self.queued[service] += 1
        try:
            return await dispatcher.acquire(item)
        finally:
            self.queued[service] -= 1

    def work_item(self, work: prompts.Work) -> structures.WorkItem:
        """Describe a call to the scheduler, with the weights of its profile and customer."""
        item = prompts.work_item(work.program, work.request, work.deadline_at)
        configuration = self.configuration()
        profile = configuration.profiles.get(work.program.profile, models.Profile())
        customer = configuration.customers.get(work.program.customer, models.Customer())
        item.attained_tokens = self.table.root(work.program).spent_tokens
        item.digest = work.call.digest
        item.urgency = profile.urgency
        item.latency_weight = profile.latency_weight
        item.cache_weight = profile.cache_weight
        item.share_weight = profile.share_weight * customer.weight
        return item

    async def stream(self, work: prompts.Work, placement: structures.Placement) -> structures.Turn:
        """Stream one answer from a runner, and order it to stop when it is not wanted."""
        generation = prompts.generation_of(work, placement)
        before = work.call.ran
        try:
            async with self.guard.protect(
                placement.runner,
                protection.digest_of(generation),
                expected_s=placement.estimated_finish_s,
            ):
                if self.memory is not None:
                    self.memory.record_holder(work.program, placement.runner)
                work.call.ran = True
                last = await self.receive(work.call, placement.runner, generation)
        except exceptions.RunnerFailedError as error:
            work.call.ran = before or (work.call.ran and error.not_run != "true")
            raise
        except anyio.get_cancelled_exc_class():
            self.tasks.start_soon(self.stop, placement.runner, generation.request_id)
            raise
        return structures.Turn(
            seq=work.request.seq,
            digest=work.call.digest,
            messages=prompts.texts(work.request),
            text="".join(token.text for token in work.call.tokens),
            prompt_tokens=last.prompt_tokens,
            cached_tokens=last.cached_tokens,
            output_tokens=last.output_tokens,
            finish_reason=last.finish_reason,
            runner=placement.runner.id,
            finished_at=clock.wall(),
        )

    async def receive(
        self,
        call: answers.RunningCall,
        runner: structures.RunnerView,
        generation: adapters.Generation,
    ) -> adapters.Chunk:
        """Append the tokens of an answer to the call and return the last chunk."""
        last: adapters.Chunk | None = None
        async with contextlib.aclosing(self.engine.generate(runner, generation)) as batches:
            async for batch in batches:
                for chunk in batch:
                    last = answers.append_chunk(call, chunk, runner) or last
                call.notify()
        if last is None:
            raise exceptions.RunnerFailedError(
                f"runner {runner.id} sent no finish reason; repeat the call"
            )
        return last

    async def stop(self, runner: structures.RunnerView, request_id: str) -> None:
        """Order a runner to stop a stream; closing the connection stops it as well."""
        with contextlib.suppress(exceptions.RunnerFailedError):
            await self.engine.cancel(runner, request_id)

    def cancel(
        self, program: programs.Program, error: exceptions.DogwoodgapError
    ) -> anyio.Event | None:
        """Stop the running call of a program; the event is set when no runner works on it."""
        running = self.running.get(programs.key_of(program))
        if running is None:
            return None
        running.cancel(error)
        return running.ended

    def stored_turns(self, program: programs.Program) -> list[structures.Turn]:
        """Return the turns that are in the journal."""
        running = self.running.get(programs.key_of(program))
        turns = program.turns()
        if running is not None and turns and turns[-1].seq == running.seq:
            return turns[:-1]
        return turns
