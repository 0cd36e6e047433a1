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
    shared: str = ""
    shared_tokens: int = 0
    import_tokens: int = 0
    cached_tokens: int = 0
    allocated: int = 0
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
    since: float
    pins: int = 0
    ended: bool = False
    base: int = 0


@dataclasses.dataclass(slots=True)
class MemoryTokenSeconds:
    """Token-seconds of engine memory by use, inside the window of the experiment."""

    window_start: float = 0.0
    window_end: float = float("inf")
    running: float = 0.0
    reused: float = 0.0
    unused: float = 0.0
    ended: float = 0.0

    def span(self, since: float, until: float) -> float:
        """Return the part of an interval that lies in the window, in seconds."""
        return max(0.0, min(until, self.window_end) - max(since, self.window_start))

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


def blocks(tokens: int) -> int:
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
        self.counts = [0, 0, 0]
        self.work_done = 0.0
        self.updated_at = 0.0
        self.arrivals = 0
        self.entries: collections.OrderedDict[str, CacheEntry] = collections.OrderedDict()
        self.used_tokens = 0
        self.events: list[CacheEvent] = []
        self.wake_at = float("inf")
        self.changed = anyio.Event()
        self.busy_s = 0.0
        self.prefill_computed = 0
        self.cached_served = 0
        self.prompt_tokens = 0

    # Progress of the batch.

    def rate(self) -> float:
        """Return the speed of every running request; 1 means nominal."""
        return 1.0 / (
            1.0
            + self.speed.decode_slowdown * self.counts[Phase.DECODE]
            + self.speed.prefill_slowdown * self.counts[Phase.PREFILL]
        )

    def advance(self) -> None:
        """Account the progress made since the last change."""
        now = clock.now()
        if self.running:
            self.work_done += (now - self.updated_at) * self.rate()
            self.busy_s += now - self.updated_at
        self.updated_at = now

    async def run(self) -> None:
        """Complete phases as their time comes."""
        while True:
            self.changed = anyio.Event()
            self.wake_at = self.next_at()
            with anyio.CancelScope(deadline=self.wake_at):
                await self.changed.wait()
            self.advance()
            self.complete_due()
            self.start_waiting()

    def next_at(self) -> float:
        """Return when the next phase ends if nothing changes."""
        if not self.running:
            return float("inf")
        remaining = max(0.0, self.running[0][0] - self.work_done)
        return self.updated_at + remaining / self.rate()

    def reschedule(self) -> None:
        """Wake the timer when a phase ends earlier than it expects."""
        if self.next_at() < self.wake_at:
            self.changed.set()

    def complete_due(self) -> None:
        """End every phase whose work is done."""
        while self.running and self.running[0][0] <= self.work_done + 1e-9:
            work = heapq.heappop(self.running)[2]
            self.counts[work.phase] -= 1
            if work.phase == Phase.DECODE:
                self.finish(work)
            else:
                self.enter(work, Phase(work.phase + 1))

    def enter(self, work: SimulatedRequest, phase: Phase) -> None:
        """Put a request into a phase."""
        work.phase = phase
        self.counts[phase] += 1
        self.arrivals += 1
        due = self.work_done + self.duration(work, phase)
        heapq.heappush(self.running, (due, self.arrivals, work))

    def duration(self, work: SimulatedRequest, phase: Phase) -> float:
        """Return the work of a phase in seconds at nominal speed."""
        if phase == Phase.IMPORT:
            return work.import_tokens / IMPORT_TOKENS_PER_S
        if phase == Phase.PREFILL:
            total = work.shared_tokens + work.prompt_tokens
            uncached = total - work.cached_tokens - work.import_tokens
            return uncached / self.speed.prefill_tokens_per_s
        return work.output_tokens / self.speed.decode_tokens_per_s

    # Requests.

    def submit(self, work: SimulatedRequest) -> None:
        """Queue a request."""
        self.advance()
        self.arrivals += 1
        work.arrived_at = clock.now()
        heapq.heappush(self.waiting, (work.priority, self.arrivals, work))
        self.start_waiting()
        self.reschedule()

    def start_waiting(self) -> None:
        """Start queued requests while a slot and memory are free."""
        while self.waiting and len(self.running) < self.speed.slots:
            if not self.start(self.waiting[0][2]):
                return
            heapq.heappop(self.waiting)

    def start(self, work: SimulatedRequest) -> bool:
        """Start a request if its memory fits."""
        own = self.entries.get(work.session)
        shared = self.entries.get(work.shared) if work.shared else None
        held = own.tokens if own else 0
        need = blocks(work.prompt_tokens + work.output_tokens) - held
        if work.shared and shared is None:
            need += blocks(work.shared_tokens)
        if not self.make_room(need, keep=(work.session, work.shared)):
            return False
        now = clock.now()
        cached_own = self.take_own(work, own, now)
        cached_shared = self.take_shared(work, shared, now)
        whole_chain = not work.shared or cached_shared > 0
        work.cached_tokens = cached_shared + (cached_own if whole_chain else 0)
        work.import_tokens = max(0, work.import_tokens - cached_own)
        work.started_at = now
        self.prefill_computed += (
            work.shared_tokens + work.prompt_tokens - work.cached_tokens - work.import_tokens
        )
        self.cached_served += work.cached_tokens
        self.prompt_tokens += work.shared_tokens + work.prompt_tokens
        self.enter(work, Phase.IMPORT if work.import_tokens else Phase.PREFILL)
        return True

    def take_own(self, work: SimulatedRequest, own: CacheEntry | None, now: float) -> int:
        """Move the session's cached tokens into the running request."""
        work.allocated = blocks(work.prompt_tokens + work.output_tokens)
        self.used_tokens += work.allocated
        if own is None:
            return 0
        del self.entries[work.session]
        self.used_tokens -= own.tokens
        reused = min(own.tokens, work.prompt_tokens)
        span = self.memory.span(own.since, now)
        self.memory.reused += reused * span
        self.memory.unused += (own.tokens - reused) * span
        return reused

    def take_shared(self, work: SimulatedRequest, shared: CacheEntry | None, now: float) -> int:
        """Pin the shared prefix."""
        if not work.shared:
            return 0
        if shared is None:
            entry = CacheEntry(blocks(work.shared_tokens), now, pins=1)
            self.entries[work.shared] = entry
            self.used_tokens += entry.tokens
            return 0
        span = self.memory.span(shared.since, now)
        if shared.pins == 0:
            self.memory.reused += shared.tokens * span
        else:
            self.memory.running += shared.tokens * span
        shared.since = now
        shared.pins += 1
        return min(shared.tokens, work.shared_tokens)

    def finish(self, work: SimulatedRequest) -> None:
        """End a request and keep its prefix in the cache."""
        now = clock.now()
        self.memory.running += work.allocated * self.memory.span(work.started_at, now)
        kept = blocks(work.prompt_tokens + work.output_tokens)
        self.entries[work.session] = CacheEntry(kept, now, base=work.shared_tokens)
        self.note(work.session, work.shared_tokens + kept)
        shared = self.entries.get(work.shared)
        if shared is not None:
            self.memory.running += shared.tokens * self.memory.span(shared.since, now)
            shared.since = now
            shared.pins -= 1
            self.entries.move_to_end(work.shared)
            self.note(work.shared, shared.tokens)
        work.done.set()

    # Memory.

    def make_room(self, need: int, keep: tuple[str, str]) -> bool:
        """Evict least recently used blocks until ``need`` tokens are free."""
        free = self.speed.memory_tokens - self.used_tokens
        if free >= need:
            return True
        idle = [key for key, entry in self.entries.items() if entry.pins == 0 and key not in keep]
        if free + sum(self.entries[key].tokens for key in idle) < need:
            return False
        for key in idle:
            if free >= need:
                break
            free += self.evict(key, need - free)
        return True

    def evict(self, key: str, wanted: int) -> int:
        """Free up to ``wanted`` tokens of an idle entry, last blocks first; return the number."""
        entry = self.entries[key]
        freed = min(entry.tokens, blocks(wanted))
        self.account_waste(entry, freed)
        entry.tokens -= freed
        self.used_tokens -= freed
        if entry.tokens == 0:
            del self.entries[key]
        self.note(key, entry.base + entry.tokens if entry.tokens else 0)
        return freed

    def account_waste(self, entry: CacheEntry, tokens: int) -> None:
        """Count tokens that were held and leave the cache without another use."""
        held = tokens * self.memory.span(entry.since, clock.now())
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

    def session_ended(self, session: str) -> None:
        """Learn that a program has gone; for the account only, the cache does not change."""
        entry = self.entries.get(session)
        if entry is not None and not entry.ended:
            self.account_waste(entry, entry.tokens)
            entry.ended = True
            entry.since = clock.now()

    def close(self) -> None:
        """Account what is still held at the end of the experiment."""
        for entry in self.entries.values():
            self.account_waste(entry, entry.tokens)
            entry.since = clock.now()

    def note(self, key: str, tokens: int) -> None:
        """Record a cache event."""
        self.events.append(CacheEvent(clock.now(), key, tokens))
