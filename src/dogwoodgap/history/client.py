"""Fetches the turns that a turn continues, and stores whole turns on the storage VMs."""

import dataclasses
import math

import anyio
import anyio.abc

from dogwoodgap import body_memory, clock, dialect, events, exceptions, exposition, peers, routes
from dogwoodgap.history import (
    cache,
    contact,
    exchange,
    health,
    reading,
    recording,
    reporting,
    turns,
    vms,
    writing,
)

KEEP_IDLE_S = 8.0
"""Idle time after which a connection to a storage VM is closed; the VM closes it after 10 s. At 2
turns a second for each gateway and 6 storage VMs one is idle for 0.6 s on average, so that
connections stay open without heartbeats. A dead one is noticed by the next request."""

PROGRAM_LOOKUP_TIMEOUT_S = 0.15
"""The owner of a token budget waits for it, which has 0.3 s to reply; round trips take 3 ms."""

LEAST_OUTPUT_BYTES = 64 * 1024
"""Room for the output that is left when an input is accepted."""


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Settings of the history of one gateway.

    Attributes
    ----------
    data_centre : str
        Data centre of the gateway, whose storage VMs are read first.
    tolerated_losses : int
        Storage VMs that may lose their disks at the same time.
    cache_bytes, max_chain_bytes : float
        Size of the cache, and longest text of the turns that a turn may continue.
    """

    data_centre: str = ""
    tolerated_losses: int = 1
    cache_bytes: float = cache.DEFAULT_BYTES
    max_chain_bytes: float = math.inf


class HistoryClient:
    """Retained turns, as one gateway uses them.

    Parameters
    ----------
    options : Options, optional
        Settings.

    Attributes
    ----------
    reader : reading.ChainReader or None
        Reads chains; None before the start, so that turns of retained routes are refused.
    """

    def __init__(self, options: Options | None = None):
        self.options = options or Options()
        self.cache = cache.TurnCache(self.options.cache_bytes)
        self.log = reporting.LimitedLog()
        self.contact: contact.Contact | None = None
        self.reader: reading.ChainReader | None = None
        self.writer: writing.TurnWriter | None = None

    def start(
        self,
        follower: vms.StorageVmFollower,
        network: peers.Network,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Start to use the registered storage VMs; no task runs before the first turn.

        Parameters
        ----------
        network : peers.Network
            Connects to the storage VMs.
        tasks : anyio.abc.TaskGroup
            Runs what continues in the background.
        """
        vm_exchange = exchange.Exchange(network, health.VmHealth())
        self.contact = contact.Contact(follower, vm_exchange, self.options.tolerated_losses, tasks)
        self.reader = reading.ChainReader(self.contact, self.cache, self.options.data_centre)
        self.writer = writing.TurnWriter(self.contact, self.cache)

    async def prepare(
        self,
        call: dialect.Call,
        route: routes.Route,
        holding: body_memory.BodyHolding | None = None,
    ) -> recording.TurnRecording | None:
        """Put the turns that a turn continues before its body.

        Parameters
        ----------
        holding : body_memory.BodyHolding, optional
            Counts the bodies of the request that are held in memory.

        Returns
        -------
        recording.TurnRecording or None
            Records the turn; None for one without an id, which no later turn can name.

        Raises
        ------
        UnknownTurnError
            If the turn that it continues certainly does not exist, or is another customer's.
        HistoryUnavailableError
            If that is not certain, or if the turn could not be stored.
        InvalidRequestError
            If the request resumes a stream, names itself, or is too large to be retained.
        OverloadedError
            If all bodies together exceed their memory.
        """
        holding = holding or body_memory.BodyMemory(math.inf).hold()
        try:
            return await self.prepare_checked(call, route, holding)
        except exceptions.DogwoodgapError as error:
            exposition.history_refusals.labels(error.code).inc()
            self.log.emit(
                events.Event.TURN_REFUSED,
                "a turn of a route that retains turns was refused",
                request=call.attempt_id,
                previous_turn=call.previous_turn,
                code=error.code,
                detail=error.detail,
            )
            raise

    async def prepare_checked(
        self, call: dialect.Call, route: routes.Route, holding: body_memory.BodyHolding
    ) -> recording.TurnRecording | None:
        """Prepare a turn; see :meth:`prepare`."""
        started_at = clock.now()
        check_call(call)
        if self.contact is None or self.writer is None:
            raise contact.unavailable("this gateway does not use storage VMs")
        await self.contact.require(call.attempt_id)
        explanation = recording.Explanation()
        chain: list[turns.Turn] = []
        if call.previous_turn:
            chain = await self.read_chain(call, holding, explanation)
            exposition.history_fetch_time.observe(clock.now() - started_at)
        explanation.fetch_ms = round((clock.now() - started_at) * 1000, 1)
        new_input = call.body
        call.body = turns.chain_text(chain, new_input)
        if not call.attempt_id:
            return None
        writer = self.writer
        ids = tuple(turn.id for turn in chain)
        # The others outlast this turn in any case, so that their text is not held while it runs.
        latest_end_ms = turns.wall_ms() + round(route.timeout_s * turns.MILLISECONDS_PER_S)
        required_ms = turns.required_ms(latest_end_ms, route.retain_s)
        expiring = [turn for turn in chain if turn.expires_ms < required_ms]
        begins = begins_program(call.program_id, chain)
        is_recorded = bool(chain) and not begins
        is_extended = is_first_in(call.program_id, chain, expiring)
        if call.program_id and (not is_recorded or is_extended):
            expiring.append(turns.program_record(call.program_id))

        async def save(output: bytes) -> None:
            turn = turns.Turn(
                call.attempt_id, call.customer, ids, new_input, output, 0, 0, call.program_id
            )
            await writer.store(turn, expiring, route.retain_s, explanation)

        max_output_bytes = exchange.MAX_TURN_BYTES - len(new_input)
        return recording.TurnRecording(
            save,
            max_output_bytes,
            holding.add,
            explanation,
            begins_program=begins,
            begins_chain=not chain,
        )

    async def is_unknown_program(self, program: str) -> bool:
        """Return whether a program certainly had no whole turn that is still retained."""
        if self.contact is None or self.reader is None:
            return False
        with anyio.move_on_after(PROGRAM_LOOKUP_TIMEOUT_S):
            await self.contact.follower.use(self.contact.tasks)
            return await self.reader.is_unknown(turns.program_record_id(program))
        return False

    async def read_chain(
        self,
        call: dialect.Call,
        holding: body_memory.BodyHolding,
        explanation: recording.Explanation,
    ) -> list[turns.Turn]:
        """Return the turns that a turn continues, oldest first, and count their memory."""
        limit_bytes = self.options.max_chain_bytes

        def on_found(turn: turns.Turn) -> None:
            explanation.chain_bytes += turn.text_bytes
            if explanation.chain_bytes > limit_bytes:
                raise exceptions.BodyTooLargeError(
                    f"the turns that this one continues exceed {limit_bytes:.0f} bytes "
                    "(gateway.max_chain_bytes or the memory for bodies); begin a new chain"
                )
            holding.add(turn.text_bytes)

        try:
            with holding.receiving():
                chain = await self.reader.read(call.previous_turn, call.customer, on_found)
        except body_memory.BodyEvictedError as error:
            raise exceptions.OverloadedError(
                "the gateway holds too many large bodies at a time; retry later"
            ) from error
        if call.attempt_id in (turn.id for turn in chain.turns):
            raise exceptions.InvalidRequestError(
                f"attempt {call.attempt_id!r} is a turn of the chain that it continues; use a new "
                "id for each attempt"
            )
        explanation.chain = len(chain.turns)
        explanation.cached = chain.cached
        return chain.turns


def begins_program(program: str, chain: list[turns.Turn]) -> bool:
    """Return whether a turn is the first one of its program, as it continues that of another one.

    A turn at the start of a chain may as well be the first one of a sub-agent, whose program has
    run for long.
    """
    return bool(chain) and chain[-1].program not in ("", program)


def is_first_in(program: str, chain: list[turns.Turn], extended: list[turns.Turn]) -> bool:
    """Return whether the first turn of a program in a chain is among those that are extended."""
    first = next((turn for turn in chain if turn.program == program), None)
    return first is not None and first in extended


def check_call(call: dialect.Call) -> None:
    """Raise the error for a request whose turn could not be recorded whole."""
    if call.last_event_id is not None:
        raise exceptions.InvalidRequestError(
            "a stream of a route that retains turns cannot be resumed; send the turn again"
        )
    limit_bytes = exchange.MAX_TURN_BYTES - LEAST_OUTPUT_BYTES
    if len(call.body) > limit_bytes:
        raise exceptions.BodyTooLargeError(
            f"the input of a turn that is retained exceeds {limit_bytes} bytes; send a shorter one"
        )
