"""Server and client of the gRPC service between entry instances.

grpclib is written for asyncio and runs under trio-asyncio on the loop and thread of
trio. Callers await the public coroutines of this module as trio coroutines, inside
`wire.open_loop`.
"""

import abc
import collections
import math
import random
import socket
import typing

import grpclib.client
import grpclib.const
import grpclib.exceptions
import result
import trio
import trio_asyncio

from acacialatch import errors, messages, model, wire

EXCHANGE_PATH = "/acacialatch.Peer/Exchange"
FETCH_PATH = "/acacialatch.Peer/FetchConfiguration"
FORWARD_PATH = "/acacialatch.Peer/Forward"

# Digests are sent every 0.5 s, and an instance that receives none for 3 s is isolated.
# A call that has to connect first must fail early enough for two further attempts.
CONNECT_TIMEOUT_S = 0.5
EXCHANGE_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 1.0
FORWARD_TIMEOUT_MAX_S = 60.0
CLOSE_TIMEOUT_S = 1.0
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 2.0
# A connection idle for longer may have died unnoticed. A forwarded request is never
# sent twice, so it must not start on such a connection.
CONNECTION_LIVE_S = 1.0
_Message = typing.TypeVar("_Message", bound=messages.Message)
_LinkResult: typing.TypeAlias = result.Result[_Message, errors.LinkFailure]


class PeerHandlers(abc.ABC):
    """Handlers of the calls that an entry instance receives from its peers.

    The methods are trio coroutines. A handler is cancelled when the calling peer
    disconnects or the deadline of the call passes.
    """

    @abc.abstractmethod
    async def exchange(self, digest: messages.Digest) -> messages.Digest:
        """Process the digest of a peer and return that of this instance."""

    @abc.abstractmethod
    async def fetch_configuration(
        self, request: messages.ConfigurationRequest
    ) -> messages.ConfigurationReply:
        """Return the configuration in force if the peer has an older one."""

    @abc.abstractmethod
    async def forward(self, request: messages.ForwardRequest) -> messages.ForwardReply:
        """Run a non-idempotent request whose key this instance issued."""


class PeerLink(abc.ABC):
    """Client for calls to one peer. Every call ends within a bounded time."""

    @abc.abstractmethod
    async def exchange(self, digest: messages.Digest) -> _LinkResult[messages.Digest]:
        """Send the digest of this instance and return that of the peer.

        Only one exchange runs at a time; a second one fails with `NOT_SENT`.
        """

    @abc.abstractmethod
    async def fetch_configuration(
        self, request: messages.ConfigurationRequest
    ) -> _LinkResult[messages.ConfigurationReply]:
        """Fetch the configuration of the peer if it is newer."""

    @abc.abstractmethod
    async def forward(
        self, request: messages.ForwardRequest
    ) -> _LinkResult[messages.ForwardReply]:
        """Forward a request and wait for the reply for at most `request.deadline_s`.

        After `NOT_SENT` and `REFUSED` the peer has not run the request; after
        `UNKNOWN` it may have run it. The request is never sent twice.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection; calls in progress fail."""


class PeerServer:
    """gRPC server for the calls of peers.

    Attributes
    ----------
    refused : collections.Counter
        Number of refused inputs by reason: `malformed`, `too_large`, `read_timeout`,
        `bytes` (not HTTP/2), and `handler` for calls whose handler failed.

    Parameters
    ----------
    handlers : PeerHandlers
        Handlers of the calls.
    limit : int
        Largest accepted and sent message in bytes.
    """

    def __init__(
        self, handlers: PeerHandlers, limit: int = messages.MESSAGE_MAX_BYTES
    ) -> None:
        self.refused: collections.Counter[str] = collections.Counter()
        self._handlers = handlers
        self._limit = limit

    async def serve(
        self,
        address: str,
        task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until cancelled, then close all connections.

        Parameters
        ----------
        address : str
            IP address and port; port 0 selects any free port.
        task_status : trio.TaskStatus
            Receives the bound address once the server accepts connections.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        listener = wire.bind(address)
        host, port = listener.getsockname()[:2]
        server = await trio_asyncio.aio_as_trio(self._start)(listener)
        try:
            task_status.started(model.join_address(host, port))
            await trio.sleep_forever()
        finally:
            with trio.move_on_after(CLOSE_TIMEOUT_S) as scope:
                scope.shield = True
                server.close()
                server.close_connections()
                await trio_asyncio.aio_as_trio(server.wait_closed)()

    async def _start(self, listener: socket.socket) -> wire.Server:
        handlers = self._handlers
        routes: dict[str, wire.Route] = {
            EXCHANGE_PATH: (handlers.exchange, messages.Digest),
            FETCH_PATH: (handlers.fetch_configuration, messages.ConfigurationRequest),
            FORWARD_PATH: (handlers.forward, messages.ForwardRequest),
        }
        service = wire.Service(routes, self.refused, self._limit)
        server = wire.Server(service, self.refused)
        await server.start(sock=listener)
        return server


class _Connection:
    """A gRPC channel, the time of its last activity and its calls in progress."""

    def __init__(self, channel: grpclib.client.Channel, now: float) -> None:
        self.channel = channel
        self.opened_at = now
        self.last_active_at = -math.inf
        self.calls_in_progress = 0
        self.retired = False

    def is_live(self, now: float) -> bool:
        """Return whether it was opened or active within `CONNECTION_LIVE_S`."""
        return max(self.opened_at, self.last_active_at) >= now - CONNECTION_LIVE_S

    def close_if_unused(self) -> None:
        """Close a retired channel once its last call has ended."""
        if self.retired and not self.calls_in_progress:
            self.channel.close()


class PeerClient(PeerLink):
    """Client for one peer over a single gRPC channel.

    A channel is replaced after it broke, or after a call timed out without any data
    received meanwhile. The next one is opened after an exponential back-off with full
    jitter; until then calls fail with `NOT_SENT`.

    Parameters
    ----------
    address : str
        IP address and port of the peer.
    rng : random.Random
        Random source of the back-off jitter.
    limit : int
        Largest accepted and sent message in bytes.
    """

    def __init__(
        self,
        address: str,
        rng: random.Random,
        limit: int = messages.MESSAGE_MAX_BYTES,
    ) -> None:
        self._address = address
        self._rng = rng
        self._limit = limit
        self._connection: _Connection | None = None
        self._exchanging = False
        self._consecutive_failures = 0
        self._retry_at = -math.inf

    async def exchange(self, digest: messages.Digest) -> _LinkResult[messages.Digest]:
        """Exchange digests with the peer; see `PeerLink`."""
        if self._exchanging:
            return _make_failure(errors.LinkErrorKind.NOT_SENT, "exchange in progress")
        self._exchanging = True
        try:
            return await self._call(
                EXCHANGE_PATH, digest, messages.Digest, EXCHANGE_TIMEOUT_S
            )
        finally:
            self._exchanging = False

    async def fetch_configuration(
        self, request: messages.ConfigurationRequest
    ) -> _LinkResult[messages.ConfigurationReply]:
        """Fetch the configuration of the peer if it is newer; see `PeerLink`."""
        return await self._call(
            FETCH_PATH, request, messages.ConfigurationReply, FETCH_TIMEOUT_S
        )

    async def forward(
        self, request: messages.ForwardRequest
    ) -> _LinkResult[messages.ForwardReply]:
        """Forward a request over a live connection; see `PeerLink`."""
        connection = self._connection
        if connection is not None and not connection.is_live(trio.current_time()):
            self._retire(connection)
        timeout_s = min(request.deadline_s, FORWARD_TIMEOUT_MAX_S)
        return await self._call(FORWARD_PATH, request, messages.ForwardReply, timeout_s)

    def close(self) -> None:
        """Close the connection; see `PeerLink`."""
        if self._connection is not None:
            self._connection.channel.close()
            self._connection = None

    async def _call(
        self,
        path: str,
        request: messages.Message,
        reply_type: type[_Message],
        timeout_s: float,
    ) -> _LinkResult[_Message]:
        """Make one call, including the connection set-up, within `timeout_s`."""
        start = trio.current_time()
        if len(messages.encode(request)) > self._limit:
            return _make_failure(errors.LinkErrorKind.NOT_SENT, "message too large")
        if start < self._retry_at:
            return _make_failure(errors.LinkErrorKind.NOT_SENT, "waiting to reconnect")
        connection = await self._get_connection()
        connection.calls_in_progress += 1
        try:
            problem = await self._connect(connection, min(timeout_s, CONNECT_TIMEOUT_S))
            if problem is not None:
                self._retire_and_back_off(connection)
                return _make_failure(errors.LinkErrorKind.NOT_SENT, problem)
            remaining_s = start + timeout_s - trio.current_time()
            if remaining_s <= 0:
                return _make_failure(errors.LinkErrorKind.NOT_SENT, "deadline passed")
            return await self._send_request(
                connection, path, request, reply_type, remaining_s
            )
        finally:
            connection.calls_in_progress -= 1
            connection.close_if_unused()

    async def _get_connection(self) -> _Connection:
        if self._connection is None:
            channel = await trio_asyncio.aio_as_trio(self._make_channel)()
            if self._connection is None:
                self._connection = _Connection(channel, trio.current_time())
        return self._connection

    async def _make_channel(self) -> grpclib.client.Channel:
        host, port = model.split_address(self._address)
        return grpclib.client.Channel(
            host, port, codec=wire.Codec(), config=wire.make_flow_control()
        )

    async def _connect(self, connection: _Connection, timeout_s: float) -> str | None:
        """Connect the channel; return None, or a description of the failure."""
        with trio.move_on_after(timeout_s):
            try:
                await trio_asyncio.aio_as_trio(connection.channel.__connect__)()
            except OSError as error:
                return f"connect failed: {error}"
            return None
        return "connect timed out"

    async def _send_request(
        self,
        connection: _Connection,
        path: str,
        request: messages.Message,
        reply_type: type[_Message],
        timeout_s: float,
    ) -> _LinkResult[_Message]:
        """Make one call on a connected channel.

        All failures are `UNKNOWN`, except a status that the peer sends only if it has
        not run the request.
        """
        start = trio.current_time()
        unknown = errors.LinkErrorKind.UNKNOWN
        with trio.move_on_after(timeout_s):
            try:
                reply = await trio_asyncio.aio_as_trio(self._exchange_messages)(
                    connection.channel, path, request, reply_type, timeout_s
                )
            except grpclib.exceptions.GRPCError as error:
                self._record_activity(connection)
                refused = error.status in wire.NOT_RUN_STATUSES
                kind = errors.LinkErrorKind.REFUSED if refused else unknown
                return _make_failure(kind, f"{error.status.name}: {error.message}")
            except (wire.MalformedError, wire.TooLargeError) as error:
                self._record_activity(connection)
                return _make_failure(unknown, f"reply refused: {error}")
            except TimeoutError:
                pass
            except Exception as error:
                # A broken connection raises various types of grpclib, h2 and asyncio.
                self._retire_and_back_off(connection)
                return _make_failure(unknown, f"connection broke: {error!r}")
            else:
                self._record_activity(connection)
                return result.Ok(reply)
        if connection.last_active_at < start:
            self._retire_and_back_off(connection)
        return _make_failure(unknown, "no answer in time")

    async def _exchange_messages(
        self,
        channel: grpclib.client.Channel,
        path: str,
        request: messages.Message,
        reply_type: type[_Message],
        timeout_s: float,
    ) -> _Message:
        call = channel.request(
            path,
            grpclib.const.Cardinality.UNARY_UNARY,
            type(request),
            reply_type,
            timeout=timeout_s,
        )
        async with call as stream:
            await stream.send_message(request, end=True)
            await stream.recv_initial_metadata()
            with stream._wrapper:
                reply = await wire.read_message(stream, reply_type, self._limit)
            await stream.recv_trailing_metadata()
            return reply

    def _record_activity(self, connection: _Connection) -> None:
        connection.last_active_at = trio.current_time()
        self._consecutive_failures = 0

    def _retire_and_back_off(self, connection: _Connection) -> None:
        """Retire a broken channel and delay the next connection attempt.

        Several calls that fail on one channel increase the back-off only once.
        """
        if connection.retired:
            return
        self._retire(connection)
        delay_max_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**self._consecutive_failures)
        # The cap only bounds the exponent; the delay is at its maximum long before.
        self._consecutive_failures = min(self._consecutive_failures + 1, 16)
        self._retry_at = trio.current_time() + self._rng.uniform(0, delay_max_s)

    def _retire(self, connection: _Connection) -> None:
        """Take a channel out of use; it closes when its last call ends."""
        connection.retired = True
        if self._connection is connection:
            self._connection = None
        connection.close_if_unused()


def _make_failure(
    kind: errors.LinkErrorKind, detail: str
) -> result.Err[errors.LinkFailure]:
    return result.Err(errors.LinkFailure(kind, detail))
