"""Model-based test of batches between entry instances, without a network.

A state machine submits queries, delivers, delays and loses messages in any order, and
checks each answer, the attempts of the route and the resend budget.
"""

import collections

import hypothesis
import pytest
from hypothesis import stateful, strategies

from acacialatch import (
    backends,
    deployment,
    forwarder,
    forwarding,
    members,
    merging,
    sending,
)

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
DEPLOYMENT = deployment.Deployment(
    1,
    (PAGE,),
    {name: deployment.Service(name, 40, 0.0) for name in SHARDS},
    deployment.CallerLimits(),
)
BUDGETS = sending.Budgets(0.2, 20.0, 10.0)
TIMER_STEPS_MAX = 2_000


def make_records(service):
    """Return the records of one shard, which differ from those of all others."""
    number = SHARDS.index(service)
    return b"".join(bytes([50 * part + number]) * 16 for part in range(3))


class FleetMachine(stateful.RuleBasedStateMachine):
    """One forwarder in each zone, with messages that may be delayed or lost."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.cores = {
            zone: forwarder.Forwarder(zone, BUDGETS, index)
            for index, zone in enumerate(ZONES)
        }
        self.sends = {}
        self.batches = {}
        # For each batch that an instance has accepted: zone and number of its sender.
        self.batch_origins = {}
        self.open_requests = {}
        self.submitted_count = 0
        self.runs = collections.Counter()
        self.requests_received = collections.Counter()
        for zone, core in self.cores.items():
            core.set_sharing(self.now, members.Sharing(zone, ZONES, len(ZONES)))
            core.apply_deployment(DEPLOYMENT)
            for index, service in enumerate(SHARDS):
                server_zone = ZONES[index % len(ZONES)]
                for replica in "ab":
                    identity = f"{service}@{server_zone}-{replica}"
                    core.backends.put(
                        self.now, make_entry(identity, service, server_zone)
                    )
            core.set_peers(
                self.now,
                [make_entry(one, one, one) for one in ZONES if one != zone],
            )

    def perform(self, zone, actions):
        """Apply actions of the forwarder of a zone."""
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
                        self.abandon_batch(key)
                case forwarding.Respond():
                    self.handle_answer(zone, action)

    def abandon_batch(self, key):
        """Let the instance that works on a message see that its sender has gone."""
        for (zone, number), origin in list(self.batch_origins.items()):
            if origin == key:
                del self.batch_origins[zone, number]
                self.perform(
                    zone, self.cores[zone].handle_caller_gone(self.now, number)
                )

    def handle_answer(self, zone, action):
        origin = self.batch_origins.pop((zone, action.exchange), None)
        if origin is not None:
            self.return_batch_answer(origin, action.answer)
            return
        identity = self.open_requests.pop((zone, action.exchange), None)
        if identity is not None and isinstance(action.answer, forwarding.MergedReply):
            self.check_answer(action.answer, identity)

    def return_batch_answer(self, origin, answer):
        """Return the answer to a message to its sender."""
        zone, number = origin
        if self.batches.pop(origin, None) is None:
            return
        core = self.cores[zone]
        if isinstance(answer, forwarding.BatchReply):
            self.perform(zone, core.handle_batch_reply(self.now, number, answer))
        else:
            failure = forwarding.SendFailure(forwarding.FailureKind.CONNECTION_LOST)
            self.perform(zone, core.handle_batch_failure(self.now, number, failure))

    def check_answer(self, answer, identity):
        """Check that signatures and records are those of the same, distinct shards."""
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
    def submit(self, zone):
        """Submit a query in a zone."""
        # The counts of runs are by identity, so no two requests may share one.
        self.submitted_count += 1
        identity = f"r-{self.submitted_count}"
        request = forwarding.Request(
            identity, "search.example", "GET", "/page/1", "/page/1", (), b"", 0.9
        )
        number, actions = self.cores[zone].accept(self.now, request)
        self.open_requests[zone, number] = identity
        self.perform(zone, actions)

    @stateful.precondition(lambda self: self.sends)
    @stateful.rule(data=strategies.data(), count=strategies.integers(1, 12))
    def finish_sends(self, data, count):
        """End open attempts with a reply or with a failure of any kind."""
        for _ in range(min(count, len(self.sends))):
            if not self.sends:
                # An outcome above made a forwarder cancel the sends that were left.
                break
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
                self.requests_received[request, service] += 1
            if kind == "reply" or kind not in forwarding.NOT_RUN_KINDS:
                self.runs[request, service] += 1
            core = self.cores[zone]
            if kind == "reply":
                reply = forwarding.Reply(
                    200, f"{service}/{request}", (), make_records(service)
                )
                self.perform(zone, core.handle_reply(self.now, number, reply))
            else:
                failure = forwarding.SendFailure(kind)
                self.perform(zone, core.handle_failure(self.now, number, failure))

    def list_undelivered_batches(self):
        """Return zone and number of the messages that no instance has accepted."""
        return sorted(set(self.batches) - set(self.batch_origins.values()))

    @stateful.precondition(lambda self: self.list_undelivered_batches())
    @stateful.rule(data=strategies.data(), kind=strategies.sampled_from("dddddnlc"))
    def deliver_batch(self, data, kind):
        """Deliver a batch or a continuation, or let it fail.

        Kinds: d is delivered; n is not sent; l is lost on the way; c is delivered, but
        its connection is cut before the reply.
        """
        key = data.draw(strategies.sampled_from(self.list_undelivered_batches()))
        zone, number = key
        message_sent = self.batches[key]
        if kind in "nl":
            del self.batches[key]
            failures = forwarding.FailureKind
            failure = failures.NOT_SENT if kind == "n" else failures.CONNECTION_LOST
            self.perform(
                zone,
                self.cores[zone].handle_batch_failure(
                    self.now, number, forwarding.SendFailure(failure)
                ),
            )
            return
        peer = message_sent.address
        core = self.cores[peer]
        if isinstance(message_sent.message, forwarding.Batch):
            peer_number, actions = core.accept_batch(self.now, message_sent.message)
        else:
            peer_number, actions = core.accept_continuation(
                self.now, message_sent.message
            )
        self.batch_origins[peer, peer_number] = key
        self.perform(peer, actions)
        if kind == "c" and key in self.batches:
            del self.batches[key]
            self.abandon_batch(key)
            failure = forwarding.SendFailure(forwarding.FailureKind.CONNECTION_LOST)
            self.perform(
                zone, self.cores[zone].handle_batch_failure(self.now, number, failure)
            )

    @stateful.rule(step_s=strategies.sampled_from([0.002, 0.03, 0.06, 0.2]))
    def advance(self, step_s):
        """Advance the clock and fire each timer at its time."""
        until = self.now + step_s
        for _ in range(TIMER_STEPS_MAX):
            at, zone = min(
                (core.next_time(), zone) for zone, core in self.cores.items()
            )
            if at > until:
                break
            self.now = max(self.now, at)
            self.perform(zone, self.cores[zone].handle_timers(self.now))
        else:
            pytest.fail("timers do not make progress")
        self.now = until

    @stateful.invariant()
    def runs_stay_within_the_attempts_of_the_route(self):
        """Guards against more runs of a shard than the route allows."""
        assert all(runs <= PAGE.attempts_max for runs in self.runs.values())

    @stateful.invariant()
    def resends_stay_within_the_budget(self):
        """Guards against retries and hedges over the budget, in sum over the fleet."""
        requests = len({request for request, _ in self.requests_received})
        bound = BUDGETS.ratio * (requests + len(self.open_requests)) + BUDGETS.allowance
        for service in SHARDS:
            resent = sum(
                count - 1
                for (_, name), count in self.requests_received.items()
                if name == service
            )
            assert resent <= bound

    def teardown(self):
        """Check that every request ends within its deadline."""
        for _ in range(8):
            self.advance(0.2)
        assert self.open_requests == {}
        for core in self.cores.values():
            assert core.open_count == 0


def make_entry(identity, service, zone):
    return backends.Entry(identity, service, zone, zone, 4, False, 0.0)


FleetMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
TestFleet = FleetMachine.TestCase
