"""Tests for acacialatch.backendclient, over loopback sockets."""

import functools

import pytest
import trio

from acacialatch import backendclient, forwarding

COMPLETE_REPLY = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class FixedRequestProtocol(backendclient.BackendProtocol):
    """Sends a fixed request and accepts any reply."""

    def encode(self, send):
        return b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"

    def decode(self, send, status, fields, body):
        return forwarding.Reply(status, "s", (), body)


class OutcomeCollector(backendclient.Receiver):
    """Collects the outcomes of sends."""

    def __init__(self):
        self.sender, self.receiver = trio.open_memory_channel(100)

    def handle_reply(self, number, reply):
        self.sender.send_nowait((number, reply))

    def handle_failure(self, number, failure):
        self.sender.send_nowait((number, failure))

    async def next(self):
        with trio.fail_after(5):
            return await self.receiver.receive()


async def send_replies(stream, replies, accepted, close_after):
    accepted.append(stream)
    async with stream:
        for reply in replies:
            if not await stream.receive_some(65536):
                return
            await stream.send_all(reply)
        if not close_after:
            await trio.sleep_forever()


class BackendStandIn:
    """Stand-in for a backend server that sends prepared replies."""

    def __init__(self, nursery):
        self._nursery = nursery
        self.accepted = []
        self.address = ""

    async def serve(self, replies, close_after=False):
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        handler = functools.partial(
            send_replies,
            replies=replies,
            accepted=self.accepted,
            close_after=close_after,
        )
        self._nursery.start_soon(trio.serve_listeners, handler, [listener])
        self.address = f"127.0.0.1:{listener.socket.getsockname()[1]}"


def make_send(number, address, needs_live_connection=False):
    request = forwarding.Request("r", "a", "GET", "/", "/", (), b"", 1.0)
    return forwarding.Send(number, address, "i", request, 1.0, needs_live_connection, 4)


async def exchange_in_turn(nursery, replies, close_after=False, count=1):
    backend, collector = BackendStandIn(nursery), OutcomeCollector()
    await backend.serve(replies, close_after)
    client = backendclient.BackendClient(FixedRequestProtocol(), collector, nursery)
    outcomes = []
    for number in range(count):
        client.send(make_send(number, backend.address))
        outcomes.append((await collector.next())[1])
    return outcomes, backend, client


async def test_connection_is_reused(nursery):
    """Guards against a new connection for each request."""
    outcomes, backend, client = await exchange_in_turn(
        nursery, [COMPLETE_REPLY, COMPLETE_REPLY], count=2
    )
    assert [reply.body for reply in outcomes] == [b"ok", b"ok"]
    assert len(backend.accepted) == client.opened == 1


@pytest.mark.parametrize(
    "reply",
    [
        COMPLETE_REPLY + b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nextra",
        COMPLETE_REPLY + b"noise",
        COMPLETE_REPLY.replace(b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n"),
        COMPLETE_REPLY.replace(b"\r\n\r\n", b"\r\nkeep-alive: timeout=0\r\n\r\n"),
    ],
)
async def test_connection_is_not_reused_after_surplus_bytes_or_close(nursery, reply):
    """Guards against surplus bytes taken for the next reply, or a failed send."""
    outcomes, _, client = await exchange_in_turn(
        nursery, [reply, COMPLETE_REPLY], count=2
    )
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
async def test_incomplete_or_malformed_reply_is_a_failure(nursery, reply, kind):
    """Guards against a truncated reply taken as complete, and a wrong failure kind."""
    outcomes, _, client = await exchange_in_turn(nursery, [reply], close_after=True)
    assert outcomes[0].kind is kind
    assert client.connections == 0


async def test_reply_without_a_length_ends_with_its_connection(nursery):
    """Guards against failing a reply whose end is marked by the connection's end."""
    outcomes, _, _ = await exchange_in_turn(
        nursery, [b"HTTP/1.1 200 OK\r\n\r\nok"], close_after=True
    )
    assert outcomes[0].body == b"ok"


async def test_refused_connection_means_not_sent(nursery):
    """Guards against an unknown outcome where no byte was sent."""
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    address = f"127.0.0.1:{listener.socket.getsockname()[1]}"
    await listener.aclose()
    collector = OutcomeCollector()
    client = backendclient.BackendClient(FixedRequestProtocol(), collector, nursery)
    client.send(make_send(1, address))
    _, failure = await collector.next()
    assert failure.kind is forwarding.FailureKind.NOT_SENT


async def test_request_that_must_not_run_twice_avoids_an_old_connection(nursery):
    """Guards against an unknown outcome because an idle connection had broken."""
    _, backend, client = await exchange_in_turn(
        nursery, [COMPLETE_REPLY, COMPLETE_REPLY]
    )
    with trio.move_on_after(backendclient.CONNECTION_LIVE_S + 0.1):
        await trio.sleep_forever()
    client.send(make_send(9, backend.address, needs_live_connection=True))
    assert client.opened == 2


async def test_cancelled_send_closes_its_connection(nursery):
    """Guards against a server that goes on with work that was cancelled."""
    backend, collector = BackendStandIn(nursery), OutcomeCollector()
    await backend.serve([])
    client = backendclient.BackendClient(FixedRequestProtocol(), collector, nursery)
    client.send(make_send(1, backend.address))
    with trio.fail_after(5):
        while not backend.accepted:
            await trio.sleep(0.001)
    client.cancel(1)
    assert client.connections == 0
