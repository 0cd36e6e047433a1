"""Running model calls, whose output can be followed by several requests."""

import collections.abc
import math
import typing

import anyio
import msgspec

from dogwoodgap import adapters, exceptions, programs, structures


class Token(msgspec.Struct, gc=False):
    """One piece of streamed text, with its position in the output."""

    index: int
    text: str


class RunningCall:
    """A call in progress and its output so far.

    Several requests may follow one call. The call continues even if all of them disconnect.

    Attributes
    ----------
    ran : bool
        Whether a runner may have executed the call.
    finishing : bool
        Whether the turn is complete but not stored yet.
    ended : anyio.Event
        Set when no runner is working on the call any more.
    closed : anyio.Event
        Set when the turn is stored or the call has failed.
    """

    def __init__(self, seq: int, digest: str):
        self.seq = seq
        self.digest = digest
        self.tokens: list[Token] = []
        self.turn: structures.Turn | None = None
        self.error: exceptions.DogwoodgapError | None = None
        self.changed = anyio.Event()
        self.has_waiters = False
        self.scope = anyio.CancelScope()
        self.cancelled_by: exceptions.DogwoodgapError | None = None
        self.ran = False
        self.finishing = False
        self.ended = anyio.Event()
        self.closed = anyio.Event()

    def notify(self) -> None:
        """Wake all followers."""
        if self.has_waiters:
            self.has_waiters = False
            self.changed.set()
            self.changed = anyio.Event()

    def cancel(self, error: exceptions.DogwoodgapError) -> None:
        """Cancel the call with an error; a complete turn is still stored."""
        if not self.finishing:
            self.cancelled_by = error
            self.scope.cancel()

    async def follow(
        self, deadline_at: float = math.inf
    ) -> collections.abc.AsyncIterator[list[Token]]:
        """Yield new tokens in batches until the call ends.

        Raises
        ------
        DogwoodgapError
            The error with which the call failed.
        StoreUnavailableError
            If the turn is complete but not stored by the follower's deadline.
        DeadlinePassedError
            If the call has not finished by the follower's deadline.
        """
        sent = 0
        while True:
            if sent < len(self.tokens):
                batch = self.tokens[sent:]
                sent += len(batch)
                yield batch
                continue
            if self.error is not None:
                raise self.error
            if self.turn is not None:
                return
            await self.wait_until(deadline_at, self.changed)

    async def result(self, deadline_at: float = math.inf) -> structures.Turn:
        """Return the stored turn; raises like :meth:`follow`."""
        while self.error is None and self.turn is None:
            await self.wait_until(deadline_at, self.closed)
        if self.error is not None:
            raise self.error
        return typing.cast(structures.Turn, self.turn)

    async def wait_until(self, deadline_at: float, event: anyio.Event) -> None:
        """Wait for an event; raises the follower's error if the deadline passes first."""
        self.has_waiters = True
        with anyio.CancelScope(deadline=deadline_at) as scope:
            await event.wait()
        if not scope.cancelled_caught:
            return
        if self.finishing:
            raise exceptions.StoreUnavailableError(
                "the turn is complete but not stored yet; repeat the same seq to get it",
                not_run="false",
            )
        raise exceptions.DeadlinePassedError(
            "the call is still in progress; repeat the same seq to follow it",
            not_run="false" if self.ran else "unknown",
        )


def append_chunk(
    call: RunningCall, chunk: adapters.Chunk, runner: structures.RunnerView
) -> adapters.Chunk | None:
    """Append a chunk's token to a call; return the chunk if it is the last one.

    Raises
    ------
    RunnerFailedError
        If the chunk is out of order, or if the response ends with tokens missing.
    """
    if (chunk.text or chunk.finish_reason) and chunk.index != len(call.tokens):
        raise exceptions.RunnerFailedError(
            f"runner {runner.id} sent token {chunk.index}, expected {len(call.tokens)}"
        )
    if chunk.text:
        call.tokens.append(Token(chunk.index, chunk.text))
    return chunk if chunk.finish_reason else None


def finished_call(entry: programs.CallEntry) -> RunningCall:
    """Return a finished call for a request that repeats a stored turn."""
    call = RunningCall(entry.seq, entry.digest)
    call.turn = entry.turn
    call.ended.set()
    call.closed.set()
    call.tokens = [Token(0, entry.turn.text)]
    return call
