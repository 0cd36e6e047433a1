"""Runs a forwarder on real sockets with scripted backend servers and in-memory records."""

import collections.abc
import contextlib
import dataclasses

import anyio
import anyio.abc
import h11
import listen_addresses

from dogwoodgap import (
    budget_owners,
    crashes,
    dialect,
    exceptions,
    file_source,
    forwarder,
    ingress,
    permits,
    routes,
    servers,
    source,
    stream_owners,
)

NAMES = dialect.HeaderNames(reserved=(b"dogwoodgap-hold",))
SIGNATURE_HEADER = (b"dogwoodgap-seal", b"s1")
TIMEOUT_S = 0.6
MAX_RESPONSE_BYTES = 1024 * 1024
MAX_RELAYED_REQUESTS = 4


class FakeBudgetRecords:
    """Budget records in memory; while ``down`` is set, all calls fail."""

    def __init__(self) -> None:
        self.by_program: dict[str, source.BudgetRecord] = {}
        self.revision = 0
        self.down = False

    def check(self) -> None:
        """Raise an error while the store is down."""
        if self.down:
            raise exceptions.StoreUnavailableError("the store is down")

    async def write(self, record: source.BudgetRecord) -> int:
        """Write a record if the stored one has its revision."""
        self.check()
        stored = self.by_program.get(record.program)
        if (stored.revision if stored else 0) != record.revision:
            raise exceptions.VersionConflictError("another revision")
        self.revision += 1
        self.by_program[record.program] = dataclasses.replace(record, revision=self.revision)
        return self.revision

    async def read(self, program: str) -> source.BudgetRecord:
        """Return a record."""
        self.check()
        return self.by_program[program]

    async def list(self) -> list[source.BudgetRecord]:
        """Return all records."""
        self.check()
        return list(self.by_program.values())

    async def delete(self, program: str) -> None:
        """Delete a record."""
        self.check()
        self.by_program.pop(program, None)


class FakeCrashRecords(file_source.InMemoryCrashRecords):
    """Crash records in memory; while ``down`` is set, all calls fail."""

    def __init__(self) -> None:
        super().__init__()
        self.down = False

    def check(self) -> None:
        """Raise an error while the store is down."""
        if self.down:
            raise exceptions.StoreUnavailableError("the store is down")

    async def create(self, record: source.CrashRecord) -> None:
        """Store a record unless its digest is stored already."""
        self.check()
        await super().create(record)

    async def list(self) -> list[source.CrashRecord]:
        """Return all records."""
        self.check()
        return await super().list()

    async def delete(self, digest: int) -> None:
        """Delete a record."""
        self.check()
        await super().delete(digest)


@dataclasses.dataclass(slots=True)
class ReceivedRequest:
    """One request as received by a backend server."""

    target: str
    headers: dict[str, str]
    body: bytes
    connection: int


Script = collections.abc.Callable[
    ["Backend", ReceivedRequest, anyio.abc.SocketStream], collections.abc.Awaitable[bool]
]


class Backend:
    """A backend server whose script handles requests and returns whether to keep reading."""

    def __init__(self, server_id: str, service: str, script: Script):
        self.id = server_id
        self.service = service
        self.script = script
        self.address = listen_addresses.free_address()
        self.received: list[ReceivedRequest] = []
        self.opened = 0
        self.request_received = anyio.Event()

    def entry(self, **changes) -> servers.BackendServer:
        """Return the server's registry entry."""
        entry = servers.BackendServer(self.id, self.service, self.address, "d1", 4)
        return dataclasses.replace(entry, **changes)

    async def serve(self, *, task_status: anyio.abc.TaskStatus) -> None:
        """Accept connections until cancelled."""
        host, _, port = self.address.rpartition(":")
        async with await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        ) as listener:
            task_status.started()
            await listener.serve(self.serve_stream)

    async def serve_stream(self, stream: anyio.abc.SocketStream) -> None:
        """Read requests from one connection and run the script for each."""
        self.opened += 1
        number = self.opened
        state = h11.Connection(h11.SERVER)
        request: h11.Request | None = None
        body = b""
        with contextlib.suppress(
            anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError
        ):
            async with stream:
                while True:
                    event = state.next_event()
                    if event is h11.NEED_DATA:
                        state.receive_data(await stream.receive())
                    elif isinstance(event, h11.Request):
                        request, body = event, b""
                    elif isinstance(event, h11.Data):
                        body += bytes(event.data)
                    elif isinstance(event, h11.EndOfMessage):
                        unread_data = state.trailing_data[0]
                        state = h11.Connection(h11.SERVER)
                        state.receive_data(unread_data) if unread_data else None
                        headers = {k.decode(): v.decode() for k, v in request.headers}
                        received = ReceivedRequest(request.target.decode(), headers, body, number)
                        self.received.append(received)
                        self.request_received.set()
                        if not await self.script(self, received, stream):
                            return
                    else:
                        return


def response_head(
    received: ReceivedRequest, status: int = 200, *extra: str, signed: bool = True
) -> bytes:
    """Return status line and headers of the response to a request."""
    lines = [
        f"HTTP/1.1 {status} X",
        f"dogwoodgap-attempt: {received.headers['dogwoodgap-attempt']}",
    ]
    if signed:
        lines.append("dogwoodgap-seal: s1")
    return ("\r\n".join([*lines, *extra]) + "\r\n\r\n").encode()


def complete_response(body: bytes = b"ok", status: int = 200, *extra: str) -> Script:
    """Return a script that sends a complete response."""

    async def script(
        backend: Backend, received: ReceivedRequest, stream: anyio.abc.SocketStream
    ) -> bool:
        await stream.send(
            response_head(received, status, f"content-length: {len(body)}", *extra) + body
        )
        return True

    return script


def delayed(released: anyio.Event) -> Script:
    """Return a script that sends a complete response once the event is set."""

    async def script(
        backend: Backend, received: ReceivedRequest, stream: anyio.abc.SocketStream
    ) -> bool:
        await released.wait()
        return await complete_response()(backend, received, stream)

    return script


def not_run(status: int = 503) -> Script:
    """Return a script that refuses all requests as not run."""
    return complete_response(b"full", status, "dogwoodgap-not-run: 1")


def event(number: int) -> bytes:
    """Return one server-sent event."""
    return f"id: {number}\ndata: t{number}\n\n".encode()


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


LAST_CHUNK = b"0\r\n\r\n"


def streaming(first: int = 1, last: int = 3, *, finish: bool = True, gap_s: float = 0.0) -> Script:
    """Return a script that streams events; without ``finish`` it closes after the last one."""

    async def script(
        backend: Backend, received: ReceivedRequest, stream: anyio.abc.SocketStream
    ) -> bool:
        headers = ("transfer-encoding: chunked", "content-type: text/event-stream")
        await stream.send(response_head(received, 200, *headers))
        for number in range(first, last + 1):
            await stream.send(chunk(event(number)))
            await anyio.sleep(gap_s)
        if finish:
            await stream.send(LAST_CHUNK)
        return finish

    return script


def turn(attempt_id: str, **options) -> dialect.Call:
    """Return a decoded model turn."""
    fields = {
        "method": b"POST",
        "target": b"/",
        "host": "h",
        "path": "/",
        "headers": [],
        "arrived_at": 0.0,
    }
    return dialect.Call(attempt_id=attempt_id, **fields, **options)


def route(name: str, kind: routes.RouteKind, service: str, **options) -> routes.Route:
    """Return a route for the test host whose path prefix is the route's name."""
    return routes.Route(
        name,
        "h.example",
        f"/{name}/",
        kind,
        (routes.Target(service),),
        **{"timeout_s": TIMEOUT_S, "objective_s": 0.1, **options},
    )


ROUTES = [
    route("read", routes.RouteKind.IDEMPOTENT, "plain", max_runs=2),
    route("act", routes.RouteKind.NON_IDEMPOTENT, "plain"),
    route("turn", routes.RouteKind.STREAMING, "model", resumable=True, prompts=True),
    route("talk", routes.RouteKind.STREAMING, "model"),
]
SERVICES = [
    routes.Service("plain", 100),
    routes.Service("model", 100, routes.Engine(16, 100_000, 10)),
]


class ForwarderHarness:
    """A forwarder behind a listener, with its collaborators."""

    def __init__(self, backends: list[Backend]):
        self.backends = backends
        self.active_routes = routes.ActiveRoutes()
        self.active_routes.install(routes.RouteTable(1, ROUTES, SERVICES))
        self.server_registry = servers.ServerRegistry(2.0)
        self.records = FakeBudgetRecords()
        self.budget_coordinator = budget_owners.BudgetCoordinator(self.records)
        self.crash_tracker = crashes.CrashTracker(self.server_registry, FakeCrashRecords())
        self.permit_coordinator = permits.PermitCoordinator()
        self.forwarder = forwarder.Forwarder(
            self.active_routes,
            self.server_registry,
            dialect.HeaderCodec(NAMES),
            self.budget_coordinator,
            self.crash_tracker,
            self.permit_coordinator,
            stream_owners.StreamRecorder(self.server_registry),
            "d1",
            MAX_RESPONSE_BYTES,
            MAX_RELAYED_REQUESTS,
        )
        self.server = ingress.Server(self.forwarder.handle)
        self.address = listen_addresses.free_address()

    def list_servers(self, **changes) -> None:
        """Register all backend servers."""
        entries = tuple(backend.entry(**changes) for backend in self.backends)
        self.server_registry.apply(servers.Listing(self.server_registry.revision + 1, entries))


@contextlib.asynccontextmanager
async def running(*backends: Backend) -> collections.abc.AsyncIterator[ForwarderHarness]:
    """Run a forwarder and its backend servers."""
    harness = ForwarderHarness(list(backends))
    harness.list_servers()
    async with anyio.create_task_group() as tasks:
        for backend in backends:
            await tasks.start(backend.serve)
        await tasks.start(harness.server.serve, harness.address)
        yield harness
        tasks.cancel_scope.cancel()


@dataclasses.dataclass(slots=True)
class Response:
    """A response as read by a caller; ``complete`` tells whether its end was received."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


class Caller:
    """A caller with one connection."""

    def __init__(self, stream: anyio.abc.SocketStream):
        self.stream = stream
        self.state = h11.Connection(h11.CLIENT)

    async def send(self, method: str, path: str, body: bytes = b"", **headers: str) -> None:
        """Send a request; underscores in header names become hyphens."""
        fields = {"host": "h.example", "dogwoodgap-attempt": "a1", "content-length": str(len(body))}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        data = self.state.send(
            h11.Request(method=method, target=path, headers=list(fields.items()))
        )
        if body:
            data += self.state.send(h11.Data(body))
        await self.stream.send(data + self.state.send(h11.EndOfMessage()))

    async def read_response(self) -> Response:
        """Read a response until it is complete or the connection closes."""
        response = Response(0, {}, b"", False)
        while True:
            try:
                event = self.state.next_event()
            except h11.RemoteProtocolError:
                return response
            if event is h11.NEED_DATA:
                try:
                    self.state.receive_data(await self.stream.receive())
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    self.state.receive_data(b"")
            elif isinstance(event, h11.Response):
                response.status = event.status_code
                response.headers = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.Data):
                response.body += bytes(event.data)
            else:
                response.complete = isinstance(event, h11.EndOfMessage)
                return response

    async def call(self, method: str, path: str, body: bytes = b"", **headers: str) -> Response:
        """Send a request and return the response."""
        await self.send(method, path, body, **headers)
        response = await self.read_response()
        if response.complete and self.state.our_state is h11.DONE:
            self.state.start_next_cycle()
        return response


@contextlib.asynccontextmanager
async def caller(harness: ForwarderHarness) -> collections.abc.AsyncIterator[Caller]:
    """Connect a caller to the forwarder."""
    host, _, port = harness.address.rpartition(":")
    async with await anyio.connect_tcp(host, int(port)) as stream:
        yield Caller(stream)


async def send_once(
    harness: ForwarderHarness, method: str, path: str, body: bytes = b"", **headers: str
) -> Response:
    """Send one request over a new connection."""
    async with caller(harness) as connection:
        return await connection.call(method, path, body, **headers)
