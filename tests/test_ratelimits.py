"""Tests of the rate limits that backend servers name."""

import bisect
import collections
import heapq
import itertools
import math
import random
import typing

import pytest

from acacialatch import (
    backends,
    deployment,
    forwarder,
    forwarding,
    members,
    ratelimits,
    sending,
)

WINDOW_S = 4.0
OVERRUN_FACTOR, OVERRUN_REQUESTS = 1.5, 5
NOTICE_S = 0.5
WORK_S = 0.03
LIMITED_FROM_S, LIMITED_UNTIL_S, END_S = 6.0, 26.0, 40.0
LOOKUP = deployment.Route(
    "lookup",
    "search.example",
    "/lookup/",
    deployment.RequestKind.IDEMPOTENT,
    8.0,
    0.8,
    1,
    2,
    deployment.SingleTarget("ledger"),
)
DEPLOYMENT = deployment.Deployment(1, (LOOKUP,), {}, deployment.CallerLimits())


class Arrival(typing.NamedTuple):
    """Request that arrives at a server from an instance that knows its limit or not."""

    at: float
    knows_limit: bool


class Fleet:
    """Entry instances in simulated time, with servers that name rate limits.

    Parameters
    ----------
    count : int
        Entry instances.
    rates : tuple of float
        For each server its limit in requests per second; infinity for none.
    demand_per_s : float
        Requests per second of all callers.
    seed : int
        Seed of all random choices.
    callers : int
        Entry instances that get requests of callers; the others only gossip.
    cold_rate : float
        Requests per second that a cold server takes from all instances together.
    """

    def __init__(self, count, rates, demand_per_s, seed, callers=None, cold_rate=0.0):
        self.random = random.Random(seed)
        self.rates = {f"ledger-{index}": rate for index, rate in enumerate(rates)}
        self.demand_per_s = demand_per_s
        self.callers = callers or count
        service = deployment.Service("ledger", 1000, cold_rate)
        self.deployment = DEPLOYMENT._replace(services={"ledger": service})
        self.has_idle = self.callers < count
        self.retry_after_s = []
        self.refused_after_s = []
        self.started_at = {}
        self.now = 0.0
        self.events = []
        self.order = itertools.count()
        self.cores, self.tables, self.told = {}, {}, {}
        self.arrivals = collections.defaultdict(list)
        self.answered_at = []
        self.seeds = tuple(f"10.0.0.{index}:7" for index in range(3))
        for index in range(count):
            self.start(index)
        self.schedule_query()

    def start(self, index):
        """Start an instance, or start it anew."""
        core = forwarder.Forwarder(
            "ba",
            sending.Budgets(0.2, 54.0, 10.0),
            self.random.getrandbits(32),
            self.now,
        )
        core.apply_deployment(self.deployment)
        for identity in self.rates:
            entry = backends.Entry(identity, "ledger", "h:1", "ba", 4, False, 0.0)
            core.backends.put(self.now, entry)
        own = members.Member(
            f"entry-{index}",
            1 + int(1000 * self.now),
            0,
            f"c{index}",
            f"10.0.0.{index}:7",
            "ba",
            True,
        )
        table = members.MemberTable(own, self.seeds, self.random.getrandbits(32))
        self.cores[index], self.tables[index] = core, table
        self.told[index] = {}
        if self.has_idle:
            table.set_active(self.now, index < self.callers)
        table.unsettle(self.now)
        self.apply_members(index)
        self.schedule(self.random.random() * members.PERIOD_S, "gossip", index, core)

    def schedule(self, delay_s, kind, index, *values):
        event = (self.now + delay_s, next(self.order), kind, index, values)
        heapq.heappush(self.events, event)

    def schedule_query(self):
        delay_s = self.random.expovariate(self.demand_per_s)
        self.schedule(delay_s, "query", self.random.randrange(self.callers))

    def apply_members(self, index):
        """Tell a forwarder what its member table says, as an entry instance does."""
        core, table = self.cores[index], self.tables[index]
        core.set_sharing(self.now, table.get_sharing(self.now))

    def deliver(self, sender, address, digest):
        """Deliver a digest, and the answer to it."""
        index = int(address.split(":")[0].rpartition(".")[2])
        if index not in self.tables:
            return
        wants_all = self.tables[index].merge_digest(self.now, digest)
        news = self.cores[sender].limits.list_news(self.now)
        self.cores[index].limits.merge_news(self.now, news)
        if wants_all or digest.wants_all:
            table = self.tables[index]
            answer = table.make_digest(self.now, digest.wants_all, wants_all)
            self.deliver(index, f"10.0.0.{sender}:7", answer)
        self.apply_members(index)

    def perform(self, index, actions):
        core = self.cores[index]
        for action in actions:
            if isinstance(action, forwarding.Send):
                told_at = self.told[index].get(action.identity, math.inf)
                knows = told_at + NOTICE_S <= self.now
                self.arrivals[action.identity].append(Arrival(self.now, knows))
                values = (core, action.number, action.identity)
                self.schedule(WORK_S, "reply", index, *values)
            elif isinstance(action, forwarding.Respond):
                waited_s = self.now - self.started_at[core, action.exchange]
                if isinstance(action.answer, forwarding.ErrorReply):
                    self.retry_after_s.append(action.answer.retry_after_s)
                    self.refused_after_s.append(waited_s)
                else:
                    self.answered_at.append(self.now)
        if core.next_time() < math.inf:
            self.schedule(max(0.0, core.next_time() - self.now), "timer", index, core)

    def run(self, until_s):
        """Play all events up to a time."""
        while self.events[0][0] <= until_s:
            self.now, _, kind, index, values = heapq.heappop(self.events)
            core = self.cores[index]
            if values and values[0] is not core:
                continue
            if kind == "query":
                request = forwarding.Request(
                    f"r-{self.now}",
                    "search.example",
                    "GET",
                    "/lookup/a",
                    "/lookup/a",
                    (),
                    b"",
                    2.0,
                )
                number, actions = core.accept(self.now, request)
                self.started_at[core, number] = self.now
                self.perform(index, actions)
                self.schedule_query()
            elif kind == "reply":
                number, identity = values[1:]
                rate = math.inf
                if LIMITED_FROM_S <= self.now < LIMITED_UNTIL_S:
                    rate = self.rates[identity]
                if rate < math.inf:
                    self.told[index].setdefault(identity, self.now)
                reply = forwarding.Reply(200, "s", (), b"", rate)
                self.perform(index, core.handle_reply(self.now, number, reply))
            elif kind == "timer":
                if core.next_time() <= self.now:
                    self.perform(index, core.handle_timers(self.now))
            else:
                table = self.tables[index]
                for target in itertools.chain(*table.choose_targets(self.now)):
                    self.deliver(index, target, table.make_digest(self.now))
                self.apply_members(index)
                self.schedule(members.PERIOD_S, "gossip", index, core)

    def measure_excess(self, identity):
        """Return the most requests beyond the allowance of a window of `WINDOW_S`.

        Counted are requests of instances that had heard of the limit `NOTICE_S` before.
        """
        allowed = WINDOW_S * OVERRUN_FACTOR * self.rates[identity] + OVERRUN_REQUESTS
        times = [
            one.at
            for one in self.arrivals[identity]
            if one.knows_limit and one.at < LIMITED_UNTIL_S
        ]
        counts = [
            index + 1 - bisect.bisect_left(times, at - WINDOW_S)
            for index, at in enumerate(times)
        ]
        return max(counts, default=0) - allowed

    def count_arrivals(self, identity, begin_s, end_s):
        """Return how many requests a server got in a span of time."""
        return sum(begin_s <= one.at < end_s for one in self.arrivals[identity])


def test_log_tells_what_was_sent_under_a_limit():
    """Guards against a log that cannot tell which sends exceeded a limit."""
    table = ratelimits.LimitTable(random.Random(1))
    (entry,) = table.record_reply(1.0, "s-1", 2.0, 0.9)
    assert (entry.text, entry.values) == (
        "names a rate limit",
        {"server": "s-1", "per_s": 2.0, "share": 1.8},
    )
    table.record_send(2.0, "s-1", ratelimits.SendKind.FIRST)
    table.record_send(2.0, "s-1", ratelimits.SendKind.HEDGE)
    (entry,) = table.record_reply(5.0, "s-1", math.inf, 4.9)
    assert entry.values["sends"] == {"first": 1, "hedge": 1}
    assert len(table) == 0


def test_reply_that_was_overtaken_does_not_end_a_limit():
    """Guards against a limit that ends with a reply to an earlier request."""
    table = ratelimits.LimitTable(random.Random(1))
    table.record_reply(1.0, "s-1", 2.0, 0.9)
    assert table.record_reply(1.1, "s-1", math.inf, 0.8) == []
    assert len(table) == 1


def test_reply_without_a_readable_limit_changes_nothing():
    """Guards against a malformed value that ends or starts a limit."""
    table = ratelimits.LimitTable(random.Random(1))
    assert table.record_reply(1.0, "s-1", None, 0.9) == []
    table.record_reply(2.0, "s-1", 2.0, 1.9)
    assert table.record_reply(3.0, "s-1", None, 2.9) == []
    assert len(table) == 1


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize(("count", "rate"), [(7, 5.6), (7, 0.25), (9, 2.0), (9, 0.0)])
def test_sum_over_instances_stays_within_a_named_rate_limit(count, rate, seed):
    """Guards against entry instances that together exceed the limit of a server."""
    fleet = Fleet(count, (rate, rate, math.inf), 40.0, seed)
    fleet.run(LIMITED_UNTIL_S)
    assert fleet.measure_excess("ledger-0") <= 0
    assert fleet.measure_excess("ledger-1") <= 0


def test_large_fleet_stays_within_a_named_rate_limit():
    """Guards against shares that are rounded up to one request for each instance."""
    fleet = Fleet(300, (2.0, 2.0, math.inf), 60.0, 1)
    fleet.run(LIMITED_FROM_S + 1.5 * WINDOW_S)
    assert fleet.measure_excess("ledger-0") <= 0
    assert fleet.measure_excess("ledger-1") <= 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_instance_that_starts_under_a_rate_limit_takes_no_further_share(seed):
    """Guards against restarted instances that add to what the others send."""
    fleet = Fleet(9, (2.0, 2.0, math.inf), 40.0, seed)
    for step in range(8):
        fleet.run(LIMITED_FROM_S + 1 + 2 * step)
        fleet.start(step)
    fleet.run(LIMITED_UNTIL_S)
    assert fleet.measure_excess("ledger-0") <= 0
    assert fleet.measure_excess("ledger-1") <= 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_rate_limit_is_used_by_the_instances_that_have_callers(seed):
    """Guards against refused callers while idle instances hold shares of a limit."""
    fleet = Fleet(24, (4.0, 4.0), 40.0, seed, callers=6)
    fleet.run(LIMITED_UNTIL_S)
    for identity in fleet.rates:
        assert fleet.measure_excess(identity) <= 0
        sent = fleet.count_arrivals(identity, LIMITED_FROM_S + 5, LIMITED_UNTIL_S)
        assert sent > 0.6 * 4.0 * (LIMITED_UNTIL_S - LIMITED_FROM_S - 5)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_server_gets_all_its_requests_again_after_a_rate_limit(seed):
    """Guards against instances that never learn that a limit has ended."""
    fleet = Fleet(9, (2.0, 2.0), 40.0, seed)
    fleet.run(END_S)
    ended_at = LIMITED_UNTIL_S + 5
    assert fleet.count_arrivals("ledger-0", ended_at, END_S) > 15 * (END_S - ended_at)


def test_request_beyond_all_rate_limits_is_refused_at_once():
    """Guards against a request that waits in vain for a limit that is used up."""
    fleet = Fleet(1, (1.0, 1.0), 40.0, 1)
    fleet.run(LIMITED_UNTIL_S)
    assert len(fleet.refused_after_s) > 100
    at_once = sum(waited_s == 0 for waited_s in fleet.refused_after_s)
    assert at_once > 0.9 * len(fleet.refused_after_s)
    assert min(fleet.retry_after_s) >= 0.5
    assert max(fleet.retry_after_s) > 1.5


@pytest.mark.parametrize("rate", [-1.0, 0.0, 2.0, math.inf, math.nan])
@pytest.mark.parametrize("age_s", [0.0, 3.0, 1e9, math.inf, math.nan])
def test_news_of_any_value_leaves_a_share(rate, age_s):
    """Guards against a digest after which a server never gets a request."""
    table = ratelimits.LimitTable(random.Random(1))
    table.merge_news(100.0, [members.LimitNews("s-1", rate, age_s)])
    assert table.next_send_at(100.0, "s-1") < 300.0
    table.remove_expired(100.0 + ratelimits.LIMIT_LIFETIME_S)
    assert len(table) == 0


def test_older_news_does_not_bring_a_limit_back():
    """Guards against instances that tell each other of a limit that has ended."""
    first, second = (ratelimits.LimitTable(random.Random(1)) for _ in range(2))
    first.record_reply(1.0, "s-1", 2.0, 0.9)
    old_news = first.list_news(2.0)
    second.merge_news(2.0, old_news)
    second.record_reply(3.0, "s-1", math.inf, 2.9)
    first.merge_news(3.1, second.list_news(3.1))
    assert not first.has_limit("s-1")
    first.merge_news(3.2, [one._replace(age_s=2.2) for one in old_news])
    assert not first.has_limit("s-1")


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_first_requests_of_all_instances_to_a_cold_server_stay_within_its_rate(seed):
    """Guards against a cold server that gets one request of each instance at once."""
    fleet = Fleet(30, (math.inf,), 300.0, seed, cold_rate=2.0)
    fleet.run(5.0)
    for core in fleet.cores.values():
        server = core.backends.find("ledger-0").entry
        restarted = server._replace(cold_s=3.0, started_ms=1)
        core.backends.put(fleet.now, restarted)
    fleet.run(7.9)
    times = [one.at for one in fleet.arrivals["ledger-0"] if one.at >= 5.0]
    most = max(sum(at - 1.0 < one <= at for one in times) for at in times)
    assert most <= 2.0 * OVERRUN_FACTOR + OVERRUN_REQUESTS
    assert len(times) >= 2


def test_server_that_is_cold_once_more_gets_its_rate_again():
    """Guards against requests to the warm server that count when it is cold again."""
    fleet = Fleet(1, (math.inf,), 40.0, 1, cold_rate=4.0)
    for began_at in (5.0, 15.0):
        fleet.run(began_at)
        server = fleet.cores[0].backends.find("ledger-0").entry
        cold = server._replace(cold_s=3.0, sequence=int(began_at))
        fleet.cores[0].backends.put(fleet.now, cold)
        fleet.run(began_at + 2.9)
        assert 6 <= fleet.count_arrivals("ledger-0", began_at, began_at + 2.9) <= 17


@pytest.mark.parametrize("rate", [0.0, 0.3, 2.0, 5.6, 400.0])
@pytest.mark.parametrize(("count", "active"), [(1, 1), (7, 7), (59, 8), (300, 300)])
def test_shares_of_all_instances_are_within_the_limit(count, active, rate):
    """Guards against shares of active and idle instances that exceed a limit in sum."""
    names = tuple(f"entry-{index}" for index in range(count))
    total = sum(
        ratelimits.compute_share(
            members.Sharing(name, names[:active], count, True), "s-1", rate
        )
        for name in names
    )
    limit = max(rate, ratelimits.RATE_MIN)
    assert 0.7 * limit <= total <= limit * (1 + 1e-9)
