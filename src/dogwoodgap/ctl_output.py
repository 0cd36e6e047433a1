"""Output of the command line: text and tables, or JSON for scripts."""

import collections.abc
import time
import typing

import msgspec
import typer

from dogwoodgap import admin_parts

# Width in characters of tables written to files and pipes, which have no terminal width.
PIPE_WIDTH = 240


def print_json(value: typing.Any) -> None:
    """Print a value as indented JSON."""
    typer.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_table(
    columns: collections.abc.Sequence[str],
    rows: collections.abc.Iterable[collections.abc.Sequence[typing.Any]],
) -> None:
    """Print rows as a table."""
    # Importing rich takes about 60 ms; commands that print no table skip it.
    import rich.box
    import rich.console
    import rich.markup
    import rich.table

    rich_table = rich.table.Table(box=rich.box.SIMPLE)
    for column in columns:
        rich_table.add_column(column, overflow="fold")
    for row in rows:
        rich_table.add_row(*(rich.markup.escape(format_cell(value)) for value in row))
    console = rich.console.Console()
    if not console.is_terminal:
        console = rich.console.Console(width=PIPE_WIDTH)
    console.print(rich_table)


def format_cell(value: typing.Any) -> str:
    """Return a value as the text of a table cell."""
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, str):
        return value
    return msgspec.json.encode(value).decode()


def format_time(seconds: float) -> str:
    """Return seconds since the Unix epoch as local date and time; empty for 0."""
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(seconds)) if seconds else ""


def print_change_result(result: admin_parts.ChangeResult, is_json: bool) -> None:
    """Print the result of a change."""
    if is_json:
        print_json(result)
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
        typer.echo(f"key {result.name}; its token is shown only once:\n{result.token}")
