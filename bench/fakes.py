"""Fakes at the interfaces of entry instances, for tests and measurements.

They join real engines with the stand-in backend servers inside one process. Time
is the clock of trio, so a mock clock runs everything in virtual time.
"""

import collections
import json
import random
import typing

import result
import trio
import trio.lowlevel

from acacialatch import (
    engine,
    errors,
    events,
    gateway,
    httpclient,
    httpserver,
    messages,
    model,
    outputs,
    peers,
    runner,
    sources,
)
from standins import backend

ZONE_LATENCY_S = 0.0015
"""One-way latency between availability zones."""


def make_deterministic(seed: int) -> None:
    """Make the order in which trio runs ready tasks depend on the seed alone.

    trio shuffles ready tasks on purpose. Its integration with hypothesis seeds the
    same generator in the same way.
    """
    scheduler = trio.lowlevel.__dict__.get("_run") or trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(seed)


_DOWN = errors.SourceFailure(errors.SourceErrorKind.UNREACHABLE, "down")


class FakeConnection:
    """A connection to a stand-in backend server."""

    def __init__(self, server: backend.BackendServer):
        self.opened = trio.current_time()
        self.server = server
        self.last_active_at = self.opened
        self.is_new = True


class FakeClient(httpclient.ServerClient):
    """Client that calls stand-in backend servers directly.

    Parameters
    ----------
    servers : dict
        Stand-in backend servers by address.
    limit : callable
        Returns the most connections to an address.
    zone : str
        Availability zone of the entry instance.
    """

    def __init__(
        self,
        servers: dict[str, backend.BackendServer],
        limit: typing.Callable[[str], int],
        zone: str,
    ):
        self._servers = servers
        self._limit = limit
        self._zone = zone
        self._idle: dict[str, list[FakeConnection]] = collections.defaultdict(list)
        self._open: collections.Counter[str] = collections.Counter()
        self.is_cut = False

    def count_open(self, address: str) -> int:
        """Return the number of open connections."""
        return self._open[address]

    def count_idle(self, address: str) -> int:
        """Return the number of idle connections."""
        return len(self._idle[address])

    async def exchange(
        self,
        call: events.SendToServer,
        on_first_byte: typing.Callable[[float], bool] | None = None,
    ) -> httpclient.Reply | httpclient.ExchangeFailure:
        """Run one exchange; see `httpclient.ServerClient`."""
        started = trio.current_time()
        connection: FakeConnection | None = None
        sent = is_whole = False
        try:
            with trio.move_on_after(call.timeout_s):
                taken = await self._acquire(call)
                if isinstance(taken, events.SendCause):
                    return httpclient.ExchangeFailure(taken, False, True)
                connection = taken
                if on_first_byte and not on_first_byte(connection.last_active_at):
                    is_whole = True
                    return httpclient.ExchangeFailure(
                        events.SendCause.NO_CONNECTION, False, connection.is_new
                    )
                sent = True
                reply = await self._talk(call, connection)
                is_new = connection.is_new
                if reply is None:
                    lost = events.SendCause.CONNECTION_LOST
                    return httpclient.ExchangeFailure(lost, True, is_new)
                is_whole = True
                latency_s = trio.current_time() - started
                headers = dict(connection.server.describe()) | dict(reply.headers)
                headers["x-request-id"] = dict(call.headers).get("x-request-id", "")
                body = json.dumps(reply.body).encode()
                return httpclient.Reply(reply.status, headers, body, latency_s, is_new)
            cause = (
                events.SendCause.NO_REPLY if sent else events.SendCause.CONNECT_TIMEOUT
            )
            return httpclient.ExchangeFailure(
                cause, sent, not connection or connection.is_new
            )
        finally:
            if connection is not None:
                self._release(call.address, connection, is_whole)

    async def _acquire(
        self, call: events.SendToServer
    ) -> FakeConnection | events.SendCause:
        server = self._servers[call.address]
        idle = self._idle[call.address]
        now = trio.current_time()
        while idle and now - idle[0].last_active_at > httpclient.IDLE_MAX_S:
            self._close(call.address, idle.pop(0))
        if idle and not (
            call.needs_live_connection
            and now - idle[-1].last_active_at > httpclient.CONNECTION_LIVE_S
        ):
            return idle.pop()
        if not call.may_connect:
            return events.SendCause.NO_CONNECTION
        if self._open[call.address] >= self._limit(call.address):
            if not idle:
                return events.SendCause.NO_CONNECTION
            self._close(call.address, idle.pop(0))
        return await self._connect(call.address, server)

    async def _connect(
        self, address: str, server: backend.BackendServer
    ) -> FakeConnection | events.SendCause:
        self._open[address] += 1
        try:
            await trio.sleep(server.shape.connect_s + self._latency(server))
            if self.is_cut:
                await trio.sleep(httpclient.CONNECT_TIMEOUT_S)
                self._open[address] -= 1
                return events.SendCause.CONNECT_TIMEOUT
            server.note_arrival()
            if server.is_down():
                self._open[address] -= 1
                return events.SendCause.CONNECT_REFUSED
        except trio.Cancelled:
            self._open[address] -= 1
            raise
        server.connections += 1
        server.counters["connections_peak"] = max(
            server.counters["connections_peak"], server.connections
        )
        return FakeConnection(server)

    async def _talk(
        self, call: events.SendToServer, connection: FakeConnection
    ) -> backend.Reply | None:
        server = connection.server
        await trio.sleep(self._latency(server))
        if self.is_cut or connection.opened <= server.silent_before:
            await trio.sleep_forever()
        exchange = backend.Exchange(
            call.method, call.path, dict(call.headers), call.body
        )
        reply = await server.answer(exchange)
        await trio.sleep(self._latency(server))
        if self.is_cut or connection.opened <= server.silent_before:
            await trio.sleep_forever()
        return reply

    def _latency(self, server: backend.BackendServer) -> float:
        return 0.0002 if server.replica.zone == self._zone else ZONE_LATENCY_S

    def _release(
        self, address: str, connection: FakeConnection, is_whole: bool
    ) -> None:
        if not is_whole:
            self._close(address, connection)
            return
        connection.last_active_at = trio.current_time()
        connection.is_new = False
        self._idle[address].append(connection)

    def _close(self, address: str, connection: FakeConnection) -> None:
        self._open[address] -= 1
        connection.server.connections -= 1


class FakePlatform(sources.ConfigurationSource, sources.InstanceSource):
    """Configuration service and instance list of a platform in memory."""

    def __init__(self, text: bytes):
        self.revision = 1
        self.text = text
        self.is_down = False
        self.instances: tuple[model.ListedInstance, ...] = ()
        self.reads = 0
        self._changed = trio.Event()

    def publish(self, text: bytes) -> None:
        """Publish a text under the next revision."""
        self.revision += 1
        self.text = text
        self._changed.set()
        self._changed = trio.Event()

    async def read(
        self, after: int, wait_s: float
    ) -> result.Result[messages.ConfigurationText | None, typing.Any]:
        """Return a text newer than `after`; see `sources.ConfigurationSource`."""
        self.reads += 1
        await trio.sleep(0.002)
        if self.is_down:
            return result.Err(_DOWN)
        if self.revision <= after:
            with trio.move_on_after(wait_s):
                await self._changed.wait()
        if self.is_down:
            return result.Err(_DOWN)
        if self.revision <= after:
            return result.Ok(None)
        text = messages.ConfigurationText(revision=self.revision, text=self.text)
        return result.Ok(text)

    async def list(
        self,
    ) -> result.Result[tuple[model.ListedInstance, ...], typing.Any]:
        """Return the instances; see `sources.InstanceSource`."""
        await trio.sleep(0.002)
        if self.is_down:
            return result.Err(_DOWN)
        return result.Ok(self.instances)


class FakeLink(peers.PeerLink):
    """Link that calls the runner of a peer directly."""

    def __init__(self, fleet: "Fleet", source: str, target: str):
        self._fleet = fleet
        self._source = source
        self._target = target

    async def _reach(self) -> runner.Runner | None:
        await trio.sleep(ZONE_LATENCY_S)
        return self._fleet.find_reachable(self._source, self._target)

    async def exchange(self, digest: messages.Digest) -> typing.Any:
        """Send the own digest; see `peers.PeerLink`."""
        peer = await self._reach()
        if peer is None:
            return await _fail_late(peers.EXCHANGE_TIMEOUT_S)
        answer = await peer.exchange(digest)
        return result.Ok(answer) if await self._reach() else await _fail_late(0.0)

    async def fetch_configuration(
        self, request: messages.ConfigurationRequest
    ) -> typing.Any:
        """Fetch a newer configuration; see `peers.PeerLink`."""
        peer = await self._reach()
        if peer is None:
            return await _fail_late(peers.FETCH_TIMEOUT_S)
        return result.Ok(await peer.fetch_configuration(request))

    async def forward(self, request: messages.ForwardRequest) -> typing.Any:
        """Forward a request; see `peers.PeerLink`."""
        peer = await self._reach()
        if peer is None:
            return await _fail_late(min(1.0, request.deadline_s))
        answer = await peer.forward(request)
        return result.Ok(answer) if await self._reach() else await _fail_late(0.0)

    def close(self) -> None:
        """Close the link; there is nothing to close."""


async def _fail_late(delay_s: float) -> result.Err[errors.LinkFailure]:
    await trio.sleep(delay_s)
    failure = errors.LinkFailure(errors.LinkErrorKind.UNKNOWN, "no answer")
    return result.Err(failure)


class PausableRunner(runner.Runner):
    """Runner that can be stopped like a process by SIGSTOP.

    Events that arrive during the pause wait in order, as they would in socket
    buffers, and are handled on resumption.
    """

    def __init__(self, core: engine.Engine, interfaces: runner.Interfaces):
        super().__init__(core, interfaces)
        self._backlog: list[events.Event] = []
        self._resumed: trio.Event | None = None

    def pause(self) -> None:
        """Stop handling events."""
        self._resumed = trio.Event()

    def resume(self) -> None:
        """Handle the events that arrived during the pause, then go on."""
        assert self._resumed is not None
        self._resumed.set()
        self._resumed = None
        backlog, self._backlog = self._backlog, []
        for event in backlog:
            self.submit(event)

    def submit(self, event: events.Event) -> None:
        """Feed an event to the engine, or keep it during a pause."""
        if self._resumed is not None:
            self._backlog.append(event)
        else:
            super().submit(event)

    async def exchange(self, digest: messages.Digest) -> messages.Digest:
        """Answer a digest after the pause, if any."""
        if self._resumed is not None:
            await self._resumed.wait()
        return await super().exchange(digest)


class Entry:
    """One entry instance of a fleet."""

    def __init__(self, name: str, zone: str, core: engine.Engine, client: FakeClient):
        self.name = name
        self.zone = zone
        self.core = core
        self.client = client
        self.output = outputs.MemoryOutput()
        self.runner: PausableRunner
        self.scope = trio.CancelScope()
        self.links_made: set[str] = set()

    @property
    def gateway(self) -> gateway.Gateway:
        """The entry instance as callers see it."""
        return self.runner.gateway

    async def post(
        self, path: str, body: dict[str, typing.Any], key: str = ""
    ) -> tuple[int, dict[str, typing.Any]]:
        """Send a request as a caller and return status and JSON body."""
        headers = {"idempotency-key": key} if key else {}
        request = httpserver.Request(
            "POST", path, "", headers, json.dumps(body).encode(), "127.0.0.1"
        )
        response = await self.gateway.handle(request)
        return response.status, json.loads(response.body)


class Fleet:
    """Entry instances and stand-in backend servers in one process.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs everything until cancelled.
    text : bytes
        Configuration text; the stand-ins play its backend servers.
    configuration : model.Configuration
        The same text, parsed.
    seed : int
        Seed of all pseudo-random choices.
    straggler_rate : float
        Fraction of slow sub-requests.
    is_cold : bool
        Whether the backend servers start cold.
    size : int
        Entry instances that know each other from their settings.
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        text: bytes,
        configuration: model.Configuration,
        seed: int = 1,
        straggler_rate: float = 0.01,
        is_cold: bool = False,
        size: int = 8,
    ):
        self._nursery = nursery
        self._random = random.Random(seed)
        servers = backend.make_servers(configuration, seed, straggler_rate, is_cold)
        self.servers = {server.replica.address: server for server in servers}
        self.platform = FakePlatform(text)
        self._size = size
        self.entries: dict[str, Entry] = {}
        self._by_address: dict[str, Entry] = {}
        self._cuts: set[frozenset[str]] = set()

    async def start(
        self, name: str, zone: str, source: FakePlatform | None = None
    ) -> Entry:
        """Start an entry instance; one of the same name must have ended.

        Parameters
        ----------
        name : str
            Name that ends in a dash and a number from 1 to 8.
        zone : str
            Availability zone.
        source : FakePlatform, optional
            Configuration service that it reads; the fleet's one by default.
        """
        number = int(name.rsplit("-", 1)[1])
        known = tuple(
            f"127.0.0.1:{7900 + other}"
            for other in range(1, self._size + 1)
            if other != number
        )
        identity = engine.Identity(
            name,
            zone,
            f"127.0.0.1:{7800 + number}",
            f"127.0.0.1:{7900 + number}",
            self._random.randbytes(16),
            self._random.randbytes(32),
            known,
        )
        core = engine.Engine(
            trio.current_time(), identity, self._random.getrandbits(32)
        )
        client = FakeClient(self.servers, core.connection_share, zone)
        entry = Entry(name, zone, core, client)
        interfaces = runner.Interfaces(
            client,
            source or self.platform,
            self.platform,
            lambda address: self._link(entry, address),
            entry.output,
        )
        entry.runner = PausableRunner(core, interfaces)
        self.entries[name] = self._by_address[identity.peer_address] = entry
        await self._nursery.start(self._run, entry)
        return entry

    def _link(self, entry: Entry, address: str) -> FakeLink:
        entry.links_made.add(address)
        return FakeLink(self, entry.core.identity.peer_address, address)

    async def _run(self, entry: Entry, task_status: trio.TaskStatus[None]) -> None:
        with entry.scope:
            await entry.runner.run(task_status)

    def crash(self, name: str) -> None:
        """End an entry instance without notice."""
        entry = self.entries.pop(name)
        self._by_address.pop(entry.core.identity.peer_address, None)
        entry.scope.cancel()

    def disconnect(self, one: str, other: str) -> None:
        """Cut two entry instances off from each other."""
        self._cuts.add(frozenset((one, other)))

    def reconnect_all(self) -> None:
        """Undo all cuts."""
        self._cuts.clear()

    def find_reachable(self, source: str, target: str) -> runner.Runner | None:
        """Return the runner at a peer address, unless it is cut off."""
        entry = self._by_address.get(target)
        origin = self._by_address.get(source)
        if entry is None or origin is None:
            return None
        if frozenset((origin.name, entry.name)) in self._cuts:
            return None
        return entry.runner

    def count(self, name: str) -> int:
        """Return the sum of one counter over all backend servers."""
        return sum(server.counters[name] for server in self.servers.values())
