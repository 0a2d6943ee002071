"""gRPC transport of the service between entry instances, on grpclib.

grpclib is written for asyncio and runs under trio-asyncio on the loop and thread of
trio. This module adds what grpclib lacks: a MessagePack codec, message size limits,
counters of refused input, and a server that closes its connections when it stops.
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
import result
import trio_asyncio

from acacialatch import decoding, messages, model

READ_TIMEOUT_S = 5.0
# HTTP/2 flow-control window: the unread bytes that a connection may buffer.
WINDOW_BYTES = 256 << 10
# Each gRPC message starts with a compression flag and a length of four bytes.
_PREFIX_BYTES = 5

# The server sends these statuses only if it has not run the handler.
NOT_RUN_STATUSES = frozenset(
    {
        grpclib.const.Status.INVALID_ARGUMENT,
        grpclib.const.Status.RESOURCE_EXHAUSTED,
        grpclib.const.Status.UNIMPLEMENTED,
    }
)

_Message = typing.TypeVar("_Message", bound=messages.Message)
TrioHandler: typing.TypeAlias = typing.Callable[
    [typing.Any], typing.Awaitable[messages.Message]
]
Route: typing.TypeAlias = tuple[TrioHandler, type[messages.Message]]


class MalformedError(Exception):
    """A message is truncated, compressed or not of the expected type."""


class TooLargeError(Exception):
    """A message exceeds the size limit."""


class Codec(grpclib.encoding.base.CodecBase):
    """MessagePack codec for grpclib."""

    __content_subtype__ = "msgpack"

    def encode(self, message: typing.Any, message_type: typing.Any) -> bytes:
        """Return the MessagePack form of a message."""
        return messages.encode(message)

    def decode(self, data: bytes, message_type: typing.Any) -> typing.Any:
        """Return the message of type `message_type` in `data`."""
        return messages.decode(data, message_type)


@contextlib.asynccontextmanager
async def open_loop(
    on_error: typing.Callable[[str], None],
) -> typing.AsyncIterator[None]:
    """Open the asyncio loop that the servers and clients of this module need.

    Errors that asyncio cannot attribute to a task are passed to `on_error`; by default
    trio-asyncio would end the process. Log records of the libraries are dropped,
    because their default handler writes to standard error, which may block.

    Parameters
    ----------
    on_error : callable
        Called with a description of each such error. It must not raise.
    """
    for name in ("grpclib", "asyncio"):
        logger = logging.getLogger(name)
        logger.propagate = False
        if not logger.handlers:
            logger.addHandler(logging.NullHandler())
    async with trio_asyncio.open_loop() as loop:
        loop.set_exception_handler(
            lambda _, context: on_error(
                f"{context.get('message')}: {context.get('exception')!r}"
            )
        )
        yield


class Server(grpclib.server.Server):
    """grpclib server that can close its connections and counts invalid HTTP/2 input.

    Parameters
    ----------
    service : Service
        The service to offer.
    refused : collections.Counter
        Counter of refused input by reason.
    """

    def __init__(self, service: "Service", refused: collections.Counter[str]) -> None:
        super().__init__([service], codec=Codec(), config=make_flow_control())
        self._refused = refused
        self._protocols: set[_ServerProtocol] = set()

    def _protocol_factory(self) -> grpclib.protocol.H2Protocol:
        template = super()._protocol_factory()
        return _ServerProtocol(template, self._refused, self._protocols)

    def close_connections(self) -> None:
        """Close all connections, which grpclib leaves open when it stops."""
        for protocol in tuple(self._protocols):
            protocol.processor.close("Server closed")


class _ServerProtocol(grpclib.protocol.H2Protocol):
    """Server side of one connection; counts invalid input.

    Takes its configuration from `template`, the protocol that grpclib would use, and
    is in `open_protocols` while the connection is open.
    """

    def __init__(
        self,
        template: grpclib.protocol.H2Protocol,
        refused: collections.Counter[str],
        open_protocols: "set[_ServerProtocol]",
    ) -> None:
        super().__init__(template.handler, template.config, template.h2_config)
        self._refused = refused
        self._open_protocols = open_protocols

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._open_protocols.add(self)
        feed = self.connection.feed

        def feed_and_count(data: bytes) -> list[h2.events.Event]:
            try:
                events = feed(data)
            except Exception as error:
                self._refused["bytes"] += 1
                raise h2.exceptions.ProtocolError(str(error)) from error
            # HTTP/2 requires frames of unknown types to be ignored; grpclib raises.
            unknown = h2.events.UnknownFrameReceived
            return [event for event in events if not isinstance(event, unknown)]

        self.connection.feed = feed_and_count

    def connection_lost(self, error: BaseException | None) -> None:
        self._open_protocols.discard(self)
        super().connection_lost(error)


class Service:
    """gRPC service with unary methods whose handlers are trio coroutines.

    Parameters
    ----------
    routes : dict
        Handler and request type by path.
    refused : collections.Counter
        Counter of refused input by reason.
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
        """Return the handlers by path, as grpclib expects them."""
        return {
            path: self._make_handler(handle, request_type)
            for path, (handle, request_type) in self._routes.items()
        }

    def _make_handler(
        self,
        handle: TrioHandler,
        request_type: type[messages.Message],
    ) -> grpclib.const.Handler:
        async def handle_stream(stream: grpclib.server.Stream) -> None:
            request = await self._read_request(stream, request_type)
            reply = await self._run_handler(handle, request)
            await stream.send_message(reply)

        return grpclib.const.Handler(
            handle_stream, grpclib.const.Cardinality.UNARY_UNARY, request_type, None
        )

    async def _read_request(
        self, stream: grpclib.server.Stream, request_type: type[messages.Message]
    ) -> messages.Message:
        """Read a request; count and refuse one that is malformed, too large or late."""
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

    async def _run_handler(
        self,
        handle: TrioHandler,
        request: messages.Message,
    ) -> messages.Message:
        """Run a handler; count a failure and reply to it with status INTERNAL."""
        try:
            reply = await trio_asyncio.trio_as_aio(handle)(request)
            if len(messages.encode(reply)) > self._limit:
                raise TooLargeError("The reply is too large.")
        except Exception as error:
            # The handler may have run, so no status of NOT_RUN_STATUSES is allowed.
            self._refused["handler"] += 1
            status = grpclib.const.Status.INTERNAL
            raise grpclib.exceptions.GRPCError(status, repr(error)) from error
        return reply


async def read_message(
    stream: grpclib.server.Stream | grpclib.client.Stream,
    message_type: type[_Message],
    limit: int,
) -> _Message:
    """Read one message of a stream with a size limit.

    Replaces `recv_message` of grpclib, which reads whatever length the sender states.
    The HTTP/2 stream is a private attribute; its name is that of grpclib 0.4.

    Raises
    ------
    MalformedError
        The message is truncated, compressed or not of type `message_type`.
    TooLargeError
        The stated length exceeds `limit`.
    """
    raw_stream = stream._stream
    try:
        prefix = await raw_stream.recv_data(_PREFIX_BYTES)
        if len(prefix) < _PREFIX_BYTES or prefix[0]:
            raise MalformedError("There is no uncompressed message.")
        size = int.from_bytes(prefix[1:], "big")
        if size > limit:
            raise TooLargeError(
                f"A message of {size} bytes is above the limit {limit}."
            )
        data = await raw_stream.recv_data(size)
    except AssertionError as error:
        # grpclib asserts that a stream does not end in the middle of a message.
        raise MalformedError(str(error)) from error
    decoded = decoding.decode(messages.decode, data, message_type)
    if isinstance(decoded, result.Err):
        raise MalformedError(decoded.err_value)
    return decoded.ok_value


def make_flow_control() -> grpclib.config.Configuration:
    """Return the grpclib configuration with the flow-control windows."""
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
    # The protocol is explicit because grpclib sets TCP_NODELAY only on such sockets.
    # Without that option each reply waits 40 ms for a delayed acknowledgement.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, port))
    except BaseException:
        listener.close()
        raise
    listener.setblocking(False)
    return listener
