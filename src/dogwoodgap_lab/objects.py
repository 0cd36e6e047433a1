"""An in-memory object store with versions, watches and switchable faults."""

import dataclasses
import random

import anyio
import sortedcontainers

from dogwoodgap import clock, exceptions, objectstore


@dataclasses.dataclass
class StoreFaults:
    """Faults of the store; all off by default.

    Attributes
    ----------
    outage : bool
        Nothing answers.
    delay_s : float
        Added to each call.
    lost_replies : float
        Share of writes whose reply is lost after they took effect.
    """

    outage: bool = False
    delay_s: float = 0.0
    lost_replies: float = 0.0


class ObjectTable:
    """Objects with versions; also usable directly as an ``objectstore.ObjectStore``."""

    def __init__(self, seed: int = 0):
        self.objects: sortedcontainers.SortedDict[str, objectstore.StoredObject] = (
            sortedcontainers.SortedDict()
        )
        self.faults = StoreFaults()
        self.random = random.Random(seed)
        self.version = 0
        self.changes: list[objectstore.Change] = []
        self.changed = anyio.Event()
        self.machines: list[objectstore.Vm] = []
        self.calls: dict[str, int] = {"read": 0, "write": 0, "watch": 0}

    async def enter(self, kind: str) -> None:
        """Count a call and apply delay and outage."""
        self.calls[kind] += 1
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        if self.faults.outage:
            raise exceptions.StoreUnavailableError("outage switched on; switch it off")

    def leave_write(self) -> None:
        """Lose the reply of a write that took effect."""
        if self.random.random() < self.faults.lost_replies:
            raise exceptions.StoreUnavailableError("reply lost after the write; read back")

    async def get(self, key: str) -> objectstore.StoredObject:
        """Return an object."""
        await self.enter("read")
        if key not in self.objects:
            raise exceptions.ObjectMissingError(f"object {key} does not exist; create it first")
        return self.objects[key]

    async def put(self, key: str, data: bytes, *, expected: int | None = None) -> int:
        """Write an object if its version is the expected one."""
        await self.enter("write")
        current = self.objects[key].version if key in self.objects else objectstore.ABSENT
        if expected is not None and expected != current:
            raise exceptions.VersionConflictError(f"object {key} has version {current}")
        self.version += 1
        self.objects[key] = objectstore.StoredObject(key, self.version, data)
        self.note(objectstore.Change(key, self.version))
        version = self.version
        self.leave_write()
        return version

    async def delete(self, key: str) -> None:
        """Delete an object."""
        await self.enter("write")
        if self.objects.pop(key, None) is not None:
            self.version += 1
            self.note(objectstore.Change(key, self.version, deleted=True))
        self.leave_write()

    def note(self, change: objectstore.Change) -> None:
        """Record a change and wake the watches."""
        self.changes.append(change)
        self.changed.set()
        self.changed = anyio.Event()

    async def list_page(
        self, prefix: str, *, after: str = "", limit: int = 1000
    ) -> objectstore.ObjectPage:
        """Return one page of keys below a prefix."""
        await self.enter("read")
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
        """Wait for changes below a prefix."""
        await self.enter("watch")
        deadline = clock.now() + timeout_s
        while True:
            changed = self.changed
            found = [
                change
                for change in self.changes
                if change.version > since and change.key.startswith(prefix)
            ]
            if found or clock.now() >= deadline:
                return objectstore.ChangePage(found, self.version)
            with anyio.move_on_at(deadline):
                await changed.wait()

    async def vms(self) -> list[objectstore.Vm]:
        """Return the list of VMs."""
        await self.enter("read")
        return self.machines
