"""The client over connections that fail."""

import anyio
import callers
import httpx
import msgspec
import pytest
import virtual_time

from dogwoodgap import client, exceptions, programs, structures, views


class FaultyTransport(httpx.AsyncBaseTransport):
    """Sends requests to applications by host; each POST request takes one of ``faults``."""

    def __init__(self):
        self.applications = {}
        self.faults = []
        self.sent = []

    async def handle_async_request(self, request):
        self.sent.append((request.method, request.url.host, request.url.path))
        fault = self.faults.pop(0) if self.faults and request.method == "POST" else ""
        application = self.applications.get(request.url.host)
        if application is None or fault == "refuse":
            raise httpx.ConnectError("refused", request=request)
        reply = await httpx.ASGITransport(application).handle_async_request(request)
        if fault == "lose reply":
            raise httpx.ReadError("lost", request=request)
        if fault == "cut":
            text = (await reply.aread()).partition(b"event: done")[0]
            return httpx.Response(200, headers=reply.headers, content=text)
        return reply


def connect(node, network, **options):
    """Return a client that knows an unreachable address and the address of the node."""
    network.applications["n1"] = node.app()
    node.addresses = {"n1": "http://n1"}
    http = httpx.AsyncClient(transport=network)
    return client.Client(["http://dead", "http://n1/"], callers.KEY, http=http, **options)


def test_program_runs_over_lost_replies_and_unreachable_entries():
    """Guards against a step that runs twice or is lost when connections fail."""

    async def main():
        network = FaultyTransport()
        async with callers.harness() as node, connect(node, network) as dogwoodgap:
            network.faults = ["lose reply", "", "lose reply", "refuse", "", "lose reply"]
            program = await dogwoodgap.program("llm")
            turn = await program.call("hello", max_tokens=3)
            assert turn.text == "w0 w1 w2 "
            assert (await program.act("plain", "book", {"crew": 7})).status == 200
            assert (await dogwoodgap.act("plain", "stop", idempotent=True)).status == 200
            child = await program.child()
            await child.call("part", max_tokens=2)
            await program.end()
            assert [stored.seq for stored in await program.history()] == [1]
            assert len(node.engine.requests) == 2
            keys = [key for key, path, _ in node.service.ledger if path == "book"]
            assert keys == [f"{program.id}:2"]
            assert len(node.table.programs) == 2
            with pytest.raises(exceptions.ProgramFinishedError):
                await child.call("more")

    virtual_time.run(main)


class InProgressTransport(httpx.AsyncBaseTransport):
    """Entry whose action stays in progress for ``rounds`` requests and keeps its number."""

    def __init__(self, rounds):
        self.rounds = rounds
        self.bodies = []

    async def handle_async_request(self, request):
        if request.url.path == "/v1/entries":
            return httpx.Response(200, json={"entries": [], "ttl_seconds": 5.0})
        if request.url.path == "/v1/programs/p/actions/plain/book":
            self.bodies.append((request.content, request.headers["idempotency-key"]))
            if len(self.bodies) <= self.rounds:
                problem = exceptions.problem(exceptions.OutcomeUnknownError("in progress"))
                headers = {"content-type": "application/problem+json"}
                return httpx.Response(503, headers=headers, content=msgspec.json.encode(problem))
            result = structures.ActionResult(200, None, "false")
            return httpx.Response(200, content=msgspec.json.encode(result))
        values = ("p", "llm", "default", "active", "", 10, 10, 1, 0, "", [])
        return httpx.Response(200, content=msgspec.json.encode(views.ProgramView(*values)))


def test_action_in_progress_is_repeated_until_it_is_settled():
    """Guards against another step that reuses the number and key of an action in progress."""

    async def main():
        for rounds, settles in ((2, True), (10_000, False)):
            network = InProgressTransport(rounds)
            http = httpx.AsyncClient(transport=network)
            async with client.Client(["http://n1"], "k", http=http, timeout_s=1.0) as dogwoodgap:
                program = await dogwoodgap.program("llm", id="p")
                if settles:
                    assert (await program.act("plain", "book", deadline_s=1.0)).status == 200
                    assert program.seq == 2
                else:
                    with pytest.raises(exceptions.OutcomeUnknownError):
                        await program.act("plain", "book", deadline_s=1.0)
                assert len(set(network.bodies)) == 1

    virtual_time.run(main)


def test_stream_continues_after_a_broken_connection():
    """Guards against repeated or missing text after a stream broke."""

    async def main():
        network = FaultyTransport()
        async with callers.harness() as node, connect(node, network) as dogwoodgap:
            program = await dogwoodgap.program("llm")
            network.faults = ["cut"]
            pieces = [piece async for piece in program.stream("hello", max_tokens=3)]
            assert "".join(pieces) == program.last.text == "w0 w1 w2 "
            pieces = [piece async for piece in program.stream("more", max_tokens=2)]
            assert pieces == ["w0 ", "w1 "]
            assert program.seq == 3
            assert len(node.engine.requests) == 2
            with pytest.raises(exceptions.AnswerChangedError):
                client.missing_text(program.last, "x")

    virtual_time.run(main)


def test_entries_are_fetched_once_per_ttl_and_after_a_failure():
    """Guards against fetching entries for each request, and against using a failed entry."""

    async def main():
        network = FaultyTransport()
        async with callers.harness() as node, connect(node, network, timeout_s=3.0) as dogwoodgap:
            for _ in range(3):
                await dogwoodgap.program("llm")
            assert [path for _, _, path in network.sent].count("/v1/entries") == 2
            assert [host for _, host, _ in network.sent].count("dead") == 1
            await anyio.sleep(views.EntriesView([], 5.0).ttl_seconds)
            network.applications["n2"] = network.applications.pop("n1")
            node.addresses = {"n2": "http://n2"}
            with pytest.raises(exceptions.NotReadyError):
                await dogwoodgap.program("llm")
            dogwoodgap.entries.seeds.append("http://n2")
            await dogwoodgap.program("llm")
            assert dogwoodgap.entries.addresses == ["http://n2"]

    virtual_time.run(main)


def test_errors_are_raised_with_their_type():
    """Guards against errors of a generic type and against retries of a final error."""

    async def main():
        network = FaultyTransport()
        async with callers.harness() as node, connect(node, network) as dogwoodgap:
            program = await dogwoodgap.program("llm", budget_tokens=30)
            with pytest.raises(exceptions.BudgetExceededError):
                await program.call("x" * 50)
            with pytest.raises(exceptions.BudgetExceededError):
                async for _ in program.stream("x" * 50):
                    pass
            node.store.faults.outage = True
            with pytest.raises(exceptions.StoreUnavailableError) as caught:
                await dogwoodgap.send(
                    program.request(
                        "POST", "/calls", callers.request(deadline_seconds=0.1).model_dump()
                    )
                )
            assert caught.value.not_run == "true"
            assert node.table.programs[programs.ProgramKey("c", program.id)].next_seq == 1

    virtual_time.run(main)
