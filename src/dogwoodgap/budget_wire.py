"""Conversion of token accounts and records to and from peer messages."""

from dogwoodgap import budget_records, budgets, clock, source
from dogwoodgap_wire import ttypes


def to_wire(program: str, account: budgets.Account) -> ttypes.TokenAccount:
    """Convert an account to a message."""
    return ttypes.TokenAccount(
        program=program,
        budget=account.budget,
        spent=account.spent,
        reservations=[
            ttypes.TokenReservation(attempt=attempt, tokens=item.tokens)
            for attempt, item in account.reservations.items()
        ],
        recorded=account.recorded,
        revision=account.revision,
        assumed=account.assumed,
    )


def from_wire(item: ttypes.TokenAccount) -> budgets.Account:
    """Convert a received message to an account."""
    now = clock.now()
    return budgets.Account(
        budget=item.budget or 0,
        spent=item.spent or 0,
        reservations={
            reservation.attempt: budgets.Reservation(reservation.tokens, now)
            for reservation in item.reservations or []
        },
        recorded=item.recorded or 0,
        revision=item.revision or 0,
        assumed=item.assumed or 0,
    )


def record_to_wire(entry: budget_records.CachedRecord) -> ttypes.TokenRecord:
    """Convert a cached record to a message."""
    return ttypes.TokenRecord(
        program=entry.record.program,
        budget=entry.record.budget,
        mark=entry.record.usage,
        revision=entry.record.revision,
        told=entry.announced,
    )


def record_from_wire(item: ttypes.TokenRecord) -> budget_records.CachedRecord:
    """Convert a received message to a cached record."""
    record = source.BudgetRecord(item.program, item.budget or 0, item.mark or 0, item.revision or 0)
    return budget_records.CachedRecord(record, clock.now(), item.told or 0)
