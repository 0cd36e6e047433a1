"""Command line of ``dogwoodgap-lab``."""

import typing

import anyio
import hypercorn.asyncio
import hypercorn.config
import typer

from dogwoodgap_lab import engine, engine_server, objects, plain_service, platform_server

cli = typer.Typer(no_args_is_help=True, help="Stand-ins, load and checks for dogwoodgap.")

Bind = typing.Annotated[str, typer.Option(help="Address to listen on, host:port.")]


def serve(application: typing.Any, bind: str) -> None:
    """Serve an ASGI application until SIGTERM."""
    config = hypercorn.config.Config()
    config.bind = [bind]
    config.accesslog = None
    config.errorlog = None
    anyio.run(hypercorn.asyncio.serve, application, config, backend_options={"use_uvloop": True})


@cli.command()
def platform(bind: Bind = "127.0.0.1:9000", seed: int = 0) -> None:
    """Run the platform stand-in."""
    serve(platform_server.build(objects.ObjectTable(seed)), bind)


@cli.command()
def engine_runner(bind: Bind = "127.0.0.1:9100") -> None:
    """Run a model engine stand-in."""
    serve(engine_server.build(engine.Engine()), bind)


@cli.command()
def plain_runner(bind: Bind = "127.0.0.1:9200") -> None:
    """Run a plain service stand-in."""
    serve(plain_service.build(plain_service.PlainService()), bind)


def main() -> None:
    """Run the command line."""
    cli()
