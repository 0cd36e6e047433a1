"""A model engine on the runtime's clock: continuous batching, priorities and a prefix cache."""

import collections
import collections.abc
import dataclasses
import heapq

import anyio
import xxhash

from dogwoodgap import adapters, clock, exceptions
from dogwoodgap_lab import faults as faults_module
from dogwoodgap_lab import prefix_cache

LOAD_HISTORY = 256
REQUEST_LOG_LIMIT = 20_000


@dataclasses.dataclass(slots=True)
class EngineRequest:
    """A request to the engine; ``prompt`` holds one string per token.

    Attributes
    ----------
    shared_prefix : str
        Key of the prompt's first ``shared_tokens`` tokens, which other sessions may share.
    """

    request_id: str
    prompt: list[str]
    max_tokens: int
    priority: int = 0
    session: str = ""
    resume_from: int = 0
    shared_prefix: str = ""
    shared_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineToken:
    """One generated token; the last one carries a finish reason and the usage."""

    index: int
    text: str
    finish_reason: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


@dataclasses.dataclass(slots=True)
class RequestEntry:
    """One accepted request, for the checks; ``at`` is wall time in seconds."""

    request_id: str
    session: str
    prompt_tokens: int
    at: float
    generated_tokens: int = 0


@dataclasses.dataclass(slots=True)
class Sequence:
    """A request inside the engine; the step loop fills ``ready``."""

    request: EngineRequest
    seed: int
    next_index: int
    cached: int = 0
    prefilled_at: float = 0.0
    ready: list[EngineToken] = dataclasses.field(default_factory=list)
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    stopped: str = ""
    entry: RequestEntry | None = None

    def reserved_tokens(self) -> int:
        """Return the cache space that the request may come to need."""
        return len(self.request.prompt) + self.request.max_tokens


@dataclasses.dataclass(slots=True)
class LoadSample:
    """The load from ``at`` until the next sample."""

    at: float
    report: adapters.LoadReport


class Engine:
    """One runner's model engine; :meth:`run` must be running for it to generate.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    cache_tokens : int
        Memory for running requests and cached prefixes, in tokens.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Speed of one request.
    tokens_per_step : int
        Tokens that each running request gets at a time; a step lasts accordingly longer.
    """

    def __init__(
        self,
        slots: int = 16,
        cache_tokens: int = 200_000,
        prefill_tokens_per_s: float = 8_000.0,
        decode_tokens_per_s: float = 50.0,
        tokens_per_step: int = 1,
        fault_injector: faults_module.FaultInjector | None = None,
    ):
        self.slots = slots
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.decode_tokens_per_s = decode_tokens_per_s
        self.tokens_per_step = tokens_per_step
        self.fault_injector = fault_injector or faults_module.FaultInjector()
        self.cache = prefix_cache.PrefixCache(cache_tokens, self.fault_injector)
        self.running: dict[int, Sequence] = {}
        self.waiting: list[tuple[int, int, Sequence]] = []
        self.arrivals = 0
        self.generated_tokens = 0
        self.work = anyio.Event()
        self.crashed_until = -1.0
        self.samples: collections.deque[LoadSample] = collections.deque(maxlen=LOAD_HISTORY)
        self.log: collections.deque[RequestEntry] = collections.deque(maxlen=REQUEST_LOG_LIMIT)

    async def run(self) -> None:
        """Generate tokens for all running requests, one step after the other."""
        while True:
            self.fill_slots()
            if not self.running:
                self.work = anyio.Event()
                await self.work.wait()
                continue
            await anyio.sleep(self.tokens_per_step / self.decode_tokens_per_s)
            self.step()

    def step(self) -> None:
        """Give each running request its next tokens and retire the finished ones."""
        now = clock.now()
        for number, sequence in list(self.running.items()):
            if sequence.prefilled_at > now:
                continue
            request = sequence.request
            end = min(sequence.next_index + self.tokens_per_step, request.max_tokens)
            for index in range(sequence.next_index, end):
                sequence.ready.append(EngineToken(index, token_text(sequence.seed, index)))
            self.generated_tokens += end - sequence.next_index
            if sequence.entry is not None:
                sequence.entry.generated_tokens += end - sequence.next_index
            sequence.next_index = end
            if end == request.max_tokens:
                self.finish(number, sequence)
            sequence.changed.set()

    def finish(self, number: int, sequence: Sequence) -> None:
        """Retire a request and keep its prefix."""
        request = sequence.request
        del self.running[number]
        self.cache.unreserve(sequence.reserved_tokens())
        self.cache.store(request.session, len(request.prompt) + request.max_tokens)
        self.cache.store(request.shared_prefix, request.shared_tokens)
        sequence.ready.append(
            EngineToken(
                request.max_tokens,
                "",
                "stop",
                prompt_tokens=len(request.prompt),
                cached_tokens=sequence.cached,
                output_tokens=request.max_tokens,
            )
        )
        sequence.stopped = "stop"
        self.note_load()

    def fill_slots(self) -> None:
        """Start waiting requests in order of priority while slots and memory last."""
        while self.waiting and len(self.running) < self.slots:
            needed = self.waiting[0][2].reserved_tokens()
            if self.running and not self.cache.fits(needed):
                return
            _, number, sequence = heapq.heappop(self.waiting)
            request = sequence.request
            shared = min(self.cache.use(request.shared_prefix), request.shared_tokens)
            own = min(self.cache.use(request.session), len(request.prompt))
            sequence.cached = max(shared, own)
            self.cache.take(request.session)
            self.cache.reserve(needed)
            uncached = len(request.prompt) - sequence.cached + request.resume_from
            sequence.prefilled_at = clock.now() + uncached / self.prefill_tokens_per_s
            self.running[number] = sequence
            self.note_load()

    async def stream(
        self, request: EngineRequest
    ) -> collections.abc.AsyncIterator[list[EngineToken]]:
        """Yield tokens in batches; the text depends only on the prompt and the index."""
        self.check_alive(request)
        self.arrivals += 1
        number = self.arrivals
        seed = xxhash.xxh3_64_intdigest("\0".join(request.prompt).encode())
        sequence = Sequence(request, seed, request.resume_from)
        sequence.entry = RequestEntry(
            request.request_id, request.session, len(request.prompt), clock.wall()
        )
        self.log.append(sequence.entry)
        heapq.heappush(self.waiting, (request.priority, number, sequence))
        self.note_load()
        self.work.set()
        try:
            while not (sequence.stopped and not sequence.ready):
                if not sequence.ready:
                    await sequence.changed.wait()
                sequence.changed = anyio.Event()
                batch, sequence.ready = sequence.ready, []
                if batch:
                    yield batch
            if sequence.stopped == "crashed":
                raise exceptions.RunnerFailedError("the engine crashed; repeat the call")
        finally:
            self.remove(number, sequence, "cancelled")

    async def generate(self, request: EngineRequest) -> collections.abc.AsyncIterator[EngineToken]:
        """Yield single tokens."""
        async for batch in self.stream(request):
            for token in batch:
                yield token

    def check_alive(self, request: EngineRequest) -> None:
        """Refuse while crashed; crash on the marker word."""
        if self.fault_injector.crashes_on(" ".join(request.prompt)):
            self.crash()
        if clock.now() < self.crashed_until:
            raise exceptions.RunnerUnreachableError("the engine has crashed; use another runner")

    def crash(self) -> None:
        """Lose everything and refuse all requests until the restart time."""
        self.crashed_until = clock.now() + self.fault_injector.faults.restart_s
        everything = [*self.running.items(), *((item[1], item[2]) for item in self.waiting)]
        for number, sequence in everything:
            self.remove(number, sequence, "crashed")
        self.cache.clear()
        self.fault_injector.on_crash()

    def remove(self, number: int, sequence: Sequence, reason: str) -> None:
        """Take an unfinished request out and free its memory."""
        if self.running.pop(number, None) is not None:
            self.cache.unreserve(sequence.reserved_tokens())
        else:
            self.waiting = [item for item in self.waiting if item[1] != number]
            heapq.heapify(self.waiting)
        sequence.stopped = sequence.stopped or reason
        sequence.changed.set()
        self.work.set()
        self.note_load()

    def cancel(self, request_id: str) -> bool:
        """Stop a request; return whether it was there."""
        everything = [*self.running.items(), *((item[1], item[2]) for item in self.waiting)]
        found = [item for item in everything if item[1].request.request_id == request_id]
        for number, sequence in found:
            self.remove(number, sequence, "cancelled")
        return bool(found)

    def note_load(self) -> None:
        """Remember the load, so that reports can lag."""
        report = adapters.LoadReport(
            queued=len(self.waiting),
            running=len(self.running),
            cached_tokens=self.cache.held_tokens(),
        )
        self.samples.append(LoadSample(clock.now(), report))

    def load(self) -> adapters.LoadReport:
        """Return the load as it was ``load_lag_s`` ago."""
        faults = self.fault_injector.faults
        seen_at = clock.now() - faults.load_lag_s
        report = adapters.LoadReport()
        for sample in reversed(self.samples):
            if sample.at <= seen_at:
                report = sample.report
                break
        return adapters.LoadReport(
            queued=report.queued,
            running=report.running,
            cached_tokens=report.cached_tokens,
            age_s=faults.load_lag_s,
            leaving=faults.leaving,
            held_token_s=self.cache.held_token_s,
            wasted_token_s=self.cache.wasted_token_s,
        )

    def release(self, session: str) -> None:
        """Free the cache of a session."""
        self.cache.release(session)

    def cached_tokens(self) -> int:
        """Return the tokens held in the cache."""
        return self.cache.held_tokens()


def token_text(seed: int, index: int) -> str:
    """Return the generated token at a position."""
    return f"w{(seed + index * 7919) % 997} "
