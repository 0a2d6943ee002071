"""Rate limits that backend servers name in their replies."""

import collections
import enum
import math
import typing

from acacialatch import forwarding


class SendKind(enum.Enum):
    """Why a request is sent to a backend server."""

    FIRST = "first"
    RETRY = "retry"
    HEDGE = "hedge"
    BATCH = "batch"


class _Limit:
    """Limit that one server names, and the requests sent to it meanwhile.

    Attributes
    ----------
    rate : float
        Requests per second from all entry instances together.
    since : float
        Time at which this process first heard of it, in seconds.
    named_at : float
        Time of the latest reply that named it, in seconds.
    sends : collections.Counter of str
        Requests of this process since then, by `SendKind`.
    """

    def __init__(self, now: float, rate: float):
        self.rate = rate
        self.since = self.named_at = now
        self.sends: collections.Counter[str] = collections.Counter()


class LimitTable:
    """Rate limits of all backend servers, as this process knows them."""

    def __init__(self) -> None:
        self._limits: dict[str, _Limit] = {}

    def __len__(self) -> int:
        return len(self._limits)

    def record_send(self, identity: str, kind: SendKind) -> None:
        """Count a request to a server."""
        limit = self._limits.get(identity)
        if limit is not None:
            limit.sends[kind.value] += 1

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
        if rate is None or (limit is None and rate == math.inf):
            return []
        if limit is None:
            self._limits[identity] = _Limit(now, rate)
            return [_make_entry("names a rate limit", identity, rate)]
        if rate == math.inf:
            if sent_at < limit.named_at:
                return []
            del self._limits[identity]
            return [
                _make_entry(
                    "rate limit ended",
                    identity,
                    limit.rate,
                    for_s=round(now - limit.since, 3),
                    sends=dict(limit.sends),
                )
            ]
        changed = rate != limit.rate
        limit.rate, limit.named_at = rate, now
        if not changed:
            return []
        return [_make_entry("changes its rate limit", identity, rate)]


def _make_entry(
    text: str, identity: str, rate: float, **values: typing.Any
) -> forwarding.LogEntry:
    return forwarding.LogEntry(
        "server:", text, {"server": identity, "per_s": rate, **values}
    )
