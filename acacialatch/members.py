"""Which entry instances run, as they tell each other by periodic digests."""

import random
import typing
import zlib

PERIOD_S = 0.5
"""Period of digests in seconds."""

TARGETS = 2
"""Entry instances of the own zone that get each digest, beside unknown seeds."""

TARGETS_ELSEWHERE = 1
"""Digests that a zone as a whole sends to each other zone in a period."""

NEWS_S = 3.0
"""Time for which what is new of an entry instance is told in full, in seconds."""

SILENT_S = 4.0
"""An entry instance whose counter has not grown for this long is not named."""

FORGET_S = 30.0
"""Time in seconds after which a silent entry instance no longer counts."""

SHARE_S = 12.0
"""A silent entry instance counts for this long in shares of limits and budgets."""


class Member(typing.NamedTuple):
    """What an entry instance says of itself.

    Attributes
    ----------
    name : str
        Name from its settings.
    incarnation : int
        Number of this run of its process; a later run has a greater one.
    beat : int
        Counter that grows with each digest of its own.
    caller_address, gossip_address : str
        Addresses for callers and for digests.
    zone : str
        Its availability zone.
    ready : bool
        Whether callers may be sent to it.
    capacity : float
        Processor cores that it may use.
    load : float
        Processor cores that its requests take, as of its last own digest.
    """

    name: str
    incarnation: int
    beat: int
    caller_address: str
    gossip_address: str
    zone: str
    ready: bool
    capacity: float = 1.0
    load: float = 0.0


class Digest(typing.NamedTuple):
    """What one entry instance tells another.

    Attributes
    ----------
    members : list of Member
        The sender first, then members in full.
    beats : list of (int, int)
        Key and beat of members that the receiver should know already.
    wants_all : bool
        Whether the receiver should answer with all members in full.
    """

    members: list[Member]
    beats: list[tuple[int, int]]
    wants_all: bool


def _make_key(member: Member) -> int:
    """Return a short key for one state of a member, apart from its beat."""
    text = f"{member.name} {member.incarnation} {member.ready}"
    return zlib.crc32(text.encode())


class MemberTable:
    """Entry instances that one of them knows.

    Parameters
    ----------
    own : Member
        This entry instance.
    seeds : tuple of str
        Addresses for digests that are known from the settings.
    seed : int
        Seed of random choices.
    """

    def __init__(self, own: Member, seeds: tuple[str, ...], seed: int):
        self.own = own
        self.set_seeds(seeds)
        self._members: dict[str, Member] = {}
        self._names: dict[int, str] = {}
        self._changed_at: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._random = random.Random(seed)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Change the addresses that are known from the settings."""
        self._seeds = tuple(one for one in seeds if one != self.own.gossip_address)

    def set_ready(self, ready: bool) -> bool:
        """Say whether callers may be sent here; return whether that is a change."""
        changed = self.own.ready != ready
        if changed:
            self.own = self.own._replace(ready=ready, beat=self.own.beat + 1)
        return changed

    def set_load(self, load: float) -> None:
        """Say how many processor cores the requests take."""
        self.own = self.own._replace(load=round(load, 3))

    def make_digest(
        self,
        now: float,
        whole: bool = False,
        wants_all: bool = False,
        near: bool = True,
    ) -> Digest:
        """Return the next digest.

        Parameters
        ----------
        now : float
            Time in seconds.
        whole : bool
            Whether to tell all members in full, for a receiver that knows few.
        wants_all : bool
            Whether to ask for all members.
        near : bool
            Whether it is for the own availability zone. The other zones are only told
            of this zone, since traffic between zones is dear.
        """
        self.own = self.own._replace(beat=self.own.beat + 1)
        full = [self.own]
        beats: list[tuple[int, int]] = []
        for member in self._list_heard(now, SILENT_S):
            if not near and member.zone != self.own.zone:
                continue
            if whole or now - self._changed_at[member.name] < NEWS_S:
                full.append(member)
            else:
                beats.append((_make_key(member), member.beat))
        return Digest(full, beats, wants_all)

    def merge_digest(self, now: float, digest: Digest) -> bool:
        """Take a digest; return whether it names members that are not known."""
        for member in digest.members:
            self._take_member(now, member)
        complete = True
        for key, beat in digest.beats:
            if key == _make_key(self.own):
                continue
            name = self._names.get(key)
            if name is None:
                complete = False
            elif beat > self._members[name].beat:
                self._members[name] = self._members[name]._replace(beat=beat)
                self._heard_at[name] = now
        return not complete

    def _take_member(self, now: float, member: Member) -> None:
        if member.name == self.own.name:
            if member.incarnation > self.own.incarnation:
                # The clock went back between two runs of this process.
                self.own = self.own._replace(incarnation=member.incarnation + 1)
            return
        known = self._members.get(member.name)
        if known is not None:
            if (member.incarnation, member.beat) <= (known.incarnation, known.beat):
                return
            if _make_key(known) != _make_key(member):
                del self._names[_make_key(known)]
                known = None
        if known is None:
            self._changed_at[member.name] = now
            self._names[_make_key(member)] = member.name
        self._members[member.name] = member
        self._heard_at[member.name] = now

    def choose_targets(self, now: float) -> tuple[list[str], list[str]]:
        """Return the addresses in the own zone and elsewhere for the next digest."""
        self._forget(now)
        members = list(self._members.values())
        near = [one.gossip_address for one in members if one.zone == self.own.zone]
        far = [one.gossip_address for one in members if one.zone != self.own.zone]
        targets = self._random.sample(near, min(TARGETS, len(near)))
        # Traffic between zones is dear, so the instances of a zone take turns.
        zones = len({one.zone for one in members} - {self.own.zone})
        share = TARGETS_ELSEWHERE * zones / (1 + len(near))
        count = int(share) + (self._random.random() < share % 1)
        known = {*near, *far}
        targets += [one for one in self._seeds if one not in known]
        return targets, self._random.sample(far, min(count, len(far)))

    def list_all_targets(self) -> list[str]:
        """Return all known addresses, for a change that cannot wait."""
        return [one.gossip_address for one in self._members.values()]

    def list_ready(self, now: float) -> list[Member]:
        """Return the entry instances to which callers may be sent."""
        members = [self.own, *self._list_heard(now, SILENT_S)]
        return [one for one in members if one.ready]

    def count_sharing(self, now: float) -> int:
        """Return how many entry instances share limits and budgets."""
        return 1 + max(len(self._list_heard(now, SHARE_S)), len(self._seeds))

    def _list_heard(self, now: float, within_s: float) -> list[Member]:
        return [
            member
            for name, member in self._members.items()
            if now - self._heard_at[name] < within_s
        ]

    def _forget(self, now: float) -> None:
        for name in [
            name for name, at in self._heard_at.items() if now - at >= FORGET_S
        ]:
            del self._names[_make_key(self._members[name])]
            del self._members[name]
            del self._heard_at[name]
            del self._changed_at[name]
