"""Runs a fleet of real gateways on virtual time, with faults that a seed draws."""

import asyncio
import collections
import collections.abc
import dataclasses
import itertools
import logging
import random
import signal
import time
import typing
import unittest.mock

import anyio
import anyio.abc

from dogwoodgap import clock, events, file_source, ingress, servers
from dogwoodgap_lab.fleet_simulation import (
    evidence,
    gateways,
    network,
    oracles,
    processes,
    stand_ins,
)

WALL_START_S = 1_800_000_000.0
JOIN_LIMIT_S = 20.0
POLL_S = 0.05
START_SPREAD_S = 0.1
MAX_STOPS = 4
LEAD_S = 1.0
"""Traffic before the first planned stop, in seconds."""

SPREAD_S = 3.0
"""Time in which all stops of a run begin, in seconds."""

END_S = 1.5
"""Time after the last stop until a run ends; evidence.EXIT_WAIT_S has to fit in."""

CALLERS = 8
CALLER_PAUSE_S = 0.15
RETRY_PAUSE_S = 0.05
KEPT_SHARES = (0.2, 0.5, 0.8)
DENSE_SHARE = 0.4
"""Share of the runs with traffic all the time; the others have single requests only."""

SPARSE_REQUESTS = (2, 5)
QUIET_AFTER_S = 3.0
"""Time after SIGTERM from which a gateway without connections may end."""

SPARSE_FROM_S, SPARSE_FOR_S = -0.1, 0.7
"""Begin, relative to ``QUIET_AFTER_S``, and length of the time of single requests."""

EDGE_DELAY_S = 0.05
"""Longest time after a log event at which a request is placed."""

EDGE_SHARE, QUIET_EDGE_SHARE, REQUEST_EDGE_SHARE = 0.6, 0.1, 0.02
"""Share of log events at which a request is placed: of a stopping gateway, of another one, and of
the events that each request brings."""

PEER_DELAY_SHARE = 0.2
"""Share of the log events of a stopping gateway at which another gateway is paused."""

MAX_PLACED = 60
PAUSE_S = (0.05, 0.8)
FAULT_SHARE = 0.3
"""Share of the runs with a kill, with a long pause, and with reset connections."""

CUT_SHARE = 0.25
"""Share of the runs in which gateways are cut off from all servers."""

CUT_AFTER_S = (0.5, 4.0)
CUT_S = (3.0, 7.0)
CUT_CALLERS = 20
"""Callers of all gateways in a run with a cut. RECOVER needs more than ten failures in the time
that it judges, which is as short as one second."""

BUDGET_SHARE = 0.3
"""Share of the runs with programs that have token budgets."""

PROGRAMS = 8
PROGRAM_LANES = (1, 1, 2)
"""Turns of a program that run at the same time."""

BUDGETS = (20, 35, 60, 100)
"""Budgets in tokens; a turn uses ten. A program goes on after it has got its budget, since an owner
that has forgotten what was used would grant it again."""

PROGRAM_START_S = 4.0
TURN_PAUSE_S = 0.6
OWNER_KILLS = 2
OWNER_KILL_SHARE = 0.08
"""Share of the log events on budgets at which the gateway that logs one is killed."""

OWNER_RESTART_S = (0.05, 4.0)
OUTAGE_SHARE = 0.25
"""Share of the runs in which the store is away or slow."""

OUTAGES = (1, 2)
OUTAGE_S = (0.5, 6.0)
DEPARTURE_SHARE = 0.3
"""Share of the runs in which servers leave the list and come back."""

DEPARTURES = (1, 3)
"""Servers that leave, each of another service, so that every service stays available."""

DEPARTURE_CALLERS = 6
LISTED_S = (2.5, 6.0)
"""Time for which a leaving server stays in the list."""

ABSENT_S = (0.1, 3.0)
LONG_PAUSE_S = (0.5, 3.0)
RESTART_SHARE = 0.5
RESTART_S = (0.05, 1.0)
EXTRA_SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class Fleet:
    """A fleet of simulated gateways, with its stand-ins and faults.

    Parameters
    ----------
    seed : int
        Everything that is drawn is drawn from it.
    count : int
        Number of gateways.
    """

    def __init__(self, seed: int, count: int):
        self.seed = seed
        self.draws = random.Random(f"{seed}/fleet")
        self.evidence = evidence.Evidence()
        self.store = stand_ins.Store(seed)
        self.records = stand_ins.BudgetRecords(self.store)
        self.crash_records = file_source.InMemoryCrashRecords()
        self.gateways = [gateways.SimulatedGateway(self, number) for number in range(count)]
        self.by_host = {member.host: member for member in self.gateways}
        self.event_counts: collections.Counter[str] = collections.Counter()
        self.placed = 0
        self.singles = 0
        self.owner_kills = 0
        self.has_traffic = False
        self.kept_share = self.draws.choice(KEPT_SHARES)
        self.tasks: anyio.abc.TaskGroup
        self.loop: processes.VirtualLoop
        self.network: network.Network

    def spawn(
        self,
        process: processes.Process | None,
        function: collections.abc.Callable[..., collections.abc.Awaitable[None]],
        *args: typing.Any,
    ) -> None:
        """Start a task that belongs to a process, or to none."""
        token = processes.current.set(process)
        try:
            self.tasks.start_soon(function, *args)
        finally:
            processes.current.reset(token)

    async def run(self) -> None:
        """Run the whole scenario."""
        self.loop = typing.cast(processes.VirtualLoop, asyncio.get_running_loop())
        self.network = network.Network(self.seed, self.loop)
        clock.set_wall_time(WALL_START_S)
        with network.installed(self.network):
            async with anyio.create_task_group() as self.tasks:
                await self.play()
                for member in self.gateways:
                    self.network.end(member.process)
                    member.resume()
                self.tasks.cancel_scope.cancel()

    async def play(self) -> None:
        """Start the fleet, stop some gateways under faults, and wait for their end."""
        names = {member.host: member.name for member in self.gateways}
        for entry in self.store.servers:
            draws = random.Random(f"{self.seed}/{entry.id}")
            server = stand_ins.Server(
                entry, evidence.KIND_BY_NAME[entry.service], self.evidence, draws, names
            )
            self.spawn(None, ingress.Server(server.handle).serve, entry.address)
        for member in self.gateways:
            await anyio.sleep(self.draws.uniform(0.0, START_SPREAD_S))
            member.start()
        with anyio.move_on_after(JOIN_LIMIT_S) as scope:
            # What a gateway knows has no event to wait for.
            while not all(self.knows_all(member) for member in self.gateways):  # noqa: ASYNC110
                await anyio.sleep(POLL_S)
        if scope.cancelled_caught:
            self.evidence.errors.append("fleet did not join in time")
            return
        self.network.refusable = stand_ins.SERVER_HOST
        self.has_traffic = True
        most = min(MAX_STOPS, len(self.gateways) - 1)
        stopping = self.draws.sample(self.gateways, self.draws.randint(1, most))
        begins = [LEAD_S + self.draws.uniform(0.0, SPREAD_S) for _ in stopping]
        if self.draws.random() < DENSE_SHARE:
            self.start_callers("dense", CALLERS, stopping)
        self.start_programs()
        self.start_store_faults(max(begins) + evidence.GRACE_S / 2)
        self.start_faults(stopping, max(begins))
        async with anyio.create_task_group() as stops:
            draws = random.Random(f"{self.seed}/partition")
            if draws.random() < CUT_SHARE:
                stops.start_soon(self.cut_off, draws)
            for member, begin_s in zip(stopping, begins, strict=True):
                for _ in range(self.draws.randint(*SPARSE_REQUESTS)):
                    after_s = QUIET_AFTER_S + SPARSE_FROM_S + self.draws.uniform(0.0, SPARSE_FOR_S)
                    kind = self.draws.choice(evidence.KINDS)
                    idle_s = self.draws.choice((0.0, 0.0, self.draws.uniform(0.1, 4.0)))
                    self.spawn(None, self.place, member, begin_s + after_s, kind, idle_s)
                stops.start_soon(self.stop_one, member, begin_s)
        await anyio.sleep(END_S)

    def knows_all(self, member: gateways.SimulatedGateway) -> bool:
        """Return whether a gateway is ready and knows the whole fleet."""
        served = member.gateway
        return served is not None and served.ready and served.node_count() == len(self.gateways)

    async def stop_one(self, member: gateways.SimulatedGateway, after_s: float) -> None:
        """Stop a gateway in order, and perhaps start it again."""
        draws = random.Random(f"{self.seed}/stop/{member.name}")
        signals = draws.sample(EXTRA_SIGNALS, draws.randrange(3))
        extra = [(draws.uniform(0.05, 3.0), number) for number in signals]
        await anyio.sleep(after_s)
        if not member.is_up:
            return
        await member.stop_in_order(extra)
        if draws.random() < RESTART_SHARE and member.process.ended:
            await anyio.sleep(draws.uniform(*RESTART_S))
            member.start()

    def start_faults(self, stopping: list[gateways.SimulatedGateway], last_begin_s: float) -> None:
        """Draw the faults of the run that no log event brings."""
        others = [member for member in self.gateways if member not in stopping]
        latest_s = last_begin_s + evidence.GRACE_S
        if self.draws.random() < FAULT_SHARE:
            self.spawn(None, self.kill_one, others, self.draws.uniform(0.0, latest_s))
        if self.draws.random() < FAULT_SHARE:
            member = self.draws.choice(self.gateways)
            after_s = self.draws.uniform(0.0, latest_s)
            self.spawn(None, self.pause_later, member, after_s, self.draws.uniform(*LONG_PAUSE_S))
        if self.draws.random() < FAULT_SHARE:
            self.spawn(None, self.reset_one, self.draws.uniform(0.0, latest_s))

    def start_programs(self) -> None:
        """Start programs with budgets, in some of the runs."""
        draws = random.Random(f"{self.seed}/budgets")
        if draws.random() >= BUDGET_SHARE:
            return
        self.owner_kills = draws.randint(0, OWNER_KILLS)
        if self.owner_kills:
            self.spawn(None, self.kill_owner, draws.uniform(1.0, 2 * PROGRAM_START_S))
        for number in range(PROGRAMS):
            program = evidence.Program(f"program{number}", draws.choice(BUDGETS))
            begin_s = draws.uniform(0.0, PROGRAM_START_S)
            for lane in range(draws.choice(PROGRAM_LANES)):
                self.spawn(None, self.run_program, program, lane, begin_s)

    async def run_program(self, program: evidence.Program, lane: int, begin_s: float) -> None:
        """Send the turns of a program to any gateways, one after the other."""
        name = f"{program.name}.{lane}"
        draws = random.Random(f"{self.seed}/{name}")
        caller = stand_ins.Caller(name, self.network, self.evidence)
        kind = evidence.KIND_BY_NAME["turns"]
        await anyio.sleep(begin_s)
        while True:
            member = draws.choice([one for one in self.gateways if one.is_up] or self.gateways)
            await caller.call(member.name, member.address, kind, kept=True, program=program)
            await anyio.sleep(draws.uniform(RETRY_PAUSE_S, TURN_PAUSE_S))

    async def kill_owner(self, after_s: float) -> None:
        """Kill the gateway that owns the most accounts, at a time that no event chooses."""
        await anyio.sleep(after_s)
        running = [member for member in self.gateways if member.is_up and member.gateway]
        if running and self.owner_kills:
            self.owner_kills -= 1
            draws = random.Random(f"{self.seed}/owner")
            owner = max(
                running, key=lambda one: len(one.gateway.budget_coordinator.ledger.accounts)
            )
            await owner.kill_and_restart(draws.uniform(*OWNER_RESTART_S))

    async def kill_one(self, members: list[gateways.SimulatedGateway], after_s: float) -> None:
        """Kill a gateway, and start it again."""
        draws = random.Random(f"{self.seed}/kill")
        await anyio.sleep(after_s)
        await draws.choice(members).kill_and_restart(draws.uniform(*RESTART_S))

    async def kill_later(
        self, member: gateways.SimulatedGateway, after_s: float, pause_s: float
    ) -> None:
        """Kill a gateway later on, and start it again."""
        await anyio.sleep(after_s)
        await member.kill_and_restart(pause_s)

    async def pause_later(
        self, member: gateways.SimulatedGateway, after_s: float, pause_s: float
    ) -> None:
        """Pause a gateway later on."""
        await anyio.sleep(after_s)
        await member.pause(pause_s)

    async def cut_off(self, draws: random.Random) -> None:
        """Cut some gateways off from all servers for a time, while callers call all gateways."""
        self.start_callers("steady", CUT_CALLERS)
        await anyio.sleep(draws.uniform(*CUT_AFTER_S))
        members = draws.sample(self.gateways, draws.randint(1, len(self.gateways) - 1))
        manner = draws.choice(list(network.Manner))
        cut = evidence.Cut(frozenset(member.name for member in members), clock.now())
        self.evidence.cuts.append(cut)
        for member in members:
            member.log(f"is cut off from all servers, {manner.value}")
            self.network.cut(member.host, stand_ins.SERVER_HOST, manner)
        await anyio.sleep(draws.uniform(*CUT_S))
        cut.ended_at = clock.now()
        for member in members:
            member.log("reaches the servers again")
            self.network.mend(member.host)

    def start_store_faults(self, latest_s: float) -> None:
        """Draw outages of the store and departures of servers, in some of the runs."""
        draws = random.Random(f"{self.seed}/outages")
        if draws.random() < OUTAGE_SHARE:
            self.spawn(None, self.disturb_store, draws, latest_s)
        draws = random.Random(f"{self.seed}/departures")
        if draws.random() < DEPARTURE_SHARE:
            self.start_callers("list", DEPARTURE_CALLERS)
            services = draws.sample(evidence.KINDS, draws.randint(*DEPARTURES))
            for kind in services:
                entries = [one for one in self.store.servers if one.service == kind.name]
                entry = draws.choice(entries)
                begin_s, listed_s = draws.uniform(0.0, latest_s), draws.uniform(*LISTED_S)
                absent_s = draws.uniform(*ABSENT_S)
                self.spawn(None, self.remove_server, entry, begin_s, listed_s, absent_s)

    async def disturb_store(self, draws: random.Random, latest_s: float) -> None:
        """Let the store be away or slow for some times, one after the other."""
        states = [state for state in stand_ins.StoreState if state is not stand_ins.StoreState.UP]
        for _ in range(draws.randint(*OUTAGES)):
            await anyio.sleep(draws.uniform(0.0, latest_s / OUTAGES[1]))
            now, outage_s = clock.now(), draws.uniform(*OUTAGE_S)
            ended_at = now + outage_s + stand_ins.STORE_TIMEOUT_S
            self.evidence.outages.append(evidence.Outage(now, ended_at))
            self.store.state = draws.choice(states)
            self.evidence.add(now, evidence.STORE, f"is {self.store.state.value}")
            await anyio.sleep(outage_s)
            self.store.state = stand_ins.StoreState.UP
            self.evidence.add(clock.now(), evidence.STORE, "is up again")

    async def remove_server(
        self, entry: servers.BackendServer, begin_s: float, listed_s: float, absent_s: float
    ) -> None:
        """Mark a server as leaving, then remove it from the list, then list its next process."""
        await anyio.sleep(begin_s)
        departure = evidence.Departure(entry.id, clock.now())
        self.evidence.departures.append(departure)
        self.evidence.add(clock.now(), evidence.STORE, f"lists {entry.id} as leaving")
        self.store.replace(entry.id, dataclasses.replace(entry, draining=True))
        await anyio.sleep(listed_s)
        self.evidence.add(clock.now(), evidence.STORE, f"lists {entry.id} no longer")
        self.store.replace(entry.id, None)
        await anyio.sleep(absent_s)
        departure.returned_at = clock.now()
        self.evidence.add(clock.now(), evidence.STORE, f"lists a new process of {entry.id}")
        self.store.replace(entry.id, dataclasses.replace(entry, started_ms=entry.started_ms + 1))

    async def reset_one(self, after_s: float) -> None:
        """Reset some connections of a gateway."""
        draws = random.Random(f"{self.seed}/reset")
        await anyio.sleep(after_s)
        member = draws.choice(self.gateways)
        if endpoints := self.network.connections(member.process):
            chosen = draws.sample(endpoints, draws.randint(1, len(endpoints)))
            member.record_disruption(f"{len(chosen)} connections are reset")
            for endpoint in chosen:
                endpoint.reset()

    def at_event(self, member: gateways.SimulatedGateway, event: str) -> None:
        """Place a request, or delay a peer, at a log event of a gateway."""
        if not self.has_traffic or self.placed >= MAX_PLACED:
            return
        key = f"{member.name}/{member.process.boot}/{event}"
        self.event_counts[key] += 1
        draws = random.Random(f"{self.seed}/{key}/{self.event_counts[key]}")
        share = EDGE_SHARE if member.stop is not None else QUIET_EDGE_SHARE
        if event == events.Event.REQUEST_FORWARDED.name:
            share = REQUEST_EDGE_SHARE
        if event.startswith("BUDGET_") and self.owner_kills:
            own = random.Random(f"{self.seed}/{key}/{self.event_counts[key]}/owner")
            if own.random() < OWNER_KILL_SHARE:
                self.owner_kills -= 1
                delay_s, pause_s = own.uniform(0.0, EDGE_DELAY_S), own.uniform(*OWNER_RESTART_S)
                self.spawn(None, self.kill_later, member, delay_s, pause_s)
        if draws.random() < share:
            self.placed += 1
            delay_s = draws.uniform(0.0, EDGE_DELAY_S)
            self.spawn(None, self.place, member, delay_s, draws.choice(evidence.KINDS))
            if member.stop is not None and draws.random() < PEER_DELAY_SHARE / share:
                peers = [other for other in self.gateways if other is not member and other.is_up]
                if peers:
                    pause_s = draws.uniform(*PAUSE_S)
                    self.spawn(None, self.pause_later, draws.choice(peers), 0.0, pause_s)

    async def place(
        self,
        member: gateways.SimulatedGateway,
        after_s: float,
        kind: evidence.Kind,
        idle_s: float = 0.0,
    ) -> None:
        """Send one request later on; with ``idle_s``, on a connection that was idle so long."""
        self.singles += 1
        caller = stand_ins.Caller(f"single{self.singles}", self.network, self.evidence)
        await anyio.sleep(after_s - idle_s)
        if idle_s:
            await caller.call(member.name, member.address, evidence.KINDS[0], kept=False)
            await anyio.sleep(idle_s)
        await caller.call(member.name, member.address, kind, kept=True)
        caller.close()

    def start_callers(
        self, name: str, count: int, targets: list[gateways.SimulatedGateway] | None = None
    ) -> None:
        """Start callers that send requests all the time, to all gateways by default."""
        for number in range(count):
            draws = random.Random(f"{self.seed}/{name}/{number}")
            target = targets or self.gateways
            self.spawn(None, self.call_often, f"{name}{number}", draws, target)

    async def call_often(
        self, name: str, draws: random.Random, targets: list[gateways.SimulatedGateway]
    ) -> None:
        """Send requests to gateways whose addresses are cached, also while these stop."""
        caller = stand_ins.Caller(name, self.network, self.evidence)
        while True:
            member = draws.choice(targets)
            kept = draws.random() < self.kept_share
            kind = draws.choice(evidence.KINDS)
            attempt = await caller.call(member.name, member.address, kind, kept=kept)
            failed = attempt.status in (0, 503)
            await anyio.sleep(RETRY_PAUSE_S if failed else draws.uniform(0.0, CALLER_PAUSE_S))


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What came of one seed."""

    seed: int
    evidence: evidence.Evidence
    findings: list[oracles.Finding]
    took_s: float

    def line(self) -> str:
        """Return the outcome in one line."""
        statuses = collections.Counter(one.status for one in self.evidence.attempts.values())
        programs = {one.program for one in self.evidence.attempts.values()} - {None}
        found = collections.Counter(finding.rule for finding in self.findings)
        return (
            f"seed {self.seed}: {'held' if not found else f'BROKEN {dict(found)}'}; "
            f"{len(self.evidence.stops)} stops, {len(self.evidence.cuts)} cuts, "
            f"{len(programs)} programs, {len(self.evidence.outages)} outages, "
            f"{len(self.evidence.departures)} departures, "
            f"{len(self.evidence.attempts)} requests, {len(self.evidence.runs)} runs, "
            f"statuses {dict(sorted(statuses.items()))}, "
            f"log {self.evidence.digest()}, took {self.took_s:.2f} s"
        )

    def timeline(self) -> list[str]:
        """Return the findings and the log lines of their requests and gateways."""
        requests = {finding.request for finding in self.findings} - {""}
        gateways = {finding.gateway for finding in self.findings}
        lines = [
            f"  {finding.rule} {finding.request or '-'} at {finding.gateway}: {finding.detail}"
            for finding in self.findings
        ]
        return lines + self.evidence.timeline(requests, gateways)


def simulate(seed: int, count: int) -> Outcome:
    """Run one seed and judge it."""
    fleet = Fleet(seed, count)
    logger = logging.getLogger("dogwoodgap")
    level, random_state = logger.level, random.getstate()
    random.seed(seed)
    processes.NumberedTask.numbers = itertools.count(1)
    started_at = time.perf_counter()
    with (
        unittest.mock.patch.dict(clock._offsets),
        unittest.mock.patch.object(logger, "handlers", [gateways.EventRecorder(fleet)]),
        unittest.mock.patch.object(logger, "propagate", False),
    ):
        logger.setLevel(logging.INFO)
        try:
            anyio.run(fleet.run, backend_options={"loop_factory": processes.VirtualLoop})
        finally:
            logger.setLevel(level)
            random.setstate(random_state)
    took_s = time.perf_counter() - started_at
    return Outcome(seed, fleet.evidence, oracles.check(fleet.evidence), took_s)
