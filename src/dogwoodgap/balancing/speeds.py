"""Speed of each engine of one service, learnt from ended turns; no I/O.

Handles engines that differ in speed by a multiple. An engine's time per generated token is the
median over its last turns in usual phases, without the delay by other requests; outliers such as a
paused process do not move it. How reading compares to generating, how much each further request
delays the others, and how long outputs are, is learnt for the service as a whole, which takes fewer
turns. An engine without turns gets the median of its service.
"""

import collections
import dataclasses
import statistics

WINDOW = 15
"""Turns of an engine whose median is its speed; an engine of 6 slots ends them in a second."""

SERVICE_WINDOW = 63
"""Turns whose median is the time of reading a prompt token relative to generating one."""

MIN_READ_TOKENS = 256
"""Prompt tokens from which on the time to the first event tells how fast prompts are read."""

INITIAL_STEP_S = 0.003
"""Assumed time of one generated token until a first turn of the service has ended."""

INITIAL_READ_RATIO = 0.004
"""Assumed time of reading a token relative to generating one, until turns have ended."""

INITIAL_OUTPUT_SHARE = 1.0
"""Assumed output relative to its limit; the limit itself, so that memory is not overbooked."""

AVERAGE_WEIGHT = 0.02
"""Weight of one turn in the moving averages of the service, so that about 50 turns count."""

MAX_CROWDING = 0.5
"""Largest credible delay by each further request, relative to the time on an idle engine."""

MIN_CROWDING_VARIANCE = 0.1
"""Variance of the running requests from which on their effect can be told."""


@dataclasses.dataclass(frozen=True, slots=True)
class TurnSample:
    """An ended turn.

    Attributes
    ----------
    read_tokens : int
        Prompt tokens that the engine had to read, as far as is known.
    generated_tokens, max_output_tokens : int
        Length of the output, and its limit.
    first_tokens : int
        Tokens of the first event.
    first_event_s, duration_s : float
        Times from sending the turn to its first event and to its end.
    others : float
        Other requests at the engine when the turn was sent there.
    """

    read_tokens: int
    generated_tokens: int
    max_output_tokens: int
    first_tokens: int
    first_event_s: float
    duration_s: float
    others: float


@dataclasses.dataclass(slots=True)
class Crowding:
    """Learns by how much each further request delays a turn, from weighted moments."""

    weight: float = 0.0
    mean_others: float = 0.0
    mean_time: float = 0.0
    variance: float = 0.0
    covariance: float = 0.0

    def add(self, others: float, relative_time: float) -> None:
        """Add a turn whose time is relative to the usual time of its engine."""
        self.weight += AVERAGE_WEIGHT * (1.0 - self.weight)
        share = AVERAGE_WEIGHT / self.weight
        others_difference = others - self.mean_others
        time_difference = relative_time - self.mean_time
        self.mean_others += share * others_difference
        self.mean_time += share * time_difference
        kept = 1.0 - share
        self.variance = kept * (self.variance + share * others_difference**2)
        self.covariance = kept * (self.covariance + share * others_difference * time_difference)

    @property
    def per_request(self) -> float:
        """Return the delay by each further request, relative to the time on an idle engine."""
        if self.variance < MIN_CROWDING_VARIANCE:
            return 0.0
        slope = self.covariance / self.variance
        idle_time = self.mean_time - slope * self.mean_others
        if idle_time <= 0.0:
            return MAX_CROWDING
        return min(max(0.0, slope / idle_time), MAX_CROWDING)


@dataclasses.dataclass(slots=True)
class EngineSpeed:
    """Last times per generated token of one engine, and their median."""

    recent: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=WINDOW)
    )
    step_s: float = 0.0


class SpeedTable:
    """Speeds of the engines of one service, by engine id."""

    def __init__(self) -> None:
        self.by_engine: dict[str, EngineSpeed] = {}
        self.usual_step_s = INITIAL_STEP_S
        self.read_ratios: collections.deque[float] = collections.deque(maxlen=SERVICE_WINDOW)
        self.read_ratio = INITIAL_READ_RATIO
        self.output_share = INITIAL_OUTPUT_SHARE
        self.crowding = Crowding()

    def remove(self, engine_id: str) -> None:
        """Forget an engine."""
        self.by_engine.pop(engine_id, None)

    def step_s(self, engine_id: str) -> float:
        """Return the usual time of an engine for each generated token, when it is idle."""
        speed = self.by_engine.get(engine_id)
        return self.usual_step_s if speed is None else speed.step_s

    def read_s(self, engine_id: str) -> float:
        """Return the usual time of an engine for each prompt token."""
        return self.step_s(engine_id) * self.read_ratio

    def output_tokens(self, max_output_tokens: int) -> float:
        """Return the expected output of a turn."""
        return max_output_tokens * self.output_share

    def own_step_s(self, engine_id: str) -> float | None:
        """Return the time of an engine for each token as learnt from its turns, if it had any."""
        speed = self.by_engine.get(engine_id)
        return speed.step_s if speed is not None and speed.recent else None

    def adopt(self, engine_id: str, step_s: float) -> None:
        """Use what another scheduler has learnt of an engine, until a turn of this one ended."""
        if step_s > 0.0 and self.own_step_s(engine_id) is None:
            self.by_engine[engine_id] = EngineSpeed(step_s=step_s)
            self.usual_step_s = statistics.median(known.step_s for known in self.by_engine.values())

    def record(self, engine_id: str, sample: TurnSample) -> None:
        """Learn from a turn that ended normally."""
        if sample.max_output_tokens > 0:
            share = min(1.0, sample.generated_tokens / sample.max_output_tokens)
            self.output_share += AVERAGE_WEIGHT * (share - self.output_share)
        later_tokens = sample.generated_tokens - sample.first_tokens
        generating_s = sample.duration_s - sample.first_event_s
        if later_tokens <= 0 or generating_s <= 0.0:
            return
        time_s = generating_s / later_tokens
        if engine_id in self.by_engine:
            self.crowding.add(sample.others, time_s / self.step_s(engine_id))
        speed = self.by_engine.setdefault(engine_id, EngineSpeed())
        speed.recent.append(time_s / (1.0 + self.crowding.per_request * sample.others))
        speed.step_s = statistics.median(speed.recent)
        self.usual_step_s = statistics.median(known.step_s for known in self.by_engine.values())
        if sample.read_tokens >= MIN_READ_TOKENS:
            reading_s = sample.first_event_s - sample.first_tokens * time_s
            ratio = max(0.0, reading_s) / sample.read_tokens / speed.step_s
            self.read_ratios.append(ratio)
            self.read_ratio = statistics.median(self.read_ratios)
