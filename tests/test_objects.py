"""Limits of the platform stand-in."""

import anyio
import httpx
import pytest
import trio.testing

from dogwoodgap import exceptions, objectstore
from dogwoodgap_lab import objects


def run(main):
    """Run a coroutine function on virtual time."""
    anyio.run(
        main,
        backend="trio",
        backend_options={"clock": trio.testing.MockClock(autojump_threshold=0)},
    )


def test_watch_too_far_behind_gets_a_typed_answer():
    """Guards against a watch that silently skips changes that the log has dropped."""

    async def main():
        table = objects.ObjectTable(change_limit=3)
        for number in range(5):
            await table.put(f"k{number}", b"")
        with pytest.raises(exceptions.WatchExpiredError):
            await table.watch("k", since=1, timeout_s=0.0)
        page = await table.watch("k", since=2, timeout_s=0.0)
        assert [change.key for change in page.changes] == ["k2", "k3", "k4"]
        assert (await table.watch("k", since=-1, timeout_s=9.0)).cursor == 5

    run(main)


def test_calls_over_the_rate_are_refused_without_effect():
    """Guards against a rate limit that counts but does not limit."""

    async def main():
        table = objects.ObjectTable()
        table.faults.writes_per_s = 2.0
        for number in range(2):
            await table.put(f"k{number}", b"")
        with pytest.raises(exceptions.StoreBusyError):
            await table.put("k2", b"")
        assert "k2" not in table.objects
        await anyio.sleep(0.5)
        await table.put("k2", b"")

    run(main)


def test_list_of_vms_lags():
    """Guards against tests that see a leaving VM earlier than the platform shows it."""

    async def main():
        table = objects.ObjectTable()
        table.set_machines([objectstore.Vm("a", "127.0.0.1")])
        await anyio.sleep(10.0)
        table.faults.vms_lag_s = 5.0
        table.set_machines([objectstore.Vm("a", "127.0.0.1", leaving=True)])
        assert not (await table.vms())[0].leaving
        await anyio.sleep(5.0)
        assert (await table.vms())[0].leaving

    run(main)


def test_watch_may_wait_as_long_as_it_asks():
    """Guards against a client's read timeout that ends each watch early and makes it a poll."""
    seen = []

    async def answer(request):
        seen.append(request.extensions["timeout"]["read"])
        return httpx.Response(200, content=b'{"changes": [], "cursor": 1}')

    async def main():
        transport = httpx.MockTransport(answer)
        async with httpx.AsyncClient(transport=transport, base_url="http://platform") as client:
            store = objectstore.HttpObjectStore(client, timeout_s=1.0)
            await store.watch("shards/assignment", since=0, timeout_s=20.0)

    anyio.run(main)
    assert seen == [21.0]
