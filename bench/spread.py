"""Simulates how digests spread a configuration change over the fleet."""

import heapq
import random
import statistics
import typing

from acacialatch import control, leases, membership
from bench import sizes

FETCH_ONE_WAY_TRIPS = 3
"""One-way trips for a peer to get a change: digest, fetch request and its answer."""

WARM_UP_ROUNDS = 16
"""Digest rounds, in all 8 s, after which the memberships of a new fleet are steady."""

TIME_LIMIT_S = 20.0
"""Time after which a simulation ends even if the change is not everywhere."""

TargetChooser = typing.Callable[[int, float], typing.Iterable[int]]
"""Returns the entry instances to which one sends its digest at a time."""


class Delays(typing.NamedTuple):
    """Delays in the propagation of a change, in seconds.

    Attributes
    ----------
    latency_s : float
        Longest one-way latency between two entry instances.
    apply_s : float
        Time to parse a text and apply it.
    """

    latency_s: float
    apply_s: float


class Spread(typing.NamedTuple):
    """Result of one simulation.

    `reached` is the number of entry instances that applied the change. The times in
    seconds are those at which half, 99% and the last of them had applied it.
    """

    reached: int
    half_s: float
    p99_s: float
    last_s: float


def simulate(
    seed: int,
    initial_instances: typing.Sequence[int],
    delays: Delays,
    choose_targets: TargetChooser,
) -> Spread:
    """Spread one change from the entry instances that read it from the service.

    Each entry instance sends its digest at the tick after it applied the change, and
    otherwise every `control.DIGEST_PERIOD_S`. From a digest or its answer, the side
    with the older revision learns of the change and then fetches the text.

    Parameters
    ----------
    seed : int
        Seed of the ticks.
    initial_instances : sequence of int
        Entry instances that have the change at time 0.
    delays : Delays
        Delays in the propagation.
    choose_targets : callable
        Returns the targets of an entry instance at a time.
    """
    rng = random.Random(seed)
    applied_at: dict[int, float] = {}
    sends: list[tuple[float, int, bool]] = []
    for instance in range(sizes.ENTRY_INSTANCES):
        at = rng.uniform(0, control.DIGEST_PERIOD_S)
        heapq.heappush(sends, (at, instance, True))

    def apply_change(instance: int, at: float) -> None:
        if instance not in applied_at or at < applied_at[instance]:
            applied_at[instance] = at
            tick = at + rng.uniform(0, control.TICK_S)
            heapq.heappush(sends, (tick, instance, False))

    for instance in initial_instances:
        apply_change(instance, 0.0)
    while (
        sends
        and sends[0][0] < TIME_LIMIT_S
        and not _is_applied_everywhere(applied_at, sends[0][0])
    ):
        now, instance, is_periodic = heapq.heappop(sends)
        if is_periodic:
            next_at = now + control.DIGEST_PERIOD_S * rng.uniform(0.9, 1.1)
            heapq.heappush(sends, (next_at, instance, True))
        for other in choose_targets(instance, now):
            have_change = [
                applied_at.get(one, TIME_LIMIT_S) <= now for one in (instance, other)
            ]
            latency_s = rng.uniform(0, delays.latency_s)
            delay_s = FETCH_ONE_WAY_TRIPS * latency_s + delays.apply_s
            if have_change[0] != have_change[1]:
                apply_change(other if have_change[0] else instance, now + delay_s)
    times = sorted(applied_at.values())
    p99_at = times[min(len(times), sizes.ENTRY_INSTANCES * 99 // 100) - 1]
    return Spread(len(times), times[len(times) // 2], p99_at, times[-1])


def _is_applied_everywhere(applied_at: dict[int, float], now: float) -> bool:
    return len(applied_at) == sizes.ENTRY_INSTANCES and max(applied_at.values()) <= now


def make_uniform_chooser(seed: int) -> TargetChooser:
    """Return a function that chooses random targets out of the whole fleet."""
    rng = random.Random(seed)

    def choose(instance: int, now: float) -> list[int]:
        others = rng.sample(range(sizes.ENTRY_INSTANCES - 1), membership.GOSSIP_TARGETS)
        return [other + (other >= instance) for other in others]

    return choose


class Fleet:
    """Memberships of all entry instances, which choose their own gossip targets."""

    def __init__(self) -> None:
        self.members = sizes.make_memberships(sizes.ENTRY_INSTANCES)
        entries = sizes.make_listed_instances(sizes.ENTRY_INSTANCES)
        self._number_by_address = {
            entry.peer_address: number for number, entry in enumerate(entries)
        }
        self._round_numbers = [0] * sizes.ENTRY_INSTANCES
        self.now = sizes.START_TIME_S

    def choose_targets(self, instance: int, now: float) -> list[int]:
        """Return the targets of one round, after announcements in both directions."""
        at = self.now + now
        self._round_numbers[instance] += 1
        member = self.members[instance]
        peers = member.choose_gossip_targets(at, self._round_numbers[instance])
        targets = [self._number_by_address[peer.address] for peer in peers]
        for other in targets:
            self.members[other].record_announcement(at, member.announce(at))
            member.record_announcement(at, self.members[other].announce(at))
        return targets

    def warm_up(self) -> None:
        """Run `WARM_UP_ROUNDS` rounds."""
        for _ in range(WARM_UP_ROUNDS):
            for instance in range(sizes.ENTRY_INSTANCES):
                self.choose_targets(instance, 0.0)
            self.now += control.DIGEST_PERIOD_S

    def count_live(self) -> float:
        """Return how many entry instances one knows as live, as a median."""
        return statistics.median(
            len(member.list_incarnations(self.now)) for member in self.members
        )

    def list_watchers(self) -> list[int]:
        """Return the entry instances that consider themselves watchers."""
        return [
            number
            for number, member in enumerate(self.members)
            if member.is_watcher(self.now)
        ]

    def count_candidates(self) -> int:
        """Return how many entry instances consider themselves lease candidates."""
        count = 0
        for number, member in enumerate(self.members):
            live = tuple(sorted(member.list_incarnations(self.now)))
            count += f"{number:032x}" in leases.select_candidates(live)
        return count
