"""Shows a gateway with a routes file: retries, a resumed stream, a budget and a planned stop."""

import contextlib
import pathlib
import socket
import tempfile

import anyio
import httpx
import typer

from dogwoodgap import dialect, entrance, file_source, gateway, ingress, outbound, settings
from dogwoodgap_lab import routed_server

LIMIT_S = 20.0
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
    """Return an address that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class Demo:
    """The parts of the demonstration and what was found."""

    def __init__(self, folder: pathlib.Path):
        self.plain = routed_server.FakeBackendServer("a1")
        self.engine = routed_server.FakeBackendServer("e1", break_after_events=3)
        self.addresses = {name: free_address() for name in ("actions", "gone", "llm")}
        path = folder / "routes.toml"
        path.write_text(ROUTES.format(**self.addresses), encoding="utf-8")
        loaded = settings.GatewaySettings.model_validate(
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
            loaded,
            file_source.FileSource(path),
            file_source.InMemoryBudgetRecords(),
            file_source.NoRemovals(),
            dialect.HeaderCodec(),
        )
        self.stop = anyio.Event()
        self.gateway.wait_for_stop = self.stop.wait
        self.failures = 0

    def show(self, text: str, *, holds: bool) -> None:
        """Print one finding."""
        self.failures += not holds
        typer.echo(f"  {'ok  ' if holds else 'FAIL'}  {text}")

    async def ask(self, client: httpx.AsyncClient, path: str, attempt: str, **more: str):
        """Send one request."""
        names = dialect.HeaderNames()
        headers = {"host": "hull.example", names.attempt_id.decode(): attempt, **more}
        return await client.post(path, headers=headers, content=b"{}")

    async def run(self) -> None:
        """Run all parts."""
        section = self.gateway.settings
        async with anyio.create_task_group() as tasks:
            for server, name in ((self.plain, "actions"), (self.engine, "llm")):
                await tasks.start(ingress.Server(server.handle).serve, self.addresses[name])
            tasks.start_soon(self.gateway.run, entrance.DiscoveryEndpoints(self.gateway))
            url = f"http://{section.node.http_bind}"
            async with outbound.create_client(base_url=url, timeout=LIMIT_S) as client:
                await self.wait_ready(section.gateway.ready_bind)
                await self.show_all(client)
            tasks.cancel_scope.cancel()

    async def wait_ready(self, address: str) -> None:
        """Wait until the gateway is ready."""
        async with outbound.create_client() as client:
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    if (await client.get(f"http://{address}/")).status_code == httpx.codes.OK:
                        return
                await anyio.sleep(0.05)

    async def show_all(self, client: httpx.AsyncClient) -> None:
        """Show each part in turn."""
        answers = [await self.ask(client, "/belt/1", f"b{n}") for n in range(8)]
        served = sum(answer.status_code == httpx.codes.OK for answer in answers)
        self.show(f"{served} of 8 belt stops served, one of two servers is down", holds=served == 8)
        stream = await self.ask(client, "/advice/1", "s1")
        events = stream.text.count("data: token")
        whole = events == routed_server.STREAM_EVENTS
        self.show(f"{events} of 8 events, the engine broke off after 3", holds=whole)
        unknown = await self.ask(client, "/unknown/1", "u1")
        self.show("an unknown path gets 404", holds=unknown.status_code == httpx.codes.NOT_FOUND)
        await self.show_budget(client)
        self.stop.set()
        last = await self.ask(client, "/belt/2", "last")
        self.show(
            "a request during the planned stop is answered",
            holds=last.status_code == httpx.codes.OK,
        )

    async def show_budget(self, client: httpx.AsyncClient) -> None:
        """Run turns of a program until its budget is spent."""
        names = dialect.HeaderNames()
        more = {
            names.program_id.decode(): "p1",
            names.token_budget.decode(): "500",
            names.token_count.decode(): f"100,{TURN_TOKENS}",
        }
        statuses = [
            (await self.ask(client, "/advice/2", f"t{n}", **more)).status_code for n in range(5)
        ]
        served = statuses.count(httpx.codes.OK)
        refused = statuses[-1] == httpx.codes.PAYMENT_REQUIRED
        self.show(f"a program of 500 tokens got {served} turns, then 402", holds=refused)


async def run() -> int:
    """Run the demonstration and return the exit status."""
    typer.echo("A gateway with a routes file:")
    with tempfile.TemporaryDirectory(prefix="dogwoodgap-") as folder:
        demo = Demo(pathlib.Path(folder))
        with anyio.fail_after(LIMIT_S):
            await demo.run()
    return 1 if demo.failures else 0
