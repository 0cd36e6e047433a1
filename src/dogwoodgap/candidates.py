"""The backend servers that a forwarded request may be sent to; no network, no clock of its own."""

import collections.abc

from dogwoodgap import clock, dialect, exceptions, progress, routes, selection, servers

RETRY_AFTER_S = 0.1
"""Time after which a refused caller may return when nothing better is known."""

DEFAULT_MAX_CONNECTIONS = 20
"""Connections of all nodes to a server whose service is not configured any more."""

MIN_CONNECTIONS = 2
"""Connections to a server that a node may always have."""


class ServerSelector:
    """Chooses the server for each try of a request.

    Parameters
    ----------
    active_routes : routes.ActiveRoutes
        Routes in force.
    directory : servers.ServerDirectory
        Backend servers.
    loads : selection.LoadTable
        What is known of their load.

    Attributes
    ----------
    node_count : callable
        Returns the number of nodes that callers are sent to.
    """

    def __init__(
        self,
        active_routes: routes.ActiveRoutes,
        directory: servers.ServerDirectory,
        loads: selection.LoadTable,
    ):
        self.active_routes = active_routes
        self.directory = directory
        self.loads = loads
        self.node_count: collections.abc.Callable[[], int] = lambda: 1

    def choose(
        self, call: dialect.Call, state: progress.Progress, engine: routes.Engine | None
    ) -> servers.BackendServer:
        """Return the server for the next try.

        Raises
        ------
        OverloadedError
            When no server of the service takes work.
        OutcomeUnknownError
            When no other server may be tried and the request may have run.
        """
        server = selection.choose(
            self.loads, self.eligible_servers(state), engine, call, clock.now()
        )
        if server is not None:
            return server
        if state.may_have_run or state.last_event_id is not None:
            raise exceptions.OutcomeUnknownError(
                f"no other server of {state.service} is left; the request may have run: "
                "repeat it only if it may run twice"
            )
        raise exceptions.OverloadedError(
            f"no server of {state.service} takes work; come back later",
            retry_after_s=RETRY_AFTER_S,
        )

    def eligible_servers(self, state: progress.Progress) -> list[servers.BackendServer]:
        """Return the servers that may be sent a request now.

        A request may run on as many servers as its route allows; those that have ended do not
        count. Once they are used up, it may only be repeated where it ran already.
        """
        allowed = [
            server
            for server in self.directory.ready(state.service)
            if server.id not in state.excluded
            and self.loads.state(server).in_flight < self.connection_limit(server)
        ]
        running = {server_id for server_id, count in state.runs.items() if count}
        still_running = [server_id for server_id in running if not self.has_ended(server_id)]
        if len(still_running) >= state.route.max_runs:
            return [server for server in allowed if server.id in still_running]
        untried = [server for server in allowed if server.id not in running]
        return untried or [server for server in allowed if server.id in still_running]

    def has_ended(self, server_id: str) -> bool:
        """Return whether a server crashed or left since it was asked."""
        server = self.directory.servers.get(server_id)
        return server is None or self.loads.state(server).connect_failures > 0

    def connection_limit(self, server: servers.BackendServer) -> int:
        """Return how many connections this node may have to a server, which resets others."""
        table = self.active_routes.table
        service = table.services.get(server.service) if table else None
        max_connections = service.max_connections if service else DEFAULT_MAX_CONNECTIONS
        return max(MIN_CONNECTIONS, max_connections // self.node_count())
