"""JSON bodies and headers exchanged with callers and backend servers."""

import typing

import msgspec
import result

from acacialatch import decoding, errors, model

DEADLINE_MIN_S = 0.001
"""Smallest deadline that a caller may set, in seconds."""

REQUEST_DEADLINE_S = 2.0
REQUEST_DEADLINE_MAX_S = 30.0
"""Default and largest deadline of a non-idempotent request, in seconds."""

LIMIT_DEFAULT = 100
LIMIT_MAX = 10_000
"""Default and largest number of rows that a query may ask for."""


class QueryBody(typing.TypedDict):
    """Body of `POST /v1/query/{service}`; `deadline_ms` is in milliseconds."""

    kind: str
    deadline_ms: typing.NotRequired[float]
    key: typing.NotRequired[int]
    limit: typing.NotRequired[int]
    body: typing.NotRequired[str]


class RequestBody(typing.TypedDict):
    """Body of `POST /v1/request/{service}`; `deadline_ms` is in milliseconds."""

    key: int
    body: str
    deadline_ms: typing.NotRequired[float]


class ServerQuery(typing.TypedDict):
    """Body of `POST /query` towards a backend server."""

    kind: str
    key: int | None
    limit: int
    body: str


class ServerReply(typing.TypedDict):
    """Body of a reply to `POST /query`.

    `ranges` lists the key ranges that the server has read, which may be fewer than
    requested; `rows` lists pairs of key and value.
    """

    request_id: str
    index: str
    version: int
    partition_map: int
    ranges: list[tuple[int, int]]
    rows: list[tuple[int, str]]


class ServerError(typing.TypedDict):
    """Body of an error reply of a backend server."""

    kind: str


class ErrorBody(typing.TypedDict):
    """The `error` object of an error answer to a caller."""

    kind: str
    text: str
    detail: str
    run_state: str
    retryable: bool


class ServerReport(typing.NamedTuple):
    """State of a backend server as reported by the headers of its reply.

    Attributes
    ----------
    incarnation : str
        Identifier of this run of the server process; empty if not given.
    state : str
        `"ready"`, `"cold"` or `"leaving"`; empty if not given.
    versions : tuple of int
        Index versions that the server holds.
    retry_after_s : float
        Time in seconds for which the server asks not to get new requests; 0 if it
        does not ask, at most 60.
    """

    incarnation: str
    state: str
    versions: tuple[int, ...]
    retry_after_s: float


_BodyType = typing.TypeVar("_BodyType")


def decode(
    body: bytes, body_type: type[_BodyType], allow_unknown: bool = False
) -> result.Result[_BodyType, str]:
    """Decode a JSON body and check its fields.

    Parameters
    ----------
    body : bytes
        JSON text.
    body_type : type
        A `TypedDict` of this module.
    allow_unknown : bool
        Whether fields that `body_type` lacks are ignored.

    Returns
    -------
    Result
        The decoded object, or a description of the first problem.
    """
    decoded = decoding.decode(msgspec.json.decode, body, type=body_type)
    names = decoding.decode(msgspec.json.decode, body, type=dict)
    if isinstance(decoded, result.Err):
        return decoded
    if isinstance(names, result.Err):
        return names
    unknown = sorted(set(names.ok_value) - set(body_type.__annotations__))
    if unknown and not allow_unknown:
        return result.Err(f"unknown field {unknown[0]!r}")
    return decoded


def encode(value: typing.Any) -> bytes:
    """Return a value as JSON text."""
    return msgspec.json.encode(value)


def read_query(
    configuration: model.Configuration,
    service: str,
    body: bytes,
    answer_id: str,
    now: float,
) -> result.Result[model.Query, errors.Failure]:
    """Validate the body of a query and return the query.

    Parameters
    ----------
    configuration : model.Configuration
        Configuration in force; gives the deadlines of each kind of query.
    service : str
        Name of the service in the request path.
    body : bytes
        JSON body, see `QueryBody`.
    answer_id : str
        Identifier of the answer to this query.
    now : float
        Current time in seconds.

    Returns
    -------
    Result
        The query, or a failure of kind `UNKNOWN_SERVICE`, `BAD_DEADLINE` or
        `MALFORMED_REQUEST`.
    """
    if service not in configuration.services:
        return _make_failure(errors.ErrorKind.UNKNOWN_SERVICE, f"service {service!r}")
    decoded = decode(body, QueryBody)
    if isinstance(decoded, result.Err):
        return _make_failure(errors.ErrorKind.MALFORMED_REQUEST, decoded.err_value)
    fields = decoded.ok_value
    names = [kind.value for kind in model.QueryKind]
    if fields["kind"] not in names:
        detail = f"kind is {fields['kind']!r}, allowed are {', '.join(names)}"
        return _make_failure(errors.ErrorKind.MALFORMED_REQUEST, detail)
    kind = model.QueryKind(fields["kind"])
    key = fields.get("key")
    if kind is model.QueryKind.LOOKUP and key is None:
        return _make_failure(errors.ErrorKind.MALFORMED_REQUEST, "a lookup needs a key")
    limit = fields.get("limit", LIMIT_DEFAULT)
    if not 1 <= limit <= LIMIT_MAX:
        detail = f"limit is {limit}, allowed is 1 to {LIMIT_MAX}"
        return _make_failure(errors.ErrorKind.MALFORMED_REQUEST, detail)
    policy = configuration.kinds[kind]
    deadline = read_deadline(
        fields.get("deadline_ms"), policy.deadline_s, policy.deadline_max_s
    )
    if isinstance(deadline, result.Err):
        return deadline
    return result.Ok(
        model.Query(
            answer_id,
            service,
            kind,
            now + deadline.ok_value,
            key,
            limit,
            fields.get("body", ""),
        )
    )


def read_deadline(
    deadline_ms: float | None, default_s: float, max_s: float
) -> result.Result[float, errors.Failure]:
    """Return the deadline of a request in seconds.

    Parameters
    ----------
    deadline_ms : float or None
        Deadline given by the caller, in milliseconds.
    default_s, max_s : float
        Deadline if the caller gives none, and the largest allowed one, in seconds.

    Returns
    -------
    Result
        The deadline, or a failure of kind `BAD_DEADLINE` if it is out of range.
    """
    if deadline_ms is None:
        return result.Ok(default_s)
    deadline_s = deadline_ms / 1000
    if not DEADLINE_MIN_S <= deadline_s <= max_s:
        detail = (
            f"deadline_ms is {deadline_ms:g}, allowed is "
            f"{DEADLINE_MIN_S * 1000:g} to {max_s * 1000:g}"
        )
        return _make_failure(errors.ErrorKind.BAD_DEADLINE, detail)
    return result.Ok(deadline_s)


def read_report(headers: dict[str, str]) -> ServerReport:
    """Return the state of a backend server that the headers of its reply report.

    Malformed header values are treated as absent.
    """
    versions = []
    for text in headers.get("x-index-versions", "").split(","):
        if text.strip().isdecimal():
            versions.append(int(text))
    try:
        retry_after_s = max(0.0, float(headers.get("retry-after", "0")))
    except ValueError:
        retry_after_s = 0.0
    return ServerReport(
        headers.get("x-incarnation", ""),
        headers.get("x-state", ""),
        tuple(versions),
        min(retry_after_s, 60.0),
    )


def make_error(failure: errors.Failure) -> ErrorBody:
    """Return the `error` object of an error answer."""
    answer = errors.ANSWERS[failure.kind]
    return {
        "kind": failure.kind.value,
        "text": answer.text,
        "detail": failure.detail,
        "run_state": answer.run_state.value,
        "retryable": answer.retryable,
    }


def _make_failure(kind: errors.ErrorKind, detail: str) -> result.Err[errors.Failure]:
    return result.Err(errors.Failure(kind, detail))
