"""Starts the gateways as separate processes, as the deploy file runs them."""

import os
import pathlib
import signal
import subprocess
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPENDENCIES = ROOT / "target" / "deps"
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
COMMAND = DEPLOY["roles"]["gateway"]["run"].split()
FRONT, READY, DIRECTORY, CONTROL, METRICS, RELAY = 8149, 8141, 8143, 8144, 7380, 7395

SETTINGS = """\
[node]
name = "{name}"
data_centre = "{zone}"
region = "r1"
http_bind = "{ip}:{front}"
peer_bind = "{ip}:{control}"
seeds = [{seeds}]
data_folder = ""

[gateway]
ready_bind = "{ip}:{ready}"
directory_bind = "{ip}:{directory}"
metrics_bind = "{ip}:{metrics}"
relay_bind = "{ip}:{relay}"
stop_grace_s = 8
return_grace_s = 2
first_start = {first}

[platform]
url = "http://{store}"
writes_per_s = 400
reads_per_s = 2000
"""


class Gateway:
    """One gateway process, which may be ended and started again."""

    def __init__(self, name: str, ip: str, zone: str, folder: pathlib.Path, store: str, seeds):
        self.name = name
        self.ip = ip
        self.zone = zone
        self.folder = folder
        self.store = store
        self.seeds = seeds
        self.process: subprocess.Popen | None = None
        self.starts = 0

    def start(self, *, bootstrap: bool) -> None:
        """Write the settings and start the process."""
        settings = self.folder / f"{self.name}.toml"
        seeds = ", ".join(f'"{ip}:{CONTROL}"' for ip in self.seeds)
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                seeds=seeds,
                store=self.store,
                first="true" if bootstrap else "false",
                front=FRONT,
                ready=READY,
                directory=DIRECTORY,
                control=CONTROL,
                metrics=METRICS,
                relay=RELAY,
            )
        )
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment = kept | {
            "PYTHONPATH": str(DEPENDENCIES),
            "DOGWOODGAP_SETTINGS": str(settings),
        }
        self.starts += 1
        log = (self.folder / f"{self.name}.{self.starts}.log").open("wb")
        self.process = subprocess.Popen(
            COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT
        )
        log.close()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()
