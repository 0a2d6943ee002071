"""Pending times of one query."""

import enum
import heapq
import itertools
import typing


class TimerKind(enum.Enum):
    """What happens at a time."""

    ATTEMPT = "attempt"
    HEDGE = "hedge"
    RETRY = "retry"


class Timer(typing.NamedTuple):
    """A pending time.

    Attributes
    ----------
    time : float
        Time, in seconds.
    serial : int
        Order among entries with the same time.
    kind : TimerKind
        What happens.
    number : int
        Number of the attempt, or of the part for a retry.
    """

    time: float
    serial: int
    kind: TimerKind
    number: int


class TimerQueue:
    """Entries ordered by time; outdated ones are dropped when they come first.

    Parameters
    ----------
    is_valid : callable
        Tells whether an entry is still wanted.
    """

    def __init__(self, is_valid: typing.Callable[[Timer], bool]) -> None:
        self._is_valid = is_valid
        self._entries: list[Timer] = []
        self._serials = itertools.count()

    def schedule(self, time: float, kind: TimerKind, number: int) -> None:
        """Add an entry for a time in seconds."""
        heapq.heappush(self._entries, Timer(time, next(self._serials), kind, number))

    def clear(self) -> None:
        """Drop all entries."""
        self._entries.clear()

    def pop(self, now: float) -> Timer | None:
        """Remove and return the earliest valid entry that is due, or None."""
        earliest = self.peek()
        if earliest is None or earliest.time > now:
            return None
        return heapq.heappop(self._entries)

    def peek(self) -> Timer | None:
        """Return the earliest valid entry, or None."""
        while self._entries and not self._is_valid(self._entries[0]):
            heapq.heappop(self._entries)
        return self._entries[0] if self._entries else None
