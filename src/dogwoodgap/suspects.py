"""Claims on suspect requests in the platform's store.

A suspect runs only while its claim is held, so that one node at a time runs it, whichever entry
nodes it was sent to. The claim also adds up the crashes that different nodes saw.
"""

import collections.abc
import dataclasses

import msgspec

from dogwoodgap import clock, events, exceptions, objectstore, shards

KEY_PREFIX = "quarantine/"
CLAIM_LIFETIME_S = 300.0
"""Longer than any call's deadline: ends claims whose holder's end nobody noticed."""

QUARANTINE_S = 86_400.0
MAX_CRASHES = 2
UPDATE_ATTEMPTS = 8
RETRY_AFTER_S = 2.0
CRASH_WINDOW_S = 5.0
"""Two reports of one runner within this time are one crash: it covers the detection delay and
the clock difference between nodes, and is shorter than most restarts."""


class Crash(msgspec.Struct, frozen=True):
    """One loss of a runner; reports of the same loss by several nodes are one crash.

    Attributes
    ----------
    holder : str
        Names the claim under which the request ran alone; empty when others ran beside it.
    """

    runner: str
    at: float
    holder: str = ""

    def is_same_crash(self, other: "Crash") -> bool:
        """Return whether both describe the same loss; a claimed run is a loss of its own."""
        near = abs(self.at - other.at) <= CRASH_WINDOW_S
        return self.runner == other.runner and self.holder == other.holder and near


class Claim(msgspec.Struct):
    """The stored state of a suspect; times are wall time in seconds.

    Attributes
    ----------
    holder : str
        Node and attempt that runs the suspect now; empty when none does.
    held_by : shards.Owner or None
        Boot of the holder; None in claims of earlier versions.
    """

    digest: str
    crashes: list[Crash] = []
    until: float = 0.0
    holder: str = ""
    held_until: float = 0.0
    held_by: shards.Owner | None = None


def merge_crashes(known: list[Crash], reported: collections.abc.Iterable[Crash]) -> list[Crash]:
    """Add crashes that are not yet known."""
    merged = list(known)
    for crash in reported:
        if not any(crash.is_same_crash(other) for other in merged):
            merged.append(crash)
    return merged


@dataclasses.dataclass(slots=True)
class Suspect:
    """What this node knows of a suspect; ``until`` is wall time.

    Attributes
    ----------
    reported_crashes : int
        Crashes that peers counted. They are not merged with ``crashes``, which the store adds
        up, because peers' clocks differ.
    """

    digest: str
    crashes: list[Crash]
    until: float
    reported_crashes: int = 0

    def count(self) -> int:
        """Return the number of crashes."""
        return max(len(self.crashes), self.reported_crashes)


class SuspectTable:
    """The suspects that a node knows.

    Parameters
    ----------
    now : callable
        Returns wall time in seconds.
    """

    def __init__(self, now: collections.abc.Callable[[], float]):
        self.now = now
        self.suspects: dict[str, Suspect] = {}

    def find(self, digest: str) -> Suspect | None:
        """Return what is known of a suspect, unless its time has passed."""
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
        """Add crashes to a digest."""
        known = self.find(digest) or Suspect(digest, [], 0.0)
        before = known.count()
        known.crashes = merge_crashes(known.crashes, crashes)
        known.reported_crashes = max(known.reported_crashes, count)
        known.until = max(known.until, until or self.now() + QUARANTINE_S)
        self.suspects[digest] = known
        if before < MAX_CRASHES <= known.count():
            events.emit(
                events.Event.DIGEST_QUARANTINED, "request refused from now on", digest=digest
            )
        elif not before:
            events.emit(events.Event.DIGEST_SUSPECTED, "request suspected", digest=digest)
        return known

    def clear(self, digest: str) -> bool:
        """Forget a digest that has shown to be harmless; two crashes are never forgotten."""
        suspect = self.find(digest)
        if suspect is None or suspect.count() >= MAX_CRASHES:
            return False
        del self.suspects[digest]
        events.emit(events.Event.DIGEST_CLEARED, "request cleared", digest=digest)
        return True

    def check(self, digest: str) -> None:
        """Refuse a digest after two crashes.

        Raises
        ------
        QuarantinedError
            For 24 hours after the last crash.
        """
        suspect = self.find(digest)
        if suspect is not None and suspect.count() >= MAX_CRASHES:
            left_s = suspect.until - self.now()
            raise exceptions.QuarantinedError(
                f"{suspect.count()} runners crashed while they ran this request; change it, or "
                f"send it again in {left_s:.0f} s",
                retry_after_s=left_s,
            )


class ClaimStore:
    """Claims as objects of the platform, changed by conditional updates only.

    Parameters
    ----------
    now : callable
        Returns wall time in seconds.
    is_over : callable
        Whether a boot has ended and its shards have new owners. A live node that was found dead
        by mistake notices the loss of its shards and drops its runs.
    """

    def __init__(
        self,
        store: objectstore.ObjectStore,
        now: collections.abc.Callable[[], float] = clock.wall,
        is_over: collections.abc.Callable[[shards.Owner], bool] = lambda owner: False,
    ):
        self.store = store
        self.now = now
        self.is_over = is_over

    async def update(self, digest: str, change: collections.abc.Callable[[Claim], None]) -> Claim:
        """Apply a change to the stored claim; repeats it when another node was faster.

        A lost reply leaves the version unknown; the change is then applied again to what is
        stored, so it must be idempotent.
        """
        for _ in range(UPDATE_ATTEMPTS):
            claim = Claim(digest)
            version = objectstore.ABSENT
            try:
                stored = await self.store.get(KEY_PREFIX + digest)
                version = stored.version
                found = msgspec.json.decode(stored.data, type=Claim)
                claim = found if found.until > self.now() else claim
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
            f"the state of the suspect request {digest} could not be stored; repeat later",
            not_run="true",
        )

    async def report(self, digest: str, crashes: list[Crash]) -> Claim:
        """Add crashes to the stored state."""

        def add(claim: Claim) -> None:
            claim.crashes = merge_crashes(claim.crashes, crashes)
            claim.until = self.now() + QUARANTINE_S

        return await self.update(digest, add)

    def is_held(self, claim: Claim, holder: str) -> bool:
        """Return whether a claim belongs to another run that may still go on."""
        if claim.holder in ("", holder) or claim.held_until <= self.now():
            return False
        return claim.held_by is None or not self.is_over(claim.held_by)

    async def acquire(
        self, digest: str, crashes: list[Crash], holder: str, boot: shards.Owner | None = None
    ) -> Claim:
        """Claim a suspect for one run, adding the crashes known here.

        Parameters
        ----------
        boot : shards.Owner, optional
            The boot that makes the run; its end frees the claim.

        Raises
        ------
        OverloadedError
            When another node runs it now.
        """

        def take(claim: Claim) -> None:
            claim.crashes = merge_crashes(claim.crashes, crashes)
            claim.until = max(claim.until, self.now() + CLAIM_LIFETIME_S)
            if len(claim.crashes) >= MAX_CRASHES:
                return
            if self.is_held(claim, holder):
                raise exceptions.OverloadedError(
                    "the same request is suspected of crashing runners and runs on another node; "
                    "repeat it later",
                    retry_after_s=RETRY_AFTER_S,
                )
            claim.holder = holder
            claim.held_by = boot
            claim.held_until = self.now() + CLAIM_LIFETIME_S

        return await self.update(digest, take)

    async def end(self, digest: str, holder: str, crashes: list[Crash], *, clean: bool) -> None:
        """Give a claim back; a clean run clears the digest."""

        def give_back(claim: Claim) -> None:
            if claim.holder == holder:
                claim.holder = ""
            if not clean:
                claim.crashes = merge_crashes(claim.crashes, crashes)
            elif len(claim.crashes) < MAX_CRASHES:
                claim.crashes = []
            claim.until = self.now() + QUARANTINE_S

        await self.update(digest, give_back)
