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
    PROGRAM_LIMITED = 3003
    RELEASE_REPEATED = 3004
    ACTION_UNKNOWN = 3005
    CERTIFICATE_REJECTED = 3006
    STOP_STEP_FAILED = 3007


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
