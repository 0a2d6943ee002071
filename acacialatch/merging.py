"""Merge of the records that shards return."""

import typing

from acacialatch import deployment


def merge_records(bodies: typing.Iterable[bytes], records_max: int) -> bytes:
    """Return the greatest records of several replies, greatest first.

    Parameters
    ----------
    bodies : iterable of bytes
        Replies; a remainder shorter than a record is no record.
    records_max : int
        Most records to return. Equal records all count.
    """
    size = deployment.RECORD_BYTES
    records = [
        body[start : start + size]
        for body in bodies
        for start in range(0, len(body) - size + 1, size)
    ]
    records.sort(reverse=True)
    return b"".join(records[:records_max])
