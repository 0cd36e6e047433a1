"""Ports of test listeners lie outside the ephemeral range."""

import listen_addresses

LOWEST_EPHEMERAL_PORT = 32_768


def test_listeners_get_no_port_that_an_outgoing_connection_may_take():
    """Guards against EADDRINUSE when an outgoing connection has taken a listener's port."""
    chosen = [listen_addresses.free_address() for _ in range(50)]
    assert len(set(chosen)) == 50
    assert max(int(address.rpartition(":")[2]) for address in chosen) < LOWEST_EPHEMERAL_PORT
