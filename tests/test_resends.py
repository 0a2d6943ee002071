"""Tests of the budget for retries and hedges."""

from hypothesis import given
from hypothesis import strategies as st

from acacialatch import resends

INSTANCES = 4
STEPS = st.lists(
    st.tuples(
        st.integers(0, INSTANCES - 1),
        st.sampled_from(["request", "resend"]),
        st.floats(0, 2),
    ),
    max_size=200,
)


@given(STEPS)
def test_sum_over_instances_stays_within_the_bound_of_every_window(steps):
    """Guards against entry instances that each use the whole allowance."""
    budgets = [resends.ResendBudget(0.2, 8.0, 10.0) for _ in range(INSTANCES)]
    now, requested, resent = 100.0, [], []
    for index, event, pause_s in steps:
        now += pause_s
        if event == "request":
            budgets[index].record_request(now)
            requested.append(now)
        elif budgets[index].try_acquire(now, INSTANCES):
            resent.append(now)
    for end in resent:
        window = [at for at in resent if end - 10.0 < at <= end]
        # A resend may belong to a request of the window before.
        requests = [at for at in requested if end - 20.0 < at <= end]
        assert len(window) <= 0.2 * len(requests) + 8.0


def test_change_of_bounds_keeps_counted_resends():
    """Guards against a settings reload that allows the whole budget once more."""
    budget = resends.ResendBudget(0.0, 2.5, 10.0)
    assert budget.try_acquire(1.0, 1)
    assert budget.try_acquire(1.0, 1)
    budget.set_bounds(0.0, 2.0, 10.0)
    assert not budget.try_acquire(2.0, 1)


def test_restarted_process_does_not_spend_the_allowance_again():
    """Guards against a fleet that restarts and spends the budget of a window twice."""
    before = resends.ResendBudget(0.0, 10.0, 10.0, 0.0)
    after = resends.ResendBudget(0.0, 10.0, 10.0, 100.0)
    spent = sum(before.try_acquire(99.0, 1) for _ in range(20))
    spent += sum(after.try_acquire(100.0 + step / 10, 1) for step in range(40))
    assert spent <= 15
    assert after.try_acquire(120.0, 1)
