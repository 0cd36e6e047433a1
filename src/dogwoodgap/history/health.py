"""Which storage VMs a gateway prefers, passes over, or has to check first; no I/O.

Handles storage VMs that are killed, slow or cut off, at a few turns per second and gateway.
"""

import collections.abc
import dataclasses
import math

from dogwoodgap import source

CONTACT_S = 3.0
"""Time after a reply for which a VM is taken to be in contact without a check."""

LATE_S = 2.0
"""Time for which a VM that was late or refused a turn comes behind the others, at first."""

MAX_LATE_S = 10.0
"""Longest such time: it doubles each time, since a stalled disk delays one turn for each."""

CHECK_INTERVAL_S = 0.5
"""Interval between the checks of a VM that did not respond."""

MAX_CHECK_INTERVAL_S = 5.0
"""Longest interval; it doubles while a VM does not respond."""


@dataclasses.dataclass(slots=True)
class VmState:
    """What this gateway knows of one run of a storage VM.

    Attributes
    ----------
    replied_at : float
        Monotonic time of its last reply.
    is_lost : bool
        Whether it did not respond at all; it is passed over until a check succeeds.
    check_at : float
        Monotonic time from which it may be checked again.
    checks : int
        Checks in a row without a reply.
    late_until : float
        Monotonic time until which it comes behind the others.
    late_s : float
        How long it came behind the others the last time; 0 after a reply in time.
    """

    replied_at: float = -math.inf
    is_lost: bool = False
    check_at: float = -math.inf
    checks: int = 0
    late_until: float = -math.inf
    late_s: float = 0.0


Run = tuple[str, str, str]
"""Name, address and boot of a storage VM; another run starts without a record."""


def run_of(vm: source.StorageVm) -> Run:
    """Return the run of a VM, which stays the same until it restarts or moves."""
    return vm.node, vm.address, vm.boot


class VmHealth:
    """State of all storage VMs as seen from this gateway."""

    def __init__(self) -> None:
        self.states: dict[Run, VmState] = {}

    def state(self, vm: source.StorageVm) -> VmState:
        """Return the state of a VM."""
        return self.states.setdefault(run_of(vm), VmState())

    def retain(self, vms: collections.abc.Iterable[source.StorageVm]) -> None:
        """Forget all VMs except the given ones."""
        runs = {run_of(vm) for vm in vms}
        self.states = {run: state for run, state in self.states.items() if run in runs}

    def record_reply(self, vm: source.StorageVm, now: float, *, in_time: bool = True) -> None:
        """Record a reply; a late one proves contact only."""
        state = self.state(vm)
        state.replied_at = now
        state.is_lost = False
        state.checks = 0
        if in_time:
            state.late_s = 0.0
            state.late_until = -math.inf

    def record_late(self, vm: source.StorageVm, now: float) -> None:
        """Record that a VM did not reply in time, or refused to store a turn."""
        state = self.state(vm)
        if now < state.late_until:
            return
        state.late_s = min(MAX_LATE_S, state.late_s * 2 or LATE_S)
        state.late_until = now + state.late_s

    def record_silence(self, vm: source.StorageVm, sent_at: float, now: float) -> None:
        """Record that a request to a VM got no reply at all, nor any later one."""
        state = self.state(vm)
        if state.replied_at > sent_at:
            self.record_late(vm, now)
            return
        state.is_lost = True
        state.check_at = max(state.check_at, now)

    def is_lost(self, vm: source.StorageVm) -> bool:
        """Return whether a VM is passed over."""
        return self.state(vm).is_lost

    def is_in_contact(self, vm: source.StorageVm, now: float) -> bool:
        """Return whether a VM has replied recently and not failed since."""
        state = self.state(vm)
        return not state.is_lost and now - state.replied_at < CONTACT_S

    def begin_check(self, vm: source.StorageVm, now: float) -> bool:
        """Return whether a VM is to be checked now; the next check has to wait."""
        state = self.state(vm)
        if now < state.check_at:
            return False
        interval_s = min(MAX_CHECK_INTERVAL_S, CHECK_INTERVAL_S * 2.0**state.checks)
        state.check_at = now + interval_s
        state.checks += 1
        return True

    def order(
        self, vms: collections.abc.Iterable[source.StorageVm], now: float
    ) -> list[source.StorageVm]:
        """Return VMs in the same order, but late ones behind the others, and lost ones last."""

        def penalty(vm: source.StorageVm) -> int:
            state = self.state(vm)
            if state.is_lost:
                return 2
            return 1 if now < state.late_until else 0

        return sorted(vms, key=penalty)
