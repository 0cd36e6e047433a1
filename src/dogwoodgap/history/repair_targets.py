"""What one storage VM knows of another one that it offers turns to; no I/O."""

import math

import anyio

from dogwoodgap import source

UNREACHABLE_S = 10.0
"""Time without a reply after which the turns of a VM get another copy elsewhere. A restart takes
less, and no other disk may be lost before a silent VM is back or another one has replaced it."""

REPEAT_S = 15.0
"""Time after which all turns are offered once more to a VM that answers anew. Gateways use it up to
10 s later than the other VMs notice it, and store turns with fewer copies until then."""


class Target:
    """Another storage VM.

    Attributes
    ----------
    boot : str
        Its process as of its last reply; empty before the first one.
    silent_since : float or None
        Monotonic time of the first request in a row without a reply; None if the last was answered.
    replied_at : float
        Monotonic time of its last reply; minus infinity before the first one.
    pending : dict
        Turns that it should hold and that it is not known to have, in order.
    is_round_due : bool
        Whether all turns that it should hold have to be offered to it.
    is_planned : bool
        Whether ``pending`` was computed for its process and the VMs that are known now.
    repeat_at : float
        Monotonic time at which all turns are offered once more.
    """

    def __init__(self, vm: source.StorageVm):
        self.vm = vm
        self.boot = ""
        self.silent_since: float | None = None
        self.replied_at = -math.inf
        self.pending: dict[str, None] = {}
        self.is_round_due = True
        self.is_planned = False
        self.repeat_at = math.inf
        self.sent_turns = 0
        self.wakeup = anyio.Event()
        self.scope: anyio.CancelScope | None = None
        self.is_removed = False

    @property
    def is_offered_all(self) -> bool:
        """Return whether the VM has all turns that it should have from this one."""
        return self.is_planned and not self.is_round_due and not self.pending

    def remove(self) -> None:
        """End the exchange with the VM."""
        self.is_removed = True
        if self.scope is not None:
            self.scope.cancel()

    def silent_s(self, now: float) -> float:
        """Return for how long the VM has not answered, in seconds."""
        return 0.0 if self.silent_since is None else now - self.silent_since

    def is_passed_over(self, now: float, joined_at: float) -> bool:
        """Return whether the turns of the VM need another copy elsewhere.

        A VM that is silent for a short time mostly restarts with its disk. One that has been silent
        since another VM joined may have been replaced by that one, and does not come back.

        Parameters
        ----------
        now : float
            Current monotonic time.
        joined_at : float
            Monotonic time at which the newest VM was first listed.
        """
        if self.silent_since is None:
            return False
        return self.replied_at < joined_at or now - self.silent_since >= UNREACHABLE_S

    def request_round(self) -> None:
        """Offer all turns again."""
        self.is_round_due = True
        self.is_planned = False

    def begin_round(self) -> None:
        """Compute anew what is pending."""
        self.is_round_due = False
        self.is_planned = False
        self.pending = {}

    def repeat_round(self, now: float) -> None:
        """Offer all turns again if that is due."""
        if now >= self.repeat_at:
            self.repeat_at = math.inf
            self.request_round()

    def record_reply(self, boot: str, now: float) -> None:
        """Record a reply. A process that has not answered so far is offered all turns, twice."""
        if boot != self.boot or self.silent_since is not None:
            self.request_round()
            self.repeat_at = now + REPEAT_S
        self.boot = boot
        self.silent_since = None
        self.replied_at = now

    def record_silence(self, now: float) -> None:
        """Record a request without a reply."""
        if self.silent_since is None:
            self.silent_since = now

    def postpone(self, turn: str) -> None:
        """Offer a pending turn after all others."""
        if turn in self.pending:
            del self.pending[turn]
            self.pending[turn] = None
