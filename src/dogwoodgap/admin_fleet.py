"""Administration routes for programs, nodes, the state dump and the summary."""

import collections.abc
import dataclasses
import typing

import anyio
import msgspec
from starlette import requests, responses, routing

from dogwoodgap import (
    admin_http,
    admin_parts,
    dump,
    events,
    exceptions,
    keys,
    metrics,
    programs,
    roles,
    structures,
    views,
)

FOLLOW_POLL_INTERVAL_S = 0.25
FOLLOW_HEARTBEAT_S = 10.0
DEFAULT_PAGE_SIZE = 100
MAX_PAGE_SIZE = 1_000
LATENCY_METRIC = "program.latency"

EndProgram = collections.abc.Callable[
    [programs.Program, structures.ProgramStatus, str], collections.abc.Awaitable[None]
]


class Summary(msgspec.Struct):
    """Metrics of one node for ``dogwoodgap-ctl top``.

    Attributes
    ----------
    wasted_cache : float
        Share of the engine cache's token-seconds that were wasted, as observed by this node.
    latency : metrics.Histogram
        Latency of whole programs; the histograms of all nodes must be added before quantiles
        are computed.
    """

    node: str
    generation: int
    programs_active: int
    programs_finished: int
    queued: int
    refused: int
    cache_held: int
    cache_wasted: int
    wasted_cache: float
    latency: metrics.Histogram
    latency_p50_s: float
    latency_p95_s: float


def summarize(node: str, generation: int) -> Summary:
    """Return the summary of this process, computed from its metrics."""
    held = metrics.counters["cache.held"]
    wasted = metrics.counters["cache.wasted"]
    latency = metrics.histograms.get(LATENCY_METRIC, metrics.Histogram())
    return Summary(
        node=node,
        generation=generation,
        programs_active=int(metrics.gauges.get("programs.active", 0)),
        programs_finished=metrics.counters["programs.finished"],
        queued=int(metrics.gauges.get("calls.queued", 0)),
        refused=metrics.counters["requests.refused"],
        cache_held=held,
        cache_wasted=wasted,
        wasted_cache=wasted / held if held else 0.0,
        latency=latency,
        latency_p50_s=latency.quantile(0.5),
        latency_p95_s=latency.quantile(0.95),
    )


@dataclasses.dataclass
class TablePrograms:
    """Lists and cancels the programs of a node's program table.

    Attributes
    ----------
    current_table : callable
        Returns the program table of the current boot.
    end : callable
        Ends a program with a status and a reason.
    """

    current_table: collections.abc.Callable[[], programs.ProgramTable]
    end: EndProgram

    @property
    def table(self) -> programs.ProgramTable:
        """The program table of the current boot."""
        return self.current_table()

    def select(
        self,
        query: admin_parts.ProgramQuery,
        is_visible: collections.abc.Callable[[admin_parts.ProgramInfo], bool],
    ) -> list[admin_parts.ProgramInfo]:
        """Return at most ``limit`` matching programs in the order of their cursors."""
        selected: list[admin_parts.ProgramInfo] = []
        for key in sorted(self.table.programs, key=lambda key: (key.customer, key.program)):
            program = self.table.programs[key]
            if not matches_query(query, program):
                continue
            info = self.describe(program)
            if is_visible(info):
                selected.append(info)
            if len(selected) == query.limit:
                break
        return selected

    def show(self, customer: str, program: str) -> admin_parts.ProgramInfo:
        """Return a program; raises UnknownProgramError if it is not in the table."""
        return self.describe(self.table.get(customer, program))

    async def cancel(self, customer: str, program: str, reason: str) -> None:
        """End a program with status ``cancelled``."""
        await self.end(
            self.table.get(customer, program), structures.ProgramStatus.CANCELLED, reason
        )

    def describe(self, program: programs.Program) -> admin_parts.ProgramInfo:
        """Return a program for operators; token counts are those of the whole program tree."""
        root = self.table.root(program)
        return admin_parts.ProgramInfo(
            customer=program.customer,
            id=program.id,
            service=program.service,
            profile=program.profile,
            status=str(program.status),
            reason=program.reason,
            created_at=program.created_at,
            touched_at=program.touched_at,
            ended_at=program.ended_at,
            deadline_at=program.deadline_at,
            turns=program.turn_count,
            next_seq=program.next_seq,
            budget_tokens=root.budget_tokens,
            spent_tokens=root.spent_tokens,
            reserved_tokens=root.reserved_tokens,
            parent=program.parent,
            children=list(program.children),
        )


def matches_query(query: admin_parts.ProgramQuery, program: programs.Program) -> bool:
    """Return whether a program matches the filters and comes after the cursor."""
    if query.customer and program.customer != query.customer:
        return False
    if query.status and program.status != query.status:
        return False
    if query.service and program.service != query.service:
        return False
    customer, _, name = query.after.partition("/")
    return not query.after or (program.customer, program.id) > (customer, name)


@dataclasses.dataclass
class FleetRoutes:
    """Handlers of the routes for programs, nodes, the state dump and the summary."""

    configuration: admin_parts.Configuration
    programs: admin_parts.Programs
    nodes: admin_parts.Nodes

    def routes(self, guard: admin_http.Guard) -> list[routing.Route]:
        """Return the routes of this class."""
        self.guard = guard
        program = "/programs/{program}"
        return [
            guard.route("/programs", "GET", roles.VIEWER, self.list_programs),
            guard.route(program, "GET", roles.VIEWER, self.show_program),
            guard.route(program, "DELETE", roles.OPERATOR, self.cancel_program),
            guard.route(f"{program}/events", "GET", roles.VIEWER, self.follow_program),
            guard.route("/nodes", "GET", roles.VIEWER, self.list_nodes),
            guard.route("/nodes/{name}/drain", "POST", roles.OPERATOR, self.drain),
            guard.route("/dump", "GET", roles.VIEWER, self.dump),
            guard.route("/summary", "GET", roles.VIEWER, self.summary),
        ]

    async def list_programs(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Return one page of programs."""
        limit = admin_http.integer_parameter(request, "limit", DEFAULT_PAGE_SIZE, MAX_PAGE_SIZE)
        query = admin_parts.ProgramQuery(
            customer=request.query_params.get("customer", ""),
            status=request.query_params.get("status", ""),
            service=request.query_params.get("service", ""),
            after=request.query_params.get("after", ""),
            limit=limit,
        )
        infos = self.programs.select(query, lambda info: can_see_program(identity, info))
        next_cursor = f"{infos[-1].customer}/{infos[-1].id}" if len(infos) == limit else ""
        return views.json_response(admin_parts.ProgramPage(infos, next_cursor))

    def find_program(
        self, request: requests.Request, identity: keys.Identity
    ) -> admin_parts.ProgramInfo:
        """Return the program that a request names, if the key may see it."""
        customer = request.query_params.get("customer", "")
        name = request.path_params["program"]
        if not customer:
            raise exceptions.InvalidRequestError(
                "add the program's customer to the query, for example ?customer=perch; program ids "
                "are unique only within a customer"
            )
        info = self.programs.show(customer, name)
        if not can_see_program(identity, info):
            raise exceptions.UnknownProgramError(
                f"program {name!r} does not exist on this node or is not visible to this key; "
                "list the visible programs of each node with GET /admin/v1/programs"
            )
        return info

    async def show_program(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Return one program."""
        return views.json_response(self.find_program(request, identity))

    async def cancel_program(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Cancel one program."""
        info = self.find_program(request, identity)
        note = request.query_params.get("note", "")[: admin_http.MAX_COMMENT_CHARACTERS]
        reason = f"cancelled by operator {identity.name} {note}".strip()
        await self.programs.cancel(info.customer, info.id, reason)
        events.emit(
            events.Event.PROGRAM_CANCELLED,
            "program cancelled",
            author=identity.name,
            customer=info.customer,
            program=info.id,
            note=note,
        )
        return views.json_response(self.programs.show(info.customer, info.id))

    async def follow_program(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Stream the state of a program at each change until the program ends."""
        info = self.find_program(request, identity)
        stream = self.follow(info, lambda: self.guard.identify(request))
        return responses.StreamingResponse(stream, media_type="text/event-stream")

    async def follow(
        self, info: admin_parts.ProgramInfo, check_key: collections.abc.Callable[[], keys.Identity]
    ) -> collections.abc.AsyncIterator[bytes]:
        """Yield server-sent events ``program``, then ``end`` or ``error``.

        The key is checked again at each poll, so that a revoked key cannot keep reading.
        """
        yield views.encode_event("program", info)
        since_last_event_s = 0.0
        while info.status == structures.ProgramStatus.ACTIVE:
            await anyio.sleep(FOLLOW_POLL_INTERVAL_S)
            since_last_event_s += FOLLOW_POLL_INTERVAL_S
            try:
                check_key()
                latest = self.programs.show(info.customer, info.id)
            except exceptions.DogwoodgapError as error:
                # Also when the shard moved to another node; the client reconnects to that node.
                yield views.encode_event("error", exceptions.problem(error))
                return
            if latest != info:
                info, since_last_event_s = latest, 0.0
                yield views.encode_event("program", info)
            elif since_last_event_s >= FOLLOW_HEARTBEAT_S:
                since_last_event_s = 0.0
                yield b": alive\n\n"
        yield views.encode_event("end", info)

    async def list_nodes(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Return all nodes that this node knows."""
        return views.json_response(self.nodes.list())

    async def drain(self, request: requests.Request, identity: keys.Identity) -> responses.Response:
        """Start a graceful stop of this node."""
        roles.require_unlimited(identity)
        name = request.path_params["name"]
        if name != self.nodes.own_name:
            raise exceptions.InvalidRequestError(
                f"this is node {self.nodes.own_name!r}; send the request to {name!r} itself, as "
                f"'dogwoodgap-ctl nodes drain {name}' does"
            )
        events.emit(
            events.Event.NODE_DRAIN_REQUESTED, "drain requested", author=identity.name, node=name
        )
        await self.nodes.drain(identity.name)
        return views.json_response(self.own_node_info(), 202)

    def own_node_info(self) -> typing.Any:
        """Return this node's entry in the list of nodes, or None."""
        return next((node for node in self.nodes.list() if node.name == self.nodes.own_name), None)

    async def dump(self, request: requests.Request, identity: keys.Identity) -> responses.Response:
        """Return a dump of the state of this process."""
        roles.require_unlimited(identity)
        return responses.Response(dump.collect(), media_type="application/json")

    async def summary(
        self, request: requests.Request, identity: keys.Identity
    ) -> responses.Response:
        """Return the summary of this node's metrics."""
        roles.require_unlimited(identity)
        return views.json_response(
            summarize(self.nodes.own_name, self.configuration.current.generation)
        )


def can_see_program(identity: keys.Identity, info: admin_parts.ProgramInfo) -> bool:
    """Return whether a key may see a program."""
    return roles.can_see_customer(identity, info.customer) and roles.can_see_service(
        identity, info.service
    )
