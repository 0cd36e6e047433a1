"""Conversion of token accounts and records to and from peer messages."""

import math

from dogwoodgap import budget_records, budgets, clock, source
from dogwoodgap.ownership import past_owners
from dogwoodgap_wire import ttypes

MILLISECONDS_PER_S = 1000


def to_wire(program: str, account: budgets.Account) -> ttypes.TokenAccount:
    """Convert an account to a message."""
    return ttypes.TokenAccount(
        program=program,
        budget=account.budget,
        spent=account.spent,
        reservations=[
            ttypes.TokenReservation(attempt=attempt_id, tokens=reservation.tokens)
            for attempt_id, reservation in account.reservations.items()
        ],
        recorded=account.recorded,
        revision=account.revision,
        assumed=account.assumed,
        usage=account.usage,
    )


def from_wire(message: ttypes.TokenAccount) -> budgets.Account:
    """Convert a received message to an account."""
    now = clock.now()
    account = budgets.Account(
        budget=message.budget or 0,
        usage=dict(message.usage or {}),
        reservations={
            reservation.attempt: budgets.Reservation(reservation.tokens, now)
            for reservation in message.reservations or []
        },
        recorded=message.recorded or 0,
        revision=message.revision or 0,
        assumed=message.assumed or 0,
    )
    if message.usage is None:
        # Nodes of an older version send only the sum.
        account.add_usage((message.spent or 0) - account.assumed)
    return account


def record_to_wire(entry: budget_records.CachedRecord) -> ttypes.TokenRecord:
    """Convert a cached record to a message."""
    return ttypes.TokenRecord(
        program=entry.record.program,
        budget=entry.record.budget,
        mark=entry.record.usage,
        revision=entry.record.revision,
        told=entry.announced,
    )


def record_from_wire(message: ttypes.TokenRecord) -> budget_records.CachedRecord:
    """Convert a received message to a cached record."""
    record = source.BudgetRecord(
        message.program, message.budget or 0, message.mark or 0, message.revision or 0
    )
    return budget_records.CachedRecord(record, clock.now(), message.told or 0)


def period_to_wire(change: past_owners.Change) -> ttypes.OwnerPeriod:
    """Convert a recent change of the possible owners to a message."""
    now = clock.now()

    def age_ms(moment: float) -> int | None:
        return round((now - moment) * MILLISECONDS_PER_S) if math.isfinite(moment) else None

    return ttypes.OwnerPeriod(
        node=change.period.node,
        boot=change.period.boot,
        begun_ms=age_ms(change.period.begun_at),
        ended_ms=age_ms(change.period.ended_at),
        lost=change.standing in (past_owners.Standing.LOST, past_owners.Standing.SUSPECT),
    )


def period_from_wire(message: ttypes.OwnerPeriod) -> past_owners.Change:
    """Convert a received message to a recent change of the possible owners."""
    now = clock.now()
    period = past_owners.Period(message.node or "", message.boot or "")
    if message.begun_ms is not None:
        period.begun_at = now - message.begun_ms / MILLISECONDS_PER_S
    if message.ended_ms is not None:
        period.ended_at = now - message.ended_ms / MILLISECONDS_PER_S
    standing = past_owners.Standing.LOST if message.lost else past_owners.Standing.LEFT
    return past_owners.Change(period, standing)
