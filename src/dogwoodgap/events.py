"""Numbered log events, written as JSON lines."""

import enum
import logging
import sys
import typing

from pythonjsonlogger import json as json_formatter

logger = logging.getLogger("dogwoodgap")


class Event(enum.IntEnum):
    """Numbers of all log events, each with its description.

    ``docs/events.md`` is generated from this class by ``python -m dogwoodgap.documents docs``.

    Attributes
    ----------
    description : str
        What happened, for the catalogue.
    """

    description: str

    def __new__(cls, number: int, description: str = "") -> "Event":
        """Create a member from its number and its description."""
        member = int.__new__(cls, number)
        member._value_ = number
        member.description = description
        return member

    NODE_STARTED = 1001, "The node has loaded its configuration and serves requests."
    NODE_STOPPING = 1002, "A planned stop began; the node takes no new programs."
    NODE_STOPPED = 1003, "The planned stop is complete; the process ends."
    JOURNAL_SEALED = 2001, "A successor sealed this node's journal; the node gives up its shards."
    JOURNAL_WRITE_FAILED = (
        2002,
        "A journal write failed; the node repeats it until it is stored or sealed.",
    )
    CALL_FAILED = 3001, "A model call of a program ended with an error."
    REQUEST_FAILED = 3002, "A request failed with an error that is not a typed refusal."
    CONFIGURATION_CHANGED = 7001, "An operator changed the configuration; fields: who and what."
    CHANGE_REFUSED = 7002, "A change was refused by role, scope, validation or a race."
    ADMIN_UNAUTHORIZED = 7003, "A request to the administration API had no valid key."
    PROGRAM_CANCELLED = 7004, "An operator cancelled a program."
    NODE_DRAIN_REQUESTED = 7005, "An operator asked a node for a planned stop."
    DUMP_COLLECTOR_FAILED = 7006, "A collector of the state dump failed; its section has the error."


def emit(event: Event, message: str, *, level: int = logging.INFO, **fields: typing.Any) -> None:
    """Write one log line with the event's number and typed fields."""
    logger.log(level, message, extra={"event": int(event), "event_name": event.name, **fields})


def configure(level: str = "info") -> None:
    """Send log lines to standard error as JSON."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        json_formatter.JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level"},
        )
    )
    logger.handlers[:] = [handler]
    logger.setLevel(level.upper())
    logger.propagate = False
