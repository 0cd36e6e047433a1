"""Tables, plots and the Markdown report of an experiment."""

import collections.abc
import dataclasses
import pathlib

from dogwoodgap_lab import decision_cost, experiment, fleet, simulation, strategies, workload

BASELINE_NAMES = ("round-robin", "least-loaded", "prefix-affinity", "call-priority")
COLUMNS = (
    "strategy | mean s | median s | p95 s | p99 s | wasted cache | computed prompt "
    "| refused calls | failed programs | fairness"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The factor by which the full strategy has to beat the best baseline at load 1.0.

    The factor is the best baseline's figure divided by that of the full strategy.
    """

    name: str
    field: str
    factor: float


TARGETS = (
    Target("mean program latency", "mean_s", 1.5),
    Target("p95 program latency", "p95_s", 1.3),
    Target("wasted cache", "wasted", 4.0),
)
HALF_LOAD_FIELDS = ("mean_s", "median_s", "p95_s", "p99_s", "wasted", "refused", "failed")


def header() -> list[str]:
    """Return the header lines of a table of runs."""
    return [f"| {COLUMNS} |", "|" + " --- |" * (COLUMNS.count("|") + 1)]


def row(run: experiment.Run) -> str:
    """Return one run as a table row."""
    result = run.result
    return (
        f"| {run.job.name} | {result.mean_s:.1f} | {result.median_s:.1f} | {result.p95_s:.1f} "
        f"| {result.p99_s:.1f} | {result.wasted:.3f} | {result.computed_share:.3f} "
        f"| {result.refused} | {result.failed} | {result.fairness:.3f} |"
    )


def table(runs: collections.abc.Iterable[experiment.Run]) -> list[str]:
    """Return the lines of a table of runs."""
    return [*header(), *map(row, runs)]


def select(
    runs: list[experiment.Run], part: experiment.Part, load: float = 1.0
) -> list[experiment.Run]:
    """Return the runs of one section at one load."""
    return [run for run in runs if run.job.part == part and run.job.load == load]


def split_comparison(
    runs: list[experiment.Run], load: float
) -> tuple[list[experiment.Run], experiment.Run]:
    """Return the runs of the baselines and the run of the full strategy at one load."""
    compared = select(runs, experiment.Part.COMPARISON, load)
    baselines = [run for run in compared if run.job.name in BASELINE_NAMES]
    full = next(run for run in compared if run.job.name == experiment.FULL_NAME)
    return baselines, full


def best(baselines: list[experiment.Run], field: str) -> float:
    """Return the smallest value of a figure over the baselines."""
    return min(getattr(run.result, field) for run in baselines)


def target_table(runs: list[experiment.Run]) -> list[str]:
    """Return a table of the targets, with the best baseline and the full strategy."""
    baselines, full = split_comparison(runs, 1.0)
    lines = ["| at 1.0 | best baseline | dogwoodgap | factor | aim | |", "|" + " --- |" * 6]
    for target in TARGETS:
        baseline = best(baselines, target.field)
        ours = getattr(full.result, target.field)
        factor = baseline / max(ours, 1e-9)
        met = "met" if factor >= target.factor else "missed"
        lines.append(
            f"| {target.name} | {baseline:.3f} | {ours:.3f} | {factor:.2f} "
            f"| {target.factor} | {met} |"
        )
    return lines


def half_load_table(runs: list[experiment.Run]) -> list[str]:
    """Return a comparison at half load, where no figure may be worse than the best baseline's."""
    baselines, full = split_comparison(runs, 0.5)
    lines = ["| at 0.5 | best baseline | dogwoodgap | |", "|" + " --- |" * 4]
    for field in HALF_LOAD_FIELDS:
        baseline = best(baselines, field)
        ours = getattr(full.result, field)
        verdict = "not worse" if ours <= baseline else f"worse by {ours - baseline:.3f}"
        lines.append(f"| {field} | {baseline:.3f} | {ours:.3f} | {verdict} |")
    baseline = max(run.result.fairness for run in baselines)
    ours = full.result.fairness
    verdict = "not worse" if ours >= baseline else f"worse by {baseline - ours:.6f}"
    lines.append(f"| fairness | {baseline:.6f} | {ours:.6f} | {verdict} |")
    return lines


def seed_table(runs: list[experiment.Run]) -> list[str]:
    """Return a table of the full strategy and the best baseline for each seed."""
    lines = ["| seed | figure | best baseline | dogwoodgap | factor |", "|" + " --- |" * 5]
    for seed in sorted({run.job.seed for run in runs}):
        seed_runs = [run for run in runs if run.job.seed == seed]
        baselines = [run for run in seed_runs if run.job.name in BASELINE_NAMES]
        full = next(run for run in seed_runs if run.job.name == experiment.FULL_NAME)
        for target in TARGETS:
            baseline = best(baselines, target.field)
            ours = getattr(full.result, target.field)
            factor = baseline / max(ours, 1e-9)
            lines.append(f"| {seed} | {target.name} | {baseline:.3f} | {ours:.3f} | {factor:.2f} |")
    return lines


def late_table(runs: list[experiment.Run]) -> list[str]:
    """Return a table of calls that ended after their deadline, whose results are useless."""
    lines = [
        f"Each call has a deadline of {strategies.TIGHT_DEADLINE_S:.0f} s. A program fails when "
        f"its caller gives up after {simulation.MAX_REFUSALS} refusals of one call.",
        "",
        "| strategy | calls | late calls | late share | refused calls | failed programs "
        "| mean s | p95 s |",
        "|" + " --- |" * 8,
    ]
    for run in runs:
        result = run.result
        lines.append(
            f"| {run.job.name} | {result.calls} | {result.late} "
            f"| {result.late / max(result.calls, 1):.3f} | {result.refused} "
            f"| {result.failed} | {result.mean_s:.1f} | {result.p95_s:.1f} |"
        )
    return lines


def render(deployment: workload.Deployment, runs: list[experiment.Run]) -> str:
    """Return the report of one deployment."""
    first_job = runs[0].job
    lines = [
        f"# Experiment: {deployment.name}",
        "",
        f"Seed {first_job.seed}; {first_job.horizon_s:.0f} s of open-loop arrivals, of which "
        f"the first {first_job.warmup_s:.0f} s are not counted; "
        f"capacity {deployment.capacity_per_s} programs/s; "
        f"{deployment.nodes} nodes, {deployment.runners} runners with "
        f"{fleet.ENGINE_SPEED.slots} slots and {deployment.memory_tokens} tokens of memory.",
        "",
        "Latency is that of whole programs with their tool pauses. Abandoned and looping programs "
        "use the engines but are not counted. Wasted cache is the share of token-seconds of engine "
        "memory held for ended programs, or held and not used again by the same engine. Computed "
        "prompt is the share of prompt tokens that were neither cached nor imported. Fairness is "
        "Jain's index of the customers' mean slowdowns. A refused call is repeated by its caller.",
        "",
    ]
    for load in sorted({run.job.load for run in runs}):
        lines += [f"## Load {load}", ""]
        lines += table(select(runs, experiment.Part.COMPARISON, load))
        lines.append("")
        if load == 0.5:
            lines += [*half_load_table(runs), ""]
        if load == 1.0:
            lines += [*target_table(runs), ""]
    ablation = select(runs, experiment.Part.ABLATION)
    if ablation:
        lines += ["## Each decision replaced or left out, at 1.0", ""]
        lines += [*table([split_comparison(runs, 1.0)[1], *ablation]), ""]
    seeds = select(runs, experiment.Part.SEEDS)
    if seeds:
        lines += ["## Other seeds, at 1.0", "", *seed_table(seeds), ""]
    trade = select(runs, experiment.Part.TRADE)
    if trade:
        lines += ["## Profile weights, at 1.0", "", *table(trade), ""]
    overload = select(runs, experiment.Part.OVERLOAD, 1.2)
    if overload:
        lines += ["## Tight deadlines, at 1.2", "", *late_table(overload), ""]
    lines += [f"![Latency and wasted cache]({deployment.name}.png)", ""]
    return "\n".join(lines)


def plot(deployment: workload.Deployment, runs: list[experiment.Run], path: pathlib.Path) -> None:
    """Plot mean latency, p95 latency and wasted cache over load."""
    import matplotlib.figure

    figure = matplotlib.figure.Figure(figsize=(13, 4), layout="constrained")
    axes = figure.subplots(1, 3)
    fields = (("mean_s", "mean latency (s)"), ("p95_s", "p95 (s)"), ("wasted", "wasted cache"))
    loads = sorted({run.job.load for run in runs})
    for ax, (field, label) in zip(axes, fields, strict=True):
        for name in (*BASELINE_NAMES, experiment.FULL_NAME):
            values = [
                getattr(run.result, field)
                for load in loads
                for run in select(runs, experiment.Part.COMPARISON, load)
                if run.job.name == name
            ]
            ax.plot(loads, values, marker="o", label=name)
        ax.set_xlabel("load (share of capacity)")
        ax.set_ylabel(label)
    axes[0].set_yscale("log")
    axes[1].set_yscale("log")
    axes[2].legend()
    figure.suptitle(deployment.name)
    figure.savefig(path, dpi=80, metadata={"Software": None})


def write(
    deployment: workload.Deployment, runs: list[experiment.Run], folder: pathlib.Path
) -> pathlib.Path:
    """Write the report and the plot, and return the path of the report."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{deployment.name}.md"
    path.write_text(render(deployment, runs), encoding="utf-8")
    plot(deployment, runs, folder / f"{deployment.name}.png")
    return path


def write_decision_cost(costs: list[decision_cost.DecisionCost], folder: pathlib.Path) -> None:
    """Write ``decision-cost.md``."""
    folder.mkdir(parents=True, exist_ok=True)
    header_lines = [
        "# Cost of one decision",
        "",
        "Processor time on one core, best of several rounds. *Choose* orders a call and chooses "
        "its runner; *whole call* adds admission, accounting, sessions and the end of the call.",
        "",
    ]
    text = "\n".join([*header_lines, *decision_cost.markdown_table(costs), ""])
    (folder / "decision-cost.md").write_text(text, encoding="utf-8")
