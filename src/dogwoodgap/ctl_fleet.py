"""Commands for programs and nodes, the state dump and the summary of the fleet."""

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

PAGE = 500
FOLLOW_RETRY_S = 0.5
FOLLOW_SEARCH_S = 30.0

programs_cli = typer.Typer(no_args_is_help=True, rich_markup_mode=None)
nodes_cli = typer.Typer(no_args_is_help=True, rich_markup_mode=None)

Customer = typing.Annotated[str, typer.Option(help="Customer of the program.")]


class NodeFigures(msgspec.Struct):
    """The part of a node's summary that ``top`` shows."""

    node: str
    generation: int
    programs_active: int
    programs_finished: int
    queued: int
    refused: int
    cache_held: int
    cache_wasted: int
    latency: metrics.Histogram


class FleetFigures(msgspec.Struct):
    """Sums over all running nodes.

    Attributes
    ----------
    unreachable : list of str
        Nodes that did not answer, so that the sums lack them.
    """

    programs_active: int
    programs_finished: int
    queued: int
    refused: int
    wasted_cache: float
    latency_p50_s: float
    latency_p95_s: float
    nodes: list[NodeFigures]
    unreachable: list[str]


def add_commands(cli: typer.Typer) -> None:
    """Add all commands of this module."""
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
    session = ctl_session.of(context)
    filters = {"customer": customer, "status": status, "service": service}
    found = session.run(lambda client: gather_programs(client, filters, limit))
    if session.json:
        ctl_output.as_json(found)
        return
    columns = ["customer", "id", "service", "profile", "status", "turns", "spent_tokens"]
    ctl_output.table(
        [*columns, "created"],
        [
            (*(getattr(info, name) for name in columns), ctl_output.moment(info.created_at))
            for info in found
        ],
    )


async def gather_programs(
    client: ctl_client.Client, filters: dict[str, str], limit: int
) -> list[admin_parts.ProgramInfo]:
    """Return the programs of all nodes, page by page."""
    found: list[admin_parts.ProgramInfo] = []
    for node in await client.each():
        after = ""
        while len(found) < limit:
            size = str(min(PAGE, limit - len(found)))
            page = await node.get(
                "/programs", admin_parts.ProgramPage, limit=size, after=after, **filters
            )
            found += page.programs
            after = page.next
            if not after:
                break
    return found


@programs_cli.command("show")
def show_program(context: typer.Context, program: str, customer: Customer) -> None:
    """Show one program.

    Example: dogwoodgap-ctl programs show 4f1c --customer perch
    """
    session = ctl_session.of(context)

    async def read(client: ctl_client.Client) -> admin_parts.ProgramInfo:
        owner = await client.owner(customer, program)
        return await owner.get(f"/programs/{program}", admin_parts.ProgramInfo, customer=customer)

    ctl_output.as_json(session.run(read))


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
    session = ctl_session.of(context)

    async def send(client: ctl_client.Client) -> admin_parts.ProgramInfo:
        owner = await client.owner(customer, program)
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
        ctl_output.as_json(info)
        return
    typer.echo(f"{info.id}: {info.status} ({info.reason})")


@programs_cli.command("follow")
def follow_program(context: typer.Context, program: str, customer: Customer) -> None:
    """Print a line at each change of a program until it ends, also when it changes its node.

    Example: dogwoodgap-ctl programs follow 4f1c --customer perch
    """
    session = ctl_session.of(context)
    session.run(lambda client: follow(client, program, customer, session.json))


async def follow(client: ctl_client.Client, program: str, customer: str, is_json: bool) -> None:
    """Follow a program from owner to owner."""
    deadline = clock.now() + FOLLOW_SEARCH_S
    while True:
        try:
            owner = await client.owner(customer, program)
            async for event in owner.follow(f"/programs/{program}/events", customer=customer):
                if event.name == "error":
                    raise exceptions.from_problem(
                        msgspec.json.decode(event.data, type=exceptions.Problem)
                    )
                deadline = clock.now() + FOLLOW_SEARCH_S
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
        await anyio.sleep(FOLLOW_RETRY_S)


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
    session = ctl_session.of(context)
    nodes = session.run(lambda client: client.members())
    if session.json:
        ctl_output.as_json(nodes)
        return
    columns = ["name", "state", "data_centre", "http_address", "generation", "boot"]
    ctl_output.table(columns, [[getattr(node, name) for name in columns] for node in nodes])


@nodes_cli.command()
def drain(context: typer.Context, name: str) -> None:
    """Begin the planned stop of a node: it hands over its shards and ends.

    Example: dogwoodgap-ctl nodes drain n1
    """
    session = ctl_session.of(context)

    async def send(client: ctl_client.Client) -> None:
        node = await client.named(name)
        await node.send(ctl_client.Request("POST", f"/nodes/{name}/drain"))

    session.run(send)
    typer.echo(f"{name} is draining; follow it with 'dogwoodgap-ctl nodes list'", err=True)


def dump(context: typer.Context, node: str) -> None:
    """Print the whole state of a node's process as JSON.

    Example: dogwoodgap-ctl dump n1 > n1.json
    """
    session = ctl_session.of(context)

    async def read(client: ctl_client.Client) -> bytes:
        return (await (await client.named(node)).read("/dump")).data

    data = session.run(read)
    typer.echo(msgspec.json.format(data, indent=2).decode())


def top(
    context: typer.Context,
    interval: typing.Annotated[
        float, typer.Option(help="Repeat after this many seconds; 0 prints once.")
    ] = 0.0,
) -> None:
    """Show the figures of the fleet and of each node.

    Example: dogwoodgap-ctl top --interval 2
    """
    session = ctl_session.of(context)

    async def repeat(client: ctl_client.Client) -> None:
        while True:
            print_figures(await figures(client), session.json)
            if not interval:
                return
            await anyio.sleep(interval)

    session.run(repeat)


async def figures(client: ctl_client.Client) -> FleetFigures:
    """Return the sums over all running nodes; quantiles come from the merged histograms."""
    nodes: list[NodeFigures] = []
    unreachable: list[str] = []
    for node in await client.each():
        try:
            nodes.append(await node.get("/summary", NodeFigures))
        except (ctl_client.NoNodeError, ctl_client.LostReplyError):
            unreachable += node.nodes
    latency = metrics.Histogram({})
    for entry in nodes:
        latency.merge(entry.latency)
    held = sum(entry.cache_held for entry in nodes)
    return FleetFigures(
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


def print_figures(found: FleetFigures, is_json: bool) -> None:
    """Print the figures of the fleet."""
    if is_json:
        ctl_output.as_json(found)
        return
    typer.echo(
        f"programs: {found.programs_active} active, {found.programs_finished} finished; "
        f"queued {found.queued}; refused {found.refused}; "
        f"wasted cache {found.wasted_cache:.1%}; "
        f"program latency p50 {found.latency_p50_s:.2f} s, p95 {found.latency_p95_s:.2f} s"
    )
    columns = ["node", "generation", "programs_active", "programs_finished", "queued", "refused"]
    ctl_output.table(columns, [[getattr(entry, name) for name in columns] for entry in found.nodes])
    if found.unreachable:
        typer.echo(f"no answer from {', '.join(found.unreachable)}", err=True)
