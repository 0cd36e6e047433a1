"""Tests of the command that finds the log lines of one request."""

import json

import typer.testing

from dogwoodgap import ctl


def line(time, event, name, **fields):
    return json.dumps({"time": time, "event": event, "event_name": name, "message": "m", **fields})


def test_request_and_budget_lines_are_sorted_by_time(tmp_path):
    """Guards against a refused request whose cause, in another node's log, is not shown."""
    first = tmp_path / "a.log"
    second = tmp_path / "b.log"
    first.write_text(
        line("2", 5007, "REQUEST_FORWARDED", request="r1", program="p1", outcome="budget-exceeded")
        + "\nno json\n"
        + line("9", 5007, "REQUEST_FORWARDED", request="r2", program="p1")
    )
    second.write_text(line("1", 5017, "BUDGET_REFUSED", request="x", program="p1", budget=580))
    runner = typer.testing.CliRunner()
    result = runner.invoke(ctl.cli, ["explain", "r1", str(first), str(second)])
    assert result.exit_code == 0
    assert [text.split()[1] for text in result.stdout.splitlines()] == ["b", "a"]
    missing = runner.invoke(ctl.cli, ["explain", "none", str(first)])
    assert missing.exit_code == 1
