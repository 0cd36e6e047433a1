"""The fake plain service implements the protocol of ``HttpServiceAdapter``."""

import anyio
import httpx

from dogwoodgap import service_adapter, structures
from dogwoodgap_lab import plain_service

VIEW = structures.RunnerView("crew-app", "r1", "http://r1", "dc", 4, 1000)


def test_adapter_reads_the_outcome_of_an_executed_key():
    """Guards against outcomes in a format that the adapter cannot read.

    Every action whose reply was lost then had an unknown outcome.
    """

    async def main():
        service = plain_service.PlainService(answers_outcomes=True)
        transport = httpx.ASGITransport(plain_service.build(service))
        async with httpx.AsyncClient(transport=transport) as http:
            adapter = service_adapter.HttpServiceAdapter(http, http)
            assert await adapter.outcome(VIEW, "p:1") is None
            await http.post("http://r1/invoices", headers={"Idempotency-Key": "p:1"})
            found = await adapter.outcome(VIEW, "p:1")
            assert (found.status, found.not_run) == (200, "false")
            assert found.body == {"executed": "invoices", "number": 1}

    anyio.run(main)
