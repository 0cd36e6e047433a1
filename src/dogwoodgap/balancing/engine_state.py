"""What a turn scheduler knows of one engine; no I/O, and callers pass the time.

A scheduler knows its own placed turns exactly, those of other schedulers by summaries, and the rest
by what engines report beyond both, for example after a restart of the scheduler.
"""

import collections
import collections.abc
import dataclasses
import math

from dogwoodgap import dialect, pacing, selection

SUMMARY_FRESH_S = 0.5
"""Age up to which a summary counts fully; schedulers send one every 0.2 s."""

SUMMARY_LIFETIME_S = 2.0
"""Age from which on a summary counts no more; its turns have ended."""

SURPLUS_LIFETIME_S = 0.3
"""Time in which the unknown requests at an engine fall to 1/e; about the duration of a turn."""

MAX_CACHED_PARTS = 512
"""Prompt parts that are remembered for each engine."""

TurnKey = tuple[str, int]
"""Run of the gateway that asked for a place, and its number for the turn."""


@dataclasses.dataclass(frozen=True, slots=True)
class Turn:
    """A turn that asks for a place.

    Attributes
    ----------
    parts : tuple of dialect.PromptPart
        Parts of the prompt that engines may have in their cache, in order.
    finish_at, deadline_at : float
        Monotonic times by which the program should finish and the turn has to end.
    excluded : frozenset of str
        Engines that the gateway cannot use for this turn.
    gap_s : float
        Longest pause between events that streams of this route bear; infinite without one.
    """

    key: TurnKey
    standing: pacing.TurnPriority
    parts: tuple[dialect.PromptPart, ...]
    prompt_tokens: int
    max_output_tokens: int
    arrived_at: float
    finish_at: float
    deadline_at: float
    excluded: frozenset[str] = frozenset()
    gap_s: float = math.inf


@dataclasses.dataclass(slots=True)
class PlacedTurn:
    """A turn at an engine.

    Attributes
    ----------
    read_tokens : int
        Prompt tokens that the engine has to read for it.
    read_by, expected_end_at : float
        Monotonic times at which its prompt should have been read and at which it should end.
    expires_at : float
        Monotonic time from which on its gateway is taken to have gone.
    others, known_others : float
        Expected other requests at the engine when it was placed, and those of them that schedulers
        had placed.
    slowness : float
        Slowness of the engine then, relative to its usual one.
    """

    turn: Turn
    engine_id: str
    placed_at: float
    read_tokens: int
    read_by: float
    expected_end_at: float
    expires_at: float
    others: float
    known_others: float
    slowness: float

    @property
    def held_tokens(self) -> int:
        """Return the tokens that the turn holds at most in the engine's memory."""
        return self.turn.prompt_tokens + self.turn.max_output_tokens

    def unread_tokens(self, now: float) -> float:
        """Return the prompt tokens that the engine still has to read."""
        if now >= self.read_by:
            return 0.0
        return self.read_tokens * (self.read_by - now) / (self.read_by - self.placed_at)


@dataclasses.dataclass(frozen=True, slots=True)
class Summary:
    """The turns that another scheduler has placed at an engine."""

    running: int
    held_tokens: int
    received_at: float

    def weight(self, now: float) -> float:
        """Return how much of it counts, 0 to 1."""
        age_s = now - self.received_at
        fading_s = SUMMARY_LIFETIME_S - SUMMARY_FRESH_S
        return min(1.0, max(0.0, (SUMMARY_LIFETIME_S - age_s) / fading_s))


class PrefixCache:
    """The prompt parts that an engine has in its cache, as far as its turns tell.

    Parameters
    ----------
    capacity : int
        Memory of the engine in tokens.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.parts: collections.OrderedDict[str, int] = collections.OrderedDict()
        self.tokens = 0

    def cached_tokens(self, parts: collections.abc.Iterable[dialect.PromptPart]) -> int:
        """Return the tokens at the start of a prompt that need not be read again."""
        tokens = 0
        for part in parts:
            if part.id not in self.parts:
                break
            tokens += part.tokens
        return tokens

    def store(self, parts: collections.abc.Iterable[dialect.PromptPart]) -> None:
        """Add the parts of a prompt; those that were not used for longest are dropped."""
        for part in parts:
            self.tokens += part.tokens - self.parts.get(part.id, 0)
            self.parts[part.id] = part.tokens
            self.parts.move_to_end(part.id)
        while self.parts and (self.tokens > self.capacity or len(self.parts) > MAX_CACHED_PARTS):
            self.tokens -= self.parts.popitem(last=False)[1]


class EngineState:
    """One engine with its turns.

    Attributes
    ----------
    is_ready : bool
        Whether it accepts requests.
    turns : dict
        Turns that this scheduler has placed there.
    summaries : dict
        Summaries of the other schedulers, by their node.
    failures : selection.ServerState
        Failed turns and connections, as the gateways report them.
    """

    def __init__(
        self, engine_id: str, slots: int, memory_tokens: int, data_centre: str, started_ms: int = 0
    ):
        self.id = engine_id
        self.slots = slots
        self.memory_tokens = memory_tokens
        self.data_centre = data_centre
        self.started_ms = started_ms
        self.is_ready = True
        self.turns: dict[TurnKey, PlacedTurn] = {}
        self.summaries: dict[str, Summary] = {}
        self.failures = selection.ServerState()
        self.cache = PrefixCache(memory_tokens)
        self.surplus = 0.0
        self.surplus_at = 0.0

    def known(self, now: float) -> float:
        """Return the requests at the engine that schedulers have placed."""
        placed: float = len(self.turns)
        for summary in self.summaries.values():
            placed += summary.running * summary.weight(now)
        return placed

    def occupancy(self, now: float) -> float:
        """Return the expected requests at the engine."""
        if self.surplus <= 0.0:
            return self.known(now)
        return self.known(now) + self.surplus * math.exp(
            -(now - self.surplus_at) / SURPLUS_LIFETIME_S
        )

    def record_load(
        self, load: dialect.ServerLoad, reported_at: float, known_requests: float
    ) -> None:
        """Compare a report with the turns known at that time; others have placed the rest."""
        self.surplus = max(0.0, load.running + load.waiting - known_requests)
        self.surplus_at = reported_at

    def held_tokens(self, now: float) -> float:
        """Return the tokens that the requests at the engine hold at most."""
        held: float = sum(placed.held_tokens for placed in self.turns.values())
        for summary in self.summaries.values():
            held += summary.held_tokens * summary.weight(now)
        return held

    def unread_tokens(self, now: float) -> float:
        """Return the prompt tokens that the engine is reading."""
        return sum(placed.unread_tokens(now) for placed in self.turns.values())

    def next_end_in_s(self, now: float) -> float:
        """Return the expected time until the first of its turns ends, infinite without any.

        A turn that is overdue is expected to take as long again as it is overdue, so that nothing
        waits for an engine that has stopped.
        """
        ends = (abs(placed.expected_end_at - now) for placed in self.turns.values())
        return min(ends, default=math.inf)

    def restart(self, started_ms: int) -> None:
        """Forget the cache and the turns of an ended process; the machine's speed remains."""
        self.started_ms = started_ms
        self.turns = {}
        self.summaries = {}
        self.cache = PrefixCache(self.memory_tokens)
        self.surplus = 0.0
        self.failures = selection.ServerState()
