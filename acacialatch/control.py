"""Control plane of one entry instance.

Reads the configuration service and the platform's instance list, and exchanges
digests with other entry instances. A digest carries the sender's configuration
version, facts about backend servers, and requests for lease votes and permits.
"""

import random

import msgspec
import result

from acacialatch import (
    changes,
    decoding,
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
"""Time between two ticks.

Must be below `revisions.PAUSE_THRESHOLD_S`, since a longer gap counts as a pause.
"""

DIGEST_PERIOD_S = 0.5

PERMIT_DEMAND_DELAY_S = 0.2
"""Delay from the last digest to the next one if sends are waiting for a permit."""

WATCH_WAIT_S = 1.0
"""Longest time for which the configuration service may hold a watch open."""

READ_PERIOD_MIN_S = 10.0
"""Shortest period of reads by entry instances that are not watchers."""

LIST_PERIOD_S = 2.0
"""Period in which watchers read the instance list."""

READ_PERIOD_PER_INSTANCE_S = 0.1
"""Limits the reads of all instances that are not watchers to 10 per second in all."""

FULL_READ_PERIOD_S = 60.0
"""Period of the reads that return the text in force even if nothing is newer.

A service restored from a backup may hold another text under the same revision.
"""

SERVICE_AGE_MAX_S = 2.0
"""Age of the latest known read of the service above which an outage is assumed.

Every entry instance then reads the service, not only the watchers.
"""

OUTAGE_READ_PERIOD_MIN_S = 1.0
OUTAGE_READ_PERIOD_PER_INSTANCE_S = 0.005
"""Longest time to the next read while an outage is assumed, in seconds, before jitter.

It is the first value, or the second times the number of instances if that is longer.
"""

UNKNOWN_SERVERS_MAX = 16
"""Largest number of backend servers for which one digest asks for facts."""

# Addresses of backend servers for which facts are wanted, and the sender's facts.
_FactsPayload = tuple[tuple[str, ...], tuple[facts.Fact, ...]]


class Controller:
    """Control plane of one entry instance.

    Parameters
    ----------
    dispatcher : dispatch.Dispatcher
        Sends requests to backend servers; holds the revision store and the
        server table.
    members : membership.Membership
        Known entry instances.
    owner : ownership.Ownership
        Leases and permits of this entry instance.
    prober : probes.Prober
        Sends status probes to backend servers.
    now : float
        Start of the process on the runtime clock, in seconds.
    seed : int
        Seed of the jitter of all periods.
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
        self._started_at = now
        self._random = random.Random(seed)
        self._incarnation = dispatcher.identity.incarnation
        self._is_read_pending = False
        self._next_read_at = now
        self._next_full_read_at = now + FULL_READ_PERIOD_S * self._jitter()
        self._failed_reads = 0
        self._is_list_pending = False
        self._next_list_at = now
        self._next_digest_at = now
        self._last_digest_at = now
        self._gossip_round = 0
        self._awaiting_answer: set[str] = set()
        self._is_leaving = False
        self._reported_state: str = ""

    def set_leaving(self, now: float) -> None:
        """Mark this entry instance as leaving and send the next digest at once."""
        self._is_leaving = True
        self._members.set_leaving()
        self._next_digest_at = now

    def tick(self, now: float) -> list[events.Action]:
        """Return the actions of the periodic work that is due.

        After a pause of the process, leases and permits that may have expired are
        voided, and a read of the service and digests are due at once.
        """
        actions: list[events.Action] = []
        change = self._store.record_loop_turn(now)
        if change is not None:
            self._owner.record_pause(now)
            self._next_read_at = self._next_digest_at = now
            actions += changes.audit_revision_change(change)
        self._dispatcher.peers_known = self._members.knows_peers(now)
        actions += self._report_freshness(now)
        actions += self._read_service(now)
        actions += self._list_instances(now)
        actions += self._send_digests(now)
        actions += self._prober.tick(now)
        return actions

    # Configuration.

    def handle_configuration_text(
        self, now: float, event: events.ConfigurationRead
    ) -> list[events.Action]:
        """Offer a configuration text to the store, then apply it if accepted.

        The answer that carried the text also counts as a confirmation.
        """
        actions: list[events.Action] = []
        if event.source == revisions.SERVICE_SOURCE:
            self._record_read(now)
        outcome = self._store.offer(now, event.revision, event.text, event.source)
        if outcome.change is not None:
            actions += changes.audit_revision_change(outcome.change)
        if outcome.verdict is revisions.Verdict.ACCEPTED:
            actions += self._apply_configuration(now)
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
        """Confirm the configuration in force: the service has nothing newer."""
        self._record_read(now)
        confirmation = self._store.confirm(
            now, revisions.SERVICE_SOURCE, requested_at=event.requested_at
        )
        if confirmation.change is None:
            return []
        return changes.audit_revision_change(confirmation.change)

    def handle_service_failure(
        self, now: float, event: events.ServiceFailed
    ) -> list[events.Action]:
        """Schedule the next read with backoff; log only the first failure in a row."""
        self._is_read_pending = False
        delay_s = membership.choose_watch_delay(self._failed_reads, self._incarnation)
        self._failed_reads += 1
        self._next_read_at = now + delay_s
        text = f"service did not answer: {event.detail}"
        log = [events.WriteLog("config:", text)] if self._failed_reads == 1 else []
        return [*log, events.CountMetric("source_failures")]

    def _apply_configuration(self, now: float) -> list[events.Action]:
        """Pass the configuration in force to everything that depends on it."""
        configuration = self._store.configuration
        assert configuration is not None
        self._prober.apply_configuration(configuration)
        transitions = self._table.apply_configuration(now, configuration)
        self._owner.apply_configuration(now, configuration)
        self._dispatcher.apply_configuration(configuration)
        # Tell peers about the change now rather than at the next period.
        self._next_digest_at = now
        return changes.audit_server_changes(transitions)

    def _read_service(self, now: float) -> list[events.Action]:
        """Read the configuration service if a read is due.

        Watchers wait at the service for a change; other entry instances poll.
        """
        is_outage = self._store.service_age(now) > SERVICE_AGE_MAX_S
        if is_outage:
            period = self._scale_period(
                OUTAGE_READ_PERIOD_MIN_S, OUTAGE_READ_PERIOD_PER_INSTANCE_S
            )
            self._next_read_at = min(self._next_read_at, now + period)
        if self._is_read_pending or now < self._next_read_at:
            return []
        self._is_read_pending = True
        after = self._store.watch_after
        is_watcher = self._members.is_watcher(now)
        if is_watcher and now >= self._next_full_read_at:
            # A watch does not report another text under the revision in force.
            self._next_full_read_at = now + FULL_READ_PERIOD_S * self._jitter()
            return [events.ReadService(after - 1, 0.0)]
        wait_s = WATCH_WAIT_S if is_watcher and self._store.version is not None else 0.0
        return [events.ReadService(after, wait_s)]

    def _record_read(self, now: float) -> None:
        """Schedule the next read after a successful one; a watcher reads at once."""
        self._is_read_pending = False
        self._failed_reads = 0
        self._next_read_at = now
        if not self._members.is_watcher(now):
            self._next_read_at += self._scale_period(
                READ_PERIOD_MIN_S, READ_PERIOD_PER_INSTANCE_S
            )

    def _scale_period(self, shortest_s: float, per_instance_s: float) -> float:
        """Return a jittered period that grows with the number of entry instances."""
        count = len(self._members.list_peers(0.0)) + 1
        period_s = max(shortest_s, per_instance_s * count)
        return period_s * self._jitter()

    def _jitter(self) -> float:
        return self._random.uniform(0.75, 1.25)

    def _report_freshness(self, now: float) -> list[events.Action]:
        """Return actions when the configuration becomes current or stops being so.

        New work is held back while it is not current.
        """
        state = "current" if self._dispatcher.is_current(now) else "not current"
        if state == self._reported_state:
            return []
        previous, self._reported_state = self._reported_state, state
        return [
            events.WriteAudit("freshness", previous, state, "confirmation"),
            events.WriteLog("config:", f"configuration is {state}"),
        ]

    # Membership and digests.

    def handle_instance_list(
        self, now: float, event: events.InstancesListed
    ) -> list[events.Action]:
        """Apply the platform's list of instances.

        Entry instances go to the membership list. Backend servers that the list
        shows as leaving go to the server table.
        """
        self._is_list_pending = False
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
        transitions = self._table.apply_leaving_list(now, leaving)
        return actions + changes.audit_server_changes(transitions)

    def handle_list_failure(self, now: float) -> list[events.Action]:
        """Schedule the next read of the instance list after a failed one."""
        self._is_list_pending = False
        self._schedule_list(now)
        return [events.CountMetric("source_failures")]

    def handle_digest_request(
        self, now: float, event: events.DigestRequested
    ) -> list[events.Action]:
        """Merge the digest of a peer and answer with the digest of this instance.

        The peer's digest answers no request, so it confirms no configuration.
        """
        actions = self._merge_digest(now, event.digest, float("-inf"))
        answer = self._make_digest(now, event.digest)
        return [*actions, events.AnswerDigest(event.call_id, answer)]

    def handle_digest_answer(
        self, now: float, event: events.DigestAnswered
    ) -> list[events.Action]:
        """Merge a peer's answer to a digest, with the votes and permits it grants."""
        self._awaiting_answer.discard(event.peer_address)
        actions = self._merge_digest(now, event.digest, event.sent_at)
        self._owner.handle_answer(now, event.digest)
        return actions

    def handle_peer_failure(
        self, now: float, event: events.PeerFailed
    ) -> list[events.Action]:
        """Count a peer that did not answer and let later rounds send to it again."""
        self._awaiting_answer.discard(event.peer_address)
        return [events.CountMetric("peer_failures")]

    def _merge_digest(
        self, now: float, digest: messages.Digest, requested_at: float
    ) -> list[events.Action]:
        """Merge what a peer reports.

        `requested_at` is the time at which the digest was requested, in seconds; -inf
        if the peer sent it without a request.
        """
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
        reported_at = now if requested_at == float("-inf") else requested_at
        self._store.merge_service_age(reported_at, digest.service_age_s)
        actions += self._compare_version(now, digest, requested_at)
        return actions + self._merge_facts(now, digest)

    def _compare_version(
        self, now: float, digest: messages.Digest, requested_at: float
    ) -> list[events.Action]:
        """Compare configuration versions; fetch the peer's if it is newer."""
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
        """Merge the peer's facts about backend servers into the server table."""
        if not digest.facts:
            return []
        decoded = decoding.decode(
            msgspec.msgpack.decode, digest.facts, type=_FactsPayload
        )
        if isinstance(decoded, result.Err):
            return [events.CountMetric("peer_refused")]
        _, received = decoded.ok_value
        transitions = self._table.merge(now, digest.incarnation, received)
        return changes.audit_server_changes(transitions)

    def _send_digests(self, now: float) -> list[events.Action]:
        """Send digests if a round is due, earlier if sends lack a permit."""
        is_brought_forward = (
            bool(self._dispatcher.demands)
            and now >= self._last_digest_at + PERMIT_DEMAND_DELAY_S
        )
        if now < self._next_digest_at and not is_brought_forward:
            return []
        self._last_digest_at = now
        self._next_digest_at = now + DIGEST_PERIOD_S * self._random.uniform(0.9, 1.1)
        self._gossip_round += 1
        actions: list[events.Action] = []
        digest = self._make_digest(now, None)
        for peer in self._members.choose_gossip_targets(now, self._gossip_round):
            # One digest per peer at a time, so that they do not pile up at a slow one.
            if peer.address in self._awaiting_answer:
                continue
            self._awaiting_answer.add(peer.address)
            actions.append(events.ExchangeDigest(peer.address, digest))
        return actions

    def _make_digest(
        self, now: float, asked: messages.Digest | None
    ) -> messages.Digest:
        """Return the digest of this entry instance.

        Parameters
        ----------
        now : float
            Time, in seconds.
        asked : messages.Digest or None
            Digest of the peer that this one answers; an answer grants votes and
            permits. With None the digest requests them, or releases them while
            this instance is leaving.
        """
        identity = self._dispatcher.identity
        wanted = _decode_wanted(asked)
        content: _FactsPayload = (
            self._table.list_unknown(UNKNOWN_SERVERS_MAX),
            self._table.facts(now, wanted),
        )
        granted = requested = ownership.EMPTY_PAYLOAD
        if asked is not None:
            granted = self._owner.answer_requests(now, asked)
        elif self._is_leaving:
            requested = self._owner.release(now)
        else:
            requested = self._make_owner_requests(now)
        return messages.Digest(
            instance=identity.name,
            incarnation=identity.incarnation,
            zone=identity.zone,
            caller_address=identity.caller_address,
            peer_address=identity.peer_address,
            leaving=self._is_leaving,
            uptime_s=now - self._started_at,
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
        if self._is_list_pending or now < self._next_list_at:
            return []
        self._is_list_pending = True
        return [events.ListInstances()]

    def _schedule_list(self, now: float) -> None:
        if self._members.is_watcher(now):
            self._next_list_at = now + LIST_PERIOD_S * self._jitter()
        else:
            self._next_list_at = now + self._scale_period(
                READ_PERIOD_MIN_S, READ_PERIOD_PER_INSTANCE_S
            )

    def _make_owner_requests(self, now: float) -> ownership.DigestPayload:
        """Encode the requests for votes and for the permits that sends lack."""
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


def _decode_wanted(asked: messages.Digest | None) -> tuple[str, ...]:
    """Return the backend servers for which a peer asks for facts.

    Empty if the peer asks for none or the field is malformed.
    """
    if asked is None or not asked.facts:
        return ()
    decoded = decoding.decode(msgspec.msgpack.decode, asked.facts, type=_FactsPayload)
    if isinstance(decoded, result.Err):
        return ()
    wanted, _ = decoded.ok_value
    return wanted[:UNKNOWN_SERVERS_MAX]
