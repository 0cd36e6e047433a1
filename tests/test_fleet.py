"""Three nodes on real sockets in one process: one killed, one stopped as planned."""

import asyncio
import socket

import anyio
import httpx
import pytest

from dogwoodgap import exceptions, node, settings
from dogwoodgap_lab import (
    chaos,
    deployments,
    engine,
    engine_server,
    evidence,
    faults,
    load,
    objects,
    oracle,
    plain_service,
    platform_server,
    probes,
    serving,
    stage,
)

PROGRAMS = 12
PAUSE_S = 0.6
DISCOVERY_TTL_S = 1.0


def free_base(layout_ports=500):
    """Return the first of a range of ports that nothing listens on."""
    for base in range(30_000, 60_000, layout_ports):
        wanted = [base + offset for offset in (0, 100, 101, 102, 200, 201, 202, 300, 400)]
        if all(is_free(port) for port in wanted):
            return base
    raise AssertionError("no free range of ports")


def is_free(port):
    with socket.socket() as probe:
        return probe.connect_ex(("127.0.0.1", port)) != 0


def stand_ins(layout):
    """Return the platform and the runners of a layout."""
    platform = platform_server.build(objects.MemoryObjectStore(1))
    address = layout.platform_url.removeprefix("http://")
    found = [serving.StandIn(platform, address, faults.FaultInjector(1))]
    for port in layout.model_ports(0):
        switch = faults.FaultInjector(port)
        application = engine_server.build(engine.Engine(fault_injector=switch))
        found.append(serving.StandIn(application, f"127.0.0.1:{port}", switch))
    ledger = plain_service.Ledger()
    for port in layout.plain_ports(0):
        switch = faults.FaultInjector(port)
        service = plain_service.PlainService(ledger, switch, answers_outcomes=True)
        application = plain_service.build(service)
        found.append(serving.StandIn(application, f"127.0.0.1:{port}", switch))
    return found


class RunningNode:
    """A node with the scope that kills it."""

    def __init__(self, layout, index):
        document = deployments.node_settings(layout, index)
        document["membership"] = {"discovery_ttl_s": DISCOVERY_TTL_S}
        self.node = node.Node(settings.NodeSettings.model_validate(document))
        self.scope = anyio.CancelScope()
        self.ended = anyio.Event()

    async def run(self):
        try:
            with self.scope:
                await self.node.run()
        except* asyncio.InvalidStateError:
            # hypercorn looks for the result of a task that the kill has cancelled.
            assert self.scope.cancel_called
        self.ended.set()


async def scenario(layout):
    """Return the load and the evidence of a run with a killed and a stopped node."""
    stopping = anyio.Event()
    async with anyio.create_task_group() as tasks:
        for item in stand_ins(layout):

            async def serve(item=item):
                await serving.serve_one(item, stopping, crash_exits=False)

            tasks.start_soon(serve)
        nodes = [RunningNode(layout, index) for index in range(layout.node_count)]
        for running in nodes:
            tasks.start_soon(running.run)
        async with httpx.AsyncClient(limits=httpx.Limits(max_keepalive_connections=0)) as http:
            field = stage.FleetController(layout, http)
            await field.configure()
            await field.wait_shards_balanced()
            done = load.Load(field, 1, PAUSE_S)
            found = oracle.Evidence(traces=done.traces)
            async with anyio.create_task_group() as course:
                course.start_soon(done.run, PROGRAMS, 4.0)
                await anyio.sleep(1.5)
                nodes[0].scope.cancel()
                await anyio.sleep(4.0)
                watched = probes.Probes(field, layout.node_urls()[1])
                course.start_soon(watched.run, 1.0, 0.1, 30)
                await anyio.sleep(0.3)
                nodes[1].node.stop.request()
                await nodes[1].ended.wait()
            found.cut_requests = watched.cut
            found.probes_in_planned_stops = watched.sent
            await evidence.collect(field, found)
        for running in nodes:
            running.scope.cancel()
            await running.ended.wait()
        stopping.set()
    return done, found


def test_programs_outlive_a_killed_and_a_stopped_node(tmp_path):
    """Guards against any broken rule of the design page when two of three nodes go."""
    layout = deployments.Layout(tmp_path, [deployments.ORECHOV], 3, free_base())
    deployments.write_layout(layout)
    done, found = anyio.run(scenario, layout, backend_options={"use_uvloop": True})
    assert {rule: broken for rule, broken in oracle.verify(found).items() if broken} == {}
    assert [trace.error for trace in done.traces if trace.error] == []
    assert done.ended == PROGRAMS
    assert found.probes_in_planned_stops > 5


def test_node_that_is_not_ready_in_time_becomes_a_finding(tmp_path, monkeypatch):
    """Guards against a check that ends with a traceback in place of a verdict."""
    layout = deployments.Layout(tmp_path, [deployments.ORECHOV], 1, free_base())
    monkeypatch.setattr(stage, "READY_TIMEOUT_S", 0.2)
    found = oracle.Evidence()

    async def wait() -> None:
        async with httpx.AsyncClient() as http, anyio.create_task_group() as tasks:
            field = stage.FleetController(layout, http)
            disorder = chaos.Chaos(field, load.Load(field, 1, PAUSE_S), found, tasks)
            with disorder.noting("kill"):
                await field.wait_ready([0])

    anyio.run(wait)
    assert found.overdue == ["kill: node1 was not ready within 0.2 s; read the logs"]


def test_missing_layout_is_named_with_its_remedy(tmp_path):
    """Guards against a traceback when a check runs before its layout is written."""
    with pytest.raises(exceptions.SettingsInvalidError, match="dogwoodgap-lab layout"):
        deployments.read_layout(tmp_path / "none")
