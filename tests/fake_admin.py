"""In-memory fakes of the interfaces that the administration API needs."""

import dataclasses

from dogwoodgap import (
    admin,
    admin_fleet,
    admin_parts,
    demand,
    exceptions,
    keys,
    models,
    programs,
    records,
    structures,
)
from dogwoodgap_lab import objects

TOKENS = {
    "root": "administrator",
    "olga": "operator",
    "vera": "viewer",
    "calvin": "caller",
    "perch-admin": "administrator",
    "perch-operator": "operator",
}


@dataclasses.dataclass
class FakeHistoryEntry:
    generation: int
    author: str
    at: float
    note: str


class FakeConfiguration:
    """Generations in memory.

    ``current`` is ``generation_lag`` generations behind the newest one. Each call of ``in_force``
    decrements ``nodes_behind_calls``; until it is 0, node n2 reports the previous generation.
    """

    def __init__(self, document: models.FleetConfiguration, start: int = 1):
        self.start = start
        self.documents = [document.model_copy(update={"generation": start})]
        self.entries = [FakeHistoryEntry(start, "start", 0.0, "start")] if start else []
        self.generation_lag = 0
        self.nodes_behind_calls = 0

    @property
    def current(self):
        return self.documents[max(0, len(self.documents) - 1 - self.generation_lag)]

    async def update(self, document, expected_generation, author, note):
        if expected_generation != self.documents[-1].generation:
            raise exceptions.ConfigurationConflictError("secret names of other customers")
        applied = document.model_copy(update={"generation": expected_generation + 1})
        self.documents.append(applied)
        self.entries.append(FakeHistoryEntry(applied.generation, author, 0.0, note))
        return applied

    async def history(self, limit):
        return self.entries[::-1][:limit]

    async def get(self, generation):
        if not 0 <= generation - self.start < len(self.documents):
            raise exceptions.NotFoundError(f"generation {generation} does not exist")
        return self.documents[generation - self.start]

    async def in_force(self):
        current = self.documents[-1].generation
        self.nodes_behind_calls = max(0, self.nodes_behind_calls - 1)
        return {"n1": current, "n2": current - (1 if self.nodes_behind_calls else 0)}


class FakeNodes:
    own_name = "n1"

    def __init__(self):
        self.drained = []

    def list(self):
        return [admin_parts.NodeInfo("n1", "b1", "lakes-a", "alive", "node", 1)]

    async def drain(self, author):
        self.drained.append(author)


def make_key(name: str, **fields) -> models.Key:
    return models.Key(digest=keys.digest(name), role=TOKENS[name], **fields)


def example_configuration() -> models.FleetConfiguration:
    """Return a configuration with a key per role and limit; the token of a key is its name."""
    return models.FleetConfiguration(
        profiles={"default": {}, "quote": {"max_turns": 30}},
        services={
            "agent-llm": {
                "kind": "model",
                "runners": [{"id": "r1", "address": "http://r1", "data_centre": "lakes-a"}],
            },
            "crew-app": {"kind": "plain"},
        },
        customers={"perch": {"concurrency": 5}, "other": {"concurrency": 7}},
        keys={
            "root": make_key("root"),
            "olga": make_key("olga"),
            "vera": make_key("vera"),
            "calvin": make_key("calvin", customer="other"),
            "perch-admin": make_key("perch-admin", customers=["perch"]),
            "perch-operator": make_key("perch-operator", customers=["perch"]),
        },
    )


class FakeNode:
    """A node with the administration API and a real program table."""

    def __init__(
        self,
        document: models.FleetConfiguration | None = None,
        bootstrap: str = "",
        start: int = 1,
    ):
        self.configuration = FakeConfiguration(document or example_configuration(), start)
        self.nodes = FakeNodes()
        self.table = programs.ProgramTable()
        self.set_bootstrap(keys.digest(bootstrap) if bootstrap else "")

    def set_bootstrap(self, digest: str) -> None:
        self.administration = admin.Administration(
            self.configuration,
            admin_fleet.TablePrograms(lambda: self.table, self.end),
            self.nodes,
            demand.DemandReader(objects.MemoryObjectStore()),
            digest,
        )
        self.app = self.administration.build()

    def add_program(self, customer: str, name: str, service: str = "agent-llm") -> None:
        self.table.apply(
            records.ProgramCreated(
                customer=customer,
                program=name,
                service=service,
                profile="default",
                budget_tokens=100,
                created_at=0.0,
                deadline_at=1e9,
                parent="",
            )
        )

    async def end(self, program, status: structures.ProgramStatus, reason: str) -> None:
        self.table.apply(
            records.ProgramEnded(
                customer=program.customer,
                program=program.id,
                status=status.value,
                reason=reason,
                at=1.0,
            )
        )
