"""Plans, events and decisions of one query, and the verification of replies.

Explanation records contain the events and decisions, tagged with their class names.
"""

import enum
import typing

from acacialatch import errors, model, routing

Versions: typing.TypeAlias = tuple[tuple[str, int], ...]
"""Pairs of index name and index version, each index once."""


class Purpose(enum.Enum):
    """Why a sub-request is sent: as first attempt, hedge or retry."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


class Cause(enum.Enum):
    """Why an attempt failed."""

    CONNECT_FAILED = "connect_failed"
    TIMEOUT = "timeout"
    CONNECTION_LOST = "connection_lost"
    SHED = "shed"
    VERSION_GONE = "version_gone"
    MAP_CHANGED = "map_changed"
    REFUSED = "refused"
    BAD_REPLY = "bad_reply"
    NOT_SENT = "not_sent"


SNAPSHOT_CAUSES = frozenset({Cause.VERSION_GONE, Cause.MAP_CHANGED})
"""Causes that show that the replica cannot serve the pinned snapshot."""


class Part(typing.NamedTuple):
    """The key range of one leaf service in a plan.

    Attributes
    ----------
    service : str
        Name of the leaf service; each service occurs once in a plan.
    index : str
        Name of its index.
    keys : model.KeyRange
        Keys to read; for a lookup, only the key itself.
    partition_map : int
        Number of the pinned partition map of the index.
    """

    service: str
    index: str
    keys: model.KeyRange
    partition_map: int


class Plan(typing.NamedTuple):
    """Key ranges and pinned index versions that one query reads.

    Attributes
    ----------
    revision : int
        Pinned configuration revision.
    parts : tuple of Part
        Parts; the number of a part is its position, from 0.
    versions : tuple
        Pinned version of each index.
    """

    revision: int
    parts: tuple[Part, ...]
    versions: Versions


class Start(typing.NamedTuple):
    """The query starts with a plan."""

    plan: Plan


class View(typing.NamedTuple):
    """Replicas of a part at the time of a choice; the answer to `Choose`.

    Attributes
    ----------
    part : int
        Number of the part in the plan.
    purpose : Purpose
        Purpose of the sub-request, as in the `Choose` that this answers.
    candidates : tuple of routing.Candidate
        Replicas of the leaf service.
    budget_allows : bool
        Whether the hedge or retry budget allows one more attempt.
    hedge_delay_s : float or None
        Delay before a hedge, in seconds; None for no hedge.
    attempt_timeout_s : float
        Timeout of one attempt, in seconds.
    """

    part: int
    purpose: Purpose
    candidates: tuple[routing.Candidate, ...]
    budget_allows: bool
    hedge_delay_s: float | None
    attempt_timeout_s: float


class Reply(typing.NamedTuple):
    """A reply of a backend server.

    Attributes
    ----------
    attempt : int
        Attempt on whose connection the reply arrived.
    request_id, index, version, partition_map
        Values in the reply, to be compared with the sub-request.
    ranges : tuple of model.KeyRange
        Key ranges that the reply covers.
    rows : sequence
        Rows of all these ranges together.
    whole : bool
        Whether the whole body was received.
    """

    attempt: int
    request_id: str
    index: str
    version: int
    partition_map: int
    ranges: tuple[model.KeyRange, ...]
    rows: typing.Sequence[typing.Any]
    whole: bool


class Failed(typing.NamedTuple):
    """An attempt ended without a reply.

    Attributes
    ----------
    attempt : int
        Number of the attempt.
    cause : Cause
        Why it failed.
    versions : tuple
        Index versions that the backend server reported to have, if any.
    retry_after_s : float
        Time for which the backend server asked for no more requests, in seconds.
    """

    attempt: int
    cause: Cause
    versions: Versions = ()
    retry_after_s: float = 0.0


class Timer(typing.NamedTuple):
    """The time requested by the last `WakeAt` has been reached."""


class Replan(typing.NamedTuple):
    """The answer to `Restart`; the plan is None if no newer snapshot is known."""

    plan: Plan | None


class CallerGone(typing.NamedTuple):
    """The caller closed its connection."""


Event: typing.TypeAlias = Start | View | Reply | Failed | Timer | Replan | CallerGone


class Choose(typing.NamedTuple):
    """Requests a `View` of a part, to be passed to `Scatter.handle` at once."""

    part: int
    purpose: Purpose


class Send(typing.NamedTuple):
    """Sends a sub-request to a backend server.

    Attributes
    ----------
    part : int
        Number of the part in the plan.
    attempt : int
        Number of the attempt, unique within the query.
    address : str
        Address of the backend server.
    purpose : Purpose
        Why it is sent.
    request_id : str
        Identifier that the reply must carry.
    version : int
        Index version that the reply must carry.
    deadline : float
        Time at which the attempt times out, in seconds.
    ranges : tuple of model.KeyRange
        Keys to read: those of the part that no verified reply covers yet.
    """

    part: int
    attempt: int
    address: str
    purpose: Purpose
    request_id: str
    version: int
    deadline: float
    ranges: tuple[model.KeyRange, ...]


class Cancel(typing.NamedTuple):
    """Cancels an attempt; its reply is no longer needed or was rejected."""

    attempt: int


class Wait(typing.NamedTuple):
    """Queues a part, which has no usable replica, until another `View` of it.

    That view has the same purpose as the view that led to this decision.
    """

    part: int


class WakeAt(typing.NamedTuple):
    """Requests a `Timer` at a time in seconds; replaces the previous request."""

    time: float


class Restart(typing.NamedTuple):
    """Requests a `Replan` with a newer snapshot.

    The new plan may be refused. It was accepted if `Scatter.plan` has changed; the
    parts of the previous plan must then be removed from all queues.
    """

    reason: str


class Missing(typing.NamedTuple):
    """A key range that the answer does not cover, and the reason."""

    service: str
    keys: model.KeyRange
    reason: str


class Outcome(typing.NamedTuple):
    """The answer to a query.

    Attributes
    ----------
    failure : errors.Failure or None
        Error to answer with; None for an answer with rows.
    rows : tuple
        Rows by part and key, at most as many as the limit of the query.
    sources : tuple
        Pairs of attempt number and number of rows taken from its reply, in the order
        of the rows.
    versions : tuple
        Version of each index.
    covered, total : int
        Number of keys covered by verified replies, and of all keys of the plan.
    missing : tuple of Missing
        Ranges that are not covered.
    """

    failure: errors.Failure | None
    rows: tuple[typing.Any, ...]
    sources: tuple[tuple[int, int], ...]
    versions: Versions
    covered: int
    total: int
    missing: tuple[Missing, ...]


class Finish(typing.NamedTuple):
    """Ends the query with its outcome; the last decision."""

    outcome: Outcome


Decision: typing.TypeAlias = Choose | Send | Cancel | Wait | WakeAt | Restart | Finish


def check_reply(reply: Reply, send: Send, part: Part) -> tuple[Cause, str] | None:
    """Verify that a reply belongs to a sub-request and to its snapshot.

    Returns
    -------
    tuple or None
        Cause and text of the first difference; None if the reply is verified.
    """
    if reply.request_id != send.request_id:
        return Cause.BAD_REPLY, f"request_id is {reply.request_id!r}"
    if not reply.whole:
        return Cause.BAD_REPLY, "body is cut short"
    if reply.index != part.index:
        return Cause.BAD_REPLY, f"index is {reply.index!r}"
    if reply.version != send.version:
        return Cause.VERSION_GONE, f"version is {reply.version}"
    if reply.partition_map != part.partition_map:
        return Cause.MAP_CHANGED, f"partition map is {reply.partition_map}"
    return _check_ranges(reply.ranges, part.keys)


def _check_ranges(
    ranges: tuple[model.KeyRange, ...], keys: model.KeyRange
) -> tuple[Cause, str] | None:
    # A reply does not say which row belongs to which range, so overlapping ranges may
    # contain rows twice. Such a reply is rejected as a whole.
    if not ranges:
        return Cause.BAD_REPLY, "no range is covered"
    position = keys.start
    for start, end in sorted(ranges):
        if start < position or start >= end or end > keys.end:
            return Cause.BAD_REPLY, f"range {start}-{end} is empty, doubled or outside"
        position = end
    return None
