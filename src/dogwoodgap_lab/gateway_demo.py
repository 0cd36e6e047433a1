"""Demonstrate a gateway with a routes file: retries, a resumed stream, a budget, a planned stop."""

import contextlib
import pathlib
import socket
import tempfile

import anyio
import httpx
import typer

from dogwoodgap import dialect, entrance, file_source, gateway, ingress, outbound, settings
from dogwoodgap_lab import routed_server

TIMEOUT_S = 20.0
STOP_GRACE_S = 3.0
TURN_TOKENS = 300

ROUTES = """
version = 1
routes = [
  {{ name = "belt-stop", host = "hull.example", prefix = "/belt/", kind = "idempotent", timeout_s = 1.2, objective_s = 0.12, max_runs = 2, targets = [{{ service = "actions" }}] }},
  {{ name = "advice", host = "hull.example", prefix = "/advice/", kind = "streaming", timeout_s = 4.0, objective_s = 0.2, prompts = true, resumable = true, targets = [{{ service = "llm" }}] }},
]
services = [
  {{ name = "actions" }},
  {{ name = "llm", engine = {{ slots = 16, cache_tokens = 100000, tokens_per_event = 10 }} }},
]
servers = [
  {{ id = "a1", service = "actions", address = "{actions}", slots = 6 }},
  {{ id = "gone", service = "actions", address = "{gone}", slots = 6 }},
  {{ id = "e1", service = "llm", address = "{llm}", slots = 16 }},
]
"""  # noqa: E501 - inline tables of TOML stand on one line


def free_address() -> str:
    """Return a loopback address on which nothing listens."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


class Demo:
    """The gateway, its backend servers and the number of failed steps."""

    def __init__(self, folder: pathlib.Path):
        self.actions_server = routed_server.FakeBackendServer("a1")
        self.llm_server = routed_server.FakeBackendServer("e1", break_after_events=3)
        self.addresses = {name: free_address() for name in ("actions", "gone", "llm")}
        path = folder / "routes.toml"
        path.write_text(ROUTES.format(**self.addresses), encoding="utf-8")
        gateway_settings = settings.GatewaySettings.model_validate(
            {
                "node": {
                    "name": "gateway-1",
                    "data_centre": "brno-a",
                    "http_bind": free_address(),
                    "peer_bind": free_address(),
                },
                "platform": {"url": "http://unused"},
                "gateway": {
                    "ready_bind": free_address(),
                    "directory_bind": free_address(),
                    "stop_grace_s": STOP_GRACE_S,
                    "directory_ttl_s": 0.1,
                    "first_start": True,
                },
            }
        )
        self.gateway = gateway.Gateway(
            gateway_settings,
            file_source.FileSource(path),
            file_source.InMemoryBudgetRecords(),
            file_source.InMemoryCrashRecords(),
            file_source.NoRemovals(),
            dialect.HeaderCodec(),
        )
        self.stop = anyio.Event()
        self.gateway.wait_for_stop = self.stop.wait
        self.failures = 0

    def report(self, text: str, *, holds: bool) -> None:
        """Print the result of a step and count it if it failed."""
        self.failures += not holds
        typer.echo(f"  {'ok  ' if holds else 'FAIL'}  {text}")

    async def send(self, client: httpx.AsyncClient, path: str, attempt: str, **extra_headers: str):
        """Send a request with an attempt id."""
        names = dialect.HeaderNames()
        headers = {"host": "hull.example", names.attempt_id.decode(): attempt, **extra_headers}
        return await client.post(path, headers=headers, content=b"{}")

    async def run(self) -> None:
        """Start the gateway and its backend servers and run all steps."""
        settings_in_use = self.gateway.settings
        async with anyio.create_task_group() as tasks:
            for server, name in ((self.actions_server, "actions"), (self.llm_server, "llm")):
                await tasks.start(ingress.Server(server.handle).serve, self.addresses[name])
            tasks.start_soon(self.gateway.run, entrance.DiscoveryEndpoints(self.gateway))
            url = f"http://{settings_in_use.node.http_bind}"
            async with outbound.create_client(base_url=url, timeout=TIMEOUT_S) as client:
                await self.wait_ready(settings_in_use.gateway.ready_bind)
                await self.run_steps(client)
            tasks.cancel_scope.cancel()

    async def wait_ready(self, address: str) -> None:
        """Wait until the gateway reports that it is ready."""
        async with outbound.create_client() as client:
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    if (await client.get(f"http://{address}/")).status_code == httpx.codes.OK:
                        return
                await anyio.sleep(0.05)

    async def run_steps(self, client: httpx.AsyncClient) -> None:
        """Run all steps in order and report each result."""
        replies = [await self.send(client, "/belt/1", f"b{n}") for n in range(8)]
        served = sum(reply.status_code == httpx.codes.OK for reply in replies)
        self.report(
            f"{served} of 8 belt stops served, one of two servers is down", holds=served == 8
        )
        stream = await self.send(client, "/advice/1", "s1")
        events = stream.text.count("data: token")
        is_whole = events == routed_server.STREAM_EVENTS
        self.report(f"{events} of 8 events, the engine broke off after 3", holds=is_whole)
        unknown = await self.send(client, "/unknown/1", "u1")
        self.report("an unknown path gets 404", holds=unknown.status_code == httpx.codes.NOT_FOUND)
        await self.check_budget(client)
        self.stop.set()
        final = await self.send(client, "/belt/2", "last")
        self.report(
            "a request during the planned stop is answered",
            holds=final.status_code == httpx.codes.OK,
        )

    async def check_budget(self, client: httpx.AsyncClient) -> None:
        """Run more turns of a program than its token budget covers."""
        names = dialect.HeaderNames()
        extra_headers = {
            names.program_id.decode(): "p1",
            names.token_budget.decode(): "500",
            names.token_count.decode(): f"100,{TURN_TOKENS}",
        }
        statuses = [
            (await self.send(client, "/advice/2", f"t{n}", **extra_headers)).status_code
            for n in range(5)
        ]
        served = statuses.count(httpx.codes.OK)
        refused = statuses[-1] == httpx.codes.PAYMENT_REQUIRED
        self.report(f"a program of 500 tokens got {served} turns, then 402", holds=refused)


async def run() -> int:
    """Run the demonstration and return the exit status."""
    typer.echo("A gateway with a routes file:")
    with tempfile.TemporaryDirectory(prefix="dogwoodgap-") as folder:
        demo = Demo(pathlib.Path(folder))
        with anyio.fail_after(TIMEOUT_S):
            await demo.run()
    return 1 if demo.failures else 0
