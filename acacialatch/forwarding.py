"""Data of forwarded requests: what callers send, what backend servers reply."""

import enum
import typing

from acacialatch import errors

Fields = tuple[tuple[bytes, bytes], ...]
"""Header fields in their order, names in lower case."""


class Request(typing.NamedTuple):
    """A whole request of a caller.

    Attributes
    ----------
    identity : str
        Identifier that the caller gave to this attempt.
    host, target, path : str
        Host, request target as received, and its path without the query.
    method : str
        HTTP method.
    fields : tuple
        Header fields to pass on.
    body : bytes
        Request body.
    timeout_s : float or None
        How long the caller waits for the answer, if it says so.
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
    """A whole reply of a backend server.

    Attributes
    ----------
    status : int
        HTTP status.
    signature : str
        Signature of the server under this reply, empty if there is none.
    fields : tuple
        Header fields to pass on.
    body : bytes
        Whole body.
    """

    status: int
    signature: str
    fields: Fields
    body: bytes

    @property
    def is_success(self) -> bool:
        """Return whether the server did what was asked."""
        return 200 <= self.status < 300


class FailureKind(enum.Enum):
    """Why a send has no reply that counts.

    NOT_SENT: no byte left this process. SHED: the server refused before running.
    WRONG_SERVER: another server has the address, and refused. CONNECTION_LOST: the
    connection ended or broke after the request was sent. MALFORMED_REPLY: the bytes are
    no reply to this request. After the last two the request may have run.
    """

    NOT_SENT = "not_sent"
    SHED = "shed"
    WRONG_SERVER = "wrong_server"
    CONNECTION_LOST = "cut"
    MALFORMED_REPLY = "garbled"


NOT_RUN_KINDS = frozenset(
    {FailureKind.NOT_SENT, FailureKind.SHED, FailureKind.WRONG_SERVER}
)


class SendFailure(typing.NamedTuple):
    """A failure kind with the detail of one occurrence."""

    kind: FailureKind
    detail: str = ""


class Send(typing.NamedTuple):
    """Send a request to a backend server.

    Attributes
    ----------
    number : int
        Identifies the send in this process.
    address, identity : str
        Address and identity of the server.
    request : Request
        What to send.
    timeout_s : float
        How long this process waits for the reply.
    needs_live_connection : bool
        Whether the connection must be known to work, since the request must not run
        twice.
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
    """Part of a query that another entry instance asks near the servers.

    Attributes
    ----------
    request : Request
        What to send to each shard.
    services : tuple of str
        The shards.
    records_max : int
        Most records of the merged reply.
    wait_s : float
        Time after which the replies that are in are returned.
    timeout_s : float
        How long the caller waits.
    """

    request: Request
    services: tuple[str, ...]
    records_max: int
    wait_s: float
    timeout_s: float


class BatchContinuation(typing.NamedTuple):
    """Ask for the replies to a batch that were not in yet.

    Attributes
    ----------
    batch : int
        Number from the last reply to the batch.
    identity : str
        Identifier of the request.
    wait_s : float
        Time after which the replies that are in are returned.
    """

    batch: int
    identity: str
    wait_s: float


class SendBatch(typing.NamedTuple):
    """Send a batch, or a question for the rest of one, to another entry instance.

    Attributes
    ----------
    number : int
        Identifies it among the sends of this process.
    address : str
        Address of the entry instance.
    message : Batch or BatchContinuation
        What to send.
    shards : int
        Shards of the batch.
    connections_max : int
        Most idle connections to keep to it.
    needs_live_connection : bool
        Whether the connection must be known to work.
    """

    number: int
    address: str
    message: Batch | BatchContinuation
    shards: int
    connections_max: int
    needs_live_connection: bool = False


Outgoing = Send | SendBatch
"""What is sent over a connection of this process."""


class OpenShard(typing.NamedTuple):
    """A shard of a batch without a reply.

    Attributes
    ----------
    index : int
        Its place in the batch.
    tried : tuple of str
        Identities of servers that were asked.
    reached : bool
        Whether the request may have arrived, so that the next send is a repeat.
    may_have_run : bool
        Whether any server may have run the request.
    pending : bool
        Whether a reply may still come.
    """

    index: int
    tried: tuple[str, ...]
    reached: bool
    may_have_run: bool
    pending: bool


class BatchReply(typing.NamedTuple):
    """Reply to a batch.

    Attributes
    ----------
    batch : int
        Number under which the rest may be asked for.
    arrived : tuple of (int, str)
        Shards that arrived since the last reply, by their place in the batch, with the
        signatures of their replies.
    open : tuple of OpenShard
        Shards without a reply.
    body : bytes
        Merged records of `arrived`.
    """

    batch: int
    arrived: tuple[tuple[int, str], ...]
    open: tuple[OpenShard, ...]
    body: bytes


class Cancel(typing.NamedTuple):
    """Give up a send; its connection is closed unless the reply is in already."""

    number: int


class ForwardedReply(typing.NamedTuple):
    """Answer with the reply of one backend server, unchanged."""

    reply: Reply


class MergedReply(typing.NamedTuple):
    """Answer with the merged records of several shards."""

    signatures: tuple[str, ...]
    missing: int
    body: bytes


class ErrorReply(typing.NamedTuple):
    """Answer with an error of this system.

    Attributes
    ----------
    kind : errors.ErrorKind
        Error.
    retry_after_s : float
        When the caller may try again; 0 to say nothing.
    """

    kind: errors.ErrorKind
    retry_after_s: float = 0.0


Answer = ForwardedReply | MergedReply | BatchReply | ErrorReply


class Respond(typing.NamedTuple):
    """Give the answer to a caller."""

    exchange: int
    answer: Answer


class LogEntry(typing.NamedTuple):
    """Log line about a decision."""

    part: str
    text: str
    values: dict[str, typing.Any]


Action = Send | SendBatch | Cancel | Respond | LogEntry
