"""Fakes and a harness for tests of calls, actions and the callers' interface in virtual time."""

import contextlib
import dataclasses
import hashlib

import anyio

from dogwoodgap import (
    actions,
    adapters,
    app,
    calls,
    exceptions,
    forwarding,
    intents,
    lifecycle,
    models,
    objectstore,
    releases,
    scheduler,
    sessions,
    settings,
    shards,
    structures,
    views,
)
from dogwoodgap_lab import objects

KEY = "secret"


@dataclasses.dataclass
class ScriptedAnswer:
    """How the engine answers one request; it fails after ``break_after`` tokens."""

    break_after: int | None = None
    index_error: bool = False
    token_s: float = 0.02


class FakeEngine:
    """Answers with the tokens ``w0 w1 ...``; ``script`` sets how the next requests are answered."""

    def __init__(self):
        self.script = []
        self.requests = []
        self.open = 0
        self.released = []
        self.open_at_release = []
        self.release_failures = 0

    async def generate(self, runner, request):
        answer = self.script.pop(0) if self.script else ScriptedAnswer()
        self.requests.append((runner.id, request))
        self.open += 1
        try:
            for index in range(request.resume_from, request.max_tokens):
                await anyio.sleep(answer.token_s)
                if answer.break_after == index - request.resume_from:
                    raise exceptions.RunnerFailedError("stream broken")
                sent_index = index + 1 if answer.index_error else index
                yield [adapters.Chunk(sent_index, f"w{index} ")]
            total = request.max_tokens
            yield [adapters.Chunk(total, "", "stop", 4, 0, total)]
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.sleep(0.01)
            self.open -= 1

    async def cancel(self, runner, request_id):
        await anyio.lowlevel.checkpoint()

    async def release(self, runner, session):
        self.open_at_release.append(self.open)
        await anyio.lowlevel.checkpoint()
        if self.release_failures:
            self.release_failures -= 1
            raise exceptions.RunnerFailedError("release lost")
        self.released.append((runner.id, session))


class FakeService:
    """Records executed actions in a ledger; each attempt takes one of ``faults``."""

    def __init__(self):
        self.ledger = []
        self.faults = []
        self.delay_s = 0.05
        self.on_execute = None

    async def act(self, runner, path, payload, *, key, timeout_s, trace=""):
        fault = self.faults.pop(0) if self.faults else ""
        await anyio.lowlevel.checkpoint()
        if fault == "unreachable":
            raise exceptions.RunnerUnreachableError("refused")
        if fault == "hang":
            await anyio.sleep(timeout_s)
            raise exceptions.OutcomeUnknownError("timed out")
        self.ledger.append((key, path, payload))
        if self.on_execute is not None:
            self.on_execute()
        await anyio.sleep(self.delay_s)
        if fault == "lost reply":
            raise exceptions.OutcomeUnknownError("reply lost")
        status = 503 if fault == "503" else 200
        not_run = "unknown" if status == 503 else "false"
        return structures.ActionResult(status, {"number": len(self.ledger)}, not_run)

    async def outcome(self, runner, key):
        await anyio.lowlevel.checkpoint()
        executions = [entry for entry in self.ledger if entry[0] == key]
        return structures.ActionResult(200, {"found": key}, "false") if executions else None


def configuration(**profile):
    """Return a configuration with one model and one plain service of three runners each."""
    runners = [
        models.Runner(id=f"r{number}", address="http://runner", data_centre="a")
        for number in range(3)
    ]
    return models.FleetConfiguration(
        profiles={"default": models.Profile(**profile)},
        services={
            "llm": models.Service(kind="model", runners=runners),
            "plain": models.Service(kind="plain", runners=runners),
        },
        customers={"c": models.Customer()},
        keys={
            "k": models.Key(digest=hashlib.sha256(KEY.encode()).hexdigest(), customer="c"),
            "view": models.Key(
                digest=hashlib.sha256(b"viewer").hexdigest(), customer="c", role="viewer"
            ),
            "old": models.Key(
                digest=hashlib.sha256(b"old").hexdigest(), customer="c", not_after=1.0
            ),
        },
    )


class Harness:
    """Calls, actions and callers' interface of one node with a fake engine and service."""

    def __init__(self, tasks, store=None, boot="b1", name="n1", **profile):
        self.tasks = tasks
        self.config = configuration(**profile)
        self.store = store or objects.MemoryObjectStore()
        bucket = objectstore.RateBucket(1000.0, 8.0)
        self.session = sessions.Session(self.store, shards.Owner(name, boot), bucket)
        self.session.loaded |= set(range(shards.SHARD_COUNT))
        self.table = self.session.table
        self.journal = self.session.journal
        self.engine = FakeEngine()
        self.service = FakeService()
        self.runners = {
            service: [
                structures.RunnerView(service, f"r{number}", "http://runner", "a", 16, 1000)
                for number in range(3)
            ]
            for service in ("llm", "plain")
        }
        dispatchers = {"llm": scheduler.Dispatcher("llm", lambda: self.runners["llm"])}
        self.engine_cache = releases.Releases(self.engine, self.runners.__getitem__, tasks)
        self.ownership = forwarding.SingleNode(name, boot)
        self.addresses = {}
        self.calls = calls.Calls(
            self.session,
            self.engine,
            dispatchers,
            tasks,
            lambda: self.config,
            self.engine_cache,
        )
        self.lifecycle = lifecycle.Lifecycle(
            self.session,
            self.calls,
            self.engine_cache,
            lambda: self.config,
        )
        self.intents = intents.Intents(
            self.session,
            self.service,
            self.runners.__getitem__,
            lambda: self.config,
            tasks,
        )
        self.idempotent = actions.IdempotentActions(self.service, self.runners.__getitem__)
        self.actions = actions.Actions(
            self.session,
            self.calls,
            self.lifecycle,
            self.idempotent,
            self.send_to_key_owner,
            tasks,
        )
        self.lifecycle.has_running_action = self.actions.has_running_action
        tasks.start_soon(self.journal.run)

    def owns(self, shard):
        return self.ownership.owns(shard)

    async def send_to_key_owner(self, action, authorization):
        return await self.intents.run(action)

    async def program(self, name="p", parent=None, **fields):
        body = models.ProgramRequest(id=name, service="llm", parent=parent, **fields)
        return await self.lifecycle.create("c", body)

    def app(self, name="n1", peers=None):
        self.forwarder = forwarding.Forwarder(
            self.ownership, lambda node: self.addresses.get(node, ""), peers
        )
        node_settings = settings.NodeSettings.model_validate(
            {
                "node": {"name": name, "data_centre": "a", "max_body_bytes": 4096},
                "platform": {"url": "http://platform"},
            }
        )
        return app.build(
            app.Services(
                settings=node_settings,
                table=self.table,
                calls=self.calls,
                actions=self.actions,
                intents=self.intents,
                idempotent=self.idempotent,
                lifecycle=self.lifecycle,
                forwarder=self.forwarder,
                configuration=lambda: self.config,
                entries=lambda customer, program: [
                    views.EntryView(f"http://{host}") for host in self.addresses
                ],
                health=lambda: views.HealthView(name, True),
            )
        )


@contextlib.asynccontextmanager
async def harness(**options):
    """Run a :class:`Harness` until the block ends."""
    async with anyio.create_task_group() as tasks:
        yield Harness(tasks, **options)
        tasks.cancel_scope.cancel()


def request(seq=1, text="hello", max_tokens=5, **fields):
    """Return the request of a call."""
    messages = [models.Message(role="user", content=text)]
    return models.CallRequest(seq=seq, messages=messages, max_tokens=max_tokens, **fields)
