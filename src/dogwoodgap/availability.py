"""Logs outages of the platform's store."""

import logging

from dogwoodgap import clock, events, exceptions


class StoreAvailability:
    """Logs when the store becomes unavailable and when it is available again.

    Parameters
    ----------
    name : str
        What is read from the store; a field of the log events.
    """

    def __init__(self, name: str):
        self.name = name
        self.lost_at: float | None = None

    def record_failure(self, error: exceptions.DogwoodgapError) -> None:
        """Record a failed call; the first in a row is logged."""
        if self.lost_at is None:
            self.lost_at = clock.now()
            events.emit(
                events.Event.STORE_LOST,
                "platform store unavailable; continuing with the last known data",
                level=logging.WARNING,
                reading=self.name,
                detail=error.detail,
            )

    def record_success(self) -> None:
        """Record a successful call; the first after a failure is logged."""
        if self.lost_at is not None:
            events.emit(
                events.Event.STORE_REGAINED,
                "platform store available again",
                reading=self.name,
                lost_s=round(clock.now() - self.lost_at, 3),
            )
            self.lost_at = None
