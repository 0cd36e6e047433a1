"""Command that shows the learned peak of a service."""

import msgspec
import typer

from dogwoodgap import ctl_client, ctl_output, ctl_session, profiles


class PeakReply(msgspec.Struct):
    """What the administration API answers about a service's peak."""

    service: str
    time_zone: str
    active_profile: str
    proposal: profiles.PeakProposal | None


def add_commands(cli: typer.Typer) -> None:
    """Add the command of this module."""
    cli.command()(peak)


def peak(context: typer.Context, service: str) -> None:
    """Show the peak window of a service that was learned from past weeks.

    Nothing is applied; put the window into the service's hours when it suits.

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
    """Return the proposal in one sentence."""
    now = f"{reply.service} uses profile {reply.active_profile} now"
    proposal = reply.proposal
    if proposal is None:
        return f"{now}; no peak is known before {profiles.MIN_DAYS} days of demand"
    return (
        f"{now}; its peak is from {proposal.start_hour}:00 to {proposal.end_hour}:00 "
        f"{reply.time_zone} with {proposal.share:.0%} of the demand, "
        f"{proposal.moved_hours:+.1f} h against the older weeks"
    )
