"""Tells which software version began a stream that was not recorded; no I/O.

Streams are recorded only while a service has, or recently had, servers of several versions. A
stream without a record therefore began at the version that was the only one then.
"""

import collections
import dataclasses
import math

from dogwoodgap import clock, routes, servers

MAX_LISTING_AGE_S = 2.0
"""Age from which the list of servers may lack a version that other nodes already use."""

WINDOW_TIMEOUTS = 2.0
"""Timeouts of a route within which a caller resumes a stream after its start."""

MIN_WINDOW_S = 10.0
"""Callers wait until their own deadline, which may exceed the timeout of a route."""


def resume_window_s(route: routes.Route) -> float:
    """Return the longest time between the start of a stream and its resumption, in seconds."""
    return max(MIN_WINDOW_S, WINDOW_TIMEOUTS * route.timeout_s)


@dataclasses.dataclass(frozen=True, slots=True)
class SolePeriod:
    """A period in which all servers of a service had one software version."""

    version: str
    since: float
    until: float = math.inf

    def covers(self, start: float, end: float) -> bool:
        """Return whether all of an interval lies in the period."""
        return self.since <= start and end <= self.until


class VersionHistory:
    """The software versions of all services, as listed over time.

    Parameters
    ----------
    server_registry : servers.ServerRegistry
        Registered backend servers; draining ones still continue streams.
    """

    def __init__(self, server_registry: servers.ServerRegistry):
        self.server_registry = server_registry
        self.versions: dict[str, set[str]] = {}
        self.sole_periods: dict[str, SolePeriod] = {}
        server_registry.change_hooks.append(self.update)

    def update(self) -> None:
        """Apply a change of the registered servers."""
        now = clock.now()
        versions: dict[str, set[str]] = collections.defaultdict(set)
        for server in self.server_registry.servers.values():
            versions[server.service].add(server.software_version)
        for service in versions.keys() | self.versions.keys():
            self.update_service(service, versions[service], now)
        self.versions = dict(versions)

    def update_service(self, service: str, versions: set[str], now: float) -> None:
        """Start or end the period of a sole version when the versions of a service change."""
        if versions == self.versions.get(service):
            return
        period = self.sole_periods.get(service)
        if len(versions) == 1:
            self.sole_periods[service] = SolePeriod(next(iter(versions)), now)
        elif period is not None and math.isinf(period.until):
            self.sole_periods[service] = dataclasses.replace(period, until=now)

    def known_versions(self, service: str) -> frozenset[str]:
        """Return the versions of a service, including the sole one that ended last."""
        period = self.sole_periods.get(service)
        ended = set() if period is None else {period.version}
        return frozenset(self.versions.get(service, set()) | ended)

    def is_mixed(self, service: str) -> bool:
        """Return whether a service has no sole version now, so that its streams are recorded."""
        period = self.sole_periods.get(service)
        return period is None or not math.isinf(period.until)

    def must_record(self, service: str, window_s: float) -> bool:
        """Return whether a stream that begins now has to be recorded.

        Parameters
        ----------
        window_s : float
            Longest time between the start of a stream and its resumption.
        """
        now = clock.now()
        period = self.sole_periods.get(service)
        return (
            period is None
            or not period.covers(now - window_s, now)
            or self.server_registry.age_s > MAX_LISTING_AGE_S
        )

    def unrecorded_version(self, service: str, window_s: float) -> str | None:
        """Return the version that began the unrecorded streams of a service; None if unknown."""
        period = self.sole_periods.get(service)
        if period is None or self.server_registry.age_s > MAX_LISTING_AGE_S:
            return None
        now = clock.now()
        end = min(now, period.until)
        is_recent = now - end < window_s
        return period.version if is_recent and period.covers(end - window_s, end) else None
