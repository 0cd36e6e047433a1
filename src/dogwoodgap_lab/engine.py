"""A fake model engine with continuous batching, priorities and a prefix cache.

It runs in real time or, in tests, on virtual time.
"""

import collections
import collections.abc
import dataclasses
import heapq

import anyio
import xxhash

from dogwoodgap import adapters, clock, exceptions
from dogwoodgap_lab import faults as faults_module
from dogwoodgap_lab import prefix_cache

LOAD_SAMPLE_LIMIT = 256
REQUEST_LOG_LIMIT = 20_000


@dataclasses.dataclass(slots=True)
class EngineRequest:
    """A generation request; ``prompt`` holds one string per token.

    Attributes
    ----------
    resume_from : int
        Index of the first token to generate.
    shared_prefix : str
        Cache key of the prompt's first ``shared_tokens`` tokens, which other sessions may share.
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
    """One generated token.

    The last one has no text, but a finish reason and the token counts of the request.
    """

    index: int
    text: str
    finish_reason: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


@dataclasses.dataclass(slots=True)
class RequestEntry:
    """Entry of the request log, which checks read; ``at`` is wall time in seconds."""

    request_id: str
    session: str
    prompt_tokens: int
    at: float
    generated_tokens: int = 0


@dataclasses.dataclass(slots=True)
class Sequence:
    """State of a waiting or running request.

    The step loop appends to ``unsent_tokens`` and sets ``updated``.
    """

    request: EngineRequest
    seed: int
    next_index: int
    cached_tokens: int = 0
    prefill_done_at: float = 0.0
    unsent_tokens: list[EngineToken] = dataclasses.field(default_factory=list)
    updated: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    stop_reason: str = ""
    log_entry: RequestEntry | None = None

    def reserved_tokens(self) -> int:
        """Return the memory that the request needs at most, in tokens."""
        return len(self.request.prompt) + self.request.max_tokens


@dataclasses.dataclass(slots=True)
class LoadSample:
    """A load report, valid from ``at`` until the next sample."""

    at: float
    report: adapters.LoadReport


class Engine:
    """The model engine of one runner; generates only while :meth:`run` is running.

    Parameters
    ----------
    slots : int
        Maximum number of running requests.
    cache_tokens : int
        Memory for running requests and cached prefixes, in tokens.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Speed of each request, whatever the size of the batch.
    tokens_per_step : int
        Tokens per running request and step; the duration of a step is proportional to it.
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
        self.work_available = anyio.Event()
        self.crashed_until = -1.0
        self.load_samples: collections.deque[LoadSample] = collections.deque(
            maxlen=LOAD_SAMPLE_LIMIT
        )
        self.request_log: collections.deque[RequestEntry] = collections.deque(
            maxlen=REQUEST_LOG_LIMIT
        )

    async def run(self) -> None:
        """Generate tokens for all running requests, step by step."""
        while True:
            self.start_waiting()
            if not self.running:
                self.work_available = anyio.Event()
                await self.work_available.wait()
                continue
            await anyio.sleep(self.tokens_per_step / self.decode_tokens_per_s)
            self.step()

    def step(self) -> None:
        """Add tokens to each prefilled request and finish those that reach their maximum."""
        now = clock.now()
        for sequence_id, sequence in list(self.running.items()):
            if sequence.prefill_done_at > now:
                continue
            request = sequence.request
            end = min(sequence.next_index + self.tokens_per_step, request.max_tokens)
            for index in range(sequence.next_index, end):
                sequence.unsent_tokens.append(EngineToken(index, token_text(sequence.seed, index)))
            self.generated_tokens += end - sequence.next_index
            if sequence.log_entry is not None:
                sequence.log_entry.generated_tokens += end - sequence.next_index
            sequence.next_index = end
            if end == request.max_tokens:
                self.finish(sequence_id, sequence)
            sequence.updated.set()

    def finish(self, sequence_id: int, sequence: Sequence) -> None:
        """Complete a request and cache its prefix."""
        request = sequence.request
        del self.running[sequence_id]
        self.cache.unreserve(sequence.reserved_tokens())
        self.cache.store(request.session, len(request.prompt) + request.max_tokens)
        self.cache.store(request.shared_prefix, request.shared_tokens)
        sequence.unsent_tokens.append(
            EngineToken(
                request.max_tokens,
                "",
                "stop",
                prompt_tokens=len(request.prompt),
                cached_tokens=sequence.cached_tokens,
                output_tokens=request.max_tokens,
            )
        )
        sequence.stop_reason = "stop"
        self.record_load()

    def start_waiting(self) -> None:
        """Start waiting requests in order of priority while slots and memory suffice."""
        while self.waiting and len(self.running) < self.slots:
            needed_tokens = self.waiting[0][2].reserved_tokens()
            if self.running and not self.cache.fits(needed_tokens):
                return
            _, sequence_id, sequence = heapq.heappop(self.waiting)
            request = sequence.request
            shared_cached = min(self.cache.reuse(request.shared_prefix), request.shared_tokens)
            session_cached = min(self.cache.reuse(request.session), len(request.prompt))
            sequence.cached_tokens = max(shared_cached, session_cached)
            self.cache.claim(request.session)
            self.cache.reserve(needed_tokens)
            uncached = len(request.prompt) - sequence.cached_tokens + request.resume_from
            sequence.prefill_done_at = clock.now() + uncached / self.prefill_tokens_per_s
            self.running[sequence_id] = sequence
            self.record_load()

    async def stream(
        self, request: EngineRequest
    ) -> collections.abc.AsyncIterator[list[EngineToken]]:
        """Yield tokens in batches; the text depends only on the prompt and the index.

        Raises
        ------
        RunnerFailedError
            When the engine crashes during the request.
        RunnerUnreachableError
            When it has crashed and not restarted yet.
        """
        self.raise_if_crashed(request)
        self.arrivals += 1
        sequence_id = self.arrivals
        seed = xxhash.xxh3_64_intdigest("\0".join(request.prompt).encode())
        sequence = Sequence(request, seed, request.resume_from)
        sequence.log_entry = RequestEntry(
            request.request_id, request.session, len(request.prompt), clock.wall_time()
        )
        self.request_log.append(sequence.log_entry)
        heapq.heappush(self.waiting, (request.priority, sequence_id, sequence))
        self.record_load()
        self.work_available.set()
        try:
            while not (sequence.stop_reason and not sequence.unsent_tokens):
                if not sequence.unsent_tokens:
                    await sequence.updated.wait()
                sequence.updated = anyio.Event()
                batch, sequence.unsent_tokens = sequence.unsent_tokens, []
                if batch:
                    yield batch
            if sequence.stop_reason == "crashed":
                raise exceptions.RunnerFailedError("the engine crashed; repeat the call")
        finally:
            self.remove(sequence_id, sequence, "cancelled")

    async def generate(self, request: EngineRequest) -> collections.abc.AsyncIterator[EngineToken]:
        """Yield the tokens of :meth:`stream` one by one."""
        async for batch in self.stream(request):
            for token in batch:
                yield token

    def raise_if_crashed(self, request: EngineRequest) -> None:
        """Crash if the prompt contains the crash marker; raise until the restart."""
        if self.fault_injector.crashes_on(" ".join(request.prompt)):
            self.crash()
        if clock.now() < self.crashed_until:
            raise exceptions.RunnerUnreachableError("the engine has crashed; use another runner")

    def crash(self) -> None:
        """Drop all requests and the cache, and refuse requests until the restart."""
        self.crashed_until = clock.now() + self.fault_injector.faults.restart_s
        sequences = [*self.running.items(), *((item[1], item[2]) for item in self.waiting)]
        for sequence_id, sequence in sequences:
            self.remove(sequence_id, sequence, "crashed")
        self.cache.clear()
        self.fault_injector.on_crash()

    def remove(self, sequence_id: int, sequence: Sequence, reason: str) -> None:
        """Remove a request, free its memory and end its stream."""
        if self.running.pop(sequence_id, None) is not None:
            self.cache.unreserve(sequence.reserved_tokens())
        else:
            self.waiting = [item for item in self.waiting if item[1] != sequence_id]
            heapq.heapify(self.waiting)
        sequence.stop_reason = sequence.stop_reason or reason
        sequence.updated.set()
        self.work_available.set()
        self.record_load()

    def cancel(self, request_id: str) -> bool:
        """Stop a request; return whether it was found."""
        sequences = [*self.running.items(), *((item[1], item[2]) for item in self.waiting)]
        found = [item for item in sequences if item[1].request.request_id == request_id]
        for sequence_id, sequence in found:
            self.remove(sequence_id, sequence, "cancelled")
        return bool(found)

    def record_load(self) -> None:
        """Record the load; :meth:`load` reports it ``load_lag_s`` later."""
        report = adapters.LoadReport(
            queued=len(self.waiting),
            running=len(self.running),
            cached_tokens=self.cache.held_tokens(),
        )
        self.load_samples.append(LoadSample(clock.now(), report))

    def load(self) -> adapters.LoadReport:
        """Return the load of ``load_lag_s`` ago, with the current cache totals."""
        faults = self.fault_injector.faults
        report_time = clock.now() - faults.load_lag_s
        report = adapters.LoadReport()
        for sample in reversed(self.load_samples):
            if sample.at <= report_time:
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
        """Return the number of tokens in the prefix cache."""
        return self.cache.held_tokens()


def token_text(seed: int, index: int) -> str:
    """Return the text of the token at an index, which depends only on the arguments."""
    return f"w{(seed + index * 7919) % 997} "
