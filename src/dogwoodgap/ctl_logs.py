"""Log lines of nodes and gateways, as commands read and show them."""

import dataclasses
import json
import pathlib
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One log line and its source: the word before the JSON object, or else the file name."""

    source: str
    fields: dict[str, typing.Any]

    @property
    def time(self) -> str:
        """Return the time at which the line was written, as text."""
        return str(self.fields.get("time", ""))


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
