"""The outermost ASGI layer: turns errors into problem documents and counts running requests."""

import anyio
from starlette import exceptions as http_exceptions
from starlette import responses, types

from dogwoodgap import clock, events, exceptions, metrics, views

QUIET_PERIOD_S = 1.0
MAX_QUIET_WAIT_S = 20.0


class ProblemMiddleware:
    """Answers every error with a problem document and counts running requests.

    Replaces the application class of Starlette, whose error middleware raises an unexpected error
    again after it has answered.

    Attributes
    ----------
    running : int
        Number of requests that have not been answered completely.
    last_request_at : float
        Monotonic time in seconds at which the last request began.
    stopping : bool
        Whether each HTTP/1.1 response tells the caller to close the connection.
    """

    def __init__(self, application: types.ASGIApp):
        self.application = application
        self.running = 0
        self.stopping = False
        self.last_request_at = -QUIET_PERIOD_S
        self.changed = anyio.Event()

    async def __call__(self, scope: types.Scope, receive: types.Receive, send: types.Send) -> None:
        """Handle one request."""
        # Starlette's router raises its errors as exceptions only when the scope has an "app".
        scope["app"] = self
        if scope["type"] != "http":
            await self.application(scope, receive, send)
            return
        self.running += 1
        self.last_request_at = clock.now()
        try:
            await self.handle(scope, receive, send)
        finally:
            self.running -= 1
            self.changed.set()
            self.changed = anyio.Event()

    async def handle(self, scope: types.Scope, receive: types.Receive, send: types.Send) -> None:
        """Run the application; an error before the response starts becomes a problem document."""
        started = False

        async def tracked_send(message: types.Message) -> None:
            nonlocal started
            started = True
            if self.stopping and message["type"] == "http.response.start":
                close_connection(scope, message)
            await send(message)

        try:
            await self.application(scope, receive, tracked_send)
        except Exception as error:
            if started:
                log_unexpected_error(scope, error)
                raise
            await error_response(scope, error)(scope, receive, send)

    async def close_connections(self) -> None:
        """Close each connection after its next response.

        The server closes idle connections when it has drained. A request that is sent on one of
        them at that moment gets no response, and its caller cannot tell whether it ran.
        """
        self.stopping = True

    async def wait_idle(self) -> None:
        """Return when no request is running."""
        while self.running:
            await self.changed.wait()

    async def wait_quiet(self) -> None:
        """Return when no request has begun for ``QUIET_PERIOD_S``, or after ``MAX_QUIET_WAIT_S``.

        A caller whose program is on this node may open a new connection for its next request
        although it should have asked for another entry address by then.
        """
        with anyio.move_on_after(MAX_QUIET_WAIT_S):
            while True:
                await self.wait_idle()
                remaining_s = self.last_request_at + QUIET_PERIOD_S - clock.now()
                if remaining_s <= 0:
                    return
                await anyio.sleep(remaining_s)


def close_connection(scope: types.Scope, message: types.Message) -> None:
    """Add the header that closes an HTTP/1.1 connection; HTTP/2 has a frame for this."""
    if scope.get("http_version", "1.1").startswith("1"):
        message["headers"] = [*message.get("headers", []), (b"connection", b"close")]


def error_response(scope: types.Scope, error: Exception) -> responses.Response:
    """Return the response to an error of a handler or of the router."""
    if isinstance(error, exceptions.DogwoodgapError):
        views.count_refusal(error)
        return views.problem_response(error)
    if isinstance(error, http_exceptions.HTTPException):
        return views.problem_response(router_error(scope, error.status_code))
    log_unexpected_error(scope, error)
    return views.problem_response(
        exceptions.DogwoodgapError(
            "the node failed while it handled the request; repeat it with the same seq or key"
        )
    )


def router_error(scope: types.Scope, status: int) -> exceptions.DogwoodgapError:
    """Return the error for an HTTP status that the router raised."""
    if status == 404:
        return exceptions.NotFoundError(
            f"path {scope['path']} does not exist; see GET /openapi.json"
        )
    if status == 405:
        return exceptions.MethodNotAllowedError(
            f"{scope['path']} does not take {scope['method']}; see GET /openapi.json"
        )
    return exceptions.InvalidRequestError(f"the request is malformed ({status}); correct it")


def log_unexpected_error(scope: types.Scope, error: Exception) -> None:
    """Log an unexpected error with its traceback, and count it."""
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
