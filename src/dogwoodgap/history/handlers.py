"""Answers the messages that storage VMs get from gateways and from each other."""

import collections.abc
import itertools

from dogwoodgap import exceptions, exposition, peers
from dogwoodgap.history import completeness, log, registry, repair
from dogwoodgap_wire import ttypes

MAX_EXPIRY_MS = 2**63 - 1
"""Largest time of a message."""


MAX_REFUSED_TURNS = 5_000
"""Refused turns that are remembered, those of a minute; the oldest ones are forgotten first."""

MAX_NAMED_TURNS = 1_000
"""Refused turns that are named in one reply, about 50 kB."""


class TurnHandlers:
    """Handlers of one storage VM.

    Parameters
    ----------
    refusal : callable
        Returns why the VM accepts no turns, or an empty string.
    """

    def __init__(
        self,
        turn_log: log.TurnLog,
        vm_registry: registry.Registry,
        repairer: repair.Repairer,
        vm_completeness: completeness.Completeness,
        refusal: collections.abc.Callable[[], str],
    ):
        self.turn_log = turn_log
        self.registry = vm_registry
        self.repairer = repairer
        self.completeness = vm_completeness
        self.refusal = refusal
        self.refused: dict[str, int] = {}

    def register(self, network: peers.Network) -> None:
        """Answer the messages that arrive over a network."""
        network.handlers.register(ttypes.TurnStore, self.on_store)
        network.handlers.register(ttypes.TurnFetch, self.on_fetch)
        network.handlers.register(ttypes.TurnOffer, self.on_offer)

    async def on_store(
        self, sender: ttypes.Member, message: ttypes.TurnStore
    ) -> ttypes.TurnStoreReply:
        """Store turns; the reply is sent once they are durable."""
        turns = message.turns or []
        if reason := self.refusal():
            return refuse("leaving", reason)
        if not all(is_valid(turn) for turn in turns):
            return refuse("invalid", "a turn has no id or no time of expiry")
        try:
            await self.turn_log.store(turns)
        except exceptions.HistoryUnavailableError as error:
            self.record_refused(turns)
            return refuse("refused", error.detail)
        exposition.stored_turns.labels("stored").inc(len(turns))
        if sender.node not in {vm.node for vm in self.registry.vms}:
            self.repairer.add_substitute(turn.id for turn in turns)
        return ttypes.TurnStoreReply(stored=True)

    async def on_fetch(
        self, sender: ttypes.Member, message: ttypes.TurnFetch
    ) -> ttypes.TurnFetchReply:
        """Return turns."""
        turns = message.ids or []
        # Asked before the turns are looked up: it must not become true in between.
        is_complete = self.completeness.is_complete(log.now_ms())
        fetched = await self.turn_log.fetch(turns)
        exposition.fetched_turns.labels("found").inc(len(fetched.turns))
        exposition.fetched_turns.labels("unread").inc(len(fetched.unread))
        exposition.fetched_turns.labels("omitted").inc(len(fetched.omitted))
        found = len(fetched.turns) + len(fetched.unread) + len(fetched.omitted)
        exposition.fetched_turns.labels("missing").inc(max(0, len(turns) - found))
        return ttypes.TurnFetchReply(
            turns=fetched.turns,
            is_complete=is_complete and not fetched.unread and not fetched.omitted,
            omitted=fetched.omitted or None,
        )

    async def on_offer(
        self, sender: ttypes.Member, message: ttypes.TurnOffer
    ) -> ttypes.TurnOfferReply:
        """Name the turns that this VM lacks, and extend the expiry of the others."""
        self.completeness.record_offer(
            sender.node or "",
            is_complete=bool(message.is_complete),
            has_offered_all=message.offered_all_to == self.registry.local.boot,
        )
        offered = dict(zip(message.ids or [], message.expires_ms or [], strict=True))
        missing = [turn for turn in offered if self.turn_log.expiry(turn) is None]
        later = {
            turn: expires_ms
            for turn, expires_ms in offered.items()
            if (known := self.turn_log.expiry(turn)) is not None and known < expires_ms
        }
        if later:
            try:
                await self.turn_log.extend(later)
            except exceptions.HistoryUnavailableError:
                # The sender offers them again, as they are not confirmed; the log reports failures.
                missing += later
        if not self.refusal():
            missing += (turn for turn in self.refused_turns() if turn not in offered)
        return ttypes.TurnOfferReply(missing=missing)

    def record_refused(self, turns: collections.abc.Iterable[ttypes.TurnRecord]) -> None:
        """Remember turns that the disk refused, to ask the other VMs for them."""
        for turn in turns:
            self.refused[turn.id] = max(turn.expires_ms or 0, self.refused.get(turn.id, 0))
        while len(self.refused) > MAX_REFUSED_TURNS:
            del self.refused[next(iter(self.refused))]

    def refused_turns(self) -> list[str]:
        """Return turns that were refused, and are still lacking or would expire too early."""
        now_ms = log.now_ms()
        self.refused = {
            turn: expires_ms
            for turn, expires_ms in self.refused.items()
            if expires_ms > now_ms and (self.turn_log.expiry(turn) or 0) < expires_ms
        }
        return list(itertools.islice(self.refused, MAX_NAMED_TURNS))


def is_valid(turn: ttypes.TurnRecord) -> bool:
    """Return whether a turn can be stored."""
    return bool(turn.id) and turn.expires_ms is not None and 0 <= turn.expires_ms <= MAX_EXPIRY_MS


def refuse(result: str, reason: str) -> ttypes.TurnStoreReply:
    """Return the reply to turns that were not stored, and count them."""
    exposition.stored_turns.labels(result).inc()
    return ttypes.TurnStoreReply(stored=False, reason=reason)
