"""TCP listeners that wait for their address, and outlive failures to accept a connection.

Handles processes that start while their predecessor still ends, and processes that have no file
descriptor left: they go on with the connections that they have.
"""

import collections.abc
import contextlib
import errno
import logging
import socket
import typing

import anyio
import anyio.abc
import anyio.streams.stapled

from dogwoodgap import (
    background,
    clock,
    events,
    exceptions,
    exposition,
    peer_connections,
    socket_streams,
)

BIND_RETRY_INTERVAL_S = 0.1
ACCEPT_RETRY_DELAY_S = 0.1
"""Time after which accepting is tried again; running requests free descriptors meanwhile."""

UNAVAILABLE = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)
"""Errors of an address that another process or network interface may still release or bring."""

StreamHandler = collections.abc.Callable[
    [anyio.abc.SocketStream], collections.abc.Awaitable[typing.Any]
]


class Listener(anyio.abc.Listener[anyio.abc.SocketStream]):
    """A TCP listener.

    Parameters
    ----------
    listener : anyio.streams.stapled.MultiListener
        Listens on all IP addresses that the host part of the address stands for.
    address : str
        Its address, for log lines.
    before_accept : callable, optional
        Awaited before each connection is accepted.
    bounds : socket_streams.Bounds, optional
        What each connection may hold.
    """

    def __init__(
        self,
        listener: anyio.streams.stapled.MultiListener[anyio.abc.SocketStream],
        address: str,
        before_accept: collections.abc.Callable[[], collections.abc.Awaitable[None]] | None = None,
        bounds: socket_streams.Bounds | None = None,
    ):
        self.listener = listener
        self.address = address
        self.before_accept = before_accept
        self.bounds = bounds or socket_streams.Bounds()
        self.is_failing = False
        self.accept_scope: anyio.CancelScope | None = None
        self.is_stopped = False
        self.max_established = 0.0

    @property
    def extra_attributes(self) -> typing.Any:
        """Attributes of the listener."""
        return self.listener.extra_attributes

    async def aclose(self) -> None:
        """Stop to listen."""
        await self.listener.aclose()

    async def serve(
        self, handler: StreamHandler, task_group: anyio.abc.TaskGroup | None = None
    ) -> None:
        """Accept connections until stopped or cancelled; a failed connection ends no other one."""
        sockets = [
            listener.extra(anyio.abc.SocketAttribute.raw_socket)
            for listener in self.listener.listeners
        ]
        async with contextlib.AsyncExitStack() as stack:
            if task_group is None:
                task_group = await stack.enter_async_context(anyio.create_task_group())
            with anyio.CancelScope() as self.accept_scope:
                async with anyio.create_task_group() as tasks:
                    for listening in sockets:
                        tasks.start_soon(self.accept_all, listening, handler, task_group)
            for listening in sockets:
                self.accept_established(listening, handler, task_group)

    def stop(self, max_established: float) -> None:
        """Accept only connections that are established already, then close the sockets.

        The operating system has completed these connections, and their callers may have sent
        requests.

        Parameters
        ----------
        max_established : float
            Largest number of them that is accepted; the others are reset.
        """
        self.is_stopped = True
        self.max_established = max_established
        if self.accept_scope is not None:
            self.accept_scope.cancel()

    def accept_established(
        self, listening: socket.socket, handler: StreamHandler, task_group: anyio.abc.TaskGroup
    ) -> None:
        """Accept the connections to one IP address that are waiting, and close its socket.

        Without an await in between, no connection is established that would be reset.
        """
        try:
            while self.max_established >= 1:
                accept_connection(listening, handler, task_group, self.bounds)
                self.max_established -= 1
        except BlockingIOError:
            pass
        except OSError as error:
            self.record_failure(error)
        finally:
            listening.close()

    async def accept_all(
        self, listening: socket.socket, handler: StreamHandler, task_group: anyio.abc.TaskGroup
    ) -> None:
        """Accept the connections to one IP address."""
        # The scope alone does not end the loop while a connection waits in each turn of the event
        # loop: a task whose wait is over is not cancelled.
        while not self.is_stopped:
            if self.before_accept is not None:
                await self.before_accept()
            await anyio.wait_readable(listening)
            try:
                accept_connection(listening, handler, task_group, self.bounds)
            except BlockingIOError:
                continue
            except OSError as error:
                self.record_failure(error)
                await anyio.sleep(ACCEPT_RETRY_DELAY_S)
                continue
            self.is_failing = False

    def record_failure(self, error: OSError) -> None:
        """Count a failure to accept; a series of failures is logged once."""
        exposition.accept_failures.inc()
        if not self.is_failing:
            events.emit(
                events.Event.ACCEPT_FAILED,
                "connections cannot be accepted and wait; if descriptors ran out, raise the limit "
                "of open files (LimitNOFILE)",
                level=logging.ERROR,
                address=self.address,
                detail=str(error),
            )
        self.is_failing = True


def accept_connection(
    listening: socket.socket,
    handler: StreamHandler,
    task_group: anyio.abc.TaskGroup,
    bounds: socket_streams.Bounds,
) -> None:
    """Accept one connection and start its handler, with no await in which it could be lost.

    Raises
    ------
    BlockingIOError
        If no connection is waiting.
    OSError
        If it cannot be accepted.
    """
    connected, _ = listening.accept()
    background.start(task_group, serve_accepted, connected, handler, bounds)


async def serve_accepted(
    connected: socket.socket, handler: StreamHandler, bounds: socket_streams.Bounds
) -> None:
    """Run the handler of an accepted connection, unless the peer has reset it already."""
    try:
        stream = await socket_streams.from_socket(connected, bounds)
    except (OSError, ValueError):  # no longer connected
        connected.close()
        return
    await handler(stream)


async def open_listener(
    address: str,
    timeout_s: float = 0.0,
    before_accept: collections.abc.Callable[[], collections.abc.Awaitable[None]] | None = None,
    bounds: socket_streams.Bounds | None = None,
) -> Listener:
    """Listen on an address; while it is in use, wait for it.

    Parameters
    ----------
    address : str
        ``host:port``.
    timeout_s : float
        Longest wait in seconds.
    before_accept : callable, optional
        Awaited before each connection is accepted.
    bounds : socket_streams.Bounds, optional
        What each connection may hold.

    Raises
    ------
    AddressUnavailableError
        If the address is still in use after that time, or does not belong to this VM.
    """
    host, port = peer_connections.split_address(address)
    give_up_at = clock.now() + timeout_s
    is_waiting = False
    while True:
        try:
            listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        except OSError as error:
            if error.errno not in UNAVAILABLE or clock.now() >= give_up_at:
                raise exceptions.AddressUnavailableError(
                    f"cannot listen on {address}: {error.strerror}; stop the process that uses it "
                    "or change the address in the settings"
                ) from error
            if not is_waiting:
                is_waiting = True
                events.emit(
                    events.Event.ADDRESS_UNAVAILABLE,
                    "an address to listen on is not available yet; waiting for it",
                    level=logging.WARNING,
                    address=address,
                    timeout_s=timeout_s,
                    detail=str(error),
                )
        else:
            return Listener(listener, address, before_accept, bounds)
        await anyio.sleep(BIND_RETRY_INTERVAL_S)
