"""State that a node tracks per runner: load reports, requests sent and leaving notices."""

import collections
import collections.abc
import dataclasses

import anyio

from dogwoodgap import adapters, clock, structures

SAMPLE_INTERVAL_S = 0.1
SAMPLE_HISTORY_S = 10.0
FRESH_REPORT_S = 2.0
REPORT_DECAY_S = 5.0
"""Age beyond ``FRESH_REPORT_S`` at which a load report counts half."""

REFUSED_LEAVING_S = 5.0
"""Time for which a 503 answer alone marks a runner as leaving; then load reports decide."""

NOTICE_TTL_S = 5.0
NOTICE_INTERVAL_S = 2.0

LoadFetcher = collections.abc.Callable[
    [structures.RunnerView], collections.abc.Awaitable[adapters.LoadReport]
]


@dataclasses.dataclass(frozen=True, slots=True)
class SentSample:
    """Number of requests sent to a runner up to a monotonic time."""

    at: float
    total: int


class SentHistory:
    """Cumulative count of sent requests, with samples of the last ``SAMPLE_HISTORY_S``."""

    def __init__(self) -> None:
        self.samples: collections.deque[SentSample] = collections.deque()
        self.total = 0

    def record(self, total: int) -> None:
        """Record the current cumulative count."""
        now = clock.now()
        if total < self.total:
            # The peer has restarted and counts from zero.
            self.samples.clear()
        self.total = total
        if self.samples and now - self.samples[-1].at < SAMPLE_INTERVAL_S:
            return
        self.samples.append(SentSample(now, total))
        while len(self.samples) > 1 and self.samples[1].at < now - SAMPLE_HISTORY_S:
            self.samples.popleft()

    def since(self, at: float) -> int:
        """Return how many requests were sent after a monotonic time."""
        total_before = self.samples[0].total if self.samples else self.total
        for sample in reversed(self.samples):
            if sample.at <= at:
                total_before = sample.total
                break
        return max(0, self.total - total_before)


class TrackedRunner:
    """State that the directory keeps for a runner in addition to its view.

    Attributes
    ----------
    last_written_sends : int
        Value of ``sent_since_report`` that the directory wrote last; any increase since then comes
        from calls of this node.
    own_report : bool
        Whether this node polled the last report itself, and so includes it in its load updates.
    send_version : int
        Incremented when requests were sent, which is announced to all peers.
    report_version : int
        Incremented with each own report, which is announced to peers in the data centre.
    refused_until : float
        Monotonic time until which a 503 answer marks the runner as leaving.
    leaving_by_peer : dict
        Monotonic time at which each peer's notice expires; peers repeat it while it applies.
    """

    def __init__(self, view: structures.RunnerView, fetch_load: LoadFetcher):
        self.view = view
        self.fetch_load = fetch_load
        self.own_sends = SentHistory()
        self.peer_sends: dict[str, SentHistory] = {}
        self.report = adapters.LoadReport()
        self.last_written_sends = 0
        self.own_report = False
        self.send_version = 0
        self.report_version = 0
        self.refused_until = 0.0
        self.leaving_by_load = False
        self.leaving_by_platform = False
        self.leaving_by_peer: dict[str, float] = {}
        self.announced_leaving = False
        self.announced_at = -1.0
        self.scope = anyio.CancelScope()

    def change_version(self, local: bool) -> int:
        """Return a number that changes with each update for a peer, ``local`` or remote."""
        return self.send_version + self.report_version if local else self.send_version

    def count_new_sends(self) -> None:
        """Add the requests that the dispatcher counted in the view to this node's total."""
        new_sends = self.view.sent_since_report - self.last_written_sends
        if new_sends > 0:
            self.send_version += 1
        self.own_sends.record(self.own_sends.total + max(0, new_sends))
        self.last_written_sends = self.view.sent_since_report

    def update_view_load(self) -> None:
        """Write the decayed load of the last report and the requests sent since to the view."""
        self.count_new_sends()
        view = self.view
        if view.reported_at < 0.0:
            return
        age_s = clock.now() - view.reported_at
        decay = REPORT_DECAY_S / (REPORT_DECAY_S + max(0.0, age_s - FRESH_REPORT_S))
        view.queued = round(self.report.queued * decay)
        view.running = max(round(self.report.running * decay), 0)
        sent = self.own_sends.since(view.reported_at)
        sent += sum(peer.since(view.reported_at) for peer in self.peer_sends.values())
        view.sent_since_report = sent
        self.last_written_sends = sent

    def accept_report(self, report: adapters.LoadReport) -> None:
        """Apply a load report unless a newer one was applied before."""
        made_at = clock.now() - report.age_s
        if made_at < self.view.reported_at:
            return
        self.report = report
        self.view.reported_at = made_at
        self.view.cached_tokens = report.cached_tokens
        self.leaving_by_load = report.leaving
        self.update_view_load()

    def own_leaving(self) -> bool:
        """Return whether this node itself observed that the runner is leaving."""
        refused = clock.now() < self.refused_until
        return refused or self.leaving_by_load or self.leaving_by_platform

    def leaving(self) -> bool:
        """Return whether this node or any peer reports that the runner is leaving."""
        now = clock.now()
        return self.own_leaving() or any(until > now for until in self.leaving_by_peer.values())
