"""Output of the command line: tables for people, JSON for programs."""

import collections.abc
import time
import typing

import msgspec
import typer

from dogwoodgap import admin_parts

# Tables in files and pipes are not cut to the width of a terminal.
PIPE_WIDTH = 240


def as_json(value: typing.Any) -> None:
    """Print a value as indented JSON."""
    typer.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def table(
    columns: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[typing.Any]],
) -> None:
    """Print rows as a table."""
    # rich costs about 60 ms to import, which commands with --json and short answers need not pay.
    import rich.box
    import rich.console
    import rich.markup
    import rich.table

    shown = rich.table.Table(box=rich.box.SIMPLE)
    for column in columns:
        shown.add_column(column, overflow="fold")
    for row in rows:
        shown.add_row(*(rich.markup.escape(cell(value)) for value in row))
    console = rich.console.Console()
    if not console.is_terminal:
        console = rich.console.Console(width=PIPE_WIDTH)
    console.print(shown)


def cell(value: typing.Any) -> str:
    """Return a value as the text of a table cell."""
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, str):
        return value
    return msgspec.json.encode(value).decode()


def moment(seconds: float) -> str:
    """Return wall time in the local zone; empty for 0."""
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(seconds)) if seconds else ""


def outcome(result: admin_parts.ChangeResult, is_json: bool) -> None:
    """Print the result of a change."""
    if is_json:
        as_json(result)
        return
    for item in result.differences:
        typer.echo(str(item))
    if result.applied:
        typer.echo(f"applied as generation {result.generation}")
    elif result.differences:
        typer.echo(f"dry run against generation {result.generation}; nothing was changed")
    else:
        typer.echo(f"no difference from generation {result.generation}")
    if result.token:
        typer.echo(f"key {result.name}; its token is shown only now:\n{result.token}")
