"""Benchmark of the call path: the same calls sent directly to an engine and through a node."""

import collections.abc
import dataclasses
import os
import pathlib
import statistics
import sys

import anyio
import httpx

from dogwoodgap import clock
from dogwoodgap_lab import bench_fleet, bench_load, deployments

PLATFORM_DELAY_S = 0.002
START_TIMEOUT_S = 60.0
WARM_UP_S = 2.0
SHORT_TOKENS = 4
STREAM_TOKENS = 600
STREAMS_PER_RUNNER = 50
CALLERS = 48
LIGHT_STREAMS = 8
SAMPLES = 200
PROGRAMS = 1_000
PROGRAM_TURNS = 5
CPU_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """One measured figure and its target.

    Attributes
    ----------
    target : float or None
        None for figures without a target.
    at_most : bool
        Whether the target is an upper limit.
    """

    name: str
    unit: str
    measured: float
    target: float | None = None
    at_most: bool = True

    @property
    def verdict(self) -> str:
        """Return ``met`` or ``missed``, or ``-`` without a target."""
        if self.target is None:
            return "-"
        met = self.measured <= self.target if self.at_most else self.measured >= self.target
        return "met" if met else "missed"


@dataclasses.dataclass(frozen=True, slots=True)
class Rate:
    """Events per second in a window, and the CPU cores that the node used meanwhile."""

    per_s: float
    cores: float

    @property
    def cpu_us(self) -> float:
        """Return the CPU time per event in microseconds."""
        return 1e6 * self.cores / self.per_s if self.per_s else 0.0


class ProcessStats:
    """CPU time and memory of a process, read from ``/proc``."""

    def __init__(self, pid: int):
        self.folder = pathlib.Path(f"/proc/{pid}")

    def cpu_s(self) -> float:
        """Return the CPU time used so far in seconds."""
        fields = (self.folder / "stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CPU_TICKS_PER_S

    def rss_mb(self) -> float:
        """Return the resident memory in MB (1,000,000 bytes)."""
        pages = int((self.folder / "statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


class Counter:
    """A count of events that all workers share."""

    def __init__(self) -> None:
        self.total = 0

    def add(self, number: int) -> None:
        """Add a number of events."""
        self.total += number


Worker = collections.abc.Callable[[int, Counter], collections.abc.Awaitable[None]]


class Bench:
    """Runs all measurements against the processes of a layout.

    Attributes
    ----------
    seconds : float
        Length of the window of each rate.
    failed_calls : int
        Calls that were refused or whose answer was incomplete.
    """

    def __init__(self, layout: bench_fleet.Layout, seconds: float):
        self.layout = layout
        self.seconds = seconds
        self.failed_calls = 0

    async def run(self) -> list[Result]:
        """Run all measurements and return their results."""
        await self.prepare()
        pid = int((self.layout.folder / f"{bench_fleet.NODE}.pid").read_text())
        self.process = ProcessStats(pid)
        idle = self.process.rss_mb()
        programs = await self.memory_of_programs()
        return [
            *await self.latencies(),
            *await self.call_rate(),
            *await self.token_rates(),
            Result("calls refused or not whole", "", self.failed_calls, 0.0),
            Result("RSS of the idle node", "MB", idle, 64.0),
            programs,
            Result("RSS after the load", "MB", self.process.rss_mb()),
        ]

    async def prepare(self) -> None:
        """Configure the fleet, wait until node and engines serve, and delay the platform."""
        async with httpx.AsyncClient(trust_env=False) as client:
            with anyio.fail_after(START_TIMEOUT_S):
                await wait_for_success(lambda: client.get(f"{self.layout.platform}/stats"))
                await wait_for_success(
                    lambda: client.get(f"{self.layout.node}/health"), b'"ready":true'
                )
                await wait_for_success(lambda: self.configure(client))
                for speed in bench_fleet.SPEEDS:
                    for engine in self.layout.engines(speed):
                        await wait_for_success(lambda engine=engine: client.get(f"{engine}/stats"))
            faults = {"delay_s": PLATFORM_DELAY_S}
            reply = await client.put(f"{self.layout.platform}/faults", json=faults)
            reply.raise_for_status()
        await anyio.sleep(WARM_UP_S)

    async def configure(self, client: httpx.AsyncClient) -> httpx.Response:
        """Write the fleet configuration."""
        return await client.put(
            f"{self.layout.node}/admin/v1/configuration",
            json=self.layout.configuration().model_dump(mode="json"),
            headers={
                "Authorization": f"Bearer {deployments.ADMIN_TOKEN}",
                "If-Match": '"0"',
            },
        )

    def caller(self, speed: bench_fleet.Speed, max_tokens: int, direct: int = -1):
        """Return a caller of the node, or of the engine with the index ``direct`` if not -1."""
        if direct < 0:
            return bench_load.Caller(self.layout.node, speed.service, False, max_tokens)
        engines = self.layout.engines(speed)
        base_url = engines[direct % len(engines)]
        return bench_load.Caller(base_url, speed.service, True, max_tokens)

    async def latencies(self) -> list[Result]:
        """Measure single calls, alternating engine and node so that both see the same load."""
        direct = self.caller(bench_fleet.SHORT, SHORT_TOKENS, 0)
        through = self.caller(bench_fleet.SHORT, SHORT_TOKENS)
        engine, node = (
            bench_load.Connection(direct.base_url),
            bench_load.Connection(through.base_url),
        )
        call_times: list[list[float]] = [[], []]
        first_token_times: list[list[float]] = [[], []]
        for _ in range(SAMPLES):
            call_times[0].append(await direct.call(engine))
            call_times[1].append(await through.call(node))
        for _ in range(SAMPLES):
            first_token_times[0].append(await direct.stream(lambda _: None))
            first_token_times[1].append(await through.stream(lambda _: None))
        await engine.close()
        await node.close()
        return [
            Result("added to a short call, p50", "ms", added_ms(call_times, 50), 3.0),
            Result("added to a short call, p95", "ms", added_ms(call_times, 95)),
            Result("added to the first token, p50", "ms", added_ms(first_token_times, 50), 3.0),
            Result("added to the first token, p95", "ms", added_ms(first_token_times, 95)),
            Result("short call directly, p50", "ms", 1e3 * statistics.median(call_times[0])),
        ]

    async def memory_of_programs(self) -> Result:
        """Create active programs with some turns and measure the node's memory."""
        async with anyio.create_task_group() as tasks:
            for _ in range(CALLERS):
                tasks.start_soon(self.create_active_programs, PROGRAMS // CALLERS + 1)
        rss_mb = self.process.rss_mb()
        count = CALLERS * (PROGRAMS // CALLERS + 1)
        return Result(f"RSS with {count:,} programs of {PROGRAM_TURNS} turns", "MB", rss_mb)

    async def create_active_programs(self, number: int) -> None:
        """Create programs, make the calls of their turns and leave them active."""
        for _ in range(number):
            caller = self.caller(bench_fleet.SHORT, SHORT_TOKENS)
            connection = bench_load.Connection(caller.base_url)
            for _ in range(PROGRAM_TURNS):
                await caller.call(connection)
            await connection.close()

    async def call_rate(self) -> list[Result]:
        """Measure the rate of short calls that are not streamed."""
        direct = await self.rate(CALLERS, self.calls_to(bench_fleet.SHORT, direct=True))
        node = await self.rate(CALLERS, self.calls_to(bench_fleet.SHORT, direct=False))
        return [
            Result(f"calls with {CALLERS} callers", "1/s", node.per_s, 300.0, at_most=False),
            Result("node CPU per call", "µs", node.cpu_us),
            Result("node cores during calls", "cores", node.cores),
            Result(f"calls directly with {CALLERS} callers", "1/s", direct.per_s),
        ]

    async def token_rates(self) -> list[Result]:
        """Measure rates of streamed tokens, with one and with several per write of the engine."""
        results: list[Result] = []
        for speed in (bench_fleet.SINGLE, bench_fleet.BATCHED):
            streams = STREAMS_PER_RUNNER * speed.runners
            few_streams = await self.rate(LIGHT_STREAMS, self.streams_to(speed, direct=False))
            many_streams = await self.rate(streams, self.streams_to(speed, direct=False))
            direct = await self.rate(streams, self.streams_to(speed, direct=True))
            name = f"{speed.tokens_per_step} per write, {streams} streams"
            few_name = f"{speed.tokens_per_step} per write, {LIGHT_STREAMS} streams"
            results += [
                Result(f"tokens, {name}", "1/s", many_streams.per_s, 20_000.0, at_most=False),
                Result(f"node CPU per token, {name}", "µs", many_streams.cpu_us),
                Result(f"node cores, {name}", "cores", many_streams.cores),
                Result(f"tokens directly, {name}", "1/s", direct.per_s),
                Result(f"node CPU per token, {few_name}", "µs", few_streams.cpu_us),
            ]
        return results

    def count_failure(self, caller: bench_load.Caller, error: bench_load.BenchCallError) -> None:
        """Count a failed call and make the caller continue with a new program."""
        self.failed_calls += 1
        caller.seq = 0
        sys.stderr.write(f"{error}\n")

    def calls_to(self, speed: bench_fleet.Speed, *, direct: bool) -> Worker:
        """Return a worker that makes short calls until cancelled."""

        async def work(number: int, counter: Counter) -> None:
            caller = self.caller(speed, SHORT_TOKENS, number if direct else -1)
            connection = bench_load.Connection(caller.base_url)
            while True:
                try:
                    await caller.call(connection)
                    counter.add(1)
                except bench_load.BenchCallError as error:
                    self.count_failure(caller, error)

        return work

    def streams_to(self, speed: bench_fleet.Speed, *, direct: bool) -> Worker:
        """Return a worker that streams answers until cancelled."""

        async def work(number: int, counter: Counter) -> None:
            caller = self.caller(speed, STREAM_TOKENS, number if direct else -1)
            # Staggered starts keep the streams from ending at the same time.
            await anyio.sleep(WARM_UP_S / 2 * (number % 10) / 10)
            while True:
                try:
                    await caller.stream(counter.add)
                except bench_load.BenchCallError as error:
                    self.count_failure(caller, error)

        return work

    async def rate(self, workers: int, work: Worker) -> Rate:
        """Run workers and measure one window after a warm-up."""
        counter = Counter()
        async with anyio.create_task_group() as tasks:
            for number in range(workers):
                tasks.start_soon(work, number, counter)
            await anyio.sleep(WARM_UP_S)
            before, cpu_s, started = counter.total, self.process.cpu_s(), clock.now()
            await anyio.sleep(self.seconds)
            elapsed_s = clock.now() - started
            rate = Rate(
                (counter.total - before) / elapsed_s, (self.process.cpu_s() - cpu_s) / elapsed_s
            )
            tasks.cancel_scope.cancel()
        # Gives the node time to stop the cancelled calls before the next measurement.
        await anyio.sleep(1.0)
        return rate


def added_ms(samples: list[list[float]], percentile: int) -> float:
    """Return how much a percentile through the node exceeds the direct one, in milliseconds."""
    direct, through = (
        statistics.quantiles(times, n=100, method="inclusive")[percentile - 1] for times in samples
    )
    return 1e3 * (through - direct)


async def wait_for_success(
    send: collections.abc.Callable[[], collections.abc.Awaitable[httpx.Response]],
    expected: bytes = b"",
) -> None:
    """Repeat a request until it succeeds and its answer contains ``expected``."""
    while True:
        try:
            reply = await send()
            if reply.is_success and expected in reply.content:
                return
        except httpx.HTTPError:
            pass
        await anyio.sleep(0.1)


def table(results: list[Result]) -> str:
    """Return the results as a Markdown table."""
    lines = ["| figure | unit | aim | measured | result |", "| --- | --- | --- | --- | --- |"]
    for item in results:
        sign = "≤" if item.at_most else "≥"
        target = "-" if item.target is None else f"{sign} {item.target:,g}"
        measured = f"{item.measured:,.0f}" if item.measured >= 100 else f"{item.measured:.2f}"
        lines.append(f"| {item.name} | {item.unit} | {target} | {measured} | {item.verdict} |")
    return "\n".join(lines) + "\n"


def page(
    results: list[Result], command: str, load_averages: list[tuple[float, float, float]]
) -> str:
    """Return the Markdown page with the results, the command and the load averages."""
    before, after = (", ".join(f"{value:.1f}" for value in load) for load in load_averages)
    return (
        "# Benchmark of the call path\n\n"
        f"Command: `{command}`\n\n"
        f"Platform delay: {1e3 * PLATFORM_DELAY_S:g} ms a call. One node, nothing pinned; "
        f"{os.cpu_count()} processors. Load average (1, 5, 15 minutes) before: {before}; "
        f"after: {after}.\n\n{table(results)}"
    )
