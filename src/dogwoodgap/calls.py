"""Model calls of programs: sequence numbers, budget, dispatch and streaming."""

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
HELD_BACK_RETRY_S = 0.1


class Calls:
    """Runs model calls of the programs that the node owns.

    Parameters
    ----------
    session : sessions.Session
        Session that owns the programs.
    dispatchers : mapping
        Dispatcher of each model service.
    tasks : anyio.abc.TaskGroup
        Runs the calls, which continue after the requests that wait for them have ended.
    configuration : callable
        Returns the fleet configuration in force.
    guard : protection.Protection, optional
        Wraps each request to a runner.
    engine_cache : releases.Releases, optional
        Records the runner of each call before the call is sent, so that the cache of the program
        can be released there.
    """

    def __init__(
        self,
        session: sessions.Session,
        engine: adapters.EngineAdapter,
        dispatchers: collections.abc.Mapping[str, scheduler.Dispatcher],
        tasks: anyio.abc.TaskGroup,
        configuration: collections.abc.Callable[[], models.FleetConfiguration],
        engine_cache: releases.Releases | None = None,
        guard: protection.Protection | None = None,
    ):
        self.session = session
        self.table = session.table
        self.engine = engine
        self.dispatchers = dispatchers
        self.tasks = tasks
        self.configuration = configuration
        self.engine_cache = engine_cache
        self.guard = guard or protection.NoProtection()
        self.running: dict[programs.ProgramKey, answers.RunningCall] = {}
        self.queued: collections.Counter[str] = collections.Counter()

    def record(self, *batch: records.Record) -> journal.Commit:
        """Apply records and queue them for the journal."""
        return self.session.record(*batch)

    def attach(
        self, program: programs.Program, request: models.CallRequest, digest: str
    ) -> answers.RunningCall | None:
        """Return the running or finished call with this number and body, if there is one.

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
        """Start a call, or return the running or finished one with this number.

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
        self.check_sequence(program, request.seq)
        return self.start(program, request, digest, clock.now() + deadline_s, trace)

    def check_sequence(self, program: programs.Program, seq: int) -> None:
        """Raise when a number is not the next one, or while another call is running."""
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
        """Reserve the budget and run the call in a separate task."""
        reserved = prompts.max_added_tokens(request.messages, request.max_tokens)
        started = self.record(
            records.CallStarted(
                customer=program.customer,
                program=program.id,
                seq=request.seq,
                digest=digest,
                reserved_tokens=reserved,
                at=clock.wall_time(),
            )
        )
        call = answers.RunningCall(request.seq, digest)
        self.running[programs.key_of(program)] = call
        context = prompts.CallContext(call, program, request, started, deadline_at, trace)
        self.tasks.start_soon(self.run, context)
        return call

    async def run(self, context: prompts.CallContext) -> None:
        """Run a call and record its turn or its failure."""
        call, program = context.call, context.program
        try:
            turn = await self.run_until_deadline(context)
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
                # A later attempt was refused, but an earlier one reached a runner.
                error.not_run = "unknown"
            call.error = error
            self.record_failure(context, error)
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
            self.record_failure(context, call.error)
        finally:
            self.running.pop(programs.key_of(program), None)
            call.ended.set()
            call.closed.set()
            call.notify()

    def record_failure(
        self, context: prompts.CallContext, error: exceptions.DogwoodgapError
    ) -> None:
        """Record a failed call without waiting until the record is stored.

        The caller may be answered first: a successor that finds only the start record charges the
        full reservation, which is at least the charge recorded here.
        """
        if self.table.programs.get(programs.key_of(context.program)) is not context.program:
            # The shard has moved; its new owner charges the call.
            return
        entry = context.program.calls[context.request.seq]
        failed = records.CallFailed(
            customer=context.program.customer,
            program=context.program.id,
            seq=context.request.seq,
            digest=context.call.digest,
            charged_tokens=entry.reserved_tokens if context.call.ran else 0,
            code=error.code,
            at=clock.wall_time(),
        )
        # A sealed journal or a moved shard refuses the record; the new owner charges the call.
        with contextlib.suppress(exceptions.DogwoodgapError):
            self.record(failed)

    async def run_until_deadline(self, context: prompts.CallContext) -> structures.Turn:
        """Run a call until its deadline or until it is cancelled."""
        call = context.call
        call.scope.deadline = context.deadline_at
        turn = None
        with call.scope:
            turn = await self.run_with_retries(context)
        if turn is not None:
            return turn
        raise self.stop_error(context)

    def stop_error(self, context: prompts.CallContext) -> exceptions.DogwoodgapError:
        """Return the error for a call that was stopped before its turn was complete."""
        not_run: exceptions.NotRun = "false" if context.call.ran else "true"
        error = context.call.cancelled_by
        if error is not None:
            return type(error)(error.detail, not_run=not_run)
        if not context.started.stored.is_set():
            return exceptions.StoreUnavailableError(
                "the start of the call could not be stored before the deadline; repeat it later",
                not_run=not_run,
            )
        return exceptions.DeadlinePassedError(
            "the call did not finish before its deadline; repeat it with a later one",
            not_run=not_run,
        )

    async def run_with_retries(self, context: prompts.CallContext) -> structures.Turn:
        """Run a call and return its turn; after a failure it resumes on another runner."""
        dispatcher = self.dispatchers.get(context.program.service)
        if dispatcher is None:
            raise exceptions.UnknownServiceError(
                f"service {context.program.service!r} is not configured; ask an operator to add it"
            )
        item = self.work_item(context)
        self.guard.first_attempt(context.program.service)
        failures = 0
        refusing_runners: set[str] = set()
        while True:
            placement = await self.acquire_runner(context.program.service, dispatcher, item)
            failed = True
            try:
                turn = await self.send(context, dispatcher, placement)
                failed = False
                return turn
            except exceptions.RunnerFailedError:
                failures += 1
                retried = self.guard.may_retry(context.program.service)
                if failures == MAX_ATTEMPTS or not retried:
                    raise
                item.exclude.add(placement.runner.id)
            except exceptions.OverloadedError:
                # The quarantine refuses this runner: the request already runs on two runners, or
                # is a suspect that must run alone. Another runner or a later attempt may succeed.
                refusing_runners.add(placement.runner.id)
                item.exclude.add(placement.runner.id)
            finally:
                dispatcher.release(placement, failed=failed)
            if refusing_runners and item.exclude >= {view.id for view in dispatcher.runners()}:
                item.exclude -= refusing_runners
                refusing_runners.clear()
                await anyio.sleep(HELD_BACK_RETRY_S)

    async def send(
        self,
        context: prompts.CallContext,
        dispatcher: scheduler.Dispatcher,
        placement: structures.Placement,
    ) -> structures.Turn:
        """Send a call to its runner once its start is stored, and report its prefix."""
        await context.started.wait()
        if self.engine_cache is not None:
            await self.engine_cache.import_prefix(placement)
        sent_at = clock.now()
        turn = await self.stream(context, placement)
        self.report_finished(context, dispatcher, placement, turn, clock.now() - sent_at)
        return turn

    def report_finished(
        self,
        context: prompts.CallContext,
        dispatcher: scheduler.Dispatcher,
        placement: structures.Placement,
        turn: structures.Turn,
        duration_s: float,
    ) -> None:
        """Report a complete answer and the tool pause that follows it to the scheduler."""
        orders = dispatcher.call_finished(placement, turn.output_tokens, duration_s)
        profile = self.configuration().profiles.get(context.program.profile, models.Profile())
        tool = context.request.next_tool or ""
        orders += dispatcher.program_paused(placement.item, tool, profile.idle_seconds)
        if self.engine_cache is not None:
            self.engine_cache.execute_orders(context.program.service, orders)

    async def acquire_runner(
        self, service: str, dispatcher: scheduler.Dispatcher, item: structures.WorkItem
    ) -> structures.Placement:
        """Wait for a runner; the call counts as queued until it has one."""
        self.queued[service] += 1
        try:
            return await dispatcher.acquire(item)
        finally:
            self.queued[service] -= 1

    def work_item(self, context: prompts.CallContext) -> structures.WorkItem:
        """Return the work item of a call, with the weights of its profile and customer."""
        item = prompts.work_item(context.program, context.request, context.deadline_at)
        configuration = self.configuration()
        profile = configuration.profiles.get(context.program.profile, models.Profile())
        customer = configuration.customers.get(context.program.customer, models.Customer())
        item.attained_tokens = self.table.root(context.program).spent_tokens
        item.digest = context.call.digest
        item.urgency = profile.urgency
        item.latency_weight = profile.latency_weight
        item.cache_weight = profile.cache_weight
        item.share_weight = profile.share_weight * customer.weight
        return item

    async def stream(
        self, context: prompts.CallContext, placement: structures.Placement
    ) -> structures.Turn:
        """Stream one answer from a runner; a cancelled call is also cancelled on the runner."""
        generation_request = prompts.build_generation_request(context, placement)
        ran_before = context.call.ran
        try:
            async with self.guard.protect(
                placement.runner,
                protection.digest_of(generation_request),
                expected_s=placement.estimated_finish_s,
            ):
                if self.engine_cache is not None:
                    self.engine_cache.record_holder(context.program, placement.runner)
                context.call.ran = True
                last_chunk = await self.receive(context.call, placement.runner, generation_request)
        except exceptions.RunnerFailedError as error:
            context.call.ran = ran_before or (context.call.ran and error.not_run != "true")
            raise
        except anyio.get_cancelled_exc_class():
            self.tasks.start_soon(
                self.cancel_on_runner, placement.runner, generation_request.request_id
            )
            raise
        return structures.Turn(
            seq=context.request.seq,
            digest=context.call.digest,
            messages=prompts.new_messages(context.request),
            text="".join(token.text for token in context.call.tokens),
            prompt_tokens=last_chunk.prompt_tokens,
            cached_tokens=last_chunk.cached_tokens,
            output_tokens=last_chunk.output_tokens,
            finish_reason=last_chunk.finish_reason,
            runner=placement.runner.id,
            finished_at=clock.wall_time(),
        )

    async def receive(
        self,
        call: answers.RunningCall,
        runner: structures.RunnerView,
        generation_request: adapters.GenerationRequest,
    ) -> adapters.Chunk:
        """Append the tokens of an answer to the call and return the last chunk."""
        last_chunk: adapters.Chunk | None = None
        async with contextlib.aclosing(self.engine.generate(runner, generation_request)) as batches:
            async for batch in batches:
                for chunk in batch:
                    last_chunk = answers.append_chunk(call, chunk, runner) or last_chunk
                call.notify()
        if last_chunk is None:
            raise exceptions.RunnerFailedError(
                f"runner {runner.id} sent no finish reason; repeat the call"
            )
        return last_chunk

    async def cancel_on_runner(self, runner: structures.RunnerView, request_id: str) -> None:
        """Cancel a stream on its runner; failures are ignored, as disconnecting cancels it too."""
        with contextlib.suppress(exceptions.RunnerFailedError):
            await self.engine.cancel(runner, request_id)

    def cancel(
        self, program: programs.Program, error: exceptions.DogwoodgapError
    ) -> anyio.Event | None:
        """Cancel the running call of a program.

        Returns an event that is set when no runner works on the call any more, or None when no
        call is running.
        """
        running = self.running.get(programs.key_of(program))
        if running is None:
            return None
        running.cancel(error)
        return running.ended

    def stored_turns(self, program: programs.Program) -> list[structures.Turn]:
        """Return the turns of a program that are stored in the journal."""
        running = self.running.get(programs.key_of(program))
        turns = program.turns()
        if running is not None and turns and turns[-1].seq == running.seq:
            return turns[:-1]
        return turns
