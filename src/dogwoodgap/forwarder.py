"""Forwards one request of a caller to backend servers and its answer back.

An answer reaches the caller only whole, or is visibly cut. A request runs again only where its
route allows that; a refusal with 503 is given only when no server has run it.
"""

import logging
import math

import anyio
import h11

from dogwoodgap import (
    budget_owners,
    candidates,
    clock,
    crashes,
    dialect,
    events,
    exceptions,
    exposition,
    gate,
    ingress,
    relay,
    repeats,
    routes,
    selection,
    servers,
    upstream,
)
from dogwoodgap import progress as progress_module

MAX_REFUSALS = 4
"""Servers that may refuse a request as not run before the caller is told to come back."""

MIN_RUN_S = 0.01
"""A request is not passed on with less time than this: no server could answer it."""

LIMIT_GRACE_S = 0.05
"""Time beyond the limit for the answer of a server that ends its work at the limit."""


class Forwarder:
    """The path of requests through one node.

    Parameters
    ----------
    book : routes.ActiveRoutes
        Routes in force.
    directory : servers.ServerDirectory
        Backend servers.
    codec : dialect.Dialect
        Header names of the deployment.
    accounts : budget_owners.BudgetCoordinator
        Token budgets of programs.
    suspects : crashes.CrashTracker
        Requests that have crashed servers.
    """

    def __init__(
        self,
        book: routes.ActiveRoutes,
        directory: servers.ServerDirectory,
        codec: dialect.Dialect,
        accounts: budget_owners.BudgetCoordinator,
        suspects: crashes.CrashTracker,
        data_centre: str = "",
    ):
        self.book = book
        self.directory = directory
        self.codec = codec
        self.accounts = accounts
        self.suspects = suspects
        self.loads = selection.LoadTable(data_centre)
        self.pools: dict[str, upstream.ServerPool] = {}
        self.gates: dict[str, gate.ConcurrencyLimiter] = {}
        self.candidates = candidates.ServerSelector(book, directory, self.loads)
        self.budgets: dict[str, repeats.RetryBudget] = {}
        self.retired: list[upstream.ServerPool] = []
        self.has_retired = anyio.Event()
        self.active = 0
        directory.removal_hooks.append(self.forget)

    def forget(self, server: servers.BackendServer) -> None:
        """Drop what is known of a server that is gone."""
        self.retire(self.pools.pop(server.id, None))
        self.loads.remove(server)

    def retire(self, pool: upstream.ServerPool | None) -> None:
        """Have the idle connections of a pool closed."""
        if pool is not None:
            self.retired.append(pool)
            self.has_retired.set()

    async def close_retired(self) -> None:
        """Close the idle connections to servers that are gone until cancelled."""
        while True:
            await self.has_retired.wait()
            self.has_retired = anyio.Event()
            while self.retired:
                await self.retired.pop().close()

    def pool(self, server: servers.BackendServer) -> upstream.ServerPool:
        """Return the connections to a server."""
        found = self.pools.get(server.id)
        if found is None or found.server.address != server.address:
            self.retire(found)
            found = self.pools[server.id] = upstream.ServerPool(server)
        return found

    async def handle(self, incoming: ingress.Incoming, responder: ingress.Responder) -> None:
        """Answer one request of a caller."""
        self.active += 1
        exposition.active.inc()
        call: dialect.Call | None = None
        progress: progress_module.Progress | None = None
        outcome = "caller-gone"
        try:
            call = self.codec.decode_call(
                incoming.method, incoming.target, incoming.headers, incoming.arrived_at
            )
            call.body = incoming.body
            progress = self.plan(call)
            await self.forward(call, progress, responder)
            outcome = "answered"
        except exceptions.DogwoodgapError as error:
            outcome = f"{error.code}: {error.detail}"
            await refuse(responder, error, call, self.codec)
        except ingress.CallerGoneError:
            raise
        except progress_module.StreamBrokenError as error:
            outcome = f"cut: {error}"
            raise ingress.CallerGoneError from error
        except Exception as error:  # a fault of one request must not end its connection
            outcome = f"fault: {error!r}"
            logging.getLogger("dogwoodgap").exception("a request failed unexpectedly")
            await refuse(
                responder,
                exceptions.OutcomeUnknownError("the gateway failed; see its log"),
                call,
                self.codec,
            )
        finally:
            self.active -= 1
            exposition.active.dec()
            self.report(call, progress, outcome)

    def plan(self, call: dialect.Call) -> progress_module.Progress:
        """Find the route of a request.

        Raises
        ------
        NotReadyError
            When no routes are known yet.
        NotFoundError
            When no route matches.
        """
        table = self.book.table
        if table is None:
            raise exceptions.NotReadyError(
                "this node has not read the routes yet; use another one",
                retry_after_s=candidates.RETRY_AFTER_S,
            )
        route = table.match(call.host, call.path)
        if route is None:
            raise exceptions.NotFoundError(
                f"no route of host {call.host!r} matches {call.path!r}; check the address"
            )
        key = call.program_id or call.attempt_id
        limit_at = call.arrived_at + route.timeout_s
        if call.deadline_at is not None:
            limit_at = min(limit_at, call.deadline_at)
        return progress_module.Progress(route, route.choose_service(key), limit_at)

    async def forward(
        self, call: dialect.Call, progress: progress_module.Progress, responder: ingress.Responder
    ) -> None:
        """Run a request within its time and its program's budget."""
        route = progress.route
        digest = self.suspects.digest(call)
        if self.suspects.is_refused(digest):
            raise exceptions.OverloadedError(
                "this request crashed the servers that ran it; do not send it again",
                retry_after_s=crashes.RETRY_AFTER_S,
            )
        budgeted = route.kind is routes.RouteKind.STREAMING and call.token_budget is not None
        reserved = False
        try:
            with anyio.CancelScope(deadline=progress.deadline_at + LIMIT_GRACE_S) as scope:
                if budgeted:
                    progress.turn_priority = await self.accounts.reserve(call)
                    reserved = True
                await self.run_gated(call, progress, responder, digest)
            if scope.cancelled_caught:
                await self.time_out(progress, responder)
        finally:
            if reserved:
                engine = self.engine(progress.service)
                per_event = engine.tokens_per_event if engine else 1
                self.accounts.settle(call, progress.events * per_event)

    async def run_gated(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        responder: ingress.Responder,
        digest: int,
    ) -> None:
        """Run a request; a turn waits for its place at the engines first."""
        engine = self.engine(progress.service)
        if engine is None:
            await self.run(call, progress, responder, digest)
            return
        passage = self.gates.setdefault(progress.service, gate.ConcurrencyLimiter())
        self.resize(passage, progress.service)
        await passage.acquire(progress.turn_priority)
        try:
            await self.run(call, progress, responder, digest)
        finally:
            passage.release()

    def resize(self, passage: gate.ConcurrencyLimiter, service: str) -> None:
        """Tell a gate the present size and load of its service."""
        ready = self.directory.ready(service)
        slots = sum(server.slots for server in ready)
        busy = sum(self.loads.state(server).total_in_flight for server in ready)
        passage.resize(slots, self.candidates.node_count(), busy)

    def engine(self, service: str) -> routes.Engine | None:
        """Return the engine of a service, or None for a plain one."""
        table = self.book.table
        known = table.services.get(service) if table else None
        return known.engine if known else None

    async def time_out(
        self, progress: progress_module.Progress, responder: ingress.Responder
    ) -> None:
        """End a request whose time is over."""
        if responder.started:
            raise progress_module.StreamBrokenError("timeout")
        if progress.may_have_run:
            raise exceptions.DeadlinePassedError(
                "the route's timeout passed before the answer came; repeat it only if it may run "
                "twice",
                not_run="unknown",
            )
        raise exceptions.OverloadedError(
            "no server took the request in time; come back later",
            retry_after_s=candidates.RETRY_AFTER_S,
        )

    async def run(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        responder: ingress.Responder,
        digest: int,
    ) -> None:
        """Pass on the answer of a server; a server error only when no other try is possible."""
        try:
            await self.try_servers(call, progress, responder, digest)
        except (exceptions.OutcomeUnknownError, exceptions.OverloadedError):
            if progress.failure is None or responder.started:
                raise
            await relay.pass_whole(progress, responder, progress.failure)

    async def try_servers(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        responder: ingress.Responder,
        digest: int,
    ) -> None:
        """Try servers until one answers or none may be tried."""
        budget = self.budgets.setdefault(progress.service, repeats.RetryBudget())
        budget.record_request()
        while True:
            server = self.candidates.choose(call, progress, self.engine(progress.service))
            result = await self.exchange(call, progress, responder, server, digest)
            progress.attempt_log.append(f"{server.id}:{result.value}")
            exposition.exchanges.labels(progress.service, result.value).inc()
            if result is progress_module.ExchangeResult.DONE:
                self.suspects.record_success(digest)
                return
            if result in (
                progress_module.ExchangeResult.NOT_RUN,
                progress_module.ExchangeResult.UNREACHABLE,
            ):
                progress.excluded.add(server.id)
                progress.refusals += 1
                if progress.refusals >= MAX_REFUSALS:
                    self.give_up(progress, responder, "several servers took no request")
                continue
            left_s = progress.deadline_at - clock.now()
            if not repeats.acquire_retry(progress, budget, left_s):
                self.give_up(progress, responder, "the answer was lost")

    def give_up(
        self, progress: progress_module.Progress, responder: ingress.Responder, reason: str
    ) -> None:
        """End a request that no server may be asked to run again."""
        if responder.started:
            raise progress_module.StreamBrokenError(reason)
        if progress.may_have_run:
            raise exceptions.OutcomeUnknownError(
                f"{reason}; the request may have run: repeat it only if it may run twice"
            )
        raise exceptions.OverloadedError(
            f"{reason}; come back later", retry_after_s=candidates.RETRY_AFTER_S
        )

    async def exchange(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        responder: ingress.Responder,
        server: servers.BackendServer,
        digest: int,
    ) -> progress_module.ExchangeResult:
        """Send a request to one server and pass its answer on."""
        remaining_s = progress.deadline_at - clock.now()
        if remaining_s < MIN_RUN_S:
            await self.time_out(progress, responder)
        longest_idle_s = math.inf if progress.route.retryable else upstream.FRESH_S
        state = self.loads.state(server)
        pool = self.pool(server)
        state.in_flight += 1
        started_at = clock.now()
        connection: upstream.Connection | None = None
        try:
            connection = await pool.take(longest_idle_s)
            if not self.directory.is_usable(server):
                return progress_module.ExchangeResult.NOT_RUN
            result = await self.converse(call, progress, responder, connection)
            if result is progress_module.ExchangeResult.DONE:
                state.record_response(clock.now() - started_at)
                self.loads.record_session(call.session_id, server)
                state.record_outcome(clock.now(), failed=False)
                self.loads.record_failures(progress.suspect_servers, clock.now())
            if result is progress_module.ExchangeResult.FAILED:
                progress.suspect_servers.append(server.id)
            if result in (
                progress_module.ExchangeResult.DONE,
                progress_module.ExchangeResult.FAILED,
            ):
                kept, connection = connection, None
                await pool.give_back(
                    kept, self.candidates.connection_limit(server) - state.in_flight
                )
            return result
        except upstream.ServerUnreachableError:
            state.record_unreachable(clock.now())
            return progress_module.ExchangeResult.UNREACHABLE
        except upstream.AnswerSilentError as error:
            progress.attempt_log.append(error.detail)
            progress.suspect_servers.append(server.id)
            await pool.close()
            return progress_module.ExchangeResult.UNKNOWN
        except upstream.AnswerBrokenError as error:
            progress.attempt_log.append(error.detail)
            if self.engine(progress.service) is None:
                # Engines reset connections while their queue is long; their load shows elsewhere.
                state.record_outcome(clock.now(), failed=True)
            await self.examine(pool, state, digest)
            return progress_module.ExchangeResult.UNKNOWN
        finally:
            state.in_flight -= 1
            if connection is not None:
                await connection.close()

    async def examine(
        self, pool: upstream.ServerPool, state: selection.ServerState, digest: int
    ) -> None:
        """Find out by a fresh connection whether a server that broke off has crashed."""
        try:
            connection = await pool.open()
        except upstream.ServerUnreachableError:
            state.record_unreachable(clock.now())
            self.suspects.record_crash(digest)
            return
        await connection.close()

    async def converse(
        self,
        call: dialect.Call,
        progress: progress_module.Progress,
        responder: ingress.Responder,
        connection: upstream.Connection,
    ) -> progress_module.ExchangeResult:
        """Send a request on a connection and read the answer."""
        remaining_s = progress.deadline_at - clock.now()
        last_event_id = progress.last_event_id or call.last_event_id
        request = h11.Request(
            method=call.method,
            target=call.target,
            headers=self.codec.encode_call(call, connection.server.id, remaining_s, last_event_id),
        )
        progress.offered_at = progress.offered_at or clock.now()
        progress.runs[connection.server.id] += 1
        state = self.loads.state(connection.server)
        patience_s = repeats.response_timeout_s(progress, state, is_reused=connection.is_reused)
        if len(call.body) <= upstream.INLINE_BODY_BYTES:
            await connection.send(request, call.body)
            return await relay.read_answer(
                call, progress, responder, connection, request, self.codec, patience_s
            )
        # The error is raised outside, since a task group would wrap it in an exception group.
        failure: upstream.AnswerBrokenError | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(relay.send_quietly, connection, request, call.body)
            await anyio.lowlevel.checkpoint()
            try:
                result = await relay.read_answer(
                    call, progress, responder, connection, request, self.codec, patience_s
                )
            except upstream.AnswerBrokenError as error:
                failure = error
            tasks.cancel_scope.cancel()
        if failure is not None:
            raise failure
        return result

    def report(
        self, call: dialect.Call | None, progress: progress_module.Progress | None, outcome: str
    ) -> None:
        """Write the log line of a request."""
        if call is None:
            return
        now = clock.now()
        service = progress.service if progress else ""
        exposition.requests.labels(service, outcome.partition(":")[0]).inc()
        exposition.latency.labels(service).observe(now - call.arrived_at)
        if progress and progress.offered_at:
            exposition.offered.labels(service).observe(progress.offered_at - call.arrived_at)
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
            standing=progress.turn_priority.name if progress else None,
            routes_version=self.book.version,
            servers_revision=self.directory.revision,
            servers_age_ms=self.directory.age_ms,
        )


async def refuse(
    responder: ingress.Responder,
    error: exceptions.DogwoodgapError,
    call: dialect.Call | None,
    codec: dialect.Dialect,
) -> None:
    """Answer with an error of this node."""
    if responder.started:
        raise ingress.CallerGoneError from error
    headers: dialect.Headers = [(b"content-type", b"application/problem+json")]
    if error.retry_after_s:
        headers.append((b"retry-after", f"{error.retry_after_s:.3f}".encode()))
    if call is not None and call.attempt_id:
        headers.append((codec.names.attempt_id, call.attempt_id.encode("latin-1")))
    body = exceptions.encode_problem(error)
    await responder.whole(error.status, headers, body)
