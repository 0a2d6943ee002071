"""Choice of the entry instances that callers are told to use."""

import math
import typing

from acacialatch import members

NAMED_MIN = 2
"""Fewest entry instances named near the caller, so that one may fail."""

NAMED_ELSEWHERE = 1
"""Entry instances named in other availability zones, for the loss of the caller's."""

USE_MAX = 0.3
"""Share of the capacity of the named instances that the known load may take.

The rest is room for bursts until callers ask again.
"""

SEND_CPU_S = 0.0003
"""Processor time of one send with its reply, in seconds of a core; an estimate."""

MEMORY_S = 4.0
"""Time constant in seconds of the smoothed load."""


class LoadMeter:
    """Smoothed load of one entry instance, in processor cores."""

    def __init__(self) -> None:
        self._load = 0.0
        self._sends = 0
        self._noted_at = -math.inf

    def record_sends(self, now: float, total: int) -> float:
        """Take the number of sends since the start; return the load.

        Parameters
        ----------
        now : float
            Time in seconds.
        total : int
            Sends since the start of the process.
        """
        passed_s = now - self._noted_at
        if math.isinf(passed_s):
            self._noted_at, self._sends = now, total
        elif passed_s > 0:
            newest = (total - self._sends) * SEND_CPU_S / passed_s
            weight = 1 - math.exp(-passed_s / MEMORY_S)
            self._load += weight * (newest - self._load)
            self._noted_at, self._sends = now, total
        return self._load


def choose_advertised(
    ready: typing.Sequence[members.Member], zone: str
) -> list[members.Member]:
    """Return the entry instances that callers in an availability zone should use.

    Few instances keep their connections to the backend servers warm, and strong ones
    finish a query over many shards sooner. Callers choose among the named at random,
    so a set can carry what its weakest member can carry, times its size.

    Parameters
    ----------
    ready : sequence of Member
        Entry instances that accept requests.
    zone : str
        Availability zone of the callers.
    """
    by_strength = sorted(ready, key=lambda one: (-one.capacity, one.name))
    near = [one for one in by_strength if one.zone == zone]
    far = [one for one in by_strength if one.zone != zone]
    load = sum(one.load for one in near)
    chosen = near[: _count_enough(near, load)]
    spare = max(NAMED_ELSEWHERE, NAMED_MIN + NAMED_ELSEWHERE - len(chosen))
    return chosen + _take_from_each_zone(far, spare)


def choose_batch_peers(
    ready: typing.Sequence[members.Member], zone: str
) -> list[members.Member]:
    """Return the entry instances of the other zones that take parts of queries.

    Parameters
    ----------
    ready : sequence of Member
        Entry instances that accept requests.
    zone : str
        Availability zone that is left out.
    """
    by_strength = sorted(ready, key=lambda one: (-one.capacity, one.name))
    chosen = []
    for other in sorted({one.zone for one in ready} - {zone}):
        near = [one for one in by_strength if one.zone == other]
        chosen += near[: _count_enough(near, sum(one.load for one in near))]
    return chosen


def _count_enough(by_strength: list[members.Member], load: float) -> int:
    """Return how many of the strongest are needed for a load."""
    best = 0
    best_room = -math.inf
    for count, weakest in enumerate(by_strength, 1):
        room = USE_MAX * count * weakest.capacity
        if count >= NAMED_MIN and room >= load:
            return count
        if room > best_room:
            best, best_room = count, room
    return max(best, min(NAMED_MIN, len(by_strength)))


def _take_from_each_zone(
    by_strength: list[members.Member], count: int
) -> list[members.Member]:
    """Return the strongest instances, each from another zone while there are some."""
    zones: dict[str, int] = {}
    ranked = []
    for one in by_strength:
        rank = zones[one.zone] = zones.get(one.zone, -1) + 1
        ranked.append((-one.capacity, rank, one.name, one))
    return [one for *_, one in sorted(ranked, key=lambda item: item[:3])[:count]]
