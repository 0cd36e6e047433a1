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


def test_request_is_refused_in_time_while_nobody_grants_permits():
    """Guards against a request that asks for permits without end, and keeps the node busy."""
    requested_at = []

    async def deny(key, max_delay_s):
        requested_at.append(anyio.current_time())
        return False, 0.05

    async def main():
        limited = gateways.Backend("limited", "plain", LIMITED)
        async with gateways.running(limited) as harness:
            first = await gateways.send_once(harness, "GET", "/read/x")
            harness.permit_coordinator.request_permit = deny
            with anyio.fail_after(gateways.TIMEOUT_S):
                second = await gateways.send_once(harness, "GET", "/read/x")
        assert (first.status, second.status) == (200, 503)
        assert float(second.headers["retry-after"]) > 0.0
        assert len(requested_at) <= 5

    anyio.run(main)


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
