"""Choice of one replica among candidates."""

import abc
import hashlib
import typing

from acacialatch import model


class Candidate(typing.NamedTuple):
    """A replica as one entry instance sees it at the time of a choice.

    Attributes
    ----------
    address : str
        IP address and port.
    zone : str
        Availability zone of the replica.
    state : model.ServerState
        State of the backend server.
    in_flight : int
        Requests of this entry instance that the replica is running.
    latency_s : float
        Average latency, in seconds.
    usable : bool
        Whether new work may be sent to the replica.
    reason : str
        Why the replica is not usable; empty if it is usable.
    is_local : bool
        Whether the replica is in the zone of the entry instance.
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
    """Chooses a replica for a sub-request."""

    @abc.abstractmethod
    def choose(self, candidates: typing.Sequence[Candidate], seed: int) -> int | None:
        """Return the position of the chosen candidate, or None if none is usable.

        Parameters
        ----------
        candidates : sequence of Candidate
            Replicas of one service.
        seed : int
            Breaks ties, so that entry instances do not all choose alike.
        """


class LeastLoaded(ReplicaPolicy):
    """Chooses the least product of requests in flight plus one and latency."""

    def choose(self, candidates: typing.Sequence[Candidate], seed: int) -> int | None:
        """Return the position of the candidate with the lowest score."""
        usable = [i for i, candidate in enumerate(candidates) if candidate.usable]
        return min(usable, key=lambda i: _score(candidates[i], seed), default=None)


def _score(candidate: Candidate, seed: int) -> tuple[float, bytes]:
    tie = hashlib.sha256(f"{seed}/{candidate.address}".encode()).digest()
    return ((candidate.in_flight + 1) * candidate.latency_s, tie)
