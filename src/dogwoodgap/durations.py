"""Estimates how long requests take from recent ones of their kind; no I/O.

Handles planned stops: what would outlast the process has to be refused before a server runs it,
and what can finish has to be served. Handles slow services too: a request is only repeated
elsewhere if its server takes much longer than is typical. The estimate follows services that turn
slow, since requests that are still running count with the time that they have taken so far.
"""

import collections
import collections.abc
import contextlib
import dataclasses

import cachetools
import sortedcontainers

from dogwoodgap import clock, progress, routes

WINDOW = 64
"""Recent requests of a kind that an estimate is based on."""

MIN_SAMPLES = 8
"""Requests of a kind from which on the longest duration is estimated."""

MIN_TYPICAL_SAMPLES = 3
"""Requests of a kind from which on a typical duration is known."""

TYPICAL_QUANTILE = 0.6
"""Quantile that is taken for typical; attempts given up at one of three servers do not raise it."""

MAX_KINDS = 256
"""Kinds of requests whose durations are kept, the most recently used ones."""

Kind = tuple[str, routes.RouteKind]
"""Service and kind of route."""


def kind(state: progress.Progress) -> Kind:
    """Return the kind of a request."""
    return state.service, state.route.kind


@dataclasses.dataclass(slots=True, eq=False)
class Measurement:
    """An attempt whose duration is being measured.

    Attributes
    ----------
    started_at : float
        Monotonic time at which the request was sent.
    is_run : bool
        Whether a server may have run the request; the duration of a refusal does not count.
    is_whole : bool
        Whether the attempt lasts as long as a request of its kind: it is served, or waited for
        until this node gives up. Others end early, or continue a stream.
    """

    started_at: float
    is_run: bool = True
    is_whole: bool = True


@dataclasses.dataclass(slots=True)
class RecentDurations:
    """The last ``WINDOW`` durations, in seconds.

    Attributes
    ----------
    recent : collections.deque
        Durations in order of completion.
    by_size : sortedcontainers.SortedList
        The same durations in order of size.
    """

    recent: collections.deque[float] = dataclasses.field(default_factory=collections.deque)
    by_size: sortedcontainers.SortedList = dataclasses.field(
        default_factory=sortedcontainers.SortedList
    )

    def add(self, seconds: float) -> None:
        """Record a duration."""
        self.recent.append(seconds)
        self.by_size.add(seconds)
        if len(self.recent) > WINDOW:
            self.by_size.remove(self.recent.popleft())


@dataclasses.dataclass(slots=True)
class DurationWindow:
    """Durations of the recent requests of one kind.

    Attributes
    ----------
    attempts : RecentDurations
        Durations of all attempts.
    whole : RecentDurations
        Durations of those that lasted as long as a whole request.
    running : dict
        Unfinished requests in order of their start; the values are not used.
    """

    attempts: RecentDurations = dataclasses.field(default_factory=RecentDurations)
    whole: RecentDurations = dataclasses.field(default_factory=RecentDurations)
    running: dict[Measurement, None] = dataclasses.field(default_factory=dict)

    def add(self, seconds: float, *, is_whole: bool = True) -> None:
        """Record a duration in seconds; that of a given-up attempt is the time it has taken."""
        self.attempts.add(seconds)
        if is_whole:
            self.whole.add(seconds)

    def bound_s(self, now: float) -> float | None:
        """Return a time within which a new request most likely ends, or None if that is unknown.

        It lies as far above the longest duration as that one lies above the median.
        """
        if len(self.whole.recent) < MIN_SAMPLES:
            return None
        longest_s = max(self.whole.by_size[-1], self.attempts.by_size[-1])
        if self.running:
            longest_s = max(longest_s, now - next(iter(self.running)).started_at)
        median_s = self.whole.by_size[len(self.whole.by_size) // 2]
        return longest_s + (longest_s - median_s)

    def typical_s(self) -> float | None:
        """Return a typical duration, or None if it is unknown."""
        by_size = self.attempts.by_size
        if len(by_size) < MIN_TYPICAL_SAMPLES:
            return None
        return by_size[int(TYPICAL_QUANTILE * len(by_size))]


class DurationEstimator:
    """Durations of the requests that this node sends, by kind."""

    def __init__(self) -> None:
        self.windows: cachetools.LRUCache[Kind, DurationWindow] = cachetools.LRUCache(MAX_KINDS)

    @contextlib.contextmanager
    def measure(self, request_kind: Kind) -> collections.abc.Iterator[Measurement]:
        """Record how long an attempt takes, also if it fails or is cancelled."""
        window = self.windows.get(request_kind)
        if window is None:
            window = self.windows[request_kind] = DurationWindow()
        measurement = Measurement(clock.now())
        window.running[measurement] = None
        try:
            yield measurement
        finally:
            del window.running[measurement]
            if measurement.is_run:
                seconds = clock.now() - measurement.started_at
                window.add(seconds, is_whole=measurement.is_whole)

    def bound_s(self, request_kind: Kind) -> float | None:
        """Return a time within which a new request of a kind most likely ends."""
        window = self.windows.get(request_kind)
        return None if window is None else window.bound_s(clock.now())

    def typical_s(self, request_kind: Kind) -> float | None:
        """Return a typical duration of the requests of a kind."""
        window = self.windows.get(request_kind)
        return None if window is None else window.typical_s()


def can_finish(now: float, deadline_at: float, stops_at: float, bound_s: float | None) -> bool:
    """Return whether a request can finish before this node stops.

    Parameters
    ----------
    now, deadline_at, stops_at : float
        Monotonic times: now, the deadline of the request, and the end of this node's service.
    bound_s : float or None
        Time within which the request most likely ends, in seconds. If that is unknown, it may take
        until its deadline.
    """
    if deadline_at <= stops_at:
        return True
    return bound_s is not None and now + bound_s <= stops_at
