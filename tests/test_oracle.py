"""Evidence that violates one rule of the oracle makes the check of this rule fail, and no other."""

import dataclasses

import pytest

from dogwoodgap import structures
from dogwoodgap_lab import agents, oracle, plain_service


def turn(seq, text="answer"):
    return structures.Turn(
        seq=seq,
        digest=str(seq),
        messages=[structures.Text("user", f"ask {seq}")],
        text=text,
        prompt_tokens=2,
        cached_tokens=0,
        output_tokens=1,
        finish_reason="stop",
        runner="r1",
        finished_at=0.0,
    )


def call_record(seq):
    return agents.CallRecord(seq, f"ask {seq}", "answer", "answer")


def action_record(key, verdict="done"):
    return agents.ActionRecord("crew-app", "job-bookings", key, idempotent=False, verdict=verdict)


def execution(key):
    return plain_service.Execution("job-bookings", key, None, 0.0)


def valid_evidence():
    """Return evidence that satisfies every rule."""
    trace = agents.Trace("a", "c", "p", 1.0, finished_at=2.0)
    trace.calls = [call_record(1), call_record(2)]
    trace.actions = [
        action_record("p:3"),
        action_record("p:4", "not-run"),
        action_record("p:5", "unknown"),
    ]
    return oracle.Evidence(
        traces=[trace],
        histories={"p": [turn(1), turn(2)]},
        remaining_tokens={"p": 0},
        executions=[execution("p:3"), execution("p:5")],
        engine_log=[oracle.EngineEntry("r1", "c/p", 2, 1, 12.0)],
        refused_work={"r1": [12.5]},
        held_sessions={"r1": ["c/other", "prefix:1"]},
        leaving=[oracle.LeavingWindow("r1", 10.0, 20.0)],
        generation_observations=[
            oracle.GenerationObservation("n1", "1", n, float(n)) for n in (1, 2, 2)
        ],
        accepted=[oracle.AcceptedGeneration(2, 1.0, 0.2)],
    )


def swap_calls(evidence):
    evidence.traces[0].calls.reverse()


def exceed_ready_timeout(evidence):
    evidence.timeouts.append("kill: node1 was not ready within 30 s")


def swap_turns(evidence):
    evidence.histories["p"].reverse()


def lose_turn(evidence):
    del evidence.histories["p"][1]


def lose_history(evidence):
    del evidence.histories["p"]


def replace_turn(evidence):
    evidence.histories["p"][1] = turn(2, "answer to another program")


def overspend(evidence):
    evidence.remaining_tokens["p"] = -1


def generate_too_much(evidence):
    entry = oracle.EngineEntry("r1", "c/p", 2, agents.BUDGET_TOKENS + 1, 12.0)
    evidence.engine_log = [entry]


def hold_memory(evidence):
    evidence.held_sessions["r1"].append("c/p")


def cut_answer(evidence):
    evidence.traces[0].calls[0].expected = "answer and more"


def run_refused(evidence):
    evidence.executions.append(execution("p:4"))


def run_twice(evidence):
    evidence.executions.append(execution("p:3"))


def confirm_unexecuted(evidence):
    evidence.executions = [execution("p:5")]


def accept_while_leaving(evidence):
    evidence.engine_log.append(oracle.EngineEntry("r1", "c/q", 2, 1, 13.5))


def send_while_leaving(evidence):
    evidence.refused_work["r1"].append(13.5)


def cut_request(evidence):
    evidence.cut_requests.append("node1 cut probe1")


def revert(evidence):
    evidence.generation_observations.append(oracle.GenerationObservation("n1", "2", 1, 9.0))


def apply_late(evidence):
    evidence.accepted[0] = dataclasses.replace(evidence.accepted[0], applied_after_s=5.1)


def accept_both(evidence):
    evidence.accepted.append(oracle.AcceptedGeneration(2, 1.0, 0.2))


VIOLATIONS = [
    ("processes-ready", exceed_ready_timeout),
    ("call-order", swap_calls),
    ("call-order", swap_turns),
    ("history", lose_turn),
    ("history", lose_history),
    ("history", replace_turn),
    ("budget", overspend),
    ("budget", generate_too_much),
    ("engine-memory", hold_memory),
    ("whole-answer", cut_answer),
    ("not-run", run_refused),
    ("at-most-once", run_twice),
    ("at-most-once", confirm_unexecuted),
    ("leaving-runner", accept_while_leaving),
    ("leaving-runner", send_while_leaving),
    ("planned-stop", cut_request),
    ("configuration", revert),
    ("configuration", apply_late),
    ("configuration", accept_both),
]


def test_evidence_of_a_right_run_breaks_no_rule():
    """Guards against checks that reject allowed behaviour."""
    assert {
        name: faults for name, faults in oracle.verify(valid_evidence()).items() if faults
    } == {}


@pytest.mark.parametrize(
    ("rule", "violate"), VIOLATIONS, ids=lambda item: getattr(item, "__name__", item)
)
def test_each_check_finds_its_broken_rule(rule, violate):
    """Guards against a check that never fails, and one that fails for another rule's violation."""
    evidence = valid_evidence()
    violate(evidence)
    assert [name for name, faults in oracle.verify(evidence).items() if faults] == [rule]


def test_every_rule_has_evidence_that_breaks_it():
    """Guards against a check without evidence that makes it fail."""
    assert {rule for rule, _ in VIOLATIONS} == set(oracle.checks)
