"""Tests for acacialatch.httpclient."""

import typing

import pytest
import trio

from acacialatch import events, httpclient

OK_REPLY = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class ScriptedServer:
    """Server on loopback that answers each request with the next reply.

    None stands for no answer.
    """

    def __init__(self, *replies: bytes | None):
        self.replies = list(replies)
        self.accepted = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        self.accepted += 1
        async with stream:
            while await stream.receive_some(65536):
                reply = self.replies.pop(0)
                if reply is None:
                    await trio.sleep_forever()
                await stream.send_all(typing.cast(bytes, reply))


async def start(nursery: trio.Nursery, server: ScriptedServer) -> str:
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, server.serve, listeners)
    host, port = listeners[0].socket.getsockname()[:2]
    return f"{host}:{port}"


def make_call(address: str, **changes: typing.Any) -> events.SendToServer:
    call = events.SendToServer(1, address, "GET", "/status", (), b"", 5.0)
    return call._replace(**changes)


async def test_connection_is_reused(nursery):
    """Guards against a new connection for each exchange."""
    server = ScriptedServer(OK_REPLY, OK_REPLY)
    client = httpclient.PooledClient(lambda address: 3)
    address = await start(nursery, server)
    for _ in range(2):
        reply = await client.exchange(make_call(address))
        assert isinstance(reply, httpclient.Reply)
        assert reply.body == b"ok"
    assert server.accepted == 1


async def test_timed_out_connection_is_never_reused(nursery):
    """Guards against a late reply that answers the next request."""
    server = ScriptedServer(None, OK_REPLY)
    client = httpclient.PooledClient(lambda address: 3)
    address = await start(nursery, server)
    failed = await client.exchange(make_call(address, timeout_s=0.05))
    assert failed == httpclient.ExchangeFailure(events.SendCause.NO_REPLY, True, True)
    assert client.count_open(address) == 0
    reply = await client.exchange(make_call(address))
    assert isinstance(reply, httpclient.Reply)
    assert server.accepted == 2


@pytest.mark.parametrize(
    "reply",
    [
        OK_REPLY + b"extra",
        b"HTTP/1.1 200 OK\r\n\r\nno length",
        b"HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n",
        b"garbage\r\n\r\n",
        pytest.param(
            OK_REPLY.partition(b"\r\n")[0]
            + b"\r\ntransfer-encoding: chunked\r\n\r\n"
            + b"1\r\nx\r\n" * 5_000,
            id="small chunks",
        ),
    ],
)
async def test_malformed_reply_is_an_error(nursery, reply):
    """Guards against overlong, unframed or malformed replies taken as complete."""
    client = httpclient.PooledClient(lambda address: 3)
    address = await start(nursery, ScriptedServer(reply))
    failed = await client.exchange(make_call(address))
    assert isinstance(failed, httpclient.ExchangeFailure)
    assert failed.cause is events.SendCause.BAD_REPLY
    assert client.count_open(address) == 0


async def test_connect_refused_sends_no_byte():
    """Guards against an unknown outcome where no server was reached."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    await listeners[0].aclose()
    client = httpclient.PooledClient(lambda address: 3)
    failed = await client.exchange(make_call(f"127.0.0.1:{port}"))
    assert failed == httpclient.ExchangeFailure(
        events.SendCause.CONNECT_REFUSED, False, True
    )
    assert client.count_open(f"127.0.0.1:{port}") == 0


async def test_connection_limit_holds(nursery):
    """Guards against more connections than the share of this entry instance."""
    server = ScriptedServer(None, None, None)
    client = httpclient.PooledClient(lambda address: 2)
    address = await start(nursery, server)
    results = []

    async def call() -> None:
        results.append(await client.exchange(make_call(address, timeout_s=0.2)))

    async with trio.open_nursery() as calls:
        for _ in range(3):
            calls.start_soon(call)
    causes = sorted(failed.cause.value for failed in results)
    assert causes == ["no_connection", "no_reply", "no_reply"]
    assert server.accepted == 2


async def test_denied_first_byte_sends_nothing(nursery):
    """Guards against a send after the decision to send was withdrawn."""
    server = ScriptedServer(OK_REPLY)
    client = httpclient.PooledClient(lambda address: 3)
    address = await start(nursery, server)
    failed = await client.exchange(
        make_call(address), on_first_byte=lambda last_active_at: False
    )
    assert isinstance(failed, httpclient.ExchangeFailure)
    assert not failed.bytes_sent
    assert len(server.replies) == 1


async def test_connection_that_may_be_broken_is_not_used(nursery, mock_clock):
    """Guards against a long-idle connection used for a non-idempotent request."""
    server = ScriptedServer(OK_REPLY, OK_REPLY)
    client = httpclient.PooledClient(lambda address: 1)
    address = await start(nursery, server)
    await client.exchange(make_call(address))
    mock_clock.jump(httpclient.CONNECTION_LIVE_S + 0.1)
    reply = await client.exchange(make_call(address, needs_live_connection=True))
    assert isinstance(reply, httpclient.Reply)
    assert reply.is_new_connection
    assert server.accepted == 2
