"""Tests for acacialatch.httpserver."""

import pytest
import trio
import trio.testing

from acacialatch import httpserver

GET = b"GET /path?zone=nadi HTTP/1.1\r\nhost: a\r\n\r\n"


def make_error_response(kind: str) -> httpserver.Response:
    statuses = {
        "malformed_request": 400,
        "request_timeout": 408,
        "body_too_large": 413,
        "internal": 500,
    }
    return httpserver.Response(statuses[kind], kind.encode())


async def echo(request: httpserver.Request) -> httpserver.Response:
    text = f"{request.method} {request.path} {request.query} {len(request.body)}"
    return httpserver.Response(200, text.encode())


async def open_connection(nursery, server: httpserver.Server) -> trio.SocketStream:
    listener = await httpserver.listen("127.0.0.1:0")
    nursery.start_soon(httpserver.serve_listener, server, listener, nursery)
    host, port = listener.socket.getsockname()[:2]
    return await trio.open_tcp_stream(host, port)


async def exchange(stream: trio.SocketStream, data: bytes, end: bytes) -> bytes:
    await stream.send_all(data)
    received = b""
    with trio.fail_after(5):
        while not received.endswith(end):
            part = await stream.receive_some(65536)
            if not part:
                break
            received += part
    return received


async def test_serves_requests_in_sequence(nursery):
    """Guards against a connection that serves only one request."""
    stream = await open_connection(
        nursery, httpserver.Server(echo, make_error_response)
    )
    for _ in range(2):
        reply = await exchange(stream, GET, b"zone=nadi 0")
        assert reply.startswith(b"HTTP/1.1 200")
        assert b"keep-alive: timeout=5" in reply.lower()


async def test_serves_pipelined_requests(nursery):
    """Guards against loss of a request that arrives before the last is answered."""
    stream = await open_connection(
        nursery, httpserver.Server(echo, make_error_response)
    )
    reply = await exchange(
        stream, GET + GET.replace(b"/path", b"/last"), b"zone=nadi 0"
    )
    if b"/last" not in reply:
        reply += await exchange(stream, b"", b"zone=nadi 0")
    assert reply.count(b"HTTP/1.1 200") == 2


@pytest.mark.parametrize(
    ("data", "kind"),
    [
        (b"nonsense\r\n\r\n", b"malformed_request"),
        (b"GET / HTTP/1.1\r\n\r\n", b"malformed_request"),
        (
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 300000\r\n\r\n"
            + bytes(httpserver.Limits().body_bytes_max + 1),
            b"body_too_large",
        ),
        pytest.param(
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            + b"1\r\nx\r\n" * 5_000,
            b"malformed_request",
            id="small chunks",
        ),
    ],
)
async def test_bad_request_gets_a_clear_error(nursery, data, kind):
    """Guards against bad input that closes the connection without an answer."""
    server = httpserver.Server(echo, make_error_response)
    other = await open_connection(nursery, server)
    listener = await httpserver.listen("127.0.0.1:0")
    nursery.start_soon(httpserver.serve_listener, server, listener, nursery)
    stream = await trio.open_tcp_stream(*listener.socket.getsockname()[:2])
    assert kind in await exchange(stream, data, kind)
    assert b"200" in await exchange(other, GET, b"zone=nadi 0")


async def test_handler_error_becomes_an_answer(nursery):
    """Guards against an exception in one request that ends the process."""
    seen = []

    async def fail(request: httpserver.Request) -> httpserver.Response:
        raise KeyError("defect")

    server = httpserver.Server(fail, make_error_response, seen.append)
    stream = await open_connection(nursery, server)
    assert b"500" in await exchange(stream, GET, b"internal")
    assert len(seen) == 1


async def test_caller_gone_cancels_the_handler(nursery):
    """Guards against work that continues for a caller that has disconnected."""
    started, cancelled = trio.Event(), trio.Event()

    async def wait(request: httpserver.Request) -> httpserver.Response:
        started.set()
        try:
            await trio.sleep_forever()
        finally:
            cancelled.set()

    stream = await open_connection(
        nursery, httpserver.Server(wait, make_error_response)
    )
    await stream.send_all(GET)
    await started.wait()
    await stream.aclose()
    with trio.fail_after(5):
        await cancelled.wait()


async def test_close_is_announced(nursery):
    """Guards against a shutdown that interrupts a request in progress."""
    server = httpserver.Server(echo, make_error_response)
    stream = await open_connection(nursery, server)
    await exchange(stream, GET, b"zone=nadi 0")
    server.announce_close()
    reply = await exchange(stream, GET, b"never")
    assert b"connection: close" in reply.lower()
    assert reply.endswith(b"zone=nadi 0")


async def test_idle_connection_is_closed_and_a_partial_request_is_answered(nursery):
    """Guards against a shutdown that interrupts a request that is being read."""
    server = httpserver.Server(echo, make_error_response)
    idle = await open_connection(nursery, server)
    partial = await open_connection(nursery, server)
    await partial.send_all(GET[:10])
    while server.connections < 2:
        await trio.sleep(0)
    await trio.testing.wait_all_tasks_blocked()
    server.announce_close()
    server.close_idle()
    with trio.fail_after(5):
        assert await idle.receive_some(1) == b""
    assert b"200" in await exchange(partial, GET[10:], b"zone=nadi 0")


async def test_incomplete_request_times_out(nursery):
    """Guards against a partial request that holds its connection for ever."""
    limits = httpserver.Limits(request_timeout_s=0.05)
    server = httpserver.Server(echo, make_error_response, read_limits=lambda: limits)
    stream = await open_connection(nursery, server)
    assert b"request_timeout" in await exchange(stream, GET[:10], b"request_timeout")


async def test_request_of_a_connection_not_yet_accepted_is_answered(nursery):
    """Guards against a planned stop that cuts off requests sent just before it."""
    server = httpserver.Server(echo, make_error_response)
    listener = await httpserver.listen("127.0.0.1:0")
    host, port = listener.socket.getsockname()[:2]
    streams = [await trio.open_tcp_stream(host, port) for _ in range(3)]
    for stream in streams:
        await stream.send_all(GET)
    accepting = trio.CancelScope()
    accepting.cancel()
    server.announce_close()
    server.close_idle()
    await httpserver.serve_until_cancelled(server, listener, accepting, nursery)
    for stream in streams:
        reply = await exchange(stream, b"", b"zone=nadi 0")
        assert b"200" in reply
        assert b"connection: close" in reply.lower()


async def test_request_that_crosses_the_close_of_an_idle_connection_is_answered(
    nursery,
):
    """Guards against a planned stop that drops a request in the receive buffer."""
    server = httpserver.Server(echo, make_error_response)
    stream = await open_connection(nursery, server)
    await exchange(stream, GET, b"zone=nadi 0")
    server.announce_close()
    server.close_idle()
    assert b"200" in await exchange(stream, GET, b"zone=nadi 0")


async def test_response_that_cannot_be_sent_ends_only_its_connection(nursery):
    """Guards against a header field of a reply that ends the process."""
    seen = []

    async def answer_badly(request: httpserver.Request) -> httpserver.Response:
        return httpserver.Response(200, b"", ((b"a", b"b\x0bc\n"),))

    server = httpserver.Server(answer_badly, make_error_response, seen.append)
    stream = await open_connection(nursery, server)
    assert await exchange(stream, GET, b"never") == b""
    assert len(seen) == 1
