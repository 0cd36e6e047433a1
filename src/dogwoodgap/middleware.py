"""The outermost ASGI layer: problem documents and the count of running requests."""

import anyio
from starlette import exceptions as http_exceptions
from starlette import responses, types

from dogwoodgap import clock, events, exceptions, metrics, views

QUIET_S = 1.0
MAX_QUIET_WAIT_S = 20.0


class Problems:
    """Answers every error with a problem document and counts running requests.

    Replaces the application class of Starlette, whose error layer raises an unexpected error
    again after it has answered.

    Attributes
    ----------
    running : int
        Requests that have not been answered completely.
    begun_at : float
        Monotonic time at which the last request began.
    stopping : bool
        Whether each HTTP/1.1 answer asks its caller to close the connection.
    """

    def __init__(self, application: types.ASGIApp):
        self.application = application
        self.running = 0
        self.stopping = False
        self.begun_at = -QUIET_S
        self.changed = anyio.Event()

    async def __call__(self, scope: types.Scope, receive: types.Receive, send: types.Send) -> None:
        """Handle one request."""
        # The router raises its own errors only when an application is named.
        scope["app"] = self
        if scope["type"] != "http":
            await self.application(scope, receive, send)
            return
        self.running += 1
        self.begun_at = clock.now()
        try:
            await self.handle(scope, receive, send)
        finally:
            self.running -= 1
            self.changed.set()
            self.changed = anyio.Event()

    async def handle(self, scope: types.Scope, receive: types.Receive, send: types.Send) -> None:
        """Run the application; an error before the first byte becomes a problem document."""
        started = False

        async def note_start(message: types.Message) -> None:
            nonlocal started
            started = True
            if self.stopping and message["type"] == "http.response.start":
                close_connection(scope, message)
            await send(message)

        try:
            await self.application(scope, receive, note_start)
        except Exception as error:
            if started:
                report(scope, error)
                raise
            await answer_error(scope, error)(scope, receive, send)

    async def close_connections(self) -> None:
        """Close each connection after its next answer.

        The server closes idle connections when it has drained. A request that is sent on one of
        them at that moment gets no answer, and its caller cannot tell whether it ran.
        """
        self.stopping = True

    async def wait_idle(self) -> None:
        """Return when no request is running."""
        while self.running:
            await self.changed.wait()

    async def wait_quiet(self) -> None:
        """Return when no request has begun for a while, or when that takes too long.

        A caller whose program is here sends the next request on a connection of its own, also
        when it should have asked for another entry by now.
        """
        with anyio.move_on_after(MAX_QUIET_WAIT_S):
            while True:
                await self.wait_idle()
                rest_s = self.begun_at + QUIET_S - clock.now()
                if rest_s <= 0:
                    return
                await anyio.sleep(rest_s)


def close_connection(scope: types.Scope, message: types.Message) -> None:
    """Add the header that ends an HTTP/1.1 connection; HTTP/2 has a frame for this."""
    if scope.get("http_version", "1.1").startswith("1"):
        message["headers"] = [*message.get("headers", []), (b"connection", b"close")]


def answer_error(scope: types.Scope, error: Exception) -> responses.Response:
    """Return the problem document of an error of a handler or of the router."""
    if isinstance(error, exceptions.DogwoodgapError):
        views.count_refusal(error)
        return views.problem_response(error)
    if isinstance(error, http_exceptions.HTTPException):
        return views.problem_response(router_error(scope, error.status_code))
    report(scope, error)
    return views.problem_response(
        exceptions.DogwoodgapError(
            "the node failed while it handled the request; repeat it with the same seq or key"
        )
    )


def router_error(scope: types.Scope, status: int) -> exceptions.DogwoodgapError:
    """Return the typed error for a path or method that has no route."""
    if status == 404:
        return exceptions.NotFoundError(
            f"path {scope['path']} does not exist; see GET /openapi.json"
        )
    if status == 405:
        return exceptions.MethodNotAllowedError(
            f"{scope['path']} does not take {scope['method']}; see GET /openapi.json"
        )
    return exceptions.InvalidRequestError(f"the request is malformed ({status}); correct it")


def report(scope: types.Scope, error: Exception) -> None:
    """Log an unexpected error."""
    metrics.count("requests.failed")
    number = events.Event.REQUEST_FAILED
    events.logger.error(
        "unexpected error in a request",
        exc_info=error,
        extra={
            "event": int(number),
            "event_name": number.name,
            "method": scope["method"],
            "path": scope["path"],
        },
    )
