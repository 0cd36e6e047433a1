"""Sends turns to storage VMs and fetches them, until a plan or a lookup is satisfied."""

import collections.abc
import dataclasses
import math

import anyio

from dogwoodgap import clock, events, exceptions, frames, peers, source
from dogwoodgap.history import copies, health, lookup, reporting, turns
from dogwoodgap_wire import ttypes

LATE_STORE_S = 0.15
"""Time after which the next VM gets a turn that one has not confirmed. A sync takes up to 5 ms, and
a round trip 3 ms."""

LATE_FETCH_S = 0.05
"""Time after which the next VM is asked for a turn."""

FEWER_COPIES_S = 0.5
"""Time after which fewer copies suffice when all VMs have been asked and some did not reply."""

STORE_TIMEOUT_S = 2.0
"""Time after which storing fails, and after which a VM that has not replied is passed over."""

FETCH_TIMEOUT_S = 1.0
"""Time after which reading fails, and after which a VM that has not replied is passed over."""

CHECK_TIMEOUT_S = 0.25
"""Time in which a VM replies to a check. Round trips take 3 ms, so this is due to a failure."""

SLOW_BYTES_PER_S = 500_000
"""Rate at which a gateway with 11 Mbit/s sends a turn to two VMs at a time; the times above are
prolonged by the size of a message at this rate."""

MAX_TURN_BYTES = frames.MAX_FRAME_BYTES - 512 * 1024
"""Largest input and output of one turn; the rest of a frame is left for the ids of its chain."""

MAX_MESSAGE_BYTES = frames.MAX_FRAME_BYTES // 2
"""Size above which the turns for one VM are sent in several messages; one turn may be larger."""


def transfer_s(size: int) -> float:
    """Return the time that the transfer of a message may take, in seconds."""
    return size / SLOW_BYTES_PER_S


@dataclasses.dataclass(slots=True, eq=False)
class Pending:
    """A message to a VM that has no reply yet; ``late_at`` is when the VM is replaced."""

    vm: source.StorageVm
    ids: list[str]
    late_at: float
    sent_at: float = dataclasses.field(default_factory=clock.now)


class Wakeup:
    """Wakes one waiting task when a reply has arrived."""

    def __init__(self) -> None:
        self.event = anyio.Event()

    def set(self) -> None:
        """Wake the task."""
        self.event.set()

    async def wait(self, until: float) -> None:
        """Wait for the next reply, but not longer than until a monotonic time."""
        with anyio.CancelScope(deadline=until):
            await self.event.wait()
        self.event = anyio.Event()


class Exchange:
    """Messages between one gateway and the storage VMs.

    Parameters
    ----------
    network : peers.Network
        Keeps connections to storage VMs open.
    vm_health : health.VmHealth
        What is known of the VMs.
    """

    def __init__(self, network: peers.Network, vm_health: health.VmHealth):
        self.network = network
        self.health = vm_health
        self.log = reporting.LimitedLog()

    def log_failure(self, vm: source.StorageVm, action: str, reason: object) -> None:
        """Log that a VM has not accepted a message."""
        self.log.emit(
            events.Event.STORAGE_VM_FAILED,
            "a storage VM did not accept a message on retained turns; another one is used",
            node=vm.node,
            address=vm.address,
            action=action,
            detail=str(reason),
        )

    async def fetch_once(
        self, vm: source.StorageVm, ids: list[str], timeout_s: float
    ) -> tuple[list[turns.Turn], bool] | None:
        """Ask one VM for turns; return them and whether it is complete, or None if it failed."""
        sent_at = clock.now()
        try:
            reply = await self.network.request(
                vm.address, ttypes.TurnFetch(ids=ids), ttypes.TurnFetchReply, timeout_s=timeout_s
            )
            check_node(vm, reply.sender)
            received = [turns.from_wire(record) for record in reply.message.turns or ()]
        except exceptions.PeerUnreachableError:
            self.health.record_silence(vm, sent_at, clock.now())
            return None
        except (exceptions.PeerError, ValueError) as error:
            self.log_failure(vm, "fetch", error)
            self.health.record_late(vm, clock.now())
            return None
        is_late = clock.now() - sent_at >= LATE_FETCH_S
        # A check does not need the disk, so it does not tell whether turns are stored in time.
        self.health.record_reply(vm, clock.now(), in_time=bool(ids) and not is_late)
        if ids and is_late:
            self.health.record_late(vm, clock.now())
        return received, bool(reply.message.is_complete)

    async def check(self, vm: source.StorageVm) -> None:
        """Check that a VM replies."""
        await self.fetch_once(vm, [], CHECK_TIMEOUT_S)

    async def fetch(
        self,
        search: lookup.Lookup,
        on_found: collections.abc.Callable[[turns.Turn], None] = lambda turn: None,
    ) -> None:
        """Ask VMs until all turns were found or no VM is left.

        Parameters
        ----------
        on_found : callable
            Called once with each turn; what it raises ends the search.
        """
        wakeup = Wakeup()
        pending: list[Pending] = []
        failure: Exception | None = None

        async def ask(request: Pending) -> None:
            nonlocal failure
            answer = await self.fetch_once(request.vm, request.ids, FETCH_TIMEOUT_S)
            pending.remove(request)
            if answer is not None:
                received, is_complete = answer
                new = search.record_reply(
                    request.vm, request.ids, received, is_complete=is_complete
                )
                try:
                    for turn in new:
                        on_found(turn)
                except Exception as error:  # raised outside the task group
                    failure = error
            wakeup.set()

        def is_open() -> bool:
            return bool(search.missing) and failure is None

        async with anyio.create_task_group() as tasks:
            while is_open() and (requests := search.next_round()):
                started = [Pending(vm, ids, clock.now() + LATE_FETCH_S) for vm, ids in requests]
                for request in started:
                    pending.append(request)
                    tasks.start_soon(ask, request)
                until = clock.now() + LATE_FETCH_S
                while is_open() and clock.now() < until:
                    if not any(request in pending for request in started):
                        break
                    await wakeup.wait(until)
                for request in started:
                    # Its reply may never be waited for, if another VM replies first.
                    if request in pending and clock.now() >= until:
                        self.health.record_late(request.vm, clock.now())
            until = clock.now() + FETCH_TIMEOUT_S
            while is_open() and clock.now() < until:
                # Those that were lost before have had their time in the last round.
                if not any(not self.health.is_lost(request.vm) for request in pending):
                    break
                await wakeup.wait(until)
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def store(
        self, plan: copies.CopyPlan, records: collections.abc.Mapping[str, turns.Turn]
    ) -> None:
        """Send turns to VMs until the plan is complete, or no more copies can be expected."""
        wakeup = Wakeup()
        pending: list[Pending] = []
        started_at = clock.now()
        total_s = transfer_s(sum(turn.text_bytes for turn in records.values()))

        async def send(request: Pending) -> None:
            is_stored = await self.store_once(request, records, STORE_TIMEOUT_S + total_s)
            if is_stored:
                plan.record_confirmation(request.vm, request.ids)
            else:
                plan.give_up(request.vm, request.ids)
            pending.remove(request)
            wakeup.set()

        async with anyio.create_task_group() as tasks:
            while not plan.is_complete:
                for vm, ids in plan.next_requests():
                    for part in split(ids, records):
                        request = Pending(vm, part, clock.now() + LATE_STORE_S + total_s)
                        pending.append(request)
                        tasks.start_soon(send, request)
                if not pending:
                    break
                give_up_at = started_at + STORE_TIMEOUT_S + total_s
                if plan.is_exhausted and plan.is_safe:
                    give_up_at = started_at + FEWER_COPIES_S + total_s
                if clock.now() >= give_up_at:
                    self.record_silence(pending, started_at)
                    break
                await wakeup.wait(min([give_up_at, *(request.late_at for request in pending)]))
                self.replace_late(plan, pending)
            tasks.cancel_scope.cancel()

    def record_silence(self, pending: list[Pending], started_at: float) -> None:
        """Pass over the VMs that were asked at the begin and have not replied at all."""
        now = clock.now()
        for request in pending:
            if request.sent_at < started_at + LATE_STORE_S:
                self.health.record_silence(request.vm, request.sent_at, now)

    def replace_late(self, plan: copies.CopyPlan, pending: list[Pending]) -> None:
        """Let the next VMs replace those that are late."""
        now = clock.now()
        for request in pending:
            if now >= request.late_at:
                request.late_at = math.inf
                plan.give_up(request.vm, request.ids)
                self.health.record_late(request.vm, now)
                # A check tells soon whether only its disk is slow; without one, turns would wait
                # again and again for VMs behind a partition.
                self.health.record_silence(request.vm, request.sent_at, now)

    async def store_once(
        self,
        request: Pending,
        records: collections.abc.Mapping[str, turns.Turn],
        timeout_s: float,
    ) -> bool:
        """Send turns to one VM; return whether it has them on its disk."""
        sent_at = clock.now()
        message = ttypes.TurnStore(turns=[turns.to_wire(records[name]) for name in request.ids])
        vm = request.vm
        try:
            reply = await self.network.request(
                vm.address, message, ttypes.TurnStoreReply, timeout_s=timeout_s
            )
            check_node(vm, reply.sender)
        except exceptions.PeerUnreachableError:
            self.health.record_silence(vm, sent_at, clock.now())
            return False
        except exceptions.PeerError as error:
            self.log_failure(vm, "store", error)
            self.health.record_late(vm, clock.now())
            return False
        is_stored = bool(reply.message.stored)
        self.health.record_reply(
            vm, clock.now(), in_time=is_stored and clock.now() < request.late_at
        )
        if not is_stored:
            self.log_failure(vm, "store", reply.message.reason or "no reason given")
            self.health.record_late(vm, clock.now())
        return is_stored


def split(
    ids: collections.abc.Iterable[str], records: collections.abc.Mapping[str, turns.Turn]
) -> list[list[str]]:
    """Divide turns into messages that fit into a frame."""
    parts: list[list[str]] = []
    size = 0
    for turn_id in ids:
        added = records[turn_id].memory_bytes
        if not parts or size + added > MAX_MESSAGE_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(turn_id)
        size += added
    return parts


def check_node(vm: source.StorageVm, sender: ttypes.Member) -> None:
    """Raise :class:`exceptions.PeerError` if another node has the address of a VM.

    Its reply would count as that of the VM: a copy that does not exist, or a turn that it lacks.
    """
    if sender.node != vm.node:
        raise exceptions.PeerError(
            f"node {sender.node} has the address {vm.address} of storage VM {vm.node}; "
            "wait until the VM has registered its new address"
        )
