"""Data classes used inside a node."""

import dataclasses
import enum
import typing

import msgspec


class Text(msgspec.Struct, frozen=True):
    """One message of a conversation."""

    role: str
    content: str


class Turn(msgspec.Struct):
    """One finished model call of a program.

    Attributes
    ----------
    seq : int
        Position among the calls and actions of the program, from 1.
    prompt_tokens, cached_tokens, output_tokens : int
        Tokens of the whole prompt, of the part served from cache, and generated.
    """

    seq: int
    digest: str
    messages: list[Text]
    text: str
    prompt_tokens: int
    cached_tokens: int
    output_tokens: int
    finish_reason: str
    runner: str
    finished_at: float
    stored: bool = True


class ActionResult(msgspec.Struct):
    """What a plain service answered, or why it was never asked.

    Attributes
    ----------
    status : int
        HTTP status of the service; 0 when no answer is known.
    not_run : str
        ``"true"``, ``"false"`` or ``"unknown"``.
    """

    status: int
    body: typing.Any
    not_run: str
    code: str = ""
    detail: str = ""


class ProgramStatus(enum.StrEnum):
    """Life cycle of a program."""

    ACTIVE = "active"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    LIMITED = "limited"


@dataclasses.dataclass(slots=True)
class RunnerView:
    """What this node knows about a runner.

    Attributes
    ----------
    queued, running, cached_tokens : int
        From the last load report.
    reported_at : float
        Monotonic time of that report; negative when there is none.
    in_flight : int
        Requests that this node has sent and not seen finish.
    sent_since_report : int
        Requests sent by this node and its peers after the report was made.
    """

    service: str
    id: str
    address: str
    data_centre: str
    slots: int
    cache_tokens: int
    checks_fencing: bool = False
    queued: int = 0
    running: int = 0
    cached_tokens: int = 0
    reported_at: float = -1.0
    in_flight: int = 0
    sent_since_report: int = 0
    leaving: bool = False
    down: bool = False
    prefill_tokens_per_s: float = 8_000.0
    decode_tokens_per_s: float = 50.0
    finished_since_report: int = 0

    def load(self) -> int:
        """Return requests at the runner: its report, corrected by what is known since."""
        reported = self.queued + self.running + self.sent_since_report - self.finished_since_report
        return reported if reported > self.in_flight else self.in_flight


def runner_key(view: RunnerView) -> str:
    """Return the name of a runner that is unique over all services."""
    return f"{view.service}/{view.id}"


@dataclasses.dataclass(slots=True)
class WorkItem:
    """One model call as the scheduler sees it.

    Attributes
    ----------
    attained_tokens : int
        Service that the whole program tree has received so far.
    enqueued_at, deadline_at : float
        Monotonic time in seconds.
    prefix_runner : str
        Runner that holds the program's prefix; empty when none does.
    prefix_tokens : int
        Length of that prefix.
    started_at : float
        Wall time at which the program started; 0 when unknown.
    expected_output_tokens : int
        Learned by the scheduler; 0 means that ``max_tokens`` is used.
    exported_tokens : int
        Prefix that any runner can import; set by the scheduler.
    """

    program: str
    customer: str
    service: str
    profile: str
    prompt_tokens: int
    max_tokens: int
    attained_tokens: int
    enqueued_at: float
    deadline_at: float
    urgency: int = 0
    latency_weight: float = 1.0
    cache_weight: float = 1.0
    share_weight: float = 1.0
    prefix_runner: str = ""
    prefix_tokens: int = 0
    shared_prefix: str = ""
    digest: str = ""
    started_at: float = 0.0
    turns: int = 0
    expected_output_tokens: int = 0
    exported_tokens: int = 0
    exclude: set[str] = dataclasses.field(default_factory=set)


@dataclasses.dataclass(slots=True)
class Placement:
    """The scheduler's answer for one model call.

    Attributes
    ----------
    priority : int
        For the engine; lower runs first.
    import_tokens : int
        Exported tokens that the runner has to import before it starts.
    export_from : str
        Runner that holds the prefix and has to export it first; empty when none has to.
    """

    runner: RunnerView
    priority: int
    estimated_finish_s: float = 0.0
    import_tokens: int = 0
    export_from: str = ""
    item: WorkItem | None = None


class CacheAction(enum.StrEnum):
    """What happens to the prefix of a program while a tool runs, in order of memory held."""

    RETAIN = "retain"
    EXPORT = "export"
    RELEASE = "release"


@dataclasses.dataclass(frozen=True, slots=True)
class CacheOrder:
    """An order to an engine about the cache of one program.

    Attributes
    ----------
    session : str
        ``customer/program``, the session name that the engine knows.
    """

    action: CacheAction
    runner: str
    session: str
    tokens: int = 0
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Pause:
    """A program that waits for a tool, as the retention plug-in sees it.

    Attributes
    ----------
    tokens : int
        Length of the cached prefix.
    elapsed_s : float
        Seconds since the pause began.
    pressure : float
        Share of the runner's memory in use; 1 means full.
    """

    profile: str
    tool: str
    tokens: int
    elapsed_s: float
    pressure: float
    memory_tokens: int
    prefill_tokens_per_s: float
    latency_weight: float = 1.0
    cache_weight: float = 1.0
