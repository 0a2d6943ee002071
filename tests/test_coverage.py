"""Tests for acacialatch.coverage."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from acacialatch import coverage, model

LEAVES = (("a", model.KeyRange(0, 12)), ("b", model.KeyRange(12, 30)))
SETTINGS = settings(max_examples=300, derandomize=True, database=None, deadline=None)


@SETTINGS
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "c"]), st.integers(-2, 32), st.integers(-2, 32)
        ),
        max_size=12,
    )
)
def test_matches_sets_of_keys(ranges):
    """Guards against keys counted twice, not at all or for another leaf service."""
    counted = coverage.Coverage(LEAVES)
    keys = dict(LEAVES)
    covered = {"a": set(), "b": set()}
    for service, start, end in ranges:
        outcome = counted.add(service, model.KeyRange(start, end))
        inside = (
            service in keys
            and start < end
            and keys[service].start <= start
            and end <= keys[service].end
        )
        assert outcome.is_ok() == inside
        if inside:
            new = set(range(start, end)) - covered[service]
            assert outcome.ok_value == len(new)
            covered[service] |= new
    assert counted.covered == sum(map(len, covered.values()))
    assert counted.total == 30
    gaps = [
        (gap.service, key) for gap in counted.list_gaps() for key in range(*gap.keys)
    ]
    wanted = {(s, k) for s, own in keys.items() for k in range(*own)}
    assert len(gaps) == len(set(gaps))
    assert set(gaps) == wanted - {(s, k) for s, own in covered.items() for k in own}
    # Two adjacent gaps would mean that the covered ranges were merged wrongly.
    for service in keys:
        ends = [gap.end for gap in counted.list_missing(service)]
        starts = [gap.start for gap in counted.list_missing(service)]
        assert all(end < start for end, start in zip(ends, starts[1:], strict=False))


def test_floor_is_compared_in_integers():
    """Guards against a coverage one key below the floor that is rounded up to it."""
    total = 3 * 10**18
    counted = coverage.Coverage([("a", model.KeyRange(0, total))])
    counted.add("a", model.KeyRange(0, total // 3 - 1)).unwrap()
    assert (total // 3 - 1) / total >= 1 / 3, "floating-point numbers must round up"
    assert not counted.meets_floor((1, 3))
    counted.add("a", model.KeyRange(0, total // 3)).unwrap()
    assert counted.meets_floor((1, 3))
    assert not counted.is_full()


def test_duplicate_leaf_is_rejected():
    """Guards against a leaf service whose keys count twice in the total."""
    with pytest.raises(ValueError, match="twice"):
        coverage.Coverage([LEAVES[0], LEAVES[0]])
