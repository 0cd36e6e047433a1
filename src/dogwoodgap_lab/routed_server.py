"""A fake backend server behind a gateway, with plain and streamed responses."""

import anyio
import anyio.abc

from dogwoodgap import dialect, ingress

TOKEN_INTERVAL_S = 0.01
STREAM_EVENTS = 8


class FakeBackendServer:
    """Answers forwarded requests and records their attempt ids.

    Parameters
    ----------
    server_id : str
        Id of this server. Requests that expect another server are refused with 421.
    break_after_events : int
        Number of the event after which one stream breaks off; 0 means never.
    """

    def __init__(self, server_id: str, break_after_events: int = 0):
        self.id = server_id
        self.break_after_events = break_after_events
        self.names = dialect.HeaderNames()
        self.executed_attempts: list[str] = []

    async def handle(self, request: ingress.Request, responder: ingress.Responder) -> None:
        """Handle a request: stream below ``/advice/``, answer in one piece elsewhere."""
        request_headers = dict(request.headers)
        attempt = request_headers.get(self.names.attempt_id, b"")
        headers = [(self.names.attempt_id, attempt), (self.names.signature, self.id.encode())]
        if request_headers.get(self.names.expected_server) != self.id.encode():
            await responder.send(421, [*headers, (self.names.not_run, b"1")])
            return
        self.executed_attempts.append(attempt.decode("latin-1"))
        if request.target.startswith(b"/advice/"):
            await self.stream(request_headers, headers, responder)
            return
        await anyio.sleep(TOKEN_INTERVAL_S)
        await responder.send(200, headers, b"done")

    async def stream(
        self,
        request_headers: dict[bytes, bytes],
        headers: dialect.Headers,
        responder: ingress.Responder,
    ) -> None:
        """Stream the events after ``last_event_id``."""
        start = int(request_headers.get(self.names.last_event_id, b"0"))
        await responder.start(200, [*headers, (b"transfer-encoding", b"chunked")])
        for number in range(start + 1, STREAM_EVENTS + 1):
            await anyio.sleep(TOKEN_INTERVAL_S)
            await responder.send_data(f"id: {number}\ndata: token\n\n".encode())
            if number == self.break_after_events:
                self.break_after_events = 0
                raise ingress.CallerDisconnectedError
        await responder.finish()
