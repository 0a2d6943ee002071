"""grpclib plumbing of the service between entry instances.

grpclib is written for asyncio and runs under trio-asyncio on the loop and thread of
trio. This module holds what grpclib lacks: the msgspec codec, size limits, counts of
refused input, and a server that closes its connections when it stops.
"""

import asyncio
import collections
import contextlib
import logging
import socket
import typing

import grpclib.client
import grpclib.config
import grpclib.const
import grpclib.encoding.base
import grpclib.exceptions
import grpclib.protocol
import grpclib.server
import h2.events
import h2.exceptions
import msgspec
import trio_asyncio

from acacialatch import messages, model

READ_TIMEOUT_S = 5.0
# Bytes that one connection may hold unread in this process.
WINDOW_BYTES = 256 << 10
_PREFIX_BYTES = 5

# Statuses that the server sends only if it has not run the handler.
NOT_RUN_STATUSES = frozenset(
    {
        grpclib.const.Status.INVALID_ARGUMENT,
        grpclib.const.Status.RESOURCE_EXHAUSTED,
        grpclib.const.Status.UNIMPLEMENTED,
    }
)

_Message = typing.TypeVar("_Message", bound=messages.Message)
Handle: typing.TypeAlias = typing.Callable[
    [typing.Any], typing.Awaitable[messages.Message]
]
Route: typing.TypeAlias = tuple[Handle, type[messages.Message]]


class MalformedError(Exception):
    """A message that could not be read."""


class TooLargeError(Exception):
    """A message above the size limit."""


class Codec(grpclib.encoding.base.CodecBase):
    """MessagePack codec for grpclib."""

    __content_subtype__ = "msgpack"

    def encode(self, message: typing.Any, message_type: typing.Any) -> bytes:
        """Return the encoded message."""
        return messages.encode(message)

    def decode(self, data: bytes, message_type: typing.Any) -> typing.Any:
        """Return the decoded message."""
        return messages.decode(data, message_type)


@contextlib.asynccontextmanager
async def open_loop(
    report: typing.Callable[[str], None],
) -> typing.AsyncIterator[None]:
    """Open the asyncio loop that the servers and clients of this module need.

    Errors that asyncio cannot attribute to a task are reported and do not end the
    process, which is what trio-asyncio would do. Log records of the libraries are
    dropped: their default handler writes to standard error and may block.

    Parameters
    ----------
    report : callable
        Called with a description of each such error. It must not raise.
    """
    for name in ("grpclib", "asyncio"):
        logger = logging.getLogger(name)
        logger.propagate = False
        if not logger.handlers:
            logger.addHandler(logging.NullHandler())
    async with trio_asyncio.open_loop() as loop:
        loop.set_exception_handler(
            lambda _, context: report(
                f"{context.get('message')}: {context.get('exception')!r}"
            )
        )
        yield


class Server(grpclib.server.Server):
    """grpclib server that can close its connections and counts broken input."""

    def __init__(self, service: "Service", refused: collections.Counter[str]) -> None:
        super().__init__([service], codec=Codec(), config=make_limits())
        self._refused = refused
        self._protocols: set[_ServerProtocol] = set()

    def _protocol_factory(self) -> grpclib.protocol.H2Protocol:
        plain = super()._protocol_factory()
        return _ServerProtocol(plain, self._refused, self._protocols)

    def close_connections(self) -> None:
        """Close the connections, which grpclib leaves open when it stops."""
        for protocol in tuple(self._protocols):
            protocol.processor.close("Server closed")


class _ServerProtocol(grpclib.protocol.H2Protocol):
    def __init__(
        self,
        plain: grpclib.protocol.H2Protocol,
        refused: collections.Counter[str],
        register: "set[_ServerProtocol]",
    ) -> None:
        super().__init__(plain.handler, plain.config, plain.h2_config)
        self._refused = refused
        self._register = register

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._register.add(self)
        feed = self.connection.feed

        def feed_counted(data: bytes) -> list[h2.events.Event]:
            try:
                events = feed(data)
            except Exception as error:
                self._refused["bytes"] += 1
                raise h2.exceptions.ProtocolError(str(error)) from error
            # grpclib raises on frames of unknown types, which HTTP/2 says to ignore.
            unknown = h2.events.UnknownFrameReceived
            return [event for event in events if not isinstance(event, unknown)]

        self.connection.feed = feed_counted

    def connection_lost(self, error: BaseException | None) -> None:
        self._register.discard(self)
        super().connection_lost(error)


class Service:
    """gRPC service with unary methods whose handlers run in the trio flavour.

    Parameters
    ----------
    routes : dict
        Handler and request type by path.
    refused : collections.Counter
        Counts of refused input by reason.
    limit : int
        Largest accepted and sent message in bytes.
    """

    def __init__(
        self,
        routes: dict[str, Route],
        refused: collections.Counter[str],
        limit: int,
    ) -> None:
        self._routes = routes
        self._refused = refused
        self._limit = limit

    def __mapping__(self) -> dict[str, grpclib.const.Handler]:
        """Return the methods for grpclib, by path."""
        return {
            path: self._map(handle, request_type)
            for path, (handle, request_type) in self._routes.items()
        }

    def _map(
        self,
        handle: Handle,
        request_type: type[messages.Message],
    ) -> grpclib.const.Handler:
        async def answer(stream: grpclib.server.Stream) -> None:
            request = await self._read(stream, request_type)
            reply = await self._run(handle, request)
            await stream.send_message(reply)

        return grpclib.const.Handler(
            answer, grpclib.const.Cardinality.UNARY_UNARY, request_type, None
        )

    async def _read(
        self, stream: grpclib.server.Stream, request_type: type[messages.Message]
    ) -> messages.Message:
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                return await read_message(stream, request_type, self._limit)
        except TooLargeError as error:
            self._refused["too_large"] += 1
            status = grpclib.const.Status.RESOURCE_EXHAUSTED
            raise grpclib.exceptions.GRPCError(status, str(error)) from error
        except MalformedError as error:
            self._refused["malformed"] += 1
            status = grpclib.const.Status.INVALID_ARGUMENT
            raise grpclib.exceptions.GRPCError(status, str(error)) from error
        except TimeoutError:
            self._refused["read_timeout"] += 1
            raise

    async def _run(
        self,
        handle: Handle,
        request: messages.Message,
    ) -> messages.Message:
        try:
            reply = await trio_asyncio.trio_as_aio(handle)(request)
            if len(messages.encode(reply)) > self._limit:
                raise TooLargeError("The reply is too large.")
        except Exception as error:
            # A status in NOT_RUN_STATUSES would claim that nothing was run.
            self._refused["handler"] += 1
            status = grpclib.const.Status.INTERNAL
            raise grpclib.exceptions.GRPCError(status, repr(error)) from error
        return reply


async def read_message(
    stream: grpclib.server.Stream | grpclib.client.Stream,
    message_type: type[_Message],
    limit: int,
) -> _Message:
    """Read one message, as `recv_message` of grpclib but with a size limit.

    grpclib reads whatever length the sender states. Its HTTP/2 stream has no public
    name; the attribute is that of grpclib 0.4.
    """
    inner = stream._stream
    try:
        prefix = await inner.recv_data(_PREFIX_BYTES)
        if len(prefix) < _PREFIX_BYTES or prefix[0]:
            raise MalformedError("There is no uncompressed message.")
        size = int.from_bytes(prefix[1:], "big")
        if size > limit:
            raise TooLargeError(
                f"A message of {size} bytes is above the limit {limit}."
            )
        data = await inner.recv_data(size)
        return messages.decode(data, message_type)
    except (AssertionError, msgspec.MsgspecError) as error:
        # grpclib asserts that a stream does not end within a message.
        raise MalformedError(str(error)) from error


def make_limits() -> grpclib.config.Configuration:
    """Return the flow-control limits of a connection."""
    return grpclib.config.Configuration(
        http2_connection_window_size=WINDOW_BYTES,
        http2_stream_window_size=WINDOW_BYTES,
    )


def bind(address: str) -> socket.socket:
    """Return a non-blocking TCP socket bound to an address.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    host, port = model.split_address(address)
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    # asyncio sets TCP_NODELAY only on sockets whose protocol is stated. Without it,
    # each answer waits 40 ms for a delayed acknowledgement.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
    except BaseException:
        listener.close()
        raise
    listener.setblocking(False)
    return listener
