"""Audit trail of the state changes of an entry instance."""

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
        State before and after the change.
    cause : str
        Reason of the change.
    time : float
        Time of the change on the runtime clock, in seconds.
    """

    subject: str
    before: str
    after: str
    cause: str
    time: float


class AuditSink(abc.ABC):
    """Destination of the audit trail. Recording never blocks and never raises."""

    @abc.abstractmethod
    def record(self, change: Change) -> None:
        """Record one change."""


class LogAuditSink(AuditSink):
    """Writes changes to the eliot log with the prefix `audit:`."""

    def record(self, change: Change) -> None:
        """Record one change; see `AuditSink`."""
        logs.write(logs.Part.AUDIT, "State changed.", **change._asdict())


class MemoryAuditSink(AuditSink):
    """Stores the latest changes in memory, for tests.

    Attributes
    ----------
    changes : collections.deque
        The stored changes, oldest first.

    Parameters
    ----------
    limit : int
        Largest number of stored changes; older ones are discarded.
    """

    def __init__(self, limit: int = CHANGES_MAX) -> None:
        self.changes: collections.deque[Change] = collections.deque(maxlen=limit)

    def record(self, change: Change) -> None:
        """Record one change; see `AuditSink`."""
        self.changes.append(change)
