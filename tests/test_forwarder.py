"""Tests of the core of the query tier, without sockets or a clock."""

import pytest

from acacialatch import (
    backends,
    deployment,
    errors,
    forwarder,
    forwarding,
    freshness,
    members,
    sending,
)

SHARDS = ("shard-0", "shard-1", "shard-2", "shard-3")
PAGE = deployment.Route(
    "page",
    "search.example",
    "/page/",
    deployment.RequestKind.IDEMPOTENT,
    2.0,
    0.2,
    1,
    2,
    deployment.ShardTarget(SHARDS, 3, 0.75),
)
LOOKUP = deployment.Route(
    "lookup",
    "search.example",
    "/lookup/",
    deployment.RequestKind.IDEMPOTENT,
    8.0,
    0.8,
    2,
    2,
    deployment.SingleTarget("ledger"),
)
BOOKING = LOOKUP._replace(
    name="booking",
    prefix="/booking/",
    kind=deployment.RequestKind.NON_IDEMPOTENT,
)
SERVICES = {name: deployment.Service(name, 30, 0.0) for name in (*SHARDS, "ledger")}
DEPLOYMENT = deployment.Deployment(
    1, (PAGE, LOOKUP, BOOKING), SERVICES, deployment.CallerLimits()
)
TIMER_STEPS_MAX = 10_000


def make_entry(identity, service, zone="ba"):
    address = f"127.0.0.1:{7000 + sum(identity.encode()) % 1000}"
    return backends.Entry(identity, service, address, zone, 3, False, 0.0)


def make_request(path, identity="r-1", timeout_s=2.0):
    return forwarding.Request(
        identity, "search.example", "GET", path, path, (), b"", timeout_s
    )


def make_reply(body=b"", status=200, signature="s"):
    return forwarding.Reply(status, signature, (), body)


class ForwarderHarness:
    """Forwarder with a simulated clock, which keeps its open attempts and answers."""

    def __init__(
        self,
        replicas=2,
        budgets=None,
        deployment_in_force=DEPLOYMENT,
        evidence=None,
    ):
        budgets = budgets or sending.Budgets(0.2, 50.0, 10.0)
        self.core = forwarder.Forwarder("ba", budgets, 1, evidence=evidence)
        self.now = 100.0
        self.sends = {}
        self.answers = {}
        self.log_entries = []
        self.cancelled = []
        if deployment_in_force is not None:
            self.core.apply_deployment(deployment_in_force)
        for service in (*SHARDS, "ledger"):
            for index in range(replicas):
                entry = make_entry(f"{service}-{index}", service)
                self.core.backends.put(self.now, entry)

    def perform(self, actions):
        """Apply actions and keep what a test looks at."""
        for action in actions:
            match action:
                case forwarding.Send():
                    self.sends[action.number] = action
                case forwarding.Respond():
                    assert action.exchange not in self.answers
                    self.answers[action.exchange] = action.answer
                case forwarding.Cancel():
                    self.sends.pop(action.number)
                    self.cancelled.append(action.number)
                case forwarding.LogEntry():
                    self.log_entries.append(action)

    def submit(self, path, **values):
        """Accept a request of a caller; return its number."""
        number, actions = self.core.accept(self.now, make_request(path, **values))
        self.perform(actions)
        return number

    def reply(self, number, reply=None):
        del self.sends[number]
        reply = make_reply() if reply is None else reply
        self.perform(self.core.handle_reply(self.now, number, reply))

    def fail(self, number, kind):
        del self.sends[number]
        failure = forwarding.SendFailure(kind)
        self.perform(self.core.handle_failure(self.now, number, failure))

    def advance_to(self, until):
        """Advance the clock and fire each timer at its time."""
        for _ in range(TIMER_STEPS_MAX):
            at = self.core.next_time()
            if at > until:
                self.now = until
                return
            self.now = max(self.now, at)
            self.perform(self.core.handle_timers(self.now))
        pytest.fail("timers do not make progress")

    def find_sends(self, service):
        """Return the numbers of the open attempts at the servers of a service."""
        return [
            number
            for number, send in self.sends.items()
            if send.identity.startswith(service)
        ]


def test_complete_page_is_answered_at_once():
    """Guards against a merge that drops records or signatures of shards."""
    harness = ForwarderHarness()
    number = harness.submit("/page/1")
    for index, send in enumerate(list(harness.sends)):
        body = bytes([index]) * 16 + bytes([9 - index]) * 16
        harness.reply(send, make_reply(body, signature=f"s{index}"))
    answer = harness.answers[number]
    assert answer.missing == 0
    assert set(answer.signatures) == {"s0", "s1", "s2", "s3"}
    assert answer.body == b"".join(bytes([n]) * 16 for n in (9, 8, 7))


def test_page_with_sufficient_coverage_is_answered_before_the_objective():
    """Guards against a page that misses its latency objective for one slow shard."""
    harness = ForwarderHarness(replicas=1)
    number = harness.submit("/page/1")
    for service in SHARDS[:3]:
        harness.reply(*harness.find_sends(service))
    assert number not in harness.answers
    harness.advance_to(harness.now + 0.2)
    assert harness.answers[number].missing == 1


def test_page_without_coverage_is_not_refused_as_not_run():
    """Guards against an error that says "not run" after some shards have run."""
    harness = ForwarderHarness(replicas=1)
    number = harness.submit("/page/1")
    for service in SHARDS[:2]:
        harness.reply(*harness.find_sends(service))
    for service in SHARDS[2:]:
        harness.fail(
            *harness.find_sends(service), forwarding.FailureKind.CONNECTION_LOST
        )
    answer = harness.answers[number]
    assert answer == forwarding.ErrorReply(errors.ErrorKind.COVERAGE_BELOW_FLOOR)


def test_slow_shard_is_hedged_and_the_first_reply_counts():
    """Guards against a page that waits for one slow server.

    The slow attempt may still finish and is cancelled after the grace period.
    """
    harness = ForwarderHarness()
    number = harness.submit("/page/1")
    for service in SHARDS[:3]:
        harness.reply(*harness.find_sends(service))
    harness.advance_to(harness.now + 0.1)
    first, second = harness.find_sends("shard-3")
    harness.reply(second)
    assert harness.answers[number].missing == 0
    harness.advance_to(harness.now + 1)
    assert harness.cancelled == [first]


def test_call_that_waits_after_its_hedge_time_does_not_loop():
    """Guards against an endless loop when the hedge time of a call has passed."""
    harness = ForwarderHarness(replicas=2)
    harness.submit("/page/1")
    harness.now += 0.1
    first = harness.find_sends("shard-3")[0]
    harness.core.backends.find("shard-3-0").shed_until = harness.now + 0.05
    harness.core.backends.find("shard-3-1").shed_until = harness.now + 0.05
    harness.fail(first, forwarding.FailureKind.SHED)
    harness.advance_to(harness.now + 5)
    assert not harness.core.open_count


def test_non_idempotent_request_is_not_sent_again_after_it_may_have_run():
    """Guards against a second run of a request that must not be repeated."""
    harness = ForwarderHarness()
    number = harness.submit("/booking/1")
    harness.fail(*harness.find_sends("ledger"), forwarding.FailureKind.CONNECTION_LOST)
    assert not harness.sends
    answer = harness.answers[number]
    assert errors.ANSWERS[answer.kind].run_state is errors.RunState.UNKNOWN


@pytest.mark.parametrize(
    "kind", sorted(forwarding.NOT_RUN_KINDS, key=lambda kind: kind.value)
)
def test_non_idempotent_request_is_retried_if_it_has_not_run(kind):
    """Guards against an error for a request that is safe to retry."""
    harness = ForwarderHarness()
    number = harness.submit("/booking/1")
    first = harness.find_sends("ledger")[0]
    identity = harness.sends[first].identity
    harness.fail(first, kind)
    (second,) = harness.find_sends("ledger")
    assert harness.sends[second].identity != identity
    harness.reply(second)
    assert isinstance(harness.answers[number], forwarding.ForwardedReply)


def test_request_that_no_server_received_is_refused_as_not_run():
    """Guards against an unknown outcome when no server can be reached."""
    harness = ForwarderHarness()
    number = harness.submit("/booking/1")
    while harness.find_sends("ledger"):
        harness.fail(harness.find_sends("ledger")[0], forwarding.FailureKind.NOT_SENT)
    harness.advance_to(harness.now + 1)
    answer = harness.answers[number]
    assert errors.ANSWERS[answer.kind].run_state is errors.RunState.NOT_RUN
    assert answer.retry_after_s > 0


def test_error_reply_of_a_server_is_passed_on_unchanged():
    """Guards against an error of the entry instance in place of the server's reply."""
    harness = ForwarderHarness(replicas=1)
    number = harness.submit("/lookup/1")
    reply = make_reply(b"no", 500)
    harness.reply(*harness.find_sends("ledger"), reply)
    assert harness.answers[number] == forwarding.ForwardedReply(reply)


def test_request_ends_at_the_timeout_of_its_route():
    """Guards against requests that stay open as long as their callers would wait."""
    harness = ForwarderHarness(replicas=1)
    number = harness.submit("/lookup/1", timeout_s=60.0)
    started = harness.now
    harness.advance_to(started + 8.01)
    assert harness.answers[number].kind is errors.ErrorKind.DEADLINE_EXCEEDED
    assert not harness.sends


def test_disconnect_of_the_caller_cancels_its_attempts():
    """Guards against work for callers that have disconnected."""
    harness = ForwarderHarness()
    number = harness.submit("/page/1")
    harness.perform(harness.core.handle_caller_gone(harness.now, number))
    assert not harness.sends
    assert not harness.core.open_count


def test_unknown_path_and_missing_deployment_are_refused():
    """Guards against a wrong error for requests that have no route."""
    harness = ForwarderHarness()
    assert (
        harness.answers[harness.submit("/other/")].kind is errors.ErrorKind.UNKNOWN_PATH
    )
    harness = ForwarderHarness(deployment_in_force=None)
    answer = harness.answers[harness.submit("/page/1")]
    assert answer.kind is errors.ErrorKind.NO_CONFIGURATION


@pytest.mark.parametrize(
    ("path", "left_s", "is_taken"),
    [
        ("/booking/1", 1.0, True),
        ("/booking/1", 0.1, False),
        ("/page/1", 0.15, True),
        ("/page/1", 0.01, False),
        ("/page/1", -1.0, False),
    ],
)
def test_request_that_cannot_end_before_a_stop_is_refused(path, left_s, is_taken):
    """Guards against requests that are passed on and cut when the process ends."""
    harness = ForwarderHarness()
    harness.core.announce_stop(harness.now + left_s)
    number = harness.submit(path)
    assert bool(harness.sends) is is_taken
    if is_taken:
        assert all(send.timeout_s < left_s + 0.001 for send in harness.sends.values())
        harness.advance_to(harness.now + left_s)
    else:
        kind = harness.answers[number].kind
        assert kind is errors.ErrorKind.SHUTTING_DOWN
        assert errors.ANSWERS[kind].run_state is errors.RunState.NOT_RUN
        assert harness.answers[number].retry_after_s > 0
    assert number in harness.answers


def test_path_without_a_route_is_not_unknown_while_a_deployment_is_missing():
    """Guards against 404 for a route that other entry instances have already."""
    evidence = freshness.Evidence(freshness.plan_reads(5.0).ok_value)
    harness = ForwarderHarness(evidence=evidence)
    evidence.record_answer(harness.now, harness.now, False)
    kind = harness.answers[harness.submit("/other/")].kind
    assert kind is errors.ErrorKind.UNKNOWN_PATH
    own = freshness.Position(DEPLOYMENT.version, 0, 1)
    newer_position = freshness.Position(DEPLOYMENT.version + 1, 0, 2)
    newer = freshness.Report(newer_position, 0.0, 1.0)
    evidence.record_reports(harness.now, own, [newer])
    answer = harness.answers[harness.submit("/other/")]
    assert answer.kind is errors.ErrorKind.NOT_CURRENT
    assert answer.retry_after_s >= forwarder.RETRY_AFTER_S
    harness.submit("/page/1")
    assert harness.sends


def test_draining_server_gets_no_new_requests():
    """Guards against requests to servers that are about to stop."""
    harness = ForwarderHarness()
    for service in SHARDS:
        entry = make_entry(f"{service}-0", service)._replace(draining=True)
        harness.core.backends.put(harness.now, entry)
    harness.submit("/page/1")
    assert {send.identity[-1] for send in harness.sends.values()} == {"1"}


def test_shard_whose_servers_are_full_is_waited_for_until_the_objective():
    """Guards against a page that is given up after a quarter of its objective.

    Both servers are at their limit when the page arrives and free before its objective.
    """
    harness = ForwarderHarness(replicas=1)
    backend = harness.core.backends.find("shard-3-0")
    backend.in_flight = 100
    other = harness.core.backends.find("shard-2-0")
    other.in_flight = 100
    number = harness.submit("/page/1")
    for service in SHARDS[:2]:
        harness.reply(*harness.find_sends(service))
    harness.advance_to(harness.now + 0.1)
    assert number not in harness.answers
    backend.in_flight = other.in_flight = 0
    harness.advance_to(harness.now + 0.02)
    for service in SHARDS[2:]:
        harness.reply(*harness.find_sends(service))
    assert harness.answers[number].missing == 0


def test_server_that_sheds_is_chosen_less_often():
    """Guards against a server that is chosen again right after it shed a request."""
    harness = ForwarderHarness()
    first = harness.submit("/lookup/1")
    send = harness.find_sends("ledger")[0]
    shedding = harness.sends[send].identity
    harness.fail(send, forwarding.FailureKind.SHED)
    harness.reply(*harness.find_sends("ledger"))
    assert first in harness.answers
    harness.advance_to(harness.now + 0.2)
    harness.submit("/lookup/2")
    (second,) = harness.find_sends("ledger")
    assert harness.sends[second].identity != shedding


def test_cold_server_gets_its_share_of_requests_only():
    """Guards against entry instances that each send a cold server the whole rate."""
    cold = SERVICES | {"ledger": deployment.Service("ledger", 30, 4.0)}
    harness = ForwarderHarness(
        replicas=1, deployment_in_force=DEPLOYMENT._replace(services=cold)
    )
    sharing = members.Sharing("entry-0", ("entry-0", "entry-1"), 2)
    harness.core.set_sharing(harness.now, sharing)
    entry = make_entry("ledger-0", "ledger")._replace(cold_s=3.0)
    harness.core.backends.put(harness.now, entry)
    sent = 0
    for index in range(20):
        harness.submit("/lookup/1", identity=str(index))
        harness.advance_to(harness.now + 0.1)
        for number in harness.find_sends("ledger"):
            harness.reply(number)
            sent += 1
    assert sent <= 2.0 * 4.0 / 2 + 1


def test_query_without_enough_servers_is_refused_before_any_send():
    """Guards against queries that are sent although they cannot reach the coverage.

    After a restart together with the store, few servers are known. Such queries are
    cut off at their deadline and answered 504.
    """
    harness = ForwarderHarness()
    for service in SHARDS[:2]:
        for index in range(2):
            harness.core.backends.remove(f"{service}-{index}")
    answer = harness.answers[harness.submit("/page/1")]
    assert (answer.kind, harness.sends) == (errors.ErrorKind.NOT_RUN, {})
    assert 0.5 <= answer.retry_after_s <= 1.0


def test_query_whose_servers_are_busy_for_a_moment_is_not_refused():
    """Guards against a refusal while all servers pause after shedding."""
    harness = ForwarderHarness()
    for service in SHARDS:
        for backend in harness.core.backends.list_servers(service):
            backend.shed_until = harness.now + 0.05
    number = harness.submit("/page/1")
    assert number not in harness.answers
    harness.advance_to(harness.now + 0.06)
    assert len(harness.sends) == 4


def test_requests_wait_here_rather_than_at_a_full_server():
    """Guards against more open requests to one server than it has slots and queue for.

    A burst after a restart opens more connections than servers accept.
    """
    harness = ForwarderHarness(replicas=1)
    for index in range(8):
        harness.submit("/lookup/1", identity=f"r-{index}")
    assert len(harness.sends) == 3 + sending.SERVER_QUEUE_MAX
    harness.reply(next(iter(harness.sends)))
    harness.advance_to(harness.now + 0.02)
    assert len(harness.sends) == 3 + sending.SERVER_QUEUE_MAX


def test_hedges_leave_budget_for_retries():
    """Guards against a 502 after a crash because hedges have used up the budget.

    Slow lookups cause many hedges.
    """
    harness = ForwarderHarness(replicas=8, budgets=sending.Budgets(0.2, 10.0, 10.0))
    numbers = [harness.submit("/lookup/1", identity=f"r-{n}") for n in range(12)]
    harness.advance_to(harness.now + 0.9 * LOOKUP.objective_s)
    assert harness.core.counts["hedges_without_budget"] > 0
    failing = harness.submit("/lookup/2", identity="failing")
    harness.fail(max(harness.sends), forwarding.FailureKind.CONNECTION_LOST)
    assert failing not in harness.answers
    assert harness.core.counts["retries"] == 1
    assert not set(numbers) & set(harness.answers)


class RemoteHarness(ForwarderHarness):
    """Forwarder whose shards have no server in its own zone."""

    def __init__(self, peers=1, zones=("nadi",), **values):
        super().__init__(replicas=0, **values)
        self.batches = {}
        self.arrived = set()
        for service in SHARDS:
            for index, zone in enumerate(zones):
                entry = make_entry(f"{service}-{index}", service, zone)
                self.core.backends.put(self.now, entry)
        self.core.set_peers(
            self.now, [make_entry(f"peer-{n}", "nadi", "nadi") for n in range(peers)]
        )

    def perform(self, actions):
        for action in actions:
            if isinstance(action, forwarding.SendBatch):
                self.batches[action.number] = action
        super().perform(
            action
            for action in actions
            if not isinstance(action, forwarding.SendBatch)
            and not (
                isinstance(action, forwarding.Cancel)
                and self.batches.pop(action.number, None)
            )
        )

    def reply_to_batch(
        self,
        number,
        arrived,
        body=b"",
        tried=("shard-x",),
        may_have_arrived=True,
        may_have_run=True,
        pending=False,
    ):
        """Reply to a batch; shards without a reply so far are open."""
        shards = self.batches.pop(number).shards
        self.arrived = {*self.arrived, *arrived}
        reply = forwarding.BatchReply(
            7,
            tuple((index, f"s-{SHARDS[index]}") for index in arrived),
            tuple(
                forwarding.OpenShard(
                    index, tried, may_have_arrived, may_have_run, pending
                )
                for index in range(shards)
                if index not in self.arrived
            ),
            body,
        )
        self.perform(self.core.handle_batch_reply(self.now, number, reply))


def test_shards_in_another_zone_are_sent_as_one_batch():
    """Guards against one request per shard across zones, the largest of all costs."""
    harness = RemoteHarness()
    number = harness.submit("/page/1")
    (delegate,) = harness.batches.values()
    assert (delegate.message.services, harness.sends) == (SHARDS, {})
    assert 0 < delegate.message.wait_s < PAGE.objective_s
    harness.reply_to_batch(delegate.number, range(4), b"b" * 16 + b"a" * 16)
    answer = harness.answers[number]
    assert answer.missing == 0
    assert sorted(answer.signatures) == [f"s-{name}" for name in SHARDS]
    assert answer.body == b"b" * 16 + b"a" * 16


def test_shards_with_a_server_in_the_zone_are_asked_directly():
    """Guards against a detour through another zone."""
    harness = RemoteHarness(zones=("nadi", "ba"))
    harness.submit("/page/1")
    assert (len(harness.batches), len(harness.sends)) == (0, 4)


def test_non_idempotent_queries_are_not_sent_as_batches():
    """Guards against a lost batch that leaves a request with an unknown outcome."""
    route = PAGE._replace(kind=deployment.RequestKind.NON_IDEMPOTENT)
    harness = RemoteHarness(deployment_in_force=DEPLOYMENT._replace(routes=(route,)))
    harness.submit("/page/1")
    assert harness.batches == {}


def test_shard_that_failed_in_a_batch_is_retried_at_another_server():
    """Guards against a partial page after one failure in a batch."""
    harness = RemoteHarness(zones=("nadi", "suva"))
    number = harness.submit("/page/1")
    (batch,) = harness.batches
    harness.reply_to_batch(batch, [0, 1, 2], b"c" * 16, tried=("shard-3-0",))
    (send,) = harness.sends
    assert harness.sends[send].identity == "shard-3-1"
    assert harness.core.counts["retries"] == 1
    harness.reply(send, make_reply(b"d" * 16))
    assert harness.answers[number].body == b"d" * 16 + b"c" * 16


def test_retry_of_a_shard_shed_in_a_batch_takes_budget():
    """Guards against retries over the budget after servers shed shards of batches."""
    harness = ForwarderHarness()
    number = accept_batch_of(harness, ("shard-0",))
    while harness.sends:
        harness.fail(*harness.sends, forwarding.FailureKind.SHED)
    harness.advance_to(harness.now + 0.05)
    (shard,) = harness.answers[number].open
    assert (shard.may_have_arrived, shard.may_have_run) == (True, False)
    origin = RemoteHarness()
    origin.submit("/page/1")
    origin.reply_to_batch(
        *origin.batches, [0, 1, 2], tried=(), may_have_arrived=True, may_have_run=False
    )
    assert origin.core.counts["retries"] == 1


def test_retry_of_a_shard_that_no_server_received_takes_no_budget():
    """Guards against budget spent on first attempts."""
    harness = RemoteHarness()
    harness.submit("/page/1")
    harness.reply_to_batch(
        *harness.batches,
        [0, 1, 2],
        tried=(),
        may_have_arrived=False,
        may_have_run=False,
    )
    assert (len(harness.sends), harness.core.counts["retries"]) == (1, 0)


@pytest.mark.parametrize(
    ("kind", "retries"),
    [
        (forwarding.FailureKind.NOT_SENT, 0),
        (forwarding.FailureKind.SHED, 0),
        (forwarding.FailureKind.CONNECTION_LOST, 4),
    ],
)
def test_shards_of_a_failed_batch_are_asked_directly(kind, retries):
    """Guards against a partial page after the failure of one peer."""
    harness = RemoteHarness()
    number = harness.submit("/page/1")
    (batch,) = harness.batches
    harness.batches.clear()
    failure = forwarding.SendFailure(kind)
    harness.perform(harness.core.handle_batch_failure(harness.now, batch, failure))
    assert harness.core.counts["retries"] == retries
    for send in list(harness.sends):
        harness.reply(send)
    assert harness.answers[number].missing == 0


def test_shards_of_an_unresponsive_peer_are_hedged_before_the_objective():
    """Guards against queries that end late when an entry instance freezes."""
    harness = RemoteHarness(zones=("nadi", "suva"))
    number = harness.submit("/page/1")
    harness.advance_to(harness.now + 0.5 * PAGE.objective_s)
    assert len(harness.sends) == 4
    for send in list(harness.sends):
        harness.reply(send, make_reply(b"e" * 16))
    assert harness.answers[number].missing == 0
    # The next query does not use the unresponsive peer.
    harness.submit("/page/2", identity="r-2")
    assert (len(harness.batches), len(harness.sends)) == (1, 4)


def test_late_batch_reply_replaces_replies_to_direct_attempts():
    """Guards against records of a shard that are merged twice."""
    harness = RemoteHarness(zones=("nadi", "suva"))
    number = harness.submit("/page/1")
    (batch,) = harness.batches
    harness.advance_to(harness.now + 0.5 * PAGE.objective_s)
    for send in list(harness.sends)[:2]:
        harness.reply(send, make_reply(b"e" * 16))
    harness.reply_to_batch(batch, range(4), b"e" * 16)
    answer = harness.answers[number]
    assert (answer.missing, answer.body) == (0, b"e" * 16)
    assert sorted(answer.signatures) == [f"s-{name}" for name in SHARDS]


def test_batch_without_budget_for_hedges_waits_for_its_reply():
    """Guards against shards that are given up when their hedge has no budget."""
    budgets = sending.Budgets(0.0, 0.0, 10.0)
    harness = RemoteHarness(zones=("nadi", "suva"), budgets=budgets)
    number = harness.submit("/page/1")
    harness.advance_to(harness.now + 0.6 * PAGE.objective_s)
    assert (harness.sends, harness.answers) == ({}, {})
    harness.reply_to_batch(*harness.batches, range(4))
    assert harness.answers[number].missing == 0


def test_disconnect_of_the_caller_cancels_its_batches():
    """Guards against batches for callers that have disconnected."""
    harness = RemoteHarness()
    number = harness.submit("/page/1")
    harness.perform(harness.core.handle_caller_gone(harness.now, number))
    assert harness.batches == {}


def test_batch_reply_after_the_answer_is_ignored():
    """Guards against a second answer to one request."""
    harness = RemoteHarness(zones=("nadi", "suva"))
    number = harness.submit("/page/1")
    (batch,) = harness.batches
    harness.advance_to(harness.now + 0.5 * PAGE.objective_s)
    for send in list(harness.sends):
        harness.reply(send)
    assert number in harness.answers
    harness.reply_to_batch(batch, range(4), b"f" * 16)
    assert len(harness.answers) == 1


def test_shard_pending_in_a_batch_is_hedged_and_requested_again():
    """Guards against the loss of replies that arrive just after a batch reply."""
    harness = RemoteHarness(zones=("nadi", "suva"))
    number = harness.submit("/page/1")
    (batch,) = harness.batches
    harness.reply_to_batch(
        batch, [0, 1, 2], b"c" * 16, tried=("shard-3-0",), pending=True
    )
    assert [send.identity for send in harness.sends.values()] == ["shard-3-1"]
    (continuation,) = harness.batches.values()
    assert continuation.message.batch == 7
    assert harness.now + continuation.message.wait_s < 100.0 + PAGE.objective_s
    harness.reply_to_batch(continuation.number, [3], b"d" * 16)
    assert harness.answers[number].body == b"d" * 16 + b"c" * 16
    assert harness.answers[number].missing == 0


def test_batch_gets_no_second_continuation_if_another_server_replied():
    """Guards against continuations for shards whose reply is not needed any more."""
    harness = RemoteHarness(zones=("nadi", "suva"))
    number = harness.submit("/page/1")
    (batch,) = harness.batches
    harness.reply_to_batch(batch, [0, 1], tried=("shard-3-0",), pending=True)
    for send in list(harness.sends):
        harness.reply(send)
    assert harness.answers[number].missing == 0
    (continuation,) = harness.batches
    harness.reply_to_batch(continuation, [], tried=("shard-3-0",), pending=True)
    assert harness.batches == {}


@pytest.mark.parametrize("kind", forwarding.FailureKind)
def test_failed_continuation_does_not_show_that_the_batch_has_not_run(kind):
    """Guards against more runs than the route allows."""
    harness = RemoteHarness(zones=("nadi", "suva"))
    harness.submit("/page/1")
    (batch,) = harness.batches
    harness.reply_to_batch(batch, [0, 1, 2], tried=("shard-3-0",), pending=True)
    (continuation,) = harness.batches
    harness.batches.clear()
    failure = forwarding.SendFailure(kind)
    harness.perform(
        harness.core.handle_batch_failure(harness.now, continuation, failure)
    )
    harness.advance_to(harness.now + 0.1)
    assert len(harness.sends) == 1


def accept_batch_of(harness, services=SHARDS, wait_s=0.05):
    """Accept a batch from a peer; return its number."""
    batch = forwarding.Batch(make_request("/page/1"), services, 3, wait_s, 1.0)
    number, actions = harness.core.accept_batch(harness.now, batch)
    harness.perform(actions)
    return number


def test_batch_is_answered_when_all_shards_have_replied():
    """Guards against batches that always wait for their time limit."""
    harness = ForwarderHarness()
    number = accept_batch_of(harness)
    assert len(harness.sends) == 4
    for send in list(harness.sends):
        identity = harness.sends[send].identity
        harness.reply(
            send, make_reply(identity[-3:-2].encode() * 16, signature=identity)
        )
    batch_reply = harness.answers[number]
    assert [index for index, _ in batch_reply.arrived] == [0, 1, 2, 3]
    assert (batch_reply.open, len(batch_reply.body)) == ((), 48)


def accept_continuation_of(harness, number, identity="r-1", wait_s=0.05):
    """Accept a continuation of a batch; return the number of the answer."""
    continuation = forwarding.BatchContinuation(number, identity, wait_s)
    harness.answers.pop(number, None)
    answered, actions = harness.core.accept_continuation(harness.now, continuation)
    harness.perform(actions)
    return answered


def test_continuation_returns_only_new_replies():
    """Guards against records of a shard that are returned and merged twice."""
    harness = ForwarderHarness()
    number = accept_batch_of(harness)
    for service in SHARDS[:3]:
        harness.reply(*harness.find_sends(service), make_reply(b"a" * 16))
    harness.advance_to(harness.now + 0.05)
    first = harness.answers[number]
    assert (len(first.arrived), [shard.pending for shard in first.open]) == (3, [True])
    assert accept_continuation_of(harness, number) == number
    harness.reply(*harness.find_sends("shard-3"), make_reply(b"b" * 16, signature="s3"))
    continuation = harness.answers[number]
    assert (continuation.arrived, continuation.open, continuation.body) == (
        ((3, "s3"),),
        (),
        b"b" * 16,
    )
    assert harness.core.open_count == 0


@pytest.mark.parametrize("path", ["/page/1", "/lookup/1", "/booking/1"])
def test_server_that_is_silent_for_a_while_keeps_its_running_work(path):
    """Guards against work that is started again or given up with its registration."""
    harness = ForwarderHarness(replicas=1)
    number = harness.submit(path)
    sends = dict(harness.sends)
    for send in sends.values():
        harness.core.backends.remove(send.identity)
    harness.advance_to(harness.now + 0.1)
    assert harness.sends == sends
    for send in sends:
        harness.reply(send)
    answer = harness.answers[number]
    assert isinstance(answer, forwarding.MergedReply | forwarding.ForwardedReply)


def test_shard_given_back_by_a_batch_is_not_sent_afterwards():
    """Guards against a shard that also runs where its caller's instance sent it."""
    harness = ForwarderHarness()
    for server in harness.core.backends.list_servers("shard-3"):
        server.shed_until = harness.now + 0.1
    number = accept_batch_of(harness)
    for service in SHARDS[:2]:
        harness.reply(*harness.find_sends(service), make_reply(b"a" * 16))
    harness.advance_to(harness.now + 0.05)
    pending = {one.index: one.pending for one in harness.answers[number].open}
    assert pending == {2: True, 3: False}
    accept_continuation_of(harness, number, wait_s=0.4)
    harness.advance_to(harness.now + 0.3)
    assert harness.find_sends("shard-3") == []


def test_replies_before_the_continuation_are_returned_at_once():
    """Guards against the loss of replies between a batch reply and its continuation."""
    harness = ForwarderHarness()
    number = accept_batch_of(harness)
    harness.advance_to(harness.now + 0.05)
    for send in list(harness.sends):
        harness.reply(send)
    accept_continuation_of(harness, number)
    assert len(harness.answers[number].arrived) == 4


@pytest.mark.parametrize("identity", ["r-1", "r-2"])
def test_continuation_of_an_unknown_batch_is_refused(identity):
    """Guards against replies that belong to another request."""
    harness = ForwarderHarness()
    number = accept_batch_of(harness)
    if identity == "r-2":
        harness.advance_to(harness.now + 0.05)
    answered = accept_continuation_of(harness, number, identity)
    assert answered != number
    assert harness.answers[answered].kind is errors.ErrorKind.OUTCOME_UNKNOWN


def test_batch_without_a_continuation_ends():
    """Guards against batches that stay open when the peer has gone."""
    harness = ForwarderHarness()
    accept_batch_of(harness)
    harness.advance_to(harness.now + 0.05 + sending.GRACE_PERIOD_S)
    assert (harness.sends, harness.core.open_count) == ({}, 0)


def test_batch_is_answered_in_time_without_retries_or_hedges():
    """Guards against retries by both entry instances, over the budget and the route."""
    harness = ForwarderHarness()
    number = accept_batch_of(harness)
    (failing,) = harness.find_sends("shard-1")
    tried = harness.sends[failing].identity
    harness.fail(failing, forwarding.FailureKind.CONNECTION_LOST)
    harness.reply(*harness.find_sends("shard-0"))
    harness.advance_to(harness.now + 0.05)
    batch_reply = harness.answers[number]
    assert [index for index, _ in batch_reply.arrived] == [0]
    assert forwarding.OpenShard(1, (tried,), True, True, False) in batch_reply.open
    assert len(batch_reply.open) == 3
    assert harness.core.counts["retries"] == harness.core.counts["hedges"] == 0


def test_batch_with_an_unknown_shard_returns_the_others():
    """Guards against a failed batch when instances have different deployments."""
    harness = ForwarderHarness()
    number = accept_batch_of(harness, ("shard-0", "other"))
    harness.reply(*harness.find_sends("shard-0"))
    batch_reply = harness.answers[number]
    assert batch_reply.open == (forwarding.OpenShard(1, (), False, False, False),)


def test_batch_before_any_deployment_is_refused():
    """Guards against a crash of an instance that has just started."""
    harness = ForwarderHarness(deployment_in_force=None)
    answer = harness.answers[accept_batch_of(harness)]
    assert answer.kind is errors.ErrorKind.NO_CONFIGURATION


@pytest.mark.parametrize(
    ("path", "ratio", "reason"),
    [
        ("/booking/1", 0.2, "1 runs are allowed"),
        ("/lookup/1", 0.0, "no budget for a resend"),
    ],
)
def test_log_says_why_a_failed_request_was_not_retried(path, ratio, reason):
    """Guards against failed requests whose cause is not in the log."""
    harness = ForwarderHarness(budgets=sending.Budgets(ratio, 50.0 * ratio, 10.0))
    harness.submit(path)
    harness.fail(*harness.sends, forwarding.FailureKind.CONNECTION_LOST)
    (entry,) = harness.log_entries
    (text,) = entry.values["unusual"]
    assert text.endswith(f"cut, {reason}")


def test_log_says_that_no_server_was_usable():
    """Guards against failed requests whose cause is not in the log."""
    harness = ForwarderHarness(replicas=0)
    harness.submit("/lookup/1")
    (entry,) = harness.log_entries
    assert entry.values["unusual"] == ["ledger: no usable server"]


def test_runs_in_a_batch_count_as_attempts():
    """Guards against more runs than the route allows."""
    harness = RemoteHarness(zones=("nadi", "suva", "suva"))
    harness.submit("/page/1")
    (batch,) = harness.batches
    harness.reply_to_batch(batch, [0, 1, 2], tried=("shard-3-0",), pending=True)
    (continuation,) = harness.batches
    harness.batches.clear()
    harness.fail(*harness.sends, forwarding.FailureKind.CONNECTION_LOST)
    failure = forwarding.SendFailure(forwarding.FailureKind.NOT_SENT)
    harness.perform(
        harness.core.handle_batch_failure(harness.now, continuation, failure)
    )
    harness.advance_to(harness.now + 0.1)
    assert harness.sends == {}
    second = RemoteHarness(zones=("nadi", "suva", "suva"))
    second.submit("/page/1")
    (batch,) = second.batches
    second.batches.clear()
    failure = forwarding.SendFailure(forwarding.FailureKind.CONNECTION_LOST)
    second.perform(second.core.handle_batch_failure(second.now, batch, failure))
    while second.sends:
        second.fail(next(iter(second.sends)), forwarding.FailureKind.CONNECTION_LOST)
    second.advance_to(second.now + 0.1)
    assert second.sends == {}
