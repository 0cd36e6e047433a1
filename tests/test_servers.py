"""Server registry with stale listings, expired entries and restarted servers."""

import dataclasses

import anyio
import virtual_time

from dogwoodgap import servers

SERVER_A = servers.BackendServer("a", "s", "10.0.0.1:80", "d", 4, started_ms=1)
SERVER_B = servers.BackendServer("b", "s", "10.0.0.2:80", "d", 4, started_ms=1)
GRACE_S = 2.0


def ids(server_registry):
    return [server.id for server in server_registry.ready("s")]


def test_draining_and_missing_servers_get_no_requests():
    """Guards against new requests to servers that are draining or no longer listed."""

    async def main():
        server_registry = servers.ServerRegistry(GRACE_S)
        server_registry.apply(servers.Listing(1, (SERVER_A, SERVER_B)))
        assert ids(server_registry) == ["a", "b"]
        server_registry.apply(
            servers.Listing(2, (dataclasses.replace(SERVER_A, draining=True), SERVER_B))
        )
        assert ids(server_registry) == ["b"]
        server_registry.apply(servers.Listing(3, ()))
        assert ids(server_registry) == []

    virtual_time.run(main)


def test_older_listing_is_ignored():
    """Guards against a stale listing that restores a removed server."""

    async def main():
        server_registry = servers.ServerRegistry(GRACE_S)
        server_registry.apply(servers.Listing(5, (SERVER_B,)))
        assert not server_registry.apply(servers.Listing(4, (SERVER_A, SERVER_B)))
        assert ids(server_registry) == ["b"]

    virtual_time.run(main)


def test_entries_that_expired_in_an_outage_are_kept_for_the_grace_period():
    """Guards against refusing requests because the entries of servers expired in an outage."""

    async def main():
        server_registry = servers.ServerRegistry(GRACE_S)
        server_registry.apply(servers.Listing(1, (SERVER_A, SERVER_B)))
        server_registry.start_grace_period()
        server_registry.apply(servers.Listing(2, (SERVER_B,)))
        assert ids(server_registry) == ["a", "b"]
        await anyio.sleep(GRACE_S + 0.1)
        server_registry.apply(servers.Listing(3, (SERVER_B,)))
        assert ids(server_registry) == ["b"]

    virtual_time.run(main)


def test_restarted_server_counts_as_removed():
    """Guards against reusing connections and load figures of a process that ended."""

    async def main():
        server_registry = servers.ServerRegistry(GRACE_S)
        removed = []
        server_registry.removal_hooks.append(removed.append)
        server_registry.apply(servers.Listing(1, (SERVER_A,)))
        server_registry.apply(servers.Listing(2, (dataclasses.replace(SERVER_A, started_ms=2),)))
        assert removed == [SERVER_A]
        assert not server_registry.is_usable(SERVER_A)

    virtual_time.run(main)
