"""Test fleets of the two deployments on loopback addresses."""

import dataclasses
import hashlib
import json
import pathlib
import shlex

import tomli_w

from dogwoodgap import exceptions, models

PLATFORM_PORT_OFFSET = 0
HTTP_PORT_OFFSET = 100
PEER_PORT_OFFSET = 200
ENGINE_PORT_OFFSET = 300
PLAIN_PORT_OFFSET = 400
PORTS_PER_DEPLOYMENT = 20
NODES_WITH_DATA_FOLDER = 3
"""Only a few VMs of the deployments have a disk."""


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The customer, data centres, services and runners of a deployment."""

    name: str
    data_centres: list[str]
    model_service: str
    model_runners: int
    plain_service: str
    plain_runners: int
    entry_vms: int
    latency_weight: float
    cache_weight: float
    time_zone: str

    @property
    def token(self) -> str:
        """Return the bearer token of callers, for tests on loopback only."""
        return f"{self.name}-caller-token"


ORECHOV = Deployment(
    name="orechov",
    data_centres=["brno-a", "brno-b", "znojmo"],
    model_service="hull-llm",
    model_runners=5,
    plain_service="hull-actions",
    plain_runners=5,
    entry_vms=7,
    latency_weight=4.0,
    cache_weight=1.0,
    time_zone="Europe/Prague",
)

LAKESHORE = Deployment(
    name="lakeshore",
    data_centres=["lakes-a", "lakes-b", "lakes-c"],
    model_service="agent-llm",
    model_runners=5,
    plain_service="crew-app",
    plain_runners=4,
    entry_vms=9,
    latency_weight=1.0,
    cache_weight=4.0,
    time_zone="America/Chicago",
)

DEPLOYMENTS = {ORECHOV.name: ORECHOV, LAKESHORE.name: LAKESHORE}
ADMIN_TOKEN = "loopback-administrator-token"


def digest(token: str) -> str:
    """Return the SHA-256 digest of a bearer token, as the configuration stores it."""
    return hashlib.sha256(token.encode()).hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class Layout:
    """Addresses and files of a test fleet's processes."""

    folder: pathlib.Path
    deployments: list[Deployment]
    node_count: int
    base_port: int

    @property
    def platform_url(self) -> str:
        """Return the platform's base URL."""
        return f"http://127.0.0.1:{self.base_port + PLATFORM_PORT_OFFSET}"

    def node_name(self, index: int) -> str:
        """Return the name of a node."""
        return f"node{index + 1}"

    def http_address(self, index: int) -> str:
        """Return the host and port of a node's HTTP interface."""
        return f"127.0.0.1:{self.base_port + HTTP_PORT_OFFSET + index}"

    def peer_address(self, index: int) -> str:
        """Return the host and port where a node accepts its peers."""
        return f"127.0.0.1:{self.base_port + PEER_PORT_OFFSET + index}"

    def node_urls(self) -> list[str]:
        """Return the base URLs of all nodes."""
        return [f"http://{self.http_address(index)}" for index in range(self.node_count)]

    def model_ports(self, index: int) -> list[int]:
        """Return the ports of a deployment's engines."""
        first = self.base_port + ENGINE_PORT_OFFSET + index * PORTS_PER_DEPLOYMENT
        return [first + number for number in range(self.deployments[index].model_runners)]

    def plain_ports(self, index: int) -> list[int]:
        """Return the ports of a deployment's plain runners."""
        first = self.base_port + PLAIN_PORT_OFFSET + index * PORTS_PER_DEPLOYMENT
        return [first + number for number in range(self.deployments[index].plain_runners)]

    def data_centre(self, index: int) -> str:
        """Return a node's data centre; nodes are distributed evenly."""
        data_centres = [name for deployment in self.deployments for name in deployment.data_centres]
        return data_centres[index % len(data_centres)]


def runners(service: str, ports: list[int], data_centres: list[str]) -> list[models.Runner]:
    """Return the runners of a service, distributed evenly over its data centres."""
    return [
        models.Runner(
            id=f"{service}-{number + 1}",
            address=f"http://127.0.0.1:{port}",
            data_centre=data_centres[number % len(data_centres)],
        )
        for number, port in enumerate(ports)
    ]


def configuration(layout: Layout) -> models.FleetConfiguration:
    """Return the fleet configuration of a layout."""
    document = models.FleetConfiguration(generation=1)
    document.keys["administrator"] = models.Key(digest=digest(ADMIN_TOKEN), role="administrator")
    for index, deployment in enumerate(layout.deployments):
        profile = models.Profile(
            latency_weight=deployment.latency_weight, cache_weight=deployment.cache_weight
        )
        document.profiles[deployment.name] = profile
        document.services[deployment.model_service] = models.Service(
            kind="model",
            profile=deployment.name,
            time_zone=deployment.time_zone,
            runners=runners(
                deployment.model_service, layout.model_ports(index), deployment.data_centres
            ),
        )
        document.services[deployment.plain_service] = models.Service(
            kind="plain",
            profile=deployment.name,
            time_zone=deployment.time_zone,
            answers_outcomes=True,
            runners=runners(
                deployment.plain_service, layout.plain_ports(index), deployment.data_centres
            ),
        )
        document.customers[deployment.name] = models.Customer()
        document.keys[f"{deployment.name}-caller"] = models.Key(
            digest=digest(deployment.token), customer=deployment.name
        )
    return models.FleetConfiguration.model_validate(document.model_dump())


def node_settings(layout: Layout, index: int) -> dict[str, dict[str, object]]:
    """Return the settings of a node as written to its TOML file."""
    name = layout.node_name(index)
    return {
        "node": {
            "name": name,
            "data_centre": layout.data_centre(index),
            "http_bind": layout.http_address(index),
            "peer_bind": layout.peer_address(index),
            "seeds": [layout.peer_address(other) for other in range(min(3, layout.node_count))],
            "data_folder": str(layout.folder / "data" / name)
            if index < NODES_WITH_DATA_FOLDER
            else "",
        },
        "platform": {"url": layout.platform_url},
        "admin": {"bootstrap_key_digest": digest(ADMIN_TOKEN)},
    }


def bind_options(ports: list[int]) -> str:
    """Return the ``--bind`` options of a process that serves several runners."""
    return " ".join(f"--bind 127.0.0.1:{port}" for port in ports)


def write_layout(layout: Layout, engine_options: str = "", seed: int = 0) -> None:
    """Write the settings of nodes, the fleet configuration and the list of processes.

    The file ``processes`` has one line per process: name, kind (``node`` or ``lab``) and command.
    """
    layout.folder.mkdir(parents=True, exist_ok=True)
    lines = [
        f"platform lab dogwoodgap-lab platform {bind_options([layout.base_port])} --seed {seed}"
    ]
    for index, deployment in enumerate(layout.deployments):
        binds = bind_options(layout.model_ports(index))
        plain_binds = bind_options(layout.plain_ports(index))
        lines.append(
            f"{deployment.model_service} lab dogwoodgap-lab engine-runner {binds} {engine_options}"
        )
        lines.append(f"{deployment.plain_service} lab dogwoodgap-lab plain-runner {plain_binds}")
    for index in range(layout.node_count):
        path = layout.folder / f"{layout.node_name(index)}.toml"
        path.write_text(tomli_w.dumps(node_settings(layout, index)), encoding="utf-8")
        command = f"dogwoodgap-node run {shlex.quote(str(path))}"
        lines.append(f"{layout.node_name(index)} node {command}")
    (layout.folder / "processes").write_text("\n".join(lines) + "\n", encoding="utf-8")
    text = configuration(layout).model_dump_json(indent=1)
    (layout.folder / "configuration.json").write_text(text, encoding="utf-8")
    summary = {
        "deployments": [deployment.name for deployment in layout.deployments],
        "node_count": layout.node_count,
        "base_port": layout.base_port,
    }
    (layout.folder / "layout.json").write_text(json.dumps(summary), encoding="utf-8")


def read_layout(folder: pathlib.Path) -> Layout:
    """Return the layout that :func:`write_layout` wrote to a folder.

    Raises
    ------
    SettingsInvalidError
        When the folder does not contain one.
    """
    try:
        summary = json.loads((folder / "layout.json").read_text(encoding="utf-8"))
    except OSError as error:
        raise exceptions.SettingsInvalidError(
            f"{folder} contains no layout ({error.strerror}); create one with "
            f"'dogwoodgap-lab layout {folder}'"
        ) from error
    chosen = [DEPLOYMENTS[name] for name in summary["deployments"]]
    return Layout(folder, chosen, summary["node_count"], summary["base_port"])
