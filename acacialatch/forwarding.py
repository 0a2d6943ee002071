"""Requests, replies and batches, and the actions that the forwarder returns."""

import enum
import typing

from acacialatch import errors

Fields = tuple[tuple[bytes, bytes], ...]
"""Header fields in the order received, names in lower case."""


class Request(typing.NamedTuple):
    """Request of a caller with its whole body.

    Attributes
    ----------
    identity : str
        Request identifier that the caller chose.
    host, target, path : str
        Host, request target as received, and its path without the query.
    method : str
        HTTP method.
    fields : Fields
        Header fields to pass on.
    body : bytes
        Request body.
    timeout_s : float or None
        Time in seconds for which the caller waits for the answer; None if not stated.
    """

    identity: str
    host: str
    method: str
    target: str
    path: str
    fields: Fields
    body: bytes
    timeout_s: float | None


class Reply(typing.NamedTuple):
    """Reply of a backend server with its whole body.

    Attributes
    ----------
    status : int
        HTTP status.
    signature : str
        Signature of the server for this reply, empty if there is none.
    fields : Fields
        Header fields to pass on.
    body : bytes
        Reply body.
    rate_limit : float or None
        Requests per second that the server takes from all entry instances together;
        infinity if it names no limit, None if its limit cannot be read.
    """

    status: int
    signature: str
    fields: Fields
    body: bytes
    rate_limit: float | None = None

    @property
    def is_success(self) -> bool:
        """Return whether the status is 2xx."""
        return 200 <= self.status < 300


class FailureKind(enum.Enum):
    """Why an attempt has no usable reply.

    NOT_SENT: no byte left this process. SHED: the server was overloaded and refused
    the request before running it. WRONG_SERVER: another server has taken over the
    address and refused the request. CONNECTION_LOST: the connection ended after the
    request was sent. MALFORMED_REPLY: the bytes received are no valid reply to this
    request. OTHER_REQUEST: a valid reply that names another request. After the last
    three the request may have run.
    """

    NOT_SENT = "not_sent"
    SHED = "shed"
    WRONG_SERVER = "wrong_server"
    CONNECTION_LOST = "cut"
    MALFORMED_REPLY = "garbled"
    OTHER_REQUEST = "other_request"


NOT_RUN_KINDS = frozenset(
    {FailureKind.NOT_SENT, FailureKind.SHED, FailureKind.WRONG_SERVER}
)
"""Failures after which the server has certainly not run the request."""


class SendFailure(typing.NamedTuple):
    """Failure of one attempt, with its kind and a detail for the log.

    `rate_limit` is that of the server, as in `Reply`; None without a reply of it, or if
    the reply names none.
    """

    kind: FailureKind
    detail: str = ""
    rate_limit: float | None = None


class Send(typing.NamedTuple):
    """Action: send a request to a backend server.

    Attributes
    ----------
    number : int
        Identifies the attempt in this process.
    address, identity : str
        Address and identity of the server.
    request : Request
        Request to send.
    timeout_s : float
        Time in seconds until the deadline of the request.
    needs_live_connection : bool
        Whether to avoid connections that were idle for long. The server may have
        closed such a connection, and the request could not be sent again because it
        must not run twice.
    connections_max : int
        Most connections that this process may hold to the server.
    """

    number: int
    address: str
    identity: str
    request: Request
    timeout_s: float
    needs_live_connection: bool
    connections_max: int


class Batch(typing.NamedTuple):
    """Message to another entry instance: call shards with servers in its zone.

    Attributes
    ----------
    request : Request
        Request to send to each shard.
    services : tuple of str
        The shards.
    records_max : int
        Most records of the merged reply.
    wait_s : float
        Time in seconds after which the replies received so far are returned.
    timeout_s : float
        Time in seconds until the deadline of the request.
    """

    request: Request
    services: tuple[str, ...]
    records_max: int
    wait_s: float
    timeout_s: float


class BatchContinuation(typing.NamedTuple):
    """Message to another entry instance: return the remaining replies of a batch.

    Attributes
    ----------
    batch : int
        Number of the batch, from the last reply to it.
    identity : str
        Identifier of the request, which must be that of the batch.
    wait_s : float
        Time in seconds after which the replies received so far are returned.
    """

    batch: int
    identity: str
    wait_s: float


class SendBatch(typing.NamedTuple):
    """Action: send a batch or its continuation to another entry instance.

    Attributes
    ----------
    number : int
        Identifies the message in this process; distinct from the numbers of attempts.
    address : str
        Address of the entry instance.
    message : Batch or BatchContinuation
        Message to send.
    shards : int
        Number of shards of the batch, to check the reply.
    connections_max : int
        Most idle connections to keep to the entry instance.
    needs_live_connection : bool
        Whether to avoid connections that were idle for long; see `Send`.
    """

    number: int
    address: str
    message: Batch | BatchContinuation
    shards: int
    connections_max: int
    needs_live_connection: bool = False


Outgoing = Send | SendBatch
"""Actions that send a request over a connection of this process."""


class OpenShard(typing.NamedTuple):
    """Shard of a batch without a successful reply.

    Attributes
    ----------
    index : int
        Position in the batch.
    tried : tuple of str
        Identities of servers that must not be asked again.
    may_have_arrived : bool
        Whether the request may have arrived at a server. The next attempt then counts
        as a retry against the resend budget.
    may_have_run : bool
        Whether any server may have run the request.
    pending : bool
        Whether an attempt is in flight, so that a reply may still arrive.
    """

    index: int
    tried: tuple[str, ...]
    may_have_arrived: bool
    may_have_run: bool
    pending: bool


class BatchReply(typing.NamedTuple):
    """Reply to a batch or to a continuation.

    Attributes
    ----------
    batch : int
        Number of the batch, for a continuation.
    arrived : tuple of (int, str)
        Shards that replied since the last reply to the batch: position in the batch
        and signature of the server's reply.
    open : tuple of OpenShard
        Shards without a successful reply.
    body : bytes
        Merged records of the shards in `arrived`.
    """

    batch: int
    arrived: tuple[tuple[int, str], ...]
    open: tuple[OpenShard, ...]
    body: bytes


class Cancel(typing.NamedTuple):
    """Action: cancel an attempt or a message to another entry instance.

    Its connection is closed unless the whole reply has been received.
    """

    number: int


class ForwardedReply(typing.NamedTuple):
    """Answer: the reply of one backend server, unchanged."""

    reply: Reply


class MergedReply(typing.NamedTuple):
    """Answer: the merged records of several shards.

    Attributes
    ----------
    signatures : tuple of str
        Signatures of the replies that were merged.
    missing : int
        Number of shards without a reply.
    body : bytes
        Merged records.
    """

    signatures: tuple[str, ...]
    missing: int
    body: bytes


class ErrorReply(typing.NamedTuple):
    """Answer: an error of this system.

    Attributes
    ----------
    kind : errors.ErrorKind
        Kind of error.
    retry_after_s : float
        Time in seconds after which the caller may retry; 0 if it is not told.
    """

    kind: errors.ErrorKind
    retry_after_s: float = 0.0


Answer = ForwardedReply | MergedReply | BatchReply | ErrorReply


class Respond(typing.NamedTuple):
    """Action: answer a request of a caller or of another entry instance.

    Attributes
    ----------
    exchange : int
        Number of the request.
    answer : Answer
        The answer.
    """

    exchange: int
    answer: Answer


class LogEntry(typing.NamedTuple):
    """Action: write a log entry.

    Attributes
    ----------
    part : str
        Prefix of the line, a value of `logs.Part`.
    text : str
        Message.
    values : dict of str to any
        Fields of the entry.
    """

    part: str
    text: str
    values: dict[str, typing.Any]


Action = Send | SendBatch | Cancel | Respond | LogEntry
