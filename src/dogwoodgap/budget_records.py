"""Records of token budgets in the platform's store, as the owner of programs writes them."""

import logging

import anyio

from dogwoodgap import budgets, clock, events, exceptions, source

RECORD_TIMEOUT_S = 0.15
"""The store answers in 4 ms; turns do not wait for a store that is slow or away."""

STORE_PAUSE_S = 0.5
"""After a failure the store is not asked for this long."""


class RecordKeeper:
    """Writes the use of programs and takes over what others wrote.

    Parameters
    ----------
    records : source.BudgetRecords
        The records in the store.
    ledger : budgets.Ledger
        The accounts that they belong to.
    """

    def __init__(self, records: source.BudgetRecords, ledger: budgets.Ledger):
        self.records = records
        self.ledger = ledger
        self.unrecorded: set[str] = set()
        self.failed_at = -STORE_PAUSE_S

    async def record(self, program: str, account: budgets.Account, mark: int) -> None:
        """Write a mark to the store; on a conflict take over the stored one."""
        if clock.now() - self.failed_at < STORE_PAUSE_S:
            account.claimed = True
            self.unrecorded.add(program)
            return
        mark = min(account.budget, mark)
        record = source.BudgetRecord(program, account.budget, mark, account.revision)
        try:
            with anyio.fail_after(RECORD_TIMEOUT_S):
                account.revision = await self.records.write(record)
        except exceptions.VersionConflictError:
            await self.read(program)
        except (TimeoutError, exceptions.StoreError) as error:
            self.failed_at = clock.now()
            account.claimed = True
            self.unrecorded.add(program)
            log_unrecorded(program, "a program's use could not be recorded", error)
        else:
            account.recorded = mark
            account.claimed = True
            events.emit(
                events.Event.BUDGET_RECORDED,
                "a program's use was recorded",
                program=program,
                mark=mark,
                revision=account.revision,
            )

    async def read(self, program: str) -> None:
        """Take over the record that another node has written."""
        try:
            with anyio.fail_after(RECORD_TIMEOUT_S):
                found = await self.records.read(program)
        except (TimeoutError, exceptions.StoreError) as error:
            self.failed_at = clock.now()
            log_unrecorded(program, "the record of a program could not be read", error)
            return
        self.ledger.note_record(program, found.budget, found.mark, found.revision)

    async def load(self) -> bool:
        """Read all records; return whether the store answered."""
        try:
            found = await self.records.list()
        except exceptions.StoreError as error:
            log_unrecorded("", "the records of budgets could not be read", error)
            return False
        for record in found:
            self.ledger.note_record(record.program, record.budget, record.mark, record.revision)
        return True

    async def flush(self) -> None:
        """Record the use of stopped programs, so that it outlives this node."""
        pending, self.unrecorded = self.unrecorded, set()
        for program in pending:
            account = self.ledger.accounts.get(program)
            if account is not None and account.committed > account.recorded:
                await self.record(program, account, account.committed)

    async def remove(self, program: str) -> None:
        """Delete the record of a program that is over."""
        try:
            await self.records.delete(program)
        except exceptions.StoreError as error:
            log_unrecorded(program, "the record of a program that is over was not deleted", error)


def log_unrecorded(program: str, text: str, error: Exception) -> None:
    """Log that the store did not take or give a record."""
    events.emit(
        events.Event.BUDGET_UNRECORDED,
        text,
        level=logging.WARNING,
        program=program,
        detail=repr(error),
    )
