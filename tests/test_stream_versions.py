"""Streams at backend servers of several software versions."""

import dataclasses

import anyio
import gateways

TURN = {"dogwoodgap_deadline_ms": "4000"}


def list_versions(harness, **by_id):
    """Register the backend servers with their software versions; others are left out."""
    entries = tuple(
        dataclasses.replace(backend.entry(), software_version=by_id[backend.id])
        for backend in harness.backends
        if backend.id in by_id
    )
    harness.server_registry.apply(
        gateways.servers.Listing(harness.server_registry.revision + 1, entries)
    )


def breaking(last):
    """Return a script that breaks off a stream after an event."""
    return gateways.streaming(1, last, finish=False, gap_s=0.05)


def test_broken_stream_does_not_continue_at_another_version():
    """Guards against a response with events of two software versions."""

    async def main():
        old = gateways.Backend("old", "model", breaking(2))
        new = gateways.Backend("new", "model", gateways.streaming(1, 4))
        async with gateways.running(old, new) as harness:
            list_versions(harness, old="v1")
            async with gateways.caller(harness) as caller:
                await caller.send("POST", "/turn/x", **TURN)
                await old.request_received.wait()
                list_versions(harness, new="v2")
                response = await caller.read_response()
        assert not response.complete
        assert not new.received

    anyio.run(main)


def test_broken_stream_continues_at_its_version():
    """Guards against streams that are cut although a server of their version is ready."""

    async def main():
        old = gateways.Backend("old", "model", breaking(2))
        other = gateways.Backend("other", "model", gateways.streaming(3, 4))
        new = gateways.Backend("new", "model", gateways.streaming(1, 4))
        async with gateways.running(old, other, new) as harness:
            list_versions(harness, old="v1")
            async with gateways.caller(harness) as caller:
                await caller.send("POST", "/turn/x", **TURN)
                await old.request_received.wait()
                list_versions(harness, other="v1", new="v2")
                response = await caller.read_response()
        assert response.complete
        assert response.body.count(b"id:") == 4
        assert not new.received

    anyio.run(main)


def test_stream_that_a_caller_resumes_does_not_continue_at_another_version():
    """Guards against a caller that joins events of two software versions over its attempts."""

    async def main():
        old = gateways.Backend("old", "model", breaking(2))
        new = gateways.Backend("new", "model", gateways.streaming(3, 4))
        async with gateways.running(old, new) as harness:
            list_versions(harness, old="v1")
            first = await gateways.send_once(harness, "POST", "/talk/x", **TURN)
            assert not first.complete
            list_versions(harness, new="v2")
            resumed = await gateways.send_once(
                harness,
                "POST",
                "/turn/x",
                last_event_id="2",
                dogwoodgap_resumes="a1",
                dogwoodgap_attempt="a2",
                **TURN,
            )
        assert resumed.status == 503
        assert not new.received

    anyio.run(main)
