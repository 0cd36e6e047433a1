"""A discrete-event simulation of model engines for experiments on virtual time.

A runner executes up to ``slots`` requests at once. Each request passes through the phases import,
prefill and decode. All running requests advance at the same speed, which decreases with the size
of the batch. Memory is counted in tokens, rounded up to blocks, and is shared by running requests
and the prefix cache.
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
    """Phase of a running request."""

    IMPORT = 0
    PREFILL = 1
    DECODE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpeed:
    """Speed, slots and memory of a runner.

    Attributes
    ----------
    prefill_tokens_per_s, decode_tokens_per_s : float
        Nominal speed of a single request.
    decode_slowdown, prefill_slowdown : float
        Slowdown of the whole batch per decoding or prefilling request, as a share of the nominal
        time. Prefill is compute-bound and therefore slows the batch much more than decode.
    """

    slots: int = 8
    memory_tokens: int = 120_000
    prefill_tokens_per_s: float = 8_000.0
    decode_tokens_per_s: float = 50.0
    decode_slowdown: float = 0.1
    prefill_slowdown: float = 0.6


@dataclasses.dataclass(slots=True)
class SimulatedRequest:
    """A request, described by lengths; ``prompt_tokens`` excludes the shared prefix.

    Attributes
    ----------
    shared_prefix, shared_tokens : str, int
        Cache key and length of the prefix that many programs share.
    import_tokens : int
        Tokens of the session that were exported and are imported instead of computed.
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
    """Cached tokens of a session or of a shared prefix.

    Attributes
    ----------
    accounted_until : float
        Time up to which the token-seconds of the entry have been counted.
    pins : int
        Number of running requests that use the entry, which keep it from being evicted.
    ended : bool
        Whether the session's program has ended.
    shared_prefix_tokens : int
        Length of the shared prefix that precedes the session's own tokens.
    """

    tokens: int
    accounted_until: float
    pins: int = 0
    ended: bool = False
    shared_prefix_tokens: int = 0


@dataclasses.dataclass(slots=True)
class MemoryTokenSeconds:
    """Token-seconds of engine memory by use, within the measured window.

    Attributes
    ----------
    running : float
        Held by running requests.
    reused, unused : float
        Held in the cache until a reuse, or without one.
    ended : float
        Held in the cache after the end of the program.
    """

    window_start: float = 0.0
    window_end: float = float("inf")
    running: float = 0.0
    reused: float = 0.0
    unused: float = 0.0
    ended: float = 0.0

    def overlap_s(self, start: float, end: float) -> float:
        """Return how much of an interval lies in the window, in seconds."""
        return max(0.0, min(end, self.window_end) - max(start, self.window_start))

    def wasted_share(self) -> float:
        """Return the share of token-seconds that was unused or held after the program's end."""
        held = self.running + self.reused + self.unused + self.ended
        return (self.unused + self.ended) / held if held else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of a cache entry; ``tokens`` is its new length with the shared prefix."""

    at: float
    key: str
    tokens: int


def round_up_to_blocks(tokens: int) -> int:
    """Round a number of tokens up to whole blocks."""
    return -(-tokens // BLOCK_TOKENS) * BLOCK_TOKENS


class SimulatedRunner:
    """The simulated engine of one runner.

    Parameters
    ----------
    name : str
        Id of the runner.
    speed : EngineSpeed
        Speed, slots and memory.
    memory : MemoryTokenSeconds
        Memory use, summed over the runners of an experiment.
    """

    def __init__(self, name: str, speed: EngineSpeed, memory: MemoryTokenSeconds):
        self.name = name
        self.speed = speed
        self.memory = memory
        self.waiting: list[tuple[int, int, SimulatedRequest]] = []
        self.running: list[tuple[float, int, SimulatedRequest]] = []
        self.phase_counts = [0, 0, 0]
        self.nominal_work_s = 0.0
        self.advanced_at = 0.0
        self.last_sequence = 0
        self.entries: collections.OrderedDict[str, CacheEntry] = collections.OrderedDict()
        self.used_tokens = 0
        self.events: list[CacheEvent] = []
        self.wake_at = float("inf")
        self.changed = anyio.Event()
        self.busy_s = 0.0
        self.computed_prompt_tokens = 0
        self.cached_prompt_tokens = 0
        self.prompt_tokens = 0

    # Batch progress

    def rate(self) -> float:
        """Return the speed of each running request relative to the nominal speed."""
        return 1.0 / (
            1.0
            + self.speed.decode_slowdown * self.phase_counts[Phase.DECODE]
            + self.speed.prefill_slowdown * self.phase_counts[Phase.PREFILL]
        )

    def advance(self) -> None:
        """Add the progress since the last call at the current rate."""
        now = clock.now()
        if self.running:
            self.nominal_work_s += (now - self.advanced_at) * self.rate()
            self.busy_s += now - self.advanced_at
        self.advanced_at = now

    async def run(self) -> None:
        """Complete phases at their simulated end, until cancelled."""
        while True:
            self.changed = anyio.Event()
            self.wake_at = self.next_phase_end()
            with anyio.CancelScope(deadline=self.wake_at):
                await self.changed.wait()
            self.advance()
            self.complete_due()
            self.start_waiting()

    def next_phase_end(self) -> float:
        """Return the end of the next phase at the current rate, or infinity when idle."""
        if not self.running:
            return float("inf")
        remaining = max(0.0, self.running[0][0] - self.nominal_work_s)
        return self.advanced_at + remaining / self.rate()

    def reschedule(self) -> None:
        """Wake :meth:`run` if the next phase now ends before its timer."""
        if self.next_phase_end() < self.wake_at:
            self.changed.set()

    def complete_due(self) -> None:
        """End all phases that are complete."""
        while self.running and self.running[0][0] <= self.nominal_work_s + 1e-9:
            request = heapq.heappop(self.running)[2]
            self.phase_counts[request.phase] -= 1
            if request.phase == Phase.DECODE:
                self.finish(request)
            else:
                self.enter_phase(request, Phase(request.phase + 1))

    def enter_phase(self, request: SimulatedRequest, phase: Phase) -> None:
        """Start a phase of a request."""
        request.phase = phase
        self.phase_counts[phase] += 1
        self.last_sequence += 1
        due = self.nominal_work_s + self.duration(request, phase)
        heapq.heappush(self.running, (due, self.last_sequence, request))

    def duration(self, request: SimulatedRequest, phase: Phase) -> float:
        """Return the duration of a phase at nominal speed, in seconds."""
        if phase == Phase.IMPORT:
            return request.import_tokens / IMPORT_TOKENS_PER_S
        if phase == Phase.PREFILL:
            total = request.shared_tokens + request.prompt_tokens
            uncached = total - request.cached_tokens - request.import_tokens
            return uncached / self.speed.prefill_tokens_per_s
        return request.output_tokens / self.speed.decode_tokens_per_s

    # Requests

    def submit(self, request: SimulatedRequest) -> None:
        """Queue a request."""
        self.advance()
        self.last_sequence += 1
        request.arrived_at = clock.now()
        heapq.heappush(self.waiting, (request.priority, self.last_sequence, request))
        self.start_waiting()
        self.reschedule()

    def start_waiting(self) -> None:
        """Start waiting requests in order of priority while slots and memory suffice."""
        while self.waiting and len(self.running) < self.speed.slots:
            if not self.start(self.waiting[0][2]):
                return
            heapq.heappop(self.waiting)

    def start(self, request: SimulatedRequest) -> bool:
        """Start a request if its memory can be freed; return whether it started."""
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
        """Allocate the request's memory, including the session's cache entry.

        Returns the number of cached tokens that the request reuses.
        """
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
        """Pin the shared prefix, allocating it if needed; return its cached tokens."""
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
        """Complete a request, cache its prefix and unpin the shared prefix."""
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

    # Memory

    def evict_until_free(self, needed_tokens: int, protected: tuple[str, str]) -> bool:
        """Evict least recently used blocks until enough tokens are free.

        Returns False, without evicting any, when that is impossible.
        """
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

    def evict(self, key: str, max_tokens: int) -> int:
        """Free the last blocks of an unpinned entry; return the number of tokens freed.

        ``max_tokens`` is rounded up to whole blocks.
        """
        entry = self.entries[key]
        freed = min(entry.tokens, round_up_to_blocks(max_tokens))
        self.account_unused(entry, freed)
        entry.tokens -= freed
        self.used_tokens -= freed
        if entry.tokens == 0:
            del self.entries[key]
        self.record_event(key, entry.shared_prefix_tokens + entry.tokens if entry.tokens else 0)
        return freed

    def account_unused(self, entry: CacheEntry, tokens: int) -> None:
        """Count the token-seconds of cached tokens that were not reused."""
        held = tokens * self.memory.overlap_s(entry.accounted_until, clock.now())
        if entry.ended:
            self.memory.ended += held
        else:
            self.memory.unused += held

    def release(self, session: str) -> int:
        """Free the cache of a session; return the number of tokens freed."""
        entry = self.entries.get(session)
        if entry is None or entry.pins:
            return 0
        self.advance()
        freed = self.evict(session, entry.tokens)
        self.start_waiting()
        self.reschedule()
        return freed

    def mark_session_ended(self, session: str) -> None:
        """Count the memory of a session as held after its end; the cache is not changed."""
        entry = self.entries.get(session)
        if entry is not None and not entry.ended:
            self.account_unused(entry, entry.tokens)
            entry.ended = True
            entry.accounted_until = clock.now()

    def close(self) -> None:
        """Count the memory that is still held at the end of the experiment."""
        for entry in self.entries.values():
            self.account_unused(entry, entry.tokens)
            entry.accounted_until = clock.now()

    def record_event(self, key: str, tokens: int) -> None:
        """Record the new length of a cache entry."""
        self.events.append(CacheEvent(clock.now(), key, tokens))
