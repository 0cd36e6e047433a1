"""The callers' HTTP interface over ASGI: errors, streams, forwarding and completions."""

import json

import anyio
import callers
import httpx
import pytest
import virtual_time
from test_actions import make_action

from dogwoodgap import exceptions, forwarding, models

AUTH = {"Authorization": f"Bearer {callers.KEY}"}
KEYED = AUTH | {"Idempotency-Key": "k1"}
CALL = {"seq": 1, "messages": [{"role": "user", "content": "hello"}], "max_tokens": 3}


def connect(application):
    """Return an HTTP client of an application."""
    transport = httpx.ASGITransport(application)
    return httpx.AsyncClient(transport=transport, base_url="http://n1", headers=AUTH)


def events_of(reply):
    """Return the server-sent events of a reply."""
    lines = reply.text.splitlines()
    names = [line.removeprefix("event: ") for line in lines if line.startswith("event: ")]
    data = [json.loads(line[6:]) for line in lines if line.startswith("data: {")]
    return list(zip(names, data, strict=True))


PROGRAM = "/v1/programs/p"
BAD_REQUESTS = [
    ("GET", "/nope", {}, None, 404, "not-found"),
    ("DELETE", "/v1/programs", {}, None, 405, "method-not-allowed"),
    ("GET", PROGRAM, {"Authorization": ""}, None, 401, "unauthorized"),
    ("GET", PROGRAM, {"Authorization": "Bearer wrong"}, None, 401, "unauthorized"),
    ("GET", PROGRAM, {"Authorization": "Bearer old"}, None, 401, "unauthorized"),
    ("GET", PROGRAM, {"Authorization": "Bearer viewer"}, None, 403, "forbidden"),
    ("GET", "/v1/programs/nope", {}, None, 404, "unknown-program"),
    ("POST", "/v1/programs", {}, "{", 400, "invalid-request"),
    ("POST", "/v1/programs", {}, b"\xff", 400, "invalid-request"),
    ("POST", "/v1/programs", {}, {"service": "llm", "more": 1}, 400, "invalid-request"),
    ("POST", "/v1/programs", {}, {"service": "plain"}, 404, "unknown-service"),
    ("POST", "/v1/programs", {}, {"service": "llm", "profile": "x"}, 404, "unknown-profile"),
    ("POST", "/v1/programs", {}, {"service": "llm", "parent": "x"}, 404, "unknown-program"),
    ("POST", "/v1/programs", {}, {"service": "llm", "id": "a.b"}, 400, "invalid-request"),
    ("POST", "/v1/programs", {}, "x" * 5000, 413, "body-too-large"),
    ("POST", f"{PROGRAM}/calls", {}, CALL | {"seq": 0}, 400, "invalid-request"),
    ("POST", f"{PROGRAM}/calls", {}, CALL | {"seq": 3}, 409, "sequence-gap"),
    ("POST", f"{PROGRAM}/calls", {}, CALL | {"max_tokens": 4}, 409, "sequence-conflict"),
    ("POST", f"{PROGRAM}/calls", {}, CALL | {"seq": 2, "max_tokens": 9999}, 402, "budget-exceeded"),
    ("POST", f"{PROGRAM}/actions/plain/x", KEYED, {}, 400, "invalid-request"),
    ("POST", f"{PROGRAM}/actions/plain/x", {}, {"seq": 2}, 400, "invalid-request"),
    ("POST", f"{PROGRAM}/actions/llm/x", KEYED, {"seq": 2}, 404, "unknown-service"),
    ("POST", f"{PROGRAM}/actions/plain/x", KEYED, {"seq": 1}, 409, "sequence-conflict"),
    ("POST", "/v1/programs/ended/actions/plain/x", KEYED, {"seq": 1}, 409, "program-finished"),
    ("POST", "/v1/programs/ended/calls", {}, CALL, 409, "program-finished"),
    ("POST", "/v1/programs/ended/heartbeat", {}, None, 409, "program-finished"),
    ("POST", "/v1/actions/plain/x", {"Idempotency-Key": "a b"}, {}, 400, "invalid-request"),
    ("POST", "/v1/actions/plain/x", KEYED, '{"payload":' + "[" * 900 + "}", 400, "invalid-request"),
    (
        "POST",
        "/v1/actions/plain/x",
        {"Idempotency-Key": "used"},
        {"payload": 2},
        409,
        "key-conflict",
    ),
    ("POST", "/v1/chat/completions", {}, {"model": "x", "messages": [{}]}, 400, "invalid-request"),
    (
        "POST",
        "/v1/chat/completions",
        {"Dogwoodgap-Program": "p"},
        {"model": "llm", "messages": [{"role": "user", "content": "other"}]},
        409,
        "history-mismatch",
    ),
]


def test_every_bad_request_gets_a_problem_with_the_right_code():
    """Guards against errors without a code, and against "not run" for something that ran."""

    async def main():
        async with callers.harness() as node, connect(node.app()) as http:
            await http.post("/v1/programs", json={"id": "p", "service": "llm", "budget_tokens": 99})
            assert (await http.post(f"{PROGRAM}/calls", json=CALL)).status_code == 200
            await http.post("/v1/programs", json={"id": "ended", "service": "llm"})
            await http.delete("/v1/programs/ended")
            await http.post(
                "/v1/actions/plain/x", json={"payload": 1}, headers={"Idempotency-Key": "used"}
            )
            ran = len(node.engine.requests), len(node.service.ledger)
            for method, path, headers, body, status, code in BAD_REQUESTS:
                content = json.dumps(body) if isinstance(body, dict) else body
                reply = await http.request(method, path, headers=headers, content=content)
                case = f"{method} {path} {body}"
                assert reply.headers["content-type"] == "application/problem+json", case
                problem = reply.json()
                assert (reply.status_code, problem["code"]) == (status, code), case
                assert problem["not_run"] is True, case
                assert (len(node.engine.requests), len(node.service.ledger)) == ran, case

    virtual_time.run(main)


def test_slow_sender_times_out():
    """Guards against requests that stay open forever because their body never arrives."""

    async def main():
        sent = []
        async with callers.harness() as node:
            scope = {
                "type": "http",
                "method": "POST",
                "path": "/v1/programs",
                "headers": [(b"authorization", AUTH["Authorization"].encode())],
                "query_string": b"",
            }

            async def send(message):
                sent.append(message)

            await node.app()(scope, anyio.sleep_forever, send)
        assert sent[0]["status"] == 408

    virtual_time.run(main)


def test_unexpected_error_becomes_a_logged_problem(caplog):
    """Guards against a 500 without a problem document, and against an error that is not logged."""

    async def main():
        async with callers.harness() as node:
            application = node.app()
            node.lifecycle.create = None
            async with connect(application) as http:
                reply = await http.post("/v1/programs", json={"service": "llm"})
            assert (reply.status_code, reply.json()["code"]) == (500, "internal-error")
            assert reply.json()["not_run"] == "unknown"

    virtual_time.run(main)
    assert [record.event_name for record in caplog.records] == ["REQUEST_FAILED"]


def test_stream_sends_tokens_then_the_stored_turn_and_forwards_the_trace():
    """Guards against a stream that ends without its turn, and against a lost trace id."""

    async def main():
        async with callers.harness() as node, connect(node.app()) as http:
            await http.post("/v1/programs", json={"id": "p", "service": "llm"})
            reply = await http.post(
                f"{PROGRAM}/calls", json=CALL | {"stream": True}, headers={"traceparent": "00-a"}
            )
            *tokens, done = events_of(reply)
            assert [data["index"] for _, data in tokens] == [0, 1, 2]
            assert done[0] == "done"
            assert done[1]["turn"]["text"] == "".join(data["text"] for _, data in tokens)
            assert node.engine.requests[0][1].trace == "00-a"
            node.engine.script = [callers.ScriptedAnswer(break_after=0)] * 3
            reply = await http.post(f"{PROGRAM}/calls", json=CALL | {"seq": 2, "stream": True})
            name, problem = events_of(reply)[-1]
            assert (name, problem["code"]) == ("error", "runner-failed")
            assert problem["not_run"] == "unknown"

    virtual_time.run(main)


def test_chat_continues_a_named_program_and_ends_an_unnamed_one():
    """Guards against mixed histories, second runs of a repeated chat, and programs left active."""

    async def main():
        async with callers.harness() as node, connect(node.app()) as http:
            await http.post("/v1/programs", json={"id": "p", "service": "llm"})
            program_header = {"Dogwoodgap-Program": "p"}
            messages = [{"role": "user", "content": "hello"}]
            for _ in range(2):
                body = {"model": "llm", "messages": messages, "max_tokens": 2}
                reply = (
                    await http.post("/v1/chat/completions", json=body, headers=program_header)
                ).json()
                assert reply["choices"][0]["message"]["content"] == "w0 w1 "
            assert len(node.engine.requests) == 1
            messages = [*messages, reply["choices"][0]["message"]]
            parts = [{"type": "text", "text": "mo"}, {"type": "text", "text": "re"}]
            body["messages"] = [*messages, {"role": "user", "content": parts}]
            assert (
                await http.post("/v1/chat/completions", json=body, headers=program_header)
            ).is_success
            sent = [text.content for text in node.engine.requests[1][1].messages]
            assert sent == ["hello", "w0 w1 ", "more"]
            reply = await http.post("/v1/chat/completions", json=body | {"stream": True})
            assert reply.text.endswith("data: [DONE]\n\n")
            await anyio.sleep(1)
            own = await http.get(f"/v1/programs/{reply.headers['dogwoodgap-program']}")
            assert own.json()["status"] == "finished"
            assert node.engine.released

    virtual_time.run(main)


class RemoteOwnership:
    """Ownership of a node that owns no shard; ``node`` owns all shards, or nobody if empty."""

    def __init__(self, node):
        self.node = node

    def owns(self, shard):
        return False

    def owner(self, shard):
        return forwarding.Owner(self.node, "b") if self.node else None


class HostTransport(httpx.AsyncBaseTransport):
    """Sends requests to applications by host; an unknown host refuses connections."""

    def __init__(self, applications):
        self.applications = applications
        self.read_timeouts = []

    async def handle_async_request(self, request):
        self.read_timeouts.append(request.extensions["timeout"]["read"])
        application = self.applications.get(request.url.host)
        if application is None:
            raise httpx.ConnectError("refused", request=request)
        return await httpx.ASGITransport(application).handle_async_request(request)


def test_request_is_forwarded_to_the_owner():
    """Guards against work on a node that does not own the shard, and against forwarding loops."""

    async def main():
        async with callers.harness() as owner, callers.harness(name="n2") as node:
            applications = {"n1": owner.app()}
            node.addresses = {"n1": "http://n1", "n2": "http://n2"}
            node.ownership = RemoteOwnership("n1")
            hosts = HostTransport(applications)
            applications["n2"] = node.app("n2", httpx.AsyncClient(transport=hosts))
            async with connect(applications["n2"]) as http:
                await http.post("/v1/programs", json={"id": "p", "service": "llm"})
                reply = await http.post(f"{PROGRAM}/calls", json=CALL | {"stream": True})
                assert events_of(reply)[-1][0] == "done"
                # A queued call may send nothing for as long as its deadline allows.
                assert hosts.read_timeouts[-1] > models.Profile().call_deadline_seconds
                reply = await http.post(f"{PROGRAM}/calls", json=CALL | {"seq": 7})
                assert reply.json()["code"] == "sequence-gap"
                reply = await http.post("/v1/actions/plain/x", json={}, headers=KEYED)
                assert reply.json()["status"] == 200
                assert (len(owner.service.ledger), len(node.service.ledger)) == (1, 0)
                urgent = {"idempotent": True, "urgent": True}
                del applications["n1"]
                assert (await http.post(f"{PROGRAM}/actions/plain/x", json=urgent)).is_success
                reply = await http.get(PROGRAM)
                assert (reply.json()["code"], reply.json()["not_run"]) == ("not-owner", True)
                assert reply.headers["retry-after"] == "1"
                node.forwarder.ownership = RemoteOwnership("n2")
                assert (await http.get(PROGRAM)).json()["code"] == "hop-limit"
                node.forwarder.ownership = RemoteOwnership("")
                assert (await http.get(PROGRAM)).json()["code"] == "not-owner"

    virtual_time.run(main)


def test_request_waits_while_its_shard_is_loaded():
    """Guards against a node that forwards to itself while it loads a shard that it acquired."""

    async def main():
        async with callers.harness() as node, connect(node.app()) as http:
            await http.post("/v1/programs", json={"id": "p", "service": "llm"})
            node.forwarder.ownership = RemoteOwnership("n1")
            node.forwarder.name = "n1"
            reply = await http.get(PROGRAM)
            assert reply.json()["code"] == "not-owner"
            node.tasks.start_soon(finish_loading, node)
            assert (await http.get(PROGRAM)).status_code == 200

    virtual_time.run(main)


async def finish_loading(node):
    """Let the node serve its shards after one second."""
    await anyio.sleep(1.0)
    node.forwarder.ownership = node.ownership


def test_action_is_sent_again_to_the_key_owner_with_the_same_key():
    """Guards against a second execution, or "not run", after the key owner's reply was lost."""

    async def main():
        async with callers.harness() as owner, callers.harness(name="n2") as node:
            application = owner.app()
            lost_replies = []

            async def handle(request):
                reply = await httpx.ASGITransport(application).handle_async_request(request)
                if len(lost_replies) < 2:
                    lost_replies.append(reply)
                    raise httpx.ReadError("lost", request=request)
                return reply

            transport = httpx.AsyncBaseTransport()
            transport.handle_async_request = handle
            forwarder = forwarding.Forwarder(
                RemoteOwnership("n1"),
                lambda name: "http://n1",
                httpx.AsyncClient(transport=transport),
            )

            async def send_to_key_owner(action, authorization):
                return await forwarder.run_at_key_owner(action, authorization, node.intents.run)

            node.actions.send_to_key_owner = send_to_key_owner
            program = await node.program()
            result = await node.actions.run(program, 1, make_action(), AUTH["Authorization"])
            assert result.status == 200
            assert len(owner.service.ledger) == 1
            lost_replies.clear()
            forwarder.address = lambda name: ""
            with pytest.raises(exceptions.NotOwnerError) as caught:
                await node.actions.run(program, 2, make_action("k2"), AUTH["Authorization"])
            assert caught.value.not_run == "true"

    virtual_time.run(main)


def test_openapi_describes_every_model():
    """Guards against unresolved references and operations without a summary."""

    async def main():
        async with callers.harness() as node, connect(node.app()) as http:
            text = (await http.get("/openapi.json")).text
            document = json.loads(text)
            schemas = document["components"]["schemas"]
            for part in text.split('"#/components/schemas/')[1:]:
                assert part.partition('"')[0] in schemas
            call = document["paths"]["/v1/programs/{program}/calls"]["post"]
            assert call["requestBody"]["content"]
            assert all(
                operation["summary"]
                for path in document["paths"].values()
                for operation in path.values()
            )

    virtual_time.run(main)
