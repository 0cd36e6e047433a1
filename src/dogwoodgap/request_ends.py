"""Ends of forwarded requests: error responses, the log line of each request, and its metrics."""

import dataclasses
import logging
import typing

from dogwoodgap import (
    clock,
    dialect,
    events,
    exceptions,
    exposition,
    ingress,
    routes,
    servers,
)
from dogwoodgap import progress as progress_module


def log_request(
    call: dialect.Call | None,
    progress: progress_module.Progress | None,
    outcome: str,
    active_routes: routes.ActiveRoutes,
    server_registry: servers.ServerRegistry,
    customer_fields: dict[str, typing.Any],
) -> None:
    """Log the end of a request and update its metrics."""
    if call is None:
        return
    now = clock.now()
    service = progress.service if progress else ""
    exposition.requests.labels(service, outcome.partition(":")[0]).inc()
    exposition.request_latency.labels(service).observe(now - call.arrived_at)
    if progress and progress.offered_at:
        exposition.dispatch_latency.labels(service).observe(progress.offered_at - call.arrived_at)
    events.emit(
        events.Event.REQUEST_FORWARDED,
        "request ended",
        level=logging.INFO,
        request=call.attempt_id,
        program=call.program_id,
        route=progress.route.name if progress else "",
        service=service,
        outcome=outcome,
        status=progress.status if progress else 0,
        took_ms=round((now - call.arrived_at) * 1000, 1),
        offered_ms=(
            round((progress.offered_at - call.arrived_at) * 1000, 1)
            if progress and progress.offered_at
            else None
        ),
        tried=progress.attempt_log if progress else [],
        events=progress.events if progress else 0,
        stream_versions=progress.stream_versions if progress else [],
        resumed_attempt=call.resumed_attempt,
        standing=progress.turn_priority.name if progress else None,
        **({"placed": progress.placements} if progress and progress.placements else {}),
        routes_version=active_routes.version,
        servers_revision=server_registry.revision,
        servers_age_ms=server_registry.age_ms,
        **explain_history(progress),
        **customer_fields,
    )


def explain_history(progress: progress_module.Progress | None) -> dict[str, typing.Any]:
    """Return the log field of a turn that is retained, and nothing for other requests."""
    if progress is None or progress.turn_recording is None:
        return {}
    return {"history": dataclasses.asdict(progress.turn_recording.explanation)}


def log_cut(
    call: dialect.Call | None,
    progress: progress_module.Progress | None,
    responder: ingress.Responder,
) -> None:
    """Log and count a request that got no complete response, since the process ends."""
    exposition.cut_requests.inc()
    events.emit(
        events.Event.REQUEST_CUT,
        "a request got no complete response, since this process ends",
        level=logging.WARNING,
        request=call.attempt_id if call else "",
        may_have_run=progress.may_have_run if progress else False,
        is_relayed=progress.is_relayed if progress else False,
        requests_before=responder.connection.handled,
        took_ms=round((clock.now() - call.arrived_at) * 1000, 1) if call else None,
    )


async def send_error(
    responder: ingress.Responder,
    error: exceptions.DogwoodgapError,
    call: dialect.Call | None,
    header_codec: dialect.HeaderCodec,
    *,
    is_relayed: bool = False,
) -> None:
    """Send an error response of this node; another gateway is told whether the request ran."""
    if responder.started:
        raise ingress.CallerDisconnectedError from error
    headers: dialect.Headers = [(b"content-type", b"application/problem+json")]
    if error.retry_after_s:
        headers.append((b"retry-after", f"{error.retry_after_s:.3f}".encode()))
    if call is not None and call.attempt_id:
        headers.append((header_codec.names.attempt_id, call.attempt_id.encode("latin-1")))
    if isinstance(error, exceptions.UnauthorizedError):
        headers.append((b"www-authenticate", header_codec.names.key_scheme))
    if is_relayed and error.not_run == "true":
        headers.append((header_codec.names.not_run, b"1"))
    body = exceptions.encode_problem(error)
    await responder.send(error.status, headers, body)
