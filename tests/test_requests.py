"""Tests for acacialatch.requests and the modules that it is made of."""

import collections
import random
import typing

import hypothesis
import hypothesis.stateful
import pytest
import result
from hypothesis import strategies

from acacialatch import callers, errors, keys, requestdata, requests, runs

SECRET = b"s" * 32
ADDRESSES = ("127.0.0.1:7001", "127.0.0.1:7002", "127.0.0.1:7003")
REPLY_BYTES = 200
INDEX = strategies.integers(0, 2**16)
EVENTS = ("run", "run", "lose", "refuse", "refuse", "fail", "truncate", "enlarge")
FAULTS = ("pause", "pause", "resume", "resume", "confirm", "leave", "stop", "crash")
PERIODS_S = (0.4, 0.4, 0.4, 2.0, 2.0, 2.0, 30.0, 30.0, 300.0, 599.0)


class Message(typing.NamedTuple):
    """A message under way to a node, or to a server if `kind` is `run`."""

    kind: str
    node: int
    incarnation: int
    key: str
    body: bytes = b""
    content: typing.Any = None


class NaiveLedger(requests.RequestLedger):
    """Ignores the keys that requests carry, and tries again after any failure."""

    def begin(self, now, request, view):
        own_key = self.issue_key(now).unwrap()
        return super().begin(now, request._replace(key=own_key), view)

    def note_lost(self, now, request_id, view):
        if request_id in self._attempts:
            self._attempts[request_id].stage = runs.Stage.CONNECTING
        return super().note_lost(now, request_id, view)


class Node:
    """Fake engine of one entry instance; its clock has an own origin."""

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

    def view(self, now, rng):
        """Return replicas in any order, with connections of any age."""
        replicas = tuple(
            requestdata.ReplicaOption(address, rng.choice((None, now, now - 5.0)))
            for address in rng.sample(ADDRESSES, rng.choice((3,) * 10 + (1, 0)))
        )
        return requestdata.View(replicas, self.is_current)


class Fleet(hypothesis.stateful.RuleBasedStateMachine):
    """Entry instances, callers and servers, joined by unreliable links."""

    ledger_class: typing.Any = requests.RequestLedger
    checks = frozenset({"runs", "answers", "bodies", "engine"})

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.net: list[Message] = []
        self.keys: list[str] = []
        self.runs = collections.Counter()
        self.denied = set()
        self.first_body = {}
        self.expires_at = {}
        self.incarnations = 0
        self.receipts = 0
        self.nodes = [self.start(index) for index in range(3)]
        self.get_key(0)
        self.get_key(1)

    def start(self, index):
        self.incarnations += 1
        return Node(self.ledger_class, index, self.incarnations)

    def clock(self, node):
        return self.now + node.clock_origin

    def check(self, name, holds, text):
        assert name not in self.checks or holds, text

    def perform(self, node, actions):
        """Carry out what the ledger of a node decided."""
        for action in actions:
            if isinstance(action, requestdata.Send):
                key, body = node.waiting[action.caller][:2]
                first = self.first_body.setdefault(key, body)
                self.check("bodies", body == first, "another body was sent")
                place = ("run", node.index, node.incarnation, key, body)
                node.attempts[action.request_id] = Message(*place, action.request_id)
            elif isinstance(action, requestdata.Forward):
                key, body = node.waiting[action.caller][:2]
                origin = (node.index, node.incarnation, action.caller)
                rest = action.deadline - self.clock(node)
                index = int(action.issuer.removeprefix("entry"))
                self.net.append(Message("request", index, 0, key, body, (rest, origin)))
            elif isinstance(action, requestdata.Close):
                node.attempts.pop(action.request_id, None)
            else:
                self.answer(node, *action)

    def answer(self, node, caller, outcome):
        key, body, origin = node.waiting.pop(caller)
        if origin is not None:
            index, incarnation, peer_caller = origin
            place = ("answer", index, incarnation, key, body)
            self.net.append(Message(*place, (peer_caller, outcome, False)))
            return
        if isinstance(outcome, requestdata.Reply):
            whole = outcome.body.startswith(f"{key} {body.decode()}.".encode())
            self.check("answers", whole, "an answer belongs to another request")
            self.check("answers", outcome.is_complete, "an answer is cut short")
            self.check("answers", key in self.runs, "an answer without a run")
            return
        if errors.ANSWERS[outcome.kind].run_state is errors.RunState.NOT_RUN:
            self.denied.add(key)

    @hypothesis.stateful.rule(index=INDEX)
    def get_key(self, index):
        node = self.nodes[index % 3]
        if not node.is_paused:
            key = node.ledger.issue_key(self.clock(node)).unwrap()
            self.keys.append(key)
            self.expires_at[key] = self.now + keys.KEY_LIFETIME_S

    @hypothesis.stateful.rule(seed=INDEX, steps=strategies.integers(1, 30))
    def work(self, seed, steps):
        """Let links, servers and engines take some steps in any order."""
        rng = random.Random(seed)
        for _ in range(steps):
            step = rng.choices(
                (self.deliver, self.use_connection, self.call, self.lose, self.cross),
                (50, 40, 12, 6, 4),
            )[0]
            step(rng)
            self.check_answers()

    @hypothesis.stateful.rule(
        period=strategies.sampled_from(PERIODS_S), is_late=strategies.booleans()
    )
    def advance(self, period, is_late):
        """Let time pass; late timers leave the checks to the next event."""
        self.now += period
        for node in self.nodes:
            if not node.is_paused and not is_late:
                self.perform(node, node.ledger.expire(self.clock(node)))

    @hypothesis.stateful.rule(index=INDEX, kind=strategies.sampled_from(FAULTS))
    def fail(self, index, kind):
        node = self.nodes[index % 3]
        if kind == "pause":
            node.is_paused, node.is_current = True, False
        elif kind == "resume":
            for each in self.nodes:
                each.is_paused = False
        elif kind == "confirm":
            for each in self.nodes:
                each.is_current = not each.is_paused
        elif kind == "leave" and node.waiting and not node.is_paused:
            name = min(node.waiting)
            del node.waiting[name]
            self.perform(node, node.ledger.drop_caller(self.clock(node), name))
        elif kind in ("stop", "crash"):
            if kind == "stop" and not node.is_paused:
                self.perform(node, node.ledger.shut_down(self.clock(node)))
                assert not node.waiting, "a caller was not answered at the shutdown"
            self.nodes[node.index] = self.start(node.index)

    def call(self, rng):
        """Send a request with one of the latest keys to one or more nodes."""
        key = rng.choice(self.keys[-3:])
        if rng.random() < 0.05:
            key = key[:-1] + ("0" if key[-1] != "0" else "1")
        body = rng.choice((b"a", b"a", b"a", b"a", b"b"))
        for index in rng.choices(range(3), k=rng.randint(1, 3)):
            rest = rng.choice((0.0, 0.5, 5.0, 50.0, 50.0, 400.0, 900.0))
            self.net.append(Message("request", index, 0, key, body, (rest, None)))

    def deliver(self, rng):
        """Deliver any message, so that messages overtake each other."""
        if not self.net:
            return
        message = self.net.pop(rng.choice((-1, rng.randrange(len(self.net)))))
        if message.kind == "run":
            self.serve(message, rng.choice(EVENTS))
            return
        node = self.nodes[message.node]
        if node.is_paused or rng.random() < 0.2:
            self.net.append(message)
        if node.is_paused:
            return
        if message.kind == "request":
            self.receive(node, message, rng)
        elif message.incarnation == node.incarnation:
            self.receive_reply(node, message, self.clock(node), rng)

    def receive(self, node, message, rng):
        rest, origin = message.content
        self.receipts += 1
        caller = f"c{self.receipts}"
        node.waiting[caller] = (message.key, message.body, origin)
        now = self.clock(node)
        request = requestdata.Request(
            caller, message.key, message.body, now + rest, origin is not None
        )
        self.perform(node, node.ledger.begin(now, request, node.view(now, rng)))

    def receive_reply(self, node, message, now, rng):
        name, content, is_refusal = message.content
        node.attempts.pop(name, None)
        if message.kind == "answer":
            table = node.ledger.forwards
            actions = table.note_answered(now, name, message.key, content)
        elif is_refusal:
            view = node.view(now, rng)
            actions = node.ledger.note_refused(now, name, content, view)
        else:
            actions = node.ledger.note_reply(now, name, content)
        self.perform(node, actions)

    def serve(self, message, event):
        """Let a server run the request, fail without a trace, or refuse it."""
        status = {"refuse": 503, "fail": 500}.get(event, 200)
        padding = "x" * (REPLY_BYTES if event == "enlarge" else 0)
        body = f"{message.key} {message.body.decode()}.{padding}".encode()
        if event not in ("refuse", "fail"):
            self.runs[message.key] += 1
        reply = requestdata.Reply(message.content, status, body, event != "truncate")
        if event != "lose":
            content = (message.content, reply, event == "refuse")
            self.net.append(message._replace(kind="reply", content=content))

    def lose(self, rng):
        """Lose a message; a forward is reported as failed and may come late."""
        if not self.net:
            return
        message = self.net.pop(rng.randrange(len(self.net)))
        origin = message.content[1] if message.kind == "request" else None
        if origin is None or self.nodes[origin[0]].incarnation != origin[1]:
            return
        node = self.nodes[origin[0]]
        has_left = rng.random() < 0.5
        if (has_left and rng.random() < 0.5) or node.is_paused:
            self.net.append(message)
        if not node.is_paused:
            failed = node.ledger.forwards.note_failed
            self.perform(node, failed(self.clock(node), origin[2], has_left))

    def cross(self, rng):
        """Let two replies change places."""
        places = [place for place, m in enumerate(self.net) if m.kind == "reply"]
        if len(places) > 1:
            one, other = rng.sample(places, 2)
            a, b = self.net[one], self.net[other]
            self.net[one] = a._replace(content=(a.content[0], *b.content[1:]))
            self.net[other] = b._replace(content=(b.content[0], *a.content[1:]))

    def use_connection(self, rng):
        """Write on a connection that is ready, or report it as failed or lost."""
        nodes = [node for node in self.nodes if node.attempts and not node.is_paused]
        if not nodes:
            return
        node = rng.choice(nodes)
        now, view = self.clock(node), node.view(self.clock(node), rng)
        request_id = rng.choice(sorted(node.attempts))
        message = node.attempts.pop(request_id)
        is_sent = request_id in node.sent
        if rng.random() < (0.05 if is_sent else 0.2):
            self.perform(node, node.ledger.note_lost(now, request_id, view))
            return
        age = rng.choice((0.0, 0.0, 0.0, 5.0))
        sent = node.ledger.note_sent(now, request_id, now - age, view)
        if isinstance(sent, result.Err):
            if is_sent:
                node.attempts[request_id] = message
            self.perform(node, sent.err_value)
            return
        self.check("engine", not is_sent, "sent twice")
        expiry = self.expires_at.get(message.key, 0.0)
        self.check("engine", node.is_current, "sent while not current")
        self.check("engine", sent.ok_value > now, "sent after the deadline")
        self.check("engine", age <= 1.0, "sent on a connection not proved")
        self.check("engine", self.now < expiry, "sent with an ended or forged key")
        node.sent.add(request_id)
        node.attempts[request_id] = message
        self.net.append(message)

    @hypothesis.stateful.invariant()
    def check_answers(self):
        under_way = {message.key for message in self.net if message.kind == "run"}
        most = max(self.runs.values(), default=0)
        self.check("runs", most <= 1, "a key ran more than once")
        false = self.denied & (set(self.runs) | under_way)
        self.check("answers", not false, "not run was said of a key that runs")

    def teardown(self):
        """Run what is under way, let all time pass and look for lost callers."""
        self.runs.update(item.key for item in self.net if item.kind == "run")
        self.net.clear()
        self.now += 10_000.0
        for node in self.nodes:
            self.perform(node, node.ledger.expire(self.clock(node)))
            assert not node.waiting, "a caller was never answered"
        self.check_answers()


def run_fleet(machine, examples):
    """Run the machine with a fixed sequence of examples."""
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


def test_fleet_runs_each_key_at_most_once():
    """Guards against a second run, a false "not run" and a lost caller."""
    run_fleet(Fleet, 400)


@pytest.mark.parametrize(
    ("check", "text"),
    [
        ("runs", "ran more than once"),
        ("answers", "not run was said"),
        ("bodies", "another body"),
    ],
)
def test_naive_ledger_fails(check, text):
    """Guards against a machine too weak to find the faults that it looks for."""

    class NaiveFleet(Fleet):
        ledger_class = NaiveLedger
        checks = frozenset({check})

    with pytest.raises(AssertionError, match=text):
        run_fleet(NaiveFleet, 250)


KIND = errors.ErrorKind
CURRENT = requestdata.View(tuple(map(requestdata.ReplicaOption, ADDRESSES)), True)


class Desk:
    """One ledger with short calls for the focused tests."""

    def __init__(self, **limits):
        self.ledger = requests.RequestLedger(
            "entry0", bytes(16), SECRET, requests.Limits(**limits)
        )
        self.key = self.ledger.issue_key(0.0).ok_value
        self.receipts = 0

    def begin(self, now, deadline=10.0, view=CURRENT, **changes):
        self.receipts += 1
        request = requestdata.Request(f"c{self.receipts}", self.key, b"a", deadline)
        return self.ledger.begin(now, request._replace(**changes), view)

    def ask(self, now, **changes):
        """Return the outcome that a new request gets at once."""
        return self.begin(now, **changes)[-1].outcome

    def send(self, now, **changes):
        """Begin a request and send it; return the identifier of the attempt."""
        request_id = self.begin(now, **changes)[-1].request_id
        assert self.ledger.note_sent(now, request_id, now, CURRENT).is_ok()
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
def test_keys_that_do_not_run(old, new, now, kind):
    """Guards against accepting such a key and against a false "not run"."""
    desk = Desk()
    key = desk.key.replace(old, new, 1)
    assert desk.ask(now, deadline=now + 1.0, key=key).kind is kind


def test_late_reply_is_recorded():
    """Guards against losing a known outcome, and against one of another attempt."""
    desk = Desk()
    request_id = desk.send(0.0)
    assert desk.begin(0.0) == []
    lost = desk.ledger.note_lost(1.0, request_id, CURRENT)
    assert [answer.caller for answer in lost] == ["c1", "c2"]
    assert {answer.outcome.kind for answer in lost} == {KIND.OUTCOME_UNKNOWN}
    other = requestdata.Reply("other", 200, b"other")
    assert desk.ledger.note_reply(2.0, request_id, other)
    assert desk.ask(3.0).kind is KIND.OUTCOME_UNKNOWN
    reply = requestdata.Reply(request_id, 200, b"booked")
    desk.ledger.note_reply(4.0, request_id, reply)
    assert desk.ask(599.0, deadline=0.0) == reply
    assert desk.ask(599.0, body_digest=b"b").kind is KIND.KEY_REUSED
    assert desk.ask(600.0).kind is KIND.OUTCOME_UNKNOWN


def test_refused_or_unsent_attempt_moves_on():
    """Guards against giving up, or a second run, while replicas are left."""
    desk = Desk()
    first = desk.begin(0.0)[0]
    second = desk.ledger.note_lost(0.0, first.request_id, CURRENT)[0]
    reply = requestdata.Reply(second.request_id, 503, b"")
    stray = desk.ledger.note_reply(0.0, second.request_id, reply._replace(status=200))
    assert stray == [requestdata.Close(second.request_id)]
    assert desk.ledger.note_sent(0.0, second.request_id, 0.0, CURRENT).is_ok()
    assert desk.ledger.note_sent(0.0, second.request_id, 0.0, CURRENT).is_err()
    third = desk.ledger.note_refused(0.0, second.request_id, reply, CURRENT)[0]
    assert desk.ledger.note_sent(0.0, third.request_id, 0.0, CURRENT).is_ok()
    late = desk.ledger.note_refused(0.0, second.request_id, reply, CURRENT)
    assert late == [requestdata.Close(second.request_id)]
    assert [first.address, second.address, third.address] == list(ADDRESSES)
    reply = reply._replace(request_id=third.request_id)
    (closed,) = desk.ledger.note_refused(0.0, third.request_id, reply, CURRENT)
    assert closed.outcome.kind is KIND.NOT_RUN
    assert desk.ask(0.0) == closed.outcome


def test_unverified_refusal_is_no_refusal():
    """Guards against a second run after the refusal of another request."""
    desk = Desk()
    request_id = desk.send(0.0)
    reply = requestdata.Reply("other", 503, b"")
    answer = desk.ledger.note_refused(0.0, request_id, reply, CURRENT)[0]
    assert answer.outcome.kind is KIND.OUTCOME_UNKNOWN
    reply = requestdata.Reply(request_id, 200, b"booked")
    desk.ledger.note_refused(0.0, request_id, reply, CURRENT)
    assert desk.ask(0.0) == reply


def test_unfit_connections_are_not_used():
    """Guards against new work for a zone taken out, and against endless attempts."""
    desk = Desk()
    action, last_active_at = desk.begin(0.0)[0], 0.0
    view = CURRENT._replace(replicas=CURRENT.replicas[1:])
    for _ in range(runs.ATTEMPTS_MAX):
        sent = desk.ledger.note_sent(0.0, action.request_id, last_active_at, view)
        action, last_active_at = sent.err_value[1], -5.0
        assert getattr(action, "address", ADDRESSES[1]) == ADDRESSES[1]
    assert action.outcome.kind is KIND.NOT_RUN


def test_nothing_is_sent_after_the_key_lifetime():
    """Guards against a send with an ended key after a wait or a late refusal."""
    desk = Desk()
    desk.begin(599.0, deadline=700.0)
    assert desk.ledger.expire(600.0)[0].outcome.kind is KIND.KEY_EXPIRED
    desk = Desk()
    request_id = desk.send(599.0, deadline=700.0)
    reply = requestdata.Reply(request_id, 503, b"")
    (answer,) = desk.ledger.note_refused(601.0, request_id, reply, CURRENT)
    assert answer.outcome.kind is KIND.KEY_EXPIRED


def test_deadline_of_a_joined_caller():
    """Guards against a false "not run" while another caller still waits."""
    desk = Desk()
    assert [type(action) for action in desk.begin(0.0)] == [requestdata.Send]
    assert desk.begin(0.0, deadline=5.0) == []
    assert desk.ledger.next_timer() == 5.0
    (joined,) = desk.ledger.expire(5.0)
    assert (joined.caller, joined.outcome.kind) == ("c2", KIND.OUTCOME_UNKNOWN)
    assert desk.ledger.next_timer() == 10.0
    first, close = desk.ledger.expire(10.0)
    assert (first.caller, first.outcome.kind) == ("c1", KIND.NOT_RUN)
    assert desk.ledger.note_sent(10.0, close.request_id, 10.0, CURRENT).is_err()


@pytest.mark.parametrize(
    ("now", "deadline", "is_current", "kind"),
    [
        (5.0, 10.0, False, KIND.NOT_CURRENT),
        (10.0, 10.0, True, KIND.NOT_RUN),
        (600.0, 700.0, True, KIND.KEY_EXPIRED),
    ],
)
def test_last_check_before_the_send(now, deadline, is_current, kind):
    """Guards against a send after a pause during which no timer ran."""
    desk = Desk()
    request_id = desk.begin(0.0, deadline=deadline)[0].request_id
    view = CURRENT._replace(is_current=is_current)
    sent = desk.ledger.note_sent(now, request_id, now, view)
    assert sent.err_value[0].outcome.kind is kind


def test_caller_that_leaves():
    """Guards against an unneeded send, and against "not run" of a sent request."""
    desk = Desk()
    request_id = desk.begin(0.0)[0].request_id
    assert desk.ledger.drop_caller(0.0, "c1") == [requestdata.Close(request_id)]
    assert desk.ask(0.0).kind is KIND.NOT_RUN
    desk = Desk()
    desk.send(0.0)
    assert desk.ledger.drop_caller(0.0, "c1") == []
    assert desk.begin(0.0) == []


def test_key_that_the_engine_refuses_stays_refused():
    """Guards against a run by a copy that arrives after "not run" was said."""
    desk = Desk()
    view = CURRENT._replace(refusal=KIND.UNKNOWN_SERVICE)
    assert desk.ask(0.0, view=view).kind is KIND.UNKNOWN_SERVICE
    assert desk.ask(1.0).kind is KIND.UNKNOWN_SERVICE


def test_memory_is_bounded():
    """Guards against growth, and against a run of a key refused as overloaded."""
    desk = Desk(records=1, keys=2, reply_bytes=4)
    request_id = desk.send(0.0)
    second = desk.ledger.issue_key(0.0).ok_value
    assert desk.ledger.issue_key(0.0).err_value.kind is KIND.OVERLOADED
    assert desk.ask(0.0, key=second).kind is KIND.OVERLOADED
    reply = requestdata.Reply(request_id, 200, b"large")
    assert desk.ledger.note_reply(0.0, request_id, reply)[0].outcome == reply
    assert desk.ask(0.0).kind is KIND.OUTCOME_UNKNOWN
    desk.ledger.expire(600.0)
    assert desk.ask(600.0, key=second).kind is KIND.OVERLOADED
    while (timer := desk.ledger.next_timer()) is not None:
        desk.ledger.expire(timer)
    state = vars(desk.ledger)
    assert not any(state[name] for name in ("_runs", "_closed", "_attempts"))
    assert desk.ledger.issue_key(1200.0).is_ok()
    table = callers.CallerTable(2)
    for number in range(100):
        table.add(f"c{number}", 1000.0 - number, None)
        table.remove(f"c{number}")
    assert len(table._heap) <= 5


def test_forwarding():
    """Guards against a second hop, endless attempts and a false "not run"."""
    desk = Desk()
    key = desk.key.replace("entry0", "entry1")
    assert desk.ask(0.0, key=key, is_forwarded=True).kind is KIND.OUTCOME_UNKNOWN
    assert desk.begin(0.0, key=key)[0].issuer == "entry1"
    table = desk.ledger.forwards
    tries = [type(table.note_failed(1.0, "c2", False)[0]) for _ in range(3)]
    assert tries == [requestdata.Forward, requestdata.Forward, requestdata.Answer]
    refused = errors.Failure(KIND.NOT_CURRENT)
    desk.begin(1.0, key=key)
    assert table.note_answered(1.0, "c3", key, refused)[0].outcome == refused
    desk.begin(1.0, key=key)
    crossed = table.note_answered(1.0, "c4", desk.key, refused)
    assert crossed[0].outcome.kind is KIND.OUTCOME_UNKNOWN
    desk.begin(1.0, key=key)
    assert table.note_failed(1.0, "c5", True)[0].outcome.kind is KIND.OUTCOME_UNKNOWN
