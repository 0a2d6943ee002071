"""Tests for acacialatch.scatter."""

import copy
import fractions
import heapq
import itertools
import random
import statistics
import zlib

import hypothesis
import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from acacialatch import attempts, errors, model, records, replay, routing, scatter

DEADLINE_S = 2.0
KINDS = tuple(model.QueryKind)
PURPOSE = attempts.Purpose
INVALID_ROW = ["invalid"]
"""Row of every reply that must be rejected; the model expects it in no answer."""
REPLY_FAULTS = [
    "late",
    "crossed",
    "version",
    "map",
    "index",
    "cut",
    "outside",
    "doubled",
]
PLAN_FAULTS = st.sampled_from(
    [*[""] * 12, "none", "same", "older", "revision", "lost", "doubled"]
)
SNAPSHOT_CAUSES = attempts.SNAPSHOT_CAUSES


def make_plan(versions, partition_map, cuts, lookup=False):
    if lookup:
        keys = [model.KeyRange(5, 6)]
    else:
        edges = [0, *sorted(set(cuts)), 24]
        keys = [model.KeyRange(*pair) for pair in itertools.pairwise(edges)]
    parts = [
        attempts.Part(f"i{n}", "i", own, partition_map) for n, own in enumerate(keys)
    ]
    if not lookup:
        parts.append(attempts.Part("j0", "j", model.KeyRange(0, 6), 1))
    return attempts.Plan(1, tuple(parts), tuple(zip("ij", versions, strict=True)))


def make_rows(index, version, keys):
    return [[index, version, key] for key in sorted(keys) if key % 3]


def list_keys(ranges):
    return {key for start, end in ranges for key in range(start, end)}


def make_candidate(address, load, usable):
    state = model.ServerState.READY if usable else model.ServerState.DEAD
    reason = "" if usable else "dead"
    return routing.Candidate(
        address, "z", state, load, 0.01, bool(usable), reason, True, True
    )


def make_header(query, floor, seed, policy):
    return records.Header(
        answer_id=query.answer_id,
        entry_instance="127.0.0.1:7000",
        incarnation="00ff",
        revision=1,
        configuration_sha256="0" * 64,
        membership=("127.0.0.1:7000",),
        query=query,
        floor=floor,
        seed=seed,
        policy=policy,
    )


class UnfilteredChoice(routing.ReplicaPolicy):
    """Ignores `usable`, so that `Scatter` alone must exclude unusable replicas."""

    def choose(self, candidates, seed):
        return (seed + len(candidates[0].address)) % len(candidates)


SETUPS = st.tuples(
    st.sampled_from(KINDS),
    st.sampled_from([(1, 1), (9, 10), (1, 2)]),
    st.sampled_from([4, 1000]),
    st.integers(0, 2**32),
    st.lists(st.integers(1, 23), max_size=2),
    st.sampled_from([routing.LeastLoaded, UnfilteredChoice]),
)


class ScatterMachine(stateful.RuleBasedStateMachine):
    """Runs queries with random events and compares them with a model of key sets.

    `running` and `sends` map attempt numbers to the sub-request, its time, its hedge
    delay and its part. `accepted_keys` has a list of disjoint key sets for each part,
    one for each accepted reply. `possibly_excluded` holds the replicas that `Scatter`
    may have excluded for good reason.
    """

    @stateful.initialize(setup=SETUPS, data=st.data())
    def start(self, setup, data):
        kind, floor, limit, seed, cuts, policy = setup
        self.now = 0.0
        self.data = data
        self.lookup = kind is model.QueryKind.LOOKUP
        key = 5 if self.lookup else None
        self.query = model.Query("q", "s", kind, DEADLINE_S, key, limit, "body")
        self.floor = floor
        self.scatter = scatter.Scatter(self.query, floor, seed, policy())
        header = make_header(self.query, floor, seed, policy.__name__)
        self.writer = records.RecordWriter(header)
        self.sends, self.outcome, self.wake_at, self.restarts = {}, None, None, 0
        self.budget_always_allows = False
        self.apply_plan(make_plan((5, 5), 1, cuts, self.lookup))
        self.deliver(attempts.Start(self.plan))

    def apply_plan(self, plan):
        self.plan = plan
        self.running, self.queued, self.hedged = {}, {}, set()
        self.sent_counts = dict.fromkeys(range(len(plan.parts)), 0)
        self.accepted_keys = {n: [] for n in range(len(plan.parts))}
        self.last_failed, self.possibly_excluded = {}, set()
        self.awaiting_replan = False

    def list_covered(self, part):
        return set().union(*self.accepted_keys[part])

    def count_rows(self):
        return sum(
            key % 3 > 0 for n in self.accepted_keys for key in self.list_covered(n)
        )

    def list_planned(self, part):
        return set(range(*self.plan.parts[part].keys))

    # Events and checks of the decisions that follow.

    def deliver(self, event):
        finished = self.outcome is not None
        expired = self.now >= DEADLINE_S
        if isinstance(event, attempts.Timer):
            self.wake_at = None
        decisions = self.scatter.handle(self.now, event)
        if finished:
            assert decisions == []
            return
        self.writer.add(self.now, event, decisions)
        progress = None if expired else self.update_model(event)
        for decision in decisions:
            self.check_decision(event, decision)
        assert not expired or self.outcome is not None
        if progress is not None and not self.outcome and not self.lookup:
            busy = progress in {send.part for send, *_ in self.running.values()}
            chosen = [d.part for d in decisions if isinstance(d, attempts.Choose)]
            whole = self.list_covered(progress) == self.list_planned(progress)
            assert chosen == [] if busy or whole else [progress]
        for decision in decisions:
            if isinstance(decision, attempts.Choose):
                self.deliver(self.draw_view(decision.part, decision.purpose))
        if isinstance(event, attempts.Timer):
            assert all(send.deadline > self.now for send, *_ in self.running.values())

    def draw_view(self, part, purpose):
        mask = self.data.draw(st.sampled_from([7, 7, 7, 6, 5, 3, 1, 2, 4, 0]))
        load = self.data.draw(st.integers(0, 2))
        service = self.plan.parts[part].service
        candidates = tuple(
            make_candidate(f"{service}/{n}", load if n == 0 else 1, mask & 1 << n)
            for n in range(3)
        )
        allows = self.data.draw(
            st.sampled_from([True, True, True, self.budget_always_allows])
        )
        delay = self.data.draw(st.sampled_from([0.001, 0.001, 0.05, None]))
        return attempts.View(part, purpose, candidates, allows, delay, 0.6)

    def update_model(self, event):
        """Apply an event to the model; return the part that gains keys, if any."""
        if isinstance(event, attempts.Failed) and event.attempt in self.running:
            if event.cause is attempts.Cause.NOT_SENT:
                self.sent_counts[self.running[event.attempt][0].part] -= 1
            self.remove_attempt(event.attempt)
            if event.cause in SNAPSHOT_CAUSES or event.retry_after_s:
                self.possibly_excluded.add(self.sends[event.attempt][0].address)
        if isinstance(event, attempts.Reply) and event.attempt in self.running:
            send = self.running[event.attempt][0]
            self.remove_attempt(event.attempt)
            if not self.is_valid(event, send):
                # The reply may show that the replica lacks the snapshot.
                self.possibly_excluded.add(send.address)
                return None
            new = list_keys(event.ranges)
            old = self.accepted_keys[send.part]
            shared = [keys for keys in old if keys & new]
            if all(keys <= new for keys in shared) and new - self.list_covered(
                send.part
            ):
                rest = [keys for keys in old if keys not in shared]
                self.accepted_keys[send.part] = [*rest, new]
                return send.part
        return None

    def remove_attempt(self, number):
        send = self.running.pop(number)[0]
        self.last_failed[send.part] = send.address

    def is_valid(self, reply, send):
        part = self.sends[send.attempt][3]
        own = (send.request_id, part.index, send.version, part.partition_map)
        keys = list_keys(reply.ranges)
        return (
            (reply[1:5], reply.whole) == (own, True)
            and bool(keys)
            and keys <= set(range(*part.keys))
            and all(start < end for start, end in reply.ranges)
            and len(keys) == sum(end - start for start, end in reply.ranges)
        )

    def check_decision(self, event, decision):
        assert self.outcome is None
        match decision:
            case attempts.Choose(part, purpose) if purpose is not PURPOSE.HEDGE:
                assert (purpose is PURPOSE.RETRY) == (self.sent_counts[part] > 0)
            case attempts.Send():
                self.check_send(event, decision)
            case attempts.Cancel(number):
                if number in self.running:
                    self.remove_attempt(number)
            case attempts.Wait(part):
                self.queued[part] = event.purpose
            case attempts.WakeAt(time):
                assert time <= DEADLINE_S
                self.wake_at = time
            case attempts.Restart():
                assert not self.awaiting_replan
                assert self.restarts < scatter.RESTARTS_MAX
                assert self.now + (event.hedge_delay_s or 0.0) < DEADLINE_S
                if self.query.kind is model.QueryKind.URGENT:
                    assert self.count_rows() == 0
                self.awaiting_replan = True
            case attempts.Finish(outcome):
                self.outcome = outcome
                assert not self.running
                self.check_outcome(outcome)

    def check_send(self, event, send):
        assert isinstance(event, attempts.View)
        assert self.now < DEADLINE_S
        assert self.now < send.deadline <= DEADLINE_S
        assert send.attempt not in self.sends
        assert (
            send.version == dict(self.plan.versions)[self.plan.parts[send.part].index]
        )
        assert list_keys(send.ranges) == self.list_planned(
            send.part
        ) - self.list_covered(send.part)
        usable = {c.address for c in event.candidates if c.usable}
        running = {
            s.address: (s, *r) for s, *r in self.running.values() if s.part == send.part
        }
        assert send.address in usable - set(running)
        failed = self.last_failed.get(send.part)
        others = usable - {failed} - set(running) - self.possibly_excluded
        assert send.address != failed or not others
        assert send.purpose is PURPOSE.FIRST or event.budget_allows
        if send.purpose is PURPOSE.HEDGE:
            assert send.part not in self.hedged
            self.hedged.add(send.part)
            ((_, sent_at, delay, _),) = running.values()
            assert self.now >= sent_at + delay
        else:
            assert not running
        spec = self.plan.parts[send.part]
        entry = (send, self.now, event.hedge_delay_s, spec)
        self.sends[send.attempt] = self.running[send.attempt] = entry
        self.sent_counts[send.part] += 1

    def check_outcome(self, outcome):
        covered = {n: self.list_covered(n) for n in self.accepted_keys}
        count = sum(map(len, covered.values()))
        total = sum(part.keys.size() for part in self.plan.parts)
        assert (outcome.covered, outcome.total) == (count, total)
        assert outcome.versions == self.plan.versions
        missing = {
            (gap.service, k) for gap in outcome.missing for k in range(*gap.keys)
        }
        assert missing == {
            (part.service, k)
            for n, part in enumerate(self.plan.parts)
            for k in self.list_planned(n) - covered[n]
        }
        assert all(gap.reason for gap in outcome.missing)
        if outcome.failure is None:
            self.check_rows(outcome, covered)
        self.check_kind(outcome, fractions.Fraction(count, total))

    def check_rows(self, outcome, covered):
        versions = dict(self.plan.versions)
        expected = [
            row
            for n, part in enumerate(self.plan.parts)
            for row in make_rows(part.index, versions[part.index], covered[n])
        ]
        assert len(outcome.rows) == min(len(expected), self.query.limit)
        remaining = list(expected)
        for row in outcome.rows:
            remaining.remove(row)

    def check_kind(self, outcome, share):
        kind, failure = self.query.kind, outcome.failure
        if failure and failure.kind is errors.ErrorKind.CALLER_GONE:
            return
        if failure:
            assert self.now >= DEADLINE_S
            assert kind is not model.QueryKind.URGENT
        if kind is model.QueryKind.FULL_PAGE:
            assert (failure is None) == (share >= fractions.Fraction(*self.floor))
        elif kind is model.QueryKind.LOOKUP:
            assert (failure is None) == (share == 1)
        elif self.now < DEADLINE_S:
            assert share == 1 or len(outcome.rows) == self.query.limit

    @stateful.precondition(lambda self: self.outcome is not None)
    @stateful.rule(setup=SETUPS, data=st.data())
    def start_another_query(self, setup, data):
        """Use the remaining steps of the example for another query."""
        self.teardown()
        self.start(setup, data)

    def draw_attempt(self, running_only):
        numbers = sorted(self.running if running_only else self.sends)
        return self.sends[self.data.draw(st.sampled_from(numbers))][0]

    def make_reply(self, send, ranges):
        part = self.sends[send.attempt][3]
        rows = make_rows(part.index, send.version, list_keys(ranges))
        own = (send.request_id, part.index, send.version, part.partition_map)
        return attempts.Reply(send.attempt, *own, tuple(ranges), rows, True)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data())
    def reply_partly(self, data):
        self.data = data
        send = self.draw_attempt(True)
        keys = self.plan.parts[send.part].keys
        bounds = st.integers(keys.start, keys.end)
        points = sorted(data.draw(st.sets(bounds, min_size=2, max_size=4)))
        pairs = zip(points[::2], points[1::2], strict=False)
        self.deliver(self.make_reply(send, [model.KeyRange(*p) for p in pairs]))

    @stateful.precondition(lambda self: self.sends)
    @stateful.rule(
        data=st.data(),
        faults=st.lists(st.sampled_from(REPLY_FAULTS), min_size=1, max_size=4),
    )
    def reply_with_faults(self, data, faults):
        self.data = data
        for fault in faults:
            self.deliver(self.make_faulty_reply(fault))

    def make_faulty_reply(self, fault):
        send = self.draw_attempt(bool(self.running) and fault != "late")
        reply = self.make_reply(send, send.ranges)
        first, last = send.ranges[0], send.ranges[-1]
        shift = self.data.draw(st.sampled_from([-1, 1]))
        outside = (first.start - 1, first.end) if shift < 0 else (last[0], last[1] + 1)
        faults = {
            "late": {},
            "crossed": {"request_id": self.draw_attempt(False).request_id},
            "version": {"version": send.version + shift},
            "map": {"partition_map": reply.partition_map + shift},
            "index": {"index": "j" if reply.index == "i" else "i"},
            "cut": {"whole": False},
            "outside": {"ranges": (model.KeyRange(*outside),)},
            "doubled": {"ranges": (*send.ranges, first)},
        }
        wrong = reply._replace(**faults[fault])
        if self.is_valid(wrong, send):
            return self.make_reply(send, wrong.ranges)
        return wrong._replace(rows=[INVALID_ROW])

    @stateful.precondition(lambda self: self.sends)
    @stateful.rule(data=st.data(), cause=st.sampled_from(attempts.Cause))
    def fail_attempt(self, data, cause):
        self.data = data
        send = self.draw_attempt(data.draw(st.booleans()) and bool(self.running))
        wait = 0.3 if cause is attempts.Cause.SHED else 0.0
        self.deliver(attempts.Failed(send.attempt, cause, (("i", 6),), wait))

    @stateful.precondition(lambda self: self.running and not self.awaiting_replan)
    @stateful.rule(
        data=st.data(), cause=st.sampled_from(sorted(SNAPSHOT_CAUSES, key=str))
    )
    def lose_snapshot(self, data, cause):
        """Let every replica asked for one part report that it lacks the snapshot."""
        self.data = data
        part = self.draw_attempt(True).part
        self.budget_always_allows = True
        for _ in range(6):
            asked = [n for n, entry in self.running.items() if entry[0].part == part]
            if asked and not self.awaiting_replan:
                self.deliver(attempts.Failed(asked[0], cause))
        self.budget_always_allows = False
        if self.awaiting_replan and data.draw(st.sampled_from([True, True, False])):
            cuts = data.draw(st.lists(st.integers(1, 23), max_size=2))
            self.deliver_plan(data.draw(PLAN_FAULTS), cuts)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data())
    def reply_to_all(self, data):
        self.data = data
        for number in list(self.running):
            if number in self.running and data.draw(
                st.sampled_from([True, True, False])
            ):
                send = self.running[number][0]
                self.deliver(self.make_reply(send, send.ranges))

    @stateful.precondition(lambda self: self.outcome is None)
    @stateful.rule(
        data=st.data(),
        passed=st.sampled_from([None, None, None, 0.0, 0.001, 0.03, 0.7]),
        times=st.integers(1, 3),
    )
    def fire_timer(self, data, passed, times):
        """Fire the timer on time, early or late."""
        self.data = data
        for _ in range(times):
            if self.outcome is None:
                now = self.wake_at if passed is None else self.now + passed
                self.now = max(self.now, now)
                self.deliver(attempts.Timer())

    @stateful.precondition(lambda self: self.queued)
    @stateful.rule(data=st.data())
    def serve_queued_part(self, data):
        self.data = data
        part = data.draw(st.sampled_from(sorted(self.queued)))
        self.deliver(self.draw_view(part, self.queued.pop(part)))

    @stateful.rule(data=st.data(), purpose=st.sampled_from(attempts.Purpose))
    def deliver_unrequested_view(self, data, purpose):
        self.data = data
        part = data.draw(st.integers(0, len(self.plan.parts) - 1))
        if self.queued.get(part) is not purpose:
            event = self.draw_view(part, purpose)
            decisions = self.scatter.handle(self.now, event)
            self.writer.add(self.now, event, decisions)
            for decision in decisions:
                assert isinstance(decision, attempts.WakeAt | attempts.Finish)
                self.check_decision(event, decision)

    @stateful.precondition(lambda self: self.awaiting_replan)
    @stateful.rule(
        data=st.data(),
        fault=PLAN_FAULTS,
        cuts=st.lists(st.integers(1, 23), max_size=2),
    )
    def replan(self, data, fault, cuts):
        self.data = data
        self.deliver_plan(fault, cuts)

    def deliver_plan(self, fault, cuts):
        versions = dict(self.plan.versions)
        newer = (versions["i"] + 1, versions["j"])
        plan = make_plan(newer, 2, cuts, self.lookup)
        copied = plan.parts[0]._replace(service="copy")
        wrong = {
            "none": None,
            "same": make_plan(
                (versions["i"], versions["j"]),
                self.plan.parts[0].partition_map,
                cuts,
                self.lookup,
            ),
            "older": plan._replace(versions=(("i", newer[0]), ("j", newer[1] - 1))),
            "revision": plan._replace(revision=0),
            "lost": plan._replace(parts=plan.parts[1:]),
            "doubled": plan._replace(parts=(*plan.parts, copied)),
        }
        plan = wrong.get(fault, plan)
        self.awaiting_replan = False
        kept = self.query.kind is model.QueryKind.URGENT and self.count_rows()
        if fault or kept or self.outcome or self.now >= DEADLINE_S:
            self.deliver(attempts.Replan(plan))
            return
        running = set(self.running)
        self.restarts += 1
        self.apply_plan(plan)
        decisions = self.scatter.handle(self.now, attempts.Replan(plan))
        self.writer.add(self.now, attempts.Replan(plan), decisions)
        cancelled = [d.attempt for d in decisions if isinstance(d, attempts.Cancel)]
        chosen = [d.part for d in decisions if isinstance(d, attempts.Choose)]
        assert sorted(cancelled) == sorted(running)
        assert chosen == list(range(len(plan.parts)))
        for decision in decisions:
            self.check_decision(attempts.Replan(plan), decision)
        for part in chosen:
            self.deliver(self.draw_view(part, PURPOSE.FIRST))

    @stateful.precondition(lambda self: self.outcome is None and self.now > 1)
    @stateful.rule()
    def close_caller_connection(self):
        self.deliver(attempts.CallerGone())

    @stateful.invariant()
    def outcome_matches_model(self):
        if self.outcome is not None:
            return
        covered = sum(len(self.list_covered(part)) for part in self.accepted_keys)
        total = sum(part.keys.size() for part in self.plan.parts)
        assert covered < total, "a complete query is not answered"
        if self.query.kind is model.QueryKind.FULL_PAGE:
            assert fractions.Fraction(covered, total) < fractions.Fraction(*self.floor)
        elif self.query.kind is model.QueryKind.URGENT:
            assert self.count_rows() < self.query.limit
        ended = copy.deepcopy(self.scatter).handle(DEADLINE_S, attempts.Timer())[-1]
        now, self.now = self.now, DEADLINE_S
        self.check_outcome(ended.outcome)
        self.now = now

    @stateful.invariant()
    def incomplete_parts_are_pending(self):
        """Check that each incomplete part has an attempt or a timer, or is queued."""
        if self.outcome is not None or self.now >= DEADLINE_S - 0.002:
            return
        assert self.wake_at is not None
        running = {send.part for send, *_ in self.running.values()}
        for part in self.accepted_keys:
            if self.list_planned(part) == self.list_covered(part):
                assert part not in running
            elif part not in running and part not in self.queued:
                assert self.awaiting_replan or self.wake_at < DEADLINE_S

    def teardown(self):
        if not hasattr(self, "writer"):
            return
        data = self.writer.finish()
        record = records.read(data).unwrap()
        compared = replay.replay(record)
        assert compared.same, compared.difference
        assert compared.complete == (self.outcome is not None)
        position = zlib.crc32(data) % len(data)
        changed = bytes([data[position] ^ (1 + position % 255)])
        edited = data[:position] + changed + data[position + 1 :]
        assert records.read(edited).is_err()


# Guards against answers with mixed snapshots, wrong coverage or duplicate rows, against
# sends after the deadline, against parts that are never retried, and against decisions
# that depend on anything but the events, which a replay could not repeat.
TestScatterMachine = ScatterMachine.TestCase
TestScatterMachine.settings = settings(
    max_examples=200,
    stateful_step_count=40,
    phases=(hypothesis.Phase.generate,),
    derandomize=True,
    database=None,
    deadline=None,
)


class Cluster:
    """Simulated backend servers, 3 replicas of each of 20 leaf services.

    With `faults`, replies may be lost, partial or meant for another request, and the
    index version changes. `straggler_share` of the replies take 0.4 s.
    """

    def __init__(self, seed, faults, straggler_share):
        self.random = random.Random(seed)
        self.faults = faults
        self.straggler_share = straggler_share
        self.version_changes = {}

    def get_version(self, address, now):
        """Return the version that the replica holds; each holds only one."""
        time = self.version_changes.setdefault(
            address, self.random.uniform(-0.02, 0.06)
        )
        return 6 if self.faults and now >= time else 5

    def answer(self, now, part, send, pinned):
        """Return the time and the event that end a send; None if nothing does."""
        is_straggler = self.random.random() < self.straggler_share
        time = now + (0.4 if is_straggler else self.random.uniform(0.008, 0.012))
        version = self.get_version(send.address, time)
        if pinned and version != send.version:
            versions = ((part.index, version),)
            cause = attempts.Cause.VERSION_GONE
            return time, attempts.Failed(send.attempt, cause, versions)
        fault = self.random.random() if self.faults else 1.0
        if fault < 0.01:
            return None
        ranges = send.ranges
        if fault < 0.1:
            middle = (ranges[0].start + ranges[0].end) // 2
            ranges = (
                model.KeyRange(ranges[0].start, max(middle, ranges[0].start + 1)),
            )
        request_id = "other" if fault > 0.98 and self.faults else send.request_id
        index, number = part.index, part.partition_map
        rows = make_rows(index, version, list_keys(ranges))
        rows = rows if request_id == send.request_id else [INVALID_ROW]
        reply = attempts.Reply(
            send.attempt, request_id, index, version, number, ranges, rows, True
        )
        return time, reply

    def plan(self, version):
        keys = [model.KeyRange(5 * n, 5 * n + 5) for n in range(20)]
        parts = [attempts.Part(f"i{n}", "i", own, 1) for n, own in enumerate(keys)]
        return attempts.Plan(1, tuple(parts), (("i", version),))

    def run_unverified(self):
        """Ask one replica of each part and accept any reply, without verification.

        Returns the time of the last reply and the rows.
        """
        rows, last = [], 0.0
        for n, part in enumerate(self.plan(5).parts):
            send = attempts.Send(
                n, n, f"{part.service}/0", PURPOSE.FIRST, "r", 5, 2.0, (part.keys,)
            )
            answer = self.answer(0.0, part, send, pinned=False)
            last = max(last, answer[0] if answer else DEADLINE_S)
            rows += answer[1].rows if answer else []
        return last, rows

    def view(self, part, number, purpose, budget):
        candidates = tuple(
            make_candidate(f"{part.service}/{n}", n, True) for n in range(3)
        )
        # The hedge budget of the design: 5% of sub-requests.
        allows = purpose is PURPOSE.RETRY or (
            budget[PURPOSE.HEDGE] + 1 <= 0.05 * budget[PURPOSE.FIRST]
        )
        return attempts.View(number, purpose, candidates, allows, 0.0118, 0.6)


class SimulatedQuery:
    """Simulated query of `Scatter` against a cluster, from a given start time."""

    def __init__(self, cluster, start):
        self.cluster, self.start, self.send_count = cluster, start, 0
        deadline = start + DEADLINE_S
        kind = model.QueryKind.FULL_PAGE
        query = model.Query("q", "s", kind, deadline, None, 999, "")
        self.machine = scatter.Scatter(query, (1, 1), 1)
        self.plan, self.cancelled = cluster.plan(5), set()
        self.outcome, self.duration, self.hedge_checks = None, None, 0

    def handle(self, now, event, budget):
        """Pass an event to `Scatter`; yield the times and events that follow."""
        if getattr(event, "attempt", None) in self.cancelled:
            return
        for decision in self.machine.handle(now, event):
            match decision:
                case attempts.Finish(outcome):
                    self.outcome, self.duration = outcome, now - self.start
                case attempts.Cancel(number):
                    self.cancelled.add(number)
                case attempts.WakeAt(time):
                    yield time, attempts.Timer()
                case attempts.Restart():
                    self.plan = self.cluster.plan(6)
                    yield now, attempts.Replan(self.plan)
                case attempts.Choose(number, purpose):
                    self.hedge_checks += purpose is PURPOSE.HEDGE
                    part = self.plan.parts[number]
                    view = self.cluster.view(part, number, purpose, budget)
                    yield from self.handle(now, view, budget)
                case attempts.Send():
                    self.send_count += 1
                    budget[decision.purpose] += 1
                    part = self.plan.parts[decision.part]
                    answer = self.cluster.answer(now, part, decision, pinned=True)
                    yield from [answer] if answer else []


def simulate_queries(clusters, interval_s):
    """Run one query per cluster, started at intervals, with a common hedge budget."""
    runs = [
        SimulatedQuery(cluster, n * interval_s) for n, cluster in enumerate(clusters)
    ]
    budget = dict.fromkeys(PURPOSE, 0)
    serials = itertools.count()
    pending = [
        (run.start, next(serials), run, attempts.Start(run.plan)) for run in runs
    ]
    heapq.heapify(pending)
    while pending:
        now, _, run, event = heapq.heappop(pending)
        for time, follower in run.handle(now, event, budget):
            heapq.heappush(pending, (time, next(serials), run, follower))
    return runs


def test_faulty_replies_do_not_change_answers():
    """Guards against answers with rows of unverified replies.

    A client without verification gets the same rows without faults, and wrong rows in
    more than half of the runs with faults.
    """
    healthy = simulate_queries([Cluster(seed, False, 0.0) for seed in range(60)], 0.1)
    faulty = simulate_queries([Cluster(seed, True, 0.02) for seed in range(60)], 0.0)
    wrong = 0
    for seed in range(60):
        _, rows = Cluster(seed, False, 0.0).run_unverified()
        assert sorted(healthy[seed].outcome.rows) == sorted(rows)
        _, rows = Cluster(seed, True, 0.02).run_unverified()
        complete = [make_rows("i", v, range(100)) for v in (5, 6)]
        wrong += sorted(rows) not in complete
        outcome = faulty[seed].outcome
        assert outcome.failure is None
        own = make_rows("i", outcome.versions[0][1], range(100))
        assert sorted(outcome.rows) == own
    assert wrong > 30, "too few faults to test the verification"


def test_hedges_cut_tail_latency_within_load_budget():
    """Guards against missing the targets of section 1.3 of the design.

    With 1% of slow replies, the 99th percentile must be at most a third of that without
    hedges, with at most 5% additional sub-requests.
    """
    clusters = [Cluster(seed, False, 0.01) for seed in range(500)]
    baseline = [cluster.run_unverified()[0] for cluster in clusters]
    runs = simulate_queries(clusters, 0.004)
    # The hedge budget is filled by traffic. The queries of the last 0.4 s, which no
    # later traffic follows, therefore count only towards the load.
    times = [run.duration for run in runs[:400]]
    p99 = [statistics.quantiles(own, n=100)[98] for own in (baseline, times)]
    assert p99[1] * 3 <= p99[0]
    assert sum(run.send_count for run in runs) <= 1.05 * 500 * 20
    assert all(run.outcome.covered == 100 for run in runs)


def time_sends(kind, cause, retry_after_s=0.0, replicas=3):
    """Return the send times of a query of which every attempt fails immediately."""
    plan = make_plan((5, 5), 1, (), lookup=True)
    query = model.Query("q", "s", kind, DEADLINE_S, 5, 10, "")
    machine = scatter.Scatter(query, (1, 1), 7)
    view = Cluster(0, False, 0.0).view(plan.parts[0], 0, None, {p: 0 for p in PURPOSE})
    view = view._replace(budget_allows=True, candidates=view.candidates[:replicas])
    times, now, wake_at = [], 0.0, None
    pending = machine.handle(now, attempts.Start(plan))
    while not machine.finished:
        assert len(times) < 100, "the retries never stop"
        match pending.pop(0) if pending else None:
            case attempts.Choose(_, purpose):
                pending += machine.handle(now, view._replace(purpose=purpose))
            case attempts.Send(attempt=number):
                times.append(now)
                failed = attempts.Failed(number, cause, (), retry_after_s)
                pending += machine.handle(now, failed)
            case attempts.WakeAt(time):
                wake_at = time
            case None:
                now = wake_at
                pending = machine.handle(now, attempts.Timer())
    return times


def test_refused_hedges_are_checked_with_backoff():
    """Guards against frequent checks of the hedge budget when all replicas are slow."""
    (run,) = simulate_queries([Cluster(0, False, 1.0)], 0.0)
    # With a doubling delay of 0.0118 s, 6 checks fit into 0.4 s.
    assert 19 * 5 <= run.hedge_checks <= 20 * 6


@pytest.mark.parametrize("kind", KINDS)
def test_retries_until_deadline(kind):
    """Guards against retries that stop before the deadline or have no backoff."""
    times = time_sends(kind, attempts.Cause.CONNECT_FAILED)
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    if kind is not model.QueryKind.LOOKUP:
        assert gaps[0] == 0, "the first retry, at another replica, needs no delay"
    for n in range(kind is not model.QueryKind.LOOKUP, 6):
        assert 0.005 * 2**n <= gaps[n] <= 0.01 * 2**n
    assert DEADLINE_S - times[-1] <= 0.002
    assert len(times) < 30


def test_retry_after_is_respected():
    """Guards against retrying an overloaded replica too early or never again."""
    times = time_sends(model.QueryKind.FULL_PAGE, attempts.Cause.SHED, 0.3, replicas=1)
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert len(gaps) >= 2
    assert all(0.3 <= round(gap, 9) <= 0.8 for gap in gaps)


@pytest.mark.parametrize("kind", [model.QueryKind.FULL_PAGE, model.QueryKind.URGENT])
def test_replan_after_rows_arrived(kind):
    """Guards against a new plan that discards urgent rows or keeps old timers.

    Between the `Restart` and the `Replan`, another part receives rows. A full-page
    query must still restart, an urgent one must keep its plan and rows.
    """
    plan = make_plan((5, 5), 1, (12,))
    query = model.Query("q", "s", kind, DEADLINE_S, None, 99, "")
    machine = scatter.Scatter(query, (1, 1), 7)
    machine.handle(0.0, attempts.Start(plan))
    candidates = (make_candidate("a", 0, True),)
    view = attempts.View(0, PURPOSE.FIRST, candidates, True, 0.02, 0.6)
    for part in range(3):
        machine.handle(0.0, view._replace(part=part))
    machine.handle(0.0, attempts.Failed(3, attempts.Cause.SHED, (), 0.3))
    machine.handle(0.0, view._replace(part=2, purpose=PURPOSE.RETRY))
    machine.handle(0.0, attempts.Failed(2, attempts.Cause.VERSION_GONE))
    decisions = machine.handle(0.0, view._replace(part=1, purpose=PURPOSE.RETRY))
    assert any(isinstance(decision, attempts.Restart) for decision in decisions)
    rows = make_rows("i", 5, range(12))
    reply = attempts.Reply(1, "q-1", "i", 5, 1, (plan.parts[0].keys,), rows, True)
    machine.handle(0.0, reply)
    newer = make_plan((6, 5), 2, ())
    machine.handle(0.0, attempts.Replan(newer))
    assert machine.plan == (plan if kind is model.QueryKind.URGENT else newer)
    machine.handle(0.5, attempts.Timer())


def test_invalid_plan_fails_query():
    """Guards against a first plan that counts keys twice or misses a version."""
    plan = make_plan((5, 5), 1, (12,))
    first, second, third = plan.parts
    query = model.Query("q", "s", model.QueryKind.FULL_PAGE, DEADLINE_S, None, 10, "")
    for wrong in (
        plan._replace(parts=(first, first, second)),
        plan._replace(parts=(first, second._replace(keys=model.KeyRange(11, 24)))),
        plan._replace(parts=(first, second._replace(partition_map=2), third)),
        plan._replace(parts=(first._replace(keys=model.KeyRange(3, 3)),)),
        plan._replace(versions=(("i", 5),)),
        plan._replace(versions=(("i", 5), ("i", 6), ("j", 5))),
    ):
        machine = scatter.Scatter(query, (1, 1), 1)
        (finish,) = machine.handle(0.0, attempts.Start(wrong))
        assert finish.outcome.failure.kind is errors.ErrorKind.INTERNAL
        assert (finish.outcome.covered, finish.outcome.total) == (0, 0)
    machine = scatter.Scatter(query, (1, 1), 1)
    (finish,) = machine.handle(0.0, attempts.Start(attempts.Plan(1, (), ())))
    assert finish.outcome.failure is None, "a plan without parts is answered at once"
