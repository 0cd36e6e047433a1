"""Transfers token accounts and replicates budget records between nodes.

When the membership changes, accounts move to their new owners. The budget records in the platform's
store are replicated to the next owners of a program, which need them if the store is unavailable.
"""

import collections
import collections.abc
import dataclasses
import logging
import typing

import anyio
import anyio.abc

from dogwoodgap import (
    background,
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
"""A message of 40 kB takes 21 ms on the slowest link between data centres, with 15 Mbit/s."""

RECORD_REPLICAS = 5
"""Replicas of a record besides its owner: the next owners of the program, which need it if the
store is unavailable. Up to 4 of 7 nodes are lost at once."""

MAX_ENTRIES_PER_MESSAGE = 500
"""Accounts or records in one message; 500 accounts take 40 kB."""


MOVE_INTERVAL_S = 0.05
"""Pause between two moves. Membership changes come in series, and each move visits all accounts."""


@dataclasses.dataclass(slots=True)
class ReplicatedRecord:
    """The newest version of a record that was sent to other nodes, and the boots that have it."""

    version: tuple[int, int]
    boots: set[str] = dataclasses.field(default_factory=set)


class AccountTransfers:
    """Sends and receives accounts and replicated records.

    Parameters
    ----------
    owners : callable
        Returns the members in the order of ownership of a program.
    record_replicas : callable
        Returns the members that should have the record of a program.

    Attributes
    ----------
    is_closed : bool
        Whether this process is about to end and accepts no accounts.
    outgoing : dict of str to budgets.Account
        Accounts that were sent to their owner, which has not acknowledged them yet, by program.
        They do not change until they are taken back.
    """

    def __init__(
        self,
        ledger: budgets.Ledger,
        record_client: budget_records.RecordClient,
        owners: collections.abc.Callable[[str], list[members.Member]],
        record_replicas: collections.abc.Callable[[str], list[members.Member]],
    ):
        self.ledger = ledger
        self.record_client = record_client
        self.owners = owners
        self.record_replicas = record_replicas
        self.is_move_requested = False
        self.is_moving = False
        self.outgoing: dict[str, budgets.Account] = {}
        self.is_closed = False
        self.replicated: dict[str, ReplicatedRecord] = {}
        self.local: members.Member | None = None
        self.network: peers.Network | None = None
        self.tasks: anyio.abc.TaskGroup | None = None
        record_client.on_written = self.replicate_record

    def join(
        self, local: members.Member, network: peers.Network, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Start to exchange accounts and records with the members of a fleet."""
        self.local = local
        self.network = network
        self.tasks = tasks
        network.handlers.register(ttypes.TokenTransfer, self.on_transfer)
        network.handlers.register(ttypes.TokenRecords, self.on_records)

    def is_owner(self, program: str) -> bool:
        """Return whether this node owns a program."""
        return self.owners(program)[0] is self.local

    # Moving accounts to their new owners

    def request_move(self) -> None:
        """Move accounts in the background; further requests of a short time are combined."""
        self.is_move_requested = True
        if self.tasks is not None and not self.is_moving:
            self.is_moving = True
            background.start(self.tasks, self.move_until_settled)

    async def move_until_settled(self) -> None:
        """Move accounts until no further move was requested for ``MOVE_INTERVAL_S``.

        A failed move counts as requested again.
        """
        try:
            while self.is_move_requested:
                self.is_move_requested = False
                await self.move_accounts()
                await anyio.sleep(MOVE_INTERVAL_S)
        finally:
            self.is_moving = False

    async def move_accounts(self) -> None:
        """Send accounts to their current owners, and records to the nodes that lack them."""
        by_owner: dict[str, list[str]] = {}
        members_by_node: dict[str, members.Member] = {}
        owned_records: list[budget_records.CachedRecord] = []
        for program in {**self.ledger.accounts, **self.outgoing}:
            owner = self.owners(program)[0]
            if owner is not self.local:
                members_by_node[owner.node] = owner
                by_owner.setdefault(owner.node, []).append(program)
                continue
            self.take_back(program)
            account = self.ledger.accounts[program]
            if account.revision:
                owned_records.append(budget_records.cached_record(program, account))
        self.replicate_records(owned_records)
        # Sent at the same time, so that owners that do not respond delay no others.
        async with anyio.create_task_group() as tasks:
            for node, programs in by_owner.items():
                for start in range(0, len(programs), MAX_ENTRIES_PER_MESSAGE):
                    batch = programs[start : start + MAX_ENTRIES_PER_MESSAGE]
                    tasks.start_soon(self.send_accounts, members_by_node[node], batch)

    def hand_over(self, program: str) -> budgets.Account | None:
        """Return the account to send to its owner, and keep it until that is acknowledged."""
        account = self.ledger.accounts.pop(program, None)
        sent = self.outgoing.get(program)
        if account is None:
            return sent
        if sent is not None:
            account.merge(sent)
        self.forget(program)
        self.outgoing[program] = account
        return account

    def take_back(self, program: str) -> None:
        """Use an account here again whose transfer is not acknowledged, if there is one."""
        account = self.outgoing.pop(program, None)
        if account is not None:
            self.ledger.merge(program, account)
            if not self.is_owner(program):
                self.request_move()

    async def send_accounts(self, owner: members.Member, programs: list[str]) -> None:
        """Send accounts to their new owner; restore them if it does not respond."""
        sent_accounts = {
            program: account
            for program in programs
            if (account := self.hand_over(program)) is not None
        }
        message = ttypes.TokenTransfer(
            accounts=[budget_wire.to_wire(*item) for item in sent_accounts.items()]
        )
        try:
            reply = await self.network.request(
                owner.peer_address, message, ttypes.Ack, timeout_s=TRANSFER_TIMEOUT_S
            )
            if not reply.message.ok:
                raise exceptions.PeerError(f"{owner.node} accepts no accounts")
        except exceptions.PeerError as error:
            for program, account in sent_accounts.items():
                if self.outgoing.get(program) is account:
                    self.take_back(program)
            # Requested again, since a change of members need not follow.
            self.is_move_requested = True
            log_peer_unreachable(
                "failed to transfer accounts to their new owner; keeping them",
                owner,
                error,
                accounts=len(sent_accounts),
            )
            return
        for program, account in sent_accounts.items():
            if self.outgoing.get(program) is account:
                del self.outgoing[program]

    async def on_transfer(self, sender: ttypes.Member, message: ttypes.TokenTransfer) -> ttypes.Ack:
        """Merge accounts from another node.

        The sender may not know the newest members, so accounts of other owners are passed on.
        """
        if self.is_closed:
            return ttypes.Ack(ok=False)
        for account in message.accounts or []:
            self.ledger.merge(account.program, budget_wire.from_wire(account))
            if not self.is_owner(account.program):
                self.request_move()
        return ttypes.Ack(ok=True)

    # Replicating records to the next owners

    def replicate_record(self, entry: budget_records.CachedRecord) -> None:
        """Send a written record to the next owners of its program."""
        self.replicate_records([entry])

    def replicate_records(
        self, entries: collections.abc.Iterable[budget_records.CachedRecord]
    ) -> None:
        """Send records to the next owners of their programs, in the background."""
        if self.tasks is None:
            return
        by_replica: dict[str, list[ttypes.TokenRecord]] = collections.defaultdict(list)
        members_by_node: dict[str, members.Member] = {}
        for entry in entries:
            message = budget_wire.record_to_wire(entry)
            for member in self.missing_replicas(entry):
                members_by_node[member.node] = member
                by_replica[member.node].append(message)
        for node, messages in by_replica.items():
            for start in range(0, len(messages), MAX_ENTRIES_PER_MESSAGE):
                batch = messages[start : start + MAX_ENTRIES_PER_MESSAGE]
                background.start(self.tasks, self.send_records, members_by_node[node], batch)

    def missing_replicas(self, entry: budget_records.CachedRecord) -> list[members.Member]:
        """Return the replicas that were not sent this version of a record, and mark them."""
        sent = self.replicated.get(entry.record.program)
        if sent is None or sent.version < entry.version:
            sent = self.replicated[entry.record.program] = ReplicatedRecord(entry.version)
        missing = []
        for member in self.record_replicas(entry.record.program):
            boot = f"{member.node}/{member.boot}"
            if member is not self.local and boot not in sent.boots:
                sent.boots.add(boot)
                missing.append(member)
        return missing

    def forget(self, program: str) -> None:
        """Forget which nodes have the record of a program that this node no longer owns."""
        self.replicated.pop(program, None)

    async def send_records(self, member: members.Member, records: list[ttypes.TokenRecord]) -> None:
        """Send records to one node."""
        try:
            await self.network.request(
                member.peer_address,
                ttypes.TokenRecords(records=records),
                ttypes.Ack,
                timeout_s=TRANSFER_TIMEOUT_S,
            )
        except exceptions.PeerError as error:
            for record in records:
                if record.program in self.replicated:
                    self.replicated[record.program].boots.discard(f"{member.node}/{member.boot}")
            log_peer_unreachable(
                "failed to replicate records to a node", member, error, records=len(records)
            )

    async def on_records(self, sender: ttypes.Member, message: ttypes.TokenRecords) -> ttypes.Ack:
        """Cache records written by another node."""
        for record in message.records or []:
            self.record_client.cache_record(budget_wire.record_from_wire(record))
        return ttypes.Ack(ok=True)


def log_peer_unreachable(
    text: str, member: members.Member, error: exceptions.PeerError, **fields: typing.Any
) -> None:
    """Log that another node did not respond."""
    events.emit(
        events.Event.BUDGET_OWNER_LOST,
        text,
        level=logging.WARNING,
        owner=member.node,
        detail=error.detail,
        **fields,
    )
