"""Model checks of batches between entry instances, without a network."""

import collections

import hypothesis
import pytest
from hypothesis import stateful, strategies

from acacialatch import backends, deployment, forwarder, forwarding, merging

ZONES = ("ba", "nadi", "suva")
SHARDS = tuple(f"shard-{number}" for number in range(9))
RECORDS_MAX = 5
PAGE = deployment.Route(
    "page",
    "search.example",
    "/page/",
    deployment.RequestKind.IDEMPOTENT,
    1.0,
    0.2,
    1,
    2,
    deployment.ShardTarget(SHARDS, RECORDS_MAX, 0.6),
)
DEPLOYED = deployment.Deployment(
    1,
    (PAGE,),
    {name: deployment.Service(name, 40, 0.0) for name in SHARDS},
    deployment.CallerLimits(),
)
BUDGETS = forwarder.Budgets(0.2, 20.0, 10.0)
STEPS_MAX = 2_000


def make_records(service):
    number = SHARDS.index(service)
    return b"".join(bytes([50 * part + number]) * 16 for part in range(3))


class Fleet(stateful.RuleBasedStateMachine):
    """An entry instance in each zone; their messages are late, lost or doubled up."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.cores = {
            zone: forwarder.Forwarder(zone, BUDGETS, index)
            for index, zone in enumerate(ZONES)
        }
        self.sends = {}
        self.batches = {}
        # Batches and questions for their rest that an instance has to answer.
        self.handled = {}
        self.asked = {}
        self.runs = collections.Counter()
        self.arrivals = collections.Counter()
        for zone, core in self.cores.items():
            core.set_instances(len(ZONES))
            core.apply_deployment(DEPLOYED)
            for index, service in enumerate(SHARDS):
                where = ZONES[index % len(ZONES)]
                for replica in "ab":
                    identity = f"{service}@{where}-{replica}"
                    core.backends.put(self.now, make_entry(identity, service, where))
            core.set_peers(
                self.now,
                [make_entry(one, one, one) for one in ZONES if one != zone],
            )

    def take(self, zone, actions):
        for action in actions:
            match action:
                case forwarding.Send():
                    self.sends[zone, action.number] = action
                case forwarding.SendBatch():
                    self.batches[zone, action.number] = action
                case forwarding.Cancel():
                    key = (zone, action.number)
                    self.sends.pop(key, None)
                    if self.batches.pop(key, None) is not None:
                        self.drop_handler(key)
                case forwarding.Respond():
                    self.respond(zone, action)

    def drop_handler(self, key):
        for (zone, number), origin in list(self.handled.items()):
            if origin == key:
                del self.handled[zone, number]
                self.take(zone, self.cores[zone].handle_caller_gone(self.now, number))

    def respond(self, zone, action):
        origin = self.handled.pop((zone, action.exchange), None)
        if origin is not None:
            self.return_batch(origin, action.answer)
            return
        identity = self.asked.pop((zone, action.exchange), None)
        if identity is not None and isinstance(action.answer, forwarding.MergedReply):
            self.check_answer(action.answer, identity)

    def return_batch(self, origin, answer):
        zone, number = origin
        if self.batches.pop(origin, None) is None:
            return
        core = self.cores[zone]
        if isinstance(answer, forwarding.BatchReply):
            self.take(zone, core.handle_batch_reply(self.now, number, answer))
        else:
            failure = forwarding.SendFailure(forwarding.FailureKind.CONNECTION_LOST)
            self.take(zone, core.handle_batch_failure(self.now, number, failure))

    def check_answer(self, answer, identity):
        parts = [signature.split("/") for signature in answer.signatures]
        assert all(request == identity for _, request in parts)
        services = [service for service, _ in parts]
        assert len(set(services)) == len(services)
        assert answer.missing == len(SHARDS) - len(services)
        assert len(services) >= 0.6 * len(SHARDS)
        assert answer.body == merging.merge_records(
            map(make_records, services), RECORDS_MAX
        )

    @stateful.rule(zone=strategies.sampled_from(ZONES))
    def ask(self, zone):
        identity = f"r-{len(self.arrivals)}-{self.now}-{len(self.asked)}"
        request = forwarding.Request(
            identity, "search.example", "GET", "/page/1", "/page/1", (), b"", 0.9
        )
        number, actions = self.cores[zone].accept(self.now, request)
        self.asked[zone, number] = identity
        self.take(zone, actions)

    @stateful.precondition(lambda self: self.sends)
    @stateful.rule(data=strategies.data(), count=strategies.integers(1, 12))
    def end_sends(self, data, count):
        for _ in range(min(count, len(self.sends))):
            key = data.draw(strategies.sampled_from(sorted(self.sends)))
            send = self.sends.pop(key, None)
            if send is None:
                continue
            zone, number = key
            kinds = ["reply"] * 6 + list(forwarding.FailureKind)
            kind = data.draw(strategies.sampled_from(kinds))
            service = send.identity.partition("@")[0]
            request = send.request.identity
            if kind is not forwarding.FailureKind.NOT_SENT:
                self.arrivals[request, service] += 1
            if kind == "reply" or kind not in forwarding.NOT_RUN_KINDS:
                self.runs[request, service] += 1
            core = self.cores[zone]
            if kind == "reply":
                reply = forwarding.Reply(
                    200, f"{service}/{request}", (), make_records(service)
                )
                self.take(zone, core.handle_reply(self.now, number, reply))
            else:
                failure = forwarding.SendFailure(kind)
                self.take(zone, core.handle_failure(self.now, number, failure))

    def list_waiting_batches(self):
        return sorted(set(self.batches) - set(self.handled.values()))

    @stateful.precondition(lambda self: self.list_waiting_batches())
    @stateful.rule(data=strategies.data(), kind=strategies.sampled_from("dddddnlc"))
    def move_batch(self, data, kind):
        """Deliver a batch, refuse it, lose it on the way, or cut its connection."""
        key = data.draw(strategies.sampled_from(self.list_waiting_batches()))
        zone, number = key
        delegate = self.batches[key]
        if kind in "nl":
            del self.batches[key]
            failures = forwarding.FailureKind
            failure = failures.NOT_SENT if kind == "n" else failures.CONNECTION_LOST
            self.take(
                zone,
                self.cores[zone].handle_batch_failure(
                    self.now, number, forwarding.SendFailure(failure)
                ),
            )
            return
        peer = delegate.address
        core = self.cores[peer]
        if isinstance(delegate.message, forwarding.Batch):
            handled, actions = core.accept_batch(self.now, delegate.message)
        else:
            handled, actions = core.accept_continuation(self.now, delegate.message)
        self.handled[peer, handled] = key
        self.take(peer, actions)
        if kind == "c" and key in self.batches:
            del self.batches[key]
            self.drop_handler(key)
            failure = forwarding.SendFailure(forwarding.FailureKind.CONNECTION_LOST)
            self.take(
                zone, self.cores[zone].handle_batch_failure(self.now, number, failure)
            )

    @stateful.rule(step_s=strategies.sampled_from([0.002, 0.03, 0.06, 0.2]))
    def pass_time(self, step_s):
        until = self.now + step_s
        for _ in range(STEPS_MAX):
            at, zone = min(
                (core.next_time(), zone) for zone, core in self.cores.items()
            )
            if at > until:
                break
            self.now = max(self.now, at)
            self.take(zone, self.cores[zone].handle_timers(self.now))
        else:
            pytest.fail("timers do not make progress")
        self.now = until

    @stateful.invariant()
    def runs_stay_within_the_attempts_of_the_route(self):
        assert all(runs <= PAGE.attempts_max for runs in self.runs.values())

    @stateful.invariant()
    def resends_stay_within_the_budget(self):
        requests = len({request for request, _ in self.arrivals})
        bound = BUDGETS.ratio * (requests + len(self.asked)) + BUDGETS.allowance
        for service in SHARDS:
            extra = sum(
                count - 1
                for (_, name), count in self.arrivals.items()
                if name == service
            )
            assert extra <= bound

    def teardown(self):
        for _ in range(8):
            self.pass_time(0.2)
        assert self.asked == {}
        for core in self.cores.values():
            assert core.open_count == 0


def make_entry(identity, service, zone):
    return backends.Entry(identity, service, zone, zone, 4, False, 0.0)


Fleet.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
TestFleet = Fleet.TestCase
