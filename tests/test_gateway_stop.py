"""The end of a planned stop of a whole gateway: no request is taken that nobody waits for."""

import contextlib
import gc
import socket
import unittest.mock

import anyio
import anyio.to_thread
import gateways
import listen_addresses
import pytest

from dogwoodgap import clock, dialect, entrance, file_source, gateway, ingress, settings

SERVER_TIME_S = 0.2
STOP_GRACE_S = 2.0
TIME_SCALE = 3.0
"""Factor of all times of a stop in tests that compare its end with its grace period; their
unscaled margins of 0.15 and 0.4 s are too small for slow machines."""

SCALED_TIMES = [
    (gateway, "STOP_MARGIN_S"),
    (gateway, "LAST_ACCEPT_MARGIN_S"),
    (gateway, "LAST_RESPONSES_TIMEOUT_S"),
    (gateway, "LAST_RECORDS_TIMEOUT_S"),
    (gateway, "MAX_RECORDS_TIMEOUT_S"),
    (gateway, "MAX_DEPARTURE_S"),
    (gateway, "LAST_DEPARTURE_S"),
    (ingress, "CLOSE_TIMEOUT_S"),
]
NEXT_REQUEST_TIMEOUT_S = 5.0
"""Time that tests give to the next request of a connection."""

HANG_TIMEOUT_S = 60.0
"""Time after which a test is taken to hang."""

REQUEST = b"GET /x HTTP/1.1\r\nhost: h.example\r\n\r\n"
ACTION = (
    b"POST /act/x HTTP/1.1\r\nhost: h.example\r\ndogwoodgap-attempt: a1\r\n"
    b"content-length: 3\r\n\r\npay"
)
FLEET = """
version = 1
routes = [
  {{ name = "act", host = "h.example", prefix = "/act/", kind = "non_idempotent", timeout_s = 1.0, objective_s = 0.1, targets = [{{ service = "plain" }}] }},
  {{ name = "long", host = "h.example", prefix = "/long/", kind = "non_idempotent", timeout_s = 15.0, objective_s = 0.1, targets = [{{ service = "plain" }}] }},
]
services = [{{ name = "plain" }}]
servers = [{{ id = "p1", service = "plain", address = "{address}", slots = 4 }}]
"""  # noqa: E501 - inline tables of TOML stand on one line


async def hang(backend, received, stream):
    """Never respond."""
    await anyio.sleep_forever()


async def slow(backend, received, stream):
    """Respond after some time."""
    await anyio.sleep(SERVER_TIME_S)
    return await gateways.complete_response()(backend, received, stream)


class StoppedGateway:
    """A gateway and its server; it is stopped by a test."""

    def __init__(self, folder, stop_grace_s):
        self.backend = gateways.Backend("p1", "plain", slow)
        path = folder / "fleet.toml"
        path.write_text(FLEET.format(address=self.backend.address), encoding="utf-8")
        addresses = {
            name: listen_addresses.free_address()
            for name in ("http", "peer", "ready", "directory", "relay")
        }
        self.address = addresses["http"]
        self.relay_address = addresses["relay"]
        loaded = settings.GatewaySettings.model_validate(
            {
                "node": {
                    "name": "gateway-1",
                    "data_centre": "d1",
                    "http_bind": addresses["http"],
                    "peer_bind": addresses["peer"],
                },
                "platform": {"url": "http://unused"},
                "gateway": {
                    "ready_bind": addresses["ready"],
                    "directory_bind": addresses["directory"],
                    "relay_bind": addresses["relay"],
                    "stop_grace_s": stop_grace_s,
                    "directory_ttl_s": 0.05,
                    "first_start": True,
                },
            }
        )
        self.gateway = gateway.Gateway(
            loaded,
            file_source.FileSource(path),
            file_source.InMemoryBudgetRecords(),
            file_source.InMemoryCrashRecords(),
            file_source.NoRemovals(),
            dialect.HeaderCodec(gateways.NAMES),
        )
        self.ended = anyio.Event()

    async def run(self):
        """Run the gateway until it has stopped."""
        await self.gateway.run(entrance.DiscoveryEndpoints(self.gateway))
        self.ended.set()

    def stop(self):
        """Request a stop."""
        self.gateway.stop_requested.set()

    async def call(self, address, responses, **headers):
        """Send a request on a new connection; a refused connection leaves no response."""
        host, _, port = address.rpartition(":")
        with contextlib.suppress(OSError):
            async with await anyio.connect_tcp(host, int(port)) as stream:
                caller = gateways.Caller(stream)
                responses.append(await caller.call("POST", "/act/x", b"pay", **headers))


def scale_stop(monkeypatch):
    """Scale the times of a stop, and return the grace period that fits them."""
    for module, name in SCALED_TIMES:
        monkeypatch.setattr(module, name, getattr(module, name) * TIME_SCALE)
    return STOP_GRACE_S * TIME_SCALE


async def wait_until(condition):
    """Wait until a function returns a true value."""
    while not condition():  # noqa: ASYNC110 - the conditions come from several tasks
        await anyio.sleep(0.01)


async def wait_until_idle(server, count=1):
    """Wait until a number of connections are idle after their first request."""
    await wait_until(
        lambda: sum(connection.handled == 1 for connection in server.idle_connections()) == count
    )


async def wait_until_receiving(server):
    """Wait until the server has received a part of a request on its only connection."""
    await wait_until(lambda: server.connections and not server.idle_connections())


async def wait_for_polls(server):
    """Wait until a closing server has looked for idle connections twice, and could close them."""
    polls = []
    close_idle = server.close_idle

    def count_and_close():
        polls.append(clock.now())
        close_idle()

    server.close_idle = count_and_close
    await wait_until(lambda: len(polls) >= 2 or not server.is_serving)
    await anyio.sleep(ingress.CLOSE_POLL_INTERVAL_S)


@contextlib.asynccontextmanager
async def running(folder, stop_grace_s=STOP_GRACE_S):
    """Run a gateway that is the only member."""
    stopped = StoppedGateway(folder, stop_grace_s)
    with anyio.fail_after(HANG_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            await tasks.start(stopped.backend.serve)
            tasks.start_soon(stopped.run)
            while not stopped.gateway.ready:  # noqa: ASYNC110 - set by the gateway's own tasks
                await anyio.sleep(0.01)
            yield stopped, tasks
            tasks.cancel_scope.cancel()


@pytest.mark.parametrize("listener", ["address", "relay_address"])
def test_request_during_the_departure_is_not_cut(tmp_path, listener):
    """Guards against requests that are accepted after the last look at the connections."""

    async def main():
        async with running(tmp_path) as (stopped, tasks):
            responses = []
            call_ended = anyio.Event()

            async def call():
                await stopped.call(getattr(stopped, listener), responses)
                call_ended.set()

            async def depart_after_the_request():
                tasks.start_soon(call)
                await wait_until(
                    lambda: call_ended.is_set() or stopped.backend.request_received.is_set()
                )

            stopped.gateway.announced.depart = depart_after_the_request
            stopped.stop()
            await stopped.ended.wait()
            await call_ended.wait()
        assert all(response.complete for response in responses)
        assert len(responses) == len(stopped.backend.received)

    anyio.run(main)


def test_request_that_is_established_when_the_listeners_close_is_finished(tmp_path):
    """Guards against a stop that does not wait for what it accepts last."""

    async def main():
        # The stop ends early; a grace period of 2 s leaves the timeout of the request 0.2 s.
        async with running(tmp_path, 3 * STOP_GRACE_S) as (stopped, _):
            connections = []
            close_servers = stopped.gateway.close_servers

            async def send_and_close(give_up_at):
                connections.append(connect_and_send(stopped.address, ACTION))
                await close_servers(give_up_at)

            stopped.gateway.close_servers = send_and_close
            stopped.stop()
            await stopped.ended.wait()
            assert len(stopped.backend.received) == 1
            assert (await read_all(connections[0])).endswith(b"ok")

    anyio.run(main, backend_options={"use_uvloop": True})


def test_unfinished_request_gets_a_response_and_the_gateway_ends_within_its_grace(
    tmp_path, monkeypatch
):
    """Guards against a stop that cuts what is unfinished at its end, or that takes too long."""
    stop_grace_s = scale_stop(monkeypatch)

    async def main():
        async with running(tmp_path, stop_grace_s) as (stopped, _):
            stopped.backend.script = hang
            connection = connect_and_send(stopped.address, ACTION.replace(b"/act/", b"/long/"))
            await stopped.backend.request_received.wait()
            started_at = clock.now()
            stopped.stop()
            await stopped.ended.wait()
            assert clock.now() - started_at < stop_grace_s
            received = await read_all(connection)
            assert received.startswith(b"HTTP/1.1 502 ")
            assert received.endswith(b"}")

    anyio.run(main, backend_options={"use_uvloop": True})


def connect_and_send(address, request=REQUEST):
    """Connect and send a request without letting the event loop run."""
    host, _, port = address.rpartition(":")
    connection = socket.create_connection((host, int(port)))
    connection.sendall(request)
    return connection


@contextlib.asynccontextmanager
async def running_server(handler):
    """Run a server that is closed by a test."""
    server = ingress.Server(handler)
    address = listen_addresses.free_address()
    with anyio.fail_after(HANG_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            await tasks.start(server.serve, address)
            yield server, address
            tasks.cancel_scope.cancel()


async def respond_slowly(request, responder):
    """Respond after some time."""
    await anyio.sleep(SERVER_TIME_S)
    await responder.send(200, [], b"whole")


async def read_all(connection):
    """Return everything that a connection delivers until it ends."""
    return await anyio.to_thread.run_sync(
        lambda: b"".join(iter(lambda: connection.recv(4096), b""))
    )


@pytest.mark.parametrize("use_uvloop", [True, False])
def test_closing_server_answers_connections_that_are_established_already(use_uvloop):
    """Guards against resets of connections that the operating system has accepted."""

    async def main():
        async with running_server(respond_slowly) as (server, address):
            connections = [connect_and_send(address) for _ in range(5)]
            await server.close(clock.now() + 5)
            for connection in connections:
                assert (await read_all(connection)).endswith(b"whole")
            with pytest.raises(OSError):  # noqa: PT011 - refused or reset, by platform
                connect_and_send(address)

    anyio.run(main, backend_options={"use_uvloop": use_uvloop})


@pytest.mark.parametrize("use_uvloop", [True, False])
def test_closing_server_refuses_connections_while_a_request_still_runs(use_uvloop):
    """Guards against a stop that accepts as long as it has requests."""

    async def main():
        proceed = anyio.Event()

        async def respond_when_told(request, responder):
            await proceed.wait()
            await responder.send(200, [], b"whole")

        async with running_server(respond_when_told) as (server, address):
            connection = connect_and_send(address)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.close, clock.now() + HANG_TIMEOUT_S)
                await wait_for_polls(server)
                assert server.is_serving
                with pytest.raises(ConnectionRefusedError):
                    connect_and_send(address)
                proceed.set()
            assert (await read_all(connection)).endswith(b"whole")

    anyio.run(main, backend_options={"use_uvloop": use_uvloop})


def test_full_server_accepts_no_more_connections_when_it_closes():
    """Guards against connections of callers that take the descriptors of those to servers."""

    async def main():
        async with running_server(respond_slowly) as (server, address):
            server.max_connections = 5
            connections = [connect_and_send(address) for _ in range(40)]
            open_connections = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.close, clock.now() + 5)
                while server.is_serving:  # noqa: ASYNC110 - set by the server's own task
                    open_connections.append(len(server.connections))
                    await anyio.sleep(0.01)
            assert 0 < max(open_connections) <= 5
            for connection in connections:
                connection.close()

    anyio.run(main)


def close_all_idle(server):
    """Close all idle connections of a server, however long they have been idle."""
    for connection in server.idle_connections():
        connection.close_idle()


def test_requests_that_arrive_before_many_idle_connections_close_are_answered():
    """Guards against data that a busy event loop delivers after the connection was closed."""

    async def main():
        async with running_server(respond_slowly) as (server, address):
            connections = [connect_and_send(address) for _ in range(40)]
            await wait_until_idle(server, len(connections))
            for connection in connections:
                connection.sendall(REQUEST)
            server.closing = True
            close_all_idle(server)
            for connection in connections:
                assert (await read_all(connection)).count(b"whole") == 2

    anyio.run(main, backend_options={"use_uvloop": True})


@pytest.mark.parametrize("use_uvloop", [True, False])
def test_request_that_arrives_before_the_close_of_an_idle_connection_is_answered(use_uvloop):
    """Guards against data that has arrived and is dropped with an idle connection."""

    async def main():
        async with running_server(respond_slowly) as (server, address):
            connection = connect_and_send(address)
            await wait_until_idle(server)
            connection.sendall(REQUEST)
            server.closing = True
            close_all_idle(server)
            received = await read_all(connection)
            assert received.count(b"whole") == 2
            assert received.lower().count(b"connection: close") == 1

    anyio.run(main, backend_options={"use_uvloop": use_uvloop})


@pytest.mark.parametrize("use_uvloop", [True, False])
def test_server_stops_to_accept_while_connections_keep_coming(use_uvloop):
    """Guards against a listener that stays open as long as callers connect all the time."""

    async def main():
        async with running_server(respond_slowly) as (server, address):
            connections = [connect_and_send(address) for _ in range(100)]
            while not server.connections:
                await anyio.lowlevel.checkpoint()
            server.listener.stop(0)
            for _ in range(100):
                await anyio.lowlevel.checkpoint()
            # The handlers of some that were accepted before had not begun.
            assert len(server.connections) < 20
            for connection in connections:
                connection.close()

    anyio.run(main, backend_options={"use_uvloop": use_uvloop})


@pytest.mark.parametrize("use_uvloop", [True, False])
def test_closing_server_waits_for_the_first_request_of_a_new_connection(use_uvloop, monkeypatch):
    """Guards against closing a connection whose first request is on its way."""
    monkeypatch.setattr(ingress, "NEXT_REQUEST_TIMEOUT_S", NEXT_REQUEST_TIMEOUT_S)

    async def main():
        async with running_server(respond_slowly) as (server, address):
            host, _, port = address.rpartition(":")
            connection = socket.create_connection((host, int(port)))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.close, clock.now() + HANG_TIMEOUT_S)
                await wait_for_polls(server)
                connection.sendall(REQUEST)
                assert (await read_all(connection)).endswith(b"whole")

    anyio.run(main, backend_options={"use_uvloop": use_uvloop})


@pytest.mark.parametrize("use_uvloop", [True, False])
def test_closing_server_does_not_wait_for_connections_without_requests(use_uvloop):
    """Guards against a stop that lasts as long as idle connections are open."""

    async def main():
        async with running_server(respond_slowly) as (server, address):
            host, _, port = address.rpartition(":")
            connection = socket.create_connection((host, int(port)))
            started_at = clock.now()
            await server.close(started_at + 5)
            assert clock.now() - started_at < 4 * ingress.NEXT_REQUEST_TIMEOUT_S
            assert await read_all(connection) == b""

    anyio.run(main, backend_options={"use_uvloop": use_uvloop})


def test_stop_writes_pending_records_before_the_departure(tmp_path):
    """Guards against records that are lost since the process ends before they are written."""

    async def main():
        async with running(tmp_path) as (stopped, _):
            coordinator = stopped.gateway.budget_coordinator
            recorder = stopped.gateway.crash_tracker.recorder
            close_servers = stopped.gateway.close_servers

            async def end_last_request(give_up_at):
                await close_servers(give_up_at)
                coordinator.ledger.get_or_create("p", 1_000).add_usage(500)
                coordinator.record_client.pending_programs.add("p")
                recorder.pending.add(7)

            stopped.gateway.close_servers = end_last_request
            stopped.stop()
            await stopped.ended.wait()
            assert [record.usage for record in await coordinator.record_client.records.list()] == [
                500
            ]
            assert [record.digest for record in await recorder.records.list()] == [7]

    anyio.run(main)


@pytest.mark.parametrize("use_uvloop", [True, False])
def test_request_after_a_response_that_began_before_the_close_is_answered(use_uvloop, monkeypatch):
    """Guards against a kept connection that ends although its response announced no close."""
    monkeypatch.setattr(ingress, "NEXT_REQUEST_TIMEOUT_S", NEXT_REQUEST_TIMEOUT_S)

    async def main():
        is_started, proceed = anyio.Event(), anyio.Event()

        async def respond_around_the_close(request, responder):
            await responder.start(200, [(b"content-length", b"5")])
            is_started.set()
            await proceed.wait()
            await responder.send_data(b"whole")
            await responder.finish()

        async with running_server(respond_around_the_close) as (server, address):
            connection = connect_and_send(address)
            await is_started.wait()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.close, clock.now() + HANG_TIMEOUT_S)
                await wait_for_polls(server)
                proceed.set()
                received = await anyio.to_thread.run_sync(receive_response, connection)
                await wait_for_polls(server)
                connection.sendall(REQUEST)
                received += await read_all(connection)
            assert received.count(b"whole") == 2
            assert received.lower().count(b"connection: close") == 1

    anyio.run(main, backend_options={"use_uvloop": use_uvloop})


@pytest.mark.parametrize("use_uvloop", [True, False])
def test_closing_server_waits_for_the_request_that_follows_a_response(use_uvloop, monkeypatch):
    """Guards against closing a connection while its next request is on its way."""
    monkeypatch.setattr(ingress, "NEXT_REQUEST_TIMEOUT_S", NEXT_REQUEST_TIMEOUT_S)

    async def main():
        async with running_server(respond_slowly) as (server, address):
            connection = connect_and_send(address)
            await anyio.to_thread.run_sync(receive_response, connection)
            await wait_until_idle(server)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.close, clock.now() + HANG_TIMEOUT_S)
                await wait_for_polls(server)
                connection.sendall(REQUEST)
                assert (await read_all(connection)).endswith(b"whole")

    anyio.run(main, backend_options={"use_uvloop": use_uvloop})


def receive_response(connection):
    """Receive one response."""
    received = b""
    while not received.endswith(b"whole"):
        data = connection.recv(4096)
        assert data, f"the connection ended after {received!r}"
        received += data
    return received


@pytest.mark.parametrize("use_uvloop", [True, False])
def test_request_that_has_arrived_is_answered_when_its_connection_makes_room(use_uvloop):
    """Guards against data that has arrived and is dropped to accept another connection."""

    async def main():
        async with running_server(respond_slowly) as (server, address):
            connection = connect_and_send(address)
            await wait_until_idle(server)
            server.max_connections = 1
            connection.sendall(REQUEST)
            # Not in a task of its own: the event loop would read the data before it starts.
            await server.make_room()
            assert (await read_all(connection)).count(b"whole") == 2

    anyio.run(main, backend_options={"use_uvloop": use_uvloop})


@pytest.mark.parametrize("use_uvloop", [True, False])
def test_closed_server_does_not_wait_for_the_rest_of_a_body(use_uvloop, monkeypatch):
    """Guards against a process that outlasts its grace period while it drains a connection."""
    longest_s = ingress.CLOSE_TIMEOUT_S
    monkeypatch.setattr(ingress, "CLOSE_TIMEOUT_S", 5.0)

    async def main():
        async with running_server(respond_slowly) as (server, address):
            host, _, port = address.rpartition(":")
            with socket.create_connection((host, int(port))) as connection:
                connection.sendall(b"POST /x HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\npart")
                await wait_until_receiving(server)
                give_up_at = clock.now() + 0.1
                await server.close(give_up_at)
                await wait_until(lambda: not server.is_serving)
                assert clock.now() < give_up_at + ingress.CLOSE_TIMEOUT_S
                assert server.close_by < give_up_at + longest_s

    anyio.run(main, backend_options={"use_uvloop": use_uvloop})


def test_stopped_process_exits_without_a_search_for_garbage(monkeypatch):
    """Guards against an exit that takes 0.2 to 0.6 s beside load, beyond the grace period."""
    monkeypatch.setattr(anyio, "run", lambda *arguments, **options: None)
    served = unittest.mock.Mock()
    try:
        gateway.run_process(served, served)
        assert gc.get_freeze_count() > 0
    finally:
        gc.unfreeze()


def test_stopping_gateway_accepts_no_connection_that_it_may_not_have_time_to_answer(
    tmp_path, monkeypatch
):
    """Guards against requests that arrive last, wait to be read, and are closed unanswered."""
    stop_grace_s = scale_stop(monkeypatch)

    async def main():
        async with running(tmp_path, stop_grace_s) as (stopped, _):
            server, forwarder = stopped.gateway.request_server, stopped.gateway.forwarder
            host, _, port = stopped.address.rpartition(":")
            with socket.create_connection((host, int(port))) as connection:
                connection.sendall(b"POST /act/x HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\n")
                await wait_until_receiving(server)
                stopped.stop()
                await wait_until(lambda: stopped.gateway.stopping)
                await clock.sleep_until(forwarder.stops_at - TIME_SCALE)
                connect_and_send(stopped.address).close()
                await wait_until(lambda: server.listener.is_stopped)
                # The sockets close in the next turns of the event loop.
                await anyio.sleep(0.01)
                with pytest.raises(OSError):  # noqa: PT011 - refused or reset, by platform
                    connect_and_send(stopped.address)
                assert clock.now() < forwarder.stops_at

    anyio.run(main)
