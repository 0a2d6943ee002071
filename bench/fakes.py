"""Fakes of the interfaces of entry instances, for tests and benchmarks.

They connect real engines to the stand-in backend servers within one process. All times
are taken from the clock of trio, so a mock clock runs everything in virtual time.
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

LOCAL_LATENCY_S = 0.0002
"""One-way latency within an availability zone."""

PLATFORM_LATENCY_S = 0.002
"""Time until the fake platform handles a read."""


def make_deterministic(seed: int) -> None:
    """Make the order in which trio runs ready tasks depend on the seed alone.

    trio shuffles ready tasks by design. The same generator is seeded here as by its
    hypothesis integration.
    """
    trio_run = trio.lowlevel.__dict__.get("_run") or trio._core._run
    trio_run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio_run._r.seed(seed)


_SERVICE_UNREACHABLE = errors.SourceFailure(errors.SourceErrorKind.UNREACHABLE, "down")


class FakeConnection:
    """Connection to a stand-in backend server."""

    def __init__(self, server: backend.BackendServer):
        self.opened_at = trio.current_time()
        self.server = server
        self.last_active_at = self.opened_at
        self.is_new = True


class FakeClient(httpclient.ServerClient):
    """Client that calls stand-in backend servers directly.

    Parameters
    ----------
    servers : dict
        Stand-in backend servers by address.
    limit : callable
        Returns the maximum number of connections to an address.
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
        self.is_isolated = False

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
        started_at = trio.current_time()
        connection: FakeConnection | None = None
        sent = is_complete = False
        try:
            with trio.move_on_after(call.timeout_s):
                acquired = await self._acquire(call)
                if isinstance(acquired, events.SendCause):
                    return httpclient.ExchangeFailure(acquired, False, True)
                connection = acquired
                if on_first_byte and not on_first_byte(connection.last_active_at):
                    is_complete = True
                    return httpclient.ExchangeFailure(
                        events.SendCause.NO_CONNECTION, False, connection.is_new
                    )
                sent = True
                reply = await self._send_request(call, connection)
                is_new = connection.is_new
                if reply is None:
                    lost = events.SendCause.CONNECTION_LOST
                    return httpclient.ExchangeFailure(lost, True, is_new)
                is_complete = True
                latency_s = trio.current_time() - started_at
                headers = dict(connection.server.list_headers()) | dict(reply.headers)
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
                self._release(call.address, connection, is_complete)

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
            await trio.sleep(server.shape.connect_s + self._get_latency_s(server))
            if self.is_isolated:
                await trio.sleep(httpclient.CONNECT_TIMEOUT_S)
                self._open[address] -= 1
                return events.SendCause.CONNECT_TIMEOUT
            server.record_arrival()
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

    async def _send_request(
        self, call: events.SendToServer, connection: FakeConnection
    ) -> backend.Reply | None:
        server = connection.server
        await trio.sleep(self._get_latency_s(server))
        if self.is_isolated or connection.opened_at <= server.silent_before:
            await trio.sleep_forever()
        request = backend.Request(call.method, call.path, dict(call.headers), call.body)
        reply = await server.answer(request)
        await trio.sleep(self._get_latency_s(server))
        if self.is_isolated or connection.opened_at <= server.silent_before:
            await trio.sleep_forever()
        return reply

    def _get_latency_s(self, server: backend.BackendServer) -> float:
        return LOCAL_LATENCY_S if server.replica.zone == self._zone else ZONE_LATENCY_S

    def _release(
        self, address: str, connection: FakeConnection, is_complete: bool
    ) -> None:
        if not is_complete:
            self._close(address, connection)
            return
        connection.last_active_at = trio.current_time()
        connection.is_new = False
        self._idle[address].append(connection)

    def _close(self, address: str, connection: FakeConnection) -> None:
        self._open[address] -= 1
        connection.server.connections -= 1


class FakePlatform(sources.ConfigurationSource, sources.InstanceSource):
    """In-memory configuration service and instance list of a platform."""

    def __init__(self, text: bytes):
        self.revision = 1
        self.text = text
        self.is_down = False
        self.instances: tuple[model.ListedInstance, ...] = ()
        self.reads = 0
        self._changed_event = trio.Event()

    def publish(self, text: bytes) -> None:
        """Publish a text as the next revision."""
        self.revision += 1
        self.text = text
        self._changed_event.set()
        self._changed_event = trio.Event()

    async def read(
        self, after: int, wait_s: float
    ) -> result.Result[messages.ConfigurationText | None, typing.Any]:
        """Return a text newer than `after`; see `sources.ConfigurationSource`."""
        self.reads += 1
        await trio.sleep(PLATFORM_LATENCY_S)
        if self.is_down:
            return result.Err(_SERVICE_UNREACHABLE)
        if self.revision <= after:
            with trio.move_on_after(wait_s):
                await self._changed_event.wait()
        if self.is_down:
            return result.Err(_SERVICE_UNREACHABLE)
        if self.revision <= after:
            return result.Ok(None)
        text = messages.ConfigurationText(revision=self.revision, text=self.text)
        return result.Ok(text)

    async def list(
        self,
    ) -> result.Result[tuple[model.ListedInstance, ...], typing.Any]:
        """Return the instances; see `sources.InstanceSource`."""
        await trio.sleep(PLATFORM_LATENCY_S)
        if self.is_down:
            return result.Err(_SERVICE_UNREACHABLE)
        return result.Ok(self.instances)


class FakeLink(peers.PeerLink):
    """Peer link that calls the runner of the peer directly.

    Calls to an unreachable peer fail after a delay, as calls over a network do.

    Parameters
    ----------
    fleet : Fleet
        Fleet of both entry instances.
    source, target : str
        Peer addresses of the caller of the link and of the peer.
    """

    def __init__(self, fleet: "Fleet", source: str, target: str):
        self._fleet = fleet
        self._source = source
        self._target = target

    async def _find_peer(self) -> runner.Runner | None:
        """Return the runner of the peer after one trip; None if it is unreachable."""
        await trio.sleep(ZONE_LATENCY_S)
        return self._fleet.find_reachable(self._source, self._target)

    async def exchange(self, digest: messages.Digest) -> typing.Any:
        """Exchange digests; see `peers.PeerLink`."""
        peer = await self._find_peer()
        if peer is None:
            return await _fail_after(peers.EXCHANGE_TIMEOUT_S)
        answer = await peer.exchange(digest)
        return result.Ok(answer) if await self._find_peer() else await _fail_after(0.0)

    async def fetch_configuration(
        self, request: messages.ConfigurationRequest
    ) -> typing.Any:
        """Fetch a newer configuration; see `peers.PeerLink`."""
        peer = await self._find_peer()
        if peer is None:
            return await _fail_after(peers.FETCH_TIMEOUT_S)
        return result.Ok(await peer.fetch_configuration(request))

    async def forward(self, request: messages.ForwardRequest) -> typing.Any:
        """Forward a request; see `peers.PeerLink`."""
        peer = await self._find_peer()
        if peer is None:
            return await _fail_after(min(1.0, request.deadline_s))
        answer = await peer.forward(request)
        return result.Ok(answer) if await self._find_peer() else await _fail_after(0.0)

    def close(self) -> None:
        """Do nothing, since no connection is open; see `peers.PeerLink`."""


async def _fail_after(delay_s: float) -> result.Err[errors.LinkFailure]:
    await trio.sleep(delay_s)
    failure = errors.LinkFailure(errors.LinkErrorKind.UNKNOWN, "no answer")
    return result.Err(failure)


class PausableRunner(runner.Runner):
    """Runner that can be paused, as SIGSTOP pauses a process.

    Events that arrive during a pause are kept in order, as in socket buffers, and are
    handled on resumption.
    """

    def __init__(self, core: engine.Engine, interfaces: runner.Interfaces):
        super().__init__(core, interfaces)
        self._backlog: list[events.Event] = []
        self._resumed: trio.Event | None = None

    def pause(self) -> None:
        """Stop handling events."""
        self._resumed = trio.Event()

    def resume(self) -> None:
        """Handle the events that arrived during the pause and continue."""
        assert self._resumed is not None
        self._resumed.set()
        self._resumed = None
        backlog, self._backlog = self._backlog, []
        for event in backlog:
            self.submit(event)

    def submit(self, event: events.Event) -> None:
        """Pass an event to the engine, or keep it during a pause."""
        if self._resumed is not None:
            self._backlog.append(event)
        else:
            super().submit(event)

    async def exchange(self, digest: messages.Digest) -> messages.Digest:
        """Answer a digest, during a pause only after its end."""
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
        """Interface of the entry instance to its callers."""
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
        Runs the entry instances until cancelled.
    text : bytes
        Configuration text, which also lists the stand-in backend servers.
    configuration : model.Configuration
        The same text, parsed.
    seed : int
        Seed of all pseudo-random choices.
    straggler_rate : float
        Fraction of sub-requests that are delayed as stragglers.
    is_cold : bool
        Whether the backend servers start cold.
    size : int
        Number of entry instances that each lists as peers in its settings.
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
        self._disconnected_pairs: set[frozenset[str]] = set()

    async def start(
        self, name: str, zone: str, source: FakePlatform | None = None
    ) -> Entry:
        """Start an entry instance; none of the same name may be running.

        Parameters
        ----------
        name : str
            Name that ends in a dash and a number from 1 to 8.
        zone : str
            Availability zone.
        source : FakePlatform, optional
            Configuration service that it reads; that of the fleet by default.
        """
        number = int(name.rsplit("-", 1)[1])
        peer_addresses = tuple(
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
            peer_addresses,
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
            lambda address: self._make_link(entry, address),
            entry.output,
        )
        entry.runner = PausableRunner(core, interfaces)
        self.entries[name] = self._by_address[identity.peer_address] = entry
        await self._nursery.start(self._run, entry)
        return entry

    def _make_link(self, entry: Entry, address: str) -> FakeLink:
        entry.links_made.add(address)
        return FakeLink(self, entry.core.identity.peer_address, address)

    async def _run(self, entry: Entry, task_status: trio.TaskStatus[None]) -> None:
        with entry.scope:
            await entry.runner.run(task_status)

    def crash(self, name: str) -> None:
        """Stop an entry instance abruptly, as a crash does."""
        entry = self.entries.pop(name)
        self._by_address.pop(entry.core.identity.peer_address, None)
        entry.scope.cancel()

    def disconnect(self, one: str, other: str) -> None:
        """Disconnect two entry instances from each other."""
        self._disconnected_pairs.add(frozenset((one, other)))

    def reconnect_all(self) -> None:
        """Reconnect all disconnected entry instances."""
        self._disconnected_pairs.clear()

    def find_reachable(self, source: str, target: str) -> runner.Runner | None:
        """Return the runner at a peer address; None if stopped or disconnected."""
        entry = self._by_address.get(target)
        source_entry = self._by_address.get(source)
        if entry is None or source_entry is None:
            return None
        if frozenset((source_entry.name, entry.name)) in self._disconnected_pairs:
            return None
        return entry.runner

    def count(self, name: str) -> int:
        """Return the sum of one counter over all backend servers."""
        return sum(server.counters[name] for server in self.servers.values())
