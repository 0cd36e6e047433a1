"""Ordering plug-ins, which assign queue keys to the calls of a service.

A key is an integer in milliseconds. The lowest key runs first, in the node's queue and as priority
in the engine's queue. Keys use the wall clock so that engines can compare keys of several nodes.
"""

import dataclasses
import math
import typing

from dogwoodgap import clock, registry, structures

URGENCY_STEP_S = 86_400.0
ATTAINED_TOKENS_PER_S = 200.0
MAX_ATTAINED_PENALTY_S = 900.0
USAGE_HALF_LIFE_S = 120.0
MAX_FAIR_EXCESS = 3.0
# Usage up to this multiple of the mean is not penalized. A value of 1.0 lowered Jain's fairness
# index of slowdowns, since large customers are not slowed less than small ones.
FAIR_TOLERANCE = 2.0
MAX_CUSTOMERS = 4_096
PREFILL_TOKENS_PER_S = 8_000.0


class Ordering(typing.Protocol):
    """Interface of ordering plug-ins."""

    def key(self, item: structures.WorkItem) -> int:
        """Return the key of a call that enters the queue."""

    def record_service(self, item: structures.WorkItem, tokens: int) -> None:
        """Record the tokens that a finished call was served."""


@registry.register("ordering", "fcfs")
class FirstComeOrdering:
    """First come, first served."""

    def key(self, item: structures.WorkItem) -> int:
        """Return the same key for all calls, since queues preserve the order of arrival."""
        return 0

    def record_service(self, item: structures.WorkItem, tokens: int) -> None:
        """Ignore service."""


@registry.register("ordering", "call-priority")
class CallOrdering:
    """Shortest call first, by prompt and expected output, regardless of the program."""

    def __init__(self, prefill_tokens_per_s: float = 8_000.0, decode_tokens_per_s: float = 50.0):
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.decode_tokens_per_s = decode_tokens_per_s

    def key(self, item: structures.WorkItem) -> int:
        """Return the nominal duration of the call in milliseconds."""
        prefill_s = item.prompt_tokens / self.prefill_tokens_per_s
        decode_s = (item.expected_output_tokens or item.max_tokens) / self.decode_tokens_per_s
        return int(1_000 * (prefill_s + decode_s))

    def record_service(self, item: structures.WorkItem, tokens: int) -> None:
        """Ignore service."""


@dataclasses.dataclass(slots=True)
class DecayedUsage:
    """Service of one customer on this node, in weighted tokens with exponential decay."""

    tokens: float = 0.0
    updated_at: float = 0.0

    def decayed(self, now: float) -> float:
        """Return the usage decayed to ``now``."""
        return self.tokens * math.exp2((self.updated_at - now) / USAGE_HALF_LIFE_S)


@registry.register("ordering", "program")
class ProgramOrdering:
    """Urgency, then least attained service of the program tree, with ageing.

    The key is a virtual start time: the time of arrival plus penalties. Every penalty is bounded,
    so a call precedes all calls that arrive later by more than the sum of the bounds, and no call
    starves.

    Parameters
    ----------
    attained_gain : float
        Seconds of penalty per second of service that the tree has received; 0 disables it.
    program_age : float
        Fraction of the program's age that counts as waiting time; favours old programs.
    fair_s : float
        Seconds of penalty per multiple of the customers' mean service beyond twice the mean;
        0 disables it.
    slack : bool
        Whether calls close to their deadline come first. Off by default: at 1.2 times capacity and
        with deadlines of 30 s, the order became first come, first served and the share of late
        calls doubled.
    resident_gain : float
        Seconds of bonus per second of prefill that a prefix held by a runner saves; 0 disables it.
    """

    def __init__(
        self,
        attained_gain: float = 1.0,
        program_age: float = 0.0,
        fair_s: float = 10.0,
        slack: bool = False,
        resident_gain: float = 10.0,
    ):
        self.attained_gain = attained_gain
        self.program_age = program_age
        self.fair_s = fair_s
        self.slack = slack
        self.resident_gain = resident_gain
        self.usage: dict[str, DecayedUsage] = {}
        self.total = DecayedUsage()

    def key(self, item: structures.WorkItem) -> int:
        """Return the virtual start time of a call, in milliseconds."""
        now = clock.wall_time()
        virtual_start = now + self.attained_penalty(item) + self.fairness_penalty(item)
        if self.program_age and item.started_at:
            virtual_start -= self.program_age * (now - item.started_at)
        if item.prefix_runner:
            virtual_start -= self.resident_gain * item.prefix_tokens / PREFILL_TOKENS_PER_S
        if self.slack:
            virtual_start = min(virtual_start, now + item.deadline_at - clock.now())
        return int(1_000 * (virtual_start - item.urgency * URGENCY_STEP_S))

    def attained_penalty(self, item: structures.WorkItem) -> float:
        """Return the penalty for service already received, in seconds."""
        attained_s = item.attained_tokens / ATTAINED_TOKENS_PER_S
        penalty = self.attained_gain * attained_s / max(item.latency_weight, 0.01)
        return min(penalty, MAX_ATTAINED_PENALTY_S)

    def fairness_penalty(self, item: structures.WorkItem) -> float:
        """Return the penalty for the customer's usage above the mean, in seconds."""
        used = self.usage.get(item.customer)
        if used is None or not self.fair_s:
            return 0.0
        now = clock.now()
        mean = self.total.decayed(now) / len(self.usage)
        if mean <= 0.0:
            return 0.0
        excess = used.decayed(now) / mean - FAIR_TOLERANCE
        return self.fair_s * min(max(excess, 0.0), MAX_FAIR_EXCESS)

    def record_service(self, item: structures.WorkItem, tokens: int) -> None:
        """Add tokens to the customer's usage and to the total."""
        if len(self.usage) >= MAX_CUSTOMERS and item.customer not in self.usage:
            self.drop_least_recent()
        weighted = tokens / max(item.share_weight, 0.01)
        now = clock.now()
        for usage in (self.usage.setdefault(item.customer, DecayedUsage()), self.total):
            usage.tokens = usage.decayed(now) + weighted
            usage.updated_at = now

    def drop_least_recent(self) -> None:
        """Drop the least recently served half of the customers."""
        by_age = sorted(self.usage, key=lambda name: self.usage[name].updated_at)
        for name in by_age[: len(by_age) // 2]:
            del self.usage[name]
