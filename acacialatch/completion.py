"""Decision when to answer a query over many shards, and with which coverage."""

import enum
import math
import typing

ANSWER_MARGIN_S = 0.015
"""Time in seconds for the merge, and for the answer's connection and network delay."""

ANSWER_MARGIN_PER_SHARD_S = 0.0002
"""Further margin in seconds for each shard, whose reply must be read and merged."""

ANSWER_MARGIN_SHARE = 0.04
"""Further margin, as a share of the latency objective."""

LATE_ANSWER_FACTOR = 2.0
"""Multiple of the latency objective up to which a late answer waits for shards."""


class Decision(enum.Enum):
    """Next step of a query."""

    WAIT = "wait"
    ANSWER = "answer"
    GIVE_UP = "give_up"


class Progress(typing.NamedTuple):
    """State of a query that the decision depends on.

    Attributes
    ----------
    total, arrived, failed : int
        Numbers of shards: of the query, with a reply, and without any further attempt.
    coverage_min : float
        Smallest share of shards that an answer must cover, from 0 to 1.
    started, objective_s, deadline : float
        Start, latency objective and the time by which the query ends, in seconds.
    """

    total: int
    arrived: int
    failed: int
    coverage_min: float
    started: float
    objective_s: float
    deadline: float


def count_needed(total: int, coverage_min: float) -> int:
    """Return the fewest shards that an answer must cover, at least 1.

    Parameters
    ----------
    total : int
        Shards of the query.
    coverage_min : float
        Smallest share of shards that an answer must cover, from 0 to 1.
    """
    # The subtrahend keeps rounding errors of the product from adding a shard.
    return max(1, math.ceil(total * coverage_min - 1e-9))


def compute_answer_times(progress: Progress) -> tuple[float, float]:
    """Return the times for a partial answer within the objective and for a late one.

    A partial answer leaves at the first time, a margin before the objective, but not
    before half of it. If coverage was too small then, it leaves at the second time.
    """
    objective_s = progress.objective_s
    margin_s = (
        ANSWER_MARGIN_S
        + ANSWER_MARGIN_PER_SHARD_S * progress.total
        + ANSWER_MARGIN_SHARE * objective_s
    )
    delay_s = objective_s - margin_s
    return (
        progress.started + max(0.5 * objective_s, delay_s),
        progress.started + LATE_ANSWER_FACTOR * objective_s,
    )


def decide(now: float, progress: Progress) -> Decision:
    """Return whether to answer, wait or give up.

    A query with sufficient coverage is answered at once if no shard is outstanding,
    otherwise just before the latency objective. Once the objective is missed, a faster
    answer gains little, so the outstanding shards get more time. A query that cannot
    reach the coverage any more, or has not reached it by its deadline, is given up.
    """
    needed = count_needed(progress.total, progress.coverage_min)
    reachable = progress.total - progress.failed
    if progress.arrived >= needed:
        if progress.arrived >= reachable or now >= progress.deadline:
            return Decision.ANSWER
        partial_at, late_at = compute_answer_times(progress)
        objective_at = progress.started + progress.objective_s
        if partial_at <= now < objective_at or now >= late_at:
            return Decision.ANSWER
        return Decision.WAIT
    if reachable < needed or now >= progress.deadline:
        return Decision.GIVE_UP
    return Decision.WAIT
