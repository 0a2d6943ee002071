"""Choice of the entry instances whose addresses callers and peers are given."""

import math
import typing

from acacialatch import members

ADVERTISED_MIN = 2
"""Fewest entry instances advertised in the zone of the caller, so that one may fail."""

ADVERTISED_ELSEWHERE = 1
"""Entry instances advertised in other zones, for the failure of the caller's zone."""

UTILIZATION_MAX = 0.3
"""Share of the capacity of the advertised instances that the known load may take.

The rest is headroom for bursts until callers look up the addresses again.
"""

SEND_CPU_S = 0.0003
"""Processor time in seconds of one request to a backend server with its reply."""

LOAD_SMOOTHING_S = 4.0
"""Time constant in seconds of the smoothed load."""


class LoadMeter:
    """Smoothed load of one entry instance, in processor cores."""

    def __init__(self) -> None:
        self._load = 0.0
        self._sends = 0
        self._updated_at = -math.inf

    def record_sends(self, now: float, total: int) -> float:
        """Record the requests sent to backend servers; return the load.

        The first call only sets the start of the measurement.

        Parameters
        ----------
        now : float
            Time in seconds.
        total : int
            Requests sent since the start of the process.
        """
        elapsed_s = now - self._updated_at
        if math.isinf(elapsed_s):
            self._updated_at, self._sends = now, total
        elif elapsed_s > 0:
            newest = (total - self._sends) * SEND_CPU_S / elapsed_s
            weight = 1 - math.exp(-elapsed_s / LOAD_SMOOTHING_S)
            self._load += weight * (newest - self._load)
            self._updated_at, self._sends = now, total
        return self._load


def choose_advertised(
    ready: typing.Sequence[members.Member], zone: str
) -> list[members.Member]:
    """Return the entry instances that callers in an availability zone should use.

    As few instances as can carry the load of the zone are chosen, the ones with the
    most capacity first: few instances keep their connections to the backend servers
    warm, and strong ones finish a query over many shards sooner. Some instances of
    other zones are added.

    Parameters
    ----------
    ready : sequence of Member
        Entry instances that accept requests.
    zone : str
        Availability zone of the callers.
    """
    by_capacity = sorted(ready, key=lambda one: (-one.capacity, one.name))
    local = [one for one in by_capacity if one.zone == zone]
    remote = [one for one in by_capacity if one.zone != zone]
    load = sum(one.load for one in local)
    chosen = local[: _count_sufficient(local, load)]
    remote_count = max(
        ADVERTISED_ELSEWHERE, ADVERTISED_MIN + ADVERTISED_ELSEWHERE - len(chosen)
    )
    return chosen + _choose_across_zones(remote, remote_count)


def choose_batch_peers(
    ready: typing.Sequence[members.Member], zone: str
) -> list[members.Member]:
    """Return the entry instances of the other zones to which batches may be sent.

    In each zone as few as can carry its load are chosen.

    Parameters
    ----------
    ready : sequence of Member
        Entry instances that accept requests.
    zone : str
        Availability zone of the sender, which is left out.
    """
    by_capacity = sorted(ready, key=lambda one: (-one.capacity, one.name))
    chosen = []
    for other in sorted({one.zone for one in ready} - {zone}):
        peers = [one for one in by_capacity if one.zone == other]
        chosen += peers[: _count_sufficient(peers, sum(one.load for one in peers))]
    return chosen


def _count_sufficient(by_capacity: list[members.Member], load: float) -> int:
    """Return how many of the instances with the most capacity can carry a load.

    Callers choose among the advertised instances at random. A set can therefore carry
    what its weakest instance can carry, times its size. If no set can carry the load,
    the one that can carry the most is used.

    Parameters
    ----------
    by_capacity : list of Member
        Instances of one zone, by decreasing capacity.
    load : float
        Load in processor cores.
    """
    best = 0
    best_capacity = -math.inf
    for count, weakest in enumerate(by_capacity, 1):
        usable_capacity = UTILIZATION_MAX * count * weakest.capacity
        if count >= ADVERTISED_MIN and usable_capacity >= load:
            return count
        if usable_capacity > best_capacity:
            best, best_capacity = count, usable_capacity
    return max(best, min(ADVERTISED_MIN, len(by_capacity)))


def _choose_across_zones(
    by_capacity: list[members.Member], count: int
) -> list[members.Member]:
    """Return the instances with the most capacity, from different zones if possible.

    Capacity has precedence: a second instance of one zone is preferred to the first of
    another zone only if it has more capacity.
    """
    ranks: dict[str, int] = {}
    ranked = []
    for one in by_capacity:
        rank = ranks[one.zone] = ranks.get(one.zone, -1) + 1
        ranked.append((-one.capacity, rank, one.name, one))
    return [one for *_, one in sorted(ranked, key=lambda item: item[:3])[:count]]
