"""The directory of runners: views, load polling, leaving, health and peers' digests."""

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

MIN_POLL_S = 0.25
MAX_POLL_S = 2.0
"""A leaving runner must be known within 3 s, so polls never get rarer than this."""

POLL_S_PER_RUNNER = 0.002
POLL_S_PER_NODE = 0.001
STALE_AFTER_POLLS = 3.0
"""A runner polled by a peer is polled by this node when so many reports are missing."""

MAX_DIGESTS = 16


class Directory:
    """All runners of all services, kept up to date.

    Parameters
    ----------
    connections_of_backends : connections.RunnerClient
        For probes by fresh connections.
    engine_load, service_load : callable
        Fetch a load report from a model engine or a plain service.
    send : callable
        Sends a ``RunnerNotice`` to all peers, in the background.
    changed : callable
        Told the service's name when a runner's state or load changed.
    crashed : callable
        Told of a runner whose machine refuses connections; see ``Quarantine.crashed``.
    """

    def __init__(
        self,
        node: str,
        connections_of_backends: connections.RunnerClient,
        *,
        engine_load: runner_tracks.LoadOf,
        service_load: runner_tracks.LoadOf,
        send: collections.abc.Callable[[ttypes.RunnerNotice], None],
        changed: collections.abc.Callable[[str], None] = lambda service: None,
        crashed: collections.abc.Callable[[structures.RunnerView], object] = lambda view: None,
    ):
        self.node = node
        self.connections = connections_of_backends
        self.engine_load = engine_load
        self.service_load = service_load
        self.send = send
        self.changed = changed
        self.crashed = crashed
        self.tracks: dict[str, runner_tracks.Track] = {}
        self.by_service: dict[str, list[structures.RunnerView]] = {}
        self.removed: dict[str, runner_tracks.Track] = {}
        self.digest_versions: dict[str, dict[str, int]] = {}
        self.nodes: list[str] = [node]
        self.pollers: dict[str, str] = {}
        self.tasks: anyio.abc.TaskGroup | None = None

    def views(self, service: str) -> list[structures.RunnerView]:
        """Return the views of a service's runners."""
        return self.by_service.get(service, [])

    def view(self, key: str) -> structures.RunnerView | None:
        """Return the view of the runner named ``service/id``."""
        track = self.tracks.get(key)
        return track.view if track else None

    def apply(self, configuration: models.FleetConfiguration) -> None:
        """Add, change and remove runners; unchanged ones keep their counts."""
        wanted: set[str] = set()
        self.by_service = {}
        for name, service in configuration.services.items():
            views = []
            for runner in service.runners:
                track = self.updated(name, service, runner)
                wanted.add(structures.runner_key(track.view))
                views.append(track.view)
            self.by_service[name] = views
        for key in set(self.tracks) - wanted:
            self.removed[key] = self.tracks.pop(key)
            self.removed[key].scope.cancel()
        busy = {key: item for key, item in self.removed.items() if item.view.in_flight}
        self.removed = busy
        for name in configuration.services:
            self.changed(name)

    def updated(
        self, name: str, service: models.Service, runner: models.Runner
    ) -> runner_tracks.Track:
        """Return the track of a configured runner."""
        key = f"{name}/{runner.id}"
        track = self.tracks.get(key)
        if track is None:
            track = self.added(name, service, runner)
            self.tracks[key] = track
            if self.tasks is not None:
                self.tasks.start_soon(self.poll_forever, track)
        view = track.view
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
        return track

    def added(
        self, name: str, service: models.Service, runner: models.Runner
    ) -> runner_tracks.Track:
        """Return a new track; a runner that is added again keeps its requests in flight."""
        view = structures.RunnerView(name, runner.id, runner.address, runner.data_centre, 0, 0)
        known = self.removed.pop(f"{name}/{runner.id}", None)
        if known is not None:
            view = known.view
            view.reported_at = -1.0
        load_of = self.engine_load if service.kind == "model" else self.service_load
        return runner_tracks.Track(view, load_of)

    async def run(self) -> None:
        """Poll all runners, one task each, until cancelled."""
        async with anyio.create_task_group() as tasks:
            self.tasks = tasks
            for track in self.tracks.values():
                tasks.start_soon(self.poll_forever, track)
            await anyio.sleep_forever()

    def poll_interval_s(self) -> float:
        """Return the time between two polls; it grows with the fleet."""
        grown = POLL_S_PER_RUNNER * len(self.tracks) + POLL_S_PER_NODE * len(self.nodes)
        return min(MAX_POLL_S, MIN_POLL_S + grown)

    def set_nodes(self, nodes: collections.abc.Iterable[str]) -> None:
        """Tell which live nodes of the data centre share the polls; this one is added."""
        self.nodes = sorted({*nodes, self.node})
        self.pollers.clear()

    def poller(self, key: str) -> str:
        """Return the node that polls a runner, the same on all nodes with the same members."""
        if key not in self.pollers:
            self.pollers[key] = max(
                self.nodes,
                key=lambda node: xxhash.xxh3_64_intdigest(f"{node}|{key}".encode()),
            )
        return self.pollers[key]

    def polls(self, track: runner_tracks.Track) -> bool:
        """Return whether this node polls a runner: its share, and what peers fail to report."""
        poller = self.poller(structures.runner_key(track.view))
        if poller == self.node or track.view.down or track.leaving():
            return True
        age_s = clock.now() - track.view.reported_at
        return track.view.reported_at < 0.0 or age_s > STALE_AFTER_POLLS * self.poll_interval_s()

    async def poll_forever(self, track: runner_tracks.Track) -> None:
        """Poll one runner until it leaves the configuration."""
        with track.scope:
            while True:
                track.absorb()
                if self.polls(track):
                    await self.poll(track)
                else:
                    track.correct()
                self.update_leaving(track)
                await anyio.sleep(self.poll_interval_s())

    async def poll(self, track: runner_tracks.Track) -> None:
        """Fetch one report; without one, try a fresh connection."""
        view = track.view
        if view.down:
            await self.check(view)
            return
        try:
            report = await track.load_of(view)
        except exceptions.RunnerLeavingError:
            self.refused(view)
            return
        except exceptions.RunnerFailedError:
            await self.check(view)
            track.correct()
            return
        track.accept(report)
        track.own_report = True
        track.report_version += 1
        self.changed(view.service)

    async def check(
        self, view: structures.RunnerView, *, replace: bool = True
    ) -> connections.ProbeResult:
        """Probe by a fresh connection: replace silent ones, or mark the runner down or up.

        Calls use it after a failed connection, a silent stream or a missed heartbeat.

        Parameters
        ----------
        replace : bool
            An own connection has failed, so the others are replaced when the probe succeeds.
        """
        found = await self.connections.probe(view)
        if found is connections.ProbeResult.ANSWERED:
            if replace and not view.down:
                await self.connections.replace(view)
                events.emit(events.Event.CONNECTION_REPLACED, "replaced", runner=view.id)
            self.mark_down(view, down=False)
            return found
        if found is connections.ProbeResult.REFUSED and not view.down:
            self.crashed(view)
        self.mark_down(view, down=True)
        return found

    async def idle(self, view: structures.RunnerView, since: float) -> bool:
        """Return whether a report made after ``since`` (monotonic time) shows no work at all."""
        track = self.tracks.get(structures.runner_key(view))
        if track is None:
            return False
        try:
            report = await track.load_of(view)
        except exceptions.RunnerFailedError:
            return False
        made_at = clock.now() - report.age_s
        return made_at >= since and report.queued + report.running == 0

    def mark_down(self, view: structures.RunnerView, *, down: bool) -> None:
        """Note that a runner is down or up again, and tell the peers."""
        if view.down == down:
            return
        view.down = down
        if down:
            view.reported_at = -1.0
        event = events.Event.RUNNER_DOWN if down else events.Event.RUNNER_RETURNED
        events.emit(event, "runner down" if down else "runner up", runner=view.id)
        self.tell(view)

    def tell(self, view: structures.RunnerView) -> None:
        """Send the state of a runner to the peers and wake the dispatcher."""
        track = self.tracks.get(structures.runner_key(view))
        if track is not None:
            track.told_leaving = track.own_leaving()
            track.told_at = clock.now()
        leaving = view.leaving if track is None else track.told_leaving
        notice = ttypes.RunnerNotice(
            service_name=view.service, runner=view.id, leaving=leaving, down=view.down
        )
        self.send(notice)
        self.changed(view.service)

    def refused(self, view: structures.RunnerView) -> None:
        """Note a 503 answer to new work."""
        track = self.tracks.get(structures.runner_key(view))
        if track is not None:
            track.refused_until = clock.now() + runner_tracks.REFUSED_LEAVING_S
            self.update_leaving(track)

    def receive(self, node: str, notice: ttypes.RunnerNotice) -> None:
        """Take over a peer's notice of leaving; a runner called down is probed from here.

        A peer may be cut off from a runner that this node reaches, so its word does not mark a
        runner as down.
        """
        track = self.tracks.get(f"{notice.service_name}/{notice.runner}")
        if track is None:
            return
        if notice.leaving:
            track.leaving_by_peer[node] = clock.now() + runner_tracks.NOTICE_LIFETIME_S
        else:
            track.leaving_by_peer.pop(node, None)
        if notice.down and not track.view.down and self.tasks is not None:
            self.tasks.start_soon(functools.partial(self.check, track.view, replace=False))
        self.update_leaving(track)
        self.changed(track.view.service)

    def apply_vms(self, machines: list[objectstore.Vm]) -> None:
        """Take over the platform's lagging list of VMs; it names hosts or runners."""
        leaving = {name for vm in machines if vm.leaving for name in (vm.name, vm.address)}
        for track in self.tracks.values():
            host = track.view.address.partition("://")[2]
            names = {track.view.id, host, host.rpartition(":")[0]}
            track.leaving_by_platform = not leaving.isdisjoint(names)
            self.update_leaving(track)

    def update_leaving(self, track: runner_tracks.Track) -> None:
        """Mark a runner as leaving or returned, and tell the peers what this node saw."""
        view = track.view
        leaving = track.leaving()
        if view.leaving != leaving:
            view.leaving = leaving
            event = events.Event.RUNNER_LEAVING if leaving else events.Event.RUNNER_RETURNED
            events.emit(event, "leaving" if leaving else "returned", runner=view.id)
            self.changed(view.service)
        own = track.own_leaving()
        repeat = own and clock.now() - track.told_at >= runner_tracks.NOTICE_REPEAT_S
        if own != track.told_leaving or repeat:
            self.tell(view)

    def digests(self, peer: str, limit: int = MAX_DIGESTS) -> list[ttypes.RunnerLoad]:
        """Return what changed since the last digests for a peer, those sent longest ago first.

        Only nodes of the same data centre share polls, so only they get the reports; the others
        poll themselves and get what was sent. Reports for all took 14 kB/s of an idle node among 7.
        """
        near = peer in self.nodes
        sent = self.digest_versions.setdefault(peer, {})
        due = [key for key, item in self.tracks.items() if item.changes(near) != sent.get(key, 0)]
        order = {key: place for place, key in enumerate(sent)}
        due.sort(key=lambda key: order.get(key, -1))
        chosen = due[:limit]
        for key in chosen:
            sent.pop(key, None)
            sent[key] = self.tracks[key].changes(near)
        return [self.digest(self.tracks[key], near) for key in chosen]

    def digest(self, track: runner_tracks.Track, near: bool) -> ttypes.RunnerLoad:
        """Describe own sends to a runner, and for near peers its report if this node polled it."""
        track.absorb()
        load = ttypes.RunnerLoad(
            runner=structures.runner_key(track.view),
            in_flight=track.view.in_flight,
            sent_tokens=0,
            sent_requests=track.own.total,
        )
        if near and track.own_report and track.view.reported_at >= 0.0:
            load.age_ms = round(1000 * (clock.now() - track.view.reported_at))
            load.queued = track.report.queued
            load.running = track.report.running
            load.cached_tokens = track.report.cached_tokens
            load.leaving = track.report.leaving
        return load

    def accept_digests(self, node: str, loads: list[ttypes.RunnerLoad]) -> None:
        """Take over a peer's digests."""
        for load in loads:
            track = self.tracks.get(load.runner)
            if track is None:
                continue
            track.peers.setdefault(node, runner_tracks.SentHistory()).note(load.sent_requests)
            if load.age_ms is not None and load.age_ms >= 0:
                self.accept_peer_report(track, load)
            track.correct()
            self.update_leaving(track)
            self.changed(track.view.service)

    def accept_peer_report(self, track: runner_tracks.Track, load: ttypes.RunnerLoad) -> None:
        """Take over a report that a peer polled."""
        newer = clock.now() - load.age_ms / 1000 > track.view.reported_at
        track.accept(
            adapters.LoadReport(
                queued=load.queued or 0,
                running=load.running or 0,
                cached_tokens=load.cached_tokens or 0,
                age_s=load.age_ms / 1000,
                leaving=bool(load.leaving),
            )
        )
        if newer:
            track.own_report = False

    def forget_peer(self, node: str) -> None:
        """Drop the counts of a node that is gone."""
        for track in self.tracks.values():
            track.peers.pop(node, None)
            track.leaving_by_peer.pop(node, None)
        self.digest_versions.pop(node, None)
