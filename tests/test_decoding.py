"""Tests for acacialatch.decoding."""

import msgspec
import pytest
import result

from acacialatch import decoding


class _UndocumentedError(Exception):
    """An exception that no documentation names."""


def _raise(error):
    raise error


@pytest.mark.parametrize(
    "error",
    [_UndocumentedError("x"), RecursionError("deep"), OverflowError(), MemoryError()],
)
def test_any_exception_of_a_decoder_refuses_the_input(error):
    """Guards against an input whose exception nobody thought of and which escapes."""
    refused = decoding.decode(_raise, error)
    assert isinstance(refused, result.Err)
    assert refused.err_value.startswith(type(error).__name__)


def test_decoded_value_and_options_are_passed_on():
    """Guards against a decoder that is called without its options."""
    assert decoding.decode(msgspec.json.decode, b"[1]", type=list[int]).ok_value == [1]
    assert isinstance(decoding.decode(msgspec.json.decode, b"1", type=list), result.Err)


def test_description_is_bounded_and_can_be_logged():
    """Guards against a log line that a huge or undecodable input makes unusable."""
    text = decoding.describe(ValueError("\ud800\n" * 1_000_000))
    assert len(text) <= decoding.DETAIL_LENGTH_MAX
    assert text.isascii()
    assert text.isprintable()
