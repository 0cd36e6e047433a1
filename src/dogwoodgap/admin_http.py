"""Request handling of the administration API: authorization, If-Match, bodies and replies."""

import collections.abc
import dataclasses
import logging
import re
import typing

import msgspec
from starlette import requests, responses, routing

from dogwoodgap import (
    admin_changes,
    admin_parts,
    bodies,
    events,
    exceptions,
    keys,
    metrics,
    roles,
    validation,
    views,
)

CHANGE_ID_HEADER = "dogwoodgap-change"
CHANGE_ID_PATTERN = re.compile(r"[A-Za-z0-9-]{0,64}")
MAX_COMMENT_CHARACTERS = 200
MAX_BODY_BYTES = 1_000_000
"""The platform stores objects of up to 1 MB."""

Handler = collections.abc.Callable[
    [requests.Request, keys.Identity], collections.abc.Awaitable[responses.Response]
]


@dataclasses.dataclass
class Guard:
    """Runs a handler only for requests with a valid key of a sufficient role.

    Attributes
    ----------
    is_configured : callable
        Returns whether this node has loaded the fleet configuration, which holds the keys.
    roles, descriptions : dict of str to str
        Required role and description of each route, for tests and ``docs/admin.md``.
    """

    configuration: admin_parts.Configuration
    bootstrap_digest: str = ""
    is_configured: collections.abc.Callable[[], bool] = lambda: True
    roles: dict[str, str] = dataclasses.field(default_factory=dict)
    descriptions: dict[str, str] = dataclasses.field(default_factory=dict)

    def route(self, path: str, method: str, role: str, handler: Handler) -> routing.Route:
        """Return a route whose handler runs only for keys with at least ``role``."""

        async def guarded(request: requests.Request) -> responses.Response:
            return await self.handle(request, role, handler)

        self.roles[f"{method} {path}"] = role
        self.descriptions[f"{method} {path}"] = (handler.__doc__ or "").partition("\n")[0]
        route = routing.Route(path, guarded, methods=[method], name=f"{method} {path}")
        # Starlette adds HEAD to GET routes, and a HEAD request would run the whole handler.
        route.methods = {method}
        return route

    async def handle(
        self, request: requests.Request, role: str, handler: Handler
    ) -> responses.Response:
        """Authenticate and authorize a request, run its handler and log errors."""
        metrics.count("admin.requests")
        name = ""
        try:
            identity = self.identify(request)
            name = identity.name
            roles.require_role(identity, role)
            return await handler(request, identity)
        except exceptions.DogwoodgapError as error:
            log_refusal(request, name, error)
            return views.problem_response(error)
        except Exception as error:
            events.emit(
                events.Event.REQUEST_FAILED,
                "administration request failed",
                level=logging.ERROR,
                author=name,
                path=request.url.path,
                error=repr(error),
            )
            return views.problem_response(
                exceptions.DogwoodgapError(
                    "internal error while handling the request; see event 3002 in the node's log"
                )
            )

    def identify(self, request: requests.Request) -> keys.Identity:
        """Return the identity of the key of a request.

        Raises
        ------
        NotReadyError
            Before the configuration is loaded. The initial, empty configuration of a starting
            node has no keys, so that the bootstrap key would be valid.
        """
        if not self.is_configured():
            raise exceptions.NotReadyError(
                "this node has not loaded the fleet configuration yet; use another node or retry"
            )
        header = request.headers.get("authorization", "")
        return roles.identify(header, self.configuration.current, self.bootstrap_digest)


def log_refusal(request: requests.Request, name: str, error: exceptions.DogwoodgapError) -> None:
    """Count a refused request and log it, except reads with a valid key."""
    metrics.count("admin.refused")
    if isinstance(error, exceptions.NotReadyError):
        return
    if not name:
        event = events.Event.ADMIN_UNAUTHORIZED
    elif request.method != "GET":
        event = events.Event.CHANGE_REFUSED
    else:
        return
    events.emit(
        event,
        "administration request refused",
        level=logging.WARNING,
        author=name,
        method=request.method,
        path=request.url.path,
        code=error.code,
        client=request.client.host if request.client else "",
    )


def etag(generation: int) -> str:
    """Return a generation as the value of an ``ETag`` header."""
    return f'"{generation}"'


def change_response(result: admin_parts.ChangeResult, status: int = 200) -> responses.Response:
    """Return the response to a change, with the new generation as ETag."""
    response = views.json_response(result, status)
    response.headers["ETag"] = etag(result.generation)
    return response


def parse_change(request: requests.Request, identity: keys.Identity) -> admin_changes.Change:
    """Parse the headers and query parameters of a change.

    Raises
    ------
    PreconditionRequiredError
        If the request has no ``If-Match`` header.
    InvalidRequestError
        If ``If-Match`` or the change id is malformed.
    """
    change_id = request.headers.get(CHANGE_ID_HEADER, "")
    if not CHANGE_ID_PATTERN.fullmatch(change_id):
        raise exceptions.InvalidRequestError(
            f"the header {CHANGE_ID_HEADER} may have up to 64 letters, digits and hyphens"
        )
    return admin_changes.Change(
        identity=identity,
        expected_generation=parse_if_match(request),
        id=change_id,
        comment=request.query_params.get("note", "")[:MAX_COMMENT_CHARACTERS],
        dry_run=request.query_params.get("dry_run", "") in {"1", "true"},
    )


def parse_if_match(request: requests.Request) -> int:
    """Return the generation named by ``If-Match``."""
    value = request.headers.get("if-match")
    if value is None:
        raise exceptions.PreconditionRequiredError(
            "send the ETag of the configuration that you read as If-Match, for example "
            'If-Match: "12"'
        )
    match = re.fullmatch(r'"(\d{1,15})"', value.strip())
    if match is None:
        raise exceptions.InvalidRequestError(
            f'If-Match is {value[:60]!r}; send one generation in quotes, for example "12"'
        )
    return int(match.group(1))


async def read_body(request: requests.Request) -> bytes:
    """Read a body of up to ``MAX_BODY_BYTES``."""
    return await bodies.read(request, MAX_BODY_BYTES)


async def read_json(request: requests.Request) -> typing.Any:
    """Read and decode a JSON body."""
    try:
        return msgspec.json.decode(await read_body(request))
    except msgspec.DecodeError as error:
        raise exceptions.InvalidRequestError(
            f"the body is not JSON ({error}); correct it"
        ) from error


async def read_model(
    request: requests.Request, model: type[validation.ModelT]
) -> validation.ModelT:
    """Read and validate a body; an empty one gives the model's defaults."""
    return validation.parse_json(model, await read_body(request) or b"{}")


def integer_parameter(request: requests.Request, name: str, default: int, maximum: int) -> int:
    """Return an integer query parameter between 1 and ``maximum``."""
    text = request.query_params.get(name, str(default))
    if not text.isascii() or not text.isdigit() or not 1 <= int(text[:9]) <= maximum:
        raise exceptions.InvalidRequestError(
            f"{name} is {text[:20]!r}; send a number from 1 to {maximum}"
        )
    return int(text[:9])
