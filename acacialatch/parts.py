"""Progress of one part of a query: replicas tried, attempts and rows."""

import random
import typing

from acacialatch import attempts, model, routing

RETRY_DELAY_BASE_S = 0.01
"""First retry delay, in seconds; longer than one round trip between zones."""

RETRY_DELAY_MAX_S = 0.5
"""Longest retry delay, in seconds."""

RETRY_DELAY_MIN_S = 0.001
"""Shortest retry delay near the deadline, in seconds; bounds the attempts."""

NOT_ASKED = "not_asked"
NO_REPLY_YET = "no_reply_yet"
NO_USABLE_REPLICA = "no_usable_replica"
RETRY_BUDGET = "retry_budget"
PARTIAL_REPLY = "partial_reply"
"""Reasons for missing ranges, besides the causes of failed attempts."""

SNAPSHOT_GONE = "cannot serve the pinned snapshot"
RETRY_AFTER = "asked for no request yet"
ATTEMPT_RUNNING = "an attempt is in progress there"
FAILED_BEFORE = "failed before, others are preferred"
"""Reasons for not sending to a candidate."""


class Piece(typing.NamedTuple):
    """Rows of one verified reply and the ranges to which they belong."""

    attempt: int
    ranges: tuple[model.KeyRange, ...]
    rows: typing.Sequence[typing.Any]


class Progress:
    """State of one part in the current plan.

    Attributes
    ----------
    number : int
        Number of the part.
    spec : attempts.Part
        The part itself.
    pieces : list of Piece
        Verified replies with disjoint ranges.
    running : dict
        Sub-requests in progress by number of the attempt.
    expects : attempts.Purpose or None
        Purpose of the `View` that is awaited.
    hedged : bool
        Whether the hedge of this part has been sent.
    refusals : int
        Times that the hedge was not possible when it was due.
    sent : int
        Attempts that may have reached a replica.
    tries : int
        Unsuccessful attempts and refusals since the last progress.
    retry_at : float or None
        Time of the next retry, in seconds.
    gone : set of str
        Replicas that cannot serve the pinned snapshot.
    blocked : bool
        Whether the part waits for a newer snapshot.
    reason : str
        Why the part is incomplete.
    """

    def __init__(self, number: int, spec: attempts.Part) -> None:
        self.number = number
        self.spec = spec
        self.pieces: list[Piece] = []
        self.running: dict[int, attempts.Send] = {}
        self.expects: attempts.Purpose | None = None
        self.hedged = False
        self.refusals = 0
        self.sent = 0
        self.tries = 0
        self.retry_at: float | None = None
        self.gone: set[str] = set()
        self.blocked = False
        self.reason = NOT_ASKED
        self._failed: list[str] = []
        self._not_before: dict[str, float] = {}

    def next_purpose(self) -> attempts.Purpose:
        """Return the purpose of the next attempt if none is running."""
        return attempts.Purpose.RETRY if self.sent else attempts.Purpose.FIRST

    def describe_gap(self) -> str:
        """Return why the rest of the part is missing."""
        return NO_REPLY_YET if self.running else self.reason

    def avoid(self, address: str, until: float) -> None:
        """Prefer other replicas, and exclude this one until a time in seconds."""
        if address in self._failed:
            self._failed.remove(address)
        self._failed.append(address)
        self._not_before[address] = until

    def next_allowed(self, now: float) -> float | None:
        """Return when the next replica may be asked again, in seconds, or None."""
        return min((t for t in self._not_before.values() if t > now), default=None)

    def exclude(self, now: float, candidate: routing.Candidate) -> str:
        """Return why a candidate may not be sent to now; empty if it may."""
        if not candidate.usable:
            return candidate.reason or candidate.state.value
        if candidate.address in self.gone:
            return SNAPSHOT_GONE
        if self._not_before.get(candidate.address, now) > now:
            return RETRY_AFTER
        if any(a.address == candidate.address for a in self.running.values()):
            return ATTEMPT_RUNNING
        return ""

    def list_eligible(self, now: float, view: attempts.View) -> list[routing.Candidate]:
        """Return the candidates that may be sent to now, the preferred ones only.

        Replicas that failed come after all others, the last one to fail last. A
        hedge goes to no replica that failed.
        """
        allowed = [c for c in view.candidates if not self.exclude(now, c)]
        fresh = [c for c in allowed if c.address not in self._failed]
        if fresh or view.purpose is attempts.Purpose.HEDGE:
            return fresh
        return [c for c in allowed if c.address != self._failed[-1]] or allowed

    def explain(self, now: float, view: attempts.View) -> tuple[str, ...]:
        """Return for each candidate why it is not asked; empty if it may be."""
        eligible = self.list_eligible(now, view)
        return tuple(
            self.exclude(now, c) or ("" if c in eligible else FAILED_BEFORE)
            for c in view.candidates
        )

    def accept(self, reply: attempts.Reply) -> bool:
        """Add a verified reply; return whether its rows were taken.

        Rows belong to their whole reply. A reply that shares keys with earlier
        ones is taken only if it contains them entirely and adds keys; it then
        replaces their rows, so that no row is doubled.
        """
        kept, replaced = [], []
        for piece in self.pieces:
            (replaced if _overlap(piece.ranges, reply.ranges) else kept).append(piece)
        sizes = sum(keys.size() for piece in replaced for keys in piece.ranges)
        if not all(_contains(reply.ranges, piece.ranges) for piece in replaced):
            return False
        if sizes == sum(keys.size() for keys in reply.ranges):
            return False
        self.pieces = [*kept, Piece(reply.attempt, reply.ranges, reply.rows)]
        self.pieces.sort(key=lambda piece: min(piece.ranges))
        return True


def delay_retry(seed: int, part: int, tries: int, remaining_s: float) -> float:
    """Return the delay before a retry, in seconds.

    The delay doubles with each try, with jitter between half and all of it. It is
    at most half of the remaining time, so that retries go on up to the deadline.

    Parameters
    ----------
    seed : int
        Seed of the query.
    part : int
        Number of the part.
    tries : int
        Unsuccessful attempts since the last progress, from 1.
    remaining_s : float
        Time to the deadline, in seconds.
    """
    doublings = min(tries - 1, 16)
    jitter = random.Random(f"{seed}/{part}/{tries}").uniform(0.5, 1.0)
    delay = min(RETRY_DELAY_MAX_S, RETRY_DELAY_BASE_S * 2**doublings) * jitter
    return max(RETRY_DELAY_MIN_S, min(delay, remaining_s / 2))


def _overlap(
    left: tuple[model.KeyRange, ...], right: tuple[model.KeyRange, ...]
) -> bool:
    return any(a.start < b.end and b.start < a.end for a in left for b in right)


def _contains(
    outer: tuple[model.KeyRange, ...], inner: tuple[model.KeyRange, ...]
) -> bool:
    merged: list[model.KeyRange] = []
    for keys in sorted(outer):
        if merged and merged[-1].end == keys.start:
            merged[-1] = model.KeyRange(merged[-1].start, keys.end)
        else:
            merged.append(keys)
    return all(
        any(o.start <= i.start and i.end <= o.end for o in merged) for i in inner
    )
