"""Metrics sent to statsd, and kept in memory for the state dump and the summary."""

import bisect
import collections
import contextlib
import dataclasses
import enum
import socket

import msgspec
import statsd

HISTOGRAM_MIN_S = 0.001
HISTOGRAM_GROWTH = 1.25
HISTOGRAM_BUCKETS = 80
BUCKET_BOUNDS_S = tuple(
    HISTOGRAM_MIN_S * HISTOGRAM_GROWTH**exponent for exponent in range(HISTOGRAM_BUCKETS)
)


class Kind(enum.StrEnum):
    """How a metric is reported."""

    COUNTER = "counter"
    GAUGE = "gauge"
    TIMING = "timing"


@dataclasses.dataclass(frozen=True, slots=True)
class Metric:
    """One row of ``docs/metrics.md``."""

    name: str
    kind: Kind
    unit: str
    meaning: str


METRICS = (
    Metric("programs.active", Kind.GAUGE, "programs", "Active programs that this node owns."),
    Metric("programs.finished", Kind.COUNTER, "programs", "Programs that ended, for any reason."),
    Metric("program.latency", Kind.TIMING, "s", "Time from creation to end of a finished program."),
    Metric("calls.queued", Kind.GAUGE, "calls", "Model calls that wait for a runner."),
    Metric("requests.refused", Kind.COUNTER, "requests", "Requests refused before they were run."),
    Metric("cache.held", Kind.COUNTER, "token-seconds", "Engine cache held, reported by runners."),
    Metric(
        "cache.wasted",
        Kind.COUNTER,
        "token-seconds",
        "Cache held for ended programs or never reused.",
    ),
    Metric("journal.commit", Kind.TIMING, "s", "Time to store one batch of journal records."),
    Metric(
        "programs.limited", Kind.COUNTER, "programs", "Programs ended by a limit of their profile."
    ),
    Metric(
        "actions.unknown", Kind.COUNTER, "actions", "Actions whose outcome could not be determined."
    ),
    Metric(
        "actions.unknown_in_program",
        Kind.COUNTER,
        "actions",
        "Unknown action outcomes returned to programs.",
    ),
    Metric("releases.confirmed", Kind.COUNTER, "orders", "Engine memory releases confirmed."),
    Metric("prefixes.exported", Kind.COUNTER, "prefixes", "Prefixes moved to the data folder."),
    Metric("prefixes.export_failed", Kind.COUNTER, "prefixes", "Exports that failed."),
    Metric("prefixes.imported", Kind.COUNTER, "prefixes", "Prefixes loaded into a runner."),
    Metric("prefixes.import_failed", Kind.COUNTER, "prefixes", "Imports that failed."),
    Metric("releases.paused", Kind.COUNTER, "orders", "Prefixes released during a tool pause."),
    Metric("requests.failed", Kind.COUNTER, "requests", "Requests that failed unexpectedly."),
    Metric("vms.unavailable", Kind.COUNTER, "reads", "Failed reads of the platform's VM list."),
    Metric("demand.delayed", Kind.COUNTER, "writes", "Demand counts that could not be stored."),
    Metric("checkpoint.write", Kind.TIMING, "s", "Time to store one checkpoint."),
    Metric("peers.traffic", Kind.GAUGE, "bytes/s", "Bytes sent to and received from other nodes."),
    Metric("memory.resident", Kind.GAUGE, "kB", "Resident memory of the process."),
    Metric("admin.requests", Kind.COUNTER, "requests", "Requests to the administration API."),
    Metric("admin.refused", Kind.COUNTER, "requests", "Administration requests that were refused."),
    Metric("admin.changes", Kind.COUNTER, "changes", "Configuration changes made by operators."),
)


class Histogram(msgspec.Struct):
    """Counts of durations in exponential buckets.

    Each bucket is 25% wider than the one before, which bounds the error of quantiles to 25%.

    Attributes
    ----------
    counts : dict of int to int
        Bucket number to count; bucket ``i`` ends at ``BUCKET_BOUNDS_S[i]`` seconds.
    """

    counts: dict[int, int] = {}

    def add(self, seconds: float) -> None:
        """Count one duration."""
        bucket = bisect.bisect_left(BUCKET_BOUNDS_S, seconds)
        self.counts[bucket] = self.counts.get(bucket, 0) + 1

    def merge(self, other: "Histogram") -> None:
        """Add the counts of another histogram."""
        for bucket, number in other.counts.items():
            self.counts[bucket] = self.counts.get(bucket, 0) + number

    def quantile(self, fraction: float) -> float:
        """Return the upper bound in seconds of a quantile's bucket; 0 for an empty histogram."""
        remaining = fraction * sum(self.counts.values())
        bound = 0.0
        for bucket in sorted(self.counts):
            bound = BUCKET_BOUNDS_S[min(bucket, HISTOGRAM_BUCKETS - 1)]
            remaining -= self.counts[bucket]
            if remaining <= 0:
                break
        return bound


counters: collections.Counter[str] = collections.Counter()
gauges: dict[str, float] = {}
histograms: dict[str, Histogram] = {}
_clients: list[statsd.StatsClient] = []


def configure(host: str, port: int, prefix: str) -> None:
    """Send metrics to a statsd server; with an empty host they are only kept in memory."""
    _clients.clear()
    if host:
        with contextlib.suppress(socket.gaierror):
            _clients.append(statsd.StatsClient(host, port, prefix=prefix))


def count(name: str, value: int = 1) -> None:
    """Add to a counter."""
    counters[name] += value
    for client in _clients:
        client.incr(name, value)


def gauge(name: str, value: float) -> None:
    """Set a gauge."""
    gauges[name] = value
    for client in _clients:
        client.gauge(name, value)


def timing(name: str, seconds: float) -> None:
    """Record a duration given in seconds; statsd receives milliseconds."""
    counters[f"{name}.count"] += 1
    histograms.setdefault(name, Histogram()).add(seconds)
    for client in _clients:
        client.timing(name, seconds * 1000.0)
