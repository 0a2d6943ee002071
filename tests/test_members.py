"""Tests of the membership gossip between entry instances."""

import math
import random

import msgspec
import pytest

from acacialatch import freshness, members

DIGEST_BYTES_MAX = 1_000
ZONE_DIGEST_BYTES_MAX = 300


class Fleet:
    """Member tables that exchange digests without a network."""

    def __init__(self, count, seeds=3, zones=1):
        addresses = [f"10.0.0.{index}:7" for index in range(count)]
        self.now = 0.0
        self.tables = {
            address: members.MemberTable(
                members.Member(
                    f"entry-{index}",
                    1,
                    0,
                    f"c{index}",
                    address,
                    f"z{index % zones}",
                    True,
                ),
                tuple(addresses[:seeds]),
                index,
            )
            for index, address in enumerate(addresses)
        }
        self.bytes = self.bytes_between_zones = 0
        self._random = random.Random(1)

    def deliver(self, sender, target, digest):
        """Deliver a digest, and the answer to it; count the bytes of both."""
        if target not in self.tables:
            return
        size = len(msgspec.msgpack.encode(digest))
        table = self.tables[target]
        self.bytes += size
        if digest.members[0].zone != table.own.zone:
            self.bytes_between_zones += size
        wants_all = table.merge_digest(self.now, digest)
        if wants_all or digest.wants_all:
            answer = table.make_digest(self.now, digest.wants_all, wants_all)
            self.deliver(target, sender, answer)

    def run(self, duration_s):
        """Let all instances send their digests for a time."""
        end = self.now + duration_s
        while self.now < end:
            self.now += members.PERIOD_S
            for address in self._random.sample(list(self.tables), len(self.tables)):
                table = self.tables.get(address)
                near, far = table.choose_targets(self.now)
                digest = table.make_digest(self.now)
                for target in near:
                    self.deliver(address, target, digest)
                digest = table.make_digest(self.now, near=False)
                for target in far:
                    self.deliver(address, target, digest)

    def list_advertised(self):
        """Return for each instance the names of those that it sends callers to."""
        return [
            {one.name for one in table.list_ready(self.now)}
            for table in self.tables.values()
        ]


@pytest.mark.parametrize("count", [1, 7, 66])
def test_all_instances_learn_of_each_other_from_the_seeds(count):
    """Guards against instances that stay unknown to a part of the fleet."""
    fleet = Fleet(count)
    fleet.run(8.0)
    assert all(len(advertised) == count for advertised in fleet.list_advertised())


def test_ended_instance_is_not_advertised_after_seven_seconds():
    """Guards against callers that are sent to an instance that has ended."""
    fleet = Fleet(8)
    fleet.run(5.0)
    del fleet.tables["10.0.0.1:7"]
    fleet.run(7.0)
    assert all("entry-1" not in advertised for advertised in fleet.list_advertised())


def test_leaving_instance_is_not_advertised_after_its_next_digest():
    """Guards against callers that are sent to an instance that is shutting down."""
    fleet = Fleet(8)
    fleet.run(5.0)
    table = fleet.tables["10.0.0.4:7"]
    table.set_ready(False)
    digest = table.make_digest(fleet.now)
    for target in table.list_all_targets():
        fleet.deliver("10.0.0.4:7", target, digest)
    assert all("entry-4" not in advertised for advertised in fleet.list_advertised())


def test_restarted_instance_is_known_although_its_clock_went_back():
    """Guards against an instance that others ignore as an earlier run."""
    fleet = Fleet(4)
    fleet.run(4.0)
    address = "10.0.0.2:7"
    own = fleet.tables[address].own._replace(incarnation=0, heartbeat=0)
    fleet.tables[address] = members.MemberTable(own, ("10.0.0.0:7",), 9)
    fleet.run(6.0)
    assert all(len(advertised) == 4 for advertised in fleet.list_advertised())


def test_digests_are_small_while_no_member_changes():
    """Guards against digests in full, which cost more than the requests of callers."""
    fleet = Fleet(66)
    fleet.run(10.0)
    fleet.bytes = 0
    fleet.run(members.PERIOD_S)
    assert fleet.bytes / (66 * members.FANOUT) < DIGEST_BYTES_MAX


def test_few_digests_cross_zones_while_no_member_changes():
    """Guards against digests that take a third of the bytes between zones."""
    fleet = Fleet(66, zones=5)
    fleet.run(10.0)
    fleet.bytes_between_zones = 0
    fleet.run(20 * members.PERIOD_S)
    digests = 20 * 5 * 4 * members.FANOUT_ELSEWHERE
    assert fleet.bytes_between_zones < digests * ZONE_DIGEST_BYTES_MAX


@pytest.mark.parametrize(("count", "zones"), [(7, 4), (66, 5)])
def test_instances_of_several_zones_stay_known(count, zones):
    """Guards against members that are dropped since few digests cross zones."""
    fleet = Fleet(count, zones=zones)
    fleet.run(10.0)
    for _ in range(40):
        fleet.run(members.PERIOD_S)
        advertised = fleet.list_advertised()
        assert sum(len(one) for one in advertised) > 0.99 * count * count


@pytest.mark.parametrize(("count", "zones"), [(7, 4), (66, 5)])
def test_ended_instance_is_not_advertised_in_any_zone(count, zones):
    """Guards against a directory that lists an ended instance for more than 7 s."""
    fleet = Fleet(count, zones=zones)
    fleet.run(10.0)
    del fleet.tables["10.0.0.1:7"]
    fleet.run(7.0)
    assert all("entry-1" not in advertised for advertised in fleet.list_advertised())


def test_unknown_seeds_count_in_shares():
    """Guards against shares that are too large right after a start."""
    fleet = Fleet(3)
    assert fleet.tables["10.0.0.0:7"].count_sharing(0.0) == 3


def test_ended_instance_is_not_revived_by_instances_that_start():
    """Guards against an instance that has ended and is passed on during a restart."""
    fleet = Fleet(8)
    fleet.run(10.0)
    del fleet.tables["10.0.0.1:7"]
    ended_at = fleet.now
    for index in (2, 3, 4, 5, 6, 7, 0):
        address = f"10.0.0.{index}:7"
        own = fleet.tables[address].own._replace(incarnation=2, heartbeat=0)
        fleet.tables[address] = members.MemberTable(
            own, ("10.0.0.0:7", "10.0.0.2:7"), 50 + index
        )
        fleet.run(1.5)
        if fleet.now - ended_at > members.LIVENESS_TIMEOUT_S + 2.0:
            advertised = fleet.list_advertised()
            assert all("entry-1" not in names for names in advertised)


@pytest.mark.parametrize("value", [-1, members.COUNTER_MAX + 1, (1 << 64) - 1])
def test_counter_out_of_range_is_refused(value):
    """Guards against a digest after which the own digest cannot be encoded."""
    member = members.Member("entry-1", value, 0, "c", "g", "z", True)
    data = msgspec.msgpack.encode(members.Digest([member], [], False))
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(data, type=members.Digest)


def test_own_counters_stay_in_range():
    """Guards against an instance that others cannot decode any more."""
    table = Fleet(1).tables["10.0.0.0:7"]
    later = table.own._replace(incarnation=members.COUNTER_MAX)
    table.merge_digest(0.0, members.Digest([later], [], False))
    data = msgspec.msgpack.encode(table.make_digest(1.0))
    assert msgspec.msgpack.decode(data, type=members.Digest).members[0].name


def test_digests_tell_how_far_the_sender_has_read_the_store():
    """Guards against positions that are lost, outdated or cannot be encoded."""
    fleet = Fleet(2)
    sender, receiver = fleet.tables.values()
    position = freshness.Position(1 << 70, 2, 3)
    sender.set_report(-1.0, freshness.Report(position, 0.5, 7.0))
    data = msgspec.msgpack.encode(sender.make_digest(0.0, near=False))
    receiver.merge_digest(0.0, msgspec.msgpack.decode(data, type=members.Digest))
    expected = freshness.Position(freshness.POSITION_MAX, 2, 3)
    assert receiver.list_reports(1.0) == [freshness.Report(expected, 2.5, 9.0)]
    assert receiver.list_reports(freshness.REPORT_LIFETIME_S) == []


@pytest.mark.parametrize("age_s", [-1.0, math.nan])
def test_report_with_an_impossible_age_is_refused(age_s):
    """Guards against an instance that no longer notices outages of the store."""
    report = freshness.Report(freshness.Position(1, 0, 1), age_s, 1.0)
    digest = members.Digest([], [], False, report=report)
    data = msgspec.msgpack.encode(digest)
    with pytest.raises(msgspec.ValidationError):
        msgspec.msgpack.decode(data, type=members.Digest)
