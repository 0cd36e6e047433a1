"""Stand-ins of a simulated fleet: the store, backend servers and callers."""

import dataclasses
import enum
import random
import typing

import anyio
import anyio.abc
import h11

from dogwoodgap import (
    clock,
    dialect,
    exceptions,
    file_source,
    http_pool,
    ingress,
    routes,
    servers,
    source,
)
from dogwoodgap_lab import gateway_scale
from dogwoodgap_lab.fleet_simulation import evidence, network

HOST = "fleet.example"
SERVER_HOST = "10.9."
SERVERS_PER_SERVICE = 3
SLOTS = 24
BREAK_SHARE = 0.01
"""Share of the runs in which a server closes its connection before the response is complete."""

GIVE_UP_MARGIN_S = 0.5
"""Time after the route's timeout at which a caller closes its connection."""

STORE_TIMEOUT_S = 1.0
"""Time after which the gateway's client of the store gives up, as ``objectstore`` does."""

SLOW_S = (0.05, 1.5)
"""Time of a call while the store is slow; those above ``STORE_TIMEOUT_S`` fail."""

WRITTEN_SHARE = 0.5
"""Share of the failed writes that take effect; their writer cannot know."""

NAMES = dialect.HeaderNames()
ENDED = (anyio.EndOfStream, *http_pool.CONNECTION_ERRORS)


class StoreState(enum.Enum):
    """How the store answers.

    Attributes
    ----------
    UP
        As usual.
    REFUSING, SILENT
        Calls fail at once, or after the client's timeout.
    SLOW
        Calls take ``SLOW_S``.
    """

    UP = "up"
    REFUSING = "refusing"
    SILENT = "silent"
    SLOW = "slow"


class Store(gateway_scale.SimulatedStore):
    """Implements ``source.FleetSource`` with a service of plain or streaming servers per kind."""

    def __init__(self, seed: int) -> None:
        super().__init__(engines=0)
        self.state = StoreState.UP
        self.draws = random.Random(f"{seed}/store")
        self.changes = 0
        self.servers = tuple(
            servers.BackendServer(
                f"{kind.name}-{number}",
                kind.name,
                f"{SERVER_HOST}{service}.{number}:80",
                f"dc{number}",
                SLOTS,
            )
            for service, kind in enumerate(evidence.KINDS)
            for number in range(SERVERS_PER_SERVICE)
        )
        engine = routes.Engine(SLOTS, 50_000, 1)
        self.table = routes.RouteTable(
            1,
            [
                routes.Route(
                    kind.name,
                    HOST,
                    f"/{kind.name}/",
                    routes.RouteKind(kind.route_kind),
                    (routes.Target(kind.name),),
                    timeout_s=kind.timeout_s,
                    objective_s=0.2,
                    max_runs=kind.max_runs,
                    prompts=kind.is_turn,
                    resumable=bool(kind.events),
                )
                for kind in evidence.KINDS
            ],
            [
                routes.Service(kind.name, 170, engine if kind.is_turn else None)
                for kind in evidence.KINDS
            ],
        )

    async def answer(self) -> None:
        """Take the time of a call beyond the usual one; raise ``StoreError`` if it fails."""
        delay_s = 0.0
        if self.state is StoreState.SILENT:
            delay_s = STORE_TIMEOUT_S
        elif self.state is StoreState.SLOW:
            delay_s = self.draws.uniform(*SLOW_S)
        is_lost = self.state is StoreState.REFUSING or delay_s >= STORE_TIMEOUT_S
        if delay_s:
            await anyio.sleep(min(delay_s, STORE_TIMEOUT_S))
        if is_lost:
            raise exceptions.StoreUnavailableError("the store did not answer; retry the call")

    async def read_routes(self) -> source.RoutesSnapshot:
        """Return the routes."""
        await self.answer()
        return await super().read_routes()

    async def watch_routes(self, after: int, wait_s: float) -> source.WatchResult:
        """Wait; the routes never change."""
        await self.answer()
        result = await super().watch_routes(after, wait_s)
        await self.answer()
        return result

    async def read_servers(self) -> servers.Listing:
        """Return the servers as of the call; a slow answer is old when it arrives."""
        listing = await super().read_servers()
        # Two lists must differ in revision even if less than a heartbeat lies between them.
        listing = servers.Listing(listing.revision + self.changes, self.servers)
        await self.answer()
        return listing

    def replace(self, server_id: str, entry: servers.BackendServer | None) -> None:
        """Replace the entry of a server, or remove it; an id that is not listed is added."""
        others = [one for one in self.servers if one.id != server_id]
        entries = others if entry is None else [*others, entry]
        self.servers = tuple(sorted(entries, key=lambda one: one.id))
        self.changes += 1


class BudgetRecords(file_source.InMemoryBudgetRecords):
    """Budget records that are away with the store."""

    def __init__(self, store: Store):
        super().__init__()
        self.store = store

    async def write(self, record: source.BudgetRecord) -> int:
        """Write a record; a failed write may have taken effect."""
        try:
            await self.store.answer()
        except exceptions.StoreError:
            if self.store.draws.random() < WRITTEN_SHARE:
                await super().write(record)
            raise
        return await super().write(record)

    async def read(self, program: str) -> source.BudgetRecord:
        """Return the record of a program."""
        await self.store.answer()
        return await super().read(program)

    async def list(self) -> list[source.BudgetRecord]:
        """Return all records."""
        await self.store.answer()
        return await super().list()

    async def delete(self, program: str) -> None:
        """Delete the record of a program."""
        await self.store.answer()
        await super().delete(program)


@dataclasses.dataclass
class Server:
    """A backend server, which records its runs; it serves HTTP as a gateway does."""

    entry: servers.BackendServer
    kind: evidence.Kind
    seen: evidence.Evidence
    draws: random.Random
    gateways: dict[str, str]
    """Names of the gateways by host."""

    async def handle(self, request: ingress.Request, responder: ingress.Responder) -> None:
        """Run one request."""
        headers = dict(request.headers)
        attempt = headers[NAMES.attempt_id].decode()
        fields = [(NAMES.attempt_id, attempt.encode()), (NAMES.signature, self.entry.id.encode())]
        if headers.get(NAMES.expected_server) != self.entry.id.encode():
            await responder.send(421, [*fields, (NAMES.not_run, b"1")])
            return
        sender = self.gateways[responder.connection.stream.link.target]
        run = evidence.Run(attempt, self.entry.id, sender, clock.now())
        self.seen.runs.append(run)
        self.seen.add(run.began_at, self.entry.id, f"{attempt} begins to run for {sender}", attempt)
        try:
            first = int(headers.get(NAMES.last_event_id, b"0")) + 1
            await self.run(run, first, fields, responder)
        finally:
            run.ended_at = clock.now()
            text = f"{attempt} run ends{', broken off by the server' if run.broken else ''}"
            self.seen.add(run.ended_at, self.entry.id, text, attempt)

    async def run(
        self,
        run: evidence.Run,
        first: int,
        fields: dialect.Headers,
        responder: ingress.Responder,
    ) -> None:
        """Work on a request and respond, in one piece or event by event from ``first`` on."""
        breaks_off = self.draws.random() < BREAK_SHARE
        if not self.kind.events:
            run.body = f"{run.attempt} by {self.entry.id}".encode()
            await anyio.sleep(self.kind.work_s)
            if not breaks_off:
                await responder.send(200, fields, run.body)
                return
        else:
            run.body = stream_body(run.attempt, self.kind)
            fields += [(b"content-type", b"text/event-stream"), (b"transfer-encoding", b"chunked")]
            await responder.start(200, fields)
            last = self.kind.events // 2 if breaks_off else self.kind.events
            for number in range(first, last + 1):
                await anyio.sleep(self.kind.work_s / self.kind.events)
                run.last_event = number
                await responder.send_data(stream_event(run.attempt, number))
            if not breaks_off:
                await responder.finish()
                return
        run.broken = True
        raise ingress.CallerDisconnectedError


def stream_event(attempt: str, number: int) -> bytes:
    """Return one event of the stream for a request."""
    return f"id: {number}\ndata: {attempt} {number}\n\n".encode()


def stream_body(attempt: str, kind: evidence.Kind) -> bytes:
    """Return the whole stream for a request."""
    return b"".join(stream_event(attempt, number) for number in range(1, kind.events + 1))


async def next_event(state: h11.Connection, stream: anyio.abc.SocketStream) -> typing.Any:
    """Return the next h11 event; the end of the data is passed on to h11."""
    while (event := state.next_event()) is h11.NEED_DATA:
        try:
            data = await stream.receive()
        except anyio.EndOfStream:
            data = b""
        try:
            state.receive_data(data)
        except h11.RemoteProtocolError:
            raise anyio.EndOfStream from None
    return event


class Caller:
    """A caller, which keeps one connection and records what it gets."""

    def __init__(self, name: str, net: network.Network, seen: evidence.Evidence):
        self.name = name
        self.network = net
        self.seen = seen
        self.count = 0
        self.stream: network.Endpoint | None = None
        self.state = h11.Connection(h11.CLIENT)
        self.gateway = ""

    def close(self) -> None:
        """Close the kept connection."""
        if self.stream is not None:
            self.stream.close()
            self.stream = None

    async def call(
        self,
        gateway: str,
        address: str,
        kind: evidence.Kind,
        *,
        kept: bool,
        program: evidence.Program | None = None,
    ) -> evidence.Attempt:
        """Send a request to a gateway, on the kept connection or a new one."""
        if not kept or self.gateway != gateway:
            self.close()
        self.count += 1
        attempt = evidence.Attempt(f"{self.name}-{self.count}", kind, gateway, program)
        self.seen.attempts[attempt.id] = attempt
        attempt.gave_up = True
        try:
            with anyio.move_on_after(kind.timeout_s + GIVE_UP_MARGIN_S):
                await self.exchange(attempt, address)
                attempt.gave_up = False
        except (h11.RemoteProtocolError, *ENDED) as error:
            attempt.gave_up = False
            self.close()
            text = f"{attempt.id} ends without a response: {type(error).__name__}"
            self.seen.add(clock.now(), "caller", text, attempt.id)
        attempt.ended_at = clock.now()
        if attempt.gave_up:
            self.close()
        if attempt.whole:
            text = f"{attempt.id} gets {attempt.status}"
            self.seen.add(attempt.ended_at, "caller", text, attempt.id)
        return attempt

    async def exchange(self, attempt: evidence.Attempt, address: str) -> None:
        """Send a request and read its response."""
        kind = attempt.kind
        is_new = self.stream is None
        if self.stream is None:
            host, _, port = address.rpartition(":")
            self.stream = await self.network.connect(host, int(port), self.name)
            self.gateway = attempt.gateway
            self.state = h11.Connection(h11.CLIENT)
        # Equal bodies would share one digest, and a crash suspected of one would refuse them all.
        body = attempt.id.encode()
        headers = [
            (b"host", HOST.encode()),
            (NAMES.attempt_id, attempt.id.encode()),
            (NAMES.deadline, str(round(kind.timeout_s * 1000)).encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        if attempt.program is not None:
            headers += [
                (NAMES.program_id, attempt.program.name.encode()),
                (NAMES.token_budget, str(attempt.program.budget).encode()),
                (NAMES.token_count, f"1166,{kind.events}".encode()),
                (NAMES.session_id, attempt.program.name.encode()),
            ]
        elif kind.is_turn:
            headers += [(NAMES.token_count, b"1166,100"), (NAMES.session_id, attempt.id.encode())]
        request = h11.Request(method="POST", target=f"/{kind.name}/x", headers=headers)
        data = self.state.send(request) + self.state.send(h11.Data(body))
        attempt.sent_at = clock.now()
        text = f"{attempt.id} sent to {attempt.gateway} on a {'new' if is_new else 'kept'} one"
        self.seen.add(attempt.sent_at, "caller", text, attempt.id)
        await self.stream.send(data + self.state.send(h11.EndOfMessage()))
        event = await next_event(self.state, self.stream)
        while isinstance(event, h11.InformationalResponse):
            event = await next_event(self.state, self.stream)
        if not isinstance(event, h11.Response):
            raise anyio.EndOfStream
        attempt.status = event.status_code
        fields = dict(event.headers)
        attempt.attempt_header = fields.get(NAMES.attempt_id, b"").decode()
        attempt.signed = NAMES.signature in fields
        while isinstance(event := await next_event(self.state, self.stream), h11.Data):
            attempt.body += bytes(event.data)
        if not isinstance(event, h11.EndOfMessage):
            raise anyio.EndOfStream
        attempt.whole = True
        attempt.extra = self.state.trailing_data[0]
        if self.state.our_state is h11.DONE and self.state.their_state is h11.DONE:
            self.state.start_next_cycle()
        else:
            self.close()
