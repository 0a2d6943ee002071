"""Tests for acacialatch.errors."""

from acacialatch import errors


def test_every_kind_has_an_answer():
    """Guards against an error kind that is added without an answer."""
    assert set(errors.ANSWERS) == set(errors.ErrorKind)


def test_statuses_are_errors():
    """Guards against an error that a caller takes for a success."""
    assert all(400 <= answer.status < 600 for answer in errors.ANSWERS.values())
