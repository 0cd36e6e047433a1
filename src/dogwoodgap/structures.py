"""Data classes shared by the modules of a node."""

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
        Tokens in the whole prompt, in its part that was served from the cache, and in the output.
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
    """Response of a plain service, or the reason why the request was not sent.

    Attributes
    ----------
    status : int
        HTTP status of the response; 0 when there is none.
    not_run : str
        Whether the action is known not to have run: ``"true"``, ``"false"`` or ``"unknown"``.
    """

    status: int
    body: typing.Any
    not_run: str
    code: str = ""
    detail: str = ""


class ProgramStatus(enum.StrEnum):
    """Life-cycle state of a program."""

    ACTIVE = "active"
    FINISHED = "finished"
    CANCELLED = "cancelled"
    LIMITED = "limited"


@dataclasses.dataclass(slots=True)
class RunnerView:
    """State of a runner as this node knows it.

    Attributes
    ----------
    queued, running, cached_tokens : int
        Values of the last load report.
    reported_at : float
        Monotonic time of that report; negative when there is none.
    in_flight : int
        Requests that this node has sent and that have not finished.
    sent_since_report : int
        Requests that this node and its peers sent after the report was made.
    finished_since_report : int
        Requests that finished after the report was made.
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
        """Return the estimated number of requests at the runner.

        This is the reported number, corrected by what was sent and finished since, and at least
        the number that this node has in flight.
        """
        reported = self.queued + self.running + self.sent_since_report - self.finished_since_report
        return reported if reported > self.in_flight else self.in_flight


def runner_key(view: RunnerView) -> str:
    """Return a name of a runner that is unique across all services."""
    return f"{view.service}/{view.id}"


@dataclasses.dataclass(slots=True)
class WorkItem:
    """One model call to be scheduled.

    Attributes
    ----------
    attained_tokens : int
        Service attained so far by the whole program tree, in tokens.
    enqueued_at, deadline_at : float
        Monotonic time in seconds.
    prefix_runner : str
        Runner that has the program's prefix in its cache; empty when none does.
    prefix_tokens : int
        Length of that prefix.
    started_at : float
        Wall time at which the program started; 0 when unknown.
    expected_output_tokens : int
        Estimate of the scheduler; 0 means that ``max_tokens`` is used.
    exported_tokens : int
        Length of the exported prefix, which any runner can import; set by the scheduler.
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
    """The scheduler's decision for one model call.

    Attributes
    ----------
    priority : int
        Priority passed to the engine; lower values run first.
    import_tokens : int
        Exported tokens that the runner must import before it starts.
    export_from : str
        Runner that must export the cached prefix first; empty when none must.
    """

    runner: RunnerView
    priority: int
    estimated_finish_s: float = 0.0
    import_tokens: int = 0
    export_from: str = ""
    item: WorkItem | None = None


class CacheAction(enum.StrEnum):
    """Treatment of a program's cached prefix while a tool runs, from most to least memory held."""

    RETAIN = "retain"
    EXPORT = "export"
    RELEASE = "release"


@dataclasses.dataclass(frozen=True, slots=True)
class CacheOrder:
    """Instruction to an engine about the cached prefix of one program.

    Attributes
    ----------
    session : str
        ``customer/program``, the engine's name for the session.
    """

    action: CacheAction
    runner: str
    session: str
    tokens: int = 0
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Pause:
    """A program waiting for a tool; input of the retention plug-in.

    Attributes
    ----------
    tokens : int
        Length of the cached prefix.
    elapsed_s : float
        Seconds since the program began to wait.
    pressure : float
        Fraction of the runner's cache memory in use; 1 means full.
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
