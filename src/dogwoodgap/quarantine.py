"""Quarantine of requests suspected of crashing runners.

When a runner crashes, every request in flight on it becomes a suspect. A suspect is run again only
alone on a runner, and by one node at a time. A clean run clears it; after a second crash it is
refused.

Two cases are not covered. Requests with the same digest that several nodes sent before they knew of
the first crash may each crash a runner, and a node that dies together with the runner leaves a
claim without the crash. All later runs are limited to two lost runners.
"""

import collections
import collections.abc
import contextlib
import dataclasses
import uuid

import anyio

from dogwoodgap import clock, connections, events, exceptions, records, shards, structures, suspects
from dogwoodgap_wire import ttypes

RESERVATION_SETTLE_S = 1.0
"""Time for a reservation to reach the peers before the runner's load is read. It must exceed
``REPORT_RETRY_S``, so that crashes seen by other nodes are stored before a suspect runs."""

IDLE_TIMEOUT_S = 60.0
IDLE_POLL_INTERVAL_S = 0.25
RESERVATION_TTL_S = 180.0
"""Peers drop a reservation after this time, since its holder may have died."""

REPORT_RETRY_S = 0.5
MAX_RUNNERS_PER_DIGEST = 2
"""Runners on which a node runs one unsuspected digest concurrently, since each may be lost."""

Journal = collections.abc.Callable[[records.Suspected], collections.abc.Awaitable[None]]
Send = collections.abc.Callable[[ttypes.SuspectNotice], None]
IsIdle = collections.abc.Callable[[structures.RunnerView, float], collections.abc.Awaitable[bool]]
ProbeRunner = collections.abc.Callable[
    [structures.RunnerView], collections.abc.Awaitable[connections.ProbeResult]
]


@dataclasses.dataclass(slots=True)
class Run:
    """One request in flight on a runner; ``holder`` names its claim if it runs alone."""

    digest: str
    runner: str
    urgent: bool = False
    holder: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """Reservation of a runner for a suspect until a wall time."""

    holder: str
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Settlement:
    """Result of a claimed run that is to be stored."""

    run: Run
    crashes: list[suspects.Crash]
    clean: bool


class Quarantine:
    """One node's view of suspects, requests in flight and reserved runners.

    Parameters
    ----------
    journal : callable
        Writes a record to the journal and returns when it is committed.
    send : callable
        Sends a notice to all peers, in the background.
    is_idle : callable
        Returns whether a runner's load report, made at or after a monotonic time, shows no work.
    probe : callable
        Opens a new connection to a runner.
    reserve_limit : callable
        Returns how many runners of a service may be reserved for suspects at once.
    boot : callable
        Returns the current boot of this node, which holds its claims.
    """

    def __init__(
        self,
        node: str,
        *,
        claims: suspects.ClaimStore,
        journal: Journal,
        send: Send,
        is_idle: IsIdle,
        probe: ProbeRunner,
        reserve_limit: collections.abc.Callable[[str], int] = lambda service: 1,
        boot: collections.abc.Callable[[], shards.Owner | None] = lambda: None,
        now: collections.abc.Callable[[], float] = clock.wall_time,
    ):
        self.node = node
        self.boot = boot
        self.claims = claims
        self.journal = journal
        self.send = send
        self.is_idle = is_idle
        self.probe = probe
        self.now = now
        self.table = suspects.SuspectTable(now)
        self.reserve_limit = reserve_limit
        self.in_flight: dict[str, list[Run]] = collections.defaultdict(list)
        self.reservations: dict[str, Reservation] = {}
        self.pending_settlements: collections.deque[Settlement] = collections.deque()
        self.unreported: dict[str, None] = {}
        self.changed = anyio.Event()

    def is_reserved(self, view: structures.RunnerView) -> bool:
        """Return whether a runner is reserved for a suspect and gets no other requests."""
        reservation = self.reservations.get(structures.runner_key(view))
        return reservation is not None and reservation.until > self.now()

    def may_place(self, digest: str, view: structures.RunnerView) -> bool:
        """Return whether placement may choose a runner for a digest."""
        return (
            not self.is_reserved(view)
            and self.count_other_runners(digest, view) < MAX_RUNNERS_PER_DIGEST
        )

    @contextlib.asynccontextmanager
    async def guarded(
        self, digest: str, view: structures.RunnerView, *, urgent: bool = False
    ) -> collections.abc.AsyncIterator[None]:
        """Run a request on a runner; a suspect first waits until the runner is idle.

        Parameters
        ----------
        urgent : bool
            Whether the request must not wait. An urgent request does not become a suspect if
            others ran beside it: it cannot be cleared by running alone, and a lost belt stop is
            worse than a lost runner.

        Raises
        ------
        QuarantinedError, OverloadedError, StoreUnavailableError
            If the request may not run. Nothing was sent.
        """
        self.table.check(digest)
        if self.table.find(digest) is not None and not urgent:
            async with self.run_alone(digest, view):
                yield
            return
        if not urgent and self.count_other_runners(digest, view) >= MAX_RUNNERS_PER_DIGEST:
            raise exceptions.OverloadedError(
                "the same request already runs on two runners; retry when one has finished"
            )
        run = Run(digest, structures.runner_key(view), urgent)
        self.add_run(run)
        try:
            yield
        except exceptions.RunnerFailedError as error:
            if connections.may_indicate_crash(error):
                await self.confirm_crash(view)
            raise
        finally:
            self.remove_run(run)

    @contextlib.asynccontextmanager
    async def run_alone(
        self, digest: str, view: structures.RunnerView
    ) -> collections.abc.AsyncIterator[None]:
        """Run a suspect alone on a runner while holding its claim."""
        run = Run(digest, structures.runner_key(view), holder=f"{self.node}/{uuid.uuid4().hex}")
        clean = False
        try:
            await self.acquire_claim(run)
            await self.wait_until_idle(run, view)
            # Crashes of runs that started before this claim may have been stored in the meantime.
            await self.acquire_claim(run)
            self.add_run(run)
            yield
            clean = True
        except exceptions.RunnerFailedError as error:
            if connections.may_indicate_crash(error):
                await self.confirm_crash(view)
            raise
        finally:
            self.remove_run(run)
            self.release_reservation(run)
            self.end_claim(run, clean=clean)

    async def acquire_claim(self, run: Run) -> None:
        """Journal the suspicion and acquire the claim before a suspect runs again."""
        suspect = self.table.find(run.digest) or self.table.add(run.digest)
        try:
            await self.journal(records.Suspected(run.digest, suspect.count(), suspect.until))
            claim = await self.claims.acquire(run.digest, suspect.crashes, run.holder, self.boot())
        except exceptions.StoreError as error:
            raise exceptions.StoreUnavailableError(
                "the request is suspected of crashing runners and cannot run again while the "
                f"platform is unavailable ({error.detail}); retry later",
                not_run="true",
            ) from error
        self.merge_claim(claim)
        self.table.check(run.digest)

    def merge_claim(self, claim: suspects.Claim) -> None:
        """Merge the crashes of a stored claim and notify the peers if the count increased."""
        known = self.table.find(claim.digest)
        before = known.count() if known else 0
        after = self.table.add(claim.digest, claim.crashes, until=claim.until).count()
        if after > before:
            self.notify_peers(claim.digest, "")

    async def wait_until_idle(self, run: Run, view: structures.RunnerView) -> None:
        """Reserve a runner and wait until it is idle."""
        with anyio.move_on_after(IDLE_TIMEOUT_S):
            while True:
                if self.may_reserve(view):
                    break
                await anyio.sleep(IDLE_POLL_INTERVAL_S)
            self.reserve(run.runner, run.holder)
            self.notify_peers(run.digest, run.runner, reserved=True)
            await anyio.sleep(RESERVATION_SETTLE_S)
            settled_at = clock.now()
            while True:
                if not self.in_flight.get(run.runner) and await self.is_idle(view, settled_at):
                    return
                await anyio.sleep(IDLE_POLL_INTERVAL_S)
        raise exceptions.OverloadedError(
            f"runner {view.id} did not become idle to run a suspect request alone; retry later"
        )

    def may_reserve(self, view: structures.RunnerView) -> bool:
        """Return whether a runner may be reserved within the limit of its service.

        Without a limit, the suspects of a single crash could reserve all runners at once.
        """
        prefix = f"{view.service}/"
        reserved = [
            key
            for key, item in self.reservations.items()
            if key.startswith(prefix) and item.until > self.now()
        ]
        limit = max(1, self.reserve_limit(view.service))
        return structures.runner_key(view) not in reserved and len(reserved) < limit

    def count_other_runners(self, digest: str, view: structures.RunnerView) -> int:
        """Return on how many other runners a digest is in flight from this node."""
        key = structures.runner_key(view)
        return sum(
            any(run.digest == digest for run in runs)
            for runner, runs in self.in_flight.items()
            if runner != key
        )

    def add_run(self, run: Run) -> None:
        """Record a request as in flight."""
        self.in_flight[run.runner].append(run)

    def remove_run(self, run: Run) -> None:
        """Remove a request from those in flight."""
        runs = self.in_flight.get(run.runner, [])
        if run in runs:
            runs.remove(run)
        if not runs:
            self.in_flight.pop(run.runner, None)

    async def confirm_crash(self, view: structures.RunnerView) -> bool:
        """Probe a runner after a broken connection; record a crash if it refuses connections."""
        if await self.probe(view) is not connections.ProbeResult.REFUSED:
            return False
        self.record_crash(view)
        return True

    def record_crash(self, view: structures.RunnerView) -> list[str]:
        """Mark the requests in flight on a crashed runner as suspects; return new digests."""
        key = structures.runner_key(view)
        runs = [run for run in self.in_flight.get(key, []) if not run.urgent]
        if not runs:
            # Only urgent requests were running, so one of them must be the cause.
            runs = self.in_flight.get(key, [])
        digests = []
        for run in runs:
            known = self.table.find(run.digest)
            before = len(known.crashes) if known else 0
            crash = suspects.Crash(key, self.now(), run.holder)
            # Several calls and the directory's poll may confirm the same crash, which counts once.
            # Crashes counted by peers are ignored here: each node must store its own.
            if len(self.table.add(run.digest, [crash]).crashes) > before:
                digests.append(run.digest)
        for digest in digests:
            self.unreported[digest] = None
            self.notify_peers(digest, key)
        if digests:
            self.changed.set()
            events.emit(
                events.Event.RUNNER_CRASHED, "runner crashed", runner=key, suspects=len(digests)
            )
        return digests

    def end_claim(self, run: Run, *, clean: bool) -> None:
        """Clear a digest after a clean run; :meth:`run` stores the result and ends the claim."""
        suspect = self.table.find(run.digest)
        crashes = list(suspect.crashes) if suspect else []
        if clean and self.table.clear(run.digest):
            self.unreported.pop(run.digest, None)
            self.notify_peers(run.digest, "")
        self.pending_settlements.append(Settlement(run, crashes, clean))
        self.changed.set()

    async def run(self) -> None:
        """Store crashes and results of claimed runs until cancelled; retry on store errors."""
        while True:
            self.changed = anyio.Event()
            try:
                await self.store_all()
            except exceptions.StoreError as error:
                events.emit(events.Event.SUSPECT_REPORT_FAILED, error.detail)
                await anyio.sleep(REPORT_RETRY_S)
                continue
            await self.changed.wait()

    async def store_all(self) -> None:
        """Journal and store all pending results and crashes."""
        while self.pending_settlements:
            settlement = self.pending_settlements[0]
            run = settlement.run
            await self.claims.end(
                run.digest, run.holder, settlement.crashes, clean=settlement.clean
            )
            if settlement.clean:
                await self.journal(records.Suspected(run.digest, 0))
            self.pending_settlements.popleft()
        for digest in list(self.unreported):
            suspect = self.table.find(digest)
            if suspect is not None:
                await self.journal(records.Suspected(digest, suspect.count(), suspect.until))
                self.merge_claim(await self.claims.report(digest, suspect.crashes))
            self.unreported.pop(digest, None)

    def reserve(self, runner: str, holder: str) -> None:
        """Reserve a runner for a suspect."""
        self.reservations[runner] = Reservation(holder, self.now() + RESERVATION_TTL_S)

    def release_reservation(self, run: Run) -> None:
        """Release the runner if it is reserved for this run and notify the peers."""
        reservation = self.reservations.get(run.runner)
        if reservation is not None and reservation.holder == run.holder:
            del self.reservations[run.runner]
            self.send(ttypes.SuspectNotice(digest="", crashes=0, runner=run.runner))

    def notify_peers(self, digest: str, runner: str, *, reserved: bool = False) -> None:
        """Send the crash count of a digest, or a reservation, to the peers."""
        suspect = self.table.find(digest)
        self.send(
            ttypes.SuspectNotice(
                digest=digest,
                crashes=suspect.count() if suspect else 0,
                runner=runner,
                reserved=reserved,
                until=suspect.until if suspect else 0.0,
            )
        )

    def apply_notice(self, notice: ttypes.SuspectNotice) -> None:
        """Apply a peer's notice of a suspect, a reservation or its release."""
        if notice.reserved:
            self.reserve(notice.runner, notice.digest)
        elif not notice.digest:
            self.reservations.pop(notice.runner, None)
            return
        if notice.crashes == 0:
            self.table.clear(notice.digest)
        else:
            self.table.add(notice.digest, count=notice.crashes, until=notice.until)

    def replay(self, record: records.Suspected) -> None:
        """Apply a journalled record, for example after a takeover."""
        if record.crashes == 0:
            self.table.clear(record.digest)
        elif record.until > self.now():
            self.table.add(record.digest, count=record.crashes, until=record.until)
