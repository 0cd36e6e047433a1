"""Weighs the evidence that forwarded requests crash backend servers; no I/O.

A lost response alone proves nothing: a connection may break, and a node may lose its path to a
server that others still reach. The list of servers is what all nodes agree on. A server that is
gone from it after it lost a response has crashed; one that stays listed has not. Until the list
can tell, a server that also accepts no new connection counts as crashed, unless it responds again.
"""

import collections
import collections.abc
import dataclasses
import math

import cachetools
import xxhash

from dogwoodgap import clock, hashing, servers

MAX_CRASHES = 2
"""Crashes after which a request is refused; operators tolerate three."""

REFUSAL_TTL_S = 120.0
"""Time after the last crash for which a digest is refused."""

DETECTION_S = 10.0
"""Longest time until a crashed server is gone from the list: three heartbeats of up to two seconds
each, and the delays of the list."""

MAX_LISTING_AGE_S = 2.0
"""Age from which the list of servers does not prove that a process is still running."""

MAX_DIGESTS = 4_096
MAX_LOST_RUNS = 4_096


@dataclasses.dataclass(slots=True)
class Suspicion:
    """A server process that may have crashed while it ran a request.

    Attributes
    ----------
    at : float
        Monotonic time at which this node learnt of it.
    ended : bool
        Whether a node saw the process leave the list of servers.
    """

    at: float
    ended: bool


class EvidenceTable:
    """The server processes that may have crashed under each request, by digest.

    Parameters
    ----------
    server_registry : servers.ServerRegistry
        Registered backend servers.

    Attributes
    ----------
    is_isolated : callable
        Returns whether this node has lost its path to most servers, so that a refused connection
        does not show that a server crashed.
    on_crash : callable
        Called with the digest, the process and whether it ended, for each crash found here.
    on_end : callable
        Called with the digest of a request when another process is known to have ended.
    """

    def __init__(self, server_registry: servers.ServerRegistry):
        self.server_registry = server_registry
        self.records: collections.OrderedDict[int, dict[servers.ProcessKey, Suspicion]] = (
            collections.OrderedDict()
        )
        self.lost_runs: collections.OrderedDict[tuple[int, servers.ProcessKey], float] = (
            collections.OrderedDict()
        )
        self.contacts: cachetools.LRUCache[servers.ProcessKey, float] = cachetools.LRUCache(
            MAX_DIGESTS
        )
        self.is_isolated: collections.abc.Callable[[], bool] = lambda: False
        self.on_crash: collections.abc.Callable[[int, servers.ProcessKey, bool], None] = (
            lambda *args: None
        )
        self.on_end: collections.abc.Callable[[int], None] = lambda digest: None
        self.unreachable: set[servers.ProcessKey] = set()
        self.cleared_at: cachetools.LRUCache[int, float] = cachetools.LRUCache(MAX_DIGESTS)
        self.cached_digest: int | None = None
        self.digest_valid_until = -math.inf
        self.found: cachetools.LRUCache[int, bool] = cachetools.LRUCache(MAX_DIGESTS)
        server_registry.removal_hooks.append(self.record_end)

    def record_contact(self, server: servers.BackendServer, sent_at: float) -> None:
        """Record that a process responded to a request that was sent at a monotonic time."""
        self.contacts[server.process] = max(sent_at, self.contacts.get(server.process, -math.inf))

    def record_lost_run(self, digest: int, server: servers.BackendServer) -> None:
        """Record that a process was sent a request and that its response was not received."""
        if not self.server_registry.is_listed(server.process):
            self.report(digest, server.process, ended=True)
        elif not self.server_registry.servers[server.id].draining:
            self.lost_runs[digest, server.process] = clock.now()
            while len(self.lost_runs) > MAX_LOST_RUNS:
                self.lost_runs.popitem(last=False)
            if server.process in self.unreachable:
                self.record_unreachable(digest, server)

    def record_unreachable(self, digest: int, server: servers.BackendServer) -> None:
        """Record that a process lost a response and then accepted no new connection."""
        if self.is_isolated():
            self.add(digest, server.process, ended=False)
        else:
            self.report(digest, server.process, ended=False)

    def record_unreachable_server(self, server: servers.BackendServer) -> None:
        """Record that a process accepts no new connection, whatever request needed one."""
        if server.process in self.unreachable or not self.server_registry.is_listed(server.process):
            return
        self.unreachable.add(server.process)
        since = clock.now() - DETECTION_S
        for (digest, process), lost_at in self.lost_runs.items():
            if process == server.process and lost_at >= since:
                self.record_unreachable(digest, server)

    def record_reachable_server(self, server: servers.BackendServer) -> None:
        """Record that a process accepted a new connection."""
        self.unreachable.discard(server.process)

    def record_end(self, server: servers.BackendServer) -> None:
        """Confirm the suspicions against a process that left the list of servers."""
        self.unreachable.discard(server.process)
        since = self.server_registry.last_listed_at(server.process) - DETECTION_S
        lost = [key for key in self.lost_runs if key[1] == server.process]
        for digest, process in lost:
            if self.lost_runs.pop((digest, process)) >= since:
                self.report(digest, process, ended=True)
        for digest, suspicions in self.records.items():
            suspicion = suspicions.get(server.process)
            if suspicion is not None and not suspicion.ended and suspicion.at >= since:
                suspicion.ended = True
                self.invalidate_digest()
                self.on_end(digest)

    def report(self, digest: int, process: servers.ProcessKey, *, ended: bool) -> None:
        """Add a crash that was found here, and tell of it if it is news."""
        self.found[digest] = True
        if self.add(digest, process, ended=ended):
            self.on_crash(digest, process, ended)

    def add(
        self, digest: int, process: servers.ProcessKey, *, ended: bool, age_s: float = 0.0
    ) -> bool:
        """Add a crash found on this or another node; return whether it is news."""
        at = clock.now() - age_s
        if age_s > REFUSAL_TTL_S or at < self.cleared_at.get(digest, -math.inf):
            return False
        suspicions = self.records.pop(digest, None)
        self.records[digest] = suspicions = {} if suspicions is None else suspicions
        known = suspicions.get(process)
        if known is not None and (known.ended or not ended):
            return False
        suspicions[process] = Suspicion(at, ended)
        self.invalidate_digest()
        if ended:
            self.on_end(digest)
        while len(self.records) > MAX_DIGESTS:
            self.evict()
        return True

    def evict(self) -> None:
        """Drop the oldest record, preferably one of suspicions that were not confirmed."""
        unconfirmed = (
            digest
            for digest, suspicions in self.records.items()
            if not any(suspicion.ended for suspicion in suspicions.values())
        )
        del self.records[next(unconfirmed, next(iter(self.records)))]

    def invalidate_digest(self) -> None:
        """Compute the digest again when it is needed next."""
        self.digest_valid_until = -math.inf

    def digest(self) -> int | None:
        """Return a signed 64-bit hash of the confirmed crashes, or None without any."""
        now = clock.now()
        if now >= self.digest_valid_until:
            value = 0
            self.digest_valid_until = math.inf
            for digest, ended in self.confirmed():
                expires_at = max(suspicion.at for suspicion in ended.values()) + REFUSAL_TTL_S
                self.digest_valid_until = min(self.digest_valid_until, expires_at)
                for process in ended:
                    value ^= xxhash.xxh64_intdigest(repr((digest, process)).encode())
            self.cached_digest = hashing.to_signed(value)
        return self.cached_digest or None

    def confirmed(
        self,
    ) -> collections.abc.Iterator[tuple[int, dict[servers.ProcessKey, Suspicion]]]:
        """Yield each request with its confirmed crashes, unless they have expired."""
        since = clock.now() - REFUSAL_TTL_S
        for digest, suspicions in self.records.items():
            ended = {process: found for process, found in suspicions.items() if found.ended}
            if any(suspicion.at > since for suspicion in ended.values()):
                yield digest, ended

    def ended_processes(self, digest: int) -> list[servers.ProcessKey]:
        """Return the processes that crashed under a request and have left the list of servers."""
        suspicions = self.records.get(digest, {})
        return [process for process, suspicion in suspicions.items() if suspicion.ended]

    def clear(self, digest: int) -> None:
        """Drop the suspicions against a request that a server has completed."""
        if self.records.pop(digest, None) is not None:
            self.cleared_at[digest] = clock.now()
            self.invalidate_digest()

    def crashes(self, digest: int) -> int:
        """Return how many processes count as crashed by a request."""
        suspicions = self.records.get(digest)
        if suspicions is None:
            return 0
        if clock.now() - max(suspicion.at for suspicion in suspicions.values()) > REFUSAL_TTL_S:
            del self.records[digest]
            return 0
        return sum(self.is_crash(process, suspicion) for process, suspicion in suspicions.items())

    def is_crash(self, process: servers.ProcessKey, suspicion: Suspicion) -> bool:
        """Return whether a suspicion counts as a crash now."""
        if suspicion.ended and not self.server_registry.is_listed(process):
            return True
        if self.contacts.get(process, -math.inf) > suspicion.at or self.is_isolated():
            return False
        if clock.now() - suspicion.at <= DETECTION_S:
            return True
        is_list_old = self.server_registry.age_s > MAX_LISTING_AGE_S
        return is_list_old and (
            self.server_registry.last_listed_at(process) - suspicion.at <= DETECTION_S
        )
