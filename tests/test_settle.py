"""Random faults during a change; its reported outcome is checked against the history."""

import fake_admin
import httpx
import hypothesis
import virtual_time
from hypothesis import strategies

from dogwoodgap import ctl_client, exceptions, views

MAX_FAULTS = 12


class FaultyTransport(httpx.AsyncBaseTransport):
    """Applies one fault of a list to each request; requests after the list get none."""

    def __init__(self, node: fake_admin.FakeNode, faults: list[str]):
        self.node = node
        self.inner = httpx.ASGITransport(node.app)
        self.faults = faults
        self.delayed: list[httpx.Request] = []

    async def handle_async_request(self, request):
        request.url = request.url.copy_with(path=request.url.path.removeprefix("/admin/v1"))
        fault = self.faults.pop(0) if self.faults else ""
        if fault == "refused":
            raise httpx.ConnectError(fault)
        if fault == "rival":
            document = self.node.configuration.current
            await self.node.configuration.update(document, document.generation, "rival", "")
        if fault == "delayed":
            self.delayed.append(request)
            raise httpx.ReadTimeout(fault)
        if fault == "lost request":
            raise httpx.ReadError(fault)
        if fault == "arrival" and self.delayed:
            await self.inner.handle_async_request(self.delayed.pop())
        reply = await self.inner.handle_async_request(request)
        if fault == "lost reply":
            raise httpx.ReadError(fault)
        if fault == "unavailable":
            error = exceptions.StoreUnavailableError("the platform did not answer")
            body = views.problem_response(error).body
            return httpx.Response(503, content=body, request=request)
        return reply


FAULTS = ["", "refused", "rival", "delayed", "lost request", "arrival", "lost reply", "unavailable"]


@hypothesis.settings(derandomize=True, max_examples=500, deadline=None, database=None)
@hypothesis.given(strategies.lists(strategies.sampled_from(FAULTS), max_size=MAX_FAULTS))
def test_reported_outcome_matches_the_history(faults):
    """Guards against an applied change reported as refused, and the reverse."""
    node = fake_admin.FakeNode()
    transport = FaultyTransport(node, list(faults))

    async def main():
        headers = {"Authorization": "Bearer olga"}
        async with httpx.AsyncClient(transport=transport, headers=headers) as http:
            client = ctl_client.Client(http, ["http://node"])
            body = {"max_turns": 77}
            request = ctl_client.Request("PUT", "/profiles/quote", body, 1)
            try:
                outcome = await client.submit_change(request)
            except exceptions.DogwoodgapError as error:
                return error.code, 0
            assert outcome.applied
            return "applied", outcome.generation

    code, generation = virtual_time.run(main)
    own = [entry.generation for entry in node.configuration.entries if entry.author == "olga"]
    hypothesis.event(code)
    assert len(own) <= 1
    if code == "applied":
        assert own == [generation]
    else:
        assert code in {"configuration-conflict", "no-node"}
        assert own == []
