"""Sends to backend servers: the last check before each send, and its end."""

import hashlib
import itertools
import typing

from acacialatch import (
    allotments,
    changes,
    events,
    model,
    revisions,
    routing,
    servers,
)

_CAUSES = {
    events.SendCause.CONNECT_REFUSED: servers.Cause.CONNECT_REFUSED,
    events.SendCause.CONNECT_TIMEOUT: servers.Cause.CONNECT_TIMEOUT,
    events.SendCause.NO_REPLY: servers.Cause.NO_REPLY,
    events.SendCause.CONNECTION_LOST: servers.Cause.CONNECTION_LOST,
    events.SendCause.BAD_REPLY: servers.Cause.BAD_REPLY,
}

_STATES = {
    "cold": model.ServerState.COLD,
    "leaving": model.ServerState.LEAVING,
}

SHED_STATUS = 503

NEWS_MAX_S = 2.5
"""Work goes only to servers heard from within this time.

A server that drains says so in its replies. Without this bound, the first work after
a quiet time could reach a server that has been leaving for longer than 3 s.
"""

SERVICE_IN_USE_S = 10.0
"""A service counts as in use for this time after a query, in seconds."""

IDLE_TRUST_S = 3.0
"""An idle connection counts for this time; the client closes it after 4 s."""

WORK_URGENCY = 0

CONNECTED_URGENCY = 1
"""Warm-up over an open connection costs one permit a send, so it comes first."""

WARM_UP_URGENCY = 2
PROBE_URGENCY = 2
WARM_UP_PERMITS = 2
"""Permits asked for to warm a server: one send on a new connection, or two sends."""


class Identity(typing.NamedTuple):
    """Who this entry instance is.

    Attributes
    ----------
    name : str
        Name from the settings.
    incarnation : str
        Random identifier of this run of the process, 128 bits in hexadecimal.
    zone : str
        Availability zone from the settings.
    caller_address, peer_address : str
        Addresses from the settings.
    """

    name: str
    incarnation: str
    zone: str
    caller_address: str
    peer_address: str


class Demand(typing.NamedTuple):
    """Permits that are wanted for one server; urgency 0 is served first."""

    count: int
    urgency: int


class StartedSend(typing.NamedTuple):
    """A send that may happen now, and whether it may set up a connection."""

    send_id: int
    may_connect: bool


class Sent(typing.NamedTuple):
    """A send in progress.

    Attributes
    ----------
    address : str
        Address of the backend server.
    service : model.Service
        Leaf service that the server belongs to.
    started : float
        Time of the send, in seconds.
    is_request : bool
        False for a status probe.
    """

    address: str
    service: model.Service
    started: float
    is_request: bool


class Dispatcher:
    """Decides whether a send may happen now, and keeps account of all sends.

    Every send of this entry instance passes `start_send`, whatever its purpose, so the
    checks hold for queued work, retries, hedges and probes alike.

    Parameters
    ----------
    identity : Identity
        This entry instance.
    store : revisions.RevisionStore
        Configuration in force and its freshness.
    table : servers.ServerTable
        States of the backend servers.
    shares : allotments.Allotments
        Shares of connections and permits for cold servers.
    """

    def __init__(
        self,
        identity: Identity,
        store: revisions.RevisionStore,
        table: servers.ServerTable,
        shares: allotments.Allotments,
    ):
        self.identity = identity
        self.store = store
        self.table = table
        self.shares = shares
        self.peers_known = False
        self.demands: dict[str, Demand] = {}
        self.wanted_probes: set[str] = set()
        self._used: dict[str, float] = {}
        self._services: dict[str, model.Service] = {}
        self._idle: dict[str, int] = {}
        self._sent: dict[int, Sent] = {}
        self._numbers = itertools.count(1)

    def is_current(self, now: float) -> bool:
        """Return whether the configuration may be relied on for new work."""
        return self.store.is_current(now, self.peers_known)

    def record_idle_connections(self, address: str, idle: int) -> None:
        """Take the number of idle connections to a server."""
        self._idle[address] = idle

    def make_candidate(self, now: float, replica: model.Replica) -> routing.Candidate:
        """Return how a replica is seen now, with the reason for an exclusion."""
        address = replica.address
        reason = self.find_obstacle(now, address)
        return routing.Candidate(
            address,
            replica.zone,
            self.table.state(now, address),
            self.table.in_flight(address),
            self.table.latency(address),
            not reason,
            reason,
            replica.zone == self.identity.zone,
            self._is_connected(now, address),
        )

    def find_obstacle(self, now: float, address: str) -> str:
        """Return why no work may be sent to a server now; empty if it may."""
        if not self.is_current(now):
            return "not_current"
        allowed, reason = self.table.may_send(now, address)
        if not allowed and not self._may_probe(now, address):
            return reason
        if self.is_stale(now, address):
            self.wanted_probes.add(address)
            return STALE_NEWS
        if self.table.in_flight(address) >= self._limit(address):
            return "slots"
        if self.table.needs_permit(now, address) and not self._has_permits(
            now, address
        ):
            return _COLD_BUDGET
        return ""

    def is_stale(self, now: float, address: str) -> bool:
        """Return whether a server must be probed before it gets work.

        A cold server whose incarnation is known is exempt: a probe would use up the
        budget that the work needs.
        """
        heard = self.table.last_reply_at(address)
        if heard is not None and now - heard <= NEWS_MAX_S:
            return False
        is_cold = self.table.state(now, address) is model.ServerState.COLD
        return not (is_cold and self.table.incarnation(address))

    def record_use(self, now: float, service: str) -> None:
        """Note that a query or request needs a leaf service."""
        self._used[service] = now

    def is_used(self, now: float, service: str) -> bool:
        """Return whether a leaf service was needed lately."""
        return now - self._used.get(service, float("-inf")) <= SERVICE_IN_USE_S

    def may_write(self, now: float, address: str) -> bool:
        """Return whether a send that has begun may still write its first byte.

        Its slot and its permit are taken already.
        """
        if not self.is_current(now):
            return False
        allowed, _ = self.table.may_send(now, address)
        return allowed or self._may_probe(now, address)

    def start_send(
        self,
        now: float,
        service: model.Service,
        address: str,
        is_request: bool = True,
    ) -> StartedSend | None:
        """Account for a send, if it may happen now.

        Parameters
        ----------
        now : float
            Time in seconds.
        service : model.Service
            Leaf service of the server.
        address : str
            Address of the server.
        is_request : bool
            False for a status probe, which states that admit no work allow.

        Returns
        -------
        StartedSend or None
            The send; None if it must not happen.
        """
        if is_request:
            if self.find_obstacle(now, address):
                return None
        elif not self.is_current(now):
            return None
        may_connect = True
        if self.table.needs_permit(now, address):
            # The number of idle connections may be out of date, since they expire.
            may_connect = self._needed_permits(now, address) > 1
            if not self._take_permits(now, address):
                self._add_demand(now, address, PROBE_URGENCY)
                return None
        self.table.observe_send(now, address)
        if self._idle.get(address, 0) > 0:
            self._idle[address] -= 1
        send_id = next(self._numbers)
        self._sent[send_id] = Sent(address, service, now, is_request)
        return StartedSend(send_id, may_connect)

    def handle_reply(
        self, now: float, event: events.ServerReplied
    ) -> list[events.Action]:
        """Account for a whole reply; returns changes for the audit trail."""
        sent = self._sent.pop(event.send_id, None)
        if sent is None:
            return []
        moved = self.table.observe_end(now, sent.address)
        if event.report.incarnation:
            moved = moved + self.table.record_reply(
                now,
                sent.address,
                event.report.incarnation,
                _STATES.get(event.report.state, model.ServerState.READY),
                {sent.service.index: event.report.versions},
                now - sent.started,
                sent.is_request and event.status == 200,
            )
        if event.status == SHED_STATUS:
            moved = moved + self.table.observe_failure(
                now,
                sent.address,
                servers.Cause.SHED,
                event.is_new_connection,
                event.report.retry_after_s,
            )
            if len(moved) == 2 and moved[0].before is moved[1].after:
                # The reply ended the state that the refusal in it begins again.
                moved = []
        return changes.audit_server_changes(moved)

    def handle_failure(
        self, now: float, event: events.SendFailed
    ) -> list[events.Action]:
        """Account for a failed send; returns changes for the audit trail."""
        sent = self._sent.pop(event.send_id, None)
        if sent is None:
            return []
        moved = self.table.observe_end(now, sent.address)
        cause = _CAUSES.get(event.cause)
        if cause is not None:
            moved = moved + self.table.observe_failure(
                now, sent.address, cause, event.is_new_connection
            )
        return changes.audit_server_changes(moved)

    def handle_cancel(self, now: float, send_id: int) -> list[events.Action]:
        """Account for a send that this entry instance cancelled."""
        sent = self._sent.pop(send_id, None)
        if sent is None:
            return []
        return changes.audit_server_changes(self.table.observe_end(now, sent.address))

    def handle_timeout(self, now: float, send_id: int) -> list[events.Action]:
        """Account for a send that was given up because no reply came in time."""
        sent = self._sent.get(send_id)
        if sent is None:
            return []
        lost = events.SendFailed(send_id, events.SendCause.NO_REPLY, True, False)
        return self.handle_failure(now, lost)

    def started_at(self, send_id: int) -> float | None:
        """Return the time at which a send in progress began, in seconds."""
        sent = self._sent.get(send_id)
        return None if sent is None else sent.started

    def apply_configuration(self, configuration: model.Configuration) -> None:
        """Put a configuration in force."""
        self._services = {
            replica.address: service
            for service in configuration.services.values()
            for replica in service.replicas
        }

    def find_service(self, address: str) -> model.Service | None:
        """Return the leaf service of a server, if it is listed."""
        return self._services.get(address)

    def connection_share(self, address: str) -> int:
        """Return the most connections to a server; 0 for one that is not listed."""
        service = self._services.get(address)
        return 0 if service is None else self.shares.connection_share(service.name)

    def add_permit_demand(
        self, now: float, candidates: typing.Sequence[routing.Candidate]
    ) -> None:
        """Ask for permits that would make a candidate usable.

        While no candidate is usable, work waits; permits for one of them, not the
        same at each entry instance, serve it. Permits for all would mostly expire
        unused, and an unused permit blocks the budget for its whole life. While
        another candidate is usable, permits only serve to warm the cold ones.
        """
        cold = [
            candidate.address
            for candidate in candidates
            if candidate.reason == _COLD_BUDGET
        ]
        if any(candidate.usable for candidate in candidates):
            for address in cold:
                is_connected = self._is_connected(now, address)
                urgency = CONNECTED_URGENCY if is_connected else WARM_UP_URGENCY
                self._add_demand(now, address, urgency)
        elif cold:
            self._add_demand(now, min(cold, key=self._rank), WORK_URGENCY)

    def pop_demands(self) -> dict[str, Demand]:
        """Return and reset the permits that sends lacked, by server."""
        demand, self.demands = self.demands, {}
        return demand

    def _add_demand(self, now: float, address: str, urgency: int) -> None:
        former = self.demands.get(address, Demand(0, urgency))
        needed = WARM_UP_PERMITS
        if urgency == WORK_URGENCY:
            # Work that waits asks for one send, so that entry instances take turns.
            needed = self._needed_permits(now, address)
        self.demands[address] = Demand(needed, min(urgency, former.urgency))

    def _rank(self, address: str) -> bytes:
        text = f"{self.identity.incarnation} {address}"
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    def _limit(self, address: str) -> int:
        """Return the most sends in flight to a server.

        A query in progress may know the server under a service of an older text.
        """
        service = self._services.get(address)
        if service is None:
            return 0
        return min(
            self.shares.slot_limit(service.name),
            self.shares.connection_share(service.name),
        )

    def _may_probe(self, now: float, address: str) -> bool:
        """Return whether a sub-request may serve as the one probe that is due."""
        state = self.table.state(now, address)
        if state in (model.ServerState.LEAVING, model.ServerState.UNLISTED):
            return False
        return self.table.is_probe_due(now, address)

    def _is_connected(self, now: float, address: str) -> bool:
        """Return whether an idle connection is open and not about to expire."""
        heard = self.table.last_reply_at(address)
        is_fresh = heard is not None and now - heard < IDLE_TRUST_S
        return is_fresh and self._idle.get(address, 0) > 0

    def _needed_permits(self, now: float, address: str) -> int:
        # Connection set-up is load on a cold server, too.
        return 1 if self._is_connected(now, address) else 2

    def _has_permits(self, now: float, address: str) -> bool:
        incarnation = self.table.incarnation(address)
        held = self.shares.count_held(now, address, incarnation)
        return held >= self._needed_permits(now, address)

    def _take_permits(self, now: float, address: str) -> bool:
        if not self._has_permits(now, address):
            return False
        incarnation = self.table.incarnation(address)
        return all(
            self.shares.try_spend(now, address, incarnation)
            for _ in range(self._needed_permits(now, address))
        )


_COLD_BUDGET = "cold_budget"

STALE_NEWS = "stale_news"
"""Reason of a candidate that gets a status probe before it may be used."""
