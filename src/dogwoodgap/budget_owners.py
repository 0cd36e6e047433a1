"""Reserves tokens of a program's budget at the node that owns the program.

The owner is chosen by rendezvous hashing over the node names of the members. When the membership
changes, accounts move to their new owners. If an owner is unreachable, the next one decides.
"""

import collections.abc
import logging
import math
import random
import typing

import anyio
import anyio.abc

from dogwoodgap import (
    background,
    budget_records,
    budget_transfers,
    budget_wire,
    budgets,
    clock,
    dialect,
    events,
    exceptions,
    members,
    membership,
    ownership_order,
    pacing,
    peers,
    source,
)
from dogwoodgap.history import recording
from dogwoodgap.ownership import past_owners
from dogwoodgap_wire import ttypes

RESERVE_TIMEOUT_S = 0.3
"""A reply takes one round trip between data centres, 1 to 3 ms, plus at most one record write."""

MAX_RECORD_ATTEMPTS = 2
"""The first write may conflict with a record of another node, which is read and then replaced."""

SETTLEMENT_PAUSES_S = (0.0, 0.5, 1.0, 2.0, 4.0)
"""Pauses before each message of a turn's usage; a reservation without it stays for 20 s."""

RETRY_AFTER_S = 0.2
OWNER_SEARCH_PAUSES_S = (0.0, 0.1, 0.3)
"""Pauses before each search for an owner. While a membership change spreads, the nodes that know it
and those that do not may each take the other for the owner."""

TAKEOVER_WINDOW_S = 15.0
"""Time after the loss of a member during which its programs may continue: the longest pause for a
tool call and the retries of a turn."""

FETCH_WINDOW_S = 3.0
"""Time after a membership change during which an account may still be at its previous owner."""

LOSS_SOURCES = 8
"""Members that a starting node asks for the lost nodes."""

LEARN_INTERVAL_S = 1.0
"""Interval at which a node that has just started asks for the losses and records before that."""

SWEEP_INTERVAL_S = 10.0
WIRE_VERDICTS = {
    budgets.Verdict.GRANTED: ttypes.TokenVerdict.GRANTED,
    budgets.Verdict.REFUSED: ttypes.TokenVerdict.REFUSED,
    budgets.Verdict.RECORD_FIRST: ttypes.TokenVerdict.UNRECORDED,
}


class BudgetCoordinator:
    """Reserves and settles tokens, and decides on the programs that this node owns.

    Parameters
    ----------
    records : source.BudgetRecords
        Budget records in the platform's store.

    Attributes
    ----------
    is_unknown_program : callable
        Returns whether a program certainly had no whole turn; only programs whose turns are
        retained are looked up.
    """

    def __init__(self, records: source.BudgetRecords):
        self.ledger = budgets.Ledger()
        self.record_client = budget_records.RecordClient(records, self.ledger)
        self.transfers = budget_transfers.AccountTransfers(
            self.ledger, self.record_client, self.owners, self.record_replicas
        )
        self.ownership = ownership_order.OwnershipOrder(1 + budget_transfers.RECORD_REPLICAS)
        self.is_unknown_program: collections.abc.Callable[
            [str], collections.abc.Awaitable[bool]
        ] = assume_known
        self.locks: dict[str, anyio.Lock] = {}
        self.losses_known_at = math.inf
        self.joined_at = math.inf
        self.is_first_start = False
        self.open_settlements = 0
        self.all_settled = anyio.Event()
        self.turn_estimator = pacing.TurnEstimator()
        self.membership: membership.Membership | None = None
        self.network: peers.Network | None = None
        self.tasks: anyio.abc.TaskGroup | None = None

    def join(
        self, joined: membership.Membership, network: peers.Network, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Start to exchange reservations and accounts with the members of a fleet."""
        self.membership = joined
        self.network = network
        self.tasks = tasks
        network.handlers.register(ttypes.TokenReserve, self.on_reserve)
        network.handlers.register(ttypes.TokenSettle, self.on_settle)
        network.handlers.register(ttypes.TokenFetch, self.on_fetch)
        self.transfers.join(joined.local, network, tasks)
        joined.subscribe(self.on_member)
        self.joined_at = clock.now()
        self.losses_known_at = min(self.losses_known_at, clock.now() + TAKEOVER_WINDOW_S)

    # Called on the node that forwards a turn

    async def reserve(
        self, call: dialect.Call, recorded: recording.TurnRecording | None = None
    ) -> pacing.TurnPriority:
        """Reserve the maximum usage of a turn; return the priority of the turn.

        Parameters
        ----------
        recorded : recording.TurnRecording, optional
            Tells whether a retained turn is, or may be, the first one of its program.

        Raises
        ------
        BudgetExceededError
            If the turn would exceed the budget.
        NotOwnerError
            If no owner could decide; the turn was not run.
        """
        request = ttypes.TokenReserve(
            program=call.program_id,
            attempt=call.attempt_id,
            tokens=call.max_output_tokens,
            budget=call.token_budget,
            last_resort=False,
        )
        if recorded is not None:
            request.begins = recorded.begins_program or None
            request.begins_chain = recorded.begins_chain or None
        if call.finish_at is not None:
            request.finish_ms = int((call.finish_at - clock.now()) * 1000)
        for pause_s in OWNER_SEARCH_PAUSES_S:
            await anyio.sleep(pause_s)
            try:
                reply = await self.ask_owners(call, request)
            except anyio.get_cancelled_exc_class():
                self.withdraw(call)
                raise
            if reply is not None:
                self.raise_if_refused(call, reply.verdict)
                return pacing.TurnPriority(reply.standing or pacing.TurnPriority.UNDER_WAY)
            if request.last_resort:
                break
        raise exceptions.NotOwnerError(
            "no node could decide on the program's budget; retry the turn",
            retry_after_s=RETRY_AFTER_S,
        )

    async def ask_owners(
        self, call: dialect.Call, request: ttypes.TokenReserve
    ) -> ttypes.TokenReserveReply | None:
        """Request a reservation from the owner or the next one; None if neither decides."""
        for owner in self.owners(call.program_id)[:2]:
            try:
                reply = await self.request_reservation(owner, request)
            except exceptions.PeerError as error:
                budget_transfers.log_peer_unreachable(
                    "the owner of a program's budget does not respond; asking the next one",
                    owner,
                    error,
                    request=call.attempt_id,
                    program=call.program_id,
                )
                request.last_resort = True
                self.cancel_reservation(owner, request)
                continue
            if reply.verdict != ttypes.TokenVerdict.NOT_OWNER:
                return reply
        return None

    def cancel_reservation(self, owner: members.Member, request: ttypes.TokenReserve) -> None:
        """Cancel a reservation that an owner may still grant after the request timed out.

        This is not repeated: the next owner may grant the turn, and hand its reservation over.
        """
        message = ttypes.TokenSettle(program=request.program, attempt=request.attempt, tokens=0)
        self.start_settlement(self.send_settlement, message, [owner])

    def raise_if_refused(self, call: dialect.Call, verdict: int) -> None:
        """Raise the error that belongs to a verdict, if any."""
        if verdict == ttypes.TokenVerdict.REFUSED:
            raise exceptions.BudgetExceededError(
                f"the budget of {call.token_budget} tokens does not cover another turn of up to "
                f"{call.max_output_tokens} tokens; give the program a larger budget"
            )
        if verdict == ttypes.TokenVerdict.UNRECORDED:
            raise exceptions.NotOwnerError(
                "failed to record the program's token usage in the store; retry the turn",
                retry_after_s=RETRY_AFTER_S,
            )

    def owners(self, program: str) -> list[members.Member]:
        """Return the first members in the order of ownership of a program, at least one."""
        if self.membership is None:
            raise exceptions.NotReadyError(
                "this node has not joined the fleet yet; use another node",
                retry_after_s=RETRY_AFTER_S,
            )
        nodes = self.membership.table.alive_nodes()
        if not nodes:
            return [self.membership.local]
        return [
            self.membership.table.members[node] for node in self.ownership.first(program, nodes)
        ]

    def record_replicas(self, program: str) -> list[members.Member]:
        """Return the members that should have the record of a program, with its owner.

        Where few others are left, those that are stopping have it too, as they may still decide.
        """
        replicas = self.owners(program)
        if len(replicas) <= budget_transfers.RECORD_REPLICAS:
            replicas += [
                member
                for member in self.membership.table.others()
                if member.status is members.Status.LEAVING
            ]
        return replicas

    async def request_reservation(
        self, owner: members.Member, request: ttypes.TokenReserve
    ) -> ttypes.TokenReserveReply:
        """Request a reservation from an owner, which may be this node."""
        if owner is self.membership.local:
            return await self.decide(request)
        reply = await self.network.request(
            owner.peer_address, request, ttypes.TokenReserveReply, timeout_s=RESERVE_TIMEOUT_S
        )
        return reply.message

    def settle(self, call: dialect.Call, tokens: int) -> None:
        """Report the actual usage of a turn to its owner, in the background."""
        self.report(
            call,
            ttypes.TokenSettle(program=call.program_id, attempt=call.attempt_id, tokens=tokens),
        )

    def withdraw(self, call: dialect.Call) -> None:
        """Report that a turn is not run although its tokens were, or may be, reserved.

        It then does not count as a turn of the program.
        """
        self.report(
            call,
            ttypes.TokenSettle(
                program=call.program_id, attempt=call.attempt_id, tokens=0, not_run=True
            ),
        )

    def report(self, call: dialect.Call, message: ttypes.TokenSettle) -> None:
        """Send a settlement to the owner of its program, in the background."""
        if self.tasks is not None:
            owners = self.owners(call.program_id)[:2]
            self.start_settlement(self.send_usage, message, owners)

    def start_settlement(
        self,
        send_to: collections.abc.Callable[
            [ttypes.TokenSettle, list[members.Member]], collections.abc.Awaitable[object]
        ],
        message: ttypes.TokenSettle,
        owners: list[members.Member],
    ) -> None:
        """Send a settlement in the background."""

        async def send() -> None:
            try:
                await send_to(message, owners)
            finally:
                self.open_settlements -= 1
                if not self.open_settlements:
                    self.all_settled.set()

        if not self.open_settlements:
            self.all_settled = anyio.Event()
        self.open_settlements += 1
        background.start(self.tasks, send)

    async def send_settlement(
        self, message: ttypes.TokenSettle, owners: list[members.Member]
    ) -> list[members.Member]:
        """Send a settlement to the node that holds its reservation, and return the silent ones.

        If it is lost, the full reservation stays in place.
        """
        silent = []
        for owner in owners:
            if owner is self.membership.local:
                if self.settle_here(message):
                    return []
                continue
            try:
                reply = await self.network.request(
                    owner.peer_address, message, ttypes.Ack, timeout_s=RESERVE_TIMEOUT_S
                )
            except exceptions.PeerError as error:
                budget_transfers.log_peer_unreachable(
                    "failed to deliver a settlement; the reservation stays in place",
                    owner,
                    error,
                    request=message.attempt,
                    program=message.program,
                )
                silent.append(owner)
                continue
            if reply.message.ok:
                return []
        return silent

    async def send_usage(self, message: ttypes.TokenSettle, owners: list[members.Member]) -> None:
        """Send the settlement of a turn that has ended, and repeat it to nodes that are silent."""
        for pause_s in SETTLEMENT_PAUSES_S:
            await anyio.sleep(pause_s)
            owners = await self.send_settlement(message, owners)
            if not owners:
                return

    # Called on the node that owns the program

    async def on_reserve(
        self, sender: ttypes.Member, message: ttypes.TokenReserve
    ) -> ttypes.TokenReserveReply:
        """Handle a reservation request of another node."""
        if self.transfers.is_closed:
            return ttypes.TokenReserveReply(verdict=ttypes.TokenVerdict.NOT_OWNER)
        if not message.last_resort and not self.is_owner(message.program):
            return ttypes.TokenReserveReply(verdict=ttypes.TokenVerdict.NOT_OWNER)
        return await self.decide(message)

    def is_owner(self, program: str) -> bool:
        """Return whether this node owns a program."""
        return self.owners(program)[0] is self.membership.local

    async def decide(self, request: ttypes.TokenReserve) -> ttypes.TokenReserveReply:
        """Decide on a reservation, recording the program's usage first if needed."""
        async with self.locks.setdefault(request.program, anyio.Lock()):
            self.transfers.take_back(request.program)
            assume_usage = False
            if request.program not in self.ledger.accounts:
                assume_usage = await self.is_account_lost(request)
                if not request.last_resort and not self.is_owner(request.program):
                    # The members have changed since; pass on what was fetched.
                    self.transfers.request_move()
                    return ttypes.TokenReserveReply(verdict=ttypes.TokenVerdict.NOT_OWNER)
            account = self.open_account(request, assume_usage=assume_usage)
            verdict = self.ledger.reserve(account, request.attempt, request.tokens)
            for _ in range(MAX_RECORD_ATTEMPTS):
                if verdict is not budgets.Verdict.RECORD_FIRST:
                    break
                usage = account.committed + request.tokens
                store_responded = await self.record_client.write(request.program, account, usage)
                if not store_responded and not account.claimed:
                    account = await self.claim_without_store(request, account)
                self.transfers.take_back(request.program)
                if self.ledger.accounts.get(request.program) is not account:
                    # The account has moved to its new owner during the call to the store.
                    return ttypes.TokenReserveReply(verdict=ttypes.TokenVerdict.NOT_OWNER)
                verdict = self.ledger.reserve(account, request.attempt, request.tokens)
        if verdict is budgets.Verdict.REFUSED:
            log_account(
                events.Event.BUDGET_REFUSED,
                "refused a turn that exceeds the token budget",
                request,
                account,
            )
            self.record_client.pending_programs.add(request.program)
        return ttypes.TokenReserveReply(
            verdict=WIRE_VERDICTS[verdict], standing=self.record_turn(request, account)
        )

    async def is_account_lost(self, request: ttypes.TokenReserve) -> bool:
        """Fetch the account of a program; return whether one with an ended turn may be lost.

        An account without an ended turn holds less than the one turn that may run beyond it.
        """
        if not request.last_resort:
            may_be_lost = self.may_have_lost_account(request.program)
            # Without knowledge of losses, all others may have started just now and know nothing.
            from_replicas = may_be_lost and self.knows_losses()
            is_fetched = await self.fetch_account(request.program, from_replicas=from_replicas)
            if is_fetched and not may_be_lost:
                return False
        is_first = request.begins or (
            request.begins_chain and await self.is_unknown_program(request.program)
        )
        return not is_first

    def open_account(self, request: ttypes.TokenReserve, *, assume_usage: bool) -> budgets.Account:
        """Return the account of a program; a new one may assume usage."""
        is_new = request.program not in self.ledger.accounts
        account = self.ledger.get_or_create(
            request.program, request.budget, assume_usage=assume_usage
        )
        self.record_client.apply_cached(request.program)
        earlier = self.earlier_owners(request.program) if is_new else []
        if any(owner.node != self.membership.local.node for owner in earlier):
            log_account(
                events.Event.ACCOUNT_BEGUN,
                "began the account of a program that may have had another owner",
                request,
                account,
                owners=[str(owner) for owner in earlier],
                begins=bool(request.begins),
                begins_chain=bool(request.begins_chain),
            )
        if is_new and account.assumed:
            log_account(
                events.Event.BUDGET_ASSUMED,
                "assumed token usage of an account that may have been lost",
                request,
                account,
            )
        return account

    def record_turn(self, request: ttypes.TokenReserve, account: budgets.Account) -> int | None:
        """Count a turn and return its priority; None without a time objective."""
        if request.finish_ms is None:
            return None
        now = clock.now()
        finish_at = now + request.finish_ms / 1000
        if account.timing is None:
            account.timing = pacing.ProgramTiming(now, finish_at)
            account.turn_tokens = request.tokens
        expected = self.turn_estimator.expected_turns(account.budget, request.tokens)
        priority = pacing.turn_priority(account.timing, expected, now)
        account.timing.turns += 1
        return int(priority)

    async def claim_without_store(
        self, request: ttypes.TokenReserve, account: budgets.Account
    ) -> budgets.Account:
        """Claim an account while the store is unavailable, if a replica knows its record.

        One more turn may then run. It is announced to the next owners, since several owners may be
        lost before the store is available again.
        """
        if await self.find_record(request.program):
            account = self.ledger.accounts.get(request.program, account)
            account.claimed = True
            account.announced = account.committed + request.tokens
            self.transfers.replicate_records(
                [budget_records.cached_record(request.program, account)]
            )
        return account

    async def find_record(self, program: str) -> bool:
        """Fetch a program's record; return whether a replica with all records has replied."""
        since = clock.now() - TAKEOVER_WINDOW_S
        replicas = self.membership.past_owners.find(
            program, since, 1 + budget_transfers.RECORD_REPLICAS
        )
        local = self.membership.local
        if local.node in {owner.node for owner in replicas} and self.record_client.is_complete:
            return True
        for member in self.membership.past_owners.present(replicas):
            reply = await self.fetch_from(member, program)
            if reply is not None:
                self.merge_fetched(program, reply)
                if reply.complete:
                    return True
        return False

    def merge_fetched(self, program: str, reply: ttypes.TokenFetchReply) -> None:
        """Merge the account and the record of a reply."""
        if reply.account is not None:
            self.ledger.merge(program, budget_wire.from_wire(reply.account))
        if reply.record is not None:
            self.record_client.cache_record(budget_wire.record_from_wire(reply.record))

    async def fetch_account(self, program: str, *, from_replicas: bool = False) -> bool:
        """Fetch the account of a program from the members that owned it a moment ago.

        Parameters
        ----------
        from_replicas : bool
            Whether also to fetch what a lost owner recorded, or announced without the store.

        Returns
        -------
        bool
            Whether all earlier owners have replied, so that none still holds the account.
        """
        now = clock.now()
        past = self.membership.past_owners
        owners = past.present(past.find(program, now - FETCH_WINDOW_S, 1))
        others: list[members.Member] = []
        if from_replicas:
            count = 1 + budget_transfers.RECORD_REPLICAS
            others = past.present(past.find(program, now - TAKEOVER_WINDOW_S, count))
        silent: list[members.Member] = []

        async def fetch(member: members.Member) -> None:
            reply = await self.fetch_from(member, program)
            if reply is None:
                silent.append(member)
            else:
                self.merge_fetched(program, reply)

        async with anyio.create_task_group() as tasks:
            for member in {member.node: member for member in [*owners, *others]}.values():
                tasks.start_soon(fetch, member)
        return not any(member in owners for member in silent)

    async def fetch_from(
        self, member: members.Member, program: str
    ) -> ttypes.TokenFetchReply | None:
        """Return a member's data on a program and on lost nodes; None if it does not respond."""
        try:
            reply = await self.network.request(
                member.peer_address,
                ttypes.TokenFetch(program=program),
                ttypes.TokenFetchReply,
                timeout_s=RESERVE_TIMEOUT_S / 2,
            )
        except exceptions.PeerError as error:
            budget_transfers.log_peer_unreachable(
                "failed to fetch an account from a node", member, error, program=program
            )
            return None
        return reply.message

    async def on_fetch(
        self, sender: ttypes.Member, message: ttypes.TokenFetch
    ) -> ttypes.TokenFetchReply:
        """Hand over an account to its new owner, and report the recently lost nodes.

        The reply may get lost. An account of this node therefore stays here until its owner
        changes, and any other is kept until its owner has acknowledged a transfer.
        """
        can_vouch = self.can_vouch(sender)
        past = self.membership.past_owners
        past.end_earlier_boots(sender.node, sender.boot)
        since = clock.now() - TAKEOVER_WINDOW_S
        if self.is_owner(message.program):
            account = self.ledger.accounts.get(message.program)
        else:
            account = self.transfers.hand_over(message.program)
            if account is not None:
                self.transfers.request_move()
        entry = self.record_client.cached_records.get(message.program)
        return ttypes.TokenFetchReply(
            account=None if account is None else budget_wire.to_wire(message.program, account),
            vouched=can_vouch,
            lost=sorted(past.lost_nodes(since)),
            complete=self.record_client.is_complete,
            record=None if entry is None else budget_wire.record_to_wire(entry),
            # A node asks for no program when it has just started.
            periods=None
            if message.program
            else [budget_wire.period_to_wire(change) for change in past.recent_changes(since)],
        )

    async def fetch_losses(self) -> None:
        """Fetch the nodes that were lost or joined recently, since this process may be new itself.

        Before this node may take a program for a new one, it has to know whether its own earlier
        process was lost, and which other nodes were. Only a member that knew that process, or has
        run for longer than programs pause, can tell. Several are asked, as some may have started
        themselves. Until one of them has told, usage is assumed for all unknown programs.
        """
        local = self.membership.local
        others = [member for member in self.membership.alive() if member is not local]
        asked = random.sample(others, min(LOSS_SOURCES, len(others)))
        replies: list[ttypes.TokenFetchReply] = []

        async def ask(member: members.Member) -> None:
            if (reply := await self.fetch_from(member, "")) is not None:
                replies.append(reply)

        async with anyio.create_task_group() as tasks:
            for member in asked:
                tasks.start_soon(ask, member)
        past = self.membership.past_owners
        for reply in replies:
            changes = [budget_wire.period_from_wire(message) for message in reply.periods or []]
            past.apply_changes(changes, is_complete=bool(reply.vouched))
            for node in reply.lost or []:
                past.record_loss(node)
        if any(reply.vouched for reply in replies):
            self.losses_known_at = clock.now()

    def can_vouch(self, sender: ttypes.Member) -> bool:
        """Return whether this node knows if an earlier process of a node was lost."""
        if not self.knows_losses():
            return False
        past = self.membership.past_owners
        return (
            past.knows_earlier_process(sender.node, sender.boot)
            or self.is_first_start
            or clock.now() - self.joined_at >= TAKEOVER_WINDOW_S
        )

    def assume_no_losses(self) -> None:
        """Assume that no programs existed before this process started."""
        self.losses_known_at = clock.now()
        self.is_first_start = True
        self.record_client.is_complete = True
        self.membership.past_owners.assume_complete()

    def knows_losses(self) -> bool:
        """Return whether this node knows all nodes whose accounts were recently lost."""
        return clock.now() >= self.losses_known_at

    def may_have_lost_account(self, program: str) -> bool:
        """Return whether a program may have had an owner that is lost or suspect.

        Once a suspect member responds again, its accounts replace what was assumed.
        """
        if not self.knows_losses():
            return True
        return any(
            owner.standing in (past_owners.Standing.SUSPECT, past_owners.Standing.LOST)
            for owner in self.earlier_owners(program)
        )

    def earlier_owners(self, program: str) -> list[past_owners.PastOwner]:
        """Return the processes that may have owned a program while it may have had a turn."""
        since = clock.now() - TAKEOVER_WINDOW_S
        return self.membership.past_owners.find(program, since, 1)

    async def on_settle(self, sender: ttypes.Member, message: ttypes.TokenSettle) -> ttypes.Ack:
        """Handle a settlement of another node; a turn that is not run may still be decided on."""
        lock = self.locks.get(message.program)
        if message.not_run and lock is not None:
            async with lock:
                return ttypes.Ack(ok=self.settle_here(message))
        return ttypes.Ack(ok=self.settle_here(message))

    def settle_here(self, message: ttypes.TokenSettle) -> bool:
        """Settle a reservation that this node holds; return whether it was found."""
        sent = self.transfers.outgoing.get(message.program)
        if sent is not None and message.attempt in sent.reservations:
            self.transfers.take_back(message.program)
        is_found = self.ledger.settle(message.program, message.attempt, message.tokens)
        if is_found and message.not_run:
            self.ledger.accounts[message.program].withdraw_turn()
        return is_found

    # Membership changes

    def on_member(self, member: members.Member) -> None:
        """Move accounts whose owner has changed."""
        self.transfers.request_move()

    # End of the process

    async def close(self, timeout_s: float) -> None:
        """Settle the last turns and hand over all accounts and records within a time.

        No more turns may be reserved here. What has no other owner is recorded in the store.
        """
        self.transfers.is_closed = True
        with anyio.move_on_after(timeout_s) as scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.wait_for_settlements)
                tasks.start_soon(self.record_client.flush)
                tasks.start_soon(self.transfers.move_accounts)
            await self.transfers.move_accounts()
            self.record_client.pending_programs.update(self.ledger.accounts)
            await self.record_client.flush()
        if scope.cancelled_caught:
            events.emit(
                events.Event.BUDGET_UNRECORDED,
                "the process ends before all token usage was handed over or recorded",
                level=logging.WARNING,
                accounts=len(self.ledger.accounts) + len(self.transfers.outgoing),
                settlements=self.open_settlements,
            )

    async def wait_for_settlements(self) -> None:
        """Wait until no settlement is under way."""
        if self.open_settlements:
            await self.all_settled.wait()

    # Periodic maintenance

    async def run(self) -> None:
        """Write pending records and evict idle accounts until cancelled."""
        learned_at = swept_at = clock.now()
        while True:
            await anyio.sleep(budget_records.CHECK_INTERVAL_S)
            if clock.now() - learned_at >= LEARN_INTERVAL_S:
                learned_at = clock.now()
                await self.learn_earlier_state()
            if self.record_client.is_due():
                await self.record_client.flush()
            if clock.now() - swept_at >= SWEEP_INTERVAL_S:
                swept_at = clock.now()
                await self.sweep()

    async def learn_earlier_state(self) -> None:
        """Learn what happened before this process started, unless that is known."""
        if not self.knows_losses():
            await self.fetch_losses()
        if not self.record_client.is_complete:
            await self.record_client.load()

    async def sweep(self) -> None:
        """Evict idle accounts and delete their records."""
        for program, account in self.ledger.evict_idle().items():
            self.locks.pop(program, None)
            self.transfers.forget(program)
            if account.timing is not None:
                self.turn_estimator.record_end(
                    account.budget, account.turn_tokens, account.timing.turns
                )
            if account.revision and self.is_owner(program):
                await self.record_client.remove(program)
        for program in self.record_client.evict_expired():
            if program not in self.ledger.accounts and self.is_owner(program):
                await self.record_client.remove(program)


async def assume_known(program: str) -> bool:
    """Return that a program may have had turns, as nothing records them."""
    return False


def log_account(
    event: events.Event,
    text: str,
    request: ttypes.TokenReserve,
    account: budgets.Account,
    **fields: typing.Any,
) -> None:
    """Log a decision with the state of the account."""
    events.emit(
        event,
        text,
        request=request.attempt,
        program=request.program,
        tokens=request.tokens,
        budget=account.budget,
        spent=account.spent,
        reserved=account.committed - account.spent,
        recorded=account.recorded,
        assumed=account.assumed,
        last_resort=request.last_resort,
        **fields,
    )
