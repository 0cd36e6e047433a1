"""Python client for callers.

async with client.Client(["http://10.0.0.1:8080"], key="...") as dogwoodgap:
    program = await dogwoodgap.program("agent-llm")
    turn = await program.call("Which crew is free on Friday?", max_tokens=200)
    await program.act("crew-app", "bookings", {"crew": 7})
    await program.end()
"""

import collections.abc
import contextlib
import typing
import urllib.parse
import uuid

import anyio
import httpx
import msgspec

from dogwoodgap import clock, exceptions, structures, transport, views

RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 2.0
CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 20.0
"""Read timeout of a request, in addition to its deadline."""

RETRY_ELSEWHERE: tuple[type[exceptions.DogwoodgapError], ...] = (
    exceptions.NotOwnerError,
    exceptions.NotReadyError,
    exceptions.JournalSealedError,
    exceptions.JournalClosedError,
)
Messages = str | list[structures.Text]


class Client:
    """Client for the programs and actions of one customer.

    Parameters
    ----------
    entries : list of str
        Base URLs of some entry VMs; the client asks them for the others.
    key : str
        Bearer key.
    timeout_s : float
        How long a request is retried while no entry accepts it, in addition to its deadline.
    http : httpx.AsyncClient, optional
        HTTP client to use instead of a new one.
    """

    def __init__(
        self,
        entries: list[str],
        key: str,
        *,
        timeout_s: float = 60.0,
        http: httpx.AsyncClient | None = None,
    ):
        if not entries:
            raise exceptions.SettingsInvalidError("no entry address given; pass at least one")
        self.entries = transport.Entries(entries)
        self.headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
        self.timeout_s = timeout_s
        self.http = http or httpx.AsyncClient()

    async def __aenter__(self) -> "Client":
        """Return the client."""
        return self

    async def __aexit__(self, *details: object) -> None:
        """Close all connections."""
        await self.http.aclose()

    async def program(
        self,
        service: str,
        *,
        id: str | None = None,
        profile: str | None = None,
        budget_tokens: int | None = None,
        deadline_s: float | None = None,
    ) -> "Program":
        """Create a program, or continue the one with this ``id``."""
        name = id or uuid.uuid4().hex
        return await self.create(
            id=name,
            service=service,
            profile=profile,
            budget_tokens=budget_tokens,
            deadline_seconds=deadline_s,
        )

    async def create(self, **body: typing.Any) -> "Program":
        """Create a program from the fields of the request."""
        fields = {name: value for name, value in body.items() if value is not None}
        target = fields.get("parent") or fields["id"]
        reply = await self.send(transport.Request("POST", "/v1/programs", fields, program=target))
        return Program(self, msgspec.json.decode(reply, type=views.ProgramView))

    async def act(
        self,
        service: str,
        path: str,
        payload: typing.Any = None,
        *,
        key: str | None = None,
        idempotent: bool = False,
        urgent: bool = False,
        deadline_s: float = 30.0,
    ) -> structures.ActionResult:
        """Run an action outside programs; without ``idempotent`` it runs at most once.

        Without ``key`` a new one is generated. Pass the same key again to repeat an action whose
        result is not known.
        """
        body = {
            "payload": payload,
            "idempotent": idempotent,
            "urgent": urgent,
            "deadline_seconds": deadline_s,
        }
        headers = {} if idempotent else {"Idempotency-Key": key or uuid.uuid4().hex}
        request = transport.Request("POST", f"/v1/actions/{service}/{path}", body, headers)
        return msgspec.json.decode(
            await self.send(request, deadline_s), type=structures.ActionResult
        )

    async def send(self, request: transport.Request, deadline_s: float = 0.0) -> bytes:
        """Return the reply's body; the request is retried, as every request can be repeated.

        Raises
        ------
        DogwoodgapError
            The error that a node returned, or the last failure to reach a node.
        """
        give_up_at = clock.now() + self.timeout_s + deadline_s
        delay = RETRY_DELAY_S
        while True:
            for address in await self.addresses(request.program):
                try:
                    return await self.attempt(address, request, deadline_s)
                except RETRY_ELSEWHERE as error:
                    last_error = error
                    self.entries.mark_failed(address)
                except exceptions.StoreUnavailableError as error:
                    last_error = error
                    break
            if clock.now() + delay >= give_up_at:
                raise last_error
            await anyio.sleep(delay)
            delay = min(delay * 2, MAX_RETRY_DELAY_S)

    async def attempt(self, address: str, request: transport.Request, deadline_s: float) -> bytes:
        """Send a request to one entry."""
        async with self.open_connection(address, request, deadline_s) as reply:
            try:
                data = await reply.aread()
            except httpx.HTTPError as error:
                raise transport.no_reply_error(address, error) from error
            if reply.is_success:
                return data
            raise transport.error_from_reply(reply, data)

    def open_connection(
        self, address: str, request: transport.Request, deadline_s: float
    ) -> transport.Connection:
        """Return a context manager that sends a request and closes its connection."""
        outgoing = self.http.build_request(
            request.method,
            f"{address}{request.path}",
            content=None if request.body is None else msgspec.json.encode(request.body),
            headers=self.headers | request.headers,
            timeout=httpx.Timeout(deadline_s + READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
        )
        return transport.Connection(self.http, address, outgoing)

    async def addresses(self, program: str = "") -> list[str]:
        """Return entry addresses in order of use; fetches them again when they have expired."""
        if not self.entries.is_fresh():
            query = f"?program={urllib.parse.quote(program)}" if program else ""
            request = transport.Request("GET", f"/v1/entries{query}")
            for address in self.entries.ordered():
                try:
                    data = await self.attempt(address, request, 0.0)
                except (*RETRY_ELSEWHERE, exceptions.NotFoundError):
                    continue
                self.entries.update(msgspec.json.decode(data, type=views.EntriesView))
                break
        return self.entries.ordered()


class Program:
    """A program, whose calls and actions run one after another.

    Attributes
    ----------
    id : str
        Pass it to ``client.program(id=...)`` to continue the program after a restart.
    seq : int
        Number of the next call or action.
    last : structures.Turn or None
        Turn of the last call.
    """

    def __init__(self, owner: Client, view: views.ProgramView):
        self.client = owner
        self.id = view.id
        self.service = view.service
        self.seq = view.next_seq
        self.children = len(view.children)
        self.last: structures.Turn | None = None

    def request(self, method: str, path: str = "", body: typing.Any = None) -> transport.Request:
        """Return a request about this program."""
        return transport.Request(method, f"/v1/programs/{self.id}{path}", body, program=self.id)

    def call_request(
        self, messages: Messages, max_tokens: int, deadline_s: float, stream: bool
    ) -> transport.Request:
        """Return the request of the next call."""
        if isinstance(messages, str):
            messages = [structures.Text("user", messages)]
        body = {
            "seq": self.seq,
            "messages": messages,
            "max_tokens": max_tokens,
            "deadline_seconds": deadline_s,
            "stream": stream,
        }
        return self.request("POST", "/calls", body)

    async def call(
        self, messages: Messages, *, max_tokens: int = 256, deadline_s: float = 120.0
    ) -> structures.Turn:
        """Run the next call and return its turn."""
        request = self.call_request(messages, max_tokens, deadline_s, stream=False)
        data = await self.client.send(request, deadline_s)
        return self.record_turn(msgspec.json.decode(data, type=views.CallView).turn)

    def record_turn(self, turn: structures.Turn) -> structures.Turn:
        """Store a finished turn and advance to the next number."""
        self.last = turn
        self.seq = turn.seq + 1
        return turn

    async def stream(
        self, messages: Messages, *, max_tokens: int = 256, deadline_s: float = 120.0
    ) -> collections.abc.AsyncIterator[str]:
        """Run the next call and yield its text in pieces; the turn is in ``last`` afterwards.

        Raises
        ------
        AnswerChangedError
            If the connection broke and the answer was then generated differently.
        """
        request = self.call_request(messages, max_tokens, deadline_s, stream=True)
        received = ""
        for address in await self.client.addresses(self.id):
            connection = self.client.open_connection(address, request, deadline_s)
            try:
                async with contextlib.aclosing(transport.read_events(connection)) as events:
                    async for event in events:
                        if event.name == "token":
                            text = msgspec.json.decode(event.data, type=views.TokenView).text
                            received += text
                            yield text
                        elif self.is_final_event(event):
                            return
            except (*RETRY_ELSEWHERE, exceptions.StoreUnavailableError):
                self.client.entries.mark_failed(address)
                if received:
                    break
        turn = await self.call(messages, max_tokens=max_tokens, deadline_s=deadline_s)
        yield missing_text(turn, received)

    def is_final_event(self, event: transport.ServerEvent) -> bool:
        """Store the turn of a final event and return True; raises the error of an error event."""
        if event.name == "error":
            raise exceptions.from_problem(msgspec.json.decode(event.data, type=exceptions.Problem))
        if event.name == "done":
            self.record_turn(msgspec.json.decode(event.data, type=views.CallView).turn)
        return event.name == "done"

    async def act(
        self,
        service: str,
        path: str,
        payload: typing.Any = None,
        *,
        key: str | None = None,
        idempotent: bool = False,
        deadline_s: float = 30.0,
    ) -> structures.ActionResult:
        """Run the next action; without ``idempotent`` it runs at most once.

        Without ``key`` it is derived from the program and the number of the action, so that the
        same action is never run twice, even after a restart of the caller.
        """
        body = {
            "seq": self.seq,
            "payload": payload,
            "idempotent": idempotent,
            "deadline_seconds": deadline_s,
        }
        request = self.request("POST", f"/actions/{service}/{path}", body)
        if not idempotent:
            request.headers["Idempotency-Key"] = key or f"{self.id}:{self.seq}"
        seq = self.seq
        data = await self.send_until_settled(request, deadline_s)
        self.seq = seq + 1
        return msgspec.json.decode(data, type=structures.ActionResult)

    async def send_until_settled(self, request: transport.Request, deadline_s: float) -> bytes:
        """Return the reply to the next action, repeating it until it is settled.

        Until then the number belongs to the action, and the program cannot take another step.
        """
        seq = self.seq
        settled = False
        give_up_at = clock.now() + self.client.timeout_s + deadline_s
        while True:
            try:
                return await self.client.send(request, deadline_s)
            except (exceptions.OutcomeUnknownError, exceptions.DeadlinePassedError) as error:
                await self.refresh()
                if error.not_run == "true" or settled or clock.now() >= give_up_at:
                    raise
                # The action may have been settled just now; one more request gets its result.
                settled = self.seq != seq
            await anyio.sleep(RETRY_DELAY_S)

    async def child(self, *, service: str | None = None, profile: str | None = None) -> "Program":
        """Create a child program, which runs at the same time and shares the budget."""
        self.children += 1
        return await self.client.create(
            id=str(self.children), parent=self.id, service=service or self.service, profile=profile
        )

    async def refresh(self) -> views.ProgramView:
        """Fetch the program's state and update ``seq``."""
        data = await self.client.send(self.request("GET"))
        view = msgspec.json.decode(data, type=views.ProgramView)
        self.seq = view.next_seq
        return view

    async def history(self) -> list[structures.Turn]:
        """Fetch all turns of the program."""
        data = await self.client.send(self.request("GET", "/history"))
        return msgspec.json.decode(data, type=views.HistoryView).turns

    async def heartbeat(self) -> None:
        """Restart the idle timeout of the program while a tool is slow."""
        await self.client.send(self.request("POST", "/heartbeat"))

    async def end(self) -> None:
        """End the program and its children, and release their cache."""
        await self.client.send(self.request("DELETE"))


def missing_text(turn: structures.Turn, received: str) -> str:
    """Return the part of a turn's text that was not received yet."""
    if not turn.text.startswith(received):
        raise exceptions.AnswerChangedError(
            "the connection broke and the answer was generated again with different text; "
            "read the complete turn from program.last"
        )
    return turn.text[len(received) :]
