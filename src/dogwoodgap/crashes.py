"""Forwarded requests that crash the servers that run them.

A request that was alone to blame comes again with the same path, caller and body. Two crashes
with one digest have it refused, on all nodes that hear of them.
"""

import collections
import collections.abc
import dataclasses
import logging

import anyio.abc
import xxhash

from dogwoodgap import clock, dialect, events, exceptions, members, peers
from dogwoodgap_wire import ttypes

MAX_CRASHES = 2
"""Crashes after which a request is refused; the operators allow three."""

REMEMBERED_S = 120.0
"""Time after the last crash during which a digest stays refused."""

MAX_DIGESTS = 4_096
REFUSED_RETRY_S = 2.0
NOTICE_TIMEOUT_S = 0.5


@dataclasses.dataclass(slots=True)
class Suspicion:
    """Crashes that one digest was in flight at."""

    crashes: int
    at: float


class CrashLog:
    """Digests of requests in flight at crashes, as one node knows them."""

    def __init__(self) -> None:
        self.suspicions: collections.OrderedDict[int, Suspicion] = collections.OrderedDict()
        self.hooks: list[collections.abc.Callable[[int, int], None]] = []

    def digest(self, call: dialect.Call) -> int:
        """Return the digest of what a repeated request has in common with the first one."""
        state = xxhash.xxh64(call.target)
        state.update(call.body)
        for text in (call.host, call.program_id, call.session_id):
            state.update(text.encode("latin-1"))
        return state.intdigest()

    def note_crash(self, digest: int) -> None:
        """Record that a server crashed while it ran a request, and tell other nodes."""
        known = self.suspicions.get(digest)
        crashes = (known.crashes if known else 0) + 1
        self.merge(digest, crashes)
        for hook in self.hooks:
            hook(digest, crashes)

    def merge(self, digest: int, crashes: int) -> None:
        """Take over a number of crashes, as counted here or by another node."""
        known = self.suspicions.pop(digest, None)
        crashes = max(crashes, known.crashes if known else 0)
        self.suspicions[digest] = Suspicion(crashes, clock.now())
        while len(self.suspicions) > MAX_DIGESTS:
            self.suspicions.popitem(last=False)
        events.emit(
            events.Event.DIGEST_SUSPECTED,
            "a request was in flight when a backend server crashed",
            level=logging.WARNING,
            digest=f"{digest:016x}",
            crashes=crashes,
        )

    def share(
        self,
        network: peers.Network,
        others: collections.abc.Callable[[], list[members.Member]],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Tell other nodes of crashes and take over what they tell."""

        async def send(member: members.Member, message: ttypes.SuspectNotice) -> None:
            try:
                await network.request(
                    member.peer_address, message, ttypes.Ack, timeout_s=NOTICE_TIMEOUT_S
                )
            except exceptions.PeerError as error:
                events.emit(
                    events.Event.SUSPECT_REPORT_FAILED,
                    "a crash could not be reported to a node",
                    level=logging.WARNING,
                    node=member.node,
                    digest=message.digest,
                    detail=error.detail,
                )

        def tell(digest: int, crashes: int) -> None:
            message = ttypes.SuspectNotice(digest=f"{digest:016x}", crashes=crashes)
            for member in others():
                tasks.start_soon(send, member, message)

        async def on_notice(sender: ttypes.Member, message: ttypes.SuspectNotice) -> ttypes.Ack:
            self.merge(int(message.digest, 16), message.crashes or 0)
            return ttypes.Ack(ok=True)

        self.hooks.append(tell)
        network.handlers.register(ttypes.SuspectNotice, on_notice)

    def note_success(self, digest: int) -> None:
        """Clear a request that a server has completed."""
        if self.suspicions:
            self.suspicions.pop(digest, None)

    def is_refused(self, digest: int) -> bool:
        """Return whether a request is refused."""
        known = self.suspicions.get(digest)
        if known is None:
            return False
        if clock.now() - known.at > REMEMBERED_S:
            del self.suspicions[digest]
            return False
        return known.crashes >= MAX_CRASHES
