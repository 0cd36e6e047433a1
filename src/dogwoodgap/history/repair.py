"""Repairs copies of turns: offers turns to the other storage VMs that should hold them.

Copies get lost with a disk or a VM, and gateways store turns on other VMs than their holders while
those do not respond. So all turns are offered to a VM when it starts or answers again, and to all
VMs when the set of VMs changes on which turns may be placed. Each VM is asked now and then whether
it is still there; besides that nothing is sent while nothing changes.
"""

import collections.abc
import itertools
import logging
import math

import anyio
import anyio.abc
import anyio.lowlevel

from dogwoodgap import background, clock, events, exceptions, peers, source
from dogwoodgap.history import log, placement, registry, repair_targets
from dogwoodgap_wire import ttypes

PROBE_INTERVAL_S = 5.0
"""Time after which a VM notices that another one has started again or answers again."""

PLAN_INTERVAL_S = 1.0
"""Changes within this time lead to one round of offers."""

MIN_VANISHED_S = 120.0
"""Least time without a reply after which the entry of a VM is deleted. Until then, no gateway says
that a turn does not exist."""

REQUEST_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 3.0
"""The largest turn takes 0.4 s at 100 Mbit/s."""

OFFERED_TURNS = 128
SENT_BYTES = 256_000
"""Bytes of the turns in one message, so that other messages do not wait long behind it."""

BYTES_PER_S = 1_000_000
"""Rate of a VM's repairs, less than a tenth of its bandwidth."""

OFFERED_BYTES_PER_TURN = 50
PLAN_BATCH = 200
"""Turns placed before other tasks may run; each takes about 15 microseconds."""


class Repairer:
    """Offers the turns of this storage VM to the others.

    Parameters
    ----------
    turn_log : log.TurnLog
        The turns of this VM.
    vm_registry : registry.Registry
        The list of storage VMs.
    network : peers.Network
        Connections to the other VMs.
    copies : int
        Copies of each turn, if there are as many VMs.
    is_complete : callable
        Returns whether this VM has all turns that it should have.
    stored_s : callable
        Returns the longest time in seconds for which turns are stored.
    """

    def __init__(
        self,
        turn_log: log.TurnLog,
        vm_registry: registry.Registry,
        network: peers.Network,
        copies: int,
        is_complete: collections.abc.Callable[[], bool],
        stored_s: collections.abc.Callable[[], float],
    ):
        self.turn_log = turn_log
        self.registry = vm_registry
        self.network = network
        self.copies = copies
        self.is_complete = is_complete
        self.stored_s = stored_s
        self.targets: dict[str, repair_targets.Target] = {}
        self.eligible: list[source.StorageVm] = []
        self.joined_at = -math.inf
        self.free_at = -math.inf
        self.sent_turns = 0

    async def run(self) -> None:
        """Repair until cancelled."""
        # After an error, the tasks of the earlier targets have ended with their task group.
        self.targets.clear()
        async with anyio.create_task_group() as tasks:
            while True:
                self.update_targets(tasks)
                self.update_eligible()
                await self.plan()
                await self.remove_vanished()
                await anyio.sleep(PLAN_INTERVAL_S)

    def update_targets(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start and stop the tasks of other VMs according to the list."""
        listed = {vm.node: vm for vm in self.registry.others}
        if self.targets and listed.keys() - self.targets.keys():
            self.joined_at = clock.now()
            # A VM that was replaced is then noticed before the next probe.
            for target in self.targets.values():
                target.wakeup.set()
        for node in self.targets.keys() - listed.keys():
            self.targets.pop(node).remove()
        for node, vm in listed.items():
            target = self.targets.get(node)
            if target is None:
                target = self.targets[node] = repair_targets.Target(vm)
                background.start_service(tasks, self.run_target, target)
            elif target.vm.boot != vm.boot:
                target.wakeup.set()
            target.vm = vm

    def update_eligible(self) -> None:
        """Offer all turns to all VMs when the VMs change on which turns may be placed."""
        now = clock.now()
        eligible = [
            vm
            for vm in self.registry.vms
            if not vm.leaving
            and (
                vm.node not in self.targets
                or not self.targets[vm.node].is_passed_over(now, self.joined_at)
            )
        ]
        if {vm.node for vm in eligible} != {vm.node for vm in self.eligible}:
            for target in self.targets.values():
                target.request_round()
            nodes = sorted(vm.node for vm in eligible)
            events.emit(
                events.Event.TURN_HOLDERS_CHANGED,
                "turns are placed on other storage VMs",
                nodes=nodes,
                passed_over=sorted({vm.node for vm in self.registry.vms} - set(nodes)),
            )
        self.eligible = eligible

    def holders(self, turn: str) -> list[source.StorageVm]:
        """Return the VMs that should hold a turn."""
        return placement.holders(turn, self.eligible)[: self.copies]

    async def plan(self) -> None:
        """Compute what is to be offered to the VMs whose round is due."""
        for target in self.targets.values():
            target.repeat_round(clock.now())
        due = {
            node: target
            for node, target in self.targets.items()
            if target.is_round_due and target.silent_since is None and target.boot
        }
        if not due:
            return
        for target in due.values():
            target.begin_round()
        for number, turn in enumerate(self.turns_in_order()):
            if number % PLAN_BATCH == PLAN_BATCH - 1:
                await anyio.lowlevel.checkpoint()
            for vm in self.holders(turn):
                if vm.node in due:
                    due[vm.node].pending[turn] = None
        for target in due.values():
            target.is_planned = True
            target.wakeup.set()

    def turns_in_order(self) -> list[str]:
        """Return all turns. Each VM begins elsewhere, so that few are sent by several VMs."""
        turns = [turn for turn, _ in self.turn_log.live()]
        nodes = sorted(vm.node for vm in self.registry.vms)
        local = self.registry.local.node
        begin = len(turns) * nodes.index(local) // len(nodes) if local in nodes else 0
        return turns[begin:] + turns[:begin]

    def add_substitute(self, turns: collections.abc.Iterable[str]) -> None:
        """Offer turns to their holders if a gateway stored them here instead of there."""
        for turn in turns:
            holders = [vm.node for vm in self.holders(turn)]
            if self.registry.local.node not in holders:
                for node in holders:
                    if node in self.targets:
                        self.targets[node].pending[turn] = None

    def short_turns(self) -> int:
        """Return the number of turns that are not known to have all of their copies."""
        return len(set(itertools.chain.from_iterable(t.pending for t in self.targets.values())))

    def is_elsewhere(self) -> bool:
        """Return whether the other VMs hold all copies of all turns of this one, which leaves."""
        if not self.turn_log.live():
            return True
        remaining = [vm for vm in self.registry.others if not vm.leaving]
        eligible = [vm.node for vm in self.eligible if vm.node in self.targets]
        if not eligible or len(eligible) < min(self.copies, len(remaining)):
            return False
        if any(vm.node == self.registry.local.node for vm in self.eligible):
            return False
        targets = [self.targets[node] for node in eligible]
        return all(target.is_offered_all and target.silent_since is None for target in targets)

    async def run_target(self, target: repair_targets.Target) -> None:
        """Ask another VM now and then whether it is there, and send what it lacks."""
        with anyio.CancelScope() as target.scope:
            while not target.is_removed:
                target.wakeup = anyio.Event()
                try:
                    await self.offer(target, [])
                    await self.drain(target)
                except exceptions.PeerError as error:
                    self.record_silence(target, error)
                with anyio.move_on_after(PROBE_INTERVAL_S):
                    await target.wakeup.wait()

    async def drain(self, target: repair_targets.Target) -> None:
        """Offer what is pending, and later again what the VM refuses; raises ``PeerError``."""
        was_offered_all = target.is_offered_all
        sent_before = target.sent_turns
        while target.pending:
            offered = list(itertools.islice(target.pending, OFFERED_TURNS))
            missing = await self.offer(target, offered)
            if missing is None:
                return
            for turn in offered:
                if turn not in missing:
                    target.pending.pop(turn, None)
            if missing and not await self.send(target, missing):
                return
        if target.sent_turns > sent_before:
            events.emit(
                events.Event.TURNS_REPAIRED,
                "sent missing copies of turns to another storage VM",
                node=target.vm.node,
                turns=target.sent_turns - sent_before,
            )
        if target.is_offered_all and not was_offered_all:
            await self.offer(target, [])

    async def offer(self, target: repair_targets.Target, turns: list[str]) -> list[str] | None:
        """Offer turns, or none, to a VM; return those that it lacks.

        Returns None if the VM has started again, so that its reply says nothing of earlier ones.
        Raises ``PeerError``.
        """
        live = {turn: expires for turn in turns if (expires := self.turn_log.expiry(turn))}
        await self.pace(len(live) * OFFERED_BYTES_PER_TURN)
        message = ttypes.TurnOffer(
            ids=list(live),
            expires_ms=list(live.values()),
            is_complete=self.is_complete(),
            offered_all_to=target.boot if target.is_offered_all else None,
        )
        boot = target.boot
        reply = await self.network.request(
            target.vm.address, message, ttypes.TurnOfferReply, timeout_s=REQUEST_TIMEOUT_S
        )
        if reply.sender.node != target.vm.node:
            raise exceptions.PeerUnreachableError(
                f"{target.vm.address} belongs to {reply.sender.node} now; wait for the new list"
            )
        self.record_reply(target, reply.sender.boot or "")
        if target.boot != boot:
            return None
        for turn in reply.message.missing or []:
            # Refused by the disk of that VM before, so that a gateway ended it with fewer copies.
            if turn not in live and self.turn_log.expiry(turn) is not None:
                target.pending.setdefault(turn)
        return [turn for turn in reply.message.missing or [] if turn in live]

    async def send(self, target: repair_targets.Target, turns: list[str]) -> bool:
        """Send turns to a VM; return whether all were stored or will be fetched again at once."""
        fetched = await self.turn_log.fetch(turns)
        for batch in batches(fetched.turns):
            await self.pace(sum(size(turn) for turn in batch))
            reply = await self.network.request(
                target.vm.address,
                ttypes.TurnStore(turns=batch),
                ttypes.TurnStoreReply,
                timeout_s=SEND_TIMEOUT_S,
            )
            if not reply.message.stored:
                return False
            self.sent_turns += len(batch)
            target.sent_turns += len(batch)
            for turn in batch:
                target.pending.pop(turn.id, None)
        for turn in fetched.unread:
            target.postpone(turn)
        return not fetched.unread

    async def pace(self, bytes_sent: int) -> None:
        """Wait until this VM may send, at ``BYTES_PER_S``."""
        now = clock.now()
        start_at = max(self.free_at, now)
        self.free_at = start_at + bytes_sent / BYTES_PER_S
        if start_at > now:
            await clock.sleep_until(start_at)

    def record_reply(self, target: repair_targets.Target, boot: str) -> None:
        """Record that a VM answers."""
        if target.silent_since is not None and target.boot:
            events.emit(
                events.Event.STORAGE_REACHED,
                "a storage VM answers again",
                node=target.vm.node,
                silent_s=round(target.silent_s(clock.now()), 3),
            )
        target.record_reply(boot, clock.now())

    def record_silence(self, target: repair_targets.Target, error: exceptions.PeerError) -> None:
        """Record that a VM does not answer; the first time in a row is logged."""
        if target.silent_since is None:
            events.emit(
                events.Event.STORAGE_UNREACHABLE,
                "a storage VM does not answer",
                level=logging.WARNING,
                node=target.vm.node,
                address=target.vm.address,
                detail=str(error),
            )
        target.record_silence(clock.now())

    async def remove_vanished(self) -> None:
        """Delete the entries of VMs that have not answered for a long time.

        The first of the VMs that reach each other does so. A VM that is only cut off from the
        others writes its entry again. Its turns have expired meanwhile or have copies elsewhere.
        """
        now = clock.now()
        limit_s = max(MIN_VANISHED_S, self.stored_s())
        reached = [node for node, target in self.targets.items() if target.silent_since is None]
        if not reached or self.registry.local.node > min(reached):
            return
        for node, target in list(self.targets.items()):
            if target.silent_s(now) < limit_s:
                continue
            try:
                await self.registry.remove_vanished(node)
            except exceptions.StoreError as error:
                self.registry.record_failure(error)
                return
            events.emit(
                events.Event.STORAGE_REMOVED,
                "deleted the entry of a storage VM that has vanished",
                level=logging.WARNING,
                node=node,
                silent_s=round(target.silent_s(now)),
            )


def size(turn: ttypes.TurnRecord) -> int:
    """Return the approximate bytes of a turn in a message."""
    ancestors = sum(len(ancestor) for ancestor in turn.ancestors)
    return len(turn.input) + len(turn.output) + ancestors + OFFERED_BYTES_PER_TURN


def batches(
    turns: collections.abc.Iterable[ttypes.TurnRecord],
) -> collections.abc.Iterator[list[ttypes.TurnRecord]]:
    """Yield turns in groups of up to ``SENT_BYTES``; a larger turn is alone."""
    batch: list[ttypes.TurnRecord] = []
    for turn in turns:
        if batch and sum(size(other) for other in batch) + size(turn) > SENT_BYTES:
            yield batch
            batch = []
        batch.append(turn)
    if batch:
        yield batch
