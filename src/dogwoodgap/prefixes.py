"""Location of the cached prefixes of a node's programs, and the cache orders for them."""

import collections
import collections.abc
import dataclasses

from dogwoodgap import clock, structures
from dogwoodgap import retention as retention_module

INTERRUPTED_TOOL = "(interrupted)"
QUEUE_TOOL = "(queue)"


@dataclasses.dataclass(slots=True)
class PrefixSession:
    """Cached prefix of one live program.

    Attributes
    ----------
    runner : str
        Runner that holds the prefix; empty when none does.
    tokens : int
        Length of the prefix.
    exported : int
        Exported tokens, which any runner can import.
    paused_at : float
        Monotonic time at which the program began to wait; negative while a call runs.
    queued : bool
        Whether the program waits in the node's queue rather than for a tool.
    """

    item: structures.WorkItem
    runner: str = ""
    tokens: int = 0
    exported: int = 0
    paused_at: float = -1.0
    tool: str = ""
    idle_limit_s: float = 900.0
    queued: bool = False


def set_prefix_location(session: PrefixSession) -> None:
    """Copy the location of a program's prefix to its current call."""
    session.item.prefix_runner = session.runner
    session.item.prefix_tokens = session.tokens if session.runner else 0
    session.item.exported_tokens = session.exported


def session_of(item: structures.WorkItem) -> str:
    """Return the session id under which engines cache the program's prefix."""
    return f"{item.customer}/{item.program}"


class SessionTable:
    """Sessions of the live programs of one service on one node.

    Parameters
    ----------
    retention : Retention
        Plug-in that decides what happens to the prefixes of paused programs.
    find_view : callable
        Returns the view of a runner, or None.
    max_exported_tokens : int
        Maximum size of the exported KV cache; the oldest exports are dropped first.
    """

    def __init__(
        self,
        retention: retention_module.Retention,
        find_view: collections.abc.Callable[[str], structures.RunnerView | None],
        max_exported_tokens: int = 2_000_000,
    ):
        self.retention = retention
        self.find_view = find_view
        self.max_exported_tokens = max_exported_tokens
        self.sessions: dict[str, PrefixSession] = {}
        self.exports: collections.OrderedDict[str, int] = collections.OrderedDict()
        self.exported_tokens = 0

    def resume(self, item: structures.WorkItem) -> None:
        """Record the length of a program's pause and set the location of its prefix in the call."""
        session = self.sessions.get(session_of(item))
        if session is None:
            return
        if session.paused_at >= 0.0:
            pause_s = clock.now() - session.paused_at
            self.retention.observe(item.profile, session.tool, pause_s)
        session.item = item
        session.paused_at = clock.now()
        session.tool = QUEUE_TOOL
        session.queued = True
        set_prefix_location(session)

    def mark_running(self, item: structures.WorkItem) -> None:
        """Mark a program as running after its call was granted a runner.

        The session exists from here on, so that reconciliation with an engine's report does not
        release the prefix of a first call whose answer has not reached the node yet.
        """
        session = self.sessions.setdefault(session_of(item), PrefixSession(item))
        if not session.queued:
            return
        self.retention.observe(item.profile, QUEUE_TOOL, clock.now() - session.paused_at)
        session.queued = False
        session.paused_at = -1.0

    def mark_interrupted(self, item: structures.WorkItem) -> None:
        """Mark a program as paused after a refused, cancelled or failed call.

        Its caller may never return, and the idle limit only applies to paused programs.
        """
        session = self.sessions.get(session_of(item))
        if session is not None:
            session.paused_at = clock.now()
            session.tool = INTERRUPTED_TOOL
            session.queued = False

    def order_failed(self, order: structures.CacheOrder) -> None:
        """Point the session back to its runner after a failed export.

        A failed release needs no action, since :meth:`reconcile` repeats it.
        """
        session = self.sessions.get(order.session)
        if order.action != structures.CacheAction.EXPORT or session is None:
            return
        self.drop_export(order.session)
        session.exported = 0
        if not session.runner:
            session.runner = order.runner

    def record_prefix(self, item: structures.WorkItem, runner: str, tokens: int) -> None:
        """Record that a runner holds the prefix of a program after a finished call."""
        name = session_of(item)
        self.drop_export(name)
        session = self.sessions.get(name)
        if session is None:
            session = self.sessions[name] = PrefixSession(item)
        session.item = item
        session.runner = runner
        session.tokens = tokens
        session.exported = 0
        session.queued = False
        session.paused_at = clock.now()
        session.tool = ""

    def release_old_copy(
        self, item: structures.WorkItem, runner: str
    ) -> list[structures.CacheOrder]:
        """Return the release of the old copy if a call ran on another runner."""
        if not self.retention.releases_memory or item.prefix_runner in ("", runner):
            return []
        return [self.release_order(item.prefix_runner, session_of(item), "moved")]

    def pause(
        self, item: structures.WorkItem, tool: str, idle_limit_s: float
    ) -> list[structures.CacheOrder]:
        """Mark a program as waiting for a tool and decide what to do with its prefix."""
        session = self.sessions.get(session_of(item))
        if session is None:
            return []
        session.paused_at = clock.now()
        session.tool = tool
        session.idle_limit_s = idle_limit_s
        return self.decide_retention(session)

    def decide_retention(self, session: PrefixSession) -> list[structures.CacheOrder]:
        """Return the order to export or release a paused program's prefix; empty to retain it."""
        view = self.find_view(session.runner)
        if view is None:
            return []
        pause = structures.Pause(
            profile=session.item.profile,
            tool=session.tool,
            tokens=session.tokens,
            elapsed_s=clock.now() - session.paused_at,
            pressure=view.cached_tokens / max(view.cache_tokens, 1),
            memory_tokens=view.cache_tokens,
            prefill_tokens_per_s=view.prefill_tokens_per_s,
            latency_weight=session.item.latency_weight,
            cache_weight=session.item.cache_weight,
        )
        action = self.retention.choose(pause)
        if action == structures.CacheAction.RETAIN:
            return []
        name = session_of(session.item)
        order = structures.CacheOrder(action, session.runner, name, session.tokens, "pause")
        view.cached_tokens = max(0, view.cached_tokens - session.tokens)
        session.runner = ""
        if action == structures.CacheAction.EXPORT:
            self.add_export(name, session)
        if session.queued:
            set_prefix_location(session)
        return [order]

    def end_program(self, customer: str, program: str) -> list[structures.CacheOrder]:
        """Remove a program's session and return the release of its prefix."""
        name = f"{customer}/{program}"
        self.drop_export(name)
        session = self.sessions.pop(name, None)
        if session is None or not session.runner or not self.retention.releases_memory:
            return []
        return [self.release_order(session.runner, name, "ended")]

    def sweep(self) -> list[structures.CacheOrder]:
        """Re-evaluate the prefixes of paused programs and end idle programs."""
        orders: list[structures.CacheOrder] = []
        now = clock.now()
        for name, session in list(self.sessions.items()):
            if session.paused_at < 0.0:
                continue
            if not session.queued and now - session.paused_at >= session.idle_limit_s:
                orders += self.end_program(session.item.customer, session.item.program)
                self.sessions.pop(name, None)
            elif session.runner:
                orders += self.decide_retention(session)
        return orders

    def reconcile(
        self, runner: str, held_sessions: collections.abc.Iterable[str]
    ) -> list[structures.CacheOrder]:
        """Return releases for held sessions that are not live or live on another runner.

        Parameters
        ----------
        runner : str
            Runner that reported its sessions.
        held_sessions : iterable of str
            Sessions of this node's shards that the runner holds.
        """
        if not self.retention.releases_memory:
            return []
        orders = []
        for name in held_sessions:
            session = self.sessions.get(name)
            if session is None or (session.paused_at >= 0.0 and session.runner != runner):
                orders.append(self.release_order(runner, name, "not live"))
        return orders

    def apply_cache_event(self, runner: str, name: str, tokens: int) -> None:
        """Shorten a session's prefix after an engine reported an eviction."""
        session = self.sessions.get(name)
        if session is not None and session.runner == runner and session.paused_at >= 0.0:
            session.tokens = min(session.tokens, tokens)
            if tokens <= 0:
                session.runner = ""
            if session.queued:
                set_prefix_location(session)

    def release_order(self, runner: str, name: str, reason: str) -> structures.CacheOrder:
        """Return the order to release a session on a runner."""
        return structures.CacheOrder(structures.CacheAction.RELEASE, runner, name, reason=reason)

    def add_export(self, name: str, session: PrefixSession) -> None:
        """Add an export and drop the oldest ones beyond the size limit."""
        self.drop_export(name)
        session.exported = session.tokens
        self.exports[name] = session.tokens
        self.exported_tokens += session.tokens
        while self.exported_tokens > self.max_exported_tokens:
            oldest = next(iter(self.exports))
            self.drop_export(oldest)
            if oldest in self.sessions:
                self.sessions[oldest].exported = 0

    def drop_export(self, name: str) -> None:
        """Remove an export from the size count."""
        self.exported_tokens -= self.exports.pop(name, 0)
