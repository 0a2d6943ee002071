"""HTTP/1.1 server towards callers."""

import functools
import typing

import h11
import trio

KEEP_ALIVE_S = 5.0
"""Idle time in seconds after which callers must not reuse a connection."""

KEEP_ALIVE_MARGIN_S = 2.0
"""Extra idle time granted before the server closes an idle connection."""

REQUEST_TIMEOUT_S = 10.0
"""Longest time in seconds to receive one request after its first byte."""

SEND_TIMEOUT_S = 10.0
LINGER_S = 1.0
"""Longest time for which the rest of a refused request is read, in seconds.

A socket closed with unread data resets the connection, which can destroy the answer
before the caller has read it.
"""

HEADER_BYTES_MAX = 16_384
BODY_BYTES_MAX = 262_144
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
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    peer: str


class Response(typing.NamedTuple):
    """An answer to a caller, with a JSON body."""

    status: int
    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


class _BodyTooLargeError(Exception):
    """The request body is over `BODY_BYTES_MAX`."""


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
        Function from `"malformed_request"`, `"body_too_large"` or `"internal"`
        to the `Response` for it.
    on_error : callable
        Called with the exception when the handler raises.
    """

    def __init__(
        self,
        handler: Handler,
        refuse: Refusal,
        on_error: typing.Callable[[Exception], None] = lambda error: None,
    ):
        self._handler = handler
        self._refuse = refuse
        self._on_error = on_error
        self._closing = False
        self.connections = 0

    def announce_close(self) -> None:
        """Add `connection: close` to every response from now on."""
        self._closing = True

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

    def is_closing(self) -> bool:
        """Return whether responses must close their connection."""
        return self._closing


class _Session:
    """One connection of a caller."""

    def __init__(self, server: Server, stream: trio.SocketStream):
        self._server = server
        self._stream = stream
        self._http = h11.Connection(h11.SERVER, HEADER_BYTES_MAX)
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
            if request is None:
                return
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
        timeout_s = KEEP_ALIVE_S + KEEP_ALIVE_MARGIN_S
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                if self._http.they_are_waiting_for_100_continue:
                    await self._send_continue()
                data = await self._receive(timeout_s)
                if data is None:
                    return None
                # A slow request is bounded from its first byte.
                timeout_s = REQUEST_TIMEOUT_S
                self._http.receive_data(data)
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > BODY_BYTES_MAX:
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
        while buffered <= BODY_BYTES_MAX:
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
        headers = [
            ("content-type", "application/json"),
            ("content-length", str(len(response.body))),
            *response.headers,
        ]
        if must_close:
            headers.append(("connection", "close"))
        else:
            headers.append(("keep-alive", f"timeout={int(KEEP_ALIVE_S)}"))
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        head = h11.Response(status_code=response.status, headers=headers)
        data = self._http.send(head)
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
    return Request(head.method.decode("ascii"), path, query, headers, body, peer)


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
