"""Membership of the entry instances, which they exchange by gossip.

Each instance sends digests of its member table to a few others in each period. Members
that changed recently are sent in full, others only by their heartbeats.
"""

import math
import random
import typing
import zlib

import msgspec

from acacialatch import freshness

PERIOD_S = 0.5
"""Interval between digests in seconds."""

FANOUT = 2
"""Entry instances of the local zone that get each digest, besides unknown seeds."""

FANOUT_ELSEWHERE = 1
"""Digests per period from all instances of a zone together to each other zone."""

FULL_STATE_S = 3.0
"""Time in seconds for which a member is sent in full after a change."""

LIVENESS_TIMEOUT_S = 4.0
"""Time in seconds without a new heartbeat after which a member counts as down."""

REMOVAL_TIMEOUT_S = 30.0
"""Time in seconds without a new heartbeat after which a member is removed."""

SHARING_TIMEOUT_S = 12.0
"""Time in seconds without a new heartbeat for which a member still counts in shares.

Limits and budgets are divided by the number of entry instances.
"""

SETTLE_S = 3.0
"""Time in seconds after which the other instances know that a member is active."""


COUNTER_MAX = 1 << 62
"""Largest incarnation or heartbeat that a digest may hold.

The wire format holds 64 bits, and both are incremented here.
"""

Counter = typing.Annotated[int, msgspec.Meta(ge=0, le=COUNTER_MAX)]


class Member(typing.NamedTuple):
    """State that an entry instance announces of itself.

    Attributes
    ----------
    name : str
        Name from its settings.
    incarnation : int
        Number of this run of its process; a later run has a greater one.
    heartbeat : int
        Counter that grows with each digest that the instance sends.
    caller_address, gossip_address : str
        Addresses for callers and for digests.
    zone : str
        Availability zone.
    ready : bool
        Whether it accepts requests of callers.
    capacity : float
        Processor cores that it may use.
    load : float
        Processor cores that its requests use. Known only as of the last digest that
        held the member in full.
    active : bool
        Whether it has enough requests to take part in the limits of backend servers.
    """

    name: str
    incarnation: Counter
    heartbeat: Counter
    caller_address: str
    gossip_address: str
    zone: str
    ready: bool
    capacity: float = 1.0
    load: float = 0.0
    active: bool = False


class LimitNews(typing.NamedTuple):
    """What an entry instance knows of the rate limit of a backend server.

    Attributes
    ----------
    server : str
        Identity of the server.
    rate : float
        Requests per second from all instances together; negative if the limit ended.
    age_s : float
        Time in seconds since the reply of the server that showed it.
    """

    server: typing.Annotated[str, msgspec.Meta(max_length=200)]
    rate: float
    age_s: typing.Annotated[float, msgspec.Meta(ge=0)]


class Digest(typing.NamedTuple):
    """Message of one entry instance to another.

    Attributes
    ----------
    members : list of Member
        Members in full, the sender first.
    heartbeats : list of (int, int)
        Key and heartbeat of members that the receiver should already know.
    wants_all : bool
        Whether the receiver should answer with all members in full.
    limits : tuple of LimitNews
        Rate limits of backend servers.
    report : freshness.Report or None
        What the sender tells of its reads of the store.
    """

    members: list[Member]
    heartbeats: list[tuple[int, Counter]]
    wants_all: bool
    limits: tuple[LimitNews, ...] = ()
    report: freshness.Report | None = None


class Sharing(typing.NamedTuple):
    """Entry instances that share the limits of backend servers.

    Attributes
    ----------
    own : str
        Name of this instance.
    active : tuple of str
        Names of the instances that take part, sorted: the active ones, or all if none
        is active.
    count : int
        Number of all instances.
    is_settled : bool
        Whether the others know by now that this instance takes part.
    """

    own: str = ""
    active: tuple[str, ...] = ("",)
    count: int = 1
    is_settled: bool = True


def _make_key(member: Member) -> int:
    """Return a short key for the identity and readiness of a member."""
    text = f"{member.name} {member.incarnation} {member.ready} {member.active}"
    return zlib.crc32(text.encode())


class MemberTable:
    """Entry instances that this one knows.

    Parameters
    ----------
    own : Member
        This entry instance.
    seeds : tuple of str
        Gossip addresses from the settings.
    seed : int
        Seed of random choices.
    """

    def __init__(self, own: Member, seeds: tuple[str, ...], seed: int):
        self.own = own
        self.set_seeds(seeds)
        self._members: dict[str, Member] = {}
        self._names_by_key: dict[int, str] = {}
        self._changed_at: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        # Members that only others reported, without a new heartbeat since. One that has
        # ended would otherwise be listed anew by each instance that starts.
        self._unconfirmed: set[str] = set()
        self._random = random.Random(seed)
        self._settled_at = math.inf
        # Own report and those of others, each with its time in seconds.
        self._report: tuple[float, freshness.Report] | None = None
        self._reports: dict[str, tuple[float, freshness.Report]] = {}

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the gossip addresses from the settings."""
        self._seeds = tuple(one for one in seeds if one != self.own.gossip_address)

    def set_ready(self, ready: bool) -> bool:
        """Announce whether this instance is ready; return whether that is a change."""
        changed = self.own.ready != ready
        if changed:
            self.own = self.own._replace(ready=ready, heartbeat=self.own.heartbeat + 1)
        return changed

    def set_load(self, load: float) -> None:
        """Announce how many processor cores the requests use."""
        self.own = self.own._replace(load=round(load, 3))

    def set_active(self, now: float, active: bool) -> bool:
        """Announce whether this instance is active; return whether that is a change."""
        changed = self.own.active != active
        if changed:
            self.own = self.own._replace(
                active=active, heartbeat=self.own.heartbeat + 1
            )
            self.unsettle(now)
        return changed

    def set_report(self, now: float, report: freshness.Report) -> None:
        """Announce what this instance has read of the store."""
        limit = freshness.POSITION_MAX
        position = freshness.Position(*(min(one, limit) for one in report.position))
        self._report = now, report._replace(position=position)

    def list_reports(self, now: float) -> list[freshness.Report]:
        """Return what others told of their reads with their last digests.

        Reports older than `freshness.REPORT_LIFETIME_S` are left out.
        """
        return [
            report.add_age(now - at)
            for at, report in self._reports.values()
            if now - at < freshness.REPORT_LIFETIME_S
        ]

    def unsettle(self, now: float) -> None:
        """Take no share of the limits until the others can have heard of this instance.

        Call this at the start and after a pause of the process.
        """
        self._settled_at = now + SETTLE_S

    def make_digest(
        self,
        now: float,
        whole: bool = False,
        wants_all: bool = False,
        near: bool = True,
    ) -> Digest:
        """Increment the own heartbeat and return the next digest.

        Parameters
        ----------
        now : float
            Time in seconds.
        whole : bool
            Whether to send all members in full, for a receiver that lacks some.
        wants_all : bool
            Whether to ask the receiver for all members in full.
        near : bool
            Whether it is for the local zone. Digests to other zones hold only the
            members of this one, since traffic between zones is expensive.
        """
        self.own = self.own._replace(heartbeat=self.own.heartbeat + 1)
        full = [self.own]
        heartbeats: list[tuple[int, int]] = []
        for member in self._list_live(now, LIVENESS_TIMEOUT_S):
            if not near and member.zone != self.own.zone:
                continue
            if whole or now - self._changed_at[member.name] < FULL_STATE_S:
                full.append(member)
            else:
                heartbeats.append((_make_key(member), member.heartbeat))
        report = None
        if self._report is not None:
            report = self._report[1].add_age(now - self._report[0])
        return Digest(full, heartbeats, wants_all, report=report)

    def merge_digest(self, now: float, digest: Digest) -> bool:
        """Merge a digest; return whether it has heartbeats of unknown members.

        The sender should then be asked for all members in full.
        """
        for index, member in enumerate(digest.members):
            is_sender = index == 0
            is_known = member.name in self._members or member.name == self.own.name
            if not is_sender and not is_known:
                self._unconfirmed.add(member.name)
            self._merge_member(now, member)
        if digest.members and digest.report is not None:
            self._reports[digest.members[0].name] = (now, digest.report)
        all_known = True
        own_key = _make_key(self.own)
        for key, heartbeat in digest.heartbeats:
            if key == own_key:
                continue
            name = self._names_by_key.get(key)
            if name is None:
                all_known = False
            elif heartbeat > self._members[name].heartbeat:
                self._members[name] = self._members[name]._replace(heartbeat=heartbeat)
                self._heard_at[name] = now
                self._unconfirmed.discard(name)
        return not all_known

    def _merge_member(self, now: float, member: Member) -> None:
        """Keep the member if it is newer than the known one of its name.

        If others know a later incarnation of this instance, it takes a greater one,
        since they would otherwise ignore its digests.
        """
        if member.name == self.own.name:
            if self.own.incarnation < member.incarnation < COUNTER_MAX:
                # The clock went back between two runs of this process.
                self.own = self.own._replace(incarnation=member.incarnation + 1)
            return
        known = self._members.get(member.name)
        if known is not None:
            if (member.incarnation, member.heartbeat) <= (
                known.incarnation,
                known.heartbeat,
            ):
                return
            self._unconfirmed.discard(member.name)
            if _make_key(known) != _make_key(member):
                self._names_by_key.pop(_make_key(known), None)
                known = None
        if known is None:
            self._changed_at[member.name] = now
            self._names_by_key[_make_key(member)] = member.name
        self._members[member.name] = member
        self._heard_at[member.name] = now

    def choose_targets(self, now: float) -> tuple[list[str], list[str]]:
        """Return the addresses in the local zone and elsewhere for the next digest.

        Seeds that are not known as members are among the first, whatever their zone.
        Members without a new heartbeat for `REMOVAL_TIMEOUT_S` are removed first.
        """
        self._remove_silent(now)
        members = list(self._members.values())
        local = [one.gossip_address for one in members if one.zone == self.own.zone]
        remote = [one.gossip_address for one in members if one.zone != self.own.zone]
        targets = self._random.sample(local, min(FANOUT, len(local)))
        # Traffic between zones is expensive, so the instances of a zone share it. A
        # fraction of a digest in the share is the probability of sending one more.
        zones = len({one.zone for one in members} - {self.own.zone})
        share = FANOUT_ELSEWHERE * zones / (1 + len(local))
        count = int(share) + (self._random.random() < share % 1)
        known = {*local, *remote}
        targets += [one for one in self._seeds if one not in known]
        return targets, self._random.sample(remote, min(count, len(remote)))

    def list_all_targets(self) -> list[str]:
        """Return the gossip addresses of all members, for an urgent change."""
        return [one.gossip_address for one in self._members.values()]

    def list_ready(self, now: float) -> list[Member]:
        """Return the live entry instances that accept requests, this one included.

        Members that only others have reported are left out until their next heartbeat.
        """
        members = [self.own, *self._list_live(now, LIVENESS_TIMEOUT_S)]
        return [
            one for one in members if one.ready and one.name not in self._unconfirmed
        ]

    def count_sharing(self, now: float) -> int:
        """Return by how many entry instances limits and budgets are divided.

        Seeds count even if they are not known as members, so that the shares of an
        instance that has just started are not too large.
        """
        return 1 + max(len(self._list_live(now, SHARING_TIMEOUT_S)), len(self._seeds))

    def get_sharing(self, now: float) -> Sharing:
        """Return which entry instances share the limits of backend servers."""
        live = [self.own, *self._list_live(now, SHARING_TIMEOUT_S)]
        active = [one.name for one in live if one.active]
        return Sharing(
            self.own.name,
            tuple(sorted(active or [one.name for one in live])),
            self.count_sharing(now),
            now >= self._settled_at,
        )

    def _list_live(self, now: float, within_s: float) -> list[Member]:
        """Return the members with a new heartbeat in the last `within_s` seconds."""
        return [
            member
            for name, member in self._members.items()
            if now - self._heard_at[name] < within_s
        ]

    def _remove_silent(self, now: float) -> None:
        """Remove members without a new heartbeat for `REMOVAL_TIMEOUT_S`."""
        for name in [
            name for name, at in self._heard_at.items() if now - at >= REMOVAL_TIMEOUT_S
        ]:
            self._names_by_key.pop(_make_key(self._members[name]), None)
            del self._members[name]
            del self._heard_at[name]
            self._unconfirmed.discard(name)
            del self._changed_at[name]
            self._reports.pop(name, None)
