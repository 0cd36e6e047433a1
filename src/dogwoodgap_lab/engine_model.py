"""An event-driven model of a model engine, fast enough for experiments on virtual time.

A runner executes up to ``slots`` requests at once. Each request passes through the phases import,
prefill and decode; all running requests advance at one speed that falls with the batch. Memory is
counted in tokens, rounded up to blocks, and is shared by running requests and the prefix cache.
"""

import collections
import dataclasses
import enum
import heapq

import anyio

from dogwoodgap import clock

BLOCK_TOKENS = 64
IMPORT_TOKENS_PER_S = 60_000.0


class Phase(enum.IntEnum):
    """What a running request does."""

    IMPORT = 0
    PREFILL = 1
    DECODE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpeed:
    """Speed of a runner.

    Attributes
    ----------
    decode_slowdown, prefill_slowdown : float
        Share by which each decoding or prefilling request slows the whole batch. Prefill is bound
        by arithmetic and therefore costs the batch much more than decode.
    """

    slots: int = 8
    memory_tokens: int = 120_000
    prefill_tokens_per_s: float = 8_000.0
    decode_tokens_per_s: float = 50.0
    decode_slowdown: float = 0.1
    prefill_slowdown: float = 0.6


@dataclasses.dataclass(slots=True)
class SimulatedRequest:
    """One request as the model sees it; ``prompt_tokens`` excludes the shared prefix.

    Attributes
    ----------
    shared, shared_tokens : str, int
        Name and length of the prefix that many programs share.
    import_tokens : int
        Exported tokens of the session that the runner may import instead of computing them.
    """

    session: str
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    shared_prefix: str = ""
    shared_tokens: int = 0
    import_tokens: int = 0
    cached_tokens: int = 0
    allocated_tokens: int = 0
    started_at: float = -1.0
    arrived_at: float = 0.0
    phase: Phase = Phase.IMPORT
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)


@dataclasses.dataclass(slots=True)
class CacheEntry:
    """Cached tokens of a session or of a shared prefix; idle since ``since`` unless pinned.

    Attributes
    ----------
    base : int
        Length of the shared prefix in front of the session's own tokens.
    """

    tokens: int
    accounted_until: float
    pins: int = 0
    ended: bool = False
    shared_prefix_tokens: int = 0


@dataclasses.dataclass(slots=True)
class MemoryTokenSeconds:
    """Token-seconds of engine memory by use, inside the window of the experiment."""

    window_start: float = 0.0
    window_end: float = float("inf")
    running: float = 0.0
    reused: float = 0.0
    unused: float = 0.0
    ended: float = 0.0

    def overlap_s(self, start: float, until: float) -> float:
        """Return the part of an interval that lies in the window, in seconds."""
        return max(0.0, min(until, self.window_end) - max(start, self.window_start))

    def wasted_share(self) -> float:
        """Return the wasted share of everything held."""
        held = self.running + self.reused + self.unused + self.ended
        return (self.unused + self.ended) / held if held else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of the prefix cache; ``tokens`` is what is left, with the shared prefix."""

    at: float
    key: str
    tokens: int


def round_up_to_blocks(tokens: int) -> int:
    """Round tokens up to whole blocks."""
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS


class SimulatedRunner:
    """One runner's engine.

    Parameters
    ----------
    name : str
        Id of the runner.
    speed : EngineSpeed
        Speed and memory.
    memory : MemoryTokenSeconds
        Account of token-seconds, shared by the runners of an experiment.
    """

    def __init__(self, name: str, speed: EngineSpeed, memory: MemoryTokenSeconds):
        self.name = name
        self.speed = speed
        self.memory = memory
        self.waiting: list[tuple[int, int, SimulatedRequest]] = []
        self.running: list[tuple[float, int, SimulatedRequest]] = []
        self.phase_counts = [0, 0, 0]
        self.nominal_work_s = 0.0
        self.updated_at = 0.0
        self.arrivals = 0
        self.entries: collections.OrderedDict[str, CacheEntry] = collections.OrderedDict()
        self.used_tokens = 0
        self.events: list[CacheEvent] = []
        self.wake_at = float("inf")
        self.changed = anyio.Event()
        self.busy_s = 0.0
        self.computed_prompt_tokens = 0
        self.cached_prompt_tokens = 0
        self.prompt_tokens = 0

    # Progress of the batch.

    def rate(self) -> float:
        """Return the speed of every running request; 1 means nominal."""
        return 1.0 / (
            1.0
            + self.speed.decode_slowdown * self.phase_counts[Phase.DECODE]
            + self.speed.prefill_slowdown * self.phase_counts[Phase.PREFILL]
        )

    def advance(self) -> None:
        """Account the progress made since the last change."""
        now = clock.now()
        if self.running:
            self.nominal_work_s += (now - self.updated_at) * self.rate()
            self.busy_s += now - self.updated_at
        self.updated_at = now

    async def run(self) -> None:
        """Complete phases as their time comes."""
        while True:
            self.changed = anyio.Event()
            self.wake_at = self.next_phase_end()
            with anyio.CancelScope(deadline=self.wake_at):
                await self.changed.wait()
            self.advance()
            self.complete_due()
            self.start_waiting()

    def next_phase_end(self) -> float:
        """Return when the next phase ends if nothing changes."""
        if not self.running:
            return float("inf")
        remaining = max(0.0, self.running[0][0] - self.nominal_work_s)
        return self.updated_at + remaining / self.rate()

    def reschedule(self) -> None:
        """Wake the timer when a phase ends earlier than it expects."""
        if self.next_phase_end() < self.wake_at:
            self.changed.set()

    def complete_due(self) -> None:
        """End every phase whose work is done."""
        while self.running and self.running[0][0] <= self.nominal_work_s + 1e-9:
            request = heapq.heappop(self.running)[2]
            self.phase_counts[request.phase] -= 1
            if request.phase == Phase.DECODE:
                self.finish(request)
            else:
                self.enter_phase(request, Phase(request.phase + 1))

    def enter_phase(self, request: SimulatedRequest, phase: Phase) -> None:
        """Put a request into a phase."""
        request.phase = phase
        self.phase_counts[phase] += 1
        self.arrivals += 1
        due = self.nominal_work_s + self.duration(request, phase)
        heapq.heappush(self.running, (due, self.arrivals, request))

    def duration(self, request: SimulatedRequest, phase: Phase) -> float:
        """Return the work of a phase in seconds at nominal speed."""
        if phase == Phase.IMPORT:
            return request.import_tokens / IMPORT_TOKENS_PER_S
        if phase == Phase.PREFILL:
            total = request.shared_tokens + request.prompt_tokens
            uncached = total - request.cached_tokens - request.import_tokens
            return uncached / self.speed.prefill_tokens_per_s
        return request.output_tokens / self.speed.decode_tokens_per_s

    # Requests.

    def submit(self, request: SimulatedRequest) -> None:
        """Queue a request."""
        self.advance()
        self.arrivals += 1
        request.arrived_at = clock.now()
        heapq.heappush(self.waiting, (request.priority, self.arrivals, request))
        self.start_waiting()
        self.reschedule()

    def start_waiting(self) -> None:
        """Start queued requests while a slot and memory are free."""
        while self.waiting and len(self.running) < self.speed.slots:
            if not self.start(self.waiting[0][2]):
                return
            heapq.heappop(self.waiting)

    def start(self, request: SimulatedRequest) -> bool:
        """Start a request if its memory fits."""
        session_entry = self.entries.get(request.session)
        shared_entry = self.entries.get(request.shared_prefix) if request.shared_prefix else None
        held = session_entry.tokens if session_entry else 0
        needed_tokens = round_up_to_blocks(request.prompt_tokens + request.output_tokens) - held
        if request.shared_prefix and shared_entry is None:
            needed_tokens += round_up_to_blocks(request.shared_tokens)
        if not self.evict_until_free(
            needed_tokens, protected=(request.session, request.shared_prefix)
        ):
            return False
        now = clock.now()
        cached_session_tokens = self.claim_session_entry(request, session_entry, now)
        cached_shared_tokens = self.pin_shared_entry(request, shared_entry, now)
        prefix_unbroken = not request.shared_prefix or cached_shared_tokens > 0
        request.cached_tokens = cached_shared_tokens + (
            cached_session_tokens if prefix_unbroken else 0
        )
        request.import_tokens = max(0, request.import_tokens - cached_session_tokens)
        request.started_at = now
        self.computed_prompt_tokens += (
            request.shared_tokens
            + request.prompt_tokens
            - request.cached_tokens
            - request.import_tokens
        )
        self.cached_prompt_tokens += request.cached_tokens
        self.prompt_tokens += request.shared_tokens + request.prompt_tokens
        self.enter_phase(request, Phase.IMPORT if request.import_tokens else Phase.PREFILL)
        return True

    def claim_session_entry(
        self, request: SimulatedRequest, session_entry: CacheEntry | None, now: float
    ) -> int:
        """Move the session's cached tokens into the running request."""
        request.allocated_tokens = round_up_to_blocks(request.prompt_tokens + request.output_tokens)
        self.used_tokens += request.allocated_tokens
        if session_entry is None:
            return 0
        del self.entries[request.session]
        self.used_tokens -= session_entry.tokens
        reused = min(session_entry.tokens, request.prompt_tokens)
        overlap_s = self.memory.overlap_s(session_entry.accounted_until, now)
        self.memory.reused += reused * overlap_s
        self.memory.unused += (session_entry.tokens - reused) * overlap_s
        return reused

    def pin_shared_entry(
        self, request: SimulatedRequest, shared_entry: CacheEntry | None, now: float
    ) -> int:
        """Pin the shared prefix."""
        if not request.shared_prefix:
            return 0
        if shared_entry is None:
            entry = CacheEntry(round_up_to_blocks(request.shared_tokens), now, pins=1)
            self.entries[request.shared_prefix] = entry
            self.used_tokens += entry.tokens
            return 0
        overlap_s = self.memory.overlap_s(shared_entry.accounted_until, now)
        if shared_entry.pins == 0:
            self.memory.reused += shared_entry.tokens * overlap_s
        else:
            self.memory.running += shared_entry.tokens * overlap_s
        shared_entry.accounted_until = now
        shared_entry.pins += 1
        return min(shared_entry.tokens, request.shared_tokens)

    def finish(self, request: SimulatedRequest) -> None:
        """End a request and keep its prefix in the cache."""
        now = clock.now()
        self.memory.running += request.allocated_tokens * self.memory.overlap_s(
            request.started_at, now
        )
        retained_tokens = round_up_to_blocks(request.prompt_tokens + request.output_tokens)
        self.entries[request.session] = CacheEntry(
            retained_tokens, now, shared_prefix_tokens=request.shared_tokens
        )
        self.record_event(request.session, request.shared_tokens + retained_tokens)
        shared_entry = self.entries.get(request.shared_prefix)
        if shared_entry is not None:
            self.memory.running += shared_entry.tokens * self.memory.overlap_s(
                shared_entry.accounted_until, now
            )
            shared_entry.accounted_until = now
            shared_entry.pins -= 1
            self.entries.move_to_end(request.shared_prefix)
            self.record_event(request.shared_prefix, shared_entry.tokens)
        request.done.set()

    # Memory.

    def evict_until_free(self, needed_tokens: int, protected: tuple[str, str]) -> bool:
        """Evict least recently used blocks until ``need`` tokens are free."""
        free = self.speed.memory_tokens - self.used_tokens
        if free >= needed_tokens:
            return True
        evictable = [
            key for key, entry in self.entries.items() if entry.pins == 0 and key not in protected
        ]
        if free + sum(self.entries[key].tokens for key in evictable) < needed_tokens:
            return False
        for key in evictable:
            if free >= needed_tokens:
                break
            free += self.evict(key, needed_tokens - free)
        return True

    def evict(self, key: str, limit: int) -> int:
        """Free up to ``wanted`` tokens of an idle entry, last blocks first; return the number."""
        entry = self.entries[key]
        freed = min(entry.tokens, round_up_to_blocks(limit))
        self.account_unused(entry, freed)
        entry.tokens -= freed
        self.used_tokens -= freed
        if entry.tokens == 0:
            del self.entries[key]
        self.record_event(key, entry.shared_prefix_tokens + entry.tokens if entry.tokens else 0)
        return freed

    def account_unused(self, entry: CacheEntry, tokens: int) -> None:
        """Count tokens that were held and leave the cache without another use."""
        held = tokens * self.memory.overlap_s(entry.accounted_until, clock.now())
        if entry.ended:
            self.memory.ended += held
        else:
            self.memory.unused += held

    def release(self, session: str) -> int:
        """Free the cache of a session; return how many tokens were freed."""
        entry = self.entries.get(session)
        if entry is None or entry.pins:
            return 0
        self.advance()
        freed = self.evict(session, entry.tokens)
        self.start_waiting()
        self.reschedule()
        return freed

    def mark_session_ended(self, session: str) -> None:
        """Learn that a program has gone; for the account only, the cache does not change."""
        entry = self.entries.get(session)
        if entry is not None and not entry.ended:
            self.account_unused(entry, entry.tokens)
            entry.ended = True
            entry.accounted_until = clock.now()

    def close(self) -> None:
        """Account what is still held at the end of the experiment."""
        for entry in self.entries.values():
            self.account_unused(entry, entry.tokens)
            entry.accounted_until = clock.now()

    def record_event(self, key: str, tokens: int) -> None:
        """Record a cache event."""
        self.events.append(CacheEvent(clock.now(), key, tokens))
