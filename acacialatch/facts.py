"""Facts about incarnations of backend servers, exchanged by entry instances.

Incarnations are random identifiers without an order. An incarnation is proven to be
older than another one only by time: it was last seen running before a request was
sent that the other one answered. Incarnations that cannot be ordered are all kept
until a reply decides which one runs.
"""

import collections
import dataclasses
import enum
import itertools
import typing

# Largest relative difference between the clock rates of two processes.
CLOCK_RATE_MARGIN = 0.1
# Former incarnations kept for each server.
FORMER_INCARNATIONS_MAX = 16
# Incarnations of one server that are kept while the running one is undecided.
INCARNATIONS_MAX = 8
# Entry instances whose counts are kept for one incarnation of one server.
REPORTERS_MAX = 64
# Facts in one digest.
FACTS_MAX = 16
# Digests in which a changed fact is repeated, since a digest can be lost.
FACT_REPEATS = 3
# Servers in each digest whose unchanged facts are sent again.
FACTS_ROTATED = 2

Versions = tuple[tuple[str, tuple[int, ...]], ...]


class Phase(enum.IntEnum):
    """Phase of one incarnation; it only increases."""

    COLD = 0
    WARM = 1
    LEAVING = 2


class Fact(typing.NamedTuple):
    """Knowledge of one entry instance about one incarnation of a backend server.

    Attributes
    ----------
    address : str
        Address of the backend server.
    incarnation : str
        Incarnation of the backend server.
    phase : Phase
        Phase of the incarnation.
    answered : int
        Requests that the sender itself saw answered in this incarnation.
    first_age_s : float
        Time since the first reply of this incarnation known to the sender, in
        seconds; negative if none is known.
    age_s : float
        Time since the incarnation was last known to be running, in seconds.
    versions : tuple
        Pairs of an index name and the held versions of that index.
    """

    address: str
    incarnation: str
    phase: Phase
    answered: int
    first_age_s: float
    age_s: float
    versions: Versions


@dataclasses.dataclass(slots=True)
class IncarnationRecord:
    """Record of one incarnation of a backend server.

    Attributes
    ----------
    last_seen : float
        Upper bound of the time at which the incarnation was last seen running.
    newest_sent : float
        Send time of the newest request of this entry instance that it answered;
        minus infinity if there is none.
    first_reply : float or None
        Time of the first reply.
    phase : Phase
        Phase of the incarnation.
    reports_cold : bool
        Whether the newest reply to this entry instance reported the server as cold.
    answered : dict of str to int
        Numbers of answered requests, by incarnation of the entry instance that saw
        them.
    versions : tuple
        Index versions held.
    versions_seen : float
        Upper bound of the time at which the versions were last seen.
    """

    last_seen: float
    newest_sent: float = float("-inf")
    first_reply: float | None = None
    phase: Phase = Phase.COLD
    reports_cold: bool = False
    answered: dict[str, int] = dataclasses.field(default_factory=dict)
    versions: Versions = ()
    versions_seen: float = float("-inf")

    def count_answered(self) -> int:
        """Return the number of answered requests seen by all entry instances."""
        return sum(self.answered.values())

    def update_versions(self, at: float, versions: Versions) -> None:
        """Replace the versions if the given ones were seen later.

        Ties are decided by the versions, so that the order of calls does not matter.
        """
        if (at, versions) > (self.versions_seen, self.versions):
            self.versions_seen, self.versions = at, versions

    def restart_warm_up(self) -> None:
        """Reset the warm-up: count as cold, with no requests answered."""
        self.first_reply = None
        self.answered.clear()
        self.phase = Phase.COLD if self.phase is Phase.WARM else self.phase

    def update_phase(self, now: float, after_requests: int, warm_up_s: float) -> None:
        """Become warm once the warm-up is complete.

        Parameters
        ----------
        now : float
            Time, in seconds.
        after_requests : int
            Answered requests that the warm-up takes.
        warm_up_s : float
            Time since the first reply that the warm-up takes, in seconds.
        """
        enough = self.count_answered() >= after_requests
        if (
            enough
            and self.first_reply is not None
            and now - self.first_reply >= warm_up_s
        ):
            self.phase = max(self.phase, Phase.WARM)

    def merge_fact(
        self, now: float, peer: str, fact: Fact, trust_warm_up: bool
    ) -> None:
        """Merge the fact of a peer about this incarnation.

        The result does not depend on the order in which facts are merged.

        Parameters
        ----------
        now : float
            Time, in seconds.
        peer : str
            Incarnation of the entry instance that sent the fact.
        fact : Fact
            The fact.
        trust_warm_up : bool
            Whether a warm phase, counts and the first reply are accepted.
        """
        last_seen = bound_last_seen(now, fact)
        self.last_seen = max(self.last_seen, last_seen)
        self.update_versions(last_seen, fact.versions)
        if fact.phase is Phase.LEAVING or trust_warm_up:
            self.phase = max(self.phase, fact.phase)
        if not trust_warm_up:
            return
        if peer in self.answered or len(self.answered) < REPORTERS_MAX:
            self.answered[peer] = max(self.answered.get(peer, 0), fact.answered)
        if fact.first_age_s >= 0:
            first_reply = now - fact.first_age_s * (1 - CLOCK_RATE_MARGIN)
            self.first_reply = (
                first_reply
                if self.first_reply is None
                else min(self.first_reply, first_reply)
            )

    def make_fact(
        self, now: float, address: str, incarnation: str, reporter: str
    ) -> Fact:
        """Return the fact that `reporter`, this entry instance, sends to its peers."""
        phase = self.phase
        if phase is Phase.WARM and self.reports_cold:
            phase = Phase.COLD
        return Fact(
            address,
            incarnation,
            phase,
            self.answered.get(reporter, 0),
            -1.0 if self.first_reply is None else round(now - self.first_reply, 3),
            round(max(0.0, now - self.last_seen), 3),
            self.versions,
        )


def bound_last_seen(now: float, fact: Fact) -> float:
    """Return an upper bound of the local time at which a fact was last true.

    The transit time is unknown and the clock of the sender may be slow.
    """
    return now - max(0.0, fact.age_s) * (1 - CLOCK_RATE_MARGIN)


class IncarnationSet:
    """Incarnations of one backend server that may be the running one."""

    def __init__(self) -> None:
        self.possible: dict[str, IncarnationRecord] = {}
        self._former: dict[str, None] = {}

    def current(self) -> str:
        """Return the running incarnation, or `""` if unknown or undecided."""
        return next(iter(self.possible)) if len(self.possible) == 1 else ""

    def current_record(self) -> IncarnationRecord | None:
        """Return the record of the running incarnation, or None if undecided."""
        if len(self.possible) != 1:
            return None
        (record,) = self.possible.values()
        return record

    def has_phase(self, phase: Phase) -> bool:
        """Return whether any possible incarnation is in the phase."""
        # A generator would double the time of the most common case, one record.
        for record in self.possible.values():  # noqa: SIM110
            if record.phase is phase:
                return True
        return False

    def is_cold(self) -> bool:
        """Return whether the server must be treated as cold."""
        record = self.current_record()
        return record is None or record.phase is Phase.COLD or record.reports_cold

    def record_reply(
        self, now: float, incarnation: str, sent: float
    ) -> IncarnationRecord | None:
        """Record a reply of an incarnation to a request sent at `sent`, in seconds.

        Another incarnation that was last seen before `sent` becomes a former one. If
        the order is not proven, both stay possible, and the server counts as cold.

        Returns
        -------
        IncarnationRecord or None
            The record of the incarnation, or None for a late reply of a former one.
        """
        others = [key for key in self.possible if key != incarnation]
        is_newest = all(self.possible[key].last_seen < sent for key in others)
        if incarnation in self._former and not is_newest:
            return None
        self._former.pop(incarnation, None)
        for key in others:
            if self.possible[key].last_seen < sent:
                self._mark_former(key)
        record = self.possible.setdefault(incarnation, IncarnationRecord(last_seen=now))
        record.last_seen = max(record.last_seen, now)
        record.newest_sent = max(record.newest_sent, sent)
        return record

    def merge(self, now: float, peer: str, fact: Fact, trust_warm_up: bool) -> bool:
        """Merge the fact of a peer; return whether it was accepted.

        A fact about a former incarnation, or one proven to be older than another
        possible incarnation, is ignored.
        """
        if not fact.incarnation or fact.incarnation in self._former:
            return False
        last_seen = bound_last_seen(now, fact)
        others = [
            record for key, record in self.possible.items() if key != fact.incarnation
        ]
        if any(last_seen < record.newest_sent for record in others):
            return False
        record = self.possible.setdefault(
            fact.incarnation, IncarnationRecord(last_seen=last_seen)
        )
        record.merge_fact(now, peer, fact, trust_warm_up)
        while len(self.possible) > INCARNATIONS_MAX:
            self._mark_former(
                min(self.possible, key=lambda key: (self.possible[key].last_seen, key))
            )
        return True

    def _mark_former(self, incarnation: str) -> None:
        del self.possible[incarnation]
        self._add_former(incarnation)

    def _add_former(self, incarnation: str) -> None:
        self._former[incarnation] = None
        while len(self._former) > FORMER_INCARNATIONS_MAX:
            del self._former[next(iter(self._former))]


class FactQueue:
    """Queue that selects the facts of each digest.

    Parameters
    ----------
    facts_max : int
        Most facts in one digest.
    """

    def __init__(self, facts_max: int = FACTS_MAX) -> None:
        self._facts_max = facts_max
        self._pending: dict[str, int] = {}
        self._rotation: collections.deque[str] = collections.deque()

    def apply_addresses(self, addresses: typing.Iterable[str]) -> None:
        """Replace the addresses of the servers that facts may be sent about."""
        self._rotation = collections.deque(sorted(addresses))
        known = set(self._rotation)
        self._pending = {
            address: repeats_left
            for address, repeats_left in self._pending.items()
            if address in known
        }

    def list_addresses(self) -> tuple[str, ...]:
        """Return the addresses in the current order of rotation."""
        return tuple(self._rotation)

    def mark_changed(self, address: str) -> None:
        """Queue the changed facts of a server for the next `FACT_REPEATS` digests."""
        self._pending[address] = FACT_REPEATS

    def pop_facts(
        self,
        asked: typing.Iterable[str],
        list_facts: typing.Callable[[str], list[Fact]],
    ) -> tuple[Fact, ...]:
        """Return the facts of the next digest.

        Facts about the addresses in `asked` come first, in at most half of the
        digest, then changed ones, then a few others in rotation.

        Parameters
        ----------
        asked : iterable of str
            Addresses that a peer asked for.
        list_facts : callable
            Returns the facts about an address.
        """
        chosen = dict.fromkeys(itertools.islice(asked, self._facts_max // 2))
        chosen.update(dict.fromkeys(self._pending))
        for _ in range(min(FACTS_ROTATED, len(self._rotation))):
            chosen[self._rotation[0]] = None
            self._rotation.rotate(-1)
        selected: list[Fact] = []
        for address in chosen:
            own = list_facts(address)
            if len(selected) + len(own) > self._facts_max:
                break
            selected += own
            self._record_sent(address)
        return tuple(selected)

    def _record_sent(self, address: str) -> None:
        # A server whose facts were sent moves to the end, so that a digest that is
        # too small for all changes does not repeat the same ones.
        repeats_left = self._pending.pop(address, 0) - 1
        if repeats_left > 0:
            self._pending[address] = repeats_left
