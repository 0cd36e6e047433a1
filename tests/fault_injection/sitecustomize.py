"""Injects network faults into a gateway process; Python imports this module at its start.

Outgoing connections are bound to the address of the gateway's VM, so that servers can tell the
gateways apart. New connections to the hosts in the file of cuts are refused, or hang.
"""

import json
import os
import pathlib

import anyio

ADDRESS = os.environ["FAULT_INJECTION_ADDRESS"]
CUTS = pathlib.Path(os.environ["FAULT_INJECTION_CUTS"])

connect_tcp = anyio.connect_tcp


def read_cuts():
    """Return the effect of each cut, by the gateway's address and the host."""
    return json.loads(CUTS.read_text())


async def connect_through_cuts(host, port, **options):
    """Open a connection unless the path to the host is cut."""
    effect = read_cuts().get(ADDRESS, {}).get(host)
    if effect == "refuse":
        raise ConnectionRefusedError(f"the path to {host} is cut")
    if effect == "hang":
        await anyio.sleep_forever()
    return await connect_tcp(host, port, local_host=ADDRESS, **options)


anyio.connect_tcp = connect_through_cuts
