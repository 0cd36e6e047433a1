"""Command-line interface of ``dogwoodgap-gateway``."""

import os
import pathlib
import signal
import typing

import typer

from dogwoodgap import events, exceptions, lean, process_signals, settings

EXIT_INVALID = 2

cli = typer.Typer(
    no_args_is_help=True,
    help="Forwards requests by configured routes from a TOML file.",
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)

SettingsPath = typing.Annotated[pathlib.Path, typer.Argument(help="Settings of the gateway.")]
FleetPath = typing.Annotated[pathlib.Path, typer.Argument(help="Routes and backend servers.")]


@cli.command()
def check(path: SettingsPath, fleet: FleetPath) -> None:
    """Check both files and print nothing but 'valid' when they are."""
    read_configuration(path, fleet)
    typer.echo("valid")


@cli.command()
def run(path: SettingsPath, fleet: FleetPath) -> None:
    """Run a gateway in the foreground until SIGTERM."""
    process_signals.hold()
    loaded = read_configuration(path, fleet)
    lean.block_optional_modules()
    from dogwoodgap import dialect, entrance, file_source, gateway

    events.configure(loaded.log.level)
    served_gateway = gateway.Gateway(
        loaded,
        file_source.FileSource(fleet),
        file_source.InMemoryBudgetRecords(),
        file_source.InMemoryCrashRecords(),
        file_source.NoRemovals(),
        dialect.HeaderCodec(),
        file_source.NoStorageVms(),
    )
    gateway.run_process(served_gateway, entrance.DiscoveryEndpoints(served_gateway))


def read_configuration(path: pathlib.Path, fleet: pathlib.Path) -> settings.GatewaySettings:
    """Load the settings and check the fleet file; exits with an error message if invalid."""
    from dogwoodgap import file_source

    try:
        loaded = settings.load(path, os.environ, kind=settings.GatewaySettings)
        file_source.FileSource(fleet).check()
    except exceptions.DogwoodgapError as error:
        typer.echo(f"error {error.code}: {error.detail}", err=True)
        raise typer.Exit(EXIT_INVALID) from error
    return loaded


def main() -> None:
    """Run the command line."""
    # The default action of SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    cli()
