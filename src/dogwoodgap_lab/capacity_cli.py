"""Commands of ``dogwoodgap-lab capacity``: the measurements and the tables of the page."""

import functools
import pathlib
import typing

import anyio
import typer

from dogwoodgap_lab import (
    capacity_fit,
    capacity_nodes,
    capacity_processes,
    capacity_state,
    gateway_scale,
)

cli = typer.Typer(no_args_is_help=True, help="Measure how costs grow with the size of the fleet.")

DEFAULT_RESULTS = pathlib.Path("docs/results")
Output = typing.Annotated[
    pathlib.Path, typer.Option(help="File to which the measures are appended.")
]
BasePort = typing.Annotated[int, typer.Option(help="First port on 127.0.0.1.")]
COMMIT_NODES = (9, 20, 40, 80, 160, 380)
COMMIT_CALLS_PER_S = (1.0, 6.05, 25.0)
"""6.05 is 2,300 calls per second divided by 380 nodes."""

RUNNERS = (10, 40, 160, 620)
CUSTOMERS = (80, 160, 320, 640)
OUTPUT = pathlib.Path("measures.jsonl")


@cli.command()
def nodes(count: int, output: Output = OUTPUT, base_port: BasePort = 28_000) -> None:
    """Measure a number of nodes that all run in this process."""
    capacity_fit.append_measure(output, capacity_nodes.measure(count, base_port))


@cli.command()
def gateways(count: int, turns_per_s: float = 1.0, output: Output = OUTPUT) -> None:
    """Count calls, messages and connections of the gateways of a fleet on virtual time."""
    for measure in gateway_scale.measure(count, turns_per_s).measures:
        capacity_fit.append_measure(output, measure)


@cli.command()
def programs(
    count: int,
    turns: int = 10,
    characters: int = 2_000,
    size: str = "count",
    output: Output = OUTPUT,
) -> None:
    """Measure a table of programs; ``size`` names the parameter that the columns show."""
    sizes = {"count": count, "turns": turns, "characters": characters}
    fixed = ", ".join(f"{name} {value}" for name, value in sizes.items() if name != size)
    part = f"programs ({size}; {fixed})"
    measure = capacity_state.measure_programs(part, count, turns, characters, sizes[size])
    capacity_fit.append_measure(output, measure)


@cli.command()
def decisions(output: Output = OUTPUT) -> None:
    """Measure scheduling decisions, configurations and the group commit."""
    for count in RUNNERS:
        capacity_fit.append_measure(output, capacity_state.measure_decision(count))
    for count in CUSTOMERS:
        capacity_fit.append_measure(output, capacity_state.measure_configuration(count))
    for calls_per_s in COMMIT_CALLS_PER_S:
        for count in COMMIT_NODES:
            capacity_fit.append_measure(output, capacity_state.measure_commits(calls_per_s, count))


@cli.command()
def layout(
    folder: pathlib.Path,
    node_count: int,
    runner_count: int,
    part: str = "processes (nodes)",
    spread: bool = True,
    base_port: BasePort = 28_000,
) -> None:
    """Write the settings and the list of processes for ``fleet.sh``."""
    shape = capacity_processes.Shape(part, node_count, runner_count, base_port, spread)
    capacity_processes.write_files(shape, folder)


@cli.command()
def watch(folder: pathlib.Path, output: Output = OUTPUT) -> None:
    """Measure the running processes that ``layout`` listed in a folder."""
    capacity_fit.append_measure(
        output, anyio.run(functools.partial(capacity_processes.measure, folder))
    )


@cli.command()
def report(output: Output = OUTPUT, results: pathlib.Path = DEFAULT_RESULTS) -> None:
    """Fit lines to the measures and write ``capacity.json`` and ``capacity.md``."""
    capacity_fit.write_report(
        capacity_fit.fit_measures(capacity_fit.read_measures(output)), results
    )
