"""Request bodies: bounded in size and time."""

import collections.abc

import anyio
from starlette import requests

from dogwoodgap import clock, exceptions

BODY_TIMEOUT_S = 10.0
"""Time in which the whole body must arrive."""


async def parts(request: requests.Request, limit: int) -> collections.abc.AsyncIterator[bytes]:
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
    if announced.isdecimal() and int(announced) > limit:
        raise too_large(limit)
    deadline = clock.now() + BODY_TIMEOUT_S
    stream = request.stream()
    while True:
        part = await next_part(stream, deadline)
        if part is None:
            return
        size += len(part)
        if size > limit:
            raise too_large(limit)
        if part:
            yield part


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
    async for part in parts(request, limit):
        data += part
    return bytes(data)


def too_large(limit: int) -> exceptions.BodyTooLargeError:
    """Return the error for a body above the limit."""
    return exceptions.BodyTooLargeError(f"the body exceeds {limit} bytes; send less")
