"""Decides how long a gateway may rely on its routes without a new proof that they are the newest.

A proof says that no newer version was known to the platform's store at a moment. That moment is
taken before the question for it is sent, less the age that a reply states. A reply that is delayed,
or read late by a process that stood still, therefore never makes the routes look newer than they
are. No I/O.
"""

import collections.abc
import dataclasses
import math
import random

from dogwoodgap import clock, members

SERVE_SHARE = 0.9
"""Share of the revocation time for which keys are served after a proof. The rest covers clocks of
callers, of the store and of this VM that run at different rates."""

RENEW_SHARE = 0.35
"""Share of the revocation time after which a gateway asks another one for a new proof. With the
usual 5 s, 2.2 s are left for other gateways and the store when the first one does not reply."""

CHECK_SHARE = 0.2
MAX_CHECK_INTERVAL_S = 1.0
"""A gateway that gets its proof from the store renews it after ``CHECK_SHARE`` of the revocation
time, at most this interval, so that what it passes on is young enough."""

RETRY_SHARE = 0.1
"""Shortest time between two rounds of questions, as a share of the revocation time. It is varied by
``RETRY_SPREAD`` in either direction, so that the fleet does not ask at once."""

RETRY_SPREAD = 0.25
ASK_TIMEOUT_SHARE = 0.06
MAX_ASK_TIMEOUT_S = 1.0
"""Longest wait for the reply of another gateway: 0.3 s with a revocation time of 5 s. Gateways with
a third of a core may take 0.1 s to reply."""

CHECKERS_PER_DATA_CENTRE = 2
"""Gateways of a data centre that get their proof from the store; the second one is there so that
the loss of one leaves the others without delay."""


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Tells that a version was the newest one ``age_s`` seconds before a moment on this VM."""

    version: int
    sent_at: clock.Mark
    age_s: float

    def current_age_s(self) -> float:
        """Return the age of the proof now, in seconds."""
        return clock.elapsed_s(self.sent_at) + self.age_s


class RoutesCurrency:
    """Knows how long ago this gateway had the newest routes, for certain.

    Parameters
    ----------
    revocation_s : float
        Time in seconds after which no key may be served that was taken away; 0 if keys are served
        until a new version is known.

    Attributes
    ----------
    proof : Proof or None
        The latest proof; None before the first one.
    proven_version : int
        Highest version that was the newest one at some time, for certain; -1 without any.
    """

    def __init__(self, revocation_s: float = 0.0):
        self.revocation_s = revocation_s
        self.proof: Proof | None = None
        self.proven_version = -1

    def record(
        self, version: int, active_version: int, sent_at: clock.Mark, age_s: float = 0.0
    ) -> bool:
        """Record that a version was the newest one at a time; return whether this is of use.

        Parameters
        ----------
        version : int
            Version that was the newest one.
        active_version : int
            Version that this gateway serves from. It must be as new, or the proof is not recorded:
            whatever was taken away until then may still be in the older one.
        sent_at : clock.Mark
            Moment before the question was sent.
        age_s : float
            Age of the knowledge when the reply was made, in seconds.
        """
        if version < 0 or active_version < version or not age_s >= 0.0:
            return False
        self.proven_version = max(self.proven_version, version)
        proof = Proof(version, sent_at, age_s)
        if self.proof is not None and self.proof.current_age_s() <= proof.current_age_s():
            return False
        self.proof = proof
        return True

    def age_s(self) -> float:
        """Return the age of the latest proof in seconds, infinite without one."""
        return math.inf if self.proof is None else self.proof.current_age_s()

    def age_ms(self) -> int | None:
        """Return the age of the latest proof in ms, rounded up; None without one."""
        return None if self.proof is None else math.ceil(self.proof.current_age_s() * 1000)

    def is_confirmed(self) -> bool:
        """Return whether keys may be served."""
        return not self.revocation_s or self.age_s() < SERVE_SHARE * self.revocation_s

    def is_fresh(self) -> bool:
        """Return whether no other gateway has to be asked for a new proof yet."""
        return self.age_s() < RENEW_SHARE * self.revocation_s

    def renewal_delay_s(self, *, is_checker: bool) -> float:
        """Return the time in seconds after which to ask for the next proof.

        Parameters
        ----------
        is_checker : bool
            Whether this gateway gets its proof from the store.
        """
        interval_s = RENEW_SHARE * self.revocation_s
        if is_checker:
            interval_s = min(MAX_CHECK_INTERVAL_S, CHECK_SHARE * self.revocation_s)
        factor = random.uniform(1.0 - RETRY_SPREAD, 1.0 + RETRY_SPREAD)
        retry_delay_s = RETRY_SHARE * self.revocation_s * factor
        return max(interval_s - self.age_s(), retry_delay_s)

    @property
    def ask_timeout_s(self) -> float:
        """Longest wait for the reply of another gateway, in seconds."""
        return min(MAX_ASK_TIMEOUT_S, ASK_TIMEOUT_SHARE * self.revocation_s)


def checkers(alive: collections.abc.Iterable[members.Member], data_centre: str) -> list[str]:
    """Return the gateways of a data centre that get their proof from the store, by name."""
    nodes = sorted(member.node for member in alive if member.data_centre == data_centre)
    return nodes[:CHECKERS_PER_DATA_CENTRE]


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """Gateways to ask for a proof, in order: the checkers of this data centre, then others."""

    own: list[members.Member]
    others: list[members.Member]


def choose_sources(alive: list[members.Member], local: members.Member) -> Sources:
    """Return the gateways to ask for a proof.

    Half of the gateways of a data centre begin with its second checker. The others are a checker of
    another data centre, whose proof is young, and any gateway, each chosen at random.
    """
    by_node = {member.node: member for member in alive if member.node != local.node}
    nodes = sorted(member.node for member in alive if member.data_centre == local.data_centre)
    own = [node for node in nodes[:CHECKERS_PER_DATA_CENTRE] if node != local.node]
    if local.node in nodes and nodes.index(local.node) % 2:
        own.reverse()
    rest = sorted(by_node.keys() - set(own))
    elsewhere = {
        node
        for data_centre in {by_node[node].data_centre for node in rest} - {local.data_centre}
        for node in checkers(alive, data_centre)
    }
    others: list[str] = []
    for group in (sorted(elsewhere), rest):
        left = [node for node in group if node not in others]
        if left:
            others.append(random.choice(left))
    return Sources([by_node[node] for node in own], [by_node[node] for node in others])
