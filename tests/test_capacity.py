"""Fits and tables of the capacity page."""

import anyio
import pytest

from dogwoodgap_lab import capacity_fit, capacity_nodes, capacity_state

MEASURES = [
    capacity_fit.Measure("nodes", size, {"cpu_ms": 2.0 * size + 1.0, "served": 1024.0})
    for size in (40, 5, 20)
]


def test_fit_finds_line_and_residual():
    """Guards against swapped slope and intercept, and a residual that hides an outlier."""
    line = capacity_fit.fit_line([1, 2, 3, 4], [5.0, 7.0, 9.0, 11.0])
    assert (line.slope, line.intercept) == (pytest.approx(2.0), pytest.approx(3.0))
    assert line.residual == pytest.approx(0.0, abs=1e-9)
    assert line.value_at(380) == pytest.approx(763.0)
    assert capacity_fit.fit_line([0, 1, 2], [0.0, 3.0, 0.0]).residual == pytest.approx(2.0)


def test_fit_refuses_two_sizes():
    """Guards against a fit of two sizes, whose residual is 0 whatever was measured."""
    with pytest.raises(ValueError, match="needs 3 sizes or more"):
        capacity_fit.fit_line([5, 5, 20], [1.0, 1.1, 2.0])


def test_results_are_regenerated_from_measures(tmp_path):
    """Guards against old figures of a repeated run, and against columns out of order."""
    path = tmp_path / "measures.jsonl"
    for measure in [capacity_fit.Measure("nodes", 20, {"cpu_ms": 31337.0}), *MEASURES]:
        capacity_fit.append_measure(path, measure)
    capacity_fit.write_report(capacity_fit.fit_measures(capacity_fit.read_measures(path)), tmp_path)
    text = (tmp_path / "capacity.md").read_text(encoding="utf-8")
    assert "| figure | 5 | 20 | 40 | slope |" in text
    assert "| cpu_ms | 11 | 41 | 81 | 2 | 1 |" in text
    assert "31,337" not in text
    assert "31337" not in (tmp_path / "capacity.json").read_text(encoding="utf-8")


def test_filled_table_equals_its_replay():
    """Guards against figures of journal and replay that belong to another table."""
    table, segments = capacity_state.build_program_table(3, 4, 200)
    replayed = anyio.run(capacity_state.replay, segments, capacity_state.Timing())
    assert replayed.programs == table.programs
    assert sum(program.turn_count for program in replayed.programs.values()) == 12


def test_even_assignment_serves_every_shard():
    """Guards against shards without an owner, whose rebalancing would count as idle traffic."""

    class Owned:
        def __init__(self, name):
            self.fleet = self.ownership = self
            self.local_owner = capacity_state.shards.Owner(name, "b")

    assignment = capacity_nodes.even_assignment([Owned("a"), Owned("b"), Owned("c")])
    counts = [len(assignment.owned_by(owner)) for owner in sorted(assignment.owners())]
    assert counts == [342, 341, 341]
