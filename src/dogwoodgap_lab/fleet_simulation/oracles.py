"""Rules that a simulated run must keep, one function for each, with the sentence it checks.

The sentences are those of the users' rules; docs/design.md names the same rules
``planned-stop`` (LOST) and ``at-most-once`` (TWICE, REFUSED). A machine is a gateway, a runner a
backend server, and a client a caller.
"""

import collections
import collections.abc
import dataclasses

from dogwoodgap_lab.fleet_simulation import evidence

STABLE_S = 2.0
"""Time after an unplanned disruption from which requests are judged by LOST again."""

DRAIN_S = 2.0
"""Time after the mark of a server as leaving from which DRAIN judges requests."""

EARLY_S = 3.0
"""Time after SIGTERM up to which a sent request may outlast the grace period."""

LAST_PART_S = evidence.GRACE_S / 6
"""Last part of the grace period, in which a server has to be at work on such a request."""

ALLOWED_FAILURES = 10
"""First tries at partitioned gateways that RECOVER lets fail, beside one in 50 of all."""

DEADLINE_SLACK_S = 0.05
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass(frozen=True)
class Finding:
    """A broken rule, with the request that shows it."""

    rule: str
    request: str
    gateway: str
    detail: str


Oracle = collections.abc.Callable[[evidence.Evidence], list[Finding]]


def lost(seen: evidence.Evidence) -> list[Finding]:
    """Check LOST around planned stops.

    "Around planned work, with no unplanned disruption from stableMs before the request to its end,
    a process has read a whole request and the connection ends without a complete answer [...] once
    it has been passed on to a runner. Planned work is: a SIGTERM of the machine that took the
    request from the client, until 1 s after graceS [...] Not counted: the runner broke off, the
    deadline or the route's timeout was reached, or the runner was still at work in the last sixth
    of graceS on a request that was sent no later than 3 s after the SIGTERM."
    """
    runs: dict[str, list[evidence.Run]] = collections.defaultdict(list)
    for run in seen.runs:
        runs[run.attempt].append(run)
    findings: list[Finding] = []
    for attempt in seen.attempts.values():
        if attempt.whole or attempt.gave_up or not runs[attempt.id]:
            continue
        stop = stop_around(seen, attempt)
        if stop is None or is_excused(seen, attempt, runs[attempt.id], stop):
            continue
        after_s = attempt.sent_at - stop.began_at
        findings.append(
            Finding(
                "LOST",
                attempt.id,
                attempt.gateway,
                f"sent {after_s:.3f} s after SIGTERM, run by {runs[attempt.id][-1].server}, "
                f"connection ended {attempt.ended_at - stop.began_at:.3f} s after SIGTERM",
            )
        )
    return findings


def stop_around(seen: evidence.Evidence, attempt: evidence.Attempt) -> evidence.Stop | None:
    """Return the planned stop of its gateway in which a request ended, or None."""
    for stop in seen.stops:
        until = min(stop.ended_at, stop.began_at + evidence.GRACE_S) + evidence.EXIT_WAIT_S
        if stop.gateway == attempt.gateway and stop.began_at <= attempt.ended_at <= until:
            return stop
    return None


def is_excused(
    seen: evidence.Evidence,
    attempt: evidence.Attempt,
    runs: list[evidence.Run],
    stop: evidence.Stop,
) -> bool:
    """Return whether an exception of LOST holds for a request."""
    if any(run.broken for run in runs):
        return True
    if attempt.ended_at >= attempt.sent_at + attempt.kind.timeout_s - DEADLINE_SLACK_S:
        return True
    last_part_at = stop.began_at + evidence.GRACE_S - LAST_PART_S
    is_early = attempt.sent_at <= stop.began_at + EARLY_S
    if is_early and any(run.ended_at >= last_part_at for run in runs):
        return True
    since, until = attempt.sent_at - STABLE_S, attempt.ended_at
    return is_disrupted(seen, attempt.gateway, since, until) or any(
        attempt.gateway in cut.gateways and cut.began_at <= until and cut.ended_at >= since
        for cut in seen.cuts
    )


def is_disrupted(seen: evidence.Evidence, gateway: str, since: float, until: float) -> bool:
    """Return whether a gateway was disrupted within a time, other than by a cut."""
    return any(
        disruption.gateway == gateway
        and disruption.began_at <= until
        and disruption.ended_at >= since
        for disruption in seen.disruptions
    )


def is_store_away(seen: evidence.Evidence, since: float, until: float) -> bool:
    """Return whether the store was away or slow within a time."""
    return any(outage.began_at <= until and outage.ended_at >= since for outage in seen.outages)


def is_steady(seen: evidence.Evidence, gateway: str, since: float, until: float) -> bool:
    """Return whether a gateway ran all the time, neither disrupted (but by a cut) nor stopping."""
    is_up = any(
        life.gateway == gateway
        and life.began_at <= since
        and until <= life.ended_at
        # A gateway that starts while the store is away is not ready yet.
        and not is_store_away(seen, life.began_at, life.began_at)
        for life in seen.lives
    )
    return is_up and not is_disrupted(seen, gateway, since, until)


def twice(seen: evidence.Evidence) -> list[Finding]:
    """Check TWICE: "A request that isn't idempotent runs more than once."."""
    counts = collections.Counter(run.attempt for run in seen.runs)
    return [
        Finding("TWICE", attempt.id, attempt.gateway, f"{counts[attempt.id]} runs")
        for attempt in seen.attempts.values()
        if counts[attempt.id] > 1 and not attempt.kind.repeatable
    ]


def refused(seen: evidence.Evidence) -> list[Finding]:
    """Check REFUSED.

    "A request that isn't idempotent is answered 429 or 503 (or 408, 421) and has run, or runs
    later. These statuses promise: not run, and never will be."
    """
    ran = {run.attempt for run in seen.runs}
    return [
        Finding("REFUSED", attempt.id, attempt.gateway, f"answered {attempt.status} and ran")
        for attempt in seen.attempts.values()
        if attempt.status in NOT_RUN_STATUSES and attempt.id in ran and not attempt.kind.repeatable
    ]


def mixed(seen: evidence.Evidence) -> list[Finding]:
    """Check MIXED.

    "A client gets a success (2xx) without the runner's Server-Seal, or with a body that isn't the
    runner's whole body [...] or any answer that belongs to another request; or a success on a
    connection with no request waiting".
    """
    bodies = collections.defaultdict(set)
    for run in seen.runs:
        bodies[run.attempt].add(run.body)
    findings: list[Finding] = []
    for attempt in seen.attempts.values():
        if not attempt.whole or attempt.status >= 300:
            continue
        problem = ""
        if not attempt.signed:
            problem = "a success without a server's signature"
        elif attempt.attempt_header != attempt.id:
            problem = f"the response of {attempt.attempt_header!r}"
        elif attempt.body not in bodies[attempt.id]:
            problem = f"a body that no server sent for it: {attempt.body[:60]!r}"
        elif attempt.extra:
            problem = f"bytes after the response: {attempt.extra[:60]!r}"
        if problem:
            findings.append(Finding("MIXED", attempt.id, attempt.gateway, problem))
    return findings


def recover(seen: evidence.Evidence) -> list[Finding]:
    """Check RECOVER.

    "While some machines are partitioned from all runners, from stableMs (2 s) after the cut began,
    clients' first tries at these machines are served less than two thirds as often as those at the
    others, and more than 10 + 1 in 50 of all first tries fail there."

    Callers of the simulation send no request a second time, thus all tries are first ones. Only
    tries at gateways that are up and undisturbed from stableMs before them to their end are
    counted, since a stop or pause makes tries fail without a partition.
    """
    findings: list[Finding] = []
    for cut in seen.cuts:
        served: collections.Counter[bool] = collections.Counter()
        failed: dict[bool, list[evidence.Attempt]] = {True: [], False: []}
        for attempt in seen.attempts.values():
            is_judged = cut.began_at + STABLE_S <= attempt.sent_at < cut.ended_at
            since, until = attempt.sent_at - STABLE_S, attempt.ended_at
            # A program that has got its budget is refused wherever it asks.
            if not is_judged or attempt.program is not None:
                continue
            if not is_steady(seen, attempt.gateway, since, until):
                continue
            is_cut = attempt.gateway in cut.gateways
            if attempt.whole and attempt.status < 300:
                served[is_cut] += 1
            else:
                failed[is_cut].append(attempt)
        here, there = (served[is_cut] + len(failed[is_cut]) for is_cut in (True, False))
        if not here or not there or len(failed[True]) <= ALLOWED_FAILURES + (here + there) / 50:
            continue
        # As fractions: served[True] / here < 2 / 3 * served[False] / there.
        if 3 * served[True] * there < 2 * served[False] * here:
            first = failed[True][0]
            findings.append(
                Finding(
                    "RECOVER",
                    first.id,
                    first.gateway,
                    f"{served[True]} of {here} first tries served at partitioned gateways, "
                    f"{served[False]} of {there} at the others",
                )
            )
    return findings


def budget(seen: evidence.Evidence) -> list[Finding]:
    """Check BUDGET: servers run at most the budget of a program and one turn for it.

    The tokens of a turn are the events up to the last one that a server has produced for it. The
    few that another server has produced again, because they were lost, count once.
    """
    produced: dict[str, int] = collections.defaultdict(int)
    for run in seen.runs:
        produced[run.attempt] = max(produced[run.attempt], run.last_event)
    turns: dict[evidence.Program, list[evidence.Attempt]] = collections.defaultdict(list)
    for attempt in seen.attempts.values():
        if attempt.program is not None and produced[attempt.id]:
            turns[attempt.program].append(attempt)
    findings: list[Finding] = []
    for program, attempts in turns.items():
        tokens = sum(produced[attempt.id] for attempt in attempts)
        last = attempts[-1]
        if tokens > program.budget + last.kind.events:
            detail = f"{program.name} ran {tokens} tokens in {len(attempts)} turns of a budget of "
            findings.append(
                Finding("BUDGET", last.id, last.gateway, f"{detail}{program.budget} tokens")
            )
    return findings


def drain(seen: evidence.Evidence) -> list[Finding]:
    """Check DRAIN.

    "A request that a client sent later than drainMs (2 s) after a server was marked as leaving in
    the list reaches it from a gateway in touch with the store."

    A gateway is in touch if neither the store was away or slow nor the gateway disrupted, other
    than by a cut, from drainMs before the request until it reached the server.
    """
    findings: list[Finding] = []
    for run in seen.runs:
        sent_at = seen.attempts[run.attempt].sent_at
        for departure in seen.departures:
            after_s = sent_at - departure.marked_at
            if run.server != departure.server or after_s <= DRAIN_S:
                continue
            since, until = sent_at - DRAIN_S, run.began_at
            if until >= departure.returned_at or is_store_away(seen, since, until):
                continue
            if not is_disrupted(seen, run.sender, since, until):
                detail = f"sent {after_s:.3f} s after {run.server} was marked as leaving"
                findings.append(Finding("DRAIN", run.attempt, run.sender, detail))
    return findings


ORACLES: tuple[Oracle, ...] = (lost, twice, refused, mixed, recover, budget, drain)


def check(seen: evidence.Evidence) -> list[Finding]:
    """Return all findings, with unexpected errors of the gateways."""
    findings = [Finding("ERROR", "", error.partition(" ")[0], error) for error in seen.errors]
    return [finding for oracle in ORACLES for finding in oracle(seen)] + findings
