"""Records what an older build writes, and how it reads what the present code writes.

    git worktree add ../old COMMIT
    python tests/upgrade_records.py --old ../old

writes tests/upgrade_records.json, which tests/test_upgrade_records.py compares with the present
code. The script runs itself with either build, so it uses only what both have.
"""

import argparse
import json
import math
import os
import pathlib
import subprocess
import sys
import typing

import anyio
import msgspec
from dogwoodgap_platform import listings, names, records, store, wire
from thrift.transport import TTransport

from dogwoodgap import (
    body_memory,
    bootstrap,
    budget_records,
    budget_wire,
    budgets,
    crash_evidence,
    crashes,
    dialect,
    exceptions,
    file_source,
    followers,
    frames,
    hashing,
    ingress,
    members,
    ownership_order,
    pacing,
    peer_relay,
    permits,
    ring,
    routes,
    servers,
    source,
    stream_owners,
    upstream,
)
from dogwoodgap_wire import ttypes
from thrift import Thrift, TRecursive

FIXTURE = pathlib.Path(__file__).with_name("upgrade_records.json")
ROOT = pathlib.Path(__file__).parent.parent
TYPES = Thrift.TType
LINE_DEPTH = 4
"""Depth in the fixture from which a value is one line."""

LATER_FIELDS = (
    (1_000, TYPES.STRING, "later_text", "UTF8", None),
    (1_001, TYPES.LIST, "later_numbers", (TYPES.I64, None, False), None),
    (1_002, TYPES.MAP, "later_map", (TYPES.STRING, "UTF8", TYPES.DOUBLE, None, False), None),
    (1_003, TYPES.BOOL, "later_flag", None, None),
)
"""Fields that a later build might add to each message."""

LATER_VALUES = {
    "later_text": "later",
    "later_numbers": [1, -5],
    "later_map": {"a": 0.5},
    "later_flag": True,
}

Json = dict[str, typing.Any]
Fields = tuple[typing.Any, ...]


# The schema of messages, and messages of any schema


def structs() -> dict[str, type]:
    """Return all structs of the generated code by name."""
    return {name: value for name, value in generated().items() if hasattr(value, "thrift_spec")}


def generated() -> dict[str, type]:
    """Return the classes of the generated code by name."""
    return {
        name: value
        for name, value in vars(ttypes).items()
        if getattr(value, "__module__", "") == ttypes.__name__
    }


def schema() -> Json:
    """Return the fields of all structs, with their numbers and types, and the values of enums."""
    return {
        "structs": {
            name: [
                [number, kind, field, describe_type(kind, parameters), default]
                for number, kind, field, parameters, default in filter(None, struct.thrift_spec)
            ]
            for name, struct in structs().items()
        },
        "enums": {
            name: {str(number): text for number, text in value._VALUES_TO_NAMES.items()}
            for name, value in generated().items()
            if hasattr(value, "_VALUES_TO_NAMES")
        },
    }


def describe_type(kind: int, parameters: typing.Any) -> typing.Any:
    """Return the parameters of a field's type, with structs by name."""
    if kind == TYPES.STRUCT:
        return parameters[0].__name__
    if kind == TYPES.LIST:
        return [parameters[0], describe_type(parameters[0], parameters[1])]
    if kind == TYPES.MAP:
        return [*parameters[:2], parameters[2], describe_type(parameters[2], parameters[3])]
    return parameters


def build_classes(described: Json, later_fields: tuple[Fields, ...] = ()) -> dict[str, type]:
    """Return classes that the thrift library encodes and decodes by a schema.

    Parameters
    ----------
    later_fields : tuple of tuple
        Fields that are added to each struct except the union of messages.
    """
    classes = {name: message_class(name) for name in described["structs"]}

    def parameters(kind: int, value: typing.Any) -> typing.Any:
        if kind == TYPES.STRUCT:
            return [classes[value], None]
        if kind == TYPES.LIST:
            return (value[0], parameters(value[0], value[1]), False)
        if kind == TYPES.MAP:
            return (value[0], value[1], value[2], parameters(value[2], value[3]), False)
        return value

    for name, fields in described["structs"].items():
        added = () if name == "Message" else later_fields
        spec: list[Fields | None] = [None] * (1 + max([0, *(field[0] for field in fields)]))
        for number, kind, field, value, default in fields:
            spec[number] = (number, kind, field, parameters(kind, value), default)
        if added:
            spec += [None] * (added[0][0] - len(spec))
            spec += added
        classes[name].thrift_spec = tuple(spec)
    TRecursive.fix_spec(list(classes.values()))
    return classes


def message_class(name: str) -> type:
    """Return a class whose attributes are set to the defaults of its ``thrift_spec``."""

    def initialize(self: typing.Any) -> None:
        for _, _, field, _, default in filter(None, self.thrift_spec):
            setattr(self, field, default)

    return type(name, (), {"__init__": initialize})


def decode_with(classes: dict[str, type], frame: bytes) -> typing.Any:
    """Decode the envelope of a frame by a schema."""
    envelope = classes["Envelope"]()
    buffer = TTransport.TMemoryBuffer(frame[frames.LENGTH_PREFIX.size :])
    protocol = frames.PROTOCOL_FACTORY.getProtocol(buffer)
    protocol._fast_decode(envelope, protocol, [classes["Envelope"], envelope.thrift_spec])
    return envelope


def encode_with(classes: dict[str, type], envelope: typing.Any) -> bytes:
    """Encode an envelope as a frame by a schema."""
    protocol = frames.PROTOCOL_FACTORY.getProtocol(TTransport.TMemoryBuffer())
    body = protocol._fast_encode(envelope, [classes["Envelope"], envelope.thrift_spec])
    return frames.LENGTH_PREFIX.pack(len(body)) + body


def plain(value: typing.Any) -> typing.Any:
    """Return a message as JSON types, without absent fields; bytes become hexadecimal."""
    if hasattr(value, "thrift_spec"):
        fields = [spec[2] for spec in filter(None, value.thrift_spec)]
        return {
            field: plain(getattr(value, field))
            for field in fields
            if getattr(value, field) is not None
        }
    if isinstance(value, bytes):
        return {"hex": value.hex()}
    if isinstance(value, list):
        return [plain(item) for item in value]
    if isinstance(value, dict):
        return {key: plain(item) for key, item in value.items()}
    return value


# What a build writes


def filled(struct: type, *, is_zero: bool = False) -> typing.Any:
    """Return a struct with a value in each field: distinct ones, or zero and empty ones."""
    message = struct()
    for number, kind, field, parameters, _ in filter(None, struct.thrift_spec):
        label = f"{struct.__name__}.{field}"
        setattr(message, field, value_of(kind, parameters, number, label, is_zero))
    return message


def value_of(
    kind: int, parameters: typing.Any, number: int, label: str, is_zero: bool
) -> typing.Any:
    """Return a value of a thrift type."""
    if kind == TYPES.STRUCT:
        return filled(parameters[0], is_zero=is_zero)
    if kind == TYPES.LIST:
        item = value_of(parameters[0], parameters[1], number, label, is_zero)
        return [] if is_zero else [item, item]
    if kind == TYPES.MAP:
        item = value_of(parameters[2], parameters[3], number, label, is_zero)
        return {} if is_zero else {f"{label}é": item}
    if kind == TYPES.STRING:
        text = "" if is_zero else f"{label}é"
        return text.encode() if parameters == "BINARY" else text
    values = {
        TYPES.BOOL: True,
        TYPES.DOUBLE: number + 0.25,
        TYPES.I32: number % 3 + 1,
        TYPES.I64: number * -(2**40),
    }
    return type(values[kind])() if is_zero else values[kind]


SERVER = servers.BackendServer(
    "r-é", "model", "10.2.0.3:80", "d1", 5, True, 1_764_000_000_123, "v2"
)
PROCESS = ("r1", 1_764_000_000_123)
DIGEST = 0xF1E2D3C4B5A69788
CALL_HEADERS = [
    (b"host", b"h.example"),
    (b"attempt-id", b"a2"),
    (b"program-id", b"p1"),
    (b"session-id", b"s1"),
    (b"token-budget", b"4000"),
    (b"token-count", b"1166,290"),
    (b"prompt-prefix", b"5c1e07a2:512,0badcafe:654"),
    (b"resumes", b"a1"),
]


def example_table() -> routes.RouteTable:
    """Return routes and services of all kinds."""
    targets = (routes.Target("model", 3.0), routes.Target("plain"))
    return routes.RouteTable(
        7,
        [
            routes.Route(f"r{kind.name}", "h.example", f"/{kind.value}/", kind, targets, 1.5, 0.2)
            for kind in routes.RouteKind
        ]
        + [
            routes.Route(
                "all",
                "g.example",
                "/",
                routes.RouteKind.STREAMING,
                (routes.Target("model"),),
                4.0,
                0.5,
                priority=2,
                max_runs=3,
                prompts=True,
                resumable=True,
            )
        ],
        [routes.Service("plain", 40), routes.Service("model", 9, routes.Engine(16, 9_000, 10))],
        routes.Limits(10_000, 2_000_000, 2.5, 12.0),
    )


async def example_messages() -> Json:
    """Return messages that a gateway makes from its own state."""
    member = members.Member("g1", "b1", "d1", "10.1.0.1:80", "10.1.0.1:7", 1_764_000_000_000)
    account = budgets.Account(
        4_000,
        usage={"c1": 1_200, "c2": 7},
        copy_id="c1",
        reservations={"a1": budgets.Reservation(290, 0.0)},
        recorded=1_600,
        revision=12,
        assumed=393,
    )
    record = source.BudgetRecord("p1", 4_000, 1_600, 12)
    coordinator = permits.PermitCoordinator()
    limit = ttypes.ServerLimit(server="r1", started_ms=PROCESS[1], version=4, per_second=5.8)
    coordinator.merge(limit, "g2")
    registry = servers.ServerRegistry(2.0)
    streams = stream_owners.StreamRecorder(registry)
    registry.apply(servers.Listing(1, (SERVER,)))
    streams.records["a1"] = "v2"
    query = ttypes.StreamQuery(attempt="a1", service_name="model", window=10.0)
    answer = await streams.on_query(member.to_wire(), query)
    answer.age = 12.5
    listing = ttypes.ServerListing(revision=41, age_ms=12, servers=[followers.to_wire(SERVER)])
    return {
        "member": ttypes.Hello(member=member.to_wire(), protocol_version=frames.PROTOCOL_VERSION),
        "account": ttypes.TokenTransfer(accounts=[budget_wire.to_wire("p1", account)]),
        "record": ttypes.TokenRecords(
            records=[budget_wire.record_to_wire(budget_records.CachedRecord(record, 0.0, 1_900))]
        ),
        "crash": crashes.to_wire(DIGEST, PROCESS, True, 2.5),
        "limit": coordinator.to_wire(PROCESS),
        "stream": ttypes.StreamRecord(attempt="a1", software_version="v2"),
        "versions": answer,
        "fleet": ttypes.FleetFetchReply(
            routes=bootstrap.encode_table(example_table()), listing=listing
        ),
    }


async def write_frames() -> dict[str, bytes]:
    """Return frames of all messages: full ones, zero and empty ones, and those of a gateway."""
    written: dict[str, bytes] = {}
    for struct, field in frames.UNION_FIELDS.items():
        written[f"{field}/full"] = frames.encode(2**33, filled(struct), reply=True)
        written[f"{field}/zero"] = frames.encode(1, filled(struct, is_zero=True))
        written[f"{field}/empty"] = frames.encode(0, struct())
    for name, message in (await example_messages()).items():
        written[f"gateway/{name}"] = frames.encode(5, message)
    return written


def add_later_fields(frame: bytes) -> bytes:
    """Return a frame as a later build might send it, with further fields in each message."""
    classes = build_classes(schema(), LATER_FIELDS)

    def extend(value: typing.Any) -> None:
        if isinstance(value, list | dict):
            for item in value.values() if isinstance(value, dict) else value:
                extend(item)
        if hasattr(value, "thrift_spec"):
            for spec in filter(None, value.thrift_spec):
                extend(getattr(value, spec[2]))
                if spec[2] in LATER_VALUES:
                    setattr(value, spec[2], LATER_VALUES[spec[2]])

    envelope = decode_with(classes, frame)
    extend(envelope)
    return encode_with(classes, envelope)


def later_message() -> bytes:
    """Return a frame with a message that is not in the union yet."""
    described = schema()
    described["structs"]["LaterMessage"] = [[1, TYPES.I64, "number", None, None]]
    described["structs"]["Message"].append(
        [1_000, TYPES.STRUCT, "later_message", "LaterMessage", None]
    )
    classes = build_classes(described)
    envelope = classes["Envelope"]()
    envelope.request_id = 3
    envelope.message = classes["Message"]()
    envelope.message.later_message = classes["LaterMessage"]()
    envelope.message.later_message.number = 7
    return encode_with(classes, envelope)


class RecordingStore(store.PlatformStore):
    """Records the objects that are written, and returns them as stored."""

    def __init__(self) -> None:
        self.written: list[Json] = []

    async def request(
        self, method: str, path: str, response_type: type, **options: typing.Any
    ) -> typing.Any:
        """Record the body of a request."""
        self.written.append({"method": method, "path": path, "body": options["json"]})
        return wire.StoredObject(wire.Metadata(options["json"]["metadata"]["name"], 12))


async def write_objects() -> list[Json]:
    """Return the objects of budgets and crashes as written to the platform's store."""
    client = RecordingStore()
    budget = records.PlatformBudgetRecords(client)
    await budget.write(source.BudgetRecord("p1", 4_000, 1_600, 0))
    await budget.write(source.BudgetRecord("p1", 4_000, 2_000, 12))
    crash = source.CrashRecord(DIGEST, (PROCESS, ("r-2", 0)), 1_764_000_000.25)
    await records.PlatformCrashRecords(client).create(crash)
    return client.written


def write_headers() -> Json:
    """Return the headers between gateways: of a request, and of a response that it adds to."""
    codec = dialect.HeaderCodec(names.HEADERS)
    call = codec.decode_call(b"POST", b"/turns/1", CALL_HEADERS, 0.0)
    request = codec.encode_call(call, None, 1.5, b"12")
    priority = pacing.TurnPriority.LATE
    request.append((peer_relay.PRIORITY_HEADER, str(int(priority)).encode()))
    head = upstream.ResponseHead(200, [(b"attempt-id", b"a2")], codec.decode_response([]))
    peer_relay.add_departure(head, ("r-é", PROCESS[1]))
    return {
        name: [[key.decode("latin-1"), value.decode("latin-1")] for key, value in headers]
        for name, headers in {"request": request, "response": head.headers}.items()
    }


async def write_agreed() -> Json:
    """Return values that gateways compute each by itself and compare or rely on."""
    nodes = [f"gateway-{number}" for number in range(20)]
    member = members.Member("g1", "b1", "d1", "10.1.0.1:80", "10.1.0.1:7", 1_764_000_000_000)
    evidence = crash_evidence.EvidenceTable(servers.ServerRegistry(2.0))
    evidence.add(DIGEST, PROCESS, ended=True)
    tracker = crashes.CrashTracker(servers.ServerRegistry(2.0), file_source.InMemoryCrashRecords())
    codec = dialect.HeaderCodec(names.HEADERS)
    call = codec.decode_call(b"POST", b"/turns/1", CALL_HEADERS, 0.0)
    route = example_table().match("h.example", "/streaming/x")
    order = ownership_order.OwnershipOrder(stream_owners.OWNERS)
    return {
        "digest of a listing": followers.entries_digest((SERVER,)),
        "digest of members": members.MemberTable(member, 1.0).digest(),
        "digest of crashes": evidence.digest(),
        "digest of a request": f"{tracker.digest(call):016x}",
        "owners of a program": order.first("p1", frozenset(nodes)),
        "partners of a node": sorted(ring.Ring(nodes).partners(nodes[0])),
        "delegates of a node": [
            [partner, f"{end:016x}"]
            for partner, end in ring.Ring(nodes).delegates(
                nodes[0], ring.Ring(nodes).partners(nodes[0]), hashing.stable_hash(nodes[0])
            )
        ],
        "services of callers": [route.choose_service(f"s{number}") for number in range(8)],
    }


async def write() -> Json:
    """Return all that a build writes."""
    return {
        "schema": schema(),
        "frames": {name: frame.hex() for name, frame in (await write_frames()).items()},
        "objects": await write_objects(),
        "headers": write_headers(),
        "agreed": await write_agreed(),
    }


async def write_later() -> Json:
    """Return all that a build writes, and what a later one with more fields would write."""
    written = await write()
    del written["schema"]
    for name, frame in list(written["frames"].items()):
        if name.endswith(("/zero", "/empty")):
            continue
        written["frames"][f"{name}/later"] = add_later_fields(bytes.fromhex(frame)).hex()
    written["frames"]["later_message"] = later_message().hex()
    for item in list(written["objects"]):
        body = json.loads(json.dumps(item["body"]))
        body["metadata"]["later"] = body["spec"]["later"] = body["later"] = {"a": [1]}
        written["objects"].append({**item, "body": body})
    return written


# How a build reads


async def read(written: Json) -> Json:
    """Return how this build understands what another one wrote."""
    return {
        "frames": {
            name: read_frame(bytes.fromhex(frame)) for name, frame in written["frames"].items()
        },
        "gateway": {
            name: await read_message(
                frames.decode(bytes.fromhex(frame)[frames.LENGTH_PREFIX.size :]).message
            )
            for name, frame in written["frames"].items()
            if name.startswith("gateway/")
        },
        "objects": [read_object(item) for item in written["objects"]],
        "headers": read_headers(written["headers"]),
    }


def read_frame(frame: bytes) -> Json:
    """Return the message of a frame, or the error that closes the connection."""
    buffer = frames.FrameBuffer()
    buffer.feed(frame)
    try:
        decoded = buffer.next_frame()
    except exceptions.FrameMalformedError as error:
        return {"error": type(error).__name__}
    if decoded is None:
        return {"error": "incomplete"}
    field = frames.UNION_FIELDS[type(decoded.message)]
    return {
        "request_id": decoded.request_id,
        "reply": decoded.reply,
        "message": {field: plain(decoded.message)},
    }


async def read_message(message: typing.Any) -> typing.Any:
    """Return what a gateway takes from a message that another one made from its state."""
    readers: dict[type, typing.Callable[[typing.Any], typing.Any]] = {
        ttypes.Hello: lambda hello: read_member(hello.member),
        ttypes.TokenTransfer: lambda transfer: [read_account(item) for item in transfer.accounts],
        ttypes.TokenRecords: lambda sent: [
            read_fields(record.record) | {"announced": record.announced}
            for record in map(budget_wire.record_from_wire, sent.records)
        ],
        ttypes.ServerCrash: read_crash,
        ttypes.ServerLimit: read_limit,
        ttypes.StreamQueryReply: plain,
        ttypes.FleetFetchReply: read_fleet,
    }
    if isinstance(message, ttypes.StreamRecord):
        streams = stream_owners.StreamRecorder(servers.ServerRegistry(2.0))
        await streams.on_record(ttypes.Member(node="g2"), message)
        return dict(streams.records)
    return json.loads(json.dumps(readers[type(message)](message)))


def read_fields(value: typing.Any) -> Json:
    """Return a dataclass of the gateway as JSON types."""
    return msgspec.to_builtins(value)


def read_member(wire_member: ttypes.Member) -> Json:
    """Return what a gateway knows of another one."""
    member = members.from_wire(wire_member)
    fields = ("node", "boot", "data_centre", "http_address", "peer_address", "incarnation")
    return {name: getattr(member, name) for name in fields} | {"status": int(member.status)}


def read_account(message: ttypes.TokenAccount) -> Json:
    """Return the account that a gateway takes over."""
    account = budget_wire.from_wire(message)
    fields = ("budget", "usage", "recorded", "revision", "assumed", "spent", "committed")
    return {name: getattr(account, name) for name in fields} | {
        "reservations": {name: item.tokens for name, item in account.reservations.items()}
    }


def read_crash(message: ttypes.ServerCrash) -> Json:
    """Return the crashes that a gateway knows after a message."""
    tracker = crashes.CrashTracker(servers.ServerRegistry(2.0), file_source.InMemoryCrashRecords())
    is_news = tracker.apply_message(message)
    return {
        "is_news": is_news,
        "ended": tracker.evidence.ended_processes(DIGEST),
        "crashes": tracker.evidence.crashes(DIGEST),
    }


def read_limit(message: ttypes.ServerLimit) -> Json:
    """Return the limit of a server that a gateway keeps after a message."""
    coordinator = permits.PermitCoordinator()
    is_news = coordinator.merge(message, "g2")
    return {"is_news": is_news, "per_second": coordinator.limits.per_second(PROCESS)}


def read_fleet(message: ttypes.FleetFetchReply) -> Json:
    """Return the routes and servers that a starting gateway takes over."""
    table = bootstrap.decode_table(message.routes)
    return {
        "version": table.version,
        "routes": [
            read_fields(route) for found in table.by_host.values() for route in found.values()
        ],
        "services": [read_fields(service) for service in table.services.values()],
        "limits": read_fields(table.limits),
        "servers": [read_fields(followers.from_wire(item)) for item in message.listing.servers],
    }


def read_object(item: Json) -> Json:
    """Return the record that an object of the store holds, read from a list."""
    body = json.loads(json.dumps(item["body"]))
    body["metadata"].setdefault("rev", 12)
    page = json.dumps({"items": [body], "storeRevision": 14}).encode()
    stored = listings.decode_objects(listings.decode(page, wire.Page))
    is_budget = item["path"].startswith(names.BUDGETS_KIND)
    decoder = records.decode if is_budget else records.decode_crash
    found = listings.decode_each(stored, decoder)
    return {"records": json.loads(json.dumps([read_fields(record) for record in found]))}


def read_headers(headers: Json) -> Json:
    """Return what a gateway takes from the headers of another one."""
    request, response = (
        [(key.encode("latin-1"), value.encode("latin-1")) for key, value in headers[name]]
        for name in ("request", "response")
    )
    holding = body_memory.BodyMemory(math.inf).hold()
    received = ingress.Request(b"POST", b"/turns/1", request, b"", 0.0, holding)
    relayed = peer_relay.decode_relayed(received)
    codec = dialect.HeaderCodec(names.HEADERS)
    call = codec.decode_call(b"POST", b"/turns/1", relayed.request.headers, 0.0)
    head = upstream.ResponseHead(200, response, codec.decode_response(response))
    departure = peer_relay.remove_departure(head)
    fields = (
        "attempt_id",
        "host",
        "deadline_at",
        "program_id",
        "session_id",
        "token_budget",
        "prompt_tokens",
        "max_output_tokens",
        "resumed_attempt",
    )
    return {
        "priority": relayed.turn_priority.name,
        "call": {name: getattr(call, name) for name in fields}
        | {"last_event_id": call.last_event_id.decode()},
        "departure": departure,
        "left": [[key.decode("latin-1"), value.decode("latin-1")] for key, value in head.headers],
    }


# Recording


def run_with(build: pathlib.Path, action: str, data: Json | None = None) -> Json:
    """Run an action of this script with the code of a build, and return its result."""
    path = os.pathsep.join([str(build / "src"), str(build / "platform")])
    finished = subprocess.run(
        [sys.executable, __file__, "--action", action],
        input=json.dumps(data),
        env={**os.environ, "PYTHONPATH": path},
        stdout=subprocess.PIPE,
        text=True,
        check=True,
    )
    result = json.loads(finished.stdout)
    if pathlib.Path(result.pop("code")).resolve().parent.parent.parent != build.resolve():
        raise RuntimeError(f"another build than {build} was imported; run without an installed one")
    return result


def commit_of(build: pathlib.Path) -> str:
    """Return the commit that is checked out in a folder."""
    command = ["git", "-C", str(build), "rev-parse", "--short", "HEAD"]
    return subprocess.run(command, stdout=subprocess.PIPE, text=True, check=True).stdout.strip()


def record(old: pathlib.Path) -> None:
    """Write the fixture from an old build and the present code."""
    written = run_with(old, "write")
    present = run_with(ROOT, "write-later")
    fixture = {
        "old": {"commit": commit_of(old), **written, "read": run_with(old, "read", written)},
        "present": {"commit": commit_of(ROOT), **present},
        "present_read_by_old": run_with(old, "read", present),
    }
    FIXTURE.write_text(format_json(fixture) + "\n")


def format_json(value: typing.Any, depth: int = 0) -> str:
    """Return JSON with one line for each message, so that changes are readable in diffs."""
    if not isinstance(value, dict) or depth == LINE_DEPTH:
        return json.dumps(value, sort_keys=True, ensure_ascii=False)
    indent = " " * (depth + 1)
    lines = [
        f"{indent}{json.dumps(key)}: {format_json(value[key], depth + 1)}" for key in sorted(value)
    ]
    return "{\n" + ",\n".join(lines) + f"\n{' ' * depth}}}"


async def act(action: str, data: Json | None) -> Json:
    """Return the result of an action with the imported build."""
    if action == "read":
        return await read(data)
    return await (write_later() if action == "write-later" else write())


def main() -> None:
    """Record the fixture, or run one action with the imported build."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--old", type=pathlib.Path, help="checkout of the old build")
    parser.add_argument("--action", choices=["write", "write-later", "read"])
    arguments = parser.parse_args()
    if arguments.action is None:
        record(arguments.old)
        return
    result = anyio.run(act, arguments.action, json.load(sys.stdin))
    print(json.dumps({**result, "code": frames.__file__}))


if __name__ == "__main__":
    main()
