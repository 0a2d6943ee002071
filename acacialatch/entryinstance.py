"""Process of one entry instance: sockets, timers and signals around the forwarder."""

import abc
import functools
import math
import random
import signal
import time
import typing

import result
import trio

from acacialatch import (
    addresses,
    backendclient,
    backends,
    batchlink,
    defects,
    entrysettings,
    errors,
    exposition,
    forwarder,
    forwarding,
    freshness,
    gossip,
    httpserver,
    logs,
    members,
    registry,
    sockets,
    store,
)

LEAVE_DELAY_S = 2.5
"""Time after a stop signal during which new requests are still served, in seconds.

Callers keep addresses for their lifetime, and the directories of other entry instances
learn of the stop with a delay.
"""

CLOSE_POLL_PERIOD_S = 0.02
"""Time between checks whether the last connection has closed, in seconds."""

FLUSH_TIMEOUT_S = 0.4
"""Longest time for sending the last answers before the process ends, in seconds."""

RELOAD_PERIOD_S = 1.0
"""Time between checks of the settings file for changes, in seconds."""

HOUSEKEEPING_PERIOD_S = 0.25
"""Period of the work that no event starts, in seconds."""

IDLE_LOAD_CORES = 0.003
"""Load in processor cores below which an instance reads the store less often."""

IDLE_AFTER_S = 8.0
"""Time in seconds after the start from which an instance may count as idle."""

ACTIVE_CALLS_PER_S = 5.0
INACTIVE_CALLS_PER_S = 2.5
"""Calls per second at which an instance begins and ceases to share rate limits.

An instance that callers hardly use would leave its share of a limit unused.
"""

PAUSE_THRESHOLD_S = 1.0
"""Time in seconds between two runs of the periodic work that shows a pause."""

BATCHES_PER_CORE_MAX = 8
"""Concurrent batches per processor core that an entry instance handles undelayed."""

LOG_FILE_DESCRIPTOR = 1
"""File descriptor of standard output."""


class AddressRequest(typing.NamedTuple):
    """Request of a caller for the addresses of entry instances.

    Attributes
    ----------
    zone : str
        Availability zone of the caller; empty if not given.
    """

    zone: str


class CallerProtocol(abc.ABC):
    """Protocol of callers: converts HTTP messages to requests, and answers back."""

    @abc.abstractmethod
    def decode(
        self, message: httpserver.Request
    ) -> forwarding.Request | errors.ErrorKind:
        """Return the request, or the error with which it is refused."""

    @abc.abstractmethod
    def encode(
        self, request: forwarding.Request | None, answer: forwarding.Answer
    ) -> httpserver.Response:
        """Return the HTTP response for an answer.

        `request` is None if it could not be decoded.
        """

    @abc.abstractmethod
    def is_readiness(self, message: httpserver.Request) -> bool:
        """Return whether the message is a readiness check."""

    @abc.abstractmethod
    def decode_address_request(
        self, message: httpserver.Request
    ) -> AddressRequest | None:
        """Return the request for addresses, or None for another message."""

    @abc.abstractmethod
    def encode_addresses(
        self, addresses: list[str], lifetime_s: float
    ) -> httpserver.Response:
        """Return the response to a request for addresses.

        Parameters
        ----------
        addresses : list of str
            IP addresses and ports of entry instances.
        lifetime_s : float
            How long the caller may use them, in seconds.
        """


class Interfaces(typing.NamedTuple):
    """Protocols of the deployment.

    Attributes
    ----------
    callers : CallerProtocol
        Protocol of callers.
    backends : backendclient.BackendProtocol
        Protocol of backend servers.
    store : store.Store
        Store that holds the registrations of backend servers.
    """

    callers: CallerProtocol
    backends: backendclient.BackendProtocol
    store: store.Store


class _PendingAnswer:
    """Answer that a handler waits for."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.answer: forwarding.Answer | None = None


class _BatchReceiver(backendclient.Receiver):
    """Receives the outcomes of batches that were sent to other entry instances."""

    def __init__(
        self,
        target: forwarder.Forwarder,
        carry_out: typing.Callable[[list[forwarding.Action]], None],
    ):
        self._forwarder = target
        self._carry_out = carry_out

    def handle_reply(self, number: int, reply: backendclient.Outcome) -> None:
        assert isinstance(reply, forwarding.BatchReply)
        self._carry_out(
            self._forwarder.handle_batch_reply(trio.current_time(), number, reply)
        )

    def handle_failure(self, number: int, failure: forwarding.SendFailure) -> None:
        now = trio.current_time()
        self._carry_out(self._forwarder.handle_batch_failure(now, number, failure))


class EntryInstance(backendclient.Receiver):
    """Process of one entry instance that serves the forwarding interface.

    Parameters
    ----------
    settings : entrysettings.EntrySettings
        Checked settings.
    interfaces : Interfaces
        Protocols of the deployment.
    reload : callable
        Returns the new settings, or why they are invalid, or None if they have not
        changed.
    """

    def __init__(
        self,
        settings: entrysettings.EntrySettings,
        interfaces: Interfaces,
        reload: typing.Callable[
            [], result.Result[entrysettings.EntrySettings, str] | None
        ],
    ):
        self._settings = settings
        self._interfaces = interfaces
        self._reload = reload
        self._started_at = trio.current_time()
        random_source = random.SystemRandom()
        self._defects = defects.DefectLog()
        self._evidence = freshness.Evidence(settings.reads, settings.lapse_s)
        self._forwarder = forwarder.Forwarder(
            settings.zone,
            settings.budgets,
            random_source.getrandbits(32),
            trio.current_time(),
            self._evidence,
        )
        self._registry = registry.Registry(
            self._forwarder, self._evidence, settings.registration_lifetime_s
        )
        own = members.Member(
            settings.name,
            time.time_ns() // 1_000_000,
            0,
            settings.caller_address,
            settings.gossip_address,
            settings.zone,
            False,
            settings.capacity,
        )
        self._members = members.MemberTable(
            own, settings.seeds, random_source.getrandbits(32)
        )
        self._store_watcher = store.StoreWatcher(
            interfaces.store,
            self._registry,
            self._write_log_entries,
            settings.reads,
            self._choose_read_pause,
            self._evidence,
            self._defects,
        )
        self._load_meter = addresses.LoadMeter()
        self._demand_meter = addresses.LoadMeter()
        self._members.unsettle(self._started_at)
        self._log = logs.Log(LOG_FILE_DESCRIPTOR)
        self._pending_answers: dict[int, _PendingAnswer] = {}
        self._latencies: dict[str, exposition.Histogram] = {}
        self._timer_changed = trio.Event()
        self._wakes_at = math.inf
        self._stopping = False
        self._batches_malformed = 0
        self._settings_refused = 0

    async def run(self) -> None:
        """Serve until a stop signal.

        Raises
        ------
        OSError
            An address in the settings cannot be bound.
        """
        # A signal that arrives during the start is handled as soon as it is over.
        with (
            trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as stops,
            trio.open_signal_receiver(signal.SIGHUP) as reloads,
        ):
            await self._run(stops, reloads)

    async def _run(
        self, stops: typing.AsyncIterator[int], reloads: typing.AsyncIterator[int]
    ) -> None:
        """Serve until `stops` yields a signal."""
        async with trio.open_nursery() as nursery:
            self._start_task(nursery, "log", self._log.run)
            self._backend_client = backendclient.BackendClient(
                self._interfaces.backends,
                self,
                nursery,
                functools.partial(self._defects.record, "replies"),
            )
            self._batch_client = backendclient.BackendClient(
                batchlink.BatchProtocol(),
                _BatchReceiver(self._forwarder, self._carry_out),
                nursery,
                functools.partial(self._defects.record, "replies of peers"),
            )
            self._gossip = gossip.Gossip(
                self._members,
                self._apply_members,
                self._forwarder.limits.list_news,
                self._merge_limit_news,
                self._defects,
            )
            await nursery.start(self._gossip.run)
            self._caller_server = httpserver.Server(
                self._handle_request,
                self._make_error_response,
                functools.partial(self._defects.record, "requests of callers"),
                self._read_limits,
            )
            accepting = trio.CancelScope()
            await self._start_listener(
                nursery,
                self._settings.caller_address,
                lambda listener: httpserver.serve_until_cancelled(
                    self._caller_server, listener, accepting, nursery
                ),
            )
            await self._serve_http_endpoints(nursery)
            await self._serve_batches(nursery)
            self._start_task(nursery, "store watcher", self._store_watcher.run)
            self._start_task(nursery, "timers", self._run_timers)
            self._start_task(nursery, "housekeeping", self._run_housekeeping)
            self._start_task(
                nursery, "settings", functools.partial(self._watch_settings, reloads)
            )
            logs.write(
                logs.Part.PROCESS,
                "started",
                name=self._settings.name,
                zone=self._settings.zone,
                address=self._settings.caller_address,
                incarnation=self._members.own.incarnation,
            )
            await self._wait_for_stop(accepting, stops)
            logs.write(logs.Part.PROCESS, "stopped", open=self._forwarder.open_count)
            nursery.cancel_scope.cancel()

    def _start_task(
        self,
        nursery: trio.Nursery,
        task: str,
        function: typing.Callable[[], typing.Awaitable[None]],
    ) -> None:
        """Start a task that runs until the process stops, whatever it meets."""
        nursery.start_soon(self._defects.keep_running, task, function)

    async def _start_listener(
        self,
        nursery: trio.Nursery,
        address: str,
        serve: typing.Callable[[trio.SocketListener], typing.Awaitable[None]],
    ) -> None:
        """Listen on an address and start the task that accepts its connections.

        Raises
        ------
        OSError
            The address cannot be bound.
        """

        async def open_listener() -> trio.SocketListener:
            return await sockets.wait_until_bound(
                address, lambda: httpserver.listen(address)
            )

        opened = [await open_listener()]

        async def serve_address() -> None:
            listener = opened.pop() if opened else await open_listener()
            # A listener that failed is closed, so that it can be opened again.
            async with listener:
                await serve(listener)

        self._start_task(nursery, f"listener on {address}", serve_address)

    # Requests of callers.

    async def _handle_batch(self, message: httpserver.Request) -> httpserver.Response:
        decoded = batchlink.decode_request(message)
        if decoded is None:
            self._batches_malformed += 1
            logs.write(logs.Part.REQUEST, "batch is malformed", peer=message.peer)
            return self._make_error_response(errors.ErrorKind.MALFORMED_REQUEST.value)
        now = trio.current_time()
        if isinstance(decoded, forwarding.Batch):
            number, actions = self._forwarder.accept_batch(now, decoded)
        else:
            number, actions = self._forwarder.accept_continuation(now, decoded)
        answer = await self._wait_for_answer(number, actions)
        return batchlink.encode_answer(answer)

    async def _handle_request(self, message: httpserver.Request) -> httpserver.Response:
        protocol = self._interfaces.callers
        request = protocol.decode(message)
        if isinstance(request, errors.ErrorKind):
            logs.write(
                logs.Part.REQUEST, "refused", error=request.value, path=message.path
            )
            return protocol.encode(None, forwarding.ErrorReply(request))
        now = trio.current_time()
        answer = await self._wait_for_answer(*self._forwarder.accept(now, request))
        return protocol.encode(request, answer)

    async def _wait_for_answer(
        self, number: int, actions: list[forwarding.Action]
    ) -> forwarding.Answer:
        """Carry out the first actions of a request and wait for its answer.

        If the caller disconnects meanwhile, the forwarder is told to end the request.
        """
        pending = _PendingAnswer()
        self._pending_answers[number] = pending
        try:
            self._carry_out(actions)
            await pending.done.wait()
        except trio.Cancelled:
            self._carry_out(
                self._forwarder.handle_caller_gone(trio.current_time(), number)
            )
            raise
        finally:
            del self._pending_answers[number]
        assert pending.answer is not None
        return pending.answer

    def _make_error_response(self, kind: str) -> httpserver.Response:
        answer = forwarding.ErrorReply(errors.ErrorKind(kind))
        return self._interfaces.callers.encode(None, answer)

    def _read_limits(self) -> httpserver.Limits:
        deployment = self._forwarder.deployment
        if deployment is None:
            return httpserver.Limits()
        return httpserver.Limits(*deployment.limits)

    # Outcomes of sends.

    def handle_reply(self, number: int, reply: backendclient.Outcome) -> None:
        """Handle a complete reply; see `backendclient.Receiver`."""
        assert isinstance(reply, forwarding.Reply)
        self._carry_out(
            self._forwarder.handle_reply(trio.current_time(), number, reply)
        )

    def handle_failure(self, number: int, failure: forwarding.SendFailure) -> None:
        """Handle a failed send; see `backendclient.Receiver`."""
        now = trio.current_time()
        self._carry_out(self._forwarder.handle_failure(now, number, failure))

    # Actions.

    def _carry_out(self, actions: list[forwarding.Action]) -> None:
        for action in actions:
            match action:
                case forwarding.Send():
                    self._backend_client.send(action)
                case forwarding.SendBatch():
                    self._batch_client.send(action)
                case forwarding.Cancel():
                    self._backend_client.cancel(action.number)
                    self._batch_client.cancel(action.number)
                case forwarding.Respond():
                    pending = self._pending_answers.get(action.exchange)
                    if pending is not None:
                        pending.answer = action.answer
                        pending.done.set()
                case forwarding.LogEntry():
                    self._write_log_entry(action)
        if self._forwarder.next_time() < self._wakes_at:
            self._timer_changed.set()

    def _write_log_entry(self, entry: forwarding.LogEntry) -> None:
        """Write a log entry; that of an answered request also counts its latency."""
        if entry.values.get("outcome") == "answered":
            route = entry.values["route"]
            histogram = self._latencies.setdefault(route, exposition.Histogram())
            histogram.add(entry.values["ms"] / 1000)
        logs.write(logs.Part(entry.part), entry.text, **entry.values)

    def _write_log_entries(self, entries: list[forwarding.LogEntry]) -> None:
        for entry in entries:
            self._write_log_entry(entry)
        self._update_readiness()

    # Periodic work.

    async def _run_timers(self) -> None:
        """Run the timers of the forwarder when they are due."""
        while True:
            self._timer_changed = trio.Event()
            self._wakes_at = self._forwarder.next_time()
            with trio.move_on_at(self._wakes_at):
                await self._timer_changed.wait()
            now = trio.current_time()
            if now >= self._forwarder.next_time():
                with self._defects.survive("timers"):
                    self._carry_out(self._forwarder.handle_timers(now))

    async def _run_housekeeping(self) -> None:
        """Run the timers of the registry, and update the load and the members."""
        previous = trio.current_time()
        while True:
            await trio.sleep(HOUSEKEEPING_PERIOD_S)
            with self._defects.survive("housekeeping"):
                now = trio.current_time()
                if now - previous > PAUSE_THRESHOLD_S:
                    self._members.unsettle(now)
                previous = now
                self._write_log_entries(self._registry.handle_timers(now))
                self._write_log_entries(self._forwarder.limits.remove_expired(now))
                sends = self._forwarder.sends_made
                self._members.set_load(self._load_meter.record_sends(now, sends))
                if self._update_activity(now):
                    await self._gossip.send_digest(self._members.list_all_targets())
                self._apply_members()

    def _update_activity(self, now: float) -> bool:
        """Announce whether there are many requests; return whether that is a change."""
        calls = self._forwarder.calls_requested
        # The meter converts calls to processor time, which is converted back here.
        demand = self._demand_meter.record_sends(now, calls) / addresses.SEND_CPU_S
        own = self._members.own
        threshold = INACTIVE_CALLS_PER_S if own.active else ACTIVE_CALLS_PER_S
        return self._members.set_active(now, demand >= threshold)

    def _choose_read_pause(self) -> float:
        """Return the pause between a change in the store and the next read, in seconds.

        Most instances of a large fleet are not advertised and need what they read only
        if others fail; all reads of the fleet count against the rate of the store.
        """
        running_s = trio.current_time() - self._started_at
        is_idle = self._members.own.load < IDLE_LOAD_CORES
        if running_s > IDLE_AFTER_S and is_idle:
            return self._settings.reads.idle_pause_s
        return self._settings.reads.pause_s

    def _apply_members(self) -> None:
        """Pass the entry instances to the forwarder, and exchange what they have read.

        If others have read more of the store, the next read is made at once.
        """
        now = trio.current_time()
        position = self._registry.position
        self._members.set_report(now, self._evidence.make_report(now, position))
        reports = self._members.list_reports(now)
        if self._evidence.record_reports(now, position, reports):
            logs.write(logs.Part.CONFIG, "others know more", **position._asdict())
            self._store_watcher.hasten()
        self._forwarder.set_sharing(now, self._members.get_sharing(now))
        self._forwarder.set_peers(now, self._list_peers(now))

    def _merge_limit_news(
        self, now: float, news: tuple[members.LimitNews, ...]
    ) -> None:
        self._write_log_entries(self._forwarder.limits.merge_news(now, news))

    def _list_peers(self, now: float) -> list[backends.Entry]:
        """Return the peers that batches may be sent to.

        The forwarder treats them as backend servers whose service is their zone.
        """
        ready = self._members.list_ready(now)
        return [
            backends.Entry(
                f"{member.name}/{member.incarnation}",
                member.zone,
                member.gossip_address,
                member.zone,
                max(1, int(BATCHES_PER_CORE_MAX * member.capacity)),
                False,
                0.0,
            )
            for member in addresses.choose_batch_peers(ready, self._settings.zone)
        ]

    def _update_readiness(self) -> None:
        """Be ready while there is a deployment and no stop signal has arrived."""
        ready = not self._stopping and self._forwarder.deployment is not None
        if self._members.set_ready(ready):
            logs.write(logs.Part.MEMBERSHIP, "readiness changed", ready=ready)

    async def _watch_settings(self, reloads: typing.AsyncIterator[int]) -> None:
        """Apply changed settings, on a signal and every `RELOAD_PERIOD_S`."""
        while True:
            with trio.move_on_after(RELOAD_PERIOD_S):
                await anext(reloads)
            reloaded = self._reload()
            if isinstance(reloaded, result.Ok):
                self._forwarder.set_budgets(reloaded.ok_value.budgets)
                self._members.set_seeds(reloaded.ok_value.seeds)
                logs.write(logs.Part.PROCESS, "settings reloaded")
            elif reloaded is not None:
                reason = reloaded.err_value
                self._settings_refused += 1
                logs.write(logs.Part.PROCESS, "settings refused", reason=reason)

    # Endpoints for callers, the platform and other entry instances.

    async def _serve_http_endpoints(self, nursery: trio.Nursery) -> None:
        chosen = self._settings
        for address, handler in (
            (chosen.readiness_address, self._answer_readiness),
            (chosen.directory_address, self._answer_addresses),
            (chosen.metrics_address, self._answer_metrics),
        ):
            if address:
                await self._serve_address(nursery, address, handler)

    async def _serve_batches(self, nursery: trio.Nursery) -> None:
        address = self._settings.gossip_address
        await self._serve_address(nursery, address, self._handle_batch)

    async def _serve_address(
        self, nursery: trio.Nursery, address: str, handler: httpserver.Handler
    ) -> None:
        """Listen on an address, and serve its connections until the process stops."""
        server = httpserver.Server(
            handler,
            self._make_error_response,
            functools.partial(self._defects.record, f"requests at {address}"),
        )
        await self._start_listener(
            nursery,
            address,
            lambda listener: httpserver.serve_listener(server, listener, nursery),
        )

    async def _answer_readiness(
        self, message: httpserver.Request
    ) -> httpserver.Response:
        if not self._interfaces.callers.is_readiness(message):
            return self._make_error_response(errors.ErrorKind.UNKNOWN_PATH.value)
        return httpserver.Response(200 if self._members.own.ready else 503, b"{}")

    async def _answer_addresses(
        self, message: httpserver.Request
    ) -> httpserver.Response:
        protocol = self._interfaces.callers
        request = protocol.decode_address_request(message)
        if request is None:
            return self._make_error_response(errors.ErrorKind.UNKNOWN_PATH.value)
        ready = self._members.list_ready(trio.current_time())
        if not ready:
            return self._make_error_response(errors.ErrorKind.NO_CONFIGURATION.value)
        advertised = addresses.choose_advertised(ready, request.zone)
        return protocol.encode_addresses(
            sorted(member.caller_address for member in advertised),
            self._settings.address_lifetime_s,
        )

    async def _answer_metrics(self, message: httpserver.Request) -> httpserver.Response:
        if message.path != self._settings.metrics_path:
            return self._make_error_response(errors.ErrorKind.UNKNOWN_PATH.value)
        now = trio.current_time()
        last_contact_at = self._registry.last_contact_at
        sample = exposition.Sample(
            {
                **{name: float(n) for name, n in self._forwarder.counts.items()},
                **{name: float(n) for name, n in self._forwarder.send_counts.items()},
                "store_reads": float(self._store_watcher.reads),
                "store_failures": float(self._store_watcher.failures),
                "store_reads_hastened": float(self._store_watcher.hastened),
                "store_unreadable": float(self._registry.invalid_values),
                "connections_opened": float(self._backend_client.opened),
                "connections_passed_over": float(self._backend_client.passed_over),
                "log_dropped": float(self._log.dropped),
                "digests_malformed": float(self._gossip.malformed),
                "batches_malformed": float(self._batches_malformed),
                "settings_refused": float(self._settings_refused),
                "defects": float(self._defects.counts.total()),
            },
            {
                "requests_open": float(self._forwarder.open_count),
                "backend_connections": float(self._backend_client.connections),
                "backend_servers": float(len(self._forwarder.backends)),
                "backend_servers_limited": float(len(self._forwarder.limits)),
                "entry_instances": float(self._members.count_sharing(now)),
                "store_silent_s": math.inf
                if last_contact_at is None
                else now - last_contact_at,
                "ready": float(self._members.own.ready),
            },
            self._latencies,
        )
        text = exposition.render(sample)
        return httpserver.Response(200, text, (), "text/plain; version=0.0.4")

    # Shutdown.

    async def _wait_for_stop(
        self, accepting: trio.CancelScope, stops: typing.AsyncIterator[int]
    ) -> None:
        """Wait for a stop signal, then shut down.

        New requests are served for `LEAVE_DELAY_S`; then callers' connections are
        closed as they become idle, and batches of peers are finished. What is in
        progress when the stop time of the settings has passed is answered at once.
        What is read afterwards is refused until the last connection has closed.
        """
        await anext(stops)
        self._stopping = True
        self._forwarder.announce_stop(trio.current_time() + self._settings.stop_s)
        logs.write(logs.Part.PROCESS, "stop signal", open=self._forwarder.open_count)
        self._update_readiness()
        self._caller_server.announce_close()
        await self._gossip.send_digest(self._members.list_all_targets())
        with trio.move_on_after(self._settings.stop_s):
            await trio.sleep(LEAVE_DELAY_S)
            accepting.cancel()
            self._caller_server.close_idle()
            while self._caller_server.connections or self._forwarder.open_count:
                await trio.sleep(CLOSE_POLL_PERIOD_S)
            return
        self._carry_out(self._forwarder.stop(trio.current_time()))
        with trio.move_on_after(FLUSH_TIMEOUT_S):
            while self._caller_server.connections:
                await trio.sleep(CLOSE_POLL_PERIOD_S)
