"""Tests of the command line: lost replies, conflicts, invalid files and moving programs."""

import json

import fake_admin
import httpx
import pytest
import typer.testing
import virtual_time

from dogwoodgap import ctl, ctl_session, exceptions, keys, metrics, views


class LossyTransport(httpx.AsyncBaseTransport):
    """Sends to a fake node; ``faults`` lists the faults of the next changes.

    ``reply`` executes the request and drops the reply; ``request`` drops the request; ``race``
    first applies another operator's change, then drops the reply. After a fault, the next
    ``outage_after`` requests time out.
    """

    def __init__(self, node: fake_admin.FakeNode):
        self.node = node
        self.inner = httpx.ASGITransport(node.app)
        self.faults: list[str] = []
        self.outage_after = 0
        self.remaining_outage = 0

    async def handle_async_request(self, request):
        assert request.url.path.startswith("/admin/v1/")
        path = request.url.path.removeprefix("/admin/v1")
        request.url = request.url.copy_with(path=path)
        if request.url.host == "gone":
            raise httpx.ConnectError("refused")
        if request.url.host == "silent":
            raise httpx.ReadTimeout("silent")
        if request.url.host == "starting":
            body = views.problem_response(exceptions.NotReadyError("the node is starting")).body
            return httpx.Response(503, content=body, request=request)
        fault = self.faults.pop(0) if request.method != "GET" and self.faults else ""
        if self.remaining_outage:
            self.remaining_outage -= 1
            raise httpx.ReadTimeout("outage")
        if fault == "race":
            rival = await self.node.configuration.get(1)
            await self.node.configuration.update(rival, 1, "rival", "change=rival x")
        if fault != "request":
            reply = await self.inner.handle_async_request(request)
        if fault:
            self.remaining_outage = self.outage_after
            raise httpx.ReadError("connection reset")
        return reply


class Shell:
    """Runs commands against a fake node in virtual time."""

    def __init__(self):
        self.node = fake_admin.FakeNode()
        self.transport = LossyTransport(self.node)
        self.runner = typer.testing.CliRunner()

    def run(self, *arguments: str, key: str = "root", code: int = 0, node: str = "http://node"):
        session = ctl_session.Session(
            transport=self.transport,
            backend="trio",
            backend_options=virtual_time.options(),
        )
        environment = {"DOGWOODGAP_KEY": key, "DOGWOODGAP_NODE": node}
        result = self.runner.invoke(ctl.cli, arguments, obj=session, env=environment)
        assert result.exit_code == code, result.output
        return result.output

    @property
    def documents(self):
        return self.node.configuration.documents


@pytest.fixture
def shell():
    return Shell()


@pytest.fixture
def file(tmp_path, shell):
    """Write a file that changes one profile."""
    path = tmp_path / "fleet.toml"
    path.write_text("[profiles.default]\n[profiles.quote]\nmax_turns = 77\n")
    return path


@pytest.mark.parametrize(
    ("faults", "outage", "code", "message"),
    [
        (["reply"], 0, 0, "applied as generation 2"),
        (["request"], 0, 0, "applied as generation 2"),
        (["request", "reply"], 3, 0, "applied as generation 2"),
        (["race"], 0, 3, "another operator's change came first"),
        (["reply"], 10_000, 6, "no node could tell"),
    ],
)
def test_apply_resolves_a_lost_reply(shell, file, faults, outage, code, message):
    """Guards against an applied change that is reported as failed or is applied twice."""
    shell.transport.faults = faults
    shell.transport.outage_after = outage
    assert message in shell.run("apply", str(file), code=code)
    assert len(shell.documents) == 2
    assert (shell.documents[1].profiles["quote"].max_turns == 77) == (code != 3)


def test_apply_keeps_sections_that_the_file_leaves_out(shell, file):
    """Guards against a file without keys or services that deletes all of them."""
    assert "profiles.quote.max_turns: 30 -> 77" in shell.run("diff", str(file))
    assert "nothing was changed" in shell.run("apply", str(file), "--dry-run")
    assert len(shell.documents) == 1
    shell.run("apply", str(file), "--note", "peak")
    assert shell.documents[1].keys == shell.documents[0].keys
    assert shell.documents[1].services == shell.documents[0].services
    assert "no difference" in shell.run("apply", str(file))


def test_apply_of_an_outdated_copy_is_a_conflict(shell, tmp_path):
    """Guards against an edited copy that overwrites a change another operator made meanwhile."""
    path = tmp_path / "copy.toml"
    path.write_text(shell.run("get"))
    shell.run("profiles", "set", "quote", "max_turns=8", key="olga")
    output = shell.run("apply", str(path), code=3)
    assert "profiles.quote.max_turns: 30 -> 8" in " ".join(output.split())
    shell.run("rollback", "1", key="olga")
    assert shell.documents[-1].profiles["quote"].max_turns == 30


def test_exit_codes_distinguish_failures(shell, tmp_path):
    """Guards against scripts that cannot tell a refused request from an unreachable node."""
    wrong = tmp_path / "wrong.toml"
    wrong.write_text("[profiles.default]\nmax_turns = 0\n")
    assert "profiles.default.max_turns" in shell.run("apply", str(wrong), code=2)
    shell.run("nodes", "list", key="", code=4)
    shell.run("nodes", "list", key="unknown", code=4)
    shell.run("nodes", "list", node="http://gone", code=5)
    shell.run("nodes", "list", node="http://gone http://starting http://silent http://node")
    shell.run("nodes", "list", node="http://starting", code=5)
    shell.run("profiles", "show", "none", code=1)
    shell.run("profiles", "set", "quote", "max_turns", code=2)
    assert {kind.code for kind in ctl_session.EXIT_CODES} <= {
        k.code for k in exceptions.error_classes()
    }


def test_wait_ends_when_all_nodes_have_the_generation(shell):
    """Guards against a wait that returns while a node still has the old generation."""
    shell.run("profiles", "set", "quote", "max_turns=8")
    shell.node.configuration.nodes_behind_calls = 5
    assert "generation 2 is in force on 2 nodes" in shell.run("wait")
    assert shell.node.configuration.nodes_behind_calls == 0
    shell.node.configuration.nodes_behind_calls = 1_000
    assert "n2" in shell.run("wait", "--timeout", "5", code=7)


def test_keys_are_created_and_rotated_and_a_lost_token_is_reported(shell):
    """Guards against a key that exists although its token was lost without an error."""
    made = json.loads(shell.run("--json", "keys", "create", "ci", "--role", "viewer"))
    shell.run("nodes", "list", key=made["token"])
    rotated = json.loads(shell.run("--json", "keys", "rotate", "ci", "--overlap", "0"))
    shell.run("nodes", "list", key=made["token"], code=4)
    shell.run("nodes", "list", key=rotated["token"])
    shell.run("keys", "create", "ci2", code=2)
    shell.transport.faults = ["reply"]
    assert "revoke" in shell.run("keys", "create", "ci2", "--role", "viewer", code=6)
    assert "ci2" in shell.documents[-1].keys
    assert keys.digest(rotated["token"]) not in shell.run("keys", "list")


def test_resources_are_set_and_removed(shell):
    """Guards against a set command that drops fields and accepts runners without a service."""
    shell.run("runners", "set", "agent-llm/r2", "address=http://r2", "data_centre=lakes-b")
    shell.run("runners", "set", "agent-llm/r2", "slots=4")
    runner = shell.documents[-1].services["agent-llm"].runners[1]
    assert (runner.address, runner.slots) == ("http://r2", 4)
    assert "agent-llm/r2" in shell.run("runners", "list")
    shell.run("runners", "remove", "agent-llm/r1")
    shell.run("runners", "remove", "agent-llm/r1", code=1)
    shell.run("runners", "set", "r3", "slots=4", code=2)
    shell.run("services", "list")
    shell.run("customers", "set", "perch", "rate_per_s=2.5")
    assert shell.documents[-1].customers["perch"].concurrency == 5


def test_programs_are_listed_cancelled_and_followed_to_their_end(shell):
    """Guards against programs missing from the list and a follower that hangs after the end."""
    for number in range(3):
        shell.node.add_program("perch", f"p{number}")
    listed = json.loads(shell.run("--json", "programs", "list", "--customer", "perch"))
    assert [program["id"] for program in listed] == ["p0", "p1", "p2"]
    shell.run("programs", "cancel", "p1", "--customer", "perch", "--note", "why")
    assert "cancelled" in shell.run("programs", "follow", "p1", "--customer", "perch")
    assert "why" in shell.run("programs", "show", "p1", "--customer", "perch")
    shell.run("programs", "show", "p9", "--customer", "perch", code=1)
    shell.run("nodes", "drain", "n1")
    assert shell.node.nodes.drained == ["root"]


def test_top_shows_latency_quantiles(shell, monkeypatch):
    """Guards against quantiles that are off by more than one histogram bucket."""
    monkeypatch.setattr(metrics, "histograms", {})
    for step in range(1, 101):
        metrics.timing("program.latency", step / 10)
    found = json.loads(shell.run("--json", "top"))
    assert 5.0 <= found["latency_p50_s"] <= 5.0 * metrics.HISTOGRAM_GROWTH
    assert 9.5 <= found["latency_p95_s"] <= 9.5 * metrics.HISTOGRAM_GROWTH
    assert "p95" in shell.run("top")


def test_follow_continues_at_the_new_owner(shell, monkeypatch):
    """Guards against a follower that stops when the program's shard moves to another node."""
    shell.node.add_program("perch", "p1")
    table = shell.node.table
    program = table.get("perch", "p1")
    answers = ["here", "here", "here", "moved", "moved", "moved", "ended"]

    def get(customer, name):
        answer = answers.pop(0) if len(answers) > 1 else answers[0]
        if answer == "moved":
            raise exceptions.UnknownProgramError("moved")
        program.status = "finished" if answer == "ended" else "active"
        return program

    monkeypatch.setattr(table, "root", lambda found: found)
    monkeypatch.setattr(table, "get", get)
    output = shell.run("programs", "follow", "p1", "--customer", "perch")
    assert "p1 finished" in output
    assert answers == ["ended"]


def test_peak_is_shown_and_not_applied(shell):
    """Guards against a peak command that changes the configuration or fails without demand."""
    before = shell.run("get")
    assert "no peak is known" in shell.run("peak", "agent-llm")
    assert shell.run("get") == before
