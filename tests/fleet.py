"""Several nodes over one object table, with callers and an oracle of acknowledgements."""

import collections
import contextlib
import dataclasses
import random
import uuid

import anyio
import trio
import trio.testing
import virtual_time

from dogwoodgap import clock, exceptions, objectstore, records, recovery, shards, structures
from dogwoodgap_lab import objects

PROGRAMS = [f"p{number}{child}" for number in range(4) for child in ("", ".1")]
BUDGET_TOKENS = {"p0": 300, "p1": 2_000, "p2": 100_000, "p3": 100_000}
RESERVED_TOKENS = 50
DETECTION_S = 2.0


def run(main, seed=0):
    """Run a coroutine function on virtual time, with the same schedule for the same seed."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(seed)
    source = random.Random(seed)
    real, uuid.uuid4 = uuid.uuid4, lambda: uuid.UUID(int=source.getrandbits(128), version=4)
    try:
        virtual_time.run(main)
    finally:
        uuid.uuid4 = real


class Gate:
    """Holds the tasks of a paused node."""

    def __init__(self):
        self.opened = anyio.Event()
        self.opened.set()
        self.paused_at = None

    def pause(self):
        if self.paused_at is None:
            self.paused_at = clock.now()
            self.opened = anyio.Event()

    def wake(self):
        self.paused_at = None
        self.opened.set()

    async def pass_through(self):
        while self.paused_at is not None:
            await self.opened.wait()


class GatedStore:
    """The platform as a node sees it: while the node is paused, nothing is sent or received."""

    def __init__(self, table, gate):
        self.table = table
        self.gate = gate

    def __getattr__(self, name):
        async def call(*args, **options):
            await self.gate.pass_through()
            try:
                return await getattr(self.table, name)(*args, **options)
            finally:
                await self.gate.pass_through()

        return call


class FleetNode:
    """One node's process; ``ownership`` is replaced when it is restarted."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.suspected = False
        self.up = False

    def start(self):
        self.gate = Gate()
        self.up = True
        self.busy = collections.Counter()
        self.ownership = recovery.Ownership(
            GatedStore(self.fleet.table, self.gate),
            self.name,
            objectstore.RateBucket(200.0, 8.0),
            self.fleet,
            recovery.Hooks(busy=lambda shard: self.busy[shard] > 0),
        )
        self.fleet.tasks.start_soon(self.run)

    async def run(self):
        with anyio.CancelScope() as self.scope:
            async with anyio.create_task_group() as self.tasks:
                await self.ownership.run()

    def crash(self):
        if self.up:
            self.up = False
            self.scope.cancel()

    def unresponsive(self):
        paused_at = self.gate.paused_at
        return paused_at is not None and clock.now() - paused_at > DETECTION_S

    def believed_live(self):
        return self.up and not self.suspected and not self.unresponsive()


@dataclasses.dataclass
class Oracle:
    """What callers were told; none of it may be lost or contradicted."""

    turns: dict = dataclasses.field(default_factory=dict)
    outcomes: dict = dataclasses.field(default_factory=dict)
    sent: collections.Counter = dataclasses.field(default_factory=collections.Counter)

    def acknowledge(self, program, turn):
        known = self.turns.setdefault((program, turn.seq), turn.digest)
        assert known == turn.digest, f"two nodes acknowledged seq {turn.seq} of {program}"

    def send(self, key):
        self.sent[key] += 1
        assert self.sent[key] == 1, f"key {key} was sent twice"


class Fleet:
    """The nodes, their members view, and their callers."""

    def __init__(self, tasks, size=3, seed=0):
        self.tasks = tasks
        self.table = objects.MemoryObjectStore(seed)
        self.table.faults.delay_s = 0.002
        self.oracle = Oracle()
        self.attempts = 0
        self.healed = False
        self.nodes = [FleetNode(self, f"n{number}") for number in range(size)]
        for node in self.nodes:
            node.start()

    def live(self):
        return [
            node.ownership.local_owner
            for node in self.nodes
            if node.believed_live() and not node.ownership.leaving
        ]

    def is_dead(self, owner):
        return all(
            node.ownership.local_owner != owner or not node.believed_live() for node in self.nodes
        )

    async def traffic(self, seed):
        """Make calls and actions until the fleet is healed."""
        source = random.Random(seed)
        while not self.healed:
            await anyio.sleep(source.choice([0.002, 0.05, 0.2]))
            hold_s = source.choice([0.0, 0.001, 0.05, 1.0])
            if source.random() < 0.3:
                self.act(f"k{source.randrange(10_000)}", hold_s)
            else:
                self.call(source.choice(PROGRAMS), hold_s)

    def start_work(self, shard, work, *args):
        """Run a request on every node that believes it owns the shard."""
        for node in self.nodes:
            if node.up and node.ownership.accepts(shard):
                node.busy[shard] += 1
                node.tasks.start_soon(self.attempt, node, shard, work, *args)

    async def attempt(self, node, shard, work, *args):
        busy = node.busy
        try:
            with contextlib.suppress(exceptions.DogwoodgapError):
                await work(node, node.ownership.session, *args)
        finally:
            busy[shard] -= 1

    def call(self, program, hold_s):
        shard = shards.program_shard("c", program)
        self.start_work(shard, self.run_call, program, hold_s)

    async def run_call(self, node, session, program, hold_s):
        """Create the program if needed and run its next call; the session is that of the start."""
        await self.create(node, session, shards.root_of(program), "")
        if "." in program:
            await self.create(node, session, program, shards.root_of(program))
        found = session.table.get("c", program)
        if found.open_calls():
            return
        self.attempts += 1
        seq, digest = found.next_seq, f"{program}/{self.attempts}"
        session.record(records.CallStarted("c", program, seq, digest, RESERVED_TOKENS, 0.0))
        await self.hold(node, hold_s)
        turn = structures.Turn(
            seq=seq,
            digest=digest,
            messages=[structures.Text("user", program)],
            text=program,
            prompt_tokens=found.context_tokens() + 10,
            cached_tokens=0,
            output_tokens=10,
            finish_reason="stop",
            runner="r",
            finished_at=clock.wall_time(),
        )
        commit = session.record(records.CallFinished("c", program, turn))
        await self.acknowledged(node, commit)
        self.oracle.acknowledge(program, turn)

    async def create(self, node, session, program, parent):
        if session.table.find("c", program) is None:
            record = records.ProgramCreated(
                "c", program, "s", "p", BUDGET_TOKENS[program[:2]], clock.wall_time(), 1e12, parent
            )
            await self.acknowledged(node, session.record(record))

    def act(self, key, hold_s):
        self.start_work(shards.key_shard("c", key), self.run_action, key, hold_s)

    async def run_action(self, node, session, key, hold_s):
        """Send a non-idempotent request whose key is not known yet."""
        if session.table.key("c", key) is not None:
            return
        intent = records.ActionIntent("c", key, key, "t", "s", "/", clock.wall_time())
        await self.acknowledged(node, session.record(intent))
        self.oracle.send(key)
        await self.hold(node, hold_s)
        result = structures.ActionResult(200, key, "false")
        outcome = records.ActionOutcome("c", key, key, result, clock.wall_time())
        await self.acknowledged(node, session.record(outcome))
        self.oracle.outcomes[key] = result

    async def acknowledged(self, node, commit):
        await commit.wait()
        await node.gate.pass_through()

    async def hold(self, node, seconds):
        await anyio.sleep(seconds)
        await node.gate.pass_through()

    def check_budgets(self):
        for node in self.nodes:
            for program in node.ownership.table.programs.values():
                used = program.spent_tokens + program.reserved_tokens
                assert used <= program.budget_tokens, f"budget of {program.id} exceeded"

    async def heal(self):
        """Remove all faults and wait until the fleet is at rest."""
        self.healed = True
        delay_s = self.table.faults.delay_s
        self.table.faults = objects.StoreFaults(delay_s=delay_s)
        for node in self.nodes:
            node.suspected = False
            node.gate.wake()
            if not node.up or node.ownership.leaving:
                node.crash()
                node.start()
        await anyio.sleep(60.0)

    def owner_of(self, shard):
        owners = [node for node in self.nodes if node.up and node.ownership.owns(shard)]
        assert len(owners) == 1, f"shard {shard} has {len(owners)} owners"
        return owners[0].ownership

    def check(self):
        """Compare the state at the present owners with the oracle."""
        self.check_budgets()
        for (program, seq), digest in self.oracle.turns.items():
            table = self.owner_of(shards.program_shard("c", program)).table
            turns = [turn for turn in table.get("c", program).turns() if turn.seq == seq]
            assert [turn.digest for turn in turns] == [digest], f"turn {seq} of {program} lost"
            assert turns[0].text == program
        for key, result in self.oracle.outcomes.items():
            entry = self.owner_of(shards.key_shard("c", key)).table.key("c", key)
            assert entry is not None, f"outcome of key {key} lost"
            assert entry.result == result
        for shard in range(shards.SHARD_COUNT):
            self.check_settled(self.owner_of(shard).table)

    def check_settled(self, table):
        """Nothing runs any more, so nothing may be reserved or undecided."""
        for program in table.programs.values():
            assert program.reserved_tokens == 0, f"{program.id} keeps a reservation"
            assert not program.open_calls(), f"{program.id} keeps an open call"
        for entry in table.keys.values():
            assert entry.result is not None, f"key {entry.key} is not settled"
