"""Ownership of shards: claims, takeover of dead nodes' shards, and a new start after a seal."""

import collections.abc
import dataclasses
import logging
import typing
import uuid

import anyio

from dogwoodgap import (
    cleanup,
    clock,
    events,
    exceptions,
    handover,
    journal,
    loading,
    objectstore,
    programs,
    records,
    sessions,
    settlement,
    shards,
    snapshots,
    transfer,
)

TICK_S = 0.25
TAKEOVER_DELAY_S = 1.0
"""Head start of each node before the next one in the rendezvous order tries a takeover. A
takeover takes a few platform calls; a lost race costs one conflict and nothing else."""

MAX_TAKEOVER_RANK = 3


class Members(typing.Protocol):
    """What ownership needs to know of the other nodes."""

    def live(self) -> list[shards.Owner]:
        """Return the live nodes that do not leave, with their boots."""

    def is_dead(self, owner: shards.Owner) -> bool:
        """Return whether a boot is known to be gone; a wrong answer costs time, not safety."""


def ignore(*_: object) -> None:
    """Take no notice."""


@dataclasses.dataclass
class Hooks:
    """What the node does when ownership changes.

    Attributes
    ----------
    acquired, lost : callable
        Called with a set of shards after they were loaded, or are served no longer.
    renewed : callable
        Called without arguments when a new boot has replaced a sealed one.
    busy : callable
        Returns whether work of a shard is running here.
    settle_intent : callable
        Asks the service how an intent of a lost owner ended; None when it cannot say.
    """

    acquired: collections.abc.Callable[[set[int]], None] = ignore
    lost: collections.abc.Callable[[set[int]], None] = ignore
    renewed: collections.abc.Callable[[], None] = ignore
    busy: collections.abc.Callable[[int], bool] = lambda shard: False
    settle_intent: settlement.Ask = settlement.no_answer


class Ownership:
    """The shards of one node.

    Parameters
    ----------
    store : objectstore.ObjectStore
        The platform.
    node : str
        Name of this node.
    bucket : objectstore.RateBucket
        The node's share of the platform's write rate.
    members : Members
        Who is alive.
    hooks : Hooks, optional
        Notifications and questions to the rest of the node.
    """

    def __init__(
        self,
        store: objectstore.ObjectStore,
        node: str,
        bucket: objectstore.RateBucket,
        members: Members,
        hooks: Hooks | None = None,
        retention_s: float = snapshots.RETENTION_S,
    ):
        self.store = store
        self.node = node
        self.bucket = bucket
        self.members = members
        self.hooks = hooks or Hooks()
        self.retention_s = retention_s
        self.assignment = shards.AssignmentStore(store, bucket)
        self.session = self.new_session()
        self.leaving = False
        self.seen_at: dict[str, float] = {}

    def new_session(self) -> sessions.Session:
        """Return the session of a fresh boot."""
        owner = shards.Owner(self.node, uuid.uuid4().hex[:12])
        return sessions.Session(self.store, owner, self.bucket, self.retention_s)

    @property
    def me(self) -> shards.Owner:
        """Return this node and its current boot."""
        return self.session.owner

    @property
    def boot(self) -> str:
        """Return the current boot."""
        return self.session.owner.boot

    @property
    def journal(self) -> journal.Journal:
        """Return the journal of the current boot."""
        return self.session.journal

    @property
    def table(self) -> programs.ProgramTable:
        """Return the programs of the current boot."""
        return self.session.table

    def owns(self, shard: int) -> bool:
        """Return whether the shard is loaded and served here."""
        return self.session.owns(shard)

    def accepts(self, shard: int) -> bool:
        """Return whether new work of the shard may start here."""
        return self.session.accepts(shard)

    def owner(self, shard: int) -> shards.Owner | None:
        """Return the cached owner of a shard."""
        return self.assignment.owner(shard)

    async def run(self) -> None:
        """Keep the assignment current and own shards until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.assignment.watch)
            while True:
                await self.run_session()
                self.renew()

    async def run_session(self) -> None:
        """Run one boot until its journal is sealed."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.session.journal.run)
            tasks.start_soon(self.session.checkpointer.run)
            tasks.start_soon(self.reconcile_always, tasks)
            tasks.start_soon(handover.rebalance_always, self)
            tasks.start_soon(cleanup.sweep_always, self)
            await self.session.journal.sealed.wait()
            tasks.cancel_scope.cancel()

    def renew(self) -> None:
        """Drop all state after a seal and go on under a new boot."""
        lost = set(self.session.loaded)
        self.session = self.new_session()
        events.emit(
            events.Event.BOOT_STARTED,
            "new boot after a seal",
            level=logging.WARNING,
            boot=self.boot,
            lost=len(lost),
        )
        self.hooks.lost(lost)
        self.hooks.renewed()

    async def hand_over_all(self) -> None:
        """Give all shards to other nodes before a planned stop."""
        await handover.hand_over_all(self)

    async def reconcile_always(self, tasks: anyio.abc.TaskGroup) -> None:
        """Compare the assignment with what is loaded, on every change and every tick."""
        while True:
            changed = self.assignment.changed
            try:
                await self.reconcile(tasks)
            except exceptions.StoreError as error:
                loading.log_load_failure("assignment", error)
            with anyio.move_on_after(TICK_S):
                await changed.wait()

    async def reconcile(self, tasks: anyio.abc.TaskGroup) -> None:
        """Make one pass of claims, takeovers and loads."""
        if not self.assignment.loaded:
            await self.assignment.load()
        if self.check_lost():
            return
        if not self.leaving:
            await self.claim()
            await self.take_over()
        await self.load_pending(tasks)
        names = await self.clear_sources()
        if names:
            tasks.start_soon(cleanup.delete_sources, self, names)

    def check_lost(self) -> bool:
        """End the session when the assignment shows that a successor took a shard."""
        current = self.assignment.current
        generations = self.session.table.generations
        lost = [
            shard
            for shard in self.session.loaded
            if current.owner(shard) != self.me
            or current.shards[shard].generation != generations.get(shard)
        ]
        if lost:
            events.emit(events.Event.SHARDS_LOST, "shards lost to a successor", count=len(lost))
            self.session.journal.mark_sealed()
        return bool(lost)

    def live(self) -> set[shards.Owner]:
        """Return the live boots; of this node, only the current one."""
        others = {owner for owner in self.members.live() if owner.node != self.node}
        return others | {self.me}

    def rank(self, name: str) -> int:
        """Return this node's place in the rendezvous order of the live nodes."""
        ordered = shards.rendezvous(name, {owner.node for owner in self.live()})
        return ordered.index(self.node)

    def waited_s(self, name: str) -> float:
        """Return how long something has been waiting for an owner."""
        return clock.now() - self.seen_at.setdefault(name, clock.now())

    async def claim(self) -> None:
        """Claim ownerless shards: this node's part at once, others' after a delay."""
        free = [n for n, entry in enumerate(self.assignment.current.shards) if entry.owner is None]
        if not free:
            self.seen_at.pop("", None)
            return
        if self.waited_s("") < TAKEOVER_DELAY_S:
            free = [shard for shard in free if self.rank(f"shard/{shard}") == 0]
        if not free:
            return
        me = self.me

        def change(draft: shards.Assignment) -> bool:
            wanted = [shard for shard in free if draft.owner(shard) is None]
            for shard in wanted:
                draft.give(shard, me)
            return bool(wanted)

        await self.assignment.update(change)

    async def take_over(self) -> None:
        """Win the shards of dead boots, in the rendezvous order of the live nodes."""
        dead = {owner for owner in self.assignment.current.owners() if self.is_dead(owner)}
        names = {str(owner) for owner in dead}
        for name in [name for name in self.seen_at if name and name not in names]:
            del self.seen_at[name]
        for owner in sorted(dead):
            rank = 0 if owner.node == self.node else min(self.rank(str(owner)), MAX_TAKEOVER_RANK)
            if self.waited_s(str(owner)) >= rank * TAKEOVER_DELAY_S:
                await self.take_over_from(owner)

    def is_dead(self, owner: shards.Owner) -> bool:
        """Return whether a boot is gone; earlier boots of this node always are."""
        if owner.node == self.node:
            return owner.boot != self.boot
        return self.members.is_dead(owner)

    def is_over(self, owner: shards.Owner) -> bool:
        """Return whether a boot is gone and owns no shard any more."""
        return self.is_dead(owner) and owner not in self.assignment.current.owners()

    async def take_over_from(self, dead: shards.Owner) -> None:
        """Become the owner of all shards of a dead boot, with its journal as a source."""
        me = self.me

        def change(draft: shards.Assignment) -> bool:
            wanted = draft.owned_by(dead)
            for shard in wanted:
                entry = draft.shards[shard]
                source = shards.Source("journal", str(dead), entry.generation)
                draft.give(shard, me, (*entry.sources, source))
            return bool(wanted)

        events.emit(events.Event.TAKEOVER_STARTED, "takeover started", dead=str(dead))
        await self.assignment.update(change)

    async def load_pending(self, tasks: anyio.abc.TaskGroup) -> None:
        """Load the shards that the assignment gave to this boot."""
        session = self.session
        current = self.assignment.current
        pending = {
            shard: current.shards[shard]
            for shard in current.owned_by(self.me)
            if shard not in session.loaded and shard not in session.closing
        }
        if not pending:
            return
        loaded = await loading.load(self.store, pending, self.me, clock.wall())
        if not loaded.parts:
            return
        await import_shards(session, pending, loaded).wait()
        found = set(loaded.parts)
        open_intents = session.table.open_intents(found)
        session.loaded |= found
        events.emit(events.Event.SHARDS_ACQUIRED, "shards acquired", count=len(found))
        if open_intents:
            tasks.start_soon(settlement.settle, session, open_intents, self.hooks.settle_intent)
        self.hooks.acquired(found)

    async def clear_sources(self) -> set[shards.Source]:
        """Remove the sources of loaded shards and return them."""
        session = self.session
        me = self.me
        cleared: set[shards.Source] = set()

        def change(draft: shards.Assignment) -> bool:
            changed = False
            for shard in session.loaded:
                entry = draft.shards[shard]
                imported = session.table.generations.get(shard) == entry.generation
                if entry.owner == me and entry.sources and imported:
                    cleared.update(entry.sources)
                    draft.shards[shard] = dataclasses.replace(entry, sources=())
                    changed = True
            return changed

        if any(self.assignment.current.shards[shard].sources for shard in session.loaded):
            await self.assignment.update(change)
        return cleared - self.assignment.current.sources()


def import_shards(
    session: sessions.Session,
    pending: dict[int, shards.ShardEntry],
    loaded: loading.LoadedShards,
) -> journal.Commit:
    """Put loaded shards into the table and the journal and return the last commit.

    There is no await between the first and the last record, so a checkpoint covers all or none.
    """
    for suspect in loaded.suspects:
        session.table.apply(suspect)
        session.journal.stage(suspect)
    for shard, parts in loaded.parts.items():
        generation = pending[shard].generation
        transfer.import_shard(session.table, shard, generation, parts)
        for part in parts:
            session.journal.stage(records.Imported(shard=shard, state=part))
        session.journal.stage(records.ShardAcquired(shard=shard, generation=generation))
    return session.journal.barrier()
