"""Model calls of programs: order, budget, dispatch and streaming."""

import collections.abc
import dataclasses
import uuid

import anyio
import anyio.abc

from dogwoodgap import (
    adapters,
    clock,
    exceptions,
    journal,
    models,
    programs,
    records,
    scheduler,
    structures,
)

MESSAGE_OVERHEAD_TOKENS = 8
MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class Token:
    """A piece of streamed text."""

    index: int
    text: str


class RunningCall:
    """A call in progress, and everything that it has produced so far.

    Several requests may follow one call; the call goes on when all of them have gone.
    """

    def __init__(self, digest: str):
        self.digest = digest
        self.tokens: list[Token] = []
        self.turn: structures.Turn | None = None
        self.error: exceptions.DogwoodgapError | None = None
        self.changed = anyio.Event()

    def notify(self) -> None:
        """Wake all followers."""
        self.changed.set()
        self.changed = anyio.Event()

    async def follow(self) -> collections.abc.AsyncIterator[list[Token]]:
        """Yield new tokens in batches until the call has ended; raises its error."""
        sent = 0
        while True:
            changed = self.changed
            if sent < len(self.tokens):
                batch = self.tokens[sent:]
                sent += len(batch)
                yield batch
                continue
            if self.error is not None:
                raise self.error
            if self.turn is not None:
                return
            await changed.wait()


def reservation(messages: list[models.Message], max_tokens: int) -> int:
    """Return an upper bound of the tokens that a call adds to the conversation.

    No tokenizer makes more tokens than there are bytes.
    """
    text_bytes = sum(len(message.content.encode()) for message in messages)
    return text_bytes + MESSAGE_OVERHEAD_TOKENS * len(messages) + max_tokens


class Calls:
    """Runs model calls of the programs that the node owns."""

    def __init__(
        self,
        table: programs.ProgramTable,
        log: journal.Journal,
        engine: adapters.EngineAdapter,
        dispatchers: collections.abc.Mapping[str, scheduler.Dispatcher],
        tasks: anyio.abc.TaskGroup,
    ):
        self.table = table
        self.log = log
        self.engine = engine
        self.dispatchers = dispatchers
        self.tasks = tasks
        self.running: dict[programs.ProgramKey, RunningCall] = {}

    def record(self, *batch: records.Record) -> journal.Commit:
        """Apply records and queue them for the journal."""
        for record in batch:
            self.table.apply(record)
        return self.log.stage(*batch)

    def submit(
        self, program: programs.Program, request: models.CallRequest, deadline_s: float
    ) -> RunningCall:
        """Start a call, or return the one that already runs or ran with this number.

        Raises
        ------
        SequenceConflictError, SequenceGapError, ProgramFinishedError, BudgetExceededError
            When the call cannot start; nothing was run.
        """
        digest = programs.digest_of(
            [request.max_tokens, [message.model_dump() for message in request.messages]]
        )
        key = programs.ProgramKey(program.customer, program.id)
        running = self.running.get(key)
        entry = program.entry(request.seq)
        if entry is not None and entry.digest != digest:
            raise exceptions.SequenceConflictError(
                f"seq {request.seq} was used with another body; continue with {program.next_seq}"
            )
        if running is not None and entry is not None and entry.seq == request.seq:
            return running
        if isinstance(entry, programs.CallEntry) and entry.turn is not None:
            return finished_call(entry)
        if request.seq != program.next_seq or running is not None:
            raise exceptions.SequenceGapError(
                f"seq {request.seq} is not the next one; continue with {program.next_seq}"
            )
        self.check_open(program)
        return self.start(program, request, digest, deadline_s)

    def check_open(self, program: programs.Program) -> None:
        """Refuse work for an ended program."""
        if program.status != structures.ProgramStatus.ACTIVE:
            raise exceptions.ProgramFinishedError(
                f"program {program.id!r} is {program.status}; create a new program"
            )

    def start(
        self,
        program: programs.Program,
        request: models.CallRequest,
        digest: str,
        deadline_s: float,
    ) -> RunningCall:
        """Reserve the budget and run the call in a task of its own."""
        reserved = reservation(request.messages, request.max_tokens)
        remaining = self.table.remaining_tokens(program)
        if reserved > remaining:
            raise exceptions.BudgetExceededError(
                f"the call may need {reserved} tokens and {remaining} remain; "
                "shorten it, lower max_tokens or raise the budget of a new program"
            )
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
        call = RunningCall(digest)
        key = programs.ProgramKey(program.customer, program.id)
        self.running[key] = call
        deadline_at = clock.now() + deadline_s
        self.tasks.start_soon(self.run, key, call, program, request, started, deadline_at)
        return call

    async def run(
        self,
        key: programs.ProgramKey,
        call: RunningCall,
        program: programs.Program,
        request: models.CallRequest,
        started: journal.Commit,
        deadline_at: float,
    ) -> None:
        """Run a call to its end and record how it ended."""
        try:
            turn = await self.attempt(call, program, request, started, deadline_at)
            await self.record(
                records.CallFinished(customer=program.customer, program=program.id, turn=turn)
            ).wait()
            call.turn = turn
        except exceptions.JournalSealedError as error:
            call.error = error
        except exceptions.DogwoodgapError as error:
            call.error = await self.record_failure(program, request, call, error)
        finally:
            self.running.pop(key, None)
            call.notify()

    async def record_failure(
        self,
        program: programs.Program,
        request: models.CallRequest,
        call: RunningCall,
        error: exceptions.DogwoodgapError,
    ) -> exceptions.DogwoodgapError:
        """Journal a failed call and return the error for its followers."""
        entry = program.calls[request.seq]
        charged = 0 if error.not_run == "true" else entry.reserved_tokens
        commit = self.record(
            records.CallFailed(
                customer=program.customer,
                program=program.id,
                seq=request.seq,
                digest=call.digest,
                charged_tokens=charged,
                code=error.code,
                at=clock.wall(),
            )
        )
        try:
            await commit.wait()
        except exceptions.JournalSealedError as sealed:
            return sealed
        return error

    async def attempt(
        self,
        call: RunningCall,
        program: programs.Program,
        request: models.CallRequest,
        started: journal.Commit,
        deadline_at: float,
    ) -> structures.Turn:
        """Place the call, stream it, and return the turn; resumes on another runner."""
        dispatcher = self.dispatchers.get(program.service)
        if dispatcher is None:
            raise exceptions.UnknownServiceError(
                f"service {program.service!r} is not configured; ask an operator to add it"
            )
        item = work_item(program, request, deadline_at)
        for attempt in range(MAX_ATTEMPTS):
            placement = await dispatcher.acquire(item)
            failed = True
            try:
                if attempt == 0:
                    await started.wait()
                turn = await self.stream(call, program, request, placement)
                failed = False
                return turn
            except exceptions.RunnerFailedError:
                if attempt == MAX_ATTEMPTS - 1:
                    raise
                item.exclude.add(placement.runner.id)
            finally:
                dispatcher.release(placement, failed=failed)
        raise exceptions.RunnerFailedError("no attempt was left; repeat the call")

    async def stream(
        self,
        call: RunningCall,
        program: programs.Program,
        request: models.CallRequest,
        placement: structures.Placement,
    ) -> structures.Turn:
        """Stream one answer from a runner."""
        new = [structures.Text(message.role, message.content) for message in request.messages]
        generation = adapters.Generation(
            request_id=uuid.uuid4().hex,
            model=program.service,
            messages=[*conversation(program), *new],
            max_tokens=request.max_tokens,
            priority=placement.priority,
            session=f"{program.customer}/{program.id}",
            resume_from=len(call.tokens),
        )
        last: adapters.Chunk | None = None
        async for chunk in self.engine.generate(placement.runner, generation):
            if chunk.text:
                if chunk.index != len(call.tokens):
                    raise exceptions.RunnerFailedError(
                        f"runner {placement.runner.id} sent token {chunk.index} out of order"
                    )
                call.tokens.append(Token(chunk.index, chunk.text))
                call.notify()
            if chunk.finish_reason:
                last = chunk
        if last is None:
            raise exceptions.RunnerFailedError(
                f"runner {placement.runner.id} sent no finish reason; repeat the call"
            )
        return structures.Turn(
            seq=request.seq,
            digest=call.digest,
            messages=new,
            text="".join(token.text for token in call.tokens),
            prompt_tokens=last.prompt_tokens,
            cached_tokens=last.cached_tokens,
            output_tokens=last.output_tokens,
            finish_reason=last.finish_reason,
            runner=placement.runner.id,
            finished_at=clock.wall(),
        )


def conversation(program: programs.Program) -> list[structures.Text]:
    """Return the messages of all finished turns."""
    messages: list[structures.Text] = []
    for turn in program.turns():
        messages.extend(turn.messages)
        messages.append(structures.Text("assistant", turn.text))
    return messages


def finished_call(entry: programs.CallEntry) -> RunningCall:
    """Return a call that has ended, for a repeated request."""
    call = RunningCall(entry.digest)
    call.turn = entry.turn
    call.tokens = [Token(0, entry.turn.text)]
    return call


def work_item(
    program: programs.Program, request: models.CallRequest, deadline_at: float
) -> structures.WorkItem:
    """Describe a call to the scheduler."""
    turns = program.turns()
    return structures.WorkItem(
        program=program.id,
        customer=program.customer,
        service=program.service,
        profile=program.profile,
        prompt_tokens=program.context_tokens() + reservation(request.messages, 0),
        max_tokens=request.max_tokens,
        attained_tokens=program.spent_tokens,
        enqueued_at=clock.now(),
        deadline_at=deadline_at,
        prefix_runner=turns[-1].runner if turns else "",
        prefix_tokens=program.context_tokens(),
        turns=len(turns),
    )
