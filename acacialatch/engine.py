"""Core of an entry instance: turns timed events into actions, without I/O."""

import random
import typing

import result

from acacialatch import (
    activequery,
    bodies,
    control,
    dispatch,
    errors,
    events,
    instances,
    keys,
    membership,
    model,
    ownership,
    probes,
    queries,
    requestrunner,
    requests,
    revisions,
    routing,
    servers,
)

GAUGE_PERIOD_S = 1.0
"""Time between two reports of the gauges, in seconds."""

SERVICE_AGE_REPORTED_MAX_S = 1e9
"""Age reported while no read of the configuration service is known, in seconds.

JSON cannot represent infinity.
"""

ENTRIES_MAX = 4
"""Entry instance addresses returned to one caller."""


class Identity(typing.NamedTuple):
    """Identity of an entry instance; the daemon creates it at process start.

    Attributes
    ----------
    name, zone : str
        Name and availability zone from the settings.
    caller_address, peer_address : str
        IP address and port for callers and for peers, from the settings.
    incarnation : bytes
        16 random bytes that identify this run of the process.
    secret : bytes
        32 random bytes that sign idempotency keys.
    static_peers : tuple of str
        Addresses of peers from the settings.
    """

    name: str
    zone: str
    caller_address: str
    peer_address: str
    incarnation: bytes
    secret: bytes
    static_peers: tuple[str, ...] = ()


class Engine:
    """Decides everything that one entry instance does.

    The engine has no sockets, files or clock. Each call passes the current time, and
    the same sequence of calls with the same seed returns the same actions.

    Parameters
    ----------
    now : float
        Start of the process on the runtime clock, in seconds.
    identity : Identity
        Identity of this entry instance.
    seed : int
        Seed of all pseudo-random choices.
    policy : routing.ReplicaPolicy, optional
        Policy that chooses replicas; `routing.LeastLoaded` by default.
    """

    def __init__(
        self,
        now: float,
        identity: Identity,
        seed: int,
        policy: routing.ReplicaPolicy | None = None,
    ):
        seeds = random.Random(seed)
        incarnation = identity.incarnation.hex()
        self.identity = dispatch.Identity(
            identity.name,
            incarnation,
            identity.zone,
            identity.caller_address,
            identity.peer_address,
        )
        self._store = revisions.RevisionStore()
        self._servers = servers.ServerTable(incarnation, seeds.getrandbits(32))
        self._ownership = ownership.Ownership(now, incarnation, seeds.getrandbits(32))
        self._members = membership.Membership(
            _make_announcement(self.identity), identity.static_peers
        )
        self._dispatcher = dispatch.Dispatcher(
            self.identity, self._store, self._servers, self._ownership.shares
        )
        self._query_runner = queries.QueryRunner(
            self._dispatcher,
            lambda: self._members.list_names(),
            policy or routing.LeastLoaded(),
            seeds.getrandbits(32),
        )
        # A key carries its issuer's address, so that peers can forward a request to
        # the issuer even if no instance list contains it.
        ledger = requests.RequestLedger(
            identity.peer_address, identity.incarnation, identity.secret
        )
        self._request_runner = requestrunner.RequestRunner(
            self._dispatcher,
            ledger,
            lambda now: {peer.address for peer in self._members.list_peers(now)},
        )
        self._prober = probes.Prober(self._dispatcher)
        self._control = control.Controller(
            self._dispatcher,
            self._members,
            self._ownership,
            self._prober,
            now,
            seeds.getrandbits(32),
        )
        self._next_tick = now
        self._next_gauges = now
        self._is_leaving = False
        self._refuses_new_work = False

    @property
    def configuration(self) -> model.Configuration | None:
        """Configuration in force, or None before the first one."""
        return self._store.configuration

    @property
    def version(self) -> revisions.ConfigurationVersion | None:
        """Revision and hash of the configuration in force, or None before the first."""
        return self._store.version

    @property
    def text(self) -> bytes | None:
        """TOML text of the configuration in force, which peers may fetch."""
        return self._store.text

    def connection_share(self, address: str) -> int:
        """Return how many connections this entry instance may open to a server."""
        return self._dispatcher.connection_share(address)

    def entry_lifetime_s(self) -> float:
        """Return how long callers may use entry addresses, in seconds.

        The lifetime is 0 while no configuration is in force.
        """
        configuration = self._store.configuration
        return configuration.policy.entry_lifetime_s if configuration else 0.0

    def count_in_progress(self) -> int:
        """Return the number of queries and requests in progress, forwarded included."""
        return self._query_runner.count() + self._request_runner.count()

    def max_deadline_s(self) -> float:
        """Return the longest deadline that a caller may set, in seconds."""
        configuration = self._store.configuration
        kinds = configuration.kinds.values() if configuration else ()
        longest_s = max((kind.deadline_max_s for kind in kinds), default=0.0)
        return max(longest_s, bodies.REQUEST_DEADLINE_MAX_S)

    def next_timer(self) -> float:
        """Return the time in seconds at which a `LoopTicked` event is due."""
        return min(
            self._next_tick,
            self._query_runner.next_timer(),
            self._request_runner.next_timer(),
        )

    def handle(self, now: float, event: events.Event) -> list[events.Action]:
        """Handle an event and return the actions to carry out, in order.

        Periodic work that is due runs first. After the event, waiting work is retried
        if permits arrived, and status probes that the event called for are sent.

        Parameters
        ----------
        now : float
            Current time in seconds; never less than in an earlier call.
        event : events.Event
            Event to handle.

        Raises
        ------
        TypeError
            The event is of an unknown type.
        """
        actions = self._run_periodic_work(now) if now >= self._next_tick else []
        actions += self._handle_event(now, event)
        if self._ownership.pop_permits_arrived():
            actions += self._retry_waiting(now)
        if self._dispatcher.wanted_probes:
            actions += self._prober.send_wanted(now)
        return actions

    def _retry_waiting(self, now: float) -> list[events.Action]:
        """Retry queries and requests that wait for a usable replica."""
        return self._query_runner.retry_waiting(
            now
        ) + self._request_runner.retry_waiting(now)

    def _handle_event(self, now: float, event: events.Event) -> list[events.Action]:
        match event:
            case events.LoopTicked():
                return self._query_runner.handle_timers(
                    now
                ) + self._request_runner.handle_timers(now)
            case events.QueryArrived():
                return self._handle_query(now, event)
            case events.QueryAbandoned():
                return self._query_runner.handle_caller_gone(now, event.answer_id)
            case events.ServerReplied():
                return self._handle_reply(now, event)
            case events.SendFailed():
                return self._handle_send_failure(now, event)
            case events.PoolChanged():
                self._dispatcher.record_idle_connections(event.address, event.idle)
                return []
            case events.RequestArrived():
                return self._request_runner.handle_request(now, event)
            case events.RequestAbandoned():
                return self._request_runner.handle_caller_gone(now, event.call_id)
            case events.ForwardAnswered():
                return self._request_runner.handle_forward_answer(now, event)
            case events.ForwardFailed():
                return self._request_runner.handle_forward_failure(now, event)
            case events.StopRequested():
                return self._handle_stop(now)
        return self._handle_control_event(now, event)

    def _handle_control_event(
        self, now: float, event: events.Event
    ) -> list[events.Action]:
        match event:
            case events.ConfigurationRead():
                return self._handle_configuration(now, event)
            case events.ServiceUnchanged():
                return self._control.handle_service_unchanged(now, event)
            case events.ServiceFailed():
                return self._control.handle_service_failure(now, event)
            case events.InstancesListed():
                return self._control.handle_instance_list(now, event)
            case events.ListFailed():
                return self._control.handle_list_failure(now)
            case events.DigestRequested():
                return self._control.handle_digest_request(now, event)
            case events.DigestAnswered():
                return self._control.handle_digest_answer(now, event)
            case events.PeerFailed():
                return self._control.handle_peer_failure(now, event)
        raise TypeError(f"unknown event {type(event).__name__}")

    def _run_periodic_work(self, now: float) -> list[events.Action]:
        """Run the periodic control work and, when it is due, report the gauges."""
        self._next_tick = now + control.TICK_S
        actions = self._control.tick(now)
        if now >= self._next_gauges:
            self._next_gauges = now + GAUGE_PERIOD_S
            actions += self._list_gauges(now)
        return actions

    def _list_gauges(self, now: float) -> list[events.Action]:
        granted, self._ownership.granted = self._ownership.granted, 0
        service_age_s = min(self._store.service_age(now), SERVICE_AGE_REPORTED_MAX_S)
        return [
            events.CountMetric("permits", granted),
            events.SetMetric("revision", max(0, self._store.revision)),
            events.SetMetric("service_age", service_age_s),
            events.SetMetric("peers", len(self._members.list_incarnations(now)) - 1),
            *self._query_runner.list_gauges(),
        ]

    # Queries and sends.

    def _handle_query(
        self, now: float, event: events.QueryArrived
    ) -> list[events.Action]:
        if self._refuses_new_work:
            failure = errors.Failure(errors.ErrorKind.SHUTTING_DOWN)
            return [
                activequery.make_failure_answer(
                    event.query, self._store.revision, failure
                )
            ]
        return self._query_runner.handle_query(now, event.query)

    def _handle_reply(
        self, now: float, event: events.ServerReplied
    ) -> list[events.Action]:
        actions = self._dispatcher.handle_reply(now, event)
        if self._query_runner.owns_send(event.send_id):
            actions += self._query_runner.handle_reply(now, event)
        elif self._request_runner.owns_send(event.send_id):
            actions += self._request_runner.handle_reply(now, event)
        elif self._prober.owns_send(event.send_id):
            self._prober.end(event.send_id)
            actions += self._retry_waiting(now)
        return actions + self._retry_after_changes(now, actions)

    def _handle_send_failure(
        self, now: float, event: events.SendFailed
    ) -> list[events.Action]:
        actions = self._dispatcher.handle_failure(now, event)
        if self._query_runner.owns_send(event.send_id):
            actions += self._query_runner.handle_failure(now, event)
        elif self._request_runner.owns_send(event.send_id):
            actions += self._request_runner.handle_failure(now, event)
        elif self._prober.owns_send(event.send_id):
            self._prober.end(event.send_id)
            actions += self._retry_waiting(now)
        return actions + self._retry_after_changes(now, actions)

    def _retry_after_changes(
        self, now: float, actions: typing.Sequence[events.Action]
    ) -> list[events.Action]:
        """Retry waiting work if the actions report a state change of a server."""
        if any(isinstance(action, events.WriteAudit) for action in actions):
            return self._retry_waiting(now)
        return []

    def allow_first_byte(
        self, now: float, send_id: int, last_active_at: float
    ) -> tuple[bool, list[events.Action]]:
        """Decide whether the first byte of a non-idempotent request may be written.

        Parameters
        ----------
        now : float
            Time in seconds, read directly before the write.
        send_id : int
            Identifier of the send.
        last_active_at : float
            Time in seconds of the last exchange on the connection or of its set-up.

        Returns
        -------
        tuple
            Whether the byte may be written, and actions to carry out in either case.
        """
        # If the process was suspended after it decided to send, the periodic work
        # detects the pause here, before the first byte is written.
        actions = self._run_periodic_work(now) if now >= self._next_tick else []
        allowed, more = self._request_runner.allow_first_byte(
            now, send_id, last_active_at
        )
        return allowed, actions + more

    # Configuration and shutdown.

    def _handle_configuration(
        self, now: float, event: events.ConfigurationRead
    ) -> list[events.Action]:
        """Handle a configuration text; queries adopt it if it comes into force."""
        before = self._store.version
        actions = self._control.handle_configuration_text(now, event)
        configuration = self._store.configuration
        if configuration is not None and self._store.version != before:
            self._query_runner.apply_configuration(configuration)
            actions += self._retry_waiting(now)
        return actions

    def _handle_stop(self, now: float) -> list[events.Action]:
        """Announce that this entry instance is leaving; a second call does nothing."""
        if self._is_leaving:
            return []
        self._is_leaving = True
        self._control.set_leaving(now)
        return [
            events.WriteAudit(
                f"entry {self.identity.name}", "serving", "leaving", "operator"
            ),
            events.WriteLog("process:", "leaving"),
            *self._control.tick(now),
        ]

    def refuse_new_work(self) -> None:
        """Refuse queries from now on.

        Called once the address lifetime has passed since a stop was requested.
        """
        self._refuses_new_work = True

    def stop(self, now: float) -> list[events.Action]:
        """Answer every pending caller immediately, before the process ends.

        Queries fail with `shutting_down`; requests get what is known of their outcome.
        """
        return self._query_runner.shut_down(now) + self._request_runner.shut_down(now)

    # Calls that are answered without an event.

    def issue_key(self, now: float) -> result.Result[str, errors.Failure]:
        """Issue an idempotency key.

        A process that is shutting down refuses with `SHUTTING_DOWN`: only the issuer
        knows the outcome of a key, so the outcome would be lost when it exits.
        """
        if self._is_leaving:
            return result.Err(errors.Failure(errors.ErrorKind.SHUTTING_DOWN))
        return self._request_runner.issue_key(now)

    def key_lifetime_s(self) -> float:
        """Return the lifetime of an idempotency key, in seconds."""
        return keys.KEY_LIFETIME_S

    def choose_entries(
        self, now: float, caller_zone: str, caller: str
    ) -> dict[str, typing.Any]:
        """Return the addresses that a caller should use, and their lifetime.

        Parameters
        ----------
        now : float
            Time in seconds.
        caller_zone : str
            Availability zone of the caller; empty if unknown.
        caller : str
            Value that distinguishes callers, such as their IP address.
        """
        configuration = self._store.configuration
        zones_out = configuration.zones_out if configuration else frozenset()
        lifetime_s = configuration.policy.entry_lifetime_s if configuration else 1
        addresses = self._members.choose_entries(
            now, zones_out, caller_zone, ENTRIES_MAX, caller
        )
        return {"entries": addresses, "lifetime_s": lifetime_s}

    def describe(self, now: float) -> dict[str, typing.Any]:
        """Return the status of this entry instance for operators."""
        counts: dict[str, int] = {}
        configuration = self._store.configuration
        services = configuration.services.values() if configuration else ()
        for service in services:
            for replica in service.replicas:
                state = self._servers.state(now, replica.address).value
                counts[state] = counts.get(state, 0) + 1
        return {
            "name": self.identity.name,
            "incarnation": self.identity.incarnation,
            "zone": self.identity.zone,
            "leaving": self._is_leaving,
            "revision": self._store.revision,
            "sha256": self._store.digest,
            "zones_out": sorted(configuration.zones_out) if configuration else [],
            "current": self._dispatcher.is_current(now),
            "service_age_s": min(
                self._store.service_age(now), SERVICE_AGE_REPORTED_MAX_S
            ),
            "entries": self._members.list_names(),
            "servers": counts,
            "lease_groups": self._ownership.list_owned(now),
            "queries": self._query_runner.count(),
        }


def _make_announcement(identity: dispatch.Identity) -> instances.Announcement:
    return instances.Announcement(
        identity.name,
        identity.incarnation,
        identity.zone,
        identity.caller_address,
        identity.peer_address,
        False,
        0.0,
    )
