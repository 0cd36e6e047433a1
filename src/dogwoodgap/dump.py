"""The state of the process as one JSON document.

Each part of the node registers a collector for its section::

    dump.register("shards", lambda: ShardsState(...))

A collector returns anything that msgspec can encode. A collector that fails costs only its own
section, so that the dump stays usable while a part is broken.
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import gc
import importlib.metadata
import logging
import os
import platform
import typing

import anyio
import msgspec

from dogwoodgap import clock, events, metrics, settings

SECRET_FIELDS = frozenset({"bootstrap_key_digest", "key"})
REDACTED_TEXT = "(removed)"
REPORTED_PACKAGES = (
    "dogwoodgap",
    "anyio",
    "httpx",
    "hypercorn",
    "msgspec",
    "pydantic",
    "starlette",
)

Collector = collections.abc.Callable[[], typing.Any]


class CollectorError(msgspec.Struct):
    """Content of a section whose collector failed."""

    error: str


class Memory(msgspec.Struct):
    """Memory of the process; sizes in kilobytes."""

    resident_kb: int
    peak_kb: int
    tracked_objects: int


class Uptime(msgspec.Struct):
    """How long the process has run."""

    seconds: float
    wall_time: float
    process: int


class MetricTotals(msgspec.Struct):
    """All metrics since the start of the process."""

    counters: dict[str, int]
    gauges: dict[str, float]
    histograms: dict[str, metrics.Histogram]


@dataclasses.dataclass
class Dump:
    """The collectors of one process, by section name."""

    collectors: dict[str, Collector] = dataclasses.field(default_factory=dict)

    def register(self, name: str, collector: Collector) -> None:
        """Add or replace the collector of a section."""
        self.collectors[name] = collector

    def collect(self) -> bytes:
        """Return the dump as JSON, one section per collector, sorted by name."""
        sections = {name: self.collect_section(name) for name in sorted(self.collectors)}
        return msgspec.json.encode(sections)

    def collect_section(self, name: str) -> msgspec.Raw:
        """Return one encoded section, or the failure of its collector."""
        try:
            return msgspec.Raw(msgspec.json.encode(self.collectors[name]()))
        except Exception as error:  # noqa: BLE001 - a broken part must not hide the others
            events.emit(
                events.Event.DUMP_COLLECTOR_FAILED,
                "dump collector failed",
                level=logging.ERROR,
                section=name,
                error=repr(error),
            )
            return msgspec.Raw(msgspec.json.encode(CollectorError(repr(error))))


process_dump = Dump()
register = process_dump.register
collect = process_dump.collect


def redact_secrets(value: typing.Any) -> typing.Any:
    """Return a copy of a settings document with secret fields removed."""
    if isinstance(value, dict):
        return {
            name: REDACTED_TEXT if name in SECRET_FIELDS and item else redact_secrets(item)
            for name, item in value.items()
        }
    return value


def memory_usage() -> Memory:
    """Return the memory of the process."""
    sizes = memory_kb()
    return Memory(sizes["VmRSS"], sizes["VmHWM"], len(gc.get_objects()))


def memory_kb() -> dict[str, int]:
    """Return resident and peak size from the kernel's status file, in kilobytes."""
    sizes = {"VmRSS": 0, "VmHWM": 0}
    with open("/proc/self/status", encoding="ascii") as status:
        for line in status:
            name, _, rest = line.partition(":")
            if name in sizes:
                sizes[name] = int(rest.split()[0])
    return sizes


def task_counts() -> dict[str, int]:
    """Return how many tasks of each name are running.

    The name is that of the coroutine where the runtime only numbers its tasks.
    """
    coroutines: dict[int, str] = {}
    with contextlib.suppress(RuntimeError):
        # Without an event loop of asyncio, as in tests on trio, all tasks have names.
        coroutines = {id(task): coroutine_name(task) for task in asyncio.all_tasks()}
    names = []
    for task in anyio.get_running_tasks():
        name = str(task.name)
        names.append(coroutines.get(task.id, name) if name.startswith("Task-") else name)
    return dict(sorted(collections.Counter(names).items()))


def coroutine_name(task: "asyncio.Task[typing.Any]") -> str:
    """Return the qualified name of a task's coroutine."""
    return getattr(task.get_coro(), "__qualname__", task.get_name())


def package_versions() -> dict[str, str]:
    """Return the versions of Python and of the main packages."""
    found = {"python": platform.python_version()}
    for package in REPORTED_PACKAGES:
        try:
            found[package] = importlib.metadata.version(package)
        except importlib.metadata.PackageNotFoundError:
            found[package] = "not installed"
    return found


def register_process(node_settings: settings.NodeSettings, target: Dump = process_dump) -> None:
    """Register the sections that every process has."""
    started = clock.now()
    target.register("settings", lambda: redact_secrets(node_settings.model_dump(mode="json")))
    target.register("memory", memory_usage)
    target.register("tasks", task_counts)
    target.register("versions", package_versions)
    target.register(
        "metrics",
        lambda: MetricTotals(
            dict(metrics.counters), dict(metrics.gauges), dict(metrics.histograms)
        ),
    )
    target.register("uptime", lambda: Uptime(clock.now() - started, clock.wall_time(), os.getpid()))
