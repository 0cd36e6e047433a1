"""The prefix cache of the fake model engine, whose events may be late or lost."""

import collections
import dataclasses

from dogwoodgap import adapters, clock
from dogwoodgap_lab import faults

EVENT_LIMIT = 10_000


@dataclasses.dataclass(slots=True)
class CacheEntry:
    """A cached prefix; other entries are evicted first until ``retained_until``."""

    tokens: int
    last_used_at: float
    retained_until: float = 0.0


@dataclasses.dataclass(slots=True)
class TimedEvent:
    """A cache event that is reported from ``visible_at`` on, or never if ``lost``."""

    event: adapters.CacheEvent
    visible_at: float
    lost: bool


class PrefixCache:
    """An LRU cache of prefixes that shares its memory with the running requests.

    Attributes
    ----------
    held_token_s, wasted_token_s : float
        Token-seconds that entries were held until their reuse or removal, and the part of them
        that ended with a removal.
    """

    def __init__(self, limit_tokens: int, fault_injector: faults.FaultInjector):
        self.limit_tokens = limit_tokens
        self.fault_injector = fault_injector
        self.entries: collections.OrderedDict[str, CacheEntry] = collections.OrderedDict()
        self.entry_tokens = 0
        self.reserved_tokens = 0
        self.events: collections.deque[TimedEvent] = collections.deque(maxlen=EVENT_LIMIT)
        self.event_seq = 0
        self.held_token_s = 0.0
        self.wasted_token_s = 0.0

    def held_tokens(self) -> int:
        """Return the number of tokens in all cached prefixes."""
        return self.entry_tokens

    def fits(self, tokens: int) -> bool:
        """Return whether a request fits into the memory beside the running ones."""
        return self.reserved_tokens + tokens <= self.limit_tokens

    def reserve(self, tokens: int) -> None:
        """Reserve memory for a request, evicting prefixes as needed."""
        self.reserved_tokens += tokens
        self.evict()

    def unreserve(self, tokens: int) -> None:
        """Free the memory of a request."""
        self.reserved_tokens -= tokens

    def reuse(self, key: str) -> int:
        """Return the number of cached tokens under a key and mark them as reused."""
        entry = self.entries.get(key)
        if entry is None:
            return 0
        self.account_held_time(entry, wasted=False)
        self.entries.move_to_end(key)
        return entry.tokens

    def claim(self, key: str) -> None:
        """Remove a session's entry, whose tokens now belong to a running request.

        The request stores it again when it finishes.
        """
        entry = self.entries.pop(key, None)
        if entry is not None:
            self.entry_tokens -= entry.tokens

    def store(self, key: str, tokens: int) -> None:
        """Add or replace a prefix, evicting the least recently used ones as needed."""
        if not key or not tokens:
            return
        old = self.entries.pop(key, None)
        if old is not None:
            self.entry_tokens -= old.tokens
        self.entries[key] = CacheEntry(tokens, clock.now())
        self.entry_tokens += tokens
        self.record_event("stored", key, tokens)
        self.evict()

    def evict(self) -> None:
        """Remove prefixes until the rest fits; retained ones are removed last."""
        while self.entries and self.entry_tokens + self.reserved_tokens > self.limit_tokens:
            now = clock.now()
            unprotected = (key for key, item in self.entries.items() if item.retained_until <= now)
            self.remove(next(unprotected, next(iter(self.entries))), "evicted")

    def release(self, key: str) -> None:
        """Free a prefix; releasing an absent one is not an error."""
        if key in self.entries:
            self.remove(key, "released")

    def remove(self, key: str, kind: str) -> None:
        """Remove an entry and count the time since its last use as wasted."""
        entry = self.entries.pop(key)
        self.entry_tokens -= entry.tokens
        self.account_held_time(entry, wasted=True)
        self.record_event(kind, key, entry.tokens)

    def account_held_time(self, entry: CacheEntry, *, wasted: bool) -> None:
        """Add the token-seconds since the last use of an entry to the totals."""
        held = entry.tokens * (clock.now() - entry.last_used_at)
        entry.last_used_at = clock.now()
        self.held_token_s += held
        if wasted:
            self.wasted_token_s += held

    def clear(self) -> None:
        """Remove all entries and events, as a crash does."""
        self.entries.clear()
        self.entry_tokens = 0
        self.events.clear()
        self.event_seq = 0

    def retain(self, key: str, seconds: float) -> bool:
        """Retain a prefix for some seconds; return whether it is cached."""
        entry = self.entries.get(key)
        if entry is not None:
            entry.retained_until = clock.now() + seconds
        return entry is not None

    def record_event(self, kind: str, key: str, tokens: int) -> None:
        """Record an event; a lost event leaves a gap in the numbers."""
        self.event_seq += 1
        active_faults = self.fault_injector.faults
        self.events.append(
            TimedEvent(
                adapters.CacheEvent(self.event_seq, kind, key, tokens),
                clock.now() + active_faults.event_delay_s,
                self.fault_injector.should_inject(active_faults.event_loss),
            )
        )

    def events_since(self, since: int) -> adapters.CacheEventPage:
        """Return the visible events after a number.

        After a restart the cursor is lower than ``since``.
        """
        now = clock.now()
        since = since if since <= self.event_seq else 0
        visible = [
            item for item in self.events if item.event.seq > since and item.visible_at <= now
        ]
        cursor = visible[-1].event.seq if visible else since
        return adapters.CacheEventPage([item.event for item in visible if not item.lost], cursor)

    def sessions(self) -> list[adapters.CachedSession]:
        """Return all cached prefixes and their lengths."""
        return [adapters.CachedSession(key, item.tokens) for key, item in self.entries.items()]
