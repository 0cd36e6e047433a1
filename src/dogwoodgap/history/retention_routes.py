"""Follows for how long the routes retain turns, on a storage VM."""

import anyio

from dogwoodgap import exceptions, routes, source
from dogwoodgap.history import registry

WATCH_TIMEOUT_S = 25.0
RETRY_DELAY_S = 1.0

UNKNOWN_RETENTION_S = 600.0
"""Longest time for which a turn is stored, as long as the routes are not known."""

STORED_RETENTIONS = 2
"""Gateways store turns for up to twice the retention, so that few turns have to be extended."""

STORED_MARGIN_S = 10.0
"""Time that gateways add for late ends of responses, and differences between clocks."""


class RetentionFollower:
    """Keeps the longest time in seconds for which turns were retained.

    Attributes
    ----------
    retention_s : float
        The longest time since the process started, since turns may be older than the routes.
    known : anyio.Event
        Set once routes are known.
    """

    def __init__(self, store: source.FleetSource, vm_registry: registry.Registry):
        self.store = store
        self.registry = vm_registry
        self.retention_s = 0.0
        self.known = anyio.Event()

    def stored_s(self) -> float:
        """Return the longest time for which a turn is stored, or a bound before that is known."""
        if not self.known.is_set():
            return UNKNOWN_RETENTION_S
        return STORED_RETENTIONS * self.retention_s + STORED_MARGIN_S

    async def run(self) -> None:
        """Read and watch the routes until cancelled."""
        while True:
            try:
                snapshot = await self.store.read_routes()
                self.registry.record_success()
                if snapshot.table is not None:
                    self.retention_s = max(self.retention_s, longest(snapshot.table))
                    self.known.set()
                revision, changed = snapshot.revision, False
                while not changed:
                    result = await self.store.watch_routes(revision, WATCH_TIMEOUT_S)
                    revision, changed = result.revision, result.changed
            except exceptions.WatchExpiredError:
                continue
            except exceptions.StoreError as error:
                self.registry.record_failure(error)
                await anyio.sleep(RETRY_DELAY_S)


def longest(table: routes.RouteTable) -> float:
    """Return the longest time in seconds for which a route retains turns."""
    return max(
        (route.retain_s for prefixes in table.by_host.values() for route in prefixes.values()),
        default=0.0,
    )
