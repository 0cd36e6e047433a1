"""Directory of runners: views, load polling, health, leaving notices and peers' load updates."""

import collections.abc
import functools

import anyio
import anyio.abc
import xxhash

from dogwoodgap import (
    adapters,
    clock,
    connections,
    events,
    exceptions,
    models,
    objectstore,
    runner_tracks,
    structures,
)
from dogwoodgap_wire import ttypes

MIN_POLL_INTERVAL_S = 0.25
MAX_POLL_INTERVAL_S = 2.0
"""A leaving runner must be detected within 3 s, which limits the interval between polls."""

POLL_S_PER_RUNNER = 0.002
POLL_S_PER_NODE = 0.001
STALE_AFTER_POLLS = 3.0
"""Poll intervals without a peer's report after which this node polls the runner itself."""

MAX_LOAD_UPDATES = 16


class Directory:
    """Tracks the load and health of all runners of all services.

    Parameters
    ----------
    backend_connections : connections.RunnerClient
        Used to probe runners with new connections.
    engine_load, service_load : callable
        Fetch a load report from a model engine or a plain service.
    send : callable
        Sends a ``RunnerNotice`` to all peers, in the background.
    on_change : callable
        Called with the service's name when the state or load of a runner changed.
    on_crash : callable
        Called with a runner that refuses connections; see ``Quarantine.record_crash``.
    """

    def __init__(
        self,
        node: str,
        backend_connections: connections.RunnerClient,
        *,
        engine_load: runner_tracks.LoadFetcher,
        service_load: runner_tracks.LoadFetcher,
        send: collections.abc.Callable[[ttypes.RunnerNotice], None],
        on_change: collections.abc.Callable[[str], None] = lambda service: None,
        on_crash: collections.abc.Callable[[structures.RunnerView], object] = lambda view: None,
    ):
        self.node = node
        self.connections = backend_connections
        self.engine_load = engine_load
        self.service_load = service_load
        self.send = send
        self.on_change = on_change
        self.on_crash = on_crash
        self.tracked_runners: dict[str, runner_tracks.TrackedRunner] = {}
        self.by_service: dict[str, list[structures.RunnerView]] = {}
        self.removed: dict[str, runner_tracks.TrackedRunner] = {}
        self.sent_versions: dict[str, dict[str, int]] = {}
        self.nodes: list[str] = [node]
        self.pollers: dict[str, str] = {}
        self.tasks: anyio.abc.TaskGroup | None = None

    def views(self, service: str) -> list[structures.RunnerView]:
        """Return the views of a service's runners."""
        return self.by_service.get(service, [])

    def view(self, key: str) -> structures.RunnerView | None:
        """Return the view of the runner with the key ``service/id``, or None."""
        tracked = self.tracked_runners.get(key)
        return tracked.view if tracked else None

    def apply(self, configuration: models.FleetConfiguration) -> None:
        """Add, update and remove runners; existing runners keep their counts."""
        configured_keys: set[str] = set()
        self.by_service = {}
        for name, service in configuration.services.items():
            views = []
            for runner in service.runners:
                tracked = self.update_tracked_runner(name, service, runner)
                configured_keys.add(structures.runner_key(tracked.view))
                views.append(tracked.view)
            self.by_service[name] = views
        for key in set(self.tracked_runners) - configured_keys:
            self.removed[key] = self.tracked_runners.pop(key)
            self.removed[key].scope.cancel()
        with_requests = {
            key: removed for key, removed in self.removed.items() if removed.view.in_flight
        }
        self.removed = with_requests
        for name in configuration.services:
            self.on_change(name)

    def update_tracked_runner(
        self, name: str, service: models.Service, runner: models.Runner
    ) -> runner_tracks.TrackedRunner:
        """Return the tracked state of a configured runner, created or updated."""
        key = f"{name}/{runner.id}"
        tracked = self.tracked_runners.get(key)
        if tracked is None:
            tracked = self.create_tracked_runner(name, service, runner)
            self.tracked_runners[key] = tracked
            if self.tasks is not None:
                self.tasks.start_soon(self.poll_forever, tracked)
        view = tracked.view
        if view.address != runner.address:
            view.reported_at = -1.0
            view.down = False
        view.address = runner.address.rstrip("/")
        view.data_centre = runner.data_centre
        view.slots = runner.slots
        view.cache_tokens = runner.cache_tokens
        view.checks_fencing = runner.checks_fencing
        view.prefill_tokens_per_s = service.prefill_tokens_per_s
        view.decode_tokens_per_s = service.decode_tokens_per_s
        return tracked

    def create_tracked_runner(
        self, name: str, service: models.Service, runner: models.Runner
    ) -> runner_tracks.TrackedRunner:
        """Return a new tracked state; a re-added runner keeps its count of requests in flight."""
        view = structures.RunnerView(name, runner.id, runner.address, runner.data_centre, 0, 0)
        removed = self.removed.pop(f"{name}/{runner.id}", None)
        if removed is not None:
            view = removed.view
            view.reported_at = -1.0
        fetch_load = self.engine_load if service.kind == "model" else self.service_load
        return runner_tracks.TrackedRunner(view, fetch_load)

    async def run(self) -> None:
        """Poll all runners, one task each, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for tracked in self.tracked_runners.values():
                tasks.start_soon(self.poll_forever, tracked)
            await anyio.sleep_forever()

    def poll_interval_s(self) -> float:
        """Return the poll interval, which grows with the number of runners and nodes."""
        grown = POLL_S_PER_RUNNER * len(self.tracked_runners) + POLL_S_PER_NODE * len(self.nodes)
        return min(MAX_POLL_INTERVAL_S, MIN_POLL_INTERVAL_S + grown)

    def set_nodes(self, nodes: collections.abc.Iterable[str]) -> None:
        """Set the live nodes of the data centre that share the polls; this node is added."""
        self.nodes = sorted({*nodes, self.node})
        self.pollers.clear()

    def poller(self, key: str) -> str:
        """Return the node that polls a runner, by rendezvous hashing over :attr:`nodes`."""
        if key not in self.pollers:
            self.pollers[key] = max(
                self.nodes,
                key=lambda node: xxhash.xxh3_64_intdigest(f"{node}|{key}".encode()),
            )
        return self.pollers[key]

    def should_poll(self, tracked: runner_tracks.TrackedRunner) -> bool:
        """Return whether this node polls a runner itself.

        It polls its own share, runners that are down or leaving, and those with stale reports.
        """
        poller = self.poller(structures.runner_key(tracked.view))
        if poller == self.node or tracked.view.down or tracked.leaving():
            return True
        age_s = clock.now() - tracked.view.reported_at
        return tracked.view.reported_at < 0.0 or age_s > STALE_AFTER_POLLS * self.poll_interval_s()

    async def poll_forever(self, tracked: runner_tracks.TrackedRunner) -> None:
        """Poll one runner until it leaves the configuration."""
        with tracked.scope:
            while True:
                tracked.count_new_sends()
                if self.should_poll(tracked):
                    await self.poll(tracked)
                else:
                    tracked.update_view_load()
                self.update_leaving(tracked)
                await anyio.sleep(self.poll_interval_s())

    async def poll(self, tracked: runner_tracks.TrackedRunner) -> None:
        """Fetch one load report; on failure, probe the runner with a new connection."""
        view = tracked.view
        if view.down:
            await self.check_health(view)
            return
        try:
            report = await tracked.fetch_load(view)
        except exceptions.RunnerLeavingError:
            self.record_refusal(view)
            return
        except exceptions.RunnerFailedError:
            await self.check_health(view)
            tracked.update_view_load()
            return
        tracked.accept_report(report)
        tracked.own_report = True
        tracked.report_version += 1
        self.on_change(view.service)

    async def check_health(
        self, view: structures.RunnerView, *, replace: bool = True
    ) -> connections.ProbeResult:
        """Probe a runner with a new connection and mark it as up or down.

        Called after a failed connection, a silent stream or a missed heartbeat.

        Parameters
        ----------
        replace : bool
            Whether to replace the existing connections if the probe succeeds, because one of them
            has failed.
        """
        result = await self.connections.probe(view)
        if result is connections.ProbeResult.ANSWERED:
            if replace and not view.down:
                await self.connections.replace(view)
                events.emit(
                    events.Event.CONNECTION_REPLACED,
                    "connections to runner replaced",
                    runner=view.id,
                )
            self.mark_down(view, down=False)
            return result
        if result is connections.ProbeResult.REFUSED and not view.down:
            self.on_crash(view)
        self.mark_down(view, down=True)
        return result

    async def is_idle(self, view: structures.RunnerView, since: float) -> bool:
        """Return whether a report made at ``since`` (monotonic time) or later shows no work."""
        tracked = self.tracked_runners.get(structures.runner_key(view))
        if tracked is None:
            return False
        try:
            report = await tracked.fetch_load(view)
        except exceptions.RunnerFailedError:
            return False
        made_at = clock.now() - report.age_s
        return made_at >= since and report.queued + report.running == 0

    def mark_down(self, view: structures.RunnerView, *, down: bool) -> None:
        """Mark a runner as down or up and notify the peers on a change."""
        if view.down == down:
            return
        view.down = down
        if down:
            view.reported_at = -1.0
        event = events.Event.RUNNER_DOWN if down else events.Event.RUNNER_RETURNED
        events.emit(event, "runner down" if down else "runner up", runner=view.id)
        self.announce(view)

    def announce(self, view: structures.RunnerView) -> None:
        """Send the state of a runner to the peers and notify the dispatcher."""
        tracked = self.tracked_runners.get(structures.runner_key(view))
        if tracked is not None:
            tracked.announced_leaving = tracked.own_leaving()
            tracked.announced_at = clock.now()
        leaving = view.leaving if tracked is None else tracked.announced_leaving
        notice = ttypes.RunnerNotice(
            service_name=view.service, runner=view.id, leaving=leaving, down=view.down
        )
        self.send(notice)
        self.on_change(view.service)

    def record_refusal(self, view: structures.RunnerView) -> None:
        """Record a 503 answer, which marks the runner as leaving."""
        tracked = self.tracked_runners.get(structures.runner_key(view))
        if tracked is not None:
            tracked.refused_until = clock.now() + runner_tracks.REFUSED_LEAVING_S
            self.update_leaving(tracked)

    def apply_notice(self, node: str, notice: ttypes.RunnerNotice) -> None:
        """Apply a peer's leaving notice, or probe a runner that the peer reports as down.

        The peer may be partitioned from a runner that this node can reach, so its notice alone
        does not mark the runner as down.
        """
        tracked = self.tracked_runners.get(f"{notice.service_name}/{notice.runner}")
        if tracked is None:
            return
        if notice.leaving:
            tracked.leaving_by_peer[node] = clock.now() + runner_tracks.NOTICE_TTL_S
        else:
            tracked.leaving_by_peer.pop(node, None)
        if notice.down and not tracked.view.down and self.tasks is not None:
            self.tasks.start_soon(functools.partial(self.check_health, tracked.view, replace=False))
        self.update_leaving(tracked)
        self.on_change(tracked.view.service)

    def apply_vms(self, machines: list[objectstore.Vm]) -> None:
        """Apply the platform's list of VMs, which may lag; entries name a runner or its host."""
        leaving = {name for vm in machines if vm.leaving for name in (vm.name, vm.address)}
        for tracked in self.tracked_runners.values():
            host = tracked.view.address.partition("://")[2]
            names = {tracked.view.id, host, host.rpartition(":")[0]}
            tracked.leaving_by_platform = not leaving.isdisjoint(names)
            self.update_leaving(tracked)

    def update_leaving(self, tracked: runner_tracks.TrackedRunner) -> None:
        """Update whether a runner is leaving and announce this node's own observations."""
        view = tracked.view
        leaving = tracked.leaving()
        if view.leaving != leaving:
            view.leaving = leaving
            event = events.Event.RUNNER_LEAVING if leaving else events.Event.RUNNER_RETURNED
            events.emit(event, "runner leaving" if leaving else "runner returned", runner=view.id)
            self.on_change(view.service)
        own_leaving = tracked.own_leaving()
        repeat = (
            own_leaving and clock.now() - tracked.announced_at >= runner_tracks.NOTICE_INTERVAL_S
        )
        if own_leaving != tracked.announced_leaving or repeat:
            self.announce(view)

    def load_updates(self, peer: str, limit: int = MAX_LOAD_UPDATES) -> list[ttypes.RunnerLoad]:
        """Return changes since the last updates for a peer, least recently sent runners first.

        Nodes of the same data centre share polls and receive load reports. Remote nodes poll
        themselves and only receive the counts of sent requests: sending reports to all peers took
        14 kB/s on an idle node in a fleet of 7.
        """
        local = peer in self.nodes
        sent = self.sent_versions.setdefault(peer, {})
        due = [
            key
            for key, tracked in self.tracked_runners.items()
            if tracked.change_version(local) != sent.get(key, 0)
        ]
        order = {key: position for position, key in enumerate(sent)}
        due.sort(key=lambda key: order.get(key, -1))
        chosen = due[:limit]
        for key in chosen:
            sent.pop(key, None)
            sent[key] = self.tracked_runners[key].change_version(local)
        return [self.load_update(self.tracked_runners[key], local) for key in chosen]

    def load_update(self, tracked: runner_tracks.TrackedRunner, local: bool) -> ttypes.RunnerLoad:
        """Return this node's count of sent requests; local peers also get reports it polled."""
        tracked.count_new_sends()
        load = ttypes.RunnerLoad(
            runner=structures.runner_key(tracked.view),
            in_flight=tracked.view.in_flight,
            sent_tokens=0,
            sent_requests=tracked.own_sends.total,
        )
        if local and tracked.own_report and tracked.view.reported_at >= 0.0:
            load.age_ms = round(1000 * (clock.now() - tracked.view.reported_at))
            load.queued = tracked.report.queued
            load.running = tracked.report.running
            load.cached_tokens = tracked.report.cached_tokens
            load.leaving = tracked.report.leaving
        return load

    def apply_load_updates(self, node: str, loads: list[ttypes.RunnerLoad]) -> None:
        """Apply a peer's load updates."""
        for load in loads:
            tracked = self.tracked_runners.get(load.runner)
            if tracked is None:
                continue
            tracked.peer_sends.setdefault(node, runner_tracks.SentHistory()).record(
                load.sent_requests
            )
            if load.age_ms is not None and load.age_ms >= 0:
                self.accept_peer_report(tracked, load)
            tracked.update_view_load()
            self.update_leaving(tracked)
            self.on_change(tracked.view.service)

    def accept_peer_report(
        self, tracked: runner_tracks.TrackedRunner, load: ttypes.RunnerLoad
    ) -> None:
        """Apply a report that a peer polled."""
        newer = clock.now() - load.age_ms / 1000 > tracked.view.reported_at
        tracked.accept_report(
            adapters.LoadReport(
                queued=load.queued or 0,
                running=load.running or 0,
                cached_tokens=load.cached_tokens or 0,
                age_s=load.age_ms / 1000,
                leaving=bool(load.leaving),
            )
        )
        if newer:
            tracked.own_report = False

    def forget_peer(self, node: str) -> None:
        """Remove the counts and notices of a dead node."""
        for tracked in self.tracked_runners.values():
            tracked.peer_sends.pop(node, None)
            tracked.leaving_by_peer.pop(node, None)
        self.sent_versions.pop(node, None)
