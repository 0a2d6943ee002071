"""HTTP/1.1 server towards callers."""

import functools
import typing

import h11
import trio

KEEP_ALIVE_MARGIN_S = 2.0
"""Idle time granted beyond what callers are told, before a connection is closed."""

SEND_TIMEOUT_S = 10.0
LINGER_S = 1.0
"""Longest time for which the rest of a refused request is read, in seconds.

A socket closed with unread data resets the connection, which can destroy the answer
before the caller has read it.
"""

_RECEIVE_BYTES = 65536


class Request(typing.NamedTuple):
    """A whole request of a caller.

    Attributes
    ----------
    method, path, query : str
        Parts of the request line.
    headers : dict
        Header fields, names in lower case.
    body : bytes
        Request body.
    peer : str
        IP address of the caller.
    target : str
        Request target as received.
    fields : tuple of (bytes, bytes)
        All header fields in their order, names in lower case.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    peer: str
    target: str = ""
    fields: tuple[tuple[bytes, bytes], ...] = ()


class Response(typing.NamedTuple):
    """An answer to a caller.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        Body.
    headers : tuple
        Further header fields.
    content_type : str
        Type of the body; empty if `headers` has it or there is none.
    """

    status: int
    body: bytes
    headers: tuple[tuple[str | bytes, str | bytes], ...] = ()
    content_type: str = "application/json"


class Limits(typing.NamedTuple):
    """Bounds on what callers send.

    Attributes
    ----------
    header_bytes_max, body_bytes_max : int
        Largest head and body of a request.
    request_timeout_s : float
        Longest time to receive one request after its first byte.
    idle_timeout_s : float
        Idle time after which a connection is closed.
    """

    header_bytes_max: int = 16_384
    body_bytes_max: int = 262_144
    request_timeout_s: float = 10.0
    idle_timeout_s: float = 7.0


class _BodyTooLargeError(Exception):
    """The request body is over the limit."""


class _RequestTimeoutError(Exception):
    """The rest of a request did not arrive in time."""


Handler = typing.Callable[[Request], typing.Awaitable[Response]]
Refusal = typing.Callable[[str], Response]


class Server:
    """Serves callers on one listening socket.

    Parameters
    ----------
    handler : callable
        Async function from `Request` to `Response`. It is cancelled when the
        caller closes the connection.
    refuse : callable
        Function from `"malformed_request"`, `"body_too_large"`, `"request_timeout"`
        or `"internal"` to the `Response` for it.
    on_error : callable
        Called with the exception when the handler raises.
    read_limits : callable
        Returns the bounds in force.
    """

    def __init__(
        self,
        handler: Handler,
        refuse: Refusal,
        on_error: typing.Callable[[Exception], None] = lambda error: None,
        read_limits: typing.Callable[[], Limits] = Limits,
    ):
        self._handler = handler
        self._refuse = refuse
        self._on_error = on_error
        self._read_limits = read_limits
        self._closing = False
        self._closing_idle = False
        self._idle: set[trio.CancelScope] = set()
        self.connections = 0

    def announce_close(self) -> None:
        """Add `connection: close` to every response from now on."""
        self._closing = True

    def close_idle(self) -> None:
        """Close connections that have no request, now and from now on.

        A request that has begun to arrive is still read and answered.
        """
        self._closing_idle = True
        for scope in self._idle:
            scope.cancel()

    async def receive_idle(
        self, stream: trio.SocketStream, timeout_s: float
    ) -> bytes | None:
        """Wait for the first bytes of a request; None if the connection must close."""
        if self._closing_idle:
            return None
        with trio.move_on_after(timeout_s) as scope:
            self._idle.add(scope)
            try:
                return await stream.receive_some(_RECEIVE_BYTES)
            finally:
                self._idle.discard(scope)
        return None

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection until it closes.

        Parameters
        ----------
        stream : trio.SocketStream
            The accepted connection.
        """
        self.connections += 1
        try:
            await _Session(self, stream).run()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.connections -= 1
            with trio.move_on_after(1) as scope:
                scope.shield = True
                await stream.aclose()

    async def answer(self, request: Request) -> Response:
        """Run the handler; an exception becomes an internal error."""
        try:
            return await self._handler(request)
        except Exception as error:
            self._on_error(error)
            return self._refuse("internal")

    def refuse(self, kind: str) -> Response:
        """Return the response for a request that cannot be handled."""
        return self._refuse(kind)

    def read_limits(self) -> Limits:
        """Return the bounds in force."""
        return self._read_limits()

    def is_closing(self) -> bool:
        """Return whether responses must close their connection."""
        return self._closing


class _Session:
    """One connection of a caller."""

    def __init__(self, server: Server, stream: trio.SocketStream):
        self._server = server
        self._stream = stream
        self._limits = server.read_limits()
        self._http = h11.Connection(h11.SERVER, self._limits.header_bytes_max)
        self._method = ""
        self._caller_gone = False
        self._peer = str(stream.socket.getpeername()[0])

    async def run(self) -> None:
        while True:
            try:
                request = await self._read_request()
            except h11.RemoteProtocolError:
                await self._send_last(self._server.refuse("malformed_request"))
                return
            except _BodyTooLargeError:
                await self._send_last(self._server.refuse("body_too_large"))
                return
            except _RequestTimeoutError:
                await self._send_last(self._server.refuse("request_timeout"))
                return
            if request is None:
                return
            self._method = request.method
            response = await self._handle(request)
            if response is None:
                return
            must_close = self._server.is_closing()
            await self._send(response, must_close)
            if must_close or self._http.our_state is not h11.DONE:
                return
            if self._http.their_state is not h11.DONE:
                return
            self._http.start_next_cycle()

    async def _read_request(self) -> Request | None:
        head: h11.Request | None = None
        body = bytearray()
        self._limits = self._server.read_limits()
        started = False
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if self._http.they_are_waiting_for_100_continue:
                    await self._send_continue()
                if started:
                    # A slow request is bounded from its first byte.
                    data = await self._receive(self._limits.request_timeout_s)
                    if data is None:
                        raise _RequestTimeoutError
                else:
                    idle_s = self._limits.idle_timeout_s
                    data = await self._server.receive_idle(self._stream, idle_s)
                    if data is None:
                        return None
                    started = True
                self._http.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._limits.body_bytes_max:
                    raise _BodyTooLargeError
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _make_request(head, bytes(body), self._peer)
            else:
                return None

    async def _receive(self, timeout_s: float) -> bytes | None:
        with trio.move_on_after(timeout_s):
            return await self._stream.receive_some(_RECEIVE_BYTES)
        return None

    async def _send_continue(self) -> None:
        event = h11.InformationalResponse(status_code=100, headers=[])
        await self._stream.send_all(self._http.send(event))

    async def _handle(self, request: Request) -> Response | None:
        response: Response | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_caller, nursery.cancel_scope)
            response = await self._server.answer(request)
            nursery.cancel_scope.cancel()
        return None if self._caller_gone else response

    async def _watch_caller(self, scope: trio.CancelScope) -> None:
        """Cancel the handler when the caller closes the connection."""
        buffered = 0
        while buffered <= self._limits.body_bytes_max:
            try:
                data = await self._stream.receive_some(_RECEIVE_BYTES)
            except (OSError, trio.BrokenResourceError):
                data = b""
            if not data:
                self._caller_gone = True
                scope.cancel()
                return
            # Early bytes of the next request are kept for the next cycle.
            buffered += len(data)
            self._http.receive_data(data)

    async def _send_last(self, response: Response) -> None:
        """Send an answer, then discard what the caller still sends."""
        await self._send(response, True)
        with trio.move_on_after(LINGER_S):
            await self._stream.send_eof()
            while await self._stream.receive_some(_RECEIVE_BYTES):
                pass

    async def _send(self, response: Response, must_close: bool) -> None:
        headers: list[tuple[str | bytes, str | bytes]] = [
            ("content-length", str(len(response.body))),
            *response.headers,
        ]
        if response.content_type:
            headers.append(("content-type", response.content_type))
        if must_close:
            headers.append(("connection", "close"))
        else:
            idle_s = self._limits.idle_timeout_s - KEEP_ALIVE_MARGIN_S
            headers.append(("keep-alive", f"timeout={max(1, int(idle_s))}"))
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        head = h11.Response(status_code=response.status, headers=headers)
        data = self._http.send(head)
        if self._method != "HEAD":
            data += self._http.send(h11.Data(data=response.body))
        data += self._http.send(h11.EndOfMessage()) or b""
        with trio.move_on_after(SEND_TIMEOUT_S):
            await self._stream.send_all(data)


def _make_request(head: h11.Request, body: bytes, peer: str) -> Request:
    target = head.target.decode("ascii", "replace")
    path, _, query = target.partition("?")
    headers = {
        name.decode("ascii"): value.decode("latin-1") for name, value in head.headers
    }
    return Request(
        head.method.decode("ascii"),
        path,
        query,
        headers,
        body,
        peer,
        target,
        tuple((name, value) for name, value in head.headers),
    )


async def listen(address: str) -> trio.SocketListener:
    """Open a listening socket.

    Parameters
    ----------
    address : str
        IP address and port; port 0 takes a free one.

    Raises
    ------
    OSError
        The address cannot be used.
    """
    host, _, port = address.rpartition(":")
    listeners = await trio.open_tcp_listeners(int(port), host=host.strip("[]"))
    return listeners[0]


async def serve_listener(
    server: Server,
    listener: trio.SocketListener,
    nursery: trio.Nursery,
) -> None:
    """Accept connections and serve each in `nursery` until cancelled."""
    await trio.serve_listeners(
        functools.partial(server.serve), [listener], handler_nursery=nursery
    )


async def serve_until_cancelled(
    server: Server,
    listener: trio.SocketListener,
    scope: trio.CancelScope,
    nursery: trio.Nursery,
) -> None:
    """Accept connections until `scope` is cancelled, then close the listener.

    Connections that were accepted go on in `nursery`.
    """
    with scope:
        await serve_listener(server, listener, nursery)
    await listener.aclose()
