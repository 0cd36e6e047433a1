"""Finds in gateways' logs which servers of a request had told that they leave."""

import collections
import dataclasses
import datetime
import enum
import math

from dogwoodgap import ctl_logs

SERVERS_CHANGED = 5003
REQUEST_FORWARDED = 5007
SERVER_LEAVING = 5030
TRIED_RESULTS = frozenset({"done", "failed", "not_run", "unknown", "unreachable"})
"""Results in the field ``tried``, each after the id of a server or gateway (``AttemptResult``)."""

EVENTS = frozenset({SERVERS_CHANGED, REQUEST_FORWARDED, SERVER_LEAVING})
MILLISECOND = datetime.timedelta(milliseconds=1)


class LearntFrom(enum.StrEnum):
    """How a gateway learnt that a server leaves."""

    RESPONSE = "response"
    GATEWAY = "gateway"
    LIST = "list"


MESSAGES = {
    LearntFrom.RESPONSE: "a server of the request leaves, as its response told this gateway",
    LearntFrom.GATEWAY: "a server of the request leaves, as another gateway told this one",
    LearntFrom.LIST: "a server of the request leaves, as the list of servers says",
    None: "a server of the request had told another gateway that it leaves, not yet this one",
}
"""Message of the line on a departure by how this gateway learnt of it."""


@dataclasses.dataclass(slots=True)
class Notice:
    """A period in which a gateway knew that a process of a server leaves.

    Attributes
    ----------
    source : str
        Source of the gateway's log lines.
    learnt_at : datetime.datetime
        Time at which the gateway learnt it.
    by_response : bool
        Whether a response told it, rather than a list.
    started_ms : int or None
        Start of the process in Unix ms; None if the log does not hold it.
    ended_at : datetime.datetime or None
        Time at which the process was no longer listed as leaving; None if it still is.
    is_forgotten : bool
        Whether the period ended since the gateway restarted, and not since the process ended.
    """

    source: str
    learnt_at: datetime.datetime
    by_response: bool = False
    started_ms: int | None = None
    ended_at: datetime.datetime | None = None
    is_forgotten: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Period:
    """The time from the arrival of a request at a gateway to its end."""

    begin: datetime.datetime
    end: datetime.datetime


def departure_lines(
    lines: list[ctl_logs.LogLine], request_lines: list[ctl_logs.LogLine]
) -> list[ctl_logs.LogLine]:
    """Return a line for each gateway of a request and each tried server that was known to leave.

    Times of several gateways are compared, so they are only as exact as the gateways' clocks.

    Parameters
    ----------
    lines : list of LogLine
        All lines of all gateways.
    request_lines : list of LogLine
        Lines of one request.
    """
    dated = sorted(
        (line for line in lines if line.fields.get("event") in EVENTS and time_of(line)),
        key=time_of,
    )
    forwarded = [line for line in request_lines if period_of(line) is not None]
    found: list[ctl_logs.LogLine] = []
    for server in sorted({server for line in forwarded for server in tried_servers(line)}):
        notices = find_notices(dated, server)
        departures = (describe(line, server, notices, dated) for line in forwarded)
        found += [departure for departure in departures if departure is not None]
    return found


def find_notices(dated: list[ctl_logs.LogLine], server: str) -> list[Notice]:
    """Return when each gateway knew that a server leaves; ``dated`` is sorted by time."""
    by_source: dict[str, list[ctl_logs.LogLine]] = collections.defaultdict(list)
    for line in dated:
        by_source[line.source].append(line)
    return [
        notice
        for source_lines in by_source.values()
        for notice in notices_of_gateway(source_lines, server)
    ]


def notices_of_gateway(lines: list[ctl_logs.LogLine], server: str) -> list[Notice]:
    """Return when one gateway knew that a server leaves; its lines are sorted by time."""
    notices: list[Notice] = []
    current: Notice | None = None
    opening_line: ctl_logs.LogLine | None = None
    previous: ctl_logs.LogLine | None = None
    for line in lines:
        event = line.fields.get("event")
        if event == SERVERS_CHANGED:
            # A server that is added although it is known belongs to a new run of the gateway.
            is_restart = server in line.fields.get("added", [])
            is_draining = server in line.fields.get("draining", [])
            if current is not None and (is_restart or not is_draining):
                current.ended_at, current.is_forgotten = time_of(line), is_restart
                current = None
            if current is None and is_draining:
                current, opening_line = Notice(line.source, time_of(line)), line
                notices.append(current)
        elif event == SERVER_LEAVING and line.fields.get("server") == server:
            # A response changes the list first, which is logged directly before. Any other open
            # notice is that of an older process, whose end is missing in the log.
            if current is None or previous is not opening_line:
                if current is not None:
                    current.ended_at = time_of(line)
                current, opening_line = Notice(line.source, time_of(line)), line
                notices.append(current)
            current.by_response, current.started_ms = True, line.fields.get("started_ms")
        previous = line
    return notices


def describe(
    line: ctl_logs.LogLine, server: str, notices: list[Notice], dated: list[ctl_logs.LogLine]
) -> ctl_logs.LogLine | None:
    """Return a line on what was known of a server's departure when a request ended at a gateway.

    Returns
    -------
    LogLine or None
        None if neither this gateway nor another one knew that the server leaves.
    """
    period = period_of(line)
    relevant = relevant_notices(notices, period)
    own = max(
        (notice for notice in relevant if notice.source == line.source),
        key=lambda notice: notice.learnt_at,
        default=None,
    )
    told_notices = [notice for notice in relevant if notice.by_response]
    started_ms = max((notice.started_ms or 0 for notice in told_notices), default=None)
    if own is not None and own.by_response:
        started_ms = own.started_ms
    told_notices = [notice for notice in told_notices if notice.started_ms == started_ms]
    told = min(told_notices, key=lambda notice: notice.learnt_at, default=None)
    if own is None and told is None:
        return None
    learnt_from = None if own is None else learnt_how(own, server, told_notices, dated)
    return ctl_logs.LogLine(
        line.source,
        {
            "time": format_time(own or told),
            "event_name": "DEPARTURE",
            "message": MESSAGES[learnt_from],
            "server": server,
            "started_ms": started_ms,
            "told_at": format_time(told),
            "told_to": told.source if told else None,
            "told_ms": elapsed_ms(period, told),
            "learnt_at": format_time(own),
            "learnt_from": learnt_from,
            "learnt_ms": elapsed_ms(period, own),
        },
    )


def relevant_notices(notices: list[Notice], period: Period) -> list[Notice]:
    """Return the notices on the process that a server ran in a period."""
    ends = [
        notice.ended_at
        for notice in notices
        if notice.ended_at and notice.ended_at < period.begin and not notice.is_forgotten
    ]
    # A process that one gateway saw end has ended for those whose log does not show it.
    last_end = max(ends, default=datetime.datetime.min)
    return [
        notice
        for notice in notices
        if last_end <= notice.learnt_at <= period.end
        and (notice.ended_at is None or notice.ended_at >= period.begin)
    ]


def learnt_how(
    own: Notice, server: str, told_notices: list[Notice], dated: list[ctl_logs.LogLine]
) -> LearntFrom:
    """Return how a gateway learnt of a departure that responses told to some gateways."""
    if not own.by_response:
        is_told = any(notice.learnt_at <= own.learnt_at for notice in told_notices)
        return LearntFrom.GATEWAY if is_told else LearntFrom.LIST
    open_lines = [
        line
        for line in dated
        if line.source == own.source
        and (period := period_of(line)) is not None
        and period.begin <= own.learnt_at <= period.end
    ]
    if any(server in tried_servers(line) for line in open_lines):
        return LearntFrom.RESPONSE
    relayed = {line.fields.get("request") for line in open_lines} - {None, ""}
    is_passed_on = any(
        line.fields.get("request") in relayed
        and line.source != own.source
        and server in tried_servers(line)
        for line in dated
    )
    return LearntFrom.GATEWAY if is_passed_on else LearntFrom.RESPONSE


def tried_servers(line: ctl_logs.LogLine) -> set[str]:
    """Return the servers and gateways that a line names as tried; not those over their limit."""
    if line.fields.get("event") != REQUEST_FORWARDED:
        return set()
    entries = [entry.rpartition(":") for entry in line.fields.get("tried") or []]
    return {name for name, _, result in entries if result in TRIED_RESULTS}


def period_of(line: ctl_logs.LogLine) -> Period | None:
    """Return when a forwarded request was at a gateway; None for other lines."""
    end = time_of(line)
    if line.fields.get("event") != REQUEST_FORWARDED or end is None:
        return None
    # Logged times are truncated to milliseconds, and the arrival has to be as well: what was logged
    # right after it would precede it otherwise.
    return Period(end - math.ceil(line.fields.get("took_ms") or 0) * MILLISECOND, end)


def time_of(line: ctl_logs.LogLine) -> datetime.datetime | None:
    """Return the time of a line; None if it has none, as lines that were shortened."""
    try:
        time = datetime.datetime.fromisoformat(line.time)
    except ValueError:
        return None
    return time if time.tzinfo is None else None


def elapsed_ms(period: Period, notice: Notice | None) -> float | None:
    """Return the time from a request's arrival to a notice in ms; negative if it was earlier."""
    if notice is None:
        return None
    return round((notice.learnt_at - period.begin) / MILLISECOND, 1)


def format_time(notice: Notice | None) -> str | None:
    """Return the time of a notice in the format of the log."""
    if notice is None:
        return None
    return f"{notice.learnt_at:%Y-%m-%d %H:%M:%S},{notice.learnt_at.microsecond // 1000:03}"
