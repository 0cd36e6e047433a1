"""Proxies between machines, and between them and the store, which can be cut silently."""

import asyncio
import collections.abc
import contextlib
import math
import time

READ_BYTES = 65_536
MAX_HELLO_BYTES = 4_096
UNKNOWN = ""


class Links:
    """The links of a deployment.

    Parameters
    ----------
    names : list of str
        Names of the machines; the first message of a connection between two of them holds the name
        of the one that opened it.
    """

    def __init__(self, names: list[str]):
        self.names = names
        self.isolated: set[str] = set()
        self.silent_before = -math.inf
        self.never = asyncio.Event()

    def silence(self) -> None:
        """Let all open connections go silent for good; new ones work."""
        self.silent_before = time.monotonic()

    def is_cut(self, source: str, destination: str, opened_at: float = math.inf) -> bool:
        """Return whether nothing passes between two ends, on a connection opened at a time."""
        is_isolated = source != destination and bool(self.isolated & {source, destination})
        return is_isolated or opened_at < self.silent_before

    async def proxy(
        self, listen_at: str, forward_to: str, destination: str, source: str = UNKNOWN
    ) -> None:
        """Forward connections to a machine or to the store.

        Parameters
        ----------
        destination : str
            Name of the machine or of the store.
        source : str
            Machine that opens the connections; by default, its first message tells.
        """

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, OSError, asyncio.CancelledError):
                await self.forward(reader, writer, forward_to, destination, source)
            writer.close()

        host, _, port = listen_at.rpartition(":")
        await asyncio.start_server(serve, host, int(port))

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        forward_to: str,
        destination: str,
        source: str,
    ) -> None:
        """Forward one connection in both directions."""
        opened_at = time.monotonic()
        first = b""
        while source == UNKNOWN and len(first) < MAX_HELLO_BYTES:
            data = await reader.read(READ_BYTES)
            if not data:
                return
            first += data
            source = next((name for name in self.names if name.encode() in first), UNKNOWN)
        host, _, port = forward_to.rpartition(":")
        if self.is_cut(source, destination):
            await self.never.wait()
        onward_reader, onward_writer = await asyncio.open_connection(host, int(port))
        onward_writer.write(first)

        async def check() -> None:
            if self.is_cut(source, destination, opened_at):
                await self.never.wait()

        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(pump(reader, onward_writer, check))
                tasks.create_task(pump(onward_reader, writer, check))
        except* (ConnectionError, OSError):
            pass
        finally:
            onward_writer.close()


async def pump(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    check: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> None:
    """Forward bytes until the end; once the link was cut, nothing passes on this connection."""
    while data := await reader.read(READ_BYTES):
        await check()
        writer.write(data)
        await writer.drain()
    await check()
    writer.close()
