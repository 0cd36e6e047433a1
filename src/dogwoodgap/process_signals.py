"""Signals of a serving process: held while it starts, received, and ignored while it ends.

The default action of a signal would end the process at once, without an orderly stop.
"""

import collections.abc
import contextlib
import signal

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)


def hold() -> None:
    """Ignore SIGHUP and hold the signals that request a stop; for the start of the process."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)


@contextlib.asynccontextmanager
async def receive() -> collections.abc.AsyncIterator[collections.abc.AsyncIterator[signal.Signals]]:
    """Receive SIGHUP and the signals that request a stop, also those held so far.

    Afterwards, a process that held its signals ignores them, since the receiver restores their
    default action, and the end of the interpreter takes a while.
    """
    # Imported here, since a process holds its signals before it imports anything else.
    import anyio

    is_program = signal.SIGTERM in signal.pthread_sigmask(signal.SIG_BLOCK, ())
    # Starts the threads of the event loop, which inherit the signals that are held: one that took a
    # signal while the receiver closes would end the process.
    await anyio.getaddrinfo("127.0.0.1", None)
    try:
        with anyio.open_signal_receiver(*SIGNALS) as received:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, STOP_SIGNALS)
            try:
                yield received
            finally:
                if is_program:
                    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    finally:
        if is_program:
            for number in SIGNALS:
                signal.signal(number, signal.SIG_IGN)
