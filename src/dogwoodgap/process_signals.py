"""Signals of a serving process: held while it starts, then received until it ends.

The default action of a signal would end the process at once, without an orderly stop.
"""

import collections.abc
import contextlib
import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def hold() -> None:
    """Ignore SIGHUP and hold the signals that request a stop; for the start of the process."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)


@contextlib.contextmanager
def receive() -> collections.abc.Iterator[collections.abc.AsyncIterator[signal.Signals]]:
    """Receive SIGHUP and the signals that request a stop, also those held so far."""
    # Imported here, since a process holds its signals before it imports anything else.
    import anyio

    with anyio.open_signal_receiver(*STOP_SIGNALS, signal.SIGHUP) as received:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)
        yield received
