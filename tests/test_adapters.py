"""Answers of model engines that are split, incomplete, misdirected or refused."""

import anyio
import httpx
import pytest

from dogwoodgap import adapters, connections, exceptions, structures

VIEW = structures.RunnerView("llm", "r1", "http://r1", "dc", 4, 1000)
TOKEN = b'data: {"id":"q1","choices":[{"delta":{"content":"a "}}],"index":0}\r\n\r\n'
DONE = b"data: [DONE]\n\n"


def make_request() -> adapters.GenerationRequest:
    return adapters.GenerationRequest("q1", "m", [structures.Text("user", "x")], 4, 0, "c/p")


class BrokenStream(httpx.AsyncByteStream):
    """A reply body in pieces; an exception among the pieces interrupts it."""

    def __init__(self, *parts):
        self.parts = parts

    async def __aiter__(self):
        for part in self.parts:
            if isinstance(part, Exception):
                raise part
            yield part


def chunks(*parts, status: int = 200) -> list[adapters.Chunk]:
    """Return the chunks that the adapter yields for a reply."""

    async def main():
        transport = httpx.MockTransport(
            lambda _: httpx.Response(status, stream=BrokenStream(*parts))
        )
        async with httpx.AsyncClient(transport=transport) as client:
            stream = adapters.HttpEngineAdapter(client).generate(VIEW, make_request())
            return [chunk async for batch in stream for chunk in batch]

    return anyio.run(main)


def test_events_split_over_packets_are_reassembled():
    """Guards against text that is lost where an event spans two network reads."""
    packets = [(TOKEN + TOKEN + DONE)[at : at + 7] for at in range(0, 200, 7)]
    assert [chunk.text for chunk in chunks(*packets)] == ["a ", "a "]


@pytest.mark.parametrize(
    ("parts", "status", "kind", "not_run"),
    [
        ([TOKEN, httpx.ReadTimeout("")], 200, exceptions.RunnerSilentError, "unknown"),
        ([TOKEN], 200, exceptions.RunnerFailedError, "unknown"),
        ([b"data: {\n\n"], 200, exceptions.RunnerFailedError, "unknown"),
        ([TOKEN.replace(b"q1", b"q2"), DONE], 200, exceptions.RunnerFailedError, "unknown"),
        ([], 503, exceptions.RunnerLeavingError, "true"),
        ([], 429, exceptions.RunnerFailedError, "true"),
        ([], 500, exceptions.RunnerFailedError, "unknown"),
        ([httpx.ConnectError("")], 200, exceptions.RunnerUnreachableError, "true"),
    ],
)
def test_failures_have_the_right_type_and_not_run(parts, status, kind, not_run):
    """Guards against accepting an incomplete or misdirected answer, and a wrong ``not_run``."""
    with pytest.raises(kind) as caught:
        chunks(*parts, status=status)
    assert type(caught.value) is kind
    assert caught.value.not_run == not_run
    assert connections.may_indicate_crash(caught.value) == (not_run == "unknown")
