"""The operators' command line, ``dogwoodgap-ctl``."""

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
def set_connection_options(
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
    """Store the connection options in the session."""
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
    """Apply a configuration file to the fleet.

    The change is refused (exit code 3) when the fleet is not at the generation that the file or
    --generation names. If neither names one, the file replaces the current generation. Sections
    missing from the file keep their content. If the reply is lost, the command reads the history
    to find out whether the change took effect.

    Example: dogwoodgap-ctl apply fleet.toml --note "evening peak"
    """
    session = ctl_session.from_context(context)
    result = session.run(lambda client: put_file(client, file, generation, dry_run, note))
    ctl_output.print_change_result(result, session.json)


async def put_file(
    client: ctl_client.Client, file: pathlib.Path, generation: int, dry_run: bool, note: str
) -> admin_parts.ChangeResult:
    """Replace the configuration by a file; sections missing from the file are kept."""
    document = ctl_files.load_configuration(file)
    current, latest = await read_configuration(client)
    parameters = {"note": note} | ({"dry_run": "1"} if dry_run else {})
    request = ctl_client.Request(
        "PUT",
        "/configuration",
        ctl_files.fill_missing_sections(document, current),
        generation or document.generation or latest,
        parameters,
    )
    if dry_run:
        return ctl_client.decode_change_result(await client.send(request))
    return await client.submit_change(request)


async def read_configuration(
    client: ctl_client.Client, generation: int = 0
) -> tuple[models.FleetConfiguration, int]:
    """Return a configuration and its generation; generation 0 reads the one in force."""
    path = f"/configuration/{generation}" if generation else "/configuration"
    reply = await client.read(path)
    return models.FleetConfiguration.model_validate_json(reply.data), reply.generation


@cli.command()
def diff(context: typer.Context, file: File) -> None:
    """Show what a file would change, without applying it.

    Example: dogwoodgap-ctl diff fleet.toml
    """
    session = ctl_session.from_context(context)

    async def compare(client: ctl_client.Client) -> list[differences.Difference]:
        document = ctl_files.load_configuration(file)
        current, _ = await read_configuration(client)
        target = models.FleetConfiguration.model_validate(
            ctl_files.fill_missing_sections(document, current)
        )
        return differences.between(current, target)

    changes = session.run(compare)
    if session.json:
        ctl_output.print_json(changes)
        return
    typer.echo("\n".join(str(item) for item in changes) or "no difference")


@cli.command()
def get(
    context: typer.Context,
    generation: typing.Annotated[int, typer.Option(help="An older generation.")] = 0,
) -> None:
    """Print the configuration as TOML, for editing and 'apply'.

    Example: dogwoodgap-ctl get > fleet.toml
    """
    session = ctl_session.from_context(context)
    document, _ = session.run(lambda client: read_configuration(client, generation))
    if session.json:
        ctl_output.print_json(document.model_dump(mode="json"))
        return
    typer.echo(ctl_files.dump_toml(document), nl=False)


@cli.command()
def history(context: typer.Context, limit: int = 20) -> None:
    """Show who changed what, newest first.

    Example: dogwoodgap-ctl history --limit 5
    """
    session = ctl_session.from_context(context)
    entries = session.run(
        lambda client: client.get(
            "/configuration/history", list[admin_parts.HistoryView], limit=str(limit)
        )
    )
    if session.json:
        ctl_output.print_json(entries)
        return
    ctl_output.print_table(
        ["generation", "when", "who", "what"],
        [
            (
                entry.generation,
                ctl_output.format_time(entry.at),
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
    """Apply the content of an older generation as a new one; keys are not rolled back.

    Example: dogwoodgap-ctl rollback 41 --dry-run
    """
    session = ctl_session.from_context(context)

    async def send(client: ctl_client.Client) -> admin_parts.ChangeResult:
        parameters = {"note": note} | ({"dry_run": "1"} if dry_run else {})
        request = ctl_client.Request(
            "POST",
            "/configuration/rollback",
            {"generation": generation},
            await client.current_generation(),
            parameters,
        )
        if dry_run:
            return ctl_client.decode_change_result(await client.send(request))
        return await client.submit_change(request)

    ctl_output.print_change_result(session.run(send), session.json)


@cli.command()
def wait(
    context: typer.Context,
    generation: typing.Annotated[int, typer.Option(help="Default: the latest generation.")] = 0,
    timeout: typing.Annotated[float, typer.Option(help="Seconds.")] = 30.0,
) -> None:
    """Wait until a generation is in force on every live node.

    Example: dogwoodgap-ctl wait --generation 42 --timeout 10
    """
    session = ctl_session.from_context(context)
    state = session.run(lambda client: client.wait_for_generation(generation, timeout))
    if session.json:
        ctl_output.print_json(msgspec.to_builtins(state))
        return
    typer.echo(f"generation {min(state.nodes.values())} is in force on {len(state.nodes)} nodes")


def main() -> None:
    """Run the command line."""
    cli()
