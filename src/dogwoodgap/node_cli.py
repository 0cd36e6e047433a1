"""Command line of ``dogwoodgap-node``."""

import os
import pathlib
import typing

import anyio
import typer

from dogwoodgap import events, exceptions, lean, settings

EXIT_INVALID = 2

# Without rich: the daemon neither formats its help nor its tracebacks with it.
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


def read(path: pathlib.Path, overrides: list[str] | None) -> settings.NodeSettings:
    """Read settings, or end with a message."""
    pairs = dict(item.partition("=")[::2] for item in overrides or [])
    try:
        return settings.load(path, os.environ, pairs)
    except exceptions.DogwoodgapError as error:
        typer.echo(f"error {error.code}: {error.detail}", err=True)
        raise typer.Exit(EXIT_INVALID) from error


@cli.command()
def check(path: pathlib.Path, override: Overrides = None) -> None:
    """Check a settings file and print nothing but 'valid' when it is."""
    read(path, override)
    typer.echo("valid")


@cli.command()
def run(path: pathlib.Path, override: Overrides = None) -> None:
    """Run the node in the foreground until SIGTERM."""
    loaded = read(path, override)
    lean.block_optional_modules()
    from dogwoodgap import node

    events.configure(loaded.log.level)
    anyio.run(node.Node(loaded).run, backend_options={"use_uvloop": True})


def main() -> None:
    """Run the command line."""
    cli()
