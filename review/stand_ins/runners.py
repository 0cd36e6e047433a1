"""Runners of model services and of plain services."""

import asyncio
import dataclasses
import itertools
import time

from stand_ins import http, store

BEAT_S = 1.2
LEAVE_BEATS = 3


@dataclasses.dataclass
class Run:
    """One request that a runner began to work on."""

    at: float
    runner: str
    version: str
    service: str
    attempt: str
    headers: dict[str, str]
    target: str
    first_event: int = 1
    events: int = 0
    ended: str = ""


class Runner:
    """One runner; ``born`` changes with each start.

    Parameters
    ----------
    runs : list of Run
        Shared record of what all runners ran.
    """

    def __init__(self, name, service, host, port, runs, platform: store.Store, **options):
        self.name = name
        self.service = service
        self.host = host
        self.port = port
        self.runs = runs
        self.platform = platform
        self.version = options.get("version", "1")
        self.zone = options.get("zone", "z1")
        self.slots = options.get("slots", 16)
        self.queue = options.get("queue", 48)
        self.first_s = options.get("first_s", 0.02)
        self.gap_s = options.get("gap_s", 0.025)
        self.events = options.get("events", 7)
        self.work_s = options.get("work_s", 0.03)
        self.seals = itertools.count(1)
        self.running = 0
        self.waiting = 0
        self.seq = 0
        self.born = 0
        self.state = "ready"
        self.slot = asyncio.Semaphore(self.slots)
        self.server: asyncio.Server | None = None
        self.beats: asyncio.Task | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen and register."""
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.running = self.waiting = 0
        self.slot = asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.beats = asyncio.create_task(self.beat())

    def crash(self) -> None:
        """End at once; the entry in the store lapses later."""
        self.server.close()
        self.beats.cancel()
        for writer in self.writers:
            writer.transport.abort()

    def drain(self) -> None:
        """Report that the runner is leaving; it goes on serving."""
        self.state = "draining"
        self.write_entry()

    def leave(self) -> None:
        """Remove the entry and stop."""
        self.crash()
        self.platform.remove("servers", self.name)

    def write_entry(self) -> None:
        """Write the entry in the store."""
        self.seq += 1
        spec = {
            "service": self.service,
            "addr": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldLeftMs": 0,
            "seq": self.seq,
            "born": self.born,
        }
        self.platform.put("servers", self.name, spec=spec)

    async def beat(self) -> None:
        """Write the entry again and again."""
        while True:
            if not self.platform.is_down:
                self.write_entry()
            await asyncio.sleep(BEAT_S)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; a request is dropped when its connection closes."""
        self.writers.add(writer)
        work = closed = None
        try:
            while True:
                request = await http.read_message(reader)
                work = asyncio.create_task(self.answer(request, writer))
                closed = asyncio.create_task(reader.read(1))
                await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    break
                if closed.done():
                    break
                closed.cancel()
                await asyncio.gather(closed, return_exceptions=True)
                work.result()
        except (http.ClosedError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            for task in (work, closed):
                if task is not None:
                    task.cancel()
                    await asyncio.gather(task, return_exceptions=True)
            writer.close()

    def head(self, attempt: str) -> dict[str, str]:
        """Return the headers that all answers carry."""
        load = f"{self.running},{self.waiting},{self.slots}"
        return {"Attempt-Id": attempt, "Instance-Id": self.name, "Server-Load": load}

    async def answer(self, request: http.Message, writer: asyncio.StreamWriter) -> None:
        """Answer one request."""
        headers = request.headers
        attempt = headers.get("attempt-id", "")
        expected = headers.get("expect-instance", self.name)
        if expected != self.name:
            writer.write(http.encode("HTTP/1.1 421 Misdirected Request", self.head(attempt)))
            return
        if self.slot.locked() and self.waiting >= self.queue:
            refused = {**self.head(attempt), "Not-Run": "1"}
            writer.write(http.encode("HTTP/1.1 503 Service Unavailable", refused))
            return
        self.waiting += 1
        try:
            await self.slot.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            await self.run(request, attempt, writer)
        finally:
            self.running -= 1
            self.slot.release()

    async def run(self, request: http.Message, attempt: str, writer: asyncio.StreamWriter) -> None:
        """Run one request."""
        headers = request.headers
        first = int(headers.get("last-event-id", "0")) + 1
        run = Run(
            time.time(),
            self.name,
            self.version,
            self.service,
            attempt,
            headers,
            request.first[1],
            first,
        )
        run.ended = "broken off"
        self.runs.append(run)
        seal = f"{self.name}.{self.version}.{next(self.seals)}"
        sealed = {**self.head(attempt), "Server-Seal": seal}
        if "token-count" not in headers:
            await asyncio.sleep(self.work_s)
            body = f"{self.service}/{self.version}:{attempt}".encode()
            writer.write(http.encode("HTTP/1.1 200 OK", sealed, body))
            await writer.drain()
            run.ended = "whole"
            return
        await asyncio.sleep(self.first_s)
        sealed |= {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(http.encode("HTTP/1.1 200 OK", sealed, None))
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {self.version} {attempt} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            run.events += 1
            if number < self.events:
                await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run.ended = "whole"
