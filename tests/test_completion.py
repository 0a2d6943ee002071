"""Tests of the decision when a query over many shards is answered, and of merging."""

import pytest

from acacialatch import completion, deployment, merging

PROGRESS = completion.Progress(20, 19, 0, 0.9, 100.0, 0.25, 102.0)


@pytest.mark.parametrize(
    ("now", "changes", "decision"),
    [
        (100.05, {"arrived": 20}, completion.Decision.ANSWER),
        (100.05, {}, completion.Decision.WAIT),
        (100.24, {}, completion.Decision.ANSWER),
        (100.24, {"arrived": 17}, completion.Decision.WAIT),
        (100.30, {}, completion.Decision.WAIT),
        (100.51, {}, completion.Decision.ANSWER),
        (100.05, {"failed": 1}, completion.Decision.ANSWER),
        (100.05, {"arrived": 10, "failed": 3}, completion.Decision.GIVE_UP),
        (102.00, {"arrived": 17}, completion.Decision.GIVE_UP),
        (102.00, {"arrived": 18}, completion.Decision.ANSWER),
    ],
)
def test_decision_follows_coverage_and_time(now, changes, decision):
    assert completion.decide(now, PROGRESS._replace(**changes)) is decision


@pytest.mark.parametrize(
    ("total", "share", "needed"),
    [(20, 0.89, 18), (20, 0.75, 15), (10, 0.9, 9), (1, 0, 1)],
)
def test_fewest_shards_are_rounded_up_from_the_coverage(total, share, needed):
    assert completion.count_needed(total, share) == needed


def test_merge_returns_the_greatest_records_of_all_replies():
    size = deployment.RECORD_BYTES
    bodies = [b"a" * size + b"c" * size + b"rest", b"c" * size + b"b" * size]
    merged = merging.merge_records(bodies, 3)
    assert merged == b"c" * size + b"c" * size + b"b" * size
