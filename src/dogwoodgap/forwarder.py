"""Forwards requests from callers to backend servers and relays the responses.

A response reaches the caller complete, or the connection is closed so that the truncation can be
detected. A request is retried only if its route allows it, and a 503 is returned only if no server
has run the request.
"""

import collections.abc
import contextlib
import logging
import math
import typing

import anyio
import h11

from dogwoodgap import (
    budget_owners,
    candidates,
    clock,
    crashes,
    dialect,
    durations,
    engine_admission,
    events,
    exceptions,
    exposition,
    gate,
    ingress,
    pacing,
    peer_relay,
    permits,
    permitted_choice,
    reachability,
    relay,
    repeats,
    request_ends,
    routes,
    selection,
    servers,
    stream_owners,
    upstream,
)
from dogwoodgap import progress as progress_module
from dogwoodgap.balancing import scheduler_service, scheduling
from dogwoodgap.customers import authentication
from dogwoodgap.history import client as history_client
from dogwoodgap.quotas import coordinator as quota_coordinator

MAX_REFUSALS = 4
"""Servers that may refuse a request without running it before the caller gets a 503."""

DEADLINE_GRACE_S = 0.05
"""Extra time for the response of a server that stops working exactly at the deadline."""

STOPPING_RETRY_AFTER_S = 0.01
"""Retry delay of a caller that a stopping gateway refuses; other gateways accept its request."""


class Forwarder:
    """Forwards requests on one node: routing, admission, retries and relaying.

    Parameters
    ----------
    active_routes : routes.ActiveRoutes
        The active routes.
    server_registry : servers.ServerRegistry
        Backend servers.
    header_codec : dialect.HeaderCodec
        Decodes and encodes headers under the deployment's names.
    budget_coordinator : budget_owners.BudgetCoordinator
        Token budgets of programs.
    crash_tracker : crashes.CrashTracker
        Records requests that have crashed servers.
    permit_coordinator : permits.PermitCoordinator
        Keeps the request rate limits that servers report.
    stream_recorder : stream_owners.StreamRecorder
        Remembers at which software version streams began.
    data_centre : str
        Data centre of this node.
    max_response_bytes : int
        Largest body of a server's response that is not a stream.
    max_relayed_requests : int
        Requests of other gateways that are handled at a time.

    Attributes
    ----------
    on_departure : callable
        Called when a response has named a departure that was not known.
    stops_at : float
        Monotonic time at which unfinished requests are ended, because this node stops.
    refused_at_stop : int
        Requests that were refused because they would have outlasted this node.
    """

    def __init__(
        self,
        active_routes: routes.ActiveRoutes,
        server_registry: servers.ServerRegistry,
        header_codec: dialect.HeaderCodec,
        budget_coordinator: budget_owners.BudgetCoordinator,
        crash_tracker: crashes.CrashTracker,
        permit_coordinator: permits.PermitCoordinator,
        stream_recorder: stream_owners.StreamRecorder,
        data_centre: str,
        max_response_bytes: int,
        max_relayed_requests: int,
    ):
        self.active_routes = active_routes
        self.server_registry = server_registry
        self.header_codec = header_codec
        self.budget_coordinator = budget_coordinator
        self.crash_tracker = crash_tracker
        self.permit_coordinator = permit_coordinator
        self.stream_recorder = stream_recorder
        self.authenticator = authentication.Authenticator(header_codec)
        self.quota_coordinator = quota_coordinator.QuotaCoordinator()
        self.quota_coordinator.decider.active_routes = active_routes
        self.history_client = history_client.HistoryClient()
        self.max_response_bytes = max_response_bytes
        self.loads = selection.LoadTable(data_centre)
        self.loads.limit_per_s = permit_coordinator.limit
        self.loads.available_at = permit_coordinator.available_at
        self.pools: dict[str, upstream.ServerPool] = {}
        self.server_selector = candidates.ServerSelector(active_routes, server_registry, self.loads)
        self.server_choice = permitted_choice.PermittedChoice(
            self.server_selector, permit_coordinator
        )
        self.scheduler_service = scheduler_service.SchedulerService(
            active_routes, server_registry, data_centre
        )
        self.turn_placer = scheduling.TurnPlacer(self.scheduler_service)
        self.admission = engine_admission.EngineAdmission(
            active_routes, server_registry, self.loads, self.server_selector, self.turn_placer
        )
        self.limiters = self.admission.limiters
        self.retry_budgets: dict[str, repeats.RetryBudget] = {}
        self.retired: list[upstream.ServerPool] = []
        self.has_retired = anyio.Event()
        self.monitor = reachability.ReachabilityMonitor(
            server_registry, self.loads, lambda server: self.pool(server).open()
        )
        crash_tracker.evidence.is_isolated = self.monitor.is_isolated
        self.monitor.on_failure = crash_tracker.evidence.record_unreachable_server
        self.monitor.on_success = crash_tracker.evidence.record_reachable_server
        self.peer_relay = peer_relay.PeerRelay(
            header_codec, max_response_bytes, self.retire_pool, self.record_departure
        )
        self.on_departure: collections.abc.Callable[[], None] = lambda: None
        self.max_relayed_requests = max_relayed_requests
        self.relayed = 0
        self.active = 0
        self.durations = durations.DurationEstimator()
        self.stops_at = math.inf
        self.refused_at_stop = 0
        self.request_scopes: set[anyio.CancelScope] = set()
        server_registry.removal_hooks.append(self.remove_server)

    def remove_server(self, server: servers.BackendServer) -> None:
        """Discard the connections and load state of a removed server."""
        self.retire_pool(self.pools.pop(server.id, None))
        self.loads.remove(server)
        self.permit_coordinator.remove(server)

    def retire_pool(self, pool: upstream.ServerPool | None) -> None:
        """Queue a pool whose connections are to be closed."""
        if pool is not None:
            self.retired.append(pool)
            self.has_retired.set()

    async def close_retired(self) -> None:
        """Close the connections to removed servers until cancelled."""
        while True:
            await self.has_retired.wait()
            self.has_retired = anyio.Event()
            while self.retired:
                await self.retired.pop().retire()

    def record_departure(self, process: servers.ProcessKey) -> None:
        """Send no more requests to a process that named its departure in a response."""
        if self.server_registry.record_departure(process):
            exposition.departures.inc()
            events.emit(
                events.Event.SERVER_LEAVING,
                "a backend server is leaving, as a response says",
                server=process[0],
                started_ms=process[1],
                servers_revision=self.server_registry.revision,
            )
            self.on_departure()

    def pool(self, server: servers.BackendServer) -> upstream.ServerPool:
        """Return the connection pool of a server; a changed address gets a new pool."""
        pool = self.pools.get(server.id)
        if pool is None or pool.server.address != server.address:
            self.retire_pool(pool)
            pool = self.pools[server.id] = upstream.ServerPool(server)
        return pool

    async def handle(self, request: ingress.Request, responder: ingress.Responder) -> None:
        """Handle one request from a caller."""
        await self.serve(request, responder)

    async def handle_relayed(self, request: ingress.Request, responder: ingress.Responder) -> None:
        """Handle one request of another gateway that cannot reach the servers."""
        self.relayed += 1
        try:
            relayed = peer_relay.decode_relayed(request)
            await self.serve(relayed.request, responder, relayed)
        finally:
            self.relayed -= 1

    async def serve(
        self,
        request: ingress.Request,
        responder: ingress.Responder,
        relayed: peer_relay.RelayedRequest | None = None,
    ) -> None:
        """Forward a request and log how it ended.

        Parameters
        ----------
        relayed : peer_relay.RelayedRequest, optional
            What another gateway has added to the request, if one has sent it.
        """
        self.active += 1
        exposition.active_requests.inc()
        call: dialect.Call | None = None
        progress: progress_module.Progress | None = None
        outcome = "caller-gone"
        try:
            call = self.header_codec.decode_call(
                request.method, request.target, request.headers, request.arrived_at
            )
            call.body = request.body
            progress = self.match_route(call)
            progress.body_holding = request.holding
            if relayed is not None:
                self.accept_relayed(progress, relayed.turn_priority)
            if relayed is not None and relayed.is_authenticated:
                self.authenticator.accept_relayed(call, self.active_routes.table)
            else:
                self.authenticator.authenticate(call, progress.route, self.active_routes.table)
            await self.forward(call, progress, responder)
            outcome = "answered"
        except exceptions.DogwoodgapError as error:
            outcome = f"{error.code}: {error.detail}"
            is_relayed = relayed is not None
            await request_ends.send_error(
                responder, error, call, self.header_codec, is_relayed=is_relayed
            )
        except ingress.CallerDisconnectedError:
            raise
        except anyio.get_cancelled_exc_class():
            if not responder.caller_has_left:
                outcome = "cut: this process ends"
                request_ends.log_cut(call, progress, responder)
            raise
        except progress_module.StreamBrokenError as error:
            outcome = f"cut: {error}"
            raise ingress.CallerDisconnectedError from error
        except Exception as error:  # an error in one request must not close its connection
            outcome = f"fault: {error!r}"
            logging.getLogger("dogwoodgap").exception("unexpected error while forwarding a request")
            await request_ends.send_error(
                responder,
                exceptions.OutcomeUnknownError("internal gateway error; see the gateway log"),
                call,
                self.header_codec,
            )
        finally:
            self.active -= 1
            exposition.active_requests.dec()
            request_ends.log_request(
                call,
                progress,
                outcome,
                self.active_routes,
                self.server_registry,
                self.customer_fields(call, progress),
            )

    def customer_fields(
        self, call: dialect.Call | None, progress: progress_module.Progress | None
    ) -> dict[str, typing.Any]:
        """Return the log fields on the customer of a request; none without customers."""
        if call is None or progress is None:
            return {}
        return self.authenticator.log_fields(call, progress.route, self.active_routes.table)

    def end_requests_at(self, stops_at: float) -> None:
        """End all requests at a monotonic time, and refuse those that would take longer.

        A request that is still unfinished at that time gets an error response, unless its stream
        has begun.
        """
        self.stops_at = stops_at
        for scope in self.request_scopes:
            scope.deadline = min(scope.deadline, stops_at)

    def accept_relayed(
        self, progress: progress_module.Progress, turn_priority: pacing.TurnPriority
    ) -> None:
        """Mark a request as sent by another gateway.

        Raises
        ------
        OverloadedError
            If this gateway handles too many of them, or cannot reach the servers either.
        """
        progress.is_relayed = True
        progress.turn_priority = turn_priority
        if self.relayed > self.max_relayed_requests:
            raise exceptions.OverloadedError(
                "this gateway handles too many requests of others; use another one "
                "(or raise gateway.max_relayed_requests)"
            )
        if self.monitor.is_cut_off(progress.service):
            raise exceptions.OverloadedError(
                "this gateway cannot reach the servers either; use another one"
            )

    def match_route(self, call: dialect.Call) -> progress_module.Progress:
        """Match a request to a route and return its initial state.

        Raises
        ------
        NotReadyError
            If no routes have been loaded yet.
        NotFoundError
            If no route matches.
        """
        table = self.active_routes.table
        if table is None:
            raise exceptions.NotReadyError(
                "this node has not loaded the routes yet; use another node",
                retry_after_s=candidates.RETRY_AFTER_S,
            )
        route = table.match(call.host, call.path)
        if route is None:
            raise exceptions.NotFoundError(
                f"no route for host {call.host!r} matches path {call.path!r}; check the address"
            )
        key = call.program_id or call.attempt_id
        deadline_at = call.arrived_at + route.timeout_s
        if call.deadline_at is not None:
            deadline_at = min(deadline_at, call.deadline_at)
        return progress_module.Progress(route, route.choose_service(key), deadline_at)

    async def forward(
        self, call: dialect.Call, progress: progress_module.Progress, responder: ingress.Responder
    ) -> None:
        """Forward a request within its deadline and its program's token budget."""
        route = progress.route
        digest = self.crash_tracker.digest(call)
        self.refuse_futile(digest, progress, responder)
        has_budget = (
            route.kind is routes.RouteKind.STREAMING
            and call.token_budget is not None
            and not progress.is_relayed
        )
        is_reserved = False
        is_refused = False
        try:
            with self.request_scope(progress) as scope:
                if call.last_event_id is not None and route.kind is routes.RouteKind.STREAMING:
                    await self.require_version(call, progress)
                if route.retains_turns:
                    digest = await self.prepare_retained(call, progress, responder, digest)
                if has_budget:
                    progress.turn_priority = await self.budget_coordinator.reserve(
                        call, recorded=progress.turn_recording
                    )
                    is_reserved = True
                if not progress.is_relayed:
                    is_refused = True  # unless this succeeds; its caller may leave meanwhile
                    await self.acquire_quota(call, progress)
                    is_refused = False
                await self.run_admitted(call, progress, responder, digest)
                if progress.turn_recording is not None and not responder.finished:
                    # After the attempt, so that storing neither holds a slot of an engine nor
                    # counts as time or failure of its server.
                    await relay.store_turn(progress.turn_recording)
                    await responder.finish()
            if scope.cancelled_caught:
                if clock.now() < progress.deadline_at:
                    self.raise_failure(
                        progress, responder, "this gateway stops", STOPPING_RETRY_AFTER_S
                    )
                await self.raise_timeout(progress, responder)
        finally:
            if progress.quota_counted_at is not None and not progress.offered_at:
                self.quota_coordinator.withdraw(call.customer, progress.quota_counted_at)
            if is_refused and is_reserved:
                self.budget_coordinator.withdraw(call)
            elif is_reserved:
                engine = self.engine(progress.service)
                tokens_per_event = engine.tokens_per_event if engine else 1
                self.budget_coordinator.settle(call, progress.events * tokens_per_event)

    async def prepare_retained(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        responder: ingress.Responder,
        digest: int,
    ) -> int:
        """Put the turns that a turn continues before its body; return the digest of the whole.

        The chain belongs to the request that may crash servers.
        """
        if not progress.is_relayed:
            progress.turn_recording = await self.history_client.prepare(
                call, progress.route, progress.body_holding
            )
        if call.previous_turn:
            digest = self.crash_tracker.digest(call)
            self.refuse_futile(digest, progress, responder)
        return digest

    async def acquire_quota(self, call: dialect.Call, progress: progress_module.Progress) -> None:
        """Count a request toward its customer's quota."""
        progress.quota_counted_at = await self.quota_coordinator.acquire(
            call,
            self.active_routes.table,
            starts_program=progress.turn_priority is pacing.TurnPriority.NEW,
        )

    @contextlib.contextmanager
    def request_scope(
        self, progress: progress_module.Progress
    ) -> collections.abc.Iterator[anyio.CancelScope]:
        """Return a scope that ends at the deadline of a request, or when this node stops."""
        deadline_at = min(progress.deadline_at + DEADLINE_GRACE_S, self.stops_at)
        with anyio.CancelScope(deadline=deadline_at) as scope:
            self.request_scopes.add(scope)
            try:
                yield scope
            finally:
                self.request_scopes.discard(scope)

    def refuse_futile(
        self, digest: int, progress: progress_module.Progress, responder: ingress.Responder
    ) -> None:
        """Raise the error for a request that no attempt can complete.

        A stream that has begun is continued even if time is short, since it can't be refused.
        """
        self.refuse_crashing(digest, progress, responder)
        if responder.started:
            return
        bound_s = self.durations.bound_s(durations.kind(progress))
        if not durations.can_finish(clock.now(), progress.deadline_at, self.stops_at, bound_s):
            self.refused_at_stop += 1
            self.raise_failure(
                progress,
                responder,
                "this gateway stops before the request could finish; use another one",
                STOPPING_RETRY_AFTER_S,
            )

    def refuse_if_late(
        self,
        connection: upstream.Connection,
        digest: int,
        progress: progress_module.Progress,
        responder: ingress.Responder,
    ) -> None:
        """Raise the error for a request that became futile while its connection was opened."""
        if not connection.is_reused:
            self.refuse_futile(digest, progress, responder)

    def refuse_crashing(
        self, digest: int, progress: progress_module.Progress, responder: ingress.Responder
    ) -> None:
        """Raise the error for a request that has crashed too many servers, on any node."""
        if self.crash_tracker.is_refused(digest):
            self.raise_failure(
                progress,
                responder,
                "this request crashed the servers that ran it and is refused for some minutes",
                crashes.RETRY_AFTER_S,
            )

    async def require_version(self, call: dialect.Call, progress: progress_module.Progress) -> None:
        """Restrict a stream that a caller resumes to the software version that began it.

        Raises
        ------
        OverloadedError
            If that version is not known, or none of its servers accepts requests.
        """
        version = await self.stream_recorder.find_version(call, progress.route, progress.service)
        if version is not None:
            progress.required_version = version
            return
        events.emit(
            events.Event.STREAM_NOT_RESUMED,
            "a caller resumes a stream whose software version is not known",
            request=call.attempt_id,
            resumed_attempt=call.resumed_attempt,
            service=progress.service,
            servers_age_ms=self.server_registry.age_ms,
        )
        raise exceptions.OverloadedError(
            "the software version that began the stream is not known; send the request again "
            "from its start",
            retry_after_s=candidates.RETRY_AFTER_S,
        )

    async def run_admitted(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        responder: ingress.Responder,
        digest: int,
    ) -> None:
        """Forward a request; a model turn first waits for admission to the engines."""
        if self.engine(progress.service) is None:
            await self.run(call, progress, responder, digest)
            return
        async with self.admission.admitted(progress):
            await self.run(call, progress, responder, digest)

    def update_limiter(self, limiter: gate.ConcurrencyLimiter, service: str) -> None:
        """Update a limiter with the current capacity and load of its service."""
        self.admission.update_limiter(limiter, service)

    def engine(self, service: str) -> routes.Engine | None:
        """Return the engine settings of a service, or None if it runs no model engine."""
        return self.admission.engine(service)

    async def raise_timeout(
        self, progress: progress_module.Progress, responder: ingress.Responder
    ) -> None:
        """Raise the error for a request whose deadline has passed."""
        if responder.started:
            raise progress_module.StreamBrokenError("timeout")
        if progress.may_have_run:
            raise exceptions.DeadlinePassedError(
                "the deadline passed before a response arrived; retry only if the request may run "
                "twice",
                not_run="unknown",
            )
        raise exceptions.OverloadedError(
            "no server accepted the request before its deadline; retry later",
            retry_after_s=candidates.RETRY_AFTER_S,
        )

    async def run(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        responder: ingress.Responder,
        digest: int,
    ) -> None:
        """Relay a server's response; a 5xx response is relayed only when no retry is left."""
        try:
            await self.try_servers(call, progress, responder, digest)
        except (exceptions.OutcomeUnknownError, exceptions.OverloadedError):
            if progress.failure is None or responder.started:
                raise
            await relay.send_response(progress, responder, progress.failure)

    async def try_servers(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        responder: ingress.Responder,
        digest: int,
    ) -> None:
        """Try servers in turn until one responds or no further attempt is allowed."""
        self.retry_budget(progress.service).record_request()
        while True:
            if self.monitor.is_cut_off(progress.service):
                self.refuse_futile(digest, progress, responder)
                if await self.try_helper(call, progress, responder, digest):
                    return
                continue
            if progress.is_scheduled:
                server, result = await self.attempt_scheduled(call, progress, responder, digest)
            else:
                server, result = await self.attempt(call, progress, responder, digest)
            progress.attempt_log.append(f"{server.id}:{result.value}")
            exposition.exchanges.labels(progress.service, result.value).inc()
            if result is progress_module.AttemptResult.DONE:
                if progress.status < relay.SUCCESS_END:
                    self.crash_tracker.evidence.clear(digest)
                return
            if result in (
                progress_module.AttemptResult.NOT_RUN,
                progress_module.AttemptResult.UNREACHABLE,
            ):
                progress.excluded.add(server.id)
                progress.refusals += 1
                if progress.refusals >= MAX_REFUSALS:
                    self.raise_failure(progress, responder, "several servers refused the request")
                continue
            if not self.acquire_retry(progress):
                self.raise_failure(progress, responder, "the response was lost")
            progress.has_retry = False

    async def attempt(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        responder: ingress.Responder,
        digest: int,
        placed: engine_admission.Attempt | None = None,
    ) -> tuple[servers.BackendServer, progress_module.AttemptResult]:
        """Choose a server, or use the one of a place, and send a request to it."""
        preferred = placed.server if placed is not None else None
        server = await self.permitted_server(call, progress, responder, preferred)
        self.refuse_futile(digest, progress, responder)
        if placed is not None:
            placed.start(server)
        return server, await self.try_server(call, progress, responder, server, digest)

    async def attempt_scheduled(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        responder: ingress.Responder,
        digest: int,
    ) -> tuple[servers.BackendServer, progress_module.AttemptResult]:
        """Get a place from a turn scheduler, and send a request there."""
        is_refusable = not (responder.started or progress.may_have_run)
        async with self.admission.attempt(call, progress, is_refusable=is_refusable) as placed:
            server, placed.result = await self.attempt(call, progress, responder, digest, placed)
            return server, placed.result

    def retry_budget(self, service: str) -> repeats.RetryBudget:
        """Return the retry budget of a service."""
        return self.retry_budgets.setdefault(service, repeats.RetryBudget())

    def acquire_retry(self, progress: progress_module.Progress) -> bool:
        """Return whether a request that may have run may be retried, now or as acquired before."""
        if not progress.has_retry:
            remaining_s = progress.deadline_at - clock.now()
            budget = self.retry_budget(progress.service)
            progress.has_retry = repeats.acquire_retry(progress, budget, remaining_s)
        return progress.has_retry

    def patience(
        self, progress: progress_module.Progress, connection: upstream.Connection
    ) -> upstream.Patience:
        """Return how long an attempt waits for a response; it is given up only for a retry."""
        sent_at = clock.now()
        remaining_s = progress.deadline_at - sent_at

        def timeout_s() -> float:
            return repeats.response_timeout_s(
                progress,
                self.durations.typical_s(durations.kind(progress)),
                remaining_s,
                is_reused=connection.is_reused,
            )

        def may_give_up() -> bool:
            # Other requests may have shown meanwhile that the service is slow.
            waited_s = clock.now() - sent_at
            return (
                waited_s >= timeout_s()
                and self.has_alternative(progress, connection)
                and self.acquire_retry(progress)
            )

        return upstream.Patience(timeout_s(), may_give_up)

    def has_alternative(
        self, progress: progress_module.Progress, connection: upstream.Connection
    ) -> bool:
        """Return whether a request may go to another server, or on a connection that is new."""
        if connection.is_reused:
            return True
        eligible = self.server_selector.eligible_servers(progress)
        return any(server.id != connection.server.id for server in eligible)

    async def try_helper(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        responder: ingress.Responder,
        digest: int,
    ) -> bool:
        """Send a request to another gateway; return whether its response was relayed.

        A lost response is not retried, since that gateway has used the retries of the request.
        """
        member = self.peer_relay.choose()
        if member is None or responder.started or not peer_relay.may_ask_another(progress):
            self.raise_failure(progress, responder, "no server can be reached from this gateway")

        def check() -> None:
            self.refuse_futile(digest, progress, responder)

        with self.measure(call, progress, responder) as measurement:
            try:
                result = await self.peer_relay.send(call, progress, responder, member, check)
                measurement.is_whole &= is_served(progress, result)
            finally:
                measurement.is_run = progress.may_have_run
        progress.attempt_log.append(f"{member.node}:{result.value}")
        exposition.relayed.labels(progress.service, result.value).inc()
        if result is progress_module.AttemptResult.DONE:
            return True
        if result in (
            progress_module.AttemptResult.NOT_RUN,
            progress_module.AttemptResult.UNREACHABLE,
        ):
            progress.helper_refusals += 1
            return False
        self.raise_failure(progress, responder, "the response was lost")
        return False

    async def permitted_server(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        responder: ingress.Responder,
        preferred: servers.BackendServer | None,
    ) -> servers.BackendServer:
        """Choose the server for the next attempt, within the servers' request rate limits."""
        try:
            return await self.server_choice.choose(
                call, progress, self.engine(progress.service), preferred
            )
        except permitted_choice.RateLimitedError as error:
            self.raise_failure(
                progress,
                responder,
                "the servers reached their request rate limits",
                error.retry_after_s,
            )
            raise

    def raise_failure(
        self,
        progress: progress_module.Progress,
        responder: ingress.Responder,
        reason: str,
        retry_after_s: float = candidates.RETRY_AFTER_S,
    ) -> None:
        """Raise the error for a request that must not be retried."""
        if responder.started:
            raise progress_module.StreamBrokenError(reason)
        if progress.may_have_run:
            raise exceptions.OutcomeUnknownError(
                f"{reason}; the request may have run: retry only if it may run twice"
            )
        raise exceptions.OverloadedError(f"{reason}; retry later", retry_after_s=retry_after_s)

    async def try_server(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        responder: ingress.Responder,
        server: servers.BackendServer,
        digest: int,
    ) -> progress_module.AttemptResult:
        """Send a request to one server, relay its response and update the server's state."""
        remaining_s = progress.deadline_at - clock.now()
        if remaining_s < permitted_choice.MIN_REMAINING_S:
            await self.raise_timeout(progress, responder)
        max_idle_s = math.inf if progress.route.retryable else upstream.MAX_IDLE_NON_RETRYABLE_S
        state = self.loads.state(server)
        pool = self.pool(server)
        state.in_flight += 1
        started_at = clock.now()
        connection: upstream.Connection | None = None
        is_run_lost = False
        try:
            connection = await self.acquire_connection(pool, max_idle_s)
            if not self.server_registry.is_usable(server):
                return progress_module.AttemptResult.NOT_RUN
            self.refuse_if_late(connection, digest, progress, responder)
            is_run_lost = True
            with self.measure_at_server(call, progress, responder, state) as measurement:
                result = await self.send_and_relay(call, progress, responder, connection)
                measurement.is_run = result is not progress_module.AttemptResult.NOT_RUN
                measurement.is_whole &= is_served(progress, result)
            is_run_lost = False
            if result is progress_module.AttemptResult.DONE:
                state.record_response(clock.now() - started_at)
                self.loads.record_session(call.session_id, server)
                state.record_outcome(clock.now(), failed=False)
                self.loads.record_failures(progress.suspect_servers, clock.now())
            if result is progress_module.AttemptResult.FAILED:
                progress.suspect_servers.append(server.id)
            if result in (
                progress_module.AttemptResult.DONE,
                progress_module.AttemptResult.FAILED,
            ):
                reusable, connection = connection, None
                await pool.release(
                    reusable,
                    self.server_selector.connection_limit(server.service) - state.in_flight,
                )
            return result
        except upstream.ServerUnreachableError:
            return progress_module.AttemptResult.UNREACHABLE
        except upstream.ResponseTimeoutError as error:
            progress.attempt_log.append(error.detail)
            progress.suspect_servers.append(server.id)
            self.monitor.request_probe(server)
            await pool.close()
            return progress_module.AttemptResult.UNKNOWN
        except upstream.InvalidResponseError as error:
            progress.attempt_log.append(error.detail)
            if self.engine(progress.service) is None:
                # Engines reset connections while their queue is long, which is overload rather
                # than a failure; their reported load already accounts for it.
                state.record_outcome(clock.now(), failed=True)
            await self.check_for_crash(pool, digest)
            return progress_module.AttemptResult.UNKNOWN
        finally:
            state.in_flight -= 1
            if is_run_lost:
                self.crash_tracker.evidence.record_lost_run(digest, server)
            if connection is not None:
                await connection.close()

    def record_silence(
        self, progress: progress_module.Progress, state: selection.ServerState, waited_s: float
    ) -> None:
        """Record a failure of a plain server that an attempt has left without a response."""
        typical_s = self.durations.typical_s(durations.kind(progress))
        if self.engine(progress.service) is None and repeats.is_silent(waited_s, typical_s):
            state.record_outcome(clock.now(), failed=True)

    @contextlib.contextmanager
    def measure(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        responder: ingress.Responder,
    ) -> collections.abc.Iterator[durations.Measurement]:
        """Measure an attempt for its kind of request."""
        with self.durations.measure(durations.kind(progress)) as measurement:
            measurement.is_whole = not (progress.last_event_id or call.last_event_id)
            try:
                yield measurement
            except anyio.get_cancelled_exc_class():
                measurement.is_whole &= not responder.caller_has_left
                raise
            except Exception as error:
                measurement.is_whole &= isinstance(error, upstream.ResponseTimeoutError)
                raise

    @contextlib.contextmanager
    def measure_at_server(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        responder: ingress.Responder,
        state: selection.ServerState,
    ) -> collections.abc.Iterator[durations.Measurement]:
        """Measure an attempt for its kind of request and for its server."""
        with self.measure(call, progress, responder) as measurement:
            state.unanswered[measurement] = measurement.started_at
            try:
                yield measurement
            except anyio.get_cancelled_exc_class():
                self.record_silence(progress, state, clock.now() - measurement.started_at)
                raise
            finally:
                del state.unanswered[measurement]

    async def acquire_connection(
        self, pool: upstream.ServerPool, max_idle_s: float
    ) -> upstream.Connection:
        """Return a connection to a server, and record whether a new one could be opened."""
        try:
            connection = await pool.acquire(max_idle_s)
        except upstream.ServerUnreachableError:
            self.monitor.record_failure(pool.server)
            raise
        if not connection.is_reused:
            self.monitor.record_success(pool.server)
        return connection

    async def check_for_crash(self, pool: upstream.ServerPool, digest: int) -> None:
        """Open a new connection to find out whether a server that broke a response crashed."""
        try:
            connection = await pool.open()
        except upstream.ServerUnreachableError:
            self.monitor.record_failure(pool.server)
            self.crash_tracker.evidence.record_unreachable(digest, pool.server)
            return
        await connection.close()

    async def send_and_relay(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        responder: ingress.Responder,
        connection: upstream.Connection,
    ) -> progress_module.AttemptResult:
        """Send a request over a connection and relay the response."""
        remaining_s = progress.deadline_at - clock.now()
        last_event_id = progress.last_event_id or call.last_event_id
        request = h11.Request(
            method=call.method,
            target=call.target,
            headers=self.header_codec.encode_call(
                call, connection.server.id, remaining_s, last_event_id
            ),
        )
        progress.offered_at = progress.offered_at or clock.now()
        progress.runs[connection.server.id] += 1
        patience = self.patience(progress, connection)
        sent_at = clock.now()

        def on_head(head: upstream.ResponseHead) -> None:
            self.permit_coordinator.observe(connection.server, head.metadata, sent_at)
            self.turn_placer.observe(connection.server, head.metadata)
            progress.load, progress.reported_at = head.metadata.load, clock.now()
            if head.status == relay.MISDIRECTED_REQUEST:
                # Another process has the address of this one.
                self.crash_tracker.evidence.record_unreachable_server(connection.server)
            else:
                self.crash_tracker.evidence.record_contact(connection.server, sent_at)
                if head.metadata.leaving:
                    self.record_departure(connection.server.process)
                    if progress.is_relayed:
                        peer_relay.add_departure(head, connection.server.process)
            is_stream = progress.route.kind is routes.RouteKind.STREAMING
            if is_stream and head.metadata.signed and progress.required_version is None:
                self.stream_recorder.record(call, progress.route, connection.server)

        if len(call.body) <= upstream.MAX_INLINE_BODY_BYTES:
            await connection.send(request, call.body)
            return await relay.relay_response(
                call,
                progress,
                responder,
                connection,
                request,
                self.header_codec,
                patience,
                self.max_response_bytes,
                on_head,
            )
        # Raised outside the task group, which would wrap it in an exception group.
        failure: upstream.InvalidResponseError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(relay.send_ignoring_errors, connection, request, call.body)
            await anyio.lowlevel.checkpoint()
            try:
                result = await relay.relay_response(
                    call,
                    progress,
                    responder,
                    connection,
                    request,
                    self.header_codec,
                    patience,
                    self.max_response_bytes,
                    on_head,
                )
            except upstream.InvalidResponseError as error:
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return result


def is_served(progress: progress_module.Progress, result: progress_module.AttemptResult) -> bool:
    """Return whether a server has done the work of a request; errors may take less time."""
    return result is progress_module.AttemptResult.DONE and progress.status < relay.SUCCESS_END
