"""Hashes of rows and of the lines of a record."""

import hashlib
import re
import typing

import msgspec

CHECK_DIGITS = 16
"""Hexadecimal digits of the running hash in each line, which locate an edit."""

_CHECK = re.compile(rb',"check":"[0-9a-f]{%d}"}\Z' % CHECK_DIGITS)


class Chain:
    """Running SHA-256 over all lines of a record.

    Each line carries the first digits of the hash up to its own content, so that
    the first edited line can be named. The last line carries the whole hash.
    """

    def __init__(self) -> None:
        self._hash = hashlib.sha256()

    def add(self, content: bytes) -> bytes:
        """Return a JSON object as a line with its check value.

        Parameters
        ----------
        content : bytes
            JSON object with at least one field.
        """
        self._hash.update(content[:-1])
        check = self._hash.hexdigest()[:CHECK_DIGITS].encode()
        ending = b',"check":"' + check + b'"}\n'
        self._hash.update(ending)
        return content[:-1] + ending

    def make_last_line(self) -> bytes:
        """Return the last line, with the hash of all earlier bytes."""
        return b'{"sha256":"' + self._hash.hexdigest().encode() + b'"}\n'


def remove_check(line: bytes) -> bytes | None:
    """Return the JSON object that `Chain.add` was given, or None if it has no check.

    Parameters
    ----------
    line : bytes
        Line without its line feed.
    """
    found = _CHECK.search(line)
    return line[: found.start()] + b"}" if found else None


def digest_rows(rows: typing.Sequence[typing.Any]) -> tuple[int, str]:
    """Return the number of rows and the SHA-256 of their JSON, in hexadecimal.

    Raises
    ------
    ValueError
        If a text in a row is not valid Unicode.
    """
    text = msgspec.json.encode(tuple(rows), enc_hook=repr)
    return len(rows), hashlib.sha256(text).hexdigest()
