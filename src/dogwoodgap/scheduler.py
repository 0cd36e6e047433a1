"""The dispatcher: chooses when and on which runner a model call runs."""

import collections.abc

import anyio

from dogwoodgap import clock, exceptions, structures


class Dispatcher:
    """Queue and placement of the model calls of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    runners : callable
        Returns the current views of the service's runners.
    """

    def __init__(
        self,
        service: str,
        runners: collections.abc.Callable[[], list[structures.RunnerView]],
    ):
        self.service = service
        self.runners = runners
        self.changed = anyio.Event()

    async def acquire(self, item: structures.WorkItem) -> structures.Placement:
        """Wait for a runner and count the call as in flight there.

        Raises
        ------
        OverloadedError
            When the deadline passes first.
        """
        while True:
            runner = self.choose(item)
            if runner is not None:
                runner.in_flight += 1
                runner.sent_since_report += 1
                return structures.Placement(runner, priority=0)
            await self.wait_for_change(item)

    def choose(self, item: structures.WorkItem) -> structures.RunnerView | None:
        """Return the least loaded usable runner."""
        usable = [
            view
            for view in self.runners()
            if not view.down and not view.leaving and view.id not in item.exclude
        ]
        return min(usable, key=lambda view: (view.in_flight, view.id), default=None)

    async def wait_for_change(self, item: structures.WorkItem) -> None:
        """Wait until a runner may have become usable."""
        changed = self.changed
        with anyio.move_on_after(max(0.0, item.deadline_at - clock.now())) as scope:
            await changed.wait()
        if scope.cancelled_caught:
            raise exceptions.OverloadedError(
                f"no runner of {self.service} was free before the deadline; repeat later"
            )

    def release(self, placement: structures.Placement, *, failed: bool = False) -> None:
        """Count a call as finished."""
        placement.runner.in_flight -= 1
        self.notify()

    def notify(self) -> None:
        """Wake all waiting calls; called when runners or loads change."""
        self.changed.set()
        self.changed = anyio.Event()
