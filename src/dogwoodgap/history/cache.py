"""Turns that this gateway has recently read or stored, bounded in bytes."""

import math

import cachetools

from dogwoodgap.history import turns

MEMORY_SHARE = 32
"""Memory of a process per memory for cached turns."""

DEFAULT_BYTES = 4_000_000
"""Size without a memory limit: about 1,200 turns of 2.8 kB, a minute of 20 turns per second."""


def size_bytes(memory_bytes: float) -> float:
    """Return the size of the cache of a process, given its memory limit or infinity."""
    return DEFAULT_BYTES if math.isinf(memory_bytes) else memory_bytes / MEMORY_SHARE


class TurnCache:
    """Turns by id; the least recently used ones are evicted first.

    Parameters
    ----------
    max_bytes : float
        Largest sum of the sizes of the turns.
    """

    def __init__(self, max_bytes: float):
        self.turns: cachetools.LRUCache[str, turns.Turn] = cachetools.LRUCache(
            max_bytes, getsizeof=lambda turn: turn.memory_bytes
        )

    def put(self, turn: turns.Turn) -> None:
        """Keep a turn unless it is larger than the whole cache."""
        if turn.memory_bytes <= self.turns.maxsize:
            self.turns[turn.id] = turn

    def get(self, turn_id: str, now_ms: int) -> turns.Turn | None:
        """Return a turn that has not expired, or None.

        Another gateway may have extended a turn that has expired here.
        """
        turn = self.turns.get(turn_id)
        if turn is not None and turn.expires_ms <= now_ms:
            del self.turns[turn_id]
            return None
        return turn
