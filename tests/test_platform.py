"""The adapter against a stand-in for the platform's store, and a whole gateway on it."""

import contextlib
import json

import anyio
import gateways
import listen_addresses
import platform_stand_in
import pytest
from dogwoodgap_platform import entrance, fleet, names, records, removals, store

from dogwoodgap import dialect, exceptions, gateway, routes, settings, source

SERVER = {
    "service": "plain",
    "addr": "127.0.0.1:1",
    "zone": "d1",
    "slots": 4,
    "state": "ready",
    "seq": 3,
}


def run(main):
    """Run a coroutine function within 30 s."""

    async def limited():
        with anyio.fail_after(30):
            await main()

    anyio.run(limited)


@contextlib.asynccontextmanager
async def running_store():
    """Run a stand-in and give it with a client."""
    from dogwoodgap import ingress

    stand_in = platform_stand_in.Store()
    async with anyio.create_task_group() as tasks:
        await tasks.start(ingress.Server(stand_in.handle).serve, stand_in.address)
        yield stand_in, store.PlatformStore(f"http://{stand_in.address}")
        tasks.cancel_scope.cancel()


def test_routes_are_decoded_into_the_products_terms():
    """Guards against wire names that are read wrongly."""

    async def main():
        async with running_store() as (stand_in, client):
            adapter = fleet.PlatformSource(client)
            assert (await adapter.read_routes()).table is None
            stand_in.put("config", "main", spec=platform_stand_in.CONFIGURATION)
            reading = await adapter.read_routes()
        assert reading.revision == stand_in.revision
        table = reading.table
        assert (table.version, table.limits.idle_timeout_s) == (7, 15.0)
        action = table.match("h.example", "/read/x")
        assert (action.kind, action.max_runs, action.timeout_s, action.objective_s) == (
            routes.RouteKind.IDEMPOTENT,
            2,
            1.2,
            0.12,
        )
        turn = table.match("h.example", "/turn/x")
        assert turn.targets == (routes.Target("model", 90), routes.Target("plain", 10))
        assert (turn.prompts, turn.resumable) == (True, True)
        assert table.services["model"].engine == routes.Engine(16, 1000, 10)

    run(main)


def test_invalid_routes_are_not_taken():
    """Guards against half of a configuration in force."""

    async def main():
        async with running_store() as (stand_in, client):
            broken = {**platform_stand_in.CONFIGURATION, "routes": [{"name": "r"}]}
            stand_in.put("config", "main", spec=broken)
            assert (await fleet.PlatformSource(client).read_routes()).table is None

    run(main)


def test_malformed_entries_name_no_server():
    """Guards against one bad entry that hides the others."""

    async def main():
        async with running_store() as (stand_in, client):
            stand_in.put("servers", "a", spec=SERVER)
            stand_in.put("servers", "b", spec={**SERVER, "state": "draining", "born": 5})
            bad = [
                None,
                "text",
                {**SERVER, "state": "sleeping"},
                {**SERVER, "addr": 7},
                {**SERVER, "addr": "nowhere"},
                {"service": "plain"},
                {**SERVER, "slots": "many"},
            ]
            for number, spec in enumerate(bad):
                stand_in.put("servers", f"x{number}", spec=spec)
            listing = await fleet.PlatformSource(client).read_servers()
        assert [server.id for server in listing.servers] == ["a", "b"]
        assert [server.draining for server in listing.servers] == [False, True]
        assert listing.servers[1].started_ms == 5

    run(main)


def test_watch_ends_with_a_change_and_reports_lost_history():
    """Guards against changes that are missed."""

    async def main():
        async with running_store() as (stand_in, client):
            adapter = fleet.PlatformSource(client)
            stand_in.put("config", "main", spec=platform_stand_in.CONFIGURATION)
            start = (await adapter.read_routes()).revision
            assert not (await adapter.watch_routes(start, 0.05)).changed
            async with anyio.create_task_group() as tasks:
                found = []

                async def watch():
                    found.append(await adapter.watch_routes(start, 5.0))

                tasks.start_soon(watch)
                await anyio.sleep(0.05)
                stand_in.put("config", "main", spec=platform_stand_in.CONFIGURATION)
            assert found == [source.WatchResult(stand_in.revision, changed=True)]
            stand_in.oldest = stand_in.revision + 1
            with pytest.raises(exceptions.WatchExpiredError):
                await adapter.watch_routes(start, 0.05)

    run(main)


@pytest.mark.parametrize(
    ("refuse", "lose", "expected"),
    [
        (503, False, exceptions.StoreUnavailableError),
        (429, False, exceptions.StoreBusyError),
        (0, True, exceptions.StoreUnavailableError),
    ],
)
def test_failures_of_the_store_have_their_kinds(refuse, lose, expected):
    """Guards against errors that the followers do not handle."""

    async def main():
        async with running_store() as (stand_in, client):
            stand_in.refuse, stand_in.lose = refuse, lose
            with pytest.raises(expected):
                await fleet.PlatformSource(client).read_servers()

    run(main)


def test_records_are_written_under_their_condition():
    """Guards against two owners of a budget that overwrite each other."""

    async def main():
        async with running_store() as (_, client):
            adapter = records.PlatformBudgetRecords(client)
            first = await adapter.write(source.BudgetRecord("p", 900, 400, 0))
            with pytest.raises(exceptions.VersionConflictError):
                await adapter.write(source.BudgetRecord("p", 900, 500, 0))
            second = await adapter.write(source.BudgetRecord("p", 900, 500, first))
            with pytest.raises(exceptions.VersionConflictError):
                await adapter.write(source.BudgetRecord("p", 900, 600, first))
            expected = source.BudgetRecord("p", 900, 500, second)
            assert await adapter.read("p") == expected
            for number in range(4):
                await adapter.write(source.BudgetRecord(f"q{number}", 900, 1, 0))
            assert len(await adapter.list()) == 5
            await adapter.delete("p")
            await adapter.delete("p")
            assert len(await adapter.list()) == 4

    run(main)


def test_requests_to_empty_a_machine_are_completed():
    """Guards against an operator who waits for a machine that holds nothing."""

    async def main():
        async with running_store() as (stand_in, client):
            adapter = removals.PlatformRemovals(client)
            stand_in.put("retirements", "storage-1", spec={"withinS": 10})
            found = await adapter.read()
            assert found.requests == (source.RemovalRequest("storage-1", complete=False),)
            await adapter.complete("storage-1")
            assert (await adapter.read()).requests[0].complete

    run(main)


class Machine:
    """One gateway on the stand-in."""

    def __init__(self, name, stand_in, seeds=()):
        self.settings = settings.GatewaySettings.model_validate(
            {
                "node": {
                    "name": name,
                    "data_centre": "d1",
                    "http_bind": listen_addresses.free_address(),
                    "peer_bind": listen_addresses.free_address(),
                    "seeds": list(seeds),
                },
                "platform": {"url": f"http://{stand_in.address}"},
                "gateway": {
                    "ready_bind": listen_addresses.free_address(),
                    "directory_bind": listen_addresses.free_address(),
                    "metrics_bind": listen_addresses.free_address(),
                    "stop_grace_s": 3.0,
                    "directory_ttl_s": 0.2,
                    "first_start": True,
                },
            }
        )
        client = store.PlatformStore(f"http://{stand_in.address}")
        self.gateway = gateway.Gateway(
            self.settings,
            fleet.PlatformSource(client),
            records.PlatformBudgetRecords(client),
            removals.PlatformRemovals(client),
            dialect.HeaderCodec(names.HEADERS),
        )
        self.stop = anyio.Event()
        self.gateway.wait_for_stop = self.stop.wait
        self.ended = anyio.Event()

    async def run(self):
        await self.gateway.run(entrance.DiscoveryEndpoints(self.gateway))
        self.ended.set()

    async def get(self, address, path):
        """Return the answer to a GET request."""
        host, _, port = address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            caller = gateways.Caller(stream)
            return await caller.call("GET", path, attempt_id="a1", host="h.example")

    async def wait_ready(self):
        while True:
            with contextlib.suppress(OSError):
                if (await self.get(self.settings.gateway.ready_bind, "/v1/ready")).status == 200:
                    return
            await anyio.sleep(0.05)


async def eventually(listing, count):
    """Wait until a list has a length."""
    while True:
        if len(await listing()) == count:
            return
        await anyio.sleep(0.05)


async def echo(backend, received, stream):
    """Answer in the platform's terms after a while."""
    await anyio.sleep(0.3)
    await stream.send(
        f"HTTP/1.1 200 OK\r\nAttempt-Id: {received.headers['attempt-id']}\r\n"
        "Server-Seal: s\r\nContent-Length: 2\r\n\r\nok".encode()
    )
    return True


def fill(stand_in, backend):
    """Register routes and one server."""
    stand_in.put("config", "main", spec=platform_stand_in.CONFIGURATION)
    stand_in.put("servers", backend.id, spec={**SERVER, "addr": backend.address})


@contextlib.asynccontextmanager
async def running_machine():
    """Run a gateway with a store and one server; give the store, the tasks and the gateway."""
    backend = gateways.Backend("p1", "plain", echo)
    async with running_store() as (stand_in, _), anyio.create_task_group() as tasks:
        fill(stand_in, backend)
        await tasks.start(backend.serve)
        machine = Machine("n1", stand_in)
        tasks.start_soon(machine.run)
        await machine.wait_ready()
        yield stand_in, tasks, machine
        tasks.cancel_scope.cancel()


def test_whole_gateway_serves_and_stops_as_planned():
    """Guards against requests that a planned stop cuts, and addresses of nodes that leave."""

    async def main():
        backend = gateways.Backend("p1", "plain", echo)
        async with running_store() as (stand_in, _), anyio.create_task_group() as tasks:
            fill(stand_in, backend)
            await tasks.start(backend.serve)
            first = Machine("n1", stand_in)
            second = Machine("n2", stand_in, [first.settings.node.peer_bind])
            for machine in (first, second):
                tasks.start_soon(machine.run)
            for machine in (first, second):
                await machine.wait_ready()
            resolve = names.RESOLVE_PATH.decode() + "?name=h.example&region=r&zone=z"

            async def addresses():
                answer = await second.get(second.settings.gateway.directory_bind, resolve)
                return json.loads(answer.body)["addrs"]

            await eventually(addresses, 2)
            assert (await first.get(first.settings.gateway.metrics_bind, "/metrics")).status == 200

            answers = []

            async def ask():
                answers.append(await first.get(first.settings.node.http_bind, "/read/x"))

            tasks.start_soon(ask)
            await backend.request_received.wait()
            first.stop.set()
            with anyio.fail_after(1):
                await eventually(addresses, 1)
            with anyio.fail_after(4):
                await first.ended.wait()
            assert [(item.status, item.complete) for item in answers] == [(200, True)]
            assert await addresses() == [second.settings.node.http_bind]
            tasks.cancel_scope.cancel()

    run(main)


def test_gateway_that_starts_without_the_store_learns_from_another():
    """Guards against a node that serves nobody until the store is back."""

    async def main():
        async with running_machine() as (stand_in, tasks, first):
            stand_in.refuse = 503
            second = Machine("n2", stand_in, [first.settings.node.peer_bind])
            tasks.start_soon(second.run)
            await second.wait_ready()
            assert (await second.get(second.settings.node.http_bind, "/read/x")).status == 200

    run(main)


def test_only_the_adapter_knows_the_platforms_names():
    """Guards against the platform's words in the product."""
    import pathlib

    words = (
        "Attempt-Id",
        "Server-Seal",
        "pathPrefix",
        "coldLeftMs",
        "sloMs",
        "kvTokens",
        "retirement",
    )
    root = pathlib.Path(__file__).parent.parent / "src" / "dogwoodgap"
    found = [
        (path.name, word)
        for path in root.glob("*.py")
        for word in words
        if word.lower() in path.read_text(encoding="utf-8").lower()
    ]
    assert found == []


def test_last_gateway_answers_during_its_planned_stop():
    """Guards against errors when no gateway is left that takes work."""

    async def main():
        async with running_machine() as (_, _, machine):
            machine.stop.set()
            await anyio.sleep(0.1)
            answer = await machine.get(machine.settings.node.http_bind, "/read/x")
            assert (answer.status, answer.complete) == (200, True)
            await machine.ended.wait()

    run(main)
