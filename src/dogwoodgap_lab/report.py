"""Print the measurements of a run and the verdict on each of the oracle's rules."""

import dataclasses
import statistics

from dogwoodgap_lab import agents, load, oracle, stage

MAX_FAULTS_SHOWN = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of the table of measurements."""

    name: str
    value: str


def format_seconds(values: list[float]) -> str:
    """Return the last value formatted in seconds, or ``none measured`` without values."""
    return f"{values[-1]:.2f} s" if values else "none measured"


def quantile(ordered: list[float], share: float) -> list[float]:
    """Return the value at a quantile as a list of one, or an empty list without values."""
    return ordered[int(share * (len(ordered) - 1)) :][:1]


async def measure(controller: stage.FleetController, generator: load.LoadGenerator) -> list[Row]:
    """Return rows of program latency and wasted cache."""
    latencies = generator.latencies_s()
    mean = [statistics.fmean(latencies)] if latencies else []
    held = wasted = 0.0
    for runner in controller.runners():
        if not runner.plain:
            stats = await controller.get_json(f"{runner.url}/stats")
            held += stats["held_token_s"]
            wasted += stats["wasted_token_s"]
    share = f"{wasted / held:.1%} of {held:.0f} token-seconds" if held else "nothing was held"
    return [
        Row("programs ended well", f"{len(latencies)} of {generator.started}"),
        Row("program latency, mean", format_seconds(mean)),
        Row("program latency, p50", format_seconds(quantile(latencies, 0.5))),
        Row("program latency, p95", format_seconds(quantile(latencies, 0.95))),
        Row("wasted cache", share),
    ]


def counts(evidence: oracle.Evidence) -> list[Row]:
    """Return rows with the numbers of actions, turns and probes, and of their failures."""
    turns = sum(len(trace.calls) for trace in evidence.traces)
    actions = sum(len(trace.actions) for trace in evidence.traces)
    duplicates = sum(count - 1 for count in oracle.execution_counts(evidence).values())
    lost = sum("lost" in text for text in oracle.history(evidence))
    return [
        Row("actions", str(actions)),
        Row("duplicates", str(duplicates)),
        Row("acknowledged turns", str(turns)),
        Row("lost turns", str(lost)),
        Row("requests during planned stops", str(evidence.probes_in_planned_stops)),
        Row("requests cut by planned stops", str(len(evidence.cut_requests))),
    ]


def failed_or_unfinished(generator: load.LoadGenerator) -> list[agents.Trace]:
    """Return the traces of programs that ended with an error or not at all."""
    return [trace for trace in generator.traces if trace.error or not trace.finished_at]


def print_report(rows: list[Row], broken: dict[str, list[str]]) -> None:
    """Print the rows, and the verdict and some violations of each rule."""
    print()
    for row in rows:
        print(f"  {row.name:<40} {row.value}")
    print()
    for name, faults in broken.items():
        print(f"  {name:<40} {'BROKEN' if faults else 'kept'}")
        for text in faults[:MAX_FAULTS_SHOWN]:
            print(f"      {text}")
    print(flush=True)


def print_errors(generator: load.LoadGenerator) -> None:
    """Print programs that ended with an error, which injected faults can cause."""
    failed = [trace for trace in generator.traces if trace.error]
    print(f"  {len(failed)} of {len(generator.traces)} programs ended with an error")
    for trace in failed[: 2 * MAX_FAULTS_SHOWN]:
        print(f"      {trace.program or trace.name}: {trace.error}")


def print_traces(controller: stage.FleetController, evidence: oracle.Evidence, text: str) -> None:
    """Print the faults and the records of the programs that a violation names, in time order."""
    mentioned = [trace for trace in evidence.traces if mentions(trace, text)]
    lines = [
        (note.at, f"FAULT {note.text}")
        for note in controller.events
        if "programs:" not in note.text
    ]
    for trace in mentioned:
        lines += trace_events(evidence, trace)
    print(f"\n  trace of: {text}")
    for at, line in sorted(lines):
        print(f"    {at - controller.started_at:7.2f} s  {line}")


def mentions(trace: agents.Trace, text: str) -> bool:
    """Return whether a text contains the id of a program or one of its idempotency keys."""
    return bool(trace.program) and any(
        word.strip(":,") == trace.program or word.startswith(f"{trace.program}:")
        for word in text.replace("/", " ").split()
    )


def trace_events(evidence: oracle.Evidence, trace: agents.Trace) -> list[tuple[float, str]]:
    """Return wall times and descriptions of what callers, engines and services recorded."""
    name = trace.program
    lines = [(trace.started_at, f"{name} starts")]
    if trace.finished_at:
        lines.append((trace.finished_at, f"{name} ends {trace.error} {trace.refusals}"))
    for item in trace.calls:
        lines.append((item.started_at, f"{name} call {item.seq} sent"))
        lines.append((item.finished_at, f"{name} call {item.seq} answered: {item.text[:40]!r}"))
    for attempt in trace.actions:
        lines.append((attempt.started_at, f"{name} action {attempt.key} sent"))
        verdict = f"{attempt.verdict} {attempt.detail}"
        lines.append((attempt.finished_at, f"{name} action {attempt.key} answered: {verdict}"))
    keys = {attempt.key for attempt in trace.actions if attempt.key}
    for execution in evidence.executions:
        if execution.key in keys:
            lines.append((execution.at, f"service executed {execution.key}"))
    for entry in evidence.engine_log:
        if entry.session == f"{trace.customer}/{name}":
            counts = f"{entry.prompt_tokens} + {entry.generated_tokens} tokens"
            lines.append((entry.at, f"{entry.runner} accepted a call of {name}: {counts}"))
    return lines
