"""Tests for acacialatch.peers, acacialatch.wire and acacialatch.messages."""

import contextlib
import functools
import logging
import random
import socket

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
    """Records the calls; a forward can be held until `release` is set."""

    def __init__(self, name):
        self.name = name
        self.heard = []
        self.entered = trio.Event()
        self.release = trio.Event()
        self.release.set()

    async def exchange(self, digest):
        self.heard.append(digest.instance)
        return make_digest(self.name)

    async def fetch_configuration(self, request):
        text = messages.ConfigurationText(revision=request.revision + 1, text=b"t")
        return messages.ConfigurationReply(configuration=text)

    async def forward(self, request):
        self.heard.append(request.body)
        self.entered.set()
        await self.release.wait()
        if request.body == b"fail":
            raise RuntimeError("handler fails")
        return messages.ForwardReply(kind="", status=200, body=request.body)


class Jitter(random.Random):
    """Gives the lower or the upper end of each range."""

    def __init__(self, upper):
        super().__init__(0)
        self.upper = upper

    def uniform(self, a, b):
        return b if self.upper else a


@contextlib.asynccontextmanager
async def open_nursery():
    """Open the loop and a nursery; no error may reach the loop unattributed."""
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


async def test_calls_go_both_ways():
    """Guards against messages that change on the way, and against crossed peers."""
    async with open_nursery() as nursery:
        _, first, *_ = await start(nursery, "a")
        _, second, *_ = await start(nursery, "b")
        to_first, to_second = make_client(first), make_client(second)
        assert (await to_second.exchange(make_digest("a"))).unwrap().instance == "b"
        assert (await to_first.exchange(make_digest("b"))).unwrap().instance == "a"
        asked = messages.ConfigurationRequest(revision=4, digest="")
        reply = (await to_first.fetch_configuration(asked)).unwrap()
        assert reply.configuration.revision == 5
        body = bytes(range(256)) * 4_000
        assert (await to_first.forward(make_request(body=body))).unwrap().body == body


async def test_peer_that_is_killed_and_comes_back():
    """Guards against a link that stays broken, and a forward wrongly called not run.

    Two calls that fail with one connection count as one failure.
    """
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
        while len(server._handlers.heard) < 3:
            await trio.lowlevel.checkpoint()
        scope.cancel()
        await stopped.wait()
        await answered.wait()
        assert [answer.unwrap_err().kind for answer in answers] == [UNKNOWN] * 2
        assert client._failures == 1
        assert (await client.forward(make_request())).unwrap_err().kind == NOT_SENT
        assert (await slow.forward(make_request())).unwrap_err().kind == NOT_SENT
        await start(nursery, "again", address)
        assert (await client.exchange(make_digest("b"))).unwrap().instance == "again"
        waiting = (await slow.exchange(make_digest("b"))).unwrap_err()
        assert waiting == errors.LinkFailure(NOT_SENT, "waiting to reconnect")


async def test_peer_that_does_not_accept():
    """Guards against a connect without end, and a booking then called unknown."""
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


async def test_peer_that_accepts_and_never_answers():
    """Guards against calls without end and against reuse of a silent connection."""
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
        asked = messages.ConfigurationRequest(revision=4, digest="")
        for _ in range(2):
            answer = await client.fetch_configuration(asked)
            assert answer.unwrap_err().kind == UNKNOWN
        assert len(accepted) == 4


async def test_oversized_messages():
    """Guards against memory filled by a peer, and a call lost beside the refusal."""
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
        assert server._handlers.heard == [b"booking"]


class LargeReplies(Handlers):
    """Answers a forward with more than was asked."""

    async def forward(self, request):
        return messages.ForwardReply(kind="", status=200, body=bytes(5_000))


async def test_oversized_reply_is_unknown():
    """Guards against a request that ran and is reported as not run."""
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
    """Guards against a handler that fails halfway and is reported as not run."""
    async with open_nursery() as nursery:
        server, address, *_ = await start(nursery)
        failure = await make_client(address).forward(make_request(body=b"fail"))
        assert failure.unwrap_err().kind == UNKNOWN
        assert server.refused == {"handler": 1}


GARBAGE = [
    b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    bytes(range(256)) * 64,
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + b"\x00\x00\x04\x01\x05\x00\x00\x00\x01abcd",
]


async def test_garbage_is_refused_beside_other_calls():
    """Guards against bytes from one sender that end the process or other calls."""
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
        for garbage in GARBAGE:
            stream = await trio.open_tcp_stream(host, port)
            await stream.send_all(garbage)
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
        assert server.refused == {"bytes": len(GARBAGE)}
        await trio_asyncio.aio_as_trio(_send_malformed)(host, port)
        assert server.refused["malformed"] == 6
        server._handlers.release.set()
        await answered.wait()
        assert answers[0].is_ok()


def make_frame(body, flag=0):
    return bytes([flag]) + len(body).to_bytes(4, "big") + body


async def _send_malformed(host, port):
    good = messages.encode(make_digest("a"))
    wrong = msgspec.msgpack.encode({"instance": 1})
    truncated = make_frame(good)[:-1]
    whole = [make_frame(body) for body in (b"", b"\xc1", wrong)]
    async with grpclib.client.Channel(host, port, codec=wire.Codec()) as channel:
        for data in (b"", truncated, make_frame(good, flag=1), *whole):
            with pytest.raises(grpclib.exceptions.GRPCError) as caught:
                await _send_data(channel, data)
            assert caught.value.status is grpclib.const.Status.INVALID_ARGUMENT


async def _send_data(channel, data):
    unary = grpclib.const.Cardinality.UNARY_UNARY
    call = channel.request(peers.EXCHANGE_PATH, unary, None, messages.Digest)
    async with call as stream:
        await stream.send_request()
        await stream._stream.send_data(data, end_stream=True)
        await stream.recv_initial_metadata()


async def test_forward_avoids_a_connection_not_heard_from():
    """Guards against a booking lost on a pooled connection that died unnoticed."""
    async with open_nursery() as nursery:
        _, address, *_ = await start(nursery)
        client = make_client(address)
        await client.exchange(make_digest("b"))
        line = client._line
        await client.forward(make_request())
        assert client._line is line
        line.heard_at = line.opened_at = trio.current_time() - 2 * peers.FRESH_S
        assert (await client.forward(make_request())).is_ok()
        assert client._line is not line
        assert not line.channel._connected


async def test_errors_without_a_task_are_reported(caplog):
    """Guards against a callback error that ends the process, and against log output."""
    reports = []
    async with wire.open_loop(reports.append):
        loop = trio_asyncio.current_loop.get()
        called = trio.Event()
        loop.call_soon(lambda: 1 / 0)
        loop.call_soon(called.set)
        loop.call_exception_handler({"message": "plain"})
        await called.wait()
        logging.getLogger("grpclib.server").error("not printed")
    assert reports[0] == "plain: None"
    assert "ZeroDivisionError" in reports[1]
    assert caplog.records == []


def test_messages_are_checked():
    """Guards against negative, unordered or oversized values taken from a peer."""
    good = msgspec.structs.asdict(make_digest("a"))
    nan = float("nan")
    wrong = ("revision", -1), ("service_age_s", nan), ("zone", "z" * 257)
    for field, value in (*wrong, ("service_age_s", -1.0), ("facts", 3)):
        data = msgspec.msgpack.encode({**good, field: value})
        with pytest.raises(msgspec.MsgspecError):
            messages.decode(data, messages.Digest)
    never = msgspec.structs.replace(make_digest("a"), service_age_s=float("inf"))
    assert messages.decode(messages.encode(never), messages.Digest) == never


async def test_accepted_connections_send_at_once(monkeypatch):
    """Guards against answers that wait for an acknowledgement of earlier data."""
    accepted = []
    made = wire.Server._protocol_factory

    def make(server):
        protocol = made(server)
        connect = protocol.connection_made

        def connection_made(transport):
            accepted.append(transport.get_extra_info("socket"))
            connect(transport)

        protocol.connection_made = connection_made
        return protocol

    monkeypatch.setattr(wire.Server, "_protocol_factory", make)
    async with open_nursery() as nursery:
        _, address, *_ = await start(nursery)
        (await make_client(address).exchange(make_digest("b"))).unwrap()
        (connection,) = accepted
        assert connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) == 1
