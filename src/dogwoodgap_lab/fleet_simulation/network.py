"""An in-memory TCP network drawn from a seed, in place of the functions that open connections."""

import collections
import collections.abc
import contextlib
import contextvars
import dataclasses
import enum
import errno
import itertools
import math
import random
import typing
import unittest.mock
import uuid

import anyio
import anyio.abc
import anyio.lowlevel
from anyio._backends import _asyncio

from dogwoodgap import budget_records, http_pool, ingress, process_signals, socket_streams
from dogwoodgap_lab.fleet_simulation import processes

BACKLOG = 128
SYN_RETRY_S = 1.0
"""Time after which Linux repeats a SYN that a full accept queue has dropped."""

MIN_DELAY_S = 0.0002
MAX_DELAY_S = 0.003
"""Range of the base delay of a pair of hosts in one direction."""

MAX_JITTER_S = 0.002
ORDER_STEP_S = 1e-9
"""Time between two arrivals in one direction, which keeps them in order."""

SPLIT_SHARE = 0.1
"""Share of sent pieces that arrive in two reads."""

REFUSAL_SHARE = 0.002
"""Share of connections to servers that are refused although the server listens."""


class Manner(enum.Enum):
    """How connections over a cut path fail.

    Attributes
    ----------
    HANG
        No packet arrives until the cut ends; TCP repeats them all then.
    RESET
        Open connections are reset, and new ones are refused.
    REFUSE
        Open connections live on, and new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


@dataclasses.dataclass(frozen=True)
class CutPath:
    """A cut between one host and all hosts whose address begins with ``prefix``."""

    prefix: str
    manner: Manner


class Link:
    """Delays of one direction between two hosts."""

    def __init__(self, seed: int, source: str, target: str):
        self.source = source
        self.target = target
        self.draws = random.Random(f"{seed}/{source}/{target}")
        self.base_s = self.draws.uniform(MIN_DELAY_S, MAX_DELAY_S)

    def delay_s(self) -> float:
        """Draw the delay of one packet."""
        return self.base_s + self.draws.random() * MAX_JITTER_S


class Endpoint(anyio.abc.ByteStream):
    """One end of an in-memory TCP connection."""

    def __init__(self, network: "Network", process: processes.Process | None, link: Link):
        self.network = network
        self.process = process
        self.link = link
        self.peer: Endpoint
        self.received: collections.deque[bytes] = collections.deque()
        self.arrived = anyio.Event()
        self.last_arrival = 0.0
        self.eof = self.is_reset = self.closed = self.sent_eof = False

    def setsockopt(self, *option: int) -> None:
        """Accept any socket option."""

    @property
    def is_readable(self) -> bool:
        """Return whether a read would not block."""
        return bool(self.received) or self.eof or self.is_reset

    def transmit(self, act: collections.abc.Callable[..., None], *args: typing.Any) -> None:
        """Run a method of the other end once a packet arrives there, in order."""
        if self.network.manner(self.link.source, self.link.target) is Manner.HANG:
            self.network.held.append((self, act, args))
            return
        at = self.network.loop.time() + self.link.delay_s()
        self.last_arrival = max(at, self.last_arrival + ORDER_STEP_S)
        self.network.loop.call_at(self.last_arrival, act, *args, context=self.network.context)

    def arrive(self, data: bytes) -> None:
        """Take in data; a closed end answers with a reset."""
        if self.closed:
            self.transmit(self.peer.arrive_reset)
        elif not self.is_reset:
            self.received.append(data)
            self.arrived.set()

    def arrive_end(self) -> None:
        """Take in the end of the other direction."""
        self.eof = True
        self.arrived.set()

    def arrive_reset(self) -> None:
        """Take in a reset, which discards unread data."""
        self.received.clear()
        self.is_reset = True
        self.arrived.set()

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Return data as soon as there is any."""
        if self.is_readable or self.closed:
            await anyio.lowlevel.checkpoint()
        else:
            self.arrived = anyio.Event()
            await self.arrived.wait()
        if self.closed:
            raise anyio.ClosedResourceError
        if self.received:
            data = self.received.popleft()
            if len(data) > max_bytes:
                self.received.appendleft(data[max_bytes:])
            return data[:max_bytes]
        if self.is_reset:
            raise anyio.BrokenResourceError
        raise anyio.EndOfStream

    async def send(self, item: bytes) -> None:
        """Send data."""
        await anyio.lowlevel.checkpoint()
        if self.closed:
            raise anyio.ClosedResourceError
        if self.is_reset or self.sent_eof:
            raise anyio.BrokenResourceError
        if len(item) > 1 and self.link.draws.random() < SPLIT_SHARE:
            cut = self.link.draws.randrange(1, len(item))
            self.transmit(self.peer.arrive, bytes(item[:cut]))
            item = item[cut:]
        self.transmit(self.peer.arrive, bytes(item))

    async def send_eof(self) -> None:
        """Close the sending direction."""
        await anyio.lowlevel.checkpoint()
        if not self.sent_eof and not self.closed and not self.is_reset:
            self.sent_eof = True
            self.transmit(self.peer.arrive_end)

    def close(self) -> None:
        """Close both directions at once; unread data makes that a reset."""
        if self.closed:
            return
        self.closed = True
        del self.network.endpoints[id(self)]
        if self.received:
            self.transmit(self.peer.arrive_reset)
        elif not self.sent_eof and not self.is_reset:
            self.transmit(self.peer.arrive_end)
        self.arrived.set()

    def reset(self) -> None:
        """Break the connection at both ends."""
        self.transmit(self.peer.arrive_reset)
        self.arrive_reset()

    async def aclose(self) -> None:
        """Close both directions."""
        self.close()
        await anyio.lowlevel.checkpoint()


class SortedSet(set):
    """A set of names that iterates in their order, whatever the hash seed of the interpreter."""

    def __iter__(self) -> collections.abc.Iterator[str]:
        return iter(sorted(super().__iter__()))


class ListeningSocket(anyio.TypedAttributeProvider):
    """A listener with its accept queue; stands for anyio's listener and for its raw socket."""

    def __init__(self, network: "Network", address: str):
        self.network = network
        self.address = address
        self.process = processes.current.get()
        self.queue: collections.deque[Endpoint] = collections.deque()
        self.arrived = anyio.Event()
        self.closed = False
        self.listeners = [self]

    @property
    def extra_attributes(self) -> dict[typing.Any, typing.Any]:
        """Attributes of the listener."""
        return {
            anyio.abc.SocketAttribute.raw_socket: lambda: self,
            anyio.abc.SocketAttribute.local_port: lambda: int(self.address.rpartition(":")[2]),
        }

    async def wait(self) -> None:
        """Wait until a connection is queued."""
        await anyio.lowlevel.checkpoint()
        while not self.queue and not self.closed:
            self.arrived = anyio.Event()
            await self.arrived.wait()

    def accept(self) -> tuple[Endpoint, str]:
        """Return the next established connection."""
        if self.closed:
            raise OSError(errno.EBADF, "the listener is closed")
        if not self.queue:
            raise BlockingIOError
        return self.queue.popleft(), ""

    def close(self) -> None:
        """Stop to listen; connections that were not accepted are reset."""
        if self.closed:
            return
        self.closed = True
        self.network.listening.pop(self.address, None)
        while self.queue:
            self.queue.popleft().reset()
        self.arrived.set()

    async def aclose(self) -> None:
        """Stop to listen."""
        self.close()
        await anyio.lowlevel.checkpoint()


class Network:
    """All hosts, listeners and connections of one run."""

    def __init__(self, seed: int, loop: processes.VirtualLoop):
        self.seed = seed
        self.loop = loop
        self.context = contextvars.Context()
        self.listening: dict[str, ListeningSocket] = {}
        self.links: dict[tuple[str, str], Link] = {}
        self.endpoints: dict[int, Endpoint] = {}
        self.signals: dict[processes.Process, typing.Any] = {}
        self.refusable = ""
        self.cuts: dict[str, CutPath] = {}
        self.held: list[tuple[Endpoint, typing.Any, tuple[typing.Any, ...]]] = []

    def manner(self, source: str, target: str) -> Manner | None:
        """Return how connections between two hosts fail, or None if they are not cut."""
        for host, other in ((source, target), (target, source)):
            cut = self.cuts.get(host)
            if cut is not None and other.startswith(cut.prefix):
                return cut.manner
        return None

    def cut(self, host: str, prefix: str, manner: Manner) -> None:
        """Cut a host off from all hosts whose address begins with a prefix."""
        if manner is Manner.RESET:
            for endpoint in list(self.endpoints.values()):
                if endpoint.link.source == host and endpoint.link.target.startswith(prefix):
                    endpoint.reset()
        self.cuts[host] = CutPath(prefix, manner)

    def mend(self, host: str) -> None:
        """End the cut of a host, and deliver what was sent meanwhile."""
        del self.cuts[host]
        held, self.held = self.held, []
        for endpoint, act, args in held:
            endpoint.transmit(act, *args)

    def link(self, source: str, target: str) -> Link:
        """Return the direction from one host to another."""
        if (source, target) not in self.links:
            self.links[source, target] = Link(self.seed, source, target)
        return self.links[source, target]

    async def connect(self, host: str, port: int, source: str = "") -> Endpoint:
        """Open a connection, in place of ``anyio.connect_tcp``."""
        process = processes.current.get()
        source = source or (process.name if process else "outside")
        there, back = self.link(source, host), self.link(host, source)
        await anyio.sleep(there.delay_s())
        while True:
            manner = self.manner(source, host)
            if manner is Manner.HANG:
                await anyio.sleep(SYN_RETRY_S)
                continue
            listening = self.listening.get(f"{host}:{port}")
            if manner is not None:
                listening = None
            refused = self.refusable and host.startswith(self.refusable)
            if listening is None or (refused and there.draws.random() < REFUSAL_SHARE):
                await anyio.sleep(back.delay_s())
                raise ConnectionRefusedError(f"nothing listens on {host}:{port}")
            if len(listening.queue) < BACKLOG:
                break
            await anyio.sleep(SYN_RETRY_S)
        client = Endpoint(self, process, there)
        server = Endpoint(self, listening.process, back)
        client.peer, server.peer = server, client
        for endpoint in (client, server):
            self.endpoints[id(endpoint)] = endpoint
        listening.queue.append(server)
        listening.arrived.set()
        try:
            await anyio.sleep(back.delay_s())
        except BaseException:
            client.close()
            raise
        return client

    async def listen(self, *, local_host: str, local_port: int) -> ListeningSocket:
        """Listen on an address, in place of ``anyio.create_tcp_listener``."""
        address = f"{local_host}:{local_port}"
        if address in self.listening:
            raise OSError(errno.EADDRINUSE, "address in use")
        listening = self.listening[address] = ListeningSocket(self, address)
        return listening

    def connections(self, process: processes.Process) -> list[Endpoint]:
        """Return the open connections of a process."""
        return [one for one in self.endpoints.values() if one.process is process]

    def end(self, process: processes.Process) -> None:
        """Close everything that a process has open, as the system does when it ends."""
        process.ended = True
        for listening in [one for one in self.listening.values() if one.process is process]:
            listening.close()
        for endpoint in self.connections(process):
            endpoint.close()


@contextlib.contextmanager
def installed(network: Network) -> collections.abc.Iterator[None]:
    """Replace the functions by which the product reaches the outside; docs/development.md."""
    draws = random.Random(f"{network.seed}/uuid")
    numbers = itertools.count(1)

    async def from_socket(connected: Endpoint, bounds: socket_streams.Bounds) -> Endpoint:
        return connected

    @contextlib.asynccontextmanager
    async def receive_signals() -> collections.abc.AsyncIterator[typing.Any]:
        sender, receiver = anyio.create_memory_object_stream(math.inf)
        network.signals[processes.current.get()] = sender
        with sender, receiver:
            yield receiver

    class NumberedScope(_asyncio.CancelScope):
        """A cancel scope whose hash is its number; see ``processes.NumberedTask``."""

        __slots__ = ("number",)

        def __init__(self, **options: typing.Any):
            self.number = next(numbers)
            super().__init__(**options)

        def __hash__(self) -> int:
            return self.number

    def connection_number(connection: ingress.CallerConnection) -> int:
        return vars(connection).setdefault("number", next(numbers))

    replaced = [
        (anyio, "connect_tcp", network.connect),
        (socket_streams, "connect", network.connect),
        (anyio, "create_tcp_listener", network.listen),
        (anyio, "wait_readable", lambda listening: listening.wait()),
        (socket_streams, "from_socket", from_socket),
        (http_pool, "is_readable", lambda stream: stream.is_readable),
        (process_signals, "receive", receive_signals),
        (uuid, "uuid4", lambda: uuid.UUID(int=draws.getrandbits(128), version=4)),
        (budget_records, "set", SortedSet),
        (_asyncio, "CancelScope", NumberedScope),
        (ingress.CallerConnection, "__hash__", connection_number),
    ]
    with contextlib.ExitStack() as stack:
        for target, name, value in replaced:
            stack.enter_context(unittest.mock.patch.object(target, name, value))
        yield
