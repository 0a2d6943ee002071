"""The core of an entry instance: events with a time in, actions out."""

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
    requests,
    revisions,
    routing,
    servers,
    submissions,
)

GAUGE_PERIOD_S = 1.0

SERVICE_AGE_SHOWN_MAX_S = 1e9
"""Shown while no read of the service is known, since JSON has no infinity."""

ENTRIES_MAX = 4
"""Addresses named to one caller."""


class Identity(typing.NamedTuple):
    """Who an entry instance is; made by the daemon at process start.

    Attributes
    ----------
    name, zone : str
        From the settings.
    caller_address, peer_address : str
        From the settings.
    incarnation : bytes
        16 random bytes.
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

    The engine has no sockets, files or clock: each call carries the time, and the
    same calls give the same actions.

    Parameters
    ----------
    now : float
        Start of the process on the runtime clock, in seconds.
    identity : Identity
        This entry instance.
    seed : int
        Seed of all pseudo-random choices.
    policy : routing.ReplicaPolicy, optional
        Choice of replicas; `routing.LeastLoaded` by default.
    """

    def __init__(
        self,
        now: float,
        identity: Identity,
        seed: int,
        policy: routing.ReplicaPolicy | None = None,
    ):
        chance = random.Random(seed)
        incarnation = identity.incarnation.hex()
        self.identity = dispatch.Identity(
            identity.name,
            incarnation,
            identity.zone,
            identity.caller_address,
            identity.peer_address,
        )
        self._store = revisions.RevisionStore()
        self._table = servers.ServerTable(incarnation, chance.getrandbits(32))
        self._owner = ownership.Ownership(now, incarnation, chance.getrandbits(32))
        self._members = membership.Membership(
            _announce(self.identity), identity.static_peers
        )
        self._dispatcher = dispatch.Dispatcher(
            self.identity, self._store, self._table, self._owner.shares
        )
        self._queries = queries.QueryRunner(
            self._dispatcher,
            lambda: self._members.list_names(),
            policy or routing.LeastLoaded(),
            chance.getrandbits(32),
        )
        # Peers reach the issuer of a key by its address, whatever the lists say.
        ledger = requests.RequestLedger(
            identity.peer_address, identity.incarnation, identity.secret
        )
        self._submissions = submissions.RequestRunner(
            self._dispatcher,
            ledger,
            lambda now: {peer.address for peer in self._members.list_peers(now)},
        )
        self._prober = probes.Prober(self._dispatcher)
        self._control = control.Controller(
            self._dispatcher,
            self._members,
            self._owner,
            self._prober,
            now,
            chance.getrandbits(32),
        )
        self._next_tick = now
        self._next_gauges = now
        self._is_leaving = False
        self._refuses = False

    @property
    def configuration(self) -> model.Configuration | None:
        """Configuration in force, if any."""
        return self._store.configuration

    @property
    def version(self) -> revisions.ConfigurationVersion | None:
        """Revision and hash of the configuration in force."""
        return self._store.version

    @property
    def text(self) -> bytes | None:
        """Text of the configuration in force, to be handed to peers."""
        return self._store.text

    def connection_share(self, address: str) -> int:
        """Return the most connections of this entry instance to a server."""
        return self._dispatcher.connection_share(address)

    def entry_lifetime_s(self) -> float:
        """Return how long callers may keep addresses, in seconds."""
        configuration = self._store.configuration
        return configuration.policy.entry_lifetime_s if configuration else 0.0

    def count_waiting(self) -> int:
        """Return the queries and requests in progress, forwarded ones included."""
        return self._queries.count() + self._submissions.count()

    def longest_deadline_s(self) -> float:
        """Return the largest deadline that a caller may name, in seconds."""
        configuration = self._store.configuration
        kinds = configuration.kinds.values() if configuration else ()
        longest_s = max((kind.deadline_max_s for kind in kinds), default=0.0)
        return max(longest_s, bodies.REQUEST_DEADLINE_MAX_S)

    def next_timer(self) -> float:
        """Return the time at which `LoopTicked` must be handled, in seconds."""
        return min(
            self._next_tick,
            self._queries.next_timer(),
            self._submissions.next_timer(),
        )

    def handle(self, now: float, event: events.Event) -> list[events.Action]:
        """Take an event and return the actions to carry out, in order.

        Parameters
        ----------
        now : float
            Time in seconds; never less than in an earlier call.
        event : events.Event
            What happened.
        """
        actions = self._tick(now) if now >= self._next_tick else []
        actions += self._dispatch(now, event)
        if self._owner.pop_permits_arrived():
            actions += self._retry_waiting(now)
        if self._dispatcher.wanted_probes:
            actions += self._prober.send_wanted(now)
        return actions

    def _retry_waiting(self, now: float) -> list[events.Action]:
        """Offer replicas to work that waits for one."""
        return self._queries.retry_waiting(now) + self._submissions.retry_waiting(now)

    def _dispatch(self, now: float, event: events.Event) -> list[events.Action]:
        match event:
            case events.LoopTicked():
                return self._queries.handle_timers(
                    now
                ) + self._submissions.handle_timers(now)
            case events.QueryArrived():
                return self._start_query(now, event)
            case events.QueryAbandoned():
                return self._queries.handle_caller_gone(now, event.answer_id)
            case events.ServerReplied():
                return self._receive(now, event)
            case events.SendFailed():
                return self._fail(now, event)
            case events.PoolChanged():
                self._dispatcher.record_idle_connections(event.address, event.idle)
                return []
            case events.RequestArrived():
                return self._submissions.handle_request(now, event)
            case events.RequestAbandoned():
                return self._submissions.handle_caller_gone(now, event.call_id)
            case events.ForwardAnswered():
                return self._submissions.handle_forward_answer(now, event)
            case events.ForwardFailed():
                return self._submissions.handle_forward_failure(now, event)
            case events.StopRequested():
                return self._leave(now)
        return self._dispatch_control(now, event)

    def _dispatch_control(self, now: float, event: events.Event) -> list[events.Action]:
        match event:
            case events.ConfigurationRead():
                return self._receive_text(now, event)
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

    def _tick(self, now: float) -> list[events.Action]:
        self._next_tick = now + control.TICK_S
        actions = self._control.tick(now)
        if now >= self._next_gauges:
            self._next_gauges = now + GAUGE_PERIOD_S
            actions += self._measure(now)
        return actions

    def _measure(self, now: float) -> list[events.Action]:
        granted, self._owner.granted = self._owner.granted, 0
        service_age_s = min(self._store.service_age(now), SERVICE_AGE_SHOWN_MAX_S)
        return [
            events.CountMetric("permits", granted),
            events.SetMetric("revision", max(0, self._store.revision)),
            events.SetMetric("service_age", service_age_s),
            events.SetMetric("peers", len(self._members.list_incarnations(now)) - 1),
            *self._queries.list_gauges(),
        ]

    # Queries and sends.

    def _start_query(
        self, now: float, event: events.QueryArrived
    ) -> list[events.Action]:
        if self._refuses:
            failure = errors.Failure(errors.ErrorKind.SHUTTING_DOWN)
            return [
                activequery.make_failure_answer(
                    event.query, self._store.revision, failure
                )
            ]
        return self._queries.handle_query(now, event.query)

    def _receive(self, now: float, event: events.ServerReplied) -> list[events.Action]:
        actions = self._dispatcher.handle_reply(now, event)
        if self._queries.owns_send(event.send_id):
            actions += self._queries.handle_reply(now, event)
        elif self._submissions.owns_send(event.send_id):
            actions += self._submissions.handle_reply(now, event)
        elif self._prober.owns_send(event.send_id):
            self._prober.end(event.send_id)
            actions += self._retry_waiting(now)
        return actions + self._follow_changes(now, actions)

    def _fail(self, now: float, event: events.SendFailed) -> list[events.Action]:
        actions = self._dispatcher.handle_failure(now, event)
        if self._queries.owns_send(event.send_id):
            actions += self._queries.handle_failure(now, event)
        elif self._submissions.owns_send(event.send_id):
            actions += self._submissions.handle_failure(now, event)
        elif self._prober.owns_send(event.send_id):
            self._prober.end(event.send_id)
            actions += self._retry_waiting(now)
        return actions + self._follow_changes(now, actions)

    def _follow_changes(
        self, now: float, actions: typing.Sequence[events.Action]
    ) -> list[events.Action]:
        """Offer replicas to waiting parts after a server changed its state."""
        if any(isinstance(action, events.WriteAudit) for action in actions):
            return self._retry_waiting(now)
        return []

    def allow_first_byte(
        self, now: float, send_id: int, last_active_at: float
    ) -> tuple[bool, list[events.Action]]:
        """Ask whether the first byte of a non-idempotent request may leave now.

        Parameters
        ----------
        now : float
            Time in seconds, read directly before the write.
        send_id : int
            Identifier of the send.
        last_active_at : float
            Time of the last exchange on the connection or of its set-up.
        """
        # A process that slept since the decision notices it here.
        actions = self._tick(now) if now >= self._next_tick else []
        allowed, more = self._submissions.allow_first_byte(now, send_id, last_active_at)
        return allowed, actions + more

    # Control.

    def _receive_text(
        self, now: float, event: events.ConfigurationRead
    ) -> list[events.Action]:
        before = self._store.version
        actions = self._control.handle_configuration_text(now, event)
        configuration = self._store.configuration
        if configuration is not None and self._store.version != before:
            self._queries.apply_configuration(configuration)
            actions += self._retry_waiting(now)
        return actions

    def _leave(self, now: float) -> list[events.Action]:
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
        """Refuse queries and keys from now on; the address lifetime has passed."""
        self._refuses = True

    def stop(self, now: float) -> list[events.Action]:
        """Answer every caller truthfully at once, before the process ends."""
        return self._queries.shut_down(now) + self._submissions.shut_down(now)

    # Direct answers.

    def issue_key(self, now: float) -> result.Result[str, errors.Failure]:
        """Issue an idempotency key.

        A leaving process issues none, since its end would make the outcome unknown.
        """
        if self._is_leaving:
            return result.Err(errors.Failure(errors.ErrorKind.SHUTTING_DOWN))
        return self._submissions.issue_key(now)

    def key_lifetime_s(self) -> float:
        """Return the lifetime of an idempotency key, in seconds."""
        return keys.KEY_LIFETIME_S

    def choose_entries(
        self, now: float, caller_zone: str, caller: str
    ) -> dict[str, typing.Any]:
        """Return the entry instances that a caller should use.

        Parameters
        ----------
        now : float
            Time in seconds.
        caller_zone : str
            Availability zone of the caller; empty if unknown.
        caller : str
            What tells callers apart, such as their IP address.
        """
        configuration = self._store.configuration
        zones_out = configuration.zones_out if configuration else frozenset()
        lifetime_s = configuration.policy.entry_lifetime_s if configuration else 1
        addresses = self._members.choose_entries(
            now, zones_out, caller_zone, ENTRIES_MAX, caller
        )
        return {"entries": addresses, "lifetime_s": lifetime_s}

    def describe(self, now: float) -> dict[str, typing.Any]:
        """Return the state of this entry instance for operators."""
        counts: dict[str, int] = {}
        configuration = self._store.configuration
        services = configuration.services.values() if configuration else ()
        for service in services:
            for replica in service.replicas:
                state = self._table.state(now, replica.address).value
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
            "service_age_s": min(self._store.service_age(now), SERVICE_AGE_SHOWN_MAX_S),
            "entries": self._members.list_names(),
            "servers": counts,
            "lease_groups": self._owner.list_owned(now),
            "queries": self._queries.count(),
        }


def _announce(identity: dispatch.Identity) -> instances.Announcement:
    return instances.Announcement(
        identity.name,
        identity.incarnation,
        identity.zone,
        identity.caller_address,
        identity.peer_address,
        False,
        0.0,
    )
