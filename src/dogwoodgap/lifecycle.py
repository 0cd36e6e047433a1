"""Creation, limits and termination of programs."""

import collections.abc
import uuid

import anyio

from dogwoodgap import (
    calls,
    clock,
    events,
    exceptions,
    journal,
    metrics,
    models,
    programs,
    records,
    releases,
    sessions,
    shards,
    structures,
)

STORE_TIMEOUT_S = 10.0
SWEEP_INTERVAL_S = 1.0
TOUCH_INTERVAL_S = 1.0
"""Heartbeats at shorter intervals are not recorded."""

ActionCheck = collections.abc.Callable[[programs.Program], bool]


class Lifecycle:
    """Creates and ends programs, and enforces the limits of their profiles.

    Parameters
    ----------
    configuration : callable
        Returns the fleet configuration in force.
    has_running_action : callable, optional
        Returns whether an action of a program is running.
    active_profile : callable, optional
        Returns the name of the profile that a service uses at this hour.
    """

    def __init__(
        self,
        session: sessions.Session,
        running: calls.Calls,
        engine_cache: releases.Releases,
        configuration: collections.abc.Callable[[], models.FleetConfiguration],
        has_running_action: ActionCheck = lambda program: False,
        active_profile: collections.abc.Callable[[str], str] | None = None,
    ):
        self.session = session
        self.table = session.table
        self.calls = running
        self.engine_cache = engine_cache
        self.configuration = configuration
        self.has_running_action = has_running_action
        self.active_profile = active_profile or self.service_profile
        self.commits: dict[programs.ProgramKey, journal.Commit] = {}

    def profile(self, program: programs.Program) -> models.Profile:
        """Return the profile of a program."""
        return self.configuration().profiles.get(program.profile, models.Profile())

    def service_profile(self, service: str) -> str:
        """Return the name of a service's default profile, regardless of the hour."""
        return self.configuration().services[service].profile

    async def store(self, key: programs.ProgramKey, record: records.Record) -> None:
        """Apply a record and wait until it is stored."""
        self.commits[key] = self.session.record(record)
        await self.wait_stored(key)

    async def wait_stored(self, key: programs.ProgramKey) -> None:
        """Wait for the last creation or end of a program to be stored.

        Raises
        ------
        StoreUnavailableError
            When it is not stored in time; a repeat waits again.
        """
        commit = self.commits.get(key)
        if commit is None:
            return
        with anyio.move_on_after(STORE_TIMEOUT_S) as scope:
            await commit.wait()
        if scope.cancelled_caught:
            raise exceptions.StoreUnavailableError(
                "the change of the program is not stored yet; repeat the request",
                not_run="unknown",
            )
        if self.commits.get(key) is commit:
            del self.commits[key]

    async def create(self, customer: str, body: models.ProgramRequest) -> programs.Program:
        """Create a program, or return the one with this id.

        Raises
        ------
        UnknownServiceError, UnknownProfileError, UnknownCustomerError, UnknownProgramError
            When a name does not exist.
        ConflictError
            When a program of this id differs from the one described.
        """
        name, profile = self.resolve_profile(customer, body)
        program_id = self.child_id(customer, body) if body.parent else root_id(body)
        key = programs.ProgramKey(customer, program_id)
        existing = self.table.programs.get(key)
        if existing is not None:
            if (existing.service, existing.profile) != (body.service, name):
                raise exceptions.ConflictError(
                    f"program {program_id!r} exists with another service or profile; "
                    "choose another id"
                )
            await self.wait_stored(key)
            return existing
        now = clock.wall_time()
        record = records.ProgramCreated(
            customer=customer,
            program=program_id,
            service=body.service,
            profile=name,
            budget_tokens=body.budget_tokens or profile.budget_tokens,
            created_at=now,
            deadline_at=now + min(profile.max_wall_seconds, body.deadline_seconds or 1e12),
            parent=body.parent or "",
        )
        await self.store(key, record)
        return self.table.get(customer, program_id)

    def resolve_profile(
        self, customer: str, body: models.ProgramRequest
    ) -> tuple[str, models.Profile]:
        """Return the name and the settings of the profile of a new program."""
        configuration = self.configuration()
        if customer not in configuration.customers:
            raise exceptions.UnknownCustomerError(
                f"customer {customer!r} is not configured; use a key of a configured customer"
            )
        service = configuration.services.get(body.service)
        if service is None or service.kind != "model":
            names = [name for name, item in configuration.services.items() if item.kind == "model"]
            raise exceptions.UnknownServiceError(
                f"{body.service!r} is not a model service; use one of {', '.join(sorted(names))}"
            )
        name = body.profile or self.active_profile(body.service)
        profile = configuration.profiles.get(name)
        if profile is None:
            raise exceptions.UnknownProfileError(
                f"profile {name!r} does not exist; "
                f"use one of {', '.join(sorted(configuration.profiles))}"
            )
        return name, profile

    def child_id(self, customer: str, body: models.ProgramRequest) -> str:
        """Return the id of a child program; ``id`` in the request is the number of the child."""
        parent = self.table.get(customer, body.parent or "")
        next_number = len(parent.children) + 1
        if body.id is not None and not (body.id.isdecimal() and 1 <= int(body.id) <= next_number):
            raise exceptions.InvalidRequestError(
                f"id {body.id!r} is not the number of a child; use {next_number} or leave it out"
            )
        number = int(body.id) if body.id is not None else next_number
        if number == next_number:
            programs.check_open(parent)
            limit = self.profile(parent).max_children
            if next_number > limit:
                raise exceptions.ChildLimitError(
                    f"program {parent.id!r} has {limit} children already; "
                    "raise max_children of its profile"
                )
        return f"{parent.id}.{number}"

    def check_limits(self, program: programs.Program, digest: str) -> None:
        """End the program when its next call or action would exceed a limit."""
        programs.check_open(program)
        profile = self.profile(program)
        reason = self.exceeded_time_limit(program)
        if program.turn_count >= profile.max_turns:
            reason = f"max_turns of {profile.max_turns} reached"
        elif count_repeats(program, digest) >= profile.max_repeats:
            reason = f"the same request was made {profile.max_repeats} times"
        if reason:
            self.end_by_limit(program, reason)
            programs.check_open(program)

    def exceeded_time_limit(self, program: programs.Program) -> str:
        """Return which time limit a program has exceeded, or an empty string."""
        now = clock.wall_time()
        if now >= program.deadline_at:
            return "deadline or max_wall_seconds passed"
        idle = self.profile(program).idle_seconds
        tree = self.table.subtree(program)
        if now - max(item.touched_at for item in tree) < idle:
            return ""
        if any(
            programs.key_of(item) in self.calls.running or self.has_running_action(item)
            for item in tree
        ):
            return ""
        return f"idle for {idle:g} s"

    def end_by_limit(self, program: programs.Program, reason: str) -> None:
        """End a program that has reached a limit."""
        events.emit(
            events.Event.PROGRAM_LIMITED,
            "program ended by a limit",
            program=program.id,
            customer=program.customer,
            reason=reason,
        )
        metrics.count("programs.limited")
        self.mark_ended(program, structures.ProgramStatus.LIMITED, reason)

    async def end(
        self, program: programs.Program, status: structures.ProgramStatus, reason: str
    ) -> None:
        """End a program and its children, and wait until that is stored."""
        self.mark_ended(program, status, reason)
        await self.wait_stored(programs.key_of(program))

    def mark_ended(
        self, program: programs.Program, status: structures.ProgramStatus, reason: str
    ) -> None:
        """End a program and its children, cancel their calls and release their cache."""
        for item in reversed(self.table.subtree(program)):
            if item.status != structures.ProgramStatus.ACTIVE:
                continue
            record = records.ProgramEnded(
                customer=item.customer,
                program=item.id,
                status=status.value,
                reason=reason,
                at=clock.wall_time(),
            )
            self.commits[programs.key_of(item)] = self.session.record(record)
            report_end(item, record.at)
            self.engine_cache.release(item, self.calls.cancel(item, end_error(item)))

    def touch(self, program: programs.Program) -> None:
        """Restart the idle timeout, without waiting: a lost heartbeat does no harm."""
        programs.check_open(program)
        now = clock.wall_time()
        if now - program.touched_at < TOUCH_INTERVAL_S:
            return
        record = records.ProgramTouched(customer=program.customer, program=program.id, at=now)
        self.session.record(record)

    async def sweep(self) -> None:
        """Periodically end the programs that have exceeded a time limit."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_S)
            for program in list(self.table.programs.values()):
                self.end_if_expired(program)
            self.commits = {
                key: commit for key, commit in self.commits.items() if not commit.stored.is_set()
            }

    def end_if_expired(self, program: programs.Program) -> None:
        """End one program if it has exceeded a time limit."""
        if program.status != structures.ProgramStatus.ACTIVE:
            return
        if not self.session.owns(shards.program_shard(program.customer, program.id)):
            return
        reason = self.exceeded_time_limit(program)
        if reason:
            self.end_by_limit(program, reason)


def report_end(program: programs.Program, at: float) -> None:
    """Count an ended program, and report the latency of a root program that finished.

    Programs stopped by a limit or by their caller have no latency: it would measure the limit or
    the caller instead.
    """
    metrics.count("programs.finished")
    if program.status == structures.ProgramStatus.FINISHED and not program.parent:
        metrics.timing("program.latency", at - program.created_at)


def end_error(program: programs.Program) -> exceptions.DogwoodgapError:
    """Return the error for the running call of an ended program."""
    try:
        programs.check_open(program)
    except exceptions.ProgramFinishedError as error:
        return error
    raise AssertionError(f"program {program.id} has not ended")


def count_repeats(program: programs.Program, digest: str) -> int:
    """Return how many calls and actions of a program had this digest."""
    entries = [*program.calls.values(), *program.actions.values()]
    return sum(entry.digest == digest for entry in entries)


def root_id(body: models.ProgramRequest) -> str:
    """Return the id of a new root program."""
    if body.id is not None and "." in body.id:
        raise exceptions.InvalidRequestError(
            f"id {body.id!r} contains '.', which marks child programs; leave it out"
        )
    return body.id or new_id()


def new_id() -> str:
    """Return a random program id."""
    return uuid.uuid4().hex
