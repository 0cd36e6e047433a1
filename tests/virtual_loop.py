"""An asyncio event loop on virtual time that a state machine can run step by step."""

import asyncio
import selectors


class TimeSkippingSelector(selectors.DefaultSelector):
    """Never blocks; advances ``now`` by the time that it would have blocked."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time advances only while it runs and no callback is ready."""

    def __init__(self):
        self.selector = TimeSkippingSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        return self.selector.now

    def advance(self, seconds: float) -> None:
        """Run all callbacks that are due within a number of virtual seconds."""
        self.run_until_complete(asyncio.sleep(seconds))
