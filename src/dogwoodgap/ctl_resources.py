"""Commands for single resources: list, show, set and remove; also create and rotate keys."""

import os
import pathlib
import secrets
import typing
import urllib.parse

import msgspec
import typer

from dogwoodgap import admin_parts, ctl_client, ctl_files, ctl_output, ctl_session, exceptions, keys

TOKEN_BYTES = 32
TOKEN_FILE_MODE = 0o600
RESOURCE_KINDS = ("profiles", "services", "customers", "keys")
# Columns of 'list' for kinds with many fields; 'show' and --json print all of them.
LIST_COLUMNS = {
    "profiles": ("latency_weight", "cache_weight", "share_weight", "urgency", "max_turns"),
    "services": ("kind", "profile", "runners", "time_zone", "ordering", "placement"),
}
NAME_HELP = {"runners": "SERVICE/RUNNER"}

Fields = typing.Annotated[list[str], typer.Argument(help="field=value; values are JSON or text.")]


def add_commands(cli: typer.Typer) -> None:
    """Add one group of commands per kind of resource."""
    groups = {kind: resource_commands(kind) for kind in (*RESOURCE_KINDS, "runners")}
    add_key_commands(groups["keys"])
    for kind, commands in groups.items():
        cli.add_typer(commands, name=kind, help=f"List, show, set and remove {kind}.")


def resource_path(kind: str, name: str) -> str:
    """Return the API path of a resource; runners are named ``SERVICE/RUNNER``.

    Raises
    ------
    SettingsInvalidError
        When the name of a runner contains no ``/``.
    """
    if kind != "runners":
        return f"/{kind}/{urllib.parse.quote(name, safe='')}"
    service, separator, runner = name.partition("/")
    if not separator:
        raise exceptions.SettingsInvalidError(
            f"{name!r} does not name a service; write SERVICE/RUNNER, for example agent-llm/r1"
        )
    quoted = [urllib.parse.quote(part, safe="") for part in (service, runner)]
    return f"/services/{quoted[0]}/runners/{quoted[1]}"


def resource_commands(kind: str) -> typer.Typer:
    """Return the command group of one kind of resource."""
    commands = typer.Typer(no_args_is_help=True, rich_markup_mode=None)
    name_argument = typer.Argument(help=NAME_HELP.get(kind, "Name."))

    @commands.command("list")
    def list_all(context: typer.Context) -> None:
        """List all resources of this kind."""
        session = ctl_session.from_context(context)
        found = session.run(lambda client: client.get(f"/{kind}", dict[str, typing.Any]))
        if session.json:
            ctl_output.print_json(found)
            return
        rows = table_rows(kind, found)
        present = sorted({field for fields in rows.values() for field in fields})
        columns = LIST_COLUMNS.get(kind, present)
        ctl_output.print_table(
            ["name", *columns],
            [
                (name, *(fields.get(column, "") for column in columns))
                for name, fields in rows.items()
            ],
        )

    @commands.command()
    def show(context: typer.Context, name: typing.Annotated[str, name_argument]) -> None:
        """Show all fields of one resource."""
        session = ctl_session.from_context(context)
        ctl_output.print_json(
            session.run(lambda client: client.get(resource_path(kind, name), dict[str, typing.Any]))
        )

    @commands.command("set")
    def set_fields(
        context: typer.Context, name: typing.Annotated[str, name_argument], fields: Fields
    ) -> None:
        """Set fields of a resource, or add it; other fields keep their values."""
        session = ctl_session.from_context(context)
        result = session.run(lambda client: set_resource(client, kind, name, fields))
        ctl_output.print_change_result(result, session.json)

    @commands.command("revoke" if kind == "keys" else "remove")
    def remove(context: typer.Context, name: typing.Annotated[str, name_argument]) -> None:
        """Remove one resource."""
        session = ctl_session.from_context(context)

        async def send(client: ctl_client.Client) -> admin_parts.ChangeResult:
            path = resource_path(kind, name)
            return await client.submit_change(
                ctl_client.Request("DELETE", path, generation=await client.current_generation())
            )

        ctl_output.print_change_result(session.run(send), session.json)

    return commands


def table_rows(kind: str, found: dict[str, typing.Any]) -> dict[str, dict[str, typing.Any]]:
    """Return the fields to list by resource name; a service's runners become their number."""
    if kind == "runners":
        found = {
            f"{service}/{name}": fields
            for service, runners in found.items()
            for name, fields in runners.items()
        }
    if kind == "services":
        found = {
            name: fields | {"runners": len(fields["runners"])} for name, fields in found.items()
        }
    hidden = {"digest", "id"}
    return {
        name: {field: value for field, value in fields.items() if field not in hidden}
        for name, fields in found.items()
    }


async def set_resource(
    client: ctl_client.Client, kind: str, name: str, fields: list[str]
) -> admin_parts.ChangeResult:
    """Set fields of a resource, based on the generation in which it was read."""
    path = resource_path(kind, name)
    values = ctl_files.parse_assignments(fields)
    # Reading the generation first makes a change between the two reads a conflict.
    generation = await client.current_generation()
    try:
        reply = await client.read(path)
        values = msgspec.json.decode(reply.data) | values
        generation = reply.generation
    except exceptions.UnknownServiceError:
        if kind == "runners":
            raise
    except exceptions.NotFoundError:
        pass
    return await client.submit_change(ctl_client.Request("PUT", path, values, generation))


def add_key_commands(commands: typer.Typer) -> None:
    """Add the commands that create tokens."""
    commands.command()(bootstrap)

    @commands.command()
    def create(
        context: typer.Context,
        name: str,
        role: typing.Annotated[
            str, typer.Option(help="caller, viewer, operator or administrator.")
        ] = "caller",
        customer: typing.Annotated[str, typer.Option(help="Customer of a caller's key.")] = "",
        limit_customer: typing.Annotated[
            list[str] | None, typer.Option(help="Limit to a customer; may be repeated.")
        ] = None,
        limit_service: typing.Annotated[
            list[str] | None, typer.Option(help="Limit to a service; may be repeated.")
        ] = None,
    ) -> None:
        """Create a key and print its token, which is shown only once.

        Example: dogwoodgap-ctl keys create olga --role operator
        """
        body: dict[str, typing.Any] = {
            "role": role,
            "customers": limit_customer or [],
            "services": limit_service or [],
        }
        body |= {"customer": customer} if customer else {}
        create_token(context, name, "", body)

    @commands.command()
    def rotate(
        context: typer.Context,
        name: str,
        overlap: typing.Annotated[
            float, typer.Option(help="Seconds for which the old key stays valid.")
        ] = 86_400.0,
    ) -> None:
        """Create the successor of a key; the old one stays valid for the overlap.

        Example: dogwoodgap-ctl keys rotate olga --overlap 3600
        """
        create_token(context, name, "/rotation", {"overlap_seconds": overlap})


def bootstrap(
    file: typing.Annotated[pathlib.Path, typer.Argument(help="New file for the token.")],
) -> None:
    """Write a new token to a file and print the setting with its digest; uses no node.

    Example: dogwoodgap-ctl keys bootstrap bootstrap.key
    """
    token = secrets.token_urlsafe(TOKEN_BYTES)
    try:
        descriptor = os.open(file, os.O_WRONLY | os.O_CREAT | os.O_EXCL, TOKEN_FILE_MODE)
    except OSError as error:
        typer.echo(f"error: {file}: {error.strerror}; name a new file", err=True)
        raise typer.Exit(ctl_session.EXIT_INVALID) from error
    with os.fdopen(descriptor, "w", encoding="ascii") as stream:
        stream.write(token)
    typer.echo(f'[admin]\nbootstrap_key_digest = "{keys.digest(token)}"')


def create_token(
    context: typer.Context, name: str, suffix: str, body: dict[str, typing.Any]
) -> None:
    """Send a request that creates a token, and print the token."""
    session = ctl_session.from_context(context)

    async def send(client: ctl_client.Client) -> admin_parts.ChangeResult:
        path = resource_path("keys", name) + suffix
        generation = await client.current_generation()
        result = await client.submit_change(ctl_client.Request("POST", path, body, generation))
        if not result.token:
            raise ctl_client.LostReplyError(
                f"the key was created in generation {result.generation}, but the reply with its "
                f"token was lost; see 'dogwoodgap-ctl keys list', revoke the new key and repeat"
            )
        return result

    ctl_output.print_change_result(session.run(send), session.json)
