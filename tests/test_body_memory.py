"""The sum of all bodies that a process holds."""

import anyio
import anyio.lowlevel
import gateways
import pytest
import virtual_time
from hypothesis import given
from hypothesis import strategies as st

from dogwoodgap import body_memory

LIMIT = 1_000


@given(
    st.lists(st.tuples(st.integers(0, 4), st.integers(0, 700), st.booleans()), max_size=60),
)
def test_sum_of_bodies_is_within_its_limit_unless_none_is_being_received(steps):
    """Guards against bodies that are within their own limits and exceed the memory together."""

    async def main():
        memory = body_memory.BodyMemory(LIMIT)
        holdings = [memory.hold() for _ in range(5)]
        for number, size, ends in steps:
            holding = holdings[number]
            try:
                with holding.receiving():
                    holding.add(size)
                    await anyio.lowlevel.checkpoint()
            except body_memory.BodyEvictedError:
                assert holding.size == 0
            if ends:
                holding.release()
                holdings[number] = memory.hold()
            assert memory.total == sum(held.size for held in memory.holdings)
        for holding in holdings:
            holding.release()
        assert (memory.total, memory.holdings) == (0, set())

    virtual_time.run(main)


def test_largest_body_is_given_up_first():
    """Guards against small requests that fail because of one large body."""

    async def main():
        evicted = []
        memory = body_memory.BodyMemory(LIMIT, lambda size, total: evicted.append((size, total)))
        outcomes = {}

        async def receive(name, sizes):
            holding = memory.hold()
            try:
                with holding.receiving():
                    for size in sizes:
                        holding.add(size)
                        await anyio.sleep(1.0)
                outcomes[name] = "whole"
            except body_memory.BodyEvictedError:
                outcomes[name] = "given up"
            finally:
                holding.release()

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(receive, "large", [300] * 10)
            for number in range(3):
                tasks.start_soon(receive, number, [20] * 10)
        assert outcomes == {"large": "given up", 0: "whole", 1: "whole", 2: "whole"}
        assert len(evicted) == 1
        assert memory.total == 0

    virtual_time.run(main)


@pytest.mark.parametrize("kind", ["request", "response"])
def test_body_beyond_the_memory_of_all_is_answered(kind):
    """Guards against bodies that are given up without a response to their caller."""

    async def main():
        large = b"x" * (LIMIT * 4)
        body = large if kind == "response" else b"ok"
        backend = gateways.Backend("p1", "plain", gateways.complete_response(body))
        async with gateways.running(backend) as harness:
            harness.server.body_memory.limit_bytes = LIMIT
            sent = large if kind == "request" else b"pay"
            response = await gateways.send_once(harness, "POST", "/act/x", sent)
            assert response.status == (503 if kind == "request" else 502)
            assert len(backend.received) == (0 if kind == "request" else 1)
            response = await gateways.send_once(harness, "POST", "/act/x", b"pay")
            assert response.status == (200 if kind == "request" else 502)
            assert harness.server.body_memory.total == 0

    anyio.run(main)
