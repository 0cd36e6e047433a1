"""Which servers a node takes for reachable, on virtual time."""

import anyio
import pytest
import virtual_time

from dogwoodgap import reachability, selection, servers, upstream


class Fabric:
    """Servers that accept connections or not, and the probes that they get."""

    def __init__(self, count):
        self.entries = [
            servers.BackendServer(f"p{n}", "plain", f"10.0.{n // 250}.{n % 250}:80", "d", 4)
            for n in range(count)
        ]
        self.down = set()
        self.probes = 0
        self.registry = servers.ServerRegistry(2.0)
        self.registry.apply(servers.Listing(1, tuple(self.entries)))
        self.loads = selection.LoadTable("d")
        self.monitor = reachability.ReachabilityMonitor(self.registry, self.loads, self.open)

    async def open(self, server):
        """Open a connection, or fail after the timeout of a silent partition."""
        self.probes += 1
        if server.id in self.down:
            await anyio.sleep(upstream.CONNECT_TIMEOUT_S)
            raise upstream.ServerUnreachableError("no path")
        return self

    async def close(self):
        """Close the connection."""

    def unreachable(self):
        """Return the ids of the servers that requests avoid."""
        return {server.id for server in self.monitor.unreachable()}


def with_fabric(count):
    """Return a decorator that runs a test on virtual time."""

    def decorate(body):
        def wrapper():
            async def main():
                fabric = Fabric(count)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(fabric.monitor.run)
                    await body(fabric)
                    tasks.cancel_scope.cancel()

            virtual_time.run(main)

        wrapper.__name__, wrapper.__doc__ = body.__name__, body.__doc__
        return wrapper

    return decorate


@pytest.mark.parametrize("count", [1, 5, 60])
def test_loss_of_all_servers_is_noticed_after_one_failed_connection(count):
    """Guards against requests that are sent into a partition one by one."""

    @with_fabric(count)
    async def play(fabric):
        fabric.down = {server.id for server in fabric.entries}
        fabric.monitor.record_failure(fabric.entries[0])
        await anyio.sleep(2.0)
        assert fabric.monitor.is_cut_off("plain")
        assert fabric.monitor.is_isolated()

    play()


@pytest.mark.parametrize("count", [1, 5, 60])
def test_end_of_a_partition_is_noticed(count):
    """Guards against servers that are avoided for long after a partition."""

    @with_fabric(count)
    async def play(fabric):
        fabric.down = {server.id for server in fabric.entries}
        fabric.monitor.record_failure(fabric.entries[0])
        await anyio.sleep(60.0)
        fabric.down = set()
        await anyio.sleep(selection.MAX_BACKOFF_S + 1.0)
        assert not fabric.monitor.is_cut_off("plain")
        assert not fabric.unreachable()

    play()


@with_fabric(60)
async def test_crashes_of_some_servers_cause_few_probes(fabric):
    """Guards against a fleet that floods its servers whenever some of them crash."""
    fabric.down = {server.id for server in fabric.entries[:8]}
    for server in fabric.entries[:8]:
        fabric.monitor.record_failure(server)
    await anyio.sleep(5.0)
    assert fabric.unreachable() == fabric.down
    assert not fabric.monitor.is_cut_off("plain")
    expected_retries = 8 * 5.0 / 0.9
    assert fabric.probes <= expected_retries + 2 * reachability.CUT_OFF_SAMPLE


@with_fabric(8)
async def test_node_is_not_isolated_once_the_failed_servers_are_gone(fabric):
    """Guards against crashes that are ignored for long after one that many servers shared."""
    fabric.down = {server.id for server in fabric.entries[:6]}
    for server in fabric.entries[:6]:
        fabric.monitor.record_failure(server)
    assert fabric.monitor.is_isolated()
    for server in fabric.entries[:6]:
        fabric.loads.remove(server)
    fabric.registry.apply(servers.Listing(2, tuple(fabric.entries[6:])))
    assert not fabric.monitor.is_cut_off("plain")
    assert not fabric.monitor.is_isolated()


@with_fabric(5)
async def test_server_that_is_silent_on_an_open_connection_is_probed(fabric):
    """Guards against partitions that leave connections open and only swallow what is sent."""
    fabric.down = {"p0"}
    fabric.monitor.request_probe(fabric.entries[0])
    fabric.monitor.request_probe(fabric.entries[1])
    await anyio.sleep(1.0)
    assert fabric.unreachable() == {"p0"}


@with_fabric(2)
async def test_backoff_stays_finite(fabric):
    """Guards against an overflow after a server was unreachable for hours."""
    fabric.down = {"p0"}
    fabric.monitor.record_failure(fabric.entries[0])
    await anyio.sleep(4 * 3_600)
    assert fabric.unreachable() == {"p0"}
