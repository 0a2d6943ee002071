"""HTTP/1.1 server for callers."""

import functools
import typing

import h11
import trio

from acacialatch import framing

KEEP_ALIVE_MARGIN_S = 2.0
"""Idle time that a connection is kept beyond that announced to callers, in seconds."""

SEND_TIMEOUT_S = 10.0

ACCEPT_REST_S = 0.01
"""Wait for each further connection that was set up before the listener closes.

The kernel has accepted it, so that its caller may have sent a request already.
"""

LAST_REQUEST_S = 0.05
"""Time in seconds for which a closing idle connection is read for a last request."""

LINGER_TIMEOUT_S = 1.0
"""Longest time for which the rest of a refused request is read, in seconds.

Closing a socket with unread data resets the connection, and the caller may then lose
the response before it has read it.
"""

_RECEIVE_BYTES_MAX = 65536


class Request(typing.NamedTuple):
    """A complete request of a caller.

    Attributes
    ----------
    method, path, query : str
        Method, and path and query string of the request target.
    headers : dict
        Header fields, names in lower case; of repeated fields only the last.
    body : bytes
        Request body.
    peer : str
        IP address of the caller.
    target : str
        Request target as received.
    fields : tuple of (bytes, bytes)
        All header fields in order of arrival, names in lower case.
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
    """A response to a caller.

    Attributes
    ----------
    status : int
        HTTP status code.
    body : bytes
        Response body.
    headers : tuple
        Additional header fields.
    content_type : str
        Content type; empty if there is none or `headers` contains it.
    """

    status: int
    body: bytes
    headers: tuple[tuple[str | bytes, str | bytes], ...] = ()
    content_type: str = "application/json"


class Limits(typing.NamedTuple):
    """Limits on the requests and connections of callers.

    Attributes
    ----------
    header_bytes_max, body_bytes_max : int
        Largest head and body of a request, in bytes.
    request_timeout_s : float
        Longest wait for more data of a request after its first bytes, in seconds.
    idle_timeout_s : float
        Idle time after which a connection is closed, in seconds.
    """

    header_bytes_max: int = 16_384
    body_bytes_max: int = 262_144
    request_timeout_s: float = 10.0
    idle_timeout_s: float = 7.0


class _BodyTooLargeError(Exception):
    """The request body exceeds `Limits.body_bytes_max`."""


class _RequestTimeoutError(Exception):
    """The rest of a request did not arrive in time."""


Handler = typing.Callable[[Request], typing.Awaitable[Response]]
ErrorResponder = typing.Callable[[str], Response]


class Server:
    """Serves the connections of callers.

    Parameters
    ----------
    handler : callable
        Async function from `Request` to `Response`. It is cancelled when the
        caller closes the connection.
    make_error_response : callable
        Returns the `Response` for one of the errors `"malformed_request"`,
        `"body_too_large"`, `"request_timeout"` and `"internal"`.
    on_error : callable
        Called with the exception if the handler raises one.
    read_limits : callable
        Returns the limits in force.
    """

    def __init__(
        self,
        handler: Handler,
        make_error_response: ErrorResponder,
        on_error: typing.Callable[[Exception], None] = lambda error: None,
        read_limits: typing.Callable[[], Limits] = Limits,
    ):
        self._handler = handler
        self._make_error_response = make_error_response
        self._on_error = on_error
        self._read_limits = read_limits
        self._announces_close = False
        self._closes_idle = False
        self._idle_scopes: set[trio.CancelScope] = set()
        self.connections = 0

    def announce_close(self) -> None:
        """Add `connection: close` to every response from now on."""
        self._announces_close = True

    def close_idle(self) -> None:
        """Close idle connections now, and others as soon as they become idle.

        A request of which some bytes arrive within `LAST_REQUEST_S` is still read and
        answered.
        """
        self._closes_idle = True
        for scope in self._idle_scopes:
            scope.cancel()

    async def receive_first_bytes(
        self, stream: trio.SocketStream, timeout_s: float
    ) -> bytes | None:
        """Return the first bytes of a request, or None if the connection must close.

        They are empty if the caller has closed the connection.
        """
        if not self._closes_idle:
            with trio.move_on_after(timeout_s) as scope:
                self._idle_scopes.add(scope)
                try:
                    return await stream.receive_some(_RECEIVE_BYTES_MAX)
                finally:
                    self._idle_scopes.discard(scope)
        if self._closes_idle:
            with trio.move_on_after(LAST_REQUEST_S):
                return await stream.receive_some(_RECEIVE_BYTES_MAX)
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
            await _CallerConnection(self, stream).run()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception as error:
            # Such as a reply whose header fields cannot be sent. It ends only the
            # connection that it concerns.
            self._on_error(error)
        finally:
            self.connections -= 1
            with trio.move_on_after(1) as scope:
                scope.shield = True
                await stream.aclose()

    async def answer(self, request: Request) -> Response:
        """Run the handler; if it raises, return the response for `"internal"`."""
        try:
            return await self._handler(request)
        except Exception as error:
            self._on_error(error)
            return self._make_error_response("internal")

    def make_error_response(self, kind: str) -> Response:
        """Return the response for an error."""
        return self._make_error_response(kind)

    def read_limits(self) -> Limits:
        """Return the limits in force."""
        return self._read_limits()

    def announces_close(self) -> bool:
        """Return whether responses must close their connection."""
        return self._announces_close


class _CallerConnection:
    """One connection of a caller."""

    def __init__(self, server: Server, stream: trio.SocketStream):
        self._server = server
        self._stream = stream
        self._limits = server.read_limits()
        self._http = h11.Connection(h11.SERVER, self._limits.header_bytes_max)
        self._method = ""
        self._is_caller_gone = False
        self._caller_ip = str(stream.socket.getpeername()[0])

    async def run(self) -> None:
        """Serve requests until the connection closes."""
        while True:
            try:
                request = await self._read_request()
            except (h11.RemoteProtocolError, ValueError):
                await self._send_and_discard_rest(
                    self._server.make_error_response("malformed_request")
                )
                return
            except _BodyTooLargeError:
                await self._send_and_discard_rest(
                    self._server.make_error_response("body_too_large")
                )
                return
            except _RequestTimeoutError:
                await self._send_and_discard_rest(
                    self._server.make_error_response("request_timeout")
                )
                return
            if request is None:
                return
            self._method = request.method
            response = await self._handle(request)
            if response is None:
                return
            must_close = self._server.announces_close()
            await self._send(response, must_close)
            if must_close or self._http.our_state is not h11.DONE:
                return
            if self._http.their_state is not h11.DONE:
                return
            self._http.start_next_cycle()

    async def _read_request(self) -> Request | None:
        """Return the next request, or None if the connection must close.

        Raises
        ------
        h11.RemoteProtocolError, ValueError
            The request is malformed.
        _BodyTooLargeError
            The body exceeds the limit.
        _RequestTimeoutError
            No more data of a partial request arrived in time.
        """
        head: h11.Request | None = None
        body = bytearray()
        chunks = 0
        self._limits = self._server.read_limits()
        started = False
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if self._http.they_are_waiting_for_100_continue:
                    await self._send_continue()
                if started:
                    # After the first bytes, the request time-out applies.
                    data = await self._receive(self._limits.request_timeout_s)
                    if data is None:
                        raise _RequestTimeoutError
                else:
                    idle_s = self._limits.idle_timeout_s
                    data = await self._server.receive_first_bytes(self._stream, idle_s)
                    if data is None:
                        return None
                    started = True
                self._http.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                chunks += event.chunk_start
                framing.check_chunks(chunks, len(body))
                if len(body) > self._limits.body_bytes_max:
                    raise _BodyTooLargeError
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _make_request(head, bytes(body), self._caller_ip)
            else:
                return None

    async def _receive(self, timeout_s: float) -> bytes | None:
        with trio.move_on_after(timeout_s):
            return await self._stream.receive_some(_RECEIVE_BYTES_MAX)
        return None

    async def _send_continue(self) -> None:
        event = h11.InformationalResponse(status_code=100, headers=[])
        await self._stream.send_all(self._http.send(event))

    async def _handle(self, request: Request) -> Response | None:
        """Return the response, or None if the caller has closed the connection."""
        response: Response | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_caller, nursery.cancel_scope)
            response = await self._server.answer(request)
            nursery.cancel_scope.cancel()
        return None if self._is_caller_gone else response

    async def _watch_caller(self, scope: trio.CancelScope) -> None:
        """Cancel `scope` when the caller closes the connection.

        Data of the next request is buffered, up to the limit of a body.
        """
        buffered = 0
        while buffered <= self._limits.body_bytes_max:
            try:
                data = await self._stream.receive_some(_RECEIVE_BYTES_MAX)
            except (OSError, trio.BrokenResourceError):
                data = b""
            if not data:
                self._is_caller_gone = True
                scope.cancel()
                return
            # A pipelined request is parsed in the next cycle.
            buffered += len(data)
            self._http.receive_data(data)

    async def _send_and_discard_rest(self, response: Response) -> None:
        """Send the final response, then discard what the caller still sends."""
        await self._send(response, True)
        with trio.move_on_after(LINGER_TIMEOUT_S):
            await self._stream.send_eof()
            while await self._stream.receive_some(_RECEIVE_BYTES_MAX):
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
        IP address and port; with port 0 the system chooses a free one.

    Raises
    ------
    OSError
        The address cannot be bound.
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

    Accepted connections are still served in `nursery`, and so are those that the
    kernel had accepted by then.
    """
    # Keeps the queue of connections when the listener is closed.
    rest = trio.SocketListener(listener.socket.dup())
    async with rest:
        with scope:
            await serve_listener(server, listener, nursery)
        while True:
            stream: trio.SocketStream | None = None
            with trio.move_on_after(ACCEPT_REST_S):
                stream = await rest.accept()
            if stream is None:
                return
            nursery.start_soon(server.serve, stream)
