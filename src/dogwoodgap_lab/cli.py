"""Command line of ``dogwoodgap-lab``."""

import collections.abc
import os
import pathlib
import sys
import tempfile
import typing

import anyio
import typer

from dogwoodgap import exceptions
from dogwoodgap_lab import (
    bench_fleet,
    capacity_cli,
    checking,
    configuration_check,
    deployments,
    engine,
    engine_server,
    faults,
    fleet_client,
    footprint,
    objects,
    plain_service,
    platform_server,
    serving,
    stage,
)
from dogwoodgap_lab import demo as demo_module

cli = typer.Typer(
    no_args_is_help=True, help="Fake servers, load, checks and experiments for dogwoodgap."
)
cli.add_typer(capacity_cli.cli, name="capacity")

Bind = typing.Annotated[str, typer.Option(help="Address to listen on, host:port.")]
Binds = typing.Annotated[
    list[str], typer.Option("--bind", help="Address to listen on; one runner per option.")
]
Seed = typing.Annotated[int, typer.Option(help="Seed of the faults; runner n uses seed + n.")]
Marker = typing.Annotated[str, typer.Option(help="Word in a request that crashes the runner.")]
Restart = typing.Annotated[float, typer.Option(help="Seconds until a crashed runner is back.")]
CrashExits = typing.Annotated[bool, typer.Option(help="A crash ends the whole process.")]

Folder = typing.Annotated[
    pathlib.Path | None, typer.Option(help="Folder for settings and logs; new by default.")
]
BasePort = typing.Annotated[int, typer.Option(help="First port on 127.0.0.1.")]
Window = typing.Annotated[float, typer.Option(help="Seconds of each measurement of a rate.")]
Report = typing.Annotated[pathlib.Path | None, typer.Option(help="Page to write the result to.")]


def runner_faults(seed: int, number: int, marker: str, restart_s: float) -> faults.FaultInjector:
    """Return the fault injector of the runner with a number."""
    injected_faults = faults.RunnerFaults(crash_marker=marker, restart_s=restart_s)
    return faults.FaultInjector(seed + number, injected_faults)


@cli.command()
def platform(bind: Bind = "127.0.0.1:9000", seed: Seed = 0) -> None:
    """Run the fake platform."""
    application = platform_server.build(objects.MemoryObjectStore(seed))
    serving.run([serving.FakeServer(application, bind, faults.FaultInjector(seed))])


@cli.command()
def engine_runner(
    bind: Binds = ["127.0.0.1:9100"],  # noqa: B006
    seed: Seed = 0,
    slots: int = 16,
    cache_tokens: int = 200_000,
    prefill_tokens_per_s: float = 8_000.0,
    decode_tokens_per_s: float = 50.0,
    tokens_per_step: int = 1,
    checks_fencing: bool = True,
    crash_marker: Marker = "",
    restart_s: Restart = 3.0,
    crash_exits: CrashExits = False,
) -> None:
    """Run fake model engines."""
    servers = []
    for number, address in enumerate(bind):
        fault_injector = runner_faults(seed, number, crash_marker, restart_s)
        runner = engine.Engine(
            slots=slots,
            cache_tokens=cache_tokens,
            prefill_tokens_per_s=prefill_tokens_per_s,
            decode_tokens_per_s=decode_tokens_per_s,
            tokens_per_step=tokens_per_step,
            fault_injector=fault_injector,
        )
        application = engine_server.build(runner, checks_fencing=checks_fencing)
        servers.append(serving.FakeServer(application, address, fault_injector))
    serving.run(servers, crash_exits=crash_exits)


@cli.command()
def plain_runner(
    bind: Binds = ["127.0.0.1:9200"],  # noqa: B006
    seed: Seed = 0,
    answers_outcomes: bool = False,
    execution_s: float = 0.0,
    crash_marker: Marker = "",
    restart_s: Restart = 3.0,
    crash_exits: CrashExits = False,
) -> None:
    """Run fake plain services that share one ledger."""
    ledger = plain_service.Ledger()
    servers = []
    for number, address in enumerate(bind):
        fault_injector = runner_faults(seed, number, crash_marker, restart_s)
        service = plain_service.PlainService(
            ledger,
            fault_injector,
            answers_outcomes=answers_outcomes,
            execution_s=execution_s,
        )
        servers.append(serving.FakeServer(plain_service.build(service), address, fault_injector))
    serving.run(servers, crash_exits=crash_exits)


DEFAULT_WORKERS = min(4, os.cpu_count() or 1)
Out = typing.Annotated[pathlib.Path, typer.Option(help="Folder of the reports.")]


@cli.command()
def experiment(
    deployment: typing.Annotated[str, typer.Option(help="One deployment; default: all.")] = "",
    load: typing.Annotated[
        list[float] | None, typer.Option(help="Share of capacity; may be repeated.")
    ] = None,
    quick: typing.Annotated[bool, typer.Option(help="Ten minutes of arrivals at 1.0.")] = False,
    out: Out = pathlib.Path("docs/results"),
    workers: typing.Annotated[int, typer.Option(min=1, help="Processes.")] = DEFAULT_WORKERS,
    seed: int = 1,
) -> None:
    """Compare scheduling strategies by simulation on virtual time and write a report."""
    # Imported here, so that the fake servers start without numpy and trio.
    from dogwoodgap_lab import experiment as experiment_module
    from dogwoodgap_lab import experiment_report, workload

    names = [deployment] if deployment else sorted(workload.DEPLOYMENTS)
    default = experiment_module.QUICK_LOADS if quick else experiment_module.LOADS
    for name in names:
        if name not in workload.DEPLOYMENTS:
            raise typer.BadParameter(
                f"no deployment {name!r}; use one of {', '.join(sorted(workload.DEPLOYMENTS))}"
            )
        planned = experiment_module.plan_jobs(name, load or default, quick=quick, seed=seed)
        runs = []
        for run in experiment_module.run_all(planned, workers):
            runs.append(run)
            typer.echo(f"{name} {run.job.load} {experiment_report.row(run)}")
        path = experiment_report.write(workload.DEPLOYMENTS[name], runs, out)
        typer.echo(path.read_text(encoding="utf-8"))


@cli.command()
def calibrate() -> None:
    """Measure the capacity of each deployment, for the constants in ``workload``."""
    from dogwoodgap_lab import simulation, workload

    for name, deployment in sorted(workload.DEPLOYMENTS.items()):
        measured = simulation.calibrate(deployment)
        typer.echo(f"{name}: {measured:.3f} programs/s, constant {deployment.capacity_per_s}")


@cli.command(name="decision-cost")
def decision_cost(out: Out = pathlib.Path("docs/results")) -> None:
    """Measure the CPU time of one scheduling decision."""
    from dogwoodgap_lab import decision_cost as decision_cost_module
    from dogwoodgap_lab import experiment_report

    costs = decision_cost_module.run()
    experiment_report.write_decision_cost(costs, out)
    typer.echo("\n".join(decision_cost_module.markdown_table(costs)))


FLEET_SCRIPT = pathlib.Path(__file__).parent / "scripts" / "fleet.sh"
Nodes = typing.Annotated[int, typer.Option(help="Number of nodes.", min=3, max=16)]
Seconds = typing.Annotated[
    float, typer.Option(help="Seconds during which faults are injected.", min=1)
]
BasePort = typing.Annotated[int, typer.Option(help="First of 500 ports on 127.0.0.1.")]


def add_scripts_to_path() -> None:
    """Add the folder of this Python to PATH, where the script finds the project's programs."""
    os.environ["PATH"] = f"{pathlib.Path(sys.executable).parent}{os.pathsep}{os.environ['PATH']}"


def exec_fleet(nodes: int, base_port: int, seed: int, command: list[str]) -> None:
    """Replace this process with the script that starts a fleet and runs a command against it."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="dogwoodgap-"))
    both = list(deployments.DEPLOYMENTS.values())
    deployments.write_layout(deployments.Layout(folder, both, nodes, base_port), seed=seed)
    typer.echo(f"logs are in {folder}")
    add_scripts_to_path()
    script = ["bash", str(FLEET_SCRIPT), str(folder), "dogwoodgap-lab", *command]
    os.execvp("bash", [*script, str(folder)])


@cli.command()
def demo(nodes: Nodes = 7, base_port: BasePort = 24500, seed: Seed = 1) -> None:
    """Run a fleet under load that loses a node, the platform and, by SIGTERM, another node."""
    exec_fleet(nodes, base_port, seed, ["run-demo", "--seed", str(seed)])


@cli.command()
def gateway_demo() -> None:
    """Demonstrate a gateway: retries, a resumed stream, a budget and a planned stop."""
    from dogwoodgap_lab import gateway_demo as gateway_demo_module

    raise typer.Exit(anyio.run(gateway_demo_module.run))


@cli.command(hidden=True)
def run_demo(folder: pathlib.Path, seed: Seed = 1) -> None:
    """Run the demonstration against a running fleet."""
    raise typer.Exit(anyio.run(demo_module.run, folder, seed))


@cli.command()
def check(
    seed: Seed = 1, seconds: Seconds = 40.0, nodes: Nodes = 7, base_port: BasePort = 24500
) -> None:
    """Run programs under random faults and check the invariants of the system."""
    command = ["run-check", "--seed", str(seed), "--seconds", str(seconds)]
    exec_fleet(nodes, base_port, seed, command)


@cli.command(hidden=True)
def run_check(folder: pathlib.Path, seed: Seed = 1, seconds: Seconds = 40.0) -> None:
    """Run the check against a running fleet."""
    raise typer.Exit(anyio.run(checking.run, folder, seed, seconds))


@cli.command()
def bench(
    folder: Folder = None, base_port: BasePort = 27000, seconds: Window = 6.0, report: Report = None
) -> None:
    """Measure the latency that one node adds to calls, and its rates of calls and tokens."""
    output_folder = folder or pathlib.Path(tempfile.mkdtemp(prefix="dogwoodgap-bench-"))
    bench_fleet.Layout(output_folder, base_port).write()
    script = pathlib.Path(__file__).parent / "scripts" / "fleet.sh"
    arguments = ["--base-port", str(base_port), "--seconds", str(seconds)]
    if report is not None:
        arguments += ["--report", str(report)]
    add_scripts_to_path()
    # Replaces this process with the script that starts and stops the benchmark's processes.
    command = [
        "bash",
        str(script),
        str(output_folder),
        "dogwoodgap-lab",
        "run-bench",
        str(output_folder),
    ]
    os.execvp("bash", [*command, *arguments])


@cli.command(hidden=True)
def run_bench(
    folder: pathlib.Path,
    base_port: BasePort = 27000,
    seconds: Window = 6.0,
    report: Report = None,
) -> None:
    """Run the benchmark against processes that are already running."""
    from dogwoodgap_lab import bench as bench_module

    layout = bench_fleet.Layout(folder, base_port)
    load_averages = [os.getloadavg()]
    measure = bench_module.Bench(layout, seconds).run
    results = anyio.run(measure, backend_options={"use_uvloop": True})
    load_averages.append(os.getloadavg())
    command = f"dogwoodgap-lab bench --seconds {seconds:g}"
    text = bench_module.page(results, command, load_averages)
    typer.echo(text)
    if report is not None:
        report.parent.mkdir(parents=True, exist_ok=True)
        report.write_text(text, encoding="utf-8")


@cli.command()
def layout(
    folder: pathlib.Path, nodes: int = 9, base_port: int = 30000, engine_options: str = ""
) -> None:
    """Write the files of a test fleet with both deployments, for scripts/fleet.sh."""
    layout_deployments = [deployments.ORECHOV, deployments.LAKESHORE]
    deployments.write_layout(
        deployments.Layout(folder, layout_deployments, nodes, base_port), engine_options
    )


@cli.command("configuration-check")
def check_configuration(folder: pathlib.Path) -> None:
    """Check that all nodes apply each configuration change and never revert.

    Run by scripts/fleet.sh FOLDER. Prints targets and measured figures; status 1 if one is missed.
    """
    fleet_client.report(anyio.run(configuration_check.check, deployments.read_layout(folder)))


@cli.command("footprint")
def check_footprint(folder: pathlib.Path) -> None:
    """Measure memory and peer traffic of the nodes, idle and with programs.

    Run by scripts/fleet.sh FOLDER. Prints targets and measured figures; status 1 if one is missed.
    """
    fleet_client.report(anyio.run(footprint.check, deployments.read_layout(folder)))


def whole_number(option: str, low: int, high: int) -> collections.abc.Callable[[str], int]:
    """Return a parser of a number whose error is one line with the remedy, and exit code 2."""

    def parse(value: str) -> int:
        if str(value).isdecimal() and low <= int(value) <= high:
            return int(value)
        typer.echo(f"{option} is {value!r}; give a whole number from {low} to {high}", err=True)
        raise typer.Exit(2)

    return parse


SimulatedSeed = typing.Annotated[
    int, typer.Option(parser=whole_number("--seed", 0, 10**9), metavar="N", help="First seed.")
]
SeedCount = typing.Annotated[
    int,
    typer.Option(parser=whole_number("--count", 1, 10**6), metavar="N", help="Number of seeds."),
]
Gateways = typing.Annotated[
    int,
    typer.Option(parser=whole_number("--gateways", 2, 40), metavar="N", help="Number of gateways."),
]


@cli.command()
def simulate(seed: SimulatedSeed = 1, count: SeedCount = 1, gateways: Gateways = 7) -> None:
    """Simulate fleets of gateways with planned stops and faults on virtual time.

    Prints a line for each seed, and the timeline of a seed that broke a rule; status 1 if one did.
    """
    from dogwoodgap_lab.fleet_simulation import fleet as fleet_simulation

    broken = 0
    for number in range(seed, seed + count):
        outcome = fleet_simulation.simulate(number, gateways)
        typer.echo(outcome.line())
        if outcome.findings:
            broken += 1
            typer.echo("\n".join(outcome.timeline()))
    raise typer.Exit(1 if broken else 0)


def main() -> None:
    """Run the command line."""
    try:
        cli()
    except (stage.WaitTimeoutError, exceptions.DogwoodgapError) as error:
        typer.echo(str(error), err=True)
        raise SystemExit(1) from error
