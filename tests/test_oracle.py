"""Each check of the oracle fails on evidence that breaks its rule, and only that check."""

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


def exchange(seq):
    return agents.CallRecord(seq, f"ask {seq}", "answer", "answer")


def attempt(key, verdict="done"):
    return agents.ActionRecord("crew-app", "job-bookings", key, idempotent=False, verdict=verdict)


def execution(key):
    return plain_service.Execution("job-bookings", key, None, 0.0)


def kept():
    """Return evidence of a run that kept every rule."""
    trace = agents.Trace("a", "c", "p", 1.0, finished_at=2.0)
    trace.calls = [exchange(1), exchange(2)]
    trace.actions = [attempt("p:3"), attempt("p:4", "not-run"), attempt("p:5", "unknown")]
    return oracle.Evidence(
        traces=[trace],
        histories={"p": [turn(1), turn(2)]},
        remaining_tokens={"p": 0},
        executions=[execution("p:3"), execution("p:5")],
        engine_log=[oracle.EngineEntry("r1", "c/p", 2, 1, 12.0)],
        refused_work={"r1": [12.5]},
        held_sessions={"r1": ["c/other", "prefix:1"]},
        leaving=[oracle.LeavingWindow("r1", 10.0, 20.0)],
        sightings=[oracle.ConfigurationSighting("n1", "1", n, float(n)) for n in (1, 2, 2)],
        accepted=[oracle.AcceptedGeneration(2, 1.0, 0.2)],
    )


def swap_calls(found):
    found.traces[0].calls.reverse()


def stay_away(found):
    found.overdue.append("kill: node1 was not ready within 30 s")


def swap_turns(found):
    found.histories["p"].reverse()


def lose_turn(found):
    del found.histories["p"][1]


def lose_history(found):
    del found.histories["p"]


def mix_turn(found):
    found.histories["p"][1] = turn(2, "answer to another program")


def overspend(found):
    found.remaining_tokens["p"] = -1


def generate_too_much(found):
    entry = oracle.EngineEntry("r1", "c/p", 2, agents.BUDGET_TOKENS + 1, 12.0)
    found.engine_log = [entry]


def hold_memory(found):
    found.held_sessions["r1"].append("c/p")


def cut_answer(found):
    found.traces[0].calls[0].expected = "answer and more"


def run_refused(found):
    found.executions.append(execution("p:4"))


def run_twice(found):
    found.executions.append(execution("p:3"))


def confirm_unexecuted(found):
    found.executions = [execution("p:5")]


def accept_while_leaving(found):
    found.engine_log.append(oracle.EngineEntry("r1", "c/q", 2, 1, 13.5))


def send_while_leaving(found):
    found.refused_work["r1"].append(13.5)


def cut_request(found):
    found.cut_requests.append("node1 cut probe1")


def revert(found):
    found.sightings.append(oracle.ConfigurationSighting("n1", "2", 1, 9.0))


def apply_late(found):
    found.accepted[0] = dataclasses.replace(found.accepted[0], in_force_after_s=5.1)


def accept_both(found):
    found.accepted.append(oracle.AcceptedGeneration(2, 1.0, 0.2))


BREAKS = [
    ("processes-ready", stay_away),
    ("call-order", swap_calls),
    ("call-order", swap_turns),
    ("history", lose_turn),
    ("history", lose_history),
    ("history", mix_turn),
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
    """Guards against checks that fail for something that is allowed."""
    assert {name: found for name, found in oracle.verify(kept()).items() if found} == {}


@pytest.mark.parametrize(
    ("rule", "change"), BREAKS, ids=lambda item: getattr(item, "__name__", item)
)
def test_each_check_finds_its_broken_rule(rule, change):
    """Guards against a check that cannot fail, and against one that blames another rule."""
    found = kept()
    change(found)
    assert [name for name, faults in oracle.verify(found).items() if faults] == [rule]


def test_every_rule_has_evidence_that_breaks_it():
    """Guards against a new check without a proof that it can fail."""
    assert {rule for rule, _ in BREAKS} == set(oracle.checks)
