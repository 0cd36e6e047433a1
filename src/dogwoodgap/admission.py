"""Admission plug-ins, which decide whether a call may enter the queue."""

import typing

from dogwoodgap import clock, registry, structures

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 30.0


class Admission(typing.Protocol):
    """Interface of admission plug-ins."""

    def refuse_after_s(
        self, item: structures.WorkItem, finish_s: float, waiting: int
    ) -> float | None:
        """Return None to admit a call, or the seconds after which a retry may succeed.

        Parameters
        ----------
        finish_s : float
            Estimated seconds until the call would finish.
        waiting : int
            Calls in the node's queue.
        """


@registry.register("admission", "none")
class OpenAdmission:
    """Admit every call; calls then fail only when their deadline passes in the queue."""

    def refuse_after_s(
        self, item: structures.WorkItem, finish_s: float, waiting: int
    ) -> float | None:
        """Return None."""
        return None


@registry.register("admission", "deadline")
class DeadlineAdmission:
    """Refuse a call when the queue is full or its estimated finish misses the deadline.

    Parameters
    ----------
    max_waiting : int
        Maximum length of the node's queue; urgent calls are admitted beyond it.
    margin : float
        Tolerated error of the estimate as a fraction; a call is refused only if the estimate
        reduced by this fraction still misses the deadline.
    """

    def __init__(self, max_waiting: int = 1_000, margin: float = 0.0):
        self.max_waiting = max_waiting
        self.margin = margin

    def refuse_after_s(
        self, item: structures.WorkItem, finish_s: float, waiting: int
    ) -> float | None:
        """Return a retry delay if the queue is full or the call would finish too late."""
        if item.urgency > 0:
            return None
        if waiting >= self.max_waiting:
            return MAX_RETRY_AFTER_S
        late_s = finish_s * (1.0 - self.margin) - (item.deadline_at - clock.now())
        if late_s <= 0.0:
            return None
        return min(max(late_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)
