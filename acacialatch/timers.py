"""Timers of one query."""

import enum
import heapq
import itertools
import typing


class TimerKind(enum.Enum):
    """What a timer triggers.

    `ATTEMPT` ends an attempt that has timed out, `HEDGE` sends a hedge and `RETRY`
    sends a part again.
    """

    ATTEMPT = "attempt"
    HEDGE = "hedge"
    RETRY = "retry"


class Timer(typing.NamedTuple):
    """A pending timer.

    Attributes
    ----------
    time : float
        Time in seconds at which the timer is due.
    serial : int
        Order among timers with the same time.
    kind : TimerKind
        What the timer triggers.
    number : int
        Number of the attempt, or of the part for a retry.
    """

    time: float
    serial: int
    kind: TimerKind
    number: int


class TimerQueue:
    """Timers ordered by time.

    Cancelled timers are not searched for; they are dropped once they come first.

    Parameters
    ----------
    is_valid : callable
        Returns whether a timer is still needed.
    """

    def __init__(self, is_valid: typing.Callable[[Timer], bool]) -> None:
        self._is_valid = is_valid
        self._entries: list[Timer] = []
        self._serials = itertools.count()

    def schedule(self, time: float, kind: TimerKind, number: int) -> None:
        """Add a timer that is due at `time`, in seconds."""
        heapq.heappush(self._entries, Timer(time, next(self._serials), kind, number))

    def clear(self) -> None:
        """Remove all timers."""
        self._entries.clear()

    def pop(self, now: float) -> Timer | None:
        """Remove and return the earliest valid timer that is due, or None."""
        earliest = self.peek()
        if earliest is None or earliest.time > now:
            return None
        return heapq.heappop(self._entries)

    def peek(self) -> Timer | None:
        """Return the earliest valid timer, or None."""
        while self._entries and not self._is_valid(self._entries[0]):
            heapq.heappop(self._entries)
        return self._entries[0] if self._entries else None
