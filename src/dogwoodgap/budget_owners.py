"""Reserves tokens at the node that owns a program.

The owner is chosen by rendezvous hashing over the members, by name. When members come or go, the
accounts move to their new owners; an owner that cannot be reached is replaced by the next one.
"""

import math

import anyio
import anyio.abc

from dogwoodgap import (
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
    pacing,
    peers,
    shards,
    source,
)
from dogwoodgap_wire import ttypes

RESERVE_TIMEOUT_S = 0.3
"""A reply takes one round trip between data centres, 1 to 3 ms, and at most a record's time."""

RECORD_TRIES = 2
"""The first write may meet a record of another node, which is read and then replaced."""

RETRY_AFTER_S = 0.2
TAKEOVER_S = 15.0
"""Time after the loss of a member during which programs go on whose accounts it held: those that
paused longest for a tool and for the retries of a turn."""

FETCH_S = 3.0
"""Time after a change of the members during which an account may still be at its last owner."""

FLUSH_S = 1.0
SWEEP_S = 10.0
WIRE_VERDICTS = {
    budgets.Verdict.GRANTED: ttypes.TokenVerdict.GRANTED,
    budgets.Verdict.REFUSED: ttypes.TokenVerdict.REFUSED,
    budgets.Verdict.RECORD_FIRST: ttypes.TokenVerdict.UNRECORDED,
}


class BudgetOwners:
    """The token accounts as one node takes part in them.

    Parameters
    ----------
    records : source.BudgetRecords
        Records in the platform's store.
    """

    def __init__(self, records: source.BudgetRecords):
        self.ledger = budgets.Ledger()
        self.keeper = budget_records.RecordKeeper(records, self.ledger)
        self.transfers = budget_transfers.Transfers(self.ledger, self.keeper, self.owners)
        self.locks: dict[str, anyio.Lock] = {}
        self.lost: dict[str, float] = {}
        self.boots: dict[str, str] = {}
        self.left: set[str] = set()
        self.vouched_at = math.inf
        self.changed_at = -math.inf
        self.estimate = pacing.TurnEstimate()
        self.membership: membership.Membership | None = None
        self.network: peers.Network | None = None
        self.tasks: anyio.abc.TaskGroup | None = None

    def join(
        self, joined: membership.Membership, network: peers.Network, tasks: anyio.abc.TaskGroup
    ) -> None:
        """Take part in a fleet."""
        self.membership = joined
        self.network = network
        self.tasks = tasks
        network.handlers.register(ttypes.TokenReserve, self.on_reserve)
        network.handlers.register(ttypes.TokenSettle, self.on_settle)
        network.handlers.register(ttypes.TokenFetch, self.on_fetch)
        self.transfers.join(joined.local, network, tasks)
        joined.subscribe(self.on_member)
        self.vouched_at = min(self.vouched_at, clock.now() + TAKEOVER_S)

    # The node that forwards

    async def reserve(self, call: dialect.Call) -> pacing.Standing:
        """Reserve the most that a turn may use; return how its program stands.

        Raises
        ------
        BudgetExceededError
            When the budget does not hold the turn.
        NotOwnerError
            When nobody could decide; the turn was not run.
        """
        request = ttypes.TokenReserve(
            program=call.program_id,
            attempt=call.attempt_id,
            tokens=call.max_output_tokens,
            budget=call.token_budget,
            last_resort=False,
        )
        if call.finish_at is not None:
            request.finish_ms = int((call.finish_at - clock.now()) * 1000)
        for owner in self.owners(call.program_id)[:2]:
            try:
                reply = await self.ask(owner, request)
            except exceptions.PeerError as error:
                budget_transfers.log_owner_lost(
                    "the owner of a program's budget does not answer; the next one decides",
                    owner,
                    error,
                    request=call.attempt_id,
                    program=call.program_id,
                )
                request.last_resort = True
                self.withdraw(owner, request)
                continue
            if reply.verdict == ttypes.TokenVerdict.NOT_OWNER:
                continue
            self.raise_refusal(call, reply.verdict)
            return pacing.Standing(reply.standing or pacing.Standing.UNDER_WAY)
        raise exceptions.NotOwnerError(
            "no node could decide on the program's budget; send the turn again",
            retry_after_s=RETRY_AFTER_S,
        )

    def withdraw(self, owner: members.Member, request: ttypes.TokenReserve) -> None:
        """Take back a reservation that an owner may grant after it was given up."""
        message = ttypes.TokenSettle(program=request.program, attempt=request.attempt, tokens=0)
        self.tasks.start_soon(self.send_settlement, message, [owner])

    def raise_refusal(self, call: dialect.Call, verdict: int) -> None:
        """Raise the error of a verdict unless it is a grant."""
        if verdict == ttypes.TokenVerdict.REFUSED:
            raise exceptions.BudgetExceededError(
                f"the budget of {call.token_budget} tokens does not hold another turn of "
                f"{call.max_output_tokens}; give the program a larger one"
            )
        if verdict == ttypes.TokenVerdict.UNRECORDED:
            raise exceptions.NotOwnerError(
                "the program's use could not be recorded in the store; send the turn again",
                retry_after_s=RETRY_AFTER_S,
            )

    def owners(self, program: str) -> list[members.Member]:
        """Return the members in the order in which they own a program; never none."""
        if self.membership is None:
            raise exceptions.NotReadyError(
                "this node does not know the others yet; use another one",
                retry_after_s=RETRY_AFTER_S,
            )
        alive = self.membership.alive() or [self.membership.local]
        found = {member.node: member for member in alive}
        return [found[node] for node in shards.rendezvous_order(program, found)]

    async def ask(
        self, owner: members.Member, request: ttypes.TokenReserve
    ) -> ttypes.TokenReserveReply:
        """Return an owner's decision."""
        if owner is self.membership.local:
            return await self.decide(request)
        reply = await self.network.request(
            owner.peer_address, request, ttypes.TokenReserveReply, timeout_s=RESERVE_TIMEOUT_S
        )
        return reply.message

    def settle(self, call: dialect.Call, tokens: int) -> None:
        """Tell the owner, in the background, what a turn has used."""
        message = ttypes.TokenSettle(
            program=call.program_id, attempt=call.attempt_id, tokens=tokens
        )
        if self.tasks is not None:
            owners = self.owners(call.program_id)[:2]
            self.tasks.start_soon(self.send_settlement, message, owners)

    async def send_settlement(
        self, message: ttypes.TokenSettle, owners: list[members.Member]
    ) -> None:
        """Send a settlement; one that is lost leaves the whole reservation in force."""
        for owner in owners:
            if owner is self.membership.local:
                if self.ledger.settle(message.program, message.attempt, message.tokens):
                    return
                continue
            try:
                reply = await self.network.request(
                    owner.peer_address, message, ttypes.Ack, timeout_s=RESERVE_TIMEOUT_S
                )
            except exceptions.PeerError as error:
                budget_transfers.log_owner_lost(
                    "a settlement was not delivered; its reservation stays",
                    owner,
                    error,
                    request=message.attempt,
                    program=message.program,
                )
                continue
            if reply.message.ok:
                return

    # The owner

    async def on_reserve(
        self, sender: ttypes.Member, message: ttypes.TokenReserve
    ) -> ttypes.TokenReserveReply:
        """Decide on a reservation of another node."""
        if not message.last_resort and not self.is_owner(message.program):
            return ttypes.TokenReserveReply(verdict=ttypes.TokenVerdict.NOT_OWNER)
        return await self.decide(message)

    def is_owner(self, program: str) -> bool:
        """Return whether this node owns a program."""
        return self.owners(program)[0] is self.membership.local

    async def decide(self, request: ttypes.TokenReserve) -> ttypes.TokenReserveReply:
        """Reserve tokens of an owned program, recording its use first where that is due."""
        may_be_lost = request.last_resort or self.was_lost(request.program)
        async with self.locks.setdefault(request.program, anyio.Lock()):
            if request.program not in self.ledger.accounts and not request.last_resort:
                await self.fetch(request.program)
            is_new = request.program not in self.ledger.accounts
            account = self.ledger.open(request.program, request.budget, may_be_lost=may_be_lost)
            self.keeper.count(request.program)
            if is_new and account.assumed:
                log_account(events.Event.BUDGET_ASSUMED, "use assumed", request, account)
            verdict = self.ledger.reserve(account, request.attempt, request.tokens)
            for _ in range(RECORD_TRIES):
                if verdict is not budgets.Verdict.RECORD_FIRST:
                    break
                mark = account.committed + request.tokens
                is_stored = await self.keeper.record(request.program, account, mark)
                if not is_stored and not account.claimed:
                    account = await self.claim_unstored(request, account)
                verdict = self.ledger.reserve(account, request.attempt, request.tokens)
        if verdict is budgets.Verdict.REFUSED:
            log_account(events.Event.BUDGET_REFUSED, "budget refused", request, account)
            self.keeper.unrecorded.add(request.program)
        return ttypes.TokenReserveReply(
            verdict=WIRE_VERDICTS[verdict], standing=self.pace(request, account)
        )

    def pace(self, request: ttypes.TokenReserve, account: budgets.Account) -> int | None:
        """Count a turn and return how its program stands."""
        if request.finish_ms is None:
            return None
        now = clock.now()
        finish_at = now + request.finish_ms / 1000
        if account.pace is None:
            account.pace = pacing.Pace(now, finish_at)
            account.turn_tokens = request.tokens
        expected = self.estimate.expected_turns(account.budget, request.tokens)
        found = pacing.standing(account.pace, expected, now)
        account.pace.turns += 1
        return int(found)

    async def claim_unstored(
        self, request: ttypes.TokenReserve, account: budgets.Account
    ) -> budgets.Account:
        """Claim an account of another node, if its record is known although the store is away.

        One more turn may then run. The next owners are told of it, since several owners may be
        lost before the store is back.
        """
        if await self.find_copy(request.program):
            account = self.ledger.accounts.get(request.program, account)
            account.claimed = True
            account.told = account.committed + request.tokens
            self.transfers.send_copies([budget_records.copy_of(request.program, account)])
        return account

    async def find_copy(self, program: str) -> bool:
        """Return whether a node that was told of a program's records has said what it knows."""
        alive = {member.node: member for member in self.membership.alive()}
        holders = shards.rendezvous_order(program, alive.keys() | self.recently_lost())[
            : 1 + budget_transfers.RECORD_COPIES
        ]
        if self.membership.local.node in holders and self.keeper.is_complete:
            return True
        for node in holders:
            if node not in alive or alive[node] is self.membership.local:
                continue
            reply = await self.ask_for(alive[node], program)
            if reply is not None:
                self.adopt_fetched(program, reply)
                if reply.complete:
                    return True
        return False

    def adopt_fetched(self, program: str, reply: ttypes.TokenFetchReply) -> None:
        """Take over what a reply holds of a program."""
        if reply.account is not None:
            self.ledger.adopt(program, budget_wire.from_wire(reply.account))
        if reply.record is not None:
            self.keeper.note(budget_wire.record_from_wire(reply.record))

    async def fetch(self, program: str) -> None:
        """Ask the node that owned a program before the members changed for its account."""
        if clock.now() - self.changed_at > FETCH_S:
            return
        for owner in self.owners(program)[1:2]:
            reply = await self.ask_for(owner, program)
            if reply is not None:
                self.adopt_fetched(program, reply)

    async def ask_for(self, member: members.Member, program: str) -> ttypes.TokenFetchReply | None:
        """Return what a member knows of a program and of lost nodes; None without an answer."""
        try:
            reply = await self.network.request(
                member.peer_address,
                ttypes.TokenFetch(program=program),
                ttypes.TokenFetchReply,
                timeout_s=RESERVE_TIMEOUT_S / 2,
            )
        except exceptions.PeerError as error:
            budget_transfers.log_owner_lost(
                "an account could not be fetched", member, error, program=program
            )
            return None
        return reply.message

    async def on_fetch(
        self, sender: ttypes.Member, message: ttypes.TokenFetch
    ) -> ttypes.TokenFetchReply:
        """Give an account to its new owner, and say which nodes were lost."""
        account = self.ledger.accounts.pop(message.program, None)
        copy = self.keeper.copies.get(message.program)
        return ttypes.TokenFetchReply(
            account=None if account is None else budget_wire.to_wire(message.program, account),
            vouched=self.is_vouched(),
            lost=list(self.recently_lost()),
            complete=self.keeper.is_complete,
            record=None if copy is None else budget_wire.record_to_wire(copy),
        )

    async def learn_losses(self) -> None:
        """Ask the members which nodes were lost, since this process may have replaced one."""
        for member in self.membership.alive():
            if member is self.membership.local:
                continue
            reply = await self.ask_for(member, "")
            if reply is not None and reply.vouched:
                for node in reply.lost or []:
                    self.expect_lost(node)
                self.vouched_at = clock.now()
                return

    def vouch(self) -> None:
        """Declare that there were no programs before this process started."""
        self.vouched_at = clock.now()
        self.keeper.is_complete = True

    def is_vouched(self) -> bool:
        """Return whether this node knows all accounts that were lost lately."""
        return clock.now() >= self.vouched_at

    def recently_lost(self) -> set[str]:
        """Return the nodes whose accounts were lost lately."""
        now = clock.now()
        self.lost = {node: until for node, until in self.lost.items() if until > now}
        return set(self.lost)

    def was_lost(self, program: str) -> bool:
        """Return whether a node that was lost lately may have owned a program."""
        if not self.is_vouched():
            return True
        lost = self.recently_lost()
        if not lost:
            return False
        nodes = {member.node for member in self.membership.alive()} | lost
        return shards.rendezvous_order(program, nodes)[0] in lost

    def expect_lost(self, node: str) -> None:
        """Expect programs whose accounts a node held that was lost now."""
        self.lost[node] = clock.now() + TAKEOVER_S

    async def on_settle(self, sender: ttypes.Member, message: ttypes.TokenSettle) -> ttypes.Ack:
        """Settle a reservation of another node."""
        return ttypes.Ack(ok=self.ledger.settle(message.program, message.attempt, message.tokens))

    # Members come and go

    def on_member(self, member: members.Member) -> None:
        """Move accounts whose owner has changed; expect programs of a lost member."""
        self.changed_at = clock.now()
        known = self.boots.get(member.node)
        self.boots[member.node] = member.boot
        if member.status is members.Status.LEAVING:
            self.left.add(f"{member.node}/{member.boot}")
        is_dead = member.status is members.Status.DEAD and not member.departed
        is_replaced = known is not None and known != member.boot
        if is_replaced or is_dead:
            gone = f"{member.node}/{known if is_replaced else member.boot}"
            if gone not in self.left:
                self.expect_lost(member.node)
        if self.tasks is not None:
            self.tasks.start_soon(self.transfers.move_accounts)

    # Old accounts

    async def run(self) -> None:
        """Record programs whose budget is used up and drop old accounts until cancelled."""
        swept_at = clock.now()
        while True:
            await anyio.sleep(FLUSH_S)
            if not self.keeper.is_complete:
                await self.keeper.load()
            await self.keeper.flush()
            if clock.now() - swept_at >= SWEEP_S:
                swept_at = clock.now()
                await self.sweep()

    async def sweep(self) -> None:
        """Drop old accounts and their records."""
        for program, account in self.ledger.forget().items():
            self.locks.pop(program, None)
            if account.pace is not None:
                self.estimate.note_end(account.budget, account.turn_tokens, account.pace.turns)
            if account.revision and self.is_owner(program):
                await self.keeper.remove(program)
        for program in self.keeper.forget():
            if program not in self.ledger.accounts and self.is_owner(program):
                await self.keeper.remove(program)


def log_account(
    event: events.Event, text: str, request: ttypes.TokenReserve, account: budgets.Account
) -> None:
    """Log a decision with the account that decided it."""
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
    )
