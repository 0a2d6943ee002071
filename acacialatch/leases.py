"""Majority leases in memory: which entry instance owns a lease group.

At most N processes run at once. All votes behind a valid lease were given less
than one term ago by processes that had then been running for a term. So all
voters of two valid leases were running one term ago, two majorities of N share a
voter, and that voter gave its second vote only after the first had expired.

This holds while the number of running processes is at most the smallest N in
force in any of them. Operators therefore raise N before they start more processes
and stop processes before they lower N. Two rules cover the time of the change: a
new process abstains for longer than a configuration takes to be in force
everywhere, and a candidate needs the majority of the largest N that it or one of
its voters knows, a former N included for one term, since voters that have stopped
may have given votes that are still valid.
"""

import dataclasses
import functools
import hashlib
import math
import random
import typing

# Time for which a vote binds the voter, in seconds.
TERM_S = 3.0
# Largest relative difference between the clock rates of two processes.
CLOCK_RATE_MARGIN = 0.1
# Time for which a candidate counts a vote, from the time it asked, in seconds.
LEASE_S = TERM_S * (1 - CLOCK_RATE_MARGIN)
# Time for which a new or resumed process abstains. On a fast clock it is still
# longer than a term and than the 3 s in which a configuration is in force.
ABSTENTION_S = TERM_S / (1 - CLOCK_RATE_MARGIN)
# Number of lease groups.
GROUP_COUNT = 16
# Time after which a candidate without a majority gives its votes back, since two
# candidates with half of the votes each would otherwise renew them for ever.
ATTEMPT_S = TERM_S / 2
# Bounds of the delay before the next attempt, in terms.
BACKOFF_TERMS = (0.2, 1.0)


class VoteRequest(typing.NamedTuple):
    """A candidate asks for votes.

    Attributes
    ----------
    serial : int
        Number of the message; it grows with each one of this candidate.
    groups : tuple of int
        Groups for which a vote, or its renewal, is asked.
    released : tuple of int
        Groups for which votes of earlier messages are given back.
    """

    serial: int
    groups: tuple[int, ...]
    released: tuple[int, ...]


class VoteReply(typing.NamedTuple):
    """A voter answers a candidate.

    Attributes
    ----------
    serial : int
        Number of the message that is answered.
    groups : tuple of int
        Groups for which the vote is given.
    limit : int
        Most entry instances that may run, as the voter knows it.
    """

    serial: int
    groups: tuple[int, ...]
    limit: int


@functools.lru_cache(maxsize=8192)
def group_of(address: str) -> int:
    """Return the lease group of a backend server."""
    return _hash(address) % GROUP_COUNT


@functools.lru_cache(maxsize=64)
def select_candidates(live: tuple[str, ...]) -> tuple[str, ...]:
    """Return the preferred candidate of each group by rendezvous hash.

    Parameters
    ----------
    live : tuple of str
        Incarnations of entry instances that are believed to run; not empty.
    """
    return tuple(
        max(live, key=lambda instance: (_hash(f"{group}/{instance}"), instance))
        for group in range(GROUP_COUNT)
    )


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


class _Vote(typing.NamedTuple):
    candidate: str
    serial: int
    until: float


class Voter:
    """Gives one vote for each group at a time.

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
        self._votes: dict[int, _Vote] = {}

    def set_limit(self, limit: int) -> None:
        """Put a number of entry instances in force."""
        self._limit = limit

    def record_pause(self, now: float) -> None:
        """Abstain for a full term; votes already given stay binding."""
        self._abstains_until = now + ABSTENTION_S

    def vote(self, now: float, candidate: str, vote_request: VoteRequest) -> VoteReply:
        """Answer a candidate.

        Parameters
        ----------
        now : float
            Time, in seconds.
        candidate : str
            Incarnation of the entry instance that asks; may be this one.
        vote_request : VoteRequest
            Its message.
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
            if 0 <= group < GROUP_COUNT and self._is_free(now, group, candidate)
        ]
        for group in given:
            former = self._votes.get(group)
            is_renewal = former is not None and former.candidate == candidate
            serial = (
                max(former.serial, vote_request.serial)
                if is_renewal
                else vote_request.serial
            )
            self._votes[group] = _Vote(candidate, serial, now + TERM_S)
        return VoteReply(vote_request.serial, tuple(given), self._limit)

    def candidate(self, now: float, group: int) -> str | None:
        """Return who holds this vote, as a hint at the owner, or None."""
        vote = self._votes.get(group)
        return vote.candidate if vote is not None and now < vote.until else None

    def _is_free(self, now: float, group: int, candidate: str) -> bool:
        vote = self._votes.get(group)
        return vote is None or vote.candidate == candidate or now >= vote.until


class _Received(typing.NamedTuple):
    asked: float
    limit: int


@dataclasses.dataclass(slots=True)
class _Bid:
    """Votes of one group."""

    votes: dict[str, _Received] = dataclasses.field(default_factory=dict)
    since: float | None = None
    started: float | None = None
    quiet_until: float = float("-inf")
    void_serial: int = 0

    def drop_expired(self, now: float) -> None:
        """Drop the votes that no longer count."""
        self.votes = {
            voter: vote
            for voter, vote in self.votes.items()
            if now < vote.asked + LEASE_S
        }


class Candidate:
    """Collects votes and knows which groups this entry instance owns.

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
        self._asked: dict[int, float] = {}
        self._bids = [_Bid() for _ in range(GROUP_COUNT)]
        self._limit = limit
        self._former_limits: list[tuple[int, float]] = []
        # The N before this process started is unknown to it.
        self._quiet_until = now + ABSTENTION_S

    def set_limit(self, now: float, limit: int) -> None:
        """Put a number of entry instances in force."""
        if limit == self._limit:
            return
        self._former_limits.append((self._limit, now + ABSTENTION_S))
        self._limit = limit

    def record_pause(self, now: float) -> None:
        """Give up all leases, since they may have expired unnoticed."""
        self._asked.clear()
        self._bids = [
            _Bid(quiet_until=bid.quiet_until, void_serial=self._serial)
            for bid in self._bids
        ]

    def request_votes(self, now: float, live: typing.Collection[str]) -> VoteRequest:
        """Return the message for all voters, this instance included.

        It renews the groups that are owned and asks for those for which this
        instance is the preferred candidate.

        Parameters
        ----------
        now : float
            Time, in seconds. Leases count from this time.
        live : collection of str
            Incarnations that are believed to run.
        """
        self._serial += 1
        self._asked[self._serial] = now
        for serial in [key for key, at in self._asked.items() if now - at > LEASE_S]:
            del self._asked[serial]
        preferred = select_candidates(tuple(sorted({*live, self._instance})))
        groups: list[int] = []
        released: list[int] = []
        for group, bid in enumerate(self._bids):
            bid.drop_expired(now)
            if self._is_overdue(now, bid):
                self._give_up(now, bid)
                released.append(group)
            elif self._is_wanted(now, bid, preferred[group]):
                groups.append(group)
        return VoteRequest(self._serial, tuple(groups), tuple(released))

    def release(self, now: float) -> VoteRequest:
        """Give back all votes at a planned stop; return the message for voters."""
        self._serial += 1
        for bid in self._bids:
            self._give_up(now, bid)
        self._quiet_until = math.inf
        return VoteRequest(self._serial, (), tuple(range(GROUP_COUNT)))

    def record_votes(self, now: float, voter: str, votes: VoteReply) -> None:
        """Count the votes of a voter.

        Parameters
        ----------
        now : float
            Time, in seconds.
        voter : str
            Incarnation of the voter.
        votes : VoteReply
            Its answer.
        """
        asked = self._asked.get(votes.serial)
        if asked is None:
            return
        for group in votes.groups:
            bid = self._bids[group] if 0 <= group < GROUP_COUNT else None
            if bid is None or votes.serial <= bid.void_serial:
                continue
            was_held = self._is_held(now, bid)
            former = bid.votes.get(voter)
            if former is None or former.asked <= asked:
                bid.votes[voter] = _Received(asked, votes.limit)
            if not self._has_majority(now, bid):
                bid.since = None
            elif not was_held:
                bid.since = now
                bid.started = None

    def holds(self, now: float, group: int) -> bool:
        """Return whether this entry instance owns the group."""
        return self._is_held(now, self._bids[group])

    def held_duration(self, now: float, group: int) -> float:
        """Return for how long the group has been owned, in seconds; 0 if not."""
        bid = self._bids[group]
        return now - bid.since if self._is_held(now, bid) else 0.0

    def list_owned(self, now: float) -> tuple[int, ...]:
        """Return the groups that this entry instance owns."""
        return tuple(group for group in range(GROUP_COUNT) if self.holds(now, group))

    def _is_held(self, now: float, bid: _Bid) -> bool:
        return bid.since is not None and self._has_majority(now, bid)

    def _has_majority(self, now: float, bid: _Bid) -> bool:
        valid = [vote for vote in bid.votes.values() if now < vote.asked + LEASE_S]
        limits = [limit for limit, until in self._former_limits if now < until]
        limits += [vote.limit for vote in valid]
        return 2 * len(valid) > max(limits, default=0) and 2 * len(valid) > self._limit

    def _is_overdue(self, now: float, bid: _Bid) -> bool:
        if bid.started is None or self._is_held(now, bid):
            return False
        return now - bid.started > ATTEMPT_S

    def _is_wanted(self, now: float, bid: _Bid, preferred: str) -> bool:
        if now < self._quiet_until:
            return False
        if self._is_held(now, bid):
            return True
        if bid.started is None:
            if preferred != self._instance or now < bid.quiet_until:
                return False
            bid.started = now
        return True

    def _give_up(self, now: float, bid: _Bid) -> None:
        bid.votes.clear()
        bid.since = bid.started = None
        bid.void_serial = self._serial
        delay_s = self._random.uniform(*BACKOFF_TERMS) * TERM_S
        bid.quiet_until = now + delay_s
