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


async def measure(field: stage.Stage, done: load.Load) -> list[Row]:
    """Return program latency and wasted cache."""
    latencies = done.latencies_s()
    mean = [statistics.fmean(latencies)] if latencies else []
    held = wasted = 0.0
    for runner in field.runners():
        if not runner.plain:
            stats = await field.read(f"{runner.url}/stats")
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
    turns = sum(len(trace.exchanges) for trace in found.traces)
    actions = sum(len(trace.attempts) for trace in found.traces)
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
