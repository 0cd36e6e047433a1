"""Command line of ``dogwoodgap-lab``."""

import pathlib
import typing

import anyio
import typer

from dogwoodgap_lab import (
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
)

cli = typer.Typer(no_args_is_help=True, help="Stand-ins, load and checks for dogwoodgap.")

Bind = typing.Annotated[str, typer.Option(help="Address to listen on, host:port.")]
Binds = typing.Annotated[
    list[str], typer.Option("--bind", help="Address to listen on; one runner per option.")
]
Seed = typing.Annotated[int, typer.Option(help="Seed of the faults; runner n uses seed + n.")]
Marker = typing.Annotated[str, typer.Option(help="Word in a request that crashes the runner.")]
Restart = typing.Annotated[float, typer.Option(help="Seconds until a crashed runner is back.")]
CrashExits = typing.Annotated[bool, typer.Option(help="A crash ends the whole process.")]


def switch(seed: int, number: int, marker: str, restart_s: float) -> faults.FaultSwitch:
    """Return the faults of one runner."""
    chosen = faults.RunnerFaults(crash_marker=marker, restart_s=restart_s)
    return faults.FaultSwitch(seed + number, chosen)


@cli.command()
def platform(bind: Bind = "127.0.0.1:9000", seed: Seed = 0) -> None:
    """Run the platform stand-in."""
    application = platform_server.build(objects.ObjectTable(seed))
    serving.run([serving.StandIn(application, bind, faults.FaultSwitch(seed))])


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
    """Run model engine stand-ins."""
    stand_ins = []
    for number, address in enumerate(bind):
        faults_of_runner = switch(seed, number, crash_marker, restart_s)
        runner = engine.Engine(
            slots=slots,
            cache_tokens=cache_tokens,
            prefill_tokens_per_s=prefill_tokens_per_s,
            decode_tokens_per_s=decode_tokens_per_s,
            tokens_per_step=tokens_per_step,
            switch=faults_of_runner,
        )
        application = engine_server.build(runner, checks_fencing=checks_fencing)
        stand_ins.append(serving.StandIn(application, address, faults_of_runner))
    serving.run(stand_ins, crash_exits=crash_exits)


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
    """Run plain service stand-ins that share one ledger."""
    ledger = plain_service.Ledger()
    stand_ins = []
    for number, address in enumerate(bind):
        faults_of_runner = switch(seed, number, crash_marker, restart_s)
        service = plain_service.PlainService(
            ledger,
            faults_of_runner,
            answers_outcomes=answers_outcomes,
            execution_s=execution_s,
        )
        stand_ins.append(serving.StandIn(plain_service.build(service), address, faults_of_runner))
    serving.run(stand_ins, crash_exits=crash_exits)


@cli.command()
def layout(
    folder: pathlib.Path, nodes: int = 9, base_port: int = 30000, engine_options: str = ""
) -> None:
    """Write the files of a test fleet with both deployments, for scripts/fleet.sh."""
    chosen = [deployments.ORECHOV, deployments.LAKESHORE]
    deployments.write(deployments.Layout(folder, chosen, nodes, base_port), engine_options)


@cli.command("configuration-check")
def check_configuration(folder: pathlib.Path) -> None:
    """Check that configuration comes into force and never reverts.

    Run by scripts/fleet.sh FOLDER. Prints aims and measured figures; status 1 if one is missed.
    """
    fleet_client.report(anyio.run(configuration_check.check, deployments.read(folder)))


@cli.command("footprint")
def check_footprint(folder: pathlib.Path) -> None:
    """Measure memory and control traffic of the nodes, idle and with programs.

    Run by scripts/fleet.sh FOLDER. Prints aims and measured figures; status 1 if one is missed.
    """
    fleet_client.report(anyio.run(footprint.check, deployments.read(folder)))


def main() -> None:
    """Run the command line."""
    cli()
