"""HTTP/1.1 client for backend servers, with connection pools; based on httptools."""

import abc
import collections
import contextlib
import dataclasses
import errno
import socket
import typing

import httptools
import trio

from acacialatch import forwarding, framing, sockets

CONNECT_TIMEOUT_S = 0.3
"""Time in seconds to connect, after which the server counts as unreachable."""

CONNECTION_LIVE_S = 1.0
"""Time after an exchange for which its connection is known to work, in seconds."""

IDLE_TIMEOUT_S = 8.0
"""Idle time in seconds after which a connection is closed.

The server may announce a shorter time in a `Keep-Alive` header.
"""

IDLE_MARGIN_S = 0.5
"""Time in seconds by which a connection is given up before its server closes it."""

REPLY_BYTES_MAX = 8 << 20
"""Largest body of a reply in bytes."""

REPLIES_BYTES_MAX = 32 << 20
"""Bytes of all replies that are being received, with their heads.

The largest ones are given up beyond it. The smallest entry instances have 200 MB.
"""

HEAD_BYTES_MAX = 128 << 10
"""Bytes around the bodies of the replies to one request.

These are heads, interim replies, chunk sizes, chunk extensions and trailers.
"""

FRAMING_FACTOR_MAX = 8
"""Further bytes around a body that are accepted for each byte of it.

A chunk of one byte has five bytes of framing.
"""

HEADER_FIELDS_MAX = 200
"""Header fields and trailers of the replies to one request."""

EXTRA_REPLIES_MAX = 2
"""Late replies to earlier requests that are skipped before that to the current one."""

ANSWERED_MAX = 512
"""Requests of one connection that may be sent again, beyond which it is closed."""

_RECEIVE_BYTES_MAX = 65536


_OUT_OF_STEP_KINDS = frozenset(
    {
        forwarding.FailureKind.MALFORMED_REPLY,
        forwarding.FailureKind.OTHER_REQUEST,
    }
)

Outcome = forwarding.Reply | forwarding.BatchReply
"""Reply of a backend server, or of an entry instance to a batch."""


class BackendProtocol(abc.ABC):
    """Protocol of backend servers: encodes requests and decodes replies."""

    @abc.abstractmethod
    def encode(self, send: forwarding.Outgoing) -> bytes:
        """Return the bytes of a request."""

    @abc.abstractmethod
    def decode(
        self,
        send: forwarding.Outgoing,
        status: int,
        fields: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> Outcome | forwarding.SendFailure:
        """Return the reply, or the failure if it is no valid reply to the request.

        Parameters
        ----------
        send : forwarding.Outgoing
            Request that was sent.
        status : int
            HTTP status code.
        fields : list of (bytes, bytes)
            Header fields as received.
        body : bytes
            Complete reply body.
        """


class Receiver(abc.ABC):
    """Receives the outcomes of sends."""

    @abc.abstractmethod
    def handle_reply(self, number: int, reply: Outcome) -> None:
        """Handle the complete reply to the send with this number."""

    @abc.abstractmethod
    def handle_failure(self, number: int, failure: forwarding.SendFailure) -> None:
        """Handle the failure of the send with this number."""


class _RawReply(typing.NamedTuple):
    """A complete reply as received.

    Attributes
    ----------
    status : int
        HTTP status code.
    fields : list of (bytes, bytes)
        Header fields.
    body : bytes
        Body.
    allows_reuse : bool
        Whether the reply allows the connection to be kept.
    """

    status: int
    fields: list[tuple[bytes, bytes]]
    body: bytes
    allows_reuse: bool


class _ReplyParser:
    """Parser of the replies on a connection; its `on_*` are callbacks of httptools.

    Attributes
    ----------
    replies : list of _RawReply
        Complete replies that have not been taken yet, in order of arrival.
    is_within_reply : bool
        Whether a reply has begun that is not complete.
    received_bytes, body_bytes : int
        Bytes received so far, and those of them that belong to bodies.
    """

    def __init__(self) -> None:
        self.replies: list[_RawReply] = []
        self.is_within_reply = False
        self.body_bytes = 0
        self._fields: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._is_head_complete = False
        self.received_bytes = 0
        self._chunks = 0
        self._fields_seen = 0
        self._http = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        httptools.HttpParserError
            The bytes are not valid HTTP, or exceed a limit of this module. Complete
            replies may precede them.
        ValueError
            The bytes around the bodies exceed their limit.
        """
        self.received_bytes += len(data)
        self._http.feed_data(data)
        around_bodies = self.received_bytes - self.body_bytes
        if around_bodies > HEAD_BYTES_MAX + FRAMING_FACTOR_MAX * self.body_bytes:
            raise ValueError(f"{around_bodies} bytes around a reply exceed the limit")

    def end(self) -> None:
        """Complete a reply whose end only the end of the connection marks."""
        names = {name.lower() for name, _ in self._fields}
        has_length = names & {b"content-length", b"transfer-encoding"}
        if self.is_within_reply and self._is_head_complete and not has_length:
            self._complete(False)

    def on_message_begin(self) -> None:
        self.is_within_reply = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._fields_seen += 1
        if self._fields_seen > HEADER_FIELDS_MAX:
            raise ValueError(f"reply has over {HEADER_FIELDS_MAX} header fields")
        # A trailer must not claim what only the header may, such as the run state.
        if not self._is_head_complete:
            # Spaces around a value are no part of it, and h11 does not send them.
            self._fields.append((name, value.strip(b" \t")))

    def on_headers_complete(self) -> None:
        self._is_head_complete = True

    def on_chunk_header(self) -> None:
        self._chunks += 1
        framing.check_chunks(self._chunks, self.body_bytes)

    def on_body(self, data: bytes) -> None:
        self._body += data
        self.body_bytes += len(data)
        if self.body_bytes > REPLY_BYTES_MAX:
            raise ValueError(f"reply body exceeds {REPLY_BYTES_MAX} bytes")

    def on_message_complete(self) -> None:
        if 100 <= self._http.get_status_code() < 200:
            self._reset()
        else:
            # httptools resets this state when the next message begins.
            self._complete(self._http.should_keep_alive())

    def _complete(self, allows_reuse: bool) -> None:
        if len(self.replies) > EXTRA_REPLIES_MAX:
            raise ValueError(f"over {EXTRA_REPLIES_MAX} extra replies")
        status = self._http.get_status_code()
        self.replies.append(
            _RawReply(status, self._fields, bytes(self._body), allows_reuse)
        )
        self._reset()

    def _reset(self) -> None:
        self._fields = []
        self._body = bytearray()
        self._is_head_complete = self.is_within_reply = False


@dataclasses.dataclass(slots=True, eq=False)
class _Connection:
    """A connection to a backend server; `send` is None while it is idle.

    `answered` holds the requests that were answered on the connection and may be sent
    again, with the time in seconds at which that ends. A server may send a reply once
    more, late. Its identifier tells to which request it belongs, but not to which
    attempt, so a request must not be sent on the same connection again.
    """

    address: str
    socket: socket.socket | None
    send: forwarding.Outgoing | None
    parser: _ReplyParser
    unsent: bytes = b""
    buffered_bytes: int = 0
    extra_replies: int = 0
    last_active_at: float = 0.0
    usable_until: float = 0.0
    is_closed: bool = False
    answered: dict[str, float] = dataclasses.field(default_factory=dict)

    def record_answered(self, now: float, send: forwarding.Outgoing) -> None:
        """Record that a request was answered and may be sent again."""
        while self.answered:
            oldest = next(iter(self.answered))
            if self.answered[oldest] > now:
                break
            del self.answered[oldest]
        if isinstance(send, forwarding.Send):
            self.answered[send.request.identity] = now + send.timeout_s

    def can_carry(self, send: forwarding.Outgoing) -> bool:
        """Return whether replies to a send can be told from those to earlier ones."""
        return (
            not isinstance(send, forwarding.Send)
            or send.request.identity not in self.answered
        )


class BackendClient:
    """Sends requests over persistent connections.

    A connection carries one request at a time. It is closed if bytes follow a reply,
    since they could be taken for the reply to the next request. A request that is sent
    again goes over another connection.

    Attributes
    ----------
    opened : int
        Connections opened so far.
    connections : int
        Connections that are open.
    passed_over : int
        Idle connections that were not used since they had carried the request before.

    Parameters
    ----------
    protocol : BackendProtocol
        Protocol of the backend servers.
    receiver : Receiver
        Receives replies and failures.
    nursery : trio.Nursery
        Nursery of the tasks of the connections.
    on_error : callable
        Called with an unexpected exception of one send. The send fails, the others go
        on.
    """

    def __init__(
        self,
        protocol: BackendProtocol,
        receiver: Receiver,
        nursery: trio.Nursery,
        on_error: typing.Callable[[Exception], None] = lambda error: None,
    ):
        self._protocol = protocol
        self._receiver = receiver
        self._nursery = nursery
        self._on_error = on_error
        self._buffered_bytes = 0
        self._idle: dict[str, list[_Connection]] = {}
        self._sends: dict[int, _Connection] = {}
        self._open_counts: collections.Counter[str] = collections.Counter()
        self.opened = 0
        self.connections = 0
        self.passed_over = 0

    def send(self, send: forwarding.Outgoing) -> None:
        """Send a request; the outcome is passed to the receiver later."""
        connection = self._pop_idle(send)
        if connection is None:
            self._start_connection(send)
            return
        connection.send = send
        connection.parser = _ReplyParser()
        try:
            connection.unsent = self._protocol.encode(send)
            self._write(connection)
        except (OSError, ValueError):
            # The server has closed the idle connection and received no byte of the
            # request, so that a new connection may be tried. A request that cannot be
            # encoded fails there.
            connection.send = None
            self._close(connection)
            self._start_connection(send)
            return
        self._sends[send.number] = connection
        if connection.unsent:
            self._nursery.start_soon(self._write_rest, connection, send)

    def cancel(self, number: int) -> None:
        """Cancel a send and close its connection, so that the server stops its work."""
        connection = self._sends.get(number)
        if connection is not None:
            connection.send = None
            self._close(connection)
            del self._sends[number]

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            self._close(connection)

    def _pop_idle(self, send: forwarding.Outgoing) -> _Connection | None:
        """Remove and return the idle connection used last, or None.

        Expired ones are closed. If the send needs a live connection, the idle time of
        the connection must not exceed `CONNECTION_LIVE_S`.
        """
        idle = self._idle.get(send.address, [])
        now = trio.current_time()
        for place in range(len(idle) - 1, -1, -1):
            connection = idle[place]
            if now >= connection.usable_until:
                self._close(connection)
                continue
            if (
                send.needs_live_connection
                and now - connection.last_active_at > CONNECTION_LIVE_S
            ):
                return None
            if not connection.can_carry(send):
                self.passed_over += 1
                continue
            del idle[place]
            return connection
        return None

    def _start_connection(self, send: forwarding.Outgoing) -> None:
        connection = _Connection(send.address, None, send, _ReplyParser())
        self._sends[send.number] = connection
        self.opened += 1
        self.connections += 1
        self._open_counts[send.address] += 1
        self._close_surplus_idle(send)
        self._nursery.start_soon(self._run_connection, connection)

    def _close_surplus_idle(self, send: forwarding.Outgoing) -> None:
        """Close the oldest idle connections while a new one exceeds the limit.

        The send could use none of them.
        """
        idle = self._idle.get(send.address, [])
        while idle and self._open_counts[send.address] > send.connections_max > 0:
            self._close(idle[0])

    async def _run_connection(self, connection: _Connection) -> None:
        """Connect, write the first request and read until the connection closes."""
        try:
            if connection.is_closed:
                # The send was cancelled before this task ran.
                return
            try:
                await self._connect(connection)
                if connection.is_closed:
                    return
                assert connection.send is not None
                connection.unsent = self._protocol.encode(connection.send)
                self._write(connection)
            except (OSError, ValueError, OverflowError, trio.TooSlowError) as error:
                self._report_failure(
                    connection, forwarding.FailureKind.NOT_SENT, repr(error)
                )
                return
            if connection.unsent:
                self._nursery.start_soon(self._write_rest, connection, connection.send)
            while not connection.is_closed:
                await trio.lowlevel.wait_readable(connection.socket)
                self._handle_readable(connection)
        except trio.ClosedResourceError:
            # The connection was closed while this task waited for its socket.
            pass
        except Exception as error:
            self._on_error(error)
            self._report_failure(
                connection, forwarding.FailureKind.CONNECTION_LOST, repr(error)
            )
        finally:
            self._close(connection)

    async def _connect(self, connection: _Connection) -> None:
        host, _, port = connection.address.rpartition(":")
        # Fails if the process has no descriptor left.
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        connection.socket = sock
        sock.setblocking(False)
        sockets.enable_dead_peer_detection(sock)
        code = sock.connect_ex((host, int(port)))
        if code == errno.EINPROGRESS:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                await trio.lowlevel.wait_writable(sock)
            if connection.is_closed:
                return
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, errno.errorcode.get(code, "connect failed"))

    def _write(self, connection: _Connection) -> None:
        """Write as much of `unsent` as the socket accepts.

        Raises
        ------
        OSError
            The connection is broken; no byte of `unsent` was accepted.
        """
        with contextlib.suppress(BlockingIOError):
            count = connection.socket.send(connection.unsent)
            connection.unsent = connection.unsent[count:]

    async def _write_rest(
        self, connection: _Connection, send: forwarding.Outgoing
    ) -> None:
        """Write the rest of a request that exceeded the send buffer."""
        try:
            while connection.unsent and connection.send is send:
                await trio.lowlevel.wait_writable(connection.socket)
                if connection.send is not send:
                    return
                self._write(connection)
        except trio.ClosedResourceError:
            # The connection was closed while this task waited for its socket.
            pass
        except Exception as error:
            if not isinstance(error, OSError):
                self._on_error(error)
            self._report_failure(
                connection, forwarding.FailureKind.CONNECTION_LOST, repr(error)
            )

    def _handle_readable(self, connection: _Connection) -> None:
        """Read what has arrived, and report the reply or failure once it is known."""
        try:
            data = connection.socket.recv(_RECEIVE_BYTES_MAX)
        except BlockingIOError:
            return
        except OSError as error:
            self._report_failure(
                connection, forwarding.FailureKind.CONNECTION_LOST, repr(error)
            )
            return
        if connection.send is None:
            # The server closed an idle connection or sent bytes without a request.
            self._close(connection)
            return
        parser = connection.parser
        failure: str | None = None
        try:
            if data:
                parser.feed(data)
            else:
                parser.end()
        except (httptools.HttpParserError, ValueError) as error:
            failure = repr(error)
        if parser.replies and self._report_reply(
            connection, bool(data) and not failure
        ):
            return
        if failure is not None:
            self._report_failure(
                connection, forwarding.FailureKind.MALFORMED_REPLY, failure
            )
        elif not data:
            self._report_failure(
                connection, forwarding.FailureKind.CONNECTION_LOST, "closed"
            )
        else:
            self._buffered_bytes += parser.received_bytes - connection.buffered_bytes
            connection.buffered_bytes = parser.received_bytes
            self._limit_buffered_bytes()

    def _limit_buffered_bytes(self) -> None:
        """Give up the largest incomplete replies while their sum exceeds its limit."""
        while self._buffered_bytes > REPLIES_BYTES_MAX:
            largest = max(self._sends.values(), key=lambda one: one.buffered_bytes)
            self._report_failure(
                largest,
                forwarding.FailureKind.MALFORMED_REPLY,
                f"replies in progress exceed {REPLIES_BYTES_MAX} bytes",
            )

    def _release_buffer(self, connection: _Connection) -> None:
        """Stop counting the incomplete reply of a connection."""
        self._buffered_bytes -= connection.buffered_bytes
        connection.buffered_bytes = 0

    def _report_reply(self, connection: _Connection, is_intact: bool) -> bool:
        """Pass the outcome of the send to the receiver; return whether there is one.

        Late replies to earlier requests of the connection are skipped. The connection
        is kept only if nothing follows the reply and the reply is a valid one.

        Parameters
        ----------
        connection : _Connection
            Connection with a complete reply.
        is_intact : bool
            Whether the connection is open and all bytes were valid.
        """
        send = connection.send
        parser = connection.parser
        assert send is not None
        outcome: Outcome | forwarding.SendFailure
        while True:
            raw = parser.replies.pop(0)
            outcome = self._protocol.decode(send, raw.status, raw.fields, raw.body)
            if not _is_to_other_request(outcome):
                break
            connection.extra_replies += 1
            if connection.extra_replies > EXTRA_REPLIES_MAX:
                break
            if not parser.replies:
                if is_intact and raw.allows_reuse:
                    return False
                break
        connection.send = None
        connection.extra_replies = 0
        del self._sends[send.number]
        self._release_buffer(connection)
        is_finished = not (
            parser.replies or parser.is_within_reply or connection.unsent
        )
        is_valid = not (
            isinstance(outcome, forwarding.SendFailure)
            and outcome.kind in _OUT_OF_STEP_KINDS
        )
        now = trio.current_time()
        idle_s = _get_keep_alive_s(raw.fields) - IDLE_MARGIN_S
        if not _is_success(outcome):
            connection.record_answered(now, send)
        reusable = is_intact and raw.allows_reuse and is_finished and is_valid
        if reusable and idle_s > 0 and len(connection.answered) <= ANSWERED_MAX:
            connection.last_active_at = now
            connection.usable_until = now + idle_s
            self._idle.setdefault(connection.address, []).append(connection)
        else:
            self._close(connection)
        self._pass_on(send.number, outcome)
        return True

    def _report_failure(
        self, connection: _Connection, kind: forwarding.FailureKind, detail: str
    ) -> None:
        send = connection.send
        connection.send = None
        self._close(connection)
        if send is not None:
            del self._sends[send.number]
            self._pass_on(send.number, forwarding.SendFailure(kind, detail))

    def _pass_on(self, number: int, outcome: Outcome | forwarding.SendFailure) -> None:
        """Pass an outcome to the receiver; an exception of it affects no other send."""
        try:
            if isinstance(outcome, forwarding.SendFailure):
                self._receiver.handle_failure(number, outcome)
            else:
                self._receiver.handle_reply(number, outcome)
        except Exception as error:
            self._on_error(error)

    def _close(self, connection: _Connection) -> None:
        if connection.is_closed:
            return
        connection.is_closed = True
        self._release_buffer(connection)
        self.connections -= 1
        self._open_counts[connection.address] -= 1
        if not self._open_counts[connection.address]:
            del self._open_counts[connection.address]
        idle = self._idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)
        if connection.socket is not None:
            trio.lowlevel.notify_closing(connection.socket)
            connection.socket.close()


def _is_to_other_request(outcome: Outcome | forwarding.SendFailure) -> bool:
    """Return whether a reply names another request than the one that was sent."""
    return (
        isinstance(outcome, forwarding.SendFailure)
        and outcome.kind is forwarding.FailureKind.OTHER_REQUEST
    )


def _is_success(outcome: Outcome | forwarding.SendFailure) -> bool:
    """Return whether an outcome ends its request, so that it is not sent again."""
    if isinstance(outcome, forwarding.Reply):
        return 200 <= outcome.status < 300
    return isinstance(outcome, forwarding.BatchReply)


def _get_keep_alive_s(fields: list[tuple[bytes, bytes]]) -> float:
    """Return the time for which an idle connection may be kept, in seconds."""
    idle_s = IDLE_TIMEOUT_S
    for name, value in fields:
        if name.lower() == b"keep-alive":
            for item in value.split(b","):
                key, _, number = item.strip().partition(b"=")
                if key.lower() == b"timeout" and number.isdigit():
                    idle_s = min(idle_s, float(number))
    return idle_s
