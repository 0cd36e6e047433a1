"""Command that shows the peak window learned for a service."""

import msgspec
import typer

from dogwoodgap import ctl_client, ctl_output, ctl_session, profiles


class PeakReply(msgspec.Struct):
    """Reply of the administration API about a service's peak."""

    service: str
    time_zone: str
    active_profile: str
    proposal: profiles.PeakProposal | None


def add_commands(cli: typer.Typer) -> None:
    """Add the ``peak`` command."""
    cli.command()(peak)


def peak(context: typer.Context, service: str) -> None:
    """Show the peak window of a service, learned from the demand of past weeks.

    Nothing is applied; to use the window, add it to the service's hours.

    Example: dogwoodgap-ctl peak agent-llm
    """
    session = ctl_session.from_context(context)

    async def read(client: ctl_client.Client) -> PeakReply:
        reply = await client.read(f"/services/{service}/peak")
        return msgspec.json.decode(reply.data, type=PeakReply)

    reply = session.run(read)
    if session.json:
        ctl_output.print_json(reply)
        return
    typer.echo(describe(reply))


def describe(reply: PeakReply) -> str:
    """Return the active profile and the proposed peak window as a sentence."""
    now = f"{reply.service} uses profile {reply.active_profile} now"
    proposal = reply.proposal
    if proposal is None:
        return f"{now}; no peak is known before {profiles.MIN_DAYS} days of demand"
    return (
        f"{now}; its peak is from {proposal.start_hour}:00 to {proposal.end_hour}:00 "
        f"{reply.time_zone} with {proposal.share:.0%} of the demand, "
        f"{proposal.moved_hours:+.1f} h against the older weeks"
    )
