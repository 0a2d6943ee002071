"""Exchange of lease votes and permits with other entry instances by digests."""

import typing

import msgspec
import result

from acacialatch import allotments, decoding, leases, messages, model, permits

LIMIT_UNKNOWN = 1_000_000
"""Limit of entry instances before the first configuration.

It makes a majority impossible.
"""


class DigestPayload(typing.NamedTuple):
    """Encoded fields of a digest; an empty one carries nothing."""

    votes: bytes
    permits: bytes


EMPTY_PAYLOAD = DigestPayload(b"", b"")


class Ownership:
    """Voter, lease candidate and permits of this entry instance.

    Parameters
    ----------
    now : float
        Start of the process, in seconds.
    incarnation : str
        Incarnation of this entry instance.
    seed : int
        Seed of the delay between attempts to own a lease group.

    Attributes
    ----------
    shares : allotments.Allotments
        Shares of connections and slots, and permits, which each send needs.
    malformed : int
        Number of digest fields that could not be decoded.
    granted : int
        Number of permits granted to other entry instances.
    """

    def __init__(self, now: float, incarnation: str, seed: int):
        self._incarnation = incarnation
        self._voter = leases.Voter(now, LIMIT_UNKNOWN)
        self._candidate = leases.Candidate(now, incarnation, LIMIT_UNKNOWN, seed)
        self.shares = allotments.Allotments(incarnation, self._candidate)
        self.malformed = 0
        self.granted = 0
        self._has_new_permits = False

    def apply_configuration(
        self, now: float, configuration: model.Configuration
    ) -> None:
        """Adopt the limits and servers of a new configuration."""
        self._voter.set_limit(configuration.entry_instances_max)
        self._candidate.set_limit(now, configuration.entry_instances_max)
        self.shares.apply_configuration(configuration)

    def record_pause(self, now: float) -> None:
        """Give up leases and permits that may have expired during a pause."""
        self._voter.record_pause(now)
        self._candidate.record_pause(now)
        self.shares.record_pause(now)

    def make_requests(
        self,
        now: float,
        live: typing.Collection[str],
        demand: typing.Iterable[permits.Demand],
    ) -> DigestPayload:
        """Return the requests to all voters and owners.

        This entry instance answers them first, before they are sent to others.

        Parameters
        ----------
        now : float
            Time in seconds, from which leases and permits count.
        live : collection of str
            Incarnations of the entry instances believed to run.
        demand : iterable of permits.Demand
            Permits that waiting sends need.
        """
        vote_request = self._candidate.request_votes(now, live)
        votes = self._voter.vote(now, self._incarnation, vote_request)
        self._candidate.record_votes(now, self._incarnation, votes)
        request = self.shares.request_permits(now, demand)
        self._store_permits(now, self.shares.grant(now, self._incarnation, request))
        return DigestPayload(
            msgspec.msgpack.encode(vote_request), msgspec.msgpack.encode(request)
        )

    def answer_requests(self, now: float, digest: messages.Digest) -> DigestPayload:
        """Return the answers to the requests for votes and permits of a peer."""
        votes = granted = b""
        vote_request = self._decode(digest.votes_asked, leases.VoteRequest)
        if vote_request is not None:
            given = self._voter.vote(now, digest.incarnation, vote_request)
            votes = msgspec.msgpack.encode(given)
        request = self._decode(digest.permits_asked, permits.PermitRequest)
        if request is not None:
            grants = self.shares.grant(now, digest.incarnation, request)
            self.granted += len(grants.permits)
            granted = msgspec.msgpack.encode(grants)
        return DigestPayload(votes, granted)

    def handle_answer(self, now: float, digest: messages.Digest) -> None:
        """Count the votes and store the permits in a peer's answer."""
        votes = self._decode(digest.votes_given, leases.VoteReply)
        if votes is not None:
            self._candidate.record_votes(now, digest.incarnation, votes)
        grants = self._decode(digest.permits_given, permits.PermitReply)
        if grants is not None:
            self._store_permits(now, grants)

    def pop_permits_arrived(self) -> bool:
        """Return whether permits arrived since the last call."""
        arrived, self._has_new_permits = self._has_new_permits, False
        return arrived

    def _store_permits(self, now: float, grants: permits.PermitReply) -> None:
        if self.shares.add_permits(now, grants):
            self._has_new_permits = True

    def release(self, now: float) -> DigestPayload:
        """Return the fields of the last digest, which release all votes."""
        return DigestPayload(msgspec.msgpack.encode(self._candidate.release(now)), b"")

    def list_owned(self, now: float) -> tuple[int, ...]:
        """Return the lease groups that this entry instance owns."""
        return self._candidate.list_owned(now)

    def _decode(self, data: bytes, kind: type) -> typing.Any:
        """Return a decoded digest field; None if it is empty or malformed."""
        if not data:
            return None
        decoded = decoding.decode(msgspec.msgpack.decode, data, type=kind)
        self.malformed += isinstance(decoded, result.Err)
        return decoded.unwrap_or(None)
