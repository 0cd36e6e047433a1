"""Keeps requests that crash servers in the platform's store, so that they outlive all nodes."""

import collections.abc
import logging

import anyio

from dogwoodgap import clock, crash_evidence, events, exceptions, source

STORE_RETRY_S = 2.0
"""Time after which a failed call to the store is repeated."""

SWEEP_INTERVAL_S = 30.0
"""Interval at which expired records are deleted."""


class CrashRecorder:
    """Stores the confirmed crashes of one node, and loads those of all nodes.

    Parameters
    ----------
    records : source.CrashRecords
        Records in the platform's store.
    evidence : crash_evidence.EvidenceTable
        Evidence of this node.

    Attributes
    ----------
    is_cleaner : callable
        Returns whether this node acts for nodes that have ended: it stores what they found, and
        deletes their expired records.
    """

    def __init__(self, records: source.CrashRecords, evidence: crash_evidence.EvidenceTable):
        self.records = records
        self.evidence = evidence
        self.pending: set[int] = set()
        self.expiries: dict[int, float] = {}
        self.loaded: set[int] = set()
        self.has_pending = anyio.Event()
        self.is_cleaner: collections.abc.Callable[[], bool] = lambda: True

    def request_store(self, digest: int) -> None:
        """Store a request in the background once it has crashed enough servers to be refused.

        The nodes that saw a crash do so, and one more in case these have ended.
        """
        if digest in self.expiries or digest in self.pending:
            return
        if digest not in self.evidence.found and not self.is_cleaner():
            return
        if len(self.evidence.ended_processes(digest)) >= crash_evidence.MAX_CRASHES:
            self.pending.add(digest)
            self.has_pending.set()

    async def run(self) -> None:
        """Store requests and delete expired records until cancelled."""
        next_sweep_at = clock.now() + SWEEP_INTERVAL_S
        while True:
            with anyio.move_on_after(next_sweep_at - clock.now()):
                await self.has_pending.wait()
            if clock.now() >= next_sweep_at:
                next_sweep_at = clock.now() + SWEEP_INTERVAL_S
                await self.delete_expired()
            self.has_pending = anyio.Event()
            if self.pending and not await self.store_pending():
                await anyio.sleep(STORE_RETRY_S)
                self.has_pending.set()

    async def store_pending(self) -> bool:
        """Store the pending requests; return whether the store responded."""
        for digest in list(self.pending):
            processes = tuple(self.evidence.ended_processes(digest))
            record = source.CrashRecord(digest, processes, clock.wall_time())
            try:
                await self.records.create(record)
            except exceptions.VersionConflictError:
                pass  # another node has stored the same request
            except exceptions.StoreError as error:
                log_store_failure(digest, error)
                return False
            self.pending.discard(digest)
            self.expiries[digest] = clock.now() + crash_evidence.REFUSAL_TTL_S
        return True

    async def close(self, timeout_s: float) -> None:
        """Store the pending requests within a time, since this process ends."""
        with anyio.move_on_after(timeout_s):
            await self.store_pending()

    async def load(self) -> None:
        """Read the records of all nodes, as soon as the store responds."""
        while True:
            try:
                stored = await self.records.list()
                break
            except exceptions.StoreError as error:
                log_store_failure(None, error)
                await anyio.sleep(STORE_RETRY_S)
        for record in stored:
            age_s = max(0.0, clock.wall_time() - record.crashed_at)
            self.loaded.add(record.digest)
            self.expiries[record.digest] = clock.now() + crash_evidence.REFUSAL_TTL_S - age_s
            if age_s < crash_evidence.REFUSAL_TTL_S:
                for process in record.processes:
                    self.evidence.add(record.digest, process, ended=True, age_s=age_s)

    async def delete_expired(self) -> None:
        """Delete the expired records that this node has stored, or that others have left."""
        for digest, expires_at in list(self.expiries.items()):
            if clock.now() < expires_at:
                continue
            if digest not in self.loaded or self.is_cleaner():
                try:
                    await self.records.delete(digest)
                except exceptions.StoreError as error:
                    log_store_failure(digest, error)
                    return
            self.expiries.pop(digest, None)
            self.loaded.discard(digest)


def log_store_failure(digest: int | None, error: exceptions.StoreError) -> None:
    """Log that records of crashes could not be written, read or deleted; the call is repeated."""
    events.emit(
        events.Event.CRASH_UNRECORDED,
        "a call to the store for the records of crashes failed; it is repeated",
        level=logging.WARNING,
        digest=None if digest is None else f"{digest:016x}",
        detail=error.detail,
    )
