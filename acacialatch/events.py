"""Events that the engine handles and actions that it returns."""

import enum
import typing

from acacialatch import attempts, bodies, messages, model, requestdata


class SendCause(enum.Enum):
    """Why an exchange with a backend server did not yield a complete reply."""

    NO_CONNECTION = "no_connection"
    CONNECT_REFUSED = "connect_refused"
    CONNECT_TIMEOUT = "connect_timeout"
    NO_REPLY = "no_reply"
    CONNECTION_LOST = "connection_lost"
    BAD_REPLY = "bad_reply"


class QueryArrived(typing.NamedTuple):
    """A query arrived from a caller."""

    query: model.Query


class QueryAbandoned(typing.NamedTuple):
    """The caller of a query closed its connection."""

    answer_id: str


class RequestArrived(typing.NamedTuple):
    """A caller or a peer sent a non-idempotent request.

    Attributes
    ----------
    call_id : str
        Identifier of this call; the answer has the same one.
    idempotency_key : str
        Idempotency key that the caller sent.
    service : str
        Name of the service.
    key : int
        Key of the index that the request changes.
    body : str
        Text passed to the backend server.
    deadline : float
        Time on the runtime clock by which the answer must be sent, in seconds.
    hops : int
        Number of entry instances that have forwarded the request.
    """

    call_id: str
    idempotency_key: str
    service: str
    key: int
    body: str
    deadline: float
    hops: int


class RequestAbandoned(typing.NamedTuple):
    """The caller of a non-idempotent request closed its connection."""

    call_id: str


class ForwardAnswered(typing.NamedTuple):
    """The issuer of an idempotency key answered a forwarded request."""

    call_id: str
    key: str
    outcome: requestdata.Outcome


class ForwardFailed(typing.NamedTuple):
    """A request forwarded to the issuer of its key was not answered.

    Attributes
    ----------
    call_id : str
        Identifier of the call.
    may_be_sent : bool
        Whether any byte of the request may have been sent.
    """

    call_id: str
    may_be_sent: bool


class ServerReplied(typing.NamedTuple):
    """A backend server sent a complete HTTP reply.

    Attributes
    ----------
    send_id : int
        Identifier of the send.
    status : int
        HTTP status code.
    report : bodies.ServerReport
        State of the server as reported in the headers.
    headers : dict
        All header fields, names in lower case.
    body : bytes
        Reply body.
    latency_s : float
        Time since the send, in seconds.
    is_new_connection : bool
        Whether the connection was opened for this exchange.
    """

    send_id: int
    status: int
    report: bodies.ServerReport
    headers: dict[str, str]
    body: bytes
    latency_s: float
    is_new_connection: bool


class SendFailed(typing.NamedTuple):
    """An exchange with a backend server failed.

    Attributes
    ----------
    send_id : int
        Identifier of the send.
    cause : SendCause
        Why there is no complete reply.
    bytes_sent : bool
        Whether any byte of the request may have reached the server.
    is_new_connection : bool
        Whether the connection was opened for this exchange.
    """

    send_id: int
    cause: SendCause
    bytes_sent: bool
    is_new_connection: bool


class PoolChanged(typing.NamedTuple):
    """The number of idle connections to a server changed."""

    address: str
    idle: int


class ConfigurationRead(typing.NamedTuple):
    """A configuration text was received from the configuration service or a peer.

    Attributes
    ----------
    revision : int
        Revision under which the source holds the text.
    text : bytes
        The TOML text.
    source : str
        `revisions.SERVICE_SOURCE` or a name made by `revisions.make_peer_source`.
    requested_at : float
        Time in seconds at which the text was requested.
    is_source_current : bool
        Whether the source reports that its configuration is current.
    """

    revision: int
    text: bytes
    source: str
    requested_at: float
    is_source_current: bool = True


class ServiceUnchanged(typing.NamedTuple):
    """The configuration service, read at `requested_at`, has no newer revision."""

    requested_at: float


class ServiceFailed(typing.NamedTuple):
    """A read of the configuration service failed."""

    detail: str


class InstancesListed(typing.NamedTuple):
    """The platform returned its list of instances."""

    instances: tuple[model.ListedInstance, ...]


class ListFailed(typing.NamedTuple):
    """A read of the platform's list of instances failed."""

    detail: str


class DigestRequested(typing.NamedTuple):
    """A peer sent its digest and waits for the digest of this entry instance.

    The engine answers with an `AnswerDigest` action of the same `call_id`.
    """

    call_id: str
    digest: messages.Digest


class DigestAnswered(typing.NamedTuple):
    """A peer answered the digest that was sent to it at `sent_at`, in seconds."""

    peer_address: str
    digest: messages.Digest
    sent_at: float


class PeerFailed(typing.NamedTuple):
    """A digest or a configuration fetch sent to a peer failed."""

    peer_address: str
    detail: str


class LoopTicked(typing.NamedTuple):
    """A timer of the engine is due."""


class StopRequested(typing.NamedTuple):
    """An operator requested a graceful shutdown."""


class SendToServer(typing.NamedTuple):
    """Starts an exchange with a backend server.

    Attributes
    ----------
    send_id : int
        Identifier of the send.
    address : str
        IP address and port of the server.
    method, path : str
        HTTP method and request target.
    headers : tuple of (str, str)
        Header fields.
    body : bytes
        Request body.
    timeout_s : float
        Time limit for the whole exchange, in seconds.
    needs_live_connection : bool
        Whether to use only a new connection or one that completed an exchange within
        `httpclient.CONNECTION_LIVE_S`, and to call `Engine.allow_first_byte` directly
        before the first byte.
    may_connect : bool
        Whether a connection may be opened. Opening one is load on a cold server, for
        which there may be no permit.
    """

    send_id: int
    address: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    timeout_s: float
    needs_live_connection: bool = False
    may_connect: bool = True


class CancelSend(typing.NamedTuple):
    """Cancels an exchange and closes its connection."""

    send_id: int


class AnswerQuery(typing.NamedTuple):
    """Answers a query."""

    answer_id: str
    revision: int
    outcome: attempts.Outcome


class AnswerRequest(typing.NamedTuple):
    """Answers a non-idempotent request."""

    call_id: str
    outcome: requestdata.Outcome


class ForwardToPeer(typing.NamedTuple):
    """Forwards a non-idempotent request to the issuer of its key.

    Attributes
    ----------
    call_id : str
        Identifier of the call.
    peer_address : str
        Peer address of the issuer.
    request : RequestArrived
        Request to forward.
    timeout_s : float
        Time until the deadline, in seconds.
    """

    call_id: str
    peer_address: str
    request: RequestArrived
    timeout_s: float


class WriteRecord(typing.NamedTuple):
    """Writes an explanation record."""

    answer_id: str
    data: bytes


class WriteAudit(typing.NamedTuple):
    """Writes a state change to the audit trail."""

    subject: str
    before: str
    after: str
    cause: str


class WriteLog(typing.NamedTuple):
    """Writes a log line; `prefix` names the component."""

    prefix: str
    text: str


class CountMetric(typing.NamedTuple):
    """Adds to a counter of `metrics.METRICS`."""

    name: str
    value: int = 1


class SetMetric(typing.NamedTuple):
    """Sets a gauge of `metrics.METRICS`."""

    name: str
    value: float


class TimeMetric(typing.NamedTuple):
    """Adds a duration in seconds to a timer of `metrics.METRICS`."""

    name: str
    value_s: float


class ExchangeDigest(typing.NamedTuple):
    """Sends a digest to a peer; the answer arrives as `DigestAnswered`."""

    peer_address: str
    digest: messages.Digest


class AnswerDigest(typing.NamedTuple):
    """Answers a `DigestRequested` event with the digest of this entry instance."""

    call_id: str
    digest: messages.Digest


class FetchConfiguration(typing.NamedTuple):
    """Fetches the configuration text from a peer."""

    peer_address: str
    name: str


class ReadService(typing.NamedTuple):
    """Reads the configuration service.

    Attributes
    ----------
    after : int
        Revision in force; only a newer one is returned.
    wait_s : float
        How long the service may wait for a newer revision, in seconds.
    """

    after: int
    wait_s: float


class ListInstances(typing.NamedTuple):
    """Reads the platform's list of instances."""


Event: typing.TypeAlias = (
    QueryArrived
    | QueryAbandoned
    | RequestArrived
    | RequestAbandoned
    | ForwardAnswered
    | ForwardFailed
    | ServerReplied
    | SendFailed
    | PoolChanged
    | ConfigurationRead
    | ServiceUnchanged
    | ServiceFailed
    | InstancesListed
    | ListFailed
    | DigestRequested
    | DigestAnswered
    | PeerFailed
    | LoopTicked
    | StopRequested
)

Action: typing.TypeAlias = (
    SendToServer
    | CancelSend
    | AnswerQuery
    | AnswerRequest
    | ForwardToPeer
    | WriteRecord
    | WriteAudit
    | WriteLog
    | CountMetric
    | SetMetric
    | TimeMetric
    | ExchangeDigest
    | AnswerDigest
    | FetchConfiguration
    | ReadService
    | ListInstances
)
