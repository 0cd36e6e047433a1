"""A fake plain service that executes actions and records them in a ledger."""

import collections
import collections.abc
import typing

import anyio
import msgspec
from starlette import applications, requests, responses, routing

from dogwoodgap import adapters, clock, service_adapter
from dogwoodgap_lab import faults


class Execution(msgspec.Struct):
    """One executed action."""

    path: str
    key: str
    payload: typing.Any
    at: float


class Outcome(msgspec.Struct):
    """Response to an action, and the body of the outcome at ``GET /outcomes/{key}``."""

    executed: str
    number: int


class ServiceStats(msgspec.Struct):
    """Response to ``GET /stats``."""

    requests: int
    executed: int
    repeated_keys: int


def json_response(value: typing.Any, status: int = 200) -> responses.Response:
    """Return a JSON response."""
    return responses.Response(msgspec.json.encode(value), status, media_type="application/json")


class Ledger:
    """The executed actions of a service, shared by its runners."""

    def __init__(self) -> None:
        self.executions: list[Execution] = []
        self.outcomes: dict[str, Outcome] = {}

    def add(self, execution: Execution) -> Outcome:
        """Record an action and return its outcome.

        The stored outcome of an idempotency key is that of its first execution.
        """
        self.executions.append(execution)
        outcome = Outcome(execution.path, len(self.executions))
        if execution.key:
            self.outcomes.setdefault(execution.key, outcome)
        return outcome

    def repeated_keys(self) -> int:
        """Return the number of idempotency keys that were executed more than once."""
        counts = collections.Counter(item.key for item in self.executions if item.key)
        return sum(1 for count in counts.values() if count > 1)


class PlainService:
    """Executes and records every action, without deduplication by idempotency key.

    Parameters
    ----------
    answers_outcomes : bool
        Whether ``GET /outcomes/{key}`` is supported.
    execution_s : float
        Duration of an action.
    """

    def __init__(
        self,
        ledger: Ledger | None = None,
        fault_injector: faults.FaultInjector | None = None,
        *,
        answers_outcomes: bool = False,
        execution_s: float = 0.0,
    ):
        self.ledger = ledger or Ledger()
        self.fault_injector = fault_injector or faults.FaultInjector()
        self.answers_outcomes = answers_outcomes
        self.execution_s = execution_s
        self.requests = 0
        self.running = 0

    async def execute(self, request: requests.Request) -> responses.Response:
        """Handle ``POST /{path}``: execute an action, which takes ``execution_s``."""
        body = await request.body()
        if self.fault_injector.crashes_on(body.decode(errors="replace")):
            self.fault_injector.on_crash()
            return faults.TruncatedResponse()
        payload = msgspec.json.decode(body) if body else None
        key = request.headers.get("idempotency-key", "")
        self.requests += 1
        self.running += 1
        try:
            await anyio.sleep(self.execution_s)
            execution = Execution(request.path_params["path"], key, payload, clock.wall_time())
            outcome = self.ledger.add(execution)
        finally:
            self.running -= 1
        if self.fault_injector.should_inject(self.fault_injector.faults.reply_loss):
            return faults.TruncatedResponse()
        return json_response(outcome)

    async def outcome(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /outcomes/{key}``; 501 when outcomes are not supported."""
        if not self.answers_outcomes:
            return json_response("this service does not store outcomes", 501)
        outcome = self.ledger.outcomes.get(request.path_params["key"])
        if outcome is None:
            return json_response("no action with this key was executed", 404)
        return json_response(service_adapter.OutcomeReport(200, msgspec.to_builtins(outcome)))

    async def get_ledger(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /ledger``."""
        return json_response(self.ledger.executions)

    async def load(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /load``."""
        active = self.fault_injector.faults
        return json_response(
            adapters.LoadReport(
                running=self.running, age_s=active.load_lag_s, leaving=active.leaving
            )
        )

    async def stats(self, request: requests.Request) -> responses.Response:
        """Handle ``GET /stats``."""
        executed = len(self.ledger.executions)
        return json_response(ServiceStats(self.requests, executed, self.ledger.repeated_keys()))


def build(service: PlainService) -> collections.abc.Callable[..., typing.Any]:
    """Return the ASGI application of a plain service."""
    application = applications.Starlette(
        routes=[
            routing.Route("/ledger", service.get_ledger),
            routing.Route("/load", service.load),
            routing.Route("/stats", service.stats),
            routing.Route("/faults", service.fault_injector.set_faults, methods=["PUT"]),
            routing.Route("/outcomes/{key:path}", service.outcome),
            routing.Route("/{path:path}", service.execute, methods=["POST"]),
        ]
    )
    return faults.FaultMiddleware(application, service.fault_injector)
