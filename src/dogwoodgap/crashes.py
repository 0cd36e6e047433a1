"""Refuses forwarded requests that crash backend servers, on all nodes.

A request that crashes servers is sent again with the same path, caller and body, so its digest
stays the same. Crashes are passed on to all nodes.
"""

import collections.abc
import logging

import xxhash

from dogwoodgap import (
    broadcast,
    crash_evidence,
    dialect,
    events,
    exceptions,
    members,
    peers,
    servers,
)
from dogwoodgap_wire import ttypes

RETRY_AFTER_S = 2.0


class CrashTracker:
    """Tracks the requests that were in flight when servers crashed.

    Parameters
    ----------
    server_registry : servers.ServerRegistry
        Registered backend servers.
    """

    def __init__(self, server_registry: servers.ServerRegistry):
        self.evidence = crash_evidence.EvidenceTable(server_registry)
        self.evidence.on_crash = self.announce
        self.crash_hooks: list[collections.abc.Callable[[int, servers.ProcessKey, bool], None]] = []

    def digest(self, call: dialect.Call) -> int:
        """Return the digest of the parts of a request that stay the same when it is resent."""
        state = xxhash.xxh64(call.target)
        state.update(call.body)
        for text in (call.host, call.program_id, call.session_id):
            state.update(text.encode("latin-1"))
        return state.intdigest()

    def announce(self, digest: int, process: servers.ProcessKey, ended: bool) -> None:
        """Log a crash that was found on this node, and notify the others."""
        events.emit(
            events.Event.DIGEST_SUSPECTED,
            "a request was in flight when a backend server crashed",
            level=logging.WARNING,
            digest=f"{digest:016x}",
            crashes=self.evidence.crashes(digest),
            server=process[0],
            started_ms=process[1],
            process_ended=ended,
        )
        for hook in self.crash_hooks:
            hook(digest, process, ended)

    def start_sharing(self, network: peers.Network, broadcaster: broadcast.Broadcaster) -> None:
        """Start to pass crashes on to other nodes and to merge theirs."""

        def notify_others(
            digest: int, process: servers.ProcessKey, ended: bool, part_end: int | None = None
        ) -> None:
            async def deliver(member: members.Member, end: int) -> None:
                message = to_wire(digest, process, ended)
                message.part_end = end
                try:
                    await broadcaster.request(member, message)
                except exceptions.PeerError as error:
                    log_report_failure(member, digest, error)
                    raise

            broadcaster.start(deliver, part_end)

        async def on_crash(sender: ttypes.Member, message: ttypes.ServerCrash) -> ttypes.Ack:
            digest, process = int(message.digest, 16), (message.server, message.started_ms or 0)
            ended = bool(message.ended)
            is_news = self.evidence.add(digest, process, ended=ended)
            if is_news and message.part_end is not None:
                notify_others(digest, process, ended, message.part_end)
            return ttypes.Ack(ok=True)

        self.crash_hooks.append(notify_others)
        network.handlers.register(ttypes.ServerCrash, on_crash)

    def is_refused(self, digest: int) -> bool:
        """Return whether a request has to be refused."""
        return self.evidence.crashes(digest) >= crash_evidence.MAX_CRASHES


def to_wire(digest: int, process: servers.ProcessKey, ended: bool) -> ttypes.ServerCrash:
    """Return a crash as a message."""
    server_id, started_ms = process
    return ttypes.ServerCrash(
        digest=f"{digest:016x}", server=server_id, started_ms=started_ms, ended=ended
    )


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
