"""The rules that always hold, checked against what callers, services and engines recorded."""

import collections
import collections.abc
import dataclasses

from dogwoodgap import structures
from dogwoodgap_lab import agents, plain_service


@dataclasses.dataclass
class EngineEntry:
    """One request that an engine accepted, in order of arrival."""

    runner: str
    session: str
    prompt_tokens: int
    generated_tokens: int
    at: float


@dataclasses.dataclass
class LeavingWindow:
    """A runner that was leaving from ``since`` to ``until``, in wall time."""

    runner: str
    since: float
    until: float


@dataclasses.dataclass
class ConfigurationSighting:
    """The generation that a node reported at a time."""

    node: str
    boot: str
    generation: int
    at: float


@dataclasses.dataclass
class AcceptedGeneration:
    """A generation that an operator was told is accepted."""

    generation: int
    at: float
    in_force_after_s: float


@dataclasses.dataclass
class Evidence:
    """Everything recorded during a run."""

    traces: list[agents.Trace] = dataclasses.field(default_factory=list)
    histories: dict[str, list[structures.Turn]] = dataclasses.field(default_factory=dict)
    remaining_tokens: dict[str, int] = dataclasses.field(default_factory=dict)
    executions: list[plain_service.Execution] = dataclasses.field(default_factory=list)
    engine_log: list[EngineEntry] = dataclasses.field(default_factory=list)
    refused_work: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    held_sessions: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    leaving: list[LeavingWindow] = dataclasses.field(default_factory=list)
    sightings: list[ConfigurationSighting] = dataclasses.field(default_factory=list)
    accepted: list[AcceptedGeneration] = dataclasses.field(default_factory=list)
    cut_requests: list[str] = dataclasses.field(default_factory=list)
    probes_in_planned_stops: int = 0
    overdue: list[str] = dataclasses.field(default_factory=list)


Check = collections.abc.Callable[[Evidence], list[str]]
checks: dict[str, Check] = {}

LEAVING_LIMIT_S = 3.0
CONFIGURATION_LIMIT_S = 5.0


def check(name: str) -> collections.abc.Callable[[Check], Check]:
    """Return a decorator that adds a check under the rule's name."""

    def add(function: Check) -> Check:
        checks[name] = function
        return function

    return add


@check("processes-ready")
def processes_ready(evidence: Evidence) -> list[str]:
    """Require that processes serve again in time after each fault."""
    return list(evidence.overdue)


@check("call-order")
def call_order(evidence: Evidence) -> list[str]:
    """Sequence numbers rise and each acknowledged call saw all earlier ones."""
    faults = []
    for program, turns in evidence.histories.items():
        numbers = [turn.seq for turn in turns]
        if numbers != sorted(set(numbers)):
            faults.append(f"{program}: turns recorded in the order {numbers}")
    for trace in evidence.traces:
        numbers = [item.seq for item in trace.calls]
        if numbers != sorted(set(numbers)):
            faults.append(f"{trace.program}: calls acknowledged in the order {numbers}")
    return faults


@check("history")
def history(evidence: Evidence) -> list[str]:
    """Each acknowledged turn is in the program's history, unchanged and only there."""
    faults = []
    for trace in evidence.traces:
        if trace.program not in evidence.histories:
            if trace.calls:
                faults.append(f"{trace.program}: no history, {len(trace.calls)} turns lost")
            continue
        turns = {turn.seq: turn for turn in evidence.histories[trace.program]}
        for item in trace.calls:
            turn = turns.get(item.seq)
            if turn is None:
                faults.append(f"{trace.program}: turn {item.seq} was acknowledged and is lost")
            elif turn.text != item.text or turn.messages[-1].content != item.prompt:
                faults.append(f"{trace.program}: turn {item.seq} differs from the acknowledged one")
    return faults


@check("budget")
def budget(evidence: Evidence) -> list[str]:
    """No tree of programs spent more than its budget."""
    faults = [
        f"{program}: {tokens} tokens remain"
        for program, tokens in evidence.remaining_tokens.items()
        if tokens < 0
    ]
    used: collections.Counter[str] = collections.Counter()
    for entry in evidence.engine_log:
        used[entry.session.partition(".")[0]] += entry.generated_tokens
    budgets = {
        f"{trace.customer}/{trace.program}": trace.budget_tokens for trace in evidence.traces
    }
    faults.extend(
        f"{session}: engines generated {used[session]} tokens, the budget is {tokens}"
        for session, tokens in budgets.items()
        if used[session] > tokens
    )
    return faults


@check("engine-memory")
def engine_memory(evidence: Evidence) -> list[str]:
    """No engine holds the cache of a program that has ended."""
    ended = {f"{trace.customer}/{trace.program}" for trace in evidence.traces if trace.program}
    return [
        f"{runner} still holds {session}"
        for runner, sessions in evidence.held_sessions.items()
        for session in sessions
        if session in ended
    ]


@check("whole-answer")
def whole_answer(evidence: Evidence) -> list[str]:
    """Each answer is the whole answer to its own conversation."""
    return [
        f"{trace.program}: the answer to call {item.seq} is {item.text[:60]!r}, "
        f"expected {item.expected[:60]!r}"
        for trace in evidence.traces
        for item in trace.calls
        if item.text != item.expected
    ]


def execution_counts(evidence: Evidence) -> collections.Counter[str]:
    """Return how often each idempotency key was executed."""
    return collections.Counter(item.key for item in evidence.executions if item.key)


@check("not-run")
def not_run(evidence: Evidence) -> list[str]:
    """Find refusals as not run that are in a ledger."""
    counts = execution_counts(evidence)
    return [
        f"{attempt.key}: refused as not run ({attempt.detail}) and executed {counts[attempt.key]}x"
        for trace in evidence.traces
        for attempt in trace.actions
        if attempt.verdict == "not-run" and attempt.key and counts[attempt.key]
    ]


@check("at-most-once")
def at_most_once(evidence: Evidence) -> list[str]:
    """No key is executed twice, and each confirmed action once."""
    counts = execution_counts(evidence)
    faults = [f"{key}: executed {count} times" for key, count in counts.items() if count > 1]
    faults.extend(
        f"{attempt.key}: confirmed and never executed"
        for trace in evidence.traces
        for attempt in trace.actions
        if attempt.verdict == "done" and attempt.key and not counts[attempt.key]
    )
    return faults


@check("leaving-runner")
def leaving_runner(evidence: Evidence) -> list[str]:
    """Find work that a leaving runner got after the limit."""
    accepted = [(entry.runner, entry.at) for entry in evidence.engine_log]
    refused = [(name, at) for name, times in evidence.refused_work.items() for at in times]
    return [
        f"{window.runner} got work {at - window.since:.1f} s after it began to leave"
        for window in evidence.leaving
        for runner, at in [*accepted, *refused]
        if runner == window.runner and window.since + LEAVING_LIMIT_S < at < window.until
    ]


@check("planned-stop")
def planned_stop(evidence: Evidence) -> list[str]:
    """Find requests that a planned stop cut."""
    return evidence.cut_requests


@check("configuration")
def configuration(evidence: Evidence) -> list[str]:
    """No boot of a node reverts, and accepted generations are in force in time."""
    faults = []
    highest: dict[str, int] = {}
    for sighting in evidence.sightings:
        known = highest.get(sighting.node, 0)
        if sighting.generation < known:
            faults.append(f"{sighting.node}: generation {sighting.generation} after {known}")
        highest[sighting.node] = max(known, sighting.generation)
    counts = collections.Counter(item.generation for item in evidence.accepted)
    faults.extend(
        f"generation {generation} was accepted from {count} racing operators"
        for generation, count in counts.items()
        if count > 1
    )
    faults.extend(
        f"generation {item.generation} was in force after {item.in_force_after_s:.1f} s"
        for item in evidence.accepted
        if item.in_force_after_s > CONFIGURATION_LIMIT_S
    )
    return faults


def verify(evidence: Evidence) -> dict[str, list[str]]:
    """Return the faults found, by rule."""
    return {name: function(evidence) for name, function in checks.items()}
