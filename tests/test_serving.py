"""Graceful stop, TLS reload, keys, and documents that are generated."""

import functools
import hashlib
import pathlib
import ssl

import anyio
import httpx
import listen_addresses
import pytest
import trustme
import virtual_time

from dogwoodgap import errorpages, exceptions, keys, middleware, models, serving, settings, tls


class SlowApplication:
    """Responds in two chunks; the second one is sent when ``proceed`` is set."""

    def __init__(self):
        self.entered = anyio.Event()
        self.proceed = anyio.Event()

    async def __call__(self, scope, receive, send):
        if scope["type"] != "http":
            return
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": b"first ", "more_body": True})
        self.entered.set()
        await self.proceed.wait()
        await send({"type": "http.response.body", "body": b"second"})


async def fetch(address):
    """Return the response text of a server that may still be starting."""
    async with httpx.AsyncClient(timeout=30) as http:
        while True:
            try:
                return (await http.get(f"http://{address}/")).text
            except httpx.ConnectError:
                await anyio.sleep(0.02)


def test_stop_finishes_running_requests_without_cancellation():
    """Guards against an aborted stream, and against a CancelledError that crashed the node."""

    async def main():
        slow = SlowApplication()
        application = middleware.ProblemMiddleware(slow)
        address = listen_addresses.free_address()
        closing = anyio.Event()
        stop = serving.GracefulStop(linger_s=0.0)
        stop.drain_callbacks.append(application.wait_idle)
        running_at_stop = []
        responses = []

        async def leave():
            running_at_stop.append(application.running)
            slow.proceed.set()
            raise RuntimeError("a failing callback must not prevent the shutdown")

        async def store_response():
            responses.append(await fetch(address))

        async def stop_while_running():
            await slow.entered.wait()
            stop.request()
            await stop.wait_drained()
            closing.set()

        stop.on_stop(leave)
        with anyio.fail_after(60):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(store_response)
                tasks.start_soon(stop_while_running)
                await serving.serve(application, address, None, closing)
        assert responses == ["first second"]
        assert running_at_stop == [1]

    anyio.run(main)


def test_serve_does_not_cancel_the_calling_task():
    """Guards against hypercorn cancelling the calling task when it shuts down."""

    async def main():
        stop = anyio.Event()
        stop.set()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(anyio.sleep, 60)
            await serving.serve(
                middleware.ProblemMiddleware(SlowApplication()),
                listen_addresses.free_address(),
                None,
                stop,
            )
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_request_received_before_the_listener_closes_is_handled():
    """Guards against a graceful stop that aborts the last request, which happened after 2 s."""

    async def main():
        slow = SlowApplication()
        application = middleware.ProblemMiddleware(slow)
        address = listen_addresses.free_address()
        closing = anyio.Event()
        responses = []

        async def store_response():
            responses.append(await fetch(address))

        async def close_while_running():
            await slow.entered.wait()
            closing.set()
            await anyio.sleep(2.5)
            slow.proceed.set()

        with anyio.fail_after(60):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(store_response)
                tasks.start_soon(close_while_running)
                await serving.serve(application, address, None, closing)
        assert responses == ["first second"]

    anyio.run(main)


def test_stop_waits_for_follow_up_requests_up_to_a_limit():
    """Guards against closing the listener between two requests of one program."""

    async def answer(scope, receive, send):
        await anyio.sleep(0.1)

    async def main(requests, expected_s):
        application = middleware.ProblemMiddleware(answer)

        async def follow_up():
            for _ in range(requests):
                await application({"type": "http"}, None, None)
                await anyio.sleep(0.7)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow_up)
            await anyio.sleep(0.01)
            await application.wait_quiet()
            assert anyio.current_time() == pytest.approx(expected_s, abs=0.1)
            tasks.cancel_scope.cancel()

    virtual_time.run(functools.partial(main, 4, 3 * 0.8 + middleware.QUIET_PERIOD_S))
    virtual_time.run(functools.partial(main, 1_000, middleware.MAX_QUIET_WAIT_S))


def test_second_stop_request_stops_immediately():
    """Guards against a node that cannot be stopped because a request never finishes."""

    async def main():
        stop = serving.GracefulStop(linger_s=5.0)
        stop.drain_callbacks.append(anyio.sleep_forever)
        stop.request()
        with anyio.move_on_after(100) as scope:
            await stop.wait_drained()
        assert scope.cancelled_caught
        stop.request()
        await stop.wait_drained()

    virtual_time.run(main)


def write_certificate(authority, folder, name):
    """Write a certificate for 127.0.0.1 and return its TLS section."""
    issued = authority.issue_cert("127.0.0.1", common_name=name)
    issued.private_key_pem.write_to_path(str(folder / "key.pem"))
    issued.cert_chain_pems[0].write_to_path(str(folder / "certificate.pem"))
    authority.cert_pem.write_to_path(str(folder / "authority.pem"))
    return settings.TlsSection(
        certificate=str(folder / "certificate.pem"),
        key=str(folder / "key.pem"),
        client_authority=str(folder / "authority.pem"),
    )


def presented(server, client):
    """Return the common name that a server context presents in an in-memory TLS handshake."""
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    receiver = server.wrap_bio(to_server, to_client, server_side=True)
    sender = client.wrap_bio(to_client, to_server, server_hostname="127.0.0.1")
    for _ in range(4):
        for side in (sender, receiver):
            try:
                side.do_handshake()
            except ssl.SSLWantReadError:
                continue
    return dict(part[0] for part in sender.getpeercert()["subject"])["commonName"]


def test_renewed_certificate_is_used_and_a_broken_one_is_rejected(tmp_path, caplog):
    """Guards against using the old certificate after a renewal, and against a broken renewal."""
    authority = trustme.CA()
    certificates = tls.Certificates(write_certificate(authority, tmp_path, "first"))
    server, client = certificates.server_context(), certificates.client_context()
    assert presented(server, client) == "first"
    assert not certificates.reload()
    write_certificate(authority, tmp_path, "second")
    assert certificates.reload()
    assert presented(server, client) == "second"
    (tmp_path / "key.pem").write_text("broken")
    assert not certificates.reload()
    assert presented(server, client) == "second"
    assert [record.event_name for record in caplog.records] == ["CERTIFICATE_REJECTED"]
    assert tls.Certificates(settings.TlsSection()).server_context() is None
    with pytest.raises(exceptions.SettingsInvalidError):
        certificates.server_context()


def test_key_lookup_follows_the_configuration():
    """Guards against accepting revoked or expired keys, and against linear scans of all keys."""

    async def main():
        known = {
            f"k{number}": models.Key(digest=hashlib.sha256(b"t%d" % number).hexdigest())
            for number in range(100)
        }
        first = models.FleetConfiguration(keys=known)
        assert keys.authenticate("Bearer t7", first).name == "k7"
        assert keys.index_for(first) is keys.index_for(first)
        second = models.FleetConfiguration(keys={"k8": known["k8"]})
        with pytest.raises(exceptions.UnauthorizedError):
            keys.authenticate("Bearer t7", second)
        identity = keys.authenticate("bearer t8", second)
        with pytest.raises(exceptions.ForbiddenError):
            keys.check_caller(identity)

    virtual_time.run(main)


def test_error_page_is_up_to_date():
    """Guards against error codes that are missing from the documentation."""
    path = pathlib.Path(__file__).parent.parent / "docs" / "errors.md"
    assert path.read_text() == errorpages.render_page()


def test_stopping_node_closes_each_connection_after_its_response():
    """Guards against losing a request sent on an idle connection at the end of the stop."""

    async def main():
        slow = SlowApplication()
        slow.proceed.set()
        application = middleware.ProblemMiddleware(slow)
        address = listen_addresses.free_address()
        closing = anyio.Event()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serving.serve, application, address, None, closing)
            await fetch(address)
            async with httpx.AsyncClient(base_url=f"http://{address}") as http:
                assert "connection" not in (await http.get("/")).headers
                await application.close_connections()
                response = await http.get("/")
                assert (response.text, response.headers["connection"]) == ("first second", "close")
                closing.set()

    anyio.run(main)
