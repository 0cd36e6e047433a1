"""Requests that arrive while a node ends: answered, or repeated on another node."""

import contextlib
import socket

import anyio
import httpx
import listen_addresses
import live
import msgspec
import pytest

from dogwoodgap import client, exceptions, journal, middleware, serving, transport, views

REQUEST = b"GET /health HTTP/1.1\r\nhost: n1\r\n\r\n"
ANSWERED = b"HTTP/1.1 200"


class HeldApplication:
    """Responds to each request once ``proceed`` is set."""

    def __init__(self):
        self.entered = anyio.Event()
        self.proceed = anyio.Event()

    async def __call__(self, scope, receive, send):
        if scope["type"] != "http":
            return
        self.entered.set()
        await self.proceed.wait()
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b"done"})


class Served:
    """An application that is served until ``closing`` is set."""

    def __init__(self, tasks):
        self.application = HeldApplication()
        self.problems = middleware.ProblemMiddleware(self.application)
        self.address = listen_addresses.free_address()
        self.closing = anyio.Event()
        self.ended = anyio.Event()
        tasks.start_soon(self.run)

    async def run(self):
        """Serve the application."""
        await serving.serve(self.problems, self.address, None, self.closing)
        self.ended.set()

    async def wait_ready(self):
        """Wait until connections are accepted."""
        while not await is_listening(self.address):  # noqa: ASYNC110
            await anyio.sleep(0.02)

    async def close_listener(self):
        """Close the listener and return when it refuses connections."""
        self.closing.set()
        while await is_listening(self.address):  # noqa: ASYNC110
            await anyio.sleep(0.005)


async def is_listening(address):
    """Return whether a server accepts connections."""
    try:
        async with await connect(address):
            return True
    except OSError:
        return False


async def connect(address):
    """Return a connection to an address."""
    host, _, port = address.rpartition(":")
    return await anyio.connect_tcp(host, int(port))


async def exchange(stream):
    """Send a request on a connection and return the first bytes of the response."""
    await stream.send(REQUEST)
    return (await stream.receive())[: len(ANSWERED)]


def run(main, use_uvloop=True):
    """Run a test with a time limit, on the event loop of the node."""

    async def limited():
        with anyio.fail_after(30):
            await main()

    anyio.run(limited, backend_options={"use_uvloop": use_uvloop})


@pytest.mark.parametrize("use_uvloop", [True, False])
def test_request_on_a_connection_accepted_before_the_listener_closed_is_answered(use_uvloop):
    """Guards against a close of the listener that also closes new connections without a request."""

    async def main():
        async with anyio.create_task_group() as tasks:
            served = Served(tasks)
            served.application.proceed.set()
            await served.wait_ready()
            async with await connect(served.address) as stream:
                await served.close_listener()
                assert await exchange(stream) == ANSWERED
            await served.ended.wait()

    run(main, use_uvloop)


@pytest.mark.parametrize("use_uvloop", [True, False])
def test_requests_on_connections_that_wait_for_their_accept_are_answered(use_uvloop):
    """Guards against connections that the operating system has established and the close resets."""

    async def main():
        async with anyio.create_task_group() as tasks:
            served = Served(tasks)
            served.application.proceed.set()
            await served.wait_ready()
            host, _, port = served.address.rpartition(":")
            # Nothing is accepted before the stop is requested, since there is no await.
            sockets = [socket.create_connection((host, int(port))) for _ in range(50)]
            for connected in sockets:
                connected.sendall(REQUEST)
            served.closing.set()
            await served.ended.wait()
            for connected in sockets:
                with connected:
                    connected.settimeout(5)
                    assert connected.recv(len(ANSWERED)) == ANSWERED

    run(main, use_uvloop)


def test_request_that_arrives_after_the_listener_closed_is_finished():
    """Guards against an end that cancels a request which arrived late and takes long."""

    async def main():
        async with anyio.create_task_group() as tasks:
            served = Served(tasks)
            await served.wait_ready()
            async with await connect(served.address) as stream:
                await served.close_listener()
                await stream.send(REQUEST)
                await served.application.entered.wait()
                await anyio.sleep(4 * serving.ARRIVAL_GRACE_S)
                assert not served.ended.is_set()
                served.application.proceed.set()
                assert (await stream.receive())[: len(ANSWERED)] == ANSWERED
            await served.ended.wait()

    run(main)


def test_idle_connections_do_not_keep_a_server_open():
    """Guards against a stop that lasts as long as an idle caller keeps its connection."""

    async def main():
        async with anyio.create_task_group() as tasks:
            served = Served(tasks)
            await served.wait_ready()
            async with await connect(served.address) as stream:
                served.closing.set()
                with anyio.fail_after(serving.CLOSE_TIMEOUT_S):
                    with pytest.raises(anyio.EndOfStream):
                        await stream.receive()
                    await served.ended.wait()

    run(main)


def test_node_departs_only_after_its_last_request():
    """Guards against a request that arrives after the drain and is cut by the end of the node."""

    async def main():
        async with live.run_fleet(2) as fleet:
            stopping = fleet.nodes[1]
            await live.wait_until(lambda: stopping.fleet.ownership.session.loaded)
            departed = anyio.Event()
            depart = stopping.fleet.membership.depart
            held = HeldApplication()
            address = fleet.http_addresses[1]

            async def record_departure():
                departed.set()
                await depart()

            stopping.fleet.membership.depart = record_departure
            stopping.app.application = held
            async with contextlib.AsyncExitStack() as stack:
                stopping.stop.request()
                await stopping.stop.requested.wait()
                # Connects again until the listener closes, so that the last connection is new.
                while True:
                    try:
                        stream = await connect(address)
                    except OSError:
                        break
                    stack.push_async_callback(stream.aclose)
                    last = stream
                    await anyio.sleep(0.01)
                await last.send(REQUEST)
                await held.entered.wait()
                await anyio.sleep(4 * serving.ARRIVAL_GRACE_S)
                assert not departed.is_set()
                held.proceed.set()
                assert (await last.receive())[: len(ANSWERED)] == ANSWERED
                await departed.wait()

    run(main)


def test_client_repeats_a_request_that_a_node_did_not_store_before_it_stopped():
    """Guards against callers that get journal-closed although another node serves them."""
    closed = exceptions.problem(journal.closed_error())
    asked = []

    def respond(request):
        if request.method == "GET":
            entries = [views.EntryView(f"http://{name}", name, "a") for name in ("n1", "n2")]
            return httpx.Response(200, content=msgspec.json.encode(views.EntriesView(entries, 9.0)))
        asked.append(request.url.host)
        if len(asked) == 1:
            return httpx.Response(
                closed.status,
                content=msgspec.json.encode(closed),
                headers={"content-type": transport.PROBLEM_TYPE},
            )
        view = views.ProgramView("p1", "agent-llm", "default", "active", "", 9, 9, 1, 0, "", [])
        return httpx.Response(201, content=msgspec.json.encode(view))

    async def main():
        http = httpx.AsyncClient(transport=httpx.MockTransport(respond))
        async with client.Client(["http://n1", "http://n2"], "key", http=http) as caller:
            assert (await caller.program("agent-llm", id="p1")).id == "p1"
        assert asked == ["n1", "n2"]

    run(main)


def test_program_whose_node_ends_before_it_is_stored_is_created_on_another_node():
    """Guards against callers that get journal-closed, which the client did not repeat."""

    async def main():
        async with live.run_fleet(2) as fleet:
            ending = fleet.nodes[1]
            await live.wait_until(
                lambda: all(item.fleet.ownership.session.loaded for item in fleet.nodes)
            )
            writing = anyio.Event()
            put = ending.store.put

            async def hold_journal(key, *args, **options):
                if key.startswith("journal/n2"):
                    writing.set()
                    await anyio.sleep_forever()
                return await put(key, *args, **options)

            programs = []

            async def create(number):
                program = await caller.program("agent-llm", id=f"p{number}")
                programs.append(program.id)

            ending.store.put = hold_journal
            codes = []
            decode = exceptions.from_problem

            def record_code(problem):
                codes.append(problem.code)
                return decode(problem)

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(exceptions, "from_problem", record_code)
                async with (
                    httpx.AsyncClient(trust_env=False) as http,
                    anyio.create_task_group() as tasks,
                ):
                    caller = client.Client([fleet.url(1)], live.CALLER_KEY, http=http)
                    for number in range(8):
                        tasks.start_soon(create, number)
                    await writing.wait()
                    ending.tasks.cancel_scope.cancel()
            assert sorted(programs) == [f"p{number}" for number in range(8)]
            assert "journal-closed" in codes

    run(main)
