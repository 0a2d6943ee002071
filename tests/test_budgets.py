"""Tests for acacialatch.budgets."""

import hypothesis
from hypothesis import strategies

from acacialatch import budgets, model

SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=200
)


def count_worst_excess(steps, weight):
    """Return the largest sum of `weight(step)` over any run of consecutive steps."""
    worst = current = 0
    for step in steps:
        current = max(0, current + weight(step))
        worst = max(worst, current)
    return worst


@SETTINGS
@hypothesis.given(
    strategies.lists(strategies.integers(0, 400), max_size=200),
    strategies.integers(1, 8),
)
def test_hedges_are_limited_in_every_window(steps, depth):
    """Guards against tokens that accumulate while idle and are spent in one burst."""
    bucket = budgets.TokenBucket(5, 100, depth)
    seen = []
    for count in steps:
        bucket.refill(count)
        seen.append(("earn", count))
        while bucket.try_spend():
            seen.append(("take", 1))
        hypothesis.event("tokens taken" if seen[-1][0] == "take" else "none")
    # In hundredths of a token: each take costs 100, each sub-request adds 5.
    units = {"earn": -5, "take": 100}
    worst = count_worst_excess(seen, lambda step: units[step[0]] * step[1])
    assert worst <= depth * 100


def test_bucket_does_not_exceed_its_depth():
    """Guards against a burst of hedges after a long time without slow replies."""
    bucket = budgets.TokenBucket(5, 100, depth=3)
    bucket.refill(100_000)
    assert [bucket.try_spend() for _ in range(5)] == [True, True, True, False, False]


def test_bucket_gains_exactly_the_fraction():
    """Guards against rounding errors that add up to more than 5% of hedges."""
    bucket = budgets.TokenBucket(5, 100, depth=2)
    taken = 0
    for _ in range(100_000):
        bucket.refill()
        taken += bucket.try_spend()
    assert taken == 5_000


@SETTINGS
@hypothesis.given(
    strategies.lists(strategies.booleans(), max_size=300), strategies.integers(1, 20)
)
def test_retries_are_limited_in_every_window(outcomes, tokens):
    """Guards against retries that multiply the load on failing servers."""
    throttle = budgets.RetryThrottle(tokens)
    seen = []
    for succeeded in outcomes:
        if succeeded:
            throttle.record_success()
            seen.append(-1)
        else:
            throttle.record_failure()
            seen.append(10 if throttle.allows_retry() else 0)
    assert count_worst_excess(seen, lambda units: units) <= tokens * 10 // 2


def test_retries_stay_throttled_after_an_outage():
    """Guards against a burst of retries when servers recover from an outage."""
    throttle = budgets.RetryThrottle(10)
    for _ in range(1_000):
        throttle.record_success()
    allowed = 0
    for _ in range(10_000):
        throttle.record_failure()
        allowed += throttle.allows_retry()
    assert allowed == 4
    successes = 0
    while not throttle.allows_retry():
        throttle.record_success()
        successes += 1
    assert successes == 51


def test_one_retry_is_allowed_in_each_period():
    """Guards against a service that is never retried after an outage.

    A service that only gets lookups has no other successes to refill its throttle.
    """
    sub_request_budgets = budgets.SubRequestBudgets(model.Policy(retry_tokens=2))
    for _ in range(10):
        sub_request_budgets.record_failure("ledger")
    times = [number / 100 for number in range(100)]
    allowed = [now for now in times if sub_request_budgets.allows_retry(now, "ledger")]
    assert len(allowed) == 10
    assert sub_request_budgets.allows_retry(0.5, "desk")
