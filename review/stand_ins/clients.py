"""Clients: they ask a directory for addresses, send turns and calls, and retry as the pages say."""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import random
import time
import zlib

from stand_ins import gateways, http

CONNECT_S = 1.0
NEW_ANSWER_S = 2.0
PROMISES = (408, 421, 429, 503)
FINAL = (400, 401, 402, 403, 404, 413, 431)
HOST = "agents.example"


@dataclasses.dataclass
class Attempt:
    """One client attempt and what came back."""

    at: float
    attempt: str
    program: str
    path: str
    gateway: str = ""
    status: int = 0
    seal: str = ""
    events: list[int] = dataclasses.field(default_factory=list)
    runners: list[str] = dataclasses.field(default_factory=list)
    versions: list[str] = dataclasses.field(default_factory=list)
    whole: bool = False
    body: bytes = b""
    took_s: float = 0.0
    retry_after_s: float = 0.0
    first_event: int = 1
    resumes: str = ""


class Directory:
    """The addresses of gateways, as last answered."""

    def __init__(self, ips: list[str]):
        self.ips = ips
        self.addresses: list[str] = []
        self.until = 0.0

    async def resolve(self) -> list[str]:
        """Return the addresses to use, asking up to three nodes when the answer has expired."""
        if time.time() < self.until and self.addresses:
            return self.addresses
        for ip in random.sample(self.ips, min(3, len(self.ips))):
            with contextlib.suppress(OSError, http.ClosedError, TimeoutError, ValueError):
                answer = await asyncio.wait_for(self.ask(ip), 1.0)
                found = answer["addrs"]
                if found:
                    self.addresses = found
                    self.until = time.time() + answer["ttlS"]
                    break
        return self.addresses

    async def ask(self, ip: str) -> dict:
        """Ask one node."""
        reader, writer = await asyncio.open_connection(ip, gateways.DIRECTORY)
        try:
            target = f"/v1/resolve?name={HOST}&region=r1&zone=z1"
            writer.write(http.encode(f"GET {target} HTTP/1.1", {"Host": HOST}))
            message = await http.read_message(reader)
            if message.first[1] != "200":
                raise http.ClosedError
            return json.loads(message.body)
        finally:
            writer.close()


class Client:
    """Sends requests, each attempt on a new connection to an address drawn at random."""

    def __init__(self, directory: Directory, attempts: list[Attempt], prefix: str):
        self.directory = directory
        self.attempts = attempts
        self.numbers = itertools.count(1)
        self.prefix = prefix

    async def send(
        self, path: str, headers: dict[str, str], program: str, *, avoid: set[str], **options
    ) -> Attempt:
        """Make one client attempt; a lost connection leaves ``whole`` false."""
        attempt = Attempt(time.time(), f"{self.prefix}{next(self.numbers):06x}", program, path)
        attempt.resumes = headers.get("Resumes", "")
        attempt.first_event = int(headers.get("Last-Event-Id", "0")) + 1
        self.attempts.append(attempt)
        addresses = await self.directory.resolve()
        usable = [address for address in addresses if address not in avoid] or addresses
        if not usable:
            await asyncio.sleep(0.05)
            return attempt
        attempt.gateway = options.get("gateway") or random.choice(usable)
        host, _, port = attempt.gateway.rpartition(":")
        deadline_s = int(headers["Deadline-Ms"]) / 1000
        writer = None
        try:
            async with asyncio.timeout(deadline_s):
                async with asyncio.timeout(CONNECT_S):
                    reader, writer = await asyncio.open_connection(host, int(port))
                fields = {"Host": HOST, "Attempt-Id": attempt.attempt, **headers}
                method = options.get("method", "POST")
                body = options.get("body", b"prompt")
                writer.write(http.encode(f"{method} {path} HTTP/1.1", fields, body))
                await self.read(reader, attempt)
        except (OSError, http.ClosedError, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
            attempt.took_s = time.time() - attempt.at
        if not attempt.status:
            avoid.add(attempt.gateway)
        return attempt

    async def read(self, reader: asyncio.StreamReader, attempt: Attempt) -> None:
        """Read the answer."""
        head = await http.read_head(reader)
        attempt.status = int(head.first[1])
        attempt.seal = head.headers.get("server-seal", "")
        attempt.retry_after_s = float(head.headers.get("retry-after", "0"))
        if "event-stream" not in head.headers.get("content-type", ""):
            await http.read_body(reader, head)
            attempt.body = head.body
            attempt.whole = True
            return
        data = b""
        while chunk := await http.read_chunk(reader):
            data += chunk
            while b"\n\n" in data:
                event, _, data = data.partition(b"\n\n")
                lines = event.decode().split("\n")
                attempt.events.append(int(lines[0].removeprefix("id: ")))
                version, runner_attempt, _ = lines[1].removeprefix("data: ").split(" ")
                attempt.versions.append(version)
                attempt.runners.append(runner_attempt)
        attempt.whole = True


@dataclasses.dataclass
class Program:
    """A program that loops: it starts turns again and again until its budget is spent."""

    name: str
    budget: int
    most: int
    event_tokens: int
    tokens: int = 0
    turns: int = 0
    ended: str = ""
    ended_at: float = 0.0


async def loop_program(
    client: Client, program: Program, think_s: float, stop_at: float, deadline_ms: int = 4000
) -> None:
    """Run the turns of a program until a 402, or until it fails."""
    line = 0
    while time.time() < stop_at and not program.ended:
        line += 1
        await take_turn(client, program, f"{program.name}-{line}", deadline_ms)
        program.turns += 1
        await asyncio.sleep(think_s * random.uniform(0.5, 1.5))
    program.ended = program.ended or "stopped"
    program.ended_at = time.time()


async def take_turn(client: Client, program: Program, session: str, deadline_ms: int) -> None:
    """Take one turn: up to three times from its start, each with one retry."""
    headers = {
        "Program-Id": program.name,
        "Session-Id": session,
        "Finish-Ms": "20000",
        "Token-Budget": str(program.budget),
        "Token-Count": f"1166,{program.most}",
        "Prompt-Prefix": "5c1e07a2:512," + f"{zlib.crc32(session.encode()):08x}:654",
        "Model": "m",
        "Deadline-Ms": str(deadline_ms),
    }
    for _ in range(3):
        avoid: set[str] = set()
        for _ in range(2):
            attempt = await client.send("/turns/1", headers, program.name, avoid=avoid)
            program.tokens += len(attempt.events) * program.event_tokens
            if attempt.whole and attempt.status == 200:
                return
            if attempt.status in FINAL:
                program.ended = str(attempt.status)
                return
            if attempt.status and attempt.status not in PROMISES:
                break
            await asyncio.sleep(min(attempt.retry_after_s, 1.0))
        await asyncio.sleep(random.uniform(0.1, 0.4))
    program.ended = "failed"
