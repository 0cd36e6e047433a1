"""Conversions between turns that ask for a place and the messages about them."""

import collections.abc
import math

from dogwoodgap import clock, dialect, pacing
from dogwoodgap.balancing import engine_state, outcomes
from dogwoodgap_wire import ttypes

MS_PER_S = 1000.0


TimedLoad = tuple[dialect.ServerLoad, float]
"""A load report, and the monotonic time at which it was made."""


def encode_load(timed_load: TimedLoad) -> ttypes.LoadReport:
    """Return a load report as a message."""
    load, reported_at = timed_load
    return ttypes.LoadReport(
        running=load.running,
        waiting=load.waiting,
        slots=load.slots,
        slowness=load.slowness,
        age_ms=round((clock.now() - reported_at) * MS_PER_S),
    )


def decode_load(report: ttypes.LoadReport) -> TimedLoad:
    """Return the load report of a message."""
    load = dialect.ServerLoad(
        report.running or 0, report.waiting or 0, report.slots or 0, report.slowness
    )
    return load, clock.now() - max(0, report.age_ms or 0) / MS_PER_S


def encode_turn(
    service: str,
    turn: engine_state.Turn,
    reports: collections.abc.Mapping[str, TimedLoad],
) -> ttypes.PlacementRequest:
    """Return the request for the place of a turn, with load reports by engine."""
    now = clock.now()
    return ttypes.PlacementRequest(
        service_name=service,
        number=turn.key[1],
        standing=int(turn.standing),
        prompt_tokens=turn.prompt_tokens,
        max_output_tokens=turn.max_output_tokens,
        part_ids=[part.id for part in turn.parts],
        part_tokens=[part.tokens for part in turn.parts],
        waited_ms=(now - turn.arrived_at) * MS_PER_S,
        finish_ms=finite((turn.finish_at - now) * MS_PER_S),
        deadline_ms=(turn.deadline_at - now) * MS_PER_S,
        gap_ms=finite(turn.gap_s * MS_PER_S),
        excluded=sorted(turn.excluded) or None,
        reports=[
            ttypes.EngineReport(engine=engine_id, report=encode_load(timed_load))
            for engine_id, timed_load in reports.items()
        ]
        or None,
    )


def decode_turn(sender: ttypes.Member, message: ttypes.PlacementRequest) -> engine_state.Turn:
    """Return the turn of a request for a place.

    Raises
    ------
    ValueError
        If its standing is unknown.
    """
    now = clock.now()
    part_tokens = message.part_tokens or []
    return engine_state.Turn(
        key=(sender.boot, message.number or 0),
        standing=pacing.TurnPriority(message.standing),
        parts=tuple(
            dialect.PromptPart(part, tokens)
            for part, tokens in zip(message.part_ids or [], part_tokens, strict=False)
        ),
        prompt_tokens=max(0, message.prompt_tokens or 0),
        max_output_tokens=max(0, message.max_output_tokens or 0),
        arrived_at=now - max(0.0, message.waited_ms or 0.0) / MS_PER_S,
        finish_at=math.inf if message.finish_ms is None else now + message.finish_ms / MS_PER_S,
        deadline_at=now + (message.deadline_ms or 0.0) / MS_PER_S,
        excluded=frozenset(message.excluded or ()),
        gap_s=math.inf if message.gap_ms is None else message.gap_ms / MS_PER_S,
    )


def finite(value: float) -> float | None:
    """Return a number, or None in place of infinity."""
    return value if math.isfinite(value) else None


def encode_end(service: str, number: int, ended: outcomes.EndedTurn | None) -> ttypes.PlacementEnd:
    """Return the message about the end of a turn, or about a request for a place given up."""
    if ended is None:
        return ttypes.PlacementEnd(
            service_name=service, number=number, result=ttypes.PlacementResult.CANCELLED
        )
    report = None
    if ended.load is not None:
        report = encode_load((ended.load, ended.reported_at))
    return ttypes.PlacementEnd(
        service_name=service,
        number=number,
        engine=ended.engine_id,
        result=result(ended),
        generated_tokens=ended.generated_tokens,
        first_tokens=ended.first_tokens,
        first_event_s=ended.first_event_s,
        duration_s=ended.duration_s,
        report=report,
    )


def result(ended: outcomes.EndedTurn) -> int:
    """Return the result of an ended turn as in messages."""
    if ended.is_refused:
        return ttypes.PlacementResult.NOT_RUN
    if ended.is_unreachable:
        return ttypes.PlacementResult.UNREACHABLE
    if ended.is_failed:
        return ttypes.PlacementResult.FAILED
    return ttypes.PlacementResult.DONE if ended.is_done else ttypes.PlacementResult.OTHER


def decode_end(message: ttypes.PlacementEnd) -> outcomes.EndedTurn | None:
    """Return how a turn ended; None if it was sent to no engine."""
    if message.engine is None or message.result == ttypes.PlacementResult.CANCELLED:
        return None
    report = message.report
    load = None
    reported_at = -math.inf
    if report is not None:
        load, reported_at = decode_load(report)
    return outcomes.EndedTurn(
        engine_id=message.engine,
        is_done=message.result == ttypes.PlacementResult.DONE,
        is_refused=message.result == ttypes.PlacementResult.NOT_RUN,
        is_unreachable=message.result == ttypes.PlacementResult.UNREACHABLE,
        is_failed=message.result == ttypes.PlacementResult.FAILED,
        generated_tokens=message.generated_tokens or 0,
        first_tokens=message.first_tokens or 0,
        first_event_s=message.first_event_s or 0.0,
        duration_s=message.duration_s or 0.0,
        load=load,
        reported_at=reported_at,
    )
