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
FOLLOW_TIMEOUT_S = 30.0
SETTLE_INTERVAL_S = 0.5
SETTLE_HISTORY = 100
DEFAULT_SETTLE_S = 30.0

T = typing.TypeVar("T")


class NoNodeError(exceptions.DogwoodgapError):
    """No node accepted a connection."""

    code, title, not_run = "no-node", "No node reachable", "true"


class LostReplyError(exceptions.DogwoodgapError):
    """The connection broke after the request was sent, or the node cannot tell the outcome."""

    code, title, not_run = "lost-reply", "Outcome unknown", "unknown"


class WaitTimeoutError(exceptions.DogwoodgapError):
    """A generation was not in force everywhere in time."""

    code, title, not_run = "wait-timeout", "Not in force in time", "false"


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """A successful answer and the generation of its entity tag, 0 without one."""

    data: bytes
    generation: int


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request to the administration API.

    Attributes
    ----------
    generation : int or None
        The generation that a change is based on; a new fleet is at generation 0.
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
    """Sends requests to the first of several nodes that answers.

    Parameters
    ----------
    http : httpx.AsyncClient
        Client with the operator's key.
    nodes : list of str
        URLs of nodes, tried in order.
    """

    http: httpx.AsyncClient
    nodes: list[str]
    settle_s: float = DEFAULT_SETTLE_S

    async def send(self, request: Request, change: str = "") -> Reply:
        """Send a request to the first node that accepts a connection and is ready.

        Raises
        ------
        LostReplyError
            When the request may have taken effect.
        DogwoodgapError
            The error that the node answered.
        """
        headers = {"Dogwoodgap-Change": change} if change else {}
        if request.generation is not None:
            headers["If-Match"] = f'"{request.generation}"'
        content = None if request.body is None else msgspec.json.encode(request.body)
        faults = []
        for node in self.nodes:
            url = node.rstrip("/") + PREFIX + request.path
            try:
                response = await self.http.request(
                    request.method, url, content=content, headers=headers, params=request.parameters
                )
            except (httpx.ConnectError, httpx.ConnectTimeout) as error:
                faults.append(f"{node}: {error}")
                continue
            except httpx.TransportError as error:
                if request.method == "GET":
                    faults.append(f"{node}: {error!r}")
                    continue
                raise LostReplyError(
                    f"{node} did not answer ({error!r}); check whether the request took effect"
                ) from error
            try:
                return reply_of(response)
            except exceptions.NotReadyError as error:
                faults.append(f"{node}: {error.detail}")
        raise NoNodeError(f"no node accepts requests ({'; '.join(faults)}); check --node")

    async def get(self, path: str, kind: type[T], **parameters: str) -> T:
        """Return a decoded answer."""
        return msgspec.json.decode((await self.read(path, **parameters)).data, type=kind)

    async def read(self, path: str, **parameters: str) -> Reply:
        """Return an answer with its generation."""
        return await self.send(Request("GET", path, parameters=parameters))

    async def change(self, request: Request) -> admin_parts.ChangeResult:
        """Send a change; when its reply is lost, find out whether it took effect."""
        change = uuid.uuid4().hex
        try:
            return outcome_of(await self.send(request, change))
        except exceptions.DogwoodgapError as error:
            if error.not_run == "true":
                raise
            return await self.settle(request, change)

    async def settle(self, request: Request, change: str) -> admin_parts.ChangeResult:
        """Look for a change in the history and repeat it until its outcome is known.

        A repeat is harmless: it names the same generation, so at most one of them is applied. A
        conflict may come from the first attempt, so the history decides then too.
        """
        deadline = clock.now() + self.settle_s
        fault = ""
        while clock.now() < deadline:
            try:
                return await self.attempt(request, change)
            except (LostReplyError, NoNodeError, exceptions.StoreError) as error:
                fault = error.detail
            await anyio.sleep(SETTLE_INTERVAL_S)
        raise LostReplyError(
            f"the reply was lost and no node could tell within {self.settle_s:g} s whether the "
            f"change took effect ({fault}); look for change {change} with 'dogwoodgap-ctl history'"
        )

    async def attempt(self, request: Request, change: str) -> admin_parts.ChangeResult:
        """Return the outcome of a change that took effect, or send it once more."""
        found = await self.find_change(change)
        if found is not None:
            return found
        try:
            return outcome_of(await self.send(request, change))
        except exceptions.ConfigurationConflictError:
            return await self.after_conflict(change)

    async def after_conflict(self, change: str) -> admin_parts.ChangeResult:
        """Return the own change if it is the one that won, or raise the conflict."""
        found = await self.find_change(change)
        if found is None:
            raise exceptions.ConfigurationConflictError(
                "the reply was lost, and the history shows that another operator's change came "
                "first; this change was not applied; see 'dogwoodgap-ctl history'"
            )
        return found

    async def find_change(self, change: str) -> admin_parts.ChangeResult | None:
        """Return the outcome of a change that is in the history."""
        entries = await self.get(
            "/configuration/history", list[admin_parts.HistoryView], limit=str(SETTLE_HISTORY)
        )
        for entry in entries:
            if entry.change == change:
                return admin_parts.ChangeResult(entry.generation, True, [])
        return None

    async def generation(self) -> int:
        """Return the generation in force on the node."""
        return (await self.read("/configuration")).generation

    async def wait(self, generation: int, timeout_s: float) -> admin_parts.NodeGenerations:
        """Wait until a generation is in force on every live node; 0 stands for the latest."""
        deadline = clock.now() + timeout_s
        while True:
            state = await self.get("/configuration/in-force", admin_parts.NodeGenerations)
            wanted = generation or max([state.generation, *state.nodes.values()])
            late = sorted(name for name, number in state.nodes.items() if number < wanted)
            if state.nodes and not late:
                return state
            if clock.now() >= deadline:
                raise WaitTimeoutError(
                    f"generation {wanted} is not in force on {', '.join(late) or 'any node'} "
                    f"after {timeout_s:g} s; see 'dogwoodgap-ctl nodes list'"
                )
            await anyio.sleep(SETTLE_INTERVAL_S)

    async def members(self) -> list[admin_parts.NodeInfo]:
        """Return all nodes that the fleet knows."""
        return await self.get("/nodes", list[admin_parts.NodeInfo])

    async def each(self) -> list["Client"]:
        """Return one client for each node that runs."""
        running = [node for node in await self.members() if node.state in {"alive", "leaving"}]
        return [self.at(node) for node in running]

    def at(self, node: admin_parts.NodeInfo) -> "Client":
        """Return a client of one node."""
        address = node.http_address or self.nodes[0]
        if "://" not in address:
            address = f"{self.nodes[0].partition('://')[0]}://{address}"
        return dataclasses.replace(self, nodes=[address])

    async def named(self, name: str) -> "Client":
        """Return a client of the node with a name."""
        nodes = await self.members()
        for node in nodes:
            if node.name == name:
                return self.at(node)
        raise exceptions.NotFoundError(
            f"node {name!r} is not known; use one of {', '.join(node.name for node in nodes)}"
        )

    async def owner(self, customer: str, program: str) -> "Client":
        """Return a client of the node that owns a program."""
        for client in await self.each():
            try:
                await client.read(f"/programs/{program}", customer=customer)
                return client
            except (exceptions.UnknownProgramError, NoNodeError, LostReplyError):
                continue
        raise exceptions.UnknownProgramError(
            f"no running node has program {program!r} of customer {customer!r}; "
            f"see 'dogwoodgap-ctl programs list'"
        )

    async def follow(self, path: str, **parameters: str) -> collections.abc.AsyncIterator[Event]:
        """Yield the server-sent events of a path."""
        url = self.nodes[0].rstrip("/") + PREFIX + path
        try:
            async with self.http.stream(
                "GET", url, params=parameters, timeout=FOLLOW_TIMEOUT_S
            ) as response:
                if response.is_error:
                    await response.aread()
                    raise error_of(response)
                name = ""
                async for line in response.aiter_lines():
                    field, _, value = line.partition(": ")
                    if field == "event":
                        name = value
                    elif field == "data":
                        yield Event(name, value.encode())
        except httpx.TransportError as error:
            raise LostReplyError(f"the connection to {url} broke ({error!r})") from error


def reply_of(response: httpx.Response) -> Reply:
    """Return a successful answer or raise the error that it describes."""
    if response.is_error:
        raise error_of(response)
    tag = response.headers.get("etag", "").strip('"')
    return Reply(response.content, int(tag) if tag.isdigit() else 0)


def error_of(response: httpx.Response) -> exceptions.DogwoodgapError:
    """Return the error of a refused request."""
    try:
        return exceptions.from_problem(
            msgspec.json.decode(response.content, type=exceptions.Problem)
        )
    except msgspec.DecodeError:
        return LostReplyError(
            f"{response.request.url} answered {response.status_code} without a problem document; "
            f"check that --node names a dogwoodgap node"
        )


def outcome_of(reply: Reply) -> admin_parts.ChangeResult:
    """Return the answer to a change."""
    return msgspec.json.decode(reply.data, type=admin_parts.ChangeResult)
