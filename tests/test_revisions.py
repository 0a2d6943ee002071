"""Tests of the order of configurations and of the freshness of the one in force."""

import typing

import hypothesis
import pytest
import result
from hypothesis import stateful, strategies

from acacialatch import configuration, revisions

NODES = ("a", "b", "c")
SERVICE = revisions.SERVICE_SOURCE
HEAD = """entry_instances_max = 3
zones = ["east"]
[indexes.rows]
keys = 10
partition_map = {partition_map}
[shapes.desk]
slots = 1
connections = 3
connect_ms = 1
cold_requests = 2
cold_window_ms = 1
warm_up_ms = 1
warm_after_requests = 1
[services.rows]
index = "rows"
start = 0
end = 10
shape = "desk"
replicas = [{{ address = "127.0.0.1:1", zone = "east" }}]
"""
BOUNDED = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=200,
    stateful_step_count=50,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def write(title: str, partition_map: int = 1) -> bytes:
    return f'title = "{title}"\n{HEAD.format(partition_map=partition_map)}'.encode()


TEXTS = tuple(write(f"t{i}") for i in range(4))
BAD_TEXT = b"title = 1"


class LastWriterStore(revisions.RevisionStore):
    """Naive version: every valid text replaces the one in force."""

    def offer(self, now, revision, text, source):
        version = revisions.ConfigurationVersion(revision, revisions.hash_text(text))
        if version == self.version:
            return revisions.Outcome(revisions.Verdict.SAME)
        parsed = configuration.parse(text)
        if isinstance(parsed, result.Err):
            return self._refuse(now, version, parsed.err_value, source)
        return self._accept(now, version, text, parsed.ok_value, source)


class TrustingStore(revisions.RevisionStore):
    """Naive version: every message confirms, whenever it was asked for."""

    def confirm(self, now, source, **answer):
        return super().confirm(now, source, **{**answer, "requested_at": now})


class Answer(typing.NamedTuple):
    """An answer in flight to `node`, with what its source held when it answered."""

    node: str
    source: str
    requested_at: float
    version: revisions.ConfigurationVersion | None
    text: bytes | None
    is_current: bool


class Fleet(stateful.RuleBasedStateMachine):
    """Three stores joined by links that lose, delay and reorder answers."""

    store_type: type[revisions.RevisionStore] = revisions.RevisionStore

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.stores = {node: self.store_type() for node in NODES}
        self.paused: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self.service_up = True
        self.history: list[tuple[int, bytes]] = [(1, TEXTS[0])]
        self.flying: list[Answer] = []
        self.resumed_at = dict.fromkeys(NODES, self.now)
        self.may_be_current = dict.fromkeys(NODES, False)
        self.highest: dict[str, revisions.ConfigurationVersion] = {}
        for store in self.stores.values():
            store.note_loop(self.now)

    def ask(self, node: str, source: str) -> None:
        """Send a request; its answer is held back until it is delivered or lost."""
        if node in self.paused or frozenset((node, source)) in self.cut:
            return
        if source == SERVICE:
            if self.service_up:
                revision, text = self.history[-1]
                version = revisions.ConfigurationVersion(
                    revision, revisions.hash_text(text)
                )
                answer = Answer(node, SERVICE, self.now, version, text, True)
                self.flying.append(answer)
        elif source not in self.paused:
            store = self.stores[source]
            current = store.is_current(self.now, peers_known=True)
            self.flying.append(
                Answer(node, source, self.now, store.version, store.text, current)
            )

    def deliver(self, answer: Answer) -> None:
        store = self.stores[answer.node]
        source = answer.source
        if source != SERVICE:
            source = revisions.make_peer_source(source)
        if answer.text is not None:
            store.offer(self.now, answer.version.revision, answer.text, source)
        confirmation = store.confirm(
            self.now,
            source,
            requested_at=answer.requested_at,
            version=answer.version,
            is_source_current=answer.is_current,
        )
        if confirmation.status is revisions.ConfirmationStatus.CONFIRMED:
            fresh = answer.requested_at >= self.resumed_at[answer.node]
            self.may_be_current[answer.node] |= fresh

    def advance(self, step: float) -> None:
        self.now += step
        for node in NODES:
            if node not in self.paused:
                self.stores[node].note_loop(self.now)

    @stateful.rule(
        step=strategies.integers(0, 2), text=strategies.sampled_from((*TEXTS, BAD_TEXT))
    )
    def publish(self, step, text):
        """Operators publish; a step of 0 is a race for one revision."""
        self.history.append((self.history[-1][0] + step, text))

    @stateful.precondition(lambda self: len(self.history) > 1)
    @stateful.rule()
    def restore_service(self):
        self.history.pop()

    @stateful.rule()
    def switch_service(self):
        self.service_up = not self.service_up

    @stateful.rule(ends=strategies.sets(strategies.sampled_from((*NODES, SERVICE))))
    def switch_link(self, ends):
        if len(ends) == 2:
            self.cut ^= {frozenset(ends)}

    @stateful.rule(
        node=strategies.sampled_from(NODES),
        source=strategies.sampled_from((*NODES, SERVICE, SERVICE)),
    )
    def ask_one(self, node, source):
        if node != source:
            self.ask(node, source)

    @stateful.precondition(lambda self: self.flying)
    @stateful.rule(data=strategies.data(), lost=strategies.integers(0, 4))
    def end_flight(self, data, lost):
        answer = data.draw(strategies.sampled_from(self.flying))
        if answer.node not in self.paused:
            self.flying.remove(answer)
            if lost:
                self.deliver(answer)

    @stateful.rule(step=strategies.sampled_from((0.1, 0.5, 0.9)))
    def pass_time(self, step):
        self.advance(step)

    @stateful.rule(
        nodes=strategies.sets(strategies.sampled_from(NODES), min_size=1),
        length=strategies.sampled_from((0.9, 1.5, 8.0)),
    )
    def pause(self, nodes, length):
        """Pause some processes while the others run and hear nothing."""
        self.paused = nodes
        for _ in range(round(length * 10)):
            self.advance(0.1)
        self.paused = set()
        for node in nodes:
            self.stores[node].note_loop(self.now)
            if length > revisions.LOOP_GAP_S:
                self.resumed_at[node] = self.now
                self.may_be_current[node] = False

    @stateful.rule()
    def heal(self):
        """With all links up, everything converges, with and without the service."""
        self.flying, self.cut = [], set()
        marks = [store.version for store in self.stores.values() if store.version]
        if self.service_up:
            revision, text = self.history[-1]
            if configuration.parse(text).is_ok():
                marks.append(
                    revisions.ConfigurationVersion(revision, revisions.hash_text(text))
                )
        for _ in range(6):  # 3 s in periods of the exchange between peers
            for node in NODES:
                for source in (*NODES, SERVICE):
                    if node != source:
                        self.ask(node, source)
            self.advance(0.1)
            for answer in self.flying:
                self.deliver(answer)
            self.flying = []
            self.advance(0.4)
        for store in self.stores.values():
            assert store.version == max(marks, default=None)
            assert store.is_current(self.now, peers_known=True) == bool(marks)

    def teardown(self):
        self.heal()

    @stateful.invariant()
    def never_goes_down(self):
        for node, store in self.stores.items():
            if store.version is not None:
                assert store.version >= self.highest.get(node, store.version)
                self.highest[node] = store.version
                assert store.digest == revisions.hash_text(store.text)
                assert configuration.parse(store.text).ok() == store.configuration

    @stateful.invariant()
    def nobody_is_current_without_confirmation(self):
        for node, store in self.stores.items():
            if store.is_current(self.now, peers_known=True):
                assert self.may_be_current[node]


class LastWriterFleet(Fleet):
    """The same machine over the naive order."""

    store_type = LastWriterStore


class TrustingFleet(Fleet):
    """The same machine over the naive confirmation."""

    store_type = TrustingStore


def test_fleet():
    """Guards against a reverting, diverging or unconfirmed configuration."""
    stateful.run_state_machine_as_test(Fleet, settings=BOUNDED)


# Without the shrink phase, which takes a minute and adds nothing to the verdict.
FIRST_FAILURE = hypothesis.settings(BOUNDED, phases=[hypothesis.Phase.generate])


@pytest.mark.parametrize("naive", [LastWriterFleet, TrustingFleet])
def test_naive_versions_fail(naive):
    """Guards against a state machine that cannot see the failures it is for."""
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(naive, settings=FIRST_FAILURE)


def start(text: bytes = TEXTS[0], revision: int = 5) -> revisions.RevisionStore:
    store = revisions.RevisionStore()
    store.note_loop(0.0)
    store.offer(0.0, revision, text, SERVICE)
    store.confirm(0.0, SERVICE, requested_at=0.0, version=store.version)
    return store


def test_refused_text_is_remembered(monkeypatch):
    """Guards against parsing, auditing or fetching a refused text in a loop."""
    store = start()
    first = store.offer(0.0, 6, BAD_TEXT, SERVICE)
    assert first.verdict is revisions.Verdict.REFUSED
    assert first.change.before == first.change.after == store.version
    assert first.change.offered.revision == 6
    assert first.change.notes == first.problems != ()
    assert store.watch_after == 6
    monkeypatch.setattr(configuration, "parse", None)  # a second parse would raise
    again = store.offer(0.0, 6, BAD_TEXT, revisions.make_peer_source("b"))
    assert again == first._replace(change=None)
    assert store.offer(0.0, 7, BAD_TEXT, SERVICE).change is not None
    told = store.confirm(0.0, SERVICE, requested_at=0.0, version=first.change.offered)
    assert told.status is revisions.ConfirmationStatus.CONFIRMED
    # After a restore, revisions below the refused one must be seen by the watch.
    store.offer(0.0, 4, TEXTS[1], SERVICE)
    assert store.watch_after == 5


def test_refused_memory_is_bounded():
    """Guards against memory that grows with every refused text."""
    store = start()
    for i in range(3 * revisions.REFUSED_MAX):
        store.offer(0.0, 6 + i, BAD_TEXT + b"%d" % i, SERVICE)
    assert len(store._refused) == len(store._refused_versions) == revisions.REFUSED_MAX


@pytest.mark.parametrize("revision", [-1, True, 2**53, "5", 1.0])
def test_revisions_out_of_range(revision):
    """Guards against a revision that no later one can replace."""
    store = revisions.RevisionStore()
    outcome = store.offer(0.0, revision, TEXTS[0], revisions.make_peer_source("b"))
    assert outcome.verdict is revisions.Verdict.REFUSED
    assert store.version is None


def test_successor_problems_are_warnings():
    """Guards against a verdict that depends on the revisions an instance has seen."""
    fresh, used = revisions.RevisionStore(), start(write("old", partition_map=3))
    lower = write("new", partition_map=2)
    verdicts = {store.offer(1.0, 6, lower, SERVICE).verdict for store in (fresh, used)}
    assert verdicts == {revisions.Verdict.ACCEPTED}
    change = start(write("old", partition_map=3)).offer(1.0, 6, lower, SERVICE).change
    assert [note.key for note in change.notes] == ["indexes.rows.partition_map"]
    assert (change.cause, change.source) == (revisions.Cause.ACCEPTED, SERVICE)
    assert (change.before.revision, change.after.revision) == (5, 6)


def run_until(store: revisions.RevisionStore, begin: float, end: float) -> None:
    for tenth in range(round(begin * 10), round(end * 10) + 1):
        store.note_loop(tenth / 10)


def test_isolation():
    """Guards against new work after 3 s of silence, and against idling when alone."""
    store = start()
    run_until(store, 0.0, 3.0)
    assert store.is_current(3.0, peers_known=True)
    run_until(store, 3.1, 3.2)
    assert not store.is_current(3.2, peers_known=True)
    assert store.is_current(3.2, peers_known=False)
    answer = store.confirm(
        3.2, "peer:b", requested_at=3.1, version=store.version, is_source_current=True
    )
    assert answer.status is revisions.ConfirmationStatus.CONFIRMED
    assert store.is_current(3.2, peers_known=True)
    run_until(store, 3.3, 6.2)
    assert not store.is_current(6.2, peers_known=True)  # as old as the request


def test_pause_before_the_loop_notices():
    """Guards against a send in the turn in which a paused process resumes."""
    store = start()
    assert store.is_current(1.0, peers_known=False)
    assert not store.is_current(1.1, peers_known=False)
    change = store.note_loop(9.0)
    assert change.cause is revisions.Cause.PAUSED
    assert not store.is_current(9.0, peers_known=False)
    late = store.confirm(9.1, SERVICE, requested_at=0.9, version=store.version)
    assert late.status is revisions.ConfirmationStatus.OUTDATED
    told = store.confirm(9.1, SERVICE, requested_at=9.0)
    assert told.change.cause is revisions.Cause.CONFIRMED
    assert store.is_current(9.1, peers_known=True)


def test_peers_in_doubt_wait_for_a_better_source():
    """Guards against paused peers that confirm an old configuration to each other."""
    store = start()
    store.note_loop(9.0)
    doubtful = {"requested_at": 9.0, "version": store.version}
    for now in (9.1, 9.6, 10.0):
        told = store.confirm(now, "peer:b", **doubtful)
        assert told.status is revisions.ConfirmationStatus.UNCONFIRMED_SOURCE
    newer = revisions.ConfigurationVersion(6, revisions.hash_text(TEXTS[1]))
    told = store.confirm(10.0, "peer:c", requested_at=9.9, version=newer)
    assert told.status is revisions.ConfirmationStatus.BEHIND
    told = store.confirm(10.2, "peer:b", **doubtful)
    assert told.status is revisions.ConfirmationStatus.AWAITING
    # A racing text above the one in force and below the newer one changes nothing.
    texts = (write(f"between{i}") for i in range(99))
    between = next(text for text in texts if revisions.hash_text(text) > store.digest)
    version = revisions.ConfigurationVersion(5, revisions.hash_text(between))
    store.confirm(10.2, "peer:d", requested_at=9.9, version=version)
    store.offer(10.3, 5, between, "peer:d")
    told = store.confirm(10.3, "peer:b", **doubtful)
    assert told.status is revisions.ConfirmationStatus.AWAITING
    store.offer(10.3, 6, TEXTS[1], "peer:c")
    told = store.confirm(10.3, "peer:b", **doubtful)
    assert told.status is revisions.ConfirmationStatus.CONFIRMED


def test_doubt_starts_again():
    """Guards against answers that count because of earlier, unrelated ones."""
    store = start()
    store.note_loop(20.0)
    doubtful = {"version": store.version}
    for now in (20.1, 24.0):  # two answers with silence between them
        told = store.confirm(now, "peer:b", requested_at=20.0, **doubtful)
        assert told.status is revisions.ConfirmationStatus.UNCONFIRMED_SOURCE
    store.note_loop(25.5)  # a pause
    told = store.confirm(25.5, "peer:b", requested_at=25.5, **doubtful)
    assert told.status is revisions.ConfirmationStatus.UNCONFIRMED_SOURCE
    store.confirm(25.6, SERVICE, requested_at=25.5, **doubtful)
    told = store.confirm(26.6, "peer:b", requested_at=26.0, **doubtful)
    assert told.status is revisions.ConfirmationStatus.UNCONFIRMED_SOURCE
    # An announcement that is not repeated stops holding back the one in force.
    lost = revisions.ConfigurationVersion(9, "f" * 64)
    store.confirm(30.0, "peer:c", requested_at=30.0, version=lost)
    for now, status in (
        (33.0, revisions.ConfirmationStatus.AWAITING),
        (33.1, revisions.ConfirmationStatus.CONFIRMED),
    ):
        told = store.confirm(now, SERVICE, requested_at=now, **doubtful)
        assert told.status is status


def test_stale_service_does_not_confirm():
    """Guards against trusting a restored service that cannot know the newest text."""
    store = start()
    store.note_loop(9.0)
    stale = revisions.ConfigurationVersion(4, revisions.hash_text(TEXTS[1]))
    told = store.confirm(9.1, SERVICE, requested_at=9.0, version=stale)
    assert told.status is revisions.ConfirmationStatus.STALE_SOURCE
    assert store.service_age(9.1) > 9
    told = store.confirm(
        9.1, SERVICE, requested_at=9.0, version=revisions.ConfigurationVersion(5, "")
    )
    assert told.status is revisions.ConfirmationStatus.CONFIRMED


def test_service_age():
    """Guards against an age that forgets a read or trusts a malformed report."""
    store = revisions.RevisionStore()
    assert store.service_age(5.0) == float("inf")
    for age in (-1.0, float("nan")):
        store.merge_service_age(5.0, age)
    assert store.service_age(5.0) == float("inf")
    store.merge_service_age(5.0, 2.0)
    assert store.service_age(6.0) == 3.0
    store.note_service_read(5.5)
    store.merge_service_age(6.0, 4.0)
    assert store.service_age(6.0) == 0.5
