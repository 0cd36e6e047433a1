"""Selects the eligible backend servers of a forwarded request; no I/O."""

import collections.abc

from dogwoodgap import clock, dialect, exceptions, progress, routes, selection, servers

RETRY_AFTER_S = 0.1
"""Default retry delay of a refused caller."""

DEFAULT_MAX_CONNECTIONS = 20
"""Connections of all nodes to a server whose service is no longer configured."""

MIN_CONNECTIONS = 2
"""Connections to a server that each node may always open."""


class ServerSelector:
    """Selects the server for each attempt of a request.

    Parameters
    ----------
    active_routes : routes.ActiveRoutes
        The active route table.
    server_registry : servers.ServerRegistry
        Registered backend servers.
    loads : selection.LoadTable
        Load and failures of the servers.

    Attributes
    ----------
    node_count : callable
        Returns the number of nodes that receive requests from callers.
    """

    def __init__(
        self,
        active_routes: routes.ActiveRoutes,
        server_registry: servers.ServerRegistry,
        loads: selection.LoadTable,
    ):
        self.active_routes = active_routes
        self.server_registry = server_registry
        self.loads = loads
        self.node_count: collections.abc.Callable[[], int] = lambda: 1

    def choose(
        self, call: dialect.Call, state: progress.Progress, engine: routes.Engine | None
    ) -> servers.BackendServer:
        """Return the server for the next attempt.

        Raises
        ------
        OverloadedError
            If no server of the service accepts requests.
        OutcomeUnknownError
            If no server is left to try and the request may have run.
        """
        server = selection.choose(
            self.loads, self.eligible_servers(state), engine, call, clock.now()
        )
        if server is not None:
            return server
        if state.may_have_run or state.last_event_id is not None:
            raise exceptions.OutcomeUnknownError(
                f"no other server of service {state.service} is available; the request may have "
                "run, so retry it only if it is idempotent"
            )
        raise exceptions.OverloadedError(
            f"no server of service {state.service} accepts requests; retry later",
            retry_after_s=RETRY_AFTER_S,
        )

    def eligible_servers(self, state: progress.Progress) -> list[servers.BackendServer]:
        """Return the servers that a request may be sent to now.

        A request may run on at most ``max_runs`` servers of its route, not counting servers that
        have ended. At that limit it may only be retried on a server where it already ran. A stream
        is continued only at the software version that began it.
        """
        limit = self.connection_limit(state.service)
        allowed = [
            server
            for server in self.server_registry.ready(state.service)
            if server.id not in state.excluded
            and state.required_version in (None, server.software_version)
            and self.loads.state(server).in_flight < limit
        ]
        running = {server_id for server_id, count in state.runs.items() if count}
        still_running = [server_id for server_id in running if not self.has_ended(server_id)]
        if len(still_running) >= state.route.max_runs:
            return [server for server in allowed if server.id in still_running]
        untried = [server for server in allowed if server.id not in running]
        return untried or [server for server in allowed if server.id in still_running]

    def has_ended(self, server_id: str) -> bool:
        """Return whether a server that was tried is unreachable or no longer registered."""
        server = self.server_registry.servers.get(server_id)
        return server is None or self.loads.state(server).connect_failures > 0

    def has_free_connection(self, server: servers.BackendServer) -> bool:
        """Return whether this node may open one more connection to a server."""
        return self.loads.state(server).in_flight < self.connection_limit(server.service)

    def connection_limit(self, service: str) -> int:
        """Return the connections of this node to each server of a service.

        Servers reset the connections that exceed those of all nodes.
        """
        table = self.active_routes.table
        configured = table.services.get(service) if table else None
        max_connections = configured.max_connections if configured else DEFAULT_MAX_CONNECTIONS
        return max(MIN_CONNECTIONS, max_connections // self.node_count())
