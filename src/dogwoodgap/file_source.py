"""Routes and backend servers from a TOML file, for a gateway without a platform."""

import pathlib
import tomllib

import anyio
import pydantic

from dogwoodgap import exceptions, models, routes, servers, source

CHECK_S = 0.5
"""Interval at which the file is looked at for changes."""


class FileTarget(models.StrictModel):
    """A service and its share of a route."""

    service: str
    weight: float = pydantic.Field(default=1.0, gt=0)


class FileRoute(models.StrictModel):
    """One route."""

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


class FileEngine(models.StrictModel):
    """The model engines of a service."""

    slots: int = pydantic.Field(ge=1)
    cache_tokens: int = pydantic.Field(ge=0)
    tokens_per_event: int = pydantic.Field(default=1, ge=1)


class FileService(models.StrictModel):
    """One service."""

    name: str
    max_connections: int = pydantic.Field(default=100, ge=1)
    engine: FileEngine | None = None


class FileServer(models.StrictModel):
    """One backend server."""

    id: str
    service: str
    address: str = pydantic.Field(pattern=r"^.+:\d+$")
    data_centre: str = ""
    slots: int = pydantic.Field(default=1, ge=1)
    draining: bool = False


class FleetFile(models.StrictModel):
    """The whole file."""

    version: int = pydantic.Field(ge=0)
    routes: list[FileRoute]
    services: list[FileService]
    servers: list[FileServer] = pydantic.Field(default_factory=list)


class FileSource:
    """Implements :class:`dogwoodgap.source.FleetSource`.

    Parameters
    ----------
    path : path
        The file; it is read again when it changes.
    """

    def __init__(self, path: pathlib.Path):
        self.path = path

    def load(self) -> FleetFile:
        """Read and check the file.

        Raises
        ------
        StoreError
            With path, value and remedy.
        """
        try:
            return FleetFile.model_validate(tomllib.loads(self.path.read_text(encoding="utf-8")))
        except (OSError, tomllib.TOMLDecodeError) as error:
            raise exceptions.StoreError(f"{self.path}: {error}; correct the file") from error
        except pydantic.ValidationError as error:
            raise exceptions.StoreError(
                f"{self.path}: correct {models.format_errors(error)}"
            ) from error

    def modified_ns(self) -> int:
        """Return when the file was changed last."""
        try:
            return self.path.stat().st_mtime_ns
        except OSError as error:
            raise exceptions.StoreError(f"{self.path}: {error}; restore the file") from error

    async def read_routes(self) -> source.RoutesReading:
        """Return the routes of the file."""
        revision = self.modified_ns()
        loaded = self.load()
        table = routes.RouteTable(
            loaded.version,
            [to_route(item) for item in loaded.routes],
            [to_service(item) for item in loaded.services],
        )
        return source.RoutesReading(table, revision)

    async def watch_routes(self, after: int, wait_s: float) -> source.RoutesWatch:
        """Wait until the file changes."""
        found = after
        with anyio.move_on_after(wait_s):
            while True:
                found = self.modified_ns()
                if found != after:
                    break
                await anyio.sleep(CHECK_S)
        return source.RoutesWatch(found, found != after)

    async def read_servers(self) -> servers.Listing:
        """Return the backend servers of the file."""
        entries = (servers.BackendServer(**item.model_dump()) for item in self.load().servers)
        return servers.Listing(self.modified_ns(), tuple(entries))


def to_route(item: FileRoute) -> routes.Route:
    """Return a route of the file."""
    fields = item.model_dump(exclude={"targets"})
    targets = tuple(routes.Target(target.service, target.weight) for target in item.targets)
    return routes.Route(**fields, targets=targets)


def to_service(item: FileService) -> routes.Service:
    """Return a service of the file."""
    engine = item.engine and routes.Engine(**item.engine.model_dump())
    return routes.Service(item.name, item.max_connections, engine)


class FileRecords:
    """Implements :class:`dogwoodgap.source.BudgetRecords` in memory, for a single gateway."""

    def __init__(self) -> None:
        self.items: dict[str, source.BudgetRecord] = {}

    async def write(self, record: source.BudgetRecord) -> int:
        """Write a record if the stored one has its revision; return the new revision."""
        known = self.items.get(record.program)
        if (known.revision if known else 0) != record.revision:
            raise exceptions.VersionConflictError("the record has changed; read it again")
        revision = record.revision + 1
        self.items[record.program] = source.BudgetRecord(
            record.program, record.budget, record.mark, revision
        )
        return revision

    async def read(self, program: str) -> source.BudgetRecord:
        """Return a record."""
        if program not in self.items:
            raise exceptions.ObjectMissingError(f"program {program} has no record")
        return self.items[program]

    async def list(self) -> list[source.BudgetRecord]:
        """Return all records."""
        return list(self.items.values())

    async def delete(self, program: str) -> None:
        """Delete a record; one that is missing is no error."""
        self.items.pop(program, None)


class FileRemovals:
    """Implements :class:`dogwoodgap.source.Removals` where no VM is ever emptied."""

    async def read(self) -> source.RemovalList:
        """Return no requests."""
        return source.RemovalList(0, ())

    async def watch(self, after: int) -> None:
        """Wait for ever."""
        await anyio.sleep_forever()

    async def complete(self, vm: str) -> None:
        """Do nothing."""
