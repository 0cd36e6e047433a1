"""What the administration API needs of the other parts, and its documents."""

import collections.abc
import typing

import msgspec

from dogwoodgap import differences, models


class HistoryEntry(typing.Protocol):
    """One generation of the configuration."""

    generation: int
    author: str
    at: float
    note: str


class Configuration(typing.Protocol):
    """The fleet configuration; see module ``configuration``."""

    @property
    def current(self) -> models.FleetConfiguration:
        """The configuration in force on this node."""

    async def update(
        self,
        document: models.FleetConfiguration,
        expected_generation: int,
        author: str,
        note: str,
    ) -> models.FleetConfiguration:
        """Store the next generation, or raise ConfigurationConflictError."""

    async def history(self, limit: int) -> collections.abc.Sequence[HistoryEntry]:
        """Return the latest generations, newest first."""

    async def get(self, generation: int) -> models.FleetConfiguration:
        """Return a stored generation."""

    async def in_force(self) -> collections.abc.Mapping[str, int]:
        """Return the generation in force on each live node."""


class ProgramInfo(msgspec.Struct):
    """A program as operators see it; times are wall time in seconds."""

    customer: str
    id: str
    service: str
    profile: str
    status: str
    reason: str
    created_at: float
    touched_at: float
    ended_at: float
    deadline_at: float
    turns: int
    next_seq: int
    budget_tokens: int
    spent_tokens: int
    reserved_tokens: int
    parent: str
    children: list[str]


class ProgramQuery(msgspec.Struct, frozen=True):
    """Filters of a list of programs; empty ones match all.

    Attributes
    ----------
    after : str
        Cursor ``customer/id``; programs up to it are left out.
    """

    customer: str = ""
    status: str = ""
    service: str = ""
    after: str = ""
    limit: int = 100


class Programs(typing.Protocol):
    """The programs that this node owns."""

    def select(
        self,
        query: ProgramQuery,
        is_visible: collections.abc.Callable[[ProgramInfo], bool],
    ) -> list[ProgramInfo]:
        """Return at most ``limit`` matching programs in the order of their cursors."""

    def show(self, customer: str, program: str) -> ProgramInfo:
        """Return a program or raise UnknownProgramError."""

    async def cancel(self, customer: str, program: str, reason: str) -> None:
        """End a program as cancelled and release its engine memory."""


class NodeInfo(msgspec.Struct):
    """A node as operators see it.

    Attributes
    ----------
    state : str
        ``alive``, ``suspect``, ``dead`` or ``leaving``.
    """

    name: str
    boot: str
    data_centre: str
    state: str
    http_address: str
    generation: int


class Nodes(typing.Protocol):
    """The members of the fleet."""

    @property
    def own_name(self) -> str:
        """The name of this node."""

    def list(self) -> list[NodeInfo]:
        """Return all known nodes."""

    async def drain(self, author: str) -> None:
        """Begin the planned stop of this node."""


class ProgramPage(msgspec.Struct):
    """Answer to ``GET /admin/v1/programs``; ``next`` is empty on the last page."""

    programs: list[ProgramInfo]
    next: str = ""


class ChangeResult(msgspec.Struct):
    """Answer to a change.

    Attributes
    ----------
    generation : int
        The generation after the change; the old one when nothing was applied.
    applied : bool
        False for a dry run and for a change that changes nothing.
    token : str
        A new bearer token; it is shown here only and stored nowhere.
    """

    generation: int
    applied: bool
    differences: list[differences.Difference]
    name: str = ""
    token: str = ""


class HistoryView(msgspec.Struct):
    """One generation in the answer to ``GET /admin/v1/configuration/history``.

    Attributes
    ----------
    change : str
        The id that the author's tool gave to the change; settles lost replies.
    """

    generation: int
    author: str
    at: float
    note: str
    change: str


class NodeGenerations(msgspec.Struct):
    """Answer to ``GET /admin/v1/configuration/in-force``."""

    generation: int
    nodes: dict[str, int]


class RollbackRequest(models.StrictModel):
    """Body of ``POST /admin/v1/configuration/rollback``."""

    generation: int


class KeyRequest(models.StrictModel):
    """Body of ``POST /admin/v1/keys/{name}``; the token is made by the node."""

    role: typing.Literal["caller", "viewer", "operator", "administrator"] = "caller"
    customer: models.Name | None = None
    services: list[models.Name] = []
    customers: list[models.Name] = []
    not_after: float = 0.0


class RotationRequest(models.StrictModel):
    """Body of ``POST /admin/v1/keys/{name}/rotation``."""

    overlap_seconds: models.Seconds = 86_400.0
