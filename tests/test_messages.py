"""Tests for acacialatch.messages."""

import msgspec
import pytest

from acacialatch import messages

DIGEST = messages.Digest(
    instance="a",
    incarnation="aa",
    zone="Nadi",
    caller_address="127.0.0.1:1",
    peer_address="127.0.0.1:2",
    leaving=False,
    revision=7,
    digest="bb",
    service_age_s=0.5,
)


def test_messages_are_checked():
    """Guards against negative, unordered or oversized values taken from a peer."""
    good = msgspec.structs.asdict(DIGEST)
    nan = float("nan")
    wrong = ("revision", -1), ("service_age_s", nan), ("zone", "z" * 257)
    for field, value in (*wrong, ("service_age_s", -1.0), ("facts", 3)):
        data = msgspec.msgpack.encode({**good, field: value})
        with pytest.raises(msgspec.MsgspecError):
            messages.decode(data, messages.Digest)
    never = msgspec.structs.replace(DIGEST, service_age_s=float("inf"))
    assert messages.decode(messages.encode(never), messages.Digest) == never
