"""HTTP/1.1 client for backend servers, with connection pools; based on httptools."""

import abc
import contextlib
import dataclasses
import errno
import socket
import typing

import httptools
import trio

from acacialatch import forwarding, sockets

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
"""Bodies of all replies that are being received, in bytes.

The largest ones are given up beyond it. The smallest entry instances have 200 MB.
"""

HEAD_BYTES_MAX = 64 << 10
"""Bytes before the body of a reply, interim replies included."""

HEADER_FIELDS_MAX = 200
"""Header fields of a reply, those of interim replies and trailers included."""

FRAMING_BYTES_MAX = 64 << 10
"""Bytes of chunk sizes, chunk extensions and trailers of a body."""

FRAMING_FACTOR_MAX = 8
"""Further bytes of framing that are accepted for each byte of the body.

A chunk of one byte has five bytes of framing.
"""

EXTRA_REPLIES_MAX = 2
"""Late replies to earlier requests that are skipped before that to the current one."""

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


class _ReplyParser:
    """Parser of one reply; its `on_*` methods are callbacks of httptools.

    Attributes
    ----------
    fields : list of (bytes, bytes)
        Header fields as received.
    body : bytearray
        Body received so far.
    status : int
        HTTP status code.
    is_head_complete, is_complete : bool
        Whether the header and the whole reply have been received.
    has_surplus : bool
        Whether another message began after the reply.
    allows_reuse : bool
        Whether the reply allows the connection to be kept.
    """

    def __init__(self) -> None:
        self.fields: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self._received = 0
        self._head_bytes = 0
        self._fields_seen = 0
        self.status = 0
        self.is_head_complete = False
        self.is_complete = False
        self.has_surplus = False
        self.allows_reuse = False
        self._http = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        httptools.HttpParserError
            The bytes are not valid HTTP, or exceed a limit of this module. A complete
            reply may precede them, so `is_complete` must be checked first.
        ValueError
            The bytes around the body exceed a limit of this module.
        """
        self._http.feed_data(data)
        if not self.is_complete:
            self._check_size(len(data))

    def _check_size(self, count: int) -> None:
        """Raise ValueError if the bytes around the body exceed their limit.

        Parameters
        ----------
        count : int
            Bytes received since the last call.
        """
        self._received += count
        if not self.is_head_complete:
            self._head_bytes = self._received
            if self._head_bytes > HEAD_BYTES_MAX:
                raise ValueError(f"reply head exceeds {HEAD_BYTES_MAX} bytes")
            return
        framing = self._received - self._head_bytes - len(self.body)
        # The last bytes of the head came together with the first ones of the body.
        framing_max = HEAD_BYTES_MAX + FRAMING_BYTES_MAX
        if framing > framing_max + FRAMING_FACTOR_MAX * len(self.body):
            raise ValueError(f"reply framing exceeds {FRAMING_BYTES_MAX} bytes")

    def ends_at_connection_close(self) -> bool:
        """Return whether only the end of the connection marks the end of the body."""
        names = {name.lower() for name, _ in self.fields}
        return self.is_head_complete and not names & {
            b"content-length",
            b"transfer-encoding",
        }

    def on_message_begin(self) -> None:
        if self.is_complete:
            self.has_surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.is_complete:
            return
        self._fields_seen += 1
        if self._fields_seen > HEADER_FIELDS_MAX:
            raise ValueError(f"reply has over {HEADER_FIELDS_MAX} header fields")
        # A trailer must not claim what only the header may, such as the run state.
        if not self.is_head_complete:
            self.fields.append((name, value))

    def on_headers_complete(self) -> None:
        if not self.is_complete:
            self.status = self._http.get_status_code()
            self.is_head_complete = True

    def on_body(self, data: bytes) -> None:
        if not self.is_complete:
            self.body += data
            if len(self.body) > REPLY_BYTES_MAX:
                raise ValueError(f"reply body exceeds {REPLY_BYTES_MAX} bytes")

    def on_message_complete(self) -> None:
        if self.is_complete:
            return
        if 100 <= self.status < 200:
            self.fields.clear()
            self.is_head_complete = False
            return
        # httptools resets this state when the next message begins.
        self.allows_reuse = self._http.should_keep_alive()
        self.is_complete = True


@dataclasses.dataclass(slots=True, eq=False)
class _Connection:
    """A connection to a backend server; `send` is None while it is idle."""

    address: str
    socket: socket.socket
    send: forwarding.Outgoing | None
    parser: _ReplyParser
    unsent: bytes = b""
    buffered_bytes: int = 0
    extra_replies: int = 0
    last_active_at: float = 0.0
    usable_until: float = 0.0
    is_closed: bool = False


class BackendClient:
    """Sends requests over persistent connections.

    A connection carries one request at a time. It is closed if bytes follow a reply,
    since they could be taken for the reply to the next request.

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
        self.opened = 0
        self.connections = 0

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
        idle = self._idle.get(send.address)
        now = trio.current_time()
        while idle:
            connection = idle.pop()
            if connection.is_closed:
                continue
            if now >= connection.usable_until:
                self._close(connection)
                continue
            if (
                send.needs_live_connection
                and now - connection.last_active_at > CONNECTION_LIVE_S
            ):
                idle.append(connection)
                return None
            return connection
        return None

    def _start_connection(self, send: forwarding.Outgoing) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sockets.enable_dead_peer_detection(sock)
        connection = _Connection(send.address, sock, send, _ReplyParser())
        self._sends[send.number] = connection
        self.opened += 1
        self.connections += 1
        self._close_surplus_idle(send)
        self._nursery.start_soon(self._run_connection, connection)

    def _close_surplus_idle(self, send: forwarding.Outgoing) -> None:
        """Close the oldest idle connections if a new one would exceed the limit.

        The send could use none of them.
        """
        idle = self._idle.get(send.address, [])
        while len(idle) >= send.connections_max > 0 and idle:
            self._close(idle.pop(0))

    async def _run_connection(self, connection: _Connection) -> None:
        """Connect, write the first request and read until the connection closes."""
        try:
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
        sock = connection.socket
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
        with contextlib.suppress(trio.ClosedResourceError):
            while connection.unsent and connection.send is send:
                await trio.lowlevel.wait_writable(connection.socket)
                if connection.send is not send:
                    return
                try:
                    self._write(connection)
                except OSError as error:
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
        if not data:
            if parser.ends_at_connection_close() and not parser.is_complete:
                parser.is_complete = True
                self._report_reply(connection, False)
            else:
                self._report_failure(
                    connection, forwarding.FailureKind.CONNECTION_LOST, "closed"
                )
            return
        may_reuse = True
        body_bytes = len(parser.body)
        try:
            parser.feed(data)
        except (httptools.HttpParserError, ValueError) as error:
            may_reuse = False
            if not parser.is_complete:
                self._report_failure(
                    connection, forwarding.FailureKind.MALFORMED_REPLY, repr(error)
                )
                return
        if parser.is_complete:
            may_reuse = may_reuse and not parser.has_surplus and not connection.unsent
            self._report_reply(connection, may_reuse and parser.allows_reuse)
            return
        connection.buffered_bytes += len(parser.body) - body_bytes
        self._buffered_bytes += len(parser.body) - body_bytes
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

    def _report_reply(self, connection: _Connection, reusable: bool) -> None:
        """Keep or close the connection, then pass the outcome to the receiver.

        A late reply to an earlier request of the connection is skipped. After any
        other reply that is not valid the connection is closed, since the reply to this
        request may still follow on it.
        """
        send = connection.send
        parser = connection.parser
        assert send is not None
        outcome = self._protocol.decode(
            send, parser.status, parser.fields, bytes(parser.body)
        )
        self._release_buffer(connection)
        failure = outcome.kind if isinstance(outcome, forwarding.SendFailure) else None
        if (
            failure is forwarding.FailureKind.OTHER_REQUEST
            and reusable
            and connection.extra_replies < EXTRA_REPLIES_MAX
        ):
            connection.extra_replies += 1
            connection.parser = _ReplyParser()
            return
        connection.send = None
        connection.extra_replies = 0
        del self._sends[send.number]
        reusable = reusable and failure not in _OUT_OF_STEP_KINDS
        now = trio.current_time()
        idle_s = _get_keep_alive_s(parser.fields) - IDLE_MARGIN_S
        if reusable and idle_s > 0:
            connection.last_active_at = now
            connection.usable_until = now + idle_s
            self._idle.setdefault(connection.address, []).append(connection)
        else:
            self._close(connection)
        self._pass_on(send.number, outcome)

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
        idle = self._idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)
        trio.lowlevel.notify_closing(connection.socket)
        connection.socket.close()


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
