"""Tests of the choice of the entry instances that callers are told to use."""

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


def list_names(ready, zone):
    return {one.name for one in addresses.choose_advertised(ready, zone)}


def test_strong_instances_of_the_zone_are_named_on_a_calm_day():
    """Cold connections to 90 servers from weak instances once made pages late."""
    ready = make_zone("ba", 2, 12) + make_zone("nadi", 2, 12)
    assert list_names(ready, "ba") == {"ba-s0", "ba-s1", "nadi-s0"}


def test_heavy_load_names_as_many_as_can_carry_it():
    ready = make_zone("ba", 2, 12, load=0.1)
    needed = 14 * 0.1 / (0.5 * addresses.USE_MAX)
    assert len(list_names(ready, "ba")) == math.ceil(needed)


def test_overload_names_the_set_with_the_most_room():
    """Weak instances would get the same share as strong ones, so they may not help."""
    ready = make_zone("ba", 2, 3, load=10.0)
    assert list_names(ready, "ba") == {"ba-s0", "ba-s1"}


@pytest.mark.parametrize("near", [0, 1])
def test_zone_with_few_instances_gets_others_from_several_zones(near):
    ready = make_zone("ba", near, 0) + make_zone("nadi", 3, 0) + make_zone("suva", 3, 0)
    chosen = addresses.choose_advertised(ready, "ba")
    assert len(chosen) == 3
    assert {one.zone for one in chosen} >= {"nadi", "suva"}


def test_unknown_zone_gets_instances_of_several_zones():
    ready = make_zone("nadi", 3, 0) + make_zone("suva", 3, 0) + make_zone("ba", 3, 0)
    assert {one.zone for one in addresses.choose_advertised(ready, "")} == {
        "nadi",
        "suva",
        "ba",
    }


def test_single_instance_is_named():
    assert list_names(make_zone("ba", 1, 0), "nadi") == {"ba-s0"}


def test_load_follows_the_sends():
    meter = addresses.LoadMeter()
    assert meter.record_sends(0.0, 0) == 0.0
    for step in range(1, 200):
        load = meter.record_sends(step / 4, step * 250)
    assert load == pytest.approx(1000 * addresses.SEND_CPU_S, rel=0.01)
    for step in range(200, 280):
        load = meter.record_sends(step / 4, 199 * 250)
    assert load < 0.01 * 1000 * addresses.SEND_CPU_S
