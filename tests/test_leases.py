"""Tests of majority leases."""

import fleet
import hypothesis
import pytest
from hypothesis import strategies as st

from acacialatch import leases

GROUP = leases.group_of(fleet.SERVERS[0])
ALL = tuple(range(leases.GROUP_COUNT))


def make_candidate(limit, name="a"):
    """Return a candidate that may request votes from time 0 on."""
    return leases.Candidate(-10.0, name, limit, 1)


def collect_votes(candidate, now, voters, limit=3, live=()):
    """Request votes and count those of the voters at once."""
    request = candidate.request_votes(now, live)
    for voter in voters:
        candidate.record_votes(now, voter, leases.VoteReply(request.serial, ALL, limit))


def test_lease_needs_majority_of_distinct_voters():
    """Guards against a lease with half of the votes, or a voter counted twice."""
    candidate = make_candidate(4)
    collect_votes(candidate, 0.0, ["a", "b", "b"], 4)
    assert not candidate.holds(0.0, GROUP)
    collect_votes(candidate, 0.1, ["b", "b"], 4)
    assert not candidate.holds(0.1, GROUP)
    collect_votes(candidate, 0.2, ["c"], 4)
    assert candidate.holds(0.2, GROUP)


def test_lease_counts_from_time_of_request():
    """Guards against a lease that is valid for longer than its votes.

    A late answer or a slow clock could cause this.
    """
    candidate, voter = make_candidate(1), leases.Voter(-10.0, 1)
    request = candidate.request_votes(0.0, ())
    candidate.record_votes(2.0, "a", voter.vote(0.0, "a", request))
    assert candidate.held_duration(2.5, GROUP) == pytest.approx(0.5)
    assert not candidate.holds(leases.TERM_S * 0.95 / 1.05, GROUP)
    assert not voter.vote(leases.TERM_S - 0.01, "b", request).groups
    assert voter.vote(leases.TERM_S, "b", request).groups == ALL


def test_vote_changes_only_after_expiry_or_release():
    """Guards against two valid votes of one voter for the same group.

    A release must come from the candidate that holds the vote and be newer than it.
    """
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


def test_process_abstains_after_start_and_pause():
    """Guards against votes of a process that was not running one term ago."""
    voter, request = leases.Voter(0.0, 3), leases.VoteRequest(1, ALL, ())
    assert not voter.vote(leases.TERM_S * 1.05, "a", request).groups
    assert voter.vote(4.0, "a", request).groups == ALL
    voter.record_pause(20.0)
    assert not voter.vote(20.0 + leases.TERM_S * 1.05, "a", request).groups
    candidate = leases.Candidate(0.0, "a", 1, 1)
    assert candidate.request_votes(leases.TERM_S * 1.05, ()).groups == ()


def test_pause_and_release_end_leases():
    """Guards against a lease kept, or won by late votes, after a pause or release."""
    for end in ("record_pause", "release"):
        candidate = make_candidate(1)
        collect_votes(candidate, 0.0, ["a"], 1)
        assert candidate.holds(1.0, GROUP)
        request = candidate.request_votes(1.0, ())
        getattr(candidate, end)(1.1)
        candidate.record_votes(1.2, "a", leases.VoteReply(request.serial, ALL, 1))
        assert candidate.list_owned(1.2) == ()


def test_expired_lease_restarts_held_time():
    """Guards against an owner that grants permits without waiting.

    Another instance may have owned the group since the lease expired, so the held
    time starts again.
    """
    candidate = make_candidate(1)
    collect_votes(candidate, 0.0, ["a"], 1)
    collect_votes(candidate, 2.0, ["a"], 1)
    assert candidate.held_duration(2.0, GROUP) == pytest.approx(2.0)
    collect_votes(candidate, 5.0, ["a"], 1)
    assert candidate.holds(5.0, GROUP)
    assert candidate.held_duration(5.0, GROUP) == 0.0


def test_votes_of_attempt_without_majority_are_released():
    """Guards against two candidates that renew half of the votes each forever."""
    candidate = make_candidate(4)
    released = ()
    for step in range(5):
        request = candidate.request_votes(step * 0.5, ())
        candidate.record_votes(
            step * 0.5, "a", leases.VoteReply(request.serial, ALL, 4)
        )
        released += request.released
    assert set(released) == set(ALL)


def test_raised_limit_applies_at_once():
    """Guards against a lease by a majority of the former, smaller limit."""
    candidate = make_candidate(8)
    collect_votes(candidate, 0.0, "abcde", 8)
    assert candidate.holds(0.1, GROUP)
    candidate.set_limit(0.1, 12)
    assert not candidate.holds(0.1, GROUP)
    collect_votes(candidate, 0.2, "abcdefg", 12)
    assert candidate.held_duration(0.3, GROUP) == pytest.approx(0.1)
    other = make_candidate(8)
    collect_votes(other, 0.0, "abcd", 8)
    collect_votes(other, 0.0, "e", 12)
    assert not other.holds(0.1, GROUP)


def test_lowered_limit_needs_larger_majority_for_one_term():
    """Guards against a second owner after the limit was lowered.

    Votes of stopped voters may still be valid, so a majority of the new, smaller
    limit is not enough for one term.
    """
    candidate = make_candidate(12)
    candidate.set_limit(0.0, 8)
    collect_votes(candidate, 0.0, "abcdef", 8)
    assert not candidate.holds(0.1, GROUP)
    assert not candidate.holds(leases.LEASE_S - 0.01, GROUP)
    collect_votes(candidate, 4.0, "abcde", 8)
    assert not candidate.holds(4.0, GROUP)
    collect_votes(candidate, 8.0, "abcde", 8)
    assert candidate.holds(8.0, GROUP)


@pytest.mark.parametrize(("before", "after"), [(3, 5), (8, 12), (5, 3), (12, 8)])
def test_no_two_owners_while_limit_changes(before, after):
    """Guards against two owners by disjoint majorities of two limits.

    The fleet checks the owners after each event.
    """
    for seed in range(6):
        tested_fleet = fleet.Fleet(before, before, seed)
        tested_fleet.advance(6.0)
        tested_fleet.isolate(tested_fleet.processes[0])
        tested_fleet.change_limit(after, started=after)
        tested_fleet.partition = {
            name: number % 2 for number, name in enumerate(tested_fleet.list_names())
        }
        tested_fleet.advance(8.0)
        tested_fleet.reconnect()
        tested_fleet.advance(9.0)
        assert all(tested_fleet.owners.values())


@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=20)
@hypothesis.given(st.integers(0, 10**6), st.integers(2, 8), st.integers(0, 1))
def test_every_group_gets_stable_owner_within_three_terms(seed, count, spare):
    """Guards against groups without an owner, or owners that change, without faults."""
    tested_fleet = fleet.Fleet(count, count + spare, seed)
    tested_fleet.advance(3 * leases.TERM_S)
    owners = dict(tested_fleet.owners)
    assert all(owners.values()) or 2 * count <= count + spare
    tested_fleet.advance(5.0)
    assert tested_fleet.owners == owners
