"""What entry instances tell each other about incarnations of backend servers.

Incarnations are random and have no order of their own. An incarnation is proven
to be older than another one only by time: it was last seen running before a
request was sent that the other one answered. Incarnations that cannot be ordered
are kept side by side until a reply decides.
"""

import collections
import dataclasses
import enum
import itertools
import typing

# Largest relative difference between the clock rates of two processes.
CLOCK_RATE_MARGIN = 0.1
# Former incarnations remembered for each server.
FORMER_MAX = 16
# Incarnations of one server that are kept side by side while undecided.
RUNS_MAX = 8
# Entry instances whose counts are kept for one incarnation of one server.
REPORTERS_MAX = 64
# Facts in one digest.
FACTS_MAX = 16
# Digests in which a changed fact is sent, since a digest can be lost.
FACT_REPEATS = 3
# Servers in each digest whose facts are sent again although nothing changed.
FACTS_ROTATED = 2

Versions = tuple[tuple[str, tuple[int, ...]], ...]


class Phase(enum.IntEnum):
    """Phase of one incarnation. It only moves upwards."""

    COLD = 0
    WARM = 1
    LEAVING = 2


class Fact(typing.NamedTuple):
    """What one entry instance knows of one incarnation of a backend server.

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
        Time since the first reply of this incarnation that the sender knows of,
        in seconds; negative if it knows of none.
    age_s : float
        Time since the incarnation was last known to run, in seconds.
    versions : tuple
        Pairs of an index name and the versions of that index that are held.
    """

    address: str
    incarnation: str
    phase: Phase
    answered: int
    first_age_s: float
    age_s: float
    versions: Versions


@dataclasses.dataclass(slots=True)
class Run:
    """What is known of one incarnation of a backend server.

    Attributes
    ----------
    until : float
        Latest time at which the incarnation may last have been seen running.
    sent : float
        Send time of the newest request of this instance that it answered; minus
        infinity if there is none.
    first : float or None
        Time of the first reply.
    phase : Phase
        Phase of the incarnation.
    reports_cold : bool
        Whether the newest reply to this instance said that the server is cold.
    answered : dict of str to int
        Answered requests by entry instance that saw them.
    versions : tuple
        Index versions held.
    versions_at : float
        Time at which the versions may last have been seen.
    """

    until: float
    sent: float = float("-inf")
    first: float | None = None
    phase: Phase = Phase.COLD
    reports_cold: bool = False
    answered: dict[str, int] = dataclasses.field(default_factory=dict)
    versions: Versions = ()
    versions_at: float = float("-inf")

    def count_answered(self) -> int:
        """Return the answered requests that all entry instances together saw."""
        return sum(self.answered.values())

    def hold_versions(self, at: float, versions: Versions) -> None:
        """Keep the versions that were seen last."""
        if (at, versions) > (self.versions_at, self.versions):
            self.versions_at, self.versions = at, versions

    def restart_warm_up(self) -> None:
        """Count as cold again and drop all progress."""
        self.first = None
        self.answered.clear()
        self.phase = Phase.COLD if self.phase is Phase.WARM else self.phase

    def raise_phase(self, now: float, after_requests: int, warm_up_s: float) -> None:
        """Become warm after enough answered requests over a long enough time."""
        enough = self.count_answered() >= after_requests
        if enough and self.first is not None and now - self.first >= warm_up_s:
            self.phase = max(self.phase, Phase.WARM)

    def join(self, now: float, peer: str, fact: Fact, trust_progress: bool) -> None:
        """Join the fact of a peer about this incarnation.

        The result does not depend on the order in which facts are joined.

        Parameters
        ----------
        now : float
            Time, in seconds.
        peer : str
            Incarnation of the entry instance that sent the fact.
        fact : Fact
            The fact.
        trust_progress : bool
            Whether a warm phase and counts are believed.
        """
        until = latest_evidence(now, fact)
        self.until = max(self.until, until)
        self.hold_versions(until, fact.versions)
        if fact.phase is Phase.LEAVING or trust_progress:
            self.phase = max(self.phase, fact.phase)
        if not trust_progress:
            return
        if peer in self.answered or len(self.answered) < REPORTERS_MAX:
            self.answered[peer] = max(self.answered.get(peer, 0), fact.answered)
        if fact.first_age_s >= 0:
            first = now - fact.first_age_s * (1 - CLOCK_RATE_MARGIN)
            self.first = first if self.first is None else min(self.first, first)

    def make_fact(
        self, now: float, address: str, incarnation: str, reporter: str
    ) -> Fact:
        """Return what `reporter`, this entry instance, tells its peers."""
        phase = self.phase
        if phase is Phase.WARM and self.reports_cold:
            phase = Phase.COLD
        return Fact(
            address,
            incarnation,
            phase,
            self.answered.get(reporter, 0),
            -1.0 if self.first is None else round(now - self.first, 3),
            round(max(0.0, now - self.until), 3),
            self.versions,
        )


def latest_evidence(now: float, fact: Fact) -> float:
    """Return the latest local time at which the evidence may have been taken.

    The transit time is unknown and the clock of the sender may be slow, so this
    is an upper bound.
    """
    return now - max(0.0, fact.age_s) * (1 - CLOCK_RATE_MARGIN)


class Runs:
    """Incarnations of one backend server that may be the running one."""

    def __init__(self) -> None:
        self.open: dict[str, Run] = {}
        self._former: dict[str, None] = {}

    def current(self) -> str:
        """Return the running incarnation, or `""` if unknown or undecided."""
        return next(iter(self.open)) if len(self.open) == 1 else ""

    def current_run(self) -> Run | None:
        """Return the run of the running incarnation, or None."""
        if len(self.open) != 1:
            return None
        (run,) = self.open.values()
        return run

    def has_phase(self, phase: Phase) -> bool:
        """Return whether some possible incarnation is in the phase."""
        # A generator would double the time of the commonest case, a single run.
        for run in self.open.values():  # noqa: SIM110
            if run.phase is phase:
                return True
        return False

    def is_cold(self) -> bool:
        """Return whether the server must be taken as cold."""
        run = self.current_run()
        return run is None or run.phase is Phase.COLD or run.reports_cold

    def record_reply(self, now: float, incarnation: str, sent: float) -> Run | None:
        """Note a reply of an incarnation to a request sent at `sent`.

        Another incarnation that was last seen before `sent` is a former one. If
        the order is not proven, both stay open, and the server counts as cold.

        Returns
        -------
        Run or None
            The run, or None for a late reply of a former incarnation.
        """
        others = [key for key in self.open if key != incarnation]
        is_newest = all(self.open[key].until < sent for key in others)
        if incarnation in self._former and not is_newest:
            return None
        self._former.pop(incarnation, None)
        for key in others:
            if self.open[key].until < sent:
                self._retire(key)
        run = self.open.setdefault(incarnation, Run(until=now))
        run.until = max(run.until, now)
        run.sent = max(run.sent, sent)
        return run

    def merge(self, now: float, peer: str, fact: Fact, trust_progress: bool) -> bool:
        """Join the fact of a peer; return whether anything was believed."""
        if not fact.incarnation or fact.incarnation in self._former:
            return False
        until = latest_evidence(now, fact)
        others = [run for key, run in self.open.items() if key != fact.incarnation]
        if any(until < run.sent for run in others):
            return False
        run = self.open.setdefault(fact.incarnation, Run(until=until))
        run.join(now, peer, fact, trust_progress)
        while len(self.open) > RUNS_MAX:
            self._retire(min(self.open, key=lambda key: (self.open[key].until, key)))
        return True

    def _retire(self, incarnation: str) -> None:
        del self.open[incarnation]
        self._remember_former(incarnation)

    def _remember_former(self, incarnation: str) -> None:
        self._former[incarnation] = None
        while len(self._former) > FORMER_MAX:
            del self._former[next(iter(self._former))]


class FactQueue:
    """Chooses the facts of each digest.

    Parameters
    ----------
    facts_max : int
        Most facts in one digest.
    """

    def __init__(self, facts_max: int = FACTS_MAX) -> None:
        self._facts_max = facts_max
        self._pending: dict[str, int] = {}
        self._rotation: collections.deque[str] = collections.deque()

    def set_addresses(self, addresses: typing.Iterable[str]) -> None:
        """Replace the servers that facts may be about."""
        self._rotation = collections.deque(sorted(addresses))
        known = set(self._rotation)
        self._pending = {
            address: left for address, left in self._pending.items() if address in known
        }

    def addresses(self) -> tuple[str, ...]:
        """Return the servers in their present order of rotation."""
        return tuple(self._rotation)

    def add(self, address: str) -> None:
        """Note that the facts about a server changed."""
        self._pending[address] = FACT_REPEATS

    def take(
        self,
        asked: typing.Iterable[str],
        list_facts: typing.Callable[[str], list[Fact]],
    ) -> tuple[Fact, ...]:
        """Return the facts of the next digest.

        Facts that were asked for come first, in at most half of the digest, then
        changed ones, then a few others in rotation.
        """
        chosen = dict.fromkeys(itertools.islice(asked, self._facts_max // 2))
        chosen.update(dict.fromkeys(self._pending))
        for _ in range(min(FACTS_ROTATED, len(self._rotation))):
            chosen[self._rotation[0]] = None
            self._rotation.rotate(-1)
        taken: list[Fact] = []
        for address in chosen:
            own = list_facts(address)
            if len(taken) + len(own) > self._facts_max:
                break
            taken += own
            self._count_sent(address)
        return tuple(taken)

    def _count_sent(self, address: str) -> None:
        # A server that was sent moves behind the others, so that a digest which
        # is too small for all changes does not repeat the same ones.
        left = self._pending.pop(address, 0) - 1
        if left > 0:
            self._pending[address] = left
