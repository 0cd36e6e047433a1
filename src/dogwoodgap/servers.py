"""Registry of the backend servers for forwarded requests."""

import collections
import collections.abc
import dataclasses
import math

import cachetools

from dogwoodgap import clock, events

ProcessKey = tuple[str, int]
"""Id and start of a server process; a server that restarts may keep its id."""


MAX_DEPARTURES = 4_096
"""Processes that are remembered as leaving."""


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """A backend server as registered in the store.

    Attributes
    ----------
    started_ms : int
        Unix time of the process start in ms; a different value means a different process.
    slots : int
        Requests that the server runs concurrently.
    draining : bool
        Whether the server finishes its requests and accepts no new ones.
    software_version : str
        Version of the server's software. Only servers of one version can continue a stream.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    started_ms: int = 0
    software_version: str = ""

    @property
    def process(self) -> ProcessKey:
        """Return the key of this process of the server."""
        return self.id, self.started_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All registered servers as of one store revision."""

    revision: int
    servers: tuple[BackendServer, ...]


class ServerRegistry:
    """The servers in use, indexed by id and by service.

    A process that drains does so until it ends, whatever an older list or another node says.

    Parameters
    ----------
    return_grace_s : float
        Time in seconds after a store outage during which missing entries are kept, because they
        may have expired in the outage.
    """

    def __init__(self, return_grace_s: float):
        self.return_grace_s = return_grace_s
        self.revision = -1
        self.confirmed_at = -math.inf
        self.grace_until = -math.inf
        self.listed: tuple[BackendServer, ...] = ()
        self.departures: cachetools.LRUCache[ProcessKey, bool] = cachetools.LRUCache(MAX_DEPARTURES)
        self.absent_since: dict[ProcessKey, float] = {}
        self.servers: dict[str, BackendServer] = {}
        self.by_service: dict[str, list[BackendServer]] = {}
        self.change_hooks: list[collections.abc.Callable[[], None]] = []
        self.removal_hooks: list[collections.abc.Callable[[BackendServer], None]] = []

    @property
    def age_s(self) -> float:
        """Return the seconds since the listing was last confirmed."""
        return clock.now() - self.confirmed_at

    @property
    def age_ms(self) -> int | None:
        """Return the age of the listing in milliseconds, or None before the first one."""
        return None if math.isinf(self.age_s) else round(self.age_s * 1000)

    def start_grace_period(self) -> None:
        """Start the grace period of a store outage, in which missing entries are kept."""
        self.grace_until = clock.now() + self.return_grace_s

    def is_listed(self, process: ProcessKey) -> bool:
        """Return whether a process is in use, also if it drains."""
        current = self.servers.get(process[0])
        return current is not None and current.process == process

    def last_listed_at(self, process: ProcessKey) -> float:
        """Return the monotonic time of the last listing that had a process in use."""
        return self.absent_since.get(process, self.confirmed_at)

    def listing_at(self, revision: int) -> Listing:
        """Return the last listed entries as a listing of the given revision."""
        return Listing(revision, self.listed)

    def apply(self, listing: Listing, read_at: float | None = None) -> bool:
        """Apply a listing unless a newer one is known; return whether the servers changed.

        Parameters
        ----------
        read_at : float, optional
            Monotonic time at which the listing was requested; now by default.
        """
        for server in listing.servers:
            if server.draining:
                self.record_departure(server.process)
        if listing.revision < self.revision:
            return False
        entries = listing.servers
        if entries is not self.listed:
            self.record_absences(entries)
            entries = self.with_departures(entries)
        self.revision = listing.revision
        self.listed = entries
        self.confirmed_at = max(self.confirmed_at, clock.now() if read_at is None else read_at)
        updated = {server.id: server for server in entries}
        if clock.now() < self.grace_until:
            for server in self.servers.values():
                updated.setdefault(server.id, server)
        if updated == self.servers:
            return False
        self.replace(updated)
        return True

    def record_departure(self, process: ProcessKey) -> bool:
        """Record that a process is leaving; return whether that is news."""
        if process in self.departures:
            return False
        self.departures[process] = True
        if self.is_listed(process) and not (current := self.servers[process[0]]).draining:
            self.listed = self.with_departures(self.listed)
            self.replace(self.servers | {current.id: dataclasses.replace(current, draining=True)})
        return True

    def with_departures(self, entries: tuple[BackendServer, ...]) -> tuple[BackendServer, ...]:
        """Return entries in which the processes that are known to leave drain."""
        if not any(server.process in self.departures for server in entries):
            return entries
        return tuple(
            dataclasses.replace(server, draining=True)
            if server.process in self.departures
            else server
            for server in entries
        )

    def record_absences(self, entries: tuple[BackendServer, ...]) -> None:
        """Record since when the processes in use that a new listing lacks have not been listed."""
        listed = {server.process for server in entries}
        self.absent_since = {
            server.process: self.last_listed_at(server.process)
            for server in self.servers.values()
            if server.process not in listed
        }

    def replace(self, updated: dict[str, BackendServer]) -> None:
        """Replace the servers in use, and call the removal hooks for ended processes."""
        previous = self.servers
        self.servers = updated
        self.by_service = collections.defaultdict(list)
        for server in sorted(updated.values(), key=lambda server: server.id):
            if not server.draining:
                self.by_service[server.service].append(server)
        for server in previous.values():
            current = updated.get(server.id)
            if current is None or current.started_ms != server.started_ms:
                for hook in self.removal_hooks:
                    hook(server)
        for change_hook in self.change_hooks:
            change_hook()
        events.emit(
            events.Event.SERVERS_CHANGED,
            "the list of backend servers changed",
            revision=self.revision,
            added=sorted(updated.keys() - previous.keys()),
            removed=sorted(previous.keys() - updated.keys()),
            draining=sorted(server.id for server in updated.values() if server.draining),
        )

    def ready(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that accept new requests."""
        return self.by_service.get(service, [])

    def is_usable(self, server: BackendServer) -> bool:
        """Return whether the same process of a server still accepts new requests."""
        current = self.servers.get(server.id)
        return (
            current is not None and not current.draining and current.started_ms == server.started_ms
        )
