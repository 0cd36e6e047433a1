"""Stops gateways as planned under load, and looks for requests that are cut.

    python tests/stop_search.py --seed 1 --count 50
    python tests/stop_search.py --sparse --seed 1 --count 50

Seven gateways run as separate processes between stand-ins of servers, callers and the store. Some
get SIGTERM, close together, and other signals while they stop. Callers that have cached their
addresses go on sending requests there, on kept and on new connections, until the process is gone.
Each seed draws the gateways, the signals and the requests. A request that a server began and whose
caller got no whole answer is a failure, unless it was sent early and a server was still at work on
it at the end of the grace period. A request that no server began is a failure if its connection
ends without a whole answer later than 0.2 s after its last byte was sent.

With ``--sparse``, a stopping gateway gets a few single requests around the time at which it has no
connection left, while some of the other gateways are suspended for a moment.
"""

import argparse
import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import itertools
import json
import math
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

import crash_search
from stand_ins import clients, gateways, http, scene

GRACE_S = 8.0
LATE_S = 3.0
"""Time after the SIGTERM up to which a request may be cut that takes too long."""

LAST_SHARE = 1 / 6
"""Last part of the grace period, in which a server has to be at work on such a request."""

WARM_UP_S = 4.0
SPREAD_S = 4.0
"""Time in which all stops of a run begin."""

SLACK_S = 0.2
"""Time after the last byte of a request in which its connection may still cross the close."""

END_S = 1.5
CALLERS = 40
QUIET_AFTER_S = 3.0
"""Time after the SIGTERM from which a gateway without connections may end."""

SPARSE_REQUESTS = (2, 5)
"""Requests that a stopping gateway gets from sparse callers."""

SPARSE_FROM_S, SPARSE_FOR_S = -0.1, 0.7
"""Begin, relative to ``QUIET_AFTER_S``, and length of the time in which they are sent."""

PAUSE_S = (0.05, 0.8)
"""How long another gateway is suspended."""

RESET_S = 0.02
LAG_INTERVAL_S = 0.02
SERVERS = 6
SLOTS = 24


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request: what it is sent as, and how long a server works on it."""

    prefix: str
    service: str
    route_kind: str
    timeout_ms: int
    work_s: float
    attempts: int = 1
    options: tuple[tuple[str, object], ...] = ()


STREAM_OPTIONS = (("sticky", True), ("resumable", True), ("retain", False), ("gapAimMs", 200))
KINDS = [
    Kind("/acts/", "acts", "non_idempotent", 3000, 0.087),
    Kind("/pays/", "pays", "non_idempotent", 3000, 1.2),
    Kind("/reads/", "plain", "idempotent", 1200, 0.03, attempts=2),
    Kind("/looks/", "looks", "idempotent", 3000, 0.35, attempts=2),
    Kind("/turns/", "model", "streaming", 4000, 0.5, options=STREAM_OPTIONS),
    Kind("/talks/", "talks", "streaming", 4000, 3.0, options=STREAM_OPTIONS),
]
ENGINE = {"slots": SLOTS, "kvTokens": 125987, "eventTokens": scene.EVENT_TOKENS}
EVENTS = 10


def configuration() -> dict:
    """Return one route and one service for each kind of request."""
    routes, services = [], []
    for kind in KINDS:
        route = {
            "name": kind.service,
            "host": clients.HOST,
            "pathPrefix": kind.prefix,
            "kind": kind.route_kind,
            "timeoutMs": kind.timeout_ms,
            "sloMs": 200,
            "priority": 1,
            "service": kind.service,
            "attempts": kind.attempts,
            **dict(kind.options),
        }
        service = {"name": kind.service, "maxConns": 170}
        if kind.route_kind == "streaming":
            service["engine"] = ENGINE
        routes.append(route)
        services.append(service)
    return {**scene.CONFIGURATION, "routes": routes, "services": services}


@dataclasses.dataclass
class Attempt(clients.Attempt):
    """A request of a caller; the times are 0 if the request did not come to that.

    Attributes
    ----------
    sent_at : float
        When its last byte was sent.
    closed_at : float
        When the gateway closed the connection without a whole answer.
    """

    sent_at: float = 0.0
    closed_at: float = 0.0


@dataclasses.dataclass
class Stop:
    """A planned stop of one gateway, from the SIGTERM to the end of the process."""

    begin: float
    end: float

    def covers(self, at: float) -> bool:
        """Return whether the loss of a connection at a time counts."""
        return self.begin <= at <= self.end + 1.0


class Search:
    """One run: its gateways, its planned stops, and what callers got."""

    def __init__(self, seed: int, folder: pathlib.Path, build: pathlib.Path):
        self.random = random.Random(seed)
        random.seed()
        self.scene = scene.Scene(scene.free_net(scene.GATEWAYS), folder)
        random.seed(seed)
        for gateway in self.scene.gateways:
            gateway.__class__ = crash_search.Gateway
            gateway.build = build
        self.folder = folder
        self.stops: dict[str, list[Stop]] = collections.defaultdict(list)
        self.codes: dict[str, int | None] = {}
        self.kept_share = self.random.choice([0.2, 0.5, 0.8])
        self.tasks: list[asyncio.Task] = []
        self.numbers = itertools.count()
        self.refused = 0
        self.lag_s = 0.0

    async def stop(self, gateway: gateways.Gateway, after_s: float) -> None:
        """Stop one gateway as planned, with other signals while it stops."""
        signals = self.random.sample(
            [signal.SIGHUP, signal.SIGTERM, signal.SIGINT], self.random.randrange(3)
        )
        pauses = [self.random.uniform(0.05, 3.0) for _ in signals]
        await asyncio.sleep(after_s)
        begin = time.time()
        stop = Stop(begin, begin + GRACE_S)
        self.stops[gateway.ip].append(stop)
        gateway.signal(signal.SIGTERM)
        for pause_s, number in zip(pauses, signals, strict=True):
            await asyncio.sleep(pause_s)
            gateway.signal(number)
        left_s = begin + GRACE_S - time.time()
        with contextlib.suppress(subprocess.TimeoutExpired):
            await asyncio.to_thread(gateway.process.wait, left_s)
        self.codes[f"{gateway.name}.{gateway.starts}"] = gateway.process.poll()
        stop.end = time.time()
        gateway.end()

    async def call(self, number: int) -> None:
        """Send requests to the gateways that stop, until the last one is gone."""
        draws = random.Random(self.random.random())
        connection = None
        count = 0
        while True:
            ip = draws.choice(self.targets).ip
            is_kept = draws.random() < self.kept_share
            if connection is None or not is_kept or connection[0] != ip:
                if connection is not None:
                    connection[2].close()
                connection = None
            count += 1
            attempt = Attempt(
                time.time(), f"s{number:03x}-{count:05x}", "", draws.choice(KINDS).prefix
            )
            attempt.gateway = ip
            with contextlib.suppress(OSError, http.ClosedError, TimeoutError):
                async with asyncio.timeout(6.0):
                    if connection is None:
                        connection = (ip, *await asyncio.open_connection(ip, gateways.FRONT))
                    attempt.at = time.time()
                    self.scene.attempts.append(attempt)
                    await self.send(attempt, draws, *connection[1:])
            attempt.took_s = time.time() - attempt.at
            if connection is not None and (not attempt.whole or connection[2].is_closing()):
                connection[2].close()
                connection = None
            await asyncio.sleep(RESET_S if attempt.status in (0, 503) else draws.uniform(0.0, 0.1))

    async def send(
        self,
        attempt: Attempt,
        draws: random.Random,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pauses_s: collections.abc.Sequence[float] = (),
    ) -> None:
        """Send one request and read its answer; the body is sent in parts after the pauses."""
        kind = next(kind for kind in KINDS if kind.prefix == attempt.path)
        fields = {
            "Host": clients.HOST,
            "Attempt-Id": attempt.attempt,
            "Deadline-Ms": str(kind.timeout_ms),
        }
        if kind.route_kind == "streaming":
            part = f"{draws.getrandbits(32):08x}:654"
            fields |= {"Token-Count": "1166,100", "Model": "m"}
            fields |= {"Prompt-Prefix": f"5c1e07a2:512,{part}", "Session-Id": attempt.attempt}
        encoded = http.encode(f"POST {attempt.path}1 HTTP/1.1", fields, b"prompt")
        parts = [encoded[: -len(pauses_s)], *encoded[-len(pauses_s) :]] if pauses_s else [encoded]
        try:
            for pause_s, part in zip((0.0, *pauses_s), parts, strict=True):
                await asyncio.sleep(pause_s)
                writer.write(bytes([part]) if isinstance(part, int) else part)
                await writer.drain()
            attempt.sent_at = time.time()
            head = await http.read_head(reader)
            attempt.status = int(head.first[1])
            await http.read_body(reader, head)
        except (http.ClosedError, OSError):
            attempt.closed_at = time.time()
            raise
        attempt.body = head.body
        attempt.whole = True
        if head.headers.get("connection", "").lower() == "close":
            writer.close()

    async def play(self) -> None:
        """Stop some gateways under load."""
        await self.scene.start()
        self.scene.platform.put("config", "main", spec=configuration())
        for kind in KINDS:
            for _ in range(SERVERS):
                await self.scene.add_runner(
                    kind.service,
                    slots=SLOTS,
                    work_s=kind.work_s,
                    events=EVENTS,
                    gap_s=kind.work_s / EVENTS,
                )
        (self.folder / "cuts.json").write_text(json.dumps(self.cuts()))
        await self.scene.start_gateways()
        await asyncio.sleep(1.0)
        begins = self.draw_stops()
        self.start_callers(begins)
        self.tasks.append(asyncio.create_task(self.measure_lag()))
        try:
            async with asyncio.TaskGroup() as tasks:
                for gateway, after_s in zip(self.stopping, begins, strict=True):
                    tasks.create_task(self.stop(gateway, after_s))
            await asyncio.sleep(END_S)
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
            self.scene.end()

    async def measure_lag(self) -> None:
        """Measure how late this process runs, which also holds the callers and the servers."""
        while True:
            due_at = time.time() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self.lag_s = max(self.lag_s, time.time() - due_at)

    def cuts(self) -> dict[str, dict[str, str]]:
        """Return the effect of each cut between a gateway and another host, by their addresses."""
        return {}

    def draw_stops(self) -> list[float]:
        """Draw the gateways that stop, and return the times until their stops."""
        self.stopping = self.random.sample(self.scene.gateways, self.random.randint(1, 4))
        self.targets = self.stopping
        return [WARM_UP_S + self.random.uniform(0.0, SPREAD_S) for _ in self.stopping]

    def start_callers(self, begins: list[float]) -> None:
        """Start the callers; ``begins`` are the times until the stops."""
        self.tasks += [asyncio.create_task(self.call(number)) for number in range(CALLERS)]

    def stop_of(self, ip: str, at: float) -> Stop:
        """Return the last stop of a gateway that began before a time, or else its first one."""
        stops = self.stops.get(ip) or [Stop(math.inf, math.inf)]
        return next((stop for stop in reversed(stops) if stop.begin <= at), stops[0])

    def cut(self) -> list[Attempt]:
        """Return the requests that a server began and whose caller got no whole answer."""
        begun = {run.attempt for run in self.scene.runs}
        return [
            attempt
            for attempt in self.scene.attempts
            if not attempt.whole
            and attempt.took_s
            and attempt.attempt in begun
            and self.is_cut_by(attempt, self.stop_of(attempt.gateway, attempt.at + attempt.took_s))
        ]

    def is_cut_by(self, attempt: Attempt, stop: Stop) -> bool:
        """Return whether a stop is to blame for the end of a connection."""
        ended_at = attempt.at + attempt.took_s
        is_early = attempt.at <= stop.begin + LATE_S
        if is_early and ended_at >= stop.begin + GRACE_S * (1 - LAST_SHARE):
            return False
        return stop.covers(ended_at)

    def dropped(self) -> list[Attempt]:
        """Return the requests that no server began and whose connection ended too late.

        Callers cannot tell whether the process has read such a request; it had the time to.
        """
        begun = {run.attempt for run in self.scene.runs}
        timeouts_s = {kind.prefix: kind.timeout_ms / 1000 for kind in KINDS}
        return [
            attempt
            for attempt in self.scene.attempts
            if attempt.sent_at
            and attempt.attempt not in begun
            and attempt.closed_at > attempt.sent_at + SLACK_S
            and attempt.closed_at < attempt.at + timeouts_s[attempt.path]
            and self.stop_of(attempt.gateway, attempt.closed_at).covers(attempt.closed_at)
        ]

    def refused_in_vain(self) -> int:
        """Return how many refused requests a server would have finished before the end."""
        work_s = {kind.prefix: kind.work_s for kind in KINDS}
        return sum(
            attempt.status == 503
            and attempt.at + work_s[attempt.path] * 1.1 + 0.05
            < self.stop_of(attempt.gateway, attempt.at).end
            for attempt in self.scene.attempts
            if attempt.gateway in self.stops
        )

    def report(self) -> str:
        """Return how requests ended, by kind and by time after the SIGTERM."""
        table: dict[tuple[str, int], collections.Counter] = collections.defaultdict(
            collections.Counter
        )
        outcomes = {attempt.attempt: "cut" for attempt in self.cut()}
        outcomes |= {attempt.attempt: "dropped" for attempt in self.dropped()}
        failed = [attempt for attempt in self.scene.attempts if attempt.attempt in outcomes]
        first = min(stop.begin for stops in self.stops.values() for stop in stops)
        for attempt in self.scene.attempts:
            stop = self.stop_of(attempt.gateway, attempt.at)
            after_s = attempt.at - (stop.begin if attempt.gateway in self.stops else first)
            outcome = outcomes.get(attempt.attempt, str(attempt.status))
            table[attempt.path, int(after_s // 0.5)][outcome] += 1
        lines = [
            f"{path} {half / 2:5.1f} {dict(counts)}"
            for (path, half), counts in sorted(table.items())
        ]
        lines += [f"{attempt.attempt} {outcomes[attempt.attempt]} {attempt}" for attempt in failed]
        return "\n".join(lines)

    def summary(self) -> str:
        """Return what else is to be printed of this run."""
        return ""


class SparseSearch(Search):
    """A run in which gateways get hardly any requests while they stop."""

    def start_callers(self, begins: list[float]) -> None:
        """Start to send single requests, and to suspend other gateways."""
        for gateway, begin_s in zip(self.stopping, begins, strict=True):
            self.start_sparse_callers(gateway, begin_s)

    def start_sparse_callers(self, gateway: gateways.Gateway, begin_s: float) -> None:
        """Start to send single requests to one gateway, and to suspend another one."""
        others = [gateway for gateway in self.scene.gateways if gateway not in self.stopping]
        for _ in range(self.random.randint(*SPARSE_REQUESTS)):
            after_s = begin_s + QUIET_AFTER_S + SPARSE_FROM_S
            after_s += self.random.uniform(0.0, SPARSE_FOR_S)
            self.tasks.append(asyncio.create_task(self.call_once(gateway, after_s)))
        if self.random.random() < 0.7:
            after_s = begin_s + QUIET_AFTER_S - self.random.uniform(0.0, 0.2)
            suspended = self.random.choice(others)
            self.tasks.append(asyncio.create_task(self.suspend(suspended, after_s)))

    async def suspend(self, gateway: gateways.Gateway, after_s: float) -> None:
        """Suspend a gateway for a moment."""
        pause_s = self.random.uniform(*PAUSE_S)
        await asyncio.sleep(after_s)
        gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        gateway.signal(signal.SIGCONT)

    async def call_once(
        self, gateway: gateways.Gateway, after_s: float, port: int = gateways.FRONT
    ) -> None:
        """Send one request on a new connection."""
        draws = random.Random(self.random.random())
        kind = draws.choice(KINDS)
        await asyncio.sleep(after_s)
        attempt = Attempt(time.time(), self.next_id(), "", kind.prefix)
        attempt.gateway = gateway.ip
        with contextlib.suppress(OSError, http.ClosedError, TimeoutError):
            async with asyncio.timeout(6.0):
                try:
                    reader, writer = await asyncio.open_connection(gateway.ip, port)
                except ConnectionRefusedError:
                    self.refused += 1
                    raise
                attempt.at = time.time()
                self.scene.attempts.append(attempt)
                try:
                    await self.send(attempt, draws, reader, writer)
                finally:
                    writer.close()
        attempt.took_s = time.time() - attempt.at

    def next_id(self) -> str:
        """Return the id of the next request."""
        return f"sparse-{next(self.numbers):05x}"


async def play(search: Search, seed: int) -> bool:
    """Play one seed, print what came of it, and return whether no request was cut."""
    await search.play()
    stops = sum(map(len, search.stops.values()))
    dropped = search.dropped()
    (search.folder / "report.txt").write_text(search.report() + "\n")
    cut = search.cut()
    kinds = collections.Counter(attempt.path for attempt in cut)
    ended_badly = {name: code for name, code in search.codes.items() if code != 0}
    statuses = collections.Counter(attempt.status for attempt in search.scene.attempts)
    print(
        f"seed {seed}: {stops} stops, {len(search.scene.attempts)} requests and "
        f"{search.refused} refused connections of single requests, "
        f"{len(cut)} cut {dict(kinds)}, {len(dropped)} dropped, "
        f"{search.refused_in_vain()} refused in vain, "
        f"answers {dict(sorted(statuses.items()))}, exit codes {ended_badly or 'all 0'}, "
        f"lag {search.lag_s:.2f} s" + search.summary(),
        flush=True,
    )
    return not cut and not dropped and not ended_badly


def play_seed(kind: type[Search], seed: int, arguments: argparse.Namespace) -> bool:
    """Play one seed in a folder of its own."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary)
        if arguments.keep is not None:
            folder = arguments.keep / f"stop-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
        return asyncio.run(play(kind(seed, folder, arguments.build.resolve()), seed))


def parser(description: str) -> argparse.ArgumentParser:
    """Return a parser of the arguments that name the seeds."""
    options = argparse.ArgumentParser(description=description)
    options.add_argument("--build", type=pathlib.Path, default=crash_search.ROOT)
    options.add_argument("--seed", type=int, default=1)
    options.add_argument("--count", type=int, default=1)
    options.add_argument("--keep", type=pathlib.Path, help="folder for reports and logs")
    return options


def play_seeds(kind: type[Search], arguments: argparse.Namespace) -> int:
    """Play seeds one after the other; return 1 if a request was cut or dropped on any."""
    seeds = range(arguments.seed, arguments.seed + arguments.count)
    held = [play_seed(kind, seed, arguments) for seed in seeds]
    print(f"{sum(held)} of {len(held)} seeds held")
    return 0 if all(held) else 1


def main() -> int:
    """Play seeds as the arguments say."""
    options = parser(__doc__.splitlines()[0])
    options.add_argument("--sparse", action="store_true", help="hardly any requests in the stops")
    arguments = options.parse_args()
    return play_seeds(SparseSearch if arguments.sparse else Search, arguments)


if __name__ == "__main__":
    sys.exit(main())
