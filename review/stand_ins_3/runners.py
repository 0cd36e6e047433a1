"""Model runners: they answer each turn with a stream of events, and record what they ran."""

import asyncio
import dataclasses
import time

from stand_ins_3 import http, store

EVENT_PAUSE_S = 0.002


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that a runner has run."""

    at: float
    runner: str
    attempt: str
    program: str
    target: str
    body: bytes


class Runner:
    """A runner of a service that runs every request at once.

    Parameters
    ----------
    events : int
        Events of each stream.
    runs : list of Run
        Gets the requests that were run; runners may share it.

    Attributes
    ----------
    version : str
        Version of its software; each event names it.
    event_pause_s : float
        Pause after each event, in seconds.
    """

    def __init__(
        self, name: str, service: str, address: str, zone: str, events: int, runs: list[Run]
    ):
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.events = events
        self.runs = runs
        self.version = "v1"
        self.event_pause_s = EVENT_PAUSE_S
        self.born = 0
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, registered_in: store.Store) -> None:
        """Begin to serve, and register."""
        await self.listen()
        self.register(registered_in)

    async def listen(self) -> None:
        """Begin to serve as a new process."""
        self.born = int(time.time() * 1000)
        self.server = await http.serve(self.address, self.handle)

    def crash(self) -> None:
        """Stop to listen, and reset all connections."""
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.writers.clear()

    def register(self, registered_in: store.Store) -> None:
        """Write the entry of this runner."""
        spec = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": 16,
            "state": "ready",
            "coldLeftMs": 0,
            "seq": 1,
            "born": self.born,
        }
        registered_in.put("servers", self.name, spec=spec)

    async def handle(
        self, request: http.Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request."""
        self.writers.add(writer)
        method, target, _ = request.start
        if method == "GET" and target == "/healthz":
            headers = {"Instance-Id": self.name, "Server-Load": "0,0,16", "Content-Length": "0"}
            writer.write(http.head("HTTP/1.1 200 OK", headers))
            await writer.drain()
            return True
        if request.headers.get("expect-instance", self.name) != self.name:
            headers = {"Instance-Id": self.name, "Content-Length": "0"}
            writer.write(http.head("HTTP/1.1 421 Misdirected Request", headers))
            await writer.drain()
            return True
        attempt = request.headers.get("attempt-id", "")
        program = request.headers.get("program-id", "")
        self.runs.append(Run(time.monotonic(), self.name, attempt, program, target, request.body))
        headers = {
            "Attempt-Id": attempt,
            "Server-Seal": f"seal.{attempt}",
            "Server-Load": "1,0,16",
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        writer.write(http.head("HTTP/1.1 200 OK", headers))
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, self.events + 1):
            event = f"id: {number}\ndata: {attempt} {number} {self.version}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.event_pause_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True
