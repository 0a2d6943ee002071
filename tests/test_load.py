"""Plays a load on the forwarder in simulated time and checks what callers get."""

import heapq
import itertools
import random
import typing

import pytest

from acacialatch import backends, deployment, forwarder, forwarding, sending

SHARDS = tuple(f"shard-{index}" for index in range(20))
LOCAL_ZONE = "ba"
ZONES = (LOCAL_ZONE, "nadi")
OBJECTIVE_S = 0.25
PAUSE_S, PAUSE_PERIOD_S = 0.25, 6.0
PAUSED_SHARE = PAUSE_S / PAUSE_PERIOD_S
WORK_S, WORK_SIGMA = 0.042, 0.35
QUERIES_PER_S, DURATION_S = 20.0, 24.0
ROUTE = deployment.Route(
    "page",
    "search.example",
    "/page/",
    deployment.RequestKind.IDEMPOTENT,
    1.2,
    OBJECTIVE_S,
    1,
    2,
    deployment.ShardTarget(SHARDS, 50, 0.89),
)


class Replica(typing.NamedTuple):
    """Backend server that pauses at its own times.

    `speed` divides its work, `phase_s` is the start of a pause.
    """

    zone: str
    speed: float
    phase_s: float

    def compute_end(self, started, work_s):
        """Return when work ends that a pause holds up."""
        left_s = work_s / self.speed
        since_pause_s = (started - self.phase_s) % PAUSE_PERIOD_S
        # The time up to the end of a pause in progress does not count as work.
        begin = started + max(0.0, PAUSE_S - since_pause_s)
        until_pause_s = PAUSE_PERIOD_S - max(PAUSE_S, since_pause_s)
        return begin + left_s + (PAUSE_S if left_s > until_pause_s else 0.0)


class Load(typing.NamedTuple):
    """Result of a load.

    `credit` is the mean over all queries of the square of the coverage, or 0 after the
    objective. `crossing` is the share of sends to another availability zone.
    """

    credit: float
    crossing: float
    sends_per_shard: float


def play_load(seed):
    """Play queries whose shards each have one replica in each of two zones."""
    source = random.Random(seed)
    core = forwarder.Forwarder(LOCAL_ZONE, sending.Budgets(0.2, 50.0, 10.0), seed)
    services = {name: deployment.Service(name, 30, 0.0) for name in SHARDS}
    limits = deployment.CallerLimits()
    core.apply_deployment(deployment.Deployment(1, (ROUTE,), services, limits))
    replicas = {}
    for service, zone in itertools.product(SHARDS, ZONES):
        identity = f"{service}-{zone}"
        entry = backends.Entry(identity, service, "127.0.0.1:1", zone, 3, False, 0.0)
        core.backends.put(0.0, entry)
        speed = source.choice((0.8, 1.0, 1.3))
        replicas[identity] = Replica(zone, speed, source.random() * PAUSE_PERIOD_S)
    arrivals = []
    at = 0.0
    while (at := at + source.expovariate(QUERIES_PER_S)) < DURATION_S:
        arrivals.append(at)
    events = [(at, index, None) for index, at in enumerate(arrivals)]
    heapq.heapify(events)
    order = itertools.count(len(events))
    started, credits, crossings, sends = {}, {}, 0, 0
    cancelled = set()

    def perform(now, actions):
        nonlocal crossings, sends
        for action in actions:
            if isinstance(action, forwarding.Send):
                replica = replicas[action.identity]
                crossings += replica.zone != LOCAL_ZONE
                sends += 1
                work_s = WORK_S * source.lognormvariate(0.0, WORK_SIGMA)
                end = replica.compute_end(now, work_s)
                heapq.heappush(events, (end, next(order), action.number))
            elif isinstance(action, forwarding.Cancel):
                cancelled.add(action.number)
            elif isinstance(action, forwarding.Respond):
                in_time = now - started[action.exchange] <= OBJECTIVE_S
                answer = action.answer
                if in_time and isinstance(answer, forwarding.MergedReply):
                    coverage = 1 - answer.missing / len(SHARDS)
                    credits[action.exchange] = coverage**2

    while events:
        timer_at = core.next_time()
        if timer_at < events[0][0]:
            perform(timer_at, core.handle_timers(timer_at))
            continue
        now, _, number = heapq.heappop(events)
        if number is None:
            request = forwarding.Request(
                f"r-{now}", "search.example", "GET", "/page/a", "/page/a", (), b"", 1.2
            )
            exchange, actions = core.accept(now, request)
            started[exchange] = now
            perform(now, actions)
        elif number not in cancelled:
            reply = forwarding.Reply(200, "s", (), b"")
            perform(now, core.handle_reply(now, number, reply))
    return Load(
        sum(credits.values()) / len(arrivals),
        crossings / sends,
        sends / len(arrivals) / len(SHARDS),
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_only_pauses_send_requests_to_another_zone(seed):
    """Guards against a pause after which its replica is avoided for seconds.

    Each paused request may cross twice, at its hedge and for the requests that avoid
    the stalled replica; callers must get whole pages in time all the while.
    """
    load = play_load(seed)
    assert load.credit > 0.98
    assert load.crossing < 2 * PAUSED_SHARE
    assert load.sends_per_shard < 1 + 2 * PAUSED_SHARE
