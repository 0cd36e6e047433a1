"""Chat completions through an ordinary HTTP client, at the owner and at another node."""

import json

import live
import test_live

BODY = {
    "model": "agent-llm",
    "messages": [
        {"role": "system", "content": "answer briefly"},
        {"role": "user", "content": "how wet are the walnuts"},
    ],
    "max_tokens": 5,
    "temperature": 0.2,
}


async def stream_chat(http, headers: dict) -> list[str]:
    """Return the data of all events of a streamed answer."""
    body = BODY | {"stream": True, "stream_options": {"include_usage": True}}
    async with http.stream("POST", "/v1/chat/completions", json=body, headers=headers) as reply:
        assert reply.status_code == 200, await reply.aread()
        assert reply.headers["content-type"].startswith("text/event-stream")
        lines = [line async for line in reply.aiter_lines() if line]
    assert all(line.startswith("data: ") for line in lines)
    return [line.removeprefix("data: ") for line in lines]


def check_completion(reply) -> str:
    """Check an answer that is not streamed and return its text."""
    assert reply.status_code == 200, reply.text
    completion = reply.json()
    assert completion["object"] == "chat.completion"
    assert completion["model"] == "agent-llm"
    choice = completion["choices"][0]
    assert choice["message"]["role"] == "assistant"
    assert choice["finish_reason"] in {"stop", "length"}
    assert completion["usage"]["completion_tokens"] == BODY["max_tokens"]
    usage = completion["usage"]
    assert usage["total_tokens"] == usage["prompt_tokens"] + usage["completion_tokens"]
    return choice["message"]["content"]


def check_chunks(lines: list[str]) -> str:
    """Check a streamed answer and return its text."""
    assert lines[-1] == "[DONE]"
    chunks = [json.loads(line) for line in lines[:-1]]
    assert {chunk["object"] for chunk in chunks} == {"chat.completion.chunk"}
    assert len({chunk["id"] for chunk in chunks}) == 1
    choices = [chunk["choices"][0] for chunk in chunks if chunk["choices"]]
    assert choices[-1]["finish_reason"] in {"stop", "length"}
    assert chunks[-1]["usage"]["completion_tokens"] == BODY["max_tokens"]
    return "".join(choice["delta"].get("content") or "" for choice in choices)


def test_chat_at_owner_and_elsewhere():
    """Guards against answers that a chat client cannot read, at the owner and at other nodes."""

    async def main():
        async with live.run_fleet(2) as fleet:
            await live.wait_until(
                lambda: all(len(item.fleet.ownership.session.loaded) > 0 for item in fleet.nodes)
            )
            texts = set()
            for number in range(2):
                async with fleet.client(number=number) as http:
                    reply = await http.post("/v1/programs", json={"service": "agent-llm"})
                    headers = {"Dogwoodgap-Program": reply.json()["id"]}
                for other in range(2):
                    async with fleet.client(number=other) as http:
                        texts.add(
                            check_completion(await http.post("/v1/chat/completions", json=BODY))
                        )
                        texts.add(check_chunks(await stream_chat(http, {})))
                        texts.add(check_chunks(await stream_chat(http, headers)))
                        view = (await http.get(f"/v1/programs/{reply.json()['id']}")).json()
                        assert view["turns"] == 1, "a repeated conversation ran again"
            assert len(texts) == 1, "streamed and whole answers differ"

    test_live.run(main)
