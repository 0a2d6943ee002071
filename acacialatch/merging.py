"""Merging of the records that shards return."""

import typing

from acacialatch import deployment


def merge_records(bodies: typing.Iterable[bytes], records_max: int) -> bytes:
    """Return the greatest records of several replies, greatest first.

    Parameters
    ----------
    bodies : iterable of bytes
        Replies; a remainder that is shorter than a record is ignored.
    records_max : int
        Most records to return; equal records are not merged into one.
    """
    size = deployment.RECORD_BYTES
    records = [
        body[start : start + size]
        for body in bodies
        for start in range(0, len(body) - size + 1, size)
    ]
    records.sort(reverse=True)
    return b"".join(records[:records_max])
