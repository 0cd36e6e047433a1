"""Command line of ``dogwoodgap-node``."""

import gc
import os
import pathlib
import signal
import typing

import anyio
import typer

from dogwoodgap import events, exceptions, lean, settings

EXIT_INVALID = 2

# The daemon does not use rich for help and tracebacks, which saves memory.
cli = typer.Typer(
    add_completion=True,
    no_args_is_help=True,
    help="The dogwoodgap daemon.",
    rich_markup_mode=None,
    pretty_exceptions_enable=False,
)

Overrides = typing.Annotated[
    list[str] | None, typer.Option("--set", help="Override a setting: section.field=value.")
]


def load_settings(path: pathlib.Path, overrides: list[str] | None) -> settings.NodeSettings:
    """Load the settings; on invalid ones print the error and exit with ``EXIT_INVALID``."""
    pairs = dict(item.partition("=")[::2] for item in overrides or [])
    try:
        return settings.load(path, os.environ, pairs)
    except exceptions.DogwoodgapError as error:
        typer.echo(f"error {error.code}: {error.detail}", err=True)
        raise typer.Exit(EXIT_INVALID) from error


@cli.command()
def check(path: pathlib.Path, override: Overrides = None) -> None:
    """Check a settings file and print 'valid' if it is."""
    load_settings(path, override)
    typer.echo("valid")


@cli.command()
def run(path: pathlib.Path, override: Overrides = None) -> None:
    """Run the node in the foreground until SIGTERM."""
    node_settings = load_settings(path, override)
    lean.block_optional_modules()
    from dogwoodgap import node

    events.configure(node_settings.log.level)
    # A collection then does not visit all modules.
    gc.freeze()
    anyio.run(node.Node(node_settings).run, backend_options={"use_uvloop": True})


def main() -> None:
    """Run the command line."""
    # The default action of SIGHUP would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    cli()
