"""Shares of connections and slots, and permits for cold servers."""

import typing

from acacialatch import leases, model, permits

# Factor by which the slots of a server are overcommitted over all entry instances.
# The server's own queue and load shedding absorb the excess.
SLOT_FACTOR = 2


class Allotments:
    """Share of each backend server that this entry instance may use.

    Parameters
    ----------
    instance : str
        Incarnation of this entry instance.
    candidate : leases.Candidate
        Tells which lease groups this entry instance owns.
    """

    def __init__(self, instance: str, candidate: leases.Candidate) -> None:
        self._candidate = candidate
        self._issuer = permits.PermitIssuer(instance)
        self._pool = permits.PermitPool()
        self._limit = 1
        self._services: dict[str, model.Service] = {}
        self._shapes: dict[str, model.Shape] = {}

    def apply_configuration(self, configuration: model.Configuration) -> None:
        """Adopt the servers and the limit of entry instances of a new configuration."""
        self._limit = configuration.entry_instances_max
        self._services = configuration.services
        self._shapes = {
            replica.address: service.shape
            for service in configuration.services.values()
            for replica in service.replicas
        }

    def connection_share(self, service: str) -> int:
        """Return the most connections to each server of a leaf service."""
        return self._services[service].shape.connections // self._limit

    def slot_limit(self, service: str) -> int:
        """Return the most requests in flight to each server of a leaf service."""
        slots = self._services[service].shape.slots
        return max(1, slots * SLOT_FACTOR // self._limit)

    def request_permits(
        self, now: float, demand: typing.Iterable[permits.Demand]
    ) -> permits.PermitRequest:
        """Return the request for permits to all owners, this instance included.

        Parameters
        ----------
        now : float
            Time, in seconds. The lifetime of the permits counts from it.
        demand : iterable of permits.Demand
            Permits that waiting sends need. Permits already held are deducted.
        """
        return self._pool.request(now, demand)

    def grant(
        self, now: float, requester: str, request: permits.PermitRequest
    ) -> permits.PermitReply:
        """Answer a request with permits for servers of the owned lease groups.

        Parameters
        ----------
        now : float
            Time, in seconds.
        requester : str
            Incarnation of the entry instance that asks; may be this one.
        request : permits.PermitRequest
            Its request.
        """
        self._issuer.record_settled(now, requester, request.spent, request.returned)
        granted: list[permits.Permit] = []
        for demand in request.demands[: permits.DEMANDS_MAX]:
            shape = self._shapes.get(demand.address)
            if shape is None or not self._may_grant(now, demand.address, shape):
                continue
            self._issuer.record_demand(now, requester, demand)
            granted += self._issuer.grant(
                now, requester, demand, shape.cold_requests, shape.cold_window_s
            )
        return permits.PermitReply(request.serial, tuple(granted))

    def add_permits(self, now: float, grants: permits.PermitReply) -> int:
        """Store the permits of an owner's answer; return how many are valid."""
        return self._pool.add_permits(now, grants)

    def try_spend(self, now: float, address: str, incarnation: str) -> bool:
        """Spend a permit for a send that starts now; return whether there was one.

        Parameters
        ----------
        now : float
            Time of the send, in seconds.
        address : str
            Address of the backend server.
        incarnation : str
            Its incarnation as known now, or `""` if unknown.
        """
        return self._pool.try_spend(now, address, incarnation)

    def count_permits(self, now: float, address: str, incarnation: str) -> int:
        """Return the number of valid permits held for an incarnation of a server."""
        return self._pool.count(now, address, incarnation)

    def record_pause(self, now: float) -> None:
        """Discard all held permits, since they may have expired during a pause."""
        self._pool.discard_all()

    def _may_grant(self, now: float, address: str, shape: model.Shape) -> bool:
        """Return whether the permits of any former owner no longer count.

        They occupy the budget for at most one lease term and one window.
        """
        group = leases.group_of(address)
        wait_s = (leases.TERM_S + shape.cold_window_s) / (1 - leases.CLOCK_RATE_MARGIN)
        return self._candidate.held_duration(now, group) >= wait_s
