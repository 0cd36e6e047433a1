"""Retention plug-ins, which decide what happens to a program's prefix during a tool call."""

import bisect
import dataclasses
import typing

from dogwoodgap import registry, structures

BUCKET_COUNT = 24
FIRST_BUCKET_S = 0.25
BUCKET_RATIO = 1.5
BUCKET_EDGES_S = [FIRST_BUCKET_S * BUCKET_RATIO**number for number in range(BUCKET_COUNT)]
PRIOR_WEIGHT = 4.0
MAX_TOTAL_WEIGHT = 2_000
EXPORT_TOKENS_PER_S = 60_000.0
EXPORT_OVERHEAD_S = 0.1
MAX_HISTOGRAMS = 4_096
# Evictions start above this share of memory in use. The lab's engine model replaces the contents
# of a full cache in about CACHE_TURNOVER_S.
EVICTION_PRESSURE = 0.5
CACHE_TURNOVER_S = 10.0
# Recomputing a prefix slows the other requests of a batch: in the lab's engine model, one second
# of prefill costs a full batch about four seconds of work.
RECOMPUTE_COST = 4.0


@dataclasses.dataclass
class PauseHistogram:
    """Pause lengths of one profile and tool, in exponentially growing buckets.

    Starts with a weak prior of ``PRIOR_WEIGHT`` pauses, spread evenly over all buckets.
    """

    counts: list[float] = dataclasses.field(
        default_factory=lambda: [PRIOR_WEIGHT / BUCKET_COUNT] * BUCKET_COUNT
    )

    def observe(self, pause_s: float) -> None:
        """Count a pause; all counts are halved at ``MAX_TOTAL_WEIGHT`` to follow changes."""
        bucket = min(bisect.bisect_left(BUCKET_EDGES_S, pause_s), BUCKET_COUNT - 1)
        self.counts[bucket] += 1.0
        if sum(self.counts) > MAX_TOTAL_WEIGHT:
            self.counts = [count / 2 for count in self.counts]

    def residual_s(self, elapsed_s: float) -> float:
        """Return the expected remaining time of a pause after ``elapsed_s`` seconds."""
        first = bisect.bisect_right(BUCKET_EDGES_S, elapsed_s)
        total = sum(self.counts[first:])
        if total <= 0.0:
            return max(elapsed_s, BUCKET_EDGES_S[-1])
        pairs = zip(BUCKET_EDGES_S[first:], self.counts[first:], strict=True)
        return sum((edge - elapsed_s) * count for edge, count in pairs) / total


class Retention(typing.Protocol):
    """Interface of retention plug-ins.

    Attributes
    ----------
    releases_memory : bool
        Whether the engine memory of ended and idle programs is released.
    """

    releases_memory: bool

    def observe(self, profile: str, tool: str, pause_s: float) -> None:
        """Record the length of a finished pause."""

    def choose(self, pause: structures.Pause) -> structures.CacheAction:
        """Return what to do with the prefix of a paused program."""


@registry.register("retention", "none")
class NoRetention:
    """Leave all prefixes to the engine's own eviction."""

    releases_memory = False

    def observe(self, profile: str, tool: str, pause_s: float) -> None:
        """Do nothing, since the choice does not depend on past pauses."""

    def choose(self, pause: structures.Pause) -> structures.CacheAction:
        """Return that the prefix stays in the engine."""
        return structures.CacheAction.RETAIN


@registry.register("retention", "release")
class ReleaseOnlyRetention(NoRetention):
    """Release the prefixes of ended and idle programs; leave paused ones to the engine."""

    releases_memory = True


@registry.register("retention", "cost")
class CostRetention:
    """Compare the cost of holding a prefix with the cost of restoring it.

    Holding a share of a runner's memory for the expected remainder of the pause costs that share
    of the runner's time, weighted by how full the memory is and by the profile's ``cache_weight``.
    Restoring the prefix costs the time of an import or of a recomputation, weighted by the
    profile's ``latency_weight``.

    Parameters
    ----------
    floor : float
        Value of empty memory relative to full memory.
    export : bool
        Whether the engine can export and import KV cache. Without it, a likely eviction is no
        reason to release, since a release loses the prefix for certain.
    """

    releases_memory = True

    def __init__(self, floor: float = 0.3, export: bool = True):
        self.floor = floor
        self.export = export
        self.histograms: dict[tuple[str, str], PauseHistogram] = {}

    def histogram(self, profile: str, tool: str) -> PauseHistogram:
        """Return the histogram of a profile and tool."""
        key = (profile, tool)
        histogram = self.histograms.get(key)
        if histogram is None:
            if len(self.histograms) >= MAX_HISTOGRAMS:
                self.histograms.pop(next(iter(self.histograms)))
            histogram = self.histograms[key] = PauseHistogram()
        return histogram

    def observe(self, profile: str, tool: str, pause_s: float) -> None:
        """Record the length of a finished pause."""
        self.histogram(profile, tool).observe(pause_s)

    def choose(self, pause: structures.Pause) -> structures.CacheAction:
        """Return the cheapest action."""
        remaining_s = self.histogram(pause.profile, pause.tool).residual_s(pause.elapsed_s)
        return self.choose_for_remaining(pause, remaining_s)

    def choose_for_remaining(
        self, pause: structures.Pause, remaining_s: float
    ) -> structures.CacheAction:
        """Return the cheapest action for an expected remaining time of the pause."""
        memory_share = pause.tokens / max(pause.memory_tokens, 1)
        pressure = min(max(pause.pressure, 0.0), 1.0)
        memory_value = self.floor + (1.0 - self.floor) * pressure**2
        recompute_cost_s = (
            pause.latency_weight * RECOMPUTE_COST * pause.tokens / pause.prefill_tokens_per_s
        )
        export_cost_s = pause.latency_weight * (
            EXPORT_OVERHEAD_S + pause.tokens / EXPORT_TOKENS_PER_S
        )
        hold_cost_s = pause.cache_weight * memory_share * remaining_s * memory_value
        if self.export:
            hold_cost_s += recompute_cost_s * eviction_probability(pressure, remaining_s)
        if hold_cost_s <= (
            min(export_cost_s, recompute_cost_s) if self.export else recompute_cost_s
        ):
            return structures.CacheAction.RETAIN
        if self.export and export_cost_s < recompute_cost_s:
            return structures.CacheAction.EXPORT
        return structures.CacheAction.RELEASE


def eviction_probability(pressure: float, remaining_s: float) -> float:
    """Return the probability that holding the prefix causes an eviction, of it or of another."""
    full = max(0.0, pressure - EVICTION_PRESSURE) / (1.0 - EVICTION_PRESSURE)
    return full * min(1.0, remaining_s / CACHE_TURNOVER_S)
