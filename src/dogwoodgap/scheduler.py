"""Dispatcher: queues the model calls of a service and assigns them to runners."""

import collections
import collections.abc
import dataclasses

import anyio
import sortedcontainers

from dogwoodgap import admission as admission_module
from dogwoodgap import clock, exceptions, models, placement, prefixes, registry, structures
from dogwoodgap import ordering as ordering_module
from dogwoodgap import retention as retention_module

# Engine queue length per slot. A shorter queue leaves slots empty between a finish and the node's
# next send; a longer one binds calls to runners too early.
MAX_ENGINE_QUEUE_RATIO = 0.25
# Queued calls that one dispatch round may skip because their runner has no capacity.
MAX_SKIPPED_CALLS = 8
OUTPUT_TOKENS_SMOOTHING = 0.05
# Admission scales estimates by the ratio of actual to estimated durations. The ratio is capped so
# that a stalled runner does not make admission refuse everything.
ESTIMATE_RATIO_SMOOTHING = 0.02
MAX_ESTIMATE_RATIO = 4.0
GRANT_INTERVAL_SMOOTHING = 0.05
# Expected output of a profile before its first call has finished.
DEFAULT_OUTPUT_TOKENS = 256.0
MAX_PROFILES = 1_024
MAX_TIMESTAMPS = 4_096


@dataclasses.dataclass(slots=True)
class QueuedCall:
    """A call in the node's queue, ordered by key and then by arrival."""

    key: int
    arrival: int
    item: structures.WorkItem
    placement: structures.Placement | None = None
    granted: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def __lt__(self, other: "QueuedCall") -> bool:
        return (self.key, self.arrival) < (other.key, other.arrival)


class Dispatcher:
    """Queues and places the model calls of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    runners : callable
        Returns the current views of the service's runners.
    ordering, placement, retention, admission : plug-ins, optional
        Default to the plug-ins that :class:`models.Service` names.
    data_centre : str, optional
        The node's own data centre.
    seed : int, optional
        Seed for sampling runners.
    """

    def __init__(
        self,
        service: str,
        runners: collections.abc.Callable[[], list[structures.RunnerView]],
        *,
        ordering: ordering_module.Ordering | None = None,
        placement: placement.Placement | None = None,
        retention: retention_module.Retention | None = None,
        admission: admission_module.Admission | None = None,
        data_centre: str = "",
        seed: int = 0,
    ):
        registry.load()
        self.service = service
        self.runners = runners
        self.ordering = ordering or registry.create("ordering", "program")
        self.placement = placement or registry.create("placement", "estimated-finish")
        self.retention = retention or registry.create("retention", "cost")
        self.admission = admission or registry.create("admission", "deadline")
        self.index = create_index(data_centre, seed)
        self.queue: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self.sessions = prefixes.SessionTable(self.retention, self.view)
        self.output_tokens: dict[str, float] = {}
        self.sends: dict[str, collections.deque[float]] = {}
        self.finishes: dict[str, collections.deque[float]] = {}
        self.estimate_ratio = 1.0
        self.grant_interval_s = 0.0
        self.granted_at = -1.0
        self.arrivals = 0
        self.refused = 0

    async def acquire(self, item: structures.WorkItem) -> structures.Placement:
        """Wait for a runner and count the call as in flight there.

        Raises
        ------
        OverloadedError
            If the call is refused or its deadline passes first. The call was not sent.
        """
        self.sessions.resume(item)
        try:
            return await self.admit_and_wait(item)
        except BaseException as error:
            self.refused += isinstance(error, exceptions.OverloadedError)
            self.sessions.mark_interrupted(item)
            raise

    async def admit_and_wait(self, item: structures.WorkItem) -> structures.Placement:
        """Admit a call and wait until a runner is granted."""
        mean_output_tokens = self.output_tokens.get(item.profile, DEFAULT_OUTPUT_TOKENS)
        item.expected_output_tokens = max(1, min(int(mean_output_tokens), item.max_tokens))
        self.index.refresh(self.runners())
        choice = self.placement.choose(item, self.index)
        self.arrivals += 1
        queued = QueuedCall(self.ordering.key(item), self.arrivals, item)
        self.admit(queued, choice)
        if choice is not None and not self.queue and self.can_dispatch(choice):
            self.grant(queued, choice)
            return queued.placement
        self.queue.add(queued)
        self.dispatch()
        if queued.placement is None:
            await self.wait_for_grant(queued)
        return queued.placement

    def can_dispatch(self, choice: placement.Choice) -> bool:
        """Return whether a call may be sent to the chosen runner now."""
        return not self.placement.queues_at_node or has_capacity(choice.runner)

    def admit(self, queued: QueuedCall, choice: placement.Choice | None) -> None:
        """Raise ``OverloadedError`` for a call that would miss its deadline.

        A call that finds a free slot is always admitted: refusing it would save nothing, and its
        outcome is needed to correct the estimates.
        """
        if choice is not None and not self.queue and choice.runner.load() < choice.runner.slots:
            return
        finish_s = self.queue_wait_s(queued)
        if choice is not None:
            finish_s += choice.finish_s * self.estimate_ratio
        retry_after_s = self.admission.refuse_after_s(queued.item, finish_s, len(self.queue))
        if retry_after_s is None:
            return
        raise exceptions.OverloadedError(
            f"service {self.service} would finish the call after its deadline; "
            "retry later or with a longer deadline",
            not_run="true",
            retry_after_s=retry_after_s,
        )

    def queue_wait_s(self, queued: QueuedCall) -> float:
        """Return the expected wait behind the calls that come first in this node's queue.

        It is based on the observed time between grants, which reflects the load from other nodes.
        """
        return self.queue.bisect_left(queued) * self.grant_interval_s

    def record_grant(self) -> None:
        """Update the mean time between grants, measured only while calls are queued."""
        now = clock.now()
        if self.granted_at >= 0.0:
            interval_s = now - self.granted_at
            self.grant_interval_s += GRANT_INTERVAL_SMOOTHING * (interval_s - self.grant_interval_s)
        self.granted_at = now if self.queue else -1.0

    async def wait_for_grant(self, queued: QueuedCall) -> None:
        """Wait until a runner is granted; raise ``OverloadedError`` when the deadline passes."""
        remaining_s = max(0.0, queued.item.deadline_at - clock.now())
        try:
            with anyio.move_on_after(remaining_s):
                await queued.granted.wait()
        except BaseException:
            self.undo_wait(queued)
            raise
        if queued.placement is None:
            self.queue.discard(queued)
            raise exceptions.OverloadedError(
                f"no runner of {self.service} was free before the deadline; retry later",
                not_run="true",
            )

    def undo_wait(self, queued: QueuedCall) -> None:
        """Dequeue a cancelled call, or release the runner that it was already granted."""
        if queued.placement is None:
            self.queue.discard(queued)
        else:
            self.release(queued.placement, failed=True)

    def dispatch(self) -> None:
        """Grant runners to queued calls, lowest key first."""
        self.index.refresh(self.runners())
        if self.placement.queues_at_node and not any(map(has_capacity, self.index.sample())):
            return
        skipped = 0
        position = 0
        while position < len(self.queue) and skipped < MAX_SKIPPED_CALLS:
            queued = self.queue[position]
            choice = self.placement.choose(queued.item, self.index)
            if choice is None:
                return
            if not self.can_dispatch(choice):
                skipped += 1
                position += 1
                continue
            del self.queue[position]
            self.record_grant()
            self.grant(queued, choice)

    def grant(self, queued: QueuedCall, choice: placement.Choice) -> None:
        """Assign a call to a runner and wake its waiting task."""
        item = queued.item
        view = choice.runner
        view.in_flight += 1
        view.sent_since_report += 1
        timestamps_for(self.sends, view.id).append(clock.now())
        held_tokens = item.prefix_tokens if view.id == item.prefix_runner else 0
        importable_tokens = item.prefix_tokens if choice.transfers else item.exported_tokens
        queued.placement = structures.Placement(
            view,
            priority=queued.key,
            estimated_finish_s=choice.finish_s,
            import_tokens=importable_tokens if importable_tokens > held_tokens else 0,
            export_from=item.prefix_runner if choice.transfers else "",
            item=item,
        )
        self.sessions.mark_running(item)
        queued.granted.set()

    def release(self, placement: structures.Placement, *, failed: bool = False) -> None:
        """Count a call as no longer in flight and dispatch queued calls."""
        view = placement.runner
        view.in_flight -= 1
        view.finished_since_report += 1
        timestamps_for(self.finishes, view.id).append(clock.now())
        if failed and placement.item is not None:
            self.sessions.mark_interrupted(placement.item)
        self.notify()

    def call_finished(
        self, placement: structures.Placement, output_tokens: int, duration_s: float
    ) -> list[structures.CacheOrder]:
        """Update estimates and usage after a complete answer; call before :meth:`release`.

        Returns
        -------
        list of CacheOrder
            Release of the old copy of the prefix if the call moved it to another runner.
        """
        item = placement.item
        mean_output_tokens = self.output_tokens.get(item.profile, float(output_tokens))
        if len(self.output_tokens) >= MAX_PROFILES and item.profile not in self.output_tokens:
            self.output_tokens.clear()
        mean_output_tokens += OUTPUT_TOKENS_SMOOTHING * (output_tokens - mean_output_tokens)
        self.output_tokens[item.profile] = mean_output_tokens
        self.placement.observe(duration_s)
        if placement.estimated_finish_s > 0.0:
            ratio = min(duration_s / placement.estimated_finish_s, MAX_ESTIMATE_RATIO)
            self.estimate_ratio += ESTIMATE_RATIO_SMOOTHING * (ratio - self.estimate_ratio)
        self.ordering.record_service(
            item, max(0, item.prompt_tokens - item.prefix_tokens) + output_tokens
        )
        orders = self.sessions.release_old_copy(item, placement.runner.id)
        tokens = item.prompt_tokens + output_tokens
        self.sessions.record_prefix(item, placement.runner.id, tokens)
        return orders

    def program_paused(
        self, item: structures.WorkItem, tool: str, idle_limit_s: float
    ) -> list[structures.CacheOrder]:
        """Decide what to do with the prefix of a program that waits for a tool."""
        return self.sessions.pause(item, tool, idle_limit_s)

    def restore_program(self, item: structures.WorkItem, runner: str, tokens: int) -> None:
        """Restore a live program's placement from the journal; call before :meth:`reconcile`."""
        self.sessions.record_prefix(item, runner, tokens)

    def program_ended(self, customer: str, program: str) -> list[structures.CacheOrder]:
        """Free the engine memory of a program that ended, was cancelled or reached a limit."""
        return self.sessions.end_program(customer, program)

    def order_failed(self, order: structures.CacheOrder) -> None:
        """Update the session after an engine failed to execute an order."""
        self.sessions.order_failed(order)

    def sweep(self) -> list[structures.CacheOrder]:
        """Re-evaluate the prefixes of paused programs; called once per second."""
        return self.sessions.sweep()

    def view(self, runner: str) -> structures.RunnerView | None:
        """Return the view of a runner, or None if it is not a runner of the service."""
        self.index.refresh(self.runners())
        return self.index.by_id.get(runner)

    def load_reported(self, runner: str, made_at: float) -> None:
        """Adjust a new load report for calls that this node sent or finished after it was made.

        Call :meth:`notify` after a batch of reports.
        """
        view = self.view(runner)
        if view is None:
            return
        view.reported_at = made_at
        view.sent_since_report = count_after(self.sends.get(runner), made_at)
        view.finished_since_report = count_after(self.finishes.get(runner), made_at)

    def count_finished(self, view: structures.RunnerView) -> None:
        """Count this node's calls that finished after the runner's last report.

        The directory updates the number of calls sent, but a report does not say which of them
        have finished.
        """
        finished = count_after(self.finishes.get(view.id), view.reported_at)
        view.finished_since_report = min(finished, view.sent_since_report)

    def replace_plugins(self, other: "Dispatcher") -> None:
        """Use the plug-ins of another dispatcher; queued calls keep their keys."""
        self.ordering = other.ordering
        self.placement = other.placement
        self.retention = other.retention
        self.admission = other.admission
        self.sessions.retention = other.retention

    def peers_sent(self, runner: str, sent_at: float, count: int = 1) -> None:
        """Count calls that peers sent to a runner after its last report."""
        view = self.view(runner)
        if view is None or sent_at <= view.reported_at:
            return
        view.sent_since_report += count
        timestamps_for(self.sends, runner).extend([sent_at] * count)

    def apply_cache_event(self, runner: str, name: str, tokens: int) -> None:
        """Update how many tokens of a session or shared prefix a runner still holds."""
        if "/" in name:
            self.sessions.apply_cache_event(runner, name, tokens)
        else:
            self.index.record_shared_prefix(name, runner, tokens)

    def reconcile(
        self, runner: str, held_sessions: collections.abc.Iterable[str]
    ) -> list[structures.CacheOrder]:
        """Return releases for sessions that a runner holds after lost orders or events."""
        return self.sessions.reconcile(runner, held_sessions)

    def notify(self) -> None:
        """Dispatch queued calls; called when runners or loads change."""
        if self.queue:
            self.dispatch()


def from_service(
    name: str,
    service: models.Service,
    runners: collections.abc.Callable[[], list[structures.RunnerView]],
    *,
    data_centre: str = "",
    seed: int = 0,
    kv_transfer: bool = True,
) -> Dispatcher:
    """Return a dispatcher with the plug-ins from the service's configuration.

    Parameters
    ----------
    kv_transfer : bool, optional
        Whether the service's engines export and import KV cache.

    Raises
    ------
    SettingsInvalidError
        If a plug-in is not registered.
    """
    registry.load()
    placement_options = {"transfer": kv_transfer} if service.placement == "estimated-finish" else {}
    retention_options = {"export": kv_transfer} if service.retention == "cost" else {}
    return Dispatcher(
        name,
        runners,
        ordering=registry.create("ordering", service.ordering),
        placement=registry.create("placement", service.placement, **placement_options),
        retention=registry.create("retention", service.retention, **retention_options),
        admission=registry.create("admission", service.admission),
        data_centre=data_centre,
        seed=seed,
    )


def create_index(data_centre: str, seed: int) -> placement.RunnerIndex:
    """Return an empty index; in the dispatcher a parameter shadows the ``placement`` module."""
    return placement.RunnerIndex(data_centre, seed)


def has_capacity(view: structures.RunnerView) -> bool:
    """Return whether a runner's engine queue is below its limit."""
    return view.load() < view.slots + max(1, int(view.slots * MAX_ENGINE_QUEUE_RATIO))


def timestamps_for(
    table: dict[str, collections.deque[float]], runner: str
) -> collections.deque[float]:
    """Return a runner's timestamps, bounded because only its load reports remove old ones."""
    return table.setdefault(runner, collections.deque(maxlen=MAX_TIMESTAMPS))


def count_after(times: collections.deque[float] | None, made_at: float) -> int:
    """Drop times up to a report and return how many remain; times may be slightly out of order."""
    if not times:
        return 0
    while times and times[0] <= made_at:
        times.popleft()
    return len(times)
