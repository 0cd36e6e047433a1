"""Request rate limits reported by backend servers, kept by one node."""

import anyio
import gateways

LIMIT_PER_S = 4.0
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5
"""Operators tolerate half more than the limit, and some requests."""

LIMITED = gateways.complete_response(b"ok", 200, f"dogwoodgap-rate-limit: {LIMIT_PER_S}")


async def send_for(harness, seconds):
    """Send requests at regular intervals; return the status of each response."""
    statuses = []

    async def send(number):
        response = await gateways.send_once(
            harness, "GET", "/read/x", dogwoodgap_attempt=f"a{number}"
        )
        statuses.append(response.status)

    async with anyio.create_task_group() as tasks:
        for number in range(int(seconds / 0.02)):
            tasks.start_soon(send, number)
            await anyio.sleep(0.02)
    return statuses


def tolerated(seconds):
    """Return the number of requests that a limited server may get."""
    return TOLERATED_FACTOR * LIMIT_PER_S * seconds + TOLERATED_REQUESTS


def test_server_gets_no_more_requests_than_the_limit_that_it_reports():
    async def main():
        limited = gateways.Backend("limited", "plain", LIMITED)
        free = gateways.Backend("free", "plain", gateways.complete_response())
        async with gateways.running(limited, free) as harness:
            statuses = await send_for(harness, 2.0)
        assert set(statuses) == {200}
        assert len(limited.received) <= tolerated(2.0)

    anyio.run(main)
