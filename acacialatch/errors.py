"""Error kinds and the answer that callers receive for each."""

import enum
import typing


class RunState(enum.Enum):
    """Whether a non-idempotent request that got an error has been executed."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    NOT_APPLICABLE = "not_applicable"


class ErrorKind(enum.Enum):
    """All errors that a caller can receive."""

    MALFORMED_REQUEST = "malformed_request"
    UNKNOWN_PATH = "unknown_path"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNKNOWN_SERVICE = "unknown_service"
    BAD_DEADLINE = "bad_deadline"
    BODY_TOO_LARGE = "body_too_large"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    COVERAGE_BELOW_FLOOR = "coverage_below_floor"
    NO_COMMON_VERSION = "no_common_version"
    OVERLOADED = "overloaded"
    NOT_CURRENT = "not_current"
    NO_CONFIGURATION = "no_configuration"
    SHUTTING_DOWN = "shutting_down"
    KEY_MISSING = "key_missing"
    KEY_INVALID = "key_invalid"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    BACKEND_FAILED = "backend_failed"
    REQUEST_TIMEOUT = "request_timeout"
    CALLER_GONE = "caller_gone"
    INTERNAL = "internal"


class Answer(typing.NamedTuple):
    """The answer that a caller receives for an error kind.

    Attributes
    ----------
    status : int
        HTTP status code.
    run_state : RunState
        Whether a non-idempotent request has been executed.
    retryable : bool
        Whether the same request may succeed later or at another entry instance.
    text : str
        Description for people, one sentence.
    """

    status: int
    run_state: RunState
    retryable: bool
    text: str


class Failure(typing.NamedTuple):
    """An error kind and the detail of one occurrence."""

    kind: ErrorKind
    detail: str = ""


class LinkErrorKind(enum.Enum):
    """Errors of a call to another entry instance.

    After NOT_SENT no byte of the request has left this process. After REFUSED the peer
    replied that it rejected the message without running it. After UNKNOWN the peer may
    have run the request.
    """

    NOT_SENT = "not_sent"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class LinkFailure(typing.NamedTuple):
    """A link error kind and the detail of one occurrence."""

    kind: LinkErrorKind
    detail: str = ""


class SourceErrorKind(enum.Enum):
    """Errors of reading the configuration service or the instance list."""

    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    STATUS = "status"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"


class SourceFailure(typing.NamedTuple):
    """A source error kind and the detail of one occurrence."""

    kind: SourceErrorKind
    detail: str = ""


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.MALFORMED_REQUEST: Answer(
        400, RunState.NOT_RUN, False, "The request is not well formed."
    ),
    ErrorKind.UNKNOWN_PATH: Answer(
        404, RunState.NOT_RUN, False, "The path does not exist."
    ),
    ErrorKind.METHOD_NOT_ALLOWED: Answer(
        405, RunState.NOT_RUN, False, "The path does not accept this method."
    ),
    ErrorKind.UNKNOWN_SERVICE: Answer(
        404, RunState.NOT_RUN, False, "The configuration has no such service."
    ),
    ErrorKind.BAD_DEADLINE: Answer(
        400, RunState.NOT_RUN, False, "The deadline is missing or out of range."
    ),
    ErrorKind.BODY_TOO_LARGE: Answer(
        413, RunState.NOT_RUN, False, "The request body is too large."
    ),
    ErrorKind.DEADLINE_EXCEEDED: Answer(
        504, RunState.NOT_APPLICABLE, True, "The deadline passed before an answer."
    ),
    ErrorKind.COVERAGE_BELOW_FLOOR: Answer(
        504,
        RunState.NOT_APPLICABLE,
        True,
        "Too few key ranges were read before the deadline.",
    ),
    ErrorKind.NO_COMMON_VERSION: Answer(
        503,
        RunState.NOT_APPLICABLE,
        True,
        "No index version was available in every shard before the deadline.",
    ),
    ErrorKind.OVERLOADED: Answer(
        503, RunState.NOT_RUN, True, "Too many requests are waiting."
    ),
    ErrorKind.NOT_CURRENT: Answer(
        503,
        RunState.NOT_RUN,
        True,
        "This entry instance cannot confirm its configuration.",
    ),
    ErrorKind.NO_CONFIGURATION: Answer(
        503, RunState.NOT_RUN, True, "This entry instance has no configuration yet."
    ),
    ErrorKind.SHUTTING_DOWN: Answer(
        503, RunState.NOT_RUN, True, "This entry instance is shutting down."
    ),
    ErrorKind.KEY_MISSING: Answer(
        400, RunState.NOT_RUN, False, "A non-idempotent request needs a key."
    ),
    ErrorKind.KEY_INVALID: Answer(
        400, RunState.NOT_RUN, False, "The key was not issued by this system."
    ),
    ErrorKind.KEY_REUSED: Answer(
        422,
        RunState.NOT_APPLICABLE,
        False,
        "The key was already used with a different request.",
    ),
    ErrorKind.KEY_EXPIRED: Answer(
        410, RunState.NOT_RUN, False, "The key expired before it was used."
    ),
    ErrorKind.NOT_RUN: Answer(
        503, RunState.NOT_RUN, True, "No backend server has run the request."
    ),
    ErrorKind.OUTCOME_UNKNOWN: Answer(
        504,
        RunState.UNKNOWN,
        False,
        "A backend server may or may not have run the request.",
    ),
    ErrorKind.BACKEND_FAILED: Answer(
        502,
        RunState.UNKNOWN,
        True,
        "The backend servers that were tried gave no whole reply.",
    ),
    ErrorKind.REQUEST_TIMEOUT: Answer(
        408, RunState.NOT_RUN, True, "The request did not arrive in time."
    ),
    ErrorKind.CALLER_GONE: Answer(
        499,
        RunState.NOT_APPLICABLE,
        False,
        "The caller closed its connection before the answer.",
    ),
    ErrorKind.INTERNAL: Answer(
        500, RunState.UNKNOWN, False, "An internal error occurred."
    ),
}
