"""Generates ``docs/errors.md``; run ``python -m dogwoodgap.errorpages > docs/errors.md``."""

import importlib
import inspect
import sys

from dogwoodgap import exceptions

DEFINING_MODULES = (
    "dogwoodgap.ctl",
    "dogwoodgap.client",
    "dogwoodgap.admin",
    "dogwoodgap.upstream",
)
"""Modules that define error kinds of their own; the table holds only what was imported."""

HEADER = """# Errors

Generated from `dogwoodgap.exceptions`; `python -m dogwoodgap.errorpages > docs/errors.md` writes
this page. `not_run` is the usual value; a single answer may be more exact.

| code | status | not_run | meaning |
| --- | --- | --- | --- |
"""


def page() -> str:
    """Return the page that lists all error kinds."""
    for module in DEFINING_MODULES:
        importlib.import_module(module)
    return HEADER + "".join(row(kind) for kind in exceptions.error_classes())


def row(kind: type[exceptions.DogwoodgapError]) -> str:
    """Return the row of one kind."""
    meaning = (inspect.getdoc(kind) or "").partition("\n")[0]
    return f"| `{kind.code}` | {kind.status} | {kind.not_run} | {meaning} |\n"


if __name__ == "__main__":
    sys.stdout.write(page())
