"""Command that finds the log lines of one request."""

import dataclasses
import json
import pathlib
import typing

import typer

BUDGET_EVENTS = frozenset({5015, 5016, 5017, 5018, 5020})
"""Events of a program's token budget, which may explain why its request was refused."""

Logs = typing.Annotated[
    list[pathlib.Path], typer.Argument(help="Log files of all processes.", exists=True)
]


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One log line and its source: the word before the JSON object, or else the file name."""

    source: str
    fields: dict[str, typing.Any]

    @property
    def time(self) -> str:
        """Return the time at which the line was written, as text."""
        return str(self.fields.get("time", ""))


def add_commands(cli: typer.Typer) -> None:
    """Add the ``explain`` command."""
    cli.command()(explain)


def explain(request_id: str, logs: Logs) -> None:
    """Show the log lines of a request and of its program's token budget, sorted by time.

    Example: dogwoodgap-ctl explain 9c41d07be2a35f68 gateway-1.log gateway-2.log
    """
    lines = read_log_lines(logs)
    matching = select_lines(lines, request_id)
    if not matching:
        typer.echo(
            f"no log line of request {request_id} found; collect the logs of all nodes", err=True
        )
        raise typer.Exit(1)
    for line in matching:
        typer.echo(format_line(line))


def read_log_lines(paths: list[pathlib.Path]) -> list[LogLine]:
    """Return all lines that contain a JSON object, such as those with a syslog prefix."""
    lines: list[LogLine] = []
    for path in paths:
        for text in path.read_text(encoding="utf-8", errors="replace").splitlines():
            start = text.find("{")
            if start < 0:
                continue
            try:
                fields = json.loads(text[start:])
            except json.JSONDecodeError:
                continue
            prefix = text[:start].split()
            lines.append(LogLine(prefix[-1] if prefix else path.stem, fields))
    return lines


def select_lines(lines: list[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines of a request and of its program's token budget, sorted by time."""
    request_lines = [line for line in lines if line.fields.get("request") == request_id]
    programs = {line.fields.get("program") for line in request_lines} - {None, ""}
    budget_lines = [
        line
        for line in lines
        if line not in request_lines
        and line.fields.get("event") in BUDGET_EVENTS
        and line.fields.get("program") in programs
    ]
    return sorted([*request_lines, *budget_lines], key=lambda line: line.time)


def format_line(line: LogLine) -> str:
    """Return a line as text: time, source, event, message, then the other fields."""
    leading_fields = {"time", "level", "message", "event", "event_name"}
    rest = " ".join(
        f"{name}={json.dumps(value)}"
        for name, value in line.fields.items()
        if name not in leading_fields
    )
    name = line.fields.get("event_name", "")
    return f"{line.time} {line.source} {name}: {line.fields.get('message', '')} {rest}"
