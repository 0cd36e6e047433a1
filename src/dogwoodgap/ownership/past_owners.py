"""Remembers which nodes owned a key earlier, and whether those can still answer; no I/O.

Owners are chosen among the members that accept work, so they change with each node that stops,
fails or joins. State that was written before may still be at the earlier owner, or lost with it. A
node that has just started cannot know what was written before; others tell it which members came
and went.
"""

import collections.abc
import dataclasses
import enum
import heapq
import math

from dogwoodgap import clock, hashing, members

RETENTION_S = 30.0
"""Time for which the end of a period is remembered; no state is looked up after a longer one."""

SPREAD_S = 3.0
"""Time after a node joined until which others may not know it, and accounts may not have moved; and
time before this node knew the end of a node in which others may have known it."""


class Standing(enum.Enum):
    """Whether a process that owned keys can still answer."""

    PRESENT = "present"
    """It runs, and answers also while it stops."""

    SUSPECT = "suspect"
    """It does not respond, but may do so again."""

    LEFT = "left"
    """It has ended after a planned stop, in which it hands over what others need."""

    LOST = "lost"
    """It has failed, or another process has replaced it."""


@dataclasses.dataclass(slots=True)
class Period:
    """A time in which a process was among the possible owners.

    Attributes
    ----------
    node, boot : str
        Node and run of the process.
    begun_at : float
        Monotonic time from which it was a possible owner; minus infinity if that was before this
        node knew it.
    ended_at : float
        Monotonic time until which it was one; infinity while it is.
    is_end_known : bool
        Whether this node has seen the end. Otherwise ``ended_at`` is the latest possible one.
    """

    node: str
    boot: str
    begun_at: float = -math.inf
    ended_at: float = math.inf
    is_end_known: bool = True

    @property
    def process(self) -> tuple[str, str]:
        """Return the node and the run of the process."""
        return self.node, self.boot

    def surely_covers(self, moment: float) -> bool:
        """Return whether all nodes took the process for a possible owner at a moment."""
        is_sure = self.begun_at + SPREAD_S <= moment <= self.ended_at - SPREAD_S
        return is_sure and self.is_end_known


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A period that began or ended recently, and the standing of its process."""

    period: Period
    standing: Standing


@dataclasses.dataclass(frozen=True, slots=True)
class PastOwner:
    """A process that may have owned a key at some moment of a time."""

    node: str
    boot: str
    standing: Standing

    def __str__(self) -> str:
        """Return the node and the standing, for logs; two processes may be of the same node."""
        return f"{self.node} {self.standing.value}"


class PastOwners:
    """The periods in which the processes of a fleet were possible owners.

    Parameters
    ----------
    table : members.MemberTable
        Members as this node knows them.

    Attributes
    ----------
    is_informed : bool
        Whether the members that came and went before this process started are known.
    """

    def __init__(self, table: members.MemberTable):
        self.table = table
        self.started_at = clock.now()
        self.is_informed = False
        self.periods: list[Period] = []
        self.ended: dict[tuple[str, str], Standing] = {}
        self.leaving: set[tuple[str, str]] = set()
        for member in table.members.values():
            self.on_member(member)
        table.subscribers.append(self.on_member)

    # Changes of members

    def on_member(self, member: members.Member) -> None:
        """Begin or end the period of a member whose status or boot has changed."""
        self.forget_old()
        self.end_earlier_boots(member.node, member.boot)
        process = (member.node, member.boot)
        if member.status is members.Status.LEAVING:
            self.leaving.add(process)
        current = next(
            (p for p in self.periods if p.process == process and p.ended_at == math.inf), None
        )
        if member.status is members.Status.ALIVE:
            self.ended.pop(process, None)
            if current is None:
                self.periods.append(Period(*process, begun_at=self.first_seen_at(member)))
            return
        if current is not None:
            current.ended_at = clock.now()
        elif not any(p.process == process for p in self.periods):
            self.periods.append(Period(*process, ended_at=clock.now(), is_end_known=False))
        if member.status is members.Status.DEAD:
            has_left = member.departed or process in self.leaving
            self.ended[process] = Standing.LEFT if has_left else Standing.LOST

    def first_seen_at(self, member: members.Member) -> float:
        """Return when a member became a possible owner.

        The members that this node finds when it joins may have been there before.
        """
        now = clock.now()
        is_new = any(period.node == member.node for period in self.periods)
        is_local = member is self.table.local
        if is_new or is_local or now - self.started_at > SPREAD_S:
            return now
        return -math.inf

    def end_earlier_boots(self, node: str, boot: str) -> None:
        """End the periods of the processes that another one of the same node has replaced."""
        for period in self.periods:
            if period.node != node or period.boot == boot or period.process in self.ended:
                continue
            period.ended_at = min(period.ended_at, clock.now())
            has_left = period.process in self.leaving
            self.ended[period.process] = Standing.LEFT if has_left else Standing.LOST

    def forget_old(self) -> None:
        """Forget the periods that ended long ago."""
        limit = clock.now() - RETENTION_S
        self.periods = [period for period in self.periods if period.ended_at >= limit]
        remaining = {period.process for period in self.periods}
        self.ended = {process: how for process, how in self.ended.items() if process in remaining}
        self.leaving &= remaining

    # What other nodes report

    def assume_complete(self) -> None:
        """Assume that nothing was owned before this process started."""
        self.is_informed = True
        for period in self.periods:
            period.begun_at = -math.inf

    def apply_changes(
        self, changes: collections.abc.Iterable[Change], *, is_complete: bool
    ) -> None:
        """Apply the recent changes that another node knows.

        Parameters
        ----------
        is_complete : bool
            Whether that node knows all of them. One that has just started itself takes the members
            that it found for old ones.
        """
        for change in changes:
            theirs = change.period
            ours = [period for period in self.periods if period.process == theirs.process]
            if not ours and math.isfinite(theirs.ended_at):
                self.periods.append(dataclasses.replace(theirs, is_end_known=is_complete))
                self.ended[theirs.process] = change.standing
            for period in ours:
                if is_complete and not self.is_informed and math.isinf(period.begun_at):
                    period.begun_at = theirs.begun_at
        self.is_informed |= is_complete

    def recent_changes(self, since: float) -> list[Change]:
        """Return the periods that began, or whose process ended, since a monotonic time.

        A process that is still there is known to all members, unless it is suspect.
        """
        return [
            Change(period, standing)
            for period in self.periods
            for standing in (self.standing(period),)
            if period.begun_at >= since
            or (since <= period.ended_at < math.inf and standing is not Standing.PRESENT)
        ]

    def record_loss(self, node: str) -> None:
        """Record that an unknown process of a node was lost, unless one is known to be lost."""
        if node not in self.lost_nodes(-math.inf):
            self.periods.append(Period(node, "", ended_at=clock.now(), is_end_known=False))
            self.ended[node, ""] = Standing.LOST

    def lost_nodes(self, since: float) -> set[str]:
        """Return the nodes with a process that was lost since a monotonic time."""
        return {
            period.node
            for period in self.periods
            if period.ended_at >= since and self.ended.get(period.process) is Standing.LOST
        }

    def knows_earlier_process(self, node: str, boot: str) -> bool:
        """Return whether a process of a node is known other than that with a boot."""
        return any(period.node == node and period.boot != boot for period in self.periods)

    # Past owners

    def knows_since(self, since: float) -> bool:
        """Return whether all possible owners since a monotonic time are known."""
        return self.is_informed or self.started_at <= since

    def standing(self, period: Period) -> Standing:
        """Return whether the process of a period can still answer."""
        if (ended := self.ended.get(period.process)) is not None:
            return ended
        member = self.table.members.get(period.node)
        if member is None or member.boot != period.boot:
            return Standing.LOST
        if member.status is members.Status.SUSPECT:
            return Standing.SUSPECT
        return Standing.PRESENT

    def find(self, key: str, since: float, count: int) -> list[PastOwner]:
        """Return the processes that may have been among the first owners of a key.

        Parameters
        ----------
        since : float
            Monotonic time from which on they count.
        count : int
            Number of first owners.

        Returns
        -------
        list of PastOwner
            In the order of ownership; those of today are among them.
        """
        counted = [period for period in self.periods if period.ended_at >= since]
        # Only the ends and late beginnings of some can put further ones among the first owners.
        length = count + sum(not is_permanent(period, since) for period in counted)
        ranked = heapq.nsmallest(
            length,
            (
                (hashing.stable_hash(f"{key}@{period.node}"), period.node, period.begun_at, index)
                for index, period in enumerate(counted)
            ),
        )
        now = clock.now()
        before: list[Period] = []
        found: dict[tuple[str, str], PastOwner] = {}
        for *_, index in ranked:
            period = counted[index]
            if may_be_among_first(period, before, since, now, count):
                owner = PastOwner(period.node, period.boot, self.standing(period))
                found.setdefault(period.process, owner)
            before.append(period)
        return list(found.values())

    def present(self, owners: collections.abc.Iterable[PastOwner]) -> list[members.Member]:
        """Return the other members among past owners that can still be asked."""
        return [
            self.table.members[owner.node]
            for owner in owners
            if owner.standing is Standing.PRESENT and owner.node != self.table.local.node
        ]


def is_permanent(period: Period, since: float) -> bool:
    """Return whether a process was surely a possible owner all the time since a moment."""
    return period.surely_covers(since) and math.isinf(period.ended_at)


def may_be_among_first(
    period: Period, before: list[Period], since: float, now: float, count: int
) -> bool:
    """Return whether less than ``count`` nodes preceded one at some moment of its period.

    Parameters
    ----------
    before : list of Period
        Periods of the nodes that precede it in the order of ownership.
    since, now : float
        Monotonic times between which moments count.
    """
    start, end = max(period.begun_at, since), min(period.ended_at, now)
    sure_until = [other.ended_at - SPREAD_S for other in before]
    changes = [math.nextafter(moment, math.inf) for moment in sure_until if start <= moment <= end]
    for moment in (start, *changes):
        nodes = {other.node for other in before if other.surely_covers(moment)}
        if len(nodes - {period.node}) < count:
            return True
    return False
