"""Decision when a query over many shards is answered."""

import enum
import math
import typing

MARGIN_S = 0.015
"""Time in seconds between an answer and its arrival: connection, network, merge."""

SHARD_MARGIN_S = 0.0002
"""Further margin for each shard, whose reply must be read and merged, in seconds."""

MARGIN_SHARE = 0.04
"""Further margin, as a share of the latency objective."""

PATIENCE = 2.0
"""Multiple of the objective up to which a late answer waits for missing shards."""


class Verdict(enum.Enum):
    """What to do with a query now."""

    WAIT = "wait"
    ANSWER = "answer"
    GIVE_UP = "give_up"


class Progress(typing.NamedTuple):
    """Inputs of the decision.

    Attributes
    ----------
    total, arrived, lost : int
        Shards of the query, with a reply, and without any hope of one.
    coverage_min : float
        Smallest share of shards that makes an answer.
    started, objective_s, deadline : float
        Start, latency objective and the time by which an answer must be given.
    """

    total: int
    arrived: int
    lost: int
    coverage_min: float
    started: float
    objective_s: float
    deadline: float


def count_needed(total: int, coverage_min: float) -> int:
    """Return the fewest shards that make an answer."""
    return max(1, math.ceil(total * coverage_min - 1e-9))


def answer_times(progress: Progress) -> tuple[float, float]:
    """Return when to answer in time, and when to answer if that time is missed."""
    objective_s = progress.objective_s
    margin_s = MARGIN_S + SHARD_MARGIN_S * progress.total + MARGIN_SHARE * objective_s
    in_time = objective_s - margin_s
    return (
        progress.started + max(0.5 * objective_s, in_time),
        progress.started + PATIENCE * objective_s,
    )


def decide(now: float, progress: Progress) -> Verdict:
    """Return whether to answer, wait or give up.

    A page that is whole is answered at once. A page above the floor is answered just
    before the objective. Once the objective is missed, little is gained by speed, so
    the missing shards get more time.
    """
    needed = count_needed(progress.total, progress.coverage_min)
    hoped = progress.total - progress.lost
    if progress.arrived >= needed:
        if progress.arrived >= hoped or now >= progress.deadline:
            return Verdict.ANSWER
        in_time, late = answer_times(progress)
        objective = progress.started + progress.objective_s
        if in_time <= now < objective or now >= late:
            return Verdict.ANSWER
        return Verdict.WAIT
    if hoped < needed or now >= progress.deadline:
        return Verdict.GIVE_UP
    return Verdict.WAIT
