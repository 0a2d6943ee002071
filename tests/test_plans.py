"""Tests for acacialatch.plans."""

import pytest

from acacialatch import attempts, model, plans


def make_plan(revision, version, partition_map, edges):
    parts = [
        attempts.Part(f"s{start}", "i", model.KeyRange(start, end), partition_map)
        for start, end in edges
    ]
    return attempts.Plan(revision, tuple(parts), (("i", version), ("j", 4)))


OLD = make_plan(2, 7, 1, [(0, 10), (10, 20)])


@pytest.mark.parametrize(
    "edges", [[(0, 20)], [(0, 5), (5, 10), (10, 20)], [(0, 13), (13, 25)]]
)
def test_repartitioned_plan_is_accepted(edges):
    """Guards against a restart that is refused after an index was repartitioned."""
    assert plans.check_successor(OLD, make_plan(3, 8, 2, edges)) is None
    assert plans.check_successor(OLD, make_plan(3, 7, 2, edges)) is None


@pytest.mark.parametrize(
    "new",
    [
        make_plan(3, 7, 1, [(0, 20)]),
        make_plan(3, 8, 0, [(0, 20)]),
        make_plan(3, 6, 2, [(0, 20)]),
        make_plan(1, 8, 2, [(0, 20)]),
        make_plan(3, 8, 2, [(0, 10)]),
        make_plan(3, 8, 2, [(0, 10), (11, 20)]),
        make_plan(3, 8, 2, [(1, 20)]),
        make_plan(3, 8, 2, [(0, 11), (10, 20)]),
        make_plan(3, 8, 2, [(0, 20)])._replace(versions=(("i", 8),)),
        make_plan(3, 8, 2, [(0, 20)])._replace(versions=(("i", 8), ("j", 3))),
    ],
)
def test_invalid_successor_is_rejected(new):
    """Guards against a restart that loses or repeats keys or reads an old snapshot."""
    assert plans.check_successor(OLD, new)
