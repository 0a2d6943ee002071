"""Messages between entry instances and their MessagePack encoding."""

import typing

import msgspec

# The configuration service stores values of up to 1 MB; a message has a margin of
# 64 KiB for its other fields.
TEXT_MAX_BYTES = 1 << 20
MESSAGE_MAX_BYTES = TEXT_MAX_BYTES + (64 << 10)
NAME_MAX_BYTES = 256
# Largest number of times that a request is forwarded.
HOPS_MAX = 2

_Name = typing.Annotated[str, msgspec.Meta(max_length=NAME_MAX_BYTES)]
_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]
_Seconds = typing.Annotated[float, msgspec.Meta(ge=0)]
_Text = typing.Annotated[bytes, msgspec.Meta(max_length=TEXT_MAX_BYTES)]


class Message(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of all messages; unknown fields are ignored when decoding."""


class Digest(Message, frozen=True, kw_only=True):
    """State of an entry instance that it sends to its peers.

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
        SHA-256 of the configuration text in hexadecimal; empty if there is none.
    is_current : bool
        Whether the sender may rely on its configuration for new work.
    service_age_s : float
        Time since the last successful read of the configuration service, by any
        instance, that the sender knows of, in seconds; infinite if there is none.
    facts : bytes
        Facts about backend servers; `control` encodes and decodes them.
    votes_asked, votes_given : bytes
        Requested and granted lease votes; `ownership` encodes and decodes them.
    permits_asked, permits_given : bytes
        Requested and granted permits for sends to cold backend servers; `ownership`
        encodes and decodes them.
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
    """Request for a configuration newer than that of the sender.

    `revision` and `digest` are those of the sender; see `Digest`.
    """

    revision: _Count
    digest: _Name


class ConfigurationText(Message, frozen=True, kw_only=True):
    """A configuration text as published by operators.

    Attributes
    ----------
    revision : int
        Revision assigned by the configuration service.
    text : bytes
        The TOML text, not validated.
    """

    revision: _Count
    text: _Text


class ConfigurationReply(Message, frozen=True, kw_only=True):
    """Reply of a peer; `configuration` is None if it has no newer one."""

    configuration: ConfigurationText | None


class ForwardRequest(Message, frozen=True, kw_only=True):
    """A non-idempotent request, forwarded to the instance that issued its key.

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
        Index key that the request affects.
    hops : int
        Number of times that the request was forwarded, including this one.
    """

    key: _Name
    service: _Name
    body: bytes
    deadline_s: _Seconds
    request_key: int | None
    hops: typing.Annotated[int, msgspec.Meta(ge=1, le=HOPS_MAX)]


class ForwardReply(Message, frozen=True, kw_only=True):
    """Reply of the instance that issued the key.

    Attributes
    ----------
    kind : str
        Value of an `errors.ErrorKind`; empty if a backend server answered.
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
