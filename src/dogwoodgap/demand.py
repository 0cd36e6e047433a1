"""Hourly demand of each service, summed over the fleet, and the peak window derived from it.

Nodes add their counts to one platform object per service, about every ten minutes. The peak
window is only shown to operators and never applied automatically.
"""

import collections
import collections.abc
import uuid

import anyio
import msgspec

from dogwoodgap import clock, exceptions, metrics, objectstore, profiles

KEY_PREFIX = "demand/"
HOUR_S = 3_600
FLUSH_INTERVAL_S = 600.0
RETAINED_HOURS = profiles.RETAINED_WEEKS * 7 * profiles.HOURS_PER_DAY
MAX_UPDATE_ATTEMPTS = 5


class DemandDocument(msgspec.Struct):
    """Calls of a service by hours since the Unix epoch.

    Attributes
    ----------
    nonce : str
        Identifies the last write, so that a writer recognizes its own write after a lost reply.
    """

    nonce: str = ""
    hours: dict[int, float] = {}


def demand_key(service: str) -> str:
    """Return the object key of a service's demand."""
    return f"{KEY_PREFIX}{service}"


class DemandRecorder:
    """Counts this node's calls and adds them to the fleet's demand.

    Parameters
    ----------
    arrivals : callable
        Returns the number of calls of each service since the start of the process.
    bucket : objectstore.RateBucket
        Limits this node's write rate to the platform.
    """

    def __init__(
        self,
        store: objectstore.ObjectStore,
        arrivals: collections.abc.Callable[[], collections.abc.Mapping[str, int]],
        bucket: objectstore.RateBucket,
    ):
        self.store = store
        self.arrivals = arrivals
        self.bucket = bucket
        self.seen: collections.Counter[str] = collections.Counter()
        self.pending: dict[str, collections.Counter[int]] = {}

    def count(self) -> None:
        """Add the calls since the last count to the current hour."""
        hour = int(clock.wall_time()) // HOUR_S
        for service, total in self.arrivals().items():
            new = total - self.seen[service]
            self.seen[service] = total
            if new > 0:
                self.pending.setdefault(service, collections.Counter())[hour] += new

    async def flush(self) -> None:
        """Add pending counts to the platform's objects; failed ones stay pending."""
        for service in list(self.pending):
            counts = self.pending.pop(service)
            try:
                await self.add(service, counts)
            except exceptions.StoreError:
                metrics.count("demand.delayed")
                self.pending.setdefault(service, collections.Counter()).update(counts)

    async def add(self, service: str, counts: collections.Counter[int]) -> None:
        """Add counts to a service's demand exactly once, by conditional updates.

        Raises
        ------
        StoreUnavailableError
            If no write was confirmed; the counts may have been added nevertheless.
        """
        nonce = uuid.uuid4().hex
        for _ in range(MAX_UPDATE_ATTEMPTS):
            stored = await objectstore.get_optional(self.store, demand_key(service))
            document = decode(stored)
            if document.nonce == nonce:
                return
            version = stored.version if stored is not None else objectstore.ABSENT
            merged = merge(document, counts, nonce)
            await self.bucket.take()
            try:
                data = msgspec.json.encode(merged)
                await self.store.put(demand_key(service), data, expected=version)
                return
            except (exceptions.VersionConflictError, exceptions.StoreUnavailableError):
                continue
        raise exceptions.StoreUnavailableError(
            f"the demand of {service} could not be stored; it will be retried later"
        )

    async def run(self) -> None:
        """Count and flush at regular intervals, until cancelled."""
        while True:
            await anyio.sleep(FLUSH_INTERVAL_S)
            self.count()
            await self.flush()


def decode(stored: objectstore.StoredObject | None) -> DemandDocument:
    """Decode a stored object; None gives an empty document."""
    if stored is None:
        return DemandDocument()
    return msgspec.json.decode(stored.data, type=DemandDocument)


def merge(
    document: DemandDocument, counts: collections.abc.Mapping[int, int], nonce: str
) -> DemandDocument:
    """Return a document with the counts added and hours beyond ``RETAINED_HOURS`` removed."""
    hours = collections.Counter(document.hours)
    hours.update(counts)
    oldest = max(hours, default=0) - RETAINED_HOURS
    return DemandDocument(nonce, {hour: calls for hour, calls in hours.items() if hour > oldest})


class DemandReader:
    """Reads the stored demand and derives the peak window of a service."""

    def __init__(self, store: objectstore.ObjectStore):
        self.store = store

    async def peak(self, service: str, time_zone: str) -> profiles.PeakProposal | None:
        """Return the peak window, or None if less than a week of demand is known."""
        document = decode(await objectstore.get_optional(self.store, demand_key(service)))
        demand = profiles.HourlyDemand(time_zone)
        for hour in sorted(document.hours):
            demand.record(hour * HOUR_S, document.hours[hour])
        return demand.propose_peak()
