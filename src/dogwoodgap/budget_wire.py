"""Token accounts as messages between nodes."""

from dogwoodgap import budgets, clock
from dogwoodgap_wire import ttypes


def to_wire(program: str, account: budgets.Account) -> ttypes.TokenAccount:
    """Return an account as a message."""
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
    """Return a received account."""
    now = clock.now()
    return budgets.Account(
        budget=item.budget or 0,
        spent=item.spent or 0,
        reservations={
            entry.attempt: budgets.Reservation(entry.tokens, now)
            for entry in item.reservations or []
        },
        recorded=item.recorded or 0,
        revision=item.revision or 0,
        assumed=item.assumed or 0,
    )
