"""Server and client of the gRPC service between entry instances.

grpclib is written for asyncio and runs under trio-asyncio on the loop and thread of
trio. All public coroutines here are called in the trio flavour, within
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

# Digests are sent every 0.5 s, and an instance that hears nobody for 3 s is isolated.
# A call with a connection set-up must fail early enough for two further attempts.
CONNECT_TIMEOUT_S = 0.5
EXCHANGE_TIMEOUT_S = 1.0
FETCH_TIMEOUT_S = 1.0
FORWARD_TIMEOUT_MAX_S = 60.0
CLOSE_TIMEOUT_S = 1.0
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 2.0
# A forwarded request must not start on a connection that died unnoticed (section 4.3).
FRESH_S = 1.0
_Message = typing.TypeVar("_Message", bound=messages.Message)
_LinkResult: typing.TypeAlias = result.Result[_Message, errors.LinkFailure]


class PeerHandlers(abc.ABC):
    """What an entry instance does with the calls of its peers.

    The methods run in the trio flavour. A handler is cancelled when the calling peer
    disconnects or its deadline passes.
    """

    @abc.abstractmethod
    async def exchange(self, digest: messages.Digest) -> messages.Digest:
        """Take the digest of a peer and return the own one."""

    @abc.abstractmethod
    async def fetch_configuration(
        self, request: messages.ConfigurationRequest
    ) -> messages.ConfigurationReply:
        """Return the configuration in force if it is newer than that of the peer."""

    @abc.abstractmethod
    async def forward(self, request: messages.ForwardRequest) -> messages.ForwardReply:
        """Run a request whose key this instance issued."""


class PeerLink(abc.ABC):
    """Calls to one peer. Every call ends within a bounded time."""

    @abc.abstractmethod
    async def exchange(self, digest: messages.Digest) -> _LinkResult[messages.Digest]:
        """Send the own digest and return that of the peer.

        While an exchange is in progress a second one fails with `NOT_SENT`.
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
        """Forward a request, for at most `request.deadline_s`.

        The request has not run after `NOT_SENT` and `REFUSED`. After `UNKNOWN` it may
        have run. It is never sent twice.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connection. Calls in progress fail."""


class PeerServer:
    """Serves the calls of peers.

    Attributes
    ----------
    refused : collections.Counter
        Refused input by reason: `malformed`, `too_large`, `read_timeout`, `bytes`
        (not HTTP/2), and `handler` for calls whose handler failed.

    Parameters
    ----------
    handlers : PeerHandlers
        What to do with the calls.
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
            IP address and port; port 0 takes any free port.
        task_status : trio.TaskStatus
            Receives the address once the port is open.

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
        own = self._handlers
        routes: dict[str, wire.Route] = {
            EXCHANGE_PATH: (own.exchange, messages.Digest),
            FETCH_PATH: (own.fetch_configuration, messages.ConfigurationRequest),
            FORWARD_PATH: (own.forward, messages.ForwardRequest),
        }
        service = wire.Service(routes, self.refused, self._limit)
        server = wire.Server(service, self.refused)
        await server.start(sock=listener)
        return server


class _Line:
    """One channel with the state of its use."""

    def __init__(self, channel: grpclib.client.Channel, now: float) -> None:
        self.channel = channel
        self.opened_at = now
        self.heard_at = -math.inf
        self.calls = 0
        self.retired = False

    def is_fresh(self, now: float) -> bool:
        return max(self.opened_at, self.heard_at) >= now - FRESH_S

    def close_if_unused(self) -> None:
        if self.retired and not self.calls:
            self.channel.close()


class PeerClient(PeerLink):
    """Link to one peer over one channel.

    A channel that broke, or on which nothing was heard during a call that timed out,
    is replaced after a delay with full jitter. Calls during the delay fail with
    `NOT_SENT`.

    Parameters
    ----------
    address : str
        IP address and port of the peer.
    rng : random.Random
        Source of the jitter.
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
        self._line: _Line | None = None
        self._exchanging = False
        self._failures = 0
        self._retry_at = -math.inf

    async def exchange(self, digest: messages.Digest) -> _LinkResult[messages.Digest]:
        """Send the own digest and return that of the peer; see `PeerLink`."""
        if self._exchanging:
            return _fail(errors.LinkErrorKind.NOT_SENT, "exchange in progress")
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
        """Forward a request, for at most its deadline; see `PeerLink`."""
        line = self._line
        if line is not None and not line.is_fresh(trio.current_time()):
            self._retire(line)
        timeout_s = min(request.deadline_s, FORWARD_TIMEOUT_MAX_S)
        return await self._call(FORWARD_PATH, request, messages.ForwardReply, timeout_s)

    def close(self) -> None:
        """Close the connection; see `PeerLink`."""
        if self._line is not None:
            self._line.channel.close()
            self._line = None

    async def _call(
        self,
        path: str,
        request: messages.Message,
        reply_type: type[_Message],
        timeout_s: float,
    ) -> _LinkResult[_Message]:
        start = trio.current_time()
        if len(messages.encode(request)) > self._limit:
            return _fail(errors.LinkErrorKind.NOT_SENT, "message too large")
        if start < self._retry_at:
            return _fail(errors.LinkErrorKind.NOT_SENT, "waiting to reconnect")
        line = await self._take_line()
        line.calls += 1
        try:
            problem = await self._connect(line, min(timeout_s, CONNECT_TIMEOUT_S))
            if problem is not None:
                self._replace(line)
                return _fail(errors.LinkErrorKind.NOT_SENT, problem)
            remaining_s = start + timeout_s - trio.current_time()
            if remaining_s <= 0:
                return _fail(errors.LinkErrorKind.NOT_SENT, "deadline passed")
            return await self._send(line, path, request, reply_type, remaining_s)
        finally:
            line.calls -= 1
            line.close_if_unused()

    async def _take_line(self) -> _Line:
        if self._line is None:
            channel = await trio_asyncio.aio_as_trio(self._make_channel)()
            if self._line is None:
                self._line = _Line(channel, trio.current_time())
        return self._line

    async def _make_channel(self) -> grpclib.client.Channel:
        host, port = model.split_address(self._address)
        return grpclib.client.Channel(
            host, port, codec=wire.Codec(), config=wire.make_limits()
        )

    async def _connect(self, line: _Line, timeout_s: float) -> str | None:
        with trio.move_on_after(timeout_s):
            try:
                await trio_asyncio.aio_as_trio(line.channel.__connect__)()
            except OSError as error:
                return f"connect failed: {error}"
            return None
        return "connect timed out"

    async def _send(
        self,
        line: _Line,
        path: str,
        request: messages.Message,
        reply_type: type[_Message],
        timeout_s: float,
    ) -> _LinkResult[_Message]:
        start = trio.current_time()
        unknown = errors.LinkErrorKind.UNKNOWN
        with trio.move_on_after(timeout_s):
            try:
                reply = await trio_asyncio.aio_as_trio(self._talk)(
                    line.channel, path, request, reply_type, timeout_s
                )
            except grpclib.exceptions.GRPCError as error:
                self._note_heard(line)
                refused = error.status in wire.NOT_RUN_STATUSES
                kind = errors.LinkErrorKind.REFUSED if refused else unknown
                return _fail(kind, f"{error.status.name}: {error.message}")
            except (wire.MalformedError, wire.TooLargeError) as error:
                self._note_heard(line)
                return _fail(unknown, f"reply refused: {error}")
            except TimeoutError:
                pass
            except Exception as error:
                # grpclib, h2 and asyncio raise many types when a connection breaks.
                self._replace(line)
                return _fail(unknown, f"connection broke: {error!r}")
            else:
                self._note_heard(line)
                return result.Ok(reply)
        if line.heard_at < start:
            self._replace(line)
        return _fail(unknown, "no answer in time")

    async def _talk(
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

    def _note_heard(self, line: _Line) -> None:
        line.heard_at = trio.current_time()
        self._failures = 0

    def _replace(self, line: _Line) -> None:
        """Retire a channel and delay the next one, once for each channel."""
        if line.retired:
            return
        self._retire(line)
        longest_s = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**self._failures)
        self._failures = min(self._failures + 1, 16)
        self._retry_at = trio.current_time() + self._rng.uniform(0, longest_s)

    def _retire(self, line: _Line) -> None:
        line.retired = True
        if self._line is line:
            self._line = None
        line.close_if_unused()


def _fail(kind: errors.LinkErrorKind, detail: str) -> result.Err[errors.LinkFailure]:
    return result.Err(errors.LinkFailure(kind, detail))
