"""Adapter to plain services, which reports whether an action may have run."""

import collections.abc
import typing
import urllib.parse

import anyio
import httpx
import msgspec

from dogwoodgap import adapters, exceptions, structures


class HttpServiceAdapter:
    """Sends actions to plain services over HTTP.

    Parameters
    ----------
    client : httpx.AsyncClient
        Reuses connections; for requests that may be repeated.
    unpooled_client : httpx.AsyncClient
        Opens a connection for each request, since a stale one could make an outcome unknown.
    """

    def __init__(self, client: httpx.AsyncClient, unpooled_client: httpx.AsyncClient):
        self.client = client
        self.unpooled_client = unpooled_client

    async def act(
        self,
        runner: structures.RunnerView,
        path: str,
        payload: typing.Any,
        *,
        key: str,
        timeout_s: float,
        trace: str = "",
    ) -> structures.ActionResult:
        """Send one action and return the service's answer.

        A key marks the action as non-idempotent, so that it is sent on a new connection.

        Raises
        ------
        RunnerUnreachableError
            If nothing was sent.
        OutcomeUnknownError
            If the request was sent and no answer was received.
        """
        headers = {"Content-Type": "application/json"}
        if key:
            headers["Idempotency-Key"] = key
        if trace:
            headers["traceparent"] = trace
        client = self.unpooled_client if key else self.client
        connected = anyio.Event()
        connect_s = min(timeout_s, adapters.CONNECT_TIMEOUT_S)
        try:
            with anyio.fail_after(timeout_s):
                reply = await client.post(
                    f"{runner.address}/{path}",
                    content=msgspec.json.encode(payload),
                    headers=headers,
                    timeout=httpx.Timeout(timeout_s, connect=connect_s),
                    extensions={"trace": connection_trace(connected)},
                )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise unreachable_error(runner) from error
        except (httpx.HTTPError, TimeoutError) as error:
            if not connected.is_set():
                raise unreachable_error(runner) from error
            raise exceptions.OutcomeUnknownError(
                f"runner {runner.id} did not answer ({type(error).__name__}); "
                "ask the service for the outcome of the idempotency key"
            ) from error
        return structures.ActionResult(
            status=reply.status_code,
            body=decode_body(reply),
            not_run="unknown" if is_outcome_unknown(reply.status_code) else "false",
        )

    async def outcome(
        self, runner: structures.RunnerView, key: str
    ) -> structures.ActionResult | None:
        """Return the outcome that a service recorded for a key, or None when it has none."""
        try:
            with anyio.fail_after(adapters.CONNECT_TIMEOUT_S):
                reply = await self.client.get(
                    f"{runner.address}/outcomes/{urllib.parse.quote(key, safe='')}"
                )
            if reply.status_code != httpx.codes.OK:
                return None
            report = msgspec.json.decode(reply.content, type=OutcomeReport)
        except (httpx.HTTPError, TimeoutError, msgspec.DecodeError) as error:
            raise exceptions.RunnerFailedError(
                f"runner {runner.id} did not report the outcome of the key; the request is retried"
            ) from error
        return structures.ActionResult(status=report.status, body=report.body, not_run="false")

    async def load(self, runner: structures.RunnerView) -> adapters.LoadReport:
        """Return the runner's load."""
        return await adapters.fetch_load(self.client, runner)


class OutcomeReport(msgspec.Struct):
    """Reply of a service to ``GET /outcomes/{key}``."""

    status: int
    body: typing.Any = None


def is_outcome_unknown(status: int) -> bool:
    """Return whether an HTTP status does not show if the action was executed."""
    return status == httpx.codes.TOO_MANY_REQUESTS or status >= httpx.codes.INTERNAL_SERVER_ERROR


def decode_body(reply: httpx.Response) -> typing.Any:
    """Return the decoded body, or its text when it is not JSON."""
    if not reply.content:
        return None
    try:
        return msgspec.json.decode(reply.content)
    except msgspec.DecodeError:
        return reply.text


def unreachable_error(runner: structures.RunnerView) -> exceptions.RunnerUnreachableError:
    """Return the error for a connection that failed before anything was sent."""
    return exceptions.RunnerUnreachableError(
        f"runner {runner.id} refused the connection; another runner may answer"
    )


def connection_trace(
    connected: anyio.Event,
) -> collections.abc.Callable[[str, typing.Any], collections.abc.Awaitable[None]]:
    """Return a trace callback that sets ``connected`` before the first byte is written."""

    async def trace(name: str, info: typing.Any) -> None:
        if "send_request_headers.started" in name:
            connected.set()

    return trace
