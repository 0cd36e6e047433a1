"""Registry of scheduling plug-ins.

A plug-in registers itself with :func:`register` when its module is imported and is created by kind
and name; names come from settings and profiles.
"""

import collections.abc
import importlib
import typing

from dogwoodgap import exceptions

T = typing.TypeVar("T")

PLUGIN_MODULES = (
    "dogwoodgap.ordering",
    "dogwoodgap.placement",
    "dogwoodgap.retention",
    "dogwoodgap.admission",
)

_plugins: dict[str, dict[str, type]] = {}


def register(kind: str, name: str) -> collections.abc.Callable[[type[T]], type[T]]:
    """Return a class decorator that adds a plug-in under ``kind`` and ``name``."""

    def add(plugin: type[T]) -> type[T]:
        _plugins.setdefault(kind, {})[name] = plugin
        return plugin

    return add


def create(kind: str, name: str, **options: typing.Any) -> typing.Any:
    """Create the plug-in ``name`` of ``kind``.

    Raises
    ------
    SettingsInvalidError
        If no such plug-in is registered.
    """
    plugins = _plugins.get(kind, {})
    if name not in plugins:
        raise exceptions.SettingsInvalidError(
            f"no {kind} plug-in is named {name!r}; use one of {', '.join(sorted(plugins))}"
        )
    return plugins[name](**options)


def names(kind: str) -> list[str]:
    """Return the sorted names of the plug-ins of a kind."""
    return sorted(_plugins.get(kind, {}))


def load() -> None:
    """Import all modules in ``PLUGIN_MODULES``, which register their plug-ins."""
    for module in PLUGIN_MODULES:
        importlib.import_module(module)
