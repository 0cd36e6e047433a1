"""Tests for profiles by local hours and for the proposed peak window."""

import datetime
import zoneinfo

import pytest

from dogwoodgap import models, profiles

PRAGUE = zoneinfo.ZoneInfo("Europe/Prague")


def service(*windows, zone="Europe/Prague"):
    hours = [
        models.ProfileHours(profile=name, start_hour=start, end_hour=end, days=days)
        for name, start, end, days in windows
    ]
    return models.Service(kind="model", profile="day", hours=hours, time_zone=zone)


def at(*parts, fold=0):
    return datetime.datetime(*parts, tzinfo=PRAGUE, fold=fold).timestamp()


@pytest.mark.parametrize(
    ("when", "expected"),
    [
        (at(2026, 12, 4, 21, 59), "day"),
        (at(2026, 12, 4, 22, 0), "night"),  # a Friday
        (at(2026, 12, 5, 1, 59), "night"),  # Saturday, still Friday's window
        (at(2026, 12, 5, 2, 0), "day"),
        (at(2026, 12, 5, 22, 30), "day"),  # no window starts on Saturday
        (at(2026, 12, 4, 1, 0), "day"),  # Thursday's window does not exist
    ],
)
def test_a_window_past_midnight_belongs_to_the_day_of_its_start(when, expected):
    """Guards against evaluating windows that span midnight on the wrong weekday."""
    assert profiles.active_profile(service(("night", 22, 2, [4])), when) == expected


def test_windows_follow_local_time_across_clock_changes():
    """Guards against windows that are an hour off after a daylight saving time change."""
    evening = service(("peak", 18, 22, list(range(7))))
    for day in ((2026, 3, 28), (2026, 3, 29), (2026, 10, 24), (2026, 10, 25)):
        assert profiles.active_profile(evening, at(*day, 17, 59)) == "day"
        assert profiles.active_profile(evening, at(*day, 18, 0)) == "peak"
        assert profiles.active_profile(evening, at(*day, 22, 0)) == "day"
    night = service(("night", 2, 3, list(range(7))))
    assert profiles.active_profile(night, at(2026, 10, 25, 2, 30, fold=0)) == "night"
    assert profiles.active_profile(night, at(2026, 10, 25, 2, 30, fold=1)) == "night"
    # In spring, 02:00 to 03:00 does not exist.
    assert profiles.active_profile(night, at(2026, 3, 29, 3, 0)) == "day"


def test_the_next_change_is_found_across_a_clock_change():
    """Guards against a timer that fires an hour early or late."""
    evening = service(("peak", 18, 22, list(range(7))))
    assert profiles.next_change(evening, at(2026, 3, 28, 23, 0)) == at(2026, 3, 29, 18, 0)
    assert profiles.next_change(service(), at(2026, 3, 28)) is None


def test_the_proposed_peak_spans_midnight_and_follows_its_movement():
    """Guards against a proposal that misses a late peak or stays at the peak of old weeks."""
    demand = profiles.HourlyDemand("Europe/Prague")
    first = datetime.datetime(2026, 9, 1, tzinfo=PRAGUE)
    for day in range(42):
        peak = 21 if day < 21 else 23
        for hour in range(24):
            near = (hour - peak) % 24 in (0, 1, 2)
            moment = (first + datetime.timedelta(days=day)).replace(hour=hour)
            demand.record(moment.timestamp(), 100.0 if near else 10.0)
    proposal = demand.propose_peak()
    assert (proposal.start_hour, proposal.end_hour) == (23, 2)
    assert proposal.moved_hours == 2.0
    assert 0.4 < proposal.share < 0.7


def test_no_peak_is_proposed_from_a_few_days_and_old_days_are_dropped():
    """Guards against proposals from too little demand and against unbounded growth."""
    demand = profiles.HourlyDemand()
    for day in range(6):
        demand.record(day * 86_400.0)
    assert demand.propose_peak() is None
    for day in range(200):
        demand.record(day * 86_400.0)
    assert len(demand.days) == 7 * profiles.RETAINED_WEEKS
