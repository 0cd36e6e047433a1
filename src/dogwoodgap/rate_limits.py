"""Request rate limits reported by backend servers, as one node knows them; no I/O.

A server in need reports in its responses how many requests per second it accepts from all nodes
together. The limit holds until a later response no longer reports it.
"""

import dataclasses
import logging

from dogwoodgap import clock, dialect, events, exposition, servers


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
    """The limits of all servers that have reported one, by server id."""

    def __init__(self) -> None:
        self.reports: dict[str, ReportedLimit] = {}

    def per_second(self, server_id: str) -> float | None:
        """Return the limit of a server in requests per second, or None without one."""
        report = self.reports.get(server_id)
        return None if report is None else report.per_second

    def observe(
        self, server: servers.BackendServer, metadata: dialect.ResponseMetadata, sent_at: float
    ) -> ReportedLimit | None:
        """Apply the head of a response; return the new report if it changes the limit.

        Parameters
        ----------
        sent_at : float
            Monotonic time at which the request was sent. A response lifts only a limit that was
            known then, since responses may overtake each other.
        """
        known = self.reports.get(server.id)
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
        self.store(server.id, report)
        return report

    def store(self, server_id: str, report: ReportedLimit, node: str | None = None) -> None:
        """Replace the report of a server; ``node`` is the node that passed it on, if any."""
        self.reports[server_id] = report
        exposition.limited_servers.set(
            sum(report.per_second is not None for report in self.reports.values())
        )
        events.emit(
            events.Event.SERVER_LIMIT_CHANGED,
            "server lifted its request rate limit"
            if report.per_second is None
            else "server reports a request rate limit",
            level=logging.INFO,
            server=server_id,
            per_second=report.per_second,
            version=report.version,
            node=node,
        )

    def remove(self, server: servers.BackendServer) -> None:
        """Forget the limit of an ended server."""
        self.reports.pop(server.id, None)
