"""What turn schedulers decide, and what they are told: decisions, ends of turns, and summaries."""

import dataclasses
import math

from dogwoodgap import dialect
from dogwoodgap.balancing import choice


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Decision on a turn.

    Attributes
    ----------
    engine_id : str or None
        Its engine; None if it is refused.
    expected_s : float
        Expected duration at the engine, in seconds.
    retry_after_s : float
        Time after which a refused turn is likely to be placed, in seconds.
    """

    engine_id: str | None
    reason: choice.Reason
    expected_s: float = 0.0
    retry_after_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndedTurn:
    """How a placed turn ended.

    Attributes
    ----------
    is_done : bool
        Whether it ended normally and from its start, so that its engine's speed can be learnt.
    is_refused, is_unreachable, is_failed : bool
        Whether the engine did not run it, could not be connected to, or failed.
    first_event_s, duration_s : float
        Times from sending it to its first event and to its end.
    load : dialect.ServerLoad or None
        Last load report of the engine, made at ``reported_at``.
    """

    engine_id: str
    is_done: bool = False
    is_refused: bool = False
    is_unreachable: bool = False
    is_failed: bool = False
    generated_tokens: int = 0
    first_tokens: int = 0
    first_event_s: float = 0.0
    duration_s: float = 0.0
    load: dialect.ServerLoad | None = None
    reported_at: float = -math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class EngineUse:
    """The turns of one scheduler at an engine.

    Attributes
    ----------
    running, held_tokens : int
        Turns, and the tokens that they hold at most.
    step_s : float or None
        Time of the engine for each token, if it was learnt from own turns.
    """

    running: int
    held_tokens: int
    step_s: float | None = None
