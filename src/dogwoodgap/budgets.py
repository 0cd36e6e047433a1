"""Token budgets of programs: the in-memory accounts of the programs that one node owns.

Usage beyond ``UNRECORDED_SHARE`` of a budget plus one turn is recorded in the platform's store
before the next turn runs. A node that takes over a program without its account assumes that the
unrecorded share was used. A lost account therefore exceeds the budget by at most one turn, and most
programs never need a record.
"""

import dataclasses
import enum
import uuid

from dogwoodgap import clock, pacing

UNRECORDED_SHARE = 0.4
"""Share of a budget that may be used without a record. Of 244 measured programs that end by
themselves, 99% use less than 0.46 of their budget and the largest 0.58, so programs that a node
takes over without their account can still complete."""

ACCOUNT_TTL_S = 90.0
"""Idle time after which an account is evicted; a stopped program may resume within 60 s."""

RESERVATION_TTL_S = 20.0
"""Age at which an unsettled reservation counts as used, as its node was lost; turns take 4 s."""


class Verdict(enum.Enum):
    """Decision on a reservation."""

    GRANTED = "granted"
    REFUSED = "refused"
    RECORD_FIRST = "record_first"


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Maximum usage of a running turn."""

    tokens: int
    reserved_at: float


@dataclasses.dataclass(slots=True)
class Account:
    """Token usage of one program.

    Attributes
    ----------
    usage : dict of str to int
        Tokens delivered to callers, by the copy of the account that counted them. A copy that
        reaches a node twice, because its transfer was not acknowledged, then counts once.
    copy_id : str
        Identifies this copy.
    reservations : dict of str to Reservation
        Reservations of running turns, by attempt id.
    settled : set of str
        Attempt ids of the reservations that were settled here. A copy of the account that arrives
        later may still hold these reservations.
    recorded : int
        Usage recorded in the store; 0 without a record.
    revision : int
        Store revision of that record; 0 without a record.
    assumed : int
        Tokens that are assumed to have been delivered, because another node may have held the
        account. Several nodes may assume this at the same time, so a record is written before the
        first turn and the store resolves the conflict.
    announced : int
        Usage announced to the next owners while the store was unavailable; 0 if none.
    claimed : bool
        Whether this node has written a record, or may go on without one while the store is
        unavailable.
    timing : pacing.ProgramTiming or None
        Turns and time objective of the program; None without an objective.
    turn_tokens : int
        Maximum tokens of a turn.
    """

    budget: int
    usage: dict[str, int] = dataclasses.field(default_factory=dict)
    copy_id: str = dataclasses.field(default_factory=lambda: uuid.uuid4().hex[:12])
    reservations: dict[str, Reservation] = dataclasses.field(default_factory=dict)
    settled: set[str] = dataclasses.field(default_factory=set)
    recorded: int = 0
    revision: int = 0
    last_used_at: float = 0.0
    assumed: int = 0
    announced: int = 0
    claimed: bool = False
    timing: pacing.ProgramTiming | None = None
    turn_tokens: int = 0

    @property
    def known_usage(self) -> int:
        """Return the tokens that are known to have been delivered."""
        return sum(self.usage.values())

    @property
    def spent(self) -> int:
        """Return the tokens delivered, or assumed to have been delivered."""
        return self.known_usage + self.assumed

    def add_usage(self, tokens: int) -> None:
        """Count delivered tokens."""
        self.usage[self.copy_id] = self.usage.get(self.copy_id, 0) + tokens

    @property
    def committed(self) -> int:
        """Return the tokens spent and reserved."""
        return self.spent + sum(reservation.tokens for reservation in self.reservations.values())

    def withdraw_turn(self) -> None:
        """Remove a turn that was refused before it ran; a retried first turn is a first one again.

        Its time objective then starts with the retry.
        """
        if self.timing is None:
            return
        self.timing.turns = max(0, self.timing.turns - 1)
        if not self.timing.turns:
            self.timing = None

    @property
    def durable_usage(self) -> int:
        """Return the usage that a node assumes at least when it takes over the program."""
        return max(self.recorded, self.announced, unrecorded_allowance(self.budget))

    def needs_record(self, tokens: int) -> bool:
        """Return whether usage has to be recorded before a turn of ``tokens`` runs.

        An owner may run one turn beyond the durable usage, and that turn is forgotten if the owner
        is lost. The next owner, whose account has assumed usage, keeps all its turns within the
        durable usage; otherwise each lost owner would exceed the budget by another turn.
        """
        if self.assumed > 0:
            return not self.claimed or self.committed + tokens > self.durable_usage
        return self.committed > self.durable_usage

    def apply_record(self, usage: int, revision: int, announced: int = 0) -> None:
        """Count the recorded usage, and a later announced one, as spent."""
        if revision <= self.revision and announced <= self.announced:
            return
        if revision > self.revision:
            self.recorded, self.revision = usage, revision
        self.announced = max(self.announced, announced)
        reported_usage = max(usage, announced)
        self.assumed = max(self.assumed, reported_usage - self.known_usage)

    def merge(self, other: "Account") -> None:
        """Merge another copy of this account into this one."""
        # A copy that assumes nothing knows all usage; of two that do not, one may know of a record.
        is_known = self.assumed == 0 or other.assumed == 0
        self.assumed = 0 if is_known else max(self.assumed, other.assumed)
        for copy_id, tokens in other.usage.items():
            self.usage[copy_id] = max(tokens, self.usage.get(copy_id, 0))
        self.settled |= other.settled
        self.reservations = {
            attempt_id: reservation
            for attempt_id, reservation in {**other.reservations, **self.reservations}.items()
            if attempt_id not in self.settled
        }
        if other.revision > self.revision:
            self.recorded, self.revision = other.recorded, other.revision
            self.claimed = other.claimed


def unrecorded_allowance(budget: int) -> int:
    """Return the tokens of a budget that may be used without a record."""
    return int(budget * UNRECORDED_SHARE)


class Ledger:
    """Accounts by program id."""

    def __init__(self) -> None:
        self.accounts: dict[str, Account] = {}

    def get_or_create(self, program: str, budget: int, *, assume_usage: bool = False) -> Account:
        """Return the account of a program, creating it if needed.

        Parameters
        ----------
        assume_usage : bool
            Another node may have held the account, so a new one starts with assumed usage.
        """
        account = self.accounts.get(program)
        if account is None:
            account = self.accounts[program] = Account(budget)
            if assume_usage:
                account.assumed = unrecorded_allowance(budget)
        account.last_used_at = clock.now()
        return account

    def reserve(self, account: Account, attempt_id: str, tokens: int) -> Verdict:
        """Reserve the maximum usage of a turn if the budget allows it."""
        self.expire_reservations(account)
        account.reservations.pop(attempt_id, None)
        account.settled.discard(attempt_id)
        if account.committed + tokens > account.budget:
            return Verdict.REFUSED
        if account.needs_record(tokens):
            return Verdict.RECORD_FIRST
        account.reservations[attempt_id] = Reservation(tokens, clock.now())
        return Verdict.GRANTED

    def expire_reservations(self, account: Account) -> None:
        """Count reservations that were not settled in time as spent."""
        cutoff = clock.now() - RESERVATION_TTL_S
        for attempt_id, reservation in list(account.reservations.items()):
            if reservation.reserved_at < cutoff:
                account.add_usage(reservation.tokens)
                del account.reservations[attempt_id]

    def settle(self, program: str, attempt_id: str, tokens: int) -> bool:
        """Replace a reservation by the actual usage; return whether it was found."""
        account = self.accounts.get(program)
        if account is None or account.reservations.pop(attempt_id, None) is None:
            return False
        account.add_usage(tokens)
        if tokens:
            # Without usage the reservation was cancelled, and the next owner may hold the one of
            # the same attempt that is used.
            account.settled.add(attempt_id)
        return True

    def merge(self, program: str, received: Account) -> None:
        """Merge an account from another node into the account held by this one."""
        local = self.accounts.get(program)
        if local is None:
            local = self.accounts[program] = received
        else:
            # Callers that wait for the store keep a reference to the local account.
            local.merge(received)
        local.last_used_at = clock.now()

    def evict_idle(self) -> dict[str, Account]:
        """Remove and return the accounts that were idle for ``ACCOUNT_TTL_S``."""
        cutoff = clock.now() - ACCOUNT_TTL_S
        idle = {
            program: account
            for program, account in self.accounts.items()
            if account.last_used_at < cutoff
        }
        for program in idle:
            del self.accounts[program]
        return idle
