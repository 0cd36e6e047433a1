"""Backend servers that send bytes without end until the gateway closes the connection."""

import time

import anyio
import gateways
import pytest

CHUNK = b"x" * 65_536
BUFFERED_BYTES = 8 * 1024 * 1024
"""Bytes that the sockets of both ends may hold beyond what was read."""


class EndlessServer:
    """Sends a prefix and then bytes until its connection is closed; counts them."""

    def __init__(self, *prefix, with_head=True):
        self.prefix = prefix
        self.with_head = with_head
        self.sent_bytes = 0
        self.connections = 0

    async def __call__(self, backend, received, stream):
        self.connections += 1
        if self.with_head:
            await stream.send(gateways.response_head(received, *self.prefix))
        try:
            while True:
                await stream.send(CHUNK)
                self.sent_bytes += len(CHUNK)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return False


@pytest.mark.parametrize(
    ("server", "status"),
    [
        (EndlessServer(200), 502),
        (EndlessServer(200, "content-length: 99999999999"), 502),
        (EndlessServer(500), 502),
        (EndlessServer(503, "dogwoodgap-not-run: 1"), 503),
        (EndlessServer(with_head=False), 502),
    ],
    ids=["body", "announced body", "error", "refusal", "head"],
)
def test_endless_response_is_given_up_at_its_limit(server, status):
    """Guards against a process that runs out of memory because of one faulty server."""

    async def main():
        backend = gateways.Backend("p1", "plain", server)
        async with gateways.running(backend) as harness:
            started_at = time.monotonic()
            response = await gateways.send_once(harness, "POST", "/act/x", b"pay")
            assert response.status == status
            assert time.monotonic() - started_at < gateways.TIMEOUT_S
            await anyio.sleep(0.1)
            assert server.connections == 1
            assert server.sent_bytes <= gateways.MAX_RESPONSE_BYTES + BUFFERED_BYTES

    anyio.run(main)


def test_response_up_to_the_limit_is_relayed():
    """Guards against a limit that cuts sound responses."""

    async def main():
        body = b"y" * gateways.MAX_RESPONSE_BYTES
        backend = gateways.Backend("p1", "plain", gateways.complete_response(body))
        async with gateways.running(backend) as harness:
            response = await gateways.send_once(harness, "POST", "/act/x", b"pay")
            assert (response.status, response.body) == (200, body)

    anyio.run(main)
