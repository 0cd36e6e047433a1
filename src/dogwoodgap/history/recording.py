"""Records one turn while its events are relayed, and stores it before the response ends."""

import collections.abc
import dataclasses

from dogwoodgap import event_stream, exceptions


@dataclasses.dataclass(slots=True)
class Explanation:
    """What was done for the history of a turn, for the request log.

    Attributes
    ----------
    chain : int
        Number of turns that the turn continues.
    chain_bytes : int
        Length of their text.
    cached : int
        How many of them were in the cache of this gateway.
    fetch_ms, store_ms : float
        Time to get ready and to fetch them, and time to store the turn.
    copies : int
        Copies of the turn that were confirmed.
    extended : int
        Turns of the chain that were stored again, since they would have expired before the turn.
    """

    chain: int = 0
    chain_bytes: int = 0
    cached: int = 0
    fetch_ms: float = 0.0
    store_ms: float = 0.0
    copies: int = 0
    extended: int = 0


Save = collections.abc.Callable[[bytes], collections.abc.Awaitable[None]]


class TurnRecording:
    """A turn that is stored once its stream is complete.

    Parameters
    ----------
    save : callable
        Stores the output of the turn: the data of its events, each followed by a line feed.
    max_bytes : float
        Largest output that can be stored.
    on_bytes : callable
        Called with the number of further bytes that are held in memory.
    explanation : Explanation, optional
        What was done so far.
    begins_program : bool
        Whether it is the first turn of its program.
    begins_chain : bool
        Whether it continues no turn; it may then be the first one of its program.
    """

    def __init__(
        self,
        save: Save,
        max_bytes: float,
        on_bytes: collections.abc.Callable[[int], None] = lambda size: None,
        explanation: Explanation | None = None,
        *,
        begins_program: bool = False,
        begins_chain: bool = False,
    ):
        self.save = save
        self.max_bytes = max_bytes
        self.on_bytes = on_bytes
        self.explanation = explanation or Explanation()
        self.begins_program = begins_program
        self.begins_chain = begins_chain
        self.output = bytearray()

    def add(self, event: event_stream.StreamEvent) -> None:
        """Add an event that is sent to the caller; a comment is none.

        Raises
        ------
        HistoryUnavailableError
            If the turn has become too large to be stored.
        """
        if not event_stream.has_data(event):
            return
        data = event_stream.data_of(event) + b"\n"
        if len(self.output) + len(data) > self.max_bytes:
            raise exceptions.HistoryUnavailableError(
                f"the output of the turn exceeds the {self.max_bytes:.0f} bytes that can be "
                "retained with its input; generate less in one turn",
                not_run="false",
            )
        self.output += data
        self.on_bytes(len(data))

    async def store(self) -> None:
        """Store the turn.

        Raises
        ------
        HistoryUnavailableError
            If too few storage VMs have it on their disks; the response must not end as complete.
        """
        await self.save(bytes(self.output))
