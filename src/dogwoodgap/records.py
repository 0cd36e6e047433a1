"""Record types of the journal and the encoding of its segments.

A segment is a list of records. Replaying the records of a journal in order rebuilds the state of
its node.
"""

import functools
import zlib

import msgspec

from dogwoodgap import exceptions, shards, structures


class Record(msgspec.Struct, tag=True, omit_defaults=True):
    """Base class of all records; the tag is the class name."""


class ProgramCreated(Record):
    """A program was created. Times are wall time in seconds."""

    customer: str
    program: str
    service: str
    profile: str
    budget_tokens: int
    created_at: float
    deadline_at: float
    parent: str = ""


class CallStarted(Record):
    """A model call was accepted and its budget reserved."""

    customer: str
    program: str
    seq: int
    digest: str
    reserved_tokens: int
    at: float


class CallFinished(Record):
    """A model call finished; its reservation is settled."""

    customer: str
    program: str
    turn: structures.Turn


class CallFailed(Record):
    """A model call ended without a turn; its sequence number may be reused."""

    customer: str
    program: str
    seq: int
    digest: str
    charged_tokens: int
    code: str
    at: float


class ActionStarted(Record):
    """The program's owner accepted an action of the program."""

    customer: str
    program: str
    seq: int
    digest: str
    key: str
    at: float


class ActionFinished(Record):
    """The program's owner learned the result of an action."""

    customer: str
    program: str
    seq: int
    digest: str
    result: structures.ActionResult
    at: float


class ActionIntent(Record):
    """The key's owner is about to send a non-idempotent request."""

    customer: str
    key: str
    digest: str
    token: str
    service: str
    path: str
    at: float


class ActionOutcome(Record):
    """The key's owner learned the outcome of a non-idempotent request."""

    customer: str
    key: str
    digest: str
    result: structures.ActionResult
    at: float


class ProgramTouched(Record):
    """A heartbeat restarted the program's idle timeout."""

    customer: str
    program: str
    at: float


class ProgramEnded(Record):
    """A program ended, was cancelled or exceeded a limit."""

    customer: str
    program: str
    status: str
    reason: str
    at: float


class ShardAcquired(Record):
    """The state of a shard was imported completely into this journal."""

    shard: int
    generation: int


class ShardReleased(Record):
    """The owner released the shard; no later records of it belong to this ownership."""

    shard: int
    generation: int


class Imported(Record):
    """State imported from another journal, encoded by :mod:`dogwoodgap.transfer`."""

    shard: int
    state: bytes


class Suspected(Record):
    """A request digest was in flight on a crashed runner; ``crashes`` of 0 clears it."""

    digest: str
    crashes: int
    until: float = 0.0


AnyRecord = (
    ProgramCreated
    | CallStarted
    | CallFinished
    | CallFailed
    | ActionStarted
    | ActionFinished
    | ActionIntent
    | ActionOutcome
    | ProgramTouched
    | ProgramEnded
    | ShardAcquired
    | ShardReleased
    | Imported
    | Suspected
)


class Segment(msgspec.Struct):
    """One object of a journal.

    Attributes
    ----------
    nonce : str
        Identifies one write attempt. After a lost reply, reading it back shows whether the write
        took effect.
    sealed_by : str
        ``node/boot`` of the successor if the segment is a seal, otherwise empty.
    """

    nonce: str
    records: list[AnyRecord] = []
    sealed_by: str = ""


ProgramRecord = (
    ProgramCreated
    | CallStarted
    | CallFinished
    | CallFailed
    | ActionStarted
    | ActionFinished
    | ProgramTouched
    | ProgramEnded
)


@functools.singledispatch
def shard_of(record: Record) -> int | None:
    """Return the shard to which a record belongs, or None for a record of the whole node."""
    return None


@shard_of.register(ProgramRecord)
def _(record: ProgramRecord) -> int:
    return shards.program_shard(record.customer, record.program)


@shard_of.register(ActionIntent | ActionOutcome)
def _(record: ActionIntent | ActionOutcome) -> int:
    return shards.key_shard(record.customer, record.key)


@shard_of.register(ShardAcquired | ShardReleased | Imported)
def _(record: ShardAcquired | ShardReleased | Imported) -> int:
    return record.shard


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Segment)
COMPRESSION_LEVEL = 1


def encode_segment(segment: Segment) -> bytes:
    """Return the compressed form of a segment."""
    return zlib.compress(_encoder.encode(segment), COMPRESSION_LEVEL)


def decode_segment(data: bytes) -> Segment:
    """Return the segment encoded in ``data``.

    Raises
    ------
    JournalDamagedError
        When the data cannot be decoded.
    """
    try:
        return _decoder.decode(zlib.decompress(data))
    except (zlib.error, msgspec.DecodeError) as error:
        raise exceptions.JournalDamagedError(
            f"journal segment cannot be decoded ({error}); restore the object from a backup"
        ) from error


def encoded_size(record: Record) -> int:
    """Return the uncompressed size of a record in bytes."""
    return len(_encoder.encode(record))
