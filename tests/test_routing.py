"""Tests for acacialatch.routing."""

import hypothesis
import pytest
from hypothesis import strategies

from acacialatch import model, routing

POLICIES = [routing.FirstReplica(), routing.LeastLoaded(), routing.Sticky()]


def make_candidate(number, in_flight=0, latency_s=0.01, **other):
    fields = {"usable": True, "is_local": True, "connected": False, **other}
    return routing.Candidate(
        address=f"127.0.0.1:{7000 + number}",
        zone="Nadi",
        state=model.ServerState.READY,
        in_flight=in_flight,
        latency_s=latency_s,
        reason="",
        **fields,
    )


CANDIDATES = strategies.lists(
    strategies.builds(
        make_candidate,
        strategies.integers(0, 99),
        in_flight=strategies.integers(0, 5),
        latency_s=strategies.floats(0, 1),
        usable=strategies.booleans(),
        is_local=strategies.booleans(),
        connected=strategies.booleans(),
    ),
    max_size=6,
    unique_by=lambda candidate: candidate.address,
)


@pytest.mark.parametrize("policy", POLICIES, ids=lambda policy: type(policy).__name__)
@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=200)
@hypothesis.given(candidates=CANDIDATES, seed=strategies.integers(0, 2**64 - 1))
def test_only_usable_candidates_are_chosen(policy, candidates, seed):
    """Guards against choosing an unusable replica, or none although one is usable."""
    index = policy.choose(candidates, seed)
    if index is None:
        assert not any(candidate.usable for candidate in candidates)
    else:
        assert candidates[index].usable
        assert policy.choose(candidates, seed) == index


@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=200)
@hypothesis.given(candidates=CANDIDATES, seed=strategies.integers(0, 2**64 - 1))
def test_choice_does_not_depend_on_order(candidates, seed):
    """Guards against all entry instances choosing the replica that is listed first."""
    policy = routing.LeastLoaded()
    index = policy.choose(candidates, seed)
    other = policy.choose(candidates[::-1], seed)
    assert index is None or candidates[index] == candidates[::-1][other]


def test_score_includes_load_latency_and_zone():
    """Guards against a score that ignores one of its terms."""
    policy = routing.LeastLoaded(zone_penalty=1.25)
    base = make_candidate(1, in_flight=1)
    busy = make_candidate(2, in_flight=2)
    slow = make_candidate(3, in_flight=1, latency_s=0.011)
    remote = make_candidate(4, in_flight=1, is_local=False)
    unmeasured = make_candidate(5, in_flight=1, latency_s=0.0)
    for worse in (busy, slow, remote):
        assert policy.choose([worse, base], 0) == 1
    assert policy.choose([base, remote._replace(latency_s=0.007)], 0) == 1
    assert policy.choose([unmeasured, unmeasured._replace(in_flight=0)], 0) == 1


def test_ties_are_spread_over_seeds():
    """Guards against choosing the same of several equal replicas for every query."""
    policy = routing.LeastLoaded()
    candidates = [make_candidate(1), make_candidate(2)]
    first = sum(policy.choose(candidates, seed) == 0 for seed in range(1_000))
    assert 400 <= first <= 600


def test_sticky_prefers_connected_replica_within_threshold():
    """Guards against needless connection set-ups and against keeping a slow replica."""
    policy = routing.Sticky(threshold=1.5)
    best = make_candidate(1)
    held = make_candidate(2, latency_s=0.0149, connected=True)
    assert policy.choose([best, held], 0) == 1
    assert policy.choose([best, held._replace(latency_s=0.0151)], 0) == 0
    assert policy.choose([best, held._replace(usable=False)], 0) == 0
