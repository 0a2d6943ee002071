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


def test_field_values_are_validated():
    """Guards against negative, NaN, oversized or mistyped values from a peer.

    An infinite `service_age_s` is valid.
    """
    good = msgspec.structs.asdict(DIGEST)
    nan = float("nan")
    invalid_fields = ("revision", -1), ("service_age_s", nan), ("zone", "z" * 257)
    for field, value in (*invalid_fields, ("service_age_s", -1.0), ("facts", 3)):
        data = msgspec.msgpack.encode({**good, field: value})
        with pytest.raises(msgspec.MsgspecError):
            messages.decode(data, messages.Digest)
    never = msgspec.structs.replace(DIGEST, service_age_s=float("inf"))
    assert messages.decode(messages.encode(never), messages.Digest) == never
