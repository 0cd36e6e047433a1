"""Protection of requests to runners: circuit breaker, quarantine and crash detection."""

import collections.abc
import contextlib
import typing

import anyio.abc
import xxhash

from dogwoodgap import adapters, breakers, clock, exceptions, quarantine, runners, structures


class Protection(typing.Protocol):
    """Interface for guarding requests to runners."""

    def protect(
        self,
        runner: structures.RunnerView,
        digest: str,
        *,
        urgent: bool = False,
        expected_s: float = 0.0,
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Return a context for one request, which may wait or raise before the request is sent.

        Parameters
        ----------
        expected_s : float
            Estimated duration for adapting the concurrency limit; 0 skips this.
        """

    def record_first_attempt(self, service: str) -> None:
        """Count a request that is not a retry."""

    def may_retry(self, service: str) -> bool:
        """Return whether the retry budget of a service allows another attempt."""


class NoProtection:
    """Allows every request."""

    @contextlib.asynccontextmanager
    async def protect(
        self,
        runner: structures.RunnerView,
        digest: str,
        *,
        urgent: bool = False,
        expected_s: float = 0.0,
    ) -> collections.abc.AsyncIterator[None]:
        """Return a context that does nothing."""
        yield

    def record_first_attempt(self, service: str) -> None:
        """Count nothing."""

    def may_retry(self, service: str) -> bool:
        """Return True."""
        return True


class RunnerProtection:
    """Guards requests with breaker and quarantine, and reports failures to the directory.

    Parameters
    ----------
    tasks : anyio.abc.TaskGroup
        Runs the probes of runners that failed.
    """

    def __init__(
        self,
        directory: runners.Directory,
        node_quarantine: quarantine.Quarantine,
        guards: breakers.RunnerGuards,
        tasks: anyio.abc.TaskGroup,
    ):
        self.directory = directory
        self.quarantine = node_quarantine
        self.guards = guards
        self.tasks = tasks

    def usable(self, view: structures.RunnerView) -> bool:
        """Return whether placement may choose a runner."""
        return self.guards.available(view) and not self.quarantine.is_reserved(view)

    def record_first_attempt(self, service: str) -> None:
        """Count a request that is not a retry."""
        self.guards.budget(service).record_first_attempt()

    def may_retry(self, service: str) -> bool:
        """Return whether the retry budget of a service allows another attempt."""
        return self.guards.budget(service).take()

    @contextlib.asynccontextmanager
    async def protect(
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
            If the request may not run now. Nothing was sent.
        """
        guard = self.guards.guard(runner)
        if not urgent and not guard.breaker.admit():
            raise exceptions.RunnerUnreachableError(
                f"circuit breaker of runner {runner.id} is open; another runner may answer"
            )
        started = clock.now()
        try:
            async with self.quarantine.guarded(digest, runner, urgent=urgent):
                check_leaving(runner)
                yield
        except exceptions.RunnerLeavingError:
            guard.breaker.abandon_probe()
            self.directory.record_refusal(runner)
            raise
        except (exceptions.RunnerFailedError, exceptions.OutcomeUnknownError):
            guard.breaker.record_failure()
            self.tasks.start_soon(self.directory.check_health, runner)
            raise
        except BaseException:
            guard.breaker.abandon_probe()
            raise
        guard.breaker.record_success()
        if expected_s > 0.0:
            ratio = (clock.now() - started) / expected_s
            guard.concurrency.record_finish(ratio, runner.in_flight)


def check_leaving(runner: structures.RunnerView) -> None:
    """Raise ``RunnerLeavingError`` if the runner began to leave while the request waited."""
    if runner.leaving:
        raise exceptions.RunnerLeavingError(
            f"runner {runner.id} is leaving; another runner may answer"
        )


def digest_of(request: adapters.GenerationRequest) -> str:
    """Return a digest of all messages of a model call, independent of the caller."""
    state = xxhash.xxh3_128()
    for message in request.messages:
        state.update(message.role.encode())
        state.update(b"\0")
        state.update(message.content.encode())
        state.update(b"\0")
    return state.hexdigest()
