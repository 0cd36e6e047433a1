"""Interfaces that the administration API needs from the node, and its messages."""

import collections.abc
import typing

import msgspec

from dogwoodgap import differences, models, validation


class HistoryEntry(typing.Protocol):
    """Author, wall time in seconds and note of one generation."""

    generation: int
    author: str
    at: float
    note: str


class Configuration(typing.Protocol):
    """Access to the fleet configuration; see module ``configuration``."""

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
        """Store the next generation; raises ConfigurationConflictError if it is taken."""

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
    """Filters of a list of programs; empty filters match all programs.

    Attributes
    ----------
    after : str
        Cursor ``customer/id``; only programs after it are returned.
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
        """Return a program; raises UnknownProgramError if this node does not own it."""

    async def cancel(self, customer: str, program: str, reason: str) -> None:
        """End a program with status ``cancelled`` and release its engine cache."""


class NodeInfo(msgspec.Struct):
    """A node for operators, as this node knows it.

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
    """The nodes of the fleet."""

    @property
    def own_name(self) -> str:
        """The name of this node."""

    def list(self) -> list[NodeInfo]:
        """Return all known nodes."""

    async def drain(self, author: str) -> None:
        """Start a graceful stop of this node; ``author`` is the name of the key."""


class ProgramPage(msgspec.Struct):
    """Response to ``GET /admin/v1/programs``; ``next`` is empty on the last page."""

    programs: list[ProgramInfo]
    next: str = ""


class ChangeResult(msgspec.Struct):
    """Response to a change.

    Attributes
    ----------
    generation : int
        The generation after the change; the previous one if nothing was applied.
    applied : bool
        False for a dry run and for a change that changes nothing.
    token : str
        A new bearer token. Only its digest is stored, so that it cannot be read again.
    """

    generation: int
    applied: bool
    differences: list[differences.Difference]
    name: str = ""
    token: str = ""


class HistoryView(msgspec.Struct):
    """One generation in the response to ``GET /admin/v1/configuration/history``.

    Attributes
    ----------
    change : str
        Change id chosen by the operator's tool, which looks it up after a lost reply.
    """

    generation: int
    author: str
    at: float
    note: str
    change: str


class NodeGenerations(msgspec.Struct):
    """Response to ``GET /admin/v1/configuration/in-force``.

    Attributes
    ----------
    generation : int
        The generation in force on the node that answers.
    nodes : dict of str to int
        The generation in force on each live node; -1 if it did not answer.
    """

    generation: int
    nodes: dict[str, int]


class RollbackRequest(validation.StrictModel):
    """Body of ``POST /admin/v1/configuration/rollback``."""

    generation: int


class KeyRequest(validation.StrictModel):
    """Body of ``POST /admin/v1/keys/{name}``; the node generates the token."""

    role: typing.Literal["caller", "viewer", "operator", "administrator"] = "caller"
    customer: validation.Name | None = None
    services: list[validation.Name] = []
    customers: list[validation.Name] = []
    not_after: float = 0.0


class RotationRequest(validation.StrictModel):
    """Body of ``POST /admin/v1/keys/{name}/rotation``."""

    overlap_seconds: models.Seconds = 86_400.0
