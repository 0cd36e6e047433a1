"""Simulated gateways: real ones, each in a simulated process, and the recorder of their events."""

import logging
import signal
import typing

import anyio

from dogwoodgap import clock, dialect, entrance, file_source, gateway, settings
from dogwoodgap_lab.fleet_simulation import evidence, processes, stand_ins

if typing.TYPE_CHECKING:
    from dogwoodgap_lab.fleet_simulation import fleet as fleet_module

FAILURES = ("BACKGROUND_FAILED", "CONNECTION_FAILED")
"""Log events that report an unexpected error of a gateway."""

RECORD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"event", "event_name", "request"}


class SimulatedGateway:
    """One gateway of the fleet, which can be stopped, killed, paused and started again."""

    def __init__(self, fleet: "fleet_module.Fleet", number: int):
        self.fleet = fleet
        self.name = f"gateway-{number}"
        self.number = number
        self.host = f"10.0.0.{number + 1}"
        self.address = f"{self.host}:8080"
        self.process = processes.Process(self.host, ended=True)
        self.scope: anyio.CancelScope | None = None
        self.has_ended: anyio.Event
        self.gateway: gateway.Gateway | None = None
        self.stop: evidence.Stop | None = None
        self.life: evidence.Life

    @property
    def is_up(self) -> bool:
        """Return whether the gateway runs and is not stopping."""
        return not self.process.ended and self.stop is None

    def load_settings(self) -> settings.GatewaySettings:
        """Return the settings of this gateway."""
        return settings.GatewaySettings.model_validate(
            {
                "node": {
                    "name": self.name,
                    "data_centre": f"dc{self.number % stand_ins.SERVERS_PER_SERVICE}",
                    "http_bind": self.address,
                    "peer_bind": f"{self.host}:7080",
                    "seeds": [f"{member.host}:7080" for member in self.fleet.gateways[:3]],
                },
                "platform": {"url": "http://unused"},
                "gateway": {
                    "ready_bind": f"{self.host}:8081",
                    "directory_bind": f"{self.host}:8082",
                    "relay_bind": f"{self.host}:8083",
                    "stop_grace_s": evidence.GRACE_S,
                    "first_start": self.process.boot == 1,
                },
            }
        )

    def start(self) -> None:
        """Start a process with a new boot id under the same address."""
        self.process = processes.Process(self.host, self.process.boot + 1)
        self.has_ended = anyio.Event()
        self.stop = None
        self.log(f"starts, boot {self.process.boot}")
        self.life = evidence.Life(self.name, clock.now())
        self.fleet.evidence.lives.append(self.life)
        self.fleet.spawn(self.process, self.run, self.process)

    async def run(self, process: processes.Process) -> None:
        """Run one process until its end."""
        self.scope = scope = anyio.CancelScope()
        try:
            with scope:
                self.gateway = served = gateway.Gateway(
                    self.load_settings(),
                    self.fleet.store,
                    self.fleet.records,
                    self.fleet.crash_records,
                    file_source.NoRemovals(),
                    dialect.HeaderCodec(),
                )
                await served.run(entrance.DiscoveryEndpoints(served))
        except Exception as error:
            if not process.ended:
                self.fleet.evidence.errors.append(f"{self.name} ended by itself: {error!r}")
        if not process.ended:
            self.fleet.network.end(process)
            self.record_end()

    def record_end(self) -> None:
        """Record the end of the process."""
        self.log("process ends")
        self.life.ended_at = min(self.life.ended_at, clock.now())
        self.has_ended.set()
        if self.stop is not None:
            self.stop.ended_at = clock.now()

    async def stop_in_order(self, extra: list[tuple[float, signal.Signals]]) -> None:
        """Send SIGTERM, then other signals, and kill what is left after the grace period."""
        if not self.is_up:
            return
        process = self.process
        self.stop = evidence.Stop(self.name, clock.now())
        self.fleet.evidence.stops.append(self.stop)
        self.log("SIGTERM")
        self.life.ended_at = clock.now()
        self.fleet.network.signals[process].send_nowait(signal.SIGTERM)
        end_at = clock.now() + evidence.GRACE_S
        for pause_s, number in extra:
            await anyio.sleep(pause_s)
            if not process.ended:
                self.log(number.name)
                self.fleet.network.signals[process].send_nowait(number)
        with anyio.move_on_after(end_at - clock.now()):
            await self.has_ended.wait()
        if not process.ended:
            self.kill()

    def kill(self) -> None:
        """End the process at once, as by SIGKILL."""
        self.log("killed")
        self.fleet.network.end(self.process)
        self.resume()
        if self.scope is not None:
            self.scope.cancel()
        self.record_end()

    def resume(self) -> None:
        """Let a paused process go on."""
        if self.process.paused:
            self.fleet.loop.resume(self.process)

    async def pause(self, pause_s: float) -> None:
        """Pause the process, as by SIGSTOP and SIGCONT."""
        process = self.process
        if process.paused or process.ended:
            return
        self.record_disruption(f"paused for {pause_s:.3f} s", pause_s)
        self.fleet.loop.pause(process)
        await anyio.sleep(pause_s)
        if process.paused:
            self.fleet.loop.resume(process)
            self.log("resumed")

    async def kill_and_restart(self, pause_s: float) -> None:
        """Kill the process if it is up and does not stop, and start it again after a pause."""
        if not self.is_up:
            return
        self.record_disruption("SIGKILL")
        self.kill()
        await anyio.sleep(pause_s)
        if self.process.ended:
            self.start()

    def log(self, text: str, request: str = "") -> None:
        """Add a line to the event log."""
        self.fleet.evidence.add(clock.now(), self.name, text, request)

    def record_disruption(self, text: str, seconds: float = 0.0) -> None:
        """Record an unplanned disruption that begins now."""
        now = clock.now()
        self.log(text)
        self.fleet.evidence.disruptions.append(evidence.Disruption(self.name, now, now + seconds))


class EventRecorder(logging.Handler):
    """Adds the log events of gateways to the evidence, and lets the fleet act at them."""

    def __init__(self, fleet: "fleet_module.Fleet"):
        super().__init__()
        self.fleet = fleet

    def emit(self, record: logging.LogRecord) -> None:
        """Record an event of a running gateway."""
        process = processes.current.get()
        if process is None or process.ended:
            return
        name = getattr(record, "event_name", "UNEXPECTED")
        fields = {
            key: value for key, value in vars(record).items() if key not in RECORD_FIELDS and value
        }
        member = self.fleet.by_host[process.name]
        request = getattr(record, "request", "")
        text = " ".join([name, request, *(f"{key}={value}" for key, value in fields.items())])
        member.log(text, request)
        if name in FAILURES or name == "UNEXPECTED":
            self.fleet.evidence.errors.append(f"{member.name} {record.getMessage()}: {fields}")
        self.fleet.at_event(member, name)
