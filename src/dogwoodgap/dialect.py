"""Headers of forwarded requests and answers, decoded once into typed fields.

The names are data: the product has its own, and a deployment's adapter gives others.
"""

import dataclasses
import urllib.parse

from dogwoodgap import exceptions

Headers = list[tuple[bytes, bytes]]

CONNECTION_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
"""Concern one connection or its framing (RFC 9110, section 7.6.1), so they are not passed on."""


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Names of the headers, in lower case.

    Attributes
    ----------
    attempt_id : bytes
        Identifies one attempt of a caller; backend servers return it.
    deadline : bytes
        Milliseconds that the sender of a request still waits.
    signature : bytes
        A backend server's signature of its answer.
    expected_server : bytes
        Id of the only backend server that may run the request.
    not_run : bytes
        Set by a backend server that did not run the request.
    reserved : tuple of bytes
        Set by this system only; removed from what callers send.
    """

    attempt_id: bytes = b"dogwoodgap-attempt"
    deadline: bytes = b"dogwoodgap-deadline-ms"
    signature: bytes = b"dogwoodgap-seal"
    expected_server: bytes = b"dogwoodgap-expect-server"
    not_run: bytes = b"dogwoodgap-not-run"
    load: bytes = b"dogwoodgap-load"
    urgency: bytes = b"dogwoodgap-urgency"
    last_event_id: bytes = b"last-event-id"
    program_id: bytes = b"dogwoodgap-program"
    session_id: bytes = b"dogwoodgap-session"
    finish: bytes = b"dogwoodgap-finish-ms"
    token_budget: bytes = b"dogwoodgap-token-budget"
    token_count: bytes = b"dogwoodgap-tokens"
    prompt_parts: bytes = b"dogwoodgap-prompt-parts"
    reserved: tuple[bytes, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt that requests may share."""

    id: str
    tokens: int


@dataclasses.dataclass(slots=True)
class Call:
    """One request of a caller.

    Attributes
    ----------
    headers : list of (bytes, bytes)
        What is passed on to the backend server.
    arrived_at, deadline_at : float
        Monotonic times of arrival and of the caller's patience.
    finish_at : float or None
        Monotonic time at which the program should be finished.
    prompt_tokens, max_output_tokens : int
        Tokens read and at most generated.
    token_budget : int or None
        Tokens that all turns of the program may generate.
    """

    attempt_id: str
    method: bytes
    target: bytes
    host: str
    path: str
    headers: Headers
    arrived_at: float
    deadline_at: float | None = None
    body: bytes = b""
    program_id: str = ""
    session_id: str = ""
    finish_at: float | None = None
    token_budget: int | None = None
    prompt_tokens: int = 0
    max_output_tokens: int = 0
    prompt_parts: tuple[PromptPart, ...] = ()
    last_event_id: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ServerLoad:
    """What a backend server says of itself."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What the headers of an answer say, besides what is passed on."""

    attempt_id: str | None
    signed: bool
    not_run: bool
    load: ServerLoad | None
    encoded: bool


class HeaderCodec:
    """Decodes and encodes headers under given names."""

    def __init__(self, names: HeaderNames | None = None):
        self.names = names or HeaderNames()
        self.dropped_headers = CONNECTION_HEADERS | {
            *self.names.reserved,
            self.names.deadline,
            self.names.expected_server,
            self.names.urgency,
            self.names.last_event_id,
            b"host",
        }

    def decode_call(
        self, method: bytes, target: bytes, headers: Headers, arrived_at: float
    ) -> Call:
        """Return a request without its body.

        Raises
        ------
        InvalidRequestError
            When a header that decides something is missing or malformed.
        """
        values: dict[bytes, bytes] = {}
        for name, value in headers:
            values.setdefault(name, value)
        names = self.names
        host = values.get(b"host", b"").decode("latin-1")
        call = Call(
            attempt_id=values.get(names.attempt_id, b"").decode("latin-1"),
            method=method,
            target=target,
            host=host.partition(":")[0],
            path=target.partition(b"?")[0].decode("latin-1"),
            headers=[pair for pair in headers if pair[0] not in self.dropped_headers],
            arrived_at=arrived_at,
            program_id=values.get(names.program_id, b"").decode("latin-1"),
            session_id=values.get(names.session_id, b"").decode("latin-1"),
            last_event_id=values.get(names.last_event_id),
        )
        call.headers.insert(0, (b"host", values.get(b"host", b"")))
        deadline_ms = parse_int(values, names.deadline)
        if deadline_ms is not None:
            call.deadline_at = arrived_at + deadline_ms / 1000
        finish_ms = parse_int(values, names.finish)
        if finish_ms is not None:
            call.finish_at = arrived_at + finish_ms / 1000
        call.token_budget = parse_int(values, names.token_budget)
        if names.token_count in values:
            call.prompt_tokens, call.max_output_tokens = parse_pair(values, names.token_count)
        if names.prompt_parts in values:
            call.prompt_parts = parse_parts(values[names.prompt_parts], names.prompt_parts)
        return call

    def encode_call(
        self,
        call: Call,
        server_id: str,
        remaining_s: float | None,
        last_event_id: bytes | None,
    ) -> Headers:
        """Return the headers for a backend server."""
        headers = list(call.headers)
        names = self.names
        headers.append((names.expected_server, server_id.encode("latin-1")))
        if remaining_s is not None:
            headers.append((names.deadline, str(max(1, int(remaining_s * 1000))).encode()))
        if last_event_id is not None:
            headers.append((names.last_event_id, last_event_id))
        if call.body or call.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS"):
            headers.append((b"content-length", str(len(call.body)).encode()))
        return headers

    def decode_response(self, headers: Headers) -> ResponseMetadata:
        """Return what the headers of an answer say."""
        values: dict[bytes, bytes] = {}
        for name, value in headers:
            values.setdefault(name, value)
        names = self.names
        attempt = values.get(names.attempt_id)
        return ResponseMetadata(
            attempt_id=None if attempt is None else attempt.decode("latin-1"),
            signed=names.signature in values,
            not_run=names.not_run in values,
            load=parse_load(values.get(names.load)),
            encoded=b"content-encoding" in values,
        )


def parse_int(values: dict[bytes, bytes], name: bytes) -> int | None:
    """Return a header as a whole number, or None when it is absent."""
    value = values.get(name)
    if value is None:
        return None
    try:
        return int(float(value))
    except (ValueError, OverflowError) as error:
        raise invalid_header(name, value, "a number") from error


def parse_pair(values: dict[bytes, bytes], name: bytes) -> tuple[int, int]:
    """Return a header that holds two whole numbers."""
    try:
        left, right = values[name].split(b",")
        return int(left), int(right)
    except ValueError as error:
        raise invalid_header(name, values[name], "two numbers separated by a comma") from error


def parse_parts(value: bytes, name: bytes) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt in order."""
    parts: list[PromptPart] = []
    try:
        for item in value.decode("latin-1").split(","):
            part, _, tokens = item.strip().rpartition(":")
            parts.append(PromptPart(part, int(tokens)))
    except ValueError as error:
        raise invalid_header(name, value, "ID:TOKENS entries separated by commas") from error
    return tuple(parts)


def parse_load(value: bytes | None) -> ServerLoad | None:
    """Return a load report; a malformed one says nothing."""
    if value is None:
        return None
    try:
        running, waiting, slots = (int(item) for item in value.split(b","))
    except ValueError:
        return None
    return ServerLoad(running, waiting, slots)


def invalid_header(name: bytes, value: bytes, expected: str) -> exceptions.InvalidRequestError:
    """Return the error for a header that cannot be read."""
    text = urllib.parse.quote_from_bytes(value[:64])
    return exceptions.InvalidRequestError(
        f"header {name.decode('latin-1')} holds {text!r}; send {expected}"
    )
