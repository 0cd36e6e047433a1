"""Requests that arrive while a node ends: answered, or repeated on another node."""

import contextlib
import socket

import anyio
import listen_addresses
import live
import pytest

from dogwoodgap import middleware, serving

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
