"""Command that finds the log lines of one request."""

import pathlib
import typing

import typer

from dogwoodgap import ctl_departures, ctl_logs

BUDGET_EVENTS = frozenset({5015, 5016, 5017, 5018, 5020})
"""Events of a program's token budget, which may explain why its request was refused."""

Logs = typing.Annotated[
    list[pathlib.Path], typer.Argument(help="Log files of all processes.", exists=True)
]


def add_commands(cli: typer.Typer) -> None:
    """Add the ``explain`` command."""
    cli.command()(explain)


def explain(request_id: str, logs: Logs) -> None:
    """Show the log lines of a request and of its program's token budget, sorted by time.

    A line DEPARTURE tells that a tried server leaves, when it told so, and how the gateway knows.

    Example: dogwoodgap-ctl explain 9c41d07be2a35f68 gateway-1.log gateway-2.log
    """
    lines = ctl_logs.read_log_lines(logs)
    matching = select_lines(lines, request_id)
    if not matching:
        typer.echo(
            f"no log line of request {request_id} found; collect the logs of all nodes", err=True
        )
        raise typer.Exit(1)
    for line in matching:
        typer.echo(ctl_logs.format_line(line))


def select_lines(lines: list[ctl_logs.LogLine], request_id: str) -> list[ctl_logs.LogLine]:
    """Return the lines of a request, of its program's token budget and of departures, by time."""
    request_lines = [line for line in lines if line.fields.get("request") == request_id]
    programs = {line.fields.get("program") for line in request_lines} - {None, ""}
    budget_lines = [
        line
        for line in lines
        if line not in request_lines
        and line.fields.get("event") in BUDGET_EVENTS
        and line.fields.get("program") in programs
    ]
    departures = ctl_departures.departure_lines(lines, request_lines)
    return sorted([*request_lines, *budget_lines, *departures], key=lambda line: line.time)
