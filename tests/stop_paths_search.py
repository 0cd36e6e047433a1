"""Stops gateways as planned on less usual paths, and looks for requests that are cut.

    python tests/stop_paths_search.py --seed 1 --count 50

Extends ``stop_search``. Each seed draws dense or sparse traffic, and any of these:

- stranded gateways, which reach no server and pass requests on to others, some of which stop;
- a series of stops 1 to 3 s apart, in which each gateway is started again at once after its end,
  and may be stopped a second time;
- callers that use an idle connection again, or send a body slowly, around the moments at which a
  stopping gateway closes idle connections and at which the grace period ends;
- a stopping gateway that is suspended every other 20 ms around the first of these moments.

A request that a server began and whose caller got no whole answer is a failure at a stranded
gateway, too, which does not stop itself. A 502 is a whole answer; those of requests that were
passed on are printed.
"""

import asyncio
import contextlib
import random
import signal
import sys
import time

import stop_search
from stand_ins import gateways, http, runners

GAP_S = (1.0, 3.0)
"""Time between two stops of a series."""

SERVING_LIMIT_S = 15.0
LAST_RESPONSES_AT_S = 7.4
"""Time after the SIGTERM at which unfinished requests are answered."""

IDLE_CLOSE_AT_S = stop_search.QUIET_AFTER_S
AROUND_S = (-0.3, 0.4)
"""Time around both moments in which requests end to arrive."""

BODY_PAUSE_S = (0.1, 1.0)
MOST_OF_TIMEOUT = 0.85
"""Share of the timeout that the body and the work of a request may take together."""

SLICE_S = 0.02
SLICES_FROM_S, SLICES_FOR_S = -0.2, 0.8
"""Begin, relative to ``IDLE_CLOSE_AT_S``, and length of the time of few time slices."""

KEPT_CALLERS = (2, 6)
SLOW_CALLERS = (2, 6)
STRANDED_REQUESTS = (15, 30)
STRANDED_FROM_S = ((-2.5, 0.1), (-0.1, IDLE_CLOSE_AT_S + 0.7))
"""Times, relative to the SIGTERM, at which they are sent: most that are sent later are passed on
to gateways that do not stop."""

RELAY_REQUESTS = (1, 4)


class Server(runners.Runner):
    """A server that records which gateway sent each request."""

    async def run(self, request, attempt, writer):
        """Run one request."""
        self.senders[attempt] = writer.get_extra_info("peername")[0]
        await super().run(request, attempt, writer)


class PathsSearch(stop_search.SparseSearch):
    """A run with some of the paths."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        draw = self.random.random
        self.is_sparse = draw() < 0.6
        count = self.random.randint(1, 3) if draw() < 0.5 else 0
        self.stranded = self.random.sample(self.scene.gateways, count)
        self.effect = self.random.choice(["refuse", "hang"])
        self.rounds = self.random.randint(1, 2) if draw() < 0.4 else 0
        self.has_kept = draw() < 0.6
        self.has_slow_bodies = draw() < 0.6
        self.has_slices = draw() < 0.4
        self.has_relay_callers = draw() < 0.4
        self.senders: dict[str, str] = {}

    def cuts(self) -> dict[str, dict[str, str]]:
        """Return the cuts between the stranded gateways and all servers."""
        hosts = [runner.host for runner in self.scene.runners]
        return {gateway.ip: dict.fromkeys(hosts, self.effect) for gateway in self.stranded}

    def draw_stops(self) -> list[float]:
        """Draw the gateways that stop, and return the times until their stops."""
        others = [gateway for gateway in self.scene.gateways if gateway not in self.stranded]
        most = min(len(others) - 1, 5 if self.rounds else 4)
        self.stopping = self.random.sample(others, self.random.randint(1, most))
        self.targets = self.stopping + self.stranded
        if not self.rounds:
            return [
                stop_search.WARM_UP_S + self.random.uniform(0.0, stop_search.SPREAD_S)
                for _ in self.stopping
            ]
        begins = [stop_search.WARM_UP_S]
        for _ in self.stopping[1:]:
            begins.append(begins[-1] + self.random.uniform(*GAP_S))
        return begins

    def start_callers(self, begins: list[float]) -> None:
        """Start the callers of dense traffic; those of one stop start with it."""
        for runner in self.scene.runners:
            runner.__class__ = Server
            runner.senders = self.senders
        if not self.is_sparse:
            stop_search.Search.start_callers(self, begins)

    async def stop(self, gateway: gateways.Gateway, after_s: float) -> None:
        """Stop one gateway as planned; in a series, start it again, perhaps for another stop."""
        self.start_callers_of_stop(gateway, after_s)
        await super().stop(gateway, after_s)
        for number in range(self.rounds):
            gateway.start(bootstrap=False)
            if number + 1 < self.rounds:
                await self.wait_until_serving(gateway)
                after_s = self.random.uniform(*GAP_S)
                self.start_callers_of_stop(gateway, after_s)
                await super().stop(gateway, after_s)

    async def wait_until_serving(self, gateway: gateways.Gateway) -> None:
        """Wait until a started gateway accepts connections."""
        async with asyncio.timeout(SERVING_LIMIT_S):
            while True:
                with contextlib.suppress(OSError):
                    _, writer = await asyncio.open_connection(gateway.ip, gateways.FRONT)
                    writer.close()
                    return
                await asyncio.sleep(0.1)

    def spawn(self, coroutine) -> None:
        """Run a coroutine until the end of the run."""
        self.tasks.append(asyncio.create_task(coroutine))

    def start_callers_of_stop(self, gateway: gateways.Gateway, begin_s: float) -> None:
        """Start what is to happen around one stop, which begins after a time."""
        draws = self.random
        if self.is_sparse:
            self.start_sparse_callers(gateway, begin_s)
            for stranded in self.stranded:
                for _ in range(draws.randint(*STRANDED_REQUESTS)):
                    after_s = begin_s + draws.uniform(*draws.choice(STRANDED_FROM_S))
                    self.spawn(self.call_once(stranded, max(0.0, after_s)))
        if self.stranded and draws.random() < 0.5:
            after_s = begin_s + draws.choice([0.0, IDLE_CLOSE_AT_S]) - draws.uniform(0.0, 0.2)
            self.spawn(self.suspend(draws.choice(self.stranded), after_s))
        moments_s = [begin_s + IDLE_CLOSE_AT_S, begin_s + LAST_RESPONSES_AT_S]
        if self.has_relay_callers:
            for _ in range(draws.randint(*RELAY_REQUESTS)):
                after_s = draws.choice(moments_s) + draws.uniform(*AROUND_S)
                self.spawn(self.call_once(gateway, after_s, gateways.RELAY))
        if self.has_kept:
            for _ in range(draws.randint(*KEPT_CALLERS)):
                after_s = moments_s[0] + draws.uniform(*AROUND_S)
                opens_s = max(0.0, after_s - draws.uniform(1.0, 5.0))
                self.spawn(self.call_twice(gateway, opens_s, after_s))
        if self.has_slow_bodies:
            self.spawn(self.keep_busy(gateway, begin_s + IDLE_CLOSE_AT_S, moments_s[1]))
            for _ in range(draws.randint(*SLOW_CALLERS)):
                ends_s = draws.choice(moments_s) + draws.uniform(*AROUND_S)
                pauses_s = [draws.uniform(*BODY_PAUSE_S) for _ in range(draws.randint(1, 3))]
                begins_s = max(0.0, ends_s - sum(pauses_s))
                self.spawn(self.call_slowly(gateway, begins_s, pauses_s))
        if self.has_slices:
            self.spawn(self.slice(gateway, moments_s[0] + SLICES_FROM_S))

    async def slice(self, gateway: gateways.Gateway, after_s: float) -> None:
        """Let a gateway run only every other slice of time."""
        await asyncio.sleep(after_s)
        until = time.time() + SLICES_FOR_S
        try:
            while time.time() < until:
                gateway.signal(signal.SIGSTOP)
                await asyncio.sleep(SLICE_S)
                gateway.signal(signal.SIGCONT)
                await asyncio.sleep(SLICE_S)
        finally:
            gateway.signal(signal.SIGCONT)

    def next_attempt(self, gateway, draws: random.Random, name: str, body_s: float):
        """Return the next request to a gateway, of a kind that has the time for its body."""
        kind = draws.choice(
            [
                kind
                for kind in stop_search.KINDS
                if kind.work_s + body_s < MOST_OF_TIMEOUT * kind.timeout_ms / 1000
            ]
        )
        attempt = stop_search.Attempt(time.time(), f"{name}-{self.next_id()}", "", kind.prefix)
        attempt.gateway = gateway.ip
        self.scene.attempts.append(attempt)
        return attempt

    async def send_next(self, gateway, draws, name, connection, pauses_s=()) -> None:
        """Send a request on an open connection."""
        attempt = self.next_attempt(gateway, draws, name, sum(pauses_s))
        try:
            async with asyncio.timeout(6.0):
                await self.send(attempt, draws, *connection, pauses_s)
        finally:
            attempt.took_s = time.time() - attempt.at

    async def call_twice(self, gateway: gateways.Gateway, opens_s: float, after_s: float) -> None:
        """Send a request at once, and another one later on the connection, idle meanwhile."""
        draws = random.Random(self.random.random())
        await asyncio.sleep(opens_s)
        until = time.time() + after_s - opens_s
        with contextlib.suppress(OSError, http.ClosedError, TimeoutError):
            connection = await asyncio.open_connection(gateway.ip, gateways.FRONT)
            try:
                if draws.random() < 0.8:
                    await self.send_next(gateway, draws, "first", connection)
                await asyncio.sleep(until - time.time())
                pauses_s = [draws.uniform(*BODY_PAUSE_S)] if draws.random() < 0.3 else []
                await self.send_next(gateway, draws, "kept", connection, pauses_s)
            finally:
                connection[1].close()

    async def call_slowly(self, gateway: gateways.Gateway, after_s: float, pauses_s) -> None:
        """Send a request whose body comes in parts."""
        draws = random.Random(self.random.random())
        await asyncio.sleep(after_s)
        with contextlib.suppress(OSError, http.ClosedError, TimeoutError):
            connection = await asyncio.open_connection(gateway.ip, gateways.FRONT)
            try:
                await self.send_next(gateway, draws, "slow", connection, pauses_s)
            finally:
                connection[1].close()

    async def keep_busy(self, gateway: gateways.Gateway, from_s: float, until_s: float) -> None:
        """Send requests so that a stopping gateway goes on to the end of its grace period."""
        begin = time.time()
        draws = random.Random(self.random.random())
        await asyncio.sleep(from_s - 0.5)
        while time.time() < begin + until_s:
            self.spawn(self.call_slowly(gateway, 0.0, [0.1]))
            await asyncio.sleep(draws.uniform(0.05, 0.15))

    def is_cut_by(self, attempt: stop_search.Attempt, stop: stop_search.Stop) -> bool:
        """Return whether the loss of a connection counts; at a stranded gateway, any does."""
        if attempt.gateway in self.stops:
            return super().is_cut_by(attempt, stop)
        ended_at = attempt.at + attempt.took_s
        sender = self.senders.get(attempt.attempt, "")
        stop = self.stop_of(sender, ended_at)
        return stop.begin > ended_at or super().is_cut_by(attempt, stop)

    def ran_by_way_of_a_stop(self, attempt: stop_search.Attempt) -> bool:
        """Return whether the gateway that a request was passed on to stopped meanwhile."""
        ended_at = attempt.at + attempt.took_s
        return any(
            stop.begin <= ended_at and attempt.at <= stop.end
            for stop in self.stops.get(self.senders.get(attempt.attempt, ""), ())
        )

    def summary(self) -> str:
        """Return the paths of this run, and how requests ended that were passed on."""
        ips = {gateway.ip for gateway in self.stranded}
        passed_on = [attempt for attempt in self.scene.attempts if attempt.gateway in ips]
        to_stopping = [attempt for attempt in passed_on if self.ran_by_way_of_a_stop(attempt)]
        unknown = sum(attempt.status == 502 for attempt in passed_on)
        paths = [
            "sparse" if self.is_sparse else "dense",
            f"{len(ips)} stranded ({self.effect})" if ips else "",
            f"series of {self.rounds}" if self.rounds else "",
            "kept" if self.has_kept else "",
            "slow bodies" if self.has_slow_bodies else "",
            "slices" if self.has_slices else "",
            "relay callers" if self.has_relay_callers else "",
        ]
        return (
            f"; {', '.join(filter(None, paths))}; {len(passed_on)} requests to stranded gateways, "
            f"{len(to_stopping)} run by way of a stopping one, {unknown} with 502"
        )


def main() -> int:
    """Play seeds as the arguments say."""
    arguments = stop_search.parser(__doc__.splitlines()[0]).parse_args()
    return stop_search.play_seeds(PathsSearch, arguments)


if __name__ == "__main__":
    sys.exit(main())
