"""A stand-in for backend servers behind a gateway: plain answers and streams, with faults."""

import anyio
import anyio.abc

from dogwoodgap import dialect, ingress

TOKEN_S = 0.01
STREAM_EVENTS = 8


class RoutedServer:
    """Answers forwarded requests and counts them.

    Parameters
    ----------
    server_id : str
        Refuses requests that expect another server.
    break_after : int
        Events after which the first stream breaks off; 0 for never.
    """

    def __init__(self, server_id: str, break_after: int = 0):
        self.id = server_id
        self.break_after = break_after
        self.names = dialect.HeaderNames()
        self.runs: list[str] = []

    async def handle(self, request: ingress.Request, responder: ingress.Responder) -> None:
        """Answer one request."""
        first = dict(request.headers)
        attempt = first.get(self.names.attempt_id, b"")
        headers = [(self.names.attempt_id, attempt), (self.names.signature, self.id.encode())]
        if first.get(self.names.expected_server) != self.id.encode():
            await responder.send(421, [*headers, (self.names.not_run, b"1")])
            return
        self.runs.append(attempt.decode("latin-1"))
        if request.target.startswith(b"/advice/"):
            await self.stream(first, headers, responder)
            return
        await anyio.sleep(TOKEN_S)
        await responder.send(200, headers, b"done")

    async def stream(
        self,
        first: dict[bytes, bytes],
        headers: dialect.Headers,
        responder: ingress.Responder,
    ) -> None:
        """Stream events after the last one that the caller has."""
        start = int(first.get(self.names.last_event_id, b"0"))
        await responder.start(200, [*headers, (b"transfer-encoding", b"chunked")])
        for number in range(start + 1, STREAM_EVENTS + 1):
            await anyio.sleep(TOKEN_S)
            await responder.send_data(f"id: {number}\ndata: token\n\n".encode())
            if number == self.break_after:
                self.break_after = 0
                raise ingress.CallerDisconnectedError
        await responder.finish()
