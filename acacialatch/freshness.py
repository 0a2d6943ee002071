"""How soon changes of the platform's store are read, and whether one is missing."""

import math
import typing

import result

BOUND_MIN_S = 0.5
"""Shortest time in seconds within which changes can be in force.

The timeout of a call, a share of it, must leave a store that answers in a few
milliseconds time on a slow link.
"""

CALL_TIMEOUT_SHARE = 0.16
"""Timeout of a call to the store, beyond the wait that the call asks for."""

RETRY_FIRST_SHARE = 0.02
RETRY_MAX_SHARE = 0.2
"""First and longest delay before a failed read is repeated; it doubles each time."""

REFUSED_READS = 1
"""Reads in a row that the store may refuse at once, for the rate of all reads."""

WHOLE_READ_SHARE = 0.1
"""Time for a read of everything, page by page, or of the rest of a long series."""

LATENESS_SHARE = 0.05
"""Time by which the event loop of a busy instance may be late."""

PAUSE_SHARE = 0.15
IDLE_PAUSE_SHARE = 0.45
"""Pause after a change, so that a series takes few reads, and the same while idle."""


REPORT_LIFETIME_S = 3.0
"""Time in seconds for which the report of another entry instance counts.

It is a few periods of the digests that carry the reports.
"""

POSITION_MAX = 1 << 62
"""Largest number of a position, since digests hold 64 bits."""


class Position(typing.NamedTuple):
    """How far an entry instance has read the store.

    Attributes
    ----------
    version : int
        Version of its deployment; 0 before the first.
    era, revision : int
        Era of the store, 0 if it tells none, and revision.
    """

    version: int
    era: int
    revision: int


class ReadSchedule(typing.NamedTuple):
    """Times of the reads of the store, in seconds; see `plan_reads`.

    Attributes
    ----------
    bound_s : float
        Time within which a change is in force.
    silence_s : float
        Longest time from an answer to the end of the next wait: a pause and a watch.
    call_timeout_s : float
        Time limit of a call, beyond the wait that it asks for.
    retry_first_s, retry_max_s : float
        First and longest delay before a failed read is repeated.
    pause_s, idle_pause_s : float
        Pause after a change, and the same for an instance that is idle.
    """

    bound_s: float
    silence_s: float
    call_timeout_s: float
    retry_first_s: float
    retry_max_s: float
    pause_s: float
    idle_pause_s: float


def plan_reads(bound_s: float) -> result.Result[ReadSchedule, str]:
    """Divide the time within which a change is in force among the parts of a read.

    The longest case is a watch that the store loses silently: its wait, its timeout,
    and a read of everything that is first refused `REFUSED_READS` times. What these
    leave of the bound is the longest silence.

    Parameters
    ----------
    bound_s : float
        Time from the acknowledgement of a change to the moment at which it must be in
        force, in seconds.

    Returns
    -------
    Result
        The schedule, or why there is none for this bound.
    """
    if not bound_s >= BOUND_MIN_S:
        return result.Err(
            f"changes cannot be in force within {bound_s} s; allowed: at least"
            f" {BOUND_MIN_S} s"
        )
    retries_share = RETRY_FIRST_SHARE * (2 ** (1 + REFUSED_READS) - 1)
    rest_share = CALL_TIMEOUT_SHARE + retries_share + WHOLE_READ_SHARE + LATENESS_SHARE
    return result.Ok(
        ReadSchedule(
            bound_s,
            (1 - rest_share) * bound_s,
            CALL_TIMEOUT_SHARE * bound_s,
            RETRY_FIRST_SHARE * bound_s,
            RETRY_MAX_SHARE * bound_s,
            PAUSE_SHARE * bound_s,
            IDLE_PAUSE_SHARE * bound_s,
        )
    )


class Evidence:
    """What shows that the deployment in force is, or is not, the newest one.

    Parameters
    ----------
    schedule : ReadSchedule or None
        Times of the reads; None if nothing is read.
    """

    def __init__(self, schedule: ReadSchedule | None = None):
        self._bound_s = schedule.bound_s if schedule else math.inf
        self._retry_s = schedule.call_timeout_s if schedule else math.inf
        self._patience_s = schedule.idle_pause_s if schedule else math.inf
        self._answered_at = -math.inf
        self._has_rest = False
        self._newest_version = 0
        self._newest_since = -math.inf
        self._newest_until = -math.inf
        # Newest version that others reported and that the store did not have.
        self._absent_version = 0
        # Era and revision that others have reached, and the time of the report.
        self._awaited: tuple[int, int] | None = None
        self._awaited_since = math.inf
        self._hastened_at = -math.inf

    def record_answer(self, now: float, started_at: float, may_continue: bool) -> None:
        """Record an answer of the store that has been applied.

        Parameters
        ----------
        now, started_at : float
            Time now and time at which the read began, in seconds.
        may_continue : bool
            Whether the store may have cut the answer.
        """
        self._answered_at = now
        self._has_rest = may_continue
        if not may_continue and started_at >= self._newest_since:
            self._absent_version = self._newest_version

    def record_reports(
        self, now: float, own: Position, reports: typing.Iterable[Position]
    ) -> bool:
        """Record how far other entry instances are; return whether to read at once.

        A newer deployment is read at once, unless the store turned out not to have it.
        Other changes are read at once if the next read has not brought them by itself
        after the longest pause.

        Parameters
        ----------
        now : float
            Time in seconds.
        own : Position
            How far this instance has read.
        reports : iterable of Position
            The same of others.
        """
        newest = Position(0, 0, 0)
        furthest = (0, 0)
        for report in reports:
            newest = max(newest, report)
            furthest = max(furthest, (report.era, report.revision))
        if newest.version > own.version:
            if newest.version != self._newest_version:
                self._newest_version, self._newest_since = newest.version, now
            self._newest_until = now + REPORT_LIFETIME_S
        if self._awaited is not None and (own.era, own.revision) >= self._awaited:
            self._awaited = None
        if self._awaited is None and furthest > (own.era, own.revision):
            self._awaited, self._awaited_since = furthest, now
        is_late = self._awaited is not None and (
            now - self._awaited_since >= self._patience_s
        )
        is_older = newest.version > max(own.version, self._absent_version)
        if not (is_older or is_late) or now - self._hastened_at < self._retry_s:
            return False
        self._hastened_at = now
        if is_late:
            self._awaited = None
        return True

    def is_behind(self, now: float, version: int) -> bool:
        """Return whether there may be a deployment newer than `version`.

        That is so if another entry instance has one, if an answer of the store was
        cut, or if the store has not answered within the bound.
        """
        is_known = now < self._newest_until and self._newest_version > version
        return is_known or self._has_rest or now - self._answered_at > self._bound_s
