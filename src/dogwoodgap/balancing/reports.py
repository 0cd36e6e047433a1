"""Last load report of each server and how much it still says; no I/O, and callers pass the time.

Handles servers that are slow for phases of some tenths of a second, at different times. A report
tells how slow a server is at present, so its weight falls with its age. What a server reports
usually is kept: some servers may state their lasting speed in their reports, others only changes.
"""

import collections
import dataclasses
import math
import statistics

from dogwoodgap import dialect

LIFETIME_S = 0.3
"""Age at which the weight of a report has fallen to 1/e. After a report from within a slow phase of
0.6 s, the phase lasts for half of that on average."""

USUAL_WINDOW = 31
"""Reports of a server whose median is its usual slowness; phases may cover up to half of them."""

MIN_USUAL_REPORTS = 8
"""Reports from which on the usual slowness is known; until then it is taken to be 1.0."""


@dataclasses.dataclass(slots=True)
class ServerReports:
    """The last report of one server, and its usual slowness."""

    load: dialect.ServerLoad
    reported_at: float
    recent: collections.deque[float]
    usual: float


class ReportTable:
    """The reports of all servers of one service, by server id."""

    def __init__(self) -> None:
        self.by_server: dict[str, ServerReports] = {}

    def record(self, server_id: str, load: dialect.ServerLoad, reported_at: float) -> bool:
        """Record a report; return whether it is the newest one of its server."""
        known = self.by_server.get(server_id)
        if known is None:
            known = self.by_server[server_id] = ServerReports(
                load, reported_at, collections.deque(maxlen=USUAL_WINDOW), 1.0
            )
        elif reported_at < known.reported_at:
            return False
        known.load = load
        known.reported_at = reported_at
        if load.slowness is not None:
            known.recent.append(load.slowness)
            if len(known.recent) >= MIN_USUAL_REPORTS:
                known.usual = statistics.median(known.recent)
        return True

    def remove(self, server_id: str) -> None:
        """Forget a server."""
        self.by_server.pop(server_id, None)

    def age_s(self, server_id: str, now: float) -> float:
        """Return the age of the last report, infinite without one."""
        known = self.by_server.get(server_id)
        return math.inf if known is None else max(0.0, now - known.reported_at)

    def weight(self, server_id: str, now: float) -> float:
        """Return how much the last report says about the present, 0 to 1."""
        return math.exp(-self.age_s(server_id, now) / LIFETIME_S)

    def slowness(self, server_id: str, now: float) -> float:
        """Return the expected time of work at present, relative to the usual time of the server."""
        known = self.by_server.get(server_id)
        if known is None or known.load.slowness is None:
            return 1.0
        relative = known.load.slowness / known.usual
        return 1.0 + (relative - 1.0) * self.weight(server_id, now)
