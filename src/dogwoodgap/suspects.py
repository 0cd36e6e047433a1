"""Suspect requests and their claims in the platform's store.

A suspect runs only while its claim is held, so that only one node runs it at a time, regardless of
the entry node. The claim also collects the crashes that different nodes observed.
"""

import collections.abc
import dataclasses

import msgspec

from dogwoodgap import clock, events, exceptions, objectstore, shards

KEY_PREFIX = "quarantine/"
CLAIM_TTL_S = 300.0
"""Expiry of claims whose holder's end went unnoticed; longer than any call's deadline."""

QUARANTINE_S = 86_400.0
MAX_CRASHES = 2
MAX_UPDATE_ATTEMPTS = 8
RETRY_AFTER_S = 2.0
CRASH_WINDOW_S = 5.0
"""Reports about one runner within this time count as one crash. It covers the detection delay and
clock skew between nodes, and is shorter than most restarts."""


class Crash(msgspec.Struct, frozen=True):
    """One crash of a runner, which several nodes may report.

    Attributes
    ----------
    holder : str
        Claim under which the request ran alone; empty if other requests ran beside it.
    """

    runner: str
    at: float
    holder: str = ""

    def is_same_crash(self, other: "Crash") -> bool:
        """Return whether both reports describe one crash; each claimed run counts separately."""
        within_window = abs(self.at - other.at) <= CRASH_WINDOW_S
        return self.runner == other.runner and self.holder == other.holder and within_window


class Claim(msgspec.Struct):
    """Stored state of a suspect; times are wall time in seconds.

    Attributes
    ----------
    holder : str
        Node and attempt that currently run the suspect; empty if none does.
    held_by : shards.Owner or None
        Boot of the holder; None in claims stored by earlier versions.
    """

    digest: str
    crashes: list[Crash] = []
    until: float = 0.0
    holder: str = ""
    held_until: float = 0.0
    held_by: shards.Owner | None = None


def merge_crashes(known: list[Crash], reported: collections.abc.Iterable[Crash]) -> list[Crash]:
    """Return the known crashes plus the reported ones that are new."""
    merged = list(known)
    for crash in reported:
        if not any(crash.is_same_crash(other) for other in merged):
            merged.append(crash)
    return merged


@dataclasses.dataclass(slots=True)
class Suspect:
    """One node's state of a suspect; ``until`` is wall time.

    Attributes
    ----------
    reported_crashes : int
        Number of crashes that peers counted. It is kept apart from ``crashes``, which are merged
        in the store, because peers' clocks differ.
    """

    digest: str
    crashes: list[Crash]
    until: float
    reported_crashes: int = 0

    def count(self) -> int:
        """Return the larger of the known and the peers' number of crashes."""
        return max(len(self.crashes), self.reported_crashes)


class SuspectTable:
    """Suspects known to a node, by digest.

    Parameters
    ----------
    now : callable
        Returns wall time in seconds.
    """

    def __init__(self, now: collections.abc.Callable[[], float]):
        self.now = now
        self.suspects: dict[str, Suspect] = {}

    def find(self, digest: str) -> Suspect | None:
        """Return a suspect, or None if it is unknown or expired."""
        suspect = self.suspects.get(digest)
        if suspect is not None and suspect.until <= self.now():
            del self.suspects[digest]
            return None
        return suspect

    def add(
        self,
        digest: str,
        crashes: collections.abc.Iterable[Crash] = (),
        count: int = 0,
        until: float = 0.0,
    ) -> Suspect:
        """Add crashes, or a count from a peer, to a digest, which becomes a suspect."""
        known = self.find(digest) or Suspect(digest, [], 0.0)
        before = known.count()
        known.crashes = merge_crashes(known.crashes, crashes)
        known.reported_crashes = max(known.reported_crashes, count)
        known.until = max(known.until, until or self.now() + QUARANTINE_S)
        self.suspects[digest] = known
        if before < MAX_CRASHES <= known.count():
            events.emit(events.Event.DIGEST_QUARANTINED, "request quarantined", digest=digest)
        elif not before:
            events.emit(events.Event.DIGEST_SUSPECTED, "request suspected", digest=digest)
        return known

    def clear(self, digest: str) -> bool:
        """Remove a suspect after a clean run; return False if unknown or quarantined."""
        suspect = self.find(digest)
        if suspect is None or suspect.count() >= MAX_CRASHES:
            return False
        del self.suspects[digest]
        events.emit(events.Event.DIGEST_CLEARED, "request cleared", digest=digest)
        return True

    def check(self, digest: str) -> None:
        """Raise an error for a digest that is quarantined after two crashes.

        Raises
        ------
        QuarantinedError
            For 24 hours after the last crash.
        """
        suspect = self.find(digest)
        if suspect is not None and suspect.count() >= MAX_CRASHES:
            remaining_s = suspect.until - self.now()
            raise exceptions.QuarantinedError(
                f"{suspect.count()} runners crashed while they ran this request; change it, or "
                f"retry in {remaining_s:.0f} s",
                retry_after_s=remaining_s,
            )


class ClaimStore:
    """Claims stored as platform objects and changed only by conditional updates.

    Parameters
    ----------
    now : callable
        Returns wall time in seconds.
    is_over : callable
        Returns whether a boot has ended and its shards have new owners. A live node that was
        declared dead by mistake notices the loss of its shards and cancels its runs.
    """

    def __init__(
        self,
        store: objectstore.ObjectStore,
        now: collections.abc.Callable[[], float] = clock.wall_time,
        is_over: collections.abc.Callable[[shards.Owner], bool] = lambda owner: False,
    ):
        self.store = store
        self.now = now
        self.is_over = is_over

    async def update(self, digest: str, change: collections.abc.Callable[[Claim], None]) -> Claim:
        """Apply a change to the stored claim; retried when another node was faster.

        The change must be idempotent: if a reply is lost, it is applied again to the stored claim.
        """
        for _ in range(MAX_UPDATE_ATTEMPTS):
            claim = Claim(digest)
            version = objectstore.ABSENT
            try:
                stored = await self.store.get(KEY_PREFIX + digest)
                version = stored.version
                stored_claim = msgspec.json.decode(stored.data, type=Claim)
                claim = stored_claim if stored_claim.until > self.now() else claim
            except exceptions.ObjectMissingError:
                pass
            change(claim)
            try:
                data = msgspec.json.encode(claim)
                await self.store.put(KEY_PREFIX + digest, data, expected=version)
                return claim
            except (exceptions.VersionConflictError, exceptions.StoreUnavailableError):
                continue
        raise exceptions.StoreUnavailableError(
            f"the state of the suspect request {digest} could not be stored; retry later",
            not_run="true",
        )

    async def report(self, digest: str, crashes: list[Crash]) -> Claim:
        """Add crashes to the stored claim."""

        def add_crashes(claim: Claim) -> None:
            claim.crashes = merge_crashes(claim.crashes, crashes)
            claim.until = self.now() + QUARANTINE_S

        return await self.update(digest, add_crashes)

    def is_held(self, claim: Claim, holder: str) -> bool:
        """Return whether a claim is held by another run that may still be active."""
        if claim.holder in ("", holder) or claim.held_until <= self.now():
            return False
        return claim.held_by is None or not self.is_over(claim.held_by)

    async def acquire(
        self, digest: str, crashes: list[Crash], holder: str, boot: shards.Owner | None = None
    ) -> Claim:
        """Claim a suspect for one run and add the crashes known to this node.

        The claim is not taken if the stored crashes put the digest in quarantine.

        Parameters
        ----------
        boot : shards.Owner, optional
            Boot that makes the run; the claim is released when it ends.

        Raises
        ------
        OverloadedError
            If another node currently runs the suspect.
        """

        def acquire_claim(claim: Claim) -> None:
            claim.crashes = merge_crashes(claim.crashes, crashes)
            claim.until = max(claim.until, self.now() + CLAIM_TTL_S)
            if len(claim.crashes) >= MAX_CRASHES:
                return
            if self.is_held(claim, holder):
                raise exceptions.OverloadedError(
                    "the same request is suspected of crashing runners and runs on another node; "
                    "retry later",
                    retry_after_s=RETRY_AFTER_S,
                )
            claim.holder = holder
            claim.held_by = boot
            claim.held_until = self.now() + CLAIM_TTL_S

        return await self.update(digest, acquire_claim)

    async def end(self, digest: str, holder: str, crashes: list[Crash], *, clean: bool) -> None:
        """Release a claim; after a clean run the stored crashes are cleared."""

        def release_claim(claim: Claim) -> None:
            if claim.holder == holder:
                claim.holder = ""
            if not clean:
                claim.crashes = merge_crashes(claim.crashes, crashes)
            elif len(claim.crashes) < MAX_CRASHES:
                claim.crashes = []
            claim.until = self.now() + QUARANTINE_S

        await self.update(digest, release_claim)
