"""Interface to the platform's object store, and its HTTP client."""

import collections.abc
import dataclasses
import typing
import urllib.parse

import anyio
import httpx
import msgspec

from dogwoodgap import clock, exceptions

ABSENT = 0
"""Expected version for a write that must create the object."""

MAX_OBJECT_BYTES = 1_000_000
RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0
MIN_RATE_PER_S = 0.01
"""Lower bound of a bucket's rate; with a share of 0, ``take`` would divide by zero."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoredObject:
    """An object and the version that the store assigned to it."""

    key: str
    version: int
    data: bytes


class ObjectInfo(msgspec.Struct, frozen=True):
    """Key and version of an object in a listing."""

    key: str
    version: int


class ObjectPage(msgspec.Struct, frozen=True):
    """One page of a listing; ``after`` is the start of the next page, or empty on the last one."""

    objects: list[ObjectInfo]
    after: str = ""


class Change(msgspec.Struct, frozen=True):
    """One change reported by a watch."""

    key: str
    version: int
    deleted: bool = False


class ChangePage(msgspec.Struct, frozen=True):
    """Changes reported by a watch; pass ``cursor`` as ``since`` of the next call."""

    changes: list[Change]
    cursor: int


class Vm(msgspec.Struct, frozen=True):
    """One entry of the platform's list of VMs; the list may be out of date."""

    name: str
    address: str
    leaving: bool = False


class ObjectStore(typing.Protocol):
    """Operations of the platform's object store that a node uses."""

    async def get(self, key: str) -> StoredObject:
        """Return an object or raise :class:`exceptions.ObjectMissingError`."""

    async def put(self, key: str, data: bytes, *, expected: int | None = None) -> int:
        """Write an object and return its new version.

        With ``expected``, raise :class:`exceptions.VersionConflictError` unless the object has
        that version.
        """

    async def delete(self, key: str) -> None:
        """Delete an object; deleting a missing one is not an error."""

    async def list_page(self, prefix: str, *, after: str = "", limit: int = 1000) -> ObjectPage:
        """Return one page of the keys with a prefix, in order."""

    async def watch(self, prefix: str, *, since: int, timeout_s: float) -> ChangePage:
        """Wait for changes after ``since`` to keys with a prefix."""

    async def vms(self) -> list[Vm]:
        """Return the platform's list of VMs, which may be out of date."""


class RateBucket:
    """A token bucket that delays callers instead of refusing them.

    Parameters
    ----------
    rate_per_s : float
        Sustained rate.
    burst : float
        Number of calls that may pass without delay after an idle time.
    """

    def __init__(self, rate_per_s: float, burst: float):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.level = burst
        self.updated_at: float | None = None

    def refill(self) -> None:
        """Add the capacity that accrued since the last update."""
        now = clock.now()
        if self.updated_at is not None:
            self.level = min(self.burst, self.level + (now - self.updated_at) * self.rate_per_s)
        self.updated_at = now

    async def take(self) -> None:
        """Wait until one call may pass; a cancelled wait uses no capacity."""
        self.refill()
        self.level -= 1.0
        try:
            if self.level < 0.0:
                await anyio.sleep(-self.level / self.rate_per_s)
        except BaseException:
            self.level += 1.0
            raise

    def charge(self) -> None:
        """Count a prioritized call: it passes without waiting, and later calls wait longer."""
        self.refill()
        self.level -= 1.0

    def set_rate(self, rate_per_s: float) -> None:
        """Change the sustained rate; capacity accrued at the old rate is kept."""
        self.refill()
        self.rate_per_s = max(rate_per_s, MIN_RATE_PER_S)


class HttpObjectStore:
    """Client of the platform's HTTP object API.

    Parameters
    ----------
    client : httpx.AsyncClient
        HTTP client whose base URL is the platform's.
    timeout_s : float
        Timeout of one request; a watch adds its own waiting time.
    """

    def __init__(self, client: httpx.AsyncClient, timeout_s: float = 1.0):
        self.client = client
        self.timeout_s = timeout_s

    async def request(
        self, method: str, path: str, *, extra_timeout_s: float = 0.0, **options: typing.Any
    ) -> httpx.Response:
        """Send one request and map failures to subclasses of ``StoreError``."""
        try:
            with anyio.fail_after(self.timeout_s + extra_timeout_s):
                # Only the limit above applies; the client's default of 5 s would end long watches.
                reply = await self.client.request(method, path, timeout=None, **options)
        except (httpx.HTTPError, TimeoutError) as error:
            raise exceptions.StoreUnavailableError(
                f"platform did not answer {method} {path} ({type(error).__name__}); "
                "read the object back before retrying a write"
            ) from error
        if reply.status_code == httpx.codes.NOT_FOUND:
            raise exceptions.ObjectMissingError(f"object {path} does not exist; create it first")
        if reply.status_code == httpx.codes.PRECONDITION_FAILED:
            raise exceptions.VersionConflictError(
                f"object {path} has another version; read it and apply the change again"
            )
        if reply.status_code == httpx.codes.TOO_MANY_REQUESTS:
            raise exceptions.StoreBusyError(
                f"platform rate limit exceeded by {method} {path}; retry later"
            )
        if reply.status_code == httpx.codes.GONE:
            raise exceptions.WatchExpiredError(
                f"platform no longer has the changes for {path}; list the objects again"
            )
        if reply.status_code >= httpx.codes.BAD_REQUEST:
            raise exceptions.StoreUnavailableError(
                f"platform answered {reply.status_code} to {method} {path}; retry later"
            )
        return reply

    async def get(self, key: str) -> StoredObject:
        """Return an object."""
        reply = await self.request("GET", f"/objects/{urllib.parse.quote(key)}")
        return StoredObject(key, int(reply.headers["etag"].strip('"')), reply.content)

    async def put(self, key: str, data: bytes, *, expected: int | None = None) -> int:
        """Write an object and return its new version."""
        if len(data) > MAX_OBJECT_BYTES:
            raise exceptions.StoreError(
                f"object {key} has {len(data)} bytes; split it, the limit is {MAX_OBJECT_BYTES}"
            )
        headers = {}
        if expected == ABSENT:
            headers["If-None-Match"] = "*"
        elif expected is not None:
            headers["If-Match"] = f'"{expected}"'
        path = f"/objects/{urllib.parse.quote(key)}"
        reply = await self.request("PUT", path, content=data, headers=headers)
        return int(reply.headers["etag"].strip('"'))

    async def delete(self, key: str) -> None:
        """Delete an object."""
        try:
            await self.request("DELETE", f"/objects/{urllib.parse.quote(key)}")
        except exceptions.ObjectMissingError:
            return

    async def list_page(self, prefix: str, *, after: str = "", limit: int = 1000) -> ObjectPage:
        """Return one page of the keys with a prefix."""
        params = {"prefix": prefix, "after": after, "limit": limit}
        reply = await self.request("GET", "/list", params=params)
        return msgspec.json.decode(reply.content, type=ObjectPage)

    async def watch(self, prefix: str, *, since: int, timeout_s: float) -> ChangePage:
        """Wait for changes to keys with a prefix."""
        params = {"prefix": prefix, "since": since, "timeout": timeout_s}
        reply = await self.request("GET", "/watch", params=params, extra_timeout_s=timeout_s)
        return msgspec.json.decode(reply.content, type=ChangePage)

    async def vms(self) -> list[Vm]:
        """Return the platform's list of VMs, which may be out of date."""
        reply = await self.request("GET", "/vms")
        return msgspec.json.decode(reply.content, type=list[Vm])


async def get_optional(store: ObjectStore, key: str) -> StoredObject | None:
    """Return an object, or None when it does not exist."""
    try:
        return await store.get(key)
    except exceptions.ObjectMissingError:
        return None


async def put_until_stored(store: ObjectStore, key: str, data: bytes) -> None:
    """Write an object, retrying during outages.

    The object must have a single writer that never changes its content, since a delayed earlier
    attempt may overwrite it.
    """
    await retry_until_answered(lambda: store.put(key, data))


async def delete_until_gone(store: ObjectStore, key: str) -> None:
    """Delete an object, retrying during outages."""
    await retry_until_answered(lambda: store.delete(key))


async def retry_until_answered(
    call: collections.abc.Callable[[], collections.abc.Awaitable[typing.Any]],
) -> None:
    """Retry an idempotent call, with backoff, until the store answers."""
    delay = RETRY_DELAY_S
    while True:
        try:
            await call()
            return
        except exceptions.StoreUnavailableError:
            await anyio.sleep(delay)
            delay = min(delay * 2, MAX_RETRY_DELAY_S)


async def list_all(store: ObjectStore, prefix: str) -> list[ObjectInfo]:
    """Return all keys with a prefix."""
    infos: list[ObjectInfo] = []
    after = ""
    while True:
        page = await store.list_page(prefix, after=after)
        infos.extend(page.objects)
        if not page.after:
            return infos
        after = page.after
