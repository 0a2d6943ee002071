"""Tests of the choice of shards that are sent as batches to other zones."""

import hypothesis
import pytest
from hypothesis import strategies

from acacialatch import placement

ZONES = ("ba", "nadi", "suva")


def make_candidates(*zone_lists):
    return [frozenset(zones.split()) for zones in zone_lists]


def test_shards_with_a_server_in_the_zone_are_asked_directly():
    """Guards against a detour through another zone."""
    candidates = make_candidates(*["ba nadi"] * 10)
    assert placement.group_by_zone(candidates, "ba", ZONES) == {}


def test_shards_in_other_zones_use_as_few_batches_as_possible():
    """Guards against one request and reply per shard between zones."""
    candidates = make_candidates("ba", *["nadi suva"] * 4, *["suva"] * 3)
    groups = placement.group_by_zone(candidates, "ba", ZONES)
    assert groups == {"suva": [1, 2, 3, 4, 5, 6, 7]}


def test_few_shards_in_other_zones_are_asked_directly():
    """Guards against batches that cost more than they save."""
    candidates = make_candidates("suva", "suva")
    assert placement.group_by_zone(candidates, "ba", ZONES) == {}


def test_zone_without_an_entry_instance_gets_no_batch():
    """Guards against batches that nobody can accept."""
    candidates = make_candidates(*["suva"] * 5)
    assert placement.group_by_zone(candidates, "ba", ("nadi",)) == {}


@pytest.mark.parametrize("first", ZONES[1:])
def test_order_decides_among_zones_with_equally_many_shards(first):
    """Guards against load on one zone only: callers pass the zones in random order."""
    order = [first, *(zone for zone in ZONES if zone != first)]
    candidates = make_candidates(*["nadi suva"] * 4)
    assert list(placement.group_by_zone(candidates, "ba", order)) == [first]


@hypothesis.given(
    strategies.lists(strategies.frozensets(strategies.sampled_from(ZONES))),
    strategies.permutations(ZONES),
)
def test_each_shard_is_in_one_group_of_a_zone_that_has_a_server(candidates, order):
    """Guards against shards that are asked twice, or where no server is."""
    groups = placement.group_by_zone(candidates, "ba", order)
    placed = [index for indexes in groups.values() for index in indexes]
    assert len(placed) == len(set(placed))
    for zone, indexes in groups.items():
        assert len(indexes) >= placement.BATCH_SHARDS_MIN
        assert all(
            zone in candidates[index] and "ba" not in candidates[index]
            for index in indexes
        )
