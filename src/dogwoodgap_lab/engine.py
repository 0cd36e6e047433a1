"""A model engine on the runtime's clock: batching, priorities and a prompt prefix cache."""

import collections
import collections.abc
import dataclasses

import anyio

from dogwoodgap import clock


@dataclasses.dataclass(slots=True)
class EngineRequest:
    """A request to the engine; ``prompt`` holds one string per token."""

    request_id: str
    prompt: list[str]
    max_tokens: int
    priority: int = 0
    session: str = ""
    resume_from: int = 0


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
class CacheEntry:
    """The cached prefix of a session."""

    tokens: int
    used_at: float


@dataclasses.dataclass
class Engine:
    """One runner's model engine.

    Parameters
    ----------
    slots : int
        Requests that run at once.
    cache_tokens : int
        Size of the prefix cache.
    prefill_tokens_per_s, decode_tokens_per_s : float
        Speed of one request.
    """

    slots: int = 16
    cache_tokens: int = 200_000
    prefill_tokens_per_s: float = 8_000.0
    decode_tokens_per_s: float = 50.0
    running: int = 0
    waiting: list[tuple[int, int, anyio.Event]] = dataclasses.field(default_factory=list)
    cache: "collections.OrderedDict[str, CacheEntry]" = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    arrivals: int = 0

    async def enter(self, priority: int) -> None:
        """Wait for a slot; lower priorities go first."""
        self.arrivals += 1
        if self.running >= self.slots:
            turn = (priority, self.arrivals, anyio.Event())
            self.waiting.append(turn)
            self.waiting.sort(key=lambda item: item[:2])
            try:
                await turn[2].wait()
            except BaseException:
                if turn in self.waiting:
                    self.waiting.remove(turn)
                else:
                    self.leave()
                raise
            return
        self.running += 1

    def leave(self) -> None:
        """Free a slot or hand it to the next request."""
        if self.waiting:
            self.waiting.pop(0)[2].set()
        else:
            self.running -= 1

    async def generate(self, request: EngineRequest) -> collections.abc.AsyncIterator[EngineToken]:
        """Stream tokens; the text depends only on the prompt and the index."""
        await self.enter(request.priority)
        try:
            cached = self.lookup(request)
            uncached = len(request.prompt) - cached
            await anyio.sleep(uncached / self.prefill_tokens_per_s)
            seed = sum(map(len, request.prompt)) + len(request.prompt)
            for index in range(request.resume_from, request.max_tokens):
                await anyio.sleep(1.0 / self.decode_tokens_per_s)
                yield EngineToken(index, f"w{(seed * 31 + index) % 997} ")
            self.remember(request)
            yield EngineToken(
                request.max_tokens,
                "",
                "stop",
                prompt_tokens=len(request.prompt),
                cached_tokens=cached,
                output_tokens=request.max_tokens,
            )
        finally:
            self.leave()

    def lookup(self, request: EngineRequest) -> int:
        """Return how many prompt tokens the cache holds."""
        entry = self.cache.get(request.session)
        return min(entry.tokens, len(request.prompt)) if entry else 0

    def remember(self, request: EngineRequest) -> None:
        """Cache the conversation of a session, evicting the least recently used."""
        if not request.session:
            return
        tokens = len(request.prompt) + request.max_tokens
        self.cache[request.session] = CacheEntry(tokens, clock.now())
        self.cache.move_to_end(request.session)
        while self.cached_tokens() > self.cache_tokens:
            self.cache.popitem(last=False)

    def cached_tokens(self) -> int:
        """Return the tokens held in the cache."""
        return sum(entry.tokens for entry in self.cache.values())

    def release(self, session: str) -> None:
        """Free the cache of a session."""
        self.cache.pop(session, None)
