"""What a model call sends to the engine and tells the scheduler."""

import dataclasses
import uuid

from dogwoodgap import adapters, answers, clock, journal, models, programs, structures

MESSAGE_OVERHEAD_TOKENS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What one call needs from its start to its end."""

    call: answers.RunningCall
    program: programs.Program
    request: models.CallRequest
    started: journal.Commit
    deadline_at: float
    trace: str


def reservation(messages: list[models.Message], max_tokens: int) -> int:
    """Return an upper bound of the tokens that a call adds to the conversation.

    No tokenizer makes more tokens than there are bytes.
    """
    text_bytes = sum(len(message.content.encode()) for message in messages)
    return text_bytes + MESSAGE_OVERHEAD_TOKENS * len(messages) + max_tokens


def generation_of(work: Work, placement: structures.Placement) -> adapters.Generation:
    """Return the request to the engine; it asks only for tokens not yet received."""
    program = work.program
    return adapters.Generation(
        request_id=uuid.uuid4().hex,
        model=program.service,
        messages=[*conversation(program), *texts(work.request)],
        max_tokens=work.request.max_tokens,
        priority=placement.priority,
        session=programs.session_of(program),
        resume_from=len(work.call.tokens),
        trace=work.trace,
    )


def texts(request: models.CallRequest) -> list[structures.Text]:
    """Return the new messages of a call."""
    return [structures.Text(message.role, message.content) for message in request.messages]


def digest_of(request: models.CallRequest) -> str:
    """Return the digest that a repeat of the call must have."""
    return programs.digest_of(
        [request.max_tokens, [message.model_dump() for message in request.messages]]
    )


def conversation(program: programs.Program) -> list[structures.Text]:
    """Return the messages of all finished turns of a program."""
    return conversation_of(program.turns())


def conversation_of(turns: list[structures.Turn]) -> list[structures.Text]:
    """Return the messages of turns in order."""
    messages: list[structures.Text] = []
    for turn in turns:
        messages.extend(turn.messages)
        messages.append(structures.Text("assistant", turn.text))
    return messages


def work_item(
    program: programs.Program, request: models.CallRequest, deadline_at: float
) -> structures.WorkItem:
    """Describe a call to the scheduler."""
    last = program.last_turn()
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
        prefix_runner=last.runner if last is not None else "",
        prefix_tokens=program.context_tokens(),
        turns=program.turn_count,
    )
