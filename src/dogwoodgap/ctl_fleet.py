"""Commands for programs and nodes, the state dump and the fleet summary."""

import typing

import anyio
import msgspec
import typer

from dogwoodgap import (
    admin_parts,
    clock,
    ctl_client,
    ctl_output,
    ctl_session,
    exceptions,
    metrics,
)

PAGE_SIZE = 500
FOLLOW_RETRY_INTERVAL_S = 0.5
OWNER_SEARCH_TIMEOUT_S = 30.0

programs_cli = typer.Typer(no_args_is_help=True, rich_markup_mode=None)
nodes_cli = typer.Typer(no_args_is_help=True, rich_markup_mode=None)

Customer = typing.Annotated[str, typer.Option(help="Customer of the program.")]


class NodeSummary(msgspec.Struct):
    """The fields of a node's summary that ``top`` uses."""

    node: str
    generation: int
    programs_active: int
    programs_finished: int
    queued: int
    refused: int
    cache_held: int
    cache_wasted: int
    latency: metrics.Histogram


class FleetSummary(msgspec.Struct):
    """Sums over all running nodes.

    Attributes
    ----------
    unreachable : list of str
        Addresses of nodes that did not respond and are missing from the sums.
    """

    programs_active: int
    programs_finished: int
    queued: int
    refused: int
    wasted_cache: float
    latency_p50_s: float
    latency_p95_s: float
    nodes: list[NodeSummary]
    unreachable: list[str]


def add_commands(cli: typer.Typer) -> None:
    """Add the commands of this module."""
    cli.add_typer(programs_cli, name="programs", help="List, show, follow and cancel programs.")
    cli.add_typer(nodes_cli, name="nodes", help="List and drain nodes.")
    cli.command()(dump)
    cli.command()(top)


@programs_cli.command("list")
def list_programs(
    context: typer.Context,
    customer: typing.Annotated[str, typer.Option(help="Only of this customer.")] = "",
    status: typing.Annotated[
        str, typer.Option(help="active, finished, cancelled or limited.")
    ] = "",
    service: typing.Annotated[str, typer.Option(help="Only of this service.")] = "",
    limit: typing.Annotated[int, typer.Option(help="At most this many.")] = 100,
) -> None:
    """List programs of all running nodes.

    Example: dogwoodgap-ctl programs list --customer perch --status active
    """
    session = ctl_session.from_context(context)
    filters = {"customer": customer, "status": status, "service": service}
    programs = session.run(lambda client: gather_programs(client, filters, limit))
    if session.json:
        ctl_output.print_json(programs)
        return
    columns = ["customer", "id", "service", "profile", "status", "turns", "spent_tokens"]
    ctl_output.print_table(
        [*columns, "created"],
        [
            (*(getattr(info, name) for name in columns), ctl_output.format_time(info.created_at))
            for info in programs
        ],
    )


async def gather_programs(
    client: ctl_client.Client, filters: dict[str, str], limit: int
) -> list[admin_parts.ProgramInfo]:
    """Read up to ``limit`` matching programs from all running nodes, page by page."""
    programs: list[admin_parts.ProgramInfo] = []
    for node in await client.node_clients():
        after = ""
        while len(programs) < limit:
            size = str(min(PAGE_SIZE, limit - len(programs)))
            page = await node.get(
                "/programs", admin_parts.ProgramPage, limit=size, after=after, **filters
            )
            programs += page.programs
            after = page.next
            if not after:
                break
    return programs


@programs_cli.command("show")
def show_program(context: typer.Context, program: str, customer: Customer) -> None:
    """Show one program.

    Example: dogwoodgap-ctl programs show 4f1c --customer perch
    """
    session = ctl_session.from_context(context)

    async def read(client: ctl_client.Client) -> admin_parts.ProgramInfo:
        owner = await client.owner_client(customer, program)
        return await owner.get(f"/programs/{program}", admin_parts.ProgramInfo, customer=customer)

    ctl_output.print_json(session.run(read))


@programs_cli.command("cancel")
def cancel_program(
    context: typer.Context,
    program: str,
    customer: Customer,
    note: typing.Annotated[str, typer.Option(help="Reason, kept with the program.")] = "",
) -> None:
    """Cancel one program.

    Example: dogwoodgap-ctl programs cancel 4f1c --customer perch --note "asked by its owner"
    """
    session = ctl_session.from_context(context)

    async def send(client: ctl_client.Client) -> admin_parts.ProgramInfo:
        owner = await client.owner_client(customer, program)
        reply = await owner.send(
            ctl_client.Request(
                "DELETE",
                f"/programs/{program}",
                parameters={"customer": customer, "note": note},
            )
        )
        return msgspec.json.decode(reply.data, type=admin_parts.ProgramInfo)

    info = session.run(send)
    if session.json:
        ctl_output.print_json(info)
        return
    typer.echo(f"{info.id}: {info.status} ({info.reason})")


@programs_cli.command("follow")
def follow_program(context: typer.Context, program: str, customer: Customer) -> None:
    """Print a line at each change of a program until it ends, even if it moves to another node.

    Example: dogwoodgap-ctl programs follow 4f1c --customer perch
    """
    session = ctl_session.from_context(context)
    session.run(lambda client: follow(client, program, customer, session.json))


async def follow(client: ctl_client.Client, program: str, customer: str, is_json: bool) -> None:
    """Print the states of a program until it ends, reconnecting when its owner changes."""
    deadline = clock.now() + OWNER_SEARCH_TIMEOUT_S
    while True:
        try:
            owner = await client.owner_client(customer, program)
            async for event in owner.stream_events(
                f"/programs/{program}/events", customer=customer
            ):
                if event.name == "error":
                    raise exceptions.from_problem(
                        msgspec.json.decode(event.data, type=exceptions.Problem)
                    )
                deadline = clock.now() + OWNER_SEARCH_TIMEOUT_S
                if event.name == "end":
                    return
                print_state(event, is_json)
        except (
            exceptions.UnknownProgramError,
            exceptions.NotOwnerError,
            ctl_client.LostReplyError,
            ctl_client.NoNodeError,
        ):
            if clock.now() >= deadline:
                raise
        await anyio.sleep(FOLLOW_RETRY_INTERVAL_S)


def print_state(event: ctl_client.Event, is_json: bool) -> None:
    """Print one state of a program."""
    if is_json:
        typer.echo(event.data.decode())
        return
    info = msgspec.json.decode(event.data, type=admin_parts.ProgramInfo)
    typer.echo(
        f"{info.id} {info.status} turns={info.turns} spent={info.spent_tokens} "
        f"reserved={info.reserved_tokens} of {info.budget_tokens} {info.reason}".rstrip()
    )


@nodes_cli.command("list")
def list_nodes(context: typer.Context) -> None:
    """List all nodes.

    Example: dogwoodgap-ctl nodes list
    """
    session = ctl_session.from_context(context)
    nodes = session.run(lambda client: client.list_nodes())
    if session.json:
        ctl_output.print_json(nodes)
        return
    columns = ["name", "state", "data_centre", "http_address", "generation", "boot"]
    ctl_output.print_table(columns, [[getattr(node, name) for name in columns] for node in nodes])


@nodes_cli.command()
def drain(context: typer.Context, name: str) -> None:
    """Begin the planned stop of a node: it hands over its shards and exits.

    Example: dogwoodgap-ctl nodes drain n1
    """
    session = ctl_session.from_context(context)

    async def send(client: ctl_client.Client) -> None:
        node = await client.client_by_name(name)
        await node.send(ctl_client.Request("POST", f"/nodes/{name}/drain"))

    session.run(send)
    typer.echo(f"{name} is draining; follow it with 'dogwoodgap-ctl nodes list'", err=True)


def dump(context: typer.Context, node: str) -> None:
    """Print the state dump of a node as JSON.

    Example: dogwoodgap-ctl dump n1 > n1.json
    """
    session = ctl_session.from_context(context)

    async def read(client: ctl_client.Client) -> bytes:
        return (await (await client.client_by_name(node)).read("/dump")).data

    data = session.run(read)
    typer.echo(msgspec.json.format(data, indent=2).decode())


def top(
    context: typer.Context,
    interval: typing.Annotated[
        float, typer.Option(help="Repeat after this many seconds; 0 prints once.")
    ] = 0.0,
) -> None:
    """Show the main metrics of the fleet and of each node.

    Example: dogwoodgap-ctl top --interval 2
    """
    session = ctl_session.from_context(context)

    async def repeat(client: ctl_client.Client) -> None:
        while True:
            print_summary(await summarize_fleet(client), session.json)
            if not interval:
                return
            await anyio.sleep(interval)

    session.run(repeat)


async def summarize_fleet(client: ctl_client.Client) -> FleetSummary:
    """Return sums over all running nodes and quantiles of their merged histograms."""
    nodes: list[NodeSummary] = []
    unreachable: list[str] = []
    for node in await client.node_clients():
        try:
            nodes.append(await node.get("/summary", NodeSummary))
        except (ctl_client.NoNodeError, ctl_client.LostReplyError):
            unreachable += node.nodes
    latency = metrics.Histogram({})
    for entry in nodes:
        latency.merge(entry.latency)
    held = sum(entry.cache_held for entry in nodes)
    return FleetSummary(
        programs_active=sum(entry.programs_active for entry in nodes),
        programs_finished=sum(entry.programs_finished for entry in nodes),
        queued=sum(entry.queued for entry in nodes),
        refused=sum(entry.refused for entry in nodes),
        wasted_cache=sum(entry.cache_wasted for entry in nodes) / held if held else 0.0,
        latency_p50_s=latency.quantile(0.5),
        latency_p95_s=latency.quantile(0.95),
        nodes=nodes,
        unreachable=unreachable,
    )


def print_summary(summary: FleetSummary, is_json: bool) -> None:
    """Print the fleet summary as JSON, or as text with one table row per node."""
    if is_json:
        ctl_output.print_json(summary)
        return
    typer.echo(
        f"programs: {summary.programs_active} active, {summary.programs_finished} finished; "
        f"queued {summary.queued}; refused {summary.refused}; "
        f"wasted cache {summary.wasted_cache:.1%}; "
        f"program latency p50 {summary.latency_p50_s:.2f} s, p95 {summary.latency_p95_s:.2f} s"
    )
    columns = ["node", "generation", "programs_active", "programs_finished", "queued", "refused"]
    ctl_output.print_table(
        columns, [[getattr(entry, name) for name in columns] for entry in summary.nodes]
    )
    if summary.unreachable:
        typer.echo(f"no response from {', '.join(summary.unreachable)}", err=True)
