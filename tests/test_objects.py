"""Limits and faults of the in-memory object store, and watches over HTTP."""

import anyio
import httpx
import pytest
import virtual_time

from dogwoodgap import exceptions, objectstore
from dogwoodgap_lab import objects


def test_watch_of_discarded_changes_raises_an_error():
    """Guards against a watch that silently skips changes that have been discarded."""

    async def main():
        store = objects.MemoryObjectStore(change_limit=3)
        for number in range(5):
            await store.put(f"k{number}", b"")
        with pytest.raises(exceptions.WatchExpiredError):
            await store.watch("k", since=1, timeout_s=0.0)
        page = await store.watch("k", since=2, timeout_s=0.0)
        assert [change.key for change in page.changes] == ["k2", "k3", "k4"]
        assert (await store.watch("k", since=-1, timeout_s=9.0)).cursor == 5

    virtual_time.run(main)


def test_calls_over_the_rate_are_refused_without_effect():
    """Guards against a rate limit that lets calls through."""

    async def main():
        store = objects.MemoryObjectStore()
        store.faults.writes_per_s = 2.0
        for number in range(2):
            await store.put(f"k{number}", b"")
        with pytest.raises(exceptions.StoreBusyError):
            await store.put("k2", b"")
        assert "k2" not in store.objects
        await anyio.sleep(0.5)
        await store.put("k2", b"")

    virtual_time.run(main)


def test_list_of_vms_lags():
    """Guards against tests that see a leaving VM earlier than a platform would report it."""

    async def main():
        store = objects.MemoryObjectStore()
        store.set_vms([objectstore.Vm("a", "127.0.0.1")])
        await anyio.sleep(10.0)
        store.faults.vms_lag_s = 5.0
        store.set_vms([objectstore.Vm("a", "127.0.0.1", leaving=True)])
        assert not (await store.vms())[0].leaving
        await anyio.sleep(5.0)
        assert (await store.vms())[0].leaving

    virtual_time.run(main)


def test_http_timeout_exceeds_the_timeout_of_a_watch():
    """Guards against the HTTP client's default timeout of 5 s, which broke every idle watch."""
    limits = []

    def answer(request):
        limits.append(request.extensions["timeout"]["read"])
        return httpx.Response(200, json={"changes": [], "cursor": 7})

    async def main():
        transport = httpx.MockTransport(answer)
        async with httpx.AsyncClient(transport=transport, base_url="http://platform") as client:
            store = objectstore.HttpObjectStore(client)
            assert (await store.watch("k", since=0, timeout_s=20.0)).cursor == 7

    anyio.run(main)
    assert all(limit is None or limit > 20.0 for limit in limits)
