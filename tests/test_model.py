"""Tests of addresses in the shared types."""

import pytest

from acacialatch import model


@pytest.mark.parametrize("address", ["127.0.0.1:7001", "[::1]:7001"])
def test_address_is_split_and_joined(address):
    """Guards against splitting an IPv6 address at the wrong colon."""
    host, port = model.split_address(address)
    assert (host in ("127.0.0.1", "::1"), port) == (True, 7001)
    assert model.join_address(host, port) == address
