"""Numbered log events, written as JSON lines."""

import enum
import logging
import sys
import typing

from pythonjsonlogger import json as json_formatter

logger = logging.getLogger("dogwoodgap")


class Event(enum.IntEnum):
    """Numbers of all log events; the catalogue is ``docs/events.md``."""

    NODE_STARTED = 1001
    NODE_STOPPING = 1002
    NODE_STOPPED = 1003
    JOURNAL_SEALED = 2001
    JOURNAL_WRITE_FAILED = 2002
    CALL_FAILED = 3001
    REQUEST_FAILED = 3002
    PEER_FRAME_MALFORMED = 4001
    PEER_CONNECTION_REPLACED = 4002
    PEER_HANDLER_FAILED = 4003
    MEMBER_JOINED = 4011
    MEMBER_SUSPECT = 4012
    MEMBER_DEAD = 4013
    MEMBER_LEAVING = 4014
    MEMBER_REPLACED = 4015
    CONFIGURATION_APPLIED = 4021
    CONFIGURATION_INVALID = 4022
    CONFIGURATION_UPDATED = 4023
    CONFIGURATION_SUBSCRIBER_FAILED = 4024


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
