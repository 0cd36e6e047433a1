"""Command line of operators, ``dogwoodgap-ctl``."""

import pathlib
import typing

import msgspec
import typer

from dogwoodgap import (
    admin_parts,
    ctl_client,
    ctl_demand,
    ctl_explain,
    ctl_files,
    ctl_fleet,
    ctl_output,
    ctl_resources,
    ctl_session,
    differences,
    models,
)

HELP = """Operate a dogwoodgap fleet.

Give the key with --key-file or DOGWOODGAP_KEY, and one or more nodes with --node or
DOGWOODGAP_NODE (separated by spaces); the first one that answers is used.
"""

EPILOG = (
    "Exit codes: 0 done; 1 refused; 2 invalid file or usage; 3 another operator's change came "
    "first; 4 key missing or not allowed; 5 no node reachable; 6 outcome unknown; 7 not in force "
    "in time.  Example: dogwoodgap-ctl --node http://127.0.0.1:8080 apply fleet.toml --dry-run"
)

cli = typer.Typer(no_args_is_help=True, help=HELP, epilog=EPILOG, rich_markup_mode=None)
ctl_resources.add_commands(cli)
ctl_fleet.add_commands(cli)
ctl_demand.add_commands(cli)
ctl_explain.add_commands(cli)

Note = typing.Annotated[str, typer.Option(help="Reason, kept in the history.")]
DryRun = typing.Annotated[bool, typer.Option("--dry-run", help="Show the difference only.")]
File = typing.Annotated[pathlib.Path, typer.Argument(help="Fleet configuration, TOML or JSON.")]


@cli.callback()
def connect(
    context: typer.Context,
    node: typing.Annotated[
        list[str] | None,
        typer.Option(help="URL of a node; may be repeated.", envvar=ctl_session.NODE_VARIABLE),
    ] = None,
    key_file: typing.Annotated[
        pathlib.Path | None, typer.Option(help="File that holds the key.")
    ] = None,
    authority: typing.Annotated[
        str, typer.Option(help="File of the certificate authority of the nodes.")
    ] = "",
    json: typing.Annotated[bool, typer.Option("--json", help="Print JSON.")] = False,
) -> None:
    """Read the options of the connection."""
    session = context.ensure_object(ctl_session.Session)
    session.nodes = node or [ctl_session.DEFAULT_NODE]
    session.key_file = key_file
    session.authority = authority
    session.json = json


@cli.command()
def apply(
    context: typer.Context,
    file: File,
    dry_run: DryRun = False,
    generation: typing.Annotated[
        int, typer.Option(help="The generation that the file is based on.")
    ] = 0,
    note: Note = "",
) -> None:
    """Put a configuration file in force.

    The change is refused (exit code 3) when the fleet is not at the generation that the file or
    --generation names. Without either, the file replaces the generation of this moment. Sections
    that the file leaves out keep their content. When a reply is lost, the command reads back and
    says whether the change took effect.

    Example: dogwoodgap-ctl apply fleet.toml --note "evening peak"
    """
    session = ctl_session.of(context)
    result = session.run(lambda client: put_file(client, file, generation, dry_run, note))
    ctl_output.outcome(result, session.json)


async def put_file(
    client: ctl_client.Client, file: pathlib.Path, generation: int, dry_run: bool, note: str
) -> admin_parts.ChangeResult:
    """Send a file as the whole configuration."""
    document = ctl_files.load(file)
    current, latest = await read_configuration(client)
    parameters = {"note": note} | ({"dry_run": "1"} if dry_run else {})
    request = ctl_client.Request(
        "PUT",
        "/configuration",
        ctl_files.complete(document, current),
        generation or document.generation or latest,
        parameters,
    )
    if dry_run:
        return ctl_client.outcome_of(await client.send(request))
    return await client.change(request)


async def read_configuration(
    client: ctl_client.Client, generation: int = 0
) -> tuple[models.FleetConfiguration, int]:
    """Return a configuration and its generation; 0 stands for the one in force."""
    path = f"/configuration/{generation}" if generation else "/configuration"
    reply = await client.read(path)
    return models.FleetConfiguration.model_validate_json(reply.data), reply.generation


@cli.command()
def diff(context: typer.Context, file: File) -> None:
    """Show what a file would change, without a change.

    Example: dogwoodgap-ctl diff fleet.toml
    """
    session = ctl_session.of(context)

    async def compare(client: ctl_client.Client) -> list[differences.Difference]:
        document = ctl_files.load(file)
        current, _ = await read_configuration(client)
        wanted = models.FleetConfiguration.model_validate(ctl_files.complete(document, current))
        return differences.between(current, wanted)

    found = session.run(compare)
    if session.json:
        ctl_output.as_json(found)
        return
    typer.echo("\n".join(str(item) for item in found) or "no difference")


@cli.command()
def get(
    context: typer.Context,
    generation: typing.Annotated[int, typer.Option(help="An older generation.")] = 0,
) -> None:
    """Print the configuration as TOML, for editing and 'apply'.

    Example: dogwoodgap-ctl get > fleet.toml
    """
    session = ctl_session.of(context)
    document, _ = session.run(lambda client: read_configuration(client, generation))
    if session.json:
        ctl_output.as_json(document.model_dump(mode="json"))
        return
    typer.echo(ctl_files.dump_toml(document), nl=False)


@cli.command()
def history(context: typer.Context, limit: int = 20) -> None:
    """Show who changed what, newest first.

    Example: dogwoodgap-ctl history --limit 5
    """
    session = ctl_session.of(context)
    entries = session.run(
        lambda client: client.get(
            "/configuration/history", list[admin_parts.HistoryView], limit=str(limit)
        )
    )
    if session.json:
        ctl_output.as_json(entries)
        return
    ctl_output.table(
        ["generation", "when", "who", "what"],
        [
            (
                entry.generation,
                ctl_output.moment(entry.at),
                entry.author,
                entry.note.removeprefix(f"change={entry.change} "),
            )
            for entry in entries
        ],
    )


@cli.command()
def rollback(
    context: typer.Context, generation: int, dry_run: DryRun = False, note: Note = ""
) -> None:
    """Make the content of an older generation the newest one; keys stay as they are.

    Example: dogwoodgap-ctl rollback 41 --dry-run
    """
    session = ctl_session.of(context)

    async def send(client: ctl_client.Client) -> admin_parts.ChangeResult:
        parameters = {"note": note} | ({"dry_run": "1"} if dry_run else {})
        request = ctl_client.Request(
            "POST",
            "/configuration/rollback",
            {"generation": generation},
            await client.generation(),
            parameters,
        )
        if dry_run:
            return ctl_client.outcome_of(await client.send(request))
        return await client.change(request)

    ctl_output.outcome(session.run(send), session.json)


@cli.command()
def wait(
    context: typer.Context,
    generation: typing.Annotated[int, typer.Option(help="Default: the latest one.")] = 0,
    timeout: typing.Annotated[float, typer.Option(help="Seconds.")] = 30.0,
) -> None:
    """Wait until a generation is in force on every live node.

    Example: dogwoodgap-ctl wait --generation 42 --timeout 10
    """
    session = ctl_session.of(context)
    state = session.run(lambda client: client.wait(generation, timeout))
    if session.json:
        ctl_output.as_json(msgspec.to_builtins(state))
        return
    typer.echo(f"generation {min(state.nodes.values())} is in force on {len(state.nodes)} nodes")


def main() -> None:
    """Run the command line."""
    cli()
