"""Inputs and actions of the ledger of non-idempotent requests."""

import hashlib
import typing

from acacialatch import errors


class Request(typing.NamedTuple):
    """A non-idempotent request as received.

    Attributes
    ----------
    caller : str
        Identifier of this call, unique within the process. A repeat of the request has
        another one.
    key : str
        Text of the idempotency key.
    body_digest : bytes
        Result of `digest_body`.
    deadline : float
        Time on the monotonic clock by which the answer must be sent, in seconds.
    is_forwarded : bool
        Whether a peer forwarded the request.
    """

    caller: str
    key: str
    body_digest: bytes
    deadline: float
    is_forwarded: bool = False


class ReplicaOption(typing.NamedTuple):
    """A replica that the request may be sent to.

    Attributes
    ----------
    address : str
        IP address and port.
    last_active_at : float or None
        Time of the last exchange on the idle connection that would be used, in
        seconds; None if a new connection would be opened.
    """

    address: str
    last_active_at: float | None = None


class View(typing.NamedTuple):
    """State outside the ledger on which the choice of a replica depends.

    Attributes
    ----------
    replicas : tuple of ReplicaOption
        Usable replicas, best first.
    is_current : bool
        Whether the configuration is recent enough to send new work
        (`RevisionStore.is_current`).
    refusal : errors.ErrorKind or None
        Another reason not to send, such as `unknown_service`, of a kind whose answer
        says "not run".
    """

    replicas: tuple[ReplicaOption, ...]
    is_current: bool
    refusal: errors.ErrorKind | None = None


class Reply(typing.NamedTuple):
    """A reply of a backend server.

    Attributes
    ----------
    request_id : str
        Request identifier that the reply carries.
    status : int
        HTTP status code.
    body : bytes
        Body, or the part of it that was read.
    is_complete : bool
        Whether the whole body was read.
    """

    request_id: str
    status: int
    body: bytes
    is_complete: bool = True


Outcome: typing.TypeAlias = Reply | errors.Failure


class Send(typing.NamedTuple):
    """Connect to a replica, call `authorize_send`, and write if it returns `Ok`.

    Attributes
    ----------
    request_id : str
        Value of `x-request-id`, different for each attempt.
    caller : str
        Waiting caller whose body is sent. The engine must keep the body until the
        attempt ends, since this caller may disconnect while others wait.
    address : str
        Address of the replica.
    is_new_connection : bool
        Whether a new connection must be opened instead of using an idle one.
    """

    request_id: str
    caller: str
    address: str
    is_new_connection: bool


class Forward(typing.NamedTuple):
    """Forward the request of `caller` to the entry instance `issuer`.

    Attributes
    ----------
    caller : str
        Caller whose request is forwarded.
    issuer : str
        Identifier of the issuer as the key names it. Only the issuer can verify the
        key, so this may be any text that a key allows; the engine must connect to
        known peers only.
    deadline : float
        Time by which the answer must be sent, in seconds on the monotonic clock of
        this process. A peer has another clock and must be given the remaining time.
    """

    caller: str
    issuer: str
    deadline: float


class Answer(typing.NamedTuple):
    """Answer a caller with a reply or a failure.

    Attributes
    ----------
    caller : str
        Caller to answer; the ledger no longer counts it as waiting.
    outcome : Outcome
        Reply of a backend server, or a failure.
    """

    caller: str
    outcome: Outcome


class CancelAttempt(typing.NamedTuple):
    """Cancel an attempt and close its connection.

    Attributes
    ----------
    request_id : str
        Identifier of the attempt. If it has ended already, there is nothing to do.
    """

    request_id: str


Action: typing.TypeAlias = Send | Forward | Answer | CancelAttempt


def digest_body(service: str, key: int | None, body: bytes) -> bytes:
    """Return the SHA-256 digest that tells a repeat from another request.

    Parameters
    ----------
    service : str
        Name of the service.
    key : int or None
        Key in the index, if the request names one.
    body : bytes
        Body for the backend server.
    """
    # The length of the name keeps different fields from giving the same bytes.
    head = f"{len(service.encode())}:{service}:{key}:".encode()
    return hashlib.sha256(head + body).digest()


def make_not_run(detail: str) -> errors.Failure:
    """Return a failure that says that the request did not and will not run."""
    return errors.Failure(errors.ErrorKind.NOT_RUN, detail)


def make_unknown(detail: str) -> errors.Failure:
    """Return a failure that says that the request may have run."""
    return errors.Failure(errors.ErrorKind.OUTCOME_UNKNOWN, detail)
