"""Data of non-idempotent requests: what the ledger is given and what it returns."""

import hashlib
import typing

from acacialatch import errors


class Request(typing.NamedTuple):
    """A non-idempotent request as received.

    Attributes
    ----------
    caller : str
        Identifier of this receipt, never used twice in one process.
    key : str
        Text of the idempotency key.
    body_digest : bytes
        Result of `digest_body`.
    deadline : float
        Time by which the answer must leave, in seconds.
    is_forwarded : bool
        Whether a peer forwarded the request.
    """

    caller: str
    key: str
    body_digest: bytes
    deadline: float
    is_forwarded: bool = False


class ReplicaOption(typing.NamedTuple):
    """A replica that may take the request.

    Attributes
    ----------
    address : str
        IP address and port.
    last_active_at : float or None
        Time of the last exchange on the idle connection that would be used, in
        seconds; None if a new connection would be made.
    """

    address: str
    last_active_at: float | None = None


class View(typing.NamedTuple):
    """What the engine knows when the ledger may have to choose a replica.

    Attributes
    ----------
    replicas : tuple of ReplicaOption
        Usable replicas, best first.
    is_current : bool
        Whether the process may send new work (`RevisionStore.is_current`).
    refusal : errors.ErrorKind or None
        Any other reason not to send, such as `unknown_service`; its answer must
        say "not run".
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
        Body as far as it was read.
    is_complete : bool
        Whether the body was read to its end.
    """

    request_id: str
    status: int
    body: bytes
    is_complete: bool = True


Outcome: typing.TypeAlias = Reply | errors.Failure


class Send(typing.NamedTuple):
    """Prepare a connection, call `note_sent`, then write if it returns `Ok`.

    Attributes
    ----------
    request_id : str
        Value of `x-request-id`, different for each attempt.
    caller : str
        Waiting caller whose body is sent. The body stays with the attempt, since
        this caller may leave while others wait.
    address : str
        Address of the replica.
    is_new_connection : bool
        Whether idle connections must not be used.
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
        Identifier of the issuer. The key is not verified yet, so that this may be
        any text of the alphabet; only known peers may be contacted.
    deadline : float
        Time by which the answer must leave, in seconds on the clock of this
        process; the peer must be given the time that is left instead.
    """

    caller: str
    issuer: str
    deadline: float


class Answer(typing.NamedTuple):
    """Answer `caller` with a reply or a failure.

    Attributes
    ----------
    caller : str
        Caller to answer; it is no longer waiting.
    outcome : Outcome
        Reply of a backend server, or a failure.
    """

    caller: str
    outcome: Outcome


class Close(typing.NamedTuple):
    """Give up an attempt and close its connection.

    Attributes
    ----------
    request_id : str
        Identifier of the attempt; nothing is to be done if it has ended already.
    """

    request_id: str


Action: typing.TypeAlias = Send | Forward | Answer | Close


def digest_body(service: str, key: int | None, body: bytes) -> bytes:
    """Return the SHA-256 digest by which repeats of a request are compared.

    Parameters
    ----------
    service : str
        Name of the service.
    key : int or None
        Key in the index, if the request names one.
    body : bytes
        Body for the backend server.
    """
    head = f"{len(service.encode())}:{service}:{key}:".encode()
    return hashlib.sha256(head + body).digest()


def make_not_run(detail: str) -> errors.Failure:
    """Return a failure that says that no backend server runs the request."""
    return errors.Failure(errors.ErrorKind.NOT_RUN, detail)


def make_unknown(detail: str) -> errors.Failure:
    """Return a failure that leaves open whether the request ran."""
    return errors.Failure(errors.ErrorKind.OUTCOME_UNKNOWN, detail)
