"""Reads routes and backend servers from a TOML file, for a gateway without a platform."""

import logging
import pathlib
import tomllib
import typing

import anyio
import pydantic

from dogwoodgap import events, exceptions, routes, servers, source, validation

POLL_INTERVAL_S = 0.5
"""Interval at which the file is checked for changes."""

SECRET_SECTIONS = frozenset({"customers"})
"""Sections whose values no message shows: keys may stand there by mistake."""


class FileTarget(validation.StrictModel):
    """A service and its share of a route."""

    service: str
    weight: float = pydantic.Field(default=1.0, gt=0)


class FileRoute(validation.StrictModel):
    """A route; times are in seconds, and the prefix ends with a slash."""

    name: str
    host: str
    prefix: str = pydantic.Field(pattern=r"^/(.*/)?$")
    kind: routes.RouteKind
    targets: list[FileTarget] = pydantic.Field(min_length=1)
    timeout_s: float = pydantic.Field(gt=0)
    objective_s: float = pydantic.Field(gt=0)
    priority: int = pydantic.Field(default=0, ge=0)
    max_runs: int = pydantic.Field(default=1, ge=1)
    prompts: bool = False
    resumable: bool = False
    public: bool = False
    retain_s: float = pydantic.Field(default=0.0, ge=0, allow_inf_nan=False)
    gap_objective_s: float = pydantic.Field(default=0.0, ge=0, allow_inf_nan=False)


class FileEngine(validation.StrictModel):
    """Capacity of each model engine of a service."""

    slots: int = pydantic.Field(ge=1)
    cache_tokens: int = pydantic.Field(ge=0)
    tokens_per_event: int = pydantic.Field(default=1, ge=1)


class FileService(validation.StrictModel):
    """A service and its limit of connections to each server."""

    name: str
    max_connections: int = pydantic.Field(default=100, ge=1)
    engine: FileEngine | None = None


class FileServer(validation.StrictModel):
    """One backend server."""

    id: str
    service: str
    address: str = pydantic.Field(pattern=r"^.+:\d+$")
    data_centre: str = ""
    slots: int = pydantic.Field(default=1, ge=1)
    draining: bool = False
    software_version: str = ""


class FileCustomer(validation.StrictModel):
    """A customer; the file has the SHA-256 digests of its keys in hex, never the keys."""

    name: str
    key_digests: list[typing.Annotated[str, pydantic.Field(pattern=r"^[0-9a-f]{64}$")]] = (
        pydantic.Field(default_factory=list)
    )
    priority: int | None = pydantic.Field(default=None, ge=0)
    rate_per_s: float = 0.0
    burst: float = 0.0


class FleetFile(validation.StrictModel):
    """Contents of the file; routes apply only if ``version`` is newer than before."""

    version: int = pydantic.Field(ge=0)
    routes: list[FileRoute]
    services: list[FileService]
    servers: list[FileServer] = pydantic.Field(default_factory=list)
    customers: list[FileCustomer] = pydantic.Field(default_factory=list)


class FileSource:
    """Implements :class:`dogwoodgap.source.FleetSource` with a file.

    Parameters
    ----------
    path : path
        The file; it is reloaded when it changes.
    """

    def __init__(self, path: pathlib.Path):
        self.path = path

    def load(self) -> FleetFile:
        """Read and validate the file.

        Raises
        ------
        StoreError
            If the file cannot be read or is invalid; the message names the path and the value.
        """
        try:
            return FleetFile.model_validate(tomllib.loads(self.path.read_text(encoding="utf-8")))
        except (OSError, tomllib.TOMLDecodeError) as error:
            raise exceptions.StoreError(f"{self.path}: {error}; correct the file") from error
        except pydantic.ValidationError as error:
            raise exceptions.StoreError(
                f"{self.path}: correct {validation.format_errors(error, SECRET_SECTIONS)}"
            ) from error

    def check(self) -> None:
        """Check the whole file.

        Raises
        ------
        StoreError
            If the file cannot be read or is invalid; the message names the path and the value.
        """
        try:
            to_table(self.load())
        except ValueError as error:
            raise exceptions.StoreError(f"{self.path}: {error}") from error

    def modified_ns(self) -> int:
        """Return the modification time of the file in nanoseconds."""
        try:
            return self.path.stat().st_mtime_ns
        except OSError as error:
            raise exceptions.StoreError(f"{self.path}: {error}; restore the file") from error

    async def read_routes(self) -> source.RoutesSnapshot:
        """Return the routes in the file, or log why its customers are invalid and return none."""
        revision = self.modified_ns()
        fleet_file = self.load()
        try:
            return source.RoutesSnapshot(to_table(fleet_file), revision)
        except ValueError as error:
            events.emit(
                events.Event.ROUTES_INVALID,
                "the routes in the file are invalid; the previous routes stay active",
                level=logging.ERROR,
                path=str(self.path),
                detail=str(error),
            )
            return source.RoutesSnapshot(None, revision)

    async def watch_routes(self, after: int, wait_s: float) -> source.WatchResult:
        """Wait up to ``wait_s`` until the file changes."""
        revision = after
        with anyio.move_on_after(wait_s):
            while True:
                revision = self.modified_ns()
                if revision != after:
                    break
                await anyio.sleep(POLL_INTERVAL_S)
        return source.WatchResult(revision, revision != after)

    async def read_servers(self) -> servers.Listing:
        """Return the backend servers in the file."""
        entries = (servers.BackendServer(**server.model_dump()) for server in self.load().servers)
        return servers.Listing(self.modified_ns(), tuple(entries))


def to_table(fleet_file: FleetFile) -> routes.RouteTable:
    """Convert the file to the internal type; raises ``ValueError`` if customers are invalid."""
    return routes.RouteTable(
        fleet_file.version,
        [to_route(route) for route in fleet_file.routes],
        [to_service(service) for service in fleet_file.services],
        customers=[to_customer(customer) for customer in fleet_file.customers],
    )


def to_route(route: FileRoute) -> routes.Route:
    """Convert a route in the file to the internal type."""
    fields = route.model_dump(exclude={"targets"})
    targets = tuple(routes.Target(target.service, target.weight) for target in route.targets)
    return routes.Route(**fields, targets=targets)


def to_service(service: FileService) -> routes.Service:
    """Convert a service in the file to the internal type."""
    engine = service.engine and routes.Engine(**service.engine.model_dump())
    return routes.Service(service.name, service.max_connections, engine)


def to_customer(customer: FileCustomer) -> routes.Customer:
    """Convert a customer in the file to the internal type."""
    fields = customer.model_dump(exclude={"key_digests"})
    return routes.Customer(**fields, key_digests=tuple(map(bytes.fromhex, customer.key_digests)))


class InMemoryBudgetRecords:
    """Implements :class:`dogwoodgap.source.BudgetRecords` in memory, for a single gateway."""

    def __init__(self) -> None:
        self.records: dict[str, source.BudgetRecord] = {}

    async def write(self, record: source.BudgetRecord) -> int:
        """Write a record if its revision matches the stored one; return the new revision."""
        stored = self.records.get(record.program)
        if (stored.revision if stored else 0) != record.revision:
            raise exceptions.VersionConflictError(
                "the stored record has another revision; read it before writing again"
            )
        revision = record.revision + 1
        self.records[record.program] = source.BudgetRecord(
            record.program, record.budget, record.usage, revision
        )
        return revision

    async def read(self, program: str) -> source.BudgetRecord:
        """Return the record of a program."""
        if program not in self.records:
            raise exceptions.ObjectMissingError(f"program {program} has no record")
        return self.records[program]

    async def list(self) -> list[source.BudgetRecord]:
        """Return all records."""
        return list(self.records.values())

    async def delete(self, program: str) -> None:
        """Delete the record of a program; a missing record is not an error."""
        self.records.pop(program, None)


class InMemoryCrashRecords:
    """Implements :class:`dogwoodgap.source.CrashRecords` in memory, for a single gateway."""

    def __init__(self) -> None:
        self.by_digest: dict[int, source.CrashRecord] = {}

    async def create(self, record: source.CrashRecord) -> None:
        """Store a record unless its digest is stored already."""
        if record.digest in self.by_digest:
            raise exceptions.VersionConflictError("the request is stored already")
        self.by_digest[record.digest] = record

    async def list(self) -> list[source.CrashRecord]:
        """Return all records."""
        return list(self.by_digest.values())

    async def delete(self, digest: int) -> None:
        """Delete a record; a missing record is not an error."""
        self.by_digest.pop(digest, None)


class NoStorageVms:
    """Implements :class:`dogwoodgap.source.StorageVms` without any VMs."""

    async def write(self, vm: source.StorageVm) -> int:
        """Refuse to register a VM."""
        raise exceptions.StoreUnavailableError(
            "a file of routes and servers has no storage VMs; use the platform's store"
        )

    async def read(self, *, may_be_stale: bool = False) -> source.StorageVmList:
        """Return an empty list."""
        return source.StorageVmList(0, ())

    async def watch(self, after: int, wait_s: float) -> source.WatchResult:
        """Wait, since nothing changes."""
        await anyio.sleep(wait_s)
        return source.WatchResult(after, changed=False)

    async def delete(self, node: str) -> None:
        """Do nothing."""


class NoRemovals:
    """Implements :class:`dogwoodgap.source.Removals` without any requests."""

    async def read(self) -> source.RemovalList:
        """Return an empty list."""
        return source.RemovalList(0, ())

    async def watch(
        self, after: int, wait_s: float = source.REMOVALS_WATCH_S
    ) -> source.WatchResult:
        """Wait forever, since there are no requests."""
        await anyio.sleep_forever()
        return source.WatchResult(after, changed=False)

    async def begin(self, vm: str) -> None:
        """Do nothing."""

    async def complete(self, vm: str) -> None:
        """Do nothing."""
