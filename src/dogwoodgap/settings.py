"""Settings of a node, from a TOML file, environment variables and command-line options."""

import collections.abc
import os
import pathlib
import tomllib
import typing

import pydantic

from dogwoodgap import exceptions, validation

ENVIRONMENT_PREFIX = "DOGWOODGAP_"


class NodeSection(validation.StrictModel):
    """Name, location and addresses of the node."""

    name: validation.Name
    data_centre: validation.Name
    region: str = "default"
    http_bind: str = "127.0.0.1:8080"
    http_address: str = ""
    peer_bind: str = "127.0.0.1:7080"
    peer_address: str = ""
    seeds: list[str] = pydantic.Field(default_factory=list)
    data_folder: str = ""
    export_bytes: int = pydantic.Field(default=8 * 1024**3, ge=0)
    max_body_bytes: int = pydantic.Field(default=8 * 1024 * 1024, ge=1024)


class PlatformSection(validation.StrictModel):
    """Access to the platform's object API."""

    url: str = pydantic.Field(pattern=r"^https?://")
    writes_per_s: float = pydantic.Field(default=300.0, gt=0)
    reads_per_s: float = pydantic.Field(default=2_000.0, gt=0)
    timeout_s: float = pydantic.Field(default=1.0, gt=0)
    watches_per_data_centre: int = pydantic.Field(default=2, ge=1)


class TlsSection(validation.StrictModel):
    """Certificate files; empty paths disable TLS."""

    certificate: str = ""
    key: str = ""
    client_authority: str = ""


class StatsdSection(validation.StrictModel):
    """The statsd server for metrics; an empty host disables them."""

    host: str = ""
    port: int = 8125
    prefix: str = "dogwoodgap"


class LogSection(validation.StrictModel):
    """Logging."""

    level: typing.Literal["debug", "info", "warning", "error"] = "info"


class MembershipSection(validation.StrictModel):
    """Failure detection between nodes."""

    ping_interval_s: float = pydantic.Field(default=0.5, gt=0)
    suspect_after_s: float = pydantic.Field(default=1.5, gt=0)
    dead_after_s: float = pydantic.Field(default=3.0, gt=0)
    discovery_ttl_s: float = pydantic.Field(default=5.0, gt=0)


class ConnectionsSection(validation.StrictModel):
    """Limits of accepted connections, for callers that take no responses.

    Attributes
    ----------
    read_ahead_bytes : int
        Bytes of further requests that are read from a connection while one is being handled.
    send_buffer_bytes : int
        Send buffer of each accepted connection in the kernel, in bytes; the kernel uses up to twice
        as much. 0 for the kernel's default, which grows to several MB.
    unread_timeout_s : float
        Time in seconds after which a connection is closed whose caller takes nothing of what waits
        for it in this process.
    held_limit_mb : float
        Memory in MB for what all connections together hold of requests sent ahead and of responses
        not taken; 0 for an eighth of ``gateway.memory_limit_mb``, or no limit without one.
    max_service_connections : int
        Connections open at a time on each of the readiness check, the directory and the metrics; 0
        for a thirty-second of the process's limit of open files, at least 8.
    max_relay_connections : int
        Connections open at a time at ``gateway.relay_bind``; 0 for an eighth of that limit.
    max_peer_connections : int
        Connections open at a time at ``node.peer_bind``; 0 for a quarter of that limit.
    max_node_connections : int
        Connections of callers open at a time on ``dogwoodgap-node``; 0 for half of that limit.
    """

    read_ahead_bytes: int = pydantic.Field(default=8_192, ge=1_024)
    send_buffer_bytes: int = pydantic.Field(default=131_072, ge=0)
    unread_timeout_s: float = pydantic.Field(default=2.0, gt=0)
    held_limit_mb: float = pydantic.Field(default=0, ge=0)
    max_service_connections: int = pydantic.Field(default=0, ge=0)
    max_relay_connections: int = pydantic.Field(default=0, ge=0)
    max_peer_connections: int = pydantic.Field(default=0, ge=0)
    max_node_connections: int = pydantic.Field(default=0, ge=0)


class AdminSection(validation.StrictModel):
    """Administration before the first administrator key is configured."""

    bootstrap_key_digest: str = pydantic.Field(default="", pattern=r"^([0-9a-f]{64})?$")


class GatewaySection(validation.StrictModel):
    """Settings of the gateway, which forwards requests by configured routes.

    Attributes
    ----------
    ready_bind, directory_bind : str
        ``host:port`` of the readiness check and of the directory of gateway addresses.
    relay_bind : str
        ``host:port`` at which other gateways send the requests of services that they cannot reach;
        empty to disable. The port has to be the same on all gateways.
    max_connections : int
        Connections of callers that are open at a time; 0 for half of the process's limit of open
        files, so that descriptors are left for servers, other gateways and the store.
    max_relayed_requests : int
        Requests of other gateways that are handled at a time.
    bind_timeout_s : float
        Longest time to wait at the start for an address that is still in use, in seconds.
    stop_grace_s : float
        Time between the request to stop and the end of the process, in seconds.
    directory_ttl_s : float
        How long callers cache gateway addresses, in seconds; some cache them three times as long.
    return_grace_s : float
        Time after an outage of the store in which backend servers whose entries expired may
        register again, in seconds.
    first_start : bool
        Whether the whole fleet starts for the first time, so that no program can have run before.
    memory_limit_mb : float
        Memory that the process may use, in MB; 0 if it is not limited. A part is for bodies of
        requests and responses; beyond that, the largest one that is being received is given up.
    max_response_bytes : int
        Largest body of a backend server's response that is not a stream, in bytes. It is held in
        memory until it is complete.
    revocation_ms : float
        Time in ms after which no gateway may serve a key that was taken away, also if it cannot
        reach the platform; 0 if a key may be served until the new configuration is known.
    quota_window_s : float
        Length of the sliding window to which the quotas of customers apply, in seconds.
    quota_overage : float
        Part of a quota by which all gateways together may exceed it.
    quota_slack : int
        Requests in a window by which they may exceed it besides.
    tolerated_losses : int
        Storage VMs that may lose their disks at the same time. A kept turn has one copy more.
    max_chain_bytes : int
        Longest text of the kept turns that one turn may continue, in bytes. It is put before the
        body of the turn, and also limited by the memory for bodies.
    turn_scheduling : str
        Whether turn schedulers place the turns of services with engines: ``auto`` if the servers
        report how long work takes, ``always`` or ``off``.
    """

    ready_bind: str = "127.0.0.1:8081"
    directory_bind: str = "127.0.0.1:8082"
    metrics_bind: str = ""
    relay_bind: str = ""
    max_connections: int = pydantic.Field(default=0, ge=0)
    max_relayed_requests: int = pydantic.Field(default=64, ge=0)
    bind_timeout_s: float = pydantic.Field(default=10.0, ge=0)
    stop_grace_s: float = pydantic.Field(default=8.0, gt=1.0)
    directory_ttl_s: float = pydantic.Field(default=1.0, gt=0)
    return_grace_s: float = pydantic.Field(default=2.0, ge=0)
    first_start: bool = False
    memory_limit_mb: float = pydantic.Field(default=0, ge=0)
    max_response_bytes: int = pydantic.Field(default=16 * 1024 * 1024, ge=1024)
    revocation_ms: float = pydantic.Field(default=0.0, ge=0)
    quota_window_s: float = pydantic.Field(default=5.0, gt=0)
    quota_overage: float = pydantic.Field(default=0.0, ge=0)
    quota_slack: int = pydantic.Field(default=0, ge=0)
    tolerated_losses: int = pydantic.Field(default=1, ge=0)
    max_chain_bytes: int = pydantic.Field(default=64 * 1024 * 1024, ge=1024)
    turn_scheduling: typing.Literal["auto", "always", "off"] = "auto"


class StorageSection(validation.StrictModel):
    """Settings of a storage VM, which keeps the turns of programs on its disk.

    Attributes
    ----------
    bind : str
        ``host:port`` at which it takes messages of gateways and of other storage VMs.
    metrics_bind : str
        ``host:port`` of its metrics; empty for none.
    first_start : bool
        Whether the whole fleet starts for the first time. It is only logged: the VM's entry in the
        store tells whether an empty disk is a new or a lost one.
    disk_limit_mb : float
        Space on the disk that it may use, in MB; 0 if it is not limited. The log takes 95% of it.
    memory_limit_mb : float
        Memory that the process may use, in MB; 0 if it is not limited. It bounds how many large
        turns are received at a time.
    tolerated_losses : int
        Storage VMs that may lose their disks at the same time. A kept turn has one copy more.
    """

    bind: str = "127.0.0.1:7090"
    metrics_bind: str = ""
    first_start: bool = False
    disk_limit_mb: float = pydantic.Field(default=0, ge=0)
    memory_limit_mb: float = pydantic.Field(default=0, ge=0)
    tolerated_losses: int = pydantic.Field(default=1, ge=0)


class NodeSettings(validation.StrictModel):
    """All settings of ``dogwoodgap-node``."""

    node: NodeSection
    platform: PlatformSection
    tls: TlsSection = pydantic.Field(default_factory=TlsSection)
    statsd: StatsdSection = pydantic.Field(default_factory=StatsdSection)
    log: LogSection = pydantic.Field(default_factory=LogSection)
    membership: MembershipSection = pydantic.Field(default_factory=MembershipSection)
    admin: AdminSection = pydantic.Field(default_factory=AdminSection)
    connections: ConnectionsSection = pydantic.Field(default_factory=ConnectionsSection)


class GatewaySettings(NodeSettings):
    """All settings of ``dogwoodgap-gateway``."""

    gateway: GatewaySection = pydantic.Field(default_factory=GatewaySection)


class StorageSettings(NodeSettings):
    """All settings of the process on a storage VM."""

    storage: StorageSection = pydantic.Field(default_factory=StorageSection)


SettingsT = typing.TypeVar("SettingsT", bound=NodeSettings)


def load(
    path: str | os.PathLike[str],
    environment: collections.abc.Mapping[str, str] | None = None,
    overrides: collections.abc.Mapping[str, str] | None = None,
    kind: type[SettingsT] = NodeSettings,
) -> SettingsT:
    """Read and validate a settings file.

    Parameters
    ----------
    path : path
        The TOML file.
    environment : mapping, optional
        Variables named ``DOGWOODGAP_SECTION__FIELD`` override values of the file.
    overrides : mapping, optional
        ``section.field`` to value; overrides the file and the environment.
    kind : type of NodeSettings, optional
        Settings class of the program.

    Raises
    ------
    SettingsInvalidError
        If the file cannot be read or a value is invalid; the detail has the path and reason.
    """
    try:
        document = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise exceptions.SettingsInvalidError(
            f"{path}: cannot be read ({error.strerror}); give the path of a readable TOML file"
        ) from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise exceptions.SettingsInvalidError(
            f"{path}: not valid TOML ({error}); correct it"
        ) from error
    for variable, value in sorted((environment or {}).items()):
        if variable.startswith(ENVIRONMENT_PREFIX) and "__" in variable:
            section, field = variable.removeprefix(ENVIRONMENT_PREFIX).lower().split("__", 1)
            document.setdefault(section, {})[field] = value
    for setting, value in (overrides or {}).items():
        section, _, field = setting.partition(".")
        document.setdefault(section, {})[field] = value
    try:
        return kind.model_validate(document)
    except pydantic.ValidationError as error:
        raise exceptions.SettingsInvalidError(
            f"{path}: correct {validation.format_errors(error)}"
        ) from error
