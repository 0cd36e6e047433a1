"""Placement plug-ins, which choose the runner of a call.

:class:`RunnerIndex` returns a bounded set of candidates, so that the cost of a decision does not
depend on the number of runners.
"""

import collections
import collections.abc
import dataclasses
import random
import typing

from dogwoodgap import registry, structures

SAMPLED_RUNNERS = 6
MAX_SHARED_HOLDERS = 4
MAX_SHARED_PREFIXES = 1_024
REMOTE_PENALTY_S = 0.05
IMPORT_TOKENS_PER_S = 60_000.0
TRANSFER_OVERHEAD_S = 0.1
# Relative slowdown of a request per other request in the batch, fitted to the lab's engine model.
BATCH_SLOWDOWN = 0.1


NO_HOLDERS: dict[str, int] = {}
# Estimated finish in seconds, and whether the prefix is transferred.
Estimate = tuple[float, bool]


class RunnerIndex:
    """Runners of a service by id, by data centre and by the shared prefixes that they hold.

    Parameters
    ----------
    data_centre : str
        The node's own data centre.
    seed : int
        Seed for sampling; nodes use different seeds so that they sample different runners.
    """

    def __init__(self, data_centre: str = "", seed: int = 0):
        self.data_centre = data_centre
        self.random = random.Random(seed)
        self.views: list[structures.RunnerView] = []
        self.size = -1
        self.by_id: dict[str, structures.RunnerView] = {}
        self.local_views: list[structures.RunnerView] = []
        self.shared_prefix_holders: collections.OrderedDict[
            str, collections.OrderedDict[str, int]
        ] = collections.OrderedDict()
        self.evaluated_candidates = 0

    def refresh(self, views: list[structures.RunnerView], *, force: bool = False) -> None:
        """Rebuild the index if the list of runners changed."""
        if views is self.views and len(views) == self.size and not force:
            return
        self.views = views
        self.size = len(views)
        self.by_id = {view.id: view for view in views}
        self.local_views = [view for view in views if view.data_centre == self.data_centre]

    def candidates(self, item: structures.WorkItem) -> list[structures.RunnerView]:
        """Return the prefix holder, shared-prefix holders and a few sampled runners."""
        by_id = self.by_id
        candidates: dict[str, structures.RunnerView] = {view.id: view for view in self.sample()}
        holder = by_id.get(item.prefix_runner)
        if holder is not None:
            candidates[holder.id] = holder
        for runner in self.shared_prefix_holders.get(item.shared_prefix, ()):
            if runner in by_id:
                candidates[runner] = by_id[runner]
        exclude = item.exclude
        usable = [
            view
            for view in candidates.values()
            if not (view.down or view.leaving or view.id in exclude)
        ]
        if usable:
            return usable
        # If no candidate is usable, scan all runners before giving up.
        return [view for view in self.views if is_usable(view, item)][:SAMPLED_RUNNERS]

    def sample(self) -> collections.abc.Iterable[structures.RunnerView]:
        """Return a few random runners, half of them from the node's own data centre."""
        if self.size <= SAMPLED_RUNNERS:
            return self.views
        local = self.local_views or self.views
        half = SAMPLED_RUNNERS // 2
        chosen = [local[int(self.random.random() * len(local))] for _ in range(half)]
        chosen += [self.views[int(self.random.random() * self.size)] for _ in range(half)]
        return chosen

    def record_shared_prefix(self, prefix: str, runner: str, tokens: int) -> None:
        """Record how many tokens of a shared prefix a runner holds; 0 removes the runner."""
        holders = self.shared_prefix_holders.get(prefix)
        if tokens <= 0:
            if holders is not None:
                holders.pop(runner, None)
            return
        if holders is None:
            if len(self.shared_prefix_holders) >= MAX_SHARED_PREFIXES:
                self.shared_prefix_holders.popitem(last=False)
            holders = self.shared_prefix_holders[prefix] = collections.OrderedDict()
        holders[runner] = tokens
        holders.move_to_end(runner)
        if len(holders) > MAX_SHARED_HOLDERS:
            holders.popitem(last=False)


def is_usable(view: structures.RunnerView, item: structures.WorkItem) -> bool:
    """Return whether a runner is up, not leaving and not excluded for this call."""
    return not view.down and not view.leaving and view.id not in item.exclude


@dataclasses.dataclass(slots=True)
class Choice:
    """Runner chosen by a plug-in.

    Attributes
    ----------
    finish_s : float
        Estimated seconds until the call would finish there.
    transfers : bool
        Whether the prefix is transferred there from its holder, by an export and an import.
    """

    runner: structures.RunnerView
    finish_s: float = 0.0
    transfers: bool = False


class Placement(typing.Protocol):
    """Interface of placement plug-ins.

    Attributes
    ----------
    queues_at_node : bool
        Whether calls wait in the node's queue while the engine's queue is full.
    """

    queues_at_node: bool

    def choose(self, item: structures.WorkItem, index: RunnerIndex) -> Choice | None:
        """Return the best runner, or None if none is usable."""

    def observe(self, duration_s: float) -> None:
        """Record how long a call took at a runner, without its time in the node's queue."""


class ImmediatePlacement:
    """Base class of plug-ins that send every call to the engine's queue immediately."""

    queues_at_node = False

    def observe(self, duration_s: float) -> None:
        """Do nothing, since the choice does not depend on durations."""


@registry.register("placement", "round-robin")
class RoundRobinPlacement(ImmediatePlacement):
    """Cycle through the usable runners."""

    def __init__(self):
        self.counter = 0

    def choose(self, item: structures.WorkItem, index: RunnerIndex) -> Choice | None:
        """Return the next usable runner."""
        usable = [view for view in index.views if is_usable(view, item)]
        if not usable:
            return None
        self.counter += 1
        return Choice(usable[self.counter % len(usable)])


@registry.register("placement", "least-loaded")
class LeastLoadedPlacement(ImmediatePlacement):
    """Choose the runner with the fewest requests per slot, among all runners."""

    def choose(self, item: structures.WorkItem, index: RunnerIndex) -> Choice | None:
        """Return the least loaded usable runner."""
        usable = [view for view in index.views if is_usable(view, item)]
        if not usable:
            return None
        return Choice(min(usable, key=lambda view: (view.load() / view.slots, view.id)))


@registry.register("placement", "prefix-affinity")
class PrefixAffinityPlacement(LeastLoadedPlacement):
    """Choose the runner that holds the prefix unless it is overloaded, else the least loaded.

    Parameters
    ----------
    imbalance : float
        Maximum difference in requests per slot between the holder and the least loaded runner.
    """

    def __init__(self, imbalance: float = 1.0):
        self.imbalance = imbalance

    def choose(self, item: structures.WorkItem, index: RunnerIndex) -> Choice | None:
        """Return the holder or the least loaded runner."""
        least = super().choose(item, index)
        holder = index.by_id.get(item.prefix_runner)
        if least is None or holder is None or not is_usable(holder, item):
            return least
        excess = holder.load() / holder.slots - least.runner.load() / least.runner.slots
        return Choice(holder) if excess <= self.imbalance else least


@registry.register("placement", "estimated-finish")
class EstimatedFinishPlacement:
    """Choose the candidate with the earliest estimated finish.

    Parameters
    ----------
    service_s : float
        Initial estimate of the mean duration of a call at a runner, in seconds.
    transfer : bool
        Whether a prefix may be transferred from its holder to a less loaded runner.
    """

    queues_at_node = True

    def __init__(self, service_s: float = 8.0, transfer: bool = True):
        self.transfer = transfer
        self.service_s = service_s

    def choose(self, item: structures.WorkItem, index: RunnerIndex) -> Choice | None:
        """Return the candidate with the earliest estimated finish."""
        source = index.by_id.get(item.prefix_runner)
        transferable = item.prefix_tokens if self.can_export(source) else 0
        holders = index.shared_prefix_holders.get(item.shared_prefix, NO_HOLDERS)
        best: structures.RunnerView | None = None
        best_estimate: Estimate = (0.0, False)
        candidates = index.candidates(item)
        index.evaluated_candidates += len(candidates)
        for view in candidates:
            if view is source:
                estimate = self.estimate(item, view, item.prefix_tokens, 0)
            else:
                estimate = self.estimate(item, view, holders.get(view.id, 0), transferable)
            if view.data_centre != index.data_centre:
                estimate = (estimate[0] + REMOTE_PENALTY_S, estimate[1])
            if best is None or estimate < best_estimate:
                best = view
                best_estimate = estimate
        return None if best is None else Choice(best, *best_estimate)

    def can_export(self, source: structures.RunnerView | None) -> bool:
        """Return whether the holder of a prefix can export it."""
        return self.transfer and source is not None and not source.down

    def estimate(
        self, item: structures.WorkItem, view: structures.RunnerView, cached: int, transferable: int
    ) -> Estimate:
        """Return the estimate for a runner that holds ``cached`` tokens of the prompt.

        Parameters
        ----------
        transferable : int
            Tokens that can be transferred from the holder of the prefix.
        """
        exported = item.exported_tokens
        transfers = transferable > cached and transferable > exported
        imported = (transferable if transfers else exported) - cached
        import_s = 0.0
        if imported > 0:
            import_s = imported / IMPORT_TOKENS_PER_S
            cached += imported
            if transfers:
                import_s += import_s + TRANSFER_OVERHEAD_S
        uncached = item.prompt_tokens - cached
        prefill_s = uncached / view.prefill_tokens_per_s if uncached > 0 else 0.0
        output = item.expected_output_tokens or item.max_tokens
        work_s = prefill_s + output / view.decode_tokens_per_s
        batch = view.load()
        if batch >= view.slots:
            import_s += (batch - view.slots + 1) * self.service_s / view.slots
            batch = view.slots
        return import_s + work_s * (1.0 + BATCH_SLOWDOWN * batch), transfers

    def observe(self, duration_s: float) -> None:
        """Update the mean duration of a call at a runner."""
        self.service_s += 0.02 * (duration_s - self.service_s)
