"""List of entry instances: from the platform, which lags, and from digests.

Safety never depends on this list. It decides which addresses callers get, which
entry instances watch the configuration service and which ones exchange digests.
"""

import enum
import hashlib
import math
import random
import typing

from acacialatch import instances, tables

ALONE_S = 1.0  # with no peer heard for longer, an instance watches the service
WATCHERS_PER_ZONE = 2
ALL_PEERS_MAX = 8  # up to this number, digests go to every peer
GOSSIP_TARGETS = 3
# With more peers, one target in this many rounds is a silent one, so that the two
# sides of a partition find each other again.
SILENT_TARGET_ROUNDS = 4
# Longer than the hour for which regions may be cut off from each other.
FORGET_S = 7200.0
# The leaving flag must outlive every delayed digest that was sent before it.
LEAVING_FORGET_S = 600.0
# A list read this long after the last digest of an instance is taken to know of it.
LIST_LAG_S = 60.0
INSTANCES_MAX = 1024  # names remembered; about twice the two-year size
STATIC_PEERS_MAX = 64

WATCH_DELAY_MIN_S = 0.1
WATCH_DELAY_MAX_S = 5.0
_WATCH_DOUBLINGS_MAX = 6  # 0.1 s doubled six times exceeds the largest delay


class Cause(enum.Enum):
    """Why the list changed."""

    JOINED = "joined"
    RESTARTED = "restarted"
    LEAVING = "leaving"
    FORGOTTEN = "forgotten"
    MALFORMED = "malformed"
    TABLE_FULL = "table_full"


class Change(typing.NamedTuple):
    """One change for the audit trail.

    `before` and `after` are incarnations, empty where none is known; `source` is
    `"digest"`, `"list"` or `"time"`.
    """

    at: float
    cause: Cause
    name: str
    before: str
    after: str
    source: str


class Membership:
    """The entry instances that one of them knows.

    Parameters
    ----------
    own : Announcement
        This entry instance.
    static_peers : tuple of str
        Peer addresses from the settings, used while the platform is down.
    """

    def __init__(self, own: instances.Announcement, static_peers: tuple[str, ...] = ()):
        self._own = own
        self._static = static_peers[:STATIC_PEERS_MAX]
        self._members: dict[str, instances.Member] = {}
        self._lost: set[str] = set()  # forgotten without a sign that they left

    def set_leaving(self) -> None:
        """Mark this entry instance as leaving; it stays so."""
        self._own = self._own._replace(leaving=True)

    def announce(self, uptime_s: float) -> instances.Announcement:
        """Return what this entry instance says in its digests."""
        return self._own._replace(uptime_s=uptime_s)

    def record_announcement(
        self, now: float, announcement: instances.Announcement
    ) -> tuple[Change, ...]:
        """Note the digest of an entry instance.

        Parameters
        ----------
        now : float
            Time, in seconds.
        announcement : Announcement
            As received; a malformed one is reported and ignored.
        """
        if not instances.is_sound(announcement):
            shown = tables.show(announcement.name)
            return (Change(now, Cause.MALFORMED, shown, "", "", "digest"),)
        name = announcement.name
        if name == self._own.name:
            return ()
        member, changes = self._find_member(now, name, "digest")
        if member is None:
            return changes
        old, was_leaving = member.name_run(now), member.is_leaving(now)
        member.record_announcement(announcement, now)
        new = member.name_run(now)
        if old != new:
            cause = Cause.RESTARTED if old else Cause.JOINED
            changes += (Change(now, cause, name, old, new, "digest"),)
        if member.is_leaving(now) and (old != new or not was_leaving):
            changes += (Change(now, Cause.LEAVING, name, old, new, "digest"),)
        return changes

    def apply_instance_list(
        self, now: float, listed: typing.Iterable[instances.ListEntry]
    ) -> tuple[Change, ...]:
        """Take over the list of the platform.

        The list lags: its leaving mark holds while the list says so, and an entry
        instance that it does not name stays as long as digests arrive from it.
        """
        changes = self.forget(now)
        named: dict[str, instances.ListEntry] = {}
        for entry in listed:
            if not instances.is_place(entry):
                shown = tables.show(entry.name)
                changes += (Change(now, Cause.MALFORMED, shown, "", "", "list"),)
            elif entry.name != self._own.name and len(named) < INSTANCES_MAX:
                named[entry.name] = entry
        for name, member in self._members.items():
            if name not in named:
                member.listed = None
                member.omitted = now - member.heard_at() > LIST_LAG_S
        self._lost &= named.keys()
        for name, entry in named.items():
            member, more = self._find_member(now, name, "list")
            changes += more
            if member is None:
                continue
            was_leaving = member.is_leaving(now)
            member.listed, member.omitted = entry, False
            if entry.leaving and not was_leaving:
                run = member.name_run(now)
                changes += (Change(now, Cause.LEAVING, name, run, run, "list"),)
        return changes

    def _find_member(
        self, now: float, name: str, source: str
    ) -> tuple[instances.Member | None, tuple[Change, ...]]:
        """Return the member `name`, made if there is room."""
        if name in self._members:
            return self._members[name], ()
        changes: tuple[Change, ...] = ()
        if len(self._members) >= INSTANCES_MAX:
            oldest = min(self._members, key=lambda key: self._members[key].heard_at())
            if self._members[oldest].is_live(now):
                return None, (Change(now, Cause.TABLE_FULL, name, "", "", source),)
            changes = (self._forget_member(now, oldest),)
        self._members[name] = instances.Member()
        return self._members[name], changes

    def _forget_member(self, now: float, name: str) -> Change:
        member = self._members.pop(name)
        gone = member.omitted or member.is_leaving(now)
        if not gone and len(self._lost) < INSTANCES_MAX:
            self._lost.add(name)
        return Change(now, Cause.FORGOTTEN, name, member.name_run(now), "", "time")

    def forget(self, now: float) -> tuple[Change, ...]:
        """Forget entry instances that are not listed and silent for long."""
        gone = []
        for name, member in self._members.items():
            lifetime = LEAVING_FORGET_S if member.is_leaving(now) else FORGET_S
            if member.listed is None and now - member.heard_at() > lifetime:
                gone.append(name)
        return tuple(self._forget_member(now, name) for name in gone)

    def knows_peers(self, now: float) -> bool:
        """Return whether other entry instances may be running.

        A silent one counts, also after it was forgotten, until it has left or a
        list that was read long afterwards does not name it: an entry instance that
        is cut off must not conclude that it is alone.
        """
        return bool(self._lost) or any(
            not member.omitted and not member.is_leaving(now)
            for member in self._members.values()
        )

    def _list_live(self, now: float) -> list[instances.Announcement]:
        """Return this instance and those heard lately, without the leaving ones."""
        live = [] if self._own.leaving else [self._own]
        for member in self._members.values():
            run = member.find_run(now)
            if run and member.is_live(now) and not member.is_leaving(now):
                live.append(run.announcement)
        return live

    def list_names(self) -> tuple[str, ...]:
        """Return the names of all known entry instances, this one included."""
        return tuple(sorted({self._own.name, *self._members}))

    def list_incarnations(self, now: float) -> tuple[str, ...]:
        """Return the incarnations of this instance and of those heard lately."""
        return tuple(live.incarnation for live in self._list_live(now))

    def choose_entries(
        self,
        now: float,
        zones_out: typing.Container[str],
        caller_zone: str,
        limit: int,
        caller: str = "",
    ) -> tuple[str, ...]:
        """Return caller addresses to use, the preferred one first.

        Parameters
        ----------
        now : float
            Time, in seconds.
        zones_out : container of str
            Availability zones taken out of service.
        caller_zone : str
            Availability zone of the caller; its entry instances come first.
        limit : int
            Most addresses returned.
        caller : str
            What tells callers apart, so that they spread, as their IP number.

        Returns
        -------
        tuple of str
            Empty if no entry instance may take new work.
        """
        usable = [live for live in self._list_live(now) if live.zone not in zones_out]
        usable.sort(
            key=lambda live: (
                live.zone != caller_zone,
                -_weigh("entry", caller, live.name),
                live.name,
            )
        )
        addresses = dict.fromkeys(live.caller_address for live in usable)
        return tuple(addresses)[: max(0, limit)]

    def list_watchers(self, now: float) -> tuple[str, ...]:
        """Return the names of the watchers: the chosen ones of each zone."""
        zones: dict[str, list[str]] = {}
        for live in self._list_live(now):
            zones.setdefault(live.zone, []).append(live.name)
        watchers: list[str] = []
        for zone in sorted(zones):
            ranked = sorted(
                zones[zone], key=lambda name: (-_weigh("watcher", name), name)
            )
            watchers += ranked[:WATCHERS_PER_ZONE]
        return tuple(watchers)

    def is_watcher(self, now: float) -> bool:
        """Return whether this entry instance watches the configuration service."""
        heard = (member.heard_at() for member in self._members.values())
        if now - max(heard, default=-math.inf) > ALONE_S:
            return True
        return self._own.name in self.list_watchers(now)

    def list_peers(self, now: float) -> tuple[instances.Peer, ...]:
        """Return all peers to exchange digests with, in order of address.

        An entry instance that was leaving and fell silent has ended and is left out.

        Addresses from the settings are included, under an empty name while no
        digest or list names them.
        """
        peers = {address: instances.Peer(address) for address in self._static}
        heard: dict[str, float] = {}
        for name, member in self._members.items():
            run = member.find_run(now)
            place = run.announcement if run is not None else member.listed
            ended = member.is_leaving(now) and not member.is_live(now)
            if place is None or ended:
                continue
            at = member.heard_at()
            # An address passes to the instance that was heard from last.
            if at >= heard.get(place.peer_address, -math.inf):
                heard[place.peer_address] = at
                peers[place.peer_address] = instances.Peer(
                    place.peer_address, name, place.zone
                )
        peers.pop(self._own.peer_address, None)
        return tuple(peers[address] for address in sorted(peers))

    def choose_gossip_targets(
        self, now: float, round_number: int
    ) -> tuple[instances.Peer, ...]:
        """Return the peers that get the digest of one round.

        Parameters
        ----------
        now : float
            Time, in seconds.
        round_number : int
            Number of the round; with the incarnation it seeds the choice.
        """
        peers = self.list_peers(now)
        if len(peers) <= ALL_PEERS_MAX:
            return peers
        chance = random.Random(f"{self._own.incarnation} {round_number}")
        live, silent = [], []
        for peer in peers:
            member = self._members.get(peer.name)
            (live if member and member.is_live(now) else silent).append(peer)
        probes = 1 if silent and round_number % SILENT_TARGET_ROUNDS == 0 else 0
        chosen = chance.sample(live, min(len(live), GOSSIP_TARGETS - probes))
        missing = min(len(silent), GOSSIP_TARGETS - len(chosen))
        return tuple(chosen + chance.sample(silent, missing))


def _weigh(*parts: str) -> int:
    """Return the rendezvous weight of `parts`, the same in every process."""
    joined = "\0".join(parts).encode("utf-8", "surrogatepass")
    return int.from_bytes(hashlib.blake2b(joined, digest_size=8).digest(), "big")


def watch_delay(attempt: int, seed: str) -> float:
    """Return the delay before a broken watch is reopened, with full jitter.

    Parameters
    ----------
    attempt : int
        Failed attempts so far, from 0.
    seed : str
        What tells entry instances apart, as the incarnation.

    Returns
    -------
    float
        From 0.1 s to 5 s.
    """
    doublings = min(max(attempt, 0) + 1, _WATCH_DOUBLINGS_MAX)
    longest = min(WATCH_DELAY_MAX_S, WATCH_DELAY_MIN_S * 2**doublings)
    chance = random.Random(f"watch {seed} {attempt}")
    return chance.uniform(WATCH_DELAY_MIN_S, longest)
