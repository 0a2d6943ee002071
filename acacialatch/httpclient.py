"""HTTP/1.1 client for backend servers with a connection pool for each server."""

import abc
import collections
import typing

import h11
import trio

from acacialatch import events

CONNECTION_LIVE_S = 1.0
"""Time in seconds during which a finished exchange proves a connection usable."""

IDLE_MAX_S = 4.0
"""Idle connections older than this are closed before the server closes them."""

CONNECT_TIMEOUT_S = 1.0
REPLY_BYTES_MAX = 4_000_000
_RECEIVE_BYTES = 65536


class Reply(typing.NamedTuple):
    """A whole reply of a backend server."""

    status: int
    headers: dict[str, str]
    body: bytes
    latency_s: float
    is_new_connection: bool


class ExchangeFailure(typing.NamedTuple):
    """An exchange without a whole reply.

    Attributes
    ----------
    cause : events.SendCause
        What went wrong.
    bytes_sent : bool
        Whether any byte of the request may have reached the server.
    is_new_connection : bool
        Whether the connection was opened for this exchange.
    """

    cause: events.SendCause
    bytes_sent: bool
    is_new_connection: bool


class ServerClient(abc.ABC):
    """Sends calls to backend servers."""

    @abc.abstractmethod
    async def exchange(
        self,
        call: events.SendToServer,
        on_first_byte: typing.Callable[[float], bool] | None = None,
    ) -> Reply | ExchangeFailure:
        """Run one exchange.

        Parameters
        ----------
        call : events.SendToServer
            The exchange to run.
        on_first_byte : callable, optional
            Called directly before the first byte is sent, with the time of the last
            exchange on the connection or of its set-up, in seconds. A false result
            stops the exchange, and no byte is sent.
        """

    @abc.abstractmethod
    def count_open(self, address: str) -> int:
        """Return the number of connections to a server, those in set-up included."""

    @abc.abstractmethod
    def count_idle(self, address: str) -> int:
        """Return the number of idle connections to a server."""


class _Connection:
    def __init__(self, stream: trio.SocketStream):
        self.stream = stream
        self.http = h11.Connection(h11.CLIENT, REPLY_BYTES_MAX)
        self.last_active_at = trio.current_time()
        self.is_new = True


class _StoppedError(Exception):
    """The caller of `exchange` stopped it before the first byte."""


class PooledClient(ServerClient):
    """Client over TCP that keeps idle connections for reuse.

    A connection whose exchange was cancelled, timed out or failed is closed and
    never used again, so a late reply cannot answer another request.

    Parameters
    ----------
    limit : callable
        Returns the most connections that may be open to a server address.
    """

    def __init__(self, limit: typing.Callable[[str], int]):
        self._limit = limit
        self._idle: dict[str, collections.deque[_Connection]] = {}
        self._open: collections.Counter[str] = collections.Counter()

    def count_open(self, address: str) -> int:
        """Return the number of connections to a server, those in set-up included."""
        return self._open[address]

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
        started = trio.current_time()
        sent = False
        connection: _Connection | None = None

        def note_first_byte() -> None:
            nonlocal sent
            assert isinstance(connection, _Connection)
            last_active_at = connection.last_active_at
            if on_first_byte is not None and not on_first_byte(last_active_at):
                raise _StoppedError
            sent = True

        def fail(cause: events.SendCause) -> ExchangeFailure:
            return ExchangeFailure(cause, sent, connection is None or connection.is_new)

        reusable = False
        try:
            with trio.fail_after(call.timeout_s):
                connection = await self._acquire(call)
                if isinstance(connection, events.SendCause):
                    cause, connection = connection, None
                    return fail(cause)
                reply = await self._run(connection, call, note_first_byte, started)
            reusable = _is_reusable(connection, reply)
            return reply
        except _StoppedError:
            reusable = True
            return fail(events.SendCause.NO_CONNECTION)
        except trio.TooSlowError:
            return fail(
                events.SendCause.NO_REPLY if sent else events.SendCause.CONNECT_TIMEOUT
            )
        except (h11.RemoteProtocolError, h11.LocalProtocolError, ValueError):
            return fail(events.SendCause.BAD_REPLY)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            return fail(events.SendCause.CONNECTION_LOST)
        finally:
            if connection is not None:
                self._release(call.address, connection, reusable)

    async def _acquire(
        self, call: events.SendToServer
    ) -> _Connection | events.SendCause:
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
        if self._open[call.address] >= self._limit(call.address):
            if not idle:
                return events.SendCause.NO_CONNECTION
            # The share is used up by connections that are not proved.
            self._close(call.address, idle.popleft())
        return await self._connect(call.address)

    async def _connect(self, address: str) -> _Connection | events.SendCause:
        host, _, port = address.rpartition(":")
        self._open[address] += 1
        try:
            with trio.move_on_after(CONNECT_TIMEOUT_S):
                stream = await trio.open_tcp_stream(host.strip("[]"), int(port))
                connection = _Connection(stream)
                return connection
        except OSError:
            self._open[address] -= 1
            return events.SendCause.CONNECT_REFUSED
        except BaseException:
            self._open[address] -= 1
            raise
        self._open[address] -= 1
        return events.SendCause.CONNECT_TIMEOUT

    async def _run(
        self,
        connection: _Connection,
        call: events.SendToServer,
        note_first_byte: typing.Callable[[], None],
        started: float,
    ) -> Reply:
        headers = [
            ("host", call.address),
            ("content-length", str(len(call.body))),
            *call.headers,
        ]
        request = h11.Request(method=call.method, target=call.path, headers=headers)
        # A reply that arrived before the request answers something else.
        if connection.http.trailing_data[0]:
            raise ValueError("data before the request")
        note_first_byte()
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
            trio.current_time() - started,
            connection.is_new,
        )

    def _release(self, address: str, connection: _Connection, reusable: bool) -> None:
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
        # Closing the socket directly never blocks and tells the server to cancel.
        connection.stream.socket.close()
        self._open[address] -= 1


async def _receive(connection: _Connection) -> tuple[h11.Response, bytes]:
    response: h11.Response | None = None
    body = bytearray()
    while True:
        event = connection.http.next_event()
        if event is h11.NEED_DATA:
            data = await connection.stream.receive_some(_RECEIVE_BYTES)
            connection.http.receive_data(data)
        elif isinstance(event, h11.Response):
            response = event
            _check_framing(response)
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > REPLY_BYTES_MAX:
                raise ValueError("reply body over the limit")
        elif isinstance(event, h11.EndOfMessage):
            if response is None:
                raise ValueError("reply without a status line")
            if connection.http.trailing_data[0]:
                raise ValueError("data after the reply")
            return response, bytes(body)
        elif isinstance(event, h11.ConnectionClosed):
            raise trio.BrokenResourceError("closed before the reply")


def _check_framing(response: h11.Response) -> None:
    """Refuse a body that ends with the connection: a short one looks whole."""
    names = {name for name, _ in response.headers}
    if not names & {b"content-length", b"transfer-encoding"}:
        raise ValueError("reply without a body length")


def _is_reusable(connection: _Connection, reply: Reply) -> bool:
    http = connection.http
    if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
        return False
    http.start_next_cycle()
    return reply.headers.get("connection", "").lower() != "close"
