"""HTTP/1.1 client for backend servers, with a connection pool for each server."""

import abc
import collections
import typing

import h11
import trio

from acacialatch import decoding, events, framing, logs

CONNECTION_LIVE_S = 1.0
"""Time after an exchange for which its connection is known to work, in seconds."""

IDLE_MAX_S = 4.0
"""Idle time in seconds at which a connection is closed, before the server does."""

CONNECT_TIMEOUT_S = 1.0
REPLY_BYTES_MAX = 4_000_000

INTERIM_REPLIES_MAX = 10
"""Interim (1xx) replies that are skipped before the reply itself."""

FRAMING_FACTOR_MAX = 8
"""Bytes that are read for each byte of the largest body, chunk framing included."""

_RECEIVE_BYTES_MAX = 65536


class Reply(typing.NamedTuple):
    """A complete reply of a backend server.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : dict
        Header fields, names in lower case.
    body : bytes
        Reply body.
    latency_s : float
        Time since the start of the exchange, in seconds.
    is_new_connection : bool
        Whether the connection was opened for this exchange.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    latency_s: float
    is_new_connection: bool


class ExchangeFailure(typing.NamedTuple):
    """An exchange that did not yield a complete reply.

    Attributes
    ----------
    cause : events.SendCause
        Why the exchange failed.
    bytes_sent : bool
        Whether any byte of the request may have reached the server.
    is_new_connection : bool
        Whether the connection was opened for this exchange.
    """

    cause: events.SendCause
    bytes_sent: bool
    is_new_connection: bool


class ServerClient(abc.ABC):
    """Runs exchanges with backend servers."""

    @abc.abstractmethod
    async def exchange(
        self,
        call: events.SendToServer,
        on_first_byte: typing.Callable[[float], bool] | None = None,
    ) -> Reply | ExchangeFailure:
        """Run an exchange and return the reply, or how it failed.

        Parameters
        ----------
        call : events.SendToServer
            The exchange to run.
        on_first_byte : callable, optional
            Called directly before the first byte is sent, with the time in seconds of
            the last exchange on the connection or of its set-up. If it returns false,
            the exchange fails and no byte is sent.
        """

    @abc.abstractmethod
    def count_open(self, address: str) -> int:
        """Return the number of connections to a server, including pending ones."""

    @abc.abstractmethod
    def count_idle(self, address: str) -> int:
        """Return the number of idle connections to a server."""


class _Connection:
    def __init__(self, stream: trio.SocketStream):
        self.stream = stream
        self.http = h11.Connection(h11.CLIENT, REPLY_BYTES_MAX)
        self.last_active_at = trio.current_time()
        self.is_new = True


class _SendDeniedError(Exception):
    """`on_first_byte` did not allow the first byte to be sent."""


class PooledClient(ServerClient):
    """Client over TCP that keeps idle connections for reuse.

    A connection is closed if its exchange was cancelled, timed out or failed. A late
    reply can thus not be taken for the reply to a later request.

    Parameters
    ----------
    connections_max : callable
        Returns how many connections may be open to a server address.
    """

    def __init__(self, connections_max: typing.Callable[[str], int]):
        self._connections_max = connections_max
        self._idle: dict[str, collections.deque[_Connection]] = {}
        self._open_counts: collections.Counter[str] = collections.Counter()

    def count_open(self, address: str) -> int:
        """Return the number of connections to a server, including pending ones."""
        return self._open_counts[address]

    def count_idle(self, address: str) -> int:
        """Return the number of usable idle connections to a server."""
        self._close_expired(address)
        return len(self._idle.get(address, ()))

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a server."""
        while self._idle.get(address):
            self._close(address, self._idle[address].pop())

    async def exchange(
        self,
        call: events.SendToServer,
        on_first_byte: typing.Callable[[float], bool] | None = None,
    ) -> Reply | ExchangeFailure:
        """Run one exchange; see `ServerClient.exchange`."""
        started_at = trio.current_time()
        sent = False
        connection: _Connection | None = None

        def authorize_first_byte() -> None:
            nonlocal sent
            assert isinstance(connection, _Connection)
            last_active_at = connection.last_active_at
            if on_first_byte is not None and not on_first_byte(last_active_at):
                raise _SendDeniedError
            sent = True

        def make_failure(cause: events.SendCause) -> ExchangeFailure:
            return ExchangeFailure(cause, sent, connection is None or connection.is_new)

        reusable = False
        try:
            with trio.fail_after(call.timeout_s):
                connection = await self._acquire(call)
                if isinstance(connection, events.SendCause):
                    cause, connection = connection, None
                    return make_failure(cause)
                reply = await self._send_and_receive(
                    connection, call, authorize_first_byte, started_at
                )
            reusable = _is_reusable(connection, reply)
            return reply
        except _SendDeniedError:
            reusable = True
            return make_failure(events.SendCause.NO_CONNECTION)
        except trio.TooSlowError:
            return make_failure(
                events.SendCause.NO_REPLY if sent else events.SendCause.CONNECT_TIMEOUT
            )
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return make_failure(events.SendCause.CONNECTION_LOST)
        except (h11.RemoteProtocolError, h11.LocalProtocolError, ValueError):
            return make_failure(events.SendCause.BAD_REPLY)
        except Exception as error:
            # The bytes of a reply may raise whatever the libraries raise.
            logs.write(
                logs.Part.SERVER,
                "reply raised an unexpected exception",
                address=call.address,
                error=decoding.describe(error),
            )
            return make_failure(events.SendCause.BAD_REPLY)
        finally:
            if connection is not None:
                self._release(call.address, connection, reusable)

    async def _acquire(
        self, call: events.SendToServer
    ) -> _Connection | events.SendCause:
        """Return an idle or new connection, or why there is none.

        The idle connection used last comes first. If the call needs a live connection,
        its last exchange must be at most `CONNECTION_LIVE_S` ago.
        """
        self._close_expired(call.address)
        idle = self._idle.get(call.address)
        now = trio.current_time()
        if idle and (
            not call.needs_live_connection
            or now - idle[-1].last_active_at <= CONNECTION_LIVE_S
        ):
            return idle.pop()
        if not call.may_connect:
            return events.SendCause.NO_CONNECTION
        if self._open_counts[call.address] >= self._connections_max(call.address):
            if not idle:
                return events.SendCause.NO_CONNECTION
            # The share is used up and no idle connection is known to work, so the
            # oldest one is replaced.
            self._close(call.address, idle.popleft())
        return await self._connect(call.address)

    async def _connect(self, address: str) -> _Connection | events.SendCause:
        host, _, port = address.rpartition(":")
        self._open_counts[address] += 1
        try:
            with trio.move_on_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(host.strip("[]"), int(port))
                connection = _Connection(stream)
                return connection
        except OSError:
            self._open_counts[address] -= 1
            return events.SendCause.CONNECT_REFUSED
        except BaseException:
            self._open_counts[address] -= 1
            raise
        self._open_counts[address] -= 1
        return events.SendCause.CONNECT_TIMEOUT

    async def _send_and_receive(
        self,
        connection: _Connection,
        call: events.SendToServer,
        authorize_first_byte: typing.Callable[[], None],
        started_at: float,
    ) -> Reply:
        headers = [
            ("host", call.address),
            ("content-length", str(len(call.body))),
            *call.headers,
        ]
        request = h11.Request(method=call.method, target=call.path, headers=headers)
        # Data received before the request was sent cannot be its reply.
        if connection.http.trailing_data[0]:
            raise ValueError("received data before the request was sent")
        authorize_first_byte()
        data = connection.http.send(request)
        data += connection.http.send(h11.Data(data=call.body))
        data += connection.http.send(h11.EndOfMessage())
        await connection.stream.send_all(data)
        response, body = await _receive(connection)
        return Reply(
            response.status_code,
            {
                name.decode("ascii"): value.decode("latin-1")
                for name, value in response.headers
            },
            body,
            trio.current_time() - started_at,
            connection.is_new,
        )

    def _release(self, address: str, connection: _Connection, reusable: bool) -> None:
        """Return a connection to the pool, or close it if it is not reusable."""
        if not reusable:
            self._close(address, connection)
            return
        connection.last_active_at = trio.current_time()
        connection.is_new = False
        self._idle.setdefault(address, collections.deque()).append(connection)

    def _close_expired(self, address: str) -> None:
        idle = self._idle.get(address)
        now = trio.current_time()
        while idle and now - idle[0].last_active_at > IDLE_MAX_S:
            self._close(address, idle.popleft())

    def _close(self, address: str, connection: _Connection) -> None:
        # Closing the socket directly never blocks; the server sees the connection end
        # and cancels its work.
        connection.stream.socket.close()
        self._open_counts[address] -= 1


async def _receive(connection: _Connection) -> tuple[h11.Response, bytes]:
    """Receive a complete reply.

    Raises
    ------
    ValueError
        The body is too large or has no length, or data follows the reply.
    h11.RemoteProtocolError
        The reply is not valid HTTP.
    trio.BrokenResourceError
        The connection closed before the reply.
    """
    response: h11.Response | None = None
    body = bytearray()
    interim = received = chunks = 0
    while True:
        event = connection.http.next_event()
        if event is h11.NEED_DATA:
            data = await connection.stream.receive_some(_RECEIVE_BYTES_MAX)
            received += len(data)
            if received > FRAMING_FACTOR_MAX * REPLY_BYTES_MAX:
                raise ValueError("reply does not end")
            connection.http.receive_data(data)
        elif isinstance(event, h11.InformationalResponse):
            interim += 1
            if interim > INTERIM_REPLIES_MAX:
                raise ValueError("too many interim replies")
        elif isinstance(event, h11.Response):
            response = event
            _check_body_length(response)
        elif isinstance(event, h11.Data):
            body += event.data
            chunks += event.chunk_start
            framing.check_chunks(chunks, len(body))
            if len(body) > REPLY_BYTES_MAX:
                raise ValueError("reply body exceeds REPLY_BYTES_MAX")
        elif isinstance(event, h11.EndOfMessage):
            if response is None:
                raise ValueError("reply ended without a status line")
            if connection.http.trailing_data[0]:
                raise ValueError("received data after the end of the reply")
            return response, bytes(body)
        elif isinstance(event, h11.ConnectionClosed):
            raise trio.BrokenResourceError(
                "connection closed before the reply was complete"
            )


def _check_body_length(response: h11.Response) -> None:
    """Raise ValueError if the end of the body is marked by the end of the connection.

    A truncated body could then not be told from a complete one.
    """
    names = {name for name, _ in response.headers}
    if not names & {b"content-length", b"transfer-encoding"}:
        raise ValueError("reply has neither Content-Length nor Transfer-Encoding")


def _is_reusable(connection: _Connection, reply: Reply) -> bool:
    """Return whether the connection can be kept, and prepare it for a new exchange."""
    http = connection.http
    if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
        return False
    http.start_next_cycle()
    return reply.headers.get("connection", "").lower() != "close"
