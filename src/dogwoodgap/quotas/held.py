"""What a node knows of the quota of one customer; no I/O, and callers pass the time."""

import dataclasses
import math

import anyio

from dogwoodgap.quotas import windows
from dogwoodgap_wire import ttypes

AHEAD_S = windows.GRANT_VALID_S
"""Records begin with the latest interval to which a grant may be counted."""

TRANSMISSION_S = 0.01
"""Time of a transmission up to which requests do not count longer at the receiver."""


@dataclasses.dataclass(slots=True)
class HeldQuota:
    """What this node knows of the quota of one customer.

    Attributes
    ----------
    term, holder : int, str
        Latest term, and the node that is or tries to become the owner in it.
    data_term, number : int
        Order of the known grants: those of a later term, or with a higher number, are newer.
    is_held : bool
        Whether this node is the owner.
    granted, replicated : int
        Requests granted by this node so far, and those of them that a witness knows of.
    retry_at : float
        Monotonic time before which this node does not ask for votes again, since too few nodes
        responded.
    """

    customer: str
    window: windows.QuotaWindow
    term: int = 0
    holder: str = ""
    data_term: int = 0
    number: int = 0
    is_held: bool = False
    granted: int = 0
    replicated: int = 0
    is_replicating: bool = False
    retry_at: float = -math.inf
    last_used_at: float = 0.0
    lock: anyio.Lock = dataclasses.field(default_factory=anyio.Lock)

    def record(self, now: float) -> ttypes.QuotaRecord:
        """Return what is known as a message."""
        return ttypes.QuotaRecord(
            customer=self.customer,
            term=self.term,
            holder=self.holder,
            data_term=self.data_term,
            number=self.number,
            granted=self.window.granted.intervals(now, AHEAD_S),
            phase_ms=int((now + AHEAD_S) % windows.INTERVAL_S * 1000),
        )

    def load(self, record: ttypes.QuotaRecord, now: float) -> None:
        """Replace the known grants by those of a record, if they are newer."""
        if (record.data_term, record.number) <= (self.data_term, self.number):
            return
        self.data_term, self.number = record.data_term, record.number
        self.window.granted.clear()
        # The intervals of the sender begin at other times: each request counts as the latest of its
        # interval. Without the tolerance, any transmission would make it count for one more.
        since_begin_s = (record.phase_ms or 0) / 1000
        later_s = windows.INTERVAL_S - since_begin_s - TRANSMISSION_S
        self.window.granted.load(record.granted or [], now, AHEAD_S + later_s)

    def add_admitted(self, admitted: windows.SlidingCount) -> None:
        """Count what nodes have admitted, as far as it exceeds the known grants."""
        counts = self.window.granted
        for index, count in admitted.counts.items():
            known = counts.counts.get(index, 0)
            counts.add(max(0, count - known), index * windows.INTERVAL_S)

    def assume_shares(self, quota: windows.Quota, ages_s: list[float], now: float) -> None:
        """Count an equal share for each node that does not know what it admitted in the window.

        Parameters
        ----------
        ages_s : list of float
            Time for which each node knows what it admitted, in seconds; 0 if it does not respond.
        """
        share = quota.limit / max(1, len(ages_s))
        assumed = 0.0
        for age_s in sorted(ages_s):
            if age_s < quota.terms.window_s:
                before, assumed = int(assumed), assumed + share
                self.window.granted.add(int(assumed) - before, now - age_s)
