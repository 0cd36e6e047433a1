"""Reference pages and state dump: pages match the code, and the dump has no secrets."""

import ast
import pathlib

import anyio
import msgspec
import pytest

from dogwoodgap import documents, dump, events, metrics, models, settings

ROOT = pathlib.Path(__file__).parent.parent
METHODS = {"count": "counter", "gauge": "gauge", "timing": "timing"}


@pytest.mark.parametrize("name", sorted(documents.PAGES))
def test_generated_pages_are_in_step(name):
    """Guards against a page that was not regenerated after a change of the code."""
    stored = (ROOT / "docs" / name).read_text(encoding="utf-8")
    assert stored == documents.PAGES[name](), "run: python -m dogwoodgap.documents docs"


def test_every_event_is_in_the_catalogue_with_a_description():
    """Guards against events without a description, and with a number outside all ranges."""
    page = documents.events_page()
    missing = [e.name for e in events.Event if f"| {e.name} | {e.description} |" not in page]
    assert missing == []
    assert [event.name for event in events.Event if not event.description] == []
    assert len(events.Event.__members__) == len(events.Event), "a number is used twice"


def used_metrics():
    """Yield the name and kind of each metric that the code reports."""
    for path in sorted((ROOT / "src" / "dogwoodgap").glob("*.py")):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if (
                isinstance(node, ast.Call)
                and isinstance(node.func, ast.Attribute)
                and isinstance(node.func.value, ast.Name)
                and node.func.value.id == "metrics"
                and node.func.attr in METHODS
            ):
                assert isinstance(node.args[0], ast.Constant), f"{path.name}: not a literal name"
                yield node.args[0].value, METHODS[node.func.attr]


def test_every_reported_metric_is_declared():
    """Guards against reported metrics that are not declared, or declared with another kind."""
    declared = {metric.name: metric.kind.value for metric in metrics.METRICS}
    assert len(declared) == len(metrics.METRICS)
    assert {name: kind for name, kind in used_metrics() if declared.get(name) != kind} == {}


def test_the_dump_has_no_secrets_and_survives_a_broken_part():
    """Guards against key digests in a dump, and against one failing collector that prevents it."""

    async def main():
        document = {
            "node": {"name": "n1", "data_centre": "d"},
            "platform": {"url": "http://p"},
            "admin": {"bootstrap_key_digest": "a" * 64},
        }
        target = dump.Dump()
        dump.register_process(settings.NodeSettings.model_validate(document), target)
        target.register("broken", lambda: models.FleetConfiguration().services["none"])
        dumped = msgspec.json.decode(target.collect())
        assert dumped["settings"]["admin"]["bootstrap_key_digest"] == dump.REDACTED_TEXT
        assert "KeyError" in dumped["broken"]["error"]
        assert dumped["memory"]["resident_kb"] > 1_000
        assert dumped["tasks"]
        assert {"metrics", "uptime", "versions"} <= dumped.keys()

    anyio.run(main)
