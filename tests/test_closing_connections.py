"""Connections of a server that closes or is full: slow callers, and requests just received."""

import socket
import time

import anyio
import gateways
import pytest
import test_gateway_stop

from dogwoodgap import clock, gateway, ingress

STANDSTILL_S = 0.3
LARGE_BODY = bytes(12 * 1024 * 1024)


def test_caller_that_reads_slowly_does_not_keep_a_stopped_gateway_beyond_its_grace(
    tmp_path, monkeypatch
):
    """Guards against a shielded send of a response that outlasts the end of the process."""
    stop_grace_s = test_gateway_stop.scale_stop(monkeypatch)
    monkeypatch.setattr(ingress, "RESPONSE_TIMEOUT_S", test_gateway_stop.HANG_TIMEOUT_S / 4)

    async def main():
        async with test_gateway_stop.running(tmp_path, stop_grace_s) as (stopped, _):
            released = anyio.Event()

            async def respond_late(backend, received, stream):
                await released.wait()
                return await gateways.complete_response(LARGE_BODY)(backend, received, stream)

            stopped.backend.script = respond_late
            host, _, port = stopped.address.rpartition(":")
            connection = socket.socket()
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            connection.connect((host, int(port)))
            connection.sendall(test_gateway_stop.ACTION.replace(b"/act/", b"/long/"))
            await stopped.backend.request_received.wait()
            started_at = clock.now()
            stopped.stop()
            end_at = started_at + stop_grace_s - gateway.STOP_MARGIN_S
            await clock.sleep_until(end_at - 0.3)
            released.set()
            await stopped.ended.wait()
            took_s = clock.now() - started_at
            connection.close()
            assert took_s < stop_grace_s

    anyio.run(main, backend_options={"use_uvloop": True})


@pytest.mark.parametrize("use_uvloop", [True, False])
def test_whole_request_is_not_dropped_while_its_connection_makes_room(use_uvloop, monkeypatch):
    """Guards against a second look of a full server that cuts what the first one has found.

    Several listeners, or a slow turn of the event loop, look again within the turns in which an
    idle connection waits for its last data.
    """
    monkeypatch.setattr(ingress, "ROOM_POLL_INTERVAL_S", 0.0)

    async def main():
        async with test_gateway_stop.running_server(test_gateway_stop.respond_slowly) as (
            server,
            address,
        ):
            connection = test_gateway_stop.connect_and_send(address)
            await test_gateway_stop.wait_until_idle(server)
            server.max_connections = 1
            connection.sendall(test_gateway_stop.REQUEST)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(server.make_room)
                received = await test_gateway_stop.read_all(connection)
            assert received.count(b"whole") == 2

    anyio.run(main, backend_options={"use_uvloop": use_uvloop})


@pytest.mark.parametrize("use_uvloop", [True, False])
def test_requests_that_arrive_while_a_stopping_process_stands_still_are_refused(use_uvloop):
    """Guards against requests that are dropped unread when their process goes on too late."""

    async def refuse(request, responder):
        await responder.send(503, [], b"refused")

    async def main():
        async with test_gateway_stop.running_server(refuse) as (server, address):
            kept = test_gateway_stop.connect_and_send(address)
            assert (await anyio.to_thread.run_sync(kept.recv, 4096)).endswith(b"refused")
            kept.sendall(test_gateway_stop.REQUEST)
            connections = [kept, *(test_gateway_stop.connect_and_send(address) for _ in range(9))]
            time.sleep(STANDSTILL_S)  # noqa: ASYNC251 - the event loop stands still as well
            await server.close(clock.now())
            for connection in connections:
                assert (await test_gateway_stop.read_all(connection)).endswith(b"refused")

    anyio.run(main, backend_options={"use_uvloop": use_uvloop})
