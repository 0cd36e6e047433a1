"""Tests for service controllers: read-back, reconciliation and change of the controller."""

import anyio
import virtual_time

from dogwoodgap import adapters, exceptions, models, orders, structures


class FakeEngine:
    """Engine that may check fencing numbers and lose replies."""

    def __init__(self, *, checks: bool):
        self.checks = checks
        self.loaded = adapters.EngineState()
        self.order_s = 0.0
        self.lost_replies = 0
        self.log: list[adapters.EngineOrder] = []
        self.times: list[float] = []

    async def state(self, view) -> adapters.EngineState:
        return adapters.EngineState(self.loaded.model, list(self.loaded.adapters))

    async def order(self, view, order: adapters.EngineOrder) -> None:
        if self.checks and order.fencing < self.loaded.fencing:
            raise exceptions.FencingRefusedError("old")
        self.loaded.fencing = order.fencing
        await anyio.sleep(self.order_s)
        self.log.append(order)
        self.times.append(anyio.current_time())
        if order.kind == "load_model":
            self.loaded.model = order.value
            self.loaded.adapters = []
        else:
            self.loaded.adapters.append(order.value)
        if self.lost_replies:
            self.lost_replies -= 1
            raise exceptions.RunnerFailedError("reply lost")


def configuration(model: str) -> models.FleetConfiguration:
    service = models.Service(kind="model", model=model, adapters=["moisture"])
    return models.FleetConfiguration(services={"llm": service})


def make_controllers(engine: FakeEngine, control, model: str) -> orders.ServiceControllers:
    view = structures.RunnerView("llm", "r", "http://r", "dc", 4, 1, checks_fencing=engine.checks)
    controllers = orders.ServiceControllers(engine, lambda service: [view], control)
    controllers.apply(configuration(model))
    return controllers


def test_desired_state_is_reached_once_and_restored_after_a_restart():
    """Guards against repeated loads after a lost reply, and a restarted engine that stays empty."""

    async def main():
        engine = FakeEngine(checks=True)
        engine.lost_replies = 1
        controllers = make_controllers(engine, lambda service: 7, "m1")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(controllers.run)
            await anyio.sleep(60.0)
            assert [order.kind for order in engine.log] == ["load_model", "load_adapter"]
            engine.loaded = adapters.EngineState()
            await anyio.sleep(2 * orders.RECONCILE_INTERVAL_S)
            assert engine.loaded.model == "m1"
            controllers.apply(configuration("m2"))
            await anyio.sleep(1.0)
            assert (engine.loaded.model, engine.loaded.adapters) == ("m2", ["moisture"])
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_node_without_control_sends_no_orders():
    """Guards against two active controllers, including when control is lost between two orders."""

    async def main():
        engine = FakeEngine(checks=False)
        numbers: dict[str, int | None] = {"llm": None}
        controllers = make_controllers(engine, numbers.get, "m1")
        engine.order_s = 2.0
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(controllers.run)
            await anyio.sleep(100.0)
            assert engine.log == []
            numbers["llm"] = 1
            await anyio.sleep(
                orders.RECONCILE_INTERVAL_S
                + orders.MAX_ORDER_DURATION_S
                + orders.RECONCILE_INTERVAL_S
            )
            numbers["llm"] = None
            await anyio.sleep(100.0)
            assert len(engine.log) <= 2
            before = len(engine.log)
            engine.loaded = adapters.EngineState()
            await anyio.sleep(100.0)
            assert len(engine.log) == before
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_new_controller_waits_for_old_orders_on_an_engine_without_fencing():
    """Guards against an order of the old controller that takes effect after a newer one."""

    async def main():
        engine = FakeEngine(checks=False)
        owner = {"old": 1, "new": None}
        old = make_controllers(engine, lambda service: owner["old"], "old")
        new = make_controllers(engine, lambda service: owner["new"], "new")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(old.run)
            tasks.start_soon(new.run)
            await anyio.sleep(orders.MAX_ORDER_DURATION_S + 1.0)
            engine.loaded = adapters.EngineState()
            engine.order_s = orders.MAX_ORDER_DURATION_S - 1.0
            old.notify()
            await anyio.sleep(0.5)
            engine.order_s = 1.0
            owner.update(old=None, new=2)
            new.notify()
            await anyio.sleep(10 * orders.MAX_ORDER_DURATION_S)
            values = [order.value for order in engine.log if order.kind == "load_model"]
            assert values == ["old", "old", "new"]
            assert engine.loaded.model == "new"
            tasks.cancel_scope.cancel()

    virtual_time.run(main)


def test_engine_with_fencing_refuses_a_stale_controller():
    """Guards against a replaced controller that still sends orders and reverts its successor's."""

    async def main():
        engine = FakeEngine(checks=True)
        old = make_controllers(engine, lambda service: 1, "old")
        new = make_controllers(engine, lambda service: 2, "new")
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(old.run)
            await anyio.sleep(2.0)
            tasks.start_soon(new.run)
            await anyio.sleep(100.0)
            assert engine.loaded.model == "new"
            assert [order.fencing for order in engine.log] == [1, 1, 2, 2]
            tasks.cancel_scope.cancel()

    virtual_time.run(main)
