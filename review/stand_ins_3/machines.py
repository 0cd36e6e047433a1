"""Starts the project's programs as the deploy file says, each on a loopback address of its own."""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import sys
import tomllib
import typing

from stand_ins_3 import http

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
PORT_NAMES = ("front", "ready", "control", "directory", "first", "second")
START_TIMEOUT_S = 15.0
END_TIMEOUT_S = 5.0
hosts = (f"127.{60 + os.getpid() % 60}.{n // 200}.{2 + n % 200}" for n in itertools.count())


def free_address() -> str:
    """Return an unused loopback host with a port that was free just now."""
    host = next(hosts)
    with socket.create_server((host, 0)) as listener:
        return f"{host}:{listener.getsockname()[1]}"


def free_ports(count: int) -> list[int]:
    """Return ports that were free just now."""
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [listener.getsockname()[1] for listener in listeners]
    for listener in listeners:
        listener.close()
    return ports


def look_up(fields: typing.Any, path: str) -> typing.Any:
    """Return the value at a dotted path, or None."""
    for part in path.split("."):
        if isinstance(fields, list):
            fields = fields[int(part)]
        elif isinstance(fields, dict):
            fields = fields.get(part)
        else:
            return None
    return fields


def render(template: str, fields: dict[str, typing.Any]) -> str:
    """Fill in a template of settings; sections are kept whole if their value is present."""
    section = re.compile(r"\{\{#([\w.]+)\}\}((?:(?!\{\{#).)*?)\{\{/\1\}\}", re.DOTALL)
    while match := section.search(template):
        kept = match[2] if look_up(fields, match[1]) not in (None, False) else ""
        template = template[: match.start()] + kept + template[match.end() :]

    def value(match: re.Match[str]) -> str:
        found = look_up(fields, match[1])
        if match[2] or isinstance(found, bool | dict):
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, template)


class Site:
    """What all machines of a deployment have in common.

    Parameters
    ----------
    folder : pathlib.Path
        Temporary folder for settings, logs and disks.
    seeds : int
        Front machines whose control addresses all settings name.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        store_address: str,
        bounds: dict[str, typing.Any],
        tolerated_machines: int,
        seeds: int,
    ):
        self.folder = folder
        self.store_address = store_address
        self.bounds = bounds
        self.tolerated_machines = tolerated_machines
        self.ports = dict(zip(PORT_NAMES, free_ports(len(PORT_NAMES)), strict=True))
        self.fronts: list[Machine] = []
        self.machines: list[Machine] = []
        self.seed_count = seeds

    def add(self, name: str, role: str, zone: str) -> "Machine":
        """Add a machine that is not started yet."""
        machine = Machine(self, name, role, zone, next(hosts))
        self.machines.append(machine)
        if role == "gateway":
            self.fronts.append(machine)
        return machine

    def seeds(self) -> list[str]:
        """Return the control addresses of the first front machines."""
        return [
            f"{machine.link_host or machine.host}:{self.ports['control']}"
            for machine in self.fronts[: self.seed_count]
        ]

    def end(self) -> None:
        """End all processes that were started."""
        for machine in self.machines:
            machine.kill()


class Machine:
    """One machine with one process.

    Attributes
    ----------
    store_address : str
        Where the machine reaches the platform's store.
    link_host : str
        Host at which other machines reach this one; empty for its own.
    """

    def __init__(self, site: Site, name: str, role: str, zone: str, host: str):
        self.site = site
        self.name = name
        self.role = DEPLOY["roles"][role]
        self.zone = zone
        self.host = host
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.store_address = site.store_address
        self.link_host = ""

    def address(self, port_name: str) -> str:
        """Return an address of this machine."""
        return f"{self.host}:{self.site.ports[port_name]}"

    @property
    def disk(self) -> pathlib.Path:
        """Return the folder of the disk."""
        return self.site.folder / "disks" / self.name

    def settings(self, *, is_first_start: bool) -> dict[str, typing.Any]:
        """Return the fields that fill in the template of the role."""
        has_disk = self.role["on"] == "storage"
        return {
            "node": self.name,
            "class": self.role["on"],
            "serves": self.role["serves"],
            "ip": self.host,
            "zone": self.zone,
            "region": "r1",
            "listen": {name: self.address(name) for name in PORT_NAMES[:4]},
            "portRange": [self.site.ports["first"], self.site.ports["second"]],
            "seeds": self.site.seeds(),
            "bootstrap": is_first_start,
            "limits": {"memoryMb": 170 if has_disk else 150, "diskMb": 340 if has_disk else 0},
            "dataDir": str(self.disk) if has_disk else "",
            "tolerate": {"machines": self.site.tolerated_machines, "zones": 0, "regions": 0},
            "bounds": self.site.bounds,
            "provider": {"addr": self.store_address, "writesPerS": 400, "readsPerS": 2000},
        }

    def start(self, *, is_first_start: bool) -> None:
        """Start the process with the command of the deploy file."""
        template = (ROOT / self.role["template"]).read_text()
        path = self.site.folder / f"{self.name}.toml"
        text = render(template, self.settings(is_first_start=is_first_start))
        if self.link_host:
            # The other machines reach this one through a proxy.
            address = f"{self.link_host}:{self.site.ports['control']}"
            text = text.replace("[node]", f'[node]\npeer_address = "{address}"', 1)
        path.write_text(text)
        if self.role["on"] == "storage":
            self.disk.mkdir(parents=True, exist_ok=True)
        command = self.role["run"].split()
        self.starts += 1
        with (self.site.folder / f"{self.name}.{self.starts}.log").open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, *command[1:]],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "DOGWOODGAP_SETTINGS": str(path),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def wait_for_end(self, timeout_s: float) -> None:
        """Wait until the process has ended, but not longer; blocks."""
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.process.wait(timeout_s)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(END_TIMEOUT_S)

    def wipe(self) -> None:
        """Lose the disk; the process must have ended."""
        shutil.rmtree(self.disk)

    async def wait_until_ready(self) -> None:
        """Wait until a front machine says that it is ready."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                answer = await http.call(self.address("ready"), "GET", "/v1/ready", {})
                if answer is not None and answer.status == 200:
                    return
                await asyncio.sleep(0.1)
