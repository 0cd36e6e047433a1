"""Token accounts and copies of records on their way to other nodes.

Accounts go to the nodes that own them once members have come or gone. Copies of the records in the
platform's store go to the next owners of a program, which know them while the store is away.
"""

import collections
import collections.abc
import logging
import typing

import anyio
import anyio.abc

from dogwoodgap import (
    budget_records,
    budget_wire,
    budgets,
    events,
    exceptions,
    members,
    peers,
)
from dogwoodgap_wire import ttypes

TRANSFER_TIMEOUT_S = 1.0
"""A message of 40 kB between data centres, on the slowest link of 15 Mbit/s, takes 21 ms."""

RECORD_COPIES = 5
"""Nodes that are told of a record after its owner, the next ones to own the program, so that they
know it while the store is away. Up to 4 of 7 nodes are lost at once."""

MAX_TRANSFER = 500
"""Accounts of one message; 40 kB."""


class Transfers:
    """Sends and receives accounts and copies of records.

    Parameters
    ----------
    owners : callable
        Returns the members in the order in which they own a program.
    """

    def __init__(
        self,
        ledger: budgets.Ledger,
        keeper: budget_records.RecordKeeper,
        owners: collections.abc.Callable[[str], list[members.Member]],
    ):
        self.ledger = ledger
        self.keeper = keeper
        self.owners = owners
        self.moving = anyio.Lock()
        self.local: members.Member | None = None
        self.network: peers.Network | None = None
        self.tasks: anyio.abc.TaskGroup | None = None
        keeper.written = self.send_copy

    def join(
        self, local: members.Member, network: peers.Network, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Take part in a fleet."""
        self.local = local
        self.network = network
        self.tasks = tasks
        network.handlers.register(ttypes.TokenTransfer, self.on_transfer)
        network.handlers.register(ttypes.TokenRecords, self.on_records)

    # Accounts

    async def move_accounts(self) -> None:
        """Send accounts to the nodes that own them now; one task at a time, each account once."""
        async with self.moving:
            by_owner: dict[str, list[str]] = {}
            found: dict[str, members.Member] = {}
            recorded: list[budget_records.Copy] = []
            for program, account in self.ledger.accounts.items():
                owner = self.owners(program)[0]
                if owner is not self.local:
                    found[owner.node] = owner
                    by_owner.setdefault(owner.node, []).append(program)
                elif account.revision:
                    recorded.append(budget_records.copy_of(program, account))
            self.send_copies(recorded)
            for node, programs in by_owner.items():
                for start in range(0, len(programs), MAX_TRANSFER):
                    await self.send_accounts(found[node], programs[start : start + MAX_TRANSFER])

    async def send_accounts(self, owner: members.Member, programs: list[str]) -> None:
        """Send accounts to their new owner; they come back when it does not answer."""
        taken = {
            program: account
            for program in programs
            if (account := self.ledger.accounts.pop(program, None)) is not None
        }
        message = ttypes.TokenTransfer(
            accounts=[budget_wire.to_wire(*item) for item in taken.items()]
        )
        try:
            await self.network.request(
                owner.peer_address, message, ttypes.Ack, timeout_s=TRANSFER_TIMEOUT_S
            )
        except exceptions.PeerError as error:
            for program, account in taken.items():
                self.ledger.adopt(program, account)
            log_owner_lost(
                "accounts could not be moved to their new owner; they stay here",
                owner,
                error,
                accounts=len(taken),
            )

    async def on_transfer(self, sender: ttypes.Member, message: ttypes.TokenTransfer) -> ttypes.Ack:
        """Take over accounts from another node."""
        for item in message.accounts or []:
            self.ledger.adopt(item.program, budget_wire.from_wire(item))
        return ttypes.Ack(ok=True)

    # Copies of records

    def send_copy(self, copy: budget_records.Copy) -> None:
        """Tell the next owners of a program of a record that was written."""
        self.send_copies([copy])

    def send_copies(self, copies: collections.abc.Iterable[budget_records.Copy]) -> None:
        """Tell the next owners of programs of their records, in the background."""
        if self.tasks is None:
            return
        by_holder: dict[str, list[ttypes.TokenRecord]] = collections.defaultdict(list)
        found: dict[str, members.Member] = {}
        for copy in copies:
            message = budget_wire.record_to_wire(copy)
            for member in self.owners(copy.record.program)[: 1 + RECORD_COPIES]:
                if member is not self.local:
                    found[member.node] = member
                    by_holder[member.node].append(message)
        for node, messages in by_holder.items():
            for start in range(0, len(messages), MAX_TRANSFER):
                part = messages[start : start + MAX_TRANSFER]
                self.tasks.start_soon(self.send_records, found[node], part)

    async def send_records(self, member: members.Member, records: list[ttypes.TokenRecord]) -> None:
        """Tell one node of records."""
        try:
            await self.network.request(
                member.peer_address,
                ttypes.TokenRecords(records=records),
                ttypes.Ack,
                timeout_s=TRANSFER_TIMEOUT_S,
            )
        except exceptions.PeerError as error:
            log_owner_lost("a node was not told of records", member, error, records=len(records))

    async def on_records(self, sender: ttypes.Member, message: ttypes.TokenRecords) -> ttypes.Ack:
        """Remember records that another node has written."""
        for item in message.records or []:
            self.keeper.note(budget_wire.record_from_wire(item))
        return ttypes.Ack(ok=True)


def log_owner_lost(
    text: str, owner: members.Member, error: exceptions.PeerError, **fields: typing.Any
) -> None:
    """Log that another node did not answer."""
    events.emit(
        events.Event.BUDGET_OWNER_LOST,
        text,
        level=logging.WARNING,
        owner=owner.node,
        detail=error.detail,
        **fields,
    )
