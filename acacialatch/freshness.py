"""How soon changes of the platform's store are read, and whether one is missing."""

import math
import typing

import msgspec
import result

BOUND_MIN_S = 0.5
"""Shortest time in seconds within which changes can be in force.

The timeout of a call, a share of it, must leave a store that answers in a few
milliseconds time on a slow link.
"""

CALL_TIMEOUT_SHARE = 0.16
"""Timeout of a call to the store, beyond the wait that the call asks for.

This and what follows are shares of the time within which a change is in force.
"""

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


Age = typing.Annotated[float, msgspec.Meta(ge=0)]


class Report(typing.NamedTuple):
    """What an entry instance tells others of its reads of the store.

    Attributes
    ----------
    position : Position
        How far it has read.
    answered_s : float
        Time since the last answer of the store, in seconds.
    reachable_s : float
        Time since the first answer after the last failed read, in seconds.
    """

    position: Position
    answered_s: Age
    reachable_s: Age

    def add_age(self, age_s: float) -> "Report":
        """Return the report as of `age_s` seconds later."""
        return self._replace(
            answered_s=self.answered_s + age_s, reachable_s=self.reachable_s + age_s
        )


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
    lapse_s : float
        Shortest outage of the store in which registrations of live servers can lapse,
        in seconds.

    Attributes
    ----------
    outage_ended_at : float
        Time at which the last such outage ended, in seconds. An outage is a time for
        which no entry instance is known to have had answers of the store.
    """

    def __init__(self, schedule: ReadSchedule | None = None, lapse_s: float = math.inf):
        self._lapse_s = lapse_s
        self.outage_ended_at = -math.inf
        # End of the time for which the store is known to have answered.
        self._known_until: float | None = None
        self._reachable_since = -math.inf
        self._is_failing = True
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

    def record_failure(self) -> None:
        """Record a read that failed."""
        self._is_failing = True

    def record_contact(self, now: float, started_at: float) -> None:
        """Record that the store has answered a read that began at `started_at`."""
        if self._is_failing:
            self._is_failing = False
            self._reachable_since = started_at
        self._extend_known_time(self._reachable_since, now)

    def _extend_known_time(self, since: float, until: float) -> None:
        """Add a time for which the store has answered; notice an outage before it."""
        if self._known_until is None:
            self._known_until = until
        if until <= self._known_until:
            return
        if since - self._known_until >= self._lapse_s:
            self.outage_ended_at = since
        self._known_until = until

    def make_report(self, now: float, position: Position) -> Report:
        """Return what others are told of the reads of this instance."""
        since = self._reachable_since
        return Report(position, now - self._answered_at, now - since)

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
        self, now: float, own: Position, reports: typing.Iterable[Report]
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
        reports : iterable of Report
            What others have told, as of now.
        """
        newest = Position(0, 0, 0)
        furthest = (0, 0)
        for report in sorted(reports, key=lambda one: -one.reachable_s):
            position = report.position
            newest = max(newest, position)
            furthest = max(furthest, (position.era, position.revision))
            self._extend_known_time(now - report.reachable_s, now - report.answered_s)
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
