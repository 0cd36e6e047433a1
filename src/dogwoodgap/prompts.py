"""Engine requests and scheduler work items of model calls."""

import dataclasses
import uuid

from dogwoodgap import adapters, answers, clock, journal, models, programs, structures

MESSAGE_OVERHEAD_TOKENS = 8
BYTES_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True, slots=True)
class CallContext:
    """State of one model call while it runs."""

    call: answers.RunningCall
    program: programs.Program
    request: models.CallRequest
    started: journal.Commit
    deadline_at: float
    trace: str


def max_added_tokens(messages: list[models.Message], max_tokens: int) -> int:
    """Return an upper bound of the tokens that a call adds to the conversation.

    A tokenizer produces at most one token per byte of text.
    """
    text_bytes = sum(len(message.content.encode()) for message in messages)
    return text_bytes + MESSAGE_OVERHEAD_TOKENS * len(messages) + max_tokens


def build_generation_request(
    context: CallContext, placement: structures.Placement
) -> adapters.GenerationRequest:
    """Return the engine request of a call; it asks only for tokens not yet received."""
    program = context.program
    return adapters.GenerationRequest(
        request_id=uuid.uuid4().hex,
        model=program.service,
        messages=[*conversation(program), *new_messages(context.request)],
        max_tokens=context.request.max_tokens,
        priority=placement.priority,
        session=programs.session_of(program),
        resume_from=len(context.call.tokens),
        trace=context.trace,
    )


def new_messages(request: models.CallRequest) -> list[structures.Text]:
    """Return the new messages of a call."""
    return [structures.Text(message.role, message.content) for message in request.messages]


def digest_of(request: models.CallRequest) -> str:
    """Return the digest that identifies repeats of a call."""
    return programs.digest_of(
        [request.max_tokens, [message.model_dump() for message in request.messages]]
    )


def conversation(program: programs.Program) -> list[structures.Text]:
    """Return the messages of all finished turns of a program."""
    return conversation_of(program.turns())


def conversation_of(turns: list[structures.Turn]) -> list[structures.Text]:
    """Return the messages of the turns, each followed by its answer."""
    messages: list[structures.Text] = []
    for turn in turns:
        messages.extend(turn.messages)
        messages.append(structures.Text("assistant", turn.text))
    return messages


def work_item(
    program: programs.Program, request: models.CallRequest, deadline_at: float
) -> structures.WorkItem:
    """Return the scheduler's work item for a call."""
    return structures.WorkItem(
        program=program.id,
        customer=program.customer,
        service=program.service,
        profile=program.profile,
        prompt_tokens=program.context_tokens() + estimate_tokens(request.messages),
        max_tokens=request.max_tokens,
        attained_tokens=program.spent_tokens,
        enqueued_at=clock.now(),
        deadline_at=deadline_at,
        started_at=program.created_at,
        turns=program.turn_count,
    )


def estimate_tokens(messages: list[models.Message]) -> int:
    """Return a rough token count of messages, for placement but not for budgets."""
    text_bytes = sum(len(message.content.encode()) for message in messages)
    return text_bytes // BYTES_PER_TOKEN + 1


def taken_over_item(program: programs.Program) -> structures.WorkItem:
    """Return the scheduler's work item for a live program taken over from another node."""
    return structures.WorkItem(
        program=program.id,
        customer=program.customer,
        service=program.service,
        profile=program.profile,
        prompt_tokens=program.context_tokens(),
        max_tokens=0,
        attained_tokens=program.spent_tokens,
        enqueued_at=clock.now(),
        deadline_at=clock.now(),
        started_at=program.created_at,
        turns=program.turn_count,
    )
