"""The nodes and engines of an experiment, with lagging reports, gossip and lossy events."""

import dataclasses
import math
import zlib

import anyio
import anyio.abc
import numpy as np

from dogwoodgap import clock, registry, scheduler, structures
from dogwoodgap_lab import direct_adapter, engine_model, strategies, workload

TICK_S = 0.5
REPORT_LAG_S = 0.25
EVENT_LAG_S = 0.5
EVENT_LOSS = 0.03
ORDER_LOSS = 0.01
SWEEP_TICKS = 2
RECONCILE_TICKS = 10
SPEED = engine_model.EngineSpeed()


class Node:
    """One entry VM: its views of the runners and its dispatcher."""

    def __init__(self, number: int, deployment: workload.Deployment, strategy: strategies.Strategy):
        self.data_centre = deployment.data_centres[number % len(deployment.data_centres)]
        self.views = [
            structures.RunnerView(
                service=deployment.name,
                id=f"r{runner}",
                address="",
                data_centre=deployment.data_centres[runner % len(deployment.data_centres)],
                slots=SPEED.slots,
                cache_tokens=deployment.memory_tokens,
            )
            for runner in range(deployment.runners)
        ]
        self.dispatcher = scheduler.Dispatcher(
            deployment.name,
            lambda: self.views,
            ordering=registry.create("ordering", strategy.ordering, **strategy.ordering_options),
            placement=registry.create(
                "placement", strategy.placement, **strategy.placement_options
            ),
            retention=registry.create(
                "retention", strategy.retention, **strategy.retention_options
            ),
            admission=registry.create("admission", strategy.admission),
            data_centre=self.data_centre,
            seed=number,
        )
        self.sent: dict[str, int] = {}


class Fleet:
    """Nodes and runners of a deployment and what they do in the background.

    Parameters
    ----------
    memory : MemoryTokenSeconds
        Account of the engines' memory.
    seed : int
        Of lost orders and events.
    """

    def __init__(
        self,
        deployment: workload.Deployment,
        strategy: strategies.Strategy,
        memory: engine_model.MemoryTokenSeconds,
        seed: int,
    ):
        registry.load()
        self.strategy = strategy
        speed = dataclasses.replace(SPEED, memory_tokens=deployment.memory_tokens)
        self.runners = {
            f"r{number}": engine_model.SimulatedRunner(f"r{number}", speed, memory)
            for number in range(deployment.runners)
        }
        self.adapter = direct_adapter.DirectEngineAdapter(self.runners, deployment.delay_s)
        self.nodes = [Node(number, deployment, strategy) for number in range(deployment.nodes)]
        self.random = np.random.default_rng([seed, 99])

    async def run(self) -> None:
        """Run until cancelled."""
        async with anyio.create_task_group() as background:
            self.background = background
            for runner in self.runners.values():
                background.start_soon(runner.run)
            background.start_soon(self.tick)

    def owner(self, session: str) -> Node:
        """Return the node that owns the shard of a session."""
        customer, _, program = session.partition("/")
        root = program.split(".", maxsplit=1)[0]
        return self.nodes[zlib.crc32(f"{customer}/{root}".encode()) % len(self.nodes)]

    def execute(self, orders: list[structures.CacheOrder]) -> None:
        """Send orders to engines; a few get lost."""
        for order in orders:
            if self.random.random() >= ORDER_LOSS:
                self.background.start_soon(self.send_order, order)

    async def send_order(self, order: structures.CacheOrder) -> None:
        """Carry out one order."""
        view = self.nodes[0].dispatcher.view(order.runner)
        if order.action == structures.CacheAction.EXPORT:
            await self.adapter.export(view, order.session, order.tokens)
        else:
            await self.adapter.release(view, order.session)

    async def tick(self) -> None:
        """Deliver reports, gossip and events; run the periodic work of all nodes."""
        ticks = 0
        while True:
            made_at = clock.now()
            reports = {
                name: (len(model.waiting), len(model.running), model.used_tokens)
                for name, model in self.runners.items()
            }
            await anyio.sleep(REPORT_LAG_S)
            self.deliver_reports(reports, made_at)
            self.gossip(made_at)
            self.deliver_events()
            for node in self.nodes:
                node.dispatcher.notify()
            ticks += 1
            if ticks % SWEEP_TICKS == 0:
                for node in self.nodes:
                    self.execute(node.dispatcher.sweep())
            if self.strategy.reconciles and ticks % RECONCILE_TICKS == 0:
                self.reconcile()
            await anyio.sleep(TICK_S - REPORT_LAG_S)

    def deliver_reports(self, reports: dict[str, tuple[int, int, int]], made_at: float) -> None:
        """Give every node the load reports."""
        for node in self.nodes:
            for view in node.views:
                view.queued, view.running, view.cached_tokens = reports[view.id]
                node.dispatcher.load_reported(view.id, made_at)

    def gossip(self, made_at: float) -> None:
        """Tell every node what its peers sent in the last interval."""
        sent = [node.sent for node in self.nodes]
        for node in self.nodes:
            node.sent = {}
        if not self.strategy.shares_load:
            return
        for node, own in zip(self.nodes, sent, strict=True):
            for peer in sent:
                if peer is own:
                    continue
                for runner, count in peer.items():
                    # About half of the interval's sends are newer than the report.
                    newer = math.floor(count * REPORT_LAG_S / TICK_S + 0.5)
                    if newer:
                        node.dispatcher.peers_sent(runner, made_at + 1e-6, newer)

    def deliver_events(self) -> None:
        """Deliver cache events late and with gaps."""
        limit = clock.now() - EVENT_LAG_S
        for name, model in self.runners.items():
            due = [event for event in model.events if event.at <= limit]
            model.events = model.events[len(due) :]
            for event in due:
                if self.random.random() < EVENT_LOSS:
                    continue
                targets = [self.owner(event.key)] if "/" in event.key else self.nodes
                for node in targets:
                    node.dispatcher.apply_cache_event(name, event.key, event.tokens)

    def reconcile(self) -> None:
        """Compare what engines hold with the live programs of every node."""
        for name, model in self.runners.items():
            held: dict[int, list[str]] = {}
            for key, entry in model.entries.items():
                if "/" in key and entry.pins == 0:
                    held.setdefault(self.nodes.index(self.owner(key)), []).append(key)
            for number, keys in held.items():
                self.execute(self.nodes[number].dispatcher.reconcile(name, keys))
