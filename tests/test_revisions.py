"""Tests of the order of configurations and of the freshness of the one in force."""

import typing

import hypothesis
import pytest
import result
from hypothesis import stateful, strategies

from acacialatch import configuration, revisions

NODES = ("a", "b", "c")
SERVICE = revisions.SERVICE_SOURCE
TABLES = """entry_instances_max = 3
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
MACHINE_SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=200,
    stateful_step_count=50,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def render_text(title: str, partition_map: int = 1) -> bytes:
    return f'title = "{title}"\n{TABLES.format(partition_map=partition_map)}'.encode()


TEXTS = tuple(render_text(f"t{i}") for i in range(4))
BAD_TEXT = b"title = 1"


class LastWriterStore(revisions.RevisionStore):
    """Faulty store: every valid text replaces the one in force, even an older one."""

    def offer(self, now, revision, text, source):
        version = revisions.ConfigurationVersion(revision, revisions.hash_text(text))
        if version == self.version:
            return revisions.Outcome(revisions.Verdict.SAME)
        parsed = configuration.parse(text)
        if isinstance(parsed, result.Err):
            return self._refuse(now, version, parsed.err_value, source)
        return self._accept(now, version, text, parsed.ok_value, source)


class TrustingStore(revisions.RevisionStore):
    """Faulty store: every answer confirms, whenever it was requested."""

    def confirm(self, now, source, **answer):
        return super().confirm(now, source, **{**answer, "requested_at": now})


class Answer(typing.NamedTuple):
    """An answer in flight to `node`, with the state of its source when it was sent."""

    node: str
    source: str
    requested_at: float
    version: revisions.ConfigurationVersion | None
    text: bytes | None
    is_current: bool


class Fleet(stateful.RuleBasedStateMachine):
    """Three stores connected by links that lose, delay and reorder answers."""

    store_type: type[revisions.RevisionStore] = revisions.RevisionStore

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.stores = {node: self.store_type() for node in NODES}
        self.paused: set[str] = set()
        self.cut_links: set[frozenset[str]] = set()
        self.service_up = True
        self.history: list[tuple[int, bytes]] = [(1, TEXTS[0])]
        self.in_flight: list[Answer] = []
        self.resumed_at = dict.fromkeys(NODES, self.now)
        self.was_confirmed = dict.fromkeys(NODES, False)
        self.highest_seen: dict[str, revisions.ConfigurationVersion] = {}
        for store in self.stores.values():
            store.record_loop_turn(self.now)

    def send_request(self, node: str, source: str) -> None:
        """Send a request; its answer stays in flight until it is delivered or lost."""
        if node in self.paused or frozenset((node, source)) in self.cut_links:
            return
        if source == SERVICE:
            if self.service_up:
                revision, text = self.history[-1]
                version = revisions.ConfigurationVersion(
                    revision, revisions.hash_text(text)
                )
                answer = Answer(node, SERVICE, self.now, version, text, True)
                self.in_flight.append(answer)
        elif source not in self.paused:
            store = self.stores[source]
            current = store.is_current(self.now, peers_known=True)
            self.in_flight.append(
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
            is_after_resume = answer.requested_at >= self.resumed_at[answer.node]
            self.was_confirmed[answer.node] |= is_after_resume

    def advance(self, step: float) -> None:
        self.now += step
        for node in NODES:
            if node not in self.paused:
                self.stores[node].record_loop_turn(self.now)

    @stateful.rule(
        step=strategies.integers(0, 2), text=strategies.sampled_from((*TEXTS, BAD_TEXT))
    )
    def publish(self, step, text):
        """Publish a text; a step of 0 publishes a second text under one revision."""
        self.history.append((self.history[-1][0] + step, text))

    @stateful.precondition(lambda self: len(self.history) > 1)
    @stateful.rule()
    def restore_service(self):
        """Restore the service from a backup without the latest text."""
        self.history.pop()

    @stateful.rule()
    def toggle_service(self):
        self.service_up = not self.service_up

    @stateful.rule(ends=strategies.sets(strategies.sampled_from((*NODES, SERVICE))))
    def toggle_link(self, ends):
        if len(ends) == 2:
            self.cut_links ^= {frozenset(ends)}

    @stateful.rule(
        node=strategies.sampled_from(NODES),
        source=strategies.sampled_from((*NODES, SERVICE, SERVICE)),
    )
    def ask_source(self, node, source):
        if node != source:
            self.send_request(node, source)

    @stateful.precondition(lambda self: self.in_flight)
    @stateful.rule(data=strategies.data(), is_delivered=strategies.integers(0, 4))
    def deliver_or_lose(self, data, is_delivered):
        """Deliver an answer in flight, or lose it if `is_delivered` is 0."""
        answer = data.draw(strategies.sampled_from(self.in_flight))
        if answer.node not in self.paused:
            self.in_flight.remove(answer)
            if is_delivered:
                self.deliver(answer)

    @stateful.rule(step=strategies.sampled_from((0.1, 0.5, 0.9)))
    def pass_time(self, step):
        self.advance(step)

    @stateful.rule(
        nodes=strategies.sets(strategies.sampled_from(NODES), min_size=1),
        length=strategies.sampled_from((0.9, 1.5, 8.0)),
    )
    def pause(self, nodes, length):
        """Pause some processes; the others run on but exchange no messages."""
        self.paused = nodes
        for _ in range(round(length * 10)):
            self.advance(0.1)
        self.paused = set()
        for node in nodes:
            self.stores[node].record_loop_turn(self.now)
            if length > revisions.PAUSE_THRESHOLD_S:
                self.resumed_at[node] = self.now
                self.was_confirmed[node] = False

    @stateful.rule()
    def heal_links(self):
        """Restore all links; all stores must converge, also without the service."""
        self.in_flight, self.cut_links = [], set()
        candidates = [store.version for store in self.stores.values() if store.version]
        if self.service_up:
            revision, text = self.history[-1]
            if configuration.parse(text).is_ok():
                candidates.append(
                    revisions.ConfigurationVersion(revision, revisions.hash_text(text))
                )
        for _ in range(6):  # 3 s of digest periods
            for node in NODES:
                for source in (*NODES, SERVICE):
                    if node != source:
                        self.send_request(node, source)
            self.advance(0.1)
            for answer in self.in_flight:
                self.deliver(answer)
            self.in_flight = []
            self.advance(0.4)
        for store in self.stores.values():
            assert store.version == max(candidates, default=None)
            assert store.is_current(self.now, peers_known=True) == bool(candidates)

    def teardown(self):
        self.heal_links()

    @stateful.invariant()
    def check_version_never_decreases(self):
        for node, store in self.stores.items():
            if store.version is not None:
                assert store.version >= self.highest_seen.get(node, store.version)
                self.highest_seen[node] = store.version
                assert store.digest == revisions.hash_text(store.text)
                assert configuration.parse(store.text).ok() == store.configuration

    @stateful.invariant()
    def check_current_only_after_confirmation(self):
        for node, store in self.stores.items():
            if store.is_current(self.now, peers_known=True):
                assert self.was_confirmed[node]


class LastWriterFleet(Fleet):
    """The same state machine with `LastWriterStore`."""

    store_type = LastWriterStore


class TrustingFleet(Fleet):
    """The same state machine with `TrustingStore`."""

    store_type = TrustingStore


def test_stores_converge_and_never_go_back():
    """Guards against a configuration that goes back, diverges or is unconfirmed."""
    stateful.run_state_machine_as_test(Fleet, settings=MACHINE_SETTINGS)


# Any failing example will do, and shrinking one takes a minute.
GENERATE_ONLY = hypothesis.settings(
    MACHINE_SETTINGS, phases=[hypothesis.Phase.generate]
)


@pytest.mark.parametrize("faulty_fleet", [LastWriterFleet, TrustingFleet])
def test_faulty_stores_are_found(faulty_fleet):
    """Guards against a state machine that finds no failure in faulty stores."""
    with pytest.raises(AssertionError):
        stateful.run_state_machine_as_test(faulty_fleet, settings=GENERATE_ONLY)


def make_store(text: bytes = TEXTS[0], revision: int = 5) -> revisions.RevisionStore:
    store = revisions.RevisionStore()
    store.record_loop_turn(0.0)
    store.offer(0.0, revision, text, SERVICE)
    store.confirm(0.0, SERVICE, requested_at=0.0, version=store.version)
    return store


def test_refused_text_is_remembered(monkeypatch):
    """Guards against parsing, auditing or fetching a refused text in a loop."""
    store = make_store()
    first = store.offer(0.0, 6, BAD_TEXT, SERVICE)
    assert first.verdict is revisions.Verdict.REFUSED
    assert first.change.before == first.change.after == store.version
    assert first.change.offered.revision == 6
    assert first.change.problems == first.problems != ()
    assert store.watch_after == 6
    monkeypatch.setattr(configuration, "parse", None)  # a second parse would raise
    again = store.offer(0.0, 6, BAD_TEXT, revisions.make_peer_source("b"))
    assert again == first._replace(change=None)
    assert store.offer(0.0, 7, BAD_TEXT, SERVICE).change is not None
    confirmation = store.confirm(
        0.0, SERVICE, requested_at=0.0, version=first.change.offered
    )
    assert confirmation.status is revisions.ConfirmationStatus.CONFIRMED
    # A service restored from a backup may offer revisions below the refused one.
    store.offer(0.0, 4, TEXTS[1], SERVICE)
    assert store.watch_after == 5


def test_refused_memory_is_bounded():
    """Guards against memory that grows with every refused text."""
    store = make_store()
    for i in range(3 * revisions.REFUSED_MAX):
        store.offer(0.0, 6 + i, BAD_TEXT + b"%d" % i, SERVICE)
    assert (
        len(store._refused_texts)
        == len(store._refused_versions)
        == revisions.REFUSED_MAX
    )


@pytest.mark.parametrize("revision", [-1, True, 2**53, "5", 1.0])
def test_revisions_out_of_range(revision):
    """Guards against accepting a revision that no later one can replace."""
    store = revisions.RevisionStore()
    outcome = store.offer(0.0, revision, TEXTS[0], revisions.make_peer_source("b"))
    assert outcome.verdict is revisions.Verdict.REFUSED
    assert store.version is None


def test_successor_problems_are_warnings():
    """Guards against a verdict that depends on the configuration in force."""
    fresh, used = (
        revisions.RevisionStore(),
        make_store(render_text("old", partition_map=3)),
    )
    lower = render_text("new", partition_map=2)
    verdicts = {store.offer(1.0, 6, lower, SERVICE).verdict for store in (fresh, used)}
    assert verdicts == {revisions.Verdict.ACCEPTED}
    change = (
        make_store(render_text("old", partition_map=3))
        .offer(1.0, 6, lower, SERVICE)
        .change
    )
    assert [problem.key for problem in change.problems] == [
        "indexes.rows.partition_map"
    ]
    assert (change.cause, change.source) == (revisions.Cause.ACCEPTED, SERVICE)
    assert (change.before.revision, change.after.revision) == (5, 6)


def run_loop(store: revisions.RevisionStore, start: float, end: float) -> None:
    for tenth in range(round(start * 10), round(end * 10) + 1):
        store.record_loop_turn(tenth / 10)


def test_isolation():
    """Guards against new work after 3 s without an answer of a peer or the service.

    An instance that knows no peers goes on without answers.
    """
    store = make_store()
    run_loop(store, 0.0, 3.0)
    assert store.is_current(3.0, peers_known=True)
    run_loop(store, 3.1, 3.2)
    assert not store.is_current(3.2, peers_known=True)
    assert store.is_current(3.2, peers_known=False)
    answer = store.confirm(
        3.2, "peer:b", requested_at=3.1, version=store.version, is_source_current=True
    )
    assert answer.status is revisions.ConfirmationStatus.CONFIRMED
    assert store.is_current(3.2, peers_known=True)
    run_loop(store, 3.3, 6.2)
    assert not store.is_current(6.2, peers_known=True)  # as old as the request


def test_pause_before_the_loop_detects_it():
    """Guards against a send after a pause, before the event loop has detected it."""
    store = make_store()
    assert store.is_current(1.0, peers_known=False)
    assert not store.is_current(1.1, peers_known=False)
    change = store.record_loop_turn(9.0)
    assert change.cause is revisions.Cause.PAUSED
    assert not store.is_current(9.0, peers_known=False)
    outdated = store.confirm(9.1, SERVICE, requested_at=0.9, version=store.version)
    assert outdated.status is revisions.ConfirmationStatus.OUTDATED
    confirmation = store.confirm(9.1, SERVICE, requested_at=9.0)
    assert confirmation.change.cause is revisions.Cause.CONFIRMED
    assert store.is_current(9.1, peers_known=True)


def test_unconfirmed_peers_do_not_confirm_each_other_at_once():
    """Guards against peers, all paused, that confirm an old configuration mutually."""
    store = make_store()
    store.record_loop_turn(9.0)
    unconfirmed_answer = {"requested_at": 9.0, "version": store.version}
    for now in (9.1, 9.6, 10.0):
        confirmation = store.confirm(now, "peer:b", **unconfirmed_answer)
        assert confirmation.status is revisions.ConfirmationStatus.UNCONFIRMED_SOURCE
    newer = revisions.ConfigurationVersion(6, revisions.hash_text(TEXTS[1]))
    confirmation = store.confirm(10.0, "peer:c", requested_at=9.9, version=newer)
    assert confirmation.status is revisions.ConfirmationStatus.BEHIND
    confirmation = store.confirm(10.2, "peer:b", **unconfirmed_answer)
    assert confirmation.status is revisions.ConfirmationStatus.AWAITING
    # A text between the one in force and the newer one does not end the wait.
    texts = (render_text(f"between{i}") for i in range(99))
    between = next(text for text in texts if revisions.hash_text(text) > store.digest)
    version = revisions.ConfigurationVersion(5, revisions.hash_text(between))
    store.confirm(10.2, "peer:d", requested_at=9.9, version=version)
    store.offer(10.3, 5, between, "peer:d")
    confirmation = store.confirm(10.3, "peer:b", **unconfirmed_answer)
    assert confirmation.status is revisions.ConfirmationStatus.AWAITING
    store.offer(10.3, 6, TEXTS[1], "peer:c")
    confirmation = store.confirm(10.3, "peer:b", **unconfirmed_answer)
    assert confirmation.status is revisions.ConfirmationStatus.CONFIRMED


def test_delay_of_unconfirmed_peers_starts_again():
    """Guards against an unconfirmed peer that counts because of earlier answers.

    Silence, a pause and a confirmation each restart the delay.
    """
    store = make_store()
    store.record_loop_turn(20.0)
    unconfirmed_answer = {"version": store.version}
    for now in (20.1, 24.0):  # two answers with silence between them
        confirmation = store.confirm(
            now, "peer:b", requested_at=20.0, **unconfirmed_answer
        )
        assert confirmation.status is revisions.ConfirmationStatus.UNCONFIRMED_SOURCE
    store.record_loop_turn(25.5)  # a pause
    confirmation = store.confirm(
        25.5, "peer:b", requested_at=25.5, **unconfirmed_answer
    )
    assert confirmation.status is revisions.ConfirmationStatus.UNCONFIRMED_SOURCE
    store.confirm(25.6, SERVICE, requested_at=25.5, **unconfirmed_answer)
    confirmation = store.confirm(
        26.6, "peer:b", requested_at=26.0, **unconfirmed_answer
    )
    assert confirmation.status is revisions.ConfirmationStatus.UNCONFIRMED_SOURCE
    # A newer version that is never reported again blocks confirmations for 3 s only.
    lost = revisions.ConfigurationVersion(9, "f" * 64)
    store.confirm(30.0, "peer:c", requested_at=30.0, version=lost)
    for now, status in (
        (33.0, revisions.ConfirmationStatus.AWAITING),
        (33.1, revisions.ConfirmationStatus.CONFIRMED),
    ):
        confirmation = store.confirm(
            now, SERVICE, requested_at=now, **unconfirmed_answer
        )
        assert confirmation.status is status


def test_stale_service_does_not_confirm():
    """Guards against a confirmation by a service that was restored from a backup."""
    store = make_store()
    store.record_loop_turn(9.0)
    stale = revisions.ConfigurationVersion(4, revisions.hash_text(TEXTS[1]))
    confirmation = store.confirm(9.1, SERVICE, requested_at=9.0, version=stale)
    assert confirmation.status is revisions.ConfirmationStatus.STALE_SOURCE
    assert store.service_age(9.1) > 9
    confirmation = store.confirm(
        9.1, SERVICE, requested_at=9.0, version=revisions.ConfigurationVersion(5, "")
    )
    assert confirmation.status is revisions.ConfirmationStatus.CONFIRMED


def test_service_age():
    """Guards against an age that loses a known read or uses a malformed report."""
    store = revisions.RevisionStore()
    assert store.service_age(5.0) == float("inf")
    for age in (-1.0, float("nan")):
        store.merge_service_age(5.0, age)
    assert store.service_age(5.0) == float("inf")
    store.merge_service_age(5.0, 2.0)
    assert store.service_age(6.0) == 3.0
    store.record_service_read(5.5)
    store.merge_service_age(6.0, 4.0)
    assert store.service_age(6.0) == 0.5
