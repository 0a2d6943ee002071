"""List of entry instances, from digests and from the platform's list, which lags.

The list decides which addresses callers get, which entry instances watch the
configuration service and which ones exchange digests. Safety never depends on it.
"""

import enum
import hashlib
import math
import random
import typing

from acacialatch import instances, tables

# Without a digest of any peer for longer, an instance watches the service itself.
PEER_SILENCE_MAX_S = 1.0
WATCHERS_PER_ZONE = 2
ALL_PEERS_MAX = 8  # up to this number, digests go to every peer
GOSSIP_TARGETS = 3
# With more peers, one round in this many has a silent peer among its targets, so that
# the two sides of a network partition find each other again.
SILENT_TARGET_INTERVAL = 4
# Longer than a network partition between regions, which may last an hour.
FORGET_S = 7200.0
# Must exceed the delay of any digest that was sent before the leaving flag was set.
FORGET_LEAVING_S = 600.0
# Largest lag of the list. An instance is taken to have ended if a list that was read
# this long after its last digest omits it.
LIST_LAG_S = 60.0
INSTANCES_MAX = 1024  # names; about twice the number expected in two years
STATIC_PEERS_MAX = 64

WATCH_DELAY_MIN_S = 0.1
WATCH_DELAY_MAX_S = 5.0
_WATCH_DOUBLINGS_MAX = 6  # 0.1 s doubled six times exceeds 5 s


class Cause(enum.Enum):
    """Why the list changed."""

    JOINED = "joined"
    RESTARTED = "restarted"
    LEAVING = "leaving"
    FORGOTTEN = "forgotten"
    MALFORMED = "malformed"
    TABLE_FULL = "table_full"


class Change(typing.NamedTuple):
    """One change of the list, for the audit trail.

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
    """The entry instances that this one knows.

    Parameters
    ----------
    own : Announcement
        Announcement of this entry instance.
    static_peers : tuple of str
        Peer addresses from the settings, used while the platform is down.
    """

    def __init__(self, own: instances.Announcement, static_peers: tuple[str, ...] = ()):
        self._own = own
        self._static_peers = static_peers[:STATIC_PEERS_MAX]
        self._members: dict[str, instances.Member] = {}
        self._lost_names: set[str] = set()  # forgotten, may still run

    def set_leaving(self) -> None:
        """Mark this entry instance as leaving, for good."""
        self._own = self._own._replace(leaving=True)

    def announce(self, uptime_s: float) -> instances.Announcement:
        """Return the announcement for the digests of this entry instance."""
        return self._own._replace(uptime_s=uptime_s)

    def record_announcement(
        self, now: float, announcement: instances.Announcement
    ) -> tuple[Change, ...]:
        """Record the announcement in a digest of an entry instance.

        Parameters
        ----------
        now : float
            Time, in seconds.
        announcement : Announcement
            As received; a malformed one is reported and ignored.

        Returns
        -------
        tuple of Change
            What the announcement changed.
        """
        if not instances.is_valid_announcement(announcement):
            shown_name = tables.format_value(announcement.name)
            return (Change(now, Cause.MALFORMED, shown_name, "", "", "digest"),)
        name = announcement.name
        if name == self._own.name:
            return ()
        member, changes = self._find_or_add_member(now, name, "digest")
        if member is None:
            return changes
        old, was_leaving = member.newest_incarnation(now), member.is_leaving(now)
        member.record_announcement(announcement, now)
        new = member.newest_incarnation(now)
        if old != new:
            cause = Cause.RESTARTED if old else Cause.JOINED
            changes += (Change(now, cause, name, old, new, "digest"),)
        if member.is_leaving(now) and (old != new or not was_leaving):
            changes += (Change(now, Cause.LEAVING, name, old, new, "digest"),)
        return changes

    def apply_instance_list(
        self, now: float, listed: typing.Iterable[instances.ListEntry]
    ) -> tuple[Change, ...]:
        """Apply the platform's list of entry instances.

        The list lags. An instance that it omits stays as long as digests arrive
        from it, and its leaving flag holds only until a later list clears it.
        """
        changes = self.forget(now)
        named: dict[str, instances.ListEntry] = {}
        for entry in listed:
            if not instances.has_valid_location(entry):
                shown_name = tables.format_value(entry.name)
                changes += (Change(now, Cause.MALFORMED, shown_name, "", "", "list"),)
            elif entry.name != self._own.name and len(named) < INSTANCES_MAX:
                named[entry.name] = entry
        for name, member in self._members.items():
            if name not in named:
                member.listed = None
                member.missing_from_list = now - member.last_digest_at() > LIST_LAG_S
        self._lost_names &= named.keys()
        for name, entry in named.items():
            member, more = self._find_or_add_member(now, name, "list")
            changes += more
            if member is None:
                continue
            was_leaving = member.is_leaving(now)
            member.listed, member.missing_from_list = entry, False
            if entry.leaving and not was_leaving:
                newest = member.newest_incarnation(now)
                changes += (Change(now, Cause.LEAVING, name, newest, newest, "list"),)
        return changes

    def _find_or_add_member(
        self, now: float, name: str, source: str
    ) -> tuple[instances.Member | None, tuple[Change, ...]]:
        """Return the member `name`, added if it is new, and the changes made.

        If the table is full, the member whose last digest is oldest makes room,
        unless it is still live: then the result is None.
        """
        if name in self._members:
            return self._members[name], ()
        changes: tuple[Change, ...] = ()
        if len(self._members) >= INSTANCES_MAX:
            oldest = min(
                self._members, key=lambda key: self._members[key].last_digest_at()
            )
            if self._members[oldest].is_live(now):
                return None, (Change(now, Cause.TABLE_FULL, name, "", "", source),)
            changes = (self._forget_member(now, oldest),)
        self._members[name] = instances.Member()
        return self._members[name], changes

    def _forget_member(self, now: float, name: str) -> Change:
        """Remove a member; its name is kept if it may still be running."""
        member = self._members.pop(name)
        has_left = member.missing_from_list or member.is_leaving(now)
        if not has_left and len(self._lost_names) < INSTANCES_MAX:
            self._lost_names.add(name)
        return Change(
            now, Cause.FORGOTTEN, name, member.newest_incarnation(now), "", "time"
        )

    def forget(self, now: float) -> tuple[Change, ...]:
        """Forget unlisted entry instances that have sent no digest for long."""
        expired = []
        for name, member in self._members.items():
            lifetime = FORGET_LEAVING_S if member.is_leaving(now) else FORGET_S
            if member.listed is None and now - member.last_digest_at() > lifetime:
                expired.append(name)
        return tuple(self._forget_member(now, name) for name in expired)

    def knows_peers(self, now: float) -> bool:
        """Return whether other entry instances may be running.

        A silent one counts, even after it was forgotten, until it has left or a
        list that was read long afterwards omits it: an entry instance that is cut
        off from all others must not conclude that it is alone.
        """
        return bool(self._lost_names) or any(
            not member.missing_from_list and not member.is_leaving(now)
            for member in self._members.values()
        )

    def _list_live(self, now: float) -> list[instances.Announcement]:
        """Return this instance and the live ones, without those that are leaving."""
        live = [] if self._own.leaving else [self._own]
        for member in self._members.values():
            newest = member.find_newest(now)
            if newest and member.is_live(now) and not member.is_leaving(now):
                live.append(newest.announcement)
        return live

    def list_names(self) -> tuple[str, ...]:
        """Return the names of all known entry instances, this one included."""
        return tuple(sorted({self._own.name, *self._members}))

    def list_incarnations(self, now: float) -> tuple[str, ...]:
        """Return the incarnations of this instance and the live ones.

        Those that are leaving are left out.
        """
        return tuple(live.incarnation for live in self._list_live(now))

    def choose_entries(
        self,
        now: float,
        zones_out: typing.Container[str],
        caller_zone: str,
        limit: int,
        caller: str = "",
    ) -> tuple[str, ...]:
        """Return the addresses that a caller should use, the preferred one first.

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
            Identifies the caller, such as its IP address; spreads callers evenly.

        Returns
        -------
        tuple of str
            Caller addresses; empty if no entry instance may take new work.
        """
        usable = [live for live in self._list_live(now) if live.zone not in zones_out]
        usable.sort(
            key=lambda live: (
                live.zone != caller_zone,
                -_compute_weight("entry", caller, live.name),
                live.name,
            )
        )
        addresses = dict.fromkeys(live.caller_address for live in usable)
        return tuple(addresses)[: max(0, limit)]

    def list_watchers(self, now: float) -> tuple[str, ...]:
        """Return the names of the watchers, up to `WATCHERS_PER_ZONE` in each zone."""
        zones: dict[str, list[str]] = {}
        for live in self._list_live(now):
            zones.setdefault(live.zone, []).append(live.name)
        watchers: list[str] = []
        for zone in sorted(zones):
            ranked = sorted(
                zones[zone], key=lambda name: (-_compute_weight("watcher", name), name)
            )
            watchers += ranked[:WATCHERS_PER_ZONE]
        return tuple(watchers)

    def is_watcher(self, now: float) -> bool:
        """Return whether this entry instance watches the configuration service.

        It does if it is one of the chosen watchers, or without a digest of any peer
        for `PEER_SILENCE_MAX_S`.
        """
        digests_at = (member.last_digest_at() for member in self._members.values())
        if now - max(digests_at, default=-math.inf) > PEER_SILENCE_MAX_S:
            return True
        return self._own.name in self.list_watchers(now)

    def list_peers(self, now: float) -> tuple[instances.Peer, ...]:
        """Return all peers to exchange digests with, in order of address.

        An entry instance that was leaving and has fallen silent has ended and is
        left out. Addresses from the settings are included, with an empty name until
        a digest or the list names the instance.
        """
        peers = {address: instances.Peer(address) for address in self._static_peers}
        latest: dict[str, float] = {}
        for name, member in self._members.items():
            newest = member.find_newest(now)
            location = newest.announcement if newest is not None else member.listed
            ended = member.is_leaving(now) and not member.is_live(now)
            if location is None or ended:
                continue
            at = member.last_digest_at()
            # An address belongs to the instance whose digest is the latest.
            if at >= latest.get(location.peer_address, -math.inf):
                latest[location.peer_address] = at
                peers[location.peer_address] = instances.Peer(
                    location.peer_address, name, location.zone
                )
        peers.pop(self._own.peer_address, None)
        return tuple(peers[address] for address in sorted(peers))

    def choose_gossip_targets(
        self, now: float, round_number: int
    ) -> tuple[instances.Peer, ...]:
        """Return the peers that get a digest in one gossip round.

        Parameters
        ----------
        now : float
            Time, in seconds.
        round_number : int
            Number of the round; seeds the choice together with the incarnation.
        """
        peers = self.list_peers(now)
        if len(peers) <= ALL_PEERS_MAX:
            return peers
        rng = random.Random(f"{self._own.incarnation} {round_number}")
        live, silent = [], []
        for peer in peers:
            member = self._members.get(peer.name)
            (live if member and member.is_live(now) else silent).append(peer)
        reserved = 1 if silent and round_number % SILENT_TARGET_INTERVAL == 0 else 0
        chosen = rng.sample(live, min(len(live), GOSSIP_TARGETS - reserved))
        silent_count = min(len(silent), GOSSIP_TARGETS - len(chosen))
        return tuple(chosen + rng.sample(silent, silent_count))


def _compute_weight(*parts: str) -> int:
    """Return the rendezvous hashing weight of `parts`, equal in every process."""
    joined = "\0".join(parts).encode("utf-8", "surrogatepass")
    return int.from_bytes(hashlib.blake2b(joined, digest_size=8).digest(), "big")


def choose_watch_delay(attempt: int, seed: str) -> float:
    """Return the delay before a broken watch is reopened, with full jitter.

    Parameters
    ----------
    attempt : int
        Failed attempts so far, from 0.
    seed : str
        Differs between entry instances, such as the incarnation.

    Returns
    -------
    float
        Delay in seconds, from `WATCH_DELAY_MIN_S` to `WATCH_DELAY_MAX_S`.
    """
    doublings = min(max(attempt, 0) + 1, _WATCH_DOUBLINGS_MAX)
    longest = min(WATCH_DELAY_MAX_S, WATCH_DELAY_MIN_S * 2**doublings)
    rng = random.Random(f"watch {seed} {attempt}")
    return rng.uniform(WATCH_DELAY_MIN_S, longest)
