"""The exception hierarchy of dogwoodgap.

Each class has a stable code, an HTTP status and a default for ``not_run``; each message names
the remedy. :func:`problem` converts an error to an RFC 9457 problem document.
"""

import typing

import msgspec

NotRun = typing.Literal["true", "false", "unknown"]


class Problem(msgspec.Struct, omit_defaults=True):
    """An RFC 9457 problem document.

    Attributes
    ----------
    code : str
        Stable identifier of the error class.
    not_run : bool or str
        ``True`` when nothing was executed, ``False`` when it was, ``"unknown"`` otherwise.
    retry_after_s : float
        Seconds to wait before a repeat; 0 when a repeat does not help.
    """

    type: str
    title: str
    status: int
    detail: str
    code: str
    not_run: bool | str
    retry_after_s: float = 0.0
    path: str = ""


class DogwoodgapError(Exception):
    """Base of all errors of this library.

    Parameters
    ----------
    detail : str
        What happened and what the reader can do about it.
    not_run : {"true", "false", "unknown"}, optional
        Overrides the default of the class.
    retry_after_s : float, optional
        Seconds after which a repeat may succeed.
    """

    code = "internal-error"
    status = 500
    title = "Internal error"
    not_run: NotRun = "unknown"
    retry_after_s = 0.0

    def __init__(
        self, detail: str, *, not_run: NotRun | None = None, retry_after_s: float | None = None
    ):
        super().__init__(detail)
        self.detail = detail
        if not_run is not None:
            self.not_run = not_run
        if retry_after_s is not None:
            self.retry_after_s = retry_after_s


class InvalidRequestError(DogwoodgapError):
    """The request does not match the interface; correct it before sending it again."""

    code, status, title, not_run = "invalid-request", 400, "Invalid request", "true"


class BodyTooLargeError(InvalidRequestError):
    """The body exceeds the limit of the node."""

    code, status, title = "body-too-large", 413, "Body too large"


class HeaderTooLargeError(InvalidRequestError):
    """The head of the request exceeds the limit of the routes."""

    code, status, title = "header-too-large", 431, "Header too large"


class RecordTooLargeError(InvalidRequestError):
    """A journal record would not fit into one object of the platform."""

    code, status, title = "record-too-large", 413, "Record too large"


class MethodNotAllowedError(InvalidRequestError):
    """The path exists but not with this method."""

    code, status, title = "method-not-allowed", 405, "Method not allowed"


class SlowSenderError(InvalidRequestError):
    """The body did not arrive in time."""

    code, status, title = "slow-sender", 408, "Body not received in time"


class UnauthorizedError(DogwoodgapError):
    """The bearer key is missing, unknown, expired or revoked."""

    code, status, title, not_run = "unauthorized", 401, "UnauthorizedError", "true"


class ForbiddenError(DogwoodgapError):
    """The key is valid but its role or scope does not allow the request."""

    code, status, title, not_run = "forbidden", 403, "ForbiddenError", "true"


class NotFoundError(DogwoodgapError):
    """A named resource does not exist."""

    code, status, title, not_run = "not-found", 404, "Not found", "true"


class UnknownProgramError(NotFoundError):
    """The program does not exist for this customer."""

    code, title = "unknown-program", "Unknown program"


class UnknownTurnError(NotFoundError):
    """The turn that a turn continues does not exist for this customer."""

    code, title = "unknown-turn", "Unknown turn"


class UnknownProfileError(NotFoundError):
    """The profile does not exist in the configuration in force."""

    code, title = "unknown-profile", "Unknown profile"


class UnknownServiceError(NotFoundError):
    """The service does not exist in the configuration in force."""

    code, title = "unknown-service", "Unknown service"


class UnknownCustomerError(NotFoundError):
    """The customer does not exist in the configuration in force."""

    code, title = "unknown-customer", "Unknown customer"


class ConflictError(DogwoodgapError):
    """The request contradicts recorded state."""

    code, status, title, not_run = "conflict", 409, "ConflictError", "true"


class SequenceConflictError(ConflictError):
    """The sequence number was used before with another body."""

    code, title = "sequence-conflict", "Sequence number used with another body"


class SequenceGapError(ConflictError):
    """The sequence number is not the next one of the program."""

    code, title = "sequence-gap", "Sequence number out of order"


class KeyConflictError(ConflictError):
    """The idempotency key was used before with another body."""

    code, title = "key-conflict", "Idempotency key used with another body"


class StaleRecordError(ConflictError):
    """The result belongs to a call or action that was settled before."""

    code, title, not_run = "stale-record", "Result came too late", "unknown"


class ProgramFinishedError(ConflictError):
    """The program has ended and accepts no further work."""

    code, title = "program-finished", "Program finished"


class ProgramLimitError(ProgramFinishedError):
    """A limit of the profile ended the program."""

    code, title = "program-limit", "Program ended by a limit of its profile"


class ChildLimitError(ConflictError):
    """The profile does not allow the program another child."""

    code, title = "child-limit", "Too many child programs"


class HistoryMismatchError(ConflictError):
    """The messages sent do not begin with the recorded history of the program."""

    code, title = "history-mismatch", "Messages differ from the history"


class AnswerChangedError(ConflictError):
    """The client lost a stream, and the answer generated afterwards has another text."""

    code, title, not_run = "answer-changed", "Answer generated again", "false"


class ConfigurationConflictError(ConflictError):
    """Another operator changed the configuration first."""

    code, status, title = "configuration-conflict", 412, "Configuration changed meanwhile"

    def __init__(
        self, detail: str, *, generation: int = 0, changes: typing.Sequence[typing.Any] = (), **base
    ):
        """Keep the current ``generation`` and the ``PathChange`` items since the base."""
        super().__init__(detail, **base)
        self.generation = generation
        self.changes = list(changes)


class PreconditionRequiredError(DogwoodgapError):
    """A change came without the generation that it is based on."""

    code, status, title, not_run = "precondition-required", 428, "If-Match required", "true"


class BudgetExceededError(DogwoodgapError):
    """The program's budget does not cover the call."""

    code, status, title, not_run = "budget-exceeded", 402, "Budget exceeded", "true"


class OverloadedError(DogwoodgapError):
    """The system cannot finish the request in time, so it was not started."""

    code, status, title, not_run = "overloaded", 503, "OverloadedError", "true"
    retry_after_s = 1.0


class HistoryUnavailableError(OverloadedError):
    """Kept turns could not be read or stored on enough storage VMs."""

    code, title = "history-unavailable", "History unavailable"
    retry_after_s = 0.2


class CustomerLimitError(DogwoodgapError):
    """The customer's rate or concurrency limit is used up."""

    code, status, title, not_run = "customer-limit", 429, "Customer limit reached", "true"
    retry_after_s = 1.0


class QuarantinedError(DogwoodgapError):
    """The same request crashed runners before and is refused."""

    code, status, title, not_run = "quarantined", 422, "Request quarantined", "true"


class DeadlinePassedError(DogwoodgapError):
    """The deadline passed before the request was sent to a runner."""

    code, status, title, not_run = "deadline-passed", 504, "Deadline passed", "true"


class OutcomeUnknownError(DogwoodgapError):
    """The action was sent, and its outcome could not be determined."""

    code, status, title, not_run = "outcome-unknown", 502, "Outcome unknown", "unknown"


class RunnerFailedError(DogwoodgapError):
    """The runner failed while it executed the request."""

    code, status, title, not_run = "runner-failed", 502, "Runner failed", "unknown"


class RunnerUnreachableError(RunnerFailedError):
    """No connection to the runner could be opened, so nothing was sent."""

    code, title, not_run = "runner-unreachable", "Runner unreachable", "true"


class RunnerSilentError(RunnerFailedError):
    """The runner sent nothing before the read timeout; a new connection may work."""

    code, title = "runner-silent", "Runner silent"


class RunnerLeavingError(RunnerFailedError):
    """The runner takes no new work, so nothing ran."""

    code, title, not_run = "runner-leaving", "Runner leaving", "true"


class FencingRefusedError(ConflictError):
    """A backend server has accepted orders of a newer controller than the sender."""

    code, title = "fencing-refused", "Order from an old controller"


class NotOwnerError(DogwoodgapError):
    """The node does not own the shard and could not reach the owner."""

    code, status, title, not_run = "not-owner", 503, "Owner not reachable", "true"
    retry_after_s = 0.5


class HopLimitError(NotOwnerError):
    """Nodes disagree on the owner, and the request was forwarded too often."""

    code, title = "hop-limit", "Too many hops"


class NotReadyError(DogwoodgapError):
    """The node is starting or stopping."""

    code, status, title, not_run = "not-ready", 503, "Node not ready", "true"
    retry_after_s = 0.5


class StoreError(DogwoodgapError):
    """Base of errors of the platform's object store."""

    code, status, title = "store-error", 503, "Platform store error"


class StoreUnavailableError(StoreError):
    """The store did not answer; a write may or may not have taken effect."""

    code, title, retry_after_s = "store-unavailable", "Platform store unavailable", 1.0


class StoreBusyError(StoreUnavailableError):
    """The store refused the call because its rate is used up; nothing was written."""

    code, title, not_run = "store-busy", "Platform rate used up", "true"


class WatchExpiredError(StoreError):
    """The watch is too far behind; list the objects and watch from the new cursor."""

    code, status, title, not_run = "watch-expired", 410, "Watch too far behind", "true"


class VersionConflictError(StoreError):
    """A conditional write found another version."""

    code, status, title, not_run = "version-conflict", 409, "Version conflict", "true"


class ObjectMissingError(StoreError):
    """The object does not exist."""

    code, status, title, not_run = "object-missing", 404, "Object missing", "true"


class JournalSealedError(StoreError):
    """Another node took over this node's journal."""

    code, title, retry_after_s = "journal-sealed", "Journal sealed by a successor", 0.5


class JournalClosedError(StoreError):
    """The node stopped before it knew whether the record was stored."""

    code, title, retry_after_s = "journal-closed", "Journal closed", 0.5


class JournalDamagedError(StoreError):
    """A stored object cannot be decoded, or a segment is missing."""

    code, status, title = "journal-damaged", 500, "Journal damaged"


class PeerError(DogwoodgapError):
    """A message between nodes could not be exchanged."""

    code, status, title = "peer-error", 503, "Node not reachable"
    retry_after_s = 0.5


class PeerUnreachableError(PeerError):
    """No connection to the node, or no reply in time."""

    code = "peer-unreachable"


class FrameMalformedError(PeerError):
    """A frame does not decode or exceeds the size limit."""

    code, title = "frame-malformed", "Malformed frame"


class SettingsInvalidError(DogwoodgapError):
    """A settings or configuration document is invalid; the old one stays in force."""

    code, status, title, not_run = "settings-invalid", 422, "Invalid settings", "true"


class AddressUnavailableError(DogwoodgapError):
    """An address to listen on is in use, or does not belong to this VM."""

    code, status, title, not_run = "address-unavailable", 500, "Address unavailable", "true"


NOT_RUN_VALUES: dict[str, bool | str] = {"true": True, "false": False, "unknown": "unknown"}


def problem(error: DogwoodgapError) -> Problem:
    """Return the problem document of an error."""
    return Problem(
        type=f"urn:dogwoodgap:error:{error.code}",
        title=error.title,
        status=error.status,
        detail=error.detail,
        code=error.code,
        not_run=NOT_RUN_VALUES[error.not_run],
        retry_after_s=error.retry_after_s,
    )


def encode_problem(error: DogwoodgapError) -> bytes:
    """Return an error as a JSON document."""
    return msgspec.json.encode(problem(error))


def error_classes(base: type[DogwoodgapError] = DogwoodgapError) -> list[type[DogwoodgapError]]:
    """Return ``base`` and all classes derived from it, sorted by code."""
    classes_by_code = {base.code: base}
    for child in base.__subclasses__():
        classes_by_code |= {error_class.code: error_class for error_class in error_classes(child)}
    return [classes_by_code[code] for code in sorted(classes_by_code)]


def error_class_by_code(code: str) -> type[DogwoodgapError]:
    """Return the error class with a code, or the base class for an unknown code."""
    return {error_class.code: error_class for error_class in error_classes()}.get(
        code, DogwoodgapError
    )


def from_problem(document: Problem) -> DogwoodgapError:
    """Return the error that a received problem document describes."""
    error_class = error_class_by_code(document.code)
    names: dict[bool | str, NotRun] = {True: "true", False: "false", "unknown": "unknown"}
    return error_class(
        document.detail, not_run=names[document.not_run], retry_after_s=document.retry_after_s
    )
