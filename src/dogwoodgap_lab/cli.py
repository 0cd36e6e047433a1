"""Command line of ``dogwoodgap-lab``."""

import os
import pathlib
import typing

import anyio
import hypercorn.asyncio
import hypercorn.config
import typer

from dogwoodgap_lab import engine, engine_server, objects, plain_service, platform_server

cli = typer.Typer(no_args_is_help=True, help="Stand-ins, load and checks for dogwoodgap.")

Bind = typing.Annotated[str, typer.Option(help="Address to listen on, host:port.")]


def serve(application: typing.Any, bind: str) -> None:
    """Serve an ASGI application until SIGTERM."""
    config = hypercorn.config.Config()
    config.bind = [bind]
    config.accesslog = None
    config.errorlog = None
    anyio.run(hypercorn.asyncio.serve, application, config, backend_options={"use_uvloop": True})


@cli.command()
def platform(bind: Bind = "127.0.0.1:9000", seed: int = 0) -> None:
    """Run the platform stand-in."""
    serve(platform_server.build(objects.ObjectTable(seed)), bind)


@cli.command()
def engine_runner(bind: Bind = "127.0.0.1:9100") -> None:
    """Run a model engine stand-in."""
    serve(engine_server.build(engine.Engine()), bind)


@cli.command()
def plain_runner(bind: Bind = "127.0.0.1:9200") -> None:
    """Run a plain service stand-in."""
    serve(plain_service.build(plain_service.PlainService()), bind)


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
    """Compare scheduling strategies on virtual time and write a report."""
    # Imported here, since the stand-ins start without numpy and trio.
    from dogwoodgap_lab import experiment as experiment_module
    from dogwoodgap_lab import experiment_report, workload

    names = [deployment] if deployment else sorted(workload.DEPLOYMENTS)
    default = experiment_module.QUICK_LOADS if quick else experiment_module.LOADS
    for name in names:
        if name not in workload.DEPLOYMENTS:
            raise typer.BadParameter(
                f"no deployment {name!r}; use one of {', '.join(sorted(workload.DEPLOYMENTS))}"
            )
        planned = experiment_module.jobs(name, load or default, quick=quick, seed=seed)
        runs = []
        for run in experiment_module.run_all(planned, workers):
            runs.append(run)
            typer.echo(f"{name} {run.job.load} {experiment_report.row(run)}")
        path = experiment_report.write(workload.DEPLOYMENTS[name], runs, out)
        typer.echo(path.read_text(encoding="utf-8"))


@cli.command()
def calibrate() -> None:
    """Measure the capacity of each deployment; the results are fixed in ``workload``."""
    from dogwoodgap_lab import simulation, workload

    for name, deployment in sorted(workload.DEPLOYMENTS.items()):
        measured = simulation.calibrate(deployment)
        typer.echo(f"{name}: {measured:.3f} programs/s, fixed at {deployment.capacity_per_s}")


@cli.command(name="decision-cost")
def decision_cost(out: Out = pathlib.Path("docs/results")) -> None:
    """Measure the processor time of one scheduling decision."""
    from dogwoodgap_lab import decision_cost as decision_cost_module
    from dogwoodgap_lab import experiment_report

    costs = decision_cost_module.run()
    experiment_report.write_decision_cost(costs, out)
    typer.echo("\n".join(decision_cost_module.lines(costs)))


def main() -> None:
    """Run the command line."""
    cli()
