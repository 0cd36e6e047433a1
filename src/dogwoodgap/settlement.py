"""Settlement of action intents whose owner was lost before it recorded the outcome."""

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

OutcomeQuery = collections.abc.Callable[
    [entries.KeyEntry], collections.abc.Awaitable[structures.ActionResult | None]
]
"""Queries the service for the outcome of a request by its key; returns None if unknown."""


async def no_outcome(entry: entries.KeyEntry) -> structures.ActionResult | None:
    """Return None, for services that cannot be queried by key."""
    return None


async def settle_intents(
    session: sessions.Session, intents: list[entries.KeyEntry], query: OutcomeQuery
) -> None:
    """Record the outcomes of intents concurrently; their requests are never sent again."""
    async with anyio.create_task_group() as tasks:
        for entry in intents:
            tasks.start_soon(settle_intent, session, entry, query)


async def settle_intent(
    session: sessions.Session, entry: entries.KeyEntry, query: OutcomeQuery
) -> None:
    """Record the outcome of one intent."""
    result = await query_outcome(entry, query)
    outcome = records.ActionOutcome(
        customer=entry.customer,
        key=entry.key,
        digest=entry.digest,
        result=result,
        at=clock.wall_time(),
    )
    try:
        await session.record(outcome).wait()
    except exceptions.DogwoodgapError as error:
        loading.log_load_failure(f"intent {entry.key!r}", error)
        return
    events.emit(
        events.Event.INTENT_SETTLED, "intent settled", key=entry.key, not_run=result.not_run
    )


async def query_outcome(entry: entries.KeyEntry, query: OutcomeQuery) -> structures.ActionResult:
    """Return the outcome that the service reports for a key, or an unknown one."""
    result = None
    with anyio.move_on_after(INTENT_TIMEOUT_S):
        try:
            result = await query(entry)
        except exceptions.DogwoodgapError as error:
            loading.log_load_failure(f"intent {entry.key!r}", error)
    if result is not None:
        return result
    return structures.ActionResult(
        status=0,
        body=None,
        not_run="unknown",
        code=exceptions.OutcomeUnknownError.code,
        detail="the owner of the key was lost after the request was sent; query the service by key",
    )
