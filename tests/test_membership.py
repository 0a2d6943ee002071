"""Tests of the list of entry instances."""

import hypothesis
import pytest
from hypothesis import stateful, strategies

from acacialatch import instances, membership

ZONES = ("east", "west", "north")
MACHINE_SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=100,
    stateful_step_count=40,
)


def announce(number: int, run: str = "r", **changes) -> instances.Announcement:
    """Return an announcement of instance `number`, which sets its zone and ports."""
    announcement = instances.Announcement(
        name=f"n{number}",
        incarnation=f"{run}{number}",
        zone=ZONES[number % len(ZONES)],
        caller_address=f"127.0.0.1:{number + 1}",
        peer_address=f"127.0.0.2:{number + 1}",
        leaving=False,
        uptime_s=0.0,
    )
    return announcement._replace(**changes)


def list_entry(number: int, leaving: bool = False) -> instances.ListEntry:
    announcement = announce(number)
    return instances.ListEntry(
        announcement.name,
        announcement.zone,
        announcement.caller_address,
        announcement.peer_address,
        leaving,
    )


def make_table(numbers: range, own: int = 0) -> membership.Membership:
    table = membership.Membership(announce(own))
    for number in numbers:
        table.record_announcement(0.0, announce(number))
    return table


class Instances(stateful.RuleBasedStateMachine):
    """Four instances that restart and leave; their digests are delayed or lost."""

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.table = membership.Membership(announce(0))
        self.runs = {number: [(self.now, 0)] for number in range(1, 5)}
        self.left: set[tuple[int, int]] = set()
        self.last_digest_at: dict[tuple[int, int], float] = {}
        self.announced_leaving: set[tuple[int, int]] = set()
        self.listed_leaving: set[int] = set()
        self.delayed: list[tuple[int, int, instances.Announcement]] = []

    def make_announcement(self, number: int, run: int) -> instances.Announcement:
        started = self.runs[number][run][0]
        return announce(
            number,
            f"r{run}-",
            leaving=(number, run) in self.left,
            uptime_s=self.now - started,
        )

    def record_announcement(self, number, run, announcement):
        self.table.record_announcement(self.now, announcement)
        self.last_digest_at[number, run] = self.now
        if announcement.leaving:
            self.announced_leaving.add((number, run))

    @stateful.rule(step=strategies.sampled_from((0.3, 1.0, 2.9, 3.1, 30.0)))
    def pass_time(self, step):
        self.now += step

    @stateful.rule(number=strategies.integers(1, 4), data=strategies.data())
    def send_digest(self, number, data):
        """Send from any incarnation, since an old one may still run or resume."""
        run = data.draw(strategies.integers(0, len(self.runs[number]) - 1))
        self.record_announcement(number, run, self.make_announcement(number, run))

    @stateful.rule(number=strategies.integers(1, 4))
    def delay_digest(self, number):
        run = len(self.runs[number]) - 1
        self.delayed.append((number, run, self.make_announcement(number, run)))

    @stateful.precondition(lambda self: self.delayed)
    @stateful.rule(data=strategies.data())
    def deliver_delayed(self, data):
        delayed = data.draw(strategies.sampled_from(self.delayed))
        self.delayed.remove(delayed)
        self.record_announcement(*delayed)

    @stateful.rule(number=strategies.integers(1, 4))
    def restart(self, number):
        if len(self.runs[number]) < instances.INCARNATIONS_MAX:
            self.runs[number].append((self.now, len(self.runs[number])))

    @stateful.rule(number=strategies.integers(1, 4))
    def leave(self, number):
        self.left.add((number, len(self.runs[number]) - 1))

    @stateful.rule(
        named=strategies.sets(strategies.integers(0, 4)),
        leaving=strategies.sets(strategies.integers(0, 4)),
    )
    def read_list(self, named, leaving):
        self.table.apply_instance_list(
            self.now, [list_entry(number, number in leaving) for number in named]
        )
        self.listed_leaving = named & leaving

    @stateful.invariant()
    def check_only_usable_entries_are_named(self):
        zones_out = {"north"}
        named = self.table.choose_entries(self.now, zones_out, "west", 9)
        assert "127.0.0.1:1" in named
        for number in range(1, 5):
            recent = [
                run
                for run in range(len(self.runs[number]))
                if self.now - self.last_digest_at.get((number, run), -10.0) <= 3.0
            ]
            leaving = [run for run in recent if (number, run) in self.announced_leaving]
            if f"127.0.0.1:{number + 1}" in named:
                assert recent
                assert leaving != recent
                assert number not in self.listed_leaving
                assert ZONES[number % 3] not in zones_out
            else:
                assert (
                    not recent
                    or leaving
                    or number in self.listed_leaving
                    or ZONES[number % 3] in zones_out
                )

    @stateful.invariant()
    def check_running_peers_are_known(self):
        for (number, run), last_digest_at in self.last_digest_at.items():
            listed = number in self.listed_leaving
            left = any((number, r) in self.announced_leaving for r in range(run, 9))
            if self.now - last_digest_at <= 3.0 and not left and not listed:
                is_newest = all(
                    self.last_digest_at.get((number, r), last_digest_at)
                    <= last_digest_at
                    for r in range(9)
                )
                assert self.table.knows_peers(self.now) or not is_newest


def test_callers_get_only_usable_instances():
    """Guards against handing out addresses of leaving, excluded or silent instances."""
    stateful.run_state_machine_as_test(Instances, settings=MACHINE_SETTINGS)


@hypothesis.settings(MACHINE_SETTINGS)
@hypothesis.given(strategies.permutations(range(8)))
def test_newest_incarnation_in_any_order(order):
    """Guards against a delayed digest of an old incarnation that replaces the new."""
    table = membership.Membership(announce(0))
    # The incarnations started in an order that differs from that of their names.
    announcements = [
        announce(1, f"r{9 - run}-", leaving=run == 3, uptime_s=8.0 - 2 * run)
        for run in range(4)
    ]
    for position in order:
        table.record_announcement(10.0, announcements[position % 4])
    assert table.choose_entries(10.0, (), "east", 9) == ("127.0.0.1:1",)
    table.record_announcement(
        10.1, announcements[3]._replace(leaving=False, uptime_s=2.1)
    )
    table.record_announcement(
        12.5, announcements[2]
    )  # delayed, so it seems to have started later
    assert table.choose_entries(12.5, (), "east", 9) == ("127.0.0.1:1",)
    changes = table.record_announcement(12.6, announce(1, "r4-", uptime_s=0.1))
    assert [change.cause for change in changes] == [membership.Cause.RESTARTED]
    assert len(table.choose_entries(12.6, (), "east", 9)) == 2


def test_silent_newest_incarnation_does_not_hide_a_live_one():
    """Guards against a delayed digest of a dead incarnation that hides a live one."""
    table = membership.Membership(announce(0))
    table.record_announcement(10.0, announce(1, "dead", uptime_s=0.0, leaving=True))
    table.record_announcement(11.0, announce(1, "live", uptime_s=5.0))
    assert len(table.choose_entries(11.0, (), "east", 9)) == 1
    assert len(table.choose_entries(13.5, (), "east", 9)) == 2


def test_entries_prefer_the_zone_and_spread():
    """Guards against callers that all use one instance or one in another zone."""
    table = make_table(range(1, 9))
    firsts: dict[str, int] = {}
    for caller in range(600):
        named = table.choose_entries(0.0, (), "west", 4, f"10.0.0.{caller}")
        assert len(named) == len(set(named)) == 4
        ports = [int(address.rpartition(":")[2]) - 1 for address in named]
        assert [ZONES[port % 3] == "west" for port in ports] == [True] * 3 + [False]
        firsts[named[0]] = firsts.get(named[0], 0) + 1
    assert len(firsts) == 3
    assert min(firsts.values()) > 600 / 3 / 2
    assert table.choose_entries(0.0, (), "west", 0) == ()
    assert table.choose_entries(0.0, ZONES, "west", 4) == ()
    table.set_leaving()
    assert "127.0.0.1:1" not in table.choose_entries(0.0, (), "east", 9)
    assert table.announce(5.0) == announce(0, leaving=True, uptime_s=5.0)


def test_watchers_do_not_grow_with_the_fleet():
    """Guards against a service overloaded by watchers, and zones without a watcher."""
    tables = [make_table(range(120), own) for own in range(120)]
    watchers = {table.list_watchers(0.0) for table in tables[:3]}
    assert len(watchers) == 1
    assert len(watchers.pop()) == 2 * len(ZONES)
    assert sum(table.is_watcher(0.0) for table in tables) == 2 * len(ZONES)
    # An instance that hears no peer watches the service itself.
    assert all(table.is_watcher(1.1) for table in tables)
    before = tables[0].list_watchers(0.0)
    tables[0].record_announcement(0.0, announce(int(before[0][1:]), leaving=True))
    after = tables[0].list_watchers(0.0)
    assert len(set(before) & set(after)) == 5


def test_gossip_targets():
    """Guards against peers that get no digest, and targets that grow with the fleet."""
    few = make_table(range(1, 9))
    assert len(few.choose_gossip_targets(0.0, 1)) == 8
    many = make_table(range(1, 101))
    many.apply_instance_list(0.0, [list_entry(number) for number in range(1, 121)])
    reached: set[str] = set()
    silent = 0
    for number in range(400):
        chosen = many.choose_gossip_targets(0.0, number)
        assert chosen == many.choose_gossip_targets(0.0, number)
        assert len({peer.address for peer in chosen}) == 3
        reached.update(peer.name for peer in chosen)
        silent += sum(int(peer.name[1:]) > 100 for peer in chosen)
    assert len(reached) == 120
    assert silent == 100
    assert len(many.choose_gossip_targets(9.0, 1)) == 3  # all are silent by then
    other = membership.Membership(announce(0, "other"))
    for number in range(1, 101):
        other.record_announcement(0.0, announce(number))
    assert any(
        other.choose_gossip_targets(0.0, n)
        != make_table(range(1, 101)).choose_gossip_targets(0.0, n)
        for n in range(5)
    )


def test_peers_from_settings_and_list():
    """Guards against an instance that finds no peers while the platform is down."""
    static = ("127.0.0.2:1", "127.0.0.2:2", "127.0.0.2:9")
    table = membership.Membership(announce(0), static)
    assert [peer.address for peer in table.list_peers(0.0)] == list(static[1:])
    assert not table.knows_peers(0.0)
    table.record_announcement(0.0, announce(1))
    table.apply_instance_list(0.0, [list_entry(2)])
    names = [(peer.name, peer.zone) for peer in table.list_peers(0.0)]
    assert names == [("n1", "west"), ("n2", "north"), ("", "")]
    (change,) = table.record_announcement(1.0, announce(1, leaving=True))
    assert change.cause is membership.Cause.LEAVING
    assert table.record_announcement(1.0, announce(1, leaving=True)) == ()
    assert len(table.list_peers(1.0)) == 3
    assert [peer.name for peer in table.list_peers(9.0)] == ["", "n2", ""]
    # An earlier incarnation of this instance is not a peer.
    assert (
        table.record_announcement(9.0, announce(0, "old", peer_address="127.0.0.2:8"))
        == ()
    )
    assert len(table.list_peers(9.0)) == 3
    (change,) = table.forget(1e6)  # the leaving one; the listed one stays
    assert (change.cause, change.name) == (membership.Cause.FORGOTTEN, "n1")


def test_address_passes_to_the_latest_instance():
    """Guards against an address kept by an instance that no longer has it."""
    table = make_table(range(1, 3))
    for now, number in ((1.0, 2), (2.0, 1)):
        table.record_announcement(now, announce(number, peer_address="127.0.0.2:9"))
        assert table.list_peers(now)[-1].name == f"n{number}"


def test_leaving_instances_are_forgotten_earlier():
    """Guards against a table that fills up with instances that were replaced."""
    table = make_table(range(1, 2))
    table.record_announcement(1.0, announce(1, leaving=True))
    assert table.forget(601.0) == ()
    (change,) = table.forget(601.1)
    assert change.cause is membership.Cause.FORGOTTEN
    assert not table.knows_peers(601.1)


def test_silent_peers_stay_known():
    """Guards against an isolated instance that concludes that it is alone."""
    table = make_table(range(1, 2))
    table.apply_instance_list(30.0, [])  # too soon to know of the peer
    assert table.knows_peers(30.0)
    changes = table.forget(8000.0)
    assert [change.cause for change in changes] == [membership.Cause.FORGOTTEN]
    assert table.list_peers(8000.0) == ()
    assert table.knows_peers(8000.0)
    table.apply_instance_list(8001.0, [])
    assert not table.knows_peers(8001.0)
    table.record_announcement(8002.0, announce(2))
    table.apply_instance_list(8100.0, [])
    assert not table.knows_peers(8100.0)
    table.record_announcement(8101.0, announce(2, leaving=True))
    assert not table.knows_peers(8101.0)


def test_memory_is_bounded():
    """Guards against memory that grows with restarts and malformed digests."""
    table = make_table(range(membership.INSTANCES_MAX + 1))
    full = table.record_announcement(1.0, announce(5000))
    assert [change.cause for change in full] == [membership.Cause.TABLE_FULL]
    room = table.record_announcement(9.0, announce(5000))
    assert [change.cause for change in room] == [
        membership.Cause.FORGOTTEN,
        membership.Cause.JOINED,
    ]
    for run in range(20):
        table.record_announcement(9.0, announce(5000, f"r{run}-"))
    table.apply_instance_list(9.0, [list_entry(number) for number in range(3000)])
    assert len(table.list_peers(9.0)) <= membership.INSTANCES_MAX
    assert len(table._members["n5000"].incarnations) == instances.INCARNATIONS_MAX


@pytest.mark.parametrize(
    "changes",
    [
        {"name": "n 1"},
        {"name": 7},
        {"zone": ""},
        {"incarnation": ""},
        {"incarnation": "x" * 65},
        {"caller_address": "host:1"},
        {"peer_address": None},
        {"leaving": "no"},
        {"uptime_s": float("nan")},
        {"uptime_s": -1.0},
    ],
)
def test_malformed_announcements(changes):
    """Guards against a malformed announcement that is used or raises an exception."""
    table = membership.Membership(announce(0))
    (change,) = table.record_announcement(0.0, announce(1, **changes))
    assert change.cause is membership.Cause.MALFORMED
    assert table.list_peers(0.0) == ()


def test_leaving_in_the_list():
    """Guards against a leaving flag of the list that is ignored or never cleared."""
    table = make_table(range(1, 2))
    (change,) = table.apply_instance_list(0.1, [list_entry(1, leaving=True)])
    assert (change.cause, change.source) == (membership.Cause.LEAVING, "list")
    assert table.apply_instance_list(0.1, [list_entry(1, leaving=True)]) == ()
    assert len(table.choose_entries(0.1, (), "east", 9)) == 1
    table.apply_instance_list(0.2, [list_entry(1)])
    assert len(table.choose_entries(0.2, (), "east", 9)) == 2


def test_watch_delay():
    """Guards against watches that are reopened all at once or outside the limits."""
    delays = [
        [membership.choose_watch_delay(attempt, f"i{seed}") for seed in range(200)]
        for attempt in (0, 3, 10, 10**9)
    ]
    assert all(0.1 <= delay <= 5.0 for row in delays for delay in row)
    assert max(delays[0]) <= 0.2 < max(delays[1]) < 2.0
    for row in delays[2:]:
        assert min(row) < 0.5
        assert max(row) > 4.5
