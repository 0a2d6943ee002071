"""Choice of one replica for a sub-request."""

import abc
import hashlib
import typing

from acacialatch import model

# A replica without a measured latency scores with this value, so that the number of
# requests in flight still separates such replicas.
LATENCY_MIN_S = 0.0005
# The average latency already contains the network. The factor keeps traffic in the
# zone while the replicas there are not clearly slower.
ZONE_PENALTY = 1.25
# A new connection costs 6 ms on leaf services, which is of the order of one reply.
STICKY_THRESHOLD = 1.5


class Candidate(typing.NamedTuple):
    """One replica as seen at the time of a choice.

    Attributes
    ----------
    address : str
        IP address and port.
    zone : str
        Availability zone of the replica.
    state : model.ServerState
        State of the replica.
    in_flight : int
        Requests of this entry instance in progress on the replica.
    latency_s : float
        Average latency in seconds; 0 if none was measured.
    usable : bool
        Whether the replica may be chosen.
    reason : str
        Why the replica is not usable; empty if it is.
    is_local : bool
        Whether the replica is in the zone of this entry instance.
    connected : bool
        Whether an idle connection to the replica is open.
    """

    address: str
    zone: str
    state: model.ServerState
    in_flight: int
    latency_s: float
    usable: bool
    reason: str
    is_local: bool
    connected: bool


class ReplicaPolicy(abc.ABC):
    """Rule that chooses among the replicas of one service."""

    @abc.abstractmethod
    def choose(self, candidates: typing.Sequence[Candidate], seed: int) -> int | None:
        """Choose a replica.

        Parameters
        ----------
        candidates : sequence of Candidate
            Replicas in any order.
        seed : int
            Seed of the query. Equal arguments give equal choices.

        Returns
        -------
        int or None
            Index of a usable candidate; None if none is usable.
        """


class FirstReplica(ReplicaPolicy):
    """Naive rule: the first usable replica."""

    def choose(self, candidates: typing.Sequence[Candidate], seed: int) -> int | None:
        """Return the index of the first usable candidate; see `ReplicaPolicy`."""
        return next(iter(_list_usable(candidates)), None)


class LeastLoaded(ReplicaPolicy):
    """The least `(in_flight + 1) * latency_s`, ties broken by rendezvous hash.

    Parameters
    ----------
    zone_penalty : float
        Factor on the score of a replica in another availability zone, at least 1.

    Raises
    ------
    ValueError
        If the factor is below 1.
    """

    def __init__(self, zone_penalty: float = ZONE_PENALTY) -> None:
        if not zone_penalty >= 1:
            raise ValueError("The zone penalty must be at least 1.")
        self._zone_penalty = zone_penalty

    def score(self, candidate: Candidate) -> float:
        """Return the score of a candidate in seconds; less is better.

        A cold replica is usable only while a permit is held, which expires unused.
        It comes first, since only answered requests make it warm.
        """
        if candidate.state is model.ServerState.COLD:
            return 0.0
        latency = max(candidate.latency_s, LATENCY_MIN_S)
        penalty = 1.0 if candidate.is_local else self._zone_penalty
        return (candidate.in_flight + 1) * latency * penalty

    def choose(self, candidates: typing.Sequence[Candidate], seed: int) -> int | None:
        """Return the index of the least score; see `ReplicaPolicy`."""
        return self._find_least(candidates, _list_usable(candidates), seed)

    def _find_least(
        self,
        candidates: typing.Sequence[Candidate],
        indexes: typing.Sequence[int],
        seed: int,
    ) -> int | None:
        if not indexes:
            return None
        scores = {index: self.score(candidates[index]) for index in indexes}
        least = min(scores.values())
        tied = [index for index, score in scores.items() if score == least]
        if len(tied) == 1:
            # Hashing only ties halves the time of a choice of two, 2.3 us to 1.2 us.
            return tied[0]
        return min(tied, key=lambda i: _hash_address(seed, candidates[i].address))


class Sticky(LeastLoaded):
    """Stays with a connected replica while it is nearly as good as the best.

    This saves connection set-ups, as in Sticky-Auction routing. Among several
    connected replicas the least score is taken.

    Parameters
    ----------
    threshold : float
        Largest accepted ratio of the score of the connected replica to the least
        score, at least 1.
    zone_penalty : float
        See `LeastLoaded`.

    Raises
    ------
    ValueError
        If a factor is below 1.
    """

    def __init__(
        self,
        threshold: float = STICKY_THRESHOLD,
        zone_penalty: float = ZONE_PENALTY,
    ) -> None:
        super().__init__(zone_penalty)
        if not threshold >= 1:
            raise ValueError("The threshold must be at least 1.")
        self._threshold = threshold

    def choose(self, candidates: typing.Sequence[Candidate], seed: int) -> int | None:
        """Return the connected replica or the least score; see `ReplicaPolicy`."""
        best = super().choose(candidates, seed)
        connected = [
            index for index in _list_usable(candidates) if candidates[index].connected
        ]
        held = self._find_least(candidates, connected, seed)
        if best is None or held is None:
            return best
        limit = self._threshold * self.score(candidates[best])
        return held if self.score(candidates[held]) <= limit else best


def _list_usable(candidates: typing.Sequence[Candidate]) -> list[int]:
    return [index for index, candidate in enumerate(candidates) if candidate.usable]


def _hash_address(seed: int, address: str) -> bytes:
    return hashlib.blake2b(f"{seed}|{address}".encode(), digest_size=8).digest()
