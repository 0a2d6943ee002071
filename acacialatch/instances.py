"""Entry instances as known from digests and from the platform's list."""

import math
import typing

from acacialatch import tables

# Callers get no address of an instance from which no digest came for longer.
HEARD_S = 3.0
INCARNATIONS_MAX = 4  # incarnations remembered for one name
INCARNATION_LENGTH_MAX = 64  # characters


class Announcement(typing.NamedTuple):
    """What an entry instance reports about itself in a digest.

    Attributes
    ----------
    name : str
        Name of the entry instance.
    incarnation : str
        Random identifier of one run of the process.
    zone : str
        Availability zone.
    caller_address : str
        IP address and port for callers.
    peer_address : str
        IP address and port for other entry instances.
    leaving : bool
        Whether it is shutting down.
    uptime_s : float
        Time since the start of the process, in seconds. Incarnations have no
        order of their own; the one that started last is the newest.
    """

    name: str
    incarnation: str
    zone: str
    caller_address: str
    peer_address: str
    leaving: bool
    uptime_s: float


class ListEntry(typing.NamedTuple):
    """One entry instance in the list of the platform."""

    name: str
    zone: str
    caller_address: str
    peer_address: str
    leaving: bool


class Peer(typing.NamedTuple):
    """Address for digests; `name` and `zone` are empty while unknown."""

    address: str
    name: str = ""
    zone: str = ""


class Incarnation:
    """One incarnation of an entry instance.

    Parameters
    ----------
    announcement : Announcement
        Content of the first digest received.
    now : float
        Time at which it was received, in seconds.
    """

    def __init__(self, announcement: Announcement, now: float):
        self.announcement = announcement
        self.started_at = now - announcement.uptime_s
        self.last_digest_at = now
        self.leaving = announcement.leaving

    def update(self, announcement: Announcement, now: float) -> None:
        """Record a further digest; once set, the leaving flag stays set."""
        self.announcement = announcement
        # Delayed digests only make the start look later: the earliest estimate is best.
        self.started_at = min(self.started_at, now - announcement.uptime_s)
        self.last_digest_at = max(self.last_digest_at, now)
        self.leaving = self.leaving or announcement.leaving


class Member:
    """Everything known of the entry instances of one name."""

    def __init__(self) -> None:
        self.listed: ListEntry | None = None
        # Whether a list that was read long after the last digest omits this name.
        self.missing_from_list = False
        self.incarnations: dict[str, Incarnation] = {}
        self._last_digest_at = -math.inf

    def record_announcement(self, announcement: Announcement, now: float) -> None:
        """Record a digest.

        Above `INCARNATIONS_MAX`, the incarnation whose last digest is oldest is
        dropped.
        """
        self.missing_from_list = False
        self._last_digest_at = max(self._last_digest_at, now)
        known = self.incarnations.get(announcement.incarnation)
        if known is not None:
            known.update(announcement, now)
            return
        self.incarnations[announcement.incarnation] = Incarnation(announcement, now)
        if len(self.incarnations) > INCARNATIONS_MAX:
            oldest = min(
                self.incarnations, key=lambda key: self.incarnations[key].last_digest_at
            )
            del self.incarnations[oldest]

    def find_newest(self, now: float) -> Incarnation | None:
        """Return the newest incarnation, or None without any digest.

        Live incarnations take precedence over silent ones, since a late digest of
        a dead one can make it look newer.
        """
        if len(self.incarnations) == 1:  # the usual case, needed for every caller
            return next(iter(self.incarnations.values()))
        return max(
            self.incarnations.values(),
            key=lambda candidate: (
                now - candidate.last_digest_at <= HEARD_S,
                candidate.started_at,
                candidate.announcement.incarnation,
            ),
            default=None,
        )

    def last_digest_at(self) -> float:
        """Return the time of the latest digest, in seconds; -inf without any."""
        return self._last_digest_at

    def newest_incarnation(self, now: float) -> str:
        """Return the identifier of the newest incarnation; empty if none is known."""
        newest = self.find_newest(now)
        return newest.announcement.incarnation if newest is not None else ""

    def is_live(self, now: float) -> bool:
        """Return whether a digest was received within `HEARD_S`."""
        return now - self.last_digest_at() <= HEARD_S

    def is_leaving(self, now: float) -> bool:
        """Return whether the newest incarnation or the platform marks it as leaving."""
        newest = self.find_newest(now)
        if newest is not None and newest.leaving:
            return True
        return self.listed is not None and self.listed.leaving


def has_valid_location(location: Announcement | ListEntry) -> bool:
    """Return whether the name, zone, addresses and leaving flag are well formed."""
    return (
        isinstance(location.name, str)
        and tables.is_name(location.name)
        and isinstance(location.zone, str)
        and tables.is_name(location.zone)
        and isinstance(location.caller_address, str)
        and tables.is_address(location.caller_address)
        and isinstance(location.peer_address, str)
        and tables.is_address(location.peer_address)
        and isinstance(location.leaving, bool)
    )


def is_valid_announcement(announcement: Announcement) -> bool:
    """Return whether a received announcement is well formed."""
    return (
        has_valid_location(announcement)
        and isinstance(announcement.incarnation, str)
        and 1 <= len(announcement.incarnation) <= INCARNATION_LENGTH_MAX
        and isinstance(announcement.uptime_s, (int, float))
        and 0 <= announcement.uptime_s < math.inf
    )
