"""Measure the state and the operations of one node, without a fleet.

Covers the program table, checkpoints, replay, configuration, decisions and the group commit.
"""

import dataclasses
import gc
import hashlib
import os
import pathlib
import random
import time

import anyio

from dogwoodgap import (
    clock,
    hashing,
    journal,
    models,
    objectstore,
    programs,
    records,
    revisions,
    runners,
    scheduler,
    shards,
    snapshots,
    structures,
    transfer,
)
from dogwoodgap_lab import capacity_fit, objects

CUSTOMERS = 640
KEYS = 1_280
MODELS = 7
RUNNERS = 620
VOCABULARY = 20_000
CORPUS_WORDS = 1_000_000
CHARACTERS_PER_TOKEN = 4
REPETITIONS = 5
DECISIONS = 2_000
PLATFORM_DELAY_S = 0.002
PAUSE_CHECK_INTERVAL_S = 0.005
COMMIT_TRIAL_S = 120.0
PLATFORM_WRITES_PER_S = 300.0


def resident_bytes(pid: int | None = None) -> int:
    """Return the resident memory of a process, by default of this one."""
    fields = pathlib.Path(f"/proc/{pid or 'self'}/statm").read_text(encoding="ascii").split()
    return int(fields[1]) * os.sysconf("SC_PAGE_SIZE")


def longest_duration_s(function, repetitions: int = REPETITIONS) -> float:  # noqa: ANN001
    """Return the longest duration of several calls of a function, in seconds."""
    found = []
    for _ in range(repetitions):
        started = time.perf_counter()
        function()
        found.append(time.perf_counter() - started)
    return max(found)


class RandomText:
    """Random text with the Zipf-like word frequencies of natural language."""

    def __init__(self, seed: int = 0):
        self.rng = random.Random(seed)
        letters = "etaoinshrdlucmfwyp"
        words = [
            "".join(self.rng.choices(letters, k=self.rng.randint(2, 9))) for _ in range(VOCABULARY)
        ]
        weights = [1 / (rank + 3) for rank in range(VOCABULARY)]
        self.corpus = " ".join(self.rng.choices(words, weights, k=CORPUS_WORDS))

    def passage(self, characters: int) -> str:
        """Return a random passage; most repeats lie outside the compressor's window of 32 KB."""
        start = self.rng.randrange(len(self.corpus) - characters)
        return self.corpus[start : start + characters]


def build_program_table(
    count: int, turns: int, characters: int
) -> tuple[programs.ProgramTable, list[bytes]]:
    """Return a table of programs and the journal segments that replay to it."""
    random_text = RandomText()
    table = programs.ProgramTable(generations=dict.fromkeys(range(shards.SHARD_COUNT), 1))
    segments: list[bytes] = []
    batch: list[records.Record] = [records.ShardAcquired(n, 1) for n in range(shards.SHARD_COUNT)]
    size = 0
    for number in range(count):
        for record in program_records(random_text, f"p{number}", turns, characters):
            table.apply(record)
            batch.append(record)
            size += records.encoded_size(record)
            if size > journal.MAX_SEGMENT_BYTES // 2:
                segments.append(records.encode_segment(records.Segment("n", batch)))
                batch, size = [], 0
    segments.append(records.encode_segment(records.Segment("n", batch)))
    return table, segments


def program_records(
    random_text: RandomText, name: str, turns: int, characters: int
) -> list[records.Record]:
    """Return the records of one program; half of a turn's text comes from the caller."""
    customer = f"c{hashing.stable_hash(name) % CUSTOMERS}"
    found: list[records.Record] = [
        records.ProgramCreated(customer, name, "s", "default", 10**9, 0.0, 1e12)
    ]
    tokens = 0
    for seq in range(1, turns + 1):
        digest = hashlib.blake2b(f"{name}/{seq}".encode(), digest_size=16).hexdigest()
        found.append(records.CallStarted(customer, name, seq, digest, 1_000, 0.0))
        half_characters = characters // 2
        turn = structures.Turn(
            seq=seq,
            digest=digest,
            messages=[structures.Text("user", random_text.passage(half_characters))],
            text=random_text.passage(half_characters),
            prompt_tokens=tokens + half_characters // CHARACTERS_PER_TOKEN,
            cached_tokens=tokens,
            output_tokens=half_characters // CHARACTERS_PER_TOKEN,
            finish_reason="stop",
            runner="s-1",
            finished_at=0.0,
        )
        tokens += 2 * half_characters // CHARACTERS_PER_TOKEN
        found.append(records.CallFinished(customer, name, turn))
    return found


def checkpoint_step(table: programs.ProgramTable) -> list[bytes]:
    """Do the part of ``Checkpointer.checkpoint`` that blocks the event loop."""
    snapshots.expire(table, 0.0, snapshots.RETENTION_S)
    return transfer.pack(snapshots.checkpoint_items(table))


@dataclasses.dataclass
class Timing:
    """Duration of a replay, and the longest time that it blocked the event loop."""

    total_s: float = 0.0
    longest_pause_s: float = 0.0


async def record_pauses(timing: Timing) -> None:
    """Record the longest delay of a periodic task, until cancelled."""
    while True:
        started = time.perf_counter()
        await anyio.sleep(PAUSE_CHECK_INTERVAL_S)
        late_s = time.perf_counter() - started - PAUSE_CHECK_INTERVAL_S
        timing.longest_pause_s = max(timing.longest_pause_s, late_s)


async def replay(segments: list[bytes], timing: Timing) -> programs.ProgramTable:
    """Load the segments as a takeover does, from a store that answers in ``PLATFORM_DELAY_S``."""
    store = objects.MemoryObjectStore()
    owner = shards.Owner("n", "b")
    for seq, data in enumerate(segments, start=1):
        await store.put(journal.segment_key(owner.node, owner.boot, seq), data)
    store.faults.delay_s = PLATFORM_DELAY_S
    shard_numbers = set(range(shards.SHARD_COUNT))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(record_pauses, timing)
        started = time.perf_counter()
        reader = await snapshots.load_journal(store, owner, shard_numbers, "successor/boot")
        timing.total_s = time.perf_counter() - started
        await anyio.sleep(2 * PAUSE_CHECK_INTERVAL_S)
        tasks.cancel_scope.cancel()
    return reader.table


def measure_programs(
    part: str, count: int, turns: int, characters: int, size: float
) -> capacity_fit.Measure:
    """Return memory, journal size, checkpoint pause and replay time of a table.

    Run it in a new process: memory that an earlier table freed would be reused.
    """
    build_program_table(10, 2, 100)
    gc.collect()
    before = resident_bytes()
    table, segments = build_program_table(count, turns, characters)
    gc.collect()
    journal_bytes = sum(len(data) for data in segments)
    table_bytes = resident_bytes() - before - journal_bytes
    parts = checkpoint_step(table)
    checkpoint_pause_s = longest_duration_s(lambda: checkpoint_step(table), 3)
    timing = Timing()
    replayed = anyio.run(replay, segments, timing)
    if len(replayed.programs) != count:
        raise RuntimeError(f"replay found {len(replayed.programs)} of {count} programs")
    values = {
        "rss_mb": table_bytes / 1e6,
        "rss_kb_per_program": table_bytes / 1e3 / count,
        "journal_mb": journal_bytes / 1e6,
        "journal_kb_per_program": journal_bytes / 1e3 / count,
        "checkpoint_mb": sum(len(item) for item in parts) / 1e6,
        "checkpoint_pause_ms": 1e3 * checkpoint_pause_s,
        "replay_s": timing.total_s,
        "replay_longest_pause_ms": 1e3 * timing.longest_pause_s,
        "replay_s_per_journal_mb": timing.total_s / (journal_bytes / 1e6),
    }
    return capacity_fit.Measure(part, size, values)


def target_configuration(
    customers: int = CUSTOMERS, runner_count: int = RUNNERS
) -> models.FleetConfiguration:
    """Return a configuration of the target size in the design page."""
    services = {}
    for number in range(MODELS):
        numbers = range(number, runner_count, MODELS)
        found = [
            models.Runner(
                id=f"model{number}-{runner:03}",
                address=f"http://10.{number}.{runner // 250}.{runner % 250 + 1}:8000",
                data_centre=f"dc{runner % 7}",
            )
            for runner in numbers
        ]
        services[f"model{number}"] = models.Service(kind="model", runners=found)
    document = models.FleetConfiguration(services=services)
    for number in range(customers):
        name = f"customer-{number:04}"
        document.customers[name] = models.Customer(rate_per_s=20.0, concurrency=100)
        for key in range(KEYS // CUSTOMERS):
            digest = hashlib.sha256(f"{name}/{key}".encode()).hexdigest()
            document.keys[f"{name}-{key}"] = models.Key(digest=digest, customer=name)
    return document


def new_directory() -> runners.Directory:
    """Return a directory of runners that polls nothing."""
    unused = None
    return runners.Directory(
        "n", unused, engine_load=unused, service_load=unused, send=lambda notice: None
    )


def measure_configuration(customers: int) -> capacity_fit.Measure:
    """Return the size and cost of a configuration, with runners in proportion to customers."""
    document = target_configuration(customers, max(7, RUNNERS * customers // CUSTOMERS))
    data = document.model_dump_json().encode()
    values = {"document_kb": len(data) / 1e3}

    async def main() -> None:
        directory = new_directory()
        directory.apply(document)
        values["validate_ms"] = 1e3 * longest_duration_s(lambda: revisions.validate(data))
        values["apply_to_directory_ms"] = 1e3 * longest_duration_s(
            lambda: directory.apply(document)
        )

    anyio.run(main, backend_options={"use_uvloop": True})
    return capacity_fit.Measure("configuration (customers)", customers, values)


def measure_decision(runner_count: int) -> capacity_fit.Measure:
    """Return the median and 99th percentile of the dispatcher's decision time."""
    rng = random.Random(0)
    views = [
        structures.RunnerView(
            "s", f"r{n}", f"http://r{n}", f"dc{n % 7}", 16, 200_000, queued=rng.randrange(8)
        )
        for n in range(runner_count)
    ]
    found: list[float] = []

    async def main() -> None:
        dispatcher = scheduler.Dispatcher("s", lambda: views)
        now = clock.now()
        for number in range(DECISIONS):
            item = structures.WorkItem(
                f"p{number}", "c", "s", "default", 2_000, 200, 0, now, now + 60
            )
            started = time.perf_counter()
            placement = await dispatcher.acquire(item)
            found.append(time.perf_counter() - started)
            dispatcher.release(placement)

    anyio.run(main, backend_options={"use_uvloop": True})
    found.sort()
    values = {
        "decision_median_us": 1e6 * found[len(found) // 2],
        "decision_p99_us": 1e6 * found[len(found) * 99 // 100],
    }
    return capacity_fit.Measure("decision (runners)", runner_count, values)


async def commit_trial(calls_per_s: float, writes_per_s: float) -> dict[str, float]:
    """Return the commit times of start records and the write rate of one journal.

    Calls arrive at random.
    """
    table = objects.MemoryObjectStore()
    table.faults.delay_s = PLATFORM_DELAY_S
    writer = journal.Journal(table, "n", "b", objectstore.RateBucket(writes_per_s, 8.0))
    rng = random.Random(0)
    waits: list[float] = []

    async def call(number: int) -> None:
        started = clock.now()
        await writer.append(records.CallStarted("c", f"p{number}", 1, "d" * 32, 100, 0.0))
        waits.append(clock.now() - started)
        await anyio.sleep(rng.expovariate(1.0))
        await writer.append(records.CallFailed("c", f"p{number}", 1, "d" * 32, 100, "x", 0.0))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(writer.run)
        started = clock.now()
        number = 0
        while clock.now() - started < COMMIT_TRIAL_S:
            await anyio.sleep(rng.expovariate(calls_per_s))
            tasks.start_soon(call, number)
            number += 1
        writes = table.calls["write"] / (clock.now() - started)
        tasks.cancel_scope.cancel()
    waits.sort()
    return {
        "start_record_wait_median_s": waits[len(waits) // 2],
        "start_record_wait_p95_s": waits[len(waits) * 95 // 100],
        "journal_writes_per_s": writes,
    }


def measure_commits(calls_per_s: float, nodes: int) -> capacity_fit.Measure:
    """Measure the group commit of one of ``nodes`` nodes, on virtual time.

    The nodes share ``PLATFORM_WRITES_PER_S`` evenly.
    """
    import trio.testing

    found: list[dict[str, float]] = []

    async def main() -> None:
        found.append(await commit_trial(calls_per_s, PLATFORM_WRITES_PER_S / nodes))

    clock_options = {"clock": trio.testing.MockClock(autojump_threshold=0)}
    anyio.run(main, backend="trio", backend_options=clock_options)
    return capacity_fit.Measure(
        f"commit at {calls_per_s:g} calls/s per node (nodes)", nodes, found[0]
    )
