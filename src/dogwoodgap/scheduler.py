"""The dispatcher: chooses when and on which runner a model call runs."""

import collections
import collections.abc
import dataclasses

import anyio
import sortedcontainers

from dogwoodgap import admission as admission_module
from dogwoodgap import clock, exceptions, models, placement, prefixes, registry, structures
from dogwoodgap import ordering as ordering_module
from dogwoodgap import retention as retention_module

# A shorter engine queue leaves slots empty between a finish and the node's next send; a longer one
# binds calls to runners too early.
MAX_ENGINE_QUEUE_RATIO = 0.25
# Calls per round that are looked at when the first ones have to wait for their runner.
MAX_SKIPPED_CALLS = 8
OUTPUT_TOKENS_SMOOTHING = 0.05
# Admission corrects estimates by how they turned out; a stalled runner must not close admission.
ESTIMATE_RATIO_SMOOTHING = 0.02
MAX_ESTIMATE_RATIO = 4.0
GRANT_INTERVAL_SMOOTHING = 0.05
# Expected output of a profile of which no call has finished yet.
DEFAULT_OUTPUT_TOKENS = 256.0
MAX_PROFILES = 1_024
MAX_TIMESTAMPS = 4_096


@dataclasses.dataclass(slots=True)
class QueuedCall:
    """A call in the node's queue."""

    key: int
    arrival: int
    item: structures.WorkItem
    placement: structures.Placement | None = None
    granted: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def __lt__(self, other: "QueuedCall") -> bool:
        return (self.key, self.arrival) < (other.key, other.arrival)


class Dispatcher:
    """Queue and placement of the model calls of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    runners : callable
        Returns the current views of the service's runners.
    ordering, placement, retention, admission : plug-ins, optional
        The defaults are the ones that :class:`models.Service` names.
    data_centre : str, optional
        The node's own data centre.
    seed : int, optional
        Of the sampling of runners.
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

    # Calls.

    async def acquire(self, item: structures.WorkItem) -> structures.Placement:
        """Wait for a runner and count the call as in flight there.

        Raises
        ------
        OverloadedError
            When the call is refused or its deadline passes first; it was not sent.
        """
        self.sessions.resume(item)
        try:
            return await self.admit_and_wait(item)
        except BaseException as error:
            self.refused += isinstance(error, exceptions.OverloadedError)
            self.sessions.mark_interrupted(item)
            raise

    async def admit_and_wait(self, item: structures.WorkItem) -> structures.Placement:
        """Admit a call and wait until it is granted."""
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
        """Return whether a call may leave the node's queue for a runner."""
        return not self.placement.queues_at_node or has_capacity(choice.runner)

    def admit(self, queued: QueuedCall, choice: placement.Choice | None) -> None:
        """Refuse a call that would miss its deadline.

        A call that finds a free slot is always admitted: refusing it would save nothing, and
        estimates could never be corrected by its outcome.
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
            "repeat it later or with a longer deadline",
            not_run="true",
            retry_after_s=retry_after_s,
        )

    def queue_wait_s(self, queued: QueuedCall) -> float:
        """Return the wait behind the better calls of this node's queue.

        It follows from the observed time between grants, which includes the competition of peers.
        """
        return self.queue.bisect_left(queued) * self.grant_interval_s

    def record_grant(self) -> None:
        """Learn the time between grants while calls wait."""
        now = clock.now()
        if self.granted_at >= 0.0:
            interval_s = now - self.granted_at
            self.grant_interval_s += GRANT_INTERVAL_SMOOTHING * (interval_s - self.grant_interval_s)
        self.granted_at = now if self.queue else -1.0

    async def wait_for_grant(self, queued: QueuedCall) -> None:
        """Wait in the node's queue until a runner is granted or the deadline passes."""
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
                f"no runner of {self.service} was free before the deadline; repeat later",
                not_run="true",
            )

    def undo_wait(self, queued: QueuedCall) -> None:
        """Undo the wait of a cancelled call."""
        if queued.placement is None:
            self.queue.discard(queued)
        else:
            self.release(queued.placement, failed=True)

    def dispatch(self) -> None:
        """Grant runners to waiting calls, best key first."""
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
        """Send a call to a runner."""
        item = queued.item
        view = choice.runner
        view.in_flight += 1
        view.sent_since_report += 1
        timestamps_for(self.sends, view.id).append(clock.now())
        held = item.prefix_tokens if view.id == item.prefix_runner else 0
        importable = item.prefix_tokens if choice.transfers else item.exported_tokens
        queued.placement = structures.Placement(
            view,
            priority=queued.key,
            estimated_finish_s=choice.finish_s,
            import_tokens=importable if importable > held else 0,
            export_from=item.prefix_runner if choice.transfers else "",
            item=item,
        )
        self.sessions.mark_running(item)
        queued.granted.set()

    def release(self, placement: structures.Placement, *, failed: bool = False) -> None:
        """Count a call as finished."""
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
        """Learn from a whole answer; call it before :meth:`release`.

        Returns
        -------
        list of CacheOrder
            Releases a copy of the prefix that stayed on another runner.
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

    # Programs.

    def program_paused(
        self, item: structures.WorkItem, tool: str, idle_limit_s: float
    ) -> list[structures.CacheOrder]:
        """Decide about the prefix of a program that waits for a tool."""
        return self.sessions.pause(item, tool, idle_limit_s)

    def restore_program(self, item: structures.WorkItem, runner: str, tokens: int) -> None:
        """Inherit a live program's placement from the journal; call it before :meth:`reconcile`."""
        self.sessions.record_prefix(item, runner, tokens)

    def program_ended(self, customer: str, program: str) -> list[structures.CacheOrder]:
        """Free the memory of a program that ended, was cancelled or reached a limit."""
        return self.sessions.end_program(customer, program)

    def order_failed(self, order: structures.CacheOrder) -> None:
        """Learn that an engine did not carry out an order."""
        self.sessions.order_failed(order)

    def sweep(self) -> list[structures.CacheOrder]:
        """Decide again about paused programs; called every second."""
        return self.sessions.sweep()

    # Runners.

    def view(self, runner: str) -> structures.RunnerView | None:
        """Return the view of a runner."""
        self.index.refresh(self.runners())
        return self.index.by_id.get(runner)

    def load_reported(self, runner: str, made_at: float) -> None:
        """Correct a new load report by what this node sent and saw finish after it was made.

        Call :meth:`notify` after a batch of reports.
        """
        view = self.view(runner)
        if view is None:
            return
        view.reported_at = made_at
        view.sent_since_report = count_after(self.sends.get(runner), made_at)
        view.finished_since_report = count_after(self.finishes.get(runner), made_at)

    def count_finished(self, view: structures.RunnerView) -> None:
        """Count the calls of this node that finished after the runner's last report.

        The directory corrects the sends; a report does not tell which of them have finished.
        """
        finished = count_after(self.finishes.get(view.id), view.reported_at)
        view.finished_since_report = min(finished, view.sent_since_report)

    def replace_plugins(self, other: "Dispatcher") -> None:
        """Take over the plug-ins of another dispatcher; waiting calls keep their place."""
        self.ordering = other.ordering
        self.placement = other.placement
        self.retention = other.retention
        self.admission = other.admission
        self.sessions.retention = other.retention

    def peers_sent(self, runner: str, sent_at: float, count: int = 1) -> None:
        """Learn from gossip that peers sent calls to a runner."""
        view = self.view(runner)
        if view is None or sent_at <= view.reported_at:
            return
        view.sent_since_report += count
        timestamps_for(self.sends, runner).extend([sent_at] * count)

    def apply_cache_event(self, runner: str, name: str, tokens: int) -> None:
        """Learn from an engine's event what is left of a session or shared prefix."""
        if "/" in name:
            self.sessions.apply_cache_event(runner, name, tokens)
        else:
            self.index.record_shared_prefix(name, runner, tokens)

    def reconcile(
        self, runner: str, held: collections.abc.Iterable[str]
    ) -> list[structures.CacheOrder]:
        """Find memory that lost orders or lost events left behind."""
        return self.sessions.reconcile(runner, held)

    def notify(self) -> None:
        """Look at the waiting calls again; called when runners or loads change."""
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
    """Return a dispatcher with the plug-ins that the service's configuration names.

    Parameters
    ----------
    kv_transfer : bool, optional
        Whether the service's engines export and import KV cache.

    Raises
    ------
    SettingsInvalidError
        When no such plug-in is registered.
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
    """Return an empty index; a parameter of the dispatcher shadows the module's name."""
    return placement.RunnerIndex(data_centre, seed)


def has_capacity(view: structures.RunnerView) -> bool:
    """Return whether the engine's queue at a runner is short."""
    return view.load() < view.slots + max(1, int(view.slots * MAX_ENGINE_QUEUE_RATIO))


def timestamps_for(
    table: dict[str, collections.deque[float]], runner: str
) -> collections.deque[float]:
    """Return the times kept for a runner; bounded, since a silent runner sends no reports."""
    return table.setdefault(runner, collections.deque(maxlen=MAX_TIMESTAMPS))


def count_after(times: collections.deque[float] | None, made_at: float) -> int:
    """Drop times up to a report and return how many are left; times may be slightly unordered."""
    if not times:
        return 0
    while times and times[0] <= made_at:
        times.popleft()
    return len(times)
