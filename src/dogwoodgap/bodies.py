"""Request bodies: bounded in size and time."""

import collections.abc
import contextlib

import anyio
from starlette import requests

from dogwoodgap import clock, exceptions

BODY_TIMEOUT_S = 10.0
"""Time in which the whole body must arrive."""


DRAINED_BYTES = 64 * 1024 * 1024
"""A refused body is read on up to this size. Closing a connection with unread bytes resets it, and
the sender of a 10 MB body lost the answer that way."""


async def chunks(request: requests.Request, limit: int) -> collections.abc.AsyncIterator[bytes]:
    """Yield the pieces of a body.

    Raises
    ------
    BodyTooLargeError
        When the body exceeds ``limit`` bytes.
    SlowSenderError
        When it does not arrive in time, or the sender left.
    """
    announced = request.headers.get("content-length", "0")
    size = 0
    deadline = clock.now() + BODY_TIMEOUT_S
    stream = request.stream()
    if announced.isdecimal() and int(announced) > limit:
        await drain(stream, deadline)
        raise too_large(limit)
    while True:
        part = await next_part(stream, deadline)
        if part is None:
            return
        size += len(part)
        if size > limit:
            await drain(stream, deadline)
            raise too_large(limit)
        if part:
            yield part


async def drain(stream: collections.abc.AsyncIterator[bytes], deadline: float) -> None:
    """Read the rest of a refused body and forget it, within limits of size and time."""
    left = DRAINED_BYTES
    with contextlib.suppress(exceptions.SlowSenderError):
        while left > 0 and (part := await next_part(stream, deadline)) is not None:
            left -= len(part)


async def next_part(stream: collections.abc.AsyncIterator[bytes], deadline: float) -> bytes | None:
    """Return the next piece, or None at the end."""
    try:
        with anyio.CancelScope(deadline=deadline) as scope:
            return await anext(stream, None)
    except requests.ClientDisconnect as error:
        raise exceptions.SlowSenderError("the sender left before its body was whole") from error
    assert scope.cancelled_caught
    raise exceptions.SlowSenderError(
        f"the body did not arrive within {BODY_TIMEOUT_S:g} s; send it at once"
    )


async def read(request: requests.Request, limit: int) -> bytes:
    """Return the whole body."""
    data = bytearray()
    async for part in chunks(request, limit):
        data += part
    return bytes(data)


def too_large(limit: int) -> exceptions.BodyTooLargeError:
    """Return the error for a body above the limit."""
    return exceptions.BodyTooLargeError(f"the body exceeds {limit} bytes; send less")
