"""Processes that cannot accept a connection, or cannot listen on an address yet."""

import resource
import socket

import anyio
import anyio.to_thread
import gateway_process
import platform_stand_in
import pytest

from dogwoodgap import exceptions, listeners

DESCRIPTORS = 96
CONFIGURATION = platform_stand_in.CONFIGURATION
HELD_S = 1.0


async def respond(backend, received, stream):
    """Respond with the platform's headers."""
    attempt = received.headers["attempt-id"]
    head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: s\r\n"
    await stream.send(head.encode() + b"Content-Length: 2\r\n\r\nok")
    return True


def occupy(address):
    """Listen on an address."""
    host, _, port = address.rpartition(":")
    occupant = socket.socket()
    occupant.bind((host, int(port)))
    occupant.listen()
    return occupant


def test_gateway_without_free_descriptors_goes_on(tmp_path):
    """Guards against a process that ends because it cannot accept one more connection."""

    async def main():
        async with gateway_process.deployment(tmp_path, respond, CONFIGURATION) as deployed:
            process = deployed.start_gateway()
            host, _, port = deployed.addresses["http"].rpartition(":")
            await gateway_process.wait_until_ready(deployed.addresses["http"])
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
            held = [await anyio.connect_tcp(host, int(port)) for _ in range(2 * DESCRIPTORS)]
            await anyio.sleep(HELD_S)
            assert process.poll() is None
            for stream in held:
                await stream.aclose()
            with anyio.fail_after(5):
                response = await deployed.call()
            assert (response.status, response.complete) == (200, True)

    anyio.run(main)


@pytest.mark.parametrize("is_idle", [True, False])
def test_callers_leave_descriptors_for_servers(tmp_path, is_idle):
    """Guards against connections of callers that take the descriptors of those to servers."""

    async def main():
        async with gateway_process.deployment(tmp_path, respond, CONFIGURATION) as deployed:
            process = deployed.start_gateway(f"max_connections = {DESCRIPTORS // 2}")
            host, _, port = deployed.addresses["http"].rpartition(":")
            await gateway_process.wait_until_ready(deployed.addresses["http"])
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
            held = [await anyio.connect_tcp(host, int(port)) for _ in range(2 * DESCRIPTORS)]
            if not is_idle:
                for stream in held:
                    await stream.send(b"POST /read/x HTTP/1.1\r\n")
            await anyio.sleep(HELD_S)
            with anyio.fail_after(10):
                response = await deployed.call()
            assert (response.status, response.complete) == (200, True)
            assert "ACCEPT_FAILED" not in deployed.log()
            assert deployed.backend.opened >= 1

    anyio.run(main)


@pytest.mark.parametrize("name", ["http", "peer", "ready", "directory"])
def test_gateway_waits_for_an_address_in_use(tmp_path, name):
    """Guards against a gateway that ends because its predecessor has not ended yet."""

    async def main():
        async with gateway_process.deployment(tmp_path, respond, CONFIGURATION) as deployed:
            occupant = occupy(deployed.addresses[name])
            process = deployed.start_gateway()
            await anyio.sleep(2 * HELD_S)
            assert process.poll() is None
            occupant.close()
            await gateway_process.wait_until_ready(deployed.addresses["http"])
            with anyio.fail_after(5):
                while (await deployed.call()).status != 200:  # noqa: ASYNC110 - another process
                    await anyio.sleep(0.05)
            assert deployed.log().count("ADDRESS_UNAVAILABLE") == 1

    anyio.run(main)


def test_gateway_whose_address_stays_in_use_names_it_and_the_remedy(tmp_path):
    """Guards against nested tracebacks in place of a message that an operator can act on."""

    async def main():
        async with gateway_process.deployment(tmp_path, respond, CONFIGURATION) as deployed:
            address = deployed.addresses["ready"]
            with occupy(address):
                process = deployed.start_gateway("bind_timeout_s = 0.5")
                code = await anyio.to_thread.run_sync(process.wait, 20)
            assert code == 1
            assert "Traceback" not in deployed.log()
            last = deployed.log().splitlines()[-1]
            assert "GATEWAY_START_FAILED" in last
            assert address in last
            assert "stop the process that uses it" in last

    anyio.run(main)


def test_listener_ends_with_its_own_error_when_it_may_not_wait():
    """Guards against errors of the operating system that name neither address nor remedy."""

    async def main():
        first = await listeners.open_listener("127.0.0.1:0")
        port = first.listener.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
        with pytest.raises(exceptions.AddressUnavailableError, match=f"127.0.0.1:{port}"):
            await listeners.open_listener(f"127.0.0.1:{port}")
        await first.aclose()

    anyio.run(main)


def test_failed_connection_ends_no_other_one():
    """Guards against an unexpected error in one connection that ends the whole process."""

    async def main():
        served = []

        async def handle(stream):
            async with stream:
                served.append(stream)
                if len(served) == 1:
                    raise ValueError("unexpected")
                await stream.send(b"x")

        listener = await listeners.open_listener("127.0.0.1:0")
        port = listener.listener.listeners[0].extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, handle)
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                with pytest.raises(anyio.EndOfStream):
                    await stream.receive()
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                assert await stream.receive() == b"x"
            tasks.cancel_scope.cancel()

    anyio.run(main)
