"""Forwarding of callers' requests to the node that owns their shard."""

import collections.abc
import typing

import anyio
import httpx
import msgspec
from starlette import requests, responses

from dogwoodgap import clock, exceptions, intents, shards, structures

HOPS_HEADER = "Dogwoodgap-Hops"
MAX_HOPS = 3
CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 15.0
"""Read timeout of a forwarded request, in addition to the request's deadline."""

RETRY_DELAY_S = 0.1
LOAD_TIMEOUT_S = 3.0
"""How long a request waits for a shard that this node has acquired and is still loading."""

LOAD_POLL_INTERVAL_S = 0.02
HOP_DELAY_S = 0.2
"""Delay before a second hop: two nodes disagree until both have the newest assignment."""

PROBLEM_TYPE = "application/problem+json"

REQUEST_HEADERS = (
    "authorization",
    "content-type",
    "idempotency-key",
    "dogwoodgap-program",
    "traceparent",
)
REPLY_HEADERS = ("content-type", "retry-after", "dogwoodgap-program")


class Owner(typing.NamedTuple):
    """The boot of a node that owns a shard."""

    node: str
    boot: str


class Ownership(typing.Protocol):
    """Maps shards to the nodes that own them."""

    def owns(self, shard: int) -> bool:
        """Return whether this node owns a shard and has loaded it."""

    def owner(self, shard: int) -> Owner | None:
        """Return the owner of a shard, or None when it is not known."""


class SingleNode:
    """Ownership of a node that owns every shard."""

    def __init__(self, node: str, boot: str):
        self.self_owner = Owner(node, boot)

    def owns(self, shard: int) -> bool:
        """Return that this node owns the shard."""
        return True

    def owner(self, shard: int) -> Owner | None:
        """Return this node."""
        return self.self_owner


class Forwarder:
    """Forwards requests to the owner of their shard.

    Parameters
    ----------
    ownership : Ownership
        Maps shards to the nodes that own them.
    address : callable
        Returns the base URL of a node's callers' interface, or an empty string.
    client : httpx.AsyncClient
        For connections between nodes.
    name : str
        Name of this node.
    """

    def __init__(
        self,
        ownership: Ownership,
        address: collections.abc.Callable[[str], str],
        client: httpx.AsyncClient,
        name: str = "",
    ):
        self.name = name
        self.ownership = ownership
        self.address = address
        self.client = client

    def owner_address(self, shard: int) -> str:
        """Return the address of the owner of a shard.

        Raises
        ------
        NotOwnerError
            If the owner or its address is not known.
        """
        owner = self.ownership.owner(shard)
        address = self.address(owner.node) if owner is not None else ""
        if not address:
            raise exceptions.NotOwnerError(
                "the owner of the shard is not known yet; ask GET /v1/entries and repeat"
            )
        return address

    async def serves(self, shard: int) -> bool:
        """Return whether this node serves a shard, waiting while it loads an acquired one.

        Raises
        ------
        NotOwnerError
            If the load takes too long; nothing was run.
        """
        give_up_at = clock.now() + LOAD_TIMEOUT_S
        while not self.ownership.owns(shard):
            owner = self.ownership.owner(shard)
            if owner is None or owner.node != self.name:
                return False
            if clock.now() >= give_up_at:
                raise exceptions.NotOwnerError(
                    "this node is still loading the shard; repeat the request"
                )
            await anyio.sleep(LOAD_POLL_INTERVAL_S)
        return True

    async def forward(
        self,
        request: requests.Request,
        shard: int,
        body: collections.abc.AsyncIterator[bytes] | bytes,
        deadline_s: float,
    ) -> responses.Response:
        """Forward a request and stream the reply, which may be a problem document.

        Raises
        ------
        HopLimitError, NotOwnerError
            If the request cannot reach the owner.
        """
        hops = hops_of(request) + 1
        if hops > MAX_HOPS:
            raise exceptions.HopLimitError(
                "nodes disagree on the owner of the shard; repeat the request"
            )
        if hops > 1:
            await anyio.sleep(HOP_DELAY_S)
        headers = {
            name: request.headers[name] for name in REQUEST_HEADERS if name in request.headers
        }
        headers[HOPS_HEADER] = str(hops)
        outgoing = self.client.build_request(
            request.method,
            f"{self.owner_address(shard)}{request.url.path}",
            params=request.query_params,
            content=body,
            headers=headers,
            timeout=httpx.Timeout(deadline_s + READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
        )
        reply = await self.send(outgoing)
        return responses.StreamingResponse(
            relay(reply),
            reply.status_code,
            {name: reply.headers[name] for name in REPLY_HEADERS if name in reply.headers},
        )

    async def send(self, outgoing: httpx.Request) -> httpx.Response:
        """Send a request to the owner and map failures to typed errors."""
        try:
            return await self.client.send(outgoing, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise exceptions.NotOwnerError(
                "the owner of the shard cannot be reached; ask GET /v1/entries and repeat"
            ) from error
        except httpx.HTTPError as error:
            raise owner_lost_error(error) from error

    async def run_at_key_owner(
        self,
        action: intents.Action,
        authorization: str,
        run_locally: collections.abc.Callable[
            [intents.Action], collections.abc.Awaitable[structures.ActionResult]
        ],
    ) -> structures.ActionResult:
        """Run an action at the owner of its key, retrying with the same key until the deadline.

        Raises
        ------
        DogwoodgapError
            The owner's refusal, or the last failure to reach it.
        """
        shard = shards.key_shard(action.customer, action.key)
        may_have_run = False
        while True:
            try:
                if await self.serves(shard):
                    return await run_locally(action)
                return await self.remote_action(shard, action, authorization)
            except (exceptions.NotOwnerError, exceptions.NotReadyError) as error:
                may_have_run = may_have_run or error.not_run != "true"
                last_error = error
            if action.remaining_s() <= RETRY_DELAY_S:
                if may_have_run:
                    raise intents.unknown_outcome_error(action.service) from last_error
                raise last_error
            await anyio.sleep(RETRY_DELAY_S)

    async def remote_action(
        self, shard: int, action: intents.Action, authorization: str
    ) -> structures.ActionResult:
        """Send an action to the owner of its key over HTTP."""
        headers = {
            "Authorization": authorization,
            "Content-Type": "application/json",
            "Idempotency-Key": action.key,
            HOPS_HEADER: "1",
        }
        if action.trace:
            headers["traceparent"] = action.trace
        remaining = max(0.0, action.remaining_s())
        outgoing = self.client.build_request(
            "POST",
            f"{self.owner_address(shard)}/v1/actions/{action.service}/{action.path}",
            content=msgspec.json.encode({"payload": action.payload, "deadline_seconds": remaining}),
            headers=headers,
            timeout=httpx.Timeout(remaining + CONNECT_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
        )
        reply = await self.send(outgoing)
        try:
            data = await reply.aread()
        except httpx.HTTPError as error:
            raise owner_lost_error(error) from error
        finally:
            await reply.aclose()
        return decode_result(reply, data)


def decode_result(reply: httpx.Response, data: bytes) -> structures.ActionResult:
    """Decode a node's reply; raises the error that a problem document describes."""
    try:
        if reply.status_code == httpx.codes.OK:
            return msgspec.json.decode(data, type=structures.ActionResult)
        problem = msgspec.json.decode(data, type=exceptions.Problem)
    except msgspec.DecodeError as error:
        raise owner_lost_error(error) from error
    raise exceptions.from_problem(problem)


def hops_of(request: requests.Request) -> int:
    """Return how often a request has been forwarded."""
    value = request.headers.get(HOPS_HEADER, "0")
    if not value.isdecimal():
        raise exceptions.InvalidRequestError(
            f"header {HOPS_HEADER} is {value!r}; leave it out, nodes set it themselves"
        )
    return int(value)


def owner_lost_error(error: Exception) -> exceptions.NotOwnerError:
    """Return the error for an owner that failed after the request was sent."""
    return exceptions.NotOwnerError(
        f"the owner of the shard did not answer ({type(error).__name__}); "
        "repeat the request with the same seq or key",
        not_run="unknown",
    )


async def relay(reply: httpx.Response) -> collections.abc.AsyncIterator[bytes]:
    """Yield the bytes of a reply; an event stream that breaks ends with an error event."""
    is_event_stream = reply.headers.get("content-type", "").startswith("text/event-stream")
    try:
        async for data in reply.aiter_raw():
            yield data
    except httpx.HTTPError as error:
        if not is_event_stream:
            raise
        problem = msgspec.json.encode(exceptions.problem(owner_lost_error(error)))
        yield b"\n\nevent: error\ndata: " + problem + b"\n\n"
    finally:
        with anyio.CancelScope(shield=True):
            await reply.aclose()
