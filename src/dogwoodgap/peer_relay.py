"""Sends requests to other gateways while this one cannot reach the servers of their service.

The other gateway forwards the request as if the caller had sent it there, except that the token
budget stays reserved here. It never passes a request on to a third gateway.
"""

import collections.abc
import dataclasses
import math

import h11

from dogwoodgap import (
    clock,
    dialect,
    events,
    helpers,
    ingress,
    members,
    membership,
    pacing,
    peer_connections,
    relay,
    routes,
    servers,
    upstream,
)
from dogwoodgap import progress as progress_module

PRIORITY_HEADER = b"dogwoodgap-turn-priority"
"""Priority of a turn among those that wait for engines, as told by the owner of its program."""

AUTHENTICATED_HEADER = b"dogwoodgap-authenticated"
"""Tells that the sending gateway has checked the key of a request, so that the customer named in it
is not what a caller claims. A gateway whose routes have no customers yet checks none."""

RELAY_HEADERS = (PRIORITY_HEADER, AUTHENTICATED_HEADER)

DEPARTURE_HEADER = b"dogwoodgap-leaving-process"
"""Start in Unix ms and id of a server process that named its departure in the response."""

MAX_HELPERS = 3
"""Gateways that may refuse a request without running it before its caller gets a 503."""

MAX_HELPER_SEARCH_S = 0.2
"""Time after which no other gateway is asked. One that refuses later had the request waiting for
engines that the others share."""

ADDED_HEADER_BYTES = 1_024
"""Room for the headers that a gateway adds to a request of a caller."""

POOLED_CONNECTIONS = 8
"""Idle connections kept to one gateway."""


class PeerRelay:
    """Sends the requests of one gateway to others.

    Parameters
    ----------
    header_codec : dialect.HeaderCodec
        Encodes headers under the deployment's names.
    max_response_bytes : int
        Largest body of a response that is not a stream.
    retire_pool : callable
        Closes the idle connections of a pool in the background.
    record_departure : callable
        Called with a server process that named its departure in a response.

    Attributes
    ----------
    address : callable
        Returns the address at which a member accepts requests of other gateways.
    """

    def __init__(
        self,
        header_codec: dialect.HeaderCodec,
        max_response_bytes: int,
        retire_pool: collections.abc.Callable[[upstream.ServerPool], None],
        record_departure: collections.abc.Callable[[servers.ProcessKey], None],
    ):
        self.header_codec = header_codec
        self.retire_pool = retire_pool
        self.record_departure = record_departure
        self.max_response_bytes = max_response_bytes
        self.table = helpers.HelperTable()
        self.pools: dict[str, upstream.ServerPool] = {}
        self.membership: membership.Membership | None = None
        self.address: collections.abc.Callable[[members.Member], str] = lambda member: ""

    def join(
        self,
        joined: membership.Membership,
        address: collections.abc.Callable[[members.Member], str],
    ) -> None:
        """Start to send requests to the members of a fleet."""
        self.membership = joined
        self.address = address

    def choose(self) -> members.Member | None:
        """Return the gateway to send a request to, or None if none is likely to help."""
        if self.membership is None:
            return None
        table = self.membership.table
        others = {
            member.node: member for member in table.alive() if member.node != table.local.node
        }
        self.table.retain(others)
        for node in [node for node in self.pools if node not in others]:
            self.retire_pool(self.pools.pop(node))
        node = self.table.choose(others)
        return None if node is None else others[node]

    def pool(self, member: members.Member) -> upstream.ServerPool:
        """Return the connection pool of a gateway."""
        entry = servers.BackendServer(
            member.node, "", self.address(member), member.data_centre, slots=0
        )
        pool = self.pools.get(member.node)
        if pool is not None and pool.server != entry:
            self.retire_pool(pool)
            pool = None
        if pool is None:
            pool = self.pools[member.node] = upstream.ServerPool(entry)
        return pool

    async def send(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        responder: ingress.Responder,
        member: members.Member,
        check: collections.abc.Callable[[], None],
    ) -> progress_module.AttemptResult:
        """Send a request to a gateway and relay its response.

        Parameters
        ----------
        check : callable
            Raises the error for a request that has become futile while a connection was opened.
        """
        max_idle_s = math.inf if progress.route.retryable else upstream.MAX_IDLE_NON_RETRYABLE_S
        pool = self.pool(member)
        connection: upstream.Connection | None = None
        self.table.in_flight[member.node] += 1
        result = progress_module.AttemptResult.UNKNOWN
        try:
            connection = await pool.acquire(max_idle_s)
            if not connection.is_reused:
                check()
            result = await self.send_and_relay(call, progress, responder, connection)
            reusable, connection = connection, None
            await pool.release(reusable, POOLED_CONNECTIONS)
        except upstream.ServerUnreachableError as error:
            result = progress_module.AttemptResult.UNREACHABLE
            progress.attempt_log.append(error.detail)
        except upstream.InvalidResponseError as error:
            progress.attempt_log.append(error.detail)
        finally:
            self.table.in_flight[member.node] -= 1
            if connection is not None:
                await connection.close()
        self.record_result(member, result)
        return result

    def record_result(self, member: members.Member, result: progress_module.AttemptResult) -> None:
        """Update what is known of a gateway as a helper."""
        if result in (progress_module.AttemptResult.DONE, progress_module.AttemptResult.FAILED):
            self.table.record_help(member.node)
            return
        self.table.record_refusal(member.node)
        events.emit(
            events.Event.HELPER_FAILED,
            "another gateway did not accept a request",
            node=member.node,
            result=result.value,
        )

    async def send_and_relay(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        responder: ingress.Responder,
        connection: upstream.Connection,
    ) -> progress_module.AttemptResult:
        """Send a request over a connection and relay the response."""
        remaining_s = progress.deadline_at - clock.now()
        headers = self.header_codec.encode_call(call, None, remaining_s, call.last_event_id)
        # Callers may send these as well.
        headers = [pair for pair in headers if pair[0] not in RELAY_HEADERS]
        headers.append((PRIORITY_HEADER, str(int(progress.turn_priority)).encode()))
        if call.is_authenticated:
            headers.append((AUTHENTICATED_HEADER, b"1"))
        request = h11.Request(method=call.method, target=call.target, headers=headers)
        progress.offered_at = progress.offered_at or clock.now()
        progress.runs[connection.server.id] += 1
        await connection.send(request, call.body)
        return await relay.relay_response(
            call,
            progress,
            responder,
            connection,
            request,
            self.header_codec,
            upstream.Patience(math.inf, lambda: False),
            self.max_response_bytes,
            self.on_head,
        )

    def on_head(self, head: upstream.ResponseHead) -> None:
        """Take a departure that the other gateway has named out of a response."""
        process = remove_departure(head)
        if process is not None:
            self.record_departure(process)


def add_departure(head: upstream.ResponseHead, process: servers.ProcessKey) -> None:
    """Name a process that is leaving in the response for another gateway."""
    server_id, started_ms = process
    head.headers.append((DEPARTURE_HEADER, f"{started_ms} {server_id}".encode("latin-1")))


def remove_departure(head: upstream.ResponseHead) -> servers.ProcessKey | None:
    """Remove the process that another gateway has named from a response, and return it."""
    values = [value for name, value in head.headers if name == DEPARTURE_HEADER]
    if not values:
        return None
    head.headers[:] = [pair for pair in head.headers if pair[0] != DEPARTURE_HEADER]
    started_ms, _, server_id = values[0].decode("latin-1").partition(" ")
    return (server_id, int(started_ms)) if started_ms.isdecimal() else None


def may_ask_another(progress: progress_module.Progress) -> bool:
    """Return whether a request that was refused by gateways may be sent to another one."""
    if progress.is_relayed or progress.helper_refusals >= MAX_HELPERS:
        return False
    if progress.helper_search_ends_at is None:
        progress.helper_search_ends_at = clock.now() + MAX_HELPER_SEARCH_S
    return clock.now() < progress.helper_search_ends_at


def same_port_address(bind: str) -> collections.abc.Callable[[members.Member], str]:
    """Return a function that returns a member's host with the port of an address."""
    _, port = peer_connections.split_address(bind)

    def address(member: members.Member) -> str:
        host, _ = peer_connections.split_address(member.peer_address)
        return f"{host}:{port}"

    return address


def relay_limits(limits: routes.Limits, added_body_bytes: int = 0) -> routes.Limits:
    """Return the limits of requests from other gateways, given those of callers.

    Parameters
    ----------
    added_body_bytes : int
        Longest text that the other gateway may have put before a body.
    """
    return dataclasses.replace(
        limits,
        header_bytes=limits.header_bytes + ADDED_HEADER_BYTES,
        body_bytes=limits.body_bytes + added_body_bytes,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class RelayedRequest:
    """A request of another gateway, without what that gateway added.

    Attributes
    ----------
    turn_priority : pacing.TurnPriority
        Priority of the turn, for which that gateway has reserved tokens.
    is_authenticated : bool
        Whether that gateway has checked the key of the request.
    """

    request: ingress.Request
    turn_priority: pacing.TurnPriority
    is_authenticated: bool = False


def decode_relayed(request: ingress.Request) -> RelayedRequest:
    """Separate what another gateway added from a request.

    Raises
    ------
    InvalidRequestError
        If the priority of the turn is malformed.
    """
    priority = pacing.TurnPriority.UNDER_WAY
    is_authenticated = False
    headers: dialect.Headers = []
    for name, value in request.headers:
        if name == AUTHENTICATED_HEADER:
            is_authenticated = True
            continue
        if name != PRIORITY_HEADER:
            headers.append((name, value))
            continue
        try:
            priority = pacing.TurnPriority(int(value))
        except ValueError as error:
            raise dialect.invalid_header(name, value, "a priority") from error
    return RelayedRequest(dataclasses.replace(request, headers=headers), priority, is_authenticated)
