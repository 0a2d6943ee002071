"""Tests for acacialatch.model."""

import pytest

from acacialatch import model


@pytest.mark.parametrize("address", ["127.0.0.1:7001", "[::1]:7001"])
def test_address_is_split_and_joined(address):
    """Guards against an IPv6 address that is cut at the wrong colon."""
    host, port = model.split_address(address)
    assert (host in ("127.0.0.1", "::1"), port) == (True, 7001)
    assert model.join_address(host, port) == address
