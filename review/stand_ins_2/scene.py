"""Starts the project's programs as processes between the stand-ins, and ends them all."""

import asyncio
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

from stand_ins_2 import client, http, runner, store

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_S = 25.0
LIMIT_S = 112.0
HELD, BROKEN, FAILED = 0, 1, 2
"""Exit codes: the rule held, the rule was broken, the case could not run."""

BOUNDS = {"graceS": 8, "reuseAfterS": 2}
PORTS = ("front", "ready", "control", "directory", "metrics", "relay")
ROUTE = {"host": "hulls.example", "priority": 1, "attempts": 1, "retain": False, "retainS": 60.0}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class CannotRunError(Exception):
    """The case could not be set up."""


def configuration(version: int, *, retain: bool = False) -> dict:
    """Return a configuration with one route of turns and one of calls."""
    turns = {
        **ROUTE,
        "name": "turns",
        "pathPrefix": "/turn/",
        "kind": "streaming",
        "timeoutMs": 4000,
        "sloMs": 200,
        "gapAimMs": 200,
        "service": "hull-llm",
        "sticky": True,
        "resumable": not retain,
        "retain": retain,
    }
    calls = {
        **ROUTE,
        "name": "calls",
        "pathPrefix": "/call/",
        "kind": "non_idempotent",
        "timeoutMs": 3000,
        "sloMs": 400,
        "service": "hull-actions",
    }
    engine = {"slots": 16, "kvTokens": 125987, "eventTokens": 10}
    services = [
        {"name": "hull-llm", "healthPath": "/healthz", "maxConns": 170, "engine": engine},
        {"name": "hull-actions", "healthPath": "/healthz", "maxConns": 100},
    ]
    return {"version": version, "routes": [turns, calls], "services": services, "limits": LIMITS}


def render(template: str, values: dict[str, object]) -> str:
    """Fill in a template of settings; sections that no value asks for are left out."""
    lines = [line for line in template.splitlines() if not line.startswith("{{#")]

    def value(match: re.Match) -> str:
        name, as_json = match.group(1), match.group(2)
        found = values[name]
        return json.dumps(found) if as_json or isinstance(found, bool) else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, "\n".join(lines)) + "\n"


class Scene:
    """One case: the store, the processes, and the record of what happened."""

    def __init__(self, folder: pathlib.Path):
        self.started_at = time.monotonic()
        self.record_file = (folder / "record.txt").open("w")
        self.scratch = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.platform = store.Store()
        self.platform_address = ""
        self.processes: dict[str, subprocess.Popen] = {}
        self.addresses: dict[str, dict[str, str]] = {}
        self.next_port = 10_000 + os.getpid() * 97 % 9_000
        self.ports: dict[str, int] = {}
        self.seeds: list[str] = []

    def record(self, what: str, **fields: object) -> None:
        """Write one line to the record."""
        line = {"at": round(time.monotonic() - self.started_at, 3), "what": what, **fields}
        self.record_file.write(json.dumps(line) + "\n")
        self.record_file.flush()

    def free_port(self, hosts: list[str]) -> int:
        """Return a port that is free on all hosts."""
        for _ in range(2_000):
            self.next_port = 10_000 + (self.next_port - 9_999) % 10_000
            if all(is_free(host, self.next_port) for host in hosts):
                return self.next_port
        raise CannotRunError("no free port")

    def address(self, host: str = "127.0.0.1") -> str:
        """Return a free address."""
        return f"{host}:{self.free_port([host])}"

    async def start_platform(self, gateways: int) -> None:
        """Start the store, and choose the addresses of the gateways."""
        self.platform_address = self.address()
        host, _, port = self.platform_address.rpartition(":")
        await http.serve(host, int(port), self.platform.handle)
        hosts = [f"127.0.1.{number + 1}" for number in range(gateways)]
        self.ports = {name: self.free_port(hosts) for name in PORTS}
        zones = ("brno-a", "brno-b", "znojmo")
        for number, host in enumerate(hosts):
            zone = zones[number % 3]
            name = f"front-{zone}-{number // 3 + 1}"
            self.addresses[name] = {key: f"{host}:{port}" for key, port in self.ports.items()}
            self.addresses[name]["zone"] = zone
        self.seeds = [of["control"] for of in list(self.addresses.values())[:3]]

    def start_gateway(self, name: str, *, first: bool, losses: int = 1) -> None:
        """Start a gateway process as the deploy file says."""
        own = self.addresses[name]
        values = {
            "node": name,
            "zone": own["zone"],
            "region": "morava",
            "listen.front": own["front"],
            "listen.ready": own["ready"],
            "listen.control": own["control"],
            "listen.directory": own["directory"],
            "seeds": self.seeds,
            "dataDir": "",
            "ip": own["front"].rpartition(":")[0],
            "portRange.0": self.ports["metrics"],
            "portRange.1": self.ports["relay"],
            "limits.memoryMb": 150,
            "bounds.graceS": BOUNDS["graceS"],
            "bounds.reuseAfterS": BOUNDS["reuseAfterS"],
            "bootstrap": first,
            "tolerate.machines": losses,
        }
        self.start_process(name, "dogwoodgap_platform", "front.toml", values)

    def start_storage(self, name: str, number: int, zone: str, *, first: bool) -> None:
        """Start a storage process as the deploy file says; its disk is a folder of its own."""
        host = f"127.0.2.{number + 1}"
        if "storage" not in self.ports:
            hosts = [f"127.0.2.{other + 1}" for other in range(10)]
            self.ports["storage"] = self.free_port(hosts)
            self.ports["storage metrics"] = self.free_port(hosts)
        values = {
            "node": name,
            "zone": zone,
            "region": "morava",
            "dataDir": str(self.disk(name)),
            "ip": host,
            "portRange.0": self.ports["storage"],
            "portRange.1": self.ports["storage metrics"],
            "bootstrap": first,
            "limits.diskMb": 260,
            "limits.memoryMb": 160,
            "tolerate.machines": 1,
        }
        self.start_process(name, "dogwoodgap_platform.storage", "storage.toml", values)

    def disk(self, name: str) -> pathlib.Path:
        """Return the folder that stands for the disk of a storage machine."""
        return self.scratch / "disks" / name

    def lose_disk(self, name: str) -> None:
        """Kill a storage process, and empty its disk."""
        self.send_signal(name, signal.SIGKILL)
        self.processes[name].wait()
        shutil.rmtree(self.disk(name), ignore_errors=True)
        self.record("disk lost", name=name)

    def start_process(self, name: str, module: str, template: str, values: dict) -> None:
        """Start one of the programs of the deploy file with its settings."""
        platform = {
            "provider.addr": self.platform_address,
            "provider.writesPerS": 400,
            "provider.readsPerS": 2000,
        }
        text = render((ROOT / "deploy" / template).read_text(), {**values, **platform})
        settings = self.scratch / f"{name}.toml"
        settings.write_text(text)
        log = (self.scratch / f"{name}.log").open("ab")
        environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["DOGWOODGAP_SETTINGS"] = str(settings)
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        self.record("process started", name=name)

    async def wait_ready(self, *names: str) -> None:
        """Wait until gateways count as ready."""
        for name in names:
            until = time.monotonic() + READY_S
            while not await self.is_ready(name):
                if time.monotonic() > until:
                    raise CannotRunError(f"{name} is not ready")
                await asyncio.sleep(0.02)
            self.record("ready", name=name)

    async def is_ready(self, name: str) -> bool:
        """Ask a gateway whether it is ready."""
        answer = await client.send(
            self.addresses[name]["ready"],
            "/v1/ready",
            {"Attempt-Id": ""},
            method="GET",
            deadline_s=1.0,
        )
        return answer.status == 200

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this scene started."""
        self.record("signal", name=name, signal=number.name)
        self.processes[name].send_signal(number)

    def new_runner(self, name: str, service: str, **options) -> runner.Runner:
        """Return a runner, which is to be started."""
        return runner.Runner(self.platform, name, service, self.address(), **options)

    def close(self) -> None:
        """End all processes that this scene started."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.record_file.close()
        shutil.rmtree(self.scratch, ignore_errors=True)


def is_free(host: str, port: int) -> bool:
    """Return whether nothing listens on an address."""
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def run(folder: pathlib.Path, play) -> int:
    """Play a case; return its exit code. ``play`` returns whether the rule was broken."""
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(FAILED))

    async def limited() -> int:
        case = Scene(folder)
        case.record("case", trouble=is_troubled)
        try:
            async with asyncio.timeout(LIMIT_S):
                is_broken = await play(case, is_troubled)
            case.record("verdict", broken=is_broken)
            return BROKEN if is_broken else HELD
        except Exception as error:  # an error of the script is no broken rule
            trace = "".join(traceback.format_exception(error))[-4_000:]
            case.record("cannot run", error=repr(error), trace=trace)
            return FAILED
        finally:
            case.close()

    return asyncio.run(limited())
