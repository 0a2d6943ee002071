"""JSON bodies and headers exchanged with callers and backend servers."""

import typing

import msgspec
import result

from acacialatch import errors, model

DEADLINE_MIN_S = 0.001
REQUEST_DEADLINE_S = 2.0
REQUEST_DEADLINE_MAX_S = 30.0
"""Default and largest deadline of a non-idempotent request, in seconds."""

LIMIT_DEFAULT = 100
LIMIT_MAX = 10_000


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

    `ranges` lists the key ranges that were truly read, `rows` pairs of key and
    value.
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
    """What the headers of a reply say about the backend server.

    Attributes
    ----------
    incarnation : str
        Identifier of this run of the server; empty when not given.
    state : str
        `"ready"`, `"cold"`, `"leaving"` or empty.
    versions : tuple of int
        Index versions that the server holds.
    retry_after_s : float
        Time in seconds for which the server asks for no new work.
    """

    incarnation: str
    state: str
    versions: tuple[int, ...]
    retry_after_s: float


_JsonType = typing.TypeVar("_JsonType")


def decode(
    body: bytes, kind: type[_JsonType], allow_unknown: bool = False
) -> result.Result[_JsonType, str]:
    """Decode a JSON body.

    Parameters
    ----------
    body : bytes
        JSON text.
    kind : type
        A `TypedDict` of this module.
    allow_unknown : bool
        Whether fields that `kind` lacks are ignored.

    Returns
    -------
    Result
        The object, or a sentence that says what is wrong.
    """
    try:
        decoded = msgspec.json.decode(body, type=kind)
        names = set(msgspec.json.decode(body))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return result.Err(str(error))
    unknown = sorted(names - set(kind.__annotations__))
    if unknown and not allow_unknown:
        return result.Err(f"unknown field {unknown[0]!r}")
    return result.Ok(decoded)


def encode(value: typing.Any) -> bytes:
    """Encode a value as JSON."""
    return msgspec.json.encode(value)


def read_query(
    configuration: model.Configuration,
    service: str,
    body: bytes,
    answer_id: str,
    now: float,
) -> result.Result[model.Query, errors.Failure]:
    """Check the body of a query.

    Parameters
    ----------
    configuration : model.Configuration
        Configuration in force.
    service : str
        Name of the service from the path.
    body : bytes
        JSON body, see `QueryBody`.
    answer_id : str
        Identifier for the answer.
    now : float
        Current time in seconds.

    Returns
    -------
    Result
        The query, or a failure of kind `UNKNOWN_SERVICE`, `BAD_DEADLINE` or
        `MALFORMED_REQUEST`.
    """
    if service not in configuration.services:
        return _fail(errors.ErrorKind.UNKNOWN_SERVICE, f"service {service!r}")
    decoded = decode(body, QueryBody)
    if isinstance(decoded, result.Err):
        return _fail(errors.ErrorKind.MALFORMED_REQUEST, decoded.err_value)
    fields = decoded.ok_value
    names = [kind.value for kind in model.QueryKind]
    if fields["kind"] not in names:
        detail = f"kind is {fields['kind']!r}, allowed are {', '.join(names)}"
        return _fail(errors.ErrorKind.MALFORMED_REQUEST, detail)
    kind = model.QueryKind(fields["kind"])
    key = fields.get("key")
    if kind is model.QueryKind.LOOKUP and key is None:
        return _fail(errors.ErrorKind.MALFORMED_REQUEST, "a lookup needs a key")
    limit = fields.get("limit", LIMIT_DEFAULT)
    if not 1 <= limit <= LIMIT_MAX:
        detail = f"limit is {limit}, allowed is 1 to {LIMIT_MAX}"
        return _fail(errors.ErrorKind.MALFORMED_REQUEST, detail)
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
    """Check a deadline given in milliseconds and return it in seconds."""
    if deadline_ms is None:
        return result.Ok(default_s)
    deadline_s = deadline_ms / 1000
    if not DEADLINE_MIN_S <= deadline_s <= max_s:
        detail = (
            f"deadline_ms is {deadline_ms:g}, allowed is "
            f"{DEADLINE_MIN_S * 1000:g} to {max_s * 1000:g}"
        )
        return _fail(errors.ErrorKind.BAD_DEADLINE, detail)
    return result.Ok(deadline_s)


def read_report(headers: dict[str, str]) -> ServerReport:
    """Read what the headers of a reply say about the server.

    Header values that are not well formed are taken as not given.
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
    """Return the `error` object for a failure."""
    answer = errors.ANSWERS[failure.kind]
    return {
        "kind": failure.kind.value,
        "text": answer.text,
        "detail": failure.detail,
        "run_state": answer.run_state.value,
        "retryable": answer.retryable,
    }


def _fail(kind: errors.ErrorKind, detail: str) -> result.Err[errors.Failure]:
    return result.Err(errors.Failure(kind, detail))
