"""Reads, writes and caches the token budget records in the platform's store."""

import collections.abc
import dataclasses
import logging
import math

import anyio

from dogwoodgap import budgets, clock, events, exceptions, source

RECORD_TIMEOUT_S = 0.15
"""Timeout of store calls. The store responds in 4 ms; turns do not wait for a slow store."""

STORE_BACKOFF_S = 0.5
"""Time after a failure during which records are not written."""

FLUSH_INTERVAL_S = 1.0
"""Interval at which pending usage is written."""

CHECK_INTERVAL_S = 0.2
"""Interval at which usage is written that only few nodes know."""


@dataclasses.dataclass(frozen=True, slots=True)
class CachedRecord:
    """A record of the store, cached on a node.

    Attributes
    ----------
    announced : int
        Later usage that the owner announced while the store was unavailable.
    """

    record: source.BudgetRecord
    cached_at: float
    announced: int = 0

    @property
    def version(self) -> tuple[int, int]:
        """Return a sort key that is larger for newer information."""
        return self.record.revision, self.announced


class RecordClient:
    """Writes the usage of programs and caches the records of other nodes.

    Parameters
    ----------
    records : source.BudgetRecords
        Budget records in the store.
    ledger : budgets.Ledger
        Accounts that the records belong to.

    Attributes
    ----------
    on_written : callable
        Called with each record that was written.
    is_complete : bool
        Whether all records from before the start of this process are cached. Writers replicate
        later ones to this node.
    """

    def __init__(self, records: source.BudgetRecords, ledger: budgets.Ledger):
        self.records = records
        self.on_written: collections.abc.Callable[[CachedRecord], None] = lambda entry: None
        self.ledger = ledger
        self.pending_programs: set[str] = set()
        self.last_failure_at = -math.inf
        self.flushed_at = -math.inf
        self.is_complete = False
        self.cached_records: dict[str, CachedRecord] = {}

    async def write(
        self, program: str, account: budgets.Account, usage: int, *, is_probe: bool = False
    ) -> bool:
        """Write a usage in tokens to the store; on a conflict apply the stored record.

        Parameters
        ----------
        is_probe : bool
            Whether to write also just after a failure, to find out whether the store is back.

        Returns
        -------
        bool
            Whether the store responded.
        """
        if not is_probe and clock.now() - self.last_failure_at < STORE_BACKOFF_S:
            self.pending_programs.add(program)
            return False
        usage = min(account.budget, usage)
        record = source.BudgetRecord(program, account.budget, usage, account.revision)
        try:
            with anyio.fail_after(RECORD_TIMEOUT_S):
                account.revision = await self.records.write(record)
        except exceptions.VersionConflictError:
            return await self.read(program)
        except (TimeoutError, exceptions.StoreError) as error:
            self.last_failure_at = clock.now()
            self.pending_programs.add(program)
            log_store_failure(program, "failed to record the token usage of a program", error)
            return False
        self.last_failure_at = -math.inf
        account.recorded = usage
        account.claimed = True
        events.emit(
            events.Event.BUDGET_RECORDED,
            "recorded the token usage of a program",
            program=program,
            mark=usage,
            revision=account.revision,
        )
        self.on_written(cached_record(program, account))
        return True

    async def read(self, program: str) -> bool:
        """Read and apply a record written by another node; return whether it was read."""
        try:
            with anyio.fail_after(RECORD_TIMEOUT_S):
                stored = await self.records.read(program)
        except (TimeoutError, exceptions.StoreError) as error:
            self.last_failure_at = clock.now()
            log_store_failure(program, "failed to read the budget record of a program", error)
            return False
        self.cache_record(CachedRecord(stored, clock.now()))
        return True

    def cache_record(self, entry: CachedRecord) -> None:
        """Cache a record of another node or process, and apply it to its account."""
        cached = self.cached_records.get(entry.record.program)
        if cached is None or entry.version > cached.version:
            self.cached_records[entry.record.program] = entry
        self.apply_cached(entry.record.program)

    def apply_cached(self, program: str) -> None:
        """Apply the cached record of a program to its account."""
        entry = self.cached_records.get(program)
        account = self.ledger.accounts.get(program)
        if entry is not None and account is not None:
            account.apply_record(entry.record.usage, entry.record.revision, entry.announced)

    def evict_expired(self) -> list[str]:
        """Drop records cached for longer than the account TTL; return their programs."""
        cutoff = clock.now() - budgets.ACCOUNT_TTL_S
        expired = [
            program for program, entry in self.cached_records.items() if entry.cached_at < cutoff
        ]
        for program in expired:
            del self.cached_records[program]
        return expired

    async def load(self) -> bool:
        """Read all records into the cache; return whether the store responded."""
        try:
            stored = await self.records.list()
        except exceptions.StoreError as error:
            log_store_failure("", "failed to read the budget records", error)
            return False
        for record in stored:
            self.cache_record(CachedRecord(record, clock.now()))
        self.is_complete = True
        return True

    def is_behind(self, program: str) -> bool:
        """Return whether delivered tokens of a program would be forgotten if all nodes were lost.

        While the store is unavailable, usage beyond the record is known to a few nodes only.
        """
        account = self.ledger.accounts.get(program)
        return account is not None and account.spent > max(
            account.recorded, budgets.unrecorded_allowance(account.budget)
        )

    def is_due(self) -> bool:
        """Return whether pending usage has to be written now."""
        if clock.now() - self.flushed_at >= FLUSH_INTERVAL_S:
            return True
        return any(self.is_behind(program) for program in self.pending_programs)

    async def flush(self) -> None:
        """Record the pending usage of programs, so that it survives the loss of this node."""
        self.flushed_at = clock.now()
        programs, self.pending_programs = self.pending_programs, set()
        is_probe = True
        for program in sorted(programs, key=self.is_behind, reverse=True):
            account = self.ledger.accounts.get(program)
            if account is not None and account.committed > account.recorded:
                await self.write(program, account, account.committed, is_probe=is_probe)
                is_probe = False

    async def remove(self, program: str) -> None:
        """Delete the record of a program that has ended."""
        try:
            await self.records.delete(program)
        except exceptions.StoreError as error:
            log_store_failure(program, "failed to delete the record of an ended program", error)


def cached_record(program: str, account: budgets.Account) -> CachedRecord:
    """Return the record of an account, to be replicated to other nodes."""
    record = source.BudgetRecord(program, account.budget, account.recorded, account.revision)
    return CachedRecord(record, clock.now(), account.announced)


def log_store_failure(program: str, text: str, error: Exception) -> None:
    """Log that a record could not be written, read or deleted."""
    events.emit(
        events.Event.BUDGET_UNRECORDED,
        text,
        level=logging.WARNING,
        program=program,
        detail=repr(error),
    )
