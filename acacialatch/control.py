"""Control work: configuration, membership and digests."""

import random

import msgspec

from acacialatch import (
    changes,
    dispatch,
    events,
    facts,
    instances,
    membership,
    messages,
    model,
    ownership,
    permits,
    probes,
    revisions,
)

TICK_S = 0.1
"""Time between two ticks in seconds; shorter than `revisions.LOOP_GAP_S`."""

DIGEST_PERIOD_S = 0.5

DEMAND_DELAY_S = 0.2
"""Sends that lack a permit bring the next digest forward to this delay."""

WATCH_WAIT_S = 1.0
"""Longest time for which the configuration service may hold a watch, in seconds."""

READ_PERIOD_MIN_S = 10.0
LIST_PERIOD_S = 2.0

READ_PERIOD_PER_INSTANCE_S = 0.1
"""Entry instances that are no watchers together read 10 times a second at most."""

FULL_READ_PERIOD_S = 60.0
"""Time between reads that also return the text in force, to find a restored service."""

SERVICE_AGE_MAX_S = 2.0
"""Age of the latest known service read above which every entry instance reads."""

EAGER_PERIOD_MIN_S = 1.0
EAGER_PERIOD_PER_INSTANCE_S = 0.005

UNKNOWN_SERVERS_MAX = 16

_Facts = tuple[tuple[str, ...], tuple[facts.Fact, ...]]


class Controller:
    """Control work of one entry instance.

    Parameters
    ----------
    dispatcher : dispatch.Dispatcher
        Sends to backend servers.
    members : membership.Membership
        Entry instances.
    owner : ownership.Ownership
        Leases and permits.
    prober : probes.Prober
        Status probes.
    now : float
        Start of the process on the runtime clock, in seconds.
    seed : int
        Seed of all jitter.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        members: membership.Membership,
        owner: ownership.Ownership,
        prober: probes.Prober,
        now: float,
        seed: int,
    ):
        self._dispatcher = dispatcher
        self._store = dispatcher.store
        self._table = dispatcher.table
        self._members = members
        self._owner = owner
        self._prober = prober
        self._started = now
        self._random = random.Random(seed)
        self._incarnation = dispatcher.identity.incarnation
        self._is_reading = False
        self._next_read = now
        self._next_full_read = now + FULL_READ_PERIOD_S * self._jitter()
        self._failures = 0
        self._is_listing = False
        self._next_list = now
        self._next_digest = now
        self._last_digest = now
        self._round = 0
        self._exchanging: set[str] = set()
        self._is_leaving = False
        self._logged_state: str = ""

    def set_leaving(self, now: float) -> None:
        """Announce that this entry instance is shutting down, at once."""
        self._is_leaving = True
        self._members.set_leaving()
        self._next_digest = now

    def tick(self, now: float) -> list[events.Action]:
        """Do the periodic work that is due."""
        actions: list[events.Action] = []
        change = self._store.note_loop(now)
        if change is not None:
            self._owner.record_pause(now)
            self._next_read = self._next_digest = now
            actions += changes.audit_revision_change(change)
        self._dispatcher.peers_known = self._members.knows_peers(now)
        actions += self._note_currency(now)
        actions += self._read_service(now)
        actions += self._list_instances(now)
        actions += self._send_digests(now)
        actions += self._prober.tick(now)
        return actions

    # Configuration.

    def handle_configuration_text(
        self, now: float, event: events.ConfigurationRead
    ) -> list[events.Action]:
        """Consider a configuration text from the service or a peer."""
        actions: list[events.Action] = []
        if event.source == revisions.SERVICE_SOURCE:
            self._note_read(now)
        outcome = self._store.offer(now, event.revision, event.text, event.source)
        if outcome.change is not None:
            actions += changes.audit_revision_change(outcome.change)
        if outcome.verdict is revisions.Verdict.ACCEPTED:
            actions += self._apply(now)
        version = revisions.ConfigurationVersion(
            event.revision, revisions.hash_text(event.text)
        )
        confirmation = self._store.confirm(
            now,
            event.source,
            requested_at=event.requested_at,
            version=version,
            is_source_current=event.is_source_current,
        )
        if confirmation.change is not None:
            actions += changes.audit_revision_change(confirmation.change)
        return actions

    def handle_service_unchanged(
        self, now: float, event: events.ServiceUnchanged
    ) -> list[events.Action]:
        """Take that the configuration service has nothing newer."""
        self._note_read(now)
        confirmation = self._store.confirm(
            now, revisions.SERVICE_SOURCE, requested_at=event.requested_at
        )
        if confirmation.change is None:
            return []
        return changes.audit_revision_change(confirmation.change)

    def handle_service_failure(
        self, now: float, event: events.ServiceFailed
    ) -> list[events.Action]:
        """Take that a read of the configuration service failed."""
        self._is_reading = False
        delay_s = membership.watch_delay(self._failures, self._incarnation)
        self._failures += 1
        self._next_read = now + delay_s
        text = f"service did not answer: {event.detail}"
        log = [events.WriteLog("config:", text)] if self._failures == 1 else []
        return [*log, events.CountMetric("source_failures")]

    def _apply(self, now: float) -> list[events.Action]:
        configuration = self._store.configuration
        assert configuration is not None
        self._prober.apply_configuration(configuration)
        moved = self._table.apply_configuration(now, configuration)
        self._owner.apply_configuration(now, configuration)
        self._dispatcher.apply_configuration(configuration)
        # Peers learn of a change at once and not at the next period.
        self._next_digest = now
        return changes.audit_server_changes(moved)

    def _read_service(self, now: float) -> list[events.Action]:
        is_eager = self._store.service_age(now) > SERVICE_AGE_MAX_S
        if is_eager:
            period = self._stretch(EAGER_PERIOD_MIN_S, EAGER_PERIOD_PER_INSTANCE_S)
            self._next_read = min(self._next_read, now + period)
        if self._is_reading or now < self._next_read:
            return []
        self._is_reading = True
        after = self._store.watch_after
        is_watcher = self._members.is_watcher(now)
        if is_watcher and now >= self._next_full_read:
            # A watch names nothing that has the same revision and another text.
            self._next_full_read = now + FULL_READ_PERIOD_S * self._jitter()
            return [events.ReadService(after - 1, 0.0)]
        wait_s = WATCH_WAIT_S if is_watcher and self._store.version is not None else 0.0
        return [events.ReadService(after, wait_s)]

    def _note_read(self, now: float) -> None:
        self._is_reading = False
        self._failures = 0
        self._next_read = now
        if not self._members.is_watcher(now):
            self._next_read += self._stretch(
                READ_PERIOD_MIN_S, READ_PERIOD_PER_INSTANCE_S
            )

    def _stretch(self, shortest_s: float, per_instance_s: float) -> float:
        """Return a jittered period that grows with the number of instances."""
        count = len(self._members.list_peers(0.0)) + 1
        period_s = max(shortest_s, per_instance_s * count)
        return period_s * self._jitter()

    def _jitter(self) -> float:
        return self._random.uniform(0.75, 1.25)

    def _note_currency(self, now: float) -> list[events.Action]:
        """Log when new work is held back and when it is let go again."""
        state = "current" if self._dispatcher.is_current(now) else "not current"
        if state == self._logged_state:
            return []
        before, self._logged_state = self._logged_state, state
        return [
            events.WriteAudit("freshness", before, state, "confirmation"),
            events.WriteLog("config:", f"configuration is {state}"),
        ]

    # Membership and digests.

    def handle_instance_list(
        self, now: float, event: events.InstancesListed
    ) -> list[events.Action]:
        """Take the platform's list of instances."""
        self._is_listing = False
        self._schedule_list(now)
        listed = [
            instances.ListEntry(
                item.name,
                item.zone,
                item.address,
                item.peer_address,
                item.state is model.InstanceState.LEAVING,
            )
            for item in event.instances
            if item.role is model.InstanceRole.ENTRY
        ]
        leaving = {
            item.address
            for item in event.instances
            if item.role is model.InstanceRole.SERVER
            and item.state is model.InstanceState.LEAVING
        }
        actions = changes.audit_member_changes(
            self._members.apply_instance_list(now, listed)
        )
        moved = self._table.apply_leaving_list(now, leaving)
        return actions + changes.audit_server_changes(moved)

    def handle_list_failure(self, now: float) -> list[events.Action]:
        """Take that a read of the instance list failed."""
        self._is_listing = False
        self._schedule_list(now)
        return [events.CountMetric("source_failures")]

    def handle_digest_request(
        self, now: float, event: events.DigestRequested
    ) -> list[events.Action]:
        """Take the digest of a peer and answer with the own one."""
        actions = self._take_digest(now, event.digest, float("-inf"))
        answer = self._make_digest(now, event.digest)
        return [*actions, events.AnswerDigest(event.call_id, answer)]

    def handle_digest_answer(
        self, now: float, event: events.DigestAnswered
    ) -> list[events.Action]:
        """Take the digest with which a peer answered."""
        self._exchanging.discard(event.peer_address)
        actions = self._take_digest(now, event.digest, event.sent_at)
        self._owner.handle_answer(now, event.digest)
        return actions

    def handle_peer_failure(
        self, now: float, event: events.PeerFailed
    ) -> list[events.Action]:
        """Take that a peer did not answer."""
        self._exchanging.discard(event.peer_address)
        return [events.CountMetric("peer_failures")]

    def _take_digest(
        self, now: float, digest: messages.Digest, requested_at: float
    ) -> list[events.Action]:
        announcement = instances.Announcement(
            digest.instance,
            digest.incarnation,
            digest.zone,
            digest.caller_address,
            digest.peer_address,
            digest.leaving,
            digest.uptime_s,
        )
        actions = changes.audit_member_changes(
            self._members.record_announcement(now, announcement)
        )
        self._dispatcher.peers_known = self._members.knows_peers(now)
        heard_at = now if requested_at == float("-inf") else requested_at
        self._store.merge_service_age(heard_at, digest.service_age_s)
        actions += self._compare_revision(now, digest, requested_at)
        return actions + self._merge_facts(now, digest)

    def _compare_revision(
        self, now: float, digest: messages.Digest, requested_at: float
    ) -> list[events.Action]:
        if not digest.digest:
            return []
        confirmation = self._store.confirm(
            now,
            revisions.make_peer_source(digest.instance),
            requested_at=requested_at,
            version=revisions.ConfigurationVersion(digest.revision, digest.digest),
            is_source_current=digest.is_current,
        )
        if confirmation.status is revisions.ConfirmationStatus.BEHIND:
            return [events.FetchConfiguration(digest.peer_address, digest.instance)]
        if confirmation.change is not None:
            return changes.audit_revision_change(confirmation.change)
        return []

    def _merge_facts(self, now: float, digest: messages.Digest) -> list[events.Action]:
        if not digest.facts:
            return []
        try:
            _, received = msgspec.msgpack.decode(digest.facts, type=_Facts)
        except msgspec.MsgspecError:
            return [events.CountMetric("peer_refused")]
        moved = self._table.merge(now, digest.incarnation, received)
        return changes.audit_server_changes(moved)

    def _send_digests(self, now: float) -> list[events.Action]:
        is_wanted = bool(self._dispatcher.demands) and now >= self._last_digest + (
            DEMAND_DELAY_S
        )
        if now < self._next_digest and not is_wanted:
            return []
        self._last_digest = now
        self._next_digest = now + DIGEST_PERIOD_S * self._random.uniform(0.9, 1.1)
        self._round += 1
        actions: list[events.Action] = []
        digest = self._make_digest(now, None)
        for peer in self._members.choose_gossip_targets(now, self._round):
            # A slow peer gets the next digest after the answer to the last one.
            if peer.address in self._exchanging:
                continue
            self._exchanging.add(peer.address)
            actions.append(events.ExchangeDigest(peer.address, digest))
        return actions

    def _make_digest(
        self, now: float, asked: messages.Digest | None
    ) -> messages.Digest:
        """Return the own digest; `asked` is the digest that it answers."""
        identity = self._dispatcher.identity
        wanted = _read_wanted(asked)
        content: _Facts = (
            self._table.list_unknown(UNKNOWN_SERVERS_MAX),
            self._table.facts(now, wanted),
        )
        granted = requested = ownership.EMPTY_PAYLOAD
        if asked is not None:
            granted = self._owner.answer_requests(now, asked)
        elif self._is_leaving:
            requested = self._owner.release(now)
        else:
            requested = self._ask_owners(now)
        return messages.Digest(
            instance=identity.name,
            incarnation=identity.incarnation,
            zone=identity.zone,
            caller_address=identity.caller_address,
            peer_address=identity.peer_address,
            leaving=self._is_leaving,
            uptime_s=now - self._started,
            revision=max(0, self._store.revision),
            digest=self._store.digest,
            is_current=self._dispatcher.is_current(now),
            service_age_s=self._store.service_age(now),
            facts=msgspec.msgpack.encode(content),
            votes_asked=requested.votes,
            votes_given=granted.votes,
            permits_asked=requested.permits,
            permits_given=granted.permits,
        )

    def _list_instances(self, now: float) -> list[events.Action]:
        if self._is_listing or now < self._next_list:
            return []
        self._is_listing = True
        return [events.ListInstances()]

    def _schedule_list(self, now: float) -> None:
        if self._members.is_watcher(now):
            self._next_list = now + LIST_PERIOD_S * self._jitter()
        else:
            self._next_list = now + self._stretch(
                READ_PERIOD_MIN_S, READ_PERIOD_PER_INSTANCE_S
            )

    def _ask_owners(self, now: float) -> ownership.DigestPayload:
        demand = [
            permits.Demand(
                address,
                self._table.incarnation(address),
                wanted.count,
                wanted.urgency,
            )
            for address, wanted in self._dispatcher.pop_demands().items()
        ]
        return self._owner.make_requests(
            now, self._members.list_incarnations(now), demand
        )


def _read_wanted(asked: messages.Digest | None) -> tuple[str, ...]:
    """Return the servers that a peer knows nothing of and asks about."""
    if asked is None or not asked.facts:
        return ()
    try:
        wanted, _ = msgspec.msgpack.decode(asked.facts, type=_Facts)
    except msgspec.MsgspecError:
        return ()
    return wanted[:UNKNOWN_SERVERS_MAX]
