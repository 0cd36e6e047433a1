"""The directory of backend servers that forwarded requests may go to."""

import collections
import collections.abc
import dataclasses
import math

from dogwoodgap import clock, events


@dataclasses.dataclass(frozen=True, slots=True)
class BackendServer:
    """One backend server as it registered itself.

    Attributes
    ----------
    started_ms : int
        Unix time of its start in milliseconds; another value means another process.
    slots : int
        Requests that it runs at once.
    draining : bool
        It finishes its work and takes nothing new.
    """

    id: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    started_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All registered servers at one revision of the store."""

    revision: int
    servers: tuple[BackendServer, ...]


class ServerDirectory:
    """The servers in use by service.

    Parameters
    ----------
    return_grace_s : float
        After an outage of the store, entries that lapsed meanwhile may be missing this long.
    """

    def __init__(self, return_grace_s: float):
        self.return_grace_s = return_grace_s
        self.revision = -1
        self.confirmed_at = -math.inf
        self.grace_until = -math.inf
        self.listed: tuple[BackendServer, ...] = ()
        self.servers: dict[str, BackendServer] = {}
        self.by_service: dict[str, list[BackendServer]] = {}
        self.removal_hooks: list[collections.abc.Callable[[BackendServer], None]] = []

    @property
    def age_s(self) -> float:
        """Return the time since the listing was last confirmed."""
        return clock.now() - self.confirmed_at

    @property
    def age_ms(self) -> int | None:
        """Return the age in milliseconds, or None before the first listing."""
        return None if math.isinf(self.age_s) else round(self.age_s * 1000)

    def start_grace_period(self) -> None:
        """Record that the store does not answer, so that lapsed entries get time to return."""
        self.grace_until = clock.now() + self.return_grace_s

    def listing_at(self, revision: int) -> Listing:
        """Return the entries that were listed last, as those of a revision."""
        return Listing(revision, self.listed)

    def apply(self, listing: Listing, read_at: float | None = None) -> bool:
        """Take a listing over unless a newer one is known; return whether it changed.

        Parameters
        ----------
        read_at : float, optional
            Monotonic time at which the list was asked for; now when it is left out.
        """
        if listing.revision < self.revision:
            return False
        self.revision = listing.revision
        self.listed = listing.servers
        self.confirmed_at = max(self.confirmed_at, clock.now() if read_at is None else read_at)
        updated = {server.id: server for server in listing.servers}
        if clock.now() < self.grace_until:
            for server in self.servers.values():
                updated.setdefault(server.id, server)
        if updated == self.servers:
            return False
        self.replace(updated)
        return True

    def replace(self, updated: dict[str, BackendServer]) -> None:
        """Put a new set of servers in force."""
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
        events.emit(
            events.Event.SERVERS_CHANGED,
            "the list of backend servers changed",
            revision=self.revision,
            added=sorted(updated.keys() - previous.keys()),
            removed=sorted(previous.keys() - updated.keys()),
            draining=sorted(server.id for server in updated.values() if server.draining),
        )

    def ready(self, service: str) -> list[BackendServer]:
        """Return the servers of a service that take new work."""
        return self.by_service.get(service, [])

    def is_usable(self, server: BackendServer) -> bool:
        """Return whether the same process of a server still takes new work."""
        known = self.servers.get(server.id)
        return known is not None and not known.draining and known.started_ms == server.started_ms
