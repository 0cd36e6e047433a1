"""The processes of a benchmark: the platform, engines of three speeds and one node."""

import dataclasses
import pathlib
import shlex

import tomli_w

from dogwoodgap import models
from dogwoodgap_lab import deployments

CUSTOMER = "bench"
CALLER_TOKEN = "bench-caller-token"
NODE = "node1"
SLOTS = 2_000
CACHE_TOKENS = 50_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Speed:
    """One service of the benchmark and how fast its engines are.

    Attributes
    ----------
    decode_tokens_per_s : float
        Speed of one request.
    tokens_per_step : int
        Tokens in one network write of the engine.
    """

    service: str
    runners: int
    decode_tokens_per_s: float
    tokens_per_step: int


SHORT = Speed("short", 2, 2_000.0, 1)
SINGLE = Speed("single", 4, 150.0, 1)
BATCHED = Speed("batched", 4, 400.0, 8)
SPEEDS = [SHORT, SINGLE, BATCHED]


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """Where the processes listen."""

    folder: pathlib.Path
    base_port: int

    def url(self, offset: int) -> str:
        """Return the base URL of a port."""
        return f"http://127.0.0.1:{self.base_port + offset}"

    @property
    def platform(self) -> str:
        """Return the platform's base URL."""
        return self.url(0)

    @property
    def node(self) -> str:
        """Return the node's base URL."""
        return self.url(deployments.HTTP_PORT_OFFSET)

    def engines(self, speed: Speed) -> list[str]:
        """Return the base URLs of a service's engines."""
        first = deployments.ENGINE_PORT_OFFSET + deployments.PORTS_PER_DEPLOYMENT * SPEEDS.index(
            speed
        )
        return [self.url(first + number) for number in range(speed.runners)]

    def configuration(self) -> models.FleetConfiguration:
        """Return the fleet configuration."""
        administrator = models.Key(
            digest=deployments.digest(deployments.ADMIN_TOKEN), role="administrator"
        )
        caller = models.Key(digest=deployments.digest(CALLER_TOKEN), customer=CUSTOMER)
        return models.FleetConfiguration(
            services={speed.service: self.service(speed) for speed in SPEEDS},
            customers={CUSTOMER: models.Customer()},
            keys={"administrator": administrator, "caller": caller},
        )

    def service(self, speed: Speed) -> models.Service:
        """Return the service of engines of one speed."""
        runners = [
            models.Runner(
                id=f"{speed.service}-{number}",
                address=address,
                data_centre="bench",
                slots=SLOTS,
                cache_tokens=CACHE_TOKENS,
            )
            for number, address in enumerate(self.engines(speed))
        ]
        return models.Service(
            kind="model",
            runners=runners,
            prefill_tokens_per_s=1_000_000.0,
            decode_tokens_per_s=speed.decode_tokens_per_s,
        )

    def write(self) -> None:
        """Write the settings of the node and the list of processes."""
        self.folder.mkdir(parents=True, exist_ok=True)
        lines = [f"platform lab dogwoodgap-lab platform --bind {self.platform[7:]}"]
        for speed in SPEEDS:
            for number, address in enumerate(self.engines(speed)):
                command = (
                    f"dogwoodgap-lab engine-runner --bind {address[7:]} --slots {SLOTS} "
                    f"--cache-tokens {CACHE_TOKENS} --prefill-tokens-per-s 1000000 "
                    f"--decode-tokens-per-s {speed.decode_tokens_per_s} "
                    f"--tokens-per-step {speed.tokens_per_step}"
                )
                lines.append(f"{speed.service}-{number} lab {command}")
        path = self.folder / f"{NODE}.toml"
        path.write_text(tomli_w.dumps(self.settings()), encoding="utf-8")
        lines.append(f"{NODE} node dogwoodgap-node run {shlex.quote(str(path))}")
        (self.folder / "processes").write_text("\n".join(lines) + "\n", encoding="utf-8")

    def settings(self) -> dict[str, dict[str, object]]:
        """Return the settings document of the node."""
        peer_bind = f"127.0.0.1:{self.base_port + deployments.PEER_PORT_OFFSET}"
        return {
            "node": {
                "name": NODE,
                "data_centre": "bench",
                "http_bind": self.node[7:],
                "peer_bind": peer_bind,
                "seeds": [peer_bind],
            },
            "platform": {"url": self.platform},
            "admin": {"bootstrap_key_digest": deployments.digest(deployments.ADMIN_TOKEN)},
        }
