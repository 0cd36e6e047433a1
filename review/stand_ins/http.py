"""A minimal HTTP/1.1 reader and writer on asyncio streams."""

import asyncio
import dataclasses

MAX_HEAD_BYTES = 65_536


class ClosedError(Exception):
    """The other side closed or reset the connection."""


@dataclasses.dataclass
class Message:
    """A request or a response; header names are lower-case."""

    first: list[str]
    headers: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a start line and headers."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
        raise ClosedError from error
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read one chunk of a chunked body; empty at its end."""
    try:
        size = int((await reader.readuntil(b"\r\n")).strip() or b"0", 16)
        data = await reader.readexactly(size + 2)
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError) as error:
        raise ClosedError from error
    return data[:size]


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Read the body of a message that has a length or comes in chunks."""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        while chunk := await read_chunk(reader):
            message.body += chunk
        return
    length = int(message.headers.get("content-length", "0"))
    if length:
        try:
            message.body = await reader.readexactly(length)
        except (asyncio.IncompleteReadError, ConnectionError, OSError) as error:
            raise ClosedError from error


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a whole message."""
    message = await read_head(reader)
    await read_body(reader, message)
    return message


def encode(first: str, headers: dict[str, str], body: bytes | None = b"") -> bytes:
    """Encode a message; without a body, the headers have to say how it is framed."""
    fields = dict(headers)
    if body is not None:
        fields["Content-Length"] = str(len(body))
    lines = [first, *(f"{name}: {value}" for name, value in fields.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1") + (body or b"")
