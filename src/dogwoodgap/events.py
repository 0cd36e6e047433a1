"""Numbered events of the JSON log."""

import enum
import logging
import sys
import typing

from dogwoodgap import logs

logger = logging.getLogger("dogwoodgap")


class Event(enum.IntEnum):
    """Numbers of all log events, each with its description.

    ``docs/events.md`` is generated from this class by ``python -m dogwoodgap.documents docs``.

    Attributes
    ----------
    description : str
        Meaning of the event, for ``docs/events.md``.
    """

    description: str

    def __new__(cls, number: int, description: str = "") -> "Event":
        """Create a member whose value is its number."""
        member = int.__new__(cls, number)
        member._value_ = number
        member.description = description
        return member

    NODE_STARTED = 1001, "The node has loaded its configuration and serves requests."
    NODE_STOPPING = 1002, "A planned stop began; the node takes no new programs."
    NODE_STOPPED = 1003, "The planned stop is complete; the process ends."
    JOURNAL_SEALED = 2001, "Another node sealed this node's journal; the node gives up its shards."
    JOURNAL_WRITE_FAILED = (
        2002,
        "A journal write failed; it is retried until it succeeds or the journal is sealed.",
    )
    ASSIGNMENT_UNAVAILABLE = 2003, "The shard assignment could not be read; the cached one is used."
    SHARDS_ACQUIRED = 2004, "The node loaded shards and serves them."
    SHARDS_LOST = 2005, "The node no longer serves some shards."
    TAKEOVER_STARTED = 2006, "The node takes over the shards of a dead boot."
    RECONCILE_FAILED = (
        2007,
        "Comparing the assignment with the loaded shards failed; it is retried.",
    )
    CHECKPOINT_WRITTEN = 2008, "A checkpoint was stored; older journal segments are deleted."
    CHECKPOINT_FAILED = 2009, "A checkpoint could not be stored; it is retried."
    SHARDS_HANDED_OVER = 2010, "The node handed shards over to another node."
    JOURNAL_RETIRED = 2011, "A journal that is no longer referenced was deleted."
    INTENT_SETTLED = 2012, "The outcome of a lost owner's action was settled without resending it."
    BOOT_STARTED = 2013, "The node continues as a new boot after its journal was sealed."
    CLEANUP_FAILED = 2014, "Deleting unused objects failed; it is retried."
    CALL_FAILED = 3001, "A model call of a program ended with an error."
    REQUEST_FAILED = 3002, "A request failed with an unexpected error."
    PROGRAM_LIMITED = 3003, "A program reached a limit of its profile and was ended."
    RELEASE_REPEATED = 3004, "A runner did not confirm the release of a session; it is retried."
    ACTION_UNKNOWN = 3005, "The outcome of an action could not be determined."
    CERTIFICATE_REJECTED = (
        3006,
        "Changed certificate files could not be loaded; the old ones stay in use.",
    )
    STOP_STEP_FAILED = 3007, "A step of the planned stop failed; the stop continues."
    PEER_FRAME_MALFORMED = 4001, "A peer sent a malformed frame; its connection is closed."
    PEER_CONNECTION_REPLACED = (
        4002,
        "A connection to a node closed or stopped responding; a new one is opened.",
    )
    PEER_HANDLER_FAILED = 4003, "A message from another node could not be handled."
    MEMBER_JOINED = 4011, "Nodes joined the fleet; the line names those of a short time."
    MEMBER_SUSPECT = 4012, "Nodes answer neither this node nor other nodes that probed them."
    MEMBER_DEAD = 4013, "Nodes are declared dead; their shards are taken over."
    MEMBER_LEAVING = 4014, "Nodes announced a planned stop."
    MEMBER_REPLACED = 4015, "A newer boot replaced an older one of the same node."
    CONFIGURATION_APPLIED = (
        4021,
        "A generation of the fleet configuration is in force on this node.",
    )
    CONFIGURATION_INVALID = 4022, "The stored configuration is invalid; the old one stays in force."
    CONFIGURATION_UPDATED = 4023, "A new generation of the fleet configuration was stored."
    CONFIGURATION_SUBSCRIBER_FAILED = (
        4024,
        "A component of the node failed to apply a new configuration.",
    )
    ROUTES_INSTALLED = 5001, "A version of the configured routes is in force on this node."
    ROUTES_INVALID = 5002, "A stored version of the routes is invalid; the old one stays in force."
    SERVERS_CHANGED = 5003, "The list of backend servers changed."
    ENTRY_IGNORED = 5004, "An object in the platform's store is malformed and is ignored."
    STORE_LOST = 5005, "The platform's store does not answer; data read earlier stays in use."
    STORE_REGAINED = 5006, "The platform's store answers again."
    REQUEST_FORWARDED = 5007, "A forwarded request ended; fields: inputs, tries and outcome."
    REQUEST_MALFORMED = 5008, "A request could not be parsed; its connection is closed."
    CONNECTION_FAILED = 5009, "A caller's connection ended with an unexpected error."
    BODY_INTERRUPTED = (
        5010,
        "A backend server closed its connection before it received the whole body.",
    )
    GATEWAY_STARTED = 5011, "The gateway listens for connections."
    GATEWAY_STOPPING = (
        5012,
        "A planned stop began; the gateway is withdrawn from callers' address lists.",
    )
    GATEWAY_STOPPED = 5013, "The planned stop is complete; the process ends."
    GATEWAY_RELOADED = 5014, "The settings file was read again."
    BUDGET_OWNER_LOST = 5015, "The owner of a program's budget does not answer."
    BUDGET_UNRECORDED = 5016, "The use of a program's budget could not be recorded or read."
    BUDGET_REFUSED = 5017, "The token budget of a program does not cover another turn."
    BUDGET_RECORDED = 5018, "The use of a program's budget was recorded in the store."
    REMOVAL_COMPLETE = 5019, "A storage VM to be removed holds no data that must be kept."
    BUDGET_ASSUMED = (
        5020,
        "The account of a program may have been lost; its token usage is assumed.",
    )
    FLEET_FETCHED = 5021, "Routes and servers were fetched from another node."
    SERVER_LIMIT_CHANGED = (
        5022,
        "A backend server reported, changed or lifted a limit on its requests per second.",
    )
    LIMIT_OWNER_LOST = 5023, "The node that shares out a server's limit does not respond."
    STREAM_RECORD_FAILED = (
        5024,
        "The software version of a stream could not be recorded at another node or fetched.",
    )
    STREAM_NOT_RESUMED = 5025, "A caller resumes a stream whose software version is not known."
    STREAM_VERSION_INFERRED = (
        5039,
        "No node has a record of the stream that a caller resumes; fields: the inferred version, "
        "the owners, the nodes that replied, and those whose records may be lost.",
    )
    ACCOUNT_BEGUN = (
        5040,
        "The account of a program was begun soon after its owner had changed; fields: the earlier "
        "owners, the assumed tokens, and whether the turn begins the program or a chain.",
    )
    CRASH_UNRECORDED = 5026, "A call to the store for the records of crashes failed."
    SERVICE_CUT_OFF = 5027, "This gateway cannot connect to any server of a service."
    SERVICE_REACHED = 5028, "A server of a service that was cut off can be reached again."
    HELPER_FAILED = 5029, "Another gateway did not accept a request that was sent to it."
    SERVER_LEAVING = 5030, "A backend server named its departure in a response."
    BACKGROUND_FAILED = 5031, "A background task failed unexpectedly; a service is started again."
    BODY_EVICTED = 5035, "A body was given up, since all bodies together exceed their memory."
    ACCEPT_FAILED = 5032, "Connections cannot be accepted; they wait, and accepting is tried again."
    ADDRESS_UNAVAILABLE = 5033, "An address to listen on is still in use; the start waits for it."
    GATEWAY_START_FAILED = 5034, "The gateway could not start; the line names the remedy."
    GATEWAY_CLOSING = (
        5036,
        "A planned stop does not wait for callers any longer; fields: what is still open.",
    )
    REQUEST_CUT = 5037, "A request got no complete response, since the process ended."
    TURN_REFUSED = (
        5061,
        "A turn of a route that retains turns was refused unrun; at most one line a second.",
    )
    TURN_NOT_STORED = (
        5062,
        "A turn could not be stored, so its response was broken off; at most one line a second.",
    )
    STORAGE_VM_FAILED = (
        5063,
        "A storage VM did not accept a message on retained turns; at most one line a second.",
    )
    ROUTES_UNCONFIRMED = (
        5071,
        "This gateway cannot confirm that its routes are the newest; requests with keys get 503.",
    )
    ROUTES_CONFIRMED = 5072, "The routes are confirmed again; requests with keys are served."
    QUOTA_OWNER_CHANGED = 5080, "Another node decides on the quota of a customer from now on."
    QUOTA_OWNER_LOST = 5081, "A node that decides on the quotas of customers does not respond."
    QUOTA_EXCEEDED = (
        5082,
        "A customer is over its quota; at most one line in some seconds for each customer.",
    )
    QUOTA_UNDECIDED = 5083, "No node could decide on the quota of a customer."
    CALLERS_CLOSED = (
        5038,
        "Connections were closed, since their callers take no responses or hold too much; fields: "
        "why, how many since the last such line, and the listener.",
    )
    TURN_SCHEDULER_LOST = 5090, "A turn scheduler does not reply; another one or none is asked."
    LOAD_REPORT_MALFORMED = 5091, "A server sends malformed load reports, which are ignored."
    SLOWNESS_REPORTED = (
        5092,
        "Servers of a service report how long work takes; turn schedulers may place its turns.",
    )
    TURNS_REFUSED = (
        5093,
        "This turn scheduler refused turns; the line counts those of a second by reason.",
    )
    RUNNER_LEAVING = 6001, "A runner is leaving and gets no new work."
    RUNNER_RETURNED = 6002, "A runner accepts work again."
    RUNNER_DOWN = 6003, "A new connection to a runner failed; it gets no work until it answers."
    CONNECTION_REPLACED = 6004, "The connections to a runner stopped responding and are replaced."
    RUNNER_CRASHED = 6005, "A runner crashed with requests in flight."
    DIGEST_SUSPECTED = (
        6006,
        "A request was in flight when a server crashed; fields: server and what shows the crash.",
    )
    DIGEST_CLEARED = 6007, "A suspect request completed and is no longer suspect."
    DIGEST_QUARANTINED = 6008, "A request crashed two runners and is refused."
    SUSPECT_REPORT_FAILED = (
        6009,
        "A suspect request was not reported to a node; it is retried, or the next node is told.",
    )
    CACHE_RELEASED = 6010, "The engine cache of an ended program was released."
    CACHE_RELEASE_FAILED = 6011, "A runner did not release a cache; it is retried."
    ORDER_SENT = 6012, "An order was sent to an engine."
    ORDER_REFUSED = 6013, "An engine refused an order with an old fencing number."
    ORDER_FAILED = 6014, "An order to an engine failed; it is retried."
    CONTROL_ACQUIRED = 6015, "This node controls the engines of a service."
    CONFIGURATION_CHANGED = 7001, "An operator changed the configuration; fields: who and what."
    CHANGE_REFUSED = (
        7002,
        "A change was refused because of role, scope, validation or a conflicting change.",
    )
    ADMIN_UNAUTHORIZED = 7003, "A request to the administration API had no valid key."
    PROGRAM_CANCELLED = 7004, "An operator cancelled a program."
    NODE_DRAIN_REQUESTED = 7005, "An operator asked a node for a planned stop."
    DUMP_COLLECTOR_FAILED = (
        7006,
        "A collector of the state dump failed; its section contains the error.",
    )
    STORAGE_STARTED = 8101, "A storage VM listens; fields: what its disk holds."
    STORAGE_REGISTERED = 8102, "A storage VM wrote its entry in the platform's store."
    STORAGE_STOPPING = 8103, "A planned stop of a storage VM began; it accepts no more turns."
    STORAGE_STOPPED = 8104, "The planned stop of a storage VM is complete; the process ends."
    STORAGE_START_FAILED = 8105, "A storage VM could not start; the line names the remedy."
    DISK_LOST = 8106, "A storage VM started with an empty disk; others send it its turns."
    DISK_DAMAGED = 8107, "Turns on the disk of a storage VM are damaged; others send them again."
    DISK_FAILING = 8108, "The disk of a storage VM refuses turns; gateways use other storage VMs."
    DISK_WORKING = 8109, "The disk of a storage VM accepts turns again."
    STORAGE_COMPLETE = 8110, "A storage VM whose disk was lost has all of its turns again."
    STORAGE_EMPTYING = 8111, "A storage VM is being emptied before its removal."
    STORAGE_EMPTIED = 8112, "All turns of a storage VM are on other VMs; it may be removed."
    STORAGE_UNREACHABLE = 8113, "Another storage VM does not answer this one."
    STORAGE_REACHED = 8114, "A storage VM that did not answer answers again."
    STORAGE_REMOVED = 8115, "The entry of a storage VM that has vanished was deleted."
    TURNS_REPAIRED = 8116, "Missing copies of turns were sent to another storage VM."
    TURN_HOLDERS_CHANGED = (
        8117,
        "Turns are placed on other storage VMs from now on; fields: those VMs, and the registered "
        "ones that are passed over.",
    )


def emit(event: Event, message: str, *, level: int = logging.INFO, **fields: typing.Any) -> None:
    """Write one log line with the event's number and name; ``fields`` become JSON fields."""
    logger.log(level, message, extra={"event": int(event), "event_name": event.name, **fields})


def configure(level: str = "info") -> None:
    """Write log lines as JSON to standard output; drops lines rather than block."""
    logger.handlers[:] = [logs.BoundedHandler(sys.stdout.fileno())]
    logger.setLevel(level.upper())
    logger.propagate = False
