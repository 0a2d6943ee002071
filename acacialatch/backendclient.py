"""Connections to backend servers, parsed by httptools."""

import abc
import contextlib
import dataclasses
import errno
import socket

import httptools
import trio

from acacialatch import forwarding, sockets

CONNECT_TIMEOUT_S = 0.3
"""Time to open a connection; beyond it the server counts as unreachable."""

FRESH_S = 1.0
"""A connection that was used this long ago is known to work."""

IDLE_S = 8.0
"""Idle time after which a connection is closed, unless the server closes it sooner."""

IDLE_MARGIN_S = 0.5
"""A connection is not used in the last part of the idle time that its server grants."""

REPLY_BYTES_MAX = 8 << 20
_RECEIVE_BYTES = 65536


Outcome = forwarding.Reply | forwarding.BatchReply
"""Reply of a backend server, or of an entry instance to a batch."""


class BackendProtocol(abc.ABC):
    """Translates requests and replies to and from the protocol of backend servers."""

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
        """Return the reply, or why it does not count.

        Parameters
        ----------
        send : forwarding.Send
            The request that was sent.
        status : int
            HTTP status.
        fields : list of (bytes, bytes)
            Header fields as received.
        body : bytes
            Whole body.
        """


class Receiver(abc.ABC):
    """Takes what becomes of sends."""

    @abc.abstractmethod
    def handle_reply(self, number: int, reply: Outcome) -> None:
        """Take a whole reply."""

    @abc.abstractmethod
    def handle_failure(self, number: int, failure: forwarding.SendFailure) -> None:
        """Take a failure."""


class _Parser:
    """Callbacks of httptools for one reply."""

    def __init__(self) -> None:
        self.fields: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.status = 0
        self.head_done = False
        self.done = False
        self.surplus = False
        self.allows_reuse = False
        self._http = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Parse received bytes.

        Raises
        ------
        httptools.HttpParserError
            The bytes are no reply. A reply may be complete before them.
        """
        self._http.feed_data(data)

    def ends_with_connection(self) -> bool:
        """Return whether the body has neither a length nor chunks."""
        names = {name.lower() for name, _ in self.fields}
        return self.head_done and not names & {b"content-length", b"transfer-encoding"}

    def on_message_begin(self) -> None:
        if self.done:
            self.surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self.done:
            self.fields.append((name, value))

    def on_headers_complete(self) -> None:
        if not self.done:
            self.status = self._http.get_status_code()
            self.head_done = True

    def on_body(self, data: bytes) -> None:
        if not self.done:
            self.body += data
            if len(self.body) > REPLY_BYTES_MAX:
                raise ValueError("reply is too large")

    def on_message_complete(self) -> None:
        if self.done:
            return
        if 100 <= self.status < 200:
            self.fields.clear()
            self.head_done = False
            return
        # The parser only knows this before the next message.
        self.allows_reuse = self._http.should_keep_alive()
        self.done = True


@dataclasses.dataclass(slots=True, eq=False)
class _Connection:
    """One connection to a backend server."""

    address: str
    socket: socket.socket
    send: forwarding.Outgoing | None
    parser: _Parser
    unsent: bytes = b""
    used_at: float = 0.0
    idle_until: float = 0.0
    closed: bool = False


class BackendClient:
    """Sends requests over kept connections.

    A connection carries one request at a time. Bytes after a reply close it, since
    they belong to no request.

    Parameters
    ----------
    protocol : BackendProtocol
        Protocol of the backend servers.
    receiver : Receiver
        Takes replies and failures.
    nursery : trio.Nursery
        Runs a task for each connection.
    """

    def __init__(
        self, protocol: BackendProtocol, receiver: Receiver, nursery: trio.Nursery
    ):
        self._protocol = protocol
        self._receiver = receiver
        self._nursery = nursery
        self._idle: dict[str, list[_Connection]] = {}
        self._sends: dict[int, _Connection] = {}
        self.opened = 0
        self.connections = 0

    def send(self, send: forwarding.Outgoing) -> None:
        """Send a request; the receiver gets the outcome later."""
        connection = self._take_idle(send)
        if connection is None:
            self._open(send)
            return
        connection.send = send
        connection.parser = _Parser()
        connection.unsent = self._protocol.encode(send)
        try:
            self._write(connection)
        except OSError:
            # The server closed the idle connection, and has got nothing of the request.
            connection.send = None
            self._close(connection)
            self._open(send)
            return
        self._sends[send.number] = connection
        if connection.unsent:
            self._nursery.start_soon(self._write_rest, connection, send)

    def cancel(self, number: int) -> None:
        """Give up a send and close its connection, which stops the server's work."""
        connection = self._sends.get(number)
        if connection is not None:
            connection.send = None
            self._close(connection)
            del self._sends[number]

    def close_idle(self, address: str) -> None:
        """Close idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            self._close(connection)

    def _take_idle(self, send: forwarding.Outgoing) -> _Connection | None:
        idle = self._idle.get(send.address)
        now = trio.current_time()
        while idle:
            connection = idle.pop()
            if connection.closed:
                continue
            if now >= connection.idle_until:
                self._close(connection)
                continue
            if send.needs_live_connection and now - connection.used_at > FRESH_S:
                idle.append(connection)
                return None
            return connection
        return None

    def _open(self, send: forwarding.Outgoing) -> None:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sockets.enable_dead_peer_detection(sock)
        connection = _Connection(send.address, sock, send, _Parser())
        self._sends[send.number] = connection
        self.opened += 1
        self.connections += 1
        self._make_room(send)
        self._nursery.start_soon(self._run, connection)

    def _make_room(self, send: forwarding.Outgoing) -> None:
        """Close idle connections over the limit that could not be used."""
        idle = self._idle.get(send.address, [])
        while len(idle) >= send.connections_max > 0 and idle:
            self._close(idle.pop(0))

    async def _run(self, connection: _Connection) -> None:
        try:
            try:
                await self._connect(connection)
            except (OSError, trio.TooSlowError) as error:
                self._fail(connection, forwarding.FailureKind.NOT_SENT, repr(error))
                return
            if connection.closed:
                return
            assert connection.send is not None
            connection.unsent = self._protocol.encode(connection.send)
            try:
                self._write(connection)
            except OSError as error:
                self._fail(connection, forwarding.FailureKind.NOT_SENT, repr(error))
                return
            if connection.unsent:
                self._nursery.start_soon(self._write_rest, connection, connection.send)
            while not connection.closed:
                await trio.lowlevel.wait_readable(connection.socket)
                self._receive(connection)
        except trio.ClosedResourceError:
            # The connection was closed while the task waited for it.
            pass
        finally:
            self._close(connection)

    async def _connect(self, connection: _Connection) -> None:
        host, _, port = connection.address.rpartition(":")
        sock = connection.socket
        code = sock.connect_ex((host, int(port)))
        if code == errno.EINPROGRESS:
            with trio.fail_after(CONNECT_TIMEOUT_S):
                await trio.lowlevel.wait_writable(sock)
            if connection.closed:
                return
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise OSError(code, errno.errorcode.get(code, "connect failed"))

    def _write(self, connection: _Connection) -> None:
        """Write what the socket takes.

        Raises
        ------
        OSError
            The connection is broken; nothing of `unsent` was taken.
        """
        with contextlib.suppress(BlockingIOError):
            count = connection.socket.send(connection.unsent)
            connection.unsent = connection.unsent[count:]

    async def _write_rest(
        self, connection: _Connection, send: forwarding.Outgoing
    ) -> None:
        """Write the rest of a long request."""
        with contextlib.suppress(trio.ClosedResourceError):
            while connection.unsent and connection.send is send:
                await trio.lowlevel.wait_writable(connection.socket)
                if connection.send is not send:
                    return
                try:
                    self._write(connection)
                except OSError as error:
                    self._fail(
                        connection, forwarding.FailureKind.CONNECTION_LOST, repr(error)
                    )

    def _receive(self, connection: _Connection) -> None:
        try:
            data = connection.socket.recv(_RECEIVE_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(connection, forwarding.FailureKind.CONNECTION_LOST, repr(error))
            return
        if connection.send is None:
            # An idle connection was closed, or got bytes that no request asked for.
            self._close(connection)
            return
        parser = connection.parser
        if not data:
            if parser.ends_with_connection() and not parser.done:
                parser.done = True
                self._finish(connection, False)
            else:
                self._fail(connection, forwarding.FailureKind.CONNECTION_LOST, "closed")
            return
        clean = True
        try:
            parser.feed(data)
        except (httptools.HttpParserError, ValueError) as error:
            clean = False
            if not parser.done:
                self._fail(
                    connection, forwarding.FailureKind.MALFORMED_REPLY, repr(error)
                )
                return
        if parser.done:
            clean = clean and not parser.surplus and not connection.unsent
            self._finish(connection, clean and parser.allows_reuse)

    def _finish(self, connection: _Connection, reusable: bool) -> None:
        send = connection.send
        parser = connection.parser
        assert send is not None
        connection.send = None
        del self._sends[send.number]
        now = trio.current_time()
        idle_s = _read_keep_alive(parser.fields) - IDLE_MARGIN_S
        if reusable and idle_s > 0:
            connection.used_at = now
            connection.idle_until = now + idle_s
            self._idle.setdefault(connection.address, []).append(connection)
        else:
            self._close(connection)
        outcome = self._protocol.decode(
            send, parser.status, parser.fields, bytes(parser.body)
        )
        if isinstance(outcome, forwarding.SendFailure):
            self._receiver.handle_failure(send.number, outcome)
        else:
            self._receiver.handle_reply(send.number, outcome)

    def _fail(
        self, connection: _Connection, kind: forwarding.FailureKind, detail: str
    ) -> None:
        send = connection.send
        connection.send = None
        self._close(connection)
        if send is not None:
            del self._sends[send.number]
            failure = forwarding.SendFailure(kind, detail)
            self._receiver.handle_failure(send.number, failure)

    def _close(self, connection: _Connection) -> None:
        if connection.closed:
            return
        connection.closed = True
        self.connections -= 1
        idle = self._idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)
        trio.lowlevel.notify_closing(connection.socket)
        connection.socket.close()


def _read_keep_alive(fields: list[tuple[bytes, bytes]]) -> float:
    """Return for how long the server keeps an idle connection, in seconds."""
    idle_s = IDLE_S
    for name, value in fields:
        if name.lower() == b"keep-alive":
            for item in value.split(b","):
                key, _, number = item.strip().partition(b"=")
                if key.lower() == b"timeout" and number.isdigit():
                    idle_s = min(idle_s, float(number))
    return idle_s
