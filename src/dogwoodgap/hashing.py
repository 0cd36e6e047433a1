"""Hashes that are the same on all nodes, and the order of nodes for a name."""

import collections.abc

import xxhash

HASH_BITS = 64


def to_signed(value: int) -> int:
    """Return a 64-bit hash as the signed integer that messages hold."""
    return value - (1 << HASH_BITS) if value >> (HASH_BITS - 1) else value


def stable_hash(text: str) -> int:
    """Return a 64-bit hash that is the same on all nodes."""
    return xxhash.xxh3_64_intdigest(text.encode())


def rendezvous_order(name: str, nodes: collections.abc.Iterable[str]) -> list[str]:
    """Return nodes sorted by their rendezvous hashes for a name."""
    return sorted(nodes, key=lambda node: (stable_hash(f"{name}@{node}"), node))
