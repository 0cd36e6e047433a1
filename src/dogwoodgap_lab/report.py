"""Tables of what a run measured and of the rules that it kept or broke."""

import dataclasses
import statistics

from dogwoodgap_lab import agents, load, oracle, stage

MAX_SHOWN = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One line of a table."""

    name: str
    value: str


def seconds(values: list[float]) -> str:
    """Return the last value in seconds, or that there is none."""
    return f"{values[-1]:.2f} s" if values else "none measured"


def quantile(ordered: list[float], share: float) -> list[float]:
    """Return a list of the value at a quantile, empty when there are no values."""
    return ordered[int(share * (len(ordered) - 1)) :][:1]


async def measure(field: stage.FleetController, done: load.Load) -> list[Row]:
    """Return program latency and wasted cache."""
    latencies = done.latencies_s()
    mean = [statistics.fmean(latencies)] if latencies else []
    held = wasted = 0.0
    for runner in field.runners():
        if not runner.plain:
            stats = await field.get_json(f"{runner.url}/stats")
            held += stats["held_token_s"]
            wasted += stats["wasted_token_s"]
    share = f"{wasted / held:.1%} of {held:.0f} token-seconds" if held else "nothing was held"
    return [
        Row("programs ended well", f"{len(latencies)} of {done.started}"),
        Row("program latency, mean", seconds(mean)),
        Row("program latency, p50", seconds(quantile(latencies, 0.5))),
        Row("program latency, p95", seconds(quantile(latencies, 0.95))),
        Row("wasted cache", share),
    ]


def counts(found: oracle.Evidence) -> list[Row]:
    """Return the counts of what must not happen."""
    turns = sum(len(trace.calls) for trace in found.traces)
    actions = sum(len(trace.actions) for trace in found.traces)
    duplicates = sum(count - 1 for count in oracle.execution_counts(found).values())
    lost = sum("lost" in text for text in oracle.history(found))
    return [
        Row("actions", str(actions)),
        Row("duplicates", str(duplicates)),
        Row("acknowledged turns", str(turns)),
        Row("lost turns", str(lost)),
        Row("requests during planned stops", str(found.probes_in_planned_stops)),
        Row("requests cut by planned stops", str(len(found.cut_requests))),
    ]


def unfinished(done: load.Load) -> list[agents.Trace]:
    """Return the programs that ended with an error or not at all."""
    return [trace for trace in done.traces if trace.error or not trace.finished_at]


def show(rows: list[Row], broken: dict[str, list[str]]) -> None:
    """Print a table and the verdict on each rule."""
    print()
    for row in rows:
        print(f"  {row.name:<40} {row.value}")
    print()
    for name, faults in broken.items():
        print(f"  {name:<40} {'BROKEN' if faults else 'kept'}")
        for text in faults[:MAX_SHOWN]:
            print(f"      {text}")
    print(flush=True)


def show_errors(done: load.Load) -> None:
    """Print the programs that ended with an error, most of which faults explain."""
    failed = [trace for trace in done.traces if trace.error]
    print(f"  {len(failed)} of {len(done.traces)} programs ended with an error")
    for trace in failed[: 2 * MAX_SHOWN]:
        print(f"      {trace.program or trace.name}: {trace.error}")


def explain(field: stage.FleetController, found: oracle.Evidence, text: str) -> None:
    """Print what happened to the programs that a broken rule names, with the faults."""
    concerned = [trace for trace in found.traces if concerns(trace, text)]
    lines = [
        (note.at, f"FAULT {note.text}") for note in field.events if "programs:" not in note.text
    ]
    for trace in concerned:
        lines += happenings(found, trace)
    print(f"\n  trace of: {text}")
    for at, line in sorted(lines):
        print(f"    {at - field.started_at:7.2f} s  {line}")


def concerns(trace: agents.Trace, text: str) -> bool:
    """Return whether a text names a program or one of its keys."""
    return bool(trace.program) and any(
        word.strip(":,") == trace.program or word.startswith(f"{trace.program}:")
        for word in text.replace("/", " ").split()
    )


def happenings(found: oracle.Evidence, trace: agents.Trace) -> list[tuple[float, str]]:
    """Return what callers, engines and services recorded of a program, with wall times."""
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
    for execution in found.executions:
        if execution.key in keys:
            lines.append((execution.at, f"service executed {execution.key}"))
    for entry in found.engine_log:
        if entry.session == f"{trace.customer}/{name}":
            counts = f"{entry.prompt_tokens} + {entry.generated_tokens} tokens"
            lines.append((entry.at, f"{entry.runner} accepted a call of {name}: {counts}"))
    return lines
