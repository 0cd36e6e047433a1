"""Invariants of the system, checked against the records of callers, services and engines."""

import collections
import collections.abc
import dataclasses

from dogwoodgap import structures
from dogwoodgap_lab import agents, plain_service


@dataclasses.dataclass
class EngineEntry:
    """A request that an engine accepted; ``at`` is wall time in seconds."""

    runner: str
    session: str
    prompt_tokens: int
    generated_tokens: int
    at: float


@dataclasses.dataclass
class LeavingWindow:
    """The wall time in which a runner was leaving."""

    runner: str
    since: float
    until: float


@dataclasses.dataclass
class GenerationObservation:
    """The configuration generation that a process of a node reported at a wall time."""

    node: str
    boot: str
    generation: int
    at: float


@dataclasses.dataclass
class AcceptedGeneration:
    """A generation that a node confirmed to an operator, and the time until all had applied it."""

    generation: int
    at: float
    applied_after_s: float


@dataclasses.dataclass
class Evidence:
    """All records of one run.

    Attributes
    ----------
    remaining_tokens : dict of str to int
        Remaining budget by program, at the end of the run.
    refused_work : dict of str to list of float
        Wall times at which a leaving runner refused work, by runner.
    held_sessions : dict of str to list of str
        Sessions that engines still hold, by runner.
    cut_requests : list of str
        Requests that broke during a planned stop.
    timeouts : list of str
        States that processes did not reach in time.
    """

    traces: list[agents.Trace] = dataclasses.field(default_factory=list)
    histories: dict[str, list[structures.Turn]] = dataclasses.field(default_factory=dict)
    remaining_tokens: dict[str, int] = dataclasses.field(default_factory=dict)
    executions: list[plain_service.Execution] = dataclasses.field(default_factory=list)
    engine_log: list[EngineEntry] = dataclasses.field(default_factory=list)
    refused_work: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    held_sessions: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    leaving: list[LeavingWindow] = dataclasses.field(default_factory=list)
    generation_observations: list[GenerationObservation] = dataclasses.field(default_factory=list)
    accepted: list[AcceptedGeneration] = dataclasses.field(default_factory=list)
    cut_requests: list[str] = dataclasses.field(default_factory=list)
    probes_in_planned_stops: int = 0
    timeouts: list[str] = dataclasses.field(default_factory=list)


Check = collections.abc.Callable[[Evidence], list[str]]
checks: dict[str, Check] = {}

LEAVING_LIMIT_S = 3.0
APPLY_LIMIT_S = 5.0


def register_check(name: str) -> collections.abc.Callable[[Check], Check]:
    """Return a decorator that registers a check under the name of its rule."""

    def register(function: Check) -> Check:
        checks[name] = function
        return function

    return register


@register_check("processes-ready")
def processes_ready(evidence: Evidence) -> list[str]:
    """Check that processes were ready again in time after each fault."""
    return list(evidence.timeouts)


@register_check("call-order")
def call_order(evidence: Evidence) -> list[str]:
    """Check that sequence numbers of turns and acknowledged calls increase strictly."""
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


@register_check("history")
def history(evidence: Evidence) -> list[str]:
    """Check that each acknowledged turn is in the history of its program, unchanged."""
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


@register_check("budget")
def budget(evidence: Evidence) -> list[str]:
    """Check that no tree of programs spent more than its budget."""
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


@register_check("engine-memory")
def engine_memory(evidence: Evidence) -> list[str]:
    """Check that no engine still caches a program that has ended."""
    ended = {f"{trace.customer}/{trace.program}" for trace in evidence.traces if trace.program}
    return [
        f"{runner} still holds {session}"
        for runner, sessions in evidence.held_sessions.items()
        for session in sessions
        if session in ended
    ]


@register_check("whole-answer")
def whole_answer(evidence: Evidence) -> list[str]:
    """Check that each answer is complete and belongs to its own conversation."""
    return [
        f"{trace.program}: the answer to call {item.seq} is {item.text[:60]!r}, "
        f"expected {item.expected[:60]!r}"
        for trace in evidence.traces
        for item in trace.calls
        if item.text != item.expected
    ]


def execution_counts(evidence: Evidence) -> collections.Counter[str]:
    """Return the number of executions by idempotency key."""
    return collections.Counter(item.key for item in evidence.executions if item.key)


@register_check("not-run")
def not_run(evidence: Evidence) -> list[str]:
    """Check that no action refused as not run was executed."""
    counts = execution_counts(evidence)
    return [
        f"{attempt.key}: refused as not run ({attempt.detail}) and executed {counts[attempt.key]}x"
        for trace in evidence.traces
        for attempt in trace.actions
        if attempt.verdict == "not-run" and attempt.key and counts[attempt.key]
    ]


@register_check("at-most-once")
def at_most_once(evidence: Evidence) -> list[str]:
    """Check that no key was executed twice, and that each confirmed action was executed."""
    counts = execution_counts(evidence)
    faults = [f"{key}: executed {count} times" for key, count in counts.items() if count > 1]
    faults.extend(
        f"{attempt.key}: confirmed and never executed"
        for trace in evidence.traces
        for attempt in trace.actions
        if attempt.verdict == "done" and attempt.key and not counts[attempt.key]
    )
    return faults


@register_check("leaving-runner")
def leaving_runner(evidence: Evidence) -> list[str]:
    """Check that leaving runners got no work later than ``LEAVING_LIMIT_S`` after their notice."""
    accepted = [(entry.runner, entry.at) for entry in evidence.engine_log]
    refused = [(name, at) for name, times in evidence.refused_work.items() for at in times]
    return [
        f"{window.runner} got work {at - window.since:.1f} s after it began to leave"
        for window in evidence.leaving
        for runner, at in [*accepted, *refused]
        if runner == window.runner and window.since + LEAVING_LIMIT_S < at < window.until
    ]


@register_check("planned-stop")
def planned_stop(evidence: Evidence) -> list[str]:
    """Check that no request broke during a planned stop."""
    return evidence.cut_requests


@register_check("configuration")
def configuration(evidence: Evidence) -> list[str]:
    """Check that no node reverts, and that accepted generations are unique and applied in time."""
    faults = []
    highest: dict[str, int] = {}
    for observation in evidence.generation_observations:
        known = highest.get(observation.node, 0)
        if observation.generation < known:
            faults.append(f"{observation.node}: generation {observation.generation} after {known}")
        highest[observation.node] = max(known, observation.generation)
    counts = collections.Counter(item.generation for item in evidence.accepted)
    faults.extend(
        f"generation {generation} was accepted from {count} concurrent operators"
        for generation, count in counts.items()
        if count > 1
    )
    faults.extend(
        f"generation {item.generation} was applied everywhere after {item.applied_after_s:.1f} s"
        for item in evidence.accepted
        if item.applied_after_s > APPLY_LIMIT_S
    )
    return faults


def verify(evidence: Evidence) -> dict[str, list[str]]:
    """Return the violations found, by rule."""
    return {name: function(evidence) for name, function in checks.items()}
