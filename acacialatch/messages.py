"""Messages between entry instances and their MessagePack encoding."""

import typing

import msgspec

# The configuration service holds values up to 1 MB. The margin is for the other
# fields of a message.
TEXT_MAX_BYTES = 1 << 20
MESSAGE_MAX_BYTES = TEXT_MAX_BYTES + (64 << 10)
NAME_MAX_BYTES = 256
HOPS_MAX = 2

_Name = typing.Annotated[str, msgspec.Meta(max_length=NAME_MAX_BYTES)]
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
_Seconds = typing.Annotated[float, msgspec.Meta(ge=0)]
_Text = typing.Annotated[bytes, msgspec.Meta(max_length=TEXT_MAX_BYTES)]


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """Base of all messages. Unknown fields are ignored when decoding."""


class Digest(Message, frozen=True, kw_only=True):
    """State that an entry instance sends to its peers.

    Attributes
    ----------
    instance : str
        Name of the sender.
    incarnation : str
        Incarnation of the sender.
    zone : str
        Availability zone of the sender.
    caller_address, peer_address : str
        IP address and port for callers and for peers.
    leaving : bool
        Whether the sender is shutting down.
    uptime_s : float
        Time since the start of the process, in seconds.
    revision : int
        Revision of the configuration in force; 0 if there is none.
    digest : str
        SHA-256 of its text in hexadecimal; empty if there is none.
    is_current : bool
        Whether the sender may rely on its configuration for new work.
    service_age_s : float
        Time since a successful read of the configuration service that the sender
        knows of, in seconds; infinite if it knows of none.
    facts : bytes
        Server facts, encoded by their owner.
    votes_asked, votes_given : bytes
        Votes of leases, encoded by their owner.
    permits_asked, permits_given : bytes
        Permits for cold servers, encoded by their owner.
    """

    instance: _Name
    incarnation: _Name
    zone: _Name
    caller_address: _Name
    peer_address: _Name
    leaving: bool
    uptime_s: _Seconds = 0.0
    revision: _Count
    digest: _Name
    is_current: bool = False
    service_age_s: _Seconds
    facts: bytes = b""
    votes_asked: bytes = b""
    votes_given: bytes = b""
    permits_asked: bytes = b""
    permits_given: bytes = b""


class ConfigurationRequest(Message, frozen=True, kw_only=True):
    """Revision and digest that the asking instance has; see `Digest`."""

    revision: _Count
    digest: _Name


class ConfigurationText(Message, frozen=True, kw_only=True):
    """A configuration text as published by operators.

    Attributes
    ----------
    revision : int
        Revision given by the configuration service.
    text : bytes
        The TOML text, not validated.
    """

    revision: _Count
    text: _Text


class ConfigurationReply(Message, frozen=True, kw_only=True):
    """The configuration of a peer; None if it has none newer than asked for."""

    configuration: ConfigurationText | None


class ForwardRequest(Message, frozen=True, kw_only=True):
    """A non-idempotent request on its way to the issuer of its key.

    Attributes
    ----------
    key : str
        Idempotency key.
    service : str
        Name of the service.
    body : bytes
        Body of the request, passed on unchanged.
    deadline_s : float
        Time left until the deadline of the caller, in seconds.
    request_key : int or None
        Key in the index that the request touches.
    hops : int
        Number of times that the request was forwarded, this time included.
    """

    key: _Name
    service: _Name
    body: bytes
    deadline_s: _Seconds
    request_key: int | None
    hops: typing.Annotated[int, msgspec.Meta(ge=1, le=HOPS_MAX)]


class ForwardReply(Message, frozen=True, kw_only=True):
    """The answer of the issuer.

    Attributes
    ----------
    kind : str
        Value of an `errors.ErrorKind`; empty if the request was answered.
    status : int
        HTTP status code for the caller.
    body : bytes
        Body for the caller.
    """

    kind: _Name
    status: typing.Annotated[int, msgspec.Meta(ge=100, le=599)]
    body: bytes


def encode(message: Message) -> bytes:
    """Return the MessagePack form of a message."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes, message_type: type[Message]) -> Message:
    """Return the message in `data`.

    Raises
    ------
    msgspec.MsgspecError
        If `data` is not a well-formed message of this type.
    """
    return msgspec.msgpack.decode(data, type=message_type)
