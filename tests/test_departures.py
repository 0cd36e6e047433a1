"""Servers that name their departure in responses, before the list of servers shows it."""

import dataclasses

import anyio
import gateways
import pytest

from dogwoodgap import servers

LEAVING = "dogwoodgap-leaving: 1"


def run(main):
    """Run a coroutine function with a timeout of 20 s."""

    async def limited():
        with anyio.fail_after(20):
            await main()

    anyio.run(limited)


def backend(server_id="p1", *extra, status=200, service="plain"):
    """Return a server whose responses have additional headers."""
    return gateways.Backend(server_id, service, gateways.complete_response(b"x", status, *extra))


@pytest.mark.parametrize(
    ("status", "extra"),
    [(200, ()), (404, ()), (500, ()), (503, ("dogwoodgap-not-run: 1",))],
    ids=["success", "rejection", "failure", "refusal"],
)
def test_no_request_follows_an_answer_that_names_the_departure(status, extra):
    """Guards against requests to a server that is leaving, whatever kind of answer said so."""

    async def main():
        server = backend("p1", LEAVING, *extra, status=status)
        async with gateways.running(server) as harness:
            await gateways.send_once(harness, "GET", "/read/x")
            received = len(server.received)
            harness.list_servers()
            with anyio.fail_after(0.5):
                response = await gateways.send_once(harness, "POST", "/act/x", b"pay")
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
        assert len(server.received) == received

    run(main)


def test_stream_of_a_leaving_server_goes_on_and_the_next_one_uses_another():
    """Guards against streams that are cut because their server is leaving."""

    async def main():
        async def leaving(server, received, stream):
            head = gateways.response_head(received, 200, LEAVING, "transfer-encoding: chunked")
            await stream.send(head)
            for number in range(1, 4):
                await stream.send(gateways.chunk(gateways.event(number)))
                await anyio.sleep(0.05)
            await stream.send(b"0\r\n\r\n")
            return True

        first = gateways.Backend("m1", "model", leaving)
        second = gateways.Backend("m2", "model", gateways.streaming())
        async with gateways.running(first, second) as harness:
            while not first.received:
                response = await gateways.send_once(harness, "POST", "/talk/x", b"prompt")
            assert response.complete
            assert gateways.event(3) in response.body
            for _ in range(5):
                assert (await gateways.send_once(harness, "POST", "/talk/x", b"p")).status == 200
        assert len(first.received) == 1

    run(main)


@pytest.mark.parametrize(
    ("attempt", "extra"),
    [("a1", "dogwoodgap-leaving: 0"), ("a1", "dogwoodgap-leaving: yes"), ("a0", LEAVING)],
    ids=["zero", "word", "other-request"],
)
def test_only_an_answer_to_the_request_names_a_departure(attempt, extra):
    """Guards against a sound server that gets no requests after a late or malformed answer."""

    async def script(server, received, stream):
        if attempt == "a0" and len(server.received) == 1:
            late = gateways.response_head(received, 200, "content-length: 0", LEAVING)
            await stream.send(late.replace(b"dogwoodgap-attempt: a1", b"dogwoodgap-attempt: a0"))
        answer = gateways.complete_response(b"ok", 200, *([] if attempt == "a0" else [extra]))
        return await answer(server, received, stream)

    async def main():
        server = gateways.Backend("p1", "plain", script)
        async with gateways.running(server) as harness:
            for _ in range(2):
                assert (await gateways.send_once(harness, "GET", "/read/x")).status == 200

    run(main)


def test_answer_of_another_process_at_the_address_names_no_departure():
    """Guards against a departure that is taken for that of the process that was expected."""

    async def main():
        server = backend("p1", LEAVING, status=421)
        async with gateways.running(server) as harness:
            await gateways.send_once(harness, "GET", "/read/x")
            assert harness.server_registry.is_usable(server.entry())

    run(main)


def test_new_process_at_the_address_gets_requests_at_once():
    """Guards against a departure that outlives its process."""

    async def main():
        server = backend("p1", LEAVING)
        async with gateways.running(server) as harness:
            await gateways.send_once(harness, "GET", "/read/x")
            harness.list_servers(started_ms=2)
            assert (await gateways.send_once(harness, "GET", "/read/x")).status == 200

    run(main)


def test_departure_is_known_whatever_the_order_of_lists():
    """Guards against a list that was read before a departure and brings the server back."""

    async def main():
        entry = servers.BackendServer("p1", "plain", "10.0.0.1:80", "d", 4, started_ms=1)
        leaving = dataclasses.replace(entry, draining=True)
        registry = servers.ServerRegistry(2.0)
        registry.apply(servers.Listing(5, (entry,)))
        registry.apply(servers.Listing(4, (leaving,)))
        assert not registry.ready("plain")
        registry.apply(servers.Listing(6, (entry,)))
        assert not registry.ready("plain")
        assert registry.listed == (leaving,)
        registry.apply(servers.Listing(7, (dataclasses.replace(entry, started_ms=2),)))
        assert registry.ready("plain")

    run(main)
