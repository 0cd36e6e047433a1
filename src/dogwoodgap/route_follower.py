"""Keeps the routes up to date by watching the platform's store."""

import collections.abc

import anyio

from dogwoodgap import availability, clock, exceptions, routes, source
from dogwoodgap.customers import currency

MAX_RANK = 3
WATCH_TIMEOUTS_S = (1.0, 2.0, 15.0, 15.0)
"""Watch timeout by rank. A dead connection is noticed only at the timeout, and new routes must be
active within 2 s; the other nodes learn of new routes from the first two."""

RETRY_DELAY_S = 0.4
WATCH_PAUSE_S = 0.2
"""Pause between two watches, which limits reads when versions change rapidly."""

CONFIRM_WAIT_S = 0.05
"""Wait of the watch that only asks whether the routes are the newest. It is a new question each
time, so its answer is at most this old; the answer to a watch is as old as the watch was long."""


class RouteFollower:
    """Keeps the routes up to date by watching the store.

    Each read, and each watch that returns without a change, proves that a version is the newest one
    at the time at which the call was sent.

    Attributes
    ----------
    initialized : anyio.Event
        Set once routes are known.
    installed : anyio.Event
        Set, and replaced by a new one, when routes are received.
    rank : callable
        Returns this node's rank, which selects the watch timeout.
    is_confirming : callable
        Returns whether this node asks the store every second whether its routes are the newest.
        That also shows what a dead connection hides, so that watches may be long.
    currency : currency.RoutesCurrency
        Records the proofs.
    revision : int
        Revision of the store from which to watch; -1 before the first read.
    newest_version : int or None
        Version that is the newest one at that revision; None if this node does not have it.
    """

    def __init__(self, store: source.FleetSource, active_routes: routes.ActiveRoutes):
        self.store = store
        self.active_routes = active_routes
        self.availability = availability.StoreAvailability("routes")
        self.initialized = anyio.Event()
        self.installed = anyio.Event()
        self.rank: collections.abc.Callable[[], int] = lambda: 0
        self.is_confirming: collections.abc.Callable[[], bool] = lambda: False
        self.currency = currency.RoutesCurrency()
        self.watch_scope: anyio.CancelScope | None = None
        self.revision = -1
        self.newest_version: int | None = None
        self.read_sent_at = -1.0

    async def run(self) -> None:
        """Watch and read the routes until cancelled."""
        await self.read_until_available()
        while True:
            try:
                if await self.watch():
                    await self.read()
                self.availability.record_success()
            except exceptions.WatchExpiredError:
                await self.read_until_available()
            except exceptions.StoreError as error:
                self.availability.record_failure(error)
                await anyio.sleep(RETRY_DELAY_S)
            await anyio.sleep(WATCH_PAUSE_S)

    async def read_until_available(self) -> None:
        """Retry reading the routes until it succeeds."""
        while True:
            try:
                await self.read()
                return
            except exceptions.StoreError as error:
                self.availability.record_failure(error)
                await anyio.sleep(RETRY_DELAY_S)

    async def watch(self) -> bool:
        """Return whether to read, after a change or when another node announces newer routes."""
        rank = MAX_RANK if self.is_confirming() else self.rank()
        with anyio.CancelScope() as self.watch_scope:
            return await self.has_changed(WATCH_TIMEOUTS_S[rank])
        return True

    async def has_changed(self, wait_s: float) -> bool:
        """Return whether the store has changed, after a wait; if not, the routes are the newest."""
        sent_at = clock.mark()
        result = await self.store.watch_routes(self.revision, wait_s)
        if result.changed:
            return True
        # Another call may have found a later revision meanwhile.
        self.revision = max(self.revision, result.revision)
        self.record_proof(sent_at)
        return False

    async def confirm(self) -> None:
        """Ask the store whether the routes are the newest ones, and read them if they are not.

        Raises
        ------
        StoreError
            If the store does not reply.
        """
        try:
            if self.newest_version is None or await self.has_changed(CONFIRM_WAIT_S):
                await self.read()
        except exceptions.WatchExpiredError:
            await self.read()
        self.availability.record_success()

    def refresh_if_older_than(self, version: int) -> None:
        """Interrupt the watch to read the routes if another node has a newer version."""
        if version > self.active_routes.version and self.watch_scope is not None:
            self.watch_scope.cancel()

    async def read(self) -> None:
        """Read the current routes."""
        sent_at = clock.mark()
        snapshot = await self.store.read_routes()
        self.availability.record_success()
        if snapshot.table is not None:
            self.apply_table(snapshot.table)
        if sent_at.monotonic < self.read_sent_at:
            return  # A read that was sent later has ended before this one.
        self.read_sent_at = sent_at.monotonic
        self.revision = snapshot.revision
        self.newest_version = self.find_newest_version(snapshot.table)
        self.record_proof(sent_at)

    def find_newest_version(self, table: routes.RouteTable | None) -> int | None:
        """Return the newest version after a read, or None if this node does not serve from it.

        The former routes stay in force while the store has none that are valid. Then they are the
        newest ones if they have been before.
        """
        active_version = self.active_routes.version
        if table is None:
            return active_version if self.currency.proven_version == active_version else None
        return table.version if table.version == active_version else None

    def record_proof(self, sent_at: clock.Mark) -> None:
        """Record that the store had no newer routes when a call was sent."""
        if self.newest_version is not None:
            self.currency.record(self.newest_version, self.active_routes.version, sent_at)

    def apply_table(self, table: routes.RouteTable) -> None:
        """Install routes unless newer ones are active."""
        self.active_routes.install(table)
        self.initialized.set()
        self.installed.set()
        self.installed = anyio.Event()
