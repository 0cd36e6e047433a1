"""Random faults, takeovers and hand-overs, checked against an oracle of acknowledged work."""

import anyio
import fleet
import hypothesis
import pytest
from hypothesis import strategies

from dogwoodgap import journal, shards

ACTIONS = [
    "pause",
    "wake",
    "crash",
    "restart",
    "suspect",
    "trust",
    "stop",
    "checkpoint",
    "outage",
    "store back",
    "lose replies",
]
STEPS = strategies.tuples(
    strategies.sampled_from(ACTIONS),
    strategies.integers(0, 2),
    strategies.sampled_from([0.0, 0.01, 0.3, 1.0, 3.0]),
)


@pytest.fixture(autouse=True)
def _few_shards(monkeypatch):
    monkeypatch.setattr(shards, "SHARD_COUNT", 8)


def take_step(nodes: fleet.Fleet, node: fleet.FleetNode, action: str) -> None:
    """Execute one action of a random history on a node."""
    match action:
        case "pause":
            node.gate.pause()
        case "wake":
            node.gate.resume()
        case "crash":
            node.crash()
        case "restart":
            node.crash()
            node.start()
        case "suspect" | "trust":
            node.suspected = action == "suspect"
        case "stop" if node.up:
            node.tasks.start_soon(node.ownership.hand_over_all)
        case "checkpoint":
            node.ownership.session.checkpointer.request()
        case "outage" | "store back":
            nodes.table.faults.outage = action == "outage"
        case "lose replies":
            nodes.table.faults.lost_replies = 0.3


def run_history(steps: list[tuple], seed: int) -> None:
    """Run a history, remove all faults and check everything that was acknowledged."""

    async def main():
        async with anyio.create_task_group() as tasks:
            nodes = fleet.Fleet(tasks, seed=seed)
            tasks.start_soon(nodes.traffic, seed)
            await anyio.sleep(5.0)
            for action, number, wait_s in steps:
                take_step(nodes, nodes.nodes[number], action)
                await anyio.sleep(wait_s)
                nodes.check_budgets()
            await nodes.heal()
            nodes.check()
            tasks.cancel_scope.cancel()

    fleet.run(main, seed)


@hypothesis.settings(max_examples=60, deadline=None, derandomize=True, database=None)
@hypothesis.given(
    steps=strategies.lists(STEPS, min_size=5, max_size=25), seed=strategies.integers(0, 1000)
)
def test_acknowledged_work_survives(steps, seed):
    """Guards against acknowledged turns and outcomes that are lost, repeated or contradicted."""
    run_history(steps, seed)


def resume_after_takeover(seed: int) -> None:
    """Pause a node during its calls and resume it after others have taken over."""

    async def main():
        async with anyio.create_task_group() as tasks:
            nodes = fleet.Fleet(tasks, seed=seed)
            await anyio.sleep(5.0)
            for hold_s in (0.0, 1.0):
                for program in fleet.PROGRAMS:
                    nodes.call(program, hold_s)
                await anyio.sleep(0.5)
            nodes.nodes[seed % 3].gate.pause()
            await anyio.sleep(6.0)
            for program in fleet.PROGRAMS:
                nodes.call(program, 0.0)
            await anyio.sleep(0.5)
            nodes.nodes[seed % 3].gate.resume()
            await nodes.heal()
            nodes.check()
            tasks.cancel_scope.cancel()

    fleet.run(main, seed)


def test_paused_owner_does_not_contradict_its_successor():
    """Guards against an owner that resumes after a takeover and acknowledges its old call."""
    for seed in range(6):
        resume_after_takeover(seed)


def test_oracle_detects_missing_seals(monkeypatch):
    """Guards against an oracle too weak to notice contradictory replies when seals are missing."""

    async def no_seal(store, node, boot, first_seq, sealed_by):
        return first_seq

    monkeypatch.setattr(journal, "seal", no_seal)
    contradicted = 0
    for seed in range(6):
        try:
            resume_after_takeover(seed)
        except BaseExceptionGroup as error:
            failed_assertions, others = error.split(AssertionError)
            assert others is None
            contradicted += failed_assertions is not None
    assert contradicted > 0
