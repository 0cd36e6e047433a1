"""An in-memory object store with versions, watches and fault injection."""

import collections
import dataclasses
import random

import anyio
import sortedcontainers

from dogwoodgap import clock, exceptions, objectstore


@dataclasses.dataclass
class StoreFaults:
    """Injected faults of the store; all off by default.

    Attributes
    ----------
    outage : bool
        Whether all calls fail.
    delay_s : float
        Delay of each call.
    lost_replies : float
        Share of writes that take effect and whose reply is lost.
    writes_per_s, reads_per_s : float
        Rates above which calls are refused; 0 means no limit. A watch counts as one read.
    vms_lag_s : float
        Age of the list of VMs.
    """

    outage: bool = False
    delay_s: float = 0.0
    lost_replies: float = 0.0
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0
    vms_lag_s: float = 0.0


CHANGE_LIMIT = 10_000


@dataclasses.dataclass
class TokenBucket:
    """A token bucket that holds up to one second of tokens and starts full."""

    tokens: float = 0.0
    updated_at: float = -1.0

    def take(self, rate_per_s: float) -> bool:
        """Take a token; return whether there was one."""
        now = clock.now()
        refill = (now - self.updated_at) * rate_per_s if self.updated_at >= 0.0 else rate_per_s
        self.updated_at = now
        self.tokens = min(rate_per_s, self.tokens + refill)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


@dataclasses.dataclass(frozen=True, slots=True)
class VmListSample:
    """The list of VMs, valid from ``at`` until the next sample."""

    at: float
    vms: list[objectstore.Vm]


class MemoryObjectStore:
    """An object store in memory, which implements ``objectstore.ObjectStore``.

    Parameters
    ----------
    change_limit : int
        Number of changes kept for watches.
    """

    def __init__(self, seed: int = 0, change_limit: int = CHANGE_LIMIT):
        self.objects: sortedcontainers.SortedDict[str, objectstore.StoredObject] = (
            sortedcontainers.SortedDict()
        )
        self.faults = StoreFaults()
        self.random = random.Random(seed)
        self.version = 0
        self.changes: collections.deque[objectstore.Change] = collections.deque()
        self.change_limit = change_limit
        self.compacted_version = 0
        self.changed = anyio.Event()
        self.current_vms: list[objectstore.Vm] = []
        self.vm_samples: list[VmListSample] = []
        self.calls: dict[str, int] = {"read": 0, "write": 0, "watch": 0, "refused": 0}
        self.read_limit = TokenBucket()
        self.write_limit = TokenBucket()

    async def begin_call(self, kind: str) -> None:
        """Count a call and apply the rate limit, delay and outage.

        Raises
        ------
        StoreBusyError
            When the rate limit is exceeded.
        StoreUnavailableError
            During an outage.
        """
        self.calls[kind] += 1
        rate = self.faults.writes_per_s if kind == "write" else self.faults.reads_per_s
        limit = self.write_limit if kind == "write" else self.read_limit
        if rate and not limit.take(rate):
            self.calls["refused"] += 1
            raise exceptions.StoreBusyError(f"more than {rate:g} calls/s; slow down")
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        if self.faults.outage:
            raise exceptions.StoreUnavailableError("outage injected; disable the outage fault")

    def maybe_lose_reply(self) -> None:
        """Raise at the rate of ``lost_replies``, after a write has taken effect."""
        if self.random.random() < self.faults.lost_replies:
            raise exceptions.StoreUnavailableError(
                "reply lost after the write; read the object to learn its state"
            )

    async def get(self, key: str) -> objectstore.StoredObject:
        """Return an object."""
        await self.begin_call("read")
        if key not in self.objects:
            raise exceptions.ObjectMissingError(f"object {key} does not exist; create it first")
        return self.objects[key]

    async def put(self, key: str, data: bytes, *, expected: int | None = None) -> int:
        """Write an object if its version is the expected one; return the new version."""
        await self.begin_call("write")
        current = self.objects[key].version if key in self.objects else objectstore.ABSENT
        if expected is not None and expected != current:
            raise exceptions.VersionConflictError(f"object {key} has version {current}")
        self.version += 1
        self.objects[key] = objectstore.StoredObject(key, self.version, data)
        self.record_change(objectstore.Change(key, self.version))
        version = self.version
        self.maybe_lose_reply()
        return version

    async def delete(self, key: str, *, expected: int | None = None) -> None:
        """Delete an object if its version is the expected one."""
        await self.begin_call("write")
        current = self.objects[key].version if key in self.objects else objectstore.ABSENT
        if expected is not None and expected != current:
            raise exceptions.VersionConflictError(f"object {key} has version {current}")
        if self.objects.pop(key, None) is not None:
            self.version += 1
            self.record_change(objectstore.Change(key, self.version, deleted=True))
        self.maybe_lose_reply()

    def record_change(self, change: objectstore.Change) -> None:
        """Record a change and wake the watches."""
        self.changes.append(change)
        if len(self.changes) > self.change_limit:
            self.compacted_version = self.changes.popleft().version
        self.changed.set()
        self.changed = anyio.Event()

    async def list_page(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> objectstore.ObjectPage:
        """Return one page of the objects whose keys start with a prefix."""
        await self.begin_call("read")
        found: list[objectstore.ObjectInfo] = []
        for key in self.objects.irange(minimum=max(prefix, after)):
            if not key.startswith(prefix):
                break
            if key == after:
                continue
            if len(found) == limit:
                return objectstore.ObjectPage(found, found[-1].key)
            found.append(objectstore.ObjectInfo(key, self.objects[key].version))
        return objectstore.ObjectPage(found)

    async def watch(self, prefix: str, *, since: int, timeout_s: float) -> objectstore.ChangePage:
        """Wait for changes of keys with a prefix; a negative ``since`` returns the cursor at once.

        Raises
        ------
        WatchExpiredError
            When changes after ``since`` have been discarded.
        """
        await self.begin_call("watch")
        deadline = clock.now() + timeout_s
        while True:
            if since < 0:
                return objectstore.ChangePage([], self.version)
            if since < self.compacted_version:
                raise exceptions.WatchExpiredError(
                    f"changes up to version {self.compacted_version} discarded; list the objects"
                )
            changed = self.changed
            found = self.changes_since(prefix, since)
            if found or clock.now() >= deadline:
                return objectstore.ChangePage(found, self.version)
            with anyio.move_on_at(deadline):
                await changed.wait()

    def changes_since(self, prefix: str, since: int) -> list[objectstore.Change]:
        """Return the changes of keys with a prefix after a version, oldest first."""
        found: list[objectstore.Change] = []
        for change in reversed(self.changes):
            if change.version <= since:
                break
            if change.key.startswith(prefix):
                found.append(change)
        return found[::-1]

    def set_vms(self, vms: list[objectstore.Vm]) -> None:
        """Replace the list of VMs; readers see it ``vms_lag_s`` later."""
        self.current_vms = vms
        self.vm_samples.append(VmListSample(clock.now(), vms))

    async def vms(self) -> list[objectstore.Vm]:
        """Return the list of VMs as it was ``vms_lag_s`` ago."""
        await self.begin_call("read")
        if not self.faults.vms_lag_s:
            return self.current_vms
        visible_until = clock.now() - self.faults.vms_lag_s
        seen = [sample.vms for sample in self.vm_samples if sample.at <= visible_until]
        return seen[-1] if seen else []
