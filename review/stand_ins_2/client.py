"""A client: sends requests over new connections and reads answers and events."""

import asyncio
import contextlib
import dataclasses

from stand_ins_2 import http

CONNECT_S = 1.0


@dataclasses.dataclass(slots=True)
class Answer:
    """What a client got for one attempt; ``whole`` tells whether the end arrived."""

    attempt: str
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    events: list[str] = dataclasses.field(default_factory=list)
    whole: bool = False

    @property
    def last_id(self) -> int:
        """Return the id of the last event, 0 without one."""
        return int(self.events[-1].split("\n")[0].removeprefix("id: ")) if self.events else 0


async def send(address: str, target: str, headers: dict[str, str], **options) -> Answer:
    """Send one request and read its answer.

    Parameters
    ----------
    address : str
        Gateway, or a proxy before it.
    options : dict
        ``method``, ``body``, and ``deadline_s`` after which the client gives up.
    """
    answer = Answer(headers["Attempt-Id"])
    with contextlib.suppress(TimeoutError, *http.CLOSED):
        async with asyncio.timeout(options.get("deadline_s", 4.0)):
            await exchange(address, target, headers, answer, options)
    return answer


async def exchange(
    address: str, target: str, headers: dict[str, str], answer: Answer, options: dict
) -> None:
    """Send one request and read its answer as far as it comes."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(CONNECT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
    body = options.get("body", b"")
    deadline_ms = round(1000 * options.get("deadline_s", 4.0))
    fields = {
        "Host": options.get("host", "hulls.example"),
        **headers,
        "Deadline-Ms": str(deadline_ms),
        "Content-Length": str(len(body)),
    }
    method = options.get("method", "POST")
    try:
        writer.write(http.encode_head(f"{method} {target} HTTP/1.1", fields) + body)
        head = await http.read_head(reader)
        answer.status, answer.headers = int(head.first_line[1]), head.headers
        if head.headers.get("transfer-encoding") != "chunked":
            answer.body = await http.read_body(reader, head.headers)
        else:
            pending = b""
            while part := await http.read_chunk(reader):
                answer.body += part
                *events, pending = (pending + part).split(b"\n\n")
                answer.events += [event.decode() for event in events]
        answer.whole = True
    finally:
        writer.transport.abort()


class Proxy:
    """Passes connections of clients on to a gateway, and resets some of them on demand."""

    def __init__(self, upstream: str):
        self.upstream = upstream
        self.address = ""
        self.pairs: list[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = []

    async def start(self, address: str) -> None:
        """Listen."""
        self.address = address
        host, _, port = address.rpartition(":")
        await asyncio.start_server(self.connected, host, int(port))

    async def connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass the bytes of one connection on in both directions."""
        host, _, port = self.upstream.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self.pairs.append(pair)

        async def copy(source: asyncio.StreamReader, target: asyncio.StreamWriter) -> None:
            with contextlib.suppress(*http.CLOSED):
                while data := await source.read(65_536):
                    target.write(data)
                    await target.drain()

        tasks = [
            asyncio.ensure_future(copy(reader, far_writer)),
            asyncio.ensure_future(copy(far_reader, writer)),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()
        for end in pair:
            end.transport.abort()
        self.pairs.remove(pair)

    def reset(self, share: float) -> int:
        """Reset a share of the open connections on both sides; return how many."""
        chosen = self.pairs[: round(share * len(self.pairs))]
        for pair in list(chosen):
            for end in pair:
                end.transport.abort()
        return len(chosen)
