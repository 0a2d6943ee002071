"""Decision which of several usable backend servers gets a request."""

import math
import typing

OBSERVATION_WEIGHT = 0.3
"""Weight of the newest observation in the averages of slowness and error rate."""

OBSERVATION_DECAY_S = 3.0
"""Time constant in seconds with which slowness and error rate decay."""

SLOWNESS_MIN = 0.25
SLOWNESS_MAX = 8.0
"""Bounds of the slowness recorded for one reply."""

ERROR_FACTOR = 12.0
"""Added to the score of a server whose error rate is 1, as a multiple of the score.

A server that fails a quarter of its requests loses them to one in another zone: each
failure takes time and a part of the resend budget.
"""

OTHER_ZONE_PENALTY = 3.0
"""Added to the score of a server in another availability zone.

An idle server of the local zone keeps its requests until it is four times as slow as
one elsewhere: traffic between zones is dear, and a crossing adds to the latency.
"""

OTHER_ZONE_SCORE_MIN = OTHER_ZONE_PENALTY + SLOWNESS_MIN
"""Lowest possible score of a server in another availability zone."""

STALL_PENALTY = 6.0
"""Added to the score while a request is open for longer than expected.

It exceeds `OTHER_ZONE_PENALTY`, so that a paused server loses its requests to one in
another zone.
"""


class Reputation(typing.NamedTuple):
    """Averages of what a server has shown; they decay towards a normal server.

    Attributes
    ----------
    slowness : float
        Average of the latencies relative to the median of their routes.
    error_rate : float
        Average of the failures, from 0 to 1.
    observed_at : float
        Time of the last observation in seconds.
    """

    slowness: float = 1.0
    error_rate: float = 0.0
    observed_at: float = -math.inf

    def decay(self, now: float) -> "Reputation":
        """Return the averages as of `now`."""
        factor = math.exp((self.observed_at - now) / OBSERVATION_DECAY_S)
        slowness = 1 + (self.slowness - 1) * factor
        return Reputation(slowness, self.error_rate * factor, self.observed_at)

    def add_success(self, now: float, ratio: float, started: float) -> "Reputation":
        """Return the averages after a reply.

        A slow reply to a request that was open at the last observation is ignored: the
        requests that one pause of the server held up end together, and would count as
        many slow replies of a server that is fast again.

        Parameters
        ----------
        now : float
            Time in seconds.
        ratio : float
            Latency relative to the median of the route.
        started : float
            Start of the request in seconds.
        """
        if ratio > 1.0 and started <= self.observed_at:
            return self
        ratio = min(SLOWNESS_MAX, max(SLOWNESS_MIN, ratio))
        return self._add(now, ratio, 0.0)

    def add_error(self, now: float) -> "Reputation":
        """Return the averages after a request that failed."""
        return self._add(now, self.slowness, 1.0)

    def _add(self, now: float, slowness: float, error: float) -> "Reputation":
        decayed = self.decay(now)
        return Reputation(
            decayed.slowness + OBSERVATION_WEIGHT * (slowness - decayed.slowness),
            decayed.error_rate + OBSERVATION_WEIGHT * (error - decayed.error_rate),
            now,
        )


NEW = Reputation()
"""Reputation of a server of which nothing is known."""


class Standing(typing.NamedTuple):
    """Inputs of the score of one server.

    Attributes
    ----------
    slowness, error_rate : float
        Averages as of now; see `Reputation`.
    in_flight, slots : int
        Open requests of this process, and requests that the server processes at once.
    is_stalled : bool
        Whether any open request takes longer than expected.
    is_local : bool
        Whether the server is in the availability zone of this process.
    """

    slowness: float
    error_rate: float
    in_flight: int
    slots: int
    is_stalled: bool
    is_local: bool


def compute_score(standing: Standing) -> float:
    """Return the expected cost of one more request; lower is better.

    Answers two loads: replicas that pause or turn slow for some seconds, which lose
    their requests while it lasts, and queries over many shards whose replicas stand in
    several availability zones, which are asked where they are near.
    """
    score = standing.slowness * (1 + standing.in_flight / max(1, standing.slots))
    score *= 1 + ERROR_FACTOR * standing.error_rate
    if standing.is_stalled:
        score += STALL_PENALTY
    if not standing.is_local:
        score += OTHER_ZONE_PENALTY
    return score
