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
    ASSIGNMENT_UNAVAILABLE = 2003
    SHARDS_ACQUIRED = 2004
    SHARDS_LOST = 2005
    TAKEOVER_STARTED = 2006
    RECONCILE_FAILED = 2007
    CHECKPOINT_WRITTEN = 2008
    CHECKPOINT_FAILED = 2009
    SHARDS_HANDED_OVER = 2010
    JOURNAL_RETIRED = 2011
    INTENT_SETTLED = 2012
    BOOT_STARTED = 2013
    CLEANUP_FAILED = 2014
    CALL_FAILED = 3001
    REQUEST_FAILED = 3002
    RUNNER_LEAVING = 6001
    RUNNER_RETURNED = 6002
    RUNNER_DOWN = 6003
    CONNECTION_REPLACED = 6004
    RUNNER_CRASHED = 6005
    DIGEST_SUSPECTED = 6006
    DIGEST_CLEARED = 6007
    DIGEST_QUARANTINED = 6008
    SUSPECT_REPORT_FAILED = 6009
    CACHE_RELEASED = 6010
    CACHE_RELEASE_FAILED = 6011
    ORDER_SENT = 6012
    ORDER_REFUSED = 6013
    ORDER_FAILED = 6014
    CONTROL_ACQUIRED = 6015


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
