"""Signals to gateways and storage roles as separate processes."""

import itertools
import os
import signal
import subprocess
import sys
import textwrap
import time

import anyio
import anyio.to_thread
import gateway_process
import gateways
import platform_stand_in
import pytest

RESPONSE_S = 2.0


def test_signals_during_a_planned_stop_cut_no_request(tmp_path):
    """Guards against a gateway that is ended by a SIGHUP while it finishes its requests."""

    async def slow(backend, received, stream):
        await anyio.sleep(RESPONSE_S)
        attempt = received.headers["attempt-id"]
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: s\r\n"
        await stream.send(head.encode() + b"Content-Length: 5\r\n\r\nwhole")
        return True

    async def main():
        async with gateway_process.deployment(tmp_path, slow, configuration()) as deployed:
            process = deployed.start_gateway()
            await gateway_process.wait_until_ready(deployed.addresses["http"])
            response = await send_during_stop(process, deployed.addresses["http"], deployed.backend)
            code = await anyio.to_thread.run_sync(process.wait, 20)
        assert (response.status, response.body, response.complete) == (200, b"whole", True)
        assert code == 0

    anyio.run(main)


def configuration():
    """Return routes whose timeout exceeds the time of the slow response."""
    routes = [
        {**route, "timeoutMs": 6_000, "kind": "non_idempotent"}
        for route in platform_stand_in.CONFIGURATION["routes"][:1]
    ]
    return {**platform_stand_in.CONFIGURATION, "routes": routes}


async def send_during_stop(process, address, backend):
    """Send a request, and signals while it runs; return the response."""
    host, _, port = address.rpartition(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        caller = gateways.Caller(stream)
        await caller.send("POST", "/read/x", b"pay", attempt_id="a1")
        with anyio.fail_after(gateway_process.START_LIMIT_S):
            await backend.request_received.wait()
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            process.send_signal(number)
            await anyio.sleep(0.2)
        process.send_signal(signal.SIGINT)
        return await caller.read_response()


def test_storage_role_outlives_sighup_at_any_time():
    """Guards against a storage role that a SIGHUP ends while it starts."""
    process = gateway_process.start("dogwoodgap_platform.storage")
    try:
        # The interpreter itself has no handler before the first line of the program.
        gateway_process.wait_until_signals_are_held(process)
        until = time.monotonic() + 1.5
        while time.monotonic() < until:
            process.send_signal(signal.SIGHUP)
            time.sleep(0.02)
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
    finally:
        process.kill()


def test_signal_during_the_start_leads_to_an_orderly_stop(tmp_path):
    """Guards against a gateway that a SIGTERM ends without a log line before it listens."""

    async def main():
        deploy = gateway_process.deployment(
            tmp_path, gateways.complete_response(), platform_stand_in.CONFIGURATION
        )
        async with deploy as deployed:
            for after_s in (0.0, 0.2, 0.5, 0.8):
                process = deployed.start_gateway()
                gateway_process.wait_until_signals_are_held(process)
                await anyio.sleep(after_s)
                process.send_signal(signal.SIGTERM)
                code = await anyio.to_thread.run_sync(process.wait, 20)
                assert (after_s, code) == (after_s, 0)
                assert "GATEWAY_STOPPED" in deployed.log()
                assert "Traceback" not in deployed.log()

    anyio.run(main)


def test_storage_role_stops_in_order_while_it_starts():
    """Guards against a storage role that a SIGTERM ends by its default action."""
    process = gateway_process.start("dogwoodgap_platform.storage")
    try:
        gateway_process.wait_until_signals_are_held(process)
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
    finally:
        process.kill()


def test_signals_at_the_end_of_a_stop_change_nothing(tmp_path):
    """Guards against a SIGTERM or SIGHUP whose default action ends a gateway that has stopped."""

    async def main():
        deploy = gateway_process.deployment(
            tmp_path, gateways.complete_response(), platform_stand_in.CONFIGURATION
        )
        async with deploy as deployed:
            process = deployed.start_gateway("directory_ttl_s = 0.05")
            await gateway_process.wait_until_ready(deployed.addresses["http"])
            numbers = itertools.cycle([signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
            until = time.monotonic() + gateway_process.START_LIMIT_S
            while process.poll() is None and time.monotonic() < until:
                process.send_signal(next(numbers))
                await anyio.sleep(0.001)
            assert process.wait(0) == 0
            assert "GATEWAY_STOPPED" in deployed.log()

    anyio.run(main)


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_signal_after_the_stop_does_not_change_the_exit_code(number):
    """Guards against a stopped gateway that a further signal ends before it has exited itself."""
    code = textwrap.dedent(
        f"""
        import os
        import anyio
        from dogwoodgap import process_signals

        async def main():
            async with process_signals.receive():
                pass

        process_signals.hold()
        anyio.run(main, backend_options={{"use_uvloop": True}})
        os.kill(os.getpid(), {int(number)})
        """
    )
    path = str(gateway_process.ROOT / "src")
    finished = subprocess.run(
        [sys.executable, "-c", code],
        env={**os.environ, "PYTHONPATH": path},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    assert (finished.returncode, finished.stderr) == (0, "")
