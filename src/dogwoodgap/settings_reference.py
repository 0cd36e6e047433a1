"""Descriptions of all settings and configuration fields, for ``docs/settings.md``.

A ``description`` on the field itself takes precedence over the entry here.
"""

DESCRIPTIONS = {
    "NodeSection.name": "Name of the node, unique in the fleet.",
    "NodeSection.data_centre": "Data centre in which the VM runs.",
    "NodeSection.region": "Region of that data centre.",
    "NodeSection.http_bind": "Address on which the HTTP API listens.",
    "NodeSection.http_address": "HTTP address that callers connect to; empty: same as `http_bind`.",
    "NodeSection.peer_bind": "Address on which the node listens for other nodes.",
    "NodeSection.peer_address": "Address that other nodes connect to; empty: same as `peer_bind`.",
    "NodeSection.seeds": "Peer addresses of some other nodes, contacted first to join the fleet.",
    "NodeSection.data_folder": "Folder on a small disk for caches; empty: none.",
    "NodeSection.export_bytes": "Space in the data folder for exported KV cache, in bytes.",
    "NodeSection.max_body_bytes": "Maximum size of the body of a caller's request, in bytes.",
    "PlatformSection.url": "URL of the platform's object API.",
    "PlatformSection.writes_per_s": "Writes per second to the platform, shared by all nodes.",
    "PlatformSection.reads_per_s": "Reads per second from the platform, shared by all nodes.",
    "PlatformSection.timeout_s": "Timeout of a request to the platform, in seconds.",
    "PlatformSection.watches_per_data_centre": "Nodes per data centre that watch the platform.",
    "TlsSection.certificate": "File with the certificate chain; empty: no TLS.",
    "TlsSection.key": "File with the private key of the certificate.",
    "TlsSection.client_authority": "File with the certificate authority for client certificates.",
    "StatsdSection.host": "Host of the statsd server; empty: no metrics are sent.",
    "StatsdSection.port": "UDP port of the statsd server.",
    "StatsdSection.prefix": "Prefix of all metric names.",
    "LogSection.level": "Lowest level that is logged.",
    "MembershipSection.ping_interval_s": "Time between two pings, in seconds.",
    "MembershipSection.suspect_after_s": "Time in seconds without a reply until a node is suspect.",
    "MembershipSection.dead_after_s": "Time in seconds without a reply until a node is dead.",
    "MembershipSection.discovery_ttl_s": "How long callers cache node addresses, in seconds.",
    "ConnectionsSection.read_ahead_bytes": "Bytes of further requests that are read from a "
    "connection while one is being handled.",
    "ConnectionsSection.send_buffer_bytes": "Send buffer of each accepted connection in the "
    "kernel, in bytes, of which the kernel uses up to twice as much; 0: the kernel's default.",
    "ConnectionsSection.unread_timeout_s": "Time in seconds after which a connection is closed "
    "whose caller takes nothing of what waits for it in the process.",
    "ConnectionsSection.held_limit_mb": "Memory in MB for what all connections hold of requests "
    "sent ahead and of responses not taken; beyond it, those that hold most are closed. 0: an "
    "eighth of `gateway.memory_limit_mb`, or no limit without one.",
    "ConnectionsSection.max_service_connections": "Connections open at a time on each of the "
    "readiness check, the directory and the metrics. 0: a thirty-second of the process's limit of "
    "open files, at least 8.",
    "ConnectionsSection.max_relay_connections": "Connections open at a time at "
    "`gateway.relay_bind`. 0: an eighth of that limit.",
    "ConnectionsSection.max_peer_connections": "Connections open at a time at `node.peer_bind`. "
    "0: a quarter of that limit.",
    "ConnectionsSection.max_node_connections": "Connections of callers open at a time on "
    "`dogwoodgap-node`. 0: half of that limit.",
    "AdminSection.bootstrap_key_digest": "SHA-256 of the bootstrap token, which has administrator "
    "rights while no valid, unlimited administrator key is configured; empty: none.",
    "GatewaySection.ready_bind": "Address on which the readiness check listens.",
    "GatewaySection.directory_bind": "Address on which the directory of gateway addresses listens.",
    "GatewaySection.metrics_bind": "Address on which the gateway exposes its metrics; empty: none.",
    "GatewaySection.max_connections": (
        "Connections of callers open at a time; more wait, and idle ones are closed for them. "
        "0: half of the process's limit of open files."
    ),
    "GatewaySection.memory_limit_mb": (
        "Memory that the process may use, in MB; 0: not limited. A sixteenth is for bodies of "
        "requests and responses; beyond that, the largest one that is being received is given up."
    ),
    "GatewaySection.bind_timeout_s": (
        "Longest time to wait at the start for an address that is still in use, in seconds."
    ),
    "GatewaySection.stop_grace_s": "Time in seconds from a stop request to the process exit.",
    "GatewaySection.directory_ttl_s": "How long callers cache gateway addresses, in seconds.",
    "GatewaySection.return_grace_s": "Time after an outage of the store in which backend servers "
    "whose entries expired may register again, in seconds.",
    "GatewaySection.relay_bind": "Address at which other gateways send requests of services that "
    "they cannot reach; the port has to be the same on all gateways; empty: none.",
    "GatewaySection.max_relayed_requests": "Requests of other gateways handled at a time; more "
    "are refused as not run.",
    "GatewaySection.max_response_bytes": "Largest body of a backend server's response, in "
    "bytes; it is held in memory until it is complete. Streams are passed on by event.",
    "GatewaySection.revocation_ms": "Time in ms after which no gateway serves a key that was taken "
    "away, even if it cannot reach the platform; 0: until the new configuration is known.",
    "GatewaySection.quota_window_s": "Sliding window of the customers' quotas, in seconds.",
    "GatewaySection.quota_overage": "Part of a quota by which all gateways may exceed it together.",
    "GatewaySection.quota_slack": "Requests in a window by which they may exceed it besides.",
    "GatewaySection.turn_scheduling": "Whether turn schedulers place the turns of services with "
    "engines: `auto` if the servers report how long work takes, `always` or `off`.",
    "GatewaySection.tolerated_losses": "Storage VMs that may lose their disks at the same time; a "
    "kept turn has one copy more.",
    "GatewaySection.max_chain_bytes": "Longest text of the kept turns that one turn may continue, "
    "in bytes; it is also limited by the memory for bodies.",
    "StorageSection.bind": "Address on which the storage VM listens for other nodes.",
    "StorageSection.metrics_bind": "Address on which it exposes its metrics; empty: none.",
    "StorageSection.first_start": "Whether the whole fleet starts for the first time; only logged, "
    "since the VM's entry in the store tells whether an empty disk is a new or a lost one.",
    "StorageSection.disk_limit_mb": "Space on the disk in MB, of which the log takes 95%; 0: not "
    "limited.",
    "StorageSection.memory_limit_mb": "Memory that the process may use, in MB; bounds how many "
    "large turns are received at a time; 0: not limited.",
    "StorageSection.tolerated_losses": "Storage VMs that may lose their disks at the same time; a "
    "kept turn has one copy more.",
    "GatewaySection.first_start": "Whether the whole fleet starts for the first time, so that no "
    "program ran before.",
    "Profile.latency_weight": "Weight of latency in ordering and in decisions on tool pauses.",
    "Profile.cache_weight": "Weight of wasted cache in decisions on tool pauses.",
    "Profile.share_weight": "Relative share of capacity for programs with this profile.",
    "Profile.urgency": "Urgency from 0 to 9; higher runs first.",
    "Profile.budget_tokens": "Tokens that a program and its child programs may use together.",
    "Profile.max_turns": "Turns after which a program ends as limited.",
    "Profile.max_wall_seconds": "Age at which a program ends as limited, in seconds.",
    "Profile.idle_seconds": "Idle time after which a program ends as limited, in seconds.",
    "Profile.max_repeats": "Identical calls after which a program ends as limited.",
    "Profile.max_children": "Maximum number of child programs of a program.",
    "Profile.call_deadline_seconds": "Default deadline of a call, in seconds.",
    "ProfileHours.profile": "Profile used in this window.",
    "ProfileHours.start_hour": "Local hour at which the window begins, for example 17.5.",
    "ProfileHours.end_hour": "Local hour at which it ends; below the start: on the next day.",
    "ProfileHours.days": "Days on which the window begins; 0 is Monday.",
    "Runner.id": "Name of the runner, unique in its service.",
    "Runner.address": "URL of the runner.",
    "Runner.data_centre": "Data centre in which the runner runs.",
    "Runner.checks_fencing": "Whether the runner refuses requests with an old fencing number.",
    "Runner.slots": "Maximum number of concurrent requests.",
    "Runner.cache_tokens": "Size of the runner's prefix cache, in tokens.",
    "Service.kind": "`model` for services with model calls, `plain` for services with actions.",
    "Service.runners": "The service's runners.",
    "Service.profile": "Profile outside the windows of `hours`.",
    "Service.hours": "Windows of local hours with other profiles; the first match applies.",
    "Service.time_zone": "Time zone of `hours`, for example `Europe/Prague`.",
    "Service.answers_outcomes": "Whether the service answers `GET /outcomes/{key}`.",
    "Service.prefill_tokens_per_s": "Prompt tokens that a runner processes per second.",
    "Service.decode_tokens_per_s": "Tokens that a runner generates per second and request.",
    "Service.ordering": "Plug-in that orders programs.",
    "Service.placement": "Plug-in that chooses runners.",
    "Service.retention": "Plug-in that decides whether to keep a program's cache in tool pauses.",
    "Service.admission": "Plug-in that admits or refuses calls.",
    "Service.model": "Model that the runners should serve.",
    "Service.version": "Version of that model.",
    "Service.adapters": "Adapters that the runners should load.",
    "Service.role": "Role that the runners should have.",
    "Customer.weight": "Relative share of capacity for this customer.",
    "Customer.rate_per_s": "Requests per second in the whole fleet; 0: no limit.",
    "Customer.concurrency": "Concurrent requests in the whole fleet; 0: no limit.",
    "Key.digest": "SHA-256 of the bearer token; the token itself is not stored.",
    "Key.customer": "Customer of a caller's key.",
    "Key.role": "What the key may do; see [security.md](security.md).",
    "Key.services": "Services to which the key is limited; empty: all.",
    "Key.customers": "Customers to which an operator's key is limited; empty: all.",
    "Key.not_after": "Unix time at which the key expires, in seconds; 0: never.",
    "FleetConfiguration.generation": "Version number of the configuration, set by the system.",
    "FleetConfiguration.profiles": "Profiles by name.",
    "FleetConfiguration.services": "Services by name.",
    "FleetConfiguration.customers": "Customers by name.",
    "FleetConfiguration.keys": "API keys by name.",
}
