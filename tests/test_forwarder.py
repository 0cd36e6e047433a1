"""Forwarding over real sockets, as seen by callers and backend servers."""

import contextlib
import math

import anyio
import gateways
import pytest

from dogwoodgap import repeats, routes, servers, upstream

HUNG_SERVER_LIMIT_S = 0.7
"""Time for a request that first reaches a server that hangs."""


def run(main):
    """Run a coroutine function with a timeout of 20 s."""

    async def limited():
        with anyio.fail_after(20):
            await main()

    anyio.run(limited)


def plain(server_id, script):
    return gateways.Backend(server_id, "plain", script)


def model(server_id, script):
    return gateways.Backend(server_id, "model", script)


def in_sequence(*scripts):
    """Return a script that runs the given scripts in turn; the last one is repeated."""
    remaining = list(scripts)

    async def script(backend, received, stream):
        chosen = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        return await chosen(backend, received, stream)

    return script


async def close_without_response(backend, received, stream):
    """Close the connection without a response."""
    return False


async def truncate_body(backend, received, stream):
    await stream.send(gateways.response_head(received, 200, "content-length: 10") + b"half")
    return False


async def never_respond(backend, received, stream):
    await anyio.sleep(30)
    return False


def test_request_and_response_are_forwarded_unchanged():
    """Guards against modified methods, paths, bodies and headers."""

    async def main():
        backend = plain("p1", gateways.complete_response(b"body", 200, "x-own: 1"))
        async with gateways.running(backend) as harness:
            response = await gateways.send_once(
                harness,
                "POST",
                "/act/a%20b?q=1",
                b"payload",
                x_mine="2",
                dogwoodgap_deadline_ms="500",
                dogwoodgap_hold="secret",
                dogwoodgap_expect_server="other",
            )
        assert (response.status, response.body, response.headers["x-own"]) == (200, b"body", "1")
        assert response.headers["dogwoodgap-seal"] == "s1"
        received = backend.received[0]
        assert (received.target, received.body) == ("/act/a%20b?q=1", b"payload")
        assert received.headers["x-mine"] == "2"
        assert received.headers["dogwoodgap-expect-server"] == "p1"
        assert "dogwoodgap-hold" not in received.headers
        assert 400 < int(received.headers["dogwoodgap-deadline-ms"]) <= 500

    run(main)


@pytest.mark.parametrize("pause_s", [0.0, 1.5 * repeats.MIN_RESPONSE_TIMEOUT_S])
def test_keeps_connections_on_both_sides(pause_s):
    """Guards against opening a new connection for every request.

    Only a retry opens another one: on a reused connection, silence may mean that it is dead.
    """

    async def pause(backend, received, stream):
        if len(backend.received) == 5:
            await anyio.sleep(pause_s)
        return await gateways.complete_response()(backend, received, stream)

    async def main():
        backend = plain("p1", pause)
        async with gateways.running(backend) as harness, gateways.caller(harness) as connection:
            slow = 0
            for _ in range(5):
                sent_at = anyio.current_time()
                assert (await connection.call("GET", "/read/x")).complete
                slow += anyio.current_time() - sent_at >= repeats.MIN_RESPONSE_TIMEOUT_S
        retries = len(backend.received) - 5
        assert backend.opened == 1 + retries
        assert retries <= slow

    run(main)


def test_unknown_path_is_404_and_no_routes_are_503():
    """Guards against a 404 from a node that has not loaded any routes."""

    async def main():
        backend = plain("p1", gateways.complete_response())
        async with gateways.running(backend) as harness:
            assert (await gateways.send_once(harness, "GET", "/none/x")).status == 404
            harness.active_routes.table = None
            response = await gateways.send_once(harness, "GET", "/read/x")
            assert (response.status, float(response.headers["retry-after"]) > 0) == (503, True)
        assert not backend.received

    run(main)


def test_request_before_the_first_listing_is_503():
    """Guards against closing the connection after an error response while no server is known."""

    async def main():
        async with gateways.running() as harness, gateways.caller(harness) as connection:
            harness.server_registry.confirmed_at = -math.inf
            for _ in range(2):
                assert (await connection.call("GET", "/read/x")).status == 503

    run(main)


@pytest.mark.parametrize("fault", [truncate_body, close_without_response])
def test_idempotent_request_is_retried_after_an_invalid_response(fault):
    """Guards against a truncated response that reaches a caller."""

    async def main():
        backends = [
            plain("p1", in_sequence(fault, gateways.complete_response())),
            plain("p2", gateways.complete_response()),
        ]
        async with gateways.running(*backends) as harness:
            for number in range(4):
                response = await gateways.send_once(
                    harness, "GET", "/read/x", dogwoodgap_attempt=f"a{number}"
                )
                assert (response.status, response.body, response.complete) == (200, b"ok", True)

    run(main)


@pytest.mark.parametrize("fault", [truncate_body, close_without_response])
def test_non_idempotent_request_is_never_sent_twice(fault):
    """Guards against running a request twice, and against a status that claims it did not run."""

    async def main():
        backends = [plain("p1", fault), plain("p2", fault)]
        async with gateways.running(*backends) as harness:
            response = await gateways.send_once(harness, "POST", "/act/x", b"pay")
        assert response.status == 502
        assert sum(len(backend.received) for backend in backends) == 1

    run(main)


def test_invalid_response_to_a_large_body_is_502():
    """Guards against an exception group of the sending task that hides the invalid response."""

    async def main():
        async with gateways.running(plain("p1", truncate_body)) as harness:
            assert (
                await gateways.send_once(harness, "POST", "/act/x", b"x" * 100_000)
            ).status == 502

    run(main)


def test_unresponsive_reused_connection_is_replaced():
    """Guards against requests that wait on a dead connection that still looks open."""

    async def first_only(backend, received, stream):
        if received.connection == 1 and len(backend.received) > 1:
            await anyio.sleep(30)
        return await gateways.complete_response()(backend, received, stream)

    async def main():
        backend = plain("p1", first_only)
        async with gateways.running(backend) as harness, gateways.caller(harness) as connection:
            assert (await connection.call("GET", "/read/x")).status == 200
            assert (await connection.call("GET", "/read/x")).status == 200
        assert backend.opened == 2

    run(main)


def test_idle_connections_to_a_removed_server_are_closed():
    """Guards against open connections to an address that may be reassigned to another server."""
    closed = []

    async def main():
        async def note_end(backend, received, stream):
            await gateways.complete_response()(backend, received, stream)
            try:
                await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                closed.append(backend.id)
            return False

        async with gateways.running(plain("p1", note_end)) as harness:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(harness.forwarder.close_retired)
                assert (await gateways.send_once(harness, "GET", "/read/x")).status == 200
                harness.server_registry.apply(
                    servers.Listing(harness.server_registry.revision + 1, ())
                )
                await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()
            assert closed == ["p1"]

    run(main)


def test_connection_that_is_busy_when_its_server_is_removed_is_closed_later():
    """Guards against descriptors that stay open after the last request to a removed server."""

    async def main():
        released, ended = anyio.Event(), anyio.Event()

        async def note_end(backend, received, stream):
            await gateways.delayed(released)(backend, received, stream)
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                await stream.receive()
            ended.set()
            return False

        backend = plain("p1", note_end)
        async with gateways.running(backend) as harness, anyio.create_task_group() as tasks:
            tasks.start_soon(harness.forwarder.close_retired)
            tasks.start_soon(gateways.send_once, harness, "GET", "/read/x")
            await backend.request_received.wait()
            harness.server_registry.apply(servers.Listing(harness.server_registry.revision + 1, ()))
            await anyio.sleep(0.05)
            released.set()
            with anyio.move_on_after(1):
                await ended.wait()
            assert ended.is_set()
            tasks.cancel_scope.cancel()

    run(main)


async def wait_for_requests(backend, statuses, count):
    """Wait until each of some requests has reached a server or has been answered."""
    while True:
        if len(statuses) + len(backend.received) == count:
            return
        await anyio.sleep(0.01)


@pytest.mark.parametrize("permit_delay_s", [0.0, 0.05])
def test_connections_to_a_server_are_limited(permit_delay_s):
    """Guards against exceeding the connection limit, above which a server resets connections.

    With a delay, all requests choose the server before the first one is sent.
    """

    async def main():
        released = anyio.Event()
        backend = plain("p1", gateways.delayed(released))
        async with gateways.running(backend) as harness, anyio.create_task_group() as tasks:
            services = [routes.Service("plain", 4), gateways.SERVICES[1]]
            harness.active_routes.install(routes.RouteTable(2, gateways.ROUTES, services))
            statuses = []

            async def grant(server, max_delay_s):
                return permit_delay_s

            harness.permit_coordinator.acquire = grant

            async def send_request(number):
                response = await gateways.send_once(
                    harness, "POST", "/act/x", b"pay", dogwoodgap_attempt=f"a{number}"
                )
                statuses.append(response.status)

            for number in range(8):
                tasks.start_soon(send_request, number)
            with anyio.fail_after(5):
                await wait_for_requests(backend, statuses, 8)
            released.set()
        assert backend.opened == 4
        assert sorted(statuses) == [200] * 4 + [503] * 4

    run(main)


def test_refused_request_goes_to_another_server():
    """Guards against a failure although the server stated that it did not run the request."""

    async def main():
        backends = [plain("p1", gateways.not_run()), plain("p2", gateways.complete_response())]
        async with gateways.running(*backends) as harness:
            for number in range(6):
                response = await gateways.send_once(
                    harness, "POST", "/act/x", b"pay", dogwoodgap_attempt=f"a{number}"
                )
                assert response.status == 200
        assert len(backends[1].received) == 6

    run(main)


@pytest.mark.parametrize(
    "address", ["127.0.0.1:99999", "é" * 80 + ":1", "no-port"], ids=["port", "name", "no port"]
)
def test_server_with_an_invalid_address_is_unreachable(address):
    """Guards against a request that fails, rather than goes elsewhere, by one malformed entry."""

    async def main():
        pool = upstream.ServerPool(servers.BackendServer("p0", "plain", address, "d1", 4))
        with pytest.raises(upstream.ServerUnreachableError):
            await pool.acquire(math.inf)

    run(main)


def test_request_refused_by_all_servers_is_503():
    """Guards against a status other than 503, and a gateway error with a server's signature."""

    async def main():
        backends = [plain("p1", gateways.not_run()), plain("p2", gateways.not_run(421))]
        async with gateways.running(*backends) as harness:
            response = await gateways.send_once(harness, "POST", "/act/x", b"pay")
        assert response.status == 503
        assert "dogwoodgap-seal" not in response.headers

    run(main)


def test_server_error_is_relayed():
    """Guards against changing a status that the server has signed."""

    async def main():
        async with gateways.running(plain("p1", gateways.complete_response(b"no", 500))) as harness:
            response = await gateways.send_once(harness, "POST", "/act/x", b"pay")
        assert (response.status, response.body, "dogwoodgap-seal" in response.headers) == (
            500,
            b"no",
            True,
        )

    run(main)


def test_idempotent_request_is_retried_on_another_server_after_a_server_error():
    """Guards against relaying an error of one server while others would succeed."""

    async def main():
        backends = [
            plain("p1", gateways.complete_response(b"no", 500)),
            plain("p2", gateways.complete_response(b"yes")),
        ]
        async with gateways.running(*backends) as harness:
            for number in range(8):
                response = await gateways.send_once(
                    harness, "GET", "/read/x", dogwoodgap_attempt=f"a{number}"
                )
                assert (response.status, response.body) == (200, b"yes")
        assert 1 <= len(backends[0].received) < 8

    run(main)


def test_error_of_all_servers_is_relayed_unchanged():
    """Guards against a gateway error in place of the server's own response."""

    async def main():
        backends = [
            plain("p1", gateways.complete_response(b"no", 500)),
            plain("p2", gateways.complete_response(b"no", 500)),
        ]
        async with gateways.running(*backends) as harness:
            response = await gateways.send_once(harness, "GET", "/read/x")
        assert (response.status, response.body) == (500, b"no")
        assert "dogwoodgap-seal" in response.headers

    run(main)


def test_idempotent_request_is_retried_when_a_server_hangs():
    """Guards against waiting for a hung server until the deadline while others are free."""

    async def hang(backend, received, stream):
        await anyio.sleep(30)
        return False

    async def main():
        backends = [plain("p1", hang), plain("p2", gateways.complete_response(b"yes"))]
        async with gateways.running(*backends) as harness:
            for _ in range(4):
                with anyio.fail_after(HUNG_SERVER_LIMIT_S):
                    assert (await gateways.send_once(harness, "GET", "/read/x")).body == b"yes"
        assert len(backends[0].received) <= 2

    run(main)


def test_server_that_trickles_its_head_is_given_up():
    """Guards against a wait that each byte of a stalled response prolongs."""

    async def trickle(backend, received, stream):
        for byte in gateways.response_head(received, 200, "content-length: 2"):
            await stream.send(bytes([byte]))
            await anyio.sleep(0.02)
        return False

    async def main():
        backends = [plain("p1", trickle), plain("p2", gateways.complete_response(b"yes"))]
        async with gateways.running(*backends) as harness:
            for number in range(10):
                headers = {"dogwoodgap_attempt": f"a{number}"}
                response = await gateways.send_once(harness, "GET", "/read/x", **headers)
                assert response.body == b"yes"
        assert backends[0].received

    run(main)


def test_slow_server_is_waited_for_when_no_retry_is_left():
    """Guards against a 502 for a request that its only server is about to finish."""

    async def slow(backend, received, stream):
        await anyio.sleep(0.45)
        return await gateways.complete_response(b"late")(backend, received, stream)

    async def main():
        backends = [plain("p1", slow), plain("p2", slow)]
        async with gateways.running(*backends) as harness:
            harness.forwarder.retry_budget("plain").available = 0.0
            assert (await gateways.send_once(harness, "GET", "/read/x")).body == b"late"
        assert len(backends[0].received) + len(backends[1].received) == 1

    run(main)


def test_steady_slow_service_runs_each_request_once():
    """Guards against a fixed timeout that every request of a slow service exceeds."""

    async def slow(backend, received, stream):
        await anyio.sleep(0.25)
        return await gateways.complete_response(b"slow")(backend, received, stream)

    async def main():
        backends = [plain("p1", slow), plain("p2", slow)]
        async with gateways.running(*backends) as harness:
            for _ in range(8):
                assert (await gateways.send_once(harness, "GET", "/read/x")).body == b"slow"
        assert len(backends[0].received) + len(backends[1].received) == 8

    run(main)


def test_server_that_is_silent_until_the_deadline_is_avoided_next():
    """Guards against a hanging server that keeps its share of requests with little time."""

    async def hang(backend, received, stream):
        await anyio.sleep(30)
        return False

    async def half(backend, received, stream):
        await anyio.sleep(0.3)
        return await gateways.complete_response(b"yes")(backend, received, stream)

    async def main():
        backends = [plain("p1", half), plain("p2", hang)]
        async with gateways.running(*backends) as harness:
            for _ in range(3):
                with harness.forwarder.durations.measure(("plain", routes.RouteKind.IDEMPOTENT)):
                    await anyio.sleep(0.3)
            statuses = [
                (await gateways.send_once(harness, "GET", "/read/x")).status for _ in range(6)
            ]
        assert len(backends[1].received) <= 3
        assert statuses.count(200) >= 3

    run(main)


def test_request_that_is_slow_on_all_servers_marks_none_as_failing():
    """Guards against avoiding healthy servers because one kind of request is slow."""

    async def slow(backend, received, stream):
        await anyio.sleep(2 * repeats.MIN_RESPONSE_TIMEOUT_S)
        return await gateways.complete_response(b"late")(backend, received, stream)

    async def main():
        backends = [plain("p1", slow), plain("p2", slow)]
        async with gateways.running(*backends) as harness:
            assert (await gateways.send_once(harness, "GET", "/read/x")).body == b"late"
            states = harness.forwarder.loads.states
        assert len(backends[0].received) + len(backends[1].received) == 2
        assert min(states[name].failure_rate for name in ("p1", "p2")) == 0.0

    run(main)


def test_success_without_signature_is_not_relayed():
    """Guards against relaying bytes of a faulty server that look like a response."""

    async def unsigned(backend, received, stream):
        await stream.send(
            gateways.response_head(received, 200, "content-length: 2", signed=False) + b"ok"
        )
        return True

    async def main():
        async with gateways.running(plain("p1", unsigned)) as harness:
            assert (await gateways.send_once(harness, "POST", "/act/x", b"pay")).status == 502

    run(main)


def test_late_response_to_another_request_is_skipped():
    """Guards against responses that are delivered to the wrong request."""

    async def late(backend, received, stream):
        unrelated = gateways.ReceivedRequest("", {"dogwoodgap-attempt": "other"}, b"", 0)
        await stream.send(gateways.response_head(unrelated, 200, "content-length: 5") + b"wrong")
        return await gateways.complete_response(b"right")(backend, received, stream)

    async def main():
        async with gateways.running(plain("p1", late)) as harness:
            response = await gateways.send_once(harness, "POST", "/act/x", b"pay")
        assert (response.status, response.body) == (200, b"right")

    run(main)


def test_extra_bytes_after_a_response_close_the_connection():
    """Guards against leftover bytes that are parsed as the next response."""

    async def extra(backend, received, stream):
        await stream.send(gateways.response_head(received, 200, "content-length: 2") + b"okEXTRA")
        return True

    async def main():
        backend = plain("p1", extra)
        async with gateways.running(backend) as harness:
            for number in range(3):
                response = await gateways.send_once(
                    harness, "GET", "/read/x", dogwoodgap_attempt=f"a{number}"
                )
                assert (response.status, response.body) == (200, b"ok")
        assert backend.opened == 3

    run(main)


def test_response_without_length_ends_with_its_connection():
    """Guards against losing a response whose end is marked only by the closed connection."""

    async def unframed(backend, received, stream):
        await stream.send(gateways.response_head(received) + b"all of it")
        return False

    async def main():
        async with gateways.running(plain("p1", unframed)) as harness:
            response = await gateways.send_once(harness, "POST", "/act/x", b"pay")
        assert (response.status, response.body, response.complete) == (200, b"all of it", True)

    run(main)


def test_early_response_to_a_large_body_closes_the_connection():
    """Guards against a reused connection on which the rest of a body is parsed as a request."""

    async def main():
        opened = []

        async def early(stream):
            opened.append(1)
            async with stream:
                await stream.receive(100)
                await stream.send(
                    b"HTTP/1.1 429 X\r\ndogwoodgap-attempt: a1\r\ndogwoodgap-not-run: 1\r\n"
                    b"content-length: 0\r\n\r\n"
                )
                await anyio.sleep(1)

        backend = plain("p1", gateways.complete_response())
        async with gateways.running() as harness, anyio.create_task_group() as tasks:
            host, _, port = backend.address.rpartition(":")
            listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
            tasks.start_soon(listener.serve, early)
            harness.backends.append(backend)
            harness.list_servers()
            for _ in range(2):
                response = await gateways.send_once(harness, "POST", "/act/x", b"x" * 3_000_000)
                assert response.status == 503
            tasks.cancel_scope.cancel()
        assert len(opened) == 2

    run(main)


def test_route_timeout_ends_a_request():
    """Guards against callers that wait longer than the configured timeout."""

    async def main():
        async with gateways.running(plain("p1", never_respond)) as harness:
            started = anyio.current_time()
            response = await gateways.send_once(harness, "POST", "/act/x", b"pay")
            took = anyio.current_time() - started
        assert response.status == 504
        assert gateways.TIMEOUT_S <= took < gateways.TIMEOUT_S + 0.4

    run(main)


def test_caller_disconnect_cancels_the_request():
    """Guards against servers that keep working for disconnected callers."""

    async def main():
        ended = anyio.Event()

        async def watched(backend, received, stream):
            try:
                await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                ended.set()
            return False

        backend = plain("p1", watched)
        async with gateways.running(backend) as harness:
            async with gateways.caller(harness) as connection:
                await connection.send("POST", "/act/x", b"pay")
                await backend.request_received.wait()
            with anyio.fail_after(0.3):
                await ended.wait()

    run(main)


def test_stream_is_relayed_event_by_event():
    """Guards against delayed, truncated or modified events."""

    async def main():
        async with gateways.running(model("m1", gateways.streaming(1, 4))) as harness:
            response = await gateways.send_once(harness, "POST", "/turn/x", b"prompt")
        assert response.complete
        assert response.body == b"".join(gateways.event(number) for number in range(1, 5))

    run(main)


def test_resumable_stream_continues_on_another_server():
    """Guards against missing, duplicated or merged events after a server crash."""

    async def crash(backend, received, stream):
        await gateways.streaming(1, 2, finish=False)(backend, received, stream)
        await stream.send(gateways.chunk(b"id: 3\nda"))
        harness.server_registry.apply(
            servers.Listing(
                harness.server_registry.revision + 1,
                tuple(other.entry() for other in harness.backends if other is not backend),
            )
        )
        return False

    async def resume(backend, received, stream):
        last = received.headers.get("last-event-id")
        if last is None:
            return await crash(backend, received, stream)
        return await gateways.streaming(int(last) + 1, 5)(backend, received, stream)

    harness = None

    async def main():
        nonlocal harness
        backends = [model("m1", resume), model("m2", resume)]
        async with gateways.running(*backends) as harness:
            response = await gateways.send_once(harness, "POST", "/turn/x", b"prompt")
        assert response.complete
        assert response.body == b"".join(gateways.event(number) for number in range(1, 6))

    run(main)


def test_resumable_stream_continues_on_the_same_server_after_a_reset():
    """Guards against failing the stream, or running it on more servers than the route allows."""

    async def script(backend, received, stream):
        last = received.headers.get("last-event-id")
        if last is None:
            return await gateways.streaming(1, 2, finish=False)(backend, received, stream)
        return await gateways.streaming(int(last) + 1, 5)(backend, received, stream)

    async def main():
        backends = [model("m1", script), model("m2", script)]
        async with gateways.running(*backends) as harness:
            response = await gateways.send_once(harness, "POST", "/turn/x", b"prompt")
        assert response.complete
        assert response.body == b"".join(gateways.event(number) for number in range(1, 6))
        assert sorted(len(backend.received) for backend in backends) == [0, 2]

    run(main)


def test_interrupted_non_resumable_stream_is_truncated():
    """Guards against a truncated stream that looks complete."""

    async def main():
        script = gateways.streaming(1, 2, finish=False)
        async with gateways.running(model("m1", script), model("m2", script)) as harness:
            response = await gateways.send_once(harness, "POST", "/talk/x", b"prompt")
        assert (response.status, response.complete) == (200, False)
        assert sum(len(backend.received) for backend in harness.backends) == 1

    run(main)


def test_stream_with_a_missing_event_is_truncated():
    """Guards against relaying a stream in which an event is missing."""

    async def gap(backend, received, stream):
        data = gateways.chunk(gateways.event(1)) + gateways.chunk(gateways.event(3))
        await stream.send(
            gateways.response_head(received, 200, "transfer-encoding: chunked")
            + data
            + gateways.LAST_CHUNK
        )
        return True

    async def main():
        async with gateways.running(model("m1", gap)) as harness:
            response = await gateways.send_once(harness, "POST", "/talk/x", b"prompt")
        assert gateways.event(3) not in response.body
        assert not response.complete

    run(main)


def test_draining_server_gets_no_new_requests():
    """Guards against sending requests to a server that is shutting down."""

    async def main():
        backend = plain("p1", gateways.complete_response())
        async with gateways.running(backend) as harness:
            harness.list_servers(draining=True)
            response = await gateways.send_once(harness, "GET", "/read/x")
        assert (response.status, backend.received) == (503, [])

    run(main)


def test_request_that_crashed_two_servers_is_rejected():
    """Guards against a request that crashes one server after another."""

    async def main():
        backends = [plain(f"p{number}", gateways.complete_response()) for number in range(1)]
        async with gateways.running(*backends) as harness:
            digests = []
            original = harness.crash_tracker.digest
            harness.crash_tracker.digest = lambda call: (
                digests.append(original(call)) or digests[-1]
            )
            assert (await gateways.send_once(harness, "GET", "/read/bad")).status == 200
            for started_ms in (1, 2):
                server = backends[0].entry(started_ms=started_ms)
                harness.crash_tracker.evidence.record_unreachable(digests[0], server)
            response = await gateways.send_once(harness, "GET", "/read/bad")
            assert response.status == 503
            assert (await gateways.send_once(harness, "GET", "/read/good")).status == 200
        assert [received.target for received in backends[0].received] == ["/read/bad", "/read/good"]

    run(main)


def test_request_in_progress_is_not_retried_after_it_crashed_servers():
    """Guards against retries of a request that other gateways already refuse."""

    async def main():
        digests = []

        async def crash(backend, received, stream):
            for server_id in ("gone1", "gone2"):
                harness.crash_tracker.evidence.add(digests[0], (server_id, 1), ended=True)
            return False

        backends = [plain("p1", crash), plain("p2", crash)]
        async with gateways.running(*backends) as harness:
            original = harness.crash_tracker.digest
            harness.crash_tracker.digest = lambda call: (
                digests.append(original(call)) or digests[-1]
            )
            await gateways.send_once(harness, "GET", "/read/x")
        assert sum(len(backend.received) for backend in backends) == 1

    run(main)


def test_request_is_refused_after_servers_that_restarted_at_once():
    """Guards against endless crashes of servers that accept connections again at once."""

    async def main():
        backend = plain("p1", close_without_response)
        async with gateways.running(backend) as harness:
            for started_ms in (1, 2, 3):
                harness.list_servers(started_ms=started_ms)
                response = await gateways.send_once(harness, "POST", "/act/bad", b"pay")
            assert response.status == 503
        assert len(backend.received) == 2

    run(main)


def test_lost_runs_are_recorded_for_crash_detection():
    """Guards against crashes under requests whose callers leave or whose server stays silent."""

    async def main():
        backends = [plain("p1", never_respond), plain("p2", never_respond)]
        async with gateways.running(*backends) as harness:
            async with gateways.caller(harness) as connection:
                await connection.send("POST", "/act/x", b"pay")
                await anyio.sleep(0.1)
            await gateways.send_once(harness, "GET", "/read/x")
            for _ in range(100):
                if harness.forwarder.active == 0:
                    break
                await anyio.sleep(0.01)
            digests = {digest for digest, _ in harness.crash_tracker.evidence.lost_runs}
            processes = [process for _, process in harness.crash_tracker.evidence.lost_runs]
        assert len(digests) == 2
        assert len(processes) == 3

    run(main)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"NONSENSE\r\n\r\n", b"400"),
        (b"GET /read/x HTTP/1.1\r\nHost: h.example\r\nBad Header: 1\r\n\r\n", b"400"),
        (b"POST /act/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: abc\r\n\r\n", b"400"),
        (
            b"POST /act/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
            b"400",
        ),
        (b"GET /read/x HTTP/1.1\r\nHost: h.example\r\nA: " + b"x" * 20_000 + b"\r\n\r\n", b"431"),
        (
            b"GET /read/x HTTP/1.1\r\nHost: h.example\r\ndogwoodgap-tokens: many\r\n"
            b"Connection: close\r\n\r\n",
            b"400",
        ),
    ],
)
def test_malformed_requests_are_rejected(data, status):
    """Guards against forwarding malformed or oversized requests to a server."""

    async def main():
        backend = plain("p1", gateways.complete_response())
        async with gateways.running(backend) as harness:
            host, _, port = harness.address.rpartition(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(data)
                response = b""
                with anyio.move_on_after(5):
                    try:
                        while True:
                            response += await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        pass
        assert response.startswith(b"HTTP/1.1 " + status)
        assert not backend.received

    run(main)


def test_smuggled_request_stays_part_of_the_body():
    """Guards against request smuggling: a server that reads a second request from a body."""

    async def main():
        backend = plain("p1", gateways.complete_response())
        inner = b"GET /read/inner HTTP/1.1\r\nHost: h.example\r\n\r\n"
        async with gateways.running(backend) as harness:
            host, _, port = harness.address.rpartition(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(
                    b"POST /act/x HTTP/1.1\r\nHost: h.example\r\ndogwoodgap-attempt: a1\r\n"
                    b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + f"{len(inner):x}\r\n".encode()
                    + inner
                    + b"\r\n0\r\n\r\n"
                )
                await stream.receive()
        assert [(received.target, received.body) for received in backend.received] == [
            ("/act/x", inner)
        ]

    run(main)


def test_route_update_does_not_affect_running_requests():
    """Guards against a running request that a new route version cuts off or redirects."""

    async def main():
        released = anyio.Event()
        backend = plain("p1", gateways.delayed(released))
        async with gateways.running(backend) as harness, gateways.caller(harness) as connection:
            await connection.send("POST", "/act/x", b"pay")
            await backend.request_received.wait()
            harness.active_routes.install(routes.RouteTable(2, [], gateways.SERVICES))
            released.set()
            assert (await connection.read_response()).status == 200
            assert (await gateways.send_once(harness, "POST", "/act/x", b"pay")).status == 404

    run(main)
