"""Tests for the directory of runners: configuration, load, leaving and silent connections."""

import anyio
import virtual_time

from dogwoodgap import adapters, connections, exceptions, models, objectstore, runners
from dogwoodgap_wire import ttypes


class Backends:
    """Fake load reports, probes and connections of all runners."""

    def __init__(self):
        self.reports: dict[str, adapters.LoadReport] = {}
        self.silent: set[str] = set()
        self.probes: dict[str, connections.ProbeResult] = {}
        self.replaced: list[str] = []
        self.polls: dict[str, int] = {}

    async def load(self, view) -> adapters.LoadReport:
        self.polls[view.id] = self.polls.get(view.id, 0) + 1
        if view.id in self.silent:
            await anyio.sleep(1.0)
            raise exceptions.RunnerFailedError("silent")
        return self.reports.get(view.id, adapters.LoadReport())

    async def probe(self, view) -> connections.ProbeResult:
        return self.probes.get(view.id, connections.ProbeResult.ANSWERED)

    async def replace(self, view) -> None:
        self.replaced.append(view.id)
        self.silent.discard(view.id)


def configuration(*ids: str, slots: int = 4) -> models.FleetConfiguration:
    chosen = [
        models.Runner(id=id, address=f"http://{id}:1", data_centre="dc", slots=slots) for id in ids
    ]
    return models.FleetConfiguration(services={"llm": models.Service(kind="model", runners=chosen)})


def make_directory(backends: Backends, node: str = "n1", notices=None, crashed=None):
    directory = runners.Directory(
        node,
        backends,
        engine_load=backends.load,
        service_load=backends.load,
        send=(notices if notices is not None else []).append,
        on_crash=(crashed if crashed is not None else []).append,
    )
    directory.apply(configuration("r1", "r2"))
    return directory


def test_configuration_changes_keep_requests_in_flight():
    """Guards against wrong in-flight counts after changes of the configured runners."""

    async def main():
        directory = make_directory(Backends())
        view = directory.view("llm/r1")
        view.in_flight = 3
        directory.apply(configuration("r1", "r3", slots=9))
        assert directory.view("llm/r1") is view
        assert (view.in_flight, view.slots) == (3, 9)
        assert directory.view("llm/r2") is None
        directory.apply(configuration("r3"))
        directory.apply(configuration("r1", "r3"))
        assert directory.view("llm/r1") is view

    virtual_time.run(main)


def test_load_counts_only_sends_after_the_report_was_made():
    """Guards against requests counted twice or not at all when reports lag."""

    async def main():
        backends = Backends()
        directory = make_directory(backends)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(directory.run)
            await anyio.sleep(5.0)
            view = directory.view("llm/r1")
            view.sent_since_report += 4
            directory.apply_load_updates("n2", [ttypes.RunnerLoad("llm/r1", 0, 0, 10)])
            await anyio.sleep(2.0)
            assert view.sent_since_report == 0
            backends.reports["r1"] = adapters.LoadReport(queued=1, running=2, age_s=1.0)
            await anyio.sleep(2.0)
            view.sent_since_report += 3
            directory.apply_load_updates("n2", [ttypes.RunnerLoad("llm/r1", 0, 0, 12)])
            await anyio.sleep(0.5)
            assert (view.queued, view.running, view.sent_since_report) == (1, 2, 5)
            await anyio.sleep(1.5)
            assert view.sent_since_report == 0
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_nodes_of_a_data_centre_share_the_polls():
    """Guards against polling load that grows with the node count, and against a dead poller."""

    async def main():
        backends_by_node = {name: Backends() for name in ("n1", "n2")}
        directories = {
            name: make_directory(backends_by_node[name], name) for name in backends_by_node
        }

        async def gossip():
            while True:
                await anyio.sleep(0.2)
                for name, peer in (("n1", "n2"), ("n2", "n1")):
                    directories[peer].apply_load_updates(name, directories[name].load_updates(peer))

        async with anyio.create_task_group() as tasks:
            for directory in directories.values():
                directory.set_nodes(["n1", "n2"])
                tasks.start_soon(directory.run)
            async with anyio.create_task_group() as gossiping:
                gossiping.start_soon(gossip)
                await anyio.sleep(60.0)
                polls = [
                    backends_by_node[name].polls.get(id, 0)
                    for id in ("r1", "r2")
                    for name in backends_by_node
                ]
                gossiping.cancel_scope.cancel()
            assert sorted(polls)[0] <= 3
            assert sum(polls) < 1.1 * 2 * 60.0 / directories["n1"].poll_interval_s()
            await anyio.sleep(5.0)
            for directory in directories.values():
                assert all(view.reported_at > 60.0 for view in directory.views("llm"))
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_leaving_is_detected_within_three_seconds_and_ends():
    """Guards against new work on a leaving runner, and against a returned one left excluded."""

    async def main():
        backends = Backends()
        notices = []
        directory = make_directory(backends, notices=notices)
        view = directory.view("llm/r1")
        peer = ttypes.RunnerNotice("llm", "r1", leaving=True, down=False)
        back = ttypes.RunnerNotice("llm", "r1", leaving=False, down=False)
        leaving_signals = [
            (
                lambda: backends.reports.update(r1=adapters.LoadReport(leaving=True)),
                lambda: backends.reports.update(r1=adapters.LoadReport()),
            ),
            (lambda: directory.record_refusal(view), lambda: None),
            (
                lambda: directory.apply_vms([objectstore.Vm("r1", "10.0.0.1", leaving=True)]),
                lambda: directory.apply_vms([objectstore.Vm("r1", "10.0.0.1")]),
            ),
            (
                lambda: directory.apply_notice("n2", peer),
                lambda: directory.apply_notice("n2", back),
            ),
        ]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(directory.run)
            for begin, end in leaving_signals:
                begin()
                await anyio.sleep(3.0)
                assert view.leaving
                end()
                await anyio.sleep(6.0)
                assert not view.leaving
            announced = [notice.leaving for notice in notices]
            assert announced.count(True) >= 3
            assert announced[-1] is False
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_silent_connection_is_replaced_before_the_runner_counts_as_down():
    """Guards against marking a healthy runner down, or a dead one up, after a silent connection."""

    async def main():
        backends = Backends()
        crashed = []
        directory = make_directory(backends, crashed=crashed)
        view = directory.view("llm/r1")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(directory.run)
            await anyio.sleep(1.0)
            backends.silent.add("r1")
            await anyio.sleep(3.0)
            assert backends.replaced == ["r1"]
            assert not view.down
            backends.silent.add("r1")
            backends.probes["r1"] = connections.ProbeResult.SILENT
            await anyio.sleep(3.0)
            assert view.down
            assert crashed == []
            backends.probes["r1"] = connections.ProbeResult.ANSWERED
            backends.silent.discard("r1")
            await anyio.sleep(3.0)
            assert not view.down
            backends.silent.add("r1")
            backends.probes["r1"] = connections.ProbeResult.REFUSED
            await anyio.sleep(3.0)
            assert crashed == [view]
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_old_load_report_does_not_show_an_idle_runner():
    """Guards against running a suspect beside other requests that a stale report omits."""

    async def main():
        backends = Backends()
        directory = make_directory(backends)
        view = directory.view("llm/r1")
        await anyio.sleep(10.0)
        backends.reports["r1"] = adapters.LoadReport(age_s=2.0)
        assert not await directory.is_idle(view, since=9.0)
        assert await directory.is_idle(view, since=8.0)
        backends.reports["r1"] = adapters.LoadReport(running=1)
        assert not await directory.is_idle(view, since=8.0)

    virtual_time.run(main)


def test_down_notice_of_a_peer_is_verified_by_a_probe():
    """Guards against a partitioned peer that marks healthy runners down on all nodes."""

    async def main():
        backends = Backends()
        directory = make_directory(backends)
        view = directory.view("llm/r1")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(directory.run)
            await anyio.sleep(1.0)
            directory.apply_notice("n2", ttypes.RunnerNotice("llm", "r1", leaving=False, down=True))
            await anyio.sleep(0.1)
            assert not view.down
            assert backends.replaced == []
            backends.probes["r1"] = connections.ProbeResult.SILENT
            directory.apply_notice("n2", ttypes.RunnerNotice("llm", "r1", leaving=False, down=True))
            await anyio.sleep(0.1)
            assert view.down
            directory.apply_notice(
                "n2", ttypes.RunnerNotice("llm", "r1", leaving=False, down=False)
            )
            assert view.down
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_reports_go_to_peers_of_the_data_centre_only():
    """Guards against sending reports to remote peers, which poll the runners themselves."""

    async def main():
        directory = make_directory(Backends(), "n1")
        directory.set_nodes(["n1", "near"])
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(directory.run)
            await anyio.sleep(5.0)
            assert any(load.age_ms is not None for load in directory.load_updates("near"))
            assert directory.load_updates("far") == []
            directory.view("llm/r1").sent_since_report += 3
            await anyio.sleep(1.0)
            updates = directory.load_updates("far")
            assert [(load.runner, load.sent_requests) for load in updates] == [("llm/r1", 3)]
            assert directory.load_updates("far") == []
            tasks.cancel_scope.cancel()

    virtual_time.run(main)
