"""Active profile of a service by local time, and the peak window derived from its demand."""

import collections.abc
import dataclasses
import datetime
import zoneinfo

from dogwoodgap import models

HOURS_PER_DAY = 24
RETAINED_WEEKS = 8
# Weight of a week relative to the following week, so that the result follows a moving peak.
WEEK_DECAY = 0.8
MIN_DAYS = 7
# Demand relative to the busiest hour that still belongs to the peak. With 0.8, a peak that had
# moved by two hours shrank to the single hour common to old and new weeks.
PEAK_SHARE = 0.6
MAX_PEAK_HOURS = 12


def active_profile(service: models.Service, wall_s: float) -> str:
    """Return the profile that a service uses at a given time.

    The first window that contains the local time applies. A window that ends before it starts
    spans midnight and belongs to the day on which it starts. Windows follow local time, so a window
    is an hour shorter or longer on days with a daylight saving time change.

    Parameters
    ----------
    service : Service
        Service with its windows and time zone.
    wall_s : float
        Wall time in seconds since the Unix epoch.
    """
    local = datetime.datetime.fromtimestamp(wall_s, zoneinfo.ZoneInfo(service.time_zone))
    hour = local.hour + local.minute / 60 + local.second / 3_600
    for window in service.hours:
        if in_window(window, local.weekday(), hour):
            return window.profile
    return service.profile


def in_window(window: models.ProfileHours, weekday: int, hour: float) -> bool:
    """Return whether a window contains a local time; Monday is day 0."""
    if window.start_hour < window.end_hour:
        return weekday in window.days and window.start_hour <= hour < window.end_hour
    if hour >= window.start_hour:
        return weekday in window.days
    return hour < window.end_hour and (weekday - 1) % 7 in window.days


def next_change(service: models.Service, wall_s: float) -> float | None:
    """Return the wall time of the next profile change within a week, or None."""
    current = active_profile(service, wall_s)
    edges = {window.start_hour for window in service.hours}
    edges |= {window.end_hour for window in service.hours}
    zone = zoneinfo.ZoneInfo(service.time_zone)
    today = datetime.datetime.fromtimestamp(wall_s, zone).date()
    times = sorted(
        local_time(today + datetime.timedelta(days=day), edge, zone)
        for day in range(9)
        for edge in edges
    )
    return next(
        (at for at in times if at > wall_s and active_profile(service, at) != current), None
    )


def local_time(day: datetime.date, hour: float, zone: zoneinfo.ZoneInfo) -> float:
    """Return the wall time in seconds of a local hour, rounded to minutes."""
    minutes = round(hour * 60)
    local = datetime.datetime.combine(day, datetime.time(), zone)
    return local.replace(hour=minutes // 60, minute=minutes % 60).timestamp()


@dataclasses.dataclass(frozen=True, slots=True)
class PeakProposal:
    """Proposed window of peak demand, which operators may apply.

    Attributes
    ----------
    start_hour, end_hour : int
        Local hours; the window spans midnight if it ends before it starts.
    share : float
        Fraction of the day's demand within the window.
    moved_hours : float
        Hours by which the middle of the peak is later in the newer half of the days.
    """

    start_hour: int
    end_hour: int
    share: float
    moved_hours: float


@dataclasses.dataclass
class HourlyDemand:
    """Calls of a service per local day and hour over the past ``RETAINED_WEEKS`` weeks.

    Parameters
    ----------
    time_zone : str
        Time zone of the service.
    """

    time_zone: str = "UTC"
    days: dict[int, list[float]] = dataclasses.field(default_factory=dict)

    def record(self, wall_s: float, calls: float = 1.0) -> None:
        """Add calls to the local hour of a wall time."""
        local = datetime.datetime.fromtimestamp(wall_s, zoneinfo.ZoneInfo(self.time_zone))
        day = local.date().toordinal()
        if day not in self.days:
            self.days[day] = [0.0] * HOURS_PER_DAY
            self.drop_old_days(day)
        self.days[day][local.hour] += calls

    def drop_old_days(self, today: int) -> None:
        """Remove days that are older than ``RETAINED_WEEKS`` weeks."""
        for day in [day for day in self.days if day <= today - 7 * RETAINED_WEEKS]:
            del self.days[day]

    def mean_day(self, days: collections.abc.Collection[int]) -> list[float]:
        """Return the mean demand per hour of day, weighted towards newer weeks."""
        newest = max(days)
        mean = [0.0] * HOURS_PER_DAY
        total = sum(WEEK_DECAY ** ((newest - day) // 7) for day in days)
        for day in days:
            weight = WEEK_DECAY ** ((newest - day) // 7) / total
            for hour, calls in enumerate(self.days[day]):
                mean[hour] += weight * calls
        return mean

    def propose_peak(self) -> PeakProposal | None:
        """Return the peak window, or None if less than a week of demand is known.

        The proposal is not applied automatically.
        """
        if len(self.days) < MIN_DAYS:
            return None
        mean = self.mean_day(self.days)
        if sum(mean) <= 0.0:
            return None
        start, length = find_peak(mean)
        share = sum(mean[(start + step) % HOURS_PER_DAY] for step in range(length)) / sum(mean)
        return PeakProposal(start, (start + length) % HOURS_PER_DAY, share, self.peak_movement())

    def peak_movement(self) -> float:
        """Return by how many hours the peak moved between the older and newer half of the days."""
        ordered = sorted(self.days)
        half = len(ordered) // 2
        older = find_peak(self.mean_day(ordered[:half]))
        newer = find_peak(self.mean_day(ordered[half:]))
        moved = newer[0] + newer[1] / 2 - older[0] - older[1] / 2
        return (moved + HOURS_PER_DAY / 2) % HOURS_PER_DAY - HOURS_PER_DAY / 2


def find_peak(mean: list[float]) -> tuple[int, int]:
    """Return the start and length in hours of the peak around the busiest hour.

    The window is extended by its busier adjacent hour while that hour has at least ``PEAK_SHARE``
    of the busiest hour's demand.
    """
    busiest = max(range(HOURS_PER_DAY), key=lambda hour: mean[hour])
    start, length = busiest, 1
    while length < MAX_PEAK_HOURS:
        before = mean[(start - 1) % HOURS_PER_DAY]
        after = mean[(start + length) % HOURS_PER_DAY]
        if max(before, after) < PEAK_SHARE * mean[busiest]:
            break
        if before > after:
            start = (start - 1) % HOURS_PER_DAY
        length += 1
    return start, length
