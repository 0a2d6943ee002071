"""Tests of the choice which shards are asked through other entry instances."""

import hypothesis
import pytest
from hypothesis import strategies

from acacialatch import placement

ZONES = ("ba", "nadi", "suva")


def make_candidates(*texts):
    return [frozenset(text.split()) for text in texts]


def test_shards_with_a_server_in_the_zone_are_asked_directly():
    candidates = make_candidates(*["ba nadi"] * 10)
    assert placement.group_by_zone(candidates, "ba", ZONES) == {}


def test_far_shards_are_asked_through_as_few_zones_as_possible():
    """Each request and reply between zones once crossed them on its own."""
    candidates = make_candidates("ba", *["nadi suva"] * 4, *["suva"] * 3)
    groups = placement.group_by_zone(candidates, "ba", ZONES)
    assert groups == {"suva": [1, 2, 3, 4, 5, 6, 7]}


def test_few_far_shards_are_asked_directly():
    candidates = make_candidates("suva", "suva")
    assert placement.group_by_zone(candidates, "ba", ZONES) == {}


def test_zone_without_an_entry_instance_gets_no_batch():
    candidates = make_candidates(*["suva"] * 5)
    assert placement.group_by_zone(candidates, "ba", ("nadi",)) == {}


@pytest.mark.parametrize("first", ZONES[1:])
def test_preference_decides_among_equal_zones(first):
    order = [first, *(zone for zone in ZONES if zone != first)]
    candidates = make_candidates(*["nadi suva"] * 4)
    assert list(placement.group_by_zone(candidates, "ba", order)) == [first]


@hypothesis.given(
    strategies.lists(strategies.frozensets(strategies.sampled_from(ZONES))),
    strategies.permutations(ZONES),
)
def test_each_shard_is_in_one_group_of_a_zone_that_has_a_server(candidates, order):
    groups = placement.group_by_zone(candidates, "ba", order)
    placed = [index for indexes in groups.values() for index in indexes]
    assert len(placed) == len(set(placed))
    for zone, indexes in groups.items():
        assert len(indexes) >= placement.BATCH_MIN
        assert all(
            zone in candidates[index] and "ba" not in candidates[index]
            for index in indexes
        )
