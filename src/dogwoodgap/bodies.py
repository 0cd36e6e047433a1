"""Reading of request bodies, with limits on size and time."""

import collections.abc
import contextlib

import anyio
from starlette import requests

from dogwoodgap import clock, exceptions

BODY_TIMEOUT_S = 10.0
"""Time limit for receiving the whole body."""


MAX_DRAIN_BYTES = 64 * 1024 * 1024
"""How much of a refused body is still read and discarded. Closing a connection with unread bytes
resets it, and the sender of a 10 MB body lost the response that way."""


async def chunks(request: requests.Request, limit: int) -> collections.abc.AsyncIterator[bytes]:
    """Yield a body in chunks.

    Raises
    ------
    BodyTooLargeError
        If the body exceeds ``limit`` bytes.
    SlowSenderError
        If the body does not arrive in time, or the sender disconnects.
    """
    declared = request.headers.get("content-length", "0")
    size = 0
    deadline = clock.now() + BODY_TIMEOUT_S
    stream = request.stream()
    if declared.isdecimal() and int(declared) > limit:
        await drain(stream, deadline)
        raise too_large_error(limit)
    while True:
        chunk = await next_chunk(stream, deadline)
        if chunk is None:
            return
        size += len(chunk)
        if size > limit:
            await drain(stream, deadline)
            raise too_large_error(limit)
        if chunk:
            yield chunk


async def drain(stream: collections.abc.AsyncIterator[bytes], deadline: float) -> None:
    """Read and discard the rest of a refused body, within limits of size and time."""
    remaining = MAX_DRAIN_BYTES
    with contextlib.suppress(exceptions.SlowSenderError):
        while remaining > 0 and (chunk := await next_chunk(stream, deadline)) is not None:
            remaining -= len(chunk)


async def next_chunk(stream: collections.abc.AsyncIterator[bytes], deadline: float) -> bytes | None:
    """Return the next chunk, or None at the end.

    Raises
    ------
    SlowSenderError
        If the deadline passes, or the sender disconnects.
    """
    try:
        with anyio.CancelScope(deadline=deadline) as scope:
            return await anext(stream, None)
    except requests.ClientDisconnect as error:
        raise exceptions.SlowSenderError(
            "the sender disconnected before its body was complete"
        ) from error
    assert scope.cancelled_caught
    raise exceptions.SlowSenderError(
        f"the body did not arrive within {BODY_TIMEOUT_S:g} s; send it without pauses"
    )


async def read(request: requests.Request, limit: int) -> bytes:
    """Return the whole body."""
    data = bytearray()
    async for chunk in chunks(request, limit):
        data += chunk
    return bytes(data)


def too_large_error(limit: int) -> exceptions.BodyTooLargeError:
    """Return the error for a body above the limit."""
    return exceptions.BodyTooLargeError(f"the body exceeds {limit} bytes; send less")
