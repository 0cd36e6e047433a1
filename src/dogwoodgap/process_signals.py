"""Signals of a serving process: held while it starts, received until it stops, then ignored.

The default action of a signal would end the process at once, without an orderly stop.
"""

import collections.abc
import contextlib
import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
RECEIVED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


def hold() -> None:
    """Ignore SIGHUP and hold the signals that request a stop; for the start of the process."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)


@contextlib.contextmanager
def receive() -> collections.abc.Iterator[collections.abc.AsyncIterator[signal.Signals]]:
    """Receive SIGHUP and the signals that request a stop, also those held so far.

    A process that has held its signals ignores them afterwards, since it is about to end.
    """
    # Imported here, since a process holds its signals before it imports anything else.
    import anyio

    is_held = signal.pthread_sigmask(signal.SIG_BLOCK, ()).issuperset(STOP_SIGNALS)
    try:
        with anyio.open_signal_receiver(*RECEIVED_SIGNALS) as received:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)
            try:
                yield received
            finally:
                if is_held:  # The end of the receiver restores the default actions.
                    signal.pthread_sigmask(signal.SIG_BLOCK, RECEIVED_SIGNALS)
    finally:
        if is_held:
            for number in RECEIVED_SIGNALS:
                signal.signal(number, signal.SIG_IGN)
