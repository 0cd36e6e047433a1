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
        self.born = int(time.time() * 1000)

    async def start(self, registered_in: store.Store) -> None:
        """Begin to serve, and register."""
        await http.serve(self.address, self.handle)
        spec = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "v1",
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
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True
