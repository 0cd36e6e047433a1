"""Requests suspected of crashing runners.

A runner that crashes makes every request in flight on it suspect. A suspect runs again only
alone on a runner, by one node at a time. A clean run clears it, a second crash has it refused.

What cannot be excluded: requests with one digest that several nodes sent before the first crash
was known to them may each take a runner with them, and a holder that dies together with its
runner leaves a claim without the crash. Everything later is limited to two lost runners.
"""

import collections
import collections.abc
import contextlib
import dataclasses
import uuid

import anyio

from dogwoodgap import clock, connections, events, exceptions, records, shards, structures, suspects
from dogwoodgap_wire import ttypes

SETTLE_S = 1.0
"""Time for a reservation to reach the peers before the runner's load is read. It also exceeds
``REPORT_RETRY_S``, so that crashes seen by others are stored before a suspect runs."""

IDLE_WAIT_S = 60.0
IDLE_POLL_S = 0.25
RESERVATION_S = 180.0
"""Peers give up a reservation after this time, since its holder may have died."""

REPORT_RETRY_S = 0.5
MAX_RUNS_OF_ONE_DIGEST = 2
"""Runners of this node that may run one unsuspected digest at once: each may be lost."""

Journal = collections.abc.Callable[[records.Suspected], collections.abc.Awaitable[None]]
Send = collections.abc.Callable[[ttypes.SuspectNotice], None]
Idle = collections.abc.Callable[[structures.RunnerView, float], collections.abc.Awaitable[bool]]
ProbeRunner = collections.abc.Callable[
    [structures.RunnerView], collections.abc.Awaitable[connections.ProbeResult]
]


@dataclasses.dataclass(slots=True)
class Run:
    """One request in flight on a runner; ``holder`` names its claim when it runs alone."""

    digest: str
    runner: str
    urgent: bool = False
    holder: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class Reservation:
    """A runner that is kept free for a suspect until a wall time."""

    holder: str
    until: float


@dataclasses.dataclass(frozen=True, slots=True)
class Settlement:
    """The end of a claimed run, to be stored."""

    run: Run
    crashes: list[suspects.Crash]
    clean: bool


class Quarantine:
    """Suspects, requests in flight and reserved runners, as one node sees them.

    Parameters
    ----------
    journal : callable
        Stores a record; returns when it is committed.
    send : callable
        Sends a notice to all peers, in the background.
    idle : callable
        Whether a runner's load report, made at least ``since`` (monotonic time), shows no work.
    probe : callable
        Opens a fresh connection to a runner.
    reserve_limit : callable
        How many runners of a service may be kept free for suspects at once.
    boot : callable
        Returns the present boot of this node, which holds its claims.
    """

    def __init__(
        self,
        node: str,
        *,
        claims: suspects.Claims,
        journal: Journal,
        send: Send,
        idle: Idle,
        probe: ProbeRunner,
        reserve_limit: collections.abc.Callable[[str], int] = lambda service: 1,
        boot: collections.abc.Callable[[], shards.Owner | None] = lambda: None,
        now: collections.abc.Callable[[], float] = clock.wall,
    ):
        self.node = node
        self.boot = boot
        self.claims = claims
        self.journal = journal
        self.send = send
        self.idle = idle
        self.probe = probe
        self.now = now
        self.table = suspects.SuspectTable(now)
        self.reserve_limit = reserve_limit
        self.in_flight: dict[str, list[Run]] = collections.defaultdict(list)
        self.reservations: dict[str, Reservation] = {}
        self.settlements: collections.deque[Settlement] = collections.deque()
        self.unreported: dict[str, None] = {}
        self.changed = anyio.Event()

    def reserved(self, view: structures.RunnerView) -> bool:
        """Return whether a runner is kept free for a suspect; such a runner gets no work."""
        found = self.reservations.get(structures.runner_key(view))
        return found is not None and found.until > self.now()

    def may_place(self, digest: str, view: structures.RunnerView) -> bool:
        """Return whether placement may choose a runner for a digest."""
        return not self.reserved(view) and self.spread(digest, view) < MAX_RUNS_OF_ONE_DIGEST

    @contextlib.asynccontextmanager
    async def guarded(
        self, digest: str, view: structures.RunnerView, *, urgent: bool = False
    ) -> collections.abc.AsyncIterator[None]:
        """Run a request on a runner; a suspect first waits until it is alone there.

        Parameters
        ----------
        urgent : bool
            The request must not wait. It never becomes suspect next to others, since it could
            not be cleared by running alone, and a lost belt stop is worse than a lost runner.

        Raises
        ------
        QuarantinedError, OverloadedError, StoreUnavailableError
            When it may not run; nothing was sent.
        """
        self.table.check(digest)
        if self.table.find(digest) is not None and not urgent:
            async with self.alone(digest, view):
                yield
            return
        if not urgent and self.spread(digest, view) >= MAX_RUNS_OF_ONE_DIGEST:
            raise exceptions.OverloadedError(
                "the same request runs on two runners already; repeat it when one has finished"
            )
        run = Run(digest, structures.runner_key(view), urgent)
        self.begin(run)
        try:
            yield
        except exceptions.RunnerFailedError as error:
            if connections.may_indicate_crash(error):
                await self.confirm(view)
            raise
        finally:
            self.finish(run)

    @contextlib.asynccontextmanager
    async def alone(
        self, digest: str, view: structures.RunnerView
    ) -> collections.abc.AsyncIterator[None]:
        """Run a suspect alone on a runner, under its claim."""
        claim = Run(digest, structures.runner_key(view), holder=f"{self.node}/{uuid.uuid4().hex}")
        clean = False
        try:
            await self.claim(claim)
            await self.empty(claim, view)
            # Crashes of runs that started before this claim may have been stored meanwhile.
            await self.claim(claim)
            self.begin(claim)
            yield
            clean = True
        except exceptions.RunnerFailedError as error:
            if connections.may_indicate_crash(error):
                await self.confirm(view)
            raise
        finally:
            self.finish(claim)
            self.free(claim)
            self.settle(claim, clean=clean)

    async def claim(self, run: Run) -> None:
        """Journal the suspicion and take the claim before a second run."""
        suspect = self.table.find(run.digest) or self.table.add(run.digest)
        try:
            await self.journal(records.Suspected(run.digest, suspect.count(), suspect.until))
            claim = await self.claims.acquire(run.digest, suspect.crashes, run.holder, self.boot())
        except exceptions.StoreError as error:
            raise exceptions.StoreUnavailableError(
                "the request is suspected of crashing runners and runs again only when the "
                f"platform answers ({error.detail}); repeat it later",
                not_run="true",
            ) from error
        self.learn(claim)
        self.table.check(run.digest)

    def learn(self, claim: suspects.Claim) -> None:
        """Take over the stored crashes, and tell the peers when their sum is news."""
        known = self.table.find(claim.digest)
        before = known.count() if known else 0
        after = self.table.add(claim.digest, claim.crashes, until=claim.until).count()
        if after > before:
            self.notice(claim.digest, "")

    async def empty(self, run: Run, view: structures.RunnerView) -> None:
        """Reserve a runner and wait until nothing runs there any more."""
        with anyio.move_on_after(IDLE_WAIT_S):
            while True:
                if self.may_reserve(view):
                    break
                await anyio.sleep(IDLE_POLL_S)
            self.reserve(run.runner, run.holder)
            self.notice(run.digest, run.runner, reserved=True)
            await anyio.sleep(SETTLE_S)
            settled_at = clock.now()
            while True:
                if not self.in_flight.get(run.runner) and await self.idle(view, settled_at):
                    return
                await anyio.sleep(IDLE_POLL_S)
        raise exceptions.OverloadedError(
            f"runner {view.id} did not become free to run a suspect request alone; repeat later"
        )

    def may_reserve(self, view: structures.RunnerView) -> bool:
        """Return whether one more runner of the service may be kept free.

        Without a limit, the bystanders of one crash would reserve all runners at once.
        """
        prefix = f"{view.service}/"
        taken = [
            key
            for key, item in self.reservations.items()
            if key.startswith(prefix) and item.until > self.now()
        ]
        limit = max(1, self.reserve_limit(view.service))
        return structures.runner_key(view) not in taken and len(taken) < limit

    def spread(self, digest: str, view: structures.RunnerView) -> int:
        """Return on how many other runners a digest is in flight."""
        key = structures.runner_key(view)
        return sum(
            any(run.digest == digest for run in runs)
            for runner, runs in self.in_flight.items()
            if runner != key
        )

    def begin(self, run: Run) -> None:
        """Note a request as in flight."""
        self.in_flight[run.runner].append(run)

    def finish(self, run: Run) -> None:
        """Note a request as no longer in flight."""
        runs = self.in_flight.get(run.runner, [])
        if run in runs:
            runs.remove(run)
        if not runs:
            self.in_flight.pop(run.runner, None)

    async def confirm(self, view: structures.RunnerView) -> bool:
        """Open a fresh connection after a broken one; a refused one is a crash."""
        if await self.probe(view) is not connections.ProbeResult.REFUSED:
            return False
        self.crashed(view)
        return True

    def crashed(self, view: structures.RunnerView) -> list[str]:
        """Suspect everything that is in flight on a crashed runner; returns the digests."""
        key = structures.runner_key(view)
        runs = [run for run in self.in_flight.get(key, []) if not run.urgent]
        if not runs:
            # Nothing ran beside an urgent request that could have been the cause.
            runs = self.in_flight.get(key, [])
        digests = []
        for run in runs:
            known = self.table.find(run.digest)
            before = len(known.crashes) if known else 0
            crash = suspects.Crash(key, self.now(), run.holder)
            # Several calls and the poll of the directory confirm the same crash. Crashes that
            # peers counted do not matter here: each node's own ones must reach the store.
            if len(self.table.add(run.digest, [crash]).crashes) > before:
                digests.append(run.digest)
        for digest in digests:
            self.unreported[digest] = None
            self.notice(digest, key)
        if digests:
            self.changed.set()
            events.emit(
                events.Event.RUNNER_CRASHED, "runner crashed", runner=key, suspects=len(digests)
            )
        return digests

    def settle(self, run: Run, *, clean: bool) -> None:
        """Clear a digest that ran alone; ``run`` gives the claim back."""
        suspect = self.table.find(run.digest)
        crashes = list(suspect.crashes) if suspect else []
        if clean and self.table.clear(run.digest):
            self.unreported.pop(run.digest, None)
            self.notice(run.digest, "")
        self.settlements.append(Settlement(run, crashes, clean))
        self.changed.set()

    async def run(self) -> None:
        """Store crashes and settled claims, so that all nodes' crashes add up; never returns."""
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
        """Journal and store everything that is not stored yet."""
        while self.settlements:
            done = self.settlements[0]
            run = done.run
            await self.claims.end(run.digest, run.holder, done.crashes, clean=done.clean)
            if done.clean:
                await self.journal(records.Suspected(run.digest, 0))
            self.settlements.popleft()
        for digest in list(self.unreported):
            suspect = self.table.find(digest)
            if suspect is not None:
                await self.journal(records.Suspected(digest, suspect.count(), suspect.until))
                self.learn(await self.claims.report(digest, suspect.crashes))
            self.unreported.pop(digest, None)

    def reserve(self, runner: str, holder: str) -> None:
        """Keep a runner free for a suspect."""
        self.reservations[runner] = Reservation(holder, self.now() + RESERVATION_S)

    def free(self, run: Run) -> None:
        """Give a runner back if this run reserved it."""
        found = self.reservations.get(run.runner)
        if found is not None and found.holder == run.holder:
            del self.reservations[run.runner]
            self.send(ttypes.SuspectNotice(digest="", crashes=0, runner=run.runner))

    def notice(self, digest: str, runner: str, *, reserved: bool = False) -> None:
        """Tell the peers."""
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

    def receive(self, notice: ttypes.SuspectNotice) -> None:
        """Take over what a peer knows."""
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
        """Apply a journalled record, as after a takeover."""
        if record.crashes == 0:
            self.table.clear(record.digest)
        elif record.until > self.now():
            self.table.add(record.digest, count=record.crashes, until=record.until)
