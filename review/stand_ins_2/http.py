"""A minimal HTTP/1.1 server and client side on asyncio streams."""

import asyncio
import collections.abc
import contextlib
import dataclasses

HEAD_END = b"\r\n\r\n"
CLOSED = (asyncio.IncompleteReadError, ConnectionError, OSError)


@dataclasses.dataclass(slots=True)
class Message:
    """A request or the head of a response; header names are in lower case."""

    first_line: list[str]
    headers: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a first line and headers."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first, *lines = head.removesuffix("\r\n\r\n").split("\r\n")
    fields = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in fields}
    return Message(first.split(" ", 2), headers)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk; the last one is empty."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body that has a length or comes in chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    parts = []
    while part := await read_chunk(reader):
        parts.append(part)
    return b"".join(parts)


def encode_head(first_line: str, headers: dict[str, str]) -> bytes:
    """Return a first line and headers."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return a response with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    return encode_head(f"HTTP/1.1 {status} X", fields) + body


def encode_chunk(data: bytes) -> bytes:
    """Return one chunk; an empty one ends the body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


Handler = collections.abc.Callable[[Message, asyncio.StreamWriter], collections.abc.Awaitable[None]]


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve requests, one at a time on each connection."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_head(reader)
                request.body = await read_body(reader, request.headers)
                await handler(request, writer)
                await writer.drain()
        except (*CLOSED, asyncio.CancelledError):
            pass
        finally:
            with contextlib.suppress(*CLOSED):
                writer.close()

    return await asyncio.start_server(connected, host, port)
