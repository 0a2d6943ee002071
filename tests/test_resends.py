"""Tests of the budget of repeated sends."""

from hypothesis import given
from hypothesis import strategies as st

from acacialatch import resends

INSTANCES = 4
STEPS = st.lists(
    st.tuples(
        st.integers(0, INSTANCES - 1),
        st.sampled_from(["ask", "repeat"]),
        st.floats(0, 2),
    ),
    max_size=200,
)


@given(STEPS)
def test_sum_over_instances_stays_within_the_bound_of_every_window(steps):
    """Guards against instances that each use the whole allowance."""
    budgets = [resends.ResendBudget(0.2, 8.0, 10.0) for _ in range(INSTANCES)]
    now, asked, repeated = 100.0, [], []
    for index, what, pause_s in steps:
        now += pause_s
        if what == "ask":
            budgets[index].record_request(now)
            asked.append(now)
        elif budgets[index].try_spend(now, INSTANCES):
            repeated.append(now)
    for end in repeated:
        window = [at for at in repeated if end - 10.0 < at <= end]
        # Requests of the window before count as well.
        requests = [at for at in asked if end - 20.0 < at <= end]
        assert len(window) <= 0.2 * len(requests) + 8.0


def test_change_of_bounds_keeps_what_was_counted():
    budget = resends.ResendBudget(0.0, 2.5, 10.0)
    assert budget.try_spend(1.0, 1)
    assert budget.try_spend(1.0, 1)
    budget.set_bounds(0.0, 2.0, 10.0)
    assert not budget.try_spend(2.0, 1)


def test_process_that_starts_does_not_spend_the_allowance_again():
    """Guards against a fleet that restarts and spends one window's budget twice."""
    before = resends.ResendBudget(0.0, 10.0, 10.0, 0.0)
    after = resends.ResendBudget(0.0, 10.0, 10.0, 100.0)
    spent = sum(before.try_spend(99.0, 1) for _ in range(20))
    spent += sum(after.try_spend(100.0 + step / 10, 1) for step in range(40))
    assert spent <= 15
    assert after.try_spend(120.0, 1)
