"""Tests of the decision when a query over many shards is answered."""

import pytest

from acacialatch import completion, deployment, merging

WAITING = completion.Progress(20, 19, 0, 0.9, 100.0, 0.25, 102.0)


@pytest.mark.parametrize(
    ("now", "changes", "verdict"),
    [
        (100.05, {"arrived": 20}, completion.Verdict.ANSWER),
        (100.05, {}, completion.Verdict.WAIT),
        (100.24, {}, completion.Verdict.ANSWER),
        (100.24, {"arrived": 17}, completion.Verdict.WAIT),
        (100.30, {}, completion.Verdict.WAIT),
        (100.51, {}, completion.Verdict.ANSWER),
        (100.05, {"lost": 1}, completion.Verdict.ANSWER),
        (100.05, {"arrived": 10, "lost": 3}, completion.Verdict.GIVE_UP),
        (102.00, {"arrived": 17}, completion.Verdict.GIVE_UP),
        (102.00, {"arrived": 18}, completion.Verdict.ANSWER),
    ],
)
def test_verdict(now, changes, verdict):
    assert completion.decide(now, WAITING._replace(**changes)) is verdict


@pytest.mark.parametrize(
    ("total", "share", "needed"),
    [(20, 0.89, 18), (20, 0.75, 15), (10, 0.9, 9), (1, 0, 1)],
)
def test_floor_is_not_rounded_down(total, share, needed):
    assert completion.count_needed(total, share) == needed


def test_greatest_records_of_all_replies_come_first():
    size = deployment.RECORD_BYTES
    bodies = [b"a" * size + b"c" * size + b"rest", b"c" * size + b"b" * size]
    merged = merging.merge_records(bodies, 3)
    assert merged == b"c" * size + b"c" * size + b"b" * size
