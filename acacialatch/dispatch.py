"""Checks before each send to a backend server, and tracking of sends in progress."""

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

_FAILURE_CAUSES = {
    events.SendCause.CONNECT_REFUSED: servers.Cause.CONNECT_REFUSED,
    events.SendCause.CONNECT_TIMEOUT: servers.Cause.CONNECT_TIMEOUT,
    events.SendCause.NO_REPLY: servers.Cause.NO_REPLY,
    events.SendCause.CONNECTION_LOST: servers.Cause.CONNECTION_LOST,
    events.SendCause.BAD_REPLY: servers.Cause.BAD_REPLY,
}

_STATES_BY_NAME = {
    "cold": model.ServerState.COLD,
    "leaving": model.ServerState.LEAVING,
}

SHED_STATUS = 503

STATUS_MAX_AGE_S = 2.5
"""Largest age of a server's last reply for work to be sent to it, in seconds.

A draining server says so in its replies. Without this bound, the first work after
an idle period could reach a server that has been leaving for longer than 3 s.
"""

SERVICE_IN_USE_S = 10.0
"""Time for which a service counts as in use after a query or request, in seconds."""

IDLE_CONNECTION_TRUST_S = 3.0
"""Time since the last reply for which an idle connection is taken as open, in seconds.

The client closes idle connections after 4 s.
"""

WORK_URGENCY = 0

WARM_UP_CONNECTED_URGENCY = 1
"""Urgency of warm-up over an open connection.

It precedes other warm-up since each send costs only one permit.
"""

WARM_UP_URGENCY = 2
PROBE_URGENCY = 2
WARM_UP_PERMITS = 2
"""Permits requested to warm up a server.

They allow one send on a new connection, or two sends on an open one.
"""


class Identity(typing.NamedTuple):
    """Identity of this entry instance.

    Attributes
    ----------
    name : str
        Node name from the settings.
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


class PermitDemand(typing.NamedTuple):
    """Permits wanted for one server; demands of urgency 0 are served first."""

    count: int
    urgency: int


class StartedSend(typing.NamedTuple):
    """A send that may happen now, and whether it may open a new connection."""

    send_id: int
    may_connect: bool


class SendInProgress(typing.NamedTuple):
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
    """Decides whether a send may happen now, and tracks all sends in progress.

    Every send of this entry instance passes `start_send`, whatever its purpose, so the
    same checks apply to queued work, retries, hedges and probes.

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

    Attributes
    ----------
    peers_known : bool
        Whether other entry instances are known.
    demands : dict of str to PermitDemand
        Permits that sends lacked since the last `pop_demands`, by server address.
    wanted_probes : set of str
        Addresses of servers that need a status probe before they may get work.
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
        self.demands: dict[str, PermitDemand] = {}
        self.wanted_probes: set[str] = set()
        self._used_at: dict[str, float] = {}
        self._services: dict[str, model.Service] = {}
        self._idle_connections: dict[str, int] = {}
        self._sends: dict[int, SendInProgress] = {}
        self._send_ids = itertools.count(1)

    def is_current(self, now: float) -> bool:
        """Return whether the configuration is fresh enough for new work."""
        return self.store.is_current(now, self.peers_known)

    def record_idle_connections(self, address: str, idle: int) -> None:
        """Record the number of idle connections to a server."""
        self._idle_connections[address] = idle

    def make_candidate(self, now: float, replica: model.Replica) -> routing.Candidate:
        """Return the routing candidate of a replica, with the reason if it is excluded.

        If the server needs a status probe first, adds it to `wanted_probes`.
        """
        address = replica.address
        reason = self.find_exclusion_reason(now, address)
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

    def find_exclusion_reason(self, now: float, address: str) -> str:
        """Return why no work may be sent to a server now; `""` if it may.

        If the server needs a status probe first, adds it to `wanted_probes`.
        """
        if not self.is_current(now):
            return "not_current"
        allowed, reason = self.table.may_send(now, address)
        if not allowed and not self._may_serve_as_probe(now, address):
            return reason
        if self.needs_status_probe(now, address):
            self.wanted_probes.add(address)
            return STALE_NEWS
        if self.table.in_flight(address) >= self._in_flight_limit(address):
            return "slots"
        if self.table.needs_permit(now, address) and not self._has_permits(
            now, address
        ):
            return _COLD_BUDGET
        return ""

    def needs_status_probe(self, now: float, address: str) -> bool:
        """Return whether a server needs a status probe before it may get work.

        This holds if it has not replied within `STATUS_MAX_AGE_S`. A cold server
        whose incarnation is known is exempt: a probe would spend the cold budget
        that the work needs.
        """
        last_reply = self.table.last_reply_at(address)
        if last_reply is not None and now - last_reply <= STATUS_MAX_AGE_S:
            return False
        is_cold = self.table.state(now, address) is model.ServerState.COLD
        return not (is_cold and self.table.incarnation(address))

    def record_use(self, now: float, service: str) -> None:
        """Record that a query or request needs a leaf service."""
        self._used_at[service] = now

    def is_in_use(self, now: float, service: str) -> bool:
        """Return whether a service was needed within `SERVICE_IN_USE_S` seconds."""
        return now - self._used_at.get(service, float("-inf")) <= SERVICE_IN_USE_S

    def may_write(self, now: float, address: str) -> bool:
        """Return whether a started send may still write its first byte.

        Its slot and its permits are already taken, so only the configuration and
        the state of the server are checked.
        """
        if not self.is_current(now):
            return False
        allowed, _ = self.table.may_send(now, address)
        return allowed or self._may_serve_as_probe(now, address)

    def start_send(
        self,
        now: float,
        service: model.Service,
        address: str,
        is_request: bool = True,
    ) -> StartedSend | None:
        """Start a send if it may happen now, and count it as in progress.

        Parameters
        ----------
        now : float
            Time in seconds.
        service : model.Service
            Leaf service of the server.
        address : str
            Address of the server.
        is_request : bool
            False for a status probe, which is also allowed to a server whose state
            admits no work.

        Returns
        -------
        StartedSend or None
            The started send; None if it must not happen now.
        """
        if is_request:
            if self.find_exclusion_reason(now, address):
                return None
        elif not self.is_current(now):
            return None
        may_connect = True
        if self.table.needs_permit(now, address):
            # Idle connections expire, so their number may be out of date. A send
            # with the permit for one request must not fall back to a new connection.
            may_connect = self._count_needed_permits(now, address) > 1
            if not self._spend_permits(now, address):
                self._add_demand(now, address, PROBE_URGENCY)
                return None
        self.table.record_send(now, address)
        if self._idle_connections.get(address, 0) > 0:
            self._idle_connections[address] -= 1
        send_id = next(self._send_ids)
        self._sends[send_id] = SendInProgress(address, service, now, is_request)
        return StartedSend(send_id, may_connect)

    def handle_reply(
        self, now: float, event: events.ServerReplied
    ) -> list[events.Action]:
        """End a send with a complete reply; return the changes for the audit trail."""
        sent = self._sends.pop(event.send_id, None)
        if sent is None:
            return []
        transitions = self.table.record_end(now, sent.address)
        if event.report.incarnation:
            transitions = transitions + self.table.record_reply(
                now,
                sent.address,
                event.report.incarnation,
                _STATES_BY_NAME.get(event.report.state, model.ServerState.READY),
                {sent.service.index: event.report.versions},
                now - sent.started,
                sent.is_request and event.status == 200,
            )
        if event.status == SHED_STATUS:
            transitions = transitions + self.table.record_failure(
                now,
                sent.address,
                servers.Cause.SHED,
                event.is_new_connection,
                event.report.retry_after_s,
            )
            if len(transitions) == 2 and transitions[0].before is transitions[1].after:
                # The reply cleared the state that its own refusal set again.
                transitions = []
        return changes.audit_server_changes(transitions)

    def handle_failure(
        self, now: float, event: events.SendFailed
    ) -> list[events.Action]:
        """End a failed send; return the changes for the audit trail."""
        sent = self._sends.pop(event.send_id, None)
        if sent is None:
            return []
        transitions = self.table.record_end(now, sent.address)
        cause = _FAILURE_CAUSES.get(event.cause)
        if cause is not None:
            transitions = transitions + self.table.record_failure(
                now, sent.address, cause, event.is_new_connection
            )
        return changes.audit_server_changes(transitions)

    def handle_cancel(self, now: float, send_id: int) -> list[events.Action]:
        """End a send that this entry instance cancelled; return the changes."""
        sent = self._sends.pop(send_id, None)
        if sent is None:
            return []
        return changes.audit_server_changes(self.table.record_end(now, sent.address))

    def handle_timeout(self, now: float, send_id: int) -> list[events.Action]:
        """End a send that got no reply in time as failed; return the changes."""
        sent = self._sends.get(send_id)
        if sent is None:
            return []
        failure = events.SendFailed(send_id, events.SendCause.NO_REPLY, True, False)
        return self.handle_failure(now, failure)

    def started_at(self, send_id: int) -> float | None:
        """Return the start time of a send in seconds, or None if it has ended."""
        sent = self._sends.get(send_id)
        return None if sent is None else sent.started

    def apply_configuration(self, configuration: model.Configuration) -> None:
        """Adopt the servers of a new configuration."""
        self._services = {
            replica.address: service
            for service in configuration.services.values()
            for replica in service.replicas
        }

    def find_service(self, address: str) -> model.Service | None:
        """Return the leaf service of a server, or None if it is not listed."""
        return self._services.get(address)

    def connection_share(self, address: str) -> int:
        """Return the most connections to a server; 0 if it is not listed."""
        service = self._services.get(address)
        return 0 if service is None else self.shares.connection_share(service.name)

    def add_permit_demand(
        self, now: float, candidates: typing.Sequence[routing.Candidate]
    ) -> None:
        """Add a demand for permits that would make a cold candidate usable.

        While no candidate is usable, work waits, and permits are requested for one
        cold candidate, which differs between entry instances. Permits for all of
        them would mostly expire unused, and an unused permit blocks the budget for
        its whole lifetime. While another candidate is usable, permits are requested
        only to warm up the cold ones.
        """
        cold = [
            candidate.address
            for candidate in candidates
            if candidate.reason == _COLD_BUDGET
        ]
        if any(candidate.usable for candidate in candidates):
            for address in cold:
                is_connected = self._is_connected(now, address)
                urgency = WARM_UP_CONNECTED_URGENCY if is_connected else WARM_UP_URGENCY
                self._add_demand(now, address, urgency)
        elif cold:
            self._add_demand(now, min(cold, key=self._hash_address), WORK_URGENCY)

    def pop_demands(self) -> dict[str, PermitDemand]:
        """Return and clear the pending demands for permits, by server address."""
        demands, self.demands = self.demands, {}
        return demands

    def _add_demand(self, now: float, address: str, urgency: int) -> None:
        """Set the demand for a server, with the greatest urgency asked so far."""
        pending = self.demands.get(address, PermitDemand(0, urgency))
        needed = WARM_UP_PERMITS
        if urgency == WORK_URGENCY:
            # Waiting work requests one send at a time, so that entry instances
            # take turns.
            needed = self._count_needed_permits(now, address)
        self.demands[address] = PermitDemand(needed, min(urgency, pending.urgency))

    def _hash_address(self, address: str) -> bytes:
        """Return a hash that orders servers differently at each entry instance."""
        text = f"{self.identity.incarnation} {address}"
        return hashlib.blake2b(text.encode(), digest_size=8).digest()

    def _in_flight_limit(self, address: str) -> int:
        """Return the most sends in flight to a server.

        It is 0 for a server that is no longer listed: a query in progress may
        still refer to a server of an earlier configuration.
        """
        service = self._services.get(address)
        if service is None:
            return 0
        return min(
            self.shares.slot_limit(service.name),
            self.shares.connection_share(service.name),
        )

    def _may_serve_as_probe(self, now: float, address: str) -> bool:
        """Return whether a sub-request may be sent as the probe that is due."""
        state = self.table.state(now, address)
        if state in (model.ServerState.LEAVING, model.ServerState.UNLISTED):
            return False
        return self.table.is_probe_due(now, address)

    def _is_connected(self, now: float, address: str) -> bool:
        """Return whether an idle connection is open and will not expire soon."""
        last_reply = self.table.last_reply_at(address)
        is_fresh = last_reply is not None and now - last_reply < IDLE_CONNECTION_TRUST_S
        return is_fresh and self._idle_connections.get(address, 0) > 0

    def _count_needed_permits(self, now: float, address: str) -> int:
        """Return the permits for one send: two if it opens a connection.

        Opening a connection is load on a cold server, too.
        """
        return 1 if self._is_connected(now, address) else 2

    def _has_permits(self, now: float, address: str) -> bool:
        incarnation = self.table.incarnation(address)
        held = self.shares.count_permits(now, address, incarnation)
        return held >= self._count_needed_permits(now, address)

    def _spend_permits(self, now: float, address: str) -> bool:
        """Spend the permits of one send; return False if too few are held."""
        if not self._has_permits(now, address):
            return False
        incarnation = self.table.incarnation(address)
        return all(
            self.shares.try_spend(now, address, incarnation)
            for _ in range(self._count_needed_permits(now, address))
        )


_COLD_BUDGET = "cold_budget"

STALE_NEWS = "stale_news"
"""Reason of a candidate that needs a status probe before it may get work."""
