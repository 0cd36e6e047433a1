"""Settlement of intents whose owner was lost between the intent and its outcome."""

import collections.abc

import anyio

from dogwoodgap import (
    clock,
    entries,
    events,
    exceptions,
    loading,
    records,
    sessions,
    structures,
)

INTENT_TIMEOUT_S = 5.0

Ask = collections.abc.Callable[
    [entries.KeyEntry], collections.abc.Awaitable[structures.ActionResult | None]
]
"""Asks the service how a request with a key ended; None when it cannot say."""


async def no_answer(entry: entries.KeyEntry) -> structures.ActionResult | None:
    """Answer for services that cannot be asked about a key."""
    return None


async def settle(session: sessions.Session, found: list[entries.KeyEntry], ask: Ask) -> None:
    """Record how intents ended, all at the same time; no key is ever sent again."""
    async with anyio.create_task_group() as tasks:
        for entry in found:
            tasks.start_soon(settle_one, session, entry, ask)


async def settle_one(session: sessions.Session, entry: entries.KeyEntry, ask: Ask) -> None:
    """Record how one intent ended."""
    result = await answer(entry, ask)
    outcome = records.ActionOutcome(
        customer=entry.customer,
        key=entry.key,
        digest=entry.digest,
        result=result,
        at=clock.wall(),
    )
    try:
        await session.record(outcome).wait()
    except exceptions.DogwoodgapError as error:
        loading.log_load_failure(f"intent {entry.key!r}", error)
        return
    events.emit(
        events.Event.INTENT_SETTLED, "intent settled", key=entry.key, not_run=result.not_run
    )


async def answer(entry: entries.KeyEntry, ask: Ask) -> structures.ActionResult:
    """Return the service's answer about a key, or that the outcome is unknown."""
    result = None
    with anyio.move_on_after(INTENT_TIMEOUT_S):
        try:
            result = await ask(entry)
        except exceptions.DogwoodgapError as error:
            loading.log_load_failure(f"intent {entry.key!r}", error)
    if result is not None:
        return result
    return structures.ActionResult(
        status=0,
        body=None,
        not_run="unknown",
        code=exceptions.OutcomeUnknownError.code,
        detail="the owner of the key was lost after the send; ask the service by this key",
    )
