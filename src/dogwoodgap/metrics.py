"""Metrics by statsd; also kept as totals for the state dump."""

import collections
import contextlib
import socket

import statsd

totals: collections.Counter[str] = collections.Counter()
gauges: dict[str, float] = {}
_clients: list[statsd.StatsClient] = []


def configure(host: str, port: int, prefix: str) -> None:
    """Send metrics to a statsd server; an empty host keeps only the totals."""
    _clients.clear()
    if host:
        with contextlib.suppress(socket.gaierror):
            _clients.append(statsd.StatsClient(host, port, prefix=prefix))


def count(name: str, value: int = 1) -> None:
    """Add to a counter."""
    totals[name] += value
    for client in _clients:
        client.incr(name, value)


def gauge(name: str, value: float) -> None:
    """Set a gauge."""
    gauges[name] = value
    for client in _clients:
        client.gauge(name, value)


def timing(name: str, seconds: float) -> None:
    """Record a duration given in seconds; statsd receives milliseconds."""
    totals[f"{name}.count"] += 1
    for client in _clients:
        client.timing(name, seconds * 1000.0)
