"""Permits to send to cold servers: granted by owners, held by requesters.

A permit granted at t can be used until t + lifetime, or until the owner learns that
it was spent. A use at u counts in every window that contains u. So a permit occupies
the budget of its server until its latest possible use plus one window, and no window
contains more uses than the budget allows.
"""

import dataclasses
import hashlib
import typing

from acacialatch import leases

# Time from a request to the expiry of the permits that answer it, in seconds. It
# covers two digest periods. An owner's permits expire long before the first one of
# its successor, which is granted one term after the change of owner.
PERMIT_LIFETIME_S = 1.0
# Time for which a demand stays pending after the last request of its requester, in
# seconds: two digest periods and the delay of a message.
DEMAND_LIFETIME_S = 1.2
# Wait after which a demand counts as most urgent, in seconds.
DEMAND_AGING_S = 5.0
# Time in which digests inform all entry instances of a silent restart, in seconds.
# Until then they may send to the server without permits, as to a warm one.
RESTART_DETECTION_S = 1.0
# Incarnations kept for one server.
INCARNATIONS_MAX = 16
# Demands in one request.
DEMANDS_MAX = 64
# Requesters kept for one server.
REQUESTERS_MAX = 1024


class Demand(typing.NamedTuple):
    """Demand of an entry instance for permits for one server.

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
        Permits that are wanted.
    spent : tuple of int
        Serials of permits used since the last request.
    returned : tuple of int
        Serials of permits that were not and will not be used.
    """

    serial: int
    demands: tuple[Demand, ...]
    spent: tuple[int, ...]
    returned: tuple[int, ...]


class Permit(typing.NamedTuple):
    """Permission for one send to a cold server.

    Attributes
    ----------
    address : str
        Address of the backend server.
    incarnation : str
        Incarnation for which it is valid, or `""` for a server whose incarnation is
        unknown.
    lifetime_s : float
        Time from the request to the expiry, in seconds.
    serial : int
        Number of the permit, unique over all owners.
    """

    address: str
    incarnation: str
    lifetime_s: float
    serial: int


class PermitReply(typing.NamedTuple):
    """Answer of an owner to the request with the given serial."""

    serial: int
    permits: tuple[Permit, ...]


class _GrantedPermit(typing.NamedTuple):
    """Permit that occupies the budget of a server until one window after its use.

    `latest_use` is the latest time at which it may have been or may be used.
    """

    requester: str
    latest_use: float


@dataclasses.dataclass(slots=True)
class _PendingDemand:
    """Demand of one requester that was not granted yet; times are in seconds."""

    count: int
    urgency: int
    waiting_since: float
    updated_at: float


@dataclasses.dataclass(slots=True)
class _ServerBudget:
    """Granted permits and pending demands of one server.

    Attributes
    ----------
    granted : dict of int to _GrantedPermit
        Permits that occupy the budget, by serial.
    pending : dict of str to _PendingDemand
        Pending demands, by requester.
    last_grants : dict of str to int
        Number of the last grant to each requester; it orders requesters by the time
        of their last grant.
    incarnations : dict of str to None
        Incarnations that requesters have named.
    unpermitted_until : float
        Time until which entry instances may be unaware of the latest restart and send
        without permits, in seconds.
    """

    granted: dict[int, _GrantedPermit] = dataclasses.field(default_factory=dict)
    pending: dict[str, _PendingDemand] = dataclasses.field(default_factory=dict)
    last_grants: dict[str, int] = dataclasses.field(default_factory=dict)
    incarnations: dict[str, None] = dataclasses.field(default_factory=dict)
    unpermitted_until: float = float("-inf")

    def record_incarnation(self, now: float, incarnation: str) -> None:
        """Record an incarnation of the server, if it is known.

        A new incarnation may mean that the server restarted silently.
        """
        if not incarnation or incarnation in self.incarnations:
            return
        self.incarnations[incarnation] = None
        self.unpermitted_until = now + RESTART_DETECTION_S
        while len(self.incarnations) > INCARNATIONS_MAX:
            del self.incarnations[next(iter(self.incarnations))]


class PermitIssuer:
    """Grants permits for the servers of the lease groups that this instance owns.

    Parameters
    ----------
    instance : str
        Incarnation of this entry instance.
    """

    def __init__(self, instance: str) -> None:
        digest = hashlib.blake2b(instance.encode(), digest_size=4).digest()
        self._serial = int.from_bytes(digest) << 28
        self._grant_count = 0
        self._budgets: dict[str, _ServerBudget] = {}
        self._addresses_by_serial: dict[int, str] = {}

    def record_settled(
        self,
        now: float,
        requester: str,
        spent: typing.Iterable[int],
        returned: typing.Iterable[int],
    ) -> None:
        """Record which permits a requester has used and which it will not use.

        A used permit occupies the budget for at most one window from now on; a
        returned one is freed at once.
        """
        for serial in spent:
            server_budget = self._find_budget(requester, serial)
            if server_budget is not None:
                latest_use = min(server_budget.granted[serial].latest_use, now)
                server_budget.granted[serial] = _GrantedPermit(requester, latest_use)
        for serial in returned:
            server_budget = self._find_budget(requester, serial)
            if server_budget is not None:
                self._remove_permit(server_budget, serial)

    def record_demand(self, now: float, requester: str, demand: Demand) -> None:
        """Record a demand in place of the requester's previous one for the server."""
        server_budget = self._budgets.setdefault(demand.address, _ServerBudget())
        server_budget.record_incarnation(now, demand.incarnation)
        former = server_budget.pending.get(requester)
        if former is None and len(server_budget.pending) >= REQUESTERS_MAX:
            return
        waiting_since = now if former is None else former.waiting_since
        server_budget.pending[requester] = _PendingDemand(
            demand.count, demand.urgency, waiting_since, now
        )

    def grant(
        self, now: float, requester: str, demand: Demand, budget: int, window_s: float
    ) -> tuple[Permit, ...]:
        """Grant a requester its share of the free part of the budget.

        Nothing is granted until one window after all entry instances can know of the
        server's latest restart.

        Parameters
        ----------
        now : float
            Time, in seconds.
        requester : str
            Incarnation of the entry instance that asks.
        demand : Demand
            Its demand, recorded before with `record_demand`.
        budget : int
            Most sends to the server in one window.
        window_s : float
            Length of the window, in seconds.
        """
        server_budget = self._budgets[demand.address]
        self._remove_expired(now, server_budget, window_s)
        if now <= server_budget.unpermitted_until + _add_clock_margin(window_s):
            return ()
        free = budget - len(server_budget.granted)
        count = _allocate(now, server_budget, requester, free, budget)
        if count == 0:
            return ()
        lifetime_s = _add_clock_margin(PERMIT_LIFETIME_S)
        permits: list[Permit] = []
        for _ in range(count):
            self._serial += 1
            server_budget.granted[self._serial] = _GrantedPermit(
                requester, now + lifetime_s
            )
            self._addresses_by_serial[self._serial] = demand.address
            permits.append(
                Permit(
                    demand.address, demand.incarnation, PERMIT_LIFETIME_S, self._serial
                )
            )
        self._grant_count += 1
        server_budget.last_grants[requester] = self._grant_count
        pending_demand = server_budget.pending[requester]
        pending_demand.count -= count
        pending_demand.waiting_since = now
        if pending_demand.count <= 0:
            del server_budget.pending[requester]
        return tuple(permits)

    def _find_budget(self, requester: str, serial: int) -> _ServerBudget | None:
        """Return the budget in which the requester was granted a permit, or None."""
        server_budget = self._budgets.get(self._addresses_by_serial.get(serial, ""))
        is_granted = (
            server_budget is not None
            and server_budget.granted[serial].requester == requester
        )
        return server_budget if is_granted else None

    def _remove_permit(self, server_budget: _ServerBudget, serial: int) -> None:
        del server_budget.granted[serial]
        del self._addresses_by_serial[serial]

    def _remove_expired(
        self, now: float, server_budget: _ServerBudget, window_s: float
    ) -> None:
        span_s = _add_clock_margin(window_s)
        for serial, granted in list(server_budget.granted.items()):
            if now > granted.latest_use + span_s:
                self._remove_permit(server_budget, serial)
        for requester, pending_demand in list(server_budget.pending.items()):
            if now > pending_demand.updated_at + DEMAND_LIFETIME_S:
                del server_budget.pending[requester]
        while len(server_budget.last_grants) > REQUESTERS_MAX:
            del server_budget.last_grants[
                min(
                    server_budget.last_grants, key=server_budget.last_grants.__getitem__
                )
            ]


def _add_clock_margin(duration_s: float) -> float:
    """Return the time to wait on the own clock for a duration on any other clock.

    Both are in seconds; the clock rates may differ by `leases.CLOCK_RATE_MARGIN`.
    """
    return duration_s / (1 - leases.CLOCK_RATE_MARGIN)


def _allocate(
    now: float, server_budget: _ServerBudget, requester: str, free: int, budget: int
) -> int:
    """Return how many of the free permits are allocated to the requester.

    A demand is granted whole or not at all: a send on a new connection needs two
    permits at once, and two requesters that hold one each would both wait in vain.
    Demands are granted in order of urgency; among equals, the requester whose last
    grant is the oldest comes first. The first demand that does not fit blocks later
    ones, so that small demands cannot starve it.
    """

    def rank(name: str) -> tuple[int, int, str]:
        pending_demand = server_budget.pending[name]
        is_overdue = now - pending_demand.waiting_since >= DEMAND_AGING_S
        urgency = 0 if is_overdue else pending_demand.urgency
        return urgency, server_budget.last_grants.get(name, 0), name

    for name in sorted(server_budget.pending, key=rank):
        # A demand above the budget could never be granted whole.
        count = min(server_budget.pending[name].count, budget)
        if count > free:
            return 0
        if name == requester:
            return count
        free -= count
    return 0


def _merge_demands(demands: typing.Iterable[Demand]) -> list[Demand]:
    """Return one demand for each incarnation: the sum, with the greatest urgency."""
    sums: dict[tuple[str, str], Demand] = {}
    for demand in demands:
        other = sums.get(demand[:2])
        if other is not None:
            count = demand.count + other.count
            urgency = min(demand.urgency, other.urgency)
            demand = demand._replace(count=count, urgency=urgency)
        sums[demand[:2]] = demand
    return list(sums.values())


class _SentRequest(typing.NamedTuple):
    """Request whose answers may still arrive, and the permits received for it."""

    sent_at: float
    received_serials: set[int]


class _HeldPermit(typing.NamedTuple):
    """Unused permit; the first one to expire sorts first."""

    expiry: float
    serial: int
    incarnation: str


class PermitPool:
    """Pool of the permits that this entry instance holds."""

    def __init__(self) -> None:
        self._serial = 0
        self._sent_requests: dict[int, _SentRequest] = {}
        self._held: dict[str, list[_HeldPermit]] = {}
        self._spent: list[int] = []
        self._returned: list[int] = []

    def count(self, now: float, address: str, incarnation: str) -> int:
        """Return the number of valid permits for an incarnation of a server."""
        return sum(
            held.incarnation == incarnation and now < held.expiry
            for held in self._held.get(address, ())
        )

    def request(self, now: float, demands: typing.Iterable[Demand]) -> PermitRequest:
        """Return a request for the permits that are wanted and not yet held.

        At most `DEMANDS_MAX` demands are sent, the most urgent ones. The request also
        reports the permits that were spent or returned since the last one.
        """
        self._drop_expired(now)
        wanted = [
            demand._replace(count=demand.count - held)
            for demand in _merge_demands(demands)
            if demand.count > (held := self.count(now, *demand[:2]))
        ]
        wanted = sorted(wanted, key=lambda demand: demand.urgency)[:DEMANDS_MAX]
        self._serial += 1
        self._sent_requests[self._serial] = _SentRequest(now, set())
        request = PermitRequest(
            self._serial, tuple(wanted), tuple(self._spent), tuple(self._returned)
        )
        self._spent.clear()
        self._returned.clear()
        return request

    def add_permits(self, now: float, grants: PermitReply) -> int:
        """Store the permits of an answer; return how many are valid.

        The lifetime counts from the request. For an answer to an unknown or old
        request this time is not known, so its permits are dropped.
        """
        request_sent = self._sent_requests.get(grants.serial)
        if request_sent is None:
            return 0
        kept = 0
        for permit in grants.permits:
            expiry = request_sent.sent_at + min(permit.lifetime_s, PERMIT_LIFETIME_S)
            if permit.serial not in request_sent.received_serials and now < expiry:
                held = _HeldPermit(expiry, permit.serial, permit.incarnation)
                self._held.setdefault(permit.address, []).append(held)
                kept += 1
            request_sent.received_serials.add(permit.serial)
        return kept

    def try_spend(self, now: float, address: str, incarnation: str) -> bool:
        """Spend the valid permit that expires first; return whether there was one."""
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

    def discard_all(self) -> None:
        """Give up all permits after a pause, in which they may have expired.

        The next request reports them to their owners as returned.
        """
        for held in self._held.values():
            self._returned += [permit.serial for permit in held]
        self._held.clear()
        self._sent_requests.clear()

    def _drop_expired(self, now: float) -> None:
        for serial, request_sent in list(self._sent_requests.items()):
            if now - request_sent.sent_at > PERMIT_LIFETIME_S:
                del self._sent_requests[serial]
        for address, held in list(self._held.items()):
            kept = [permit for permit in held if now < permit.expiry]
            self._returned += [permit.serial for permit in held if permit not in kept]
            if kept:
                self._held[address] = kept
            else:
                del self._held[address]
