"""How soon changes of the platform's store are read."""

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
