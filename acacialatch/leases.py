"""Leases by majority vote, in memory: which entry instance owns a lease group.

N is the configured limit of entry instances: at most N processes run at once. All
votes for a valid lease were given less than one term ago by processes that had then
been running for a term. So all voters of two valid leases were running one term ago,
two majorities of N share a voter, and that voter gave its second vote only after the
first had expired.

This holds while the number of running processes is at most the smallest N in force
in any of them. Operators therefore raise N before they start more processes and stop
processes before they lower N. Two rules cover the time of the change. A new process
abstains for longer than a configuration takes to be in force everywhere. A candidate
needs the majority of the largest N that it or one of its voters knows; a former N
counts for one more term, since voters that have stopped may have given votes that are
still valid.
"""

import dataclasses
import functools
import hashlib
import math
import random
import typing

# Term: time for which a vote binds the voter, in seconds.
TERM_S = 3.0
# Largest relative difference between the clock rates of two processes.
CLOCK_RATE_MARGIN = 0.1
# Time for which a candidate counts a vote after its request, in seconds.
LEASE_S = TERM_S * (1 - CLOCK_RATE_MARGIN)
# Time for which a new or resumed process gives no votes, in seconds. Even on a fast
# clock it is longer than a term, and than the 3 s after which a configuration is in
# force everywhere.
ABSTENTION_S = TERM_S / (1 - CLOCK_RATE_MARGIN)
# Number of lease groups into which the backend servers are divided.
GROUP_COUNT = 16
# Time after which a candidate without a majority releases its votes, in seconds. Two
# candidates with half of the votes each would otherwise renew them forever.
ATTEMPT_TIMEOUT_S = TERM_S / 2
# Bounds of the delay before the next attempt, in terms.
BACKOFF_TERMS = (0.2, 1.0)


class VoteRequest(typing.NamedTuple):
    """Request of a candidate for votes.

    Attributes
    ----------
    serial : int
        Number of the message; it increases with each message of this candidate.
    groups : tuple of int
        Groups for which a vote, or its renewal, is requested.
    released : tuple of int
        Groups for which votes for earlier messages are released.
    """

    serial: int
    groups: tuple[int, ...]
    released: tuple[int, ...]


class VoteReply(typing.NamedTuple):
    """Answer of a voter to a candidate.

    Attributes
    ----------
    serial : int
        Number of the answered message.
    groups : tuple of int
        Groups for which the vote is given.
    limit : int
        Limit of entry instances in force at the voter.
    """

    serial: int
    groups: tuple[int, ...]
    limit: int


@functools.lru_cache(maxsize=8192)
def group_of(address: str) -> int:
    """Return the lease group of a backend server."""
    return _hash_text(address) % GROUP_COUNT


@functools.lru_cache(maxsize=64)
def select_candidates(live: tuple[str, ...]) -> tuple[str, ...]:
    """Return the preferred candidate of each group by rendezvous hashing.

    Parameters
    ----------
    live : tuple of str
        Incarnations of the entry instances believed to run; not empty.
    """
    return tuple(
        max(live, key=lambda instance: (_hash_text(f"{group}/{instance}"), instance))
        for group in range(GROUP_COUNT)
    )


def _hash_text(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


class _GivenVote(typing.NamedTuple):
    """Vote that binds the voter to a candidate until a time in seconds."""

    candidate: str
    serial: int
    binding_until: float


class Voter:
    """Gives at most one vote for each lease group at a time.

    Parameters
    ----------
    now : float
        Start of the process, in seconds.
    limit : int
        Most entry instances that may run.
    """

    def __init__(self, now: float, limit: int) -> None:
        self._abstains_until = now + ABSTENTION_S
        self._limit = limit
        self._votes: dict[int, _GivenVote] = {}

    def set_limit(self, limit: int) -> None:
        """Adopt a new limit of entry instances."""
        self._limit = limit

    def record_pause(self, now: float) -> None:
        """Give no votes for `ABSTENTION_S`; votes already given stay binding."""
        self._abstains_until = now + ABSTENTION_S

    def vote(self, now: float, candidate: str, vote_request: VoteRequest) -> VoteReply:
        """Release and give votes as a candidate requests; return its answer.

        A group's vote is given if it is free, expired or already the candidate's. A
        release does not apply to a vote for the same or a later message. While the
        voter abstains, no votes are given.

        Parameters
        ----------
        now : float
            Time, in seconds.
        candidate : str
            Incarnation of the entry instance that asks; may be this one.
        vote_request : VoteRequest
            Its request.
        """
        for group in vote_request.released:
            vote = self._votes.get(group)
            if (
                vote
                and vote.candidate == candidate
                and vote.serial < vote_request.serial
            ):
                del self._votes[group]
        if now < self._abstains_until:
            return VoteReply(vote_request.serial, (), self._limit)
        given = [
            group
            for group in vote_request.groups
            if 0 <= group < GROUP_COUNT and self._may_vote(now, group, candidate)
        ]
        for group in given:
            former = self._votes.get(group)
            is_renewal = former is not None and former.candidate == candidate
            serial = (
                max(former.serial, vote_request.serial)
                if is_renewal
                else vote_request.serial
            )
            self._votes[group] = _GivenVote(candidate, serial, now + TERM_S)
        return VoteReply(vote_request.serial, tuple(given), self._limit)

    def candidate(self, now: float, group: int) -> str | None:
        """Return the candidate that holds the vote for a group, or None.

        It is only a hint at which entry instance owns the group.
        """
        vote = self._votes.get(group)
        return vote.candidate if vote is not None and now < vote.binding_until else None

    def _may_vote(self, now: float, group: int, candidate: str) -> bool:
        vote = self._votes.get(group)
        return vote is None or vote.candidate == candidate or now >= vote.binding_until


class _ReceivedVote(typing.NamedTuple):
    """Vote that counts from the time of its request, and the limit of its voter."""

    requested_at: float
    limit: int


@dataclasses.dataclass(slots=True)
class _Candidacy:
    """Votes and ownership of the candidate for one group.

    Attributes
    ----------
    votes : dict of str to _ReceivedVote
        Votes by incarnation of the voter.
    owned_since : float or None
        Time since which the group has been owned, in seconds.
    attempt_started : float or None
        Start of the current attempt to get a majority, in seconds.
    retry_at : float
        Time from which the next attempt may start, in seconds.
    ignored_serial : int
        Votes for messages up to this serial no longer count.
    """

    votes: dict[str, _ReceivedVote] = dataclasses.field(default_factory=dict)
    owned_since: float | None = None
    attempt_started: float | None = None
    retry_at: float = float("-inf")
    ignored_serial: int = 0

    def drop_expired(self, now: float) -> None:
        """Drop the expired votes."""
        self.votes = {
            voter: vote
            for voter, vote in self.votes.items()
            if now < vote.requested_at + LEASE_S
        }


class Candidate:
    """Requests and collects votes, and tells which groups this entry instance owns.

    Parameters
    ----------
    now : float
        Start of the process, in seconds.
    instance : str
        Incarnation of this entry instance.
    limit : int
        Most entry instances that may run.
    seed : int
        Seed of the delay between attempts.
    """

    def __init__(self, now: float, instance: str, limit: int, seed: int) -> None:
        self._instance = instance
        self._random = random.Random(seed)
        self._serial = 0
        self._asked_at: dict[int, float] = {}
        self._candidacies = [_Candidacy() for _ in range(GROUP_COUNT)]
        self._limit = limit
        self._former_limits: list[tuple[int, float]] = []
        # A new process does not know which N was in force before it started.
        self._may_ask_from = now + ABSTENTION_S

    def set_limit(self, now: float, limit: int) -> None:
        """Adopt a new limit of entry instances; the former one counts for a term."""
        if limit == self._limit:
            return
        self._former_limits.append((self._limit, now + ABSTENTION_S))
        self._limit = limit

    def record_pause(self, now: float) -> None:
        """Give up all leases, since they may have expired during a pause."""
        self._asked_at.clear()
        self._candidacies = [
            _Candidacy(retry_at=candidacy.retry_at, ignored_serial=self._serial)
            for candidacy in self._candidacies
        ]

    def request_votes(self, now: float, live: typing.Collection[str]) -> VoteRequest:
        """Return the request for all voters, this instance included.

        It renews the owned groups and requests those for which this instance is the
        preferred candidate. Groups whose attempt timed out are released.

        Parameters
        ----------
        now : float
            Time, in seconds. Leases count from this time.
        live : collection of str
            Incarnations of the entry instances believed to run.
        """
        self._serial += 1
        self._asked_at[self._serial] = now
        for serial in [key for key, at in self._asked_at.items() if now - at > LEASE_S]:
            del self._asked_at[serial]
        preferred = select_candidates(tuple(sorted({*live, self._instance})))
        groups: list[int] = []
        released: list[int] = []
        for group, candidacy in enumerate(self._candidacies):
            candidacy.drop_expired(now)
            if self._has_timed_out(now, candidacy):
                self._end_attempt(now, candidacy)
                released.append(group)
            elif self._should_ask(now, candidacy, preferred[group]):
                groups.append(group)
        return VoteRequest(self._serial, tuple(groups), tuple(released))

    def release(self, now: float) -> VoteRequest:
        """Give up all leases at a planned stop.

        Returns the request that releases the votes at all voters.
        """
        self._serial += 1
        for candidacy in self._candidacies:
            self._end_attempt(now, candidacy)
        self._may_ask_from = math.inf
        return VoteRequest(self._serial, (), tuple(range(GROUP_COUNT)))

    def record_votes(self, now: float, voter: str, votes: VoteReply) -> None:
        """Count the votes of a voter and update which groups are owned.

        Answers to unknown requests, or to ones older than `LEASE_S`, are ignored.

        Parameters
        ----------
        now : float
            Time, in seconds.
        voter : str
            Incarnation of the voter.
        votes : VoteReply
            Its answer.
        """
        requested_at = self._asked_at.get(votes.serial)
        if requested_at is None:
            return
        for group in votes.groups:
            candidacy = self._candidacies[group] if 0 <= group < GROUP_COUNT else None
            if candidacy is None or votes.serial <= candidacy.ignored_serial:
                continue
            was_owned = self._is_owned(now, candidacy)
            former = candidacy.votes.get(voter)
            if former is None or former.requested_at <= requested_at:
                candidacy.votes[voter] = _ReceivedVote(requested_at, votes.limit)
            if not self._has_majority(now, candidacy):
                candidacy.owned_since = None
            elif not was_owned:
                candidacy.owned_since = now
                candidacy.attempt_started = None

    def holds(self, now: float, group: int) -> bool:
        """Return whether this entry instance owns the group."""
        return self._is_owned(now, self._candidacies[group])

    def held_duration(self, now: float, group: int) -> float:
        """Return for how long the group has been owned, in seconds; 0 if it is not."""
        candidacy = self._candidacies[group]
        return now - candidacy.owned_since if self._is_owned(now, candidacy) else 0.0

    def list_owned(self, now: float) -> tuple[int, ...]:
        """Return the groups that this entry instance owns."""
        return tuple(group for group in range(GROUP_COUNT) if self.holds(now, group))

    def _is_owned(self, now: float, candidacy: _Candidacy) -> bool:
        return candidacy.owned_since is not None and self._has_majority(now, candidacy)

    def _has_majority(self, now: float, candidacy: _Candidacy) -> bool:
        """Return whether the valid votes are a majority of the largest known N."""
        valid = [
            vote
            for vote in candidacy.votes.values()
            if now < vote.requested_at + LEASE_S
        ]
        limits = [limit for limit, until in self._former_limits if now < until]
        limits += [vote.limit for vote in valid]
        return 2 * len(valid) > max(limits, default=0) and 2 * len(valid) > self._limit

    def _has_timed_out(self, now: float, candidacy: _Candidacy) -> bool:
        """Return whether the current attempt took too long to get a majority."""
        if candidacy.attempt_started is None or self._is_owned(now, candidacy):
            return False
        return now - candidacy.attempt_started > ATTEMPT_TIMEOUT_S

    def _should_ask(self, now: float, candidacy: _Candidacy, preferred: str) -> bool:
        """Return whether to request votes for a group; may start an attempt."""
        if now < self._may_ask_from:
            return False
        if self._is_owned(now, candidacy):
            return True
        if candidacy.attempt_started is None:
            if preferred != self._instance or now < candidacy.retry_at:
                return False
            candidacy.attempt_started = now
        return True

    def _end_attempt(self, now: float, candidacy: _Candidacy) -> None:
        """Drop the votes of a group and delay the next attempt at random."""
        candidacy.votes.clear()
        candidacy.owned_since = candidacy.attempt_started = None
        candidacy.ignored_serial = self._serial
        delay_s = self._random.uniform(*BACKOFF_TERMS) * TERM_S
        candidacy.retry_at = now + delay_s
