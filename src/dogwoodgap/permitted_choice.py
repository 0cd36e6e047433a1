"""Chooses the server of an attempt, and acquires a permit for it if it has a rate limit."""

import anyio

from dogwoodgap import (
    candidates,
    clock,
    dialect,
    gate,
    permits,
    routes,
    servers,
)
from dogwoodgap import progress as progress_module

PERMIT_DELAY_SLACK_S = 0.1
"""Time by which a permit may come later than expected, as other nodes ask at the same time."""

MIN_REMAINING_S = 0.01
"""A request with less time left is not forwarded, because no server could respond in time."""


class RateLimitedError(Exception):
    """All servers reached their rate limits.

    Parameters
    ----------
    retry_after_s : float
        Time after which a permit is expected, in seconds.
    """

    def __init__(self, retry_after_s: float):
        super().__init__(f"no permit within {retry_after_s} s")
        self.retry_after_s = retry_after_s


class PermittedChoice:
    """Chooses servers for the attempts of one node, within the servers' request rate limits."""

    def __init__(
        self,
        server_selector: candidates.ServerSelector,
        permit_coordinator: permits.PermitCoordinator,
    ):
        self.server_selector = server_selector
        self.permit_coordinator = permit_coordinator

    async def choose(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        engine: routes.Engine | None,
        preferred: servers.BackendServer | None = None,
    ) -> servers.BackendServer:
        """Choose the server for the next attempt, and acquire a permit if it has a rate limit.

        A denied permit raises the expected delay of its server, so another one may be chosen next.

        Parameters
        ----------
        preferred : servers.BackendServer, optional
            Server to use if this node can use it without delay.

        Raises
        ------
        RateLimitedError
            If no permit is to be had in time.
        OverloadedError, OutcomeUnknownError
            If no server accepts the request.
        """
        if preferred is not None and await self.is_permitted(progress, preferred):
            return preferred
        give_up_at = clock.now() + self.max_delay_s(progress, engine)
        while True:
            server = self.server_selector.choose(call, progress, engine)
            expected_s = self.expected_delay_s(server)
            longest_s = max(0.0, give_up_at - clock.now())
            if expected_s > longest_s:
                progress.attempt_log.append(f"{server.id}:limited")
                raise RateLimitedError(expected_s)
            accepted_s = min(longest_s, expected_s + PERMIT_DELAY_SLACK_S) if expected_s else 0.0
            delay_s = await self.permit_coordinator.acquire(server, accepted_s)
            if delay_s is not None:
                if delay_s:
                    await anyio.sleep(delay_s)
                if self.server_selector.has_free_connection(server):
                    return server
                continue  # Others that waited as well have taken its connections.
            if expected_s:
                await anyio.sleep(min(expected_s, PERMIT_DELAY_SLACK_S))

    async def is_permitted(
        self, progress: progress_module.Progress, server: servers.BackendServer
    ) -> bool:
        """Return whether a request may be sent to a server now; acquires a permit for it."""
        if server not in self.server_selector.eligible_servers(progress):
            return False
        if self.server_selector.loads.state(server).backoff_until > clock.now():
            return False
        if self.expected_delay_s(server) > 0.0:
            return False
        if await self.permit_coordinator.acquire(server, 0.0) is None:
            return False
        return self.server_selector.has_free_connection(server)

    def expected_delay_s(self, server: servers.BackendServer) -> float:
        """Return the expected delay of a permit for a server, in seconds."""
        return max(0.0, self.permit_coordinator.available_at(server) - clock.now())

    def max_delay_s(
        self, progress: progress_module.Progress, engine: routes.Engine | None
    ) -> float:
        """Return how long a request may wait for a permit, in seconds."""
        max_wait_s = gate.MAX_WAIT_S[progress.turn_priority]
        if engine is None:
            max_wait_s = progress.route.objective_s
        return min(max_wait_s, progress.deadline_at - clock.now() - MIN_REMAINING_S)
