"""Server side of the connections between nodes: reads requests and sends replies."""

import typing

import anyio
import anyio.abc

from dogwoodgap import clock, exceptions, frames
from dogwoodgap_wire import ttypes

if typing.TYPE_CHECKING:  # peers accepts these connections
    from dogwoodgap import peers

SERVER_IDLE_TIMEOUT_S = 10.0
MAX_HANDLERS_PER_CONNECTION = 64

LARGE_FRAME_BYTES = 65_536
"""Length from which frames count as large; a read takes as many bytes."""

MAX_HELLO_BYTES = 16_384
"""Largest first frame. It only names its sender; whoever can connect may announce it."""


class AcceptedConnection:
    """Server side of one connection.

    Attributes
    ----------
    scope : anyio.CancelScope
        Cancelled to close the connection.
    used_at : float
        Monotonic time at which it has last received something.
    """

    def __init__(self, network: "peers.PeerNetwork", stream: anyio.abc.ByteStream):
        self.network = network
        self.stream = stream
        self.sender: ttypes.Member | None = None
        self.buffer = frames.FrameBuffer(MAX_HELLO_BYTES)
        self.scope = anyio.CancelScope()
        self.used_at = clock.now()
        self.send_lock = anyio.Lock()
        self.handlers = anyio.Semaphore(MAX_HANDLERS_PER_CONNECTION)
        self.permit: anyio.Semaphore | None = None

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Read requests and start their handlers until the connection ends or is idle too long."""
        try:
            while True:
                with anyio.fail_after(SERVER_IDLE_TIMEOUT_S):
                    data = await self.stream.receive()
                self.network.traffic.received_bytes += len(data)
                self.used_at = clock.now()
                self.buffer.feed(data)
                while (frame := self.buffer.next_frame()) is not None:
                    await self.start_answer(frame, tasks)
                if self.permit is None and self.buffer.awaits_more_than(LARGE_FRAME_BYTES):
                    await self.wait_for_permit()
        finally:
            if self.permit is not None:
                self.permit.release()

    async def start_answer(self, frame: frames.Frame, tasks: anyio.abc.TaskGroup) -> None:
        """Start the handler of one request once replies can be sent."""
        sender = self.identify(frame)
        await self.handlers.acquire()
        if self.is_blocked:
            async with self.send_lock:
                pass  # replies wait for the other node; requests wait for them
        permit, self.permit = self.permit, None
        tasks.start_soon(self.answer, frame, sender, permit)

    async def wait_for_permit(self) -> None:
        """Wait until the rest of a large request may be received."""
        if self.network.large_frames is not None:
            await self.network.large_frames.acquire()
            self.permit = self.network.large_frames

    @property
    def is_blocked(self) -> bool:
        """Return whether replies wait until the other node takes an earlier one."""
        return self.send_lock.statistics().tasks_waiting > 0

    def identify(self, frame: frames.Frame) -> ttypes.Member:
        """Return the sender of a frame; the first frame must be its ``Hello``."""
        if isinstance(frame.message, ttypes.Hello):
            member = frame.message.member
            self.sender = member if member is not None and member.node and member.boot else None
        if self.sender is None:
            raise exceptions.FrameMalformedError(
                "the first frame is not a Hello with node and boot; send a Hello first"
            )
        self.buffer.max_bytes = frames.MAX_FRAME_BYTES
        return self.sender

    async def answer(
        self, frame: frames.Frame, sender: ttypes.Member, permit: anyio.Semaphore | None
    ) -> None:
        """Send the reply to one request, and give back the permit of a large one."""
        try:
            if isinstance(frame.message, ttypes.Hello):
                reply = ttypes.Hello(
                    member=self.network.hello(), protocol_version=frames.PROTOCOL_VERSION
                )
            else:
                reply = await self.network.handlers.dispatch(sender, frame.message)
            data = frames.encode(frame.request_id, reply, reply=True)
            async with self.send_lock:
                await self.stream.send(data)
            self.network.traffic.sent_bytes += len(data)
        finally:
            self.handlers.release()
            if permit is not None:
                permit.release()
