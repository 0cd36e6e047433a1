"""An asyncio loop on virtual time that a state machine can run step by step."""

import asyncio
import selectors


class TimeSkippingSelector(selectors.DefaultSelector):
    """Never waits; reports the time that it would have waited."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Time passes only when nothing is ready, and only while the loop is being run."""

    def __init__(self):
        self.selector = TimeSkippingSelector()
        super().__init__(self.selector)

    def time(self) -> float:
        return self.selector.now

    def advance(self, seconds: float) -> None:
        """Run everything that is due within a span of time."""
        self.run_until_complete(asyncio.sleep(seconds))
