"""Searches for orders of disruptions in which a request that crashes servers is still sent to them.

    python tests/crash_search.py --seed 1 --count 50

Seven gateways run as separate processes between stand-ins of servers, callers and the store. One
request crashes each server that begins to run it, and comes again and again. Each seed draws the
disruptions and their times. Operators count what reaches servers from gateways in touch later than
3 s after the third crash; more than three is a failure.
"""

import argparse
import asyncio
import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "review"))

from stand_ins import clients, gateways, runners, scene  # noqa: E402 - found through the path above

FAULT_INJECTION = ROOT / "tests" / "fault_injection"
TRAFFIC_S = 36.0
FIRST_DISRUPTION_S = 2.0
LAST_DISRUPTION_SHARE = 0.8
IN_TOUCH_S = 3.0
CRASHES = 3
ALLOWED_RETRIES = 3
LAPSE_S = runners.LEAVE_BEATS * runners.BEAT_S
SERVERS_PER_SERVICE = (5, 10)
CRASHING_REQUESTS = 4
"""Requests of a run that crash servers; the rule counts each by itself."""

CRASHING_PREFIXES = {"model": "/turns/crashing", "plain": "/reads/crashing"}
LAST_START_SHARE = 0.55
READERS, TURN_TAKERS = 20, 12


@dataclasses.dataclass
class Arrival:
    """A request that crashes servers, as it reached one."""

    at: float
    path: str
    gateway_ip: str
    server: str
    crashed: bool = False


@dataclasses.dataclass
class Disturbance:
    """A time in which a gateway, or the store if it has no address, is not in touch."""

    begin: float
    end: float
    ip: str = ""


class Server(runners.Runner):
    """A server that the crashing request ends, and that is cut off, silenced or restarted."""

    def __init__(self, *arguments, search, **options):
        super().__init__(*arguments, **options)
        self.search = search
        self.starts = 0
        self.base_name = self.name
        self.is_cut_from_store = False
        self.is_alive = False
        self.blocked: dict[str, str] = {}
        self.responsive = asyncio.Event()
        self.responsive.set()

    async def start(self):
        """Listen and register as a new process, mostly under a new id."""
        self.starts += 1
        if self.starts > 1 and self.search.timed_random.random() < 0.5:
            self.name = f"{self.base_name}-{self.starts}"
        self.is_alive = True
        self.responsive.set()
        await super().start()

    async def beat(self):
        """Write the entry at intervals, unless this server is cut off from the store."""
        while True:
            if not self.platform.is_down and not self.is_cut_from_store:
                self.write_entry()
                self.search.beats[self.name] = time.time()
            await asyncio.sleep(runners.BEAT_S)

    async def answer(self, request, writer):
        """Answer one request; the crashing one ends this server once it runs."""
        ip = writer.get_extra_info("peername")[0]
        arrival = None
        path = request.first[1]
        if path.startswith(tuple(CRASHING_PREFIXES.values())):
            arrival = Arrival(time.time(), path, ip, f"{self.name}/{self.born}")
            self.search.arrivals.append(arrival)
        if self.blocked.get(ip):
            await asyncio.Event().wait()
        await self.responsive.wait()
        if arrival is not None:
            await asyncio.sleep(self.search.timed_random.choice([0.0, 0.01, 0.1, 0.5]))
            if self.is_alive:
                arrival.crashed = True
                self.search.crashes[path].append(time.time())
                self.search.restart_later(self)
            await asyncio.Event().wait()
        await super().answer(request, writer)

    def fail(self, *, dark: bool) -> None:
        """End the process; in the dark, its connections hang instead of being reset."""
        self.is_alive = False
        self.beats.cancel()
        if dark:
            self.responsive.clear()
        else:
            self.crash()


class Gateway(gateways.Gateway):
    """A gateway with injected network faults, of this checkout unless ``build`` names another."""

    build = ROOT

    def start(self, *, bootstrap: bool) -> None:
        """Start the process."""
        super_popen = subprocess.Popen

        def popen(command, *, env, **options):
            env |= {
                "PYTHONPATH": os.pathsep.join(
                    map(str, (FAULT_INJECTION, self.build / "src", self.build / "platform"))
                ),
                "FAULT_INJECTION_ADDRESS": self.ip,
                "FAULT_INJECTION_CUTS": str(self.folder / "cuts.json"),
            }
            return super_popen([sys.executable, *command[1:]], env=env, **options)

        gateways.subprocess.Popen = popen
        try:
            super().start(bootstrap=bootstrap)
        finally:
            gateways.subprocess.Popen = super_popen


class Search:
    """One run: its scene, its disruptions, and what reached the servers."""

    def __init__(self, seed: int, folder: pathlib.Path, seconds: float):
        self.seconds = seconds
        self.random = random.Random(seed)
        # Draws that depend on timing do not change the disruptions of a seed.
        self.timed_random = random.Random(seed)
        self.folder = folder
        random.seed()
        net = scene.free_net(scene.GATEWAYS)
        random.seed(seed)
        self.scene = scene.Scene(net, folder)
        for gateway in self.scene.gateways:
            gateway.__class__ = Gateway
        self.servers: list[Server] = []
        self.arrivals: list[Arrival] = []
        self.crashes: dict[str, list[float]] = collections.defaultdict(list)
        self.disturbances: list[Disturbance] = []
        self.beats: dict[str, float] = {}
        self.cuts: dict[str, dict[str, str]] = collections.defaultdict(dict)
        self.log: list[str] = []
        self.begin = time.time()
        self.tasks: set[asyncio.Task] = set()
        self.dark_share = self.random.choice([0.0, 0.3, 1.0])
        self.kinds = [
            self.strand_gateways,
            self.crash_servers,
            self.cut_servers_from_store,
            self.silence_servers,
            self.release_servers,
        ]
        if self.random.random() < 0.5:
            self.kinds += [
                self.kill_gateways,
                self.freeze_gateways,
                self.stop_gateways,
                self.cut_gateways_off,
            ]
        if self.random.random() < 0.25:
            self.kinds += [self.take_store_down, self.turn_gateways_away]

    def spawn(self, coroutine) -> None:
        """Run a coroutine in the background."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)

    async def end_tasks(self) -> None:
        """Cancel the background tasks; ``asyncio.wait_for`` may lose a cancellation."""
        pending = self.tasks
        while pending:
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=1.0)

    def note(self, text: str) -> None:
        """Add a line to the timeline."""
        self.log.append(f"{time.time() - self.begin:7.3f} {text}")

    def write_cuts(self) -> None:
        """Tell the gateways which hosts they cannot connect to."""
        path = self.folder / "cuts.json"
        written = path.with_suffix(".new")
        written.write_text(json.dumps(self.cuts))
        written.replace(path)

    def disturb(self, for_s: float, *ips: str) -> None:
        """Record that gateways, or the store, are disturbed from now on."""
        now = time.time()
        self.disturbances += [Disturbance(now, now + for_s, ip) for ip in ips]

    def is_in_touch(self, ip: str, at: float) -> bool:
        """Return whether a gateway and the store were undisturbed for the 3 s before a time."""
        return not any(
            disturbance.ip in ("", ip) and disturbance.begin <= at <= disturbance.end + IN_TOUCH_S
            for disturbance in self.disturbances
        )

    def some_gateways(self, most: float = 1.0) -> list[Gateway]:
        """Draw some of the gateways."""
        total = len(self.scene.gateways)
        count = max(1, round(total * most * self.random.choice([0.15, 0.3, 0.5, 1.0])))
        return self.random.sample(self.scene.gateways, min(total, count))

    def some_servers(self) -> list[Server]:
        """Draw some of the running servers."""
        alive = [server for server in self.servers if server.is_alive]
        count = max(1, round(len(alive) * self.random.choice([0.15, 0.3, 0.5])))
        return self.random.sample(alive, min(len(alive), count))

    async def kill_gateways(self) -> None:
        """Kill some gateways at the same moment."""
        killed = self.some_gateways()
        self.disturb(2.0, *(gateway.ip for gateway in killed))
        self.note(f"kill {[gateway.name for gateway in killed]}")
        await self.scene.kill(killed, (0.3, 1.5))

    async def freeze_gateways(self) -> None:
        """Suspend some gateways."""
        frozen, for_s = self.some_gateways(0.5), self.random.uniform(0.5, 4.0)
        self.disturb(for_s, *(gateway.ip for gateway in frozen))
        self.note(f"freeze {[gateway.name for gateway in frozen]} {for_s:.1f} s")
        for gateway in frozen:
            gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(for_s)
        for gateway in frozen:
            gateway.signal(signal.SIGCONT)

    async def stop_gateways(self) -> None:
        """Stop some gateways one after the other, as planned."""
        for gateway in self.some_gateways(0.5):
            self.disturb(9.5, gateway.ip)
            self.note(f"stop {gateway.name}")
            gateway.signal(signal.SIGTERM)
            self.spawn(self.scene.restart(gateway, 9.0))
            await asyncio.sleep(1.0)

    async def cut_gateways_off(self) -> None:
        """Cut some gateways off from the others, with or without the store."""
        cut, for_s = self.some_gateways(0.5), self.random.uniform(1.0, 5.0)
        others = [gateway.ip for gateway in self.scene.gateways if gateway not in cut]
        effect = self.random.choice(["refuse", "hang"])
        hosts = [*others, self.store_ip] if self.random.random() < 0.5 else others
        self.disturb(for_s, *(gateway.ip for gateway in cut))
        self.note(f"cut off {[gateway.name for gateway in cut]} {effect} {for_s:.1f} s")
        for gateway in cut:
            self.cuts[gateway.ip].update(dict.fromkeys(hosts, effect))
            for other in others:
                self.cuts[other][gateway.ip] = effect
        self.write_cuts()
        await asyncio.sleep(for_s)
        for gateway in cut:
            for host in hosts:
                self.cuts[gateway.ip].pop(host, None)
            for other in others:
                self.cuts[other].pop(gateway.ip, None)
        self.write_cuts()

    async def strand_gateways(self) -> None:
        """Cut some gateways off from servers; they count as in touch."""
        stranded, for_s = self.some_gateways(), self.random.uniform(2.0, 6.0)
        effect = self.random.choice(["refuse", "reset", "hang"])
        share = self.random.choice([0.4, 1.0])
        unreached = self.random.sample(self.servers, round(share * len(self.servers)))
        names = [gateway.name for gateway in stranded]
        self.note(f"strand {names} {effect} {len(unreached)} servers {for_s:.1f} s")
        for gateway in stranded:
            for server in unreached:
                self.cuts[gateway.ip][server.host] = "hang" if effect == "hang" else "refuse"
                if effect == "hang":
                    server.blocked[gateway.ip] = effect
                if effect == "reset":
                    for writer in list(server.writers):
                        if (writer.get_extra_info("peername") or [""])[0] == gateway.ip:
                            writer.transport.abort()
        self.write_cuts()
        await asyncio.sleep(for_s)
        for gateway in stranded:
            for server in unreached:
                self.cuts[gateway.ip].pop(server.host, None)
                server.blocked.pop(gateway.ip, None)
        self.write_cuts()

    async def crash_servers(self) -> None:
        """Crash some servers."""
        for server in self.some_servers():
            self.note(f"crash {server.name}")
            self.restart_later(server)

    async def cut_servers_from_store(self) -> None:
        """Cut some servers off from the store; they may crash behind the cut."""
        cut, for_s = self.some_servers(), self.random.uniform(2.0, 7.0)
        reborn = self.random.random() < 0.5
        names = [server.name for server in cut]
        self.note(f"cut {names} from the store{' reborn' * reborn} {for_s:.1f} s")
        for server in cut:
            server.is_cut_from_store = True
        await asyncio.sleep(for_s / 2)
        for server in cut:
            if reborn and server.is_alive:
                self.restart_later(server)
        await asyncio.sleep(for_s / 2)
        for server in cut:
            server.is_cut_from_store = False

    async def silence_servers(self) -> None:
        """Let some servers fall silent for a second or so."""
        silent, for_s = self.some_servers(), self.random.uniform(0.6, 1.8)
        self.note(f"silence {[server.name for server in silent]} {for_s:.1f} s")
        for server in silent:
            server.responsive.clear()
        await asyncio.sleep(for_s)
        for server in silent:
            if server.is_alive:
                server.responsive.set()

    async def release_servers(self) -> None:
        """Replace some servers; the old ones drain and leave."""
        alive = [server for server in self.servers if server.is_alive]
        old = self.random.sample(alive, min(3, len(alive)))
        self.note(f"release {[server.name for server in old]}")
        for server in old:
            if not server.is_alive:
                continue
            await self.add_server(server.service, version="2")
            server.drain()
            await asyncio.sleep(1.0)
        await asyncio.sleep(2.0)
        for server in old:
            if server.is_alive:
                server.is_alive = False
                server.leave()
                self.servers.remove(server)

    async def take_store_down(self) -> None:
        """Take the store down for a time."""
        for_s = self.random.uniform(2.0, 12.0)
        self.disturb(for_s, "")
        self.note(f"store down {for_s:.1f} s")
        self.scene.platform.go_down()
        await asyncio.sleep(for_s)
        self.scene.platform.is_down = False

    async def turn_gateways_away(self) -> None:
        """Let the store refuse the connections of some gateways."""
        refused, for_s = self.some_gateways(), self.random.uniform(2.0, 6.0)
        self.disturb(for_s, "")
        self.note(f"store refuses {[gateway.name for gateway in refused]} {for_s:.1f} s")
        for gateway in refused:
            self.cuts[gateway.ip][self.store_ip] = "refuse"
        self.write_cuts()
        for writer in list(self.scene.platform.writers):
            writer.transport.abort()
        await asyncio.sleep(for_s)
        for gateway in refused:
            self.cuts[gateway.ip].pop(self.store_ip, None)
        self.write_cuts()

    @property
    def store_ip(self) -> str:
        """Return the address of the store."""
        return f"{self.scene.net}.200"

    def restart_later(self, server: Server) -> None:
        """End a server's process, and start it again after some time."""
        dark = self.timed_random.random() < self.dark_share
        server.fail(dark=dark)
        if dark:
            for gateway in self.scene.gateways:
                self.cuts[gateway.ip][server.host] = "hang"
            self.write_cuts()
        self.spawn(self.restart(server, self.timed_random.uniform(0.5, 5.0), dark=dark))

    async def restart(self, server: Server, after_s: float, *, dark: bool) -> None:
        """Start a server as a new process."""
        await asyncio.sleep(after_s)
        if dark:
            server.crash()
            for gateway in self.scene.gateways:
                self.cuts[gateway.ip].pop(server.host, None)
            self.write_cuts()
        await server.start()

    async def add_server(self, service: str, **options) -> None:
        """Start a new server."""
        number = len(self.scene.runners)
        server = Server(
            f"i-{service}{number}",
            service,
            f"{self.scene.net}.{scene.FIRST_RUNNER + number}",
            scene.RUNNER_PORT,
            self.scene.runs,
            self.scene.platform,
            search=self,
            zone=f"z{number % 3}",
            **options,
        )
        self.scene.runners.append(server)
        self.servers.append(server)
        await server.start()

    async def expire_entries(self) -> None:
        """Remove the entries of servers that have not written for three intervals."""
        while True:
            await asyncio.sleep(0.1)
            for name, at in list(self.beats.items()):
                if time.time() - at > LAPSE_S and not self.scene.platform.is_down:
                    del self.beats[name]
                    self.scene.platform.remove("servers", name)

    async def send_crashing(self, number: int) -> None:
        """Send one crashing request again and again to gateways drawn at random."""
        service = self.random.choice(sorted(CRASHING_PREFIXES))
        start_s = self.random.uniform(FIRST_DISRUPTION_S, LAST_START_SHARE * self.seconds)
        gap_s = self.random.uniform(0.05, 0.5)
        client = self.scene.client(f"c0{number:02x}-")
        path = f"{CRASHING_PREFIXES[service]}-{number}"
        headers = {"Deadline-Ms": "4000" if service == "model" else "1200"}
        if service == "model":
            headers |= {"Program-Id": f"crash-{number}", "Session-Id": f"crash-{number}-1"}
            headers |= {"Token-Count": "1166,70", "Token-Budget": "100000", "Finish-Ms": "9000"}
            headers |= {"Prompt-Prefix": "5c1e07a2:512,00c0ffee:654", "Model": "m"}
        await asyncio.sleep(start_s)
        self.note(f"{path} begins, every {gap_s:.2f} s")
        while True:
            self.spawn(client.send(path, headers, "crash", avoid=set(), body=b"crashing"))
            await asyncio.sleep(gap_s)

    async def read(self, number: int) -> None:
        """Send plain requests at intervals."""
        client = self.scene.client(f"a{number:04x}-")
        while True:
            await client.send(
                "/reads/1", {"Deadline-Ms": "1200"}, "", avoid=set(), method="GET", body=b""
            )
            await asyncio.sleep(0.2)

    async def take_turns(self, number: int) -> None:
        """Take model turns at intervals."""
        client = self.scene.client(f"b{number:04x}-")
        count = 0
        while True:
            count += 1
            program = clients.Program(f"p{number}-{count}", 2000, 70, scene.EVENT_TOKENS)
            await clients.take_turn(client, program, f"p{number}-{count}-1", 4000)
            await asyncio.sleep(0.3)

    async def disrupt(self) -> None:
        """Play the disruptions of the seed."""
        moments = sorted(
            self.random.uniform(FIRST_DISRUPTION_S, LAST_DISRUPTION_SHARE * self.seconds)
            for _ in range(self.random.randint(3, 7))
        )
        for moment in moments:
            await asyncio.sleep(max(0.0, self.begin + moment - time.time()))
            self.spawn(self.random.choice(self.kinds)())

    async def run(self) -> int:
        """Play the run; return how often a request reached servers against the rule."""
        self.write_cuts()
        await self.scene.start()
        count = self.random.choice(SERVERS_PER_SERVICE)
        for service in sorted(CRASHING_PREFIXES):
            for _ in range(count):
                await self.add_server(service)
        try:
            await self.scene.start_gateways()
            await asyncio.sleep(1.0)
            self.begin = time.time()
            self.spawn(self.expire_entries())
            for number in range(READERS):
                self.spawn(self.read(number))
            for number in range(TURN_TAKERS):
                self.spawn(self.take_turns(number))
            self.spawn(self.disrupt())
            for number in range(CRASHING_REQUESTS):
                self.spawn(self.send_crashing(number))
            await asyncio.sleep(self.seconds)
        finally:
            await self.end_tasks()
            for gateway in self.scene.gateways:
                gateway.signal(signal.SIGCONT)
            self.scene.end()
        return max(collections.Counter(late.path for late in self.late()).values(), default=0)

    def late(self) -> list[Arrival]:
        """Return what reached servers later than 3 s after the third crash."""
        since = {
            path: sorted(moments)[CRASHES - 1] + IN_TOUCH_S
            for path, moments in self.crashes.items()
            if len(moments) >= CRASHES
        }
        return [
            arrival
            for arrival in self.arrivals
            if arrival.path in since
            and arrival.at > since[arrival.path]
            and self.is_in_touch(arrival.gateway_ip, arrival.at)
        ]

    def report(self) -> str:
        """Return the timeline of the run."""
        lines = list(self.log)
        late = self.late()
        for arrival in self.arrivals:
            mark = "!" if arrival in late else " "
            effect = " crashed it" if arrival.crashed else ""
            lines.append(
                f"{arrival.at - self.begin:7.3f} {mark} {arrival.path} {arrival.gateway_ip} -> "
                f"{arrival.server}{effect}"
            )
        answered = collections.Counter(
            attempt.status
            for attempt in self.scene.attempts
            if not attempt.attempt.startswith("c0")
        )
        lines.sort(key=lambda line: float(line.split()[0]))
        return "\n".join([*lines, f"answers of other requests by status: {dict(answered)}"])


async def play(seed: int, seconds: float, keep: pathlib.Path | None) -> bool:
    """Play one seed, print what came of it, and return whether the rule held."""
    with contextlib.ExitStack() as stack:
        if keep is None:
            folder = pathlib.Path(stack.enter_context(tempfile.TemporaryDirectory()))
        else:
            folder = keep / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
        search = Search(seed, folder, seconds)
        late = await search.run()
        held = late <= ALLOWED_RETRIES
        if keep is not None:
            (folder / "timeline.txt").write_text(search.report() + "\n")
    print(
        f"seed {seed}: {'held' if held else 'BROKEN'}, {len(search.arrivals)} arrivals, crashes "
        f"{[len(moments) for moments in search.crashes.values()]}, {late} late",
        flush=True,
    )
    return held


def main() -> int:
    """Play seeds one after the other; return 1 if the rule was broken on any."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--count", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=TRAFFIC_S, help="time of traffic")
    parser.add_argument("--keep", type=pathlib.Path, help="folder for timelines and logs")
    arguments = parser.parse_args()
    seeds = range(arguments.seed, arguments.seed + arguments.count)
    held = [asyncio.run(play(seed, arguments.seconds, arguments.keep)) for seed in seeds]
    print(f"{sum(held)} of {len(held)} seeds held")
    return 0 if all(held) else 1


if __name__ == "__main__":
    sys.exit(main())
