"""Signals to gateways and storage roles as separate processes."""

import os
import pathlib
import signal
import subprocess
import sys
import time

import anyio
import anyio.to_thread
import gateways
import listen_addresses
import platform_stand_in

from dogwoodgap import ingress

ROOT = pathlib.Path(__file__).resolve().parents[1]
START_LIMIT_S = 20.0
RESPONSE_S = 2.0
SETTINGS = """\
[node]
name = "front-1"
data_centre = "d1"
region = "r1"
http_bind = "{http}"
peer_bind = "{peer}"
seeds = ["{peer}"]
data_folder = ""

[gateway]
ready_bind = "{ready}"
directory_bind = "{directory}"
stop_grace_s = 8
return_grace_s = 2
first_start = true

[platform]
url = "http://{store}"
writes_per_s = 400
reads_per_s = 2000
"""


def start(module, **environment):
    """Start a program of the platform's adapter."""
    path = os.pathsep.join([str(ROOT / "src"), str(ROOT / "platform")])
    return subprocess.Popen(
        [sys.executable, "-m", module],
        env={**os.environ, "PYTHONPATH": path, **environment},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


async def wait_until_ready(address):
    """Wait until a gateway accepts connections."""
    host, _, port = address.rpartition(":")
    with anyio.fail_after(START_LIMIT_S):
        while True:
            try:
                async with await anyio.connect_tcp(host, int(port)):
                    return
            except OSError:
                await anyio.sleep(0.05)


def test_signals_during_a_planned_stop_cut_no_request(tmp_path):
    """Guards against a gateway that is ended by a SIGHUP while it finishes its requests."""
    addresses = {
        name: listen_addresses.free_address() for name in ("http", "peer", "ready", "directory")
    }

    async def slow(backend, received, stream):
        await anyio.sleep(RESPONSE_S)
        attempt = received.headers["attempt-id"]
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Seal: s\r\n"
        await stream.send(head.encode() + b"Content-Length: 5\r\n\r\nwhole")
        return True

    async def main():
        store = platform_stand_in.Store()
        backend = gateways.Backend("p1", "plain", slow)
        store.put("config", "main", spec=configuration())
        entry = {"service": "plain", "addr": backend.address, "zone": "d1", "slots": 4}
        store.put("servers", "p1", spec={**entry, "state": "ready", "seq": 1, "born": 1})
        async with anyio.create_task_group() as tasks:
            await tasks.start(ingress.Server(store.handle).serve, store.address)
            await tasks.start(backend.serve)
            settings = tmp_path / "settings.toml"
            settings.write_text(SETTINGS.format(store=store.address, **addresses))
            process = start("dogwoodgap_platform", DOGWOODGAP_SETTINGS=str(settings))
            try:
                await wait_until_ready(addresses["http"])
                response = await send_during_stop(process, addresses["http"], backend)
                code = await anyio.to_thread.run_sync(process.wait, 20)
            finally:
                process.kill()
            tasks.cancel_scope.cancel()
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
        with anyio.fail_after(START_LIMIT_S):
            await backend.request_received.wait()
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
            process.send_signal(number)
            await anyio.sleep(0.2)
        process.send_signal(signal.SIGINT)
        return await caller.read_response()


def test_storage_role_outlives_sighup_at_any_time():
    """Guards against a storage role that a SIGHUP ends while it starts."""
    process = start("dogwoodgap_platform.storage")
    try:
        until = time.monotonic() + 1.5
        while time.monotonic() < until:
            # The interpreter itself has no handler before the first line of the program.
            if time.monotonic() > until - 1.2:
                process.send_signal(signal.SIGHUP)
            time.sleep(0.02)
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
    finally:
        process.kill()
