"""Tests of majority leases."""

import fleet
import hypothesis
import pytest
from hypothesis import strategies as st

from acacialatch import leases

GROUP = leases.group_of(fleet.SERVERS[0])
ALL = tuple(range(leases.GROUP_COUNT))


def make_candidate(limit, name="a"):
    """Return a candidate that may ask from time 0 on."""
    return leases.Candidate(-10.0, name, limit, 1)


def collect(candidate, now, voters, limit=3, live=()):
    """Ask voters that all vote at once."""
    vote_request = candidate.request_votes(now, live)
    for voter in voters:
        candidate.record_votes(
            now, voter, leases.VoteReply(vote_request.serial, ALL, limit)
        )


def test_majority_of_distinct_incarnations():
    """Guards against half of the votes, or one voter counted twice."""
    candidate = make_candidate(4)
    collect(candidate, 0.0, ["a", "b", "b"], 4)
    assert not candidate.holds(0.0, GROUP)
    collect(candidate, 0.1, ["b", "b"], 4)
    assert not candidate.holds(0.1, GROUP)
    collect(candidate, 0.2, ["c"], 4)
    assert candidate.holds(0.2, GROUP)


def test_lease_counts_from_the_time_of_asking():
    """Guards against a lease that outlives the votes, by delay or clock rate."""
    candidate, voter = make_candidate(1), leases.Voter(-10.0, 1)
    vote_request = candidate.request_votes(0.0, ())
    candidate.record_votes(2.0, "a", voter.vote(0.0, "a", vote_request))
    assert candidate.held_duration(2.5, GROUP) == pytest.approx(0.5)
    assert not candidate.holds(leases.TERM_S * 0.95 / 1.05, GROUP)
    assert not voter.vote(leases.TERM_S - 0.01, "b", vote_request).groups
    assert voter.vote(leases.TERM_S, "b", vote_request).groups == ALL


def test_votes_move_only_after_expiry_or_release():
    """Guards against two valid votes of one voter, and releases out of order."""
    voter = leases.Voter(-10.0, 3)
    assert voter.vote(0.0, "a", leases.VoteRequest(5, ALL, ())).groups == ALL
    assert voter.vote(2.9, "a", leases.VoteRequest(6, ALL, ())).groups == ALL
    assert not voter.vote(5.8, "b", leases.VoteRequest(1, ALL, ())).groups
    voter.vote(5.8, "a", leases.VoteRequest(6, (), ALL))
    voter.vote(5.8, "c", leases.VoteRequest(9, (), ALL))
    assert not voter.vote(5.8, "b", leases.VoteRequest(2, ALL, ())).groups
    voter.vote(5.8, "a", leases.VoteRequest(7, (), ALL))
    assert voter.vote(5.8, "b", leases.VoteRequest(3, ALL, ())).groups == ALL
    assert voter.candidate(6.0, GROUP) == "b"


def test_abstention_after_start_and_pause():
    """Guards against votes of a process that did not run one term ago."""
    voter, vote_request = leases.Voter(0.0, 3), leases.VoteRequest(1, ALL, ())
    assert not voter.vote(leases.TERM_S * 1.05, "a", vote_request).groups
    assert voter.vote(4.0, "a", vote_request).groups == ALL
    voter.record_pause(20.0)
    assert not voter.vote(20.0 + leases.TERM_S * 1.05, "a", vote_request).groups
    candidate = leases.Candidate(0.0, "a", 1, 1)
    assert candidate.request_votes(leases.TERM_S * 1.05, ()).groups == ()


def test_pause_and_release_end_leases():
    """Guards against a lease kept over a pause or a release, also by late votes."""
    for end in ("record_pause", "release"):
        candidate = make_candidate(1)
        collect(candidate, 0.0, ["a"], 1)
        assert candidate.holds(1.0, GROUP)
        vote_request = candidate.request_votes(1.0, ())
        getattr(candidate, end)(1.1)
        candidate.record_votes(1.2, "a", leases.VoteReply(vote_request.serial, ALL, 1))
        assert candidate.list_owned(1.2) == ()


def test_lease_that_lapsed_counts_anew():
    """Guards against an owner that skips its wait after another one's lease."""
    candidate = make_candidate(1)
    collect(candidate, 0.0, ["a"], 1)
    collect(candidate, 2.0, ["a"], 1)
    assert candidate.held_duration(2.0, GROUP) == pytest.approx(2.0)
    collect(candidate, 5.0, ["a"], 1)
    assert candidate.holds(5.0, GROUP)
    assert candidate.held_duration(5.0, GROUP) == 0.0


def test_split_votes_are_given_back():
    """Guards against two candidates that renew half of the votes for ever."""
    candidate = make_candidate(4)
    released = ()
    for step in range(5):
        vote_request = candidate.request_votes(step * 0.5, ())
        candidate.record_votes(
            step * 0.5, "a", leases.VoteReply(vote_request.serial, ALL, 4)
        )
        released += vote_request.released
    assert set(released) == set(ALL)


def test_raised_limit_counts_at_once():
    """Guards against a lease by a majority of the former, smaller N."""
    candidate = make_candidate(8)
    collect(candidate, 0.0, "abcde", 8)
    assert candidate.holds(0.1, GROUP)
    candidate.set_limit(0.1, 12)
    assert not candidate.holds(0.1, GROUP)
    collect(candidate, 0.2, "abcdefg", 12)
    assert candidate.held_duration(0.3, GROUP) == pytest.approx(0.1)
    other = make_candidate(8)
    collect(other, 0.0, "abcd", 8)
    collect(other, 0.0, "e", 12)
    assert not other.holds(0.1, GROUP)


def test_lowered_limit_keeps_the_larger_majority_for_a_term():
    """Guards against a majority of the smaller N beside votes of stopped voters."""
    candidate = make_candidate(12)
    candidate.set_limit(0.0, 8)
    collect(candidate, 0.0, "abcdef", 8)
    assert not candidate.holds(0.1, GROUP)
    assert not candidate.holds(leases.LEASE_S - 0.01, GROUP)
    collect(candidate, 4.0, "abcde", 8)
    assert not candidate.holds(4.0, GROUP)
    collect(candidate, 8.0, "abcde", 8)
    assert candidate.holds(8.0, GROUP)


@pytest.mark.parametrize(("before", "after"), [(3, 5), (8, 12), (5, 3), (12, 8)])
def test_limit_changes_while_leases_are_held(before, after):
    """Guards against disjoint majorities of two N; the fleet checks the owners."""
    for seed in range(6):
        few = fleet.Fleet(before, before, seed)
        few.advance(6.0)
        few.isolate(few.processes[0])
        few.change_limit(after, started=after)
        few.partition = {
            name: number % 2 for number, name in enumerate(few.list_names())
        }
        few.advance(8.0)
        few.reconnect()
        few.advance(9.0)
        assert all(few.owners.values())


@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=20)
@hypothesis.given(st.integers(0, 10**6), st.integers(2, 8), st.integers(0, 1))
def test_owner_within_three_terms(seed, count, spare):
    """Guards against a calm fleet without owners, or with one that changes."""
    calm = fleet.Fleet(count, count + spare, seed)
    calm.advance(3 * leases.TERM_S)
    owners = dict(calm.owners)
    assert all(owners.values()) or 2 * count <= count + spare
    calm.advance(5.0)
    assert calm.owners == owners
