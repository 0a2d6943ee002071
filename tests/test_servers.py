"""Tests of the server table and of the facts exchanged by entry instances."""

import collections

import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from acacialatch import facts as server_facts
from acacialatch import model, servers

A, B = "127.0.0.1:7001", "127.0.0.1:7002"
SHAPE = model.Shape(3, 30, 0.006, 2, 1.0, 2.0, 4)
READY, COLD = model.ServerState.READY, model.ServerState.COLD
LEAVING, DEAD = model.ServerState.LEAVING, model.ServerState.DEAD
SILENT, SHEDDING = model.ServerState.SILENT, model.ServerState.SHEDDING
SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=150
)


def make_configuration(zones_out=(), addresses=(A, B)):
    zones = ("Ba", "Nadi")
    replicas = tuple(
        model.Replica(address, zones[number % 2])
        for number, address in enumerate(addresses)
    )
    keys = model.KeyRange(0, 9)
    leaf = model.Service("desk", (), "bookings", keys, SHAPE, replicas)
    out = frozenset(zones_out)
    return model.Configuration("Fiji", 8, zones, out, {}, {}, {"desk": leaf})


def make_table(name="me", seed=1):
    """Return the table of an entry instance that knows two cold servers."""
    table = servers.ServerTable(name, seed)
    table.apply_configuration(0.0, make_configuration())
    return table


def record_reply(table, now, incarnation, stated=READY, latency_s=0.01, address=A):
    """Record a reply to a request in a table; return the transitions."""
    versions = {"bookings": (7, 8)}
    return table.record_reply(now, address, incarnation, stated, versions, latency_s)


def warm_up(table, incarnation="x", start=10.0, address=A):
    """Record replies until the table counts the server as ready."""
    for step in range(SHAPE.warm_after_requests + 1):
        record_reply(table, start + step, incarnation, address=address)
    assert table.state(start, address) is READY


class RestartStateMachine(stateful.RuleBasedStateMachine):
    """Tables of three entry instances and one server that restarts silently.

    Replies and digests are delivered late and in any order. The clocks of the
    instances differ in offset and rate.
    """

    def __init__(self):
        super().__init__()
        self.time, self.run, self.started = 0.0, 0, {0: 0.0}
        self.answered = collections.Counter()
        self.rates, self.offsets = (0.95, 1.0, 1.05), (0.0, 500.0, 90.0)
        self.tables = [make_table(f"me{instance}", instance) for instance in range(3)]
        self.pending_requests, self.pending_replies, self.sent_digests = [], [], []
        self.newest_proven = [0, 0, 0]

    def now(self, instance):
        """Return the time on the clock of an instance."""
        return self.offsets[instance] + self.rates[instance] * self.time

    @stateful.rule(step=st.sampled_from((0.01, 0.1, 1.0, 2.5)))
    def advance(self, step):
        self.time += step

    @stateful.rule()
    def restart(self):
        self.run += 1
        self.started[self.run] = self.time

    @stateful.rule(instance=st.integers(0, 2))
    def send(self, instance):
        self.pending_requests.append((instance, self.time, self.run))

    @stateful.rule(pick=st.integers(0, 99))
    def answer(self, pick):
        if self.pending_requests:
            instance, sent, requested_run = self.pending_requests.pop(
                pick % len(self.pending_requests)
            )
            self.pending_replies.append((instance, sent, requested_run, self.run))

    @stateful.rule(pick=st.integers(0, 99))
    def deliver_reply(self, pick):
        if self.pending_replies:
            instance, sent, requested_run, run = self.pending_replies.pop(
                pick % len(self.pending_replies)
            )
            self.time += 0.001
            now, latency_s = (
                self.now(instance),
                (self.time - sent) * self.rates[instance],
            )
            self.answered[run] += 1
            record_reply(self.tables[instance], now, f"run{run}", latency_s=latency_s)
            if requested_run == run:
                self.newest_proven[instance] = max(self.newest_proven[instance], run)

    @stateful.rule(instance=st.integers(0, 2), count=st.integers(1, 5))
    def exchange(self, instance, count):
        """Send requests that are answered at once."""
        for _ in range(count):
            self.send(instance)
            self.answer(len(self.pending_requests) - 1)
            self.deliver_reply(len(self.pending_replies) - 1)
            self.time += 0.6

    @stateful.rule(instance=st.integers(0, 2))
    def send_digest(self, instance):
        self.sent_digests.append(
            (instance, self.tables[instance].facts(self.now(instance), [A]))
        )

    @stateful.rule(pick=st.integers(0, 99), instance=st.integers(0, 2))
    def deliver_digest(self, pick, instance):
        if self.sent_digests:
            sender, facts = self.sent_digests[pick % len(self.sent_digests)]
            self.tables[instance].merge(self.now(instance), f"me{sender}", facts)

    @stateful.invariant()
    def ready_only_after_warm_up(self):
        for instance, table in enumerate(self.tables):
            if table.state(self.now(instance), A) is READY:
                run = int(table.incarnation(A)[3:])
                assert self.answered[run] >= SHAPE.warm_after_requests
                age_s = self.time - self.started[run]
                assert age_s * 1.05 >= SHAPE.warm_up_s

    @stateful.invariant()
    def incarnation_never_goes_back(self):
        for table, newest_proven in zip(self.tables, self.newest_proven, strict=True):
            incarnation = table.incarnation(A)
            assert not incarnation or int(incarnation[3:]) >= newest_proven

    def teardown(self):
        for instance, table in enumerate(self.tables):
            self.time += 1.0
            record_reply(table, self.now(instance), f"run{self.run}")
            assert table.incarnation(A) == f"run{self.run}"


def test_states_after_restarts_replies_and_facts_in_any_order():
    """Guards against a cold server in state ready and return to an old incarnation.

    Late replies and facts of an earlier incarnation can cause both.
    """
    stateful.run_state_machine_as_test(
        RestartStateMachine,
        settings=hypothesis.settings(
            SETTINGS, max_examples=300, stateful_step_count=40
        ),
    )


FACTS = st.builds(
    server_facts.Fact,
    st.just(A),
    st.sampled_from(("x", "y", "z")),
    st.sampled_from(server_facts.Phase),
    st.integers(0, 3),
    st.floats(-1.0, 5.0),
    st.floats(0.0, 30.0),
    st.sampled_from(((), (("bookings", (7,)),), (("bookings", (8,)),))),
)


@hypothesis.settings(SETTINGS, max_examples=500)
@hypothesis.given(
    st.lists(st.tuples(st.sampled_from("pqr"), FACTS), max_size=6),
    st.randoms(use_true_random=False),
    st.booleans(),
)
def test_merged_facts_do_not_depend_on_order(reports, random, is_known):
    """Guards against tables that differ because digests arrived in another order."""
    results = []
    for _ in range(2):
        table = make_table()
        if is_known:
            record_reply(table, 90.0, "x")
        for peer, fact in reports:
            table.merge(100.0, peer, [fact])
        facts = tuple(sorted(table.facts(100.0, [A])))
        state, incarnation = table.state(100.0, A), table.incarnation(A)
        results.append((state, incarnation, facts, table.versions("bookings")))
        random.shuffle(reports)
    assert results[0] == results[1]


def test_silent_restart_between_two_requests_resets_server():
    """Guards against state of the former process that is kept after a restart.

    The first reply with a new incarnation makes the server cold and replaces its
    latency average. A late reply of the former incarnation is ignored.
    """
    table = make_table()
    warm_up(table)
    changes = record_reply(table, 20.0, "y", latency_s=0.3)
    assert changes == [servers.Change(A, READY, COLD, "restart")]
    assert table.needs_permit(20.0, A)
    assert table.incarnation(A) == "y"
    assert table.latency(A) == pytest.approx(0.3)
    assert record_reply(table, 20.001, "x", latency_s=0.5) == []
    assert table.incarnation(A) == "y"


def test_returned_zone_is_cold():
    """Guards against full load on the cold servers of a zone that returned.

    Peers that still report the servers as warm from before the outage must not end
    the warm-up; their facts are accepted again after the roll-out time.
    """
    table, peer = make_table(), make_table("peer")
    for address in (A, B):
        warm_up(table, address=address)
        warm_up(peer, address=address)
    table.apply_configuration(20.0, make_configuration(zones_out=("Ba", "Nadi")))
    assert table.may_send(20.0, A) == (False, "unlisted")
    changes = table.apply_configuration(21.0, make_configuration())
    assert {change.after for change in changes} == {COLD}
    table.merge(21.5, "peer", peer.facts(21.5, [A, B]))
    assert table.needs_permit(21.5, A)
    assert table.needs_permit(21.5, B)
    table.merge(25.0, "peer", peer.facts(25.0, [A, B]))
    assert table.state(25.0, A) is READY


def test_server_listed_again_is_cold():
    """Guards against a new server taken as warm since its address was used before."""
    table = make_table()
    warm_up(table)
    (change,) = table.apply_configuration(20.0, make_configuration(addresses=(B,)))
    assert change.after is model.ServerState.UNLISTED
    table.apply_configuration(21.0, make_configuration())
    assert table.state(21.0, A) is COLD


def test_drain_signal_holds_until_restart():
    """Guards against work for a leaving server, and one that stays leaving forever.

    Neither the platform's list nor replies of the same incarnation cancel the drain
    signal; a reply of a new incarnation does.
    """
    table = make_table()
    warm_up(table)
    assert table.record_drain(20.0, A)[0].after is LEAVING
    table.apply_leaving_list(20.1, ())
    record_reply(table, 20.2, "x")
    assert table.may_send(20.2, A) == (False, "leaving")
    assert not table.is_probe_due(20.2, A)
    assert table.is_probe_due(26.0, A)
    record_reply(table, 26.0, "y")
    assert table.state(26.0, A) is COLD
    table.apply_leaving_list(27.0, {A})
    assert table.state(27.0, A) is LEAVING
    table.apply_leaving_list(28.0, ())
    assert table.state(28.0, A) is COLD
    record_reply(table, 40.0, "y", LEAVING)
    assert table.may_send(40.0, A) == (False, "leaving")
    assert not table.is_probe_due(40.0, A)


def test_peer_facts_about_unknown_incarnations():
    """Guards against wrong states from facts about an unknown incarnation.

    Cold and leaving are adopted at once; warm is adopted only for an incarnation that
    cannot be confused with another one.
    """
    table, peer = make_table(), make_table("peer")
    record_reply(peer, 29.0, "y")
    warm_up(table)
    table.merge(30.0, "peer", peer.facts(30.0, [A]))
    assert table.state(30.0, A) is COLD
    record_reply(table, 31.0, "y")
    warm_up(peer, "y", 31.0)
    table.merge(36.0, "peer", peer.facts(36.0, [A]))
    assert table.state(36.0, A) is READY
    warm_up(peer, "z", 40.0)
    table.merge(45.0, "peer", peer.facts(45.0, [A]))
    assert table.state(45.0, A) is COLD
    peer.record_drain(46.0, A)
    table.merge(46.0, "peer", peer.facts(46.0, [A]))
    assert table.state(46.0, A) is LEAVING


def test_outdated_facts_are_ignored():
    """Guards against facts of lagging peers that restore an old incarnation.

    Counts of answered requests also must not end the warm-up before its time.
    """
    table, lagging, early = make_table(), make_table("lagging"), make_table("early")
    record_reply(lagging, 5.0, "w")
    warm_up(table)
    table.merge(20.0, "lagging", lagging.facts(20.0, [A]))
    assert table.state(20.0, A) is READY
    record_reply(table, 21.0, "y")
    warm_up(lagging, "x", 17.0)
    table.merge(21.5, "lagging", lagging.facts(21.5, [A]))
    assert table.incarnation(A) == "y"
    for _ in range(SHAPE.warm_after_requests):
        record_reply(early, 21.0, "y")
    table.merge(22.0, "early", early.facts(22.0, [A]))
    assert table.state(22.0, A) is COLD


def test_warm_up_counts_answers_of_all_instances():
    """Guards against answers counted twice, and answers to peers left uncounted."""
    table, peers = make_table(), [make_table(name) for name in "pq"]
    record_reply(table, 10.0, "x")
    for peer in peers:
        record_reply(peer, 11.0, "x")
        for _ in range(3):
            table.merge(13.0, peer._instance, peer.facts(13.0, [A]))
    assert table.state(13.0, A) is COLD
    assert record_reply(table, 13.1, "x")[0].after is READY


def test_shedding_silent_and_dead_servers_are_treated_differently():
    """Guards against the same treatment of shedding, silent and dead servers.

    A shedding server is not probed before the requested delay, a silent one gets one
    send at a time, and a dead one needs permits until a reply to a later request.
    """
    table = make_table()
    warm_up(table)
    assert table.record_failure(20.0, A, servers.Cause.SHED, False, 2.0)
    assert table.state(20.0, A) is SHEDDING
    assert not table.is_probe_due(21.9, A)
    assert table.is_probe_due(22.0, A)
    table.record_send(22.0, A)
    assert not table.is_probe_due(22.0, A)
    assert not table.needs_permit(22.0, A)
    assert record_reply(table, 22.1, "x")[0].after is READY

    table.record_failure(30.0, A, servers.Cause.NO_REPLY, False)
    assert table.state(30.0, A) is SILENT
    assert table.may_send(30.0, A)[0]
    table.record_send(30.0, A)
    assert not table.may_send(30.1, A)[0]
    table.record_failure(30.2, A, servers.Cause.NO_REPLY, True)
    assert table.state(30.2, A) is SILENT
    table.record_failure(30.4, A, servers.Cause.CONNECT_TIMEOUT, True)
    assert table.state(30.4, A) is DEAD
    assert table.needs_permit(30.4, A)
    record_reply(table, 30.5, "x", latency_s=0.4)
    assert table.state(30.5, A) is DEAD
    assert record_reply(table, 31.0, "x")[0].after is READY


def test_dead_server_is_probed_with_backoff_and_jitter():
    """Guards against synchronized probes and wrong delays between them.

    Delays are bounded, and failures of earlier sends do not increase them.
    """
    delays = {}
    for seed in (1, 2):
        table, now = make_table(seed=seed), 10.0
        delays[seed] = []
        table.record_failure(now, A, servers.Cause.CONNECT_REFUSED, True)
        for _ in range(8):
            table.record_failure(now, A, servers.Cause.NO_REPLY, False)
            delays[seed].append(table.next_probe(A) - now)
            now = table.next_probe(A)
            assert table.is_probe_due(now, A)
            table.record_send(now, A)
            assert not table.is_probe_due(now, A)
            table.record_failure(now, A, servers.Cause.CONNECT_REFUSED, True)
        assert delays[seed][0] <= 0.25
        assert 2.5 <= delays[seed][-1] <= 5.0
    assert delays[1] != delays[2]


def test_digest_facts_are_bounded_and_repeated():
    """Guards against digests that grow with the fleet, and changes that get lost.

    Changed facts are repeated, so peers learn them even if half of the digests are
    lost.
    """
    addresses = tuple(f"127.0.0.1:{7000 + number}" for number in range(110))
    table, peer = make_table(), make_table("peer")
    for each in (table, peer):
        each.apply_configuration(1.0, make_configuration(addresses=addresses))
    for address in addresses:
        record_reply(table, 2.0, "x", address=address)
    digests = [table.facts(3.0) for _ in range(40)]
    first = {fact.address for facts in digests[:8] for fact in facts}
    assert first == set(addresses)
    assert max(map(len, digests)) == server_facts.FACTS_MAX
    assert len(digests[-1]) == server_facts.FACTS_ROTATED
    for facts in digests[1::2]:
        peer.merge(4.0, "me", facts)
    assert peer.list_unknown(200) == ()
    chosen = [fact.address for fact in table.facts(5.0, addresses)]
    assert chosen[:8] == list(addresses[:8])
    assert len(chosen) == 8 + server_facts.FACTS_ROTATED


def test_hedge_delay_is_a_bounded_percentile():
    """Guards against a hedge delay from too few or from outdated latencies."""
    table = make_table()
    assert table.hedge_delay("desk") == servers.HEDGE_INITIAL_S
    for step in range(400):
        latency_s = 9.0 if step < 200 else (step - 199) / 1000
        record_reply(table, 1000.0 + step, "x", latency_s=latency_s)
    # The 98th percentile of 1 to 200 ms, which is below 2.5 times the median.
    assert table.hedge_delay("desk") == pytest.approx(0.196)
    for step in range(180):
        record_reply(table, 2000.0 + step, "x", latency_s=0.004)
    for step in range(20):
        record_reply(table, 3000.0 + step, "x", latency_s=0.100)
    assert table.hedge_delay("desk") == pytest.approx(0.010)
    assert table.versions("bookings") == {A: (7, 8)}
