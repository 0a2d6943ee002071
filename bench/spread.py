"""Spread of a configuration change over the fleet by digests, in virtual time."""

import heapq
import random
import statistics
import typing

from acacialatch import control, leases, membership
from bench import sizes

FETCH_TRIPS = 3
"""One-way trips until a peer has a change: the digest, the fetch and its answer."""

WARM_ROUNDS = 16
"""Rounds of digests after which the views of a new fleet are steady; 8 s."""

END_S = 20.0
"""Time after which a spread is given up."""

Choose = typing.Callable[[int, float], typing.Iterable[int]]
"""Returns the targets of a daemon at a time."""


class Delays(typing.NamedTuple):
    """Delays on the way of a change, in seconds.

    Attributes
    ----------
    trip_s : float
        Longest one-way latency between two daemons.
    accept_s : float
        Time to parse a text and put it in force.
    """

    trip_s: float
    accept_s: float


class Spread(typing.NamedTuple):
    """Result of one spread.

    `reached` is the number of daemons with the change; the times in seconds are
    those at which half, 99 in 100 and the last of them had it.
    """

    reached: int
    half_s: float
    most_s: float
    last_s: float


def simulate(
    seed: int, first: typing.Sequence[int], delays: Delays, choose: Choose
) -> Spread:
    """Spread one change from the daemons that read it from the service.

    Each daemon sends its digest at the tick after it put the change in force, and
    otherwise every `control.DIGEST_PERIOD_S`. A digest in either direction tells
    the older side, which then fetches the text.

    Parameters
    ----------
    seed : int
        Seed of the ticks.
    first : sequence of int
        Daemons that have the change at time 0.
    delays : Delays
        Delays on the way.
    choose : callable
        Targets of a daemon at a time.
    """
    chance = random.Random(seed)
    has_at: dict[int, float] = {}
    queue: list[tuple[float, int, bool]] = []
    for daemon in range(sizes.DAEMONS):
        at = chance.uniform(0, control.DIGEST_PERIOD_S)
        heapq.heappush(queue, (at, daemon, True))

    def accept(daemon: int, at: float) -> None:
        if daemon not in has_at or at < has_at[daemon]:
            has_at[daemon] = at
            tick = at + chance.uniform(0, control.TICK_S)
            heapq.heappush(queue, (tick, daemon, False))

    for daemon in first:
        accept(daemon, 0.0)
    while queue and queue[0][0] < END_S and not _is_done(has_at, queue[0][0]):
        now, daemon, is_periodic = heapq.heappop(queue)
        if is_periodic:
            next_at = now + control.DIGEST_PERIOD_S * chance.uniform(0.9, 1.1)
            heapq.heappush(queue, (next_at, daemon, True))
        for other in choose(daemon, now):
            known = [has_at.get(one, END_S) <= now for one in (daemon, other)]
            trip_s = chance.uniform(0, delays.trip_s)
            late_s = FETCH_TRIPS * trip_s + delays.accept_s
            if known[0] != known[1]:
                accept(other if known[0] else daemon, now + late_s)
    times = sorted(has_at.values())
    most = times[min(len(times), sizes.DAEMONS * 99 // 100) - 1]
    return Spread(len(times), times[len(times) // 2], most, times[-1])


def _is_done(has_at: dict[int, float], now: float) -> bool:
    return len(has_at) == sizes.DAEMONS and max(has_at.values()) <= now


def choose_uniformly(seed: int) -> Choose:
    """Return a choice of random targets out of the whole fleet."""
    chance = random.Random(seed)

    def choose(daemon: int, now: float) -> list[int]:
        others = chance.sample(range(sizes.DAEMONS - 1), membership.GOSSIP_TARGETS)
        return [other + (other >= daemon) for other in others]

    return choose


class Fleet:
    """The membership views of all daemons, joined by their own choice of targets."""

    def __init__(self) -> None:
        self.members = sizes.make_members(sizes.DAEMONS)
        entries = sizes.list_entries(sizes.DAEMONS)
        self._numbers = {
            entry.peer_address: number for number, entry in enumerate(entries)
        }
        self._rounds = [0] * sizes.DAEMONS
        self.now = sizes.EPOCH_S

    def choose(self, daemon: int, now: float) -> list[int]:
        """Return the targets of one round and let both sides hear each other."""
        at = self.now + now
        self._rounds[daemon] += 1
        own = self.members[daemon]
        peers = own.choose_gossip_targets(at, self._rounds[daemon])
        chosen = [self._numbers[peer.address] for peer in peers]
        for other in chosen:
            self.members[other].record_announcement(at, own.announce(at))
            own.record_announcement(at, self.members[other].announce(at))
        return chosen

    def warm(self) -> None:
        """Run `WARM_ROUNDS` rounds."""
        for _ in range(WARM_ROUNDS):
            for daemon in range(sizes.DAEMONS):
                self.choose(daemon, 0.0)
            self.now += control.DIGEST_PERIOD_S

    def count_live(self) -> float:
        """Return the median number of daemons that a daemon knows as live."""
        return statistics.median(
            len(member.list_incarnations(self.now)) for member in self.members
        )

    def list_watchers(self) -> list[int]:
        """Return the daemons that take themselves for watchers."""
        return [
            number
            for number, member in enumerate(self.members)
            if member.is_watcher(self.now)
        ]

    def count_candidates(self) -> int:
        """Return the daemons that take themselves for the candidate of a group."""
        count = 0
        for number, member in enumerate(self.members):
            live = tuple(sorted(member.list_incarnations(self.now)))
            count += f"{number:032x}" in leases.select_candidates(live)
        return count
