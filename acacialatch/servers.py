"""State of each backend server as one entry instance sees it."""

import itertools
import random
import typing

from acacialatch import facts as server_facts
from acacialatch import latencies, model, serverrows

# Hedge delay of a service with too few latencies, in seconds.
HEDGE_INITIAL_S = 0.05
# Latency assumed for a server that has not answered yet, in seconds.
LATENCY_INITIAL_S = 0.01
# Smallest factor applied to the delay between probes.
JITTER_MIN = 0.5

Cause = serverrows.Cause


class Change(typing.NamedTuple):
    """A transition of one backend server, for the audit trail.

    A restart seen in a reply is a change even if the state stays the same.
    """

    address: str
    before: model.ServerState
    after: model.ServerState
    cause: str


class ServerTable:
    """State of all backend servers of the configuration.

    Parameters
    ----------
    instance : str
        Incarnation of this entry instance; it names its own counts.
    seed : int
        Seed of the jitter of probes.
    facts_max : int
        Most facts in one digest.

    Notes
    -----
    Methods that name an unknown address do nothing or answer as for an unlisted
    server, since replies may arrive after a server was removed. The `observe` and
    `set` methods and `merge` return the transitions that they caused.
    """

    def __init__(
        self, instance: str, seed: int, facts_max: int = server_facts.FACTS_MAX
    ) -> None:
        self._instance = instance
        self._random = random.Random(seed)
        self._rows: dict[str, serverrows.Row] = {}
        self._windows: dict[str, latencies.LatencyWindow] = {}
        self._queue = server_facts.FactQueue(facts_max)

    def apply_configuration(
        self, now: float, configuration: model.Configuration
    ) -> list[Change]:
        """Put a configuration in force.

        A server that was removed or whose zone is out becomes unlisted. A server
        that comes back counts as cold.
        """
        changes: list[Change] = []
        wanted: set[str] = set()
        for service in configuration.services.values():
            for replica in service.replicas:
                wanted.add(replica.address)
                is_listed = replica.zone not in configuration.zones_out
                changes += self._list(now, service, replica, is_listed)
        for address in [key for key in self._rows if key not in wanted]:
            changes += self._remove(now, address)
        self._windows = {
            name: window
            for name, window in self._windows.items()
            if name in configuration.services
        }
        self._queue.set_addresses(wanted)
        return changes

    def observe_send(self, now: float, address: str) -> list[Change]:
        """Note that a request, probe or connection set-up was sent."""
        row = self._rows.get(address)
        if row is None:
            return []
        row.in_flight += 1
        row.last_sent, row.is_tried = now, True
        if row.state() is not model.ServerState.READY:
            delay_s = row.probe_delay() * self._jitter()
            row.next_probe = max(row.next_probe, now + delay_s)
        return []

    def observe_end(self, now: float, address: str) -> list[Change]:
        """Note that a send ended, in whichever way; once for each send."""
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
        """Note a reply.

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
            Versions held, by index.
        latency_s : float
            Time since the request was sent, in seconds. It decides whether the
            reply is newer than what is known.
        is_request : bool
            False for a status probe, whose reply counts neither as an answered
            request nor for the latency.
        """
        row = self._rows.get(address)
        if row is None:
            return []
        before = row.state()
        former = row.runs.current()
        sent = now - latency_s
        run = row.runs.record_reply(now, incarnation, sent)
        if run is None:
            return []
        is_restart = former not in ("", row.runs.current())
        row.latency_s = None if is_restart else row.latency_s
        row.heard = now
        row.clear_failures(sent)
        self._note_run(now, row, run, stated, versions, sent)
        if is_request:
            self._note_request(now, row, run, latency_s)
        row.raise_phase(now)
        cause = "restart" if is_restart else f"reply {stated.value}"
        return self._finish(now, row, before, cause, is_restart)

    def observe_failure(
        self,
        now: float,
        address: str,
        cause: serverrows.Cause,
        is_new_connection: bool,
        retry_after_s: float = 0.0,
    ) -> list[Change]:
        """Note a send that failed.

        Parameters
        ----------
        now : float
            Time of the failure, in seconds.
        address : str
            Address of the backend server.
        cause : serverrows.Cause
            How it failed.
        is_new_connection : bool
            Whether no reply had yet been received on this connection.
        retry_after_s : float
            Delay that a server asked for when it shed load, in seconds.
        """
        row = self._rows.get(address)
        if row is None:
            return []
        before = row.state()
        if cause is serverrows.Cause.SHED:
            row.note_shed(now, retry_after_s)
        elif row.is_deadly(cause, is_new_connection):
            row.note_dead(now, self._jitter())
        else:
            row.silent = row.next_probe = now
        row.is_tried = False
        return self._finish(now, row, before, cause.value)

    def observe_drain(self, now: float, address: str) -> list[Change]:
        """Note the drain signal of a server; it holds for its incarnation."""
        row = self._rows.get(address)
        if row is None:
            return []
        before = row.state()
        for run in row.runs.open.values():
            run.phase = server_facts.Phase.LEAVING
        if not row.runs.open:
            row.drained = now
        return self._finish(now, row, before, "drain signal")

    def apply_leaving_list(
        self, now: float, addresses: typing.Collection[str]
    ) -> list[Change]:
        """Note which servers the platform lists as leaving.

        The list lags: its silence does not undo the server's own drain signal.
        """
        changes: list[Change] = []
        for row in self._rows.values():
            before = row.state()
            row.listed_leaving = row.address in addresses
            changes += self._finish(now, row, before, "instance list")
        return changes

    def state(self, now: float, address: str) -> model.ServerState:
        """Return the state of a server; unlisted for an unknown address."""
        row = self._rows.get(address)
        return model.ServerState.UNLISTED if row is None else row.state()

    def may_send(self, now: float, address: str) -> tuple[bool, str]:
        """Return whether work may be sent, and the state that decides.

        Work for which `needs_permit` holds needs a cold permit in addition.
        """
        state = self.state(now, address)
        if state in (model.ServerState.READY, model.ServerState.COLD):
            return True, state.value
        if state is model.ServerState.SILENT:
            return self._rows[address].may_try(now), state.value
        return False, state.value

    def needs_permit(self, now: float, address: str) -> bool:
        """Return whether each send, probes included, needs a cold permit.

        A dead or leaving server answers its next request from a new process, so
        it counts as cold whatever is known of its incarnation.
        """
        row = self._rows.get(address)
        if row is None or row.runs.is_cold():
            return True
        # As `state` would tell, without its other checks: this runs at every send.
        return row.dead is not None or row.is_leaving()

    def is_probe_due(self, now: float, address: str) -> bool:
        """Return whether one probe may be sent now.

        A probe of a leaving server must be a status request. In other states a
        sub-request may serve as the probe.
        """
        state = self.state(now, address)
        if state in (model.ServerState.READY, model.ServerState.UNLISTED):
            return False
        row = self._rows[address]
        if state is model.ServerState.SILENT and not row.may_try(now):
            return False
        return now >= row.next_probe

    def next_probe(self, address: str) -> float | None:
        """Return the time at which a probe is due, or None if none is needed."""
        row = self._rows.get(address)
        no_probe = (model.ServerState.READY, model.ServerState.UNLISTED)
        return None if row is None or row.state() in no_probe else row.next_probe

    def incarnation(self, address: str) -> str:
        """Return the incarnation of a server, or `""` if it is not known."""
        row = self._rows.get(address)
        return "" if row is None else row.runs.current()

    def in_flight(self, address: str) -> int:
        """Return the number of sends that have not ended."""
        row = self._rows.get(address)
        return 0 if row is None else row.in_flight

    def last_reply_at(self, address: str) -> float | None:
        """Return the time of the last reply, or None."""
        row = self._rows.get(address)
        return None if row is None else row.heard

    def versions(self, index: str) -> dict[str, tuple[int, ...]]:
        """Return the versions of an index that each listed server holds.

        Returns
        -------
        dict of str to tuple of int
            Versions by address; servers of which nothing is known are left out.
        """
        held: dict[str, tuple[int, ...]] = {}
        for row in self._rows.values():
            run = row.runs.current_run() if row.is_listed else None
            if run is not None:
                numbers = dict(run.versions).get(index)
                if numbers is not None:
                    held[row.address] = numbers
        return held

    def latency(self, address: str) -> float:
        """Return the latency average of a server, in seconds."""
        row = self._rows.get(address)
        if row is None or row.latency_s is None:
            return LATENCY_INITIAL_S
        return row.latency_s

    def hedge_delay(self, service: str) -> float:
        """Return the delay before a hedge in seconds; see `latencies`."""
        window = self._windows.get(service)
        delay_s = None if window is None else window.percentile()
        return HEDGE_INITIAL_S if delay_s is None else delay_s

    def list_unknown(self, count: int) -> tuple[str, ...]:
        """Return servers of which nothing is known, to ask peers about them."""
        unknown = (
            address
            for address in self._queue.addresses()
            if self._rows[address].is_listed and not self._rows[address].runs.open
        )
        return tuple(itertools.islice(unknown, count))

    def facts(
        self, now: float, asked: typing.Iterable[str] = ()
    ) -> tuple[server_facts.Fact, ...]:
        """Return the facts of the next digest.

        They are about the addresses that peers asked for, the servers that changed,
        and a few others in rotation.
        """
        return self._queue.take(asked, lambda address: self._facts_of(now, address))

    def merge(
        self, now: float, peer: str, facts: typing.Iterable[server_facts.Fact]
    ) -> list[Change]:
        """Join the facts of a peer.

        Parameters
        ----------
        now : float
            Time, in seconds.
        peer : str
            Incarnation of the entry instance that sent the facts.
        facts : iterable of facts.Fact
            The facts. Those about servers that are not listed are ignored.
        """
        changes: list[Change] = []
        for fact in facts:
            row = self._rows.get(fact.address)
            if row is None or not row.is_listed or peer == self._instance:
                continue
            before = row.state()
            trust_progress = now >= row.distrust_until
            if row.runs.merge(now, peer, fact, trust_progress):
                row.raise_phase(now)
                changes += self._finish(now, row, before, f"peer {peer}")
        return changes

    def _list(
        self,
        now: float,
        service: model.Service,
        replica: model.Replica,
        is_listed: bool,
    ) -> list[Change]:
        row = self._rows.get(replica.address)
        was_known = row is not None
        if row is None:
            row = serverrows.Row(
                replica.address, replica.zone, service.name, service.shape
            )
            self._rows[replica.address] = row
        before = row.state()
        if is_listed and not row.is_listed:
            row.return_cold(now, was_known)
        row.zone, row.service, row.shape = replica.zone, service.name, service.shape
        row.is_listed, row.is_removed = is_listed, False
        return self._finish(now, row, before, "configuration")

    def _remove(self, now: float, address: str) -> list[Change]:
        row = self._rows[address]
        before = row.state()
        row.is_listed = False
        if row.is_removed and row.in_flight == 0:
            del self._rows[address]
        row.is_removed = True
        return self._finish(now, row, before, "configuration")

    def _note_run(
        self,
        now: float,
        row: serverrows.Row,
        run: server_facts.Run,
        stated: model.ServerState,
        versions: typing.Mapping[str, typing.Iterable[int]],
        sent: float,
    ) -> None:
        """Note what a reply says about its incarnation."""
        if run.first is None:
            run.first = now
        if stated is model.ServerState.LEAVING:
            run.phase = server_facts.Phase.LEAVING
        if sent >= run.sent:
            run.reports_cold = stated is model.ServerState.COLD
            held = tuple(
                (name, tuple(sorted(numbers)))
                for name, numbers in sorted(versions.items())
            )
            if held != run.versions:
                self._queue.add(row.address)
            run.hold_versions(now, held)

    def _note_request(
        self, now: float, row: serverrows.Row, run: server_facts.Run, latency_s: float
    ) -> None:
        """Note an answered request in the counts and latencies."""
        row.latency_s = latencies.average(row.latency_s, latency_s)
        window = self._windows.setdefault(row.service, latencies.LatencyWindow())
        window.add(latency_s)
        if run.phase is server_facts.Phase.COLD:
            run.answered[self._instance] = run.answered.get(self._instance, 0) + 1
            self._queue.add(row.address)

    def _finish(
        self,
        now: float,
        row: serverrows.Row,
        before: model.ServerState,
        cause: str,
        is_restart: bool = False,
    ) -> list[Change]:
        """Return the transition, if any, and queue the facts of the server."""
        after = row.state()
        if before is after and not is_restart:
            return []
        if after is model.ServerState.LEAVING:
            row.next_probe = now + serverrows.LEAVING_PROBE_S
        if row.is_listed:
            self._queue.add(row.address)
        return [Change(row.address, before, after, cause)]

    def _facts_of(self, now: float, address: str) -> list[server_facts.Fact]:
        row = self._rows.get(address)
        if row is None or not row.is_listed:
            return []
        return [
            run.make_fact(now, address, incarnation, self._instance)
            for incarnation, run in row.runs.open.items()
        ]

    def _jitter(self) -> float:
        """Return a factor that keeps probes of many instances apart."""
        return self._random.uniform(JITTER_MIN, 1.0)
