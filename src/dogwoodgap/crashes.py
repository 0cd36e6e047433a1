"""Refuses forwarded requests that crash backend servers, on all nodes.

A request that crashes servers is sent again with the same path, caller and body, so its digest
stays the same. Crashes are passed on to all nodes. A node that missed some, because it was cut off,
suspended or starting, finds out when it compares digests with its partners, and fetches them.
"""

import logging

import xxhash

from dogwoodgap import (
    background,
    broadcast,
    clock,
    crash_evidence,
    crash_records,
    dialect,
    events,
    exceptions,
    members,
    membership,
    peers,
    servers,
    source,
)
from dogwoodgap_wire import ttypes

RETRY_AFTER_S = 2.0
FETCH_TIMEOUT_S = 0.3

SYNC_DELAY_S = 0.5
"""Time for which digests of crashes differ before they are fetched; a broadcast takes less."""


class CrashTracker:
    """Tracks the requests that were in flight when servers crashed.

    Parameters
    ----------
    server_registry : servers.ServerRegistry
        Registered backend servers.
    records : source.CrashRecords
        Records in the platform's store.
    """

    def __init__(self, server_registry: servers.ServerRegistry, records: source.CrashRecords):
        self.evidence = crash_evidence.EvidenceTable(server_registry)
        self.evidence.on_crash = self.announce
        self.recorder = crash_records.CrashRecorder(records, self.evidence)
        self.evidence.on_end = self.recorder.request_store
        self.membership: membership.Membership | None = None
        self.network: peers.Network | None = None
        self.broadcaster: broadcast.Broadcaster | None = None
        self.differs_since: dict[str, float] = {}
        self.fetched_digests: dict[str, int] = {}

    def digest(self, call: dialect.Call) -> int:
        """Return the digest of the parts of a request that stay the same when it is resent.

        The program names the caller. A turn that is sent again may belong to another session.
        """
        state = xxhash.xxh64(call.target)
        state.update(call.body)
        for text in (call.host, call.program_id):
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
        self.pass_on(digest, process, ended)

    def join(
        self,
        joined: membership.Membership,
        network: peers.Network,
        broadcaster: broadcast.Broadcaster,
    ) -> None:
        """Start to exchange crashes with the members of a fleet."""
        self.membership = joined
        self.network = network
        self.broadcaster = broadcaster
        self.recorder.is_cleaner = lambda: joined.table.alive()[:1] == [joined.table.local]
        network.handlers.register(ttypes.ServerCrash, self.on_server_crash)
        network.handlers.register(ttypes.CrashFetch, self.on_fetch)

    def pass_on(
        self, digest: int, process: servers.ProcessKey, ended: bool, part_end: int | None = None
    ) -> None:
        """Pass a crash on to the members of a part of the ring."""
        if self.broadcaster is None:
            return

        async def deliver(member: members.Member, end: int) -> None:
            message = to_wire(digest, process, ended)
            message.part_end = end
            try:
                await self.broadcaster.request(member, message)
            except exceptions.PeerError as error:
                log_report_failure(member, digest, error)
                raise

        self.broadcaster.start(deliver, part_end)

    async def on_server_crash(
        self, sender: ttypes.Member, message: ttypes.ServerCrash
    ) -> ttypes.Ack:
        """Handle a crash passed on by another node."""
        if self.apply_message(message) and message.part_end is not None:
            process = (message.server, message.started_ms or 0)
            self.pass_on(int(message.digest, 16), process, bool(message.ended), message.part_end)
        return ttypes.Ack(ok=True)

    def apply_message(self, message: ttypes.ServerCrash) -> bool:
        """Add a crash known to another node; return whether it is news."""
        process = (message.server, message.started_ms or 0)
        return self.evidence.add(
            int(message.digest, 16),
            process,
            ended=bool(message.ended),
            age_s=(message.age_ms or 0) / 1000,
        )

    def compare_digest(self, member: members.Member, digest: int) -> None:
        """Fetch the crashes of a member in the background if its digest stays different.

        Parameters
        ----------
        digest : int
            The member's digest of the crashes that it knows; it fetches those of this node itself.
        """
        node = member.node
        if digest in (self.evidence.digest(), self.fetched_digests.get(node)):
            self.differs_since.pop(node, None)
            return
        since = self.differs_since.setdefault(node, clock.now())
        if clock.now() - since >= SYNC_DELAY_S and self.broadcaster is not None:
            self.differs_since[node] = clock.now()
            background.start(self.broadcaster.tasks, self.synchronize, member, digest)

    async def synchronize(self, member: members.Member, digest: int) -> None:
        """Fetch the crashes of a member, and remember its digest if that succeeded."""
        if await self.fetch(member):
            self.fetched_digests[member.node] = digest

    async def on_fetch(
        self, sender: ttypes.Member, message: ttypes.CrashFetch
    ) -> ttypes.CrashFetchReply:
        """Handle the request of a starting node."""
        return ttypes.CrashFetchReply(
            crashes=[
                to_wire(digest, process, True, clock.now() - suspicion.at)
                for digest, ended in self.evidence.confirmed()
                for process, suspicion in ended.items()
            ]
        )

    async def load(self) -> None:
        """Learn the crashes from before the start of this process, from a node and the store."""
        for member in self.membership.table.alive():
            if member is self.membership.table.local:
                continue
            if await self.fetch(member):
                break
        await self.recorder.load()

    async def fetch(self, member: members.Member) -> bool:
        """Fetch the crashes that a member knows; return whether it replied."""
        try:
            reply = await self.network.request(
                member.peer_address,
                ttypes.CrashFetch(),
                ttypes.CrashFetchReply,
                timeout_s=FETCH_TIMEOUT_S,
            )
        except exceptions.PeerError as error:
            log_fetch_failure(member, error)
            return False
        for crash in reply.message.crashes or []:
            self.apply_message(crash)
        return True

    def is_refused(self, digest: int) -> bool:
        """Return whether a request has to be refused."""
        return self.evidence.crashes(digest) >= crash_evidence.MAX_CRASHES


def to_wire(
    digest: int, process: servers.ProcessKey, ended: bool, age_s: float = 0.0
) -> ttypes.ServerCrash:
    """Return a crash as a message."""
    server_id, started_ms = process
    return ttypes.ServerCrash(
        digest=f"{digest:016x}",
        server=server_id,
        started_ms=started_ms,
        ended=ended,
        age_ms=round(age_s * 1000),
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


def log_fetch_failure(member: members.Member, error: exceptions.PeerError) -> None:
    """Log that the crashes known to a node could not be fetched; the next one is asked."""
    events.emit(
        events.Event.SUSPECT_REPORT_FAILED,
        "failed to fetch the crashes known to another node",
        node=member.node,
        detail=error.detail,
    )
