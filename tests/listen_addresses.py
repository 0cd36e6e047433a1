"""Free addresses for the listeners of tests."""

import itertools
import os
import socket

FIRST_PORT, LAST_PORT = 10_000, 20_000
"""Below the ephemeral ports (from 32768 on Linux): an outgoing connection could take one of those
between the choice and the start of the listener."""

PORTS_PER_PROCESS = 500
"""Distance between the first ports of test suites that run in parallel."""

PORT_COUNT = LAST_PORT - FIRST_PORT
ports = itertools.count(os.getpid() * PORTS_PER_PROCESS % PORT_COUNT)


def free_address() -> str:
    """Return an address on which nothing listens, a different one in each call.

    Raises
    ------
    OSError
        When no port of the range is free.
    """
    for offset in itertools.islice(ports, PORT_COUNT):
        port = FIRST_PORT + offset % PORT_COUNT
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"
    raise OSError(f"no free port from {FIRST_PORT} to {LAST_PORT}; stop the processes that listen")
