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
    """Number of crashes during which a digest was in flight."""

    crashes: int
    last_crash_at: float


class CrashTracker:
    """Tracks the digests of requests that were in flight when a server crashed."""

    def __init__(self) -> None:
        self.records: collections.OrderedDict[int, CrashRecord] = collections.OrderedDict()
        self.crash_hooks: list[collections.abc.Callable[[int, int], None]] = []

    def digest(self, call: dialect.Call) -> int:
        """Return the digest of the parts of a request that stay the same when it is resent."""
        state = xxhash.xxh64(call.target)
        state.update(call.body)
        for text in (call.host, call.program_id, call.session_id):
            state.update(text.encode("latin-1"))
        return state.intdigest()

    def record_crash(self, digest: int, server: servers.BackendServer) -> None:
        """Record that a server crashed while it ran a request, and notify other nodes."""
        record = self.records.get(digest)
        crashes = (record.crashes if record else 0) + 1
        self.merge(digest, crashes, server)
        for hook in self.crash_hooks:
            hook(digest, crashes)

    def merge(self, digest: int, crashes: int, server: servers.BackendServer | None = None) -> None:
        """Merge a crash count of this or another node; the larger count wins."""
        record = self.records.pop(digest, None)
        crashes = max(crashes, record.crashes if record else 0)
        self.records[digest] = CrashRecord(crashes, clock.now())
        while len(self.records) > MAX_DIGESTS:
            self.records.popitem(last=False)
        events.emit(
            events.Event.DIGEST_SUSPECTED,
            "a request was in flight when a backend server crashed",
            level=logging.WARNING,
            digest=f"{digest:016x}",
            crashes=crashes,
            server=server.id if server else None,
            started_ms=server.started_ms if server else None,
        )

    def start_sharing(self, network: peers.Network, broadcaster: broadcast.Broadcaster) -> None:
        """Start to pass crash counts on to other nodes and to merge theirs."""

        def notify_others(digest: int, crashes: int, part_end: int | None = None) -> None:
            async def deliver(member: members.Member, end: int) -> None:
                message = ttypes.SuspectNotice(
                    digest=f"{digest:016x}", crashes=crashes, part_end=end
                )
                try:
                    await broadcaster.request(member, message)
                except exceptions.PeerError as error:
                    log_report_failure(member, digest, error)
                    raise

            broadcaster.start(deliver, part_end)

        async def on_notice(sender: ttypes.Member, message: ttypes.SuspectNotice) -> ttypes.Ack:
            digest, crashes = int(message.digest, 16), message.crashes or 0
            known = self.records.get(digest)
            is_news = known is None or crashes > known.crashes
            self.merge(digest, crashes)
            if is_news and message.part_end is not None:
                notify_others(digest, crashes, message.part_end)
            return ttypes.Ack(ok=True)

        self.crash_hooks.append(notify_others)
        network.handlers.register(ttypes.SuspectNotice, on_notice)

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
        return record.crashes >= MAX_CRASHES


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
