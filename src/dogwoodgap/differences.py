"""Differences between two fleet configurations, as paths with old and new values.

Digests of keys are shortened, since differences are written to logs and notes.
"""

import collections.abc
import typing

import msgspec

from dogwoodgap import models

MAX_VALUE_CHARACTERS = 120
MAX_SUMMARY_ITEMS = 20
DIGEST_CHARACTERS = 8


class Difference(msgspec.Struct, frozen=True):
    """One value that differs; ``None`` means that the value is absent.

    Attributes
    ----------
    path : tuple of str
        Path of the value, for example ``("profiles", "quote", "max_turns")``.
    """

    path: tuple[str, ...]
    before: typing.Any = None
    after: typing.Any = None

    def __str__(self) -> str:
        """Return the path with the old and the new value, in one line."""
        return f"{'.'.join(self.path)}: {format_value(self.before)} -> {format_value(self.after)}"


def format_value(value: typing.Any) -> str:
    """Return a value as JSON, cut to ``MAX_VALUE_CHARACTERS``."""
    text = "absent" if value is None else msgspec.json.encode(value).decode()
    return text if len(text) <= MAX_VALUE_CHARACTERS else f"{text[:MAX_VALUE_CHARACTERS]}..."


def between(
    before: models.FleetConfiguration, after: models.FleetConfiguration
) -> list[Difference]:
    """Return the differences between two configurations, except in the generation."""
    old = before.model_dump(mode="json", exclude={"generation"})
    new = after.model_dump(mode="json", exclude={"generation"})
    return list(diff_values((), old, new))


def diff_values(
    path: tuple[str, ...], before: typing.Any, after: typing.Any
) -> collections.abc.Iterator[Difference]:
    """Yield the differences below a path; an added or removed resource is one difference."""
    if before == after:
        return
    before, after = index_runners(before), index_runners(after)
    if not isinstance(before, dict) or not isinstance(after, dict):
        yield Difference(path, shorten_digests(path, before), shorten_digests(path, after))
        return
    for name in [*before, *(name for name in after if name not in before)]:
        yield from diff_values((*path, str(name)), before.get(name), after.get(name))


def index_runners(value: typing.Any) -> typing.Any:
    """Return a list of runners as a mapping by id, so that a removal is one difference."""
    if isinstance(value, list) and value and all(is_runner(runner) for runner in value):
        return {runner["id"]: runner for runner in value}
    return value


def is_runner(value: typing.Any) -> bool:
    """Return whether a value is a runner; only runners have an ``id`` field."""
    return isinstance(value, dict) and "id" in value


def shorten_digests(path: tuple[str, ...], value: typing.Any) -> typing.Any:
    """Return a value with its key digests cut to ``DIGEST_CHARACTERS``."""
    if isinstance(value, dict) and "digest" in value:
        return value | {"digest": value["digest"][:DIGEST_CHARACTERS]}
    if path[-1:] == ("digest",) and isinstance(value, str):
        return value[:DIGEST_CHARACTERS]
    return value


def summary(changes: list[Difference]) -> str:
    """Return the first ``MAX_SUMMARY_ITEMS`` differences in one line."""
    lines = [str(change) for change in changes[:MAX_SUMMARY_ITEMS]]
    if len(changes) > MAX_SUMMARY_ITEMS:
        lines.append(f"and {len(changes) - MAX_SUMMARY_ITEMS} more")
    return "; ".join(lines) or "no difference"
