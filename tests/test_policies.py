"""Tests for bench.policies."""

from acacialatch import budgets, routing
from bench import policies as bench


def test_runs_repeat_and_stay_within_the_hedge_budget(monkeypatch):
    """Guards against runs that differ with equal seeds and hedges above the budget."""
    monkeypatch.setattr(bench, "QUERIES", 300)
    variant = bench.Variant("hedged", routing.LeastLoaded(), True)
    figures = bench.Simulation(variant, 1).run()
    assert figures == bench.Simulation(variant, 1).run()
    assert figures != bench.Simulation(variant, 2).run()
    sent = (300 - bench.WARM_UP_QUERIES) * bench.SERVICES
    assert 0 < figures.extra_load <= 0.05 + budgets.HEDGE_DEPTH / sent
    assert figures.coverage == 1.0
