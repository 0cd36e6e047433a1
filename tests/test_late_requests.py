"""Requests that begin late in a stop: what the estimate of their duration is based on."""

import anyio
import gateways

from dogwoodgap import clock, durations, routes

SERVER_TIME_S = 0.5
LEARNT_S = 5.0


def run(main):
    """Run a test with a time limit."""

    async def limited():
        with anyio.fail_after(30):
            await main()

    anyio.run(limited)


def model(server_id, script):
    """Return a backend server of streams."""
    return gateways.Backend(server_id, "model", script)


def install_long_timeouts(harness):
    """Give streams and actions more time than a stop has."""
    table = [
        gateways.route("act", routes.RouteKind.NON_IDEMPOTENT, "plain", timeout_s=9.0),
        gateways.route(
            "turn", routes.RouteKind.STREAMING, "model", resumable=True, prompts=True, timeout_s=9.0
        ),
        gateways.route("talk", routes.RouteKind.STREAMING, "model", timeout_s=9.0),
    ]
    harness.active_routes.install(routes.RouteTable(2, table, gateways.SERVICES))


async def check_late_request_is_refused(harness, path):
    """Send a request that takes longer than the stop leaves, and check that it is refused."""
    harness.forwarder.end_requests_at(clock.now() + 0.8 * SERVER_TIME_S)
    response = await gateways.send_once(harness, "POST", path, b"p")
    assert (response.status, response.complete) == (503, True)


def test_stream_that_breaks_off_during_a_stop_is_continued_while_there_is_time():
    """Guards against a begun stream that is cut since a whole one could not finish any more."""

    async def main():
        requests = 0

        async def script(backend, received, stream):
            nonlocal requests
            requests += 1
            last = int(received.headers.get("last-event-id", "0"))
            if last:
                return await gateways.streaming(last + 1, 5)(backend, received, stream)
            harness.forwarder.end_requests_at(clock.now() + 0.8 * LEARNT_S)
            return await gateways.streaming(1, 4, finish=False)(backend, received, stream)

        async with gateways.running(model("m1", script), model("m2", script)) as harness:
            install_long_timeouts(harness)
            window = durations.DurationWindow()
            for _ in range(durations.MIN_SAMPLES):
                window.add(LEARNT_S)
            harness.forwarder.durations.windows["model", routes.RouteKind.STREAMING] = window
            response = await gateways.send_once(harness, "POST", "/turn/x", b"p")
            assert (response.status, response.complete) == (200, True)
            assert requests == 2

    run(main)


def test_callers_that_leave_early_do_not_lower_the_estimate():
    """Guards against streams that begin too late in a stop, since abandoned ones seemed short."""

    async def main():
        async def slow(backend, received, stream):
            await gateways.streaming(1, 1, finish=False)(backend, received, stream)
            await anyio.sleep(SERVER_TIME_S)
            await stream.send(gateways.chunk(gateways.event(2)) + gateways.LAST_CHUNK)
            return True

        backend = model("m1", slow)
        async with gateways.running(backend) as harness:
            install_long_timeouts(harness)
            for _ in range(durations.MIN_SAMPLES):
                async with gateways.caller(harness) as connection:
                    await connection.send("POST", "/talk/x", b"p")
                    await anyio.sleep(0.03)
            await anyio.sleep(0.05)
            await check_late_request_is_refused(harness, "/talk/x")

    run(main)


def test_errors_that_a_server_returns_at_once_do_not_lower_the_estimate():
    """Guards against requests that begin too late in a stop, since 4xx responses were fast."""

    async def main():
        backend = gateways.Backend("p1", "plain", gateways.complete_response(b"no", 404))
        async with gateways.running(backend) as harness:
            install_long_timeouts(harness)
            for _ in range(durations.MIN_SAMPLES):
                assert (await gateways.send_once(harness, "POST", "/act/x", b"p")).status == 404

            async def slow(backend, received, stream):
                await anyio.sleep(SERVER_TIME_S)
                return await gateways.complete_response()(backend, received, stream)

            backend.script = slow
            await check_late_request_is_refused(harness, "/act/x")

    run(main)


def test_rest_of_a_stream_that_was_continued_does_not_count_as_a_whole_one():
    """Guards against streams that begin too late in a stop, since continued ones seemed short.

    Breaking off in the first half is shorter than the rest, so that only the rest counts.
    """

    async def main():
        breaks_off = True
        gap_s = SERVER_TIME_S / 5

        async def script(backend, received, stream):
            first = int(received.headers.get("last-event-id", "0")) + 1
            if first == 1 and breaks_off:
                return await gateways.streaming(1, 2, finish=False, gap_s=gap_s)(
                    backend, received, stream
                )
            return await gateways.streaming(first, 5, gap_s=gap_s)(backend, received, stream)

        backends = [model("m1", script), model("m2", script)]
        async with gateways.running(*backends) as harness:
            install_long_timeouts(harness)
            for number in range(durations.MIN_SAMPLES):
                response = await gateways.send_once(
                    harness, "POST", "/turn/x", b"p", dogwoodgap_attempt=f"a{number}"
                )
                assert (response.status, response.complete) == (200, True)
            breaks_off = False
            await check_late_request_is_refused(harness, "/turn/x")

    run(main)


def test_responses_that_break_off_early_do_not_lower_the_estimate():
    """Guards against requests that begin too late in a stop, since failed ones seemed short."""

    async def main():
        backend = model("m1", gateways.streaming(1, 1, finish=False))
        async with gateways.running(backend) as harness:
            install_long_timeouts(harness)
            for _ in range(durations.MIN_SAMPLES):
                assert not (await gateways.send_once(harness, "POST", "/talk/x", b"p")).complete
            backend.script = gateways.streaming(1, 5, gap_s=SERVER_TIME_S / 5)
            await check_late_request_is_refused(harness, "/talk/x")

    run(main)
