"""Detects forwarded requests that crash backend servers, and refuses them.

A request that crashes servers is sent again with the same path, caller and body, so its digest
stays the same. After two crashes with one digest, all nodes that were notified refuse it.
"""

import collections
import collections.abc
import dataclasses
import logging

import xxhash

from dogwoodgap import broadcast, clock, dialect, events, exceptions, members, peers, servers
from dogwoodgap_wire import ttypes

MAX_CRASHES = 2
"""Crashes after which a request is refused; operators tolerate three."""

REFUSAL_TTL_S = 120.0
"""Time after the last crash for which a digest is refused."""

MAX_DIGESTS = 4_096
RETRY_AFTER_S = 2.0


@dataclasses.dataclass(slots=True)
class CrashRecord:
    """The server processes that crashed while they ran requests with one digest.

    Attributes
    ----------
    processes : set of ProcessKey
        Each process counts once, however many nodes saw it crash.
    """

    processes: set[servers.ProcessKey]
    last_crash_at: float


class CrashTracker:
    """Tracks the digests of requests that were in flight when a server crashed."""

    def __init__(self) -> None:
        self.records: collections.OrderedDict[int, CrashRecord] = collections.OrderedDict()
        self.crash_hooks: list[collections.abc.Callable[[int, servers.ProcessKey], None]] = []

    def digest(self, call: dialect.Call) -> int:
        """Return the digest of the parts of a request that stay the same when it is resent."""
        state = xxhash.xxh64(call.target)
        state.update(call.body)
        for text in (call.host, call.program_id, call.session_id):
            state.update(text.encode("latin-1"))
        return state.intdigest()

    def record_crash(self, digest: int, server: servers.BackendServer) -> None:
        """Record that a server crashed while it ran a request, and notify other nodes."""
        if self.merge(digest, server.process):
            for hook in self.crash_hooks:
                hook(digest, server.process)

    def merge(self, digest: int, process: servers.ProcessKey) -> bool:
        """Merge a crash seen by this or another node; return whether it is news."""
        record = self.records.pop(digest, None) or CrashRecord(set(), clock.now())
        self.records[digest] = record
        if process in record.processes:
            return False
        record.processes.add(process)
        record.last_crash_at = clock.now()
        while len(self.records) > MAX_DIGESTS:
            self.records.popitem(last=False)
        events.emit(
            events.Event.DIGEST_SUSPECTED,
            "a request was in flight when a backend server crashed",
            level=logging.WARNING,
            digest=f"{digest:016x}",
            crashes=len(record.processes),
            server=process[0],
            started_ms=process[1],
        )
        return True

    def start_sharing(self, network: peers.Network, broadcaster: broadcast.Broadcaster) -> None:
        """Start to pass crashes on to other nodes and to merge theirs."""

        def notify_others(
            digest: int, process: servers.ProcessKey, part_end: int | None = None
        ) -> None:
            async def deliver(member: members.Member, end: int) -> None:
                message = to_wire(digest, process)
                message.part_end = end
                try:
                    await broadcaster.request(member, message)
                except exceptions.PeerError as error:
                    log_report_failure(member, digest, error)
                    raise

            broadcaster.start(deliver, part_end)

        async def on_crash(sender: ttypes.Member, message: ttypes.ServerCrash) -> ttypes.Ack:
            digest, process = int(message.digest, 16), (message.server, message.started_ms or 0)
            if self.merge(digest, process) and message.part_end is not None:
                notify_others(digest, process, message.part_end)
            return ttypes.Ack(ok=True)

        self.crash_hooks.append(notify_others)
        network.handlers.register(ttypes.ServerCrash, on_crash)

    def record_success(self, digest: int) -> None:
        """Clear the crashes of a request that a server has completed."""
        if self.records:
            self.records.pop(digest, None)

    def is_refused(self, digest: int) -> bool:
        """Return whether a request has to be refused."""
        record = self.records.get(digest)
        if record is None:
            return False
        if clock.now() - record.last_crash_at > REFUSAL_TTL_S:
            del self.records[digest]
            return False
        return len(record.processes) >= MAX_CRASHES


def to_wire(digest: int, process: servers.ProcessKey) -> ttypes.ServerCrash:
    """Return a crash as a message."""
    server_id, started_ms = process
    return ttypes.ServerCrash(digest=f"{digest:016x}", server=server_id, started_ms=started_ms)


def log_report_failure(member: members.Member, digest: int, error: exceptions.PeerError) -> None:
    """Log that a node could not be told of a crash; the node after it is told instead."""
    events.emit(
        events.Event.SUSPECT_REPORT_FAILED,
        "failed to report a crash to another node",
        level=logging.WARNING,
        node=member.node,
        digest=f"{digest:016x}",
        detail=error.detail,
    )
