"""Service controllers, which bring model engines to the configured state by orders.

The controller of a service periodically compares what each engine has loaded with the configuration
and sends orders for what is missing, one at a time per engine. Engines that check the fencing
number refuse orders from an old controller. An engine that does not check it gets no orders from a
new controller until the last order of the previous one must have ended.
"""

import collections.abc
import dataclasses

import anyio

from dogwoodgap import adapters, clock, events, exceptions, models, structures

RECONCILE_INTERVAL_S = 5.0
MAX_ORDER_DURATION_S = adapters.TRANSFER_TIMEOUT_S
"""Maximum time from the decision to send an order until its last effect."""

MAX_CONCURRENT_LOADS = 4
"""Engines of a service that load concurrently, since the weight store is rate-limited."""

FencingLookup = collections.abc.Callable[[str], int | None]
RunnerLookup = collections.abc.Callable[[str], list[structures.RunnerView]]


@dataclasses.dataclass(frozen=True, slots=True)
class DesiredState:
    """State that the engines of a service should have; empty fields are not enforced."""

    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = ""


def desired_state(service: models.Service) -> DesiredState:
    """Return the desired state from a service's configuration."""
    return DesiredState(service.model, service.version, tuple(service.adapters), service.role)


def missing_orders(
    desired: DesiredState, state: adapters.EngineState, fencing: int
) -> list[adapters.EngineOrder]:
    """Return the orders that bring an engine from its reported state to the desired one.

    Model and version come first, since engines drop their adapters when these change.
    """
    orders = []
    if desired.model and state.model != desired.model:
        orders.append(adapters.EngineOrder(fencing, "load_model", desired.model))
    if desired.version and state.version != desired.version:
        orders.append(adapters.EngineOrder(fencing, "set_version", desired.version))
    orders.extend(
        adapters.EngineOrder(fencing, "load_adapter", name)
        for name in desired.adapters
        if name not in state.adapters
    )
    if desired.role and state.role != desired.role:
        orders.append(adapters.EngineOrder(fencing, "set_role", desired.role))
    return orders


class ServiceController:
    """Brings the engines of one service to the desired state while this node controls it.

    Attributes
    ----------
    fencing : int or None
        Fencing number with which this node controls the service; ``None`` if another node does.
    acquired_at : float
        Monotonic time at which this node learned the number.
    """

    def __init__(self, service: str, engine: adapters.EngineAdapter, lookup_fencing: FencingLookup):
        self.service = service
        self.engine = engine
        self.lookup_fencing = lookup_fencing
        self.desired = DesiredState()
        self.fencing: int | None = None
        self.acquired_at = 0.0
        self.limiter = anyio.Semaphore(MAX_CONCURRENT_LOADS)
        self.refusing_runners: set[str] = set()

    def refresh(self) -> bool:
        """Update the fencing number and return whether this node controls the service."""
        fencing = self.lookup_fencing(self.service)
        if fencing != self.fencing:
            self.fencing = fencing
            self.acquired_at = clock.now()
            self.refusing_runners.clear()
            if fencing is not None:
                events.emit(
                    events.Event.CONTROL_ACQUIRED,
                    "acquired control of the engines of a service",
                    service=self.service,
                    fencing=fencing,
                )
        return fencing is not None

    def may_order(self, view: structures.RunnerView) -> bool:
        """Return whether orders may be sent to an engine now.

        An engine that does not check fencing may still be executing the last order of the previous
        controller, so a new controller waits until that order must have ended.
        """
        if view.down or structures.runner_key(view) in self.refusing_runners:
            return False
        return view.checks_fencing or clock.now() >= self.acquired_at + MAX_ORDER_DURATION_S

    async def reconcile(self, views: list[structures.RunnerView]) -> None:
        """Read the state of every engine and send the missing orders."""
        if not self.refresh():
            return
        async with anyio.create_task_group() as tasks:
            for view in views:
                if self.may_order(view):
                    tasks.start_soon(self.reconcile_engine, view)

    async def reconcile_engine(self, view: structures.RunnerView) -> None:
        """Send the missing orders to one engine, reading its state back after each."""
        async with self.limiter:
            try:
                state = await self.engine.state(view)
                while self.refresh() and self.may_order(view):
                    orders = missing_orders(self.desired, state, self.fencing or 0)
                    if not orders:
                        return
                    state = await self.order(view, orders[0])
                    if orders[0] in missing_orders(self.desired, state, self.fencing or 0):
                        raise exceptions.RunnerFailedError(
                            f"runner {view.id} accepted {orders[0].kind} without effect; it will "
                            "be retried"
                        )
            except exceptions.FencingRefusedError as error:
                self.refusing_runners.add(structures.runner_key(view))
                events.emit(events.Event.ORDER_REFUSED, error.detail, runner=view.id)
            except exceptions.RunnerFailedError as error:
                events.emit(events.Event.ORDER_FAILED, error.detail, runner=view.id)

    async def order(
        self, view: structures.RunnerView, order: adapters.EngineOrder
    ) -> adapters.EngineState:
        """Send one order with a time limit and return the state that was read back."""
        events.emit(
            events.Event.ORDER_SENT, "order sent", runner=view.id, kind=order.kind, to=order.value
        )
        with anyio.move_on_after(MAX_ORDER_DURATION_S):
            await self.engine.order(view, order)
        return await self.engine.state(view)


class ServiceControllers:
    """The controllers of all model services.

    Parameters
    ----------
    engine : adapters.EngineAdapter
        Sends orders.
    views : callable
        Returns the views of a service's runners.
    lookup_fencing : callable
        Returns the fencing number with which this node controls a service, or ``None``. The number
        must increase with every change of the controller.
    """

    def __init__(
        self, engine: adapters.EngineAdapter, views: RunnerLookup, lookup_fencing: FencingLookup
    ):
        self.engine = engine
        self.views = views
        self.lookup_fencing = lookup_fencing
        self.controllers: dict[str, ServiceController] = {}
        self.changed = anyio.Event()

    def apply(self, configuration: models.FleetConfiguration) -> None:
        """Update the controllers and desired states of all model services."""
        names = {
            name for name, service in configuration.services.items() if service.kind == "model"
        }
        for removed in set(self.controllers) - names:
            del self.controllers[removed]
        for name in names:
            if name not in self.controllers:
                self.controllers[name] = ServiceController(name, self.engine, self.lookup_fencing)
            self.controllers[name].desired = desired_state(configuration.services[name])
        self.notify()

    def notify(self) -> None:
        """Reconcile immediately; called when the configuration or the assignment changed."""
        self.changed.set()
        self.changed = anyio.Event()

    async def run(self) -> None:
        """Run one task per controller until cancelled."""
        async with anyio.create_task_group() as tasks:
            running: dict[str, ServiceController] = {}
            while True:
                changed = self.changed
                for name, controller in self.controllers.items():
                    if running.get(name) is not controller:
                        running[name] = controller
                        tasks.start_soon(self.run_service, name, controller)
                await changed.wait()

    async def run_service(self, name: str, controller: ServiceController) -> None:
        """Reconcile the engines of a service until it leaves the configuration."""
        while self.controllers.get(name) is controller:
            changed = self.changed
            await controller.reconcile(self.views(name))
            with anyio.move_on_after(RECONCILE_INTERVAL_S):
                await changed.wait()
