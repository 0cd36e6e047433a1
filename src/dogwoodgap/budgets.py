"""Token budgets of whole programs: the accounts of the programs that one node owns.

Accounts live in memory. What a program has used beyond ``UNRECORDED_SHARE`` of its budget and one
turn is recorded in the platform's store first, and a node that takes a program over without its
account assumes that the unrecorded share was used. A lost account therefore costs at most one turn
over the budget, and most programs never need a record.
"""

import dataclasses
import enum

from dogwoodgap import clock, pacing

UNRECORDED_SHARE = 0.4
"""Share of a budget that is used without a record. Of 244 measured programs that end by
themselves 99% use less than 0.46 of their budget and the largest 0.58, so that those which a
node takes over without their account still end."""

ACCOUNT_TTL_S = 90.0
"""Time after which an unused account is dropped; a stopped program may return for 60 s."""

RESERVATION_TTL_S = 20.0
"""Reservations of lost nodes count as used after this time; turns last 4 s."""


class Verdict(enum.Enum):
    """Answer to a reservation."""

    GRANTED = "granted"
    REFUSED = "refused"
    RECORD_FIRST = "record_first"


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """The most that a turn under way may use."""

    tokens: int
    reserved_at: float


@dataclasses.dataclass(slots=True)
class Account:
    """What one program has used.

    Attributes
    ----------
    spent : int
        Tokens that callers were given, or that are assumed to have been.
    reservations : dict of str to Reservation
        Turns under way, by attempt.
    recorded : int
        Mark in the store; 0 without a record.
    revision : int
        Revision of that record; 0 without one.
    assumed : int
        Part of ``spent`` that is not known but assumed, since another node may have held the
        account. Several nodes may believe so at once, so that a record is written before the
        first turn, and the store decides between them.
    announced : int
        Use of which the next owners were told while the store was away; 0 without any.
    claimed : bool
        That record was written, or the store is away.
    timing : pacing.ProgramTiming or None
        Progress against the time objective; None without one.
    turn_tokens : int
        The most that a turn may use.
    """

    budget: int
    spent: int = 0
    reservations: dict[str, Reservation] = dataclasses.field(default_factory=dict)
    recorded: int = 0
    revision: int = 0
    last_used_at: float = 0.0
    assumed: int = 0
    announced: int = 0
    claimed: bool = False
    timing: pacing.ProgramTiming | None = None
    turn_tokens: int = 0

    @property
    def committed(self) -> int:
        """Return the tokens spent and reserved."""
        return self.spent + sum(item.tokens for item in self.reservations.values())

    @property
    def durable_usage(self) -> int:
        """Return the use that a node which takes the program over takes for granted."""
        return max(self.recorded, self.announced, unrecorded_allowance(self.budget))

    def needs_record(self, tokens: int) -> bool:
        """Return whether a use has to be recorded before a turn of ``tokens`` runs.

        One turn beyond what is covered may run. It is lost with its owner, so that the next owner,
        which assumes a use, has its own turns covered: otherwise each lost owner would cost a turn.
        """
        if self.assumed > 0:
            return not self.claimed or self.committed + tokens > self.durable_usage
        return self.committed > self.durable_usage

    def apply_record(self, mark: int, revision: int, announced: int = 0) -> None:
        """Take over a record of the store, and what was told beyond it, as used."""
        if revision <= self.revision and announced <= self.announced:
            return
        if revision > self.revision:
            self.recorded, self.revision = mark, revision
        self.announced = max(self.announced, announced)
        known = max(mark, announced)
        self.assumed = max(self.assumed, known - (self.spent - self.assumed))
        self.spent = max(self.spent, known)


def unrecorded_allowance(budget: int) -> int:
    """Return how much of a budget is used without a record."""
    return int(budget * UNRECORDED_SHARE)


class Ledger:
    """Accounts by program."""

    def __init__(self) -> None:
        self.accounts: dict[str, Account] = {}

    def get_or_create(self, program: str, budget: int, *, assume_usage: bool = False) -> Account:
        """Return the account of a program.

        Parameters
        ----------
        assume_usage : bool
            Another node may have held the account, so that a use is assumed.
        """
        account = self.accounts.get(program)
        if account is None:
            account = self.accounts[program] = Account(budget)
            if assume_usage:
                account.spent = account.assumed = unrecorded_allowance(budget)
        account.last_used_at = clock.now()
        return account

    def reserve(self, account: Account, attempt: str, tokens: int) -> Verdict:
        """Reserve the most that a turn may use, if the budget holds it."""
        self.expire_reservations(account)
        account.reservations.pop(attempt, None)
        if account.committed + tokens > account.budget:
            return Verdict.REFUSED
        if account.needs_record(tokens):
            return Verdict.RECORD_FIRST
        account.reservations[attempt] = Reservation(tokens, clock.now())
        return Verdict.GRANTED

    def expire_reservations(self, account: Account) -> None:
        """Count reservations that nobody settles as used."""
        cutoff = clock.now() - RESERVATION_TTL_S
        for attempt, item in list(account.reservations.items()):
            if item.reserved_at < cutoff:
                account.spent += item.tokens
                del account.reservations[attempt]

    def settle(self, program: str, attempt: str, tokens: int) -> bool:
        """Replace a reservation by what was used; return whether it was here."""
        account = self.accounts.get(program)
        if account is None or account.reservations.pop(attempt, None) is None:
            return False
        account.spent += tokens
        return True

    def merge(self, program: str, received: Account) -> None:
        """Take over an account from another node, on top of what was counted here."""
        known = self.accounts.get(program)
        received.last_used_at = clock.now()
        if known is not None:
            # Whoever knows the account makes the other's assumption needless.
            assumed = min(received.assumed, known.assumed)
            usage = received.spent - received.assumed + known.spent - known.assumed
            received.spent, received.assumed = usage + assumed, assumed
            received.reservations = {**received.reservations, **known.reservations}
            if known.revision > received.revision:
                received.recorded, received.revision = known.recorded, known.revision
        self.accounts[program] = received

    def evict_idle(self) -> dict[str, Account]:
        """Drop accounts that were not used for long and return them."""
        cutoff = clock.now() - ACCOUNT_TTL_S
        idle = {name: item for name, item in self.accounts.items() if item.last_used_at < cutoff}
        for name in idle:
            del self.accounts[name]
        return idle
