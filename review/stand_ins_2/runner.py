"""A runner: registers itself in the store, runs calls of tools and streams with events."""

import asyncio
import contextlib
import dataclasses
import time

from stand_ins_2 import http, store

BEAT_S = 1.2


@dataclasses.dataclass(slots=True)
class Run:
    """A request that began to run."""

    attempt: str
    runner: str
    target: str
    body: bytes
    headers: dict[str, str]
    events: int = 0
    whole: bool = False


class Runner:
    """One runner of a service.

    Parameters
    ----------
    event_s : float
        Time between two events of a stream.
    count : callable
        Returns the number of events of a request's whole stream.
    """

    def __init__(self, platform: store.Store, name: str, service: str, address: str, **options):
        self.platform = platform
        self.id = name
        self.service = service
        self.address = address
        self.version = options.get("version", "v1")
        self.slots = options.get("slots", 16)
        self.event_s = options.get("event_s", 0.05)
        self.count = options.get("count", lambda request: 7)
        self.zone = options.get("zone", "brno-a")
        self.state = "ready"
        self.running = 0
        self.runs: list[Run] = []
        self.on_run = options.get("on_run", lambda run: None)
        self.server: asyncio.Server | None = None
        self.beats: asyncio.Task | None = None
        self.born = round(time.time() * 1000)

    async def start(self) -> None:
        """Listen, and register."""
        host, _, port = self.address.rpartition(":")
        self.server = await http.serve(host, int(port), self.handle)
        self.beats = asyncio.create_task(self.beat())

    async def beat(self) -> None:
        """Write the entry again and again."""
        seq = 0
        while True:
            seq += 1
            self.write_entry(seq)
            await asyncio.sleep(BEAT_S)

    def write_entry(self, seq: int) -> None:
        """Write the entry of this runner."""
        spec = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": seq,
            "born": self.born,
        }
        self.platform.put("servers", self.id, "spec", spec)

    def drain(self) -> None:
        """Say that this runner is leaving; it serves on."""
        self.state = "draining"
        self.write_entry(0)

    async def stop(self) -> None:
        """Leave: the entry goes, and nothing is accepted any more."""
        if self.beats is not None:
            self.beats.cancel()
        self.platform.remove("servers", self.id)
        if self.server is not None:
            self.server.close()

    async def handle(self, request: http.Message, writer: asyncio.StreamWriter) -> None:
        """Run one request."""
        attempt = request.headers.get("attempt-id", "")
        base = {
            "Attempt-Id": attempt,
            "Instance-Id": self.id,
            "Server-Load": f"{self.running},0,{self.slots}",
        }
        if request.headers.get("expect-instance", self.id) != self.id:
            writer.write(http.encode_response(421, base, b""))
            return
        if self.running >= self.slots:
            writer.write(http.encode_response(503, {**base, "Not-Run": "1"}, b""))
            return
        run = Run(attempt, self.id, request.first_line[1], request.body, request.headers)
        self.runs.append(run)
        self.on_run(run)
        self.running += 1
        try:
            if "token-count" in request.headers:
                await self.stream(run, base, writer)
            else:
                await asyncio.sleep(self.event_s)
                headers = {**base, "Server-Seal": f"seal-{self.id}"}
                writer.write(http.encode_response(200, headers, f"done {attempt}".encode()))
                run.whole = True
        finally:
            self.running -= 1

    async def stream(self, run: Run, base: dict[str, str], writer: asyncio.StreamWriter) -> None:
        """Send the events of a stream, from the one after ``Last-Event-Id``."""
        headers = {
            **base,
            "Server-Seal": f"seal-{self.id}",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(http.encode_head("HTTP/1.1 200 OK", headers))
        first = int(run.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.count(run) + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {self.version} {self.id} {number}\n\n"
            writer.write(http.encode_chunk(event.encode()))
            await writer.drain()
            run.events += 1
        writer.write(http.encode_chunk(b""))
        with contextlib.suppress(*http.CLOSED):
            await writer.drain()
            run.whole = True
