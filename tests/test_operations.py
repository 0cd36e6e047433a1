"""Runs the commands printed in docs/OPERATIONS.md and checks the links between pages."""

import json
import pathlib
import shlex
import shutil

import fake_admin
import pytest
import test_ctl
import typer.testing
import virtual_time

from dogwoodgap import ctl, ctl_session, models, node_cli

DOCS = pathlib.Path(__file__).parent.parent / "docs"


def printed_commands() -> list[list[str]]:
    """Return the commands in the indented blocks of the page, in order."""
    lines = (DOCS / "OPERATIONS.md").read_text(encoding="utf-8").splitlines()
    return [
        shlex.split(line)
        for line in lines
        if line.startswith("    ") and line.strip().startswith(("dogwoodgap-", "cp "))
    ]


class PrintedCommandRunner:
    """Runs commands against a fake node whose fleet has no configuration yet."""

    def __init__(self, folder: pathlib.Path, monkeypatch):
        self.folder = folder
        self.monkeypatch = monkeypatch
        self.node = None
        monkeypatch.chdir(folder)
        shutil.copytree(DOCS, folder / "docs")

    def run(self, words: list[str]) -> None:
        if words[0] == "cp":
            shutil.copy(words[1], words[2])
            return
        words, target, mode = self.split_redirection(words)
        if words[:2] == ["dogwoodgap-node", "run"]:
            self.start_node(words[2])
            words = ["dogwoodgap-node", "check", *words[2:]]
        cli = node_cli.cli if words[0] == "dogwoodgap-node" else ctl.cli
        if "create" in words and "olga" in words:
            words.insert(1, "--json")
        result = typer.testing.CliRunner().invoke(cli, words[1:], obj=self.session())
        assert result.exit_code == 0, (words, result.output)
        if "olga" in words:
            self.monkeypatch.setenv("DOGWOODGAP_KEY", json.loads(result.stdout)["token"])
        if target:
            with open(target, mode, encoding="utf-8") as stream:
                stream.write(result.stdout)

    def split_redirection(self, words: list[str]):
        for sign, mode in ((">", "w"), (">>", "a")):
            if sign in words:
                at = words.index(sign)
                return words[:at], words[at + 1], mode
        return words, "", ""

    def start_node(self, path: str) -> None:
        digest = node_cli.load_settings(pathlib.Path(path), None).admin.bootstrap_key_digest
        self.node = fake_admin.FakeNode(models.FleetConfiguration(), start=0)
        self.node.set_bootstrap(digest)
        self.node.add_program("perch", "p1")

    def session(self) -> ctl_session.Session:
        return ctl_session.Session(
            transport=test_ctl.LossyTransport(self.node) if self.node else None,
            backend="trio",
            backend_options=virtual_time.options(),
        )


def test_printed_commands_run_in_order(tmp_path, monkeypatch):
    """Guards against documented commands that fail on a new fleet."""
    runner = PrintedCommandRunner(tmp_path, monkeypatch)
    commands = printed_commands()
    assert len(commands) >= 25
    for words in commands:
        runner.run(words)
    assert runner.node.nodes.drained == ["olga"]
    assert runner.node.configuration.documents[-1].customers["perch"].concurrency == 40


@pytest.mark.parametrize("page", sorted(path.name for path in DOCS.glob("*.md")))
def test_links_lead_to_pages(page):
    """Guards against links to missing pages."""
    text = (DOCS / page).read_text(encoding="utf-8")
    targets = [part.partition(")")[0] for part in text.split("](")[1:]]
    assert [name for name in targets if not (DOCS / name.partition("#")[0]).exists()] == []
