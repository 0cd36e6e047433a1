"""Sessions held in the engines' caches, and the release of those whose programs have ended."""

import collections
import collections.abc
import dataclasses

import anyio

from dogwoodgap import adapters, clock, events, exceptions, structures

LOOP_INTERVAL_S = 0.5
EVENTS_INTERVAL_S = 2.0
WATCH_AFTER_RELEASE_S = 30.0
"""Time for which events are polled after a release, since a call that was still running may store
the session again."""

MIN_RECONCILE_INTERVAL_S = 30.0
RECONCILE_S_PER_RUNNER = 1.0
"""Limits a node to about one full list per second, regardless of the number of runners."""

RECONCILE_AFTER_GAP_S = 3.0
MIN_RETRY_S = 0.5
MAX_RETRY_S = 30.0
MAX_CONCURRENT_REQUESTS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class HeldSession:
    """Session in a runner's cache, as observed at a monotonic time."""

    tokens: int
    observed_at: float


@dataclasses.dataclass(slots=True)
class PendingRelease:
    """Release that the engine has not confirmed yet."""

    session: str
    due_at: float = 0.0
    delay_s: float = MIN_RETRY_S


class RunnerCache:
    """Known state of one engine's cache."""

    def __init__(self) -> None:
        self.held: dict[str, HeldSession] = {}
        self.releases: dict[str, PendingRelease] = {}
        self.cursor = 0
        self.events_due_at = 0.0
        self.watched_until = 0.0
        self.reconcile_due_at = 0.0
        self.busy = False

    def next_due_at(self) -> float:
        """Return the monotonic time at which the next request is due."""
        due_times = [self.reconcile_due_at, *(release.due_at for release in self.releases.values())]
        if self.held or self.watched_until > clock.now():
            due_times.append(self.events_due_at)
        return min(due_times)


class CacheView:
    """One node's view of the caches of all model engines.

    Parameters
    ----------
    engine : adapters.EngineAdapter
        Sends requests to the engines.
    views : callable
        Returns the views of all runners of model services.
    is_live : callable
        Returns whether a session's program is live, or ``None`` if this node does not own the
        shard or has not loaded it yet.
    """

    def __init__(
        self,
        engine: adapters.EngineAdapter,
        views: collections.abc.Callable[[], list[structures.RunnerView]],
        is_live: collections.abc.Callable[[str], bool | None],
    ):
        self.engine = engine
        self.views = views
        self.is_live = is_live
        self.caches: dict[str, RunnerCache] = collections.defaultdict(RunnerCache)
        self.limiter = anyio.Semaphore(MAX_CONCURRENT_REQUESTS)

    def tokens(self, view: structures.RunnerView, session: str) -> int:
        """Return how many tokens of a session a runner holds, as far as known."""
        held = self.caches[structures.runner_key(view)].held.get(session)
        return held.tokens if held else 0

    def holders(self, session: str) -> list[str]:
        """Return the keys of the runners that hold a session, as far as known."""
        return [key for key, cache in self.caches.items() if session in cache.held]

    def record_use(self, view: structures.RunnerView, session: str, tokens: int) -> None:
        """Record that a call of this node left its prefix on a runner."""
        cache = self.caches[structures.runner_key(view)]
        cache.held[session] = HeldSession(tokens, clock.now())

    def release(self, session: str, extra_runners: collections.abc.Iterable[str] = ()) -> None:
        """Release a session on all runners that may hold it.

        Parameters
        ----------
        extra_runners : iterable of str
            Keys of further runners, for example from the program's journalled turns.
        """
        for key in {*self.holders(session), *extra_runners}:
            cache = self.caches[key]
            cache.releases.setdefault(session, PendingRelease(session))

    async def run(self) -> None:
        """Poll events, reconcile caches and send releases until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                views = {structures.runner_key(view): view for view in self.views()}
                for key in set(self.caches) - set(views):
                    del self.caches[key]
                for key, view in views.items():
                    cache = self.caches[key]
                    if cache.busy or view.down or cache.next_due_at() > clock.now():
                        continue
                    cache.busy = True
                    tasks.start_soon(self.run_due_work, view, cache, len(views))
                await anyio.sleep(LOOP_INTERVAL_S)

    async def run_due_work(
        self, view: structures.RunnerView, cache: RunnerCache, runners: int
    ) -> None:
        """Send the requests that are due to one runner."""
        try:
            async with self.limiter:
                await self.release_due(view, cache)
                if cache.reconcile_due_at <= clock.now():
                    interval_s = max(MIN_RECONCILE_INTERVAL_S, RECONCILE_S_PER_RUNNER * runners)
                    cache.reconcile_due_at = clock.now() + interval_s
                    await self.reconcile(view, cache)
                if cache.events_due_at <= clock.now():
                    cache.events_due_at = clock.now() + EVENTS_INTERVAL_S
                    await self.poll_events(view, cache)
        except exceptions.RunnerFailedError as error:
            events.emit(events.Event.CACHE_RELEASE_FAILED, error.detail, runner=view.id)
        finally:
            cache.busy = False

    async def release_due(self, view: structures.RunnerView, cache: RunnerCache) -> None:
        """Send due releases, with exponential backoff until the engine confirms them."""
        now = clock.now()
        for release in [entry for entry in cache.releases.values() if entry.due_at <= now]:
            if self.is_live(release.session) is not False:
                del cache.releases[release.session]
                continue
            release.due_at = now + release.delay_s
            release.delay_s = min(MAX_RETRY_S, 2.0 * release.delay_s)
            await self.engine.release(view, release.session)
            cache.held.pop(release.session, None)
            cache.releases.pop(release.session, None)
            cache.watched_until = clock.now() + WATCH_AFTER_RELEASE_S

    async def reconcile(self, view: structures.RunnerView, cache: RunnerCache) -> None:
        """Fetch the full list of sessions and release those of ended programs."""
        started_at = clock.now()
        cached_sessions = await self.engine.cache(view)
        newer = {
            session: held for session, held in cache.held.items() if held.observed_at >= started_at
        }
        cache.held = {
            cached.session: HeldSession(cached.tokens, started_at)
            for cached in cached_sessions
            if self.is_live(cached.session) is not None
        }
        cache.held |= newer
        pending_before = len(cache.releases)
        for cached in cached_sessions:
            self.release_if_ended(cache, cached.session)
        ended = len(cache.releases) - pending_before
        if ended:
            events.emit(
                events.Event.CACHE_RELEASED,
                "cache reconciliation found sessions of ended programs",
                runner=view.id,
                sessions=ended,
            )

    async def poll_events(self, view: structures.RunnerView, cache: RunnerCache) -> None:
        """Apply new events; after a gap or an engine restart, reconcile soon."""
        page = await self.engine.cache_events(view, cache.cursor)
        if page.cursor < cache.cursor:
            cache.held.clear()
        events_lost = page.cursor - cache.cursor != len(page.events)
        cache.cursor = page.cursor
        for event in page.events:
            self.apply_event(cache, event)
        if events_lost:
            due_at = clock.now() + RECONCILE_AFTER_GAP_S
            cache.reconcile_due_at = min(cache.reconcile_due_at, due_at)

    def apply_event(self, cache: RunnerCache, event: adapters.CacheEvent) -> None:
        """Apply one event; a recent call of this node overrides a removal."""
        if event.kind != "stored":
            held = cache.held.get(event.session)
            if held is not None and held.observed_at < clock.now() - EVENTS_INTERVAL_S:
                del cache.held[event.session]
        elif self.is_live(event.session):
            cache.held[event.session] = HeldSession(event.tokens, clock.now())
        else:
            self.release_if_ended(cache, event.session)

    def release_if_ended(self, cache: RunnerCache, session: str) -> None:
        """Release a session if its program is known to have ended."""
        if self.is_live(session) is False and session not in cache.releases:
            cache.releases[session] = PendingRelease(session)
