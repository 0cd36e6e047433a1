"""Frames between nodes: a 4-byte length, then a message in the thrift compact protocol."""

import dataclasses
import struct
import typing

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from dogwoodgap import exceptions
from dogwoodgap_wire import ttypes

MAX_FRAME_BYTES = 8 * 1024 * 1024
"""Twice the largest input of a turn (4 MB), so that a retained turn with its output fits in one
frame; a whole configuration takes up to 1 MB."""

PROTOCOL_VERSION = 1
LENGTH_PREFIX = struct.Struct(">I")

PROTOCOL_FACTORY = TCompactProtocol.TCompactProtocolAcceleratedFactory(
    string_length_limit=MAX_FRAME_BYTES, container_length_limit=65_536
)

UNION_FIELDS: dict[type, str] = {
    entry[3][0]: entry[2] for entry in ttypes.Message.thrift_spec if entry is not None
}
"""Field in the union ``Message`` by message class."""


@dataclasses.dataclass(frozen=True, slots=True)
class Frame:
    """One decoded envelope."""

    request_id: int
    reply: bool
    message: typing.Any


def encode(request_id: int, message: typing.Any, *, reply: bool = False) -> bytes:
    """Return a message as one frame, including its length prefix.

    Raises
    ------
    FrameMalformedError
        When the message exceeds ``MAX_FRAME_BYTES``.
    """
    union = ttypes.Message(**{UNION_FIELDS[type(message)]: message})
    envelope = ttypes.Envelope(request_id=request_id, reply=reply, message=union)
    buffer = TTransport.TMemoryBuffer()
    envelope.write(PROTOCOL_FACTORY.getProtocol(buffer))
    body = buffer.getvalue()
    if len(body) > MAX_FRAME_BYTES:
        raise exceptions.FrameMalformedError(
            f"a message of {len(body)} bytes exceeds the limit of {MAX_FRAME_BYTES}; send less",
            not_run="true",
        )
    return LENGTH_PREFIX.pack(len(body)) + body


def decode(body: bytes) -> Frame:
    """Decode one frame body (the frame without its length prefix).

    Raises
    ------
    FrameMalformedError
        When the bytes are not an envelope with exactly one known message.
    """
    envelope = ttypes.Envelope()
    buffer = TTransport.TMemoryBuffer(body)
    try:
        envelope.read(PROTOCOL_FACTORY.getProtocol(buffer))
    except Exception as error:  # the accelerated decoder raises many unrelated types
        raise exceptions.FrameMalformedError(
            f"the frame cannot be decoded ({type(error).__name__}); check the sender's version"
        ) from error
    present = [
        value
        for name in UNION_FIELDS.values()
        if (value := getattr(envelope.message, name, None)) is not None
    ]
    if len(present) != 1 or envelope.request_id is None:
        raise exceptions.FrameMalformedError(
            f"the envelope has {len(present)} known messages, not one; check the sender's version"
        )
    return Frame(envelope.request_id, bool(envelope.reply), present[0])


class FrameBuffer:
    """Splits a stream of received bytes into frames.

    Parameters
    ----------
    max_bytes : int
        Largest frame.
    """

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        self.data = bytearray()
        self.max_bytes = max_bytes

    def feed(self, data: bytes) -> None:
        """Append received bytes."""
        self.data += data

    def awaits_more_than(self, size: int) -> bool:
        """Return whether the next frame is incomplete and longer than a size in bytes."""
        if len(self.data) < LENGTH_PREFIX.size:
            return False
        (length,) = LENGTH_PREFIX.unpack_from(self.data)
        return length > size and len(self.data) < LENGTH_PREFIX.size + length

    def next_frame(self) -> Frame | None:
        """Return the next complete frame, or None when more bytes are needed.

        Raises
        ------
        FrameMalformedError
            When the frame is too long or cannot be decoded.
        """
        if len(self.data) < LENGTH_PREFIX.size:
            return None
        (length,) = LENGTH_PREFIX.unpack_from(self.data)
        if length > self.max_bytes:
            raise exceptions.FrameMalformedError(
                f"a frame announces {length} bytes, the limit is {self.max_bytes}; "
                "check what connects to the peer port"
            )
        end = LENGTH_PREFIX.size + length
        if len(self.data) < end:
            return None
        body = bytes(self.data[LENGTH_PREFIX.size : end])
        del self.data[:end]
        return decode(body)
