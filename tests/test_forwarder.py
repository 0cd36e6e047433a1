"""What callers and backend servers see of forwarded requests, on real sockets."""

import math

import anyio
import gateways
import pytest

from dogwoodgap import repeats, routes, servers


def run(main):
    """Run a coroutine function within 20 s."""

    async def limited():
        with anyio.fail_after(20):
            await main()

    anyio.run(limited)


def plain(server_id, script):
    return gateways.Backend(server_id, "plain", script)


def model(server_id, script):
    return gateways.Backend(server_id, "model", script)


def counting(*scripts):
    """Return a script that uses another one for each request; the last one stays."""
    left = list(scripts)

    async def script(backend, received, stream):
        chosen = left.pop(0) if len(left) > 1 else left[0]
        return await chosen(backend, received, stream)

    return script


async def reset_after_reading(backend, received, stream):
    """Close without an answer."""
    return False


async def truncated(backend, received, stream):
    await stream.send(gateways.head(received, 200, "content-length: 10") + b"half")
    return False


async def never(backend, received, stream):
    await anyio.sleep(30)
    return False


def test_passes_request_and_answer_on_unchanged():
    """Guards against changed methods, paths, bodies and headers."""

    async def main():
        backend = plain("p1", gateways.whole(b"body", 200, "x-own: 1"))
        async with gateways.running(backend) as bench:
            answer = await gateways.once(
                bench,
                "POST",
                "/act/a%20b?q=1",
                b"payload",
                x_mine="2",
                dogwoodgap_deadline_ms="500",
                dogwoodgap_hold="secret",
                dogwoodgap_expect_server="other",
            )
        assert (answer.status, answer.body, answer.headers["x-own"]) == (200, b"body", "1")
        assert answer.headers["dogwoodgap-seal"] == "s1"
        received = backend.received[0]
        assert (received.target, received.body) == ("/act/a%20b?q=1", b"payload")
        assert received.headers["x-mine"] == "2"
        assert received.headers["dogwoodgap-expect-server"] == "p1"
        assert "dogwoodgap-hold" not in received.headers
        assert 400 < int(received.headers["dogwoodgap-deadline-ms"]) <= 500

    run(main)


def test_keeps_connections_on_both_sides():
    """Guards against a connection for each request."""

    async def main():
        backend = plain("p1", gateways.whole())
        async with gateways.running(backend) as bench, gateways.caller(bench) as connection:
            for _ in range(5):
                assert (await connection.call("GET", "/read/x")).complete
        assert backend.opened == 1

    run(main)


def test_unknown_path_is_404_and_no_routes_are_503():
    """Guards against a 404 from a node that knows no routes."""

    async def main():
        backend = plain("p1", gateways.whole())
        async with gateways.running(backend) as bench:
            assert (await gateways.once(bench, "GET", "/none/x")).status == 404
            bench.book.table = None
            answer = await gateways.once(bench, "GET", "/read/x")
            assert (answer.status, float(answer.headers["retry-after"]) > 0) == (503, True)
        assert not backend.received

    run(main)


def test_request_before_the_first_listing_is_503():
    """Guards against a connection that a node which has just started ends after an answer."""

    async def main():
        async with gateways.running() as bench, gateways.caller(bench) as connection:
            bench.directory.confirmed_at = -math.inf
            for _ in range(2):
                assert (await connection.call("GET", "/read/x")).status == 503

    run(main)


@pytest.mark.parametrize("fault", [truncated, reset_after_reading])
def test_idempotent_request_runs_again_after_a_broken_answer(fault):
    """Guards against a partial answer that reaches a caller."""

    async def main():
        backends = [plain("p1", counting(fault, gateways.whole())), plain("p2", gateways.whole())]
        async with gateways.running(*backends) as bench:
            for number in range(4):
                answer = await gateways.once(
                    bench, "GET", "/read/x", dogwoodgap_attempt=f"a{number}"
                )
                assert (answer.status, answer.body, answer.complete) == (200, b"ok", True)

    run(main)


@pytest.mark.parametrize("fault", [truncated, reset_after_reading])
def test_non_idempotent_request_is_never_sent_twice(fault):
    """Guards against a second run, and against a status that claims that it did not run."""

    async def main():
        backends = [plain("p1", fault), plain("p2", fault)]
        async with gateways.running(*backends) as bench:
            answer = await gateways.once(bench, "POST", "/act/x", b"pay")
        assert answer.status == 502
        assert sum(len(backend.received) for backend in backends) == 1

    run(main)


def test_broken_answer_to_a_long_body_is_502():
    """Guards against an error of the sending task that hides what happened."""

    async def main():
        async with gateways.running(plain("p1", truncated)) as bench:
            assert (await gateways.once(bench, "POST", "/act/x", b"x" * 100_000)).status == 502

    run(main)


def test_kept_connection_that_went_silent_is_replaced():
    """Guards against requests that wait on a connection of which both ends lost track."""

    async def first_only(backend, received, stream):
        if received.connection == 1 and len(backend.received) > 1:
            await anyio.sleep(30)
        return await gateways.whole()(backend, received, stream)

    async def main():
        backend = plain("p1", first_only)
        async with gateways.running(backend) as bench, gateways.caller(bench) as connection:
            assert (await connection.call("GET", "/read/x")).status == 200
            assert (await connection.call("GET", "/read/x")).status == 200
        assert backend.opened == 2

    run(main)


def test_idle_connections_to_a_server_that_left_are_closed():
    """Guards against connections that stay open to an address which another server may get."""
    closed = []

    async def main():
        async def note_end(backend, received, stream):
            await gateways.whole()(backend, received, stream)
            try:
                await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                closed.append(backend.id)
            return False

        async with gateways.running(plain("p1", note_end)) as bench:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(bench.forwarder.close_retired)
                assert (await gateways.once(bench, "GET", "/read/x")).status == 200
                bench.directory.apply(servers.Listing(bench.directory.revision + 1, ()))
                await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()
            assert closed == ["p1"]

    run(main)


def test_connections_to_a_server_are_bounded():
    """Guards against connections that a server resets since it has too many."""

    async def main():
        released = anyio.Event()
        backend = plain("p1", gateways.held(released))
        async with gateways.running(backend) as bench, anyio.create_task_group() as tasks:
            services = [routes.Service("plain", 4), gateways.SERVICES[1]]
            bench.book.install(routes.RouteTable(2, gateways.ROUTES, services))
            found = []

            async def ask(number):
                answer = await gateways.once(
                    bench, "POST", "/act/x", b"pay", dogwoodgap_attempt=f"a{number}"
                )
                found.append(answer.status)

            for number in range(8):
                tasks.start_soon(ask, number)
            await anyio.sleep(0.2)
            released.set()
        assert backend.opened == 4
        assert sorted(found) == [200] * 4 + [503] * 4

    run(main)


def test_refused_request_goes_to_another_server():
    """Guards against a failure although a server that ran nothing said so."""

    async def main():
        backends = [plain("p1", gateways.not_run()), plain("p2", gateways.whole())]
        async with gateways.running(*backends) as bench:
            for number in range(6):
                answer = await gateways.once(
                    bench, "POST", "/act/x", b"pay", dogwoodgap_attempt=f"a{number}"
                )
                assert answer.status == 200
        assert len(backends[1].received) == 6

    run(main)


def test_request_that_all_servers_refuse_is_503():
    """Guards against a promise that is not true and against one that is not given."""

    async def main():
        backends = [plain("p1", gateways.not_run()), plain("p2", gateways.not_run(421))]
        async with gateways.running(*backends) as bench:
            answer = await gateways.once(bench, "POST", "/act/x", b"pay")
        assert answer.status == 503
        assert "dogwoodgap-seal" not in answer.headers

    run(main)


def test_failure_of_a_server_is_passed_on():
    """Guards against a changed status under a server's signature."""

    async def main():
        async with gateways.running(plain("p1", gateways.whole(b"no", 500))) as bench:
            answer = await gateways.once(bench, "POST", "/act/x", b"pay")
        assert (answer.status, answer.body, "dogwoodgap-seal" in answer.headers) == (
            500,
            b"no",
            True,
        )

    run(main)


def test_idempotent_request_that_a_server_fails_is_answered_by_another():
    """Guards against errors of one server reaching callers while others would answer."""

    async def main():
        backends = [plain("p1", gateways.whole(b"no", 500)), plain("p2", gateways.whole(b"yes"))]
        async with gateways.running(*backends) as bench:
            for number in range(8):
                answer = await gateways.once(
                    bench, "GET", "/read/x", dogwoodgap_attempt=f"a{number}"
                )
                assert (answer.status, answer.body) == (200, b"yes")
        assert 1 <= len(backends[0].received) < 8

    run(main)


def test_error_of_all_servers_is_passed_on_unchanged():
    """Guards against an error of the gateway in place of the server's own answer."""

    async def main():
        backends = [
            plain("p1", gateways.whole(b"no", 500)),
            plain("p2", gateways.whole(b"no", 500)),
        ]
        async with gateways.running(*backends) as bench:
            answer = await gateways.once(bench, "GET", "/read/x")
        assert (answer.status, answer.body) == (500, b"no")
        assert "dogwoodgap-seal" in answer.headers

    run(main)


def test_idempotent_request_leaves_a_server_that_hangs():
    """Guards against a request that waits until its deadline while other servers are free."""

    async def hang(backend, received, stream):
        await anyio.sleep(30)
        return False

    async def main():
        backends = [plain("p1", hang), plain("p2", gateways.whole(b"yes"))]
        async with gateways.running(*backends) as bench:
            for _ in range(4):
                with anyio.fail_after(repeats.MAX_RESPONSE_TIMEOUT_S + 0.3):
                    assert (await gateways.once(bench, "GET", "/read/x")).body == b"yes"
        assert len(backends[0].received) <= 2

    run(main)


def test_request_that_takes_long_everywhere_puts_no_server_in_doubt():
    """Guards against healthy servers that are avoided since one kind of request takes long."""

    async def slow(backend, received, stream):
        await anyio.sleep(2 * repeats.MIN_RESPONSE_TIMEOUT_S)
        return await gateways.whole(b"late")(backend, received, stream)

    async def main():
        backends = [plain("p1", slow), plain("p2", slow)]
        async with gateways.running(*backends) as bench:
            assert (await gateways.once(bench, "GET", "/read/x")).body == b"late"
            states = bench.forwarder.loads.states
        assert len(backends[0].received) + len(backends[1].received) == 2
        assert min(states[name].failure_rate for name in ("p1", "p2")) == 0.0

    run(main)


def test_success_without_signature_is_not_passed_on():
    """Guards against bytes of a faulty server that look like an answer."""

    async def unsigned(backend, received, stream):
        await stream.send(gateways.head(received, 200, "content-length: 2", seal=False) + b"ok")
        return True

    async def main():
        async with gateways.running(plain("p1", unsigned)) as bench:
            assert (await gateways.once(bench, "POST", "/act/x", b"pay")).status == 502

    run(main)


def test_late_answer_to_another_request_is_skipped():
    """Guards against answers that are handed to the wrong request."""

    async def late(backend, received, stream):
        foreign = gateways.Received("", {"dogwoodgap-attempt": "other"}, b"", 0)
        await stream.send(gateways.head(foreign, 200, "content-length: 5") + b"wrong")
        return await gateways.whole(b"right")(backend, received, stream)

    async def main():
        async with gateways.running(plain("p1", late)) as bench:
            answer = await gateways.once(bench, "POST", "/act/x", b"pay")
        assert (answer.status, answer.body) == (200, b"right")

    run(main)


def test_bytes_after_an_answer_end_the_connection():
    """Guards against leftover bytes that are read as the next answer."""

    async def extra(backend, received, stream):
        await stream.send(gateways.head(received, 200, "content-length: 2") + b"okEXTRA")
        return True

    async def main():
        backend = plain("p1", extra)
        async with gateways.running(backend) as bench:
            for number in range(3):
                answer = await gateways.once(
                    bench, "GET", "/read/x", dogwoodgap_attempt=f"a{number}"
                )
                assert (answer.status, answer.body) == (200, b"ok")
        assert backend.opened == 3

    run(main)


def test_answer_without_length_ends_with_its_connection():
    """Guards against a lost or endless answer when the length is not given."""

    async def unframed(backend, received, stream):
        await stream.send(gateways.head(received) + b"all of it")
        return False

    async def main():
        async with gateways.running(plain("p1", unframed)) as bench:
            answer = await gateways.once(bench, "POST", "/act/x", b"pay")
        assert (answer.status, answer.body, answer.complete) == (200, b"all of it", True)

    run(main)


def test_early_answer_to_a_long_body_closes_the_connection():
    """Guards against another request's bytes in place of the rest of a body."""

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

        backend = plain("p1", gateways.whole())
        async with gateways.running() as bench, anyio.create_task_group() as tasks:
            host, _, port = backend.address.rpartition(":")
            listener = await anyio.create_tcp_listener(local_host=host, local_port=int(port))
            tasks.start_soon(listener.serve, early)
            bench.backends.append(backend)
            bench.list_servers()
            for _ in range(2):
                answer = await gateways.once(bench, "POST", "/act/x", b"x" * 3_000_000)
                assert answer.status == 503
            tasks.cancel_scope.cancel()
        assert len(opened) == 2

    run(main)


def test_timeout_of_the_route_ends_a_request():
    """Guards against callers that wait longer than the operator allows."""

    async def main():
        async with gateways.running(plain("p1", never)) as bench:
            started = anyio.current_time()
            answer = await gateways.once(bench, "POST", "/act/x", b"pay")
            took = anyio.current_time() - started
        assert answer.status == 504
        assert gateways.TIMEOUT_S <= took < gateways.TIMEOUT_S + 0.4

    run(main)


def test_caller_that_leaves_ends_the_run():
    """Guards against servers that work for callers who have left."""

    async def main():
        ended = anyio.Event()

        async def watched(backend, received, stream):
            try:
                await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                ended.set()
            return False

        backend = plain("p1", watched)
        async with gateways.running(backend) as bench:
            async with gateways.caller(bench) as connection:
                await connection.send("POST", "/act/x", b"pay")
                await backend.asked.wait()
            with anyio.fail_after(0.3):
                await ended.wait()

    run(main)


def test_stream_is_passed_on_event_by_event():
    """Guards against events that are held back, cut or changed."""

    async def main():
        async with gateways.running(model("m1", gateways.streaming(1, 4))) as bench:
            answer = await gateways.once(bench, "POST", "/turn/x", b"prompt")
        assert answer.complete
        assert answer.body == b"".join(gateways.event(number) for number in range(1, 5))

    run(main)


def test_resumable_stream_goes_on_at_another_server():
    """Guards against missing, doubled or joined events when a server crashes."""

    async def crash(backend, received, stream):
        await gateways.streaming(1, 2, finish=False)(backend, received, stream)
        await stream.send(gateways.chunk(b"id: 3\nda"))
        bench.directory.apply(
            servers.Listing(
                bench.directory.revision + 1,
                tuple(item.entry() for item in bench.backends if item is not backend),
            )
        )
        return False

    async def resume(backend, received, stream):
        last = received.headers.get("last-event-id")
        if last is None:
            return await crash(backend, received, stream)
        return await gateways.streaming(int(last) + 1, 5)(backend, received, stream)

    bench = None

    async def main():
        nonlocal bench
        backends = [model("m1", resume), model("m2", resume)]
        async with gateways.running(*backends) as bench:
            answer = await gateways.once(bench, "POST", "/turn/x", b"prompt")
        assert answer.complete
        assert answer.body == b"".join(gateways.event(number) for number in range(1, 6))

    run(main)


def test_resumable_stream_goes_on_at_the_same_server_after_a_reset():
    """Guards against a failed stream, and against a run on more servers than the route allows."""

    async def script(backend, received, stream):
        last = received.headers.get("last-event-id")
        if last is None:
            return await gateways.streaming(1, 2, finish=False)(backend, received, stream)
        return await gateways.streaming(int(last) + 1, 5)(backend, received, stream)

    async def main():
        backends = [model("m1", script), model("m2", script)]
        async with gateways.running(*backends) as bench:
            answer = await gateways.once(bench, "POST", "/turn/x", b"prompt")
        assert answer.complete
        assert answer.body == b"".join(gateways.event(number) for number in range(1, 6))
        assert sorted(len(item.received) for item in backends) == [0, 2]

    run(main)


def test_broken_stream_that_may_not_run_again_is_visibly_cut():
    """Guards against a partial stream that looks complete."""

    async def main():
        script = gateways.streaming(1, 2, finish=False)
        async with gateways.running(model("m1", script), model("m2", script)) as bench:
            answer = await gateways.once(bench, "POST", "/talk/x", b"prompt")
        assert (answer.status, answer.complete) == (200, False)
        assert sum(len(item.received) for item in bench.backends) == 1

    run(main)


def test_stream_with_a_gap_is_cut():
    """Guards against a stream in which an event is missing."""

    async def gap(backend, received, stream):
        data = gateways.chunk(gateways.event(1)) + gateways.chunk(gateways.event(3))
        await stream.send(
            gateways.head(received, 200, "transfer-encoding: chunked") + data + gateways.END
        )
        return True

    async def main():
        async with gateways.running(model("m1", gap)) as bench:
            answer = await gateways.once(bench, "POST", "/talk/x", b"prompt")
        assert gateways.event(3) not in answer.body
        assert not answer.complete

    run(main)


def test_draining_server_gets_nothing_new():
    """Guards against requests to a server that leaves."""

    async def main():
        backend = plain("p1", gateways.whole())
        async with gateways.running(backend) as bench:
            bench.list_servers(draining=True)
            answer = await gateways.once(bench, "GET", "/read/x")
        assert (answer.status, backend.received) == (503, [])

    run(main)


def test_request_that_crashes_servers_is_refused_after_two():
    """Guards against a request that takes one server after another with it."""

    async def main():
        backends = [plain(f"p{number}", gateways.whole()) for number in range(1)]
        async with gateways.running(*backends) as bench:
            digests = []
            original = bench.suspects.digest
            bench.suspects.digest = lambda call: digests.append(original(call)) or digests[-1]
            assert (await gateways.once(bench, "GET", "/read/bad")).status == 200
            for _ in range(2):
                bench.suspects.record_crash(digests[0])
            answer = await gateways.once(bench, "GET", "/read/bad")
            assert answer.status == 503
            assert (await gateways.once(bench, "GET", "/read/good")).status == 200
        assert [item.target for item in backends[0].received] == ["/read/bad", "/read/good"]

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
def test_malformed_requests_reach_no_server(data, status):
    """Guards against malformed input that is passed on."""

    async def main():
        backend = plain("p1", gateways.whole())
        async with gateways.running(backend) as bench:
            host, _, port = bench.address.rpartition(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(data)
                reply = b""
                with anyio.move_on_after(5):
                    try:
                        while True:
                            reply += await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        pass
        assert reply.startswith(b"HTTP/1.1 " + status)
        assert not backend.received

    run(main)


def test_smuggled_request_stays_part_of_the_body():
    """Guards against a second request that a server reads out of a body."""

    async def main():
        backend = plain("p1", gateways.whole())
        inner = b"GET /read/inner HTTP/1.1\r\nHost: h.example\r\n\r\n"
        async with gateways.running(backend) as bench:
            host, _, port = bench.address.rpartition(":")
            async with await anyio.connect_tcp(host, int(port)) as stream:
                await stream.send(
                    b"POST /act/x HTTP/1.1\r\nHost: h.example\r\ndogwoodgap-attempt: a1\r\n"
                    b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                    + f"{len(inner):x}\r\n".encode()
                    + inner
                    + b"\r\n0\r\n\r\n"
                )
                await stream.receive()
        assert [(item.target, item.body) for item in backend.received] == [("/act/x", inner)]

    run(main)


def test_routes_change_while_requests_run():
    """Guards against a request that is cut or sent elsewhere by a new version."""

    async def main():
        released = anyio.Event()
        backend = plain("p1", gateways.held(released))
        async with gateways.running(backend) as bench, gateways.caller(bench) as connection:
            await connection.send("POST", "/act/x", b"pay")
            await backend.asked.wait()
            bench.book.install(routes.RouteTable(2, [], gateways.SERVICES))
            released.set()
            assert (await connection.answer()).status == 200
            assert (await gateways.once(bench, "POST", "/act/x", b"pay")).status == 404

    run(main)
