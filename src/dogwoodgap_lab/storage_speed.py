"""Measures one storage VM: ``python -m dogwoodgap_lab.storage_speed FOLDER [MB]``.

Durable turns per second and their latency with a sync of 5 ms, over loopback connections to a
process of its own; the time of a start with a full log; and the memory of the process then.
"""

import pathlib
import statistics
import subprocess
import sys
import time
import uuid

import anyio

from dogwoodgap import clock, events, exceptions, peers, routes, settings, source
from dogwoodgap.history import disk, index, log, recovery, segments, storage
from dogwoodgap_wire import ttypes

SYNC_S = 0.005
ADDRESS = "127.0.0.1:17090"
CONNECTIONS = 8
CLIENTS = (1, 128)
"""Turns at a time: one after the other, and enough to keep the disk busy."""

SECONDS = 8.0
INPUT_BYTES = 2_000
OUTPUT_BYTES = 600
MS = 1_000


class SlowFolder(disk.Folder):
    """A folder whose syncs take ``SYNC_S`` longer."""

    def sync(self, name: str) -> None:
        """Sync a file."""
        super().sync(name)
        time.sleep(SYNC_S)


class OneVm:
    """Implements ``source.FleetSource``, ``StorageVms`` and ``Removals`` for one VM."""

    async def read_routes(self) -> source.RoutesSnapshot:
        """Return a route that retains turns."""
        route = routes.Route(
            "r", "h", "/", routes.RouteKind.STREAMING, (routes.Target("s"),), 1, 1, retain_s=60
        )
        return source.RoutesSnapshot(routes.RouteTable(1, [route], []), 1)

    async def watch_routes(self, after: int, wait_s: float) -> source.WatchResult:
        """Wait."""
        await anyio.sleep(wait_s)
        return source.WatchResult(after, False)

    async def write(self, vm: source.StorageVm) -> int:
        """Accept an entry."""
        return 1

    async def read(self, *, may_be_stale: bool = False) -> source.StorageVmList:
        """Return no entries."""
        return source.StorageVmList(1, ())

    async def watch(self, after: int, wait_s: float) -> source.WatchResult:
        """Wait."""
        return await self.watch_routes(after, wait_s)


class NoRequests(OneVm):
    """Implements ``source.Removals`` without requests."""

    async def read(self) -> source.RemovalList:
        """Return no requests."""
        return source.RemovalList(1, ())


def memory_mb(pid: str = "self") -> float:
    """Return the resident memory of a process."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def make_turn() -> ttypes.TurnRecord:
    """Return a turn."""
    now_ms = round(time.time() * MS)
    return ttypes.TurnRecord(
        id=uuid.uuid4().hex,
        customer="",
        ancestors=[uuid.uuid4().hex],
        input=uuid.uuid4().bytes * (INPUT_BYTES // 16),
        output=b"y" * OUTPUT_BYTES,
        ended_ms=now_ms,
        expires_ms=now_ms + 600_000,
    )


def serve(folder: str) -> None:
    """Run the storage VM."""
    loaded = settings.StorageSettings.model_validate(
        {
            "node": {"name": "s1", "data_centre": "a", "data_folder": folder},
            "platform": {"url": "http://none"},
            "storage": {"bind": ADDRESS},
        }
    )
    events.configure()
    platform = OneVm()
    process = storage.StorageProcess(loaded, platform, platform, NoRequests(), SlowFolder(folder))
    storage.run_process(process)


async def load(client_count: int) -> None:
    """Store turns for some time."""
    latencies: list[float] = []
    async with anyio.create_task_group() as tasks:
        networks = []
        for _ in range(CONNECTIONS):
            network = peers.PeerNetwork("", tasks)
            network.hello = lambda: ttypes.Member(node="g", boot="b")
            networks.append(network)
        with anyio.fail_after(30):
            while True:
                try:
                    await networks[0].request(
                        ADDRESS, ttypes.TurnFetch(ids=[]), ttypes.TurnFetchReply, timeout_s=1
                    )
                    break
                except exceptions.PeerUnreachableError:
                    await anyio.sleep(0.02)
        end_at = clock.now() + SECONDS

        async def run_client(network: peers.PeerNetwork) -> None:
            while clock.now() < end_at:
                began_at = clock.now()
                message = ttypes.TurnStore(turns=[make_turn()])
                reply = await network.request(ADDRESS, message, ttypes.TurnStoreReply, timeout_s=2)
                if reply.message.stored:
                    latencies.append(clock.now() - began_at)

        async with anyio.create_task_group() as clients:
            for number in range(client_count):
                clients.start_soon(run_client, networks[number % CONNECTIONS])
        tasks.cancel_scope.cancel()
    ordered = sorted(latencies)
    print(
        f"{len(ordered) / SECONDS:.0f} durable turns/s with {client_count} at a time and a sync of "
        f"{SYNC_S * MS:.0f} ms; latency median {statistics.median(ordered) * MS:.1f} ms, "
        f"99% {ordered[int(len(ordered) * 0.99)] * MS:.1f} ms"
    )


def fill(folder: str, size_mb: int) -> int:
    """Write a log of a size; return the number of turns."""
    files = disk.Folder(folder)
    files.names()
    count = 0
    previous = index.Segment(0)
    first = round(time.time() * MS)
    for number in range(first, first + size_mb * 1_000_000 // log.SEGMENT_BYTES):
        parts = [segments.encode_header(number, previous.number, previous.valid_bytes)]
        size = len(parts[0])
        while size < log.SEGMENT_BYTES:
            turn = make_turn()
            body = segments.encode_body(turn)
            parts.append(
                segments.encode_record(number, segments.TURN, turn.id, turn.expires_ms, body)
            )
            size += len(parts[-1])
            count += 1
        files.append(segments.file_name(number), b"".join(parts))
        previous = index.Segment(number, size)
    files.sync(segments.file_name(number))
    files.append(disk.MARKER, b"in use\n")
    files.sync(disk.MARKER)
    return count


def measure_start(folder: str, size_mb: int) -> None:
    """Measure the time until a VM with a full log answers, and its memory."""
    count = fill(folder, size_mb)
    began_at = time.perf_counter()
    recovered = recovery.recover(disk.Folder(folder))
    took_s = time.perf_counter() - began_at
    assert len(recovered.turn_index) == count
    print(f"{size_mb} MB, {count} turns: read in {took_s:.2f} s")

    async def wait_until_answered() -> None:
        async with anyio.create_task_group() as tasks:
            network = peers.PeerNetwork("", tasks)
            network.hello = lambda: ttypes.Member(node="g", boot="b")
            while True:
                try:
                    await network.request(
                        ADDRESS, ttypes.TurnFetch(ids=[]), ttypes.TurnFetchReply, timeout_s=1
                    )
                    break
                except exceptions.PeerUnreachableError:
                    await anyio.sleep(0.005)
            tasks.cancel_scope.cancel()

    began_at = time.perf_counter()
    process = start(folder)
    anyio.run(wait_until_answered)
    took_s = time.perf_counter() - began_at
    print(
        f"process start to first reply: {took_s:.2f} s; memory {memory_mb(str(process.pid)):.0f} MB"
    )
    process.terminate()
    process.wait(10)


def start(folder: str) -> subprocess.Popen[bytes]:
    """Start the storage VM as a process."""
    return subprocess.Popen([sys.executable, "-m", __spec__.name, folder, "serve"])


def main() -> None:
    """Run all measurements."""
    folder = sys.argv[1]
    if sys.argv[2:] == ["serve"]:
        serve(folder)
        return
    process = start(folder)
    for client_count in CLIENTS:
        anyio.run(load, client_count)
    print(f"memory after the load: {memory_mb(str(process.pid)):.0f} MB")
    process.terminate()
    process.wait(10)
    if sys.argv[2:]:
        measure_start(f"{folder}/full", int(sys.argv[2]))


if __name__ == "__main__":
    main()
