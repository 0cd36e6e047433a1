"""Plug-ins that decide whether a call may wait."""

import typing

from dogwoodgap import clock, registry, structures

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


class Admission(typing.Protocol):
    """What the dispatcher needs of an admission plug-in."""

    def refuse_after_s(
        self, item: structures.WorkItem, finish_s: float, waiting: int
    ) -> float | None:
        """Return None to admit, or the seconds after which a repeat may succeed."""


@registry.register("admission", "none")
class OpenAdmission:
    """Admit every call; it is refused only when its deadline passes in the queue."""

    def refuse_after_s(
        self, item: structures.WorkItem, finish_s: float, waiting: int
    ) -> float | None:
        """Admit."""
        return None


@registry.register("admission", "deadline")
class DeadlineAdmission:
    """Refuse a call early when the queue is full or its estimated finish misses the deadline.

    Parameters
    ----------
    max_waiting : int
        Bound of the node's queue; urgent calls are admitted beyond it.
    margin : float
        Share of the estimate that may be wrong; a call is refused only when even the estimate
        reduced by this share misses the deadline.
    """

    def __init__(self, max_waiting: int = 1_000, margin: float = 0.0):
        self.max_waiting = max_waiting
        self.margin = margin

    def refuse_after_s(
        self, item: structures.WorkItem, finish_s: float, waiting: int
    ) -> float | None:
        """Compare the estimate with the deadline."""
        if item.urgency > 0:
            return None
        if waiting >= self.max_waiting:
            return MAX_RETRY_AFTER_S
        late_s = finish_s * (1.0 - self.margin) - (item.deadline_at - clock.now())
        if late_s <= 0.0:
            return None
        return min(max(late_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
