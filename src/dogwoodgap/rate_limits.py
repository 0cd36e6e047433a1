"""Request rate limits reported by backend servers; no I/O.

A server in need reports in its responses how many requests per second it accepts from all nodes
together. The limit holds until a later response no longer reports it.
"""

import collections.abc
import dataclasses
import logging

import cachetools

from dogwoodgap import clock, dialect, events, members, servers

MAX_SERVERS = 4_096
"""Server processes whose limits and allowances are kept."""

MIN_RATE_PER_S = 0.25
"""Rate at which a server with a lower limit still gets requests, since only its responses show
whether the limit still holds."""

BURST_REQUESTS = 2.0
"""Requests that an unused allowance accumulates."""

SPLIT_WINDOW_S = 30.0
"""Time for which members that failed are assumed to use their share of a limit elsewhere."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedLimit:
    """What a server last reported.

    Attributes
    ----------
    per_second : float or None
        Requests per second from all nodes together; None if the server has lifted its limit.
    version : int
        Orders reports of different nodes: wall time of the change in ms, or one more than the
        version before it.
    known_at : float
        Monotonic time since which this node knows the report.
    """

    per_second: float | None
    version: int
    known_at: float


class LimitTable:
    """The limits of all servers that have reported one."""

    def __init__(self) -> None:
        self.reports: cachetools.LRUCache[servers.ProcessKey, ReportedLimit] = cachetools.LRUCache(
            MAX_SERVERS
        )

    def per_second(self, key: servers.ProcessKey) -> float | None:
        """Return the limit of a server in requests per second, or None without one."""
        report = self.reports.get(key)
        return None if report is None else report.per_second

    def observe(
        self, key: servers.ProcessKey, metadata: dialect.ResponseMetadata, sent_at: float
    ) -> ReportedLimit | None:
        """Apply the head of a response; return the new report if it changes the limit.

        Parameters
        ----------
        sent_at : float
            Monotonic time at which the request was sent. A response lifts only a limit that was
            known then, since responses may overtake each other.
        """
        known = self.reports.get(key)
        if metadata.rate_limit is None and (
            known is None
            or known.per_second is None
            or not metadata.signed
            or sent_at < known.known_at
        ):
            return None
        if known is not None and known.per_second == metadata.rate_limit:
            return None
        version = max(known.version + 1 if known else 0, int(clock.wall_time() * 1000))
        report = ReportedLimit(metadata.rate_limit, version, clock.now())
        self.store(key, report)
        return report

    def merge(
        self, key: servers.ProcessKey, per_second: float | None, version: int, node: str
    ) -> ReportedLimit | None:
        """Merge a report known to another node; return the new report if it changes the limit."""
        known = self.reports.get(key)
        if known is not None and known.version >= version:
            return None
        if known is not None and known.per_second == per_second:
            self.reports[key] = dataclasses.replace(known, version=version)
            return None
        report = ReportedLimit(per_second, version, clock.now())
        self.store(key, report, node)
        return report

    def store(
        self, key: servers.ProcessKey, report: ReportedLimit, node: str | None = None
    ) -> None:
        """Replace the report of a server; ``node`` is the node that passed it on, if any."""
        self.reports[key] = report
        events.emit(
            events.Event.SERVER_LIMIT_CHANGED,
            "server lifted its request rate limit"
            if report.per_second is None
            else "server reports a request rate limit",
            level=logging.INFO,
            server=key[0],
            per_second=report.per_second,
            version=report.version,
            node=node,
        )

    def remove(self, key: servers.ProcessKey) -> None:
        """Forget the limit of an ended server."""
        self.reports.pop(key, None)

    def limited_count(self) -> int:
        """Return the number of servers that report a limit."""
        return sum(report.per_second is not None for report in self.reports.values())


@dataclasses.dataclass(slots=True)
class Allowance:
    """Spaces the requests to one server by its limit (generic cell rate algorithm).

    Attributes
    ----------
    next_at : float
        Monotonic time at which the next request is due.
    """

    next_at: float

    def acquire(self, rate_per_s: float, now: float, max_delay_s: float) -> tuple[bool, float]:
        """Reserve the next request if it is due within a time.

        Returns
        -------
        granted : bool
            Whether the request was reserved.
        delay_s : float
            Time in seconds until the request is due.
        """
        interval_s = 1.0 / max(rate_per_s, MIN_RATE_PER_S)
        earliest = max(self.next_at, now - (BURST_REQUESTS - 1.0) * interval_s)
        delay_s = max(0.0, earliest - now)
        if delay_s > max_delay_s:
            return False, delay_s
        self.next_at = earliest + interval_s
        return True, delay_s


def reachable_share(
    all_members: collections.abc.Iterable[members.Member],
    now: float,
    split_window_s: float = SPLIT_WINDOW_S,
) -> float:
    """Return the part of a limit that the members in contact may use, above 0 up to 1.

    Members that failed within ``split_window_s`` may be cut off instead, with a node among them
    that shares out the same limit.
    """
    present = missing = 0
    for member in all_members:
        if member.status not in members.FAILURE_STATUSES:
            present += 1
        elif not member.departed and now - member.changed_at < split_window_s:
            missing += 1
    return present / (present + missing) if present else 1.0
