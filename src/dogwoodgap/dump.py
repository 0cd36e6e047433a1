"""State dump: the state of the process as one JSON document.

Each part of the node registers a collector for its section::

    dump.register("shards", lambda: ShardsState(...))

A collector returns anything that msgspec can encode. If a collector fails, only its own section
is replaced by the error, so that the dump stays usable while a component is broken.
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
    """Run time, wall time and ID of the process."""

    seconds: float
    wall_time: float
    process: int


class MetricTotals(msgspec.Struct):
    """All metrics since the process started."""

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
        """Return one encoded section, or the error of its collector."""
        try:
            return msgspec.Raw(msgspec.json.encode(self.collectors[name]()))
        except Exception as error:  # noqa: BLE001 - one failing section must not hide the others
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
    """Return a copy of a settings document with the values of secret fields replaced."""
    if isinstance(value, dict):
        return {
            name: REDACTED_TEXT if name in SECRET_FIELDS and item else redact_secrets(item)
            for name, item in value.items()
        }
    return value


def memory_usage() -> Memory:
    """Return the memory usage of the process."""
    sizes = memory_kb()
    return Memory(sizes["VmRSS"], sizes["VmHWM"], len(gc.get_objects()))


def memory_kb() -> dict[str, int]:
    """Return the resident and peak memory in kilobytes, from ``/proc/self/status``."""
    sizes = {"VmRSS": 0, "VmHWM": 0}
    with open("/proc/self/status", encoding="ascii") as status:
        for line in status:
            name, _, rest = line.partition(":")
            if name in sizes:
                sizes[name] = int(rest.split()[0])
    return sizes


def task_counts() -> dict[str, int]:
    """Return the number of running tasks by name.

    Tasks with a default asyncio name, such as ``Task-7``, are listed under their coroutine's name.
    """
    coroutines: dict[int, str] = {}
    with contextlib.suppress(RuntimeError):
        # Raised without an asyncio event loop, as in tests on trio, where all tasks have names.
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
    versions = {"python": platform.python_version()}
    for package in REPORTED_PACKAGES:
        try:
            versions[package] = importlib.metadata.version(package)
        except importlib.metadata.PackageNotFoundError:
            versions[package] = "not installed"
    return versions


def register_process(node_settings: settings.NodeSettings, target: Dump = process_dump) -> None:
    """Register the sections that every process has, apart from those of its components."""
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
