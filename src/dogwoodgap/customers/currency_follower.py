"""Obtains proofs that this gateway's routes are the newest, from the store and other gateways.

The first two gateways by name in each data centre ask the store, and the others ask those. Without
customers, or with a revocation time of 0, nothing is asked.
"""

import collections.abc
import functools
import logging
import math

import anyio

from dogwoodgap import clock, events, exceptions, exposition, members, membership, peers
from dogwoodgap import route_follower as route_follower_module
from dogwoodgap.customers import currency
from dogwoodgap_wire import ttypes

MAX_AGE_MS = 2**31 - 1
"""Largest age that the field of a reply holds."""

Step = collections.abc.Callable[[], collections.abc.Awaitable[None]]
FetchRoutes = collections.abc.Callable[[str], collections.abc.Awaitable[None]]


class CurrencyFollower:
    """Keeps the proof of one gateway fresh while its routes list customers.

    Parameters
    ----------
    route_follower : route_follower.RouteFollower
        Asks the store, and reads the routes.
    network : peers.Network
        Connections between gateways.
    fetch_routes : callable
        Fetches and installs the routes of the gateway at an address.

    Attributes
    ----------
    unconfirmed_since : float or None
        Monotonic time at which it was logged that keys are not served; None while they are.
    """

    def __init__(
        self,
        route_follower: route_follower_module.RouteFollower,
        network: peers.Network,
        fetch_routes: FetchRoutes,
    ):
        self.route_follower = route_follower
        self.active_routes = route_follower.active_routes
        self.currency = route_follower.currency
        self.network = network
        self.fetch_routes = fetch_routes
        self.membership: membership.Membership | None = None
        self.unconfirmed_since: float | None = None
        network.handlers.register(ttypes.RoutesCheck, self.on_check)
        route_follower.is_confirming = lambda: self.is_needed() and self.is_checker()

    def join(self, joined: membership.Membership) -> None:
        """Start to ask the members of a fleet."""
        self.membership = joined

    def is_needed(self) -> bool:
        """Return whether keys are served, and only with a proof."""
        table = self.active_routes.table
        return bool(self.currency.revocation_s and table is not None and table.customers)

    def is_checker(self) -> bool:
        """Return whether this gateway gets its proof from the store."""
        if self.membership is None:
            return True
        local = self.membership.local
        return local.node in currency.checkers(self.membership.alive(), local.data_centre)

    async def run(self) -> None:
        """Renew the proof whenever that is due, until cancelled."""
        while True:
            while not self.is_needed():
                self.unconfirmed_since = None
                await self.route_follower.installed.wait()
            await anyio.sleep(self.currency.renewal_delay_s(is_checker=self.is_checker()))
            if self.is_needed():
                await self.renew()
                self.log_transition()

    async def renew(self) -> None:
        """Ask for a proof until there is a new, fresh one, each source once.

        A source that is slow goes on to be asked while the next ones are.
        """
        former_proof = self.currency.proof

        def is_renewed() -> bool:
            return self.currency.proof is not former_proof and self.currency.is_fresh()

        async with anyio.create_task_group() as tasks:

            async def take(step: Step, has_ended: anyio.Event) -> None:
                await step()
                has_ended.set()
                if is_renewed():
                    tasks.cancel_scope.cancel()

            for step in self.steps():
                has_ended = anyio.Event()
                tasks.start_soon(take, step, has_ended)
                with anyio.move_on_after(self.currency.ask_timeout_s):
                    await has_ended.wait()
                if is_renewed():
                    break
        if self.is_checker():
            await self.compare_versions()

    async def compare_versions(self) -> None:
        """Get newer routes that a member has although the store does not show them.

        The store may hold later routes that are invalid, so that a read returns none.
        """
        if self.membership is None:
            return
        alive = self.membership.alive()
        newest = max(alive, key=lambda member: member.configuration_generation, default=None)
        if newest is not None and newest.configuration_generation > self.active_routes.version:
            await self.get_newer(newest.configuration_generation, newest)

    def steps(self) -> list[Step]:
        """Return functions that ask one source each, in order.

        The next one is asked when a source does not lead to a fresh proof, or not within the
        time-out of another gateway: calls to the store may take longer.
        """
        if self.membership is None:
            return [self.ask_store]
        sources = currency.choose_sources(self.membership.alive(), self.membership.local)
        own = [functools.partial(self.ask, member) for member in sources.own]
        others = [functools.partial(self.ask, member) for member in sources.others]
        if self.is_checker():
            return [self.ask_store, *own, *others]
        return [*own, *others[:1], self.ask_store, *others[1:]]

    async def ask_store(self) -> None:
        """Ask the store, and read the routes if they have changed."""
        try:
            await self.route_follower.confirm()
        except exceptions.StoreError as error:
            self.route_follower.availability.record_failure(error)
            exposition.routes_checks.labels("store", "failed").inc()
            return
        exposition.routes_checks.labels("store", "answered").inc()

    async def ask(self, member: members.Member) -> None:
        """Ask another gateway, and get the newer routes if it has some."""
        sent_at = clock.mark()
        try:
            reply = await self.network.request(
                member.peer_address,
                ttypes.RoutesCheck(version=self.active_routes.version),
                ttypes.RoutesCheckReply,
                timeout_s=self.currency.ask_timeout_s,
            )
        except exceptions.PeerError:
            # Another source is asked; the counter and the age of the proof show that it failed.
            exposition.routes_checks.labels("gateway", "failed").inc()
            return
        exposition.routes_checks.labels("gateway", "answered").inc()
        version = -1 if reply.message.version is None else reply.message.version
        if version > self.active_routes.version:
            await self.get_newer(version, member)
        if reply.message.age_ms is not None:
            age_s = reply.message.age_ms / 1000
            self.currency.record(version, self.active_routes.version, sent_at, age_s)

    async def get_newer(self, version: int, member: members.Member) -> None:
        """Read newer routes from the store, or fetch them from the gateway that has them.

        The store may be unreachable from here, or hold routes that are invalid by now.
        """
        if self.route_follower.availability.lost_at is None:
            try:
                await self.route_follower.read()
            except exceptions.StoreError as error:
                self.route_follower.availability.record_failure(error)
        if self.active_routes.version < version:
            try:
                await self.fetch_routes(member.peer_address)
            except exceptions.PeerError as error:
                events.emit(
                    events.Event.PEER_HANDLER_FAILED,
                    "newer routes could not be fetched from another node",
                    level=logging.WARNING,
                    kind="FleetFetchReply",
                    sender=member.node,
                    detail=error.detail,
                )

    async def on_check(
        self, sender: ttypes.Member, message: ttypes.RoutesCheck
    ) -> ttypes.RoutesCheckReply:
        """Tell another gateway which version was the newest one, and how long ago."""
        if message.version is not None:
            self.route_follower.refresh_if_older_than(message.version)
        age_ms = self.currency.age_ms()
        if age_ms is not None and age_ms > MAX_AGE_MS:
            age_ms = None
        return ttypes.RoutesCheckReply(version=self.active_routes.version, age_ms=age_ms)

    def log_transition(self) -> None:
        """Log when this gateway stops to serve keys, and when it serves them again.

        At most one pair of lines is written in each ``SERVE_SHARE`` of the revocation time, since
        each proof lasts that long.
        """
        if self.currency.is_confirmed():
            if self.unconfirmed_since is not None:
                events.emit(
                    events.Event.ROUTES_CONFIRMED,
                    "the routes are confirmed again; serving requests with keys",
                    level=logging.WARNING,
                    routes_version=self.active_routes.version,
                    proof_age_ms=self.currency.age_ms(),
                    unconfirmed_s=round(clock.now() - self.unconfirmed_since, 3),
                )
                self.unconfirmed_since = None
        elif self.unconfirmed_since is None:
            self.unconfirmed_since = clock.now()
            events.emit(
                events.Event.ROUTES_UNCONFIRMED,
                "cannot confirm that the routes are the newest; refusing requests with keys "
                "until the store or another gateway replies",
                level=logging.WARNING,
                routes_version=self.active_routes.version,
                proof_age_ms=self.currency.age_ms(),
                gateways=len(self.membership.alive()) if self.membership else 1,
            )

    def proof_age_s(self) -> float:
        """Return the age of the proof in seconds, for metrics; NaN where none is needed."""
        return self.currency.age_s() if self.is_needed() else math.nan
