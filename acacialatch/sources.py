"""HTTP clients of the configuration service and of the platform's instance list."""

import abc
import typing

import h11
import msgspec
import result
import trio

from acacialatch import decoding, errors, framing, messages, model, sockets

# The platform answers within milliseconds. An entry instance that receives nothing for
# 3 s is isolated, so a read that fails must leave time for another within that period.
ANSWER_TIMEOUT_S = 1.0
WAIT_MAX_S = 30.0
LIST_MAX_BYTES = messages.TEXT_MAX_BYTES
REVISION_MAX = (1 << 63) - 1
INTERIM_ANSWERS_MAX = 10
"""Interim (1xx) answers that are skipped before the answer itself."""

FRAMING_FACTOR_MAX = 8
"""Bytes that are read for each byte of the largest body, chunk framing included."""

_CHUNK_BYTES = 64 << 10
_REVISION_DIGITS_MAX = 19

_Value = typing.TypeVar("_Value")
_SourceResult: typing.TypeAlias = result.Result[_Value, errors.SourceFailure]


class ConfigurationSource(abc.ABC):
    """Source of the configuration texts that operators publish."""

    @abc.abstractmethod
    async def read(
        self, after: int, wait_s: float
    ) -> _SourceResult[messages.ConfigurationText | None]:
        """Read the configuration text.

        Parameters
        ----------
        after : int
            Revision that the caller already has.
        wait_s : float
            Longest time to wait for a newer one, in seconds.

        Returns
        -------
        Result
            The text, or None if the service has no newer one. A stale service may
            return an older revision than it did before.
        """


class InstanceSource(abc.ABC):
    """Source of the platform's list of instances."""

    @abc.abstractmethod
    async def list(self) -> _SourceResult[tuple[model.ListedInstance, ...]]:
        """Return all listed instances."""


class HttpConfigurationSource(ConfigurationSource):
    """Configuration service by HTTP/1.1; docs/PLATFORM.md describes the protocol.

    Parameters
    ----------
    address : str
        IP address and port.
    path : str
        Path of the resource.
    """

    def __init__(self, address: str, path: str = "/config") -> None:
        self._address = address
        self._path = path

    async def read(
        self, after: int, wait_s: float
    ) -> _SourceResult[messages.ConfigurationText | None]:
        """Read the configuration text; see `ConfigurationSource`."""
        wait_s = min(max(wait_s, 0.0), WAIT_MAX_S)
        answer = await fetch(
            self._address,
            f"{self._path}?after={max(0, after)}&wait_s={wait_s:.3f}",
            messages.TEXT_MAX_BYTES,
            wait_s + ANSWER_TIMEOUT_S,
        )
        return answer.and_then(_decode_configuration)


class HttpInstanceSource(InstanceSource):
    """Instance list by HTTP/1.1; docs/PLATFORM.md describes the protocol.

    Parameters
    ----------
    address : str
        IP address and port.
    path : str
        Path of the resource.
    """

    def __init__(self, address: str, path: str = "/instances") -> None:
        self._address = address
        self._path = path

    async def list(self) -> _SourceResult[tuple[model.ListedInstance, ...]]:
        """Return all listed instances; see `InstanceSource`."""
        answer = await fetch(
            self._address, self._path, LIST_MAX_BYTES, ANSWER_TIMEOUT_S
        )
        return answer.and_then(_decode_instances)


class InstanceRecord(msgspec.Struct):
    """JSON form of `model.ListedInstance`."""

    name: str
    role: model.InstanceRole
    zone: str
    address: str
    peer_address: str
    state: model.InstanceState


class Answer(typing.NamedTuple):
    """Answer to a read.

    Attributes
    ----------
    status : int
        HTTP status.
    revision : str
        Value of `x-revision`, empty if there is none.
    body : bytes
        Body of a 200 answer; empty for other statuses.
    fields : tuple of (bytes, bytes)
        Header fields, names in lower case.
    """

    status: int
    revision: str
    body: bytes
    fields: tuple[tuple[bytes, bytes], ...] = ()


class _UnusableAnswerError(Exception):
    """An answer that is incomplete, malformed or too large."""

    def __init__(self, kind: errors.SourceErrorKind, detail: str) -> None:
        super().__init__(detail)
        self.failure = errors.SourceFailure(kind, detail)


def _decode_configuration(
    answer: Answer,
) -> _SourceResult[messages.ConfigurationText | None]:
    if answer.status == 204:
        return result.Ok(None)
    if answer.status != 200:
        return _make_failure(errors.SourceErrorKind.STATUS, str(answer.status))
    digits = answer.revision
    if not (digits.isascii() and digits.isdigit()):
        return _make_failure(
            errors.SourceErrorKind.MALFORMED, "x-revision is not a number"
        )
    if len(digits) > _REVISION_DIGITS_MAX or int(digits) > REVISION_MAX:
        return _make_failure(
            errors.SourceErrorKind.MALFORMED, "x-revision is too large"
        )
    text = messages.ConfigurationText(revision=int(digits), text=answer.body)
    return result.Ok(text)


def _decode_instances(
    answer: Answer,
) -> _SourceResult[tuple[model.ListedInstance, ...]]:
    if answer.status != 200:
        return _make_failure(errors.SourceErrorKind.STATUS, str(answer.status))
    listed = decoding.decode(
        msgspec.json.decode, answer.body, type=list[InstanceRecord]
    )
    if isinstance(listed, result.Err):
        return _make_failure(errors.SourceErrorKind.MALFORMED, listed.err_value)
    return result.Ok(
        tuple(
            model.ListedInstance(*msgspec.structs.astuple(item))
            for item in listed.ok_value
        )
    )


def _make_failure(
    kind: errors.SourceErrorKind, detail: str
) -> result.Err[errors.SourceFailure]:
    return result.Err(errors.SourceFailure(kind, detail))


async def fetch(
    address: str, target: str, limit: int, timeout_s: float
) -> _SourceResult[Answer]:
    """Read one resource on a new connection.

    Connections are not reused, since an idle one may be dead without an error.

    Parameters
    ----------
    address : str
        IP address and port.
    target : str
        Path and query.
    limit : int
        Largest body, in bytes.
    timeout_s : float
        Time limit from the connection set-up to the end of the answer, in seconds.

    Returns
    -------
    Result
        The answer with its status, which may be any. The failure is UNREACHABLE if
        the connection failed or was closed early, MALFORMED for broken HTTP or a
        body of unstated length, TOO_LARGE or TIMEOUT.
    """
    with trio.move_on_after(timeout_s):
        try:
            stream = await trio.open_tcp_stream(*model.split_address(address))
            sockets.enable_dead_peer_detection(stream)
            async with stream:
                return result.Ok(await _exchange(stream, address, target, limit))
        except _UnusableAnswerError as error:
            return result.Err(error.failure)
        except (OSError, trio.BrokenResourceError) as error:
            return _make_failure(errors.SourceErrorKind.UNREACHABLE, str(error))
        except Exception as error:
            # The bytes of an answer may raise whatever the libraries raise.
            detail = decoding.describe(error)
            return _make_failure(errors.SourceErrorKind.MALFORMED, detail)
    return _make_failure(
        errors.SourceErrorKind.TIMEOUT, f"no answer within {timeout_s:.3f} s"
    )


async def _exchange(
    stream: trio.SocketStream, address: str, target: str, limit: int
) -> Answer:
    connection = h11.Connection(h11.CLIENT)
    headers = [("host", address), ("connection", "close")]
    request = h11.Request(method="GET", target=target, headers=headers)
    await stream.send_all(
        connection.send(request) + connection.send(h11.EndOfMessage())
    )
    status, revision, body = 0, "", bytearray()
    fields: tuple[tuple[bytes, bytes], ...] = ()
    interim = received = chunks = 0
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            data = await stream.receive_some(_CHUNK_BYTES)
            received += len(data)
            if received > _CHUNK_BYTES + FRAMING_FACTOR_MAX * limit:
                detail = f"answer with a body of {len(body)} bytes does not end"
                raise _UnusableAnswerError(errors.SourceErrorKind.TOO_LARGE, detail)
            if not data:
                detail = "connection closed before the end of the answer"
                raise _UnusableAnswerError(errors.SourceErrorKind.UNREACHABLE, detail)
            connection.receive_data(data)
        elif isinstance(event, h11.InformationalResponse):
            interim += 1
            if interim > INTERIM_ANSWERS_MAX:
                detail = f"over {INTERIM_ANSWERS_MAX} interim answers"
                raise _UnusableAnswerError(errors.SourceErrorKind.MALFORMED, detail)
        elif isinstance(event, h11.Response):
            status, revision = event.status_code, _read_revision(event.headers)
            fields = tuple(event.headers)
            if status != 200:
                return Answer(status, "", b"", fields)
            _check_framing(event)
        elif isinstance(event, h11.Data):
            body += event.data
            chunks += event.chunk_start
            framing.check_chunks(chunks, len(body))
            if len(body) > limit:
                detail = f"body is larger than {limit} bytes"
                raise _UnusableAnswerError(errors.SourceErrorKind.TOO_LARGE, detail)
        elif isinstance(event, h11.EndOfMessage):
            return Answer(status, revision, bytes(body), fields)


def _check_framing(response: h11.Response) -> None:
    """Reject a body whose length is not stated, since it may be truncated.

    Raises
    ------
    _UnusableAnswerError
        If the end of the connection is the only end of the body.
    """
    names = {name for name, _ in response.headers}
    if not names & {b"content-length", b"transfer-encoding"}:
        detail = "answer has no content-length and no transfer-encoding"
        raise _UnusableAnswerError(errors.SourceErrorKind.MALFORMED, detail)


def _read_revision(headers: typing.Iterable[tuple[bytes, bytes]]) -> str:
    """Return the value of `x-revision`; empty unless there is exactly one."""
    values = [value for name, value in headers if name == b"x-revision"]
    return values[0].decode("latin-1") if len(values) == 1 else ""
