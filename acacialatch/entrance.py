"""Sockets, timers and signals around the forwarder."""

import abc
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
    entrysettings,
    errors,
    exposition,
    forwarder,
    forwarding,
    gossip,
    httpserver,
    logs,
    members,
    registry,
    store,
)

LEAVE_S = 2.5
"""Time after a stop signal for which new requests are still served, in seconds.

Callers keep addresses for their lifetime, and the directory of other entry instances
takes a moment to learn of the stop.
"""

CLOSE_STEP_S = 0.02
"""Period in seconds of the check whether the last connection has closed."""

FLUSH_S = 0.1
"""Time in seconds for the last answers to leave before the process ends."""

RELOAD_PERIOD_S = 1.0
"""Period in seconds at which the settings file is looked at."""

HOUSEKEEPING_S = 0.25
"""Period in seconds of work that no event starts."""

BATCHES_PER_CORE = 8
"""Batches that an entry instance handles at once without delay, for each core."""

LOG_DESCRIPTOR = 1
"""Standard output."""


class AddressRequest(typing.NamedTuple):
    """A caller asks which addresses to use.

    Attributes
    ----------
    zone : str
        Availability zone of the caller; empty if it did not say.
    """

    zone: str


class CallerProtocol(abc.ABC):
    """Translates between callers' HTTP messages and requests and answers."""

    @abc.abstractmethod
    def decode(
        self, message: httpserver.Request
    ) -> forwarding.Request | errors.ErrorKind:
        """Return the request, or why it cannot be taken."""

    @abc.abstractmethod
    def encode(
        self, request: forwarding.Request | None, answer: forwarding.Answer
    ) -> httpserver.Response:
        """Return the HTTP message for an answer."""

    @abc.abstractmethod
    def is_readiness(self, message: httpserver.Request) -> bool:
        """Return whether this asks if callers may be sent here."""

    @abc.abstractmethod
    def decode_address_request(
        self, message: httpserver.Request
    ) -> AddressRequest | None:
        """Return a question which addresses to use, or None if it is something else."""

    @abc.abstractmethod
    def encode_addresses(
        self, addresses: list[str], lifetime_s: float
    ) -> httpserver.Response:
        """Return the answer to the question which addresses to use."""


class Interfaces(typing.NamedTuple):
    """What the deployment speaks."""

    callers: CallerProtocol
    backends: backendclient.BackendProtocol
    store: store.Store


class _Waiting:
    """A caller's request until its answer."""

    def __init__(self) -> None:
        self.done = trio.Event()
        self.answer: forwarding.Answer | None = None


class _BatchReceiver(backendclient.Receiver):
    """Takes what becomes of batches that were sent to other entry instances."""

    def __init__(
        self,
        target: forwarder.Forwarder,
        perform: typing.Callable[[list[forwarding.Action]], None],
    ):
        self._forwarder = target
        self._perform = perform

    def handle_reply(self, number: int, reply: backendclient.Outcome) -> None:
        assert isinstance(reply, forwarding.BatchReply)
        self._perform(
            self._forwarder.handle_batch_reply(trio.current_time(), number, reply)
        )

    def handle_failure(self, number: int, failure: forwarding.SendFailure) -> None:
        now = trio.current_time()
        self._perform(self._forwarder.handle_batch_failure(now, number, failure))


class EntryInstance(backendclient.Receiver):
    """One entry instance that serves the forwarding interface.

    Parameters
    ----------
    settings : entrysettings.EntrySettings
        Checked settings.
    interfaces : Interfaces
        Protocols of the deployment.
    reload : callable
        Returns new settings, or what is wrong with them, if they have changed.
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
        chance = random.SystemRandom()
        self._forwarder = forwarder.Forwarder(
            settings.zone,
            settings.budgets,
            chance.getrandbits(32),
            trio.current_time(),
        )
        self._registry = registry.Registry(self._forwarder)
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
        self._members = members.MemberTable(own, settings.seeds, chance.getrandbits(32))
        self._follower = store.StoreWatcher(
            interfaces.store,
            self._registry,
            self._take_notes,
            settings.watch_s,
            settings.pause_s,
        )
        self._load = addresses.LoadMeter()
        self._log = logs.Log(LOG_DESCRIPTOR)
        self._waiting: dict[int, _Waiting] = {}
        self._latencies: dict[str, exposition.Histogram] = {}
        self._wake = trio.Event()
        self._timer_at = math.inf
        self._stopping = False
        self._in_progress = 0

    async def run(self) -> None:
        """Serve until a stop signal.

        Raises
        ------
        OSError
            An address of the settings cannot be used.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._log.run)
            self._client = backendclient.BackendClient(
                self._interfaces.backends, self, nursery
            )
            self._peers = backendclient.BackendClient(
                batchlink.BatchProtocol(),
                _BatchReceiver(self._forwarder, self._perform),
                nursery,
            )
            self._gossip = gossip.Gossip(self._members, self._count_members)
            await nursery.start(self._gossip.run)
            self._callers = httpserver.Server(
                self._handle, self._refuse, self._report_error, self._read_limits
            )
            accepting = trio.CancelScope()
            listener = await httpserver.listen(self._settings.caller_address)
            nursery.start_soon(
                httpserver.serve_until_cancelled,
                self._callers,
                listener,
                accepting,
                nursery,
            )
            await self._serve_questions(nursery)
            await self._serve_batches(nursery)
            nursery.start_soon(self._follower.run)
            nursery.start_soon(self._run_timers)
            nursery.start_soon(self._keep_house)
            nursery.start_soon(self._watch_settings)
            logs.write(
                logs.Part.PROCESS,
                "started",
                name=self._settings.name,
                zone=self._settings.zone,
                address=self._settings.caller_address,
                incarnation=self._members.own.incarnation,
            )
            await self._wait_for_stop(accepting)
            logs.write(logs.Part.PROCESS, "stopped", open=self._forwarder.open_count)
            nursery.cancel_scope.cancel()

    # Requests of callers.

    async def _handle_batch(self, message: httpserver.Request) -> httpserver.Response:
        found = batchlink.decode_request(message)
        if found is None:
            logs.write(logs.Part.REQUEST, "batch is malformed", peer=message.peer)
            return self._refuse(errors.ErrorKind.MALFORMED_REQUEST.value)
        now = trio.current_time()
        if isinstance(found, forwarding.Batch):
            number, actions = self._forwarder.accept_batch(now, found)
        else:
            number, actions = self._forwarder.accept_continuation(now, found)
        answer = await self._wait_for_answer(number, actions)
        return batchlink.encode_answer(answer)

    async def _handle(self, message: httpserver.Request) -> httpserver.Response:
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
        waiting = _Waiting()
        self._waiting[number] = waiting
        try:
            self._perform(actions)
            await waiting.done.wait()
        except trio.Cancelled:
            self._perform(
                self._forwarder.handle_caller_gone(trio.current_time(), number)
            )
            raise
        finally:
            del self._waiting[number]
        assert waiting.answer is not None
        return waiting.answer

    def _refuse(self, kind: str) -> httpserver.Response:
        answer = forwarding.ErrorReply(errors.ErrorKind(kind))
        return self._interfaces.callers.encode(None, answer)

    def _report_error(self, error: Exception) -> None:
        logs.write(logs.Part.PROCESS, "defect", error=repr(error))

    def _read_limits(self) -> httpserver.Limits:
        deployed = self._forwarder.deployment
        if deployed is None:
            return httpserver.Limits()
        return httpserver.Limits(*deployed.limits)

    # What becomes of sends.

    def handle_reply(self, number: int, reply: backendclient.Outcome) -> None:
        """Take a whole reply; see `backendclient.Receiver`."""
        assert isinstance(reply, forwarding.Reply)
        self._perform(self._forwarder.handle_reply(trio.current_time(), number, reply))

    def handle_failure(self, number: int, failure: forwarding.SendFailure) -> None:
        """Take a failure; see `backendclient.Receiver`."""
        now = trio.current_time()
        self._perform(self._forwarder.handle_failure(now, number, failure))

    # Actions.

    def _perform(self, actions: list[forwarding.Action]) -> None:
        for action in actions:
            match action:
                case forwarding.Send():
                    self._client.send(action)
                case forwarding.SendBatch():
                    self._peers.send(action)
                case forwarding.Cancel():
                    self._client.cancel(action.number)
                    self._peers.cancel(action.number)
                case forwarding.Respond():
                    waiting = self._waiting.get(action.exchange)
                    if waiting is not None:
                        waiting.answer = action.answer
                        waiting.done.set()
                case forwarding.LogEntry():
                    self._write_note(action)
        if self._forwarder.next_time() < self._timer_at:
            self._wake.set()

    def _write_note(self, note: forwarding.LogEntry) -> None:
        if note.values.get("outcome") == "answered":
            route = note.values["route"]
            histogram = self._latencies.setdefault(route, exposition.Histogram())
            histogram.add(note.values["ms"] / 1000)
        logs.write(logs.Part(note.part), note.text, **note.values)

    def _take_notes(self, notes: list[forwarding.LogEntry]) -> None:
        for note in notes:
            self._write_note(note)
        self._update_readiness()

    # Periodic work.

    async def _run_timers(self) -> None:
        while True:
            self._wake = trio.Event()
            self._timer_at = self._forwarder.next_time()
            with trio.move_on_at(self._timer_at):
                await self._wake.wait()
            now = trio.current_time()
            if now >= self._forwarder.next_time():
                self._perform(self._forwarder.handle_timers(now))

    async def _keep_house(self) -> None:
        while True:
            await trio.sleep(HOUSEKEEPING_S)
            now = trio.current_time()
            self._take_notes(self._registry.handle_timers(now))
            sends = self._forwarder.sends_made
            self._members.set_load(self._load.record_sends(now, sends))
            self._count_members()

    def _count_members(self) -> None:
        now = trio.current_time()
        count = self._members.count_sharing(now)
        self._forwarder.set_instances(count)
        self._forwarder.set_peers(now, self._list_peers(now))

    def _list_peers(self, now: float) -> list[backends.Entry]:
        ready = self._members.list_ready(now)
        return [
            backends.Entry(
                f"{one.name}/{one.incarnation}",
                one.zone,
                one.gossip_address,
                one.zone,
                max(1, int(BATCHES_PER_CORE * one.capacity)),
                False,
                0.0,
            )
            for one in addresses.choose_batch_peers(ready, self._settings.zone)
        ]

    def _update_readiness(self) -> None:
        ready = not self._stopping and self._forwarder.deployment is not None
        if self._members.set_ready(ready):
            logs.write(logs.Part.MEMBERSHIP, "readiness changed", ready=ready)

    async def _watch_settings(self) -> None:
        with trio.open_signal_receiver(signal.SIGHUP) as received:
            while True:
                with trio.move_on_after(RELOAD_PERIOD_S):
                    await received.__anext__()
                changed = self._reload()
                if isinstance(changed, result.Ok):
                    self._forwarder.set_budgets(changed.ok_value.budgets)
                    self._members.set_seeds(changed.ok_value.seeds)
                    logs.write(logs.Part.PROCESS, "settings reloaded")
                elif changed is not None:
                    reason = changed.err_value
                    logs.write(logs.Part.PROCESS, "settings refused", reason=reason)

    # Questions of callers and of the platform.

    async def _serve_questions(self, nursery: trio.Nursery) -> None:
        chosen = self._settings
        for address, handler in (
            (chosen.readiness_address, self._answer_readiness),
            (chosen.directory_address, self._answer_addresses),
            (chosen.metrics_address, self._answer_metrics),
        ):
            if address:
                server = httpserver.Server(handler, self._refuse, self._report_error)
                listener = await httpserver.listen(address)
                nursery.start_soon(httpserver.serve_listener, server, listener, nursery)

    async def _serve_batches(self, nursery: trio.Nursery) -> None:
        server = httpserver.Server(self._handle_batch, self._refuse, self._report_error)
        listener = await httpserver.listen(self._settings.gossip_address)
        nursery.start_soon(httpserver.serve_listener, server, listener, nursery)

    async def _answer_readiness(
        self, message: httpserver.Request
    ) -> httpserver.Response:
        if not self._interfaces.callers.is_readiness(message):
            return self._refuse(errors.ErrorKind.UNKNOWN_PATH.value)
        return httpserver.Response(200 if self._members.own.ready else 503, b"{}")

    async def _answer_addresses(
        self, message: httpserver.Request
    ) -> httpserver.Response:
        protocol = self._interfaces.callers
        question = protocol.decode_address_request(message)
        if question is None:
            return self._refuse(errors.ErrorKind.UNKNOWN_PATH.value)
        ready = self._members.list_ready(trio.current_time())
        if not ready:
            return self._refuse(errors.ErrorKind.NO_CONFIGURATION.value)
        named = addresses.choose_advertised(ready, question.zone)
        return protocol.encode_addresses(
            sorted(one.caller_address for one in named),
            self._settings.address_lifetime_s,
        )

    async def _answer_metrics(self, message: httpserver.Request) -> httpserver.Response:
        if message.path != self._settings.metrics_path:
            return self._refuse(errors.ErrorKind.UNKNOWN_PATH.value)
        now = trio.current_time()
        last_contact_at = self._registry.last_contact_at
        sample = exposition.Sample(
            {
                **{name: float(n) for name, n in self._forwarder.counts.items()},
                "store_reads": float(self._follower.reads),
                "store_failures": float(self._follower.failures),
                "store_unreadable": float(self._registry.invalid_values),
                "connections_opened": float(self._client.opened),
                "log_dropped": float(self._log.dropped),
                "digests_malformed": float(self._gossip.malformed),
            },
            {
                "requests_open": float(self._forwarder.open_count),
                "backend_connections": float(self._client.connections),
                "backend_servers": float(len(self._forwarder.backends)),
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

    # Stop.

    async def _wait_for_stop(self, accepting: trio.CancelScope) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            await received.__anext__()
            self._stopping = True
            logs.write(
                logs.Part.PROCESS, "stop signal", open=self._forwarder.open_count
            )
            self._update_readiness()
            self._callers.announce_close()
            await self._gossip.send_digest(self._members.list_all_targets())
            with trio.move_on_after(self._settings.stop_s):
                await trio.sleep(LEAVE_S)
                accepting.cancel()
                self._callers.close_idle()
                while self._callers.connections:
                    await trio.sleep(CLOSE_STEP_S)
                return
            self._perform(self._forwarder.stop(trio.current_time()))
            await trio.sleep(FLUSH_S)
