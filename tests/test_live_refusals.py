"""Invalid requests on real sockets: each gets a typed error, and a running stream continues."""

import asyncio
import json

import anyio
import live
import test_live

from dogwoodgap import bodies

MESSAGES = [{"role": "user", "content": "photo of the roof"}]
CALL = {"seq": 1, "messages": MESSAGES, "max_tokens": 2}
TOKENS = 1_000
SLOW_TOKENS_PER_S = 20.0
FAST_TOKENS_PER_S = 5_000.0
"""The stream is slow until all invalid requests are answered, and fast afterwards."""

PROGRAM = {"service": "agent-llm"}

CASES = [
    # method, path, content, status, code, not_run
    ("POST", "/v1/programs", b'{"service": ', 400, "invalid-request", True),
    ("POST", "/v1/programs", b"[1]", 400, "invalid-request", True),
    ("POST", "/v1/programs", {**PROGRAM, "colour": "red"}, 400, "invalid-request", True),
    ("POST", "/v1/programs", {**PROGRAM, "budget_tokens": "many"}, 400, "invalid-request", True),
    ("POST", "/v1/programs", {"service": "nowhere"}, 404, "unknown-service", True),
    ("POST", "/v1/programs", {**PROGRAM, "profile": "nowhere"}, 404, "unknown-profile", True),
    ("POST", "/v1/programs/nowhere/calls", CALL, 404, "unknown-program", True),
    ("POST", "/v1/programs/used/calls", {**CALL, "max_tokens": 3}, 409, "sequence-conflict", True),
    ("POST", "/v1/programs/used/calls", {**CALL, "seq": 9}, 409, "sequence-gap", True),
    ("POST", "/v1/programs/used/calls", b"\xff\xfe", 400, "invalid-request", True),
    ("POST", "/v1/programs", b" " * 10_000_000, 413, "body-too-large", True),
    ("POST", "/v1/programs/ended/calls", {**CALL, "seq": 2}, 409, "program-finished", True),
    (
        "POST",
        "/v1/programs/ended/actions/crew-app/bookings",
        {"seq": 2, "payload": {}, "idempotent": True},
        409,
        "program-finished",
        True,
    ),
    ("POST", "/v1/actions/crew-app/bookings", {"payload": {}}, 400, "invalid-request", True),
    ("POST", "/v1/actions/nowhere/x", {"idempotent": True}, 404, "unknown-service", True),
    ("PATCH", "/v1/programs", b"", 405, "method-not-allowed", True),
    ("GET", "/nowhere", b"", 404, "not-found", True),
    ("PUT", "/admin/v1/profiles/default", {"max_turns": 2}, 403, "forbidden", True),
]


SLOW_SENDER_CASES = [
    ("/v1/programs", live.CALLER_KEY),
    ("/admin/v1/configuration/rollback", live.ADMIN_KEY),
]


def check_problem(reply, status: int, code: str, not_run) -> None:
    """Check that a response is a problem document with a status, a code and ``not_run``."""
    assert reply.headers["content-type"] == "application/problem+json"
    problem = reply.json()
    found = (reply.status_code, problem["code"], problem["not_run"])
    assert found == (status, code, not_run), problem
    assert problem["detail"]


async def read_stream(fleet: live.LiveFleet, events: list[str]) -> None:
    """Stream one long answer and append its events."""
    async with fleet.client() as http:
        body = {"seq": 1, "messages": MESSAGES, "max_tokens": TOKENS, "stream": True}
        async with http.stream("POST", "/v1/programs/streamed/calls", json=body) as reply:
            async for line in reply.aiter_lines():
                if line.startswith("data: "):
                    events.append(json.loads(line[6:]))


async def create_programs(http) -> None:
    """Create a program with one call, one that has ended, and one to stream from."""
    for name in ("used", "ended", "streamed"):
        reply = await http.post("/v1/programs", json={**PROGRAM, "id": name})
        assert reply.status_code == 201
    for name in ("used", "ended"):
        assert (await http.post(f"/v1/programs/{name}/calls", json=CALL)).status_code == 200
    await http.delete("/v1/programs/ended")


async def send_slowly(fleet: live.LiveFleet, path: str, key: str) -> bytes:
    """Announce a body, send only its beginning, and return the response."""
    host, port = fleet.http_addresses[0].split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    request_head = (
        f"POST {path} HTTP/1.1\r\nHost: {fleet.http_addresses[0]}\r\nContent-Length: 99\r\n"
    )
    writer.write(f'{request_head}If-Match: "1"\r\nAuthorization: Bearer {key}\r\n\r\n{{'.encode())
    answer = await reader.readuntil(b"}")
    writer.close()
    return answer


async def revoke_caller_key(fleet: live.LiveFleet) -> None:
    """Remove the caller's key from the configuration."""
    async with fleet.client(live.ADMIN_KEY) as admin:
        etag = (await admin.get("/admin/v1/configuration")).headers["etag"]
        reply = await admin.delete("/admin/v1/keys/perch", headers={"If-Match": etag})
        assert reply.status_code == 200, reply.text


def test_bad_input_is_refused_and_a_stream_goes_on(monkeypatch):
    """Guards against untyped errors, a wrong not_run, and a stream that bad input interrupts."""
    monkeypatch.setattr(bodies, "BODY_TIMEOUT_S", 0.3)

    async def main():
        async with live.run_fleet() as fleet, fleet.client() as http:
            await create_programs(http)
            fleet.engine.decode_tokens_per_s = SLOW_TOKENS_PER_S
            events = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(read_stream, fleet, events)
                await live.wait_until(lambda: events)
                for method, path, content, status, code, not_run in CASES:
                    data = content if isinstance(content, bytes) else json.dumps(content).encode()
                    reply = await http.request(method, path, content=data)
                    check_problem(reply, status, code, not_run)
                for path, key in SLOW_SENDER_CASES:
                    slow = await send_slowly(fleet, path, key)
                    assert b" 408 " in slow
                    assert b'"slow-sender"' in slow
                check_problem(
                    await http.get("/v1/entries", headers={"Authorization": "Bearer x"}),
                    401,
                    "unauthorized",
                    True,
                )
                async with fleet.client(live.ADMIN_KEY) as admin:
                    await check_invalid_configurations(admin)
                await revoke_caller_key(fleet)
                check_problem(
                    await http.post("/v1/programs", json=PROGRAM), 401, "unauthorized", True
                )
                assert len(events) < TOKENS, "the stream ended before the bad input"
                fleet.engine.decode_tokens_per_s = FAST_TOKENS_PER_S
            assert [event["index"] for event in events[:-1]] == list(range(TOKENS))
            assert events[-1]["turn"]["output_tokens"] == TOKENS

    async def check_invalid_configurations(admin):
        """Send invalid configurations; the current one must stay."""
        before = await admin.get("/admin/v1/configuration")
        headers = {"If-Match": before.headers["etag"]}
        document = before.json()
        invalid_documents = [
            {**document, "colours": {}},
            {**document, "profiles": {"default": {"max_turns": "many"}}},
            {**document, "customers": []},
        ]
        for body in invalid_documents:
            reply = await admin.put("/admin/v1/configuration", json=body, headers=headers)
            check_problem(reply, 422, "settings-invalid", True)
        reply = await admin.put("/admin/v1/configuration", content=b"{", headers=headers)
        check_problem(reply, 400, "invalid-request", True)
        content = b" " * 10_000_000
        reply = await admin.put("/admin/v1/configuration", content=content, headers=headers)
        check_problem(reply, 413, "body-too-large", True)
        after = await admin.get("/admin/v1/configuration")
        assert after.headers["etag"] == before.headers["etag"]

    test_live.run(main)
