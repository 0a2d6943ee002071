"""Tests for acacialatch.peers and its gRPC transport in acacialatch.wire."""

import contextlib
import functools
import random

import grpclib.client
import grpclib.const
import grpclib.exceptions
import msgspec
import pytest
import trio
import trio_asyncio

from acacialatch import errors, messages, model, peers, wire

NOT_SENT = errors.LinkErrorKind.NOT_SENT
REFUSED = errors.LinkErrorKind.REFUSED
UNKNOWN = errors.LinkErrorKind.UNKNOWN
BOUND_S = 10.0
CLIENTS = []


def make_digest(instance, facts=b""):
    return messages.Digest(
        instance=instance,
        incarnation="aa",
        zone="Nadi",
        caller_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        leaving=False,
        revision=7,
        digest="bb",
        service_age_s=0.5,
        facts=facts,
    )


def make_request(deadline_s=BOUND_S, body=b"booking"):
    return messages.ForwardRequest(
        key="k", service="s", body=body, deadline_s=deadline_s, request_key=1, hops=1
    )


class Handlers(peers.PeerHandlers):
    """Records the calls; a forward waits until `release` is set."""

    def __init__(self, name):
        self.name = name
        self.received = []
        self.entered = trio.Event()
        self.release = trio.Event()
        self.release.set()

    async def exchange(self, digest):
        self.received.append(digest.instance)
        return make_digest(self.name)

    async def fetch_configuration(self, request):
        text = messages.ConfigurationText(revision=request.revision + 1, text=b"t")
        return messages.ConfigurationReply(configuration=text)

    async def forward(self, request):
        self.received.append(request.body)
        self.entered.set()
        await self.release.wait()
        if request.body == b"fail":
            raise RuntimeError("handler fails")
        return messages.ForwardReply(kind="", status=200, body=request.body)


class Jitter(random.Random):
    """Returns the lower or the upper bound of each range."""

    def __init__(self, upper):
        super().__init__(0)
        self.upper = upper

    def uniform(self, a, b):
        return b if self.upper else a


@contextlib.asynccontextmanager
async def open_nursery():
    """Open the loop and a nursery; fail on any error reported to the loop."""
    reports = []
    with trio.fail_after(BOUND_S):
        async with wire.open_loop(reports.append), trio.open_nursery() as nursery:
            yield nursery
            while CLIENTS:
                CLIENTS.pop().close()
            nursery.cancel_scope.cancel()
    assert reports == []


async def start(nursery, name="a", address="127.0.0.1:0", **limits):
    server = peers.PeerServer(Handlers(name), **limits)
    scope = trio.CancelScope()

    async def serve(task_status):
        with scope:
            await server.serve(address, task_status)
        stopped.set()

    stopped = trio.Event()
    bound = await nursery.start(
        lambda task_status=trio.TASK_STATUS_IGNORED: serve(task_status)
    )
    return server, bound, scope, stopped


def make_client(address, upper=False, **limits):
    CLIENTS.append(peers.PeerClient(address, Jitter(upper), **limits))
    return CLIENTS[-1]


async def test_two_peers_call_each_other():
    """Guards against corrupted messages and calls that reach the wrong peer."""
    async with open_nursery() as nursery:
        _, first, *_ = await start(nursery, "a")
        _, second, *_ = await start(nursery, "b")
        to_first, to_second = make_client(first), make_client(second)
        assert (await to_second.exchange(make_digest("a"))).unwrap().instance == "b"
        assert (await to_first.exchange(make_digest("b"))).unwrap().instance == "a"
        request = messages.ConfigurationRequest(revision=4, digest="")
        reply = (await to_first.fetch_configuration(request)).unwrap()
        assert reply.configuration.revision == 5
        body = bytes(range(256)) * 4_000
        assert (await to_first.forward(make_request(body=body))).unwrap().body == body


async def test_client_reconnects_after_peer_restart(monkeypatch):
    """Guards against a client that stays broken after its peer restarts.

    A forward in progress when the peer dies must not be reported as not run. Two
    calls that fail on one connection increase the back-off only once.
    """
    # The slow client must still wait when the restarted peer has answered the other.
    monkeypatch.setattr(peers, "BACKOFF_MIN_S", peers.BACKOFF_MAX_S)
    async with open_nursery() as nursery:
        server, address, scope, stopped = await start(nursery)
        server._handlers.release = trio.Event()
        client, slow = make_client(address), make_client(address, upper=True)
        assert (await client.exchange(make_digest("b"))).is_ok()
        answers = []

        async def forward():
            answers.append(await client.forward(make_request()))
            if len(answers) == 2:
                answered.set()

        answered = trio.Event()
        nursery.start_soon(forward)
        nursery.start_soon(forward)
        while len(server._handlers.received) < 3:
            await trio.lowlevel.checkpoint()
        scope.cancel()
        await stopped.wait()
        await answered.wait()
        assert [answer.unwrap_err().kind for answer in answers] == [UNKNOWN] * 2
        assert client._consecutive_failures == 1
        assert (await client.forward(make_request())).unwrap_err().kind == NOT_SENT
        assert (await slow.forward(make_request())).unwrap_err().kind == NOT_SENT
        await start(nursery, "again", address)
        assert (await client.exchange(make_digest("b"))).unwrap().instance == "again"
        waiting = (await slow.exchange(make_digest("b"))).unwrap_err()
        assert waiting == errors.LinkFailure(NOT_SENT, "waiting to reconnect")


async def test_connect_timeout_is_not_sent():
    """Guards against an unbounded connect, and one reported as possibly run.

    The accept queue of the listener is full, so the handshake never completes.
    """
    async with open_nursery():
        with contextlib.ExitStack() as stack:
            listener = stack.enter_context(wire.bind("127.0.0.1:0"))
            listener.listen(0)
            for _ in range(4):
                filler = stack.enter_context(wire.bind("127.0.0.1:0"))
                filler.connect_ex(listener.getsockname())
            address = model.join_address(*listener.getsockname())
            answer = await make_client(address).forward(make_request())
            assert answer.unwrap_err() == (NOT_SENT, "connect timed out")


async def test_calls_to_unresponsive_peer_time_out():
    """Guards against unbounded calls and reuse of a connection that timed out."""
    async with open_nursery() as nursery:
        accepted = []
        enough = trio.Event()

        async def hold(stream):
            accepted.append(stream)
            if len(accepted) == 2:
                enough.set()
            await trio.sleep_forever()

        serve = functools.partial(trio.serve_tcp, hold, 0, host="127.0.0.1")
        listeners = await nursery.start(serve)
        port = listeners[0].socket.getsockname()[1]
        client = make_client(f"127.0.0.1:{port}")
        answers = []

        async def exchange():
            answers.append(await client.exchange(make_digest("b")))
            if len(answers) == 2:
                both.set()

        both = trio.Event()
        nursery.start_soon(exchange)
        nursery.start_soon(exchange)
        await both.wait()
        kinds = [answer.unwrap_err().kind for answer in answers]
        assert kinds == [NOT_SENT, UNKNOWN]
        short = await client.forward(make_request(deadline_s=0.1))
        assert short.unwrap_err().kind == UNKNOWN
        await enough.wait()
        request = messages.ConfigurationRequest(revision=4, digest="")
        for _ in range(2):
            answer = await client.fetch_configuration(request)
            assert answer.unwrap_err().kind == UNKNOWN
        assert len(accepted) == 4


async def test_oversized_messages_are_refused():
    """Guards against unbounded memory use, and a refusal that ends other calls."""
    large = make_request(body=bytes(200_000))
    async with open_nursery() as nursery:
        server, address, *_ = await start(nursery, limit=100_000)
        small = make_client(address, limit=100_000)
        assert (await small.forward(large)).unwrap_err().kind == NOT_SENT
        client = make_client(address)
        server._handlers.release = trio.Event()
        answers = []

        async def forward():
            answers.append(await client.forward(make_request()))
            answered.set()

        answered = trio.Event()
        nursery.start_soon(forward)
        await server._handlers.entered.wait()
        assert (await client.forward(large)).unwrap_err().kind == REFUSED
        assert server.refused == {"too_large": 1}
        server._handlers.release.set()
        await answered.wait()
        assert answers[0].is_ok()
        assert server._handlers.received == [b"booking"]


class LargeReplies(Handlers):
    """Answers a forward with a body of 5,000 bytes."""

    async def forward(self, request):
        return messages.ForwardReply(kind="", status=200, body=bytes(5_000))


async def test_oversized_reply_is_unknown():
    """Guards against a request reported as not run after its handler ran.

    Either the server refuses to send its reply, or the client to read it.
    """
    async with open_nursery() as nursery:
        for limits in ({}, {"limit": 1_000}):
            server = peers.PeerServer(LargeReplies("a"), **limits)
            address = await nursery.start(server.serve, "127.0.0.1:0")
            client = make_client(address, limit=1_000)
            failure = (await client.forward(make_request())).unwrap_err()
            assert failure.kind == UNKNOWN
            assert server.refused["handler"] == len(limits)
            assert (await client.exchange(make_digest("b"))).is_ok()


async def test_failed_handler_is_unknown():
    """Guards against a request reported as not run after its handler failed."""
    async with open_nursery() as nursery:
        server, address, *_ = await start(nursery)
        failure = await make_client(address).forward(make_request(body=b"fail"))
        assert failure.unwrap_err().kind == UNKNOWN
        assert server.refused == {"handler": 1}


INVALID_INPUTS = [
    b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    bytes(range(256)) * 64,
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\x00\x00\x04\x01\x05\x00\x00\x00\x01abcd",
]


async def test_invalid_input_does_not_affect_other_calls():
    """Guards against invalid bytes that end the process or calls in progress."""
    async with open_nursery() as nursery:
        server, address, *_ = await start(nursery)
        server._handlers.release = trio.Event()
        client = make_client(address)
        answers = []

        async def forward():
            answers.append(await client.forward(make_request()))
            answered.set()

        answered = trio.Event()
        nursery.start_soon(forward)
        await server._handlers.entered.wait()
        host, port = model.split_address(address)
        for invalid_input in INVALID_INPUTS:
            stream = await trio.open_tcp_stream(host, port)
            await stream.send_all(invalid_input)
            with contextlib.suppress(trio.BrokenResourceError):
                while await stream.receive_some():
                    pass
            await stream.aclose()
        # A frame of an unknown type must be ignored.
        stream = await trio.open_tcp_stream(host, port)
        preface = (
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"
        )
        await stream.send_all(preface + b"\x00\x00\x01\xee\x00\x00\x00\x00\x00x")
        assert await stream.receive_some()
        assert server.refused == {"bytes": len(INVALID_INPUTS)}
        await trio_asyncio.aio_as_trio(send_malformed_messages)(host, port)
        assert server.refused["malformed"] == 6
        server._handlers.release.set()
        await answered.wait()
        assert answers[0].is_ok()


def make_frame(body, flag=0):
    return bytes([flag]) + len(body).to_bytes(4, "big") + body


async def send_malformed_messages(host, port):
    good = messages.encode(make_digest("a"))
    mistyped = msgspec.msgpack.encode({"instance": 1})
    truncated = make_frame(good)[:-1]
    malformed_frames = [make_frame(body) for body in (b"", b"\xc1", mistyped)]
    async with grpclib.client.Channel(host, port, codec=wire.Codec()) as channel:
        for data in (b"", truncated, make_frame(good, flag=1), *malformed_frames):
            with pytest.raises(grpclib.exceptions.GRPCError) as caught:
                await send_data(channel, data)
            assert caught.value.status is grpclib.const.Status.INVALID_ARGUMENT


async def send_data(channel, data):
    unary = grpclib.const.Cardinality.UNARY_UNARY
    call = channel.request(peers.EXCHANGE_PATH, unary, None, messages.Digest)
    async with call as stream:
        await stream.send_request()
        await stream._stream.send_data(data, end_stream=True)
        await stream.recv_initial_metadata()


async def test_forward_replaces_idle_connection():
    """Guards against a request lost on an idle connection that died unnoticed."""
    async with open_nursery() as nursery:
        _, address, *_ = await start(nursery)
        client = make_client(address)
        await client.exchange(make_digest("b"))
        connection = client._connection
        await client.forward(make_request())
        assert client._connection is connection
        connection.last_active_at = connection.opened_at = (
            trio.current_time() - 2 * peers.CONNECTION_LIVE_S
        )
        assert (await client.forward(make_request())).is_ok()
        assert client._connection is not connection
        assert not connection.channel._connected
