"""Records of token budgets in the platform's store, as the owner of programs writes them."""

import collections.abc
import dataclasses
import logging

import anyio

from dogwoodgap import budgets, clock, events, exceptions, source

RECORD_TIMEOUT_S = 0.15
"""The store answers in 4 ms; turns do not wait for a store that is slow or away."""

STORE_BACKOFF_S = 0.5
"""After a failure the store is not asked for this long."""


@dataclasses.dataclass(frozen=True, slots=True)
class CachedRecord:
    """A record of the store as nodes know it without asking.

    Attributes
    ----------
    announced : int
        A later use, of which the owner told the others while the store was away.
    """

    record: source.BudgetRecord
    cached_at: float
    announced: int = 0

    @property
    def version(self) -> tuple[int, int]:
        """Return a value that is larger for later knowledge."""
        return self.record.revision, self.announced


class RecordClient:
    """Writes the use of programs and remembers what others wrote.

    Parameters
    ----------
    records : source.BudgetRecords
        The records in the store.
    ledger : budgets.Ledger
        The accounts that they belong to.

    Attributes
    ----------
    on_written : callable
        Called with each record that the store has taken.
    is_complete : bool
        Whether all records before the start of this process are known; the writers of later ones
        tell of them.
    """

    def __init__(self, records: source.BudgetRecords, ledger: budgets.Ledger):
        self.records = records
        self.on_written: collections.abc.Callable[[CachedRecord], None] = lambda entry: None
        self.ledger = ledger
        self.pending_programs: set[str] = set()
        self.last_failure_at = -STORE_BACKOFF_S
        self.is_complete = False
        self.cached_records: dict[str, CachedRecord] = {}

    async def record(self, program: str, account: budgets.Account, mark: int) -> bool:
        """Write a mark to the store; on a conflict take over the stored one.

        Returns
        -------
        bool
            Whether the store answered.
        """
        if clock.now() - self.last_failure_at < STORE_BACKOFF_S:
            self.pending_programs.add(program)
            return False
        mark = min(account.budget, mark)
        record = source.BudgetRecord(program, account.budget, mark, account.revision)
        try:
            with anyio.fail_after(RECORD_TIMEOUT_S):
                account.revision = await self.records.write(record)
        except exceptions.VersionConflictError:
            return await self.read(program)
        except (TimeoutError, exceptions.StoreError) as error:
            self.last_failure_at = clock.now()
            self.pending_programs.add(program)
            log_unrecorded(program, "a program's use could not be recorded", error)
            return False
        account.recorded = mark
        account.claimed = True
        events.emit(
            events.Event.BUDGET_RECORDED,
            "a program's use was recorded",
            program=program,
            mark=mark,
            revision=account.revision,
        )
        self.on_written(cached_record(program, account))
        return True

    async def read(self, program: str) -> bool:
        """Take over the record that another node has written; return whether it was read."""
        try:
            with anyio.fail_after(RECORD_TIMEOUT_S):
                stored = await self.records.read(program)
        except (TimeoutError, exceptions.StoreError) as error:
            self.last_failure_at = clock.now()
            log_unrecorded(program, "the record of a program could not be read", error)
            return False
        self.cache_record(CachedRecord(stored, clock.now()))
        return True

    def cache_record(self, entry: CachedRecord) -> None:
        """Remember a record of another node or process, and count it in its account."""
        known = self.cached_records.get(entry.record.program)
        if known is None or entry.version > known.version:
            self.cached_records[entry.record.program] = entry
        self.apply_cached(entry.record.program)

    def apply_cached(self, program: str) -> None:
        """Count what is known of a program's record in its account."""
        entry = self.cached_records.get(program)
        account = self.ledger.accounts.get(program)
        if entry is not None and account is not None:
            account.apply_record(entry.record.mark, entry.record.revision, entry.announced)

    def evict_old(self) -> list[str]:
        """Drop old copies and return their programs."""
        cutoff = clock.now() - budgets.ACCOUNT_TTL_S
        old = [
            program for program, entry in self.cached_records.items() if entry.cached_at < cutoff
        ]
        for program in old:
            del self.cached_records[program]
        return old

    async def load(self) -> bool:
        """Read all records; return whether the store answered."""
        try:
            stored = await self.records.list()
        except exceptions.StoreError as error:
            log_unrecorded("", "the records of budgets could not be read", error)
            return False
        for record in stored:
            self.cache_record(CachedRecord(record, clock.now()))
        self.is_complete = True
        return True

    async def flush(self) -> None:
        """Record the use of stopped programs, so that it outlives this node."""
        programs, self.pending_programs = self.pending_programs, set()
        for program in programs:
            account = self.ledger.accounts.get(program)
            if account is not None and account.committed > account.recorded:
                await self.record(program, account, account.committed)

    async def remove(self, program: str) -> None:
        """Delete the record of a program that is over."""
        try:
            await self.records.delete(program)
        except exceptions.StoreError as error:
            log_unrecorded(program, "the record of a program that is over was not deleted", error)


def cached_record(program: str, account: budgets.Account) -> CachedRecord:
    """Return what other nodes are told of an account."""
    record = source.BudgetRecord(program, account.budget, account.recorded, account.revision)
    return CachedRecord(record, clock.now(), account.announced)


def log_unrecorded(program: str, text: str, error: Exception) -> None:
    """Log that the store did not take or give a record."""
    events.emit(
        events.Event.BUDGET_UNRECORDED,
        text,
        level=logging.WARNING,
        program=program,
        detail=repr(error),
    )
