"""Keeps routes and backend servers up to date from the platform's store."""

import logging

import anyio

from dogwoodgap import clock, events, exceptions, routes, servers, source

SERVERS_INTERVAL_S = 0.7
"""A leaving server has to be known within 2 s; a lost reading leaves time for another."""

RETRY_S = 0.3
ROUTES_CHECK_S = 0.2
"""Pause between two watches, so that a storm of versions is read a few times a second."""


class Dependency:
    """Logs when something is lost or regained."""

    def __init__(self, name: str):
        self.name = name
        self.lost_at: float | None = None

    def note_failure(self, error: exceptions.DogwoodgapError) -> None:
        """Record a failure."""
        if self.lost_at is None:
            self.lost_at = clock.now()
            events.emit(
                events.Event.STORE_LOST,
                "the platform's store does not answer; what is known stays in use",
                level=logging.WARNING,
                reading=self.name,
                detail=error.detail,
            )

    def note_success(self) -> None:
        """Record a success."""
        if self.lost_at is not None:
            events.emit(
                events.Event.STORE_REGAINED,
                "the platform's store answers again",
                reading=self.name,
                lost_s=round(clock.now() - self.lost_at, 3),
            )
            self.lost_at = None


class RouteFollower:
    """Follows the routes by a watch, which costs a call only when something changes."""

    def __init__(self, store: source.FleetSource, book: routes.RouteBook):
        self.store = store
        self.book = book
        self.dependency = Dependency("routes")
        self.known = anyio.Event()

    async def run(self) -> None:
        """Follow until cancelled."""
        revision = -1
        while True:
            try:
                if revision >= 0:
                    revision = await self.store.watch_routes(revision)
                else:
                    revision = 0
                await self.read()
                self.dependency.note_success()
            except exceptions.WatchExpiredError:
                revision = -1
            except exceptions.StoreError as error:
                self.dependency.note_failure(error)
                revision = -1
                await anyio.sleep(RETRY_S)
            await anyio.sleep(ROUTES_CHECK_S)

    async def read(self) -> None:
        """Read the newest routes."""
        table = await self.store.read_routes()
        if table is not None:
            self.book.install(table)
            self.known.set()


class ServerFollower:
    """Follows the backend servers by reading the list at intervals."""

    def __init__(self, store: source.FleetSource, directory: servers.ServerDirectory):
        self.store = store
        self.directory = directory
        self.dependency = Dependency("servers")
        self.known = anyio.Event()

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                self.directory.apply(await self.store.read_servers(fresh=True))
                self.dependency.note_success()
                self.known.set()
                await anyio.sleep(SERVERS_INTERVAL_S)
            except exceptions.StoreError as error:
                self.dependency.note_failure(error)
                self.directory.note_outage()
                await anyio.sleep(RETRY_S)
