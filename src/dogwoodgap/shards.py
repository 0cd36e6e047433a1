"""Shards: which node owns which programs and idempotency keys."""

import xxhash

SHARD_COUNT = 1024


def shard_of(text: str) -> int:
    """Return the shard of a text."""
    return xxhash.xxh3_64_intdigest(text.encode()) % SHARD_COUNT


def root_of(program: str) -> str:
    """Return the root program's id of a program's id."""
    return program.partition(".")[0]


def program_shard(customer: str, program: str) -> int:
    """Return the shard of a program; children share it with their root."""
    return shard_of(f"{customer}/{root_of(program)}")


def key_shard(customer: str, key: str) -> int:
    """Return the shard of an idempotency key."""
    return shard_of(f"{customer}/key/{key}")
