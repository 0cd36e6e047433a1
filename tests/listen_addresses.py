"""Addresses for the listeners of tests."""

import itertools
import os
import socket

FIRST_PORT, LAST_PORT = 10_000, 20_000
"""Below the range from which the system takes ports of outgoing connections (32768 on Linux): a
port of that range may be taken between the choice and the start of the listener."""

PORTS_PER_PROCESS = 500
"""Distance between the first ports of suites that run side by side."""

PORT_COUNT = LAST_PORT - FIRST_PORT
ports = itertools.count(os.getpid() * PORTS_PER_PROCESS % PORT_COUNT)


def free_address() -> str:
    """Return an address that nothing listens on, another one each time."""
    for offset in itertools.islice(ports, PORT_COUNT):
        port = FIRST_PORT + offset % PORT_COUNT
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"
    raise OSError(f"no port from {FIRST_PORT} to {LAST_PORT} is free; end what listens there")
