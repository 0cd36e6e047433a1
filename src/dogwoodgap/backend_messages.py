"""Messages exchanged with backend servers: model engines and plain services."""

import msgspec


class Delta(msgspec.Struct):
    """Text added by an engine's chunk."""

    content: str = ""


class Choice(msgspec.Struct):
    """The answer in an engine's chunk; only the last chunk has a finish reason."""

    delta: Delta
    finish_reason: str | None = None


class PromptDetails(msgspec.Struct):
    """How many prompt tokens came from the engine's cache."""

    cached_tokens: int = 0


class Usage(msgspec.Struct):
    """Token counts of a finished answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: PromptDetails = msgspec.field(default_factory=PromptDetails)


class EngineChunk(msgspec.Struct):
    """One event of an engine's stream; ``index`` counts output tokens from 0."""

    id: str
    choices: list[Choice] = []
    index: int = 0
    usage: Usage | None = None


class LoadReport(msgspec.Struct):
    """Load that a runner reports, measured ``age_s`` seconds ago.

    Attributes
    ----------
    held_token_s, wasted_token_s : float
        Token-seconds of cache held since the engine's start, and the part that was held for ended
        programs or never reused; 0 from engines that do not report them.
    """

    queued: int = 0
    running: int = 0
    cached_tokens: int = 0
    age_s: float = 0.0
    leaving: bool = False
    held_token_s: float = 0.0
    wasted_token_s: float = 0.0


class CacheEvent(msgspec.Struct, frozen=True):
    """A change of an engine's cache; a gap in ``seq`` means that events were lost."""

    seq: int
    kind: str
    session: str
    tokens: int


class CacheEventPage(msgspec.Struct, frozen=True):
    """Cache events after a sequence number; the next page starts after ``cursor``."""

    events: list[CacheEvent] = []
    cursor: int = 0


class CachedSession(msgspec.Struct, frozen=True):
    """A prefix in the list of everything that an engine has cached."""

    session: str
    tokens: int


class KvBlock(msgspec.Struct, frozen=True):
    """An exported prefix."""

    session: str
    tokens: int
    data: bytes = b""


class EngineOrder(msgspec.Struct, frozen=True):
    """An order to a model engine.

    Attributes
    ----------
    kind : str
        ``load_model``, ``load_adapter``, ``set_version`` or ``set_role``.
    """

    fencing: int
    kind: str
    value: str


class EngineState(msgspec.Struct):
    """What an engine has loaded, and the highest fencing number that it has accepted."""

    model: str = ""
    adapters: list[str] = []
    version: str = ""
    role: str = ""
    fencing: int = 0
