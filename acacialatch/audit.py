"""Audit trail of every change."""

import abc
import collections
import typing

from acacialatch import logs

CHANGES_MAX = 10_000


class Change(typing.NamedTuple):
    """One change of the state of an entry instance.

    Attributes
    ----------
    subject : str
        What changed, such as `"server 127.0.0.1:7001"` or `"configuration"`.
    before, after : str
        The state before and after.
    cause : str
        What led to the change.
    time : float
        Time of the change on the runtime clock, in seconds.
    """

    subject: str
    before: str
    after: str
    cause: str
    time: float


class AuditSink(abc.ABC):
    """Where changes are recorded. Recording never blocks and never raises."""

    @abc.abstractmethod
    def record(self, change: Change) -> None:
        """Record one change."""


class LogAuditSink(AuditSink):
    """Writes changes to the eliot log with the prefix `audit:`."""

    def record(self, change: Change) -> None:
        """Record one change; see `AuditSink`."""
        logs.write(logs.Part.AUDIT, "State changed.", **change._asdict())


class MemoryAuditSink(AuditSink):
    """Keeps the latest changes, for tests.

    Attributes
    ----------
    changes : collections.deque
        The changes, oldest first.

    Parameters
    ----------
    limit : int
        Most changes to keep.
    """

    def __init__(self, limit: int = CHANGES_MAX) -> None:
        self.changes: collections.deque[Change] = collections.deque(maxlen=limit)

    def record(self, change: Change) -> None:
        """Record one change; see `AuditSink`."""
        self.changes.append(change)
