"""Requests of the administration API: keys, conditions, bodies and answers."""

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
    models,
    roles,
    views,
)

CHANGE_HEADER = "dogwoodgap-change"
CHANGE_PATTERN = re.compile(r"[A-Za-z0-9-]{0,64}")
MAX_COMMENT_CHARACTERS = 200
# The platform stores objects of up to 1 MB.
MAX_BODY_BYTES = 1_000_000

Handler = collections.abc.Callable[
    [requests.Request, keys.Identity], collections.abc.Awaitable[responses.Response]
]


@dataclasses.dataclass
class Guard:
    """Lets a request through only with a valid key of a sufficient role.

    Attributes
    ----------
    is_configured : callable
        Whether this node knows the fleet's configuration, and with it the keys.
    roles, meanings : dict of str to str
        Role and purpose of each route, for tests and ``docs/admin.md``.
    """

    configuration: admin_parts.Configuration
    bootstrap_digest: str = ""
    is_configured: collections.abc.Callable[[], bool] = lambda: True
    roles: dict[str, str] = dataclasses.field(default_factory=dict)
    meanings: dict[str, str] = dataclasses.field(default_factory=dict)

    def route(self, path: str, method: str, role: str, handler: Handler) -> routing.Route:
        """Return a route whose handler runs for keys with at least ``role``."""

        async def guarded(request: requests.Request) -> responses.Response:
            return await self.handle(request, role, handler)

        self.roles[f"{method} {path}"] = role
        self.meanings[f"{method} {path}"] = (handler.__doc__ or "").partition("\n")[0]
        route = routing.Route(path, guarded, methods=[method], name=f"{method} {path}")
        # Starlette adds HEAD to GET routes; a HEAD request would run the whole handler.
        route.methods = {method}
        return route

    async def handle(
        self, request: requests.Request, role: str, handler: Handler
    ) -> responses.Response:
        """Authenticate, authorize, run the handler and report refusals."""
        metrics.count("admin.requests")
        name = ""
        try:
            identity = self.identify(request)
            name = identity.name
            roles.require(identity, role)
            return await handler(request, identity)
        except exceptions.DogwoodgapError as error:
            report(request, name, error)
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
                    "the node failed on this request; see event 3002 in its log"
                )
            )

    def identify(self, request: requests.Request) -> keys.Identity:
        """Return the operator who sends a request.

        Raises
        ------
        NotReadyError
            Before the configuration is known: the empty one of a starting node has no keys, and
            would let the bootstrap key in.
        """
        if not self.is_configured():
            raise exceptions.NotReadyError(
                "this node does not know the fleet's configuration yet; use another node or repeat"
            )
        header = request.headers.get("authorization", "")
        return roles.identify(header, self.configuration.current, self.bootstrap_digest)


def report(request: requests.Request, name: str, error: exceptions.DogwoodgapError) -> None:
    """Count and log a refusal; refused reads with a valid key are not logged."""
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
    """Return the entity tag of a generation."""
    return f'"{generation}"'


def outcome(result: admin_parts.Outcome, status: int = 200) -> responses.Response:
    """Return the answer to a change with the new entity tag."""
    response = views.json_response(result, status)
    response.headers["ETag"] = etag(result.generation)
    return response


def change_of(request: requests.Request, identity: keys.Identity) -> admin_changes.Change:
    """Return the conditions of a change.

    Raises
    ------
    PreconditionRequiredError
        Without ``If-Match``.
    """
    change = request.headers.get(CHANGE_HEADER, "")
    if not CHANGE_PATTERN.fullmatch(change):
        raise exceptions.InvalidRequestError(
            f"the header {CHANGE_HEADER} takes up to 64 letters, digits and hyphens"
        )
    return admin_changes.Change(
        identity=identity,
        expected=expected_generation(request),
        id=change,
        comment=request.query_params.get("note", "")[:MAX_COMMENT_CHARACTERS],
        dry_run=request.query_params.get("dry_run", "") in {"1", "true"},
    )


def expected_generation(request: requests.Request) -> int:
    """Return the generation named by ``If-Match``."""
    value = request.headers.get("if-match")
    if value is None:
        raise exceptions.PreconditionRequiredError(
            "send the ETag of the configuration that you changed as If-Match, for example "
            'If-Match: "12"'
        )
    match = re.fullmatch(r'"(\d{1,15})"', value.strip())
    if match is None:
        raise exceptions.InvalidRequestError(
            f'If-Match is {value[:60]!r}; send one generation in quotes, for example "12"'
        )
    return int(match.group(1))


async def read(request: requests.Request) -> bytes:
    """Read a body of limited size; objects of the platform hold no more."""
    return await bodies.read(request, MAX_BODY_BYTES)


async def read_json(request: requests.Request) -> typing.Any:
    """Read a JSON body."""
    try:
        return msgspec.json.decode(await read(request))
    except msgspec.DecodeError as error:
        raise exceptions.InvalidRequestError(
            f"the body is not JSON ({error}); correct it"
        ) from error


async def read_model(request: requests.Request, model: type[models.M]) -> models.M:
    """Read and validate a body; an empty one stands for all defaults."""
    return models.parse(model, await read(request) or b"{}")


def number(request: requests.Request, name: str, default: int, highest: int) -> int:
    """Return a query parameter between 1 and ``highest``."""
    text = request.query_params.get(name, str(default))
    if not text.isascii() or not text.isdigit() or not 1 <= int(text[:9]) <= highest:
        raise exceptions.InvalidRequestError(
            f"{name} is {text[:20]!r}; send a number from 1 to {highest}"
        )
    return int(text[:9])
