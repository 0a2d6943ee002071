"""Decision when a second server is asked for an answer that is late."""

import typing

MEDIAN_FACTOR = 2.5
"""Delay of a hedge for a shard, as a multiple of the median latency of the route.

Most replies within it come from replicas that are slower than others but not paused;
hedging those would only add load and traffic between zones.
"""

DELAY_MAX_SHARE = 0.4
"""Largest delay of a hedge for a shard, as a share of the latency objective."""

SINGLE_MEDIAN_FACTOR = 1.8
"""Delay of a hedge for a request to one service, as a multiple of the median."""

SINGLE_DELAY_MAX_SHARE = 0.5
"""Largest delay of a hedge for a request to one service, as a share of the objective.

Such a request may be slow by nature, so that it is hedged later than a shard.
"""


class Pace(typing.NamedTuple):
    """What is known of the latencies of a route.

    Attributes
    ----------
    objective_s : float
        Latency objective in seconds.
    median_s : float or None
        Median latency of its recent requests to servers in seconds; None if too few.
    is_sharded : bool
        Whether its queries are answered by many shards.
    """

    objective_s: float
    median_s: float | None
    is_sharded: bool


def compute_delay(pace: Pace) -> float:
    """Return the time in seconds after which an attempt is late and is hedged.

    Answers replicas that pause for longer than an objective: at 20 to 90 shards most
    queries meet one. Without latencies the delay is its largest value.
    """
    if pace.is_sharded:
        factor, share = MEDIAN_FACTOR, DELAY_MAX_SHARE
    else:
        factor, share = SINGLE_MEDIAN_FACTOR, SINGLE_DELAY_MAX_SHARE
    delay_max_s = share * pace.objective_s
    if pace.median_s is None:
        return delay_max_s
    return min(delay_max_s, factor * pace.median_s)
