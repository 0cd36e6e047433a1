"""Client of the administration API for the command line."""

import collections.abc
import dataclasses
import typing
import uuid

import anyio
import httpx
import msgspec

from dogwoodgap import admin_parts, clock, exceptions

PREFIX = "/admin/v1"
CONNECT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 30.0
EVENT_STREAM_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.5
HISTORY_SEARCH_LIMIT = 100
DEFAULT_RESOLVE_TIMEOUT_S = 30.0

T = typing.TypeVar("T")


class NoNodeError(exceptions.DogwoodgapError):
    """No node accepted the request."""

    code, title, not_run = "no-node", "No node reachable", "true"


class LostReplyError(exceptions.DogwoodgapError):
    """The reply was lost or is not a valid one, so the outcome of the request is unknown."""

    code, title, not_run = "lost-reply", "Outcome unknown", "unknown"


class WaitTimeoutError(exceptions.DogwoodgapError):
    """A generation was not in force on every node before the timeout."""

    code, title, not_run = "wait-timeout", "Not in force in time", "false"


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A successful response and the generation in its ETag header, 0 without one."""

    data: bytes
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request to the administration API.

    Attributes
    ----------
    generation : int or None
        The generation that a change is based on, sent as If-Match; a new fleet is at generation 0.
    """

    method: str
    path: str
    body: typing.Any = None
    generation: int | None = None
    parameters: dict[str, str] = dataclasses.field(default_factory=dict)


class Event(msgspec.Struct):
    """One server-sent event."""

    name: str
    data: bytes


@dataclasses.dataclass
class Client:
    """Sends requests to the first reachable node of a list.

    Parameters
    ----------
    http : httpx.AsyncClient
        HTTP client that sends the operator's key.
    nodes : list of str
        URLs of nodes, tried in order.
    resolve_timeout_s : float
        How long to look for the outcome of a change whose reply was lost.
    """

    http: httpx.AsyncClient
    nodes: list[str]
    resolve_timeout_s: float = DEFAULT_RESOLVE_TIMEOUT_S

    async def send(self, request: Request, change_id: str = "") -> Reply:
        """Send a request to the first node that accepts a connection and is ready.

        Raises
        ------
        LostReplyError
            When the request may have taken effect.
        DogwoodgapError
            The error in the node's response.
        """
        headers = {"Dogwoodgap-Change": change_id} if change_id else {}
        if request.generation is not None:
            headers["If-Match"] = f'"{request.generation}"'
        content = None if request.body is None else msgspec.json.encode(request.body)
        failures = []
        for node in self.nodes:
            url = node.rstrip("/") + PREFIX + request.path
            try:
                response = await self.http.request(
                    request.method, url, content=content, headers=headers, params=request.parameters
                )
            except (httpx.ConnectError, httpx.ConnectTimeout) as error:
                failures.append(f"{node}: {error}")
                continue
            except httpx.TransportError as error:
                if request.method == "GET":
                    failures.append(f"{node}: {error!r}")
                    continue
                raise LostReplyError(
                    f"{node} did not answer ({error!r}); check whether the request took effect"
                ) from error
            try:
                return parse_reply(response)
            except exceptions.NotReadyError as error:
                failures.append(f"{node}: {error.detail}")
        raise NoNodeError(f"no node accepts requests ({'; '.join(failures)}); check --node")

    async def get(self, path: str, reply_type: type[T], **parameters: str) -> T:
        """Return the decoded body of a GET request."""
        return msgspec.json.decode((await self.read(path, **parameters)).data, type=reply_type)

    async def read(self, path: str, **parameters: str) -> Reply:
        """Send a GET request and return its reply."""
        return await self.send(Request("GET", path, parameters=parameters))

    async def submit_change(self, request: Request) -> admin_parts.ChangeResult:
        """Send a change; if its reply is lost, find out whether it took effect."""
        change_id = uuid.uuid4().hex
        try:
            return decode_change_result(await self.send(request, change_id))
        except exceptions.DogwoodgapError as error:
            if error.not_run == "true":
                raise
            return await self.resolve_outcome(request, change_id)

    async def resolve_outcome(self, request: Request, change_id: str) -> admin_parts.ChangeResult:
        """Look for a change in the history and resend it until its outcome is known.

        Resending is safe: every attempt names the same generation, so at most one is applied. A
        conflict may be caused by an earlier attempt, so it is also checked against the history.

        Raises
        ------
        LostReplyError
            When the outcome is still unknown after ``resolve_timeout_s``.
        """
        deadline = clock.now() + self.resolve_timeout_s
        last_failure = ""
        while clock.now() < deadline:
            try:
                return await self.find_or_resend(request, change_id)
            except (LostReplyError, NoNodeError, exceptions.StoreError) as error:
                last_failure = error.detail
            await anyio.sleep(POLL_INTERVAL_S)
        raise LostReplyError(
            f"the reply was lost and no node could tell within {self.resolve_timeout_s:g} s "
            f"whether the change took effect ({last_failure}); look for change {change_id} with "
            "'dogwoodgap-ctl history'"
        )

    async def find_or_resend(self, request: Request, change_id: str) -> admin_parts.ChangeResult:
        """Return the outcome of a change that is in the history, or send it once more."""
        found = await self.find_change(change_id)
        if found is not None:
            return found
        try:
            return decode_change_result(await self.send(request, change_id))
        except exceptions.ConfigurationConflictError:
            return await self.resolve_conflict(change_id)

    async def resolve_conflict(self, change_id: str) -> admin_parts.ChangeResult:
        """Return the outcome if this change caused the conflict itself, or raise the conflict."""
        found = await self.find_change(change_id)
        if found is None:
            raise exceptions.ConfigurationConflictError(
                "the reply was lost, and the history shows that another operator's change came "
                "first; this change was not applied; see 'dogwoodgap-ctl history'"
            )
        return found

    async def find_change(self, change_id: str) -> admin_parts.ChangeResult | None:
        """Return the outcome of a change from the history, or None if it is not there."""
        entries = await self.get(
            "/configuration/history", list[admin_parts.HistoryView], limit=str(HISTORY_SEARCH_LIMIT)
        )
        for entry in entries:
            if entry.change == change_id:
                return admin_parts.ChangeResult(entry.generation, True, [])
        return None

    async def current_generation(self) -> int:
        """Return the generation in force on the first reachable node."""
        return (await self.read("/configuration")).generation

    async def wait_for_generation(
        self, generation: int, timeout_s: float
    ) -> admin_parts.NodeGenerations:
        """Wait until a generation is in force on every live node; 0 waits for the latest.

        Raises
        ------
        WaitTimeoutError
            When a node still has an older generation after ``timeout_s``.
        """
        deadline = clock.now() + timeout_s
        while True:
            state = await self.get("/configuration/in-force", admin_parts.NodeGenerations)
            target = generation or max([state.generation, *state.nodes.values()])
            pending = sorted(name for name, number in state.nodes.items() if number < target)
            if state.nodes and not pending:
                return state
            if clock.now() >= deadline:
                raise WaitTimeoutError(
                    f"generation {target} is not in force on {', '.join(pending) or 'any node'} "
                    f"after {timeout_s:g} s; see 'dogwoodgap-ctl nodes list'"
                )
            await anyio.sleep(POLL_INTERVAL_S)

    async def list_nodes(self) -> list[admin_parts.NodeInfo]:
        """Return all nodes in the member table of the first reachable node."""
        return await self.get("/nodes", list[admin_parts.NodeInfo])

    async def node_clients(self) -> list["Client"]:
        """Return one client for each running node."""
        running = [node for node in await self.list_nodes() if node.state in {"alive", "leaving"}]
        return [self.client_for(node) for node in running]

    def client_for(self, node: admin_parts.NodeInfo) -> "Client":
        """Return a client that sends only to one node."""
        address = node.http_address or self.nodes[0]
        if "://" not in address:
            address = f"{self.nodes[0].partition('://')[0]}://{address}"
        return dataclasses.replace(self, nodes=[address])

    async def client_by_name(self, name: str) -> "Client":
        """Return a client that sends only to the node with this name.

        Raises
        ------
        NotFoundError
            When no node has the name.
        """
        nodes = await self.list_nodes()
        for node in nodes:
            if node.name == name:
                return self.client_for(node)
        raise exceptions.NotFoundError(
            f"node {name!r} is not known; use one of {', '.join(node.name for node in nodes)}"
        )

    async def owner_client(self, customer: str, program: str) -> "Client":
        """Return a client that sends only to the node that owns a program.

        Raises
        ------
        UnknownProgramError
            When no running node has the program.
        """
        for client in await self.node_clients():
            try:
                await client.read(f"/programs/{program}", customer=customer)
                return client
            except (exceptions.UnknownProgramError, NoNodeError, LostReplyError):
                continue
        raise exceptions.UnknownProgramError(
            f"no running node has program {program!r} of customer {customer!r}; "
            f"see 'dogwoodgap-ctl programs list'"
        )

    async def stream_events(
        self, path: str, **parameters: str
    ) -> collections.abc.AsyncIterator[Event]:
        """Yield the server-sent events of a path.

        Raises
        ------
        LostReplyError
            When the connection fails before the stream ends.
        """
        url = self.nodes[0].rstrip("/") + PREFIX + path
        try:
            async with self.http.stream(
                "GET", url, params=parameters, timeout=EVENT_STREAM_TIMEOUT_S
            ) as response:
                if response.is_error:
                    await response.aread()
                    raise parse_error(response)
                name = ""
                async for line in response.aiter_lines():
                    field, _, value = line.partition(": ")
                    if field == "event":
                        name = value
                    elif field == "data":
                        yield Event(name, value.encode())
        except httpx.TransportError as error:
            raise LostReplyError(f"the connection to {url} failed ({error!r})") from error


def parse_reply(response: httpx.Response) -> Reply:
    """Return the reply of a successful response, or raise the error that it describes."""
    if response.is_error:
        raise parse_error(response)
    tag = response.headers.get("etag", "").strip('"')
    return Reply(response.content, int(tag) if tag.isdigit() else 0)


def parse_error(response: httpx.Response) -> exceptions.DogwoodgapError:
    """Return the error that an unsuccessful response describes."""
    try:
        return exceptions.from_problem(
            msgspec.json.decode(response.content, type=exceptions.Problem)
        )
    except msgspec.DecodeError:
        return LostReplyError(
            f"{response.request.url} answered {response.status_code} without a problem document; "
            f"check that --node names a dogwoodgap node"
        )


def decode_change_result(reply: Reply) -> admin_parts.ChangeResult:
    """Return the result of a change from its reply."""
    return msgspec.json.decode(reply.data, type=admin_parts.ChangeResult)
