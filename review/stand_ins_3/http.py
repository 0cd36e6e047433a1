"""A small HTTP/1.1 server and client on asyncio streams, for stand-ins."""

import asyncio
import collections.abc
import dataclasses

MAX_LINE_BYTES = 65_536


@dataclasses.dataclass
class Message:
    """A request or a response.

    Attributes
    ----------
    start : list of str
        The three parts of the first line.
    is_whole : bool
        Whether the end of the body was received.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""
    is_whole: bool = False

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read a first line and headers; None at the end of the connection."""
    try:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            return None
        message = Message(line.decode("latin-1").rstrip("\r\n").split(" ", 2), {})
        while (line := await reader.readline()) not in (b"\r\n", b"\n"):
            if not line.endswith(b"\n"):
                return None
            name, _, value = line.decode("latin-1").partition(":")
            message.headers[name.strip().lower()] = value.strip()
    except (ConnectionError, ValueError):
        return None
    return message


async def read_parts(
    reader: asyncio.StreamReader, message: Message, *, ends_with_connection: bool = False
) -> collections.abc.AsyncIterator[bytes]:
    """Yield the parts of a body, and mark the message as whole at its end."""
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                yield await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        elif "content-length" in message.headers:
            yield await reader.readexactly(int(message.headers["content-length"]))
        elif ends_with_connection:
            while data := await reader.read(MAX_LINE_BYTES):
                yield data
        message.is_whole = True
    except (ConnectionError, asyncio.IncompleteReadError, ValueError):
        return


async def read_body(
    reader: asyncio.StreamReader, message: Message, *, ends_with_connection: bool = False
) -> None:
    """Read the whole body of a message."""
    parts = read_parts(reader, message, ends_with_connection=ends_with_connection)
    message.body = b"".join([part async for part in parts])


def head(first_line: str, headers: dict[str, str]) -> bytes:
    """Encode a first line and headers."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Message | None:
    """Send a request on a new connection and return the response; None without a head."""
    host, _, port = address.rpartition(":")
    writer = None
    message = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {"Host": address, **headers, "Content-Length": str(len(body))}
            writer.write(head(f"{method} {target} HTTP/1.1", fields) + body)
            message = await read_head(reader)
            if message is not None:
                await read_body(reader, message, ends_with_connection=True)
    except (OSError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    return message


Handler = collections.abc.Callable[
    [Message, asyncio.StreamReader, asyncio.StreamWriter], collections.abc.Awaitable[bool]
]


async def serve(address: str, handler: Handler) -> asyncio.Server:
    """Serve requests; the handler returns whether the connection stays open."""

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_head(reader)) is not None:
                await read_body(reader, request)
                if not request.is_whole or not await handler(request, reader, writer):
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass  # the caller has left, or the stand-in ends
        finally:
            writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(serve_connection, host, int(port), limit=MAX_LINE_BYTES * 8)
