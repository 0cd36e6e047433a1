"""Requests that arrive while a gateway stops: finished, or refused before a server gets them."""

import pathlib
import subprocess
import sys

import anyio
import gateways
import pytest

from dogwoodgap import clock, durations, routes

FOLDER = pathlib.Path(__file__).parent
SERVER_TIME_S = 0.1
LONG_BOUND_S = 4.0
"""Estimate of a request, so much longer than the request that a stop after most of it cuts none."""
NON_IDEMPOTENT = ("plain", routes.RouteKind.NON_IDEMPOTENT)


def run(main):
    """Run a test with a time limit."""

    async def limited():
        with anyio.fail_after(20):
            await main()

    anyio.run(limited)


async def slow(backend, received, stream):
    """Respond after some time."""
    await anyio.sleep(SERVER_TIME_S)
    return await gateways.complete_response()(backend, received, stream)


async def hang(backend, received, stream):
    """Never respond."""
    await anyio.sleep_forever()


async def wait_for(responses, count):
    """Wait until a number of responses has been received."""
    while len(responses) < count:  # noqa: ASYNC110 - the responses come from several tasks
        await anyio.sleep(0.01)


async def learn_durations(harness):
    """Send enough requests for an estimate."""
    for _ in range(durations.MIN_SAMPLES):
        assert (await gateways.send_once(harness, "POST", "/act/x", b"pay")).status == 200


def test_request_that_would_outlast_a_stop_is_refused_before_a_server_gets_it():
    """Guards against a request that must not run twice and is cut while a server runs it."""

    async def main():
        backend = gateways.Backend("p1", "plain", slow)
        async with gateways.running(backend) as harness:
            await learn_durations(harness)
            harness.forwarder.end_requests_at(clock.now() + SERVER_TIME_S / 2)
            response = await gateways.send_once(harness, "POST", "/act/x", b"pay")
            assert (response.status, response.complete) == (503, True)
            assert 0 < float(response.headers["retry-after"]) < SERVER_TIME_S
            assert len(backend.received) == durations.MIN_SAMPLES
            assert harness.forwarder.refused_at_stop == 1

    run(main)


def test_request_that_can_finish_is_served_during_a_stop():
    """Guards against refusing requests from the first moment of a stop."""

    async def main():
        async with gateways.running(gateways.Backend("p1", "plain", slow)) as harness:
            await learn_durations(harness)
            bound_s = harness.forwarder.durations.bound_s(NON_IDEMPOTENT)
            harness.forwarder.end_requests_at(clock.now() + bound_s + 0.3)
            response = await gateways.send_once(harness, "POST", "/act/x", b"pay")
            assert (response.status, response.complete) == (200, True)

    run(main)


def test_request_whose_connection_to_a_server_comes_too_late_is_refused():
    """Guards against a request that could finish before the wait for a connection, not after."""

    async def main():
        backend = gateways.Backend("p1", "plain", slow)
        async with gateways.running(backend) as harness:
            patient = gateways.route("act", routes.RouteKind.NON_IDEMPOTENT, "plain", timeout_s=9.0)
            harness.active_routes.install(routes.RouteTable(2, [patient], gateways.SERVICES))
            await learn_durations(harness)
            harness.forwarder.durations.bound_s = lambda kind: LONG_BOUND_S
            pool = harness.forwarder.pool(backend.entry())
            await pool.close()
            open_connection = pool.open

            async def open_late():
                harness.forwarder.end_requests_at(clock.now() + 1.05 * LONG_BOUND_S)
                await anyio.sleep(0.1 * LONG_BOUND_S)
                return await open_connection()

            pool.open = open_late
            response = await gateways.send_once(harness, "POST", "/act/x", b"pay")
            assert (response.status, response.complete) == (503, True)
            assert len(backend.received) == durations.MIN_SAMPLES

    run(main)


@pytest.mark.parametrize(("path", "status"), [("/act/x", 502), ("/read/x", 502)])
def test_unfinished_request_gets_a_response_at_the_end_of_a_stop(path, status):
    """Guards against connections that are closed without a response when the process ends."""

    async def main():
        backend = gateways.Backend("p1", "plain", hang)
        async with gateways.running(backend) as harness, anyio.create_task_group() as tasks:
            responses = []

            async def send():
                responses.append(await gateways.send_once(harness, "POST", path, b"pay"))

            tasks.start_soon(send)
            await backend.request_received.wait()
            harness.forwarder.end_requests_at(clock.now() + 0.05)
            await wait_for(responses, 1)
            assert [(response.status, response.complete) for response in responses] == [
                (status, True)
            ]

    run(main)


def test_turn_that_still_waits_at_the_end_of_a_stop_is_refused_as_not_run():
    """Guards against turns that wait for an engine and get no response when the process ends."""

    async def main():
        backend = gateways.Backend("e1", "model", hang)
        async with gateways.running(backend) as harness, anyio.create_task_group() as tasks:
            responses = {}

            async def send(number):
                headers = {"dogwoodgap_attempt": f"a{number}"}
                response = await gateways.send_once(harness, "POST", "/turn/x", b"p", **headers)
                responses[f"a{number}"] = response.status

            count = 3 * backend.entry().slots
            for number in range(count):
                tasks.start_soon(send, number)
            await backend.request_received.wait()
            harness.forwarder.end_requests_at(clock.now() + 0.1)
            await wait_for(responses, count)
            run_ids = {received.headers["dogwoodgap-attempt"] for received in backend.received}
            assert 0 < len(run_ids) < count
            for attempt_id, status in responses.items():
                assert status == (502 if attempt_id in run_ids else 503)

    run(main)


def search(*arguments, script="stop_search.py"):
    """Search for cut requests with real processes."""
    command = [sys.executable, str(FOLDER / script), *arguments]
    finished = subprocess.run(command, capture_output=True, text=True, timeout=100, check=False)
    assert finished.returncode == 0, finished.stdout + finished.stderr


@pytest.mark.parametrize("seed", ["1", "2"])
def test_planned_stops_cut_no_request(seed):
    """Guards against requests that arrive late in a stop and are cut when the process ends."""
    search("--seed", seed)


@pytest.mark.parametrize("seed", ["1", "2", "7"])
def test_planned_stops_without_other_traffic_cut_no_request(seed):
    """Guards against requests that arrive while a gateway without connections ends."""
    search("--sparse", "--seed", seed)


def test_planned_stops_on_less_usual_paths_cut_no_request():
    """Guards against cut requests of other gateways, on idle connections or with slow bodies."""
    search("--seed", "33", script="stop_paths_search.py")
