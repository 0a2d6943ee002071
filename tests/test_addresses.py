"""Tests of the choice of the entry instances that callers are given."""

import math

import pytest

from acacialatch import addresses, members


def make_member(name, zone, capacity=1.0, load=0.0):
    return members.Member(
        name, 1, 1, f"c-{name}", f"g-{name}", zone, True, capacity, load
    )


def make_zone(zone, strong, weak, load=0.0):
    return [
        *(make_member(f"{zone}-s{n}", zone, 2.0, load) for n in range(strong)),
        *(make_member(f"{zone}-w{n}", zone, 0.5, load) for n in range(weak)),
    ]


def list_advertised(ready, zone):
    return {one.name for one in addresses.choose_advertised(ready, zone)}


def test_strong_instances_of_the_zone_are_advertised_under_low_load():
    """Guards against late pages: weak instances have cold connections to 90 servers."""
    ready = make_zone("ba", 2, 12) + make_zone("nadi", 2, 12)
    assert list_advertised(ready, "ba") == {"ba-s0", "ba-s1", "nadi-s0"}


def test_heavy_load_advertises_as_many_as_can_carry_it():
    """Guards against strong instances that are overloaded while weak ones are idle."""
    ready = make_zone("ba", 2, 12, load=0.1)
    needed = 14 * 0.1 / (0.5 * addresses.UTILIZATION_MAX)
    assert len(list_advertised(ready, "ba")) == math.ceil(needed)


def test_overload_advertises_the_set_with_the_most_capacity():
    """Guards against weak instances that get as many callers as strong ones."""
    ready = make_zone("ba", 2, 3, load=10.0)
    assert list_advertised(ready, "ba") == {"ba-s0", "ba-s1"}


@pytest.mark.parametrize("near", [0, 1])
def test_zone_with_few_instances_gets_others_from_several_zones(near):
    """Guards against callers without an instance when one zone fails."""
    ready = make_zone("ba", near, 0) + make_zone("nadi", 3, 0) + make_zone("suva", 3, 0)
    chosen = addresses.choose_advertised(ready, "ba")
    assert len(chosen) == 3
    assert {one.zone for one in chosen} >= {"nadi", "suva"}


def test_unknown_zone_gets_instances_of_several_zones():
    """Guards against callers without an instance when one zone fails."""
    ready = make_zone("nadi", 3, 0) + make_zone("suva", 3, 0) + make_zone("ba", 3, 0)
    assert {one.zone for one in addresses.choose_advertised(ready, "")} == {
        "nadi",
        "suva",
        "ba",
    }


def test_single_instance_is_advertised():
    """Guards against an empty list when there are fewer instances than advertised."""
    assert list_advertised(make_zone("ba", 1, 0), "nadi") == {"ba-s0"}


def test_load_follows_the_requests_sent():
    """Guards against a load that lags behind or never falls after a burst."""
    meter = addresses.LoadMeter()
    assert meter.record_sends(0.0, 0) == 0.0
    for step in range(1, 200):
        load = meter.record_sends(step / 4, step * 250)
    assert load == pytest.approx(1000 * addresses.SEND_CPU_S, rel=0.01)
    for step in range(200, 280):
        load = meter.record_sends(step / 4, 199 * 250)
    assert load < 0.01 * 1000 * addresses.SEND_CPU_S
