"""What responses of backend servers say about crashes, on real sockets."""

import anyio
import gateways
import pytest


@pytest.mark.parametrize(
    ("status", "crashes"), [(200, 0), (400, 1), (413, 1)], ids=["ok", "bad", "large"]
)
def test_only_a_success_clears_a_request(status, crashes):
    """Guards against requests that crash servers and are cleared by one that rejects them."""

    async def main():
        backend = gateways.Backend("p1", "plain", gateways.complete_response(status=status))
        async with gateways.running(backend) as harness:
            digests = []
            original = harness.crash_tracker.digest
            harness.crash_tracker.digest = lambda call: digests.append(original(call)) or digests[0]
            await gateways.send_once(harness, "GET", "/read/x")
            harness.crash_tracker.evidence.add(digests[0], ("gone", 1), ended=True)
            assert (await gateways.send_once(harness, "GET", "/read/x")).status == status
            assert harness.crash_tracker.evidence.crashes(digests[0]) == crashes

    anyio.run(main)


@pytest.mark.parametrize(("status", "crashes"), [(200, 0), (421, 1)])
def test_misdirected_response_does_not_refute_a_crash(status, crashes):
    """Guards against a new process at the address of a crashed one that passes for it."""

    async def main():
        backend = gateways.Backend("p1", "plain", gateways.complete_response(status=status))
        async with gateways.running(backend) as harness:
            evidence = harness.crash_tracker.evidence
            evidence.record_unreachable(7, backend.entry())
            await gateways.send_once(harness, "GET", "/read/other")
            assert evidence.crashes(7) == crashes

    anyio.run(main)


def test_misdirected_response_shows_that_a_lost_run_crashed_its_server():
    """Guards against waiting for the list although the address already has a new process."""

    async def main():
        backend = gateways.Backend("p1", "plain", gateways.complete_response(status=421))
        async with gateways.running(backend) as harness:
            evidence = harness.crash_tracker.evidence
            evidence.record_lost_run(7, backend.entry())
            assert evidence.crashes(7) == 0
            await gateways.send_once(harness, "GET", "/read/other")
            assert evidence.crashes(7) == 1

    anyio.run(main)


def test_request_sent_again_in_another_session_is_the_same():
    """Guards against a program whose request crashes servers anew in each of its sessions."""

    async def main():
        async with gateways.running() as harness:
            first, again, other = (
                harness.crash_tracker.digest(gateways.turn("a1", program_id=program, **options))
                for program, options in (
                    ("p1", {"session_id": "s1"}),
                    ("p1", {"session_id": "s2"}),
                    ("p2", {"session_id": "s1"}),
                )
            )
            assert first == again
            assert first != other

    anyio.run(main)
