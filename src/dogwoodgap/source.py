"""Interfaces between a gateway and the platform, implemented by an adapter."""

import dataclasses
import typing

from dogwoodgap import routes, servers


@dataclasses.dataclass(frozen=True, slots=True)
class WatchResult:
    """Result of a watch: the revision to continue from, and whether anything changed."""

    revision: int
    changed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesSnapshot:
    """The current routes, or None if there are none, and the revision to watch from."""

    table: routes.RouteTable | None
    revision: int


class FleetSource(typing.Protocol):
    """Reads routes and backend servers; all methods may raise ``StoreError``."""

    async def read_routes(self) -> RoutesSnapshot:
        """Return the current routes."""

    async def watch_routes(self, after: int, wait_s: float) -> WatchResult:
        """Wait up to ``wait_s`` until the routes may have changed since a revision."""

    async def read_servers(self) -> servers.Listing:
        """Return the registered backend servers."""


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetRecord:
    """Upper bound of the tokens that a program has used from its budget.

    Attributes
    ----------
    usage : int
        Upper bound of the tokens used by the program.
    revision : int
        Revision of the record in the store; 0 if it has not been stored yet.
    """

    program: str
    budget: int
    usage: int
    revision: int


class BudgetRecords(typing.Protocol):
    """Stores budget records that must outlive the nodes; methods may raise ``StoreError``."""

    async def write(self, record: BudgetRecord) -> int:
        """Write a record if its revision matches the stored one; return the new revision."""

    async def read(self, program: str) -> BudgetRecord:
        """Return the record of a program."""

    async def list(self) -> list[BudgetRecord]:
        """Return all records."""

    async def delete(self, program: str) -> None:
        """Delete the record of a program; a missing record is not an error."""


@dataclasses.dataclass(frozen=True, slots=True)
class CrashRecord:
    """A request that crashed backend servers.

    Attributes
    ----------
    processes : tuple of ProcessKey
        The server processes that crashed.
    crashed_at : float
        Wall time of the last crash, in seconds since the Unix epoch.
    """

    digest: int
    processes: tuple[servers.ProcessKey, ...]
    crashed_at: float


class CrashRecords(typing.Protocol):
    """Stores requests that crash servers; methods may raise ``StoreError``."""

    async def create(self, record: CrashRecord) -> None:
        """Store a record; raises ``VersionConflictError`` if its digest is stored already."""

    async def list(self) -> list[CrashRecord]:
        """Return all records."""

    async def delete(self, digest: int) -> None:
        """Delete a record; a missing record is not an error."""


@dataclasses.dataclass(frozen=True, slots=True)
class StorageVm:
    """A storage VM that keeps turns, as it has registered itself.

    Attributes
    ----------
    node : str
        Name of the VM.
    address : str
        ``host:port`` at which it takes messages of other nodes.
    boot : str
        Identifier of this run of its process.
    leaving : bool
        Whether it is being emptied, so that it gets no new turns.
    revision : int
        Revision of the entry in the store; 0 if it has not been stored yet.
    """

    node: str
    address: str
    data_centre: str
    boot: str
    leaving: bool = False
    revision: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class StorageVmList:
    """All registered storage VMs at one revision of the store."""

    revision: int
    vms: tuple[StorageVm, ...]


class StorageVms(typing.Protocol):
    """The storage VMs registered in the platform's store; methods may raise ``StoreError``."""

    async def write(self, vm: StorageVm) -> int:
        """Write an entry if its revision matches the stored one; return the new revision."""

    async def read(self, *, may_be_stale: bool = False) -> StorageVmList:
        """Return all entries; a read that may be seconds old costs a tenth of the price."""

    async def watch(self, after: int, wait_s: float) -> WatchResult:
        """Wait up to ``wait_s`` until an entry may have changed since a revision."""

    async def delete(self, node: str) -> None:
        """Delete an entry; a missing one is not an error."""


@dataclasses.dataclass(frozen=True, slots=True)
class RemovalRequest:
    """An operator's request to prepare a storage VM for removal."""

    vm: str
    complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RemovalList:
    """All removal requests at one revision of the store."""

    revision: int
    requests: tuple[RemovalRequest, ...]


REMOVALS_WATCH_S = 15.0
"""Longest watch of removal requests. A dead connection is only noticed at its end."""


class Removals(typing.Protocol):
    """Removal requests for storage VMs; methods may raise ``StoreError``."""

    async def read(self) -> RemovalList:
        """Return all requests."""

    async def watch(self, after: int, wait_s: float = REMOVALS_WATCH_S) -> WatchResult:
        """Wait up to ``wait_s`` until a request may have changed since a revision."""

    async def begin(self, vm: str) -> None:
        """Report to the operator that a VM is being emptied."""

    async def complete(self, vm: str) -> None:
        """Report to the operator that a VM may be removed."""
