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
"""Modules that define their own errors; only imported errors appear in the table."""

HEADER = """# Errors

Generated from `dogwoodgap.exceptions`; `python -m dogwoodgap.errorpages > docs/errors.md` writes
this page. `not_run` is the usual value; an individual response may be more specific.

| code | status | not_run | meaning |
| --- | --- | --- | --- |
"""


def render_page() -> str:
    """Return the Markdown page that lists all errors."""
    for module in DEFINING_MODULES:
        importlib.import_module(module)
    return HEADER + "".join(render_row(error_class) for error_class in exceptions.error_classes())


def render_row(error_class: type[exceptions.DogwoodgapError]) -> str:
    """Return the table row of one error class."""
    meaning = (inspect.getdoc(error_class) or "").partition("\n")[0]
    return f"| `{error_class.code}` | {error_class.status} | {error_class.not_run} | {meaning} |\n"


if __name__ == "__main__":
    sys.stdout.write(render_page())
