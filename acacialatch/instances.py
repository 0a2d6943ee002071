"""What is known of single entry instances: their announcements and runs."""

import math
import typing

from acacialatch import tables

HEARD_S = 3.0  # an instance that is silent for longer is not given to callers
RUNS_MAX = 4  # incarnations remembered for one name
INCARNATION_SIZE_MAX = 64  # characters


class Announcement(typing.NamedTuple):
    """What an entry instance says about itself in a digest.

    Attributes
    ----------
    name : str
        Name of the entry instance.
    incarnation : str
        Identifier of the run of the process.
    zone : str
        Availability zone.
    caller_address : str
        IP address and port for callers.
    peer_address : str
        IP address and port for other entry instances.
    leaving : bool
        Whether it shuts down.
    uptime_s : float
        Time since the start of the process, in seconds. Incarnations are random
        numbers without an order; the one that started last is the newer one.
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
    """Another entry instance; `name` and `zone` are empty while unknown."""

    address: str
    name: str = ""
    zone: str = ""


class Run:
    """One incarnation of an entry instance.

    Parameters
    ----------
    announcement : Announcement
        First digest heard.
    now : float
        Time at which it was heard, in seconds.
    """

    def __init__(self, announcement: Announcement, now: float):
        self.announcement = announcement
        self.started = now - announcement.uptime_s
        self.heard_at = now
        self.leaving = announcement.leaving

    def update(self, announcement: Announcement, now: float) -> None:
        """Note a further digest; a leaving flag is never withdrawn."""
        self.announcement = announcement
        # Delays only make a start look later, so the earliest estimate is the best.
        self.started = min(self.started, now - announcement.uptime_s)
        self.heard_at = max(self.heard_at, now)
        self.leaving = self.leaving or announcement.leaving


class Member:
    """Everything known of one name."""

    def __init__(self) -> None:
        self.listed: ListEntry | None = None
        self.omitted = False  # by a list that was read long after the last digest
        self.runs: dict[str, Run] = {}
        self._heard_at = -math.inf

    def record_announcement(self, announcement: Announcement, now: float) -> None:
        """Note a digest; the run that is silent for longest makes room."""
        self.omitted = False
        self._heard_at = max(self._heard_at, now)
        run = self.runs.get(announcement.incarnation)
        if run is not None:
            run.update(announcement, now)
            return
        self.runs[announcement.incarnation] = Run(announcement, now)
        if len(self.runs) > RUNS_MAX:
            del self.runs[min(self.runs, key=lambda key: self.runs[key].heard_at)]

    def find_run(self, now: float) -> Run | None:
        """Return the newest run, one that is heard before one that is silent."""
        if len(self.runs) == 1:  # the usual case, on the path of every caller
            return next(iter(self.runs.values()))
        return max(
            self.runs.values(),
            key=lambda run: (
                now - run.heard_at <= HEARD_S,
                run.started,
                run.announcement.incarnation,
            ),
            default=None,
        )

    def heard_at(self) -> float:
        """Return the time of the latest digest, in seconds; -inf without any."""
        return self._heard_at

    def name_run(self, now: float) -> str:
        """Return the incarnation of the newest run; empty if none is known."""
        run = self.find_run(now)
        return run.announcement.incarnation if run is not None else ""

    def is_live(self, now: float) -> bool:
        """Return whether a digest was heard lately."""
        return now - self.heard_at() <= HEARD_S

    def is_leaving(self, now: float) -> bool:
        """Return whether the newest run or the platform says that it leaves."""
        run = self.find_run(now)
        if run is not None and run.leaving:
            return True
        return self.listed is not None and self.listed.leaving


def is_place(place: Announcement | ListEntry) -> bool:
    """Return whether the name, zone, addresses and leaving flag are well formed."""
    return (
        isinstance(place.name, str)
        and tables.is_name(place.name)
        and isinstance(place.zone, str)
        and tables.is_name(place.zone)
        and isinstance(place.caller_address, str)
        and tables.is_address(place.caller_address)
        and isinstance(place.peer_address, str)
        and tables.is_address(place.peer_address)
        and isinstance(place.leaving, bool)
    )


def is_sound(announcement: Announcement) -> bool:
    """Return whether a received announcement is well formed."""
    return (
        is_place(announcement)
        and isinstance(announcement.incarnation, str)
        and 1 <= len(announcement.incarnation) <= INCARNATION_SIZE_MAX
        and isinstance(announcement.uptime_s, (int, float))
        and 0 <= announcement.uptime_s < math.inf
    )
