"""Connection options and exit codes of the command line."""

import collections.abc
import dataclasses
import os
import pathlib
import ssl
import typing

import anyio
import httpx
import typer

from dogwoodgap import ctl_client, exceptions

NODE_VARIABLE = "DOGWOODGAP_NODE"
KEY_VARIABLE = "DOGWOODGAP_KEY"
DEFAULT_NODE = "http://127.0.0.1:8080"

EXIT_REFUSED = 1
EXIT_INVALID = 2
EXIT_CONFLICT = 3
EXIT_NOT_ALLOWED = 4
EXIT_NO_NODE = 5
EXIT_UNKNOWN = 6
EXIT_TIMEOUT = 7

EXIT_CODES: dict[type[exceptions.DogwoodgapError], int] = {
    exceptions.DogwoodgapError: EXIT_REFUSED,
    exceptions.SettingsInvalidError: EXIT_INVALID,
    exceptions.InvalidRequestError: EXIT_INVALID,
    exceptions.ConfigurationConflictError: EXIT_CONFLICT,
    exceptions.UnauthorizedError: EXIT_NOT_ALLOWED,
    exceptions.ForbiddenError: EXIT_NOT_ALLOWED,
    ctl_client.NoNodeError: EXIT_NO_NODE,
    ctl_client.LostReplyError: EXIT_UNKNOWN,
    ctl_client.WaitTimeoutError: EXIT_TIMEOUT,
}

T = typing.TypeVar("T")
Action = collections.abc.Callable[[ctl_client.Client], collections.abc.Awaitable[T]]


@dataclasses.dataclass
class Session:
    """Connection and output options of one command.

    Attributes
    ----------
    transport : httpx.AsyncBaseTransport or None
        Overrides the HTTP transport, for tests.
    """

    nodes: list[str] = dataclasses.field(default_factory=list)
    key_file: pathlib.Path | None = None
    authority: str = ""
    json: bool = False
    transport: httpx.AsyncBaseTransport | None = None
    backend: str = "asyncio"
    backend_options: dict[str, typing.Any] = dataclasses.field(default_factory=dict)

    def run(self, action: Action[T]) -> T:
        """Run an action with a client; an error ends the process with its exit code."""
        try:
            return anyio.run(
                self.run_with_client,
                action,
                backend=self.backend,
                backend_options=self.backend_options,
            )
        except exceptions.DogwoodgapError as error:
            typer.echo(f"error {error.code}: {error.detail}", err=True)
            raise typer.Exit(exit_code(error)) from error

    async def run_with_client(self, action: Action[T]) -> T:
        """Open an HTTP client with the operator's key and run an action with it."""
        timeout = httpx.Timeout(ctl_client.READ_TIMEOUT_S, connect=ctl_client.CONNECT_TIMEOUT_S)
        async with httpx.AsyncClient(
            headers={"Authorization": f"Bearer {self.read_key()}"},
            timeout=timeout,
            transport=self.transport,
            verify=self.tls_verification(),
            trust_env=False,
        ) as http:
            return await action(ctl_client.Client(http, self.nodes))

    def read_key(self) -> str:
        """Return the operator's key from the key file or the environment.

        Raises
        ------
        UnauthorizedError
            When the file cannot be read or no key is given.
        """
        if self.key_file is None:
            key = os.environ.get(KEY_VARIABLE, "").strip()
        else:
            try:
                key = self.key_file.read_text(encoding="ascii").strip()
            except (OSError, UnicodeDecodeError) as error:
                raise exceptions.UnauthorizedError(
                    f"{self.key_file}: cannot be read ({error}); name a file that holds the key"
                ) from error
        if not key:
            raise exceptions.UnauthorizedError(
                f"no key; use --key-file or set the variable {KEY_VARIABLE}"
            )
        return key

    def tls_verification(self) -> ssl.SSLContext | bool:
        """Return the ``verify`` argument of the HTTP client.

        Raises
        ------
        SettingsInvalidError
            When the certificate authority file cannot be read.
        """
        if not self.authority:
            return any(node.startswith("https") for node in self.nodes)
        try:
            return ssl.create_default_context(cafile=self.authority)
        except OSError as error:
            raise exceptions.SettingsInvalidError(
                f"{self.authority}: not a readable certificate file ({error}); correct --authority"
            ) from error


def exit_code(error: exceptions.DogwoodgapError) -> int:
    """Return the exit code of an error's most specific class in ``EXIT_CODES``."""
    return next(EXIT_CODES[base] for base in type(error).__mro__ if base in EXIT_CODES)


def from_context(context: typer.Context) -> Session:
    """Return the session that :func:`ctl.set_connection_options` has filled."""
    return context.ensure_object(Session)
