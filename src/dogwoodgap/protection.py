"""What surrounds every request to a runner: circuit breaker, quarantine and crash detection."""

import collections.abc
import contextlib
import typing

import anyio.abc
import xxhash

from dogwoodgap import adapters, breakers, clock, exceptions, quarantine, runners, structures


class Protection(typing.Protocol):
    """Guards requests to runners."""

    def around(
        self,
        runner: structures.RunnerView,
        digest: str,
        *,
        urgent: bool = False,
        expected_s: float = 0.0,
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Return a context for one request; it may wait or refuse before the request is sent."""

    def first_attempt(self, service: str) -> None:
        """Count a request that is not a retry."""

    def may_retry(self, service: str) -> bool:
        """Return whether the retry budget of a service allows another attempt."""


class Unprotected:
    """Lets every request pass."""

    @contextlib.asynccontextmanager
    async def around(
        self,
        runner: structures.RunnerView,
        digest: str,
        *,
        urgent: bool = False,
        expected_s: float = 0.0,
    ) -> collections.abc.AsyncIterator[None]:
        """Return a context that does nothing."""
        yield

    def first_attempt(self, service: str) -> None:
        """Count nothing."""

    def may_retry(self, service: str) -> bool:
        """Return that any retry is allowed."""
        return True


class RunnerProtection:
    """Guards requests by breaker and quarantine, and reports failures to the directory.

    Parameters
    ----------
    tasks : anyio.abc.TaskGroup
        Runs the probes of runners that failed.
    """

    def __init__(
        self,
        directory: runners.Directory,
        suspects: quarantine.Quarantine,
        guards: breakers.Guards,
        tasks: anyio.abc.TaskGroup,
    ):
        self.directory = directory
        self.quarantine = suspects
        self.guards = guards
        self.tasks = tasks

    def usable(self, view: structures.RunnerView) -> bool:
        """Return whether placement may choose a runner."""
        return self.guards.available(view) and not self.quarantine.reserved(view)

    def first_attempt(self, service: str) -> None:
        """Count a request that is not a retry."""
        self.guards.budget(service).first_attempt()

    def may_retry(self, service: str) -> bool:
        """Return whether the retry budget of a service allows another attempt."""
        return self.guards.budget(service).take()

    @contextlib.asynccontextmanager
    async def around(
        self,
        runner: structures.RunnerView,
        digest: str,
        *,
        urgent: bool = False,
        expected_s: float = 0.0,
    ) -> collections.abc.AsyncIterator[None]:
        """Guard one request.

        Raises
        ------
        RunnerUnreachableError, QuarantinedError, OverloadedError, StoreUnavailableError
            When it may not run now; nothing was sent.
        """
        guard = self.guards.guard(runner)
        if not urgent and not guard.breaker.admit():
            raise exceptions.RunnerUnreachableError(
                f"runner {runner.id} failed too often lately; another runner may answer"
            )
        started = clock.now()
        try:
            async with self.quarantine.guarded(digest, runner, urgent=urgent):
                check_leaving(runner)
                yield
        except exceptions.RunnerLeavingError:
            guard.breaker.abandoned()
            self.directory.refused(runner)
            raise
        except (exceptions.RunnerFailedError, exceptions.OutcomeUnknownError):
            guard.breaker.failed()
            self.tasks.start_soon(self.directory.check, runner)
            raise
        except BaseException:
            guard.breaker.abandoned()
            raise
        guard.breaker.succeeded()
        if expected_s > 0.0:
            ratio = (clock.now() - started) / expected_s
            guard.concurrency.finished(ratio, runner.in_flight)


def check_leaving(runner: structures.RunnerView) -> None:
    """Refuse a runner that began to leave while the request waited."""
    if runner.leaving:
        raise exceptions.RunnerLeavingError(
            f"runner {runner.id} is leaving; another runner may answer"
        )


def digest_of(request: adapters.GenerationRequest) -> str:
    """Return the digest of everything that a model call sends, whoever sends it."""
    state = xxhash.xxh3_128()
    for message in request.messages:
        state.update(message.role.encode())
        state.update(b"\0")
        state.update(message.content.encode())
        state.update(b"\0")
    return state.hexdigest()
