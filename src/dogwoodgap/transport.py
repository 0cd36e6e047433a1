"""Client transport: requests to entry VMs and the list of entry addresses."""

import collections.abc
import dataclasses
import typing

import anyio
import httpx
import msgspec

from dogwoodgap import clock, exceptions, views

PROBLEM_TYPE = "application/problem+json"


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request, which may be sent more than once."""

    method: str
    path: str
    body: typing.Any = None
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    program: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerEvent:
    """One server-sent event."""

    name: str
    data: str


class Entries:
    """Entry addresses in the order in which to try them; they expire after a time to live."""

    def __init__(self, seeds: list[str]):
        self.seeds = [seed.rstrip("/") for seed in seeds]
        self.addresses: list[str] = []
        self.expires_at = -1.0
        self.failed: set[str] = set()

    def is_fresh(self) -> bool:
        """Return whether the last discovered addresses are still valid."""
        return bool(self.addresses) and clock.now() < self.expires_at

    def update(self, view: views.EntriesView) -> None:
        """Replace the addresses by those of a discovery response."""
        self.addresses = [entry.address.rstrip("/") for entry in view.entries]
        self.expires_at = clock.now() + view.ttl_seconds
        self.failed.clear()

    def ordered(self) -> list[str]:
        """Return all addresses; those that failed come last."""
        addresses = list(dict.fromkeys([*self.addresses, *self.seeds]))
        return sorted(addresses, key=lambda address: address in self.failed)

    def mark_failed(self, address: str) -> None:
        """Move an address to the end, and make the list expire."""
        self.failed.add(address)
        self.expires_at = -1.0


class Connection:
    """Sends a request on entry and closes the response on exit.

    Connection failures are raised as :class:`exceptions.NotReadyError`, since the request was
    not sent, and later ones as :class:`exceptions.NotOwnerError`.
    """

    def __init__(self, http: httpx.AsyncClient, address: str, request: httpx.Request):
        self.http = http
        self.address = address
        self.request = request

    async def __aenter__(self) -> httpx.Response:
        """Return the response; its body is not read yet."""
        try:
            self.reply = await self.http.send(self.request, stream=True)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise exceptions.NotReadyError(
                f"cannot connect to entry {self.address}; trying another one"
            ) from error
        except httpx.HTTPError as error:
            raise no_reply_error(self.address, error) from error
        return self.reply

    async def __aexit__(self, *details: object) -> None:
        """Close the response."""
        with anyio.CancelScope(shield=True):
            await self.reply.aclose()


async def read_events(connection: Connection) -> collections.abc.AsyncIterator[ServerEvent]:
    """Yield the server-sent events of a response.

    Raises
    ------
    DogwoodgapError
        The error that the node returned, or NotOwnerError when the stream ended early.
    """
    async with connection as reply:
        try:
            if not reply.is_success:
                raise error_from_reply(reply, await reply.aread())
            name = ""
            async for line in reply.aiter_lines():
                if line.startswith("event: "):
                    name = line.removeprefix("event: ")
                elif line.startswith("data: "):
                    yield ServerEvent(name, line.removeprefix("data: "))
        except httpx.HTTPError as error:
            raise no_reply_error(connection.address, error) from error
    raise exceptions.NotOwnerError(
        f"entry {connection.address} ended the stream early; retrying the call",
        not_run="unknown",
    )


def error_from_reply(reply: httpx.Response, data: bytes) -> exceptions.DogwoodgapError:
    """Return the exception for an unsuccessful response."""
    if reply.headers.get("content-type", "").startswith(PROBLEM_TYPE):
        return exceptions.from_problem(msgspec.json.decode(data, type=exceptions.Problem))
    if reply.status_code >= httpx.codes.INTERNAL_SERVER_ERROR:
        # A node that crashes while it answers may return a bare 5xx status. The request is
        # retried like one without a response.
        return exceptions.NotOwnerError(
            f"entry {reply.request.url.host} failed with status {reply.status_code}; "
            "retrying the request",
            not_run="unknown",
        )
    return exceptions.DogwoodgapError(
        f"{reply.request.url.host} answered {reply.status_code} without a problem document; "
        "check that the address is a dogwoodgap entry"
    )


def no_reply_error(address: str, error: Exception) -> exceptions.NotOwnerError:
    """Return the error for a request that was sent but got no response."""
    return exceptions.NotOwnerError(
        f"entry {address} did not answer ({type(error).__name__}); retrying the request",
        not_run="unknown",
    )
