"""Tests of acacialatch.requests and of the modules that it uses.

These are callers, forwards, idempotency, keys and requestdata.
"""

import collections
import random
import typing

import hypothesis
import hypothesis.stateful
import pytest
import result
from hypothesis import strategies

from acacialatch import callers, errors, idempotency, keys, requestdata, requests

SECRET = b"s" * 32
ADDRESSES = ("127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003")
REPLY_BYTES = 200
# Reduced to an engine by the rules that draw it.
INDEX = strategies.integers(0, 2**16)
# Repeated values are drawn more often.
SERVER_EVENTS = (
    "run",
    "run",
    "lose",
    "refuse",
    "refuse",
    "fail",
    "truncate",
    "enlarge",
)
FAULTS = ("pause", "pause", "resume", "resume", "confirm", "leave", "stop", "crash")
PERIODS_S = (0.4, 0.4, 0.4, 2.0, 2.0, 2.0, 30.0, 30.0, 300.0, 599.0)


class Message(typing.NamedTuple):
    """A message in transit to an engine, or to a server if `kind` is `run`.

    `content` depends on `kind`:

    - `request`: the time left in seconds, and the origin if a peer forwarded it
    - `run`: the identifier of the attempt
    - `reply`, `answer`: the identifier of the attempt or caller, the reply or outcome,
      and whether it is a refusal with `x-refused: before-run`
    """

    kind: str
    engine: int
    incarnation: int
    key: str
    body: bytes = b""
    content: typing.Any = None


class NaiveLedger(requests.RequestLedger):
    """Naive version: ignores the keys of requests and retries after any failure."""

    def handle_request(self, now, request, view):
        own_key = self.issue_key(now).unwrap()
        return super().handle_request(now, request._replace(key=own_key), view)

    def handle_attempt_failure(self, now, request_id, view):
        if request_id in self._records_by_attempt:
            self._records_by_attempt[request_id].stage = idempotency.Stage.CONNECTING
        return super().handle_attempt_failure(now, request_id, view)


class FakeEngine:
    """Fake engine of one entry instance, with its own origin of the clock."""

    def __init__(self, ledger_class, index, incarnation):
        self.index = index
        self.incarnation = incarnation
        self.clock_origin = 1000.0 * incarnation
        self.is_paused = False
        self.is_current = True
        self.attempts = {}
        self.sent = set()
        self.waiting = {}
        self.ledger = ledger_class(
            f"entry{index}",
            incarnation.to_bytes(16, "big"),
            SECRET,
            requests.Limits(records=4, reply_bytes=REPLY_BYTES, callers=6, keys=999),
        )

    def make_view(self, now, rng):
        """Return a view with replicas in random order and connections of random age."""
        replicas = tuple(
            requestdata.ReplicaOption(address, rng.choice((None, now, now - 5.0)))
            for address in rng.sample(ADDRESSES, rng.choice((3,) * 10 + (1, 0)))
        )
        return requestdata.View(replicas, self.is_current)


class RequestStateMachine(hypothesis.stateful.RuleBasedStateMachine):
    """Entry instances, callers and servers, connected by unreliable links."""

    ledger_class: typing.Any = requests.RequestLedger
    # Groups of checks that `expect` makes; the others are skipped.
    checks = frozenset({"runs", "answers", "bodies", "engine"})

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.in_transit: list[Message] = []
        self.keys: list[str] = []
        self.runs = collections.Counter()
        self.told_not_run = set()
        self.first_bodies = {}
        self.expires_at = {}
        self.incarnations = 0
        self.arrivals = 0
        self.engines = [self.start_engine(index) for index in range(3)]
        self.issue_new_key(0)
        self.issue_new_key(1)

    def start_engine(self, index):
        self.incarnations += 1
        return FakeEngine(self.ledger_class, index, self.incarnations)

    def read_clock(self, engine):
        return self.now + engine.clock_origin

    def expect(self, check, holds, text):
        """Assert a condition that belongs to the group `check`."""
        assert check not in self.checks or holds, text

    def execute(self, engine, actions):
        """Carry out the actions of an engine's ledger."""
        for action in actions:
            if isinstance(action, requestdata.Send):
                key, body = engine.waiting[action.caller][:2]
                first = self.first_bodies.setdefault(key, body)
                self.expect("bodies", body == first, "another body was sent")
                header = ("run", engine.index, engine.incarnation, key, body)
                engine.attempts[action.request_id] = Message(*header, action.request_id)
            elif isinstance(action, requestdata.Forward):
                key, body = engine.waiting[action.caller][:2]
                origin = (engine.index, engine.incarnation, action.caller)
                remaining_s = action.deadline - self.read_clock(engine)
                index = int(action.issuer.removeprefix("entry"))
                self.in_transit.append(
                    Message("request", index, 0, key, body, (remaining_s, origin))
                )
            elif isinstance(action, requestdata.CancelAttempt):
                engine.attempts.pop(action.request_id, None)
            else:
                self.answer_caller(engine, *action)

    def answer_caller(self, engine, caller, outcome):
        """Check the answer to a caller, or send it to the peer that forwarded."""
        key, body, origin = engine.waiting.pop(caller)
        if origin is not None:
            index, incarnation, peer_caller = origin
            header = ("answer", index, incarnation, key, body)
            self.in_transit.append(Message(*header, (peer_caller, outcome, False)))
            return
        if isinstance(outcome, requestdata.Reply):
            is_own = outcome.body.startswith(f"{key} {body.decode()}.".encode())
            self.expect("answers", is_own, "an answer belongs to another request")
            self.expect("answers", outcome.is_complete, "an answer is truncated")
            self.expect("answers", key in self.runs, "an answer without a run")
            return
        if errors.ANSWERS[outcome.kind].run_state is errors.RunState.NOT_RUN:
            self.told_not_run.add(key)

    @hypothesis.stateful.rule(index=INDEX)
    def issue_new_key(self, index):
        engine = self.engines[index % 3]
        if not engine.is_paused:
            key = engine.ledger.issue_key(self.read_clock(engine)).unwrap()
            self.keys.append(key)
            self.expires_at[key] = self.now + keys.KEY_LIFETIME_S

    @hypothesis.stateful.rule(seed=INDEX, steps=strategies.integers(1, 30))
    def run_steps(self, seed, steps):
        """Run random steps of callers, links, engines and servers."""
        rng = random.Random(seed)
        for _ in range(steps):
            step = rng.choices(
                (
                    self.deliver_message,
                    self.use_connection,
                    self.send_request,
                    self.lose_message,
                    self.swap_replies,
                ),
                (50, 40, 12, 6, 4),
            )[0]
            step(rng)
            self.check_answers()

    @hypothesis.stateful.rule(
        period=strategies.sampled_from(PERIODS_S), is_late=strategies.booleans()
    )
    def advance_time(self, period, is_late):
        """Advance the time; with late timers, the next event finds what expired."""
        self.now += period
        for engine in self.engines:
            if not engine.is_paused and not is_late:
                self.execute(engine, engine.ledger.expire(self.read_clock(engine)))

    @hypothesis.stateful.rule(index=INDEX, kind=strategies.sampled_from(FAULTS))
    def inject_fault(self, index, kind):
        engine = self.engines[index % 3]
        if kind == "pause":
            engine.is_paused, engine.is_current = True, False
        elif kind == "resume":
            for each in self.engines:
                each.is_paused = False
        elif kind == "confirm":
            for each in self.engines:
                each.is_current = not each.is_paused
        elif kind == "leave" and engine.waiting and not engine.is_paused:
            caller = min(engine.waiting)
            del engine.waiting[caller]
            self.execute(
                engine,
                engine.ledger.handle_caller_gone(self.read_clock(engine), caller),
            )
        elif kind in ("stop", "crash"):
            if kind == "stop" and not engine.is_paused:
                self.execute(engine, engine.ledger.shut_down(self.read_clock(engine)))
                assert not engine.waiting, "a caller was not answered at the shutdown"
            self.engines[engine.index] = self.start_engine(engine.index)

    def send_request(self, rng):
        """Send copies of a request with a recent key, forged at times, to engines."""
        key = rng.choice(self.keys[-3:])
        if rng.random() < 0.05:
            key = key[:-1] + ("0" if key[-1] != "0" else "1")
        body = rng.choice((b"a", b"a", b"a", b"a", b"b"))
        for index in rng.choices(range(3), k=rng.randint(1, 3)):
            remaining_s = rng.choice((0.0, 0.5, 5.0, 50.0, 50.0, 400.0, 900.0))
            self.in_transit.append(
                Message("request", index, 0, key, body, (remaining_s, None))
            )

    def deliver_message(self, rng):
        """Deliver a random message, so that messages arrive out of order or twice."""
        if not self.in_transit:
            return
        message = self.in_transit.pop(
            rng.choice((-1, rng.randrange(len(self.in_transit))))
        )
        if message.kind == "run":
            self.run_on_server(message, rng.choice(SERVER_EVENTS))
            return
        engine = self.engines[message.engine]
        if engine.is_paused or rng.random() < 0.2:
            self.in_transit.append(message)
        if engine.is_paused:
            return
        if message.kind == "request":
            self.deliver_request(engine, message, rng)
        elif message.incarnation == engine.incarnation:
            self.deliver_reply(engine, message, self.read_clock(engine), rng)

    def deliver_request(self, engine, message, rng):
        remaining_s, origin = message.content
        self.arrivals += 1
        caller = f"c{self.arrivals}"
        engine.waiting[caller] = (message.key, message.body, origin)
        now = self.read_clock(engine)
        request = requestdata.Request(
            caller, message.key, message.body, now + remaining_s, origin is not None
        )
        self.execute(
            engine,
            engine.ledger.handle_request(now, request, engine.make_view(now, rng)),
        )

    def deliver_reply(self, engine, message, now, rng):
        target_id, content, is_refusal = message.content
        engine.attempts.pop(target_id, None)
        if message.kind == "answer":
            table = engine.ledger.forwards
            actions = table.handle_answer(now, target_id, message.key, content)
        elif is_refusal:
            view = engine.make_view(now, rng)
            actions = engine.ledger.handle_refusal(now, target_id, content, view)
        else:
            actions = engine.ledger.handle_reply(now, target_id, content)
        self.execute(engine, actions)

    def run_on_server(self, message, event):
        """Run, fail or refuse a request on a server, and send the reply or lose it."""
        status = {"refuse": 503, "fail": 500}.get(event, 200)
        padding = "x" * (REPLY_BYTES if event == "enlarge" else 0)
        body = f"{message.key} {message.body.decode()}.{padding}".encode()
        if event not in ("refuse", "fail"):
            self.runs[message.key] += 1
        reply = requestdata.Reply(message.content, status, body, event != "truncate")
        if event != "lose":
            content = (message.content, reply, event == "refuse")
            self.in_transit.append(message._replace(kind="reply", content=content))

    def lose_message(self, rng):
        """Lose a message; a lost forward is reported as failed and may arrive late."""
        if not self.in_transit:
            return
        message = self.in_transit.pop(rng.randrange(len(self.in_transit)))
        origin = message.content[1] if message.kind == "request" else None
        if origin is None or self.engines[origin[0]].incarnation != origin[1]:
            return
        engine = self.engines[origin[0]]
        may_be_sent = rng.random() < 0.5
        if (may_be_sent and rng.random() < 0.5) or engine.is_paused:
            self.in_transit.append(message)
        if not engine.is_paused:
            failed = engine.ledger.forwards.handle_failure
            self.execute(
                engine, failed(self.read_clock(engine), origin[2], may_be_sent)
            )

    def swap_replies(self, rng):
        """Swap two replies, so that each arrives on the connection of the other."""
        places = [place for place, m in enumerate(self.in_transit) if m.kind == "reply"]
        if len(places) > 1:
            one, other = rng.sample(places, 2)
            a, b = self.in_transit[one], self.in_transit[other]
            self.in_transit[one] = a._replace(content=(a.content[0], *b.content[1:]))
            self.in_transit[other] = b._replace(content=(b.content[0], *a.content[1:]))

    def use_connection(self, rng):
        """Write the request of an attempt, or report the attempt as failed."""
        engines = [
            engine
            for engine in self.engines
            if engine.attempts and not engine.is_paused
        ]
        if not engines:
            return
        engine = rng.choice(engines)
        now, view = (
            self.read_clock(engine),
            engine.make_view(self.read_clock(engine), rng),
        )
        request_id = rng.choice(sorted(engine.attempts))
        message = engine.attempts.pop(request_id)
        is_sent = request_id in engine.sent
        if rng.random() < (0.05 if is_sent else 0.2):
            self.execute(
                engine, engine.ledger.handle_attempt_failure(now, request_id, view)
            )
            return
        age = rng.choice((0.0, 0.0, 0.0, 5.0))
        sent = engine.ledger.authorize_send(now, request_id, now - age, view)
        if isinstance(sent, result.Err):
            if is_sent:
                engine.attempts[request_id] = message
            self.execute(engine, sent.err_value)
            return
        self.expect("engine", not is_sent, "sent twice")
        expiry = self.expires_at.get(message.key, 0.0)
        self.expect("engine", engine.is_current, "sent while not current")
        self.expect("engine", sent.ok_value > now, "sent after the deadline")
        self.expect("engine", age <= 1.0, "sent on a stale connection")
        self.expect("engine", self.now < expiry, "sent with an expired or forged key")
        engine.sent.add(request_id)
        engine.attempts[request_id] = message
        self.in_transit.append(message)

    @hypothesis.stateful.invariant()
    def check_answers(self):
        in_transit_keys = {
            message.key for message in self.in_transit if message.kind == "run"
        }
        runs_max = max(self.runs.values(), default=0)
        self.expect("runs", runs_max <= 1, "a key ran more than once")
        false_answers = self.told_not_run & (set(self.runs) | in_transit_keys)
        self.expect(
            "answers", not false_answers, "a key that runs was reported as not run"
        )

    def teardown(self):
        """Run the requests in transit, pass all deadlines, find unanswered callers."""
        self.runs.update(item.key for item in self.in_transit if item.kind == "run")
        self.in_transit.clear()
        self.now += 10_000.0
        for engine in self.engines:
            self.execute(engine, engine.ledger.expire(self.read_clock(engine)))
            assert not engine.waiting, "a caller was never answered"
        self.check_answers()


def run_machine(machine, examples):
    """Run a state machine with a reproducible sequence of examples."""
    hypothesis.stateful.run_state_machine_as_test(
        machine,
        settings=hypothesis.settings(
            max_examples=examples,
            stateful_step_count=60,
            derandomize=True,
            database=None,
            deadline=None,
            report_multiple_bugs=False,
            phases=(hypothesis.Phase.generate,),
            suppress_health_check=list(hypothesis.HealthCheck),
        ),
    )


def test_each_key_runs_at_most_once_under_faults():
    """Guards against a second run, a false "not run" and an unanswered caller.

    Messages are lost, late, duplicated and swapped; entry instances pause and restart.
    """
    run_machine(RequestStateMachine, 400)


@pytest.mark.parametrize(
    ("check", "text"),
    [
        ("runs", "ran more than once"),
        ("answers", "reported as not run"),
        ("bodies", "another body"),
    ],
)
def test_state_machine_detects_naive_ledger(check, text):
    """Guards against a state machine that cannot find the faults that it checks for."""

    class NaiveStateMachine(RequestStateMachine):
        ledger_class = NaiveLedger
        checks = frozenset({check})

    with pytest.raises(AssertionError, match=text):
        run_machine(NaiveStateMachine, 250)


KIND = errors.ErrorKind
CURRENT = requestdata.View(tuple(map(requestdata.ReplicaOption, ADDRESSES)), True)


class LedgerHarness:
    """One ledger, one of its keys, and short calls for requests with that key."""

    def __init__(self, **limits):
        self.ledger = requests.RequestLedger(
            "entry0", bytes(16), SECRET, requests.Limits(**limits)
        )
        self.key = self.ledger.issue_key(0.0).ok_value
        self.arrivals = 0

    def submit(self, now, deadline=10.0, view=CURRENT, **changes):
        self.arrivals += 1
        request = requestdata.Request(f"c{self.arrivals}", self.key, b"a", deadline)
        return self.ledger.handle_request(now, request._replace(**changes), view)

    def get_outcome(self, now, **changes):
        """Return the outcome with which a new request is answered at once."""
        return self.submit(now, **changes)[-1].outcome

    def submit_and_send(self, now, **changes):
        """Submit a request and send it; return the identifier of the attempt."""
        request_id = self.submit(now, **changes)[-1].request_id
        assert self.ledger.authorize_send(now, request_id, now, CURRENT).is_ok()
        return request_id


@pytest.mark.parametrize(
    ("old", "new", "now", "kind"),
    [
        ("~1~0~", "~2~0~", 0.0, KIND.KEY_INVALID),
        ("~1~0~", "~01~0~", 0.0, KIND.KEY_INVALID),
        ("~1~0~", "~1~9~", 0.0, KIND.KEY_INVALID),
        ("k1~", "k1~~", 0.0, KIND.KEY_INVALID),
        ("k1~", "k1~\u0661", 0.0, KIND.KEY_INVALID),
        ("k1~", "k2~", 0.0, KIND.OUTCOME_UNKNOWN),
        ("~0000", "~1000", 0.0, KIND.OUTCOME_UNKNOWN),
        ("k1~", "k1~", 600.0, KIND.KEY_EXPIRED),
        ("k1~", "k1~", 1200.0, KIND.OUTCOME_UNKNOWN),
    ],
)
def test_invalid_and_expired_keys_are_refused(old, new, now, kind):
    """Guards against a run under an invalid or expired key and a false "not run"."""
    harness = LedgerHarness()
    key = harness.key.replace(old, new, 1)
    assert harness.get_outcome(now, deadline=now + 1.0, key=key).kind is kind


def test_late_reply_replaces_unknown_outcome():
    """Guards against an outcome lost with a late reply or taken from another attempt.

    The callers are answered when the connection is lost; the reply arrives later.
    """
    harness = LedgerHarness()
    request_id = harness.submit_and_send(0.0)
    assert harness.submit(0.0) == []
    lost = harness.ledger.handle_attempt_failure(1.0, request_id, CURRENT)
    assert [answer.caller for answer in lost] == ["c1", "c2"]
    assert {answer.outcome.kind for answer in lost} == {KIND.OUTCOME_UNKNOWN}
    other = requestdata.Reply("other", 200, b"other")
    assert harness.ledger.handle_reply(2.0, request_id, other)
    assert harness.get_outcome(3.0).kind is KIND.OUTCOME_UNKNOWN
    reply = requestdata.Reply(request_id, 200, b"booked")
    harness.ledger.handle_reply(4.0, request_id, reply)
    assert harness.get_outcome(599.0, deadline=0.0) == reply
    assert harness.get_outcome(599.0, body_digest=b"b").kind is KIND.KEY_REUSED
    assert harness.get_outcome(600.0).kind is KIND.OUTCOME_UNKNOWN


def test_refused_or_unsent_attempt_tries_next_replica():
    """Guards against no retry while replicas are left, and against a second run.

    An attempt that was not sent or was refused is retried on the next replica. Replies
    to an attempt that was not sent or has ended change nothing.
    """
    harness = LedgerHarness()
    first = harness.submit(0.0)[0]
    second = harness.ledger.handle_attempt_failure(0.0, first.request_id, CURRENT)[0]
    reply = requestdata.Reply(second.request_id, 503, b"")
    stray = harness.ledger.handle_reply(
        0.0, second.request_id, reply._replace(status=200)
    )
    assert stray == [requestdata.CancelAttempt(second.request_id)]
    assert harness.ledger.authorize_send(0.0, second.request_id, 0.0, CURRENT).is_ok()
    assert harness.ledger.authorize_send(0.0, second.request_id, 0.0, CURRENT).is_err()
    third = harness.ledger.handle_refusal(0.0, second.request_id, reply, CURRENT)[0]
    assert harness.ledger.authorize_send(0.0, third.request_id, 0.0, CURRENT).is_ok()
    late = harness.ledger.handle_refusal(0.0, second.request_id, reply, CURRENT)
    assert late == [requestdata.CancelAttempt(second.request_id)]
    assert [first.address, second.address, third.address] == list(ADDRESSES)
    reply = reply._replace(request_id=third.request_id)
    (closed,) = harness.ledger.handle_refusal(0.0, third.request_id, reply, CURRENT)
    assert closed.outcome.kind is KIND.NOT_RUN
    assert harness.get_outcome(0.0) == closed.outcome


def test_refusal_of_another_attempt_gives_no_retry():
    """Guards against a second run after a refusal that belongs to another request."""
    harness = LedgerHarness()
    request_id = harness.submit_and_send(0.0)
    reply = requestdata.Reply("other", 503, b"")
    answer = harness.ledger.handle_refusal(0.0, request_id, reply, CURRENT)[0]
    assert answer.outcome.kind is KIND.OUTCOME_UNKNOWN
    reply = requestdata.Reply(request_id, 200, b"booked")
    harness.ledger.handle_refusal(0.0, request_id, reply, CURRENT)
    assert harness.get_outcome(0.0) == reply


def test_unusable_replicas_and_stale_connections_are_not_used():
    """Guards against sends to a zone that was taken out, and endless attempts."""
    harness = LedgerHarness()
    action, last_active_at = harness.submit(0.0)[0], 0.0
    view = CURRENT._replace(replicas=CURRENT.replicas[1:])
    for _ in range(idempotency.ATTEMPTS_MAX):
        sent = harness.ledger.authorize_send(
            0.0, action.request_id, last_active_at, view
        )
        action, last_active_at = sent.err_value[1], -5.0
        assert getattr(action, "address", ADDRESSES[1]) == ADDRESSES[1]
    assert action.outcome.kind is KIND.NOT_RUN


def test_nothing_is_sent_after_key_lifetime():
    """Guards against a send with an expired key after a wait or a late refusal."""
    harness = LedgerHarness()
    harness.submit(599.0, deadline=700.0)
    assert harness.ledger.expire(600.0)[0].outcome.kind is KIND.KEY_EXPIRED
    harness = LedgerHarness()
    request_id = harness.submit_and_send(599.0, deadline=700.0)
    reply = requestdata.Reply(request_id, 503, b"")
    (answer,) = harness.ledger.handle_refusal(601.0, request_id, reply, CURRENT)
    assert answer.outcome.kind is KIND.KEY_EXPIRED


def test_deadline_of_one_of_two_callers_gives_unknown_outcome():
    """Guards against a false "not run" while another caller still waits."""
    harness = LedgerHarness()
    assert [type(action) for action in harness.submit(0.0)] == [requestdata.Send]
    assert harness.submit(0.0, deadline=5.0) == []
    assert harness.ledger.next_timer() == 5.0
    (joined,) = harness.ledger.expire(5.0)
    assert (joined.caller, joined.outcome.kind) == ("c2", KIND.OUTCOME_UNKNOWN)
    assert harness.ledger.next_timer() == 10.0
    first, close = harness.ledger.expire(10.0)
    assert (first.caller, first.outcome.kind) == ("c1", KIND.NOT_RUN)
    assert harness.ledger.authorize_send(10.0, close.request_id, 10.0, CURRENT).is_err()


@pytest.mark.parametrize(
    ("now", "deadline", "is_current", "kind"),
    [
        (5.0, 10.0, False, KIND.NOT_CURRENT),
        (10.0, 10.0, True, KIND.NOT_RUN),
        (600.0, 700.0, True, KIND.KEY_EXPIRED),
    ],
)
def test_conditions_are_checked_directly_before_send(now, deadline, is_current, kind):
    """Guards against a send after a process pause during which no timer ran."""
    harness = LedgerHarness()
    request_id = harness.submit(0.0, deadline=deadline)[0].request_id
    view = CURRENT._replace(is_current=is_current)
    sent = harness.ledger.authorize_send(now, request_id, now, view)
    assert sent.err_value[0].outcome.kind is kind


def test_disconnect_cancels_only_unsent_request():
    """Guards against a needless send, and against "not run" for a sent request."""
    harness = LedgerHarness()
    request_id = harness.submit(0.0)[0].request_id
    assert harness.ledger.handle_caller_gone(0.0, "c1") == [
        requestdata.CancelAttempt(request_id)
    ]
    assert harness.get_outcome(0.0).kind is KIND.NOT_RUN
    harness = LedgerHarness()
    harness.submit_and_send(0.0)
    assert harness.ledger.handle_caller_gone(0.0, "c1") == []
    assert harness.submit(0.0) == []


def test_key_refused_by_engine_stays_refused():
    """Guards against a run of a copy that arrives after the answer "not run"."""
    harness = LedgerHarness()
    view = CURRENT._replace(refusal=KIND.UNKNOWN_SERVICE)
    assert harness.get_outcome(0.0, view=view).kind is KIND.UNKNOWN_SERVICE
    assert harness.get_outcome(1.0).kind is KIND.UNKNOWN_SERVICE


def test_memory_is_bounded():
    """Guards against unbounded state, and a run of a key refused as overloaded."""
    harness = LedgerHarness(records=1, keys=2, reply_bytes=4)
    request_id = harness.submit_and_send(0.0)
    second = harness.ledger.issue_key(0.0).ok_value
    assert harness.ledger.issue_key(0.0).err_value.kind is KIND.OVERLOADED
    assert harness.get_outcome(0.0, key=second).kind is KIND.OVERLOADED
    reply = requestdata.Reply(request_id, 200, b"large")
    assert harness.ledger.handle_reply(0.0, request_id, reply)[0].outcome == reply
    assert harness.get_outcome(0.0).kind is KIND.OUTCOME_UNKNOWN
    harness.ledger.expire(600.0)
    assert harness.get_outcome(600.0, key=second).kind is KIND.OVERLOADED
    while (timer := harness.ledger.next_timer()) is not None:
        harness.ledger.expire(timer)
    state = vars(harness.ledger)
    assert not any(
        state[name] for name in ("_records", "_closed_keys", "_records_by_attempt")
    )
    assert harness.ledger.issue_key(1200.0).is_ok()
    table = callers.CallerTable(2)
    for number in range(100):
        table.add(f"c{number}", 1000.0 - number, None)
        table.remove(f"c{number}")
    assert len(table._deadlines) <= 5


def test_forward_failures_give_unknown_outcome():
    """Guards against a second hop, endless attempts and a false "not run".

    A refusal by the issuer itself is passed on as it is.
    """
    harness = LedgerHarness()
    key = harness.key.replace("entry0", "entry1")
    assert (
        harness.get_outcome(0.0, key=key, is_forwarded=True).kind
        is KIND.OUTCOME_UNKNOWN
    )
    assert harness.submit(0.0, key=key)[0].issuer == "entry1"
    table = harness.ledger.forwards
    tries = [type(table.handle_failure(1.0, "c2", False)[0]) for _ in range(3)]
    assert tries == [requestdata.Forward, requestdata.Forward, requestdata.Answer]
    refused = errors.Failure(KIND.NOT_CURRENT)
    harness.submit(1.0, key=key)
    assert table.handle_answer(1.0, "c3", key, refused)[0].outcome == refused
    harness.submit(1.0, key=key)
    crossed = table.handle_answer(1.0, "c4", harness.key, refused)
    assert crossed[0].outcome.kind is KIND.OUTCOME_UNKNOWN
    harness.submit(1.0, key=key)
    assert table.handle_failure(1.0, "c5", True)[0].outcome.kind is KIND.OUTCOME_UNKNOWN
