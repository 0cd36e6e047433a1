"""Limits of accepted connections, from the settings and the process's limit of open files."""

import dataclasses
import math
import resource

import anyio

from dogwoodgap import caller_memory, settings, socket_streams

BYTES_PER_MB = 1_000_000

HELD_SHARE = 8
"""Memory of a process per memory for what connections hold. A response that waits for its caller
counts here too, beside the sixteenth of all bodies."""

CALLER_SHARE = 2
"""Open files per connection of a caller; each may need another one to a server."""

SERVICE_SHARE = 32
"""Open files per connection of the readiness check, the directory and the metrics, each."""

MIN_SERVICE_CONNECTIONS = 8

RELAY_SHARE = 8
PEER_SHARE = 4
"""Open files per connection of another node. The smallest VM has 1,638; 380 gateways that all have
a connection to this one still fit."""


@dataclasses.dataclass(slots=True)
class Shared:
    """What the connections of all listeners of a process share.

    Attributes
    ----------
    bounds : socket_streams.Bounds
        What each connection may hold.
    memory : caller_memory.CallerMemory
        What all of them hold.
    turns : anyio.Lock
        Taken to start a request that was sent ahead: one starts in each turn of the event loop.
        Otherwise a crowd that sends ahead on thousands of connections delays each step of an
        ordinary request by one step of thousands of others.
    """

    bounds: socket_streams.Bounds = socket_streams.Bounds()
    memory: caller_memory.CallerMemory = dataclasses.field(
        default_factory=lambda: caller_memory.CallerMemory(math.inf)
    )
    turns: anyio.Lock = dataclasses.field(default_factory=anyio.Lock)


def max_connections(configured: int, share: int, least: int = 1) -> float:
    """Return how many connections may be open at a time on a listener.

    Parameters
    ----------
    configured : int
        Number in the settings; 0 for a part of the process's limit of open files.
    share : int
        Open files per connection.
    least : int
        Smallest result that is not configured.
    """
    if configured:
        return configured
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return math.inf if soft_limit == resource.RLIM_INFINITY else max(least, soft_limit // share)


def bounds(section: settings.ConnectionsSection) -> socket_streams.Bounds:
    """Return what each connection may hold."""
    return socket_streams.Bounds(
        section.read_ahead_bytes, section.send_buffer_bytes, section.unread_timeout_s
    )


def shared(section: settings.ConnectionsSection, memory_limit_mb: float) -> Shared:
    """Return what the connections of all listeners of a process share.

    Parameters
    ----------
    memory_limit_mb : float
        Memory that the process may use, in MB; 0 if it is not limited.
    """
    limit_mb = section.held_limit_mb or memory_limit_mb / HELD_SHARE or math.inf
    return Shared(bounds(section), caller_memory.CallerMemory(limit_mb * BYTES_PER_MB))
