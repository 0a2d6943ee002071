"""Tests of the connections to backend servers, over loopback sockets."""

import functools

import pytest
import trio

from acacialatch import backendclient, forwarding

WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class PlainProtocol(backendclient.BackendProtocol):
    """Sends a bare request and takes any reply."""

    def encode(self, send):
        return b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"

    def decode(self, send, status, fields, body):
        return forwarding.Reply(status, "s", (), body)


class Collector(backendclient.Receiver):
    """Keeps outcomes."""

    def __init__(self):
        self.sender, self.receiver = trio.open_memory_channel(100)

    def handle_reply(self, number, reply):
        self.sender.send_nowait((number, reply))

    def handle_failure(self, number, failure):
        self.sender.send_nowait((number, failure))

    async def next(self):
        with trio.fail_after(5):
            return await self.receiver.receive()


async def answer(stream, replies, accepted, close):
    accepted.append(stream)
    async with stream:
        for reply in replies:
            if not await stream.receive_some(65536):
                return
            await stream.send_all(reply)
        if not close:
            await trio.sleep_forever()


class Backend:
    """A stand-in for one backend server with prepared replies."""

    def __init__(self, nursery):
        self._nursery = nursery
        self.accepted = []
        self.address = ""

    async def serve(self, replies, close=False):
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        handler = functools.partial(
            answer, replies=replies, accepted=self.accepted, close=close
        )
        self._nursery.start_soon(trio.serve_listeners, handler, [listener])
        self.address = f"127.0.0.1:{listener.socket.getsockname()[1]}"


def make_send(number, address, needs_live_connection=False):
    request = forwarding.Request("r", "a", "GET", "/", "/", (), b"", 1.0)
    return forwarding.Send(number, address, "i", request, 1.0, needs_live_connection, 4)


async def exchange(nursery, replies, close=False, count=1):
    backend, collector = Backend(nursery), Collector()
    await backend.serve(replies, close)
    client = backendclient.BackendClient(PlainProtocol(), collector, nursery)
    outcomes = []
    for number in range(count):
        client.send(make_send(number, backend.address))
        outcomes.append((await collector.next())[1])
    return outcomes, backend, client


async def test_connection_is_used_again(nursery):
    outcomes, backend, client = await exchange(nursery, [WHOLE, WHOLE], count=2)
    assert [reply.body for reply in outcomes] == [b"ok", b"ok"]
    assert len(backend.accepted) == client.opened == 1


@pytest.mark.parametrize(
    "reply",
    [
        WHOLE + b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra",
        WHOLE + b"noise",
        WHOLE.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n"),
        WHOLE.replace(b"\r\n\r\n", b"\r\nkeep-alive: timeout=0\r\n\r\n"),
    ],
)
async def test_connection_is_not_used_after_surplus_bytes_or_close(nursery, reply):
    """Guards against a reply that is taken for that of the next request."""
    outcomes, _, client = await exchange(nursery, [reply, WHOLE], count=2)
    assert [reply.body for reply in outcomes] == [b"ok", b"ok"]
    assert client.opened == 2


@pytest.mark.parametrize(
    ("reply", "kind"),
    [
        (
            b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok",
            forwarding.FailureKind.CONNECTION_LOST,
        ),
        (b"", forwarding.FailureKind.CONNECTION_LOST),
        (b"\x00\x01 noise\r\n\r\n", forwarding.FailureKind.MALFORMED_REPLY),
    ],
)
async def test_reply_that_is_not_whole_is_a_failure(nursery, reply, kind):
    outcomes, _, client = await exchange(nursery, [reply], close=True)
    assert outcomes[0].kind is kind
    assert client.connections == 0


async def test_reply_without_a_length_ends_with_its_connection(nursery):
    outcomes, _, _ = await exchange(nursery, [b"HTTP/1.1 200 OK\r\n\r\nok"], close=True)
    assert outcomes[0].body == b"ok"


async def test_refused_connection_means_not_sent(nursery):
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
    await listener.aclose()
    collector = Collector()
    client = backendclient.BackendClient(PlainProtocol(), collector, nursery)
    client.send(make_send(1, address))
    _, failure = await collector.next()
    assert failure.kind is forwarding.FailureKind.NOT_SENT


async def test_request_that_must_not_run_twice_avoids_an_old_connection(nursery):
    _, backend, client = await exchange(nursery, [WHOLE, WHOLE])
    with trio.move_on_after(backendclient.FRESH_S + 0.1):
        await trio.sleep_forever()
    client.send(make_send(9, backend.address, needs_live_connection=True))
    assert client.opened == 2


async def test_cancelled_send_closes_its_connection(nursery):
    backend, collector = Backend(nursery), Collector()
    await backend.serve([])
    client = backendclient.BackendClient(PlainProtocol(), collector, nursery)
    client.send(make_send(1, backend.address))
    with trio.fail_after(5):
        while not backend.accepted:
            await trio.sleep(0.001)
    client.cancel(1)
    assert client.connections == 0
