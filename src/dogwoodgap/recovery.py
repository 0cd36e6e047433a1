"""Ownership of shards: claims, takeovers from dead nodes, and a new boot after a seal.

A successor seals the journal of a boot before it loads its shards. A node whose journal was sealed
while it was only paused drops its state and continues under a new boot id.
"""

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
    hashing,
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

RECONCILE_INTERVAL_S = 0.25
TAKEOVER_DELAY_S = 1.0
"""Delay between the takeover attempts of consecutive nodes in the rendezvous order. A takeover
takes a few platform calls; two concurrent attempts cause one conflict and no harm."""

MAX_TAKEOVER_RANK = 3


class Members(typing.Protocol):
    """Information about the other nodes that ownership depends on."""

    def live(self) -> list[shards.Owner]:
        """Return the live nodes that are not leaving, with their boots."""

    def is_dead(self, owner: shards.Owner) -> bool:
        """Return whether a boot is known to be dead.

        A wrong answer causes delay but no inconsistency, since a takeover seals the journal.
        """


def do_nothing(*_: object) -> None:
    """Serve as the default of optional hooks."""


@dataclasses.dataclass
class Hooks:
    """Callbacks to the rest of the node.

    Attributes
    ----------
    acquired, lost : callable
        Called with a set of shards after they were loaded, or when they are no longer served.
    boot_replaced : callable
        Called without arguments when a new boot has replaced a sealed one.
    busy : callable
        Returns whether work of a shard is running on this node.
    settle_intent : callable
        Queries the service for the outcome of an intent whose owner was lost; None if unknown.
    """

    acquired: collections.abc.Callable[[set[int]], None] = do_nothing
    lost: collections.abc.Callable[[set[int]], None] = do_nothing
    boot_replaced: collections.abc.Callable[[], None] = do_nothing
    busy: collections.abc.Callable[[int], bool] = lambda shard: False
    settle_intent: settlement.OutcomeQuery = settlement.no_outcome


class Ownership:
    """Acquires, serves and releases the shards of one node.

    Parameters
    ----------
    store : objectstore.ObjectStore
        The platform's object store.
    node : str
        Name of this node.
    bucket : objectstore.RateBucket
        The node's share of the platform's write rate.
    members : Members
        Liveness of the other nodes.
    hooks : Hooks, optional
        Callbacks to the rest of the node.
    retention_s : float
        Seconds for which ended programs are kept.

    Attributes
    ----------
    session : sessions.Session
        State of the current boot; replaced when a successor seals its journal.
    leaving : bool
        Whether this node is being drained; it then acquires no more shards.
    waiting_since : dict
        Monotonic time at which each dead boot (``node/boot``) was first seen to own shards; the
        key "" stands for shards without an owner.
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
        self.waiting_since: dict[str, float] = {}

    def new_session(self) -> sessions.Session:
        """Return a session with a new boot id."""
        owner = shards.Owner(self.node, uuid.uuid4().hex[:12])
        return sessions.Session(self.store, owner, self.bucket, self.retention_s)

    @property
    def local_owner(self) -> shards.Owner:
        """Return the identity under which this node owns shards: its name and current boot."""
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
        """Return the program table of the current boot."""
        return self.session.table

    def owns(self, shard: int) -> bool:
        """Return whether this node has loaded the shard and serves it."""
        return self.session.owns(shard)

    def accepts(self, shard: int) -> bool:
        """Return whether new work of the shard may start on this node."""
        return self.session.accepts(shard)

    def owner(self, shard: int) -> shards.Owner | None:
        """Return the cached owner of a shard."""
        return self.assignment.owner(shard)

    async def run(self) -> None:
        """Watch the assignment and serve shards until cancelled, with a new boot per seal."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.assignment.watch)
            while True:
                await self.run_session()
                self.start_new_boot()

    async def run_session(self) -> None:
        """Run one boot until its journal is sealed."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.session.journal.run)
            tasks.start_soon(self.session.checkpointer.run)
            tasks.start_soon(self.run_reconciliation, tasks)
            tasks.start_soon(handover.run_rebalancing, self)
            tasks.start_soon(cleanup.run_sweeps, self)
            await self.session.journal.sealed.wait()
            tasks.cancel_scope.cancel()

    def start_new_boot(self) -> None:
        """Drop all state after a seal and continue with a new boot."""
        lost = set(self.session.loaded)
        self.session = self.new_session()
        events.emit(
            events.Event.BOOT_STARTED,
            "journal sealed; continuing with a new boot",
            level=logging.WARNING,
            boot=self.boot,
            lost=len(lost),
        )
        self.hooks.lost(lost)
        self.hooks.boot_replaced()

    async def hand_over_all(self) -> None:
        """Move all shards to other nodes before a planned stop."""
        await handover.hand_over_all(self)

    async def run_reconciliation(self, tasks: anyio.abc.TaskGroup) -> None:
        """Reconcile on every change of the assignment and at a fixed interval."""
        while True:
            changed = self.assignment.changed
            try:
                await self.reconcile(tasks)
            except exceptions.StoreError as error:
                loading.log_load_failure("assignment", error)
            with anyio.move_on_after(RECONCILE_INTERVAL_S):
                await changed.wait()

    async def reconcile(self, tasks: anyio.abc.TaskGroup) -> None:
        """Claim, take over and load shards once, according to the assignment."""
        if not self.assignment.loaded:
            await self.assignment.load()
        if self.detect_lost_shards():
            return
        if not self.leaving:
            await self.claim_unowned()
            await self.take_over_dead()
        await self.load_pending(tasks)
        cleared = await self.clear_sources()
        if cleared:
            tasks.start_soon(cleanup.delete_sources, self, cleared)

    def detect_lost_shards(self) -> bool:
        """Return whether a successor took a loaded shard, and end the session if so."""
        current = self.assignment.current
        generations = self.session.table.generations
        lost = [
            shard
            for shard in self.session.loaded
            if current.owner(shard) != self.local_owner
            or current.shards[shard].generation != generations.get(shard)
        ]
        if lost:
            events.emit(
                events.Event.SHARDS_LOST, "shards taken over by a successor", count=len(lost)
            )
            self.session.journal.mark_sealed()
        return bool(lost)

    def live(self) -> set[shards.Owner]:
        """Return the live boots, including this node's current one."""
        others = {owner for owner in self.members.live() if owner.node != self.node}
        return others | {self.local_owner}

    def rank(self, name: str) -> int:
        """Return this node's position in the rendezvous order of the live nodes."""
        ordered = hashing.rendezvous_order(name, {owner.node for owner in self.live()})
        return ordered.index(self.node)

    def waited_s(self, name: str) -> float:
        """Return the seconds since ``name``, a key of ``waiting_since``, began to wait."""
        return clock.now() - self.waiting_since.setdefault(name, clock.now())

    async def claim_unowned(self) -> None:
        """Claim shards without an owner: first those that rank this node first, then all.

        After ``TAKEOVER_DELAY_S`` every node claims all of them, in case the first one does not.
        """
        unowned = [
            number
            for number, entry in enumerate(self.assignment.current.shards)
            if entry.owner is None
        ]
        if not unowned:
            self.waiting_since.pop("", None)
            return
        if self.waited_s("") < TAKEOVER_DELAY_S:
            unowned = [shard for shard in unowned if self.rank(f"shard/{shard}") == 0]
        if not unowned:
            return
        local_owner = self.local_owner

        def change(draft: shards.Assignment) -> bool:
            claimed = [shard for shard in unowned if draft.owner(shard) is None]
            for shard in claimed:
                draft.assign(shard, local_owner)
            return bool(claimed)

        await self.assignment.update(change)

    async def take_over_dead(self) -> None:
        """Take over the shards of dead boots.

        Nodes try in the rendezvous order of the live nodes; an earlier boot of this node is
        taken over at once.
        """
        dead = {owner for owner in self.assignment.current.owners() if self.is_dead(owner)}
        names = {str(owner) for owner in dead}
        for name in [name for name in self.waiting_since if name and name not in names]:
            del self.waiting_since[name]
        for owner in sorted(dead):
            rank = 0 if owner.node == self.node else min(self.rank(str(owner)), MAX_TAKEOVER_RANK)
            if self.waited_s(str(owner)) >= rank * TAKEOVER_DELAY_S:
                await self.take_over_from(owner)

    def is_dead(self, owner: shards.Owner) -> bool:
        """Return whether a boot is dead; earlier boots of this node always are."""
        if owner.node == self.node:
            return owner.boot != self.boot
        return self.members.is_dead(owner)

    def is_over(self, owner: shards.Owner) -> bool:
        """Return whether a boot is dead and no longer owns any shard."""
        return self.is_dead(owner) and owner not in self.assignment.current.owners()

    async def take_over_from(self, dead: shards.Owner) -> None:
        """Acquire all shards of a dead boot, with its journal as their newest source."""
        local_owner = self.local_owner

        def change(draft: shards.Assignment) -> bool:
            # The update waits while the store is unavailable, and a suspect may respond again.
            owned = draft.owned_by(dead) if self.is_dead(dead) else []
            for shard in owned:
                entry = draft.shards[shard]
                source = shards.Source("journal", str(dead), entry.generation)
                draft.assign(shard, local_owner, (*entry.sources, source))
            return bool(owned)

        events.emit(
            events.Event.TAKEOVER_STARTED, "taking over the shards of a dead node", dead=str(dead)
        )
        await self.assignment.update(change)

    async def load_pending(self, tasks: anyio.abc.TaskGroup) -> None:
        """Load the shards that are assigned to this boot but not loaded yet."""
        session = self.session
        current = self.assignment.current
        pending = {
            shard: current.shards[shard]
            for shard in current.owned_by(self.local_owner)
            if shard not in session.loaded and shard not in session.closing
        }
        if not pending:
            return
        loaded = await loading.load(self.store, pending, self.local_owner, clock.wall_time())
        if not loaded.parts:
            return
        await import_shards(session, pending, loaded).wait()
        loaded_shards = set(loaded.parts)
        open_intents = session.table.open_intents(loaded_shards)
        session.loaded |= loaded_shards
        if self.leaving:
            # The drain may have taken its last look at the loaded shards already.
            session.frozen |= loaded_shards
        events.emit(events.Event.SHARDS_ACQUIRED, "shards acquired", count=len(loaded_shards))
        if open_intents:
            tasks.start_soon(
                settlement.settle_intents, session, open_intents, self.hooks.settle_intent
            )
        self.hooks.acquired(loaded_shards)

    async def clear_sources(self) -> set[shards.Source]:
        """Remove the sources of loaded shards; return those that no shard refers to any more."""
        session = self.session
        local_owner = self.local_owner
        cleared: set[shards.Source] = set()

        def change(draft: shards.Assignment) -> bool:
            changed = False
            for shard in session.loaded:
                entry = draft.shards[shard]
                imported = session.table.generations.get(shard) == entry.generation
                if entry.owner == local_owner and entry.sources and imported:
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
    """Add loaded shards to the table and the journal; return a barrier after their records.

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
