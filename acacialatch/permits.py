"""Permits to send to cold servers: the owner's ledger and the holder's stock.

A permit that is granted at t can be used until t + life, or until the owner hears
that it was spent. A use at u counts in every window that contains u. So a permit
occupies the budget of its server until its latest possible use plus one window.
Any window then sees at most as many uses as the budget has places.
"""

import dataclasses
import hashlib
import typing

from acacialatch import leases

# Time from a request to the expiry of the permits that answer it, in seconds. It
# covers two digest periods. An owner's permits end long before its successor's
# first one, which comes one term after the change of owner.
PERMIT_LIFE_S = 1.0
# Time for which a place is kept for a requester that asked, in seconds: two digest
# periods and the delay of a message.
DEMAND_LIFE_S = 1.2
# A demand that waited for so long precedes more urgent ones, in seconds.
PATIENCE_S = 5.0
# Time in which entry instances learn of a silent restart by digests, in seconds.
# Until then they may send to the server without permits, as to a warm one.
RESTART_SPREAD_S = 1.0
# Incarnations remembered for one server.
INCARNATIONS_MAX = 16
# Demands in one request.
DEMANDS_MAX = 64
# Requesters remembered for one server.
REQUESTERS_MAX = 1024


class Demand(typing.NamedTuple):
    """A wish for permits for one server.

    Attributes
    ----------
    address : str
        Address of the backend server.
    incarnation : str
        Its incarnation, or `""` if unknown.
    count : int
        Number of sends.
    urgency : int
        0 is the most urgent.
    """

    address: str
    incarnation: str
    count: int
    urgency: int


class PermitRequest(typing.NamedTuple):
    """A request for permits, sent to owners.

    Attributes
    ----------
    serial : int
        Number of the request.
    demands : tuple of Demand
        What is wanted.
    spent : tuple of int
        Serials of permits that were used since the last request.
    returned : tuple of int
        Serials of permits that were not and will not be used.
    """

    serial: int
    demands: tuple[Demand, ...]
    spent: tuple[int, ...]
    returned: tuple[int, ...]


class Permit(typing.NamedTuple):
    """Leave for one send.

    Attributes
    ----------
    address : str
        Address of the backend server.
    incarnation : str
        Incarnation for which it is valid, or `""` for a first probe.
    life_s : float
        Time from the request to the expiry, in seconds.
    serial : int
        Number of the permit, unique over all owners.
    """

    address: str
    incarnation: str
    life_s: float
    serial: int


class PermitReply(typing.NamedTuple):
    """Answer of an owner to the request with this serial."""

    serial: int
    permits: tuple[Permit, ...]


class _Granted(typing.NamedTuple):
    requester: str
    used_by: float


@dataclasses.dataclass(slots=True)
class _Want:
    count: int
    urgency: int
    first: float
    at: float


@dataclasses.dataclass(slots=True)
class _Account:
    """Budget of one server."""

    granted: dict[int, _Granted] = dataclasses.field(default_factory=dict)
    wants: dict[str, _Want] = dataclasses.field(default_factory=dict)
    turns: dict[str, int] = dataclasses.field(default_factory=dict)
    incarnations: dict[str, None] = dataclasses.field(default_factory=dict)
    unbounded_until: float = float("-inf")

    def note_incarnation(self, now: float, incarnation: str) -> None:
        """Note that a server runs in this incarnation, if known."""
        if not incarnation or incarnation in self.incarnations:
            return
        self.incarnations[incarnation] = None
        self.unbounded_until = now + RESTART_SPREAD_S
        while len(self.incarnations) > INCARNATIONS_MAX:
            del self.incarnations[next(iter(self.incarnations))]


class PermitLedger:
    """Permits that this entry instance granted as an owner.

    Parameters
    ----------
    instance : str
        Incarnation of this entry instance.
    """

    def __init__(self, instance: str) -> None:
        digest = hashlib.blake2b(instance.encode(), digest_size=4).digest()
        self._serial = int.from_bytes(digest) << 28
        self._turn = 0
        self._accounts: dict[str, _Account] = {}
        self._addresses: dict[int, str] = {}

    def close(
        self,
        now: float,
        requester: str,
        spent: typing.Iterable[int],
        returned: typing.Iterable[int],
    ) -> None:
        """Note which permits a requester has used or will not use."""
        for serial in spent:
            account = self._find(requester, serial)
            if account is not None:
                used_by = min(account.granted[serial].used_by, now)
                account.granted[serial] = _Granted(requester, used_by)
        for serial in returned:
            account = self._find(requester, serial)
            if account is not None:
                self._drop(account, serial)

    def want(self, now: float, requester: str, demand: Demand) -> None:
        """Note a demand, in place of the requester's former one."""
        account = self._accounts.setdefault(demand.address, _Account())
        account.note_incarnation(now, demand.incarnation)
        former = account.wants.get(requester)
        if former is None and len(account.wants) >= REQUESTERS_MAX:
            return
        first = now if former is None else former.first
        account.wants[requester] = _Want(demand.count, demand.urgency, first, now)

    def grant(
        self, now: float, requester: str, demand: Demand, budget: int, window_s: float
    ) -> tuple[Permit, ...]:
        """Grant a requester its share of the free part of the budget.

        Parameters
        ----------
        now : float
            Time, in seconds.
        requester : str
            Incarnation of the entry instance that asks.
        demand : Demand
            What it wants, noted before with `want`.
        budget : int
            Sends that the server bears in one window.
        window_s : float
            Length of the window, in seconds.
        """
        account = self._accounts[demand.address]
        self._expire(now, account, window_s)
        if now <= account.unbounded_until + _stretch(window_s):
            return ()
        free = budget - len(account.granted)
        count = _share(now, account, requester, free, budget)
        if count == 0:
            return ()
        life_s = _stretch(PERMIT_LIFE_S)
        permits: list[Permit] = []
        for _ in range(count):
            self._serial += 1
            account.granted[self._serial] = _Granted(requester, now + life_s)
            self._addresses[self._serial] = demand.address
            permits.append(
                Permit(demand.address, demand.incarnation, PERMIT_LIFE_S, self._serial)
            )
        self._turn += 1
        account.turns[requester] = self._turn
        want = account.wants[requester]
        want.count -= count
        want.first = now
        if want.count <= 0:
            del account.wants[requester]
        return tuple(permits)

    def _find(self, requester: str, serial: int) -> _Account | None:
        """Return the account of a permit that the requester was granted."""
        account = self._accounts.get(self._addresses.get(serial, ""))
        is_own = account is not None and account.granted[serial].requester == requester
        return account if is_own else None

    def _drop(self, account: _Account, serial: int) -> None:
        del account.granted[serial]
        del self._addresses[serial]

    def _expire(self, now: float, account: _Account, window_s: float) -> None:
        span_s = _stretch(window_s)
        for serial, granted in list(account.granted.items()):
            if now > granted.used_by + span_s:
                self._drop(account, serial)
        for requester, want in list(account.wants.items()):
            if now > want.at + DEMAND_LIFE_S:
                del account.wants[requester]
        while len(account.turns) > REQUESTERS_MAX:
            del account.turns[min(account.turns, key=account.turns.__getitem__)]


def _stretch(duration_s: float) -> float:
    """Return a duration that is long enough on any two clocks, in seconds."""
    return duration_s / (1 - leases.CLOCK_RATE_MARGIN)


def _share(
    now: float, account: _Account, requester: str, free: int, budget: int
) -> int:
    """Return how many of the free places are the requester's.

    A demand is served whole or not at all: a send on a new connection needs two
    permits at once, and two requesters that hold one each would both wait in vain.
    Demands are served in order of urgency, those of requesters that were served
    longest ago first. The first one that does not fit keeps later ones waiting, so
    that small demands cannot starve it.
    """

    def rank(name: str) -> tuple[int, int, str]:
        want = account.wants[name]
        is_overdue = now - want.first >= PATIENCE_S
        urgency = 0 if is_overdue else want.urgency
        return urgency, account.turns.get(name, 0), name

    for name in sorted(account.wants, key=rank):
        # A demand above the budget could never be served whole.
        count = min(account.wants[name].count, budget)
        if count > free:
            return 0
        if name == requester:
            return count
        free -= count
    return 0


def _sum_demands(demands: typing.Iterable[Demand]) -> list[Demand]:
    """Return one demand for each incarnation, with the greatest urgency."""
    sums: dict[tuple[str, str], Demand] = {}
    for demand in demands:
        other = sums.get(demand[:2])
        if other is not None:
            count = demand.count + other.count
            urgency = min(demand.urgency, other.urgency)
            demand = demand._replace(count=count, urgency=urgency)
        sums[demand[:2]] = demand
    return list(sums.values())


class _Asked(typing.NamedTuple):
    at: float
    seen: set[int]


class _Held(typing.NamedTuple):
    expiry: float
    serial: int
    incarnation: str


class PermitPool:
    """Permits that this entry instance holds."""

    def __init__(self) -> None:
        self._serial = 0
        self._asked: dict[int, _Asked] = {}
        self._held: dict[str, list[_Held]] = {}
        self._spent: list[int] = []
        self._returned: list[int] = []

    def count(self, now: float, address: str, incarnation: str) -> int:
        """Return the number of valid permits."""
        return sum(
            held.incarnation == incarnation and now < held.expiry
            for held in self._held.get(address, ())
        )

    def request(self, now: float, demands: typing.Iterable[Demand]) -> PermitRequest:
        """Return a request for what is wanted and not yet held."""
        self._drop_expired(now)
        wanted = [
            demand._replace(count=demand.count - held)
            for demand in _sum_demands(demands)
            if demand.count > (held := self.count(now, *demand[:2]))
        ]
        wanted = sorted(wanted, key=lambda demand: demand.urgency)[:DEMANDS_MAX]
        self._serial += 1
        self._asked[self._serial] = _Asked(now, set())
        request = PermitRequest(
            self._serial, tuple(wanted), tuple(self._spent), tuple(self._returned)
        )
        self._spent.clear()
        self._returned.clear()
        return request

    def add_permits(self, now: float, grants: PermitReply) -> int:
        """Keep the permits of an answer; return how many are valid.

        The time of an answer to an unknown or old request is not known, so its
        permits are dropped.
        """
        asked = self._asked.get(grants.serial)
        if asked is None:
            return 0
        kept = 0
        for permit in grants.permits:
            expiry = asked.at + min(permit.life_s, PERMIT_LIFE_S)
            if permit.serial not in asked.seen and now < expiry:
                held = _Held(expiry, permit.serial, permit.incarnation)
                self._held.setdefault(permit.address, []).append(held)
                kept += 1
            asked.seen.add(permit.serial)
        return kept

    def try_spend(self, now: float, address: str, incarnation: str) -> bool:
        """Spend a valid permit, the first to expire; return whether there was one."""
        valid = [
            held
            for held in self._held.get(address, ())
            if held.incarnation == incarnation and now < held.expiry
        ]
        if not valid:
            return False
        used = min(valid)
        self._held[address].remove(used)
        self._spent.append(used.serial)
        return True

    def void(self) -> None:
        """Drop everything after a pause, in which permits may have expired."""
        for held in self._held.values():
            self._returned += [permit.serial for permit in held]
        self._held.clear()
        self._asked.clear()

    def _drop_expired(self, now: float) -> None:
        for serial, asked in list(self._asked.items()):
            if now - asked.at > PERMIT_LIFE_S:
                del self._asked[serial]
        for address, held in list(self._held.items()):
            kept = [permit for permit in held if now < permit.expiry]
            self._returned += [permit.serial for permit in held if permit not in kept]
            if kept:
                self._held[address] = kept
            else:
                del self._held[address]
