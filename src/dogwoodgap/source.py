"""What a gateway needs of the platform: one small interface, met by an adapter."""

import dataclasses
import typing

from dogwoodgap import routes, servers


@dataclasses.dataclass(frozen=True, slots=True)
class WatchResult:
    """The end of a watch: where the next one goes on, and whether anything changed."""

    revision: int
    changed: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesSnapshot:
    """The newest routes, or None when there are none, and where a watch goes on."""

    table: routes.RouteTable | None
    revision: int


class FleetSource(typing.Protocol):
    """Reads routes and backend servers. All calls raise :class:`exceptions.StoreError`."""

    async def read_routes(self) -> RoutesSnapshot:
        """Return the newest routes."""

    async def watch_routes(self, after: int, wait_s: float) -> WatchResult:
        """Wait until the routes may have changed after a revision."""

    async def read_servers(self) -> servers.Listing:
        """Return the registered backend servers."""


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetRecord:
    """How much of its budget a program may have used.

    Attributes
    ----------
    mark : int
        Tokens; the program has not used more.
    revision : int
        Revision of the record in the store; 0 when it is not there yet.
    """

    program: str
    budget: int
    mark: int
    revision: int


class BudgetRecords(typing.Protocol):
    """Records of budgets that must outlive the nodes; calls raise ``StoreError``."""

    async def write(self, record: BudgetRecord) -> int:
        """Write a record if the stored one has its revision; return the new revision."""

    async def read(self, program: str) -> BudgetRecord:
        """Return a record."""

    async def list(self) -> list[BudgetRecord]:
        """Return all records."""

    async def delete(self, program: str) -> None:
        """Delete a record; one that is missing is no error."""


@dataclasses.dataclass(frozen=True, slots=True)
class RemovalRequest:
    """An operator's request to empty a storage VM before it is removed."""

    vm: str
    complete: bool


@dataclasses.dataclass(frozen=True, slots=True)
class RemovalList:
    """All requests at one revision of the store."""

    revision: int
    requests: tuple[RemovalRequest, ...]


class Removals(typing.Protocol):
    """Requests to empty storage VMs; calls raise ``StoreError``."""

    async def read(self) -> RemovalList:
        """Return all requests."""

    async def watch(self, after: int) -> None:
        """Wait until a request may have changed after a revision."""

    async def complete(self, vm: str) -> None:
        """Tell the operator that a VM may be removed."""
