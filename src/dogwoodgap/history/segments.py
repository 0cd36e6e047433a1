"""Format of the files of the log of turns: records with checksums, and what a restart reads.

A segment is a header, then records. Its header names the previous segment and how many of that
segment's bytes are valid, so a later start knows where the acknowledged records end: records behind
that were never acknowledged, and a damaged record before it is a fault of the disk.
"""

import collections.abc
import dataclasses
import struct

import msgspec
import xxhash

from dogwoodgap_wire import ttypes

PREFIX = "turns-"
SUFFIX = ".log"
HEADER = struct.Struct("<8sQQQ")
"""Magic bytes, the segment's number, that of the previous one, and the valid bytes of that."""

MAGIC = b"DGTURNS1"
FRAME = struct.Struct("<IQ")
"""Length of a record and its checksum, which is seeded with the segment's number: a block that a
file system took from another file does not pass for a record."""

FIELDS = struct.Struct("<BQH")
"""Kind, time of expiry in Unix ms, and length of the id that follows; then the body."""


TURN = 1
EXTENSION = 2
"""Kinds of records: a turn, and a later time of expiry of one that was stored before. They are
plain integers, since a restart compares 130,000 of them."""


class Body(msgspec.Struct, array_like=True):
    """The fields of a turn that are only read to return it."""

    customer: str
    ancestors: list[str]
    input: bytes
    output: bytes
    ended_ms: int
    program: str = ""


@dataclasses.dataclass(slots=True)
class Entry:
    """One record of a segment; not frozen, which would take a start twice as long.

    Attributes
    ----------
    offset, length : int
        Where its body is in the segment.
    """

    kind: int
    turn: str
    expires_ms: int
    offset: int
    length: int


@dataclasses.dataclass(slots=True)
class Scan:
    """What a segment contains.

    Attributes
    ----------
    is_sound : bool
        Whether the header is undamaged; otherwise nothing in the segment is valid.
    valid_bytes : int
        Where the first damaged record begins, or the end of the segment.
    size : int
        Size of the file.
    previous, previous_valid_bytes : int
        What its header tells of the previous segment; 0 without one.
    """

    number: int
    is_sound: bool
    entries: list[Entry]
    valid_bytes: int
    size: int
    previous: int = 0
    previous_valid_bytes: int = 0


def file_name(number: int) -> str:
    """Return the name of a segment's file; names sort by number."""
    return f"{PREFIX}{number:020d}{SUFFIX}"


def number_of(name: str) -> int | None:
    """Return the number of a segment by its file name, or None for another file."""
    digits = name.removeprefix(PREFIX).removesuffix(SUFFIX)
    is_segment = name.startswith(PREFIX) and name.endswith(SUFFIX)
    return int(digits) if is_segment and digits.isascii() and digits.isdecimal() else None


def encode_header(number: int, previous: int, previous_valid_bytes: int) -> bytes:
    """Return the header of a segment with its checksum."""
    header = HEADER.pack(MAGIC, number, previous, previous_valid_bytes)
    return header + FRAME.pack(0, xxhash.xxh3_64_intdigest(header))


HEADER_BYTES = HEADER.size + FRAME.size


def encode_record(number: int, kind: int, turn: str, expires_ms: int, body: bytes) -> bytes:
    """Return a record of a segment."""
    name = turn.encode()
    content = FIELDS.pack(kind, expires_ms, len(name)) + name + body
    return FRAME.pack(len(content), xxhash.xxh3_64_intdigest(content, seed=number)) + content


def body_offset(turn: str) -> int:
    """Return where the body begins in a record."""
    return FRAME.size + FIELDS.size + len(turn.encode())


def encode_body(turn: ttypes.TurnRecord) -> bytes:
    """Return the body of a turn."""
    body = Body(
        turn.customer or "",
        turn.ancestors or [],
        turn.input or b"",
        turn.output or b"",
        turn.ended_ms or 0,
        turn.program or "",
    )
    return msgspec.msgpack.encode(body)


def decode_turn(turn: str, expires_ms: int, body: bytes) -> ttypes.TurnRecord:
    """Return a turn from its body; raises ``msgspec.DecodeError`` if it is damaged."""
    decoded = msgspec.msgpack.decode(body, type=Body)
    return ttypes.TurnRecord(
        id=turn,
        customer=decoded.customer,
        ancestors=decoded.ancestors,
        input=decoded.input,
        output=decoded.output,
        ended_ms=decoded.ended_ms,
        expires_ms=expires_ms,
        program=decoded.program,
    )


def scan(data: bytes, number: int) -> Scan:
    """Read a segment up to its first damaged record."""
    if len(data) < HEADER_BYTES:
        return Scan(number, False, [], 0, len(data))
    magic, stored_number, previous, previous_valid = HEADER.unpack_from(data)
    _, checksum = FRAME.unpack_from(data, HEADER.size)
    is_sound = checksum == xxhash.xxh3_64_intdigest(data[: HEADER.size])
    if magic != MAGIC or stored_number != number or not is_sound:
        return Scan(number, False, [], 0, len(data))
    entries: list[Entry] = []
    end = HEADER_BYTES
    for entry, entry_end in read_records(data, number):
        entries.append(entry)
        end = entry_end
    return Scan(number, True, entries, end, len(data), previous, previous_valid)


def read_records(data: bytes, number: int) -> collections.abc.Iterator[tuple[Entry, int]]:
    """Yield the records of a segment, each with its end, up to the first damaged one."""
    view = memoryview(data)
    size = len(data)
    position = HEADER_BYTES
    checksum_of = xxhash.xxh3_64_intdigest
    while position + FRAME.size + FIELDS.size <= size:
        length, checksum = FRAME.unpack_from(data, position)
        start = position + FRAME.size
        end = start + length
        if length < FIELDS.size or end > size or checksum != checksum_of(view[start:end], number):
            return
        kind, expires_ms, name_bytes = FIELDS.unpack_from(data, start)
        body = start + FIELDS.size + name_bytes
        turn = data[start + FIELDS.size : body].decode()
        yield Entry(kind, turn, expires_ms, body, end - body), end
        position = end


def check_body(data: bytes, number: int, turn: str) -> bytes | None:
    """Return the body of a record that was read alone, or None if it is damaged."""
    start = body_offset(turn)
    if len(data) < start:
        return None
    length, checksum = FRAME.unpack_from(data)
    content = data[FRAME.size :]
    if length != len(content) or checksum != xxhash.xxh3_64_intdigest(content, seed=number):
        return None
    return data[start:]
