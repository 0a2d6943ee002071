"""Tests of the digests between entry instances."""

import random

import msgspec
import pytest

from acacialatch import members

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

    def list_named(self):
        return [
            {one.name for one in table.list_ready(self.now)}
            for table in self.tables.values()
        ]


@pytest.mark.parametrize("count", [1, 7, 66])
def test_all_learn_of_all_from_the_seeds(count):
    fleet = Fleet(count)
    fleet.run(8.0)
    assert all(len(named) == count for named in fleet.list_named())


def test_ended_instance_is_no_longer_named_after_seven_seconds():
    """Guards against callers that are sent to an instance that ended."""
    fleet = Fleet(8)
    fleet.run(5.0)
    del fleet.tables["10.0.0.1:7"]
    fleet.run(7.0)
    assert all("entry-1" not in named for named in fleet.list_named())


def test_leaving_instance_is_no_longer_named_soon():
    fleet = Fleet(8)
    fleet.run(5.0)
    table = fleet.tables["10.0.0.4:7"]
    table.set_ready(False)
    digest = table.make_digest(fleet.now)
    for target in table.list_all_targets():
        fleet.deliver("10.0.0.4:7", target, digest)
    assert all("entry-4" not in named for named in fleet.list_named())


def test_restarted_instance_counts_with_a_clock_that_went_back():
    fleet = Fleet(4)
    fleet.run(4.0)
    address = "10.0.0.2:7"
    own = fleet.tables[address].own._replace(incarnation=0, beat=0)
    fleet.tables[address] = members.MemberTable(own, ("10.0.0.0:7",), 9)
    fleet.run(6.0)
    assert all(len(named) == 4 for named in fleet.list_named())


def test_digests_of_a_settled_fleet_are_small():
    """Digests that told all members in full once cost more than the requests."""
    fleet = Fleet(66)
    fleet.run(10.0)
    fleet.bytes = 0
    fleet.run(members.PERIOD_S)
    assert fleet.bytes / (66 * members.TARGETS) < DIGEST_BYTES_MAX


def test_few_digests_of_a_settled_fleet_leave_their_zone():
    """Digests to any instance once were a third of the bytes between zones."""
    fleet = Fleet(66, zones=5)
    fleet.run(10.0)
    fleet.bytes_between_zones = 0
    fleet.run(20 * members.PERIOD_S)
    digests = 20 * 5 * 4 * members.TARGETS_ELSEWHERE
    assert fleet.bytes_between_zones < digests * ZONE_DIGEST_BYTES_MAX


@pytest.mark.parametrize(("count", "zones"), [(7, 4), (66, 5)])
def test_instances_of_several_zones_stay_known(count, zones):
    fleet = Fleet(count, zones=zones)
    fleet.run(10.0)
    for _ in range(40):
        fleet.run(members.PERIOD_S)
        named = fleet.list_named()
        assert sum(len(one) for one in named) > 0.99 * count * count


@pytest.mark.parametrize(("count", "zones"), [(7, 4), (66, 5)])
def test_ended_instance_is_forgotten_in_all_zones(count, zones):
    """Bound: the directory may name an ended instance for 7 s."""
    fleet = Fleet(count, zones=zones)
    fleet.run(10.0)
    del fleet.tables["10.0.0.1:7"]
    fleet.run(7.0)
    assert all("entry-1" not in named for named in fleet.list_named())


def test_seeds_that_are_not_known_count_in_shares():
    fleet = Fleet(3)
    assert fleet.tables["10.0.0.0:7"].count_sharing(0.0) == 3
