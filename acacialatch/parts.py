"""State of one part of a query: attempts, eligible replicas and verified replies."""

import random
import typing

from acacialatch import attempts, model, routing

RETRY_DELAY_BASE_S = 0.01
"""First retry delay, in seconds; longer than a round trip between zones."""

RETRY_DELAY_MAX_S = 0.5
"""Longest retry delay, in seconds."""

RETRY_DELAY_MIN_S = 0.001
"""Shortest retry delay, in seconds; limits the number of attempts at the deadline."""

NOT_ASKED = "not_asked"
NO_REPLY_YET = "no_reply_yet"
NO_USABLE_REPLICA = "no_usable_replica"
RETRY_BUDGET = "retry_budget"
PARTIAL_REPLY = "partial_reply"
"""Reasons for missing ranges, in addition to the values of `attempts.Cause`."""

SNAPSHOT_MISSING = "cannot serve the pinned snapshot"
RETRY_AFTER = "asked for no request yet"
ATTEMPT_RUNNING = "an attempt is in progress there"
FAILED_BEFORE = "failed before, others are preferred"
"""Reasons for not sending to a candidate that is usable, for explanations."""


class VerifiedReply(typing.NamedTuple):
    """Rows of a verified reply and the key ranges that they cover together."""

    attempt: int
    ranges: tuple[model.KeyRange, ...]
    rows: typing.Sequence[typing.Any]


class Progress:
    """Progress of one part in the current plan.

    Attributes
    ----------
    number : int
        Number of the part in the plan.
    spec : attempts.Part
        The part as planned.
    replies : list of VerifiedReply
        Verified replies with disjoint ranges, by key.
    running : dict
        Sub-requests in progress, by attempt number.
    awaited_purpose : attempts.Purpose or None
        Purpose of the `View` that was requested; None if none was.
    hedged : bool
        Whether the hedge of this part has been sent.
    hedge_refusals : int
        How often the hedge was due but could not be sent.
    sent_count : int
        Number of attempts that may have reached a replica.
    failed_tries : int
        Number of failed attempts and refused retries since the last accepted reply;
        determines the backoff.
    retry_at : float or None
        Time of the next retry, in seconds.
    lacking_snapshot : set of str
        Addresses of replicas that cannot serve the pinned snapshot.
    awaiting_replan : bool
        Whether the part waits for a newer snapshot.
    reason : str
        Why the part is incomplete.
    """

    def __init__(self, number: int, spec: attempts.Part) -> None:
        self.number = number
        self.spec = spec
        self.replies: list[VerifiedReply] = []
        self.running: dict[int, attempts.Send] = {}
        self.awaited_purpose: attempts.Purpose | None = None
        self.hedged = False
        self.hedge_refusals = 0
        self.sent_count = 0
        self.failed_tries = 0
        self.retry_at: float | None = None
        self.lacking_snapshot: set[str] = set()
        self.awaiting_replan = False
        self.reason = NOT_ASKED
        self._deprioritized: list[str] = []
        self._excluded_until: dict[str, float] = {}

    def next_purpose(self) -> attempts.Purpose:
        """Return the purpose of the next attempt while none is in progress."""
        return attempts.Purpose.RETRY if self.sent_count else attempts.Purpose.FIRST

    def describe_gap(self) -> str:
        """Return why the rest of the part is missing."""
        return NO_REPLY_YET if self.running else self.reason

    def deprioritize(self, address: str, until: float) -> None:
        """Prefer other replicas to this one, and exclude it until a time in seconds."""
        if address in self._deprioritized:
            self._deprioritized.remove(address)
        self._deprioritized.append(address)
        self._excluded_until[address] = until

    def find_next_allowed(self, now: float) -> float | None:
        """Return when the next exclusion ends, in seconds; None if none is left."""
        return min((t for t in self._excluded_until.values() if t > now), default=None)

    def find_exclusion(self, now: float, candidate: routing.Candidate) -> str:
        """Return why nothing may be sent to a candidate now; empty if it may."""
        if not candidate.usable:
            return candidate.reason or candidate.state.value
        if candidate.address in self.lacking_snapshot:
            return SNAPSHOT_MISSING
        if self._excluded_until.get(candidate.address, now) > now:
            return RETRY_AFTER
        if any(a.address == candidate.address for a in self.running.values()):
            return ATTEMPT_RUNNING
        return ""

    def list_eligible(self, now: float, view: attempts.View) -> list[routing.Candidate]:
        """Return the candidates that may be sent to now, only the preferred ones.

        Replicas that failed or replied only partly are used when no other is eligible,
        the most recent of them last. A hedge is never sent to them.
        """
        allowed = [c for c in view.candidates if not self.find_exclusion(now, c)]
        preferred = [c for c in allowed if c.address not in self._deprioritized]
        if preferred or view.purpose is attempts.Purpose.HEDGE:
            return preferred
        return [c for c in allowed if c.address != self._deprioritized[-1]] or allowed

    def explain(self, now: float, view: attempts.View) -> tuple[str, ...]:
        """Return for each candidate why it may not be chosen; empty if it may."""
        eligible = self.list_eligible(now, view)
        return tuple(
            self.find_exclusion(now, c) or ("" if c in eligible else FAILED_BEFORE)
            for c in view.candidates
        )

    def add_reply(self, reply: attempts.Reply) -> bool:
        """Add a verified reply; return whether it was accepted.

        Rows cannot be assigned to single ranges of a reply. A reply that shares keys
        with earlier ones is therefore accepted only if it contains all their keys and
        adds others. It then replaces them, so that no row occurs twice.
        """
        kept, replaced = [], []
        for old in self.replies:
            (replaced if _share_keys(old.ranges, reply.ranges) else kept).append(old)
        replaced_size = sum(keys.size() for old in replaced for keys in old.ranges)
        if not all(_contains(reply.ranges, old.ranges) for old in replaced):
            return False
        if replaced_size == sum(keys.size() for keys in reply.ranges):
            return False
        self.replies = [*kept, VerifiedReply(reply.attempt, reply.ranges, reply.rows)]
        self.replies.sort(key=lambda accepted: min(accepted.ranges))
        return True


def compute_retry_delay(
    seed: int, part: int, failed_tries: int, remaining_s: float
) -> float:
    """Return the delay before a retry, in seconds.

    The delay doubles with each failed try and is multiplied by a random factor between
    0.5 and 1. It is at most half of the remaining time, so that retries continue up to
    the deadline, but at least `RETRY_DELAY_MIN_S`.

    Parameters
    ----------
    seed : int
        Seed of the query.
    part : int
        Number of the part.
    failed_tries : int
        See `Progress`; at least 1.
    remaining_s : float
        Time to the deadline, in seconds.
    """
    doublings = min(failed_tries - 1, 16)
    jitter = random.Random(f"{seed}/{part}/{failed_tries}").uniform(0.5, 1.0)
    delay = min(RETRY_DELAY_MAX_S, RETRY_DELAY_BASE_S * 2**doublings) * jitter
    return max(RETRY_DELAY_MIN_S, min(delay, remaining_s / 2))


def _share_keys(
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
