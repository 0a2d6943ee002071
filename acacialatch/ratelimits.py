"""Rate limits of backend servers, which hold for the sum over all entry instances.

No count is shared. Each entry instance takes a share of a limit and spaces its own
requests, whatever their kind.
"""

import collections
import enum
import math
import random
import typing
import zlib

from acacialatch import forwarding, members, pacing

USABLE_SHARE = 0.9
"""Share of a limit that is used.

The rest covers instances that do not know yet that another one takes part.
"""

INTERVAL_MAX_S = 2.0
"""Longest interval in seconds between the requests of an instance that has a share.

A lower limit is shared by fewer instances. Each of them may send one request more in a
window than its share, which would otherwise exceed a low limit of a large fleet.
"""

PROBE_SHARE = 0.1
"""Share of a limit for the instances that have no other share of it.

With their requests they find out whether the limit still holds.
"""

RATE_MIN = 0.1
RATE_MAX = 1e6
"""Bounds of the limits that are respected, in requests per second.

A server that takes no requests is still asked at the lowest rate whether that has
changed.
"""

NEWS_LIFETIME_S = 15.0
"""Time in seconds for which other instances are told of a limit or its end."""

NEWS_MAX = 64
"""Most limits in one message to another instance; each takes about 30 bytes."""

LIMIT_LIFETIME_S = 60.0
"""Time in seconds after the latest reply with a limit at which it is forgotten."""


class SendKind(enum.Enum):
    """Why a request is sent to a backend server."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"
    BATCH = "batch"


def compute_share(sharing: members.Sharing, identity: str, rate: float) -> float:
    """Return the requests per second that this instance may send to a server.

    All instances that know the same active ones get shares whose sum is within the
    limit. If it is too low for all of them, those with the lowest hashes have it, but
    for `PROBE_SHARE`.

    Parameters
    ----------
    sharing : members.Sharing
        Entry instances that share the limit.
    identity : str
        Identity of the server.
    rate : float
        Requests per second that the server takes from all instances together.
    """
    rate = min(max(rate, RATE_MIN), RATE_MAX)
    probe_rate = PROBE_SHARE * rate / max(sharing.count, len(sharing.active))
    if not sharing.is_settled or sharing.own not in sharing.active:
        return probe_rate
    holders_max = max(1, int(rate * INTERVAL_MAX_S))
    if len(sharing.active) <= holders_max:
        return USABLE_SHARE * rate / len(sharing.active)
    ranked = sorted(
        sharing.active, key=lambda name: zlib.crc32(f"{name} {identity}".encode())
    )
    if sharing.own not in ranked[:holders_max]:
        return probe_rate
    return (USABLE_SHARE - PROBE_SHARE) * rate / holders_max


class _Limit:
    """Limit that one server names, and the requests sent to it meanwhile.

    Attributes
    ----------
    rate : float
        Requests per second from all entry instances together.
    since : float
        Time at which this process first heard of it, in seconds.
    named_at : float
        Time of the latest reply to any instance that named it, in seconds.
    pace : pacing.Pace
        Spaces the requests of this process.
    sends : collections.Counter of str
        Requests of this process since then, by `SendKind`.
    """

    def __init__(self, now: float, named_at: float, rate: float, pace: pacing.Pace):
        self.rate = rate
        self.since = now
        self.named_at = named_at
        self.pace = pace
        self.sends: collections.Counter[str] = collections.Counter()


class LimitTable:
    """Rate limits of all backend servers, as this process knows them.

    Parameters
    ----------
    source : random.Random
        Source of the phases of the requests.
    """

    def __init__(self, source: random.Random) -> None:
        self._random = source
        self._sharing = members.Sharing()
        self._limits: dict[str, _Limit] = {}
        # Time in seconds of the reply that showed the end of a limit.
        self._ended_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def set_sharing(self, now: float, sharing: members.Sharing) -> None:
        """Set which entry instances share the limits."""
        if sharing == self._sharing:
            return
        self._sharing = sharing
        for identity, limit in self._limits.items():
            limit.pace.set_share(now, compute_share(sharing, identity, limit.rate))

    def has_limit(self, identity: str) -> bool:
        """Return whether a server names a limit."""
        return identity in self._limits

    def next_send_at(self, now: float, identity: str) -> float:
        """Return when the next request may be sent to a server, in seconds.

        It is `now` for a server without a limit.
        """
        limit = self._limits.get(identity)
        return now if limit is None else limit.pace.next_send_at(now)

    def count_until(self, now: float, until: float, identity: str) -> float:
        """Return how many requests a server may get from `now` to `until`."""
        limit = self._limits.get(identity)
        return math.inf if limit is None else limit.pace.count_until(now, until)

    def compute_wait(
        self, now: float, identities: typing.Iterable[str], ahead: int
    ) -> float:
        """Return the time in seconds until limited servers allow one more request.

        Parameters
        ----------
        now : float
            Time in seconds.
        identities : iterable of str
            Servers that all name a limit, at least one.
        ahead : int
            Requests that are sent before it.
        """
        paces = [self._limits[identity].pace for identity in identities]
        first_s = min(pace.next_send_at(now) for pace in paces) - now
        return first_s + ahead / sum(pace.share for pace in paces)

    def make_pace(self, now: float, identity: str, rate: float) -> pacing.Pace:
        """Return what spaces the requests of this process to a server.

        Parameters
        ----------
        now : float
            Time in seconds.
        identity : str
            Identity of the server.
        rate : float
            Requests per second that it takes from all entry instances together.
        """
        share = compute_share(self._sharing, identity, rate)
        return pacing.Pace(now, share, self._random.random())

    def record_send(self, now: float, identity: str, kind: SendKind) -> None:
        """Count a request to a server, which its limit then allows less."""
        limit = self._limits.get(identity)
        if limit is not None:
            limit.sends[kind.value] += 1
            limit.pace.record_send(now)

    def record_reply(
        self, now: float, identity: str, rate: float | None, sent_at: float
    ) -> list[forwarding.LogEntry]:
        """Record what a reply says of the rate limit of its server.

        A reply without a limit ends it, unless its request was sent before the latest
        reply that named one: replies on several connections may overtake each other.

        Parameters
        ----------
        now : float
            Time in seconds.
        identity : str
            Identity of the server.
        rate : float or None
            Requests per second from all entry instances together; infinity if the reply
            names no limit, None if it says nothing of it.
        sent_at : float
            Time at which the request was sent, in seconds.
        """
        limit = self._limits.get(identity)
        if rate is None:
            return []
        if rate < math.inf:
            return self._put(now, now, identity, rate)
        if limit is None or sent_at < limit.named_at:
            return []
        return [self._end(now, now, identity, "rate limit ended")]

    def merge_news(
        self, now: float, news: typing.Iterable[members.LimitNews]
    ) -> list[forwarding.LogEntry]:
        """Take over what another instance knows, where it is newer."""
        log_entries: list[forwarding.LogEntry] = []
        for identity, rate, age_s in news:
            shown_at = now - age_s
            limit = self._limits.get(identity)
            known_at = limit.named_at if limit else self._ended_at.get(identity)
            if known_at is not None and shown_at <= known_at:
                continue
            if rate >= 0 and age_s < NEWS_LIFETIME_S:
                log_entries += self._put(now, shown_at, identity, rate)
            elif rate < 0 and limit is not None:
                text = "rate limit ended"
                log_entries.append(self._end(now, shown_at, identity, text))
        return log_entries

    def list_news(self, now: float) -> tuple[members.LimitNews, ...]:
        """Return what other instances should know, `NEWS_MAX` limits at most."""
        news = [
            members.LimitNews(identity, limit.rate, now - limit.named_at)
            for identity, limit in self._limits.items()
        ]
        news += [
            members.LimitNews(identity, -1.0, now - at)
            for identity, at in self._ended_at.items()
        ]
        recent = [one for one in news if 0 <= one.age_s < NEWS_LIFETIME_S]
        if len(recent) > NEWS_MAX:
            recent = self._random.sample(recent, NEWS_MAX)
        return tuple(recent)

    def _put(
        self, now: float, named_at: float, identity: str, rate: float
    ) -> list[forwarding.LogEntry]:
        """Record a limit that a reply named; log it if it is new or has changed."""
        limit = self._limits.get(identity)
        if limit is not None and limit.rate == rate:
            limit.named_at = named_at
            return []
        share = compute_share(self._sharing, identity, rate)
        if limit is None:
            self._ended_at.pop(identity, None)
            pace = self.make_pace(now, identity, rate)
            self._limits[identity] = _Limit(now, named_at, rate, pace)
            text = "names a rate limit"
        else:
            limit.rate, limit.named_at = rate, named_at
            limit.pace.set_share(now, share)
            text = "changes its rate limit"
        return [_make_entry(text, identity, rate, share=round(share, 3))]

    def remove_expired(self, now: float) -> list[forwarding.LogEntry]:
        """Forget limits that no reply has named for `LIMIT_LIFETIME_S`."""
        for identity, at in list(self._ended_at.items()):
            if now - at >= NEWS_LIFETIME_S:
                del self._ended_at[identity]
        expired = [
            identity
            for identity, limit in self._limits.items()
            if now - limit.named_at >= LIMIT_LIFETIME_S
        ]
        return [self._end(now, now, one, "rate limit expired") for one in expired]

    def _end(
        self, now: float, ended_at: float, identity: str, text: str
    ) -> forwarding.LogEntry:
        limit = self._limits.pop(identity)
        self._ended_at[identity] = ended_at
        return _make_entry(
            text,
            identity,
            limit.rate,
            for_s=round(now - limit.since, 3),
            sends=dict(limit.sends),
        )


def _make_entry(
    text: str, identity: str, rate: float, **values: typing.Any
) -> forwarding.LogEntry:
    return forwarding.LogEntry(
        "server:", text, {"server": identity, "per_s": rate, **values}
    )
