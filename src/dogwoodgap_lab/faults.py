"""Fault injection for the fake backend servers, as ASGI middleware."""

import collections.abc
import random
import typing

import anyio
import msgspec
from starlette import requests, responses

from dogwoodgap import clock

Scope = collections.abc.MutableMapping[str, typing.Any]
Receive = collections.abc.Callable[[], collections.abc.Awaitable[typing.Any]]
Send = collections.abc.Callable[[typing.Any], collections.abc.Awaitable[None]]
Application = collections.abc.Callable[[Scope, Receive, Send], collections.abc.Awaitable[None]]

CONTROL_PATHS = frozenset({"/faults", "/stats", "/ledger", "/requests"})
REFUSED_PATH = "/refused"
REFUSAL_LIMIT = 10_000
ALLOWED_WHILE_LEAVING = frozenset({"/load", "/cache", "/cache/events", "/cache/release", "/cancel"})


class RunnerFaults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of a fake backend server; all off by default.

    Attributes
    ----------
    delay_s : float
        Delay of each request.
    hang : bool
        Whether requests are never answered.
    silence : int
        A higher value than before makes all connections seen so far stop responding for good.
    leaving : bool
        Whether new work is refused with 503 and load reports say ``leaving``.
    reply_loss : float
        Share of plain actions that are executed and whose connection then breaks.
    crash_marker : str
        Text that crashes the runner when a request contains it.
    restart_s : float
        Time that a crashed runner takes to restart.
    load_lag_s, event_delay_s : float
        Age of load reports and delay of cache events.
    event_loss : float
        Share of cache events that are never reported.
    order_delay_s : float
        Time between the receipt of an engine order and its execution.
    """

    delay_s: float = 0.0
    hang: bool = False
    silence: int = 0
    leaving: bool = False
    reply_loss: float = 0.0
    crash_marker: str = ""
    restart_s: float = 3.0
    load_lag_s: float = 0.0
    event_delay_s: float = 0.0
    event_loss: float = 0.0
    order_delay_s: float = 0.0


class FaultInjector:
    """The active faults of a runner and the seeded random numbers that trigger them.

    Attributes
    ----------
    on_crash : callable
        Called when the runner crashes; the server that runs it sets it.
    refusal_times : deque of float
        Wall times at which work was refused because the runner was leaving.
    """

    def __init__(self, seed: int = 0, faults: RunnerFaults | None = None):
        self.faults = faults or RunnerFaults()
        self.random = random.Random(seed)
        self.seen_clients: set[tuple[str, int]] = set()
        self.silenced_clients: set[tuple[str, int]] = set()
        self.refusal_times: collections.deque[float] = collections.deque(maxlen=REFUSAL_LIMIT)
        self.on_crash: collections.abc.Callable[[], None] = lambda: None

    def apply(self, faults: RunnerFaults) -> None:
        """Replace the active faults."""
        if faults.silence > self.faults.silence:
            self.silenced_clients |= self.seen_clients
        self.faults = faults

    def should_inject(self, probability: float) -> bool:
        """Return whether a fault of this probability occurs now."""
        return probability > 0.0 and self.random.random() < probability

    def crashes_on(self, text: str) -> bool:
        """Return whether a request with this text crashes the runner."""
        return bool(self.faults.crash_marker) and self.faults.crash_marker in text

    async def set_faults(self, request: requests.Request) -> responses.Response:
        """Handle ``PUT /faults``."""
        try:
            self.apply(msgspec.json.decode(await request.body(), type=RunnerFaults))
        except msgspec.DecodeError as error:
            return responses.Response(f"correct the body: {error}", 400)
        return responses.Response(msgspec.json.encode(self.faults), media_type="application/json")


class FaultMiddleware:
    """ASGI middleware that delays, blocks or refuses requests."""

    def __init__(self, application: Application, fault_injector: FaultInjector):
        self.application = application
        self.fault_injector = fault_injector

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Apply the active faults to a request and pass it on.

        Control paths bypass the faults.
        """
        if scope["type"] != "http" or scope["path"] in CONTROL_PATHS:
            await self.application(scope, receive, send)
            return
        if scope["path"] == REFUSED_PATH:
            body = msgspec.json.encode(list(self.fault_injector.refusal_times))
            await responses.Response(body, media_type="application/json")(scope, receive, send)
            return
        client = tuple(scope["client"] or ("", 0))
        self.fault_injector.seen_clients.add(client)
        faults = self.fault_injector.faults
        if faults.hang or client in self.fault_injector.silenced_clients:
            await anyio.sleep_forever()
        if faults.delay_s:
            await anyio.sleep(faults.delay_s)
        if (
            faults.leaving
            and scope["method"] == "POST"
            and scope["path"] not in ALLOWED_WHILE_LEAVING
        ):
            self.fault_injector.refusal_times.append(clock.wall_time())
            await responses.Response("leaving; use another runner", 503)(scope, receive, send)
            return
        await self.application(scope, receive, self.block_when_silenced(client, send))

    def block_when_silenced(self, client: tuple[str, int], send: Send) -> Send:
        """Wrap ``send`` to block forever once the connection has been silenced."""

        async def wrapped(message: typing.Any) -> None:
            if client in self.fault_injector.silenced_clients:
                await anyio.sleep_forever()
            await send(message)

        return wrapped


class TruncatedResponse(responses.Response):
    """A response that breaks the connection: it announces a body and sends none."""

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send only the response headers."""
        headers = [(b"content-length", b"1")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
