"""Prometheus metrics of a gateway, served on its metrics address."""

import math
import typing

import prometheus_client

if typing.TYPE_CHECKING:  # ingress counts connections here
    from dogwoodgap import ingress

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 4.0)
"""Dense around the latency objectives (0.12 to 0.55 s), up to the longest deadline (4 s)."""

HISTORY_BUCKETS_S = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0)
"""Dense around the aim for the end of a response (12 ms), up to the timeout (2 s)."""

registry = prometheus_client.CollectorRegistry()

requests = prometheus_client.Counter(
    "dogwoodgap_requests",
    "Forwarded requests by service and by how they ended.",
    ["service", "outcome"],
    registry=registry,
)
request_latency = prometheus_client.Histogram(
    "dogwoodgap_request_seconds",
    "Time from a request's arrival to the end of its answer.",
    ["service"],
    buckets=LATENCY_BUCKETS_S,
    registry=registry,
)
dispatch_latency = prometheus_client.Histogram(
    "dogwoodgap_offered_seconds",
    "Time from a request's arrival until a backend server was sent it.",
    ["service"],
    buckets=LATENCY_BUCKETS_S,
    registry=registry,
)
exchanges = prometheus_client.Counter(
    "dogwoodgap_exchanges",
    "Requests sent to backend servers by service and result.",
    ["service", "result"],
    registry=registry,
)
relayed = prometheus_client.Counter(
    "dogwoodgap_relayed",
    "Requests sent to other gateways because no server could be reached, by service and result.",
    ["service", "result"],
    registry=registry,
)
limited_servers = prometheus_client.Gauge(
    "dogwoodgap_limited_servers",
    "Backend servers that report a limit on their requests per second.",
    registry=registry,
)
permits = prometheus_client.Counter(
    "dogwoodgap_permits",
    "Permits for requests to limited backend servers by result.",
    ["result"],
    registry=registry,
)
quota_requests = prometheus_client.Counter(
    "dogwoodgap_quota_requests",
    "Requests of customers with a quota by result; the 20 largest customers by name.",
    ["customer", "result"],
    registry=registry,
)
active_requests = prometheus_client.Gauge(
    "dogwoodgap_active_requests", "Requests that are being answered.", registry=registry
)
departures = prometheus_client.Counter(
    "dogwoodgap_departures",
    "Backend servers that named their departure to this gateway in a response.",
    registry=registry,
)
background_failures = prometheus_client.Counter(
    "dogwoodgap_background_failures",
    "Background tasks that ended with an unexpected error.",
    registry=registry,
)
accept_failures = prometheus_client.Counter(
    "dogwoodgap_accept_failures",
    "Connections that could not be accepted, for example without a free file descriptor.",
    registry=registry,
)
closed_callers = prometheus_client.Counter(
    "dogwoodgap_closed_callers",
    "Connections closed by this process because of what their callers did not take, by reason.",
    ["reason"],
    registry=registry,
)
cut_requests = prometheus_client.Counter(
    "dogwoodgap_cut_requests",
    "Requests that got no complete response, since the process ended.",
    registry=registry,
)
evicted_bodies = prometheus_client.Counter(
    "dogwoodgap_evicted_bodies",
    "Bodies that were given up, since all bodies together exceeded their memory.",
    registry=registry,
)
ignored_objects = prometheus_client.Counter(
    "dogwoodgap_ignored_objects",
    "Malformed objects in lists of the platform's store, each time that a list is read.",
    registry=registry,
)
placements = prometheus_client.Counter(
    "dogwoodgap_placements",
    "Turns that this turn scheduler placed at engines, by service and by why there.",
    ["service", "reason"],
    registry=registry,
)
placement_refusals = prometheus_client.Counter(
    "dogwoodgap_placement_refusals",
    "Turns that this turn scheduler refused, by service and reason.",
    ["service", "reason"],
    registry=registry,
)
placement_fallbacks = prometheus_client.Counter(
    "dogwoodgap_placement_fallbacks",
    "Turns for which this gateway chose an engine without a turn scheduler, by reason.",
    ["service", "reason"],
    registry=registry,
)
waiting_turns = prometheus_client.Gauge(
    "dogwoodgap_waiting_turns",
    "Turns that wait at this turn scheduler, by service and standing.",
    ["service", "standing"],
    registry=registry,
)
expected_turn = prometheus_client.Histogram(
    "dogwoodgap_expected_turn_seconds",
    "Duration of a turn as this turn scheduler expected it.",
    ["service"],
    buckets=LATENCY_BUCKETS_S,
    registry=registry,
)
observed_turn = prometheus_client.Histogram(
    "dogwoodgap_observed_turn_seconds",
    "Duration of a turn as gateways observed it.",
    ["service"],
    buckets=LATENCY_BUCKETS_S,
    registry=registry,
)
report_age = prometheus_client.Gauge(
    "dogwoodgap_load_report_age_seconds",
    "Median age of the engines' load reports at this turn scheduler.",
    ["service"],
    registry=registry,
)
store_calls = prometheus_client.Counter(
    "dogwoodgap_store_calls",
    "Calls to the platform's store by method and outcome.",
    ["method", "outcome"],
    registry=registry,
)
history_turns = prometheus_client.Counter(
    "dogwoodgap_history_turns",
    "Whole turns of routes that retain turns, by how they were stored: with all copies (stored), "
    "with fewer since some storage VMs did not respond, or not at all (failed).",
    ["result"],
    registry=registry,
)
history_copies = prometheus_client.Counter(
    "dogwoodgap_history_copies",
    "Copies of turns that storage VMs have confirmed, with those of extended turns.",
    registry=registry,
)
history_refusals = prometheus_client.Counter(
    "dogwoodgap_history_refusals",
    "Turns of routes that retain turns that were refused before they ran, by error code.",
    ["code"],
    registry=registry,
)
history_cache = prometheus_client.Counter(
    "dogwoodgap_history_cache",
    "Turns of chains that were looked up in the cache of this gateway, by result.",
    ["result"],
    registry=registry,
)
history_store_time = prometheus_client.Histogram(
    "dogwoodgap_history_store_seconds",
    "Time by which the end of a response was delayed to store its turn.",
    buckets=HISTORY_BUCKETS_S,
    registry=registry,
)
history_fetch_time = prometheus_client.Histogram(
    "dogwoodgap_history_fetch_seconds",
    "Time to read the turns that a turn continues.",
    buckets=HISTORY_BUCKETS_S,
    registry=registry,
)
servers_age = prometheus_client.Gauge(
    "dogwoodgap_servers_age_seconds",
    "Age of the list of backend servers.",
    registry=registry,
)
key_refusals = prometheus_client.Counter(
    "dogwoodgap_key_refusals",
    "Requests that were refused because of their key, by reason.",
    ["reason"],
    registry=registry,
)
routes_checks = prometheus_client.Counter(
    "dogwoodgap_routes_checks",
    "Questions whether the routes are the newest, by whom was asked and result.",
    ["source", "result"],
    registry=registry,
)
routes_proof_age = prometheus_client.Gauge(
    "dogwoodgap_routes_proof_age_seconds",
    "Time since the routes were the newest ones for certain; NaN without customers.",
    registry=registry,
)
routes_proof_age.set(math.nan)
routes_version = prometheus_client.Gauge(
    "dogwoodgap_routes_version", "Version of the routes in force.", registry=registry
)

storage_registry = prometheus_client.CollectorRegistry()
"""Metrics of storage VMs, in addition to those that all processes have."""

stored_turns = prometheus_client.Counter(
    "dogwoodgap_stored_turns",
    "Turns stored durably, and requests to store turns that were refused, by result.",
    ["result"],
    registry=storage_registry,
)
fetched_turns = prometheus_client.Counter(
    "dogwoodgap_fetched_turns",
    "Turns that gateways asked for by result.",
    ["result"],
    registry=storage_registry,
)
kept_turns = prometheus_client.Gauge(
    "dogwoodgap_kept_turns", "Turns on the disk.", registry=storage_registry
)
kept_bytes = prometheus_client.Gauge(
    "dogwoodgap_kept_bytes", "Bytes of the log of turns on the disk.", registry=storage_registry
)
short_turns = prometheus_client.Gauge(
    "dogwoodgap_short_turns",
    "Turns that are not known to have all of their copies and are being repaired.",
    registry=storage_registry,
)
repaired_turns = prometheus_client.Gauge(
    "dogwoodgap_repaired_turns",
    "Turns sent to other storage VMs that lacked them, since the start.",
    registry=storage_registry,
)
storage_complete = prometheus_client.Gauge(
    "dogwoodgap_storage_complete",
    "Whether the VM has every turn that was ever stored on it and has not expired.",
    registry=storage_registry,
)


async def serve(request: "ingress.Request", responder: "ingress.Responder") -> None:
    """Answer a scrape request with all metrics of a gateway."""
    await send(responder, registry)


async def serve_storage(request: "ingress.Request", responder: "ingress.Responder") -> None:
    """Answer a scrape request with all metrics of a storage VM."""
    await send(responder, registry, storage_registry)


async def send(
    responder: "ingress.Responder", *registries: prometheus_client.CollectorRegistry
) -> None:
    """Send metrics in the Prometheus text format."""
    content_type = prometheus_client.CONTENT_TYPE_LATEST.encode()
    body = b"".join(prometheus_client.generate_latest(shown) for shown in registries)
    await responder.send(200, [(b"content-type", content_type)], body)
