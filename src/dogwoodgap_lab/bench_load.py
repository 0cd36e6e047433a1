"""Callers of the benchmark, on plain sockets and h11 to use little CPU time.

Times come from ``time.perf_counter``: the event loop's clock under uvloop has a resolution of 1 ms.
"""

import collections.abc
import dataclasses
import time
import typing
import urllib.parse
import uuid

import anyio
import anyio.abc
import h11
import msgspec

from dogwoodgap_lab import bench_fleet

RECEIVE_BYTES = 262_144
ERROR_EXCERPT_BYTES = 600
NODE_TOKEN_MARKER = b"event: token"
ENGINE_TOKEN_MARKER = b'"delta":{"content":"w'
PROMPT = "which crew is free on friday"
TURNS_PER_PROGRAM = 10
"""Limits the history, which grows with each call of a program."""


class BenchCallError(Exception):
    """A call of the benchmark was refused or its answer was incomplete."""


class Connection:
    """An HTTP/1.1 connection to a node or an engine, opened by the first request."""

    def __init__(self, base_url: str):
        self.base_url = base_url
        url = urllib.parse.urlsplit(base_url)
        self.host = typing.cast(str, url.hostname)
        self.port = typing.cast(int, url.port)
        self.stream: anyio.abc.SocketStream | None = None
        self.state = h11.Connection(h11.CLIENT)

    async def send(
        self, method: str, path: str, body: typing.Any = None, *, close: bool = False
    ) -> None:
        """Send a request, after connecting if there is no connection."""
        if self.stream is None:
            self.stream = await anyio.connect_tcp(self.host, self.port)
            self.state = h11.Connection(h11.CLIENT)
        data = b"" if body is None else msgspec.json.encode(body)
        headers = [
            ("Host", f"{self.host}:{self.port}"),
            ("Authorization", f"Bearer {bench_fleet.CALLER_TOKEN}"),
            ("Content-Length", str(len(data))),
        ]
        if close:
            headers.append(("Connection", "close"))
        request_head = self.state.send(h11.Request(method=method, target=path, headers=headers))
        await self.stream.send(request_head + self.state.send(h11.Data(data)))
        self.state.send(h11.EndOfMessage())

    async def receive_body(self) -> bytes:
        """Return the body of the response.

        Raises
        ------
        BenchCallError
            When the status is neither 200 nor 201.
        """
        body = b""
        status = 0
        while True:
            event = self.state.next_event()
            if event is h11.NEED_DATA:
                self.state.receive_data(await self.stream.receive(RECEIVE_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
        self.state.start_next_cycle()
        if status not in (200, 201):
            raise BenchCallError(f"{self.base_url} answered {status}: {body[:200]!r}")
        return body

    async def receive_chunks(self) -> collections.abc.AsyncIterator[bytes]:
        """Yield the received bytes, HTTP framing included, until the peer closes."""
        try:
            while True:
                yield await self.stream.receive(RECEIVE_BYTES)
        except anyio.EndOfStream:
            return

    async def close(self) -> None:
        """Close the connection."""
        if self.stream is not None:
            await self.stream.aclose()
            self.stream = None


@dataclasses.dataclass(slots=True)
class Caller:
    """Makes consecutive calls, directly to an engine or as programs through a node.

    Attributes
    ----------
    seq : int
        Number of the next call of the program; 0 when there is no program.
    """

    base_url: str
    service: str
    direct: bool
    max_tokens: int
    program: str = ""
    seq: int = 0

    async def ensure_program(self, connection: Connection) -> None:
        """Create a program at the node unless the present one has calls left."""
        if self.direct or 0 < self.seq <= TURNS_PER_PROGRAM:
            return
        self.program = uuid.uuid4().hex
        body = {"id": self.program, "service": self.service}
        await connection.send("POST", "/v1/programs", body)
        await connection.receive_body()
        self.seq = 1

    async def end_used_program(self, connection: Connection) -> None:
        """End the program if it has no calls left."""
        if not self.direct and self.seq > TURNS_PER_PROGRAM:
            await connection.send("DELETE", f"/v1/programs/{self.program}")
            await connection.receive_body()

    def request(self, *, stream: bool) -> tuple[str, dict[str, typing.Any]]:
        """Return the path and the body of the next call."""
        message = {"role": "user", "content": f"{PROMPT} {uuid.uuid4().hex[:8]}"}
        body: dict[str, typing.Any] = {"messages": [message], "max_tokens": self.max_tokens}
        if self.direct:
            request_id = uuid.uuid4().hex
            body |= {"model": self.service, "request_id": request_id, "session": request_id}
            return "/v1/chat/completions", body
        body |= {"seq": self.seq, "stream": stream}
        self.seq += 1
        return f"/v1/programs/{self.program}/calls", body

    async def call(self, connection: Connection) -> float:
        """Make a call that is not streamed and return its duration in seconds.

        Raises
        ------
        BenchCallError
            When the call is refused.
        """
        await self.ensure_program(connection)
        path, body = self.request(stream=False)
        started = time.perf_counter()
        await connection.send("POST", path, body)
        await connection.receive_body()
        elapsed_s = time.perf_counter() - started
        await self.end_used_program(connection)
        return elapsed_s

    async def stream(self, on_tokens: collections.abc.Callable[[int], None]) -> float:
        """Make a streamed call and return the seconds until its first token.

        ``on_tokens`` is called with the number of tokens in each received chunk.

        Raises
        ------
        BenchCallError
            When the number of tokens is wrong or the end of the stream is missing.
        """
        connection = Connection(self.base_url)
        await self.ensure_program(connection)
        path, body = self.request(stream=True)
        marker = ENGINE_TOKEN_MARKER if self.direct else NODE_TOKEN_MARKER
        end_marker = b"[DONE]" if self.direct else b"event: done"
        started = time.perf_counter()
        await connection.send("POST", path, body, close=True)
        first_token_s = 0.0
        tokens = 0
        tail = b""
        recent = b""
        ended = False
        async for chunk in connection.receive_chunks():
            # A marker may be split over two chunks.
            data = tail + chunk
            recent = (recent + chunk)[-ERROR_EXCERPT_BYTES:]
            token_count = data.count(marker)
            if token_count and not first_token_s:
                first_token_s = time.perf_counter() - started
            tokens += token_count
            on_tokens(token_count)
            tail = data[max(len(data) - len(marker) + 1, data.rfind(marker) + 1) :]
            ended = ended or end_marker in data
        await connection.close()
        if tokens != self.max_tokens or not ended:
            raise BenchCallError(
                f"{self.base_url} sent {tokens} of {self.max_tokens} tokens: {recent!r}"
            )
        closing_connection = Connection(self.base_url)
        await self.end_used_program(closing_connection)
        await closing_connection.close()
        return first_token_s
