"""Calls, actions and program lifecycle of one session."""

import collections.abc

import anyio.abc

from dogwoodgap import (
    actions,
    backends,
    calls,
    exceptions,
    intents,
    lifecycle,
    models,
    releases,
    sessions,
    shards,
)


class Workers:
    """Components that record through one session.

    After a seal the node creates new workers for the new session; the old ones finish what they
    run without recording anything.

    Parameters
    ----------
    send_to_key_owner : callable
        Sends an action to the owner of its idempotency key.
    active_profile : callable
        Returns the name of the profile that a service uses at this hour.
    """

    def __init__(
        self,
        session: sessions.Session,
        node_backends: backends.Backends,
        engine_cache: releases.Releases,
        configuration: collections.abc.Callable[[], models.FleetConfiguration],
        send_to_key_owner: actions.SendToKeyOwner,
        tasks: anyio.abc.TaskGroup,
        active_profile: collections.abc.Callable[[str], str] | None = None,
    ):
        self.session = session
        self.calls = calls.Calls(
            session,
            node_backends.engine,
            node_backends.dispatchers,
            tasks,
            configuration,
            engine_cache,
            node_backends.protection,
        )
        self.lifecycle = lifecycle.Lifecycle(
            session, self.calls, engine_cache, configuration, active_profile=active_profile
        )
        self.intents = intents.Intents(
            session,
            node_backends.service,
            node_backends.views,
            configuration,
            tasks,
            node_backends.protection,
        )
        self.idempotent = actions.IdempotentActions(
            node_backends.service, node_backends.views, node_backends.protection
        )
        self.actions = actions.Actions(
            session, self.calls, self.lifecycle, self.idempotent, send_to_key_owner, tasks
        )
        self.lifecycle.has_running_action = self.actions.has_running_action

    def is_busy(self, shard: int) -> bool:
        """Return whether work of a shard is running or not stored yet."""
        program_keys = [*self.calls.running, *self.actions.running, *self.lifecycle.commits]
        if any(shards.program_shard(key.customer, key.program) == shard for key in program_keys):
            return True
        return any(shards.key_shard(key.customer, key.key) == shard for key in self.intents.running)

    async def wait_idle(self) -> None:
        """Return when no call or action runs; they continue after their requests have ended."""
        while self.calls.running:
            await next(iter(self.calls.running.values())).closed.wait()
        while waiting := [*self.actions.running.values(), *self.intents.running.values()]:
            await waiting[0].done.wait()

    def cancel_calls(self) -> None:
        """Cancel the calls of a sealed session; its successor has charged them."""
        for call in list(self.calls.running.values()):
            call.cancel(
                exceptions.JournalSealedError(
                    "another node took over; ask GET /v1/entries and repeat the request there"
                )
            )
