"""What a gateway needs of the platform: one small interface, met by an adapter."""

import typing

from dogwoodgap import routes, servers


class FleetSource(typing.Protocol):
    """Reads routes and backend servers. All calls raise :class:`exceptions.StoreError`."""

    async def read_routes(self) -> routes.RouteTable | None:
        """Return the newest routes, or None when there are none yet."""

    async def watch_routes(self, after: int) -> int:
        """Wait until the routes may have changed after a revision; return the new revision."""

    async def read_servers(self, *, fresh: bool) -> servers.Listing:
        """Return the registered backend servers; without ``fresh`` they may be seconds old."""
