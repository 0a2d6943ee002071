"""State machine of the registry over a store that is restored from copies."""

import math
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from acacialatch import (
    backends,
    deployment,
    forwarder,
    freshness,
    registry,
    sending,
)

SERVERS = ("s-0", "s-1", "s-2")
ZONES = ("ba", "nadi")
SETTLED_S = 120.0
WRITTEN_AGAIN_S = 5.0


class Item(typing.NamedTuple):
    """Item of the store: what was written, and under which revision."""

    revision: int
    value: typing.Any


class Copy(typing.NamedTuple):
    """Copy of the store: its revision, items and history."""

    revision: int
    items: dict[str, Item]
    history: list[tuple[int, str, typing.Any]]


def make_change(key, revision, value):
    """Return the change by which an item or a removal is read."""
    if value is None:
        return registry.Removed(key, revision)
    if key == "config":
        routes, services = (), {}
        limits = deployment.CallerLimits()
        deployed = deployment.Deployment(value, routes, services, limits)
        return registry.DeploymentPut(key, revision, deployed)
    if key.startswith("out/"):
        return registry.ZoneOut(key, revision, value)
    return registry.BackendPut(key, revision, value)


class RestoredStoreMachine(stateful.RuleBasedStateMachine):
    """One registry that reads and watches; operators and servers write.

    Within `WRITTEN_AGAIN_S` after a restore, operators and servers write again what was
    lost. Servers are in the zones in turn.
    """

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.era = 1
        self.revision = 0
        self.items = {}
        self.history = []
        self.copies = []
        self.truth = {}
        self.version = 0
        self.starts = 0
        self.core = forwarder.Forwarder("ba", sending.Budgets(), 1)
        self.evidence = freshness.Evidence()
        self.registry = registry.Registry(self.core, self.evidence)
        self.is_synchronized = False
        self.highest_version = 0
        self.restored_at = math.inf
        self.seen_ended = set()
        self.seen_out = set()
        self.missing_since = {}
        self.write("config", 1)
        for name in SERVERS:
            self.start_server(name)
        self.read(1.0)

    def write(self, key, value):
        """Write or remove an item as its owner does."""
        self.copies.append(Copy(self.revision, dict(self.items), list(self.history)))
        self.truth[key] = value
        self.put(key, value)

    def put(self, key, value):
        self.revision += 1
        self.history.append((self.revision, key, value))
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = Item(self.revision, value)

    @stateful.rule()
    def change_deployment(self):
        self.version = self.version + 1
        self.write("config", 1 + self.version)

    @stateful.rule(name=st.sampled_from(SERVERS))
    def start_server(self, name):
        if self.truth.get(name) is None:
            self.starts += 1
            zone = ZONES[SERVERS.index(name) % len(ZONES)]
            self.write(
                name,
                backends.Entry(
                    name, "ledger", "h:1", zone, 3, False, 0.0, self.starts, 1
                ),
            )

    @stateful.rule(name=st.sampled_from(SERVERS), draining=st.booleans())
    def report(self, name, draining):
        entry = self.truth.get(name)
        if entry is not None:
            draining = draining or entry.draining
            report = entry._replace(sequence=entry.sequence + 1, draining=draining)
            self.write(name, report)

    @stateful.rule(name=st.sampled_from(SERVERS))
    def stop_server(self, name):
        if self.truth.get(name) is not None:
            self.write(name, None)

    @stateful.rule(zone=st.sampled_from(ZONES), out=st.booleans())
    def change_zone(self, zone, out):
        value = zone if out else None
        if self.truth.get(f"out/{zone}") != value:
            self.write(f"out/{zone}", value)

    @stateful.rule(age=st.integers(1, 4))
    def restore(self, age):
        copy = self.copies[-min(age, len(self.copies))]
        self.revision, self.era = copy.revision, self.era + 1
        self.items, self.history = dict(copy.items), list(copy.history)
        self.copies = [copy]
        self.restored_at = self.now

    @stateful.rule()
    def write_again(self):
        """Write what the store has lost, as its owners do after a restore."""
        for key, value in self.truth.items():
            present = self.items.get(key)
            if (present.value if present else None) != value:
                if isinstance(value, backends.Entry):
                    value = value._replace(sequence=value.sequence + 1)
                    self.truth[key] = value
                self.put(key, value)

    @stateful.rule(duration_s=st.sampled_from([0.1, 1.0, 3.0]))
    def read(self, duration_s):
        """Read as the watcher does: a watch, or everything."""
        self.now += duration_s
        if self.now - self.restored_at > WRITTEN_AGAIN_S:
            self.write_again()
        self.registry.handle_timers(self.now)
        after = self.registry.revision
        if self.is_synchronized and after <= self.revision:
            events = [one for one in self.history if one[0] > after]
            changes = tuple(make_change(key, at, value) for at, key, value in events)
            answer = registry.Changes(self.revision, changes, self.era)
            if not self.registry.is_of_later_era(answer):
                self.registry.apply_changes(self.now, answer)
                self.note()
                return
        content = tuple(
            make_change(key, item.revision, item.value)
            for key, item in self.items.items()
        )
        snapshot = registry.Changes(self.revision, content, self.era)
        self.registry.apply_snapshot(self.now, snapshot)
        self.is_synchronized = True
        self.note()

    def note(self):
        """Note what the registry was told by the owners themselves."""
        for name in SERVERS:
            item, entry = self.items.get(name), self.truth.get(name)
            if entry is None and item is None:
                since = self.missing_since.setdefault(name, self.now)
                # A whole read does not tell a removal from what a copy lacks.
                if self.now - since >= backends.MISSING_GRACE_S:
                    starts = range(self.starts + 1)
                    self.seen_ended.update((name, start) for start in starts)
                continue
            self.missing_since.pop(name, None)
            if item and item.value == entry and entry.draining:
                self.seen_ended.add((name, entry.started_ms))
        for zone in ZONES:
            key = f"out/{zone}"
            if self.truth.get(key) is None:
                self.seen_out.discard(zone)
            elif key in self.items:
                self.seen_out.add(zone)

    def list_usable(self):
        return {
            one.entry.identity: one.entry
            for one in self.core.backends.list_servers("ledger")
            if one.is_usable(self.now)
        }

    @stateful.invariant()
    def no_older_deployment_comes_back(self):
        if self.core.deployment is not None:
            assert self.core.deployment.version >= self.highest_version
            self.highest_version = self.core.deployment.version

    @stateful.invariant()
    def server_that_was_seen_draining_or_removed_gets_no_work(self):
        for name, entry in self.list_usable().items():
            assert (name, entry.started_ms) not in self.seen_ended

    @stateful.invariant()
    def zone_that_was_seen_out_gets_no_work(self):
        for entry in self.list_usable().values():
            is_out = self.truth.get(f"out/{entry.zone}") is not None
            assert not (is_out and entry.zone in self.seen_out)

    def teardown(self):
        """In the end the registry has what the owners wrote."""
        self.write_again()
        self.read(1.0)
        self.read(SETTLED_S)
        self.read(SETTLED_S)
        assert self.core.deployment.version == self.truth["config"]
        expected = {
            name
            for name in SERVERS
            if (entry := self.truth.get(name)) is not None
            and not entry.draining
            and self.truth.get(f"out/{entry.zone}") is None
        }
        assert set(self.list_usable()) == expected


TestRestoredStore = RestoredStoreMachine.TestCase
TestRestoredStore.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
