"""Table of the states of all backend servers, as one entry instance sees them."""

import itertools
import random
import typing

from acacialatch import facts as server_facts
from acacialatch import latencies, model, serverrows

# Hedge delay of a service with too few measured latencies, in seconds.
HEDGE_INITIAL_S = 0.05
# Latency assumed for a server that has not answered yet, in seconds.
LATENCY_INITIAL_S = 0.01
# Smallest jitter factor of the delay between probes; the largest one is 1.
JITTER_MIN = 0.5

Cause = serverrows.Cause


class Change(typing.NamedTuple):
    """State transition of one backend server, for the audit trail.

    A restart detected by a reply is a change even if the state stays the same.
    """

    address: str
    before: model.ServerState
    after: model.ServerState
    cause: str


class ServerTable:
    """States of all backend servers of the configuration.

    Parameters
    ----------
    instance : str
        Incarnation of this entry instance. Requests that it saw answered are counted
        under this key.
    seed : int
        Seed of the probe jitter.
    facts_max : int
        Most facts in one digest.

    Notes
    -----
    For an unknown address, methods do nothing or answer as for an unlisted server,
    since replies may arrive after a server was removed. Methods that change states
    return the transitions that they caused.
    """

    def __init__(
        self, instance: str, seed: int, facts_max: int = server_facts.FACTS_MAX
    ) -> None:
        self._instance = instance
        self._random = random.Random(seed)
        self._rows: dict[str, serverrows.ServerRow] = {}
        self._windows: dict[str, latencies.LatencyWindow] = {}
        self._fact_queue = server_facts.FactQueue(facts_max)

    def apply_configuration(
        self, now: float, configuration: model.Configuration
    ) -> list[Change]:
        """Adopt the servers of a new configuration.

        A server that was removed or whose zone is out becomes unlisted. A server
        that is listed again counts as cold.
        """
        changes: list[Change] = []
        configured: set[str] = set()
        for service in configuration.services.values():
            for replica in service.replicas:
                configured.add(replica.address)
                is_listed = replica.zone not in configuration.zones_out
                changes += self._apply_replica(now, service, replica, is_listed)
        for address in [key for key in self._rows if key not in configured]:
            changes += self._unlist(now, address)
        self._windows = {
            name: window
            for name, window in self._windows.items()
            if name in configuration.services
        }
        self._fact_queue.apply_addresses(configured)
        return changes

    def record_send(self, now: float, address: str) -> list[Change]:
        """Record that a request or probe was sent, and delay the next probe."""
        row = self._rows.get(address)
        if row is None:
            return []
        row.in_flight += 1
        row.last_sent, row.sent_since_failure = now, True
        if row.state() is not model.ServerState.READY:
            delay_s = row.probe_delay() * self._draw_jitter()
            row.next_probe = max(row.next_probe, now + delay_s)
        return []

    def record_end(self, now: float, address: str) -> list[Change]:
        """Record that a send ended, with any result; called once for each send."""
        row = self._rows.get(address)
        if row is not None:
            row.in_flight = max(0, row.in_flight - 1)
        return []

    def record_reply(
        self,
        now: float,
        address: str,
        incarnation: str,
        stated: model.ServerState,
        versions: typing.Mapping[str, typing.Iterable[int]],
        latency_s: float,
        is_request: bool = True,
    ) -> list[Change]:
        """Record a reply.

        A late reply of a former incarnation is ignored. Any other reply clears the
        failures seen before its request was sent.

        Parameters
        ----------
        now : float
            Time of the reply, in seconds.
        address : str
            Address of the backend server.
        incarnation : str
            Incarnation that the reply names.
        stated : model.ServerState
            State that the reply names: ready, cold or leaving.
        versions : mapping of str to iterable of int
            Versions held by the server, by index.
        latency_s : float
            Time since the request was sent, in seconds. The send time decides
            whether the reply is newer than the known state.
        is_request : bool
            False for a status probe. Its reply does not count as an answered
            request and does not change the latency average.
        """
        row = self._rows.get(address)
        if row is None:
            return []
        before = row.state()
        incarnation_before = row.incarnations.current()
        sent = now - latency_s
        record = row.incarnations.record_reply(now, incarnation, sent)
        if record is None:
            return []
        is_restart = incarnation_before not in ("", row.incarnations.current())
        row.latency_s = None if is_restart else row.latency_s
        row.last_reply = now
        row.clear_failures(sent)
        self._record_incarnation(now, row, record, stated, versions, sent)
        if is_request:
            self._record_request(now, row, record, latency_s)
        row.update_phases(now)
        cause = "restart" if is_restart else f"reply {stated.value}"
        return self._finish_update(now, row, before, cause, is_restart)

    def record_failure(
        self,
        now: float,
        address: str,
        cause: serverrows.Cause,
        is_new_connection: bool,
        retry_after_s: float = 0.0,
    ) -> list[Change]:
        """Record a failed send.

        Depending on the cause, the server becomes shedding, dead or silent.

        Parameters
        ----------
        now : float
            Time of the failure, in seconds.
        address : str
            Address of the backend server.
        cause : serverrows.Cause
            Kind of the failure.
        is_new_connection : bool
            Whether no reply had been received on this connection before.
        retry_after_s : float
            Delay that the server requested when it shed load, in seconds.
        """
        row = self._rows.get(address)
        if row is None:
            return []
        before = row.state()
        if cause is serverrows.Cause.SHED:
            row.record_shed(now, retry_after_s)
        elif row.count_failure(cause, is_new_connection):
            row.record_dead(now, self._draw_jitter())
        else:
            row.silent_at = row.next_probe = now
        row.sent_since_failure = False
        return self._finish_update(now, row, before, cause.value)

    def record_drain(self, now: float, address: str) -> list[Change]:
        """Record the drain signal of a server; it is valid for its incarnation."""
        row = self._rows.get(address)
        if row is None:
            return []
        before = row.state()
        for record in row.incarnations.possible.values():
            record.phase = server_facts.Phase.LEAVING
        if not row.incarnations.possible:
            row.drained_at = now
        return self._finish_update(now, row, before, "drain signal")

    def apply_leaving_list(
        self, now: float, addresses: typing.Collection[str]
    ) -> list[Change]:
        """Adopt the set of servers that the platform lists as leaving.

        The list lags behind, so a missing entry does not cancel a drain signal of
        the server itself.
        """
        changes: list[Change] = []
        for row in self._rows.values():
            before = row.state()
            row.is_listed_leaving = row.address in addresses
            changes += self._finish_update(now, row, before, "instance list")
        return changes

    def state(self, now: float, address: str) -> model.ServerState:
        """Return the state of a server; unlisted for an unknown address."""
        row = self._rows.get(address)
        return model.ServerState.UNLISTED if row is None else row.state()

    def may_send(self, now: float, address: str) -> tuple[bool, str]:
        """Return whether work may be sent, and the state that decides this.

        If `needs_permit` is true, the send also needs a cold permit.
        """
        state = self.state(now, address)
        if state in (model.ServerState.READY, model.ServerState.COLD):
            return True, state.value
        if state is model.ServerState.SILENT:
            return self._rows[address].may_retry_silent(now), state.value
        return False, state.value

    def needs_permit(self, now: float, address: str) -> bool:
        """Return whether each send, probes included, needs a cold permit.

        A dead or leaving server is expected to answer its next request from a new
        process, so it counts as cold whatever is known of its incarnation.
        """
        row = self._rows.get(address)
        if row is None or row.incarnations.is_cold():
            return True
        # Runs at every send, so it skips the other checks of `state`.
        return row.dead_at is not None or row.is_leaving()

    def is_probe_due(self, now: float, address: str) -> bool:
        """Return whether one probe may be sent now.

        A probe of a leaving server must be a status request. In other states a
        sub-request may be the probe.
        """
        state = self.state(now, address)
        if state in (model.ServerState.READY, model.ServerState.UNLISTED):
            return False
        row = self._rows[address]
        if state is model.ServerState.SILENT and not row.may_retry_silent(now):
            return False
        return now >= row.next_probe

    def next_probe(self, address: str) -> float | None:
        """Return the time of the next probe in seconds, or None if none is needed."""
        row = self._rows.get(address)
        no_probe = (model.ServerState.READY, model.ServerState.UNLISTED)
        return None if row is None or row.state() in no_probe else row.next_probe

    def incarnation(self, address: str) -> str:
        """Return the running incarnation, or `""` if unknown or undecided."""
        row = self._rows.get(address)
        return "" if row is None else row.incarnations.current()

    def in_flight(self, address: str) -> int:
        """Return the number of sends in flight to a server."""
        row = self._rows.get(address)
        return 0 if row is None else row.in_flight

    def last_reply_at(self, address: str) -> float | None:
        """Return the time of the last reply of a server in seconds, or None."""
        row = self._rows.get(address)
        return None if row is None else row.last_reply

    def versions(self, index: str) -> dict[str, tuple[int, ...]]:
        """Return the versions of an index that each listed server holds.

        Returns
        -------
        dict of str to tuple of int
            Versions by address, without servers whose versions are unknown.
        """
        held: dict[str, tuple[int, ...]] = {}
        for row in self._rows.values():
            record = row.incarnations.current_record() if row.is_listed else None
            if record is not None:
                numbers = dict(record.versions).get(index)
                if numbers is not None:
                    held[row.address] = numbers
        return held

    def latency(self, address: str) -> float:
        """Return the average latency of a server, in seconds."""
        row = self._rows.get(address)
        if row is None or row.latency_s is None:
            return LATENCY_INITIAL_S
        return row.latency_s

    def hedge_delay(self, service: str) -> float:
        """Return the delay before a hedge of a service, in seconds; see `latencies`."""
        window = self._windows.get(service)
        delay_s = None if window is None else window.percentile()
        return HEDGE_INITIAL_S if delay_s is None else delay_s

    def list_unknown(self, count: int) -> tuple[str, ...]:
        """Return up to `count` listed servers without a known incarnation.

        Peers are asked for facts about them.
        """
        unknown = (
            address
            for address in self._fact_queue.list_addresses()
            if self._rows[address].is_listed
            and not self._rows[address].incarnations.possible
        )
        return tuple(itertools.islice(unknown, count))

    def facts(
        self, now: float, asked: typing.Iterable[str] = ()
    ) -> tuple[server_facts.Fact, ...]:
        """Return the facts of the next digest.

        They cover the addresses in `asked`, the servers that changed, and a few
        others in rotation.
        """
        return self._fact_queue.pop_facts(
            asked, lambda address: self._make_facts(now, address)
        )

    def merge(
        self, now: float, peer: str, facts: typing.Iterable[server_facts.Fact]
    ) -> list[Change]:
        """Merge the facts of a peer.

        Parameters
        ----------
        now : float
            Time, in seconds.
        peer : str
            Incarnation of the entry instance that sent the facts.
        facts : iterable of facts.Fact
            The facts. Those about unlisted servers are ignored.
        """
        changes: list[Change] = []
        for fact in facts:
            row = self._rows.get(fact.address)
            if row is None or not row.is_listed or peer == self._instance:
                continue
            before = row.state()
            trust_warm_up = now >= row.ignore_warm_until
            if row.incarnations.merge(now, peer, fact, trust_warm_up):
                row.update_phases(now)
                changes += self._finish_update(now, row, before, f"peer {peer}")
        return changes

    def _apply_replica(
        self,
        now: float,
        service: model.Service,
        replica: model.Replica,
        is_listed: bool,
    ) -> list[Change]:
        """Add or update the row of a replica; a newly listed server counts as cold."""
        row = self._rows.get(replica.address)
        was_known = row is not None
        if row is None:
            row = serverrows.ServerRow(
                replica.address, replica.zone, service.name, service.shape
            )
            self._rows[replica.address] = row
        before = row.state()
        if is_listed and not row.is_listed:
            row.reset_to_cold(now, was_known)
        row.zone, row.service, row.shape = replica.zone, service.name, service.shape
        row.is_listed, row.is_removed = is_listed, False
        return self._finish_update(now, row, before, "configuration")

    def _unlist(self, now: float, address: str) -> list[Change]:
        """Mark a server as removed.

        Its row is deleted by a later configuration, once no send is in flight.
        """
        row = self._rows[address]
        before = row.state()
        row.is_listed = False
        if row.is_removed and row.in_flight == 0:
            del self._rows[address]
        row.is_removed = True
        return self._finish_update(now, row, before, "configuration")

    def _record_incarnation(
        self,
        now: float,
        row: serverrows.ServerRow,
        record: server_facts.IncarnationRecord,
        stated: model.ServerState,
        versions: typing.Mapping[str, typing.Iterable[int]],
        sent: float,
    ) -> None:
        """Record the state and versions that a reply reports for its incarnation."""
        if record.first_reply is None:
            record.first_reply = now
        if stated is model.ServerState.LEAVING:
            record.phase = server_facts.Phase.LEAVING
        if sent >= record.newest_sent:
            record.reports_cold = stated is model.ServerState.COLD
            held = tuple(
                (name, tuple(sorted(numbers)))
                for name, numbers in sorted(versions.items())
            )
            if held != record.versions:
                self._fact_queue.mark_changed(row.address)
            record.update_versions(now, held)

    def _record_request(
        self,
        now: float,
        row: serverrows.ServerRow,
        record: server_facts.IncarnationRecord,
        latency_s: float,
    ) -> None:
        """Count an answered request and record its latency."""
        row.latency_s = latencies.average(row.latency_s, latency_s)
        window = self._windows.setdefault(row.service, latencies.LatencyWindow())
        window.add(latency_s)
        if record.phase is server_facts.Phase.COLD:
            record.answered[self._instance] = record.answered.get(self._instance, 0) + 1
            self._fact_queue.mark_changed(row.address)

    def _finish_update(
        self,
        now: float,
        row: serverrows.ServerRow,
        before: model.ServerState,
        cause: str,
        is_restart: bool = False,
    ) -> list[Change]:
        """Return the transition since `before`, if any.

        On a transition the facts of the server are queued for the next digests.
        """
        after = row.state()
        if before is after and not is_restart:
            return []
        if after is model.ServerState.LEAVING:
            row.next_probe = now + serverrows.LEAVING_PROBE_INTERVAL_S
        if row.is_listed:
            self._fact_queue.mark_changed(row.address)
        return [Change(row.address, before, after, cause)]

    def _make_facts(self, now: float, address: str) -> list[server_facts.Fact]:
        row = self._rows.get(address)
        if row is None or not row.is_listed:
            return []
        return [
            record.make_fact(now, address, incarnation, self._instance)
            for incarnation, record in row.incarnations.possible.items()
        ]

    def _draw_jitter(self) -> float:
        """Return a random factor that spreads the probes of many entry instances."""
        return self._random.uniform(JITTER_MIN, 1.0)
