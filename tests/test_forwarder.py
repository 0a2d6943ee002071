"""Tests of the core of the forwarding interface."""

import pytest

from acacialatch import backends, deployment, errors, forwarder, forwarding

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
DEPLOYED = deployment.Deployment(
    1, (PAGE, LOOKUP, BOOKING), SERVICES, deployment.CallerLimits()
)
WALK_STEPS_MAX = 10_000


def make_entry(identity, service, zone="ba"):
    address = f"127.0.0.1:{7000 + sum(identity.encode()) % 1000}"
    return backends.Entry(identity, service, address, zone, 3, False, 0.0)


def make_request(path, identity="r-1", timeout_s=2.0):
    return forwarding.Request(
        identity, "search.example", "GET", path, path, (), b"", timeout_s
    )


def make_reply(body=b"", status=200, signature="s"):
    return forwarding.Reply(status, signature, (), body)


class World:
    """A forwarder with a clock and its open sends."""

    def __init__(self, replicas=2, budgets=None, deployed=DEPLOYED):
        budgets = budgets or forwarder.Budgets(0.2, 50.0, 10.0)
        self.core = forwarder.Forwarder("ba", budgets, 1)
        self.now = 100.0
        self.sends = {}
        self.answers = {}
        self.notes = []
        self.cancelled = []
        if deployed is not None:
            self.core.apply_deployment(deployed)
        for service in (*SHARDS, "ledger"):
            for index in range(replicas):
                entry = make_entry(f"{service}-{index}", service)
                self.core.backends.put(self.now, entry)

    def take(self, actions):
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
                    self.notes.append(action)

    def ask(self, path, **values):
        number, actions = self.core.accept(self.now, make_request(path, **values))
        self.take(actions)
        return number

    def reply(self, number, reply=None):
        del self.sends[number]
        reply = make_reply() if reply is None else reply
        self.take(self.core.handle_reply(self.now, number, reply))

    def fail(self, number, kind):
        del self.sends[number]
        failure = forwarding.SendFailure(kind)
        self.take(self.core.handle_failure(self.now, number, failure))

    def walk(self, until):
        """Let time pass, with each timer at its time."""
        for _ in range(WALK_STEPS_MAX):
            at = self.core.next_time()
            if at > until:
                self.now = until
                return
            self.now = max(self.now, at)
            self.take(self.core.handle_timers(self.now))
        pytest.fail("timers do not make progress")

    def find(self, service):
        """Return the open sends to the servers of a service."""
        return [
            number
            for number, send in self.sends.items()
            if send.identity.startswith(service)
        ]


def test_whole_page_is_answered_at_once():
    world = World()
    number = world.ask("/page/1")
    for index, send in enumerate(list(world.sends)):
        body = bytes([index]) * 16 + bytes([9 - index]) * 16
        world.reply(send, make_reply(body, signature=f"s{index}"))
    answer = world.answers[number]
    assert answer.missing == 0
    assert set(answer.signatures) == {"s0", "s1", "s2", "s3"}
    assert answer.body == b"".join(bytes([n]) * 16 for n in (9, 8, 7))


def test_page_above_the_floor_is_answered_before_the_objective():
    world = World(replicas=1)
    number = world.ask("/page/1")
    for service in SHARDS[:3]:
        world.reply(*world.find(service))
    assert number not in world.answers
    world.walk(world.now + 0.2)
    assert world.answers[number].missing == 1


def test_page_below_the_floor_fails_without_a_promise():
    """Guards against a refusal that says "not run" after shards have run."""
    world = World(replicas=1)
    number = world.ask("/page/1")
    for service in SHARDS[:2]:
        world.reply(*world.find(service))
    for service in SHARDS[2:]:
        world.fail(*world.find(service), forwarding.FailureKind.CONNECTION_LOST)
    answer = world.answers[number]
    assert answer == forwarding.ErrorReply(errors.ErrorKind.COVERAGE_BELOW_FLOOR)


def test_slow_shard_is_hedged_and_the_first_reply_counts():
    world = World()
    number = world.ask("/page/1")
    for service in SHARDS[:3]:
        world.reply(*world.find(service))
    world.walk(world.now + 0.1)
    first, second = world.find("shard-3")
    world.reply(second)
    assert world.answers[number].missing == 0
    world.walk(world.now + 1)
    assert world.cancelled == [first]


def test_leg_that_waits_after_its_hedge_time_keeps_timers_going():
    """A hedge time in the past once kept the process busy for ever."""
    world = World(replicas=2)
    world.ask("/page/1")
    world.now += 0.1
    first = world.find("shard-3")[0]
    world.core.backends.find("shard-3-0").shed_until = world.now + 0.05
    world.core.backends.find("shard-3-1").shed_until = world.now + 0.05
    world.fail(first, forwarding.FailureKind.SHED)
    world.walk(world.now + 5)
    assert not world.core.open_count


def test_non_idempotent_request_is_not_sent_again_after_it_may_have_run():
    world = World()
    number = world.ask("/booking/1")
    world.fail(*world.find("ledger"), forwarding.FailureKind.CONNECTION_LOST)
    assert not world.sends
    answer = world.answers[number]
    assert errors.ANSWERS[answer.kind].run_state is errors.RunState.UNKNOWN


@pytest.mark.parametrize(
    "kind", sorted(forwarding.NOT_RUN_KINDS, key=lambda kind: kind.value)
)
def test_non_idempotent_request_goes_elsewhere_if_it_has_not_run(kind):
    world = World()
    number = world.ask("/booking/1")
    first = world.find("ledger")[0]
    identity = world.sends[first].identity
    world.fail(first, kind)
    (second,) = world.find("ledger")
    assert world.sends[second].identity != identity
    world.reply(second)
    assert isinstance(world.answers[number], forwarding.ForwardedReply)


def test_request_that_no_server_took_is_refused_as_not_run():
    world = World()
    number = world.ask("/booking/1")
    while world.find("ledger"):
        world.fail(world.find("ledger")[0], forwarding.FailureKind.NOT_SENT)
    world.walk(world.now + 1)
    answer = world.answers[number]
    assert errors.ANSWERS[answer.kind].run_state is errors.RunState.NOT_RUN
    assert answer.retry_after_s > 0


def test_failure_of_a_server_is_passed_on_unchanged():
    world = World(replicas=1)
    number = world.ask("/lookup/1")
    reply = make_reply(b"no", 500)
    world.reply(*world.find("ledger"), reply)
    assert world.answers[number] == forwarding.ForwardedReply(reply)


def test_request_ends_at_the_timeout_of_its_route():
    world = World(replicas=1)
    number = world.ask("/lookup/1", timeout_s=60.0)
    started = world.now
    world.walk(started + 8.01)
    assert world.answers[number].kind is errors.ErrorKind.DEADLINE_EXCEEDED
    assert not world.sends


def test_caller_that_leaves_ends_the_work_of_its_request():
    world = World()
    number = world.ask("/page/1")
    world.take(world.core.handle_caller_gone(world.now, number))
    assert not world.sends
    assert not world.core.open_count


def test_unknown_path_and_missing_deployment_are_refused():
    world = World()
    assert world.answers[world.ask("/other/")].kind is errors.ErrorKind.UNKNOWN_PATH
    world = World(deployed=None)
    answer = world.answers[world.ask("/page/1")]
    assert answer.kind is errors.ErrorKind.NO_CONFIGURATION


def test_draining_server_gets_no_new_work():
    world = World()
    for service in SHARDS:
        entry = make_entry(f"{service}-0", service)._replace(draining=True)
        world.core.backends.put(world.now, entry)
    world.ask("/page/1")
    assert {send.identity[-1] for send in world.sends.values()} == {"1"}


def test_shard_whose_servers_are_full_is_waited_for_until_the_objective():
    """A page that had most shards was given up after a quarter of its objective."""
    world = World(replicas=1)
    backend = world.core.backends.find("shard-3-0")
    backend.in_flight = 100
    other = world.core.backends.find("shard-2-0")
    other.in_flight = 100
    number = world.ask("/page/1")
    for service in SHARDS[:2]:
        world.reply(*world.find(service))
    world.walk(world.now + 0.1)
    assert number not in world.answers
    backend.in_flight = other.in_flight = 0
    world.walk(world.now + 0.02)
    for service in SHARDS[2:]:
        world.reply(*world.find(service))
    assert world.answers[number].missing == 0


def test_server_that_sheds_is_chosen_less_often():
    world = World()
    first = world.ask("/lookup/1")
    send = world.find("ledger")[0]
    shedding = world.sends[send].identity
    world.fail(send, forwarding.FailureKind.SHED)
    world.reply(*world.find("ledger"))
    assert first in world.answers
    world.walk(world.now + 0.2)
    world.ask("/lookup/2")
    (again,) = world.find("ledger")
    assert world.sends[again].identity != shedding


def test_cold_server_gets_its_share_of_requests_only():
    """Guards against entry instances that each send what all may send together."""
    cold = SERVICES | {"ledger": deployment.Service("ledger", 30, 4.0)}
    world = World(replicas=1, deployed=DEPLOYED._replace(services=cold))
    world.core.set_instances(2)
    entry = make_entry("ledger-0", "ledger")._replace(cold_s=3.0)
    world.core.backends.put(world.now, entry)
    sent = 0
    for index in range(20):
        world.ask("/lookup/1", identity=str(index))
        world.walk(world.now + 0.1)
        for number in world.find("ledger"):
            world.reply(number)
            sent += 1
    assert sent <= 2.0 * 4.0 / 2 + 1


def test_query_without_enough_servers_is_refused_before_any_send():
    """After a restart with the store, queries were sent, cut off and answered 504."""
    world = World()
    for service in SHARDS[:2]:
        for index in range(2):
            world.core.backends.remove(f"{service}-{index}")
    answer = world.answers[world.ask("/page/1")]
    assert (answer.kind, world.sends) == (errors.ErrorKind.NOT_RUN, {})
    assert 0.5 <= answer.retry_after_s <= 1.0


def test_query_whose_servers_are_busy_for_a_moment_is_not_refused():
    world = World()
    for service in SHARDS:
        for backend in world.core.backends.list_servers(service):
            backend.shed_until = world.now + 0.05
    number = world.ask("/page/1")
    assert number not in world.answers
    world.walk(world.now + 0.06)
    assert len(world.sends) == 4


def test_requests_wait_here_rather_than_at_a_full_server():
    """After a restart each instance once opened more connections than servers take."""
    world = World(replicas=1)
    for index in range(8):
        world.ask("/lookup/1", identity=f"r-{index}")
    assert len(world.sends) == 3 + forwarder.QUEUE_MAX
    world.reply(next(iter(world.sends)))
    world.walk(world.now + 0.02)
    assert len(world.sends) == 3 + forwarder.QUEUE_MAX


def test_hedges_leave_budget_for_requests_that_failed():
    """Hedges of slow lookups once used up the budget, and crashes were answered 502."""
    world = World(replicas=8, budgets=forwarder.Budgets(0.2, 10.0, 10.0))
    numbers = [world.ask("/lookup/1", identity=f"r-{n}") for n in range(12)]
    world.walk(world.now + 0.9 * LOOKUP.objective_s)
    assert world.core.counts["hedges_without_budget"] > 0
    failing = world.ask("/lookup/2", identity="failing")
    world.fail(max(world.sends), forwarding.FailureKind.CONNECTION_LOST)
    assert failing not in world.answers
    assert world.core.counts["retries"] == 1
    assert not set(numbers) & set(world.answers)


class FarWorld(World):
    """A forwarder whose shards all have their servers in another zone."""

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

    def take(self, actions):
        for action in actions:
            if isinstance(action, forwarding.SendBatch):
                self.batches[action.number] = action
        super().take(
            action
            for action in actions
            if not isinstance(action, forwarding.SendBatch)
            and not (
                isinstance(action, forwarding.Cancel)
                and self.batches.pop(action.number, None)
            )
        )

    def gather(
        self,
        number,
        arrived,
        body=b"",
        tried=("shard-x",),
        reached=True,
        run=True,
        pending=False,
    ):
        shards = self.batches.pop(number).shards
        self.arrived = {*self.arrived, *arrived}
        reply = forwarding.BatchReply(
            7,
            tuple((index, f"s-{SHARDS[index]}") for index in arrived),
            tuple(
                forwarding.OpenShard(index, tried, reached, run, pending)
                for index in range(shards)
                if index not in self.arrived
            ),
            body,
        )
        self.take(self.core.handle_batch_reply(self.now, number, reply))


def test_far_shards_are_asked_through_an_instance_of_their_zone():
    """Requests to each shard in another zone once were the largest cost."""
    world = FarWorld()
    number = world.ask("/page/1")
    (delegate,) = world.batches.values()
    assert (delegate.message.services, world.sends) == (SHARDS, {})
    assert 0 < delegate.message.wait_s < PAGE.objective_s
    world.gather(delegate.number, range(4), b"b" * 16 + b"a" * 16)
    answer = world.answers[number]
    assert answer.missing == 0
    assert sorted(answer.signatures) == [f"s-{name}" for name in SHARDS]
    assert answer.body == b"b" * 16 + b"a" * 16


def test_near_shards_are_asked_directly():
    world = FarWorld(zones=("nadi", "ba"))
    world.ask("/page/1")
    assert (len(world.batches), len(world.sends)) == (0, 4)


def test_requests_that_may_not_be_repeated_are_asked_directly():
    route = PAGE._replace(kind=deployment.RequestKind.NON_IDEMPOTENT)
    world = FarWorld(deployed=DEPLOYED._replace(routes=(route,)))
    world.ask("/page/1")
    assert world.batches == {}


def test_shard_that_a_batch_left_open_is_sent_to_another_server():
    world = FarWorld(zones=("nadi", "suva"))
    number = world.ask("/page/1")
    (batch,) = world.batches
    world.gather(batch, [0, 1, 2], b"c" * 16, tried=("shard-3-0",))
    (send,) = world.sends
    assert world.sends[send].identity == "shard-3-1"
    assert world.core.counts["retries"] == 1
    world.reply(send, make_reply(b"d" * 16))
    assert world.answers[number].body == b"d" * 16 + b"c" * 16


def test_shard_that_a_server_shed_takes_a_resend():
    """On pbc-search scale-1 sheds in batches once overran the budget of resends."""
    world = World()
    number = take_batch(world, ("shard-0",))
    while world.sends:
        world.fail(*world.sends, forwarding.FailureKind.SHED)
    world.walk(world.now + 0.05)
    (shard,) = world.answers[number].open
    assert (shard.reached, shard.may_have_run) == (True, False)
    origin = FarWorld()
    origin.ask("/page/1")
    origin.gather(*origin.batches, [0, 1, 2], tried=(), reached=True, run=False)
    assert origin.core.counts["retries"] == 1


def test_shard_that_no_server_got_takes_no_resend():
    world = FarWorld()
    world.ask("/page/1")
    world.gather(*world.batches, [0, 1, 2], tried=(), reached=False, run=False)
    assert (len(world.sends), world.core.counts["retries"]) == (1, 0)


@pytest.mark.parametrize(
    ("kind", "retries"),
    [
        (forwarding.FailureKind.NOT_SENT, 0),
        (forwarding.FailureKind.SHED, 0),
        (forwarding.FailureKind.CONNECTION_LOST, 4),
    ],
)
def test_failed_batch_is_sent_directly(kind, retries):
    world = FarWorld()
    number = world.ask("/page/1")
    (batch,) = world.batches
    world.batches.clear()
    failure = forwarding.SendFailure(kind)
    world.take(world.core.handle_batch_failure(world.now, batch, failure))
    assert world.core.counts["retries"] == retries
    for send in list(world.sends):
        world.reply(send)
    assert world.answers[number].missing == 0


def test_silent_instance_is_replaced_before_the_objective():
    """Guards against queries that end late when an entry instance freezes."""
    world = FarWorld(zones=("nadi", "suva"))
    number = world.ask("/page/1")
    world.walk(world.now + 0.5 * PAGE.objective_s)
    assert len(world.sends) == 4
    for send in list(world.sends):
        world.reply(send, make_reply(b"e" * 16))
    assert world.answers[number].missing == 0
    # The next query does not wait for it.
    world.ask("/page/2", identity="r-2")
    assert (len(world.batches), len(world.sends)) == (1, 4)


def test_late_batch_replaces_replies_to_direct_sends():
    """Guards against records of a shard that are merged twice."""
    world = FarWorld(zones=("nadi", "suva"))
    number = world.ask("/page/1")
    (batch,) = world.batches
    world.walk(world.now + 0.5 * PAGE.objective_s)
    for send in list(world.sends)[:2]:
        world.reply(send, make_reply(b"e" * 16))
    world.gather(batch, range(4), b"e" * 16)
    answer = world.answers[number]
    assert (answer.missing, answer.body) == (0, b"e" * 16)
    assert sorted(answer.signatures) == [f"s-{name}" for name in SHARDS]


def test_batch_without_budget_for_resends_waits_for_the_reply():
    budgets = forwarder.Budgets(0.0, 0.0, 10.0)
    world = FarWorld(zones=("nadi", "suva"), budgets=budgets)
    number = world.ask("/page/1")
    world.walk(world.now + 0.6 * PAGE.objective_s)
    assert (world.sends, world.answers) == ({}, {})
    world.gather(*world.batches, range(4))
    assert world.answers[number].missing == 0


def test_caller_that_leaves_cancels_its_batches():
    world = FarWorld()
    number = world.ask("/page/1")
    world.take(world.core.handle_caller_gone(world.now, number))
    assert world.batches == {}


def test_reply_to_a_batch_of_an_answered_request_is_dropped():
    world = FarWorld(zones=("nadi", "suva"))
    number = world.ask("/page/1")
    (batch,) = world.batches
    world.walk(world.now + 0.5 * PAGE.objective_s)
    for send in list(world.sends):
        world.reply(send)
    assert number in world.answers
    world.gather(batch, range(4), b"f" * 16)
    assert len(world.answers) == 1


def test_shard_that_is_pending_in_a_batch_is_hedged_and_asked_for_again():
    """On pbc-search replies just after the first reply to a batch once were lost."""
    world = FarWorld(zones=("nadi", "suva"))
    number = world.ask("/page/1")
    (batch,) = world.batches
    world.gather(batch, [0, 1, 2], b"c" * 16, tried=("shard-3-0",), pending=True)
    assert [send.identity for send in world.sends.values()] == ["shard-3-1"]
    (rest,) = world.batches.values()
    assert rest.message.batch == 7
    assert world.now + rest.message.wait_s < 100.0 + PAGE.objective_s
    world.gather(rest.number, [3], b"d" * 16)
    assert world.answers[number].body == b"d" * 16 + b"c" * 16
    assert world.answers[number].missing == 0


def test_rest_of_a_batch_is_not_asked_for_if_another_server_replied():
    world = FarWorld(zones=("nadi", "suva"))
    number = world.ask("/page/1")
    (batch,) = world.batches
    world.gather(batch, [0, 1], tried=("shard-3-0",), pending=True)
    for send in list(world.sends):
        world.reply(send)
    assert world.answers[number].missing == 0
    (rest,) = world.batches
    world.gather(rest, [], tried=("shard-3-0",), pending=True)
    assert world.batches == {}


@pytest.mark.parametrize("kind", forwarding.FailureKind)
def test_failed_question_for_the_rest_is_no_promise_about_the_batch(kind):
    """Guards against more runs than the route allows."""
    world = FarWorld(zones=("nadi", "suva"))
    world.ask("/page/1")
    (batch,) = world.batches
    world.gather(batch, [0, 1, 2], tried=("shard-3-0",), pending=True)
    (rest,) = world.batches
    world.batches.clear()
    failure = forwarding.SendFailure(kind)
    world.take(world.core.handle_batch_failure(world.now, rest, failure))
    world.walk(world.now + 0.1)
    assert len(world.sends) == 1


def take_batch(world, services=SHARDS, wait_s=0.05):
    batch = forwarding.Batch(make_request("/page/1"), services, 3, wait_s, 1.0)
    number, actions = world.core.accept_batch(world.now, batch)
    world.take(actions)
    return number


def test_batch_is_gathered_when_all_shards_are_in():
    world = World()
    number = take_batch(world)
    assert len(world.sends) == 4
    for send in list(world.sends):
        identity = world.sends[send].identity
        world.reply(send, make_reply(identity[-3:-2].encode() * 16, signature=identity))
    gathered = world.answers[number]
    assert [index for index, _ in gathered.arrived] == [0, 1, 2, 3]
    assert (gathered.open, len(gathered.body)) == ((), 48)


def take_rest(world, number, identity="r-1", wait_s=0.05):
    rest = forwarding.BatchContinuation(number, identity, wait_s)
    world.answers.pop(number, None)
    answered, actions = world.core.accept_continuation(world.now, rest)
    world.take(actions)
    return answered


def test_rest_of_a_batch_holds_only_what_is_new():
    world = World()
    number = take_batch(world)
    for service in SHARDS[:3]:
        world.reply(*world.find(service), make_reply(b"a" * 16))
    world.walk(world.now + 0.05)
    first = world.answers[number]
    assert (len(first.arrived), [shard.pending for shard in first.open]) == (3, [True])
    assert take_rest(world, number) == number
    world.reply(*world.find("shard-3"), make_reply(b"b" * 16, signature="s3"))
    rest = world.answers[number]
    assert (rest.arrived, rest.open, rest.body) == (((3, "s3"),), (), b"b" * 16)
    assert world.core.open_count == 0


def test_rest_that_came_in_between_is_returned_at_once():
    world = World()
    number = take_batch(world)
    world.walk(world.now + 0.05)
    for send in list(world.sends):
        world.reply(send)
    take_rest(world, number)
    assert len(world.answers[number].arrived) == 4


@pytest.mark.parametrize("identity", ["r-1", "r-2"])
def test_rest_of_an_unknown_batch_is_refused(identity):
    """Guards against the replies to another request."""
    world = World()
    number = take_batch(world)
    if identity == "r-2":
        world.walk(world.now + 0.05)
    answered = take_rest(world, number, identity)
    assert answered != number
    assert world.answers[answered].kind is errors.ErrorKind.OUTCOME_UNKNOWN


def test_batch_whose_rest_is_not_asked_for_ends():
    world = World()
    take_batch(world)
    world.walk(world.now + 0.05 + forwarder.LINGER_S)
    assert (world.sends, world.core.open_count) == ({}, 0)


def test_batch_is_gathered_in_time_and_sends_nothing_twice():
    world = World()
    number = take_batch(world)
    (failing,) = world.find("shard-1")
    tried = world.sends[failing].identity
    world.fail(failing, forwarding.FailureKind.CONNECTION_LOST)
    world.reply(*world.find("shard-0"))
    world.walk(world.now + 0.05)
    gathered = world.answers[number]
    assert [index for index, _ in gathered.arrived] == [0]
    assert forwarding.OpenShard(1, (tried,), True, True, False) in gathered.open
    assert len(gathered.open) == 3
    assert world.core.counts["retries"] == world.core.counts["hedges"] == 0


def test_batch_with_an_unknown_shard_gathers_the_others():
    world = World()
    number = take_batch(world, ("shard-0", "other"))
    world.reply(*world.find("shard-0"))
    gathered = world.answers[number]
    assert gathered.open == (forwarding.OpenShard(1, (), False, False, False),)


def test_batch_before_any_deployment_is_refused():
    world = World(deployed=None)
    answer = world.answers[take_batch(world)]
    assert answer.kind is errors.ErrorKind.NO_CONFIGURATION


@pytest.mark.parametrize(
    ("path", "ratio", "reason"),
    [
        ("/booking/1", 0.2, "1 runs are allowed"),
        ("/lookup/1", 0.0, "no budget for a resend"),
    ],
)
def test_log_says_why_a_failed_request_was_not_repeated(path, ratio, reason):
    world = World(budgets=forwarder.Budgets(ratio, 50.0 * ratio, 10.0))
    world.ask(path)
    world.fail(*world.sends, forwarding.FailureKind.CONNECTION_LOST)
    (note,) = world.notes
    (text,) = note.values["unusual"]
    assert text.endswith(f"cut, {reason}")


def test_log_says_that_no_server_was_usable():
    world = World(replicas=0)
    world.ask("/lookup/1")
    (note,) = world.notes
    assert note.values["unusual"] == ["ledger: no usable server"]


def test_runs_through_a_batch_count_as_attempts():
    """Guards against more runs than the route allows."""
    world = FarWorld(zones=("nadi", "suva", "suva"))
    world.ask("/page/1")
    (batch,) = world.batches
    world.gather(batch, [0, 1, 2], tried=("shard-3-0",), pending=True)
    (rest,) = world.batches
    world.batches.clear()
    world.fail(*world.sends, forwarding.FailureKind.CONNECTION_LOST)
    failure = forwarding.SendFailure(forwarding.FailureKind.NOT_SENT)
    world.take(world.core.handle_batch_failure(world.now, rest, failure))
    world.walk(world.now + 0.1)
    assert world.sends == {}
    again = FarWorld(zones=("nadi", "suva", "suva"))
    again.ask("/page/1")
    (batch,) = again.batches
    again.batches.clear()
    failure = forwarding.SendFailure(forwarding.FailureKind.CONNECTION_LOST)
    again.take(again.core.handle_batch_failure(again.now, batch, failure))
    while again.sends:
        again.fail(next(iter(again.sends)), forwarding.FailureKind.CONNECTION_LOST)
    again.walk(again.now + 0.1)
    assert again.sends == {}
