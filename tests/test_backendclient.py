"""Tests for acacialatch.backendclient, over loopback sockets."""

import contextlib
import functools
import random
import resource
import socket

import pytest
import trio

from acacialatch import backendclient, forwarding, framing

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


class IdentityProtocol(FixedRequestProtocol):
    """Takes the body of a reply for the identifier of its request."""

    def decode(self, send, status, fields, body):
        if body.decode() != send.request.identity:
            return forwarding.SendFailure(forwarding.FailureKind.OTHER_REQUEST)
        return forwarding.Reply(status, "s", (), body)


async def send_endlessly(stream, start, repeated):
    """Answer the first request with bytes that have no end, until the client closes."""
    async with stream:
        await stream.receive_some(65536)
        with contextlib.suppress(trio.BrokenResourceError):
            await stream.send_all(start)
            while True:
                await stream.send_all(repeated)


async def serve_once(nursery, handler):
    """Return the address of a server that handles each connection by itself."""
    (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, handler, [listener])
    return f"127.0.0.1:{listener.socket.getsockname()[1]}"


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


def make_send(number, address, needs_live_connection=False, identity="r"):
    request = forwarding.Request(identity, "a", "GET", "/", "/", (), b"", 1.0)
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


HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = HEAD + b"transfer-encoding: chunked\r\n\r\n"


@pytest.mark.parametrize(
    ("start", "repeated"),
    [
        (b"", b"\xf0" * 40_000),
        (b"", b"\r\n" * 20_000),
        (HEAD + b"a: ", b"x" * 40_000),
        (HEAD, b"a: b\r\n" * 5_000),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
        (HEAD + b"\r\n", b"x" * 40_000),
        (HEAD + b"content-length: 99999999999\r\n\r\n", b"x" * 40_000),
        (CHUNKED_HEAD + b"1;", b"x" * 40_000),
        (CHUNKED_HEAD + b"0\r\na: ", b"x" * 40_000),
        (CHUNKED_HEAD, b"1\r\nx\r\n" * 6_000),
    ],
    ids=[
        "no HTTP",
        "empty lines",
        "field value",
        "fields",
        "interim replies",
        "body without length",
        "body",
        "chunk extension",
        "trailer",
        "small chunks",
    ],
)
async def test_endless_reply_is_given_up(nursery, start, repeated):
    """Guards against a server whose reply has no end and takes memory and time."""
    handler = functools.partial(send_endlessly, start=start, repeated=repeated)
    address, collector = await serve_once(nursery, handler), OutcomeCollector()
    client = backendclient.BackendClient(FixedRequestProtocol(), collector, nursery)
    client.send(make_send(1, address))
    other = BackendStandIn(nursery)
    await other.serve([COMPLETE_REPLY])
    client.send(make_send(2, other.address))
    outcomes = dict([await collector.next(), await collector.next()])
    assert outcomes[1].kind is forwarding.FailureKind.MALFORMED_REPLY
    assert outcomes[2].body == b"ok"
    assert client.connections == 1


async def test_chunks_without_end_leave_the_event_loop_to_others(nursery):
    """Guards against replies in one-byte chunks that hold up all other requests.

    Each was given up only after millions of chunks, and several of them kept sound
    requests waiting for seconds beyond their deadlines.
    """
    handler = functools.partial(
        send_endlessly, start=CHUNKED_HEAD, repeated=b"1\r\nx\r\n" * 6_000
    )
    address, collector = await serve_once(nursery, handler), OutcomeCollector()
    client = backendclient.BackendClient(FixedRequestProtocol(), collector, nursery)
    chunks = 0

    def count_chunk(number, body_bytes):
        nonlocal chunks
        chunks += 1
        return check_chunks(number, body_bytes)

    check_chunks = framing.check_chunks
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(framing, "check_chunks", count_chunk)
        for number in range(10):
            client.send(make_send(number, address))
        for _ in range(10):
            outcome = (await collector.next())[1]
            assert outcome.kind is forwarding.FailureKind.MALFORMED_REPLY
    most = framing.CHUNKS_FREE + 1
    most += most // (framing.CHUNK_BYTES_MIN - 1)
    assert 10 <= chunks <= 10 * most


@pytest.mark.parametrize(
    ("chunk_bytes", "count"), [(1, 4_000), (16, 20_000), (1000, 2_000)]
)
async def test_reply_in_many_chunks_is_whole(nursery, chunk_bytes, count):
    """Guards against a bound on chunks that refuses a sound reply."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    reply = CHUNKED_HEAD + count * chunk + b"0\r\n\r\n"
    outcomes, _, _ = await exchange_in_turn(nursery, [reply])
    assert outcomes[0].body == b"x" * chunk_bytes * count


async def test_endless_bytes_after_a_reply_close_the_connection(nursery):
    """Guards against bytes after a complete reply that are collected without end."""
    handler = functools.partial(
        send_endlessly, start=COMPLETE_REPLY, repeated=b"x" * 40_000
    )
    address, collector = await serve_once(nursery, handler), OutcomeCollector()
    client = backendclient.BackendClient(FixedRequestProtocol(), collector, nursery)
    client.send(make_send(1, address))
    assert (await collector.next())[1].body == b"ok"
    with trio.fail_after(5):
        while client.connections:
            await trio.sleep(0.001)


async def test_replies_in_progress_share_one_limit(nursery, monkeypatch):
    """Guards against many large replies that together exceed the memory."""
    monkeypatch.setattr(backendclient, "REPLIES_BYTES_MAX", 1 << 20)
    start = HEAD + b"content-length: 7000000\r\n\r\n"
    handler = functools.partial(send_endlessly, start=start, repeated=b"x" * 40_000)
    left = []

    class CountingCollector(OutcomeCollector):
        def handle_failure(self, number, failure):
            # Another reply may be given up before the test sees this outcome.
            left.append(client.connections)
            super().handle_failure(number, failure)

    address, collector = await serve_once(nursery, handler), CountingCollector()
    client = backendclient.BackendClient(FixedRequestProtocol(), collector, nursery)
    for number in range(5):
        client.send(make_send(number, address))
    for _ in range(4):
        _, failure = await collector.next()
        assert failure.kind is forwarding.FailureKind.MALFORMED_REPLY
    assert left[:4] == [4, 3, 2, 1]


async def test_heads_without_end_share_the_limit_of_replies(nursery, monkeypatch):
    """Guards against heads that together exceed the memory, each within its limit."""
    head_bytes, sends = 60_000, 40
    monkeypatch.setattr(backendclient, "REPLIES_BYTES_MAX", 1 << 20)

    async def stall_in_head(stream):
        async with stream:
            await stream.receive_some(65536)
            await stream.send_all(HEAD + b"a: " + b"x" * head_bytes)
            await trio.sleep_forever()

    address, collector = await serve_once(nursery, stall_in_head), OutcomeCollector()
    client = backendclient.BackendClient(FixedRequestProtocol(), collector, nursery)
    for number in range(sends):
        client.send(make_send(number, address))
    given_up = sends - backendclient.REPLIES_BYTES_MAX // head_bytes
    for _ in range(given_up):
        _, failure = await collector.next()
        assert failure.kind is forwarding.FailureKind.MALFORMED_REPLY
    assert client.connections == sends - given_up


async def test_trailer_is_no_header_field(nursery):
    """Guards against a trailer that claims that the request has not run."""
    seen = []

    class FieldProtocol(FixedRequestProtocol):
        def decode(self, send, status, fields, body):
            seen.extend(fields)
            return forwarding.Reply(status, "s", (), body)

    reply = CHUNKED_HEAD + b"2\r\nok\r\n0\r\nx-not-run: 1\r\n\r\n"
    backend, collector = BackendStandIn(nursery), OutcomeCollector()
    await backend.serve([reply])
    client = backendclient.BackendClient(FieldProtocol(), collector, nursery)
    client.send(make_send(1, backend.address))
    assert (await collector.next())[1].body == b"ok"
    assert [name for name, _ in seen] == [b"transfer-encoding"]


def make_reply(body):
    return HEAD + b"content-length: %d\r\n\r\n" % len(body) + body


@pytest.mark.parametrize("extra", [1, backendclient.EXTRA_REPLIES_MAX])
async def test_late_replies_to_earlier_requests_are_skipped(nursery, extra):
    """Guards against the answer of another request, and a loss of the own one."""
    backend, collector = BackendStandIn(nursery), OutcomeCollector()
    late = make_reply(b"a") * extra
    await backend.serve([make_reply(b"a"), late + make_reply(b"b"), make_reply(b"c")])
    client = backendclient.BackendClient(IdentityProtocol(), collector, nursery)
    for number, identity in enumerate("abc"):
        client.send(make_send(number, backend.address, identity=identity))
        assert (await collector.next())[1].body == identity.encode()
    assert client.opened == 1


@pytest.mark.parametrize("extra", [b"a", b"x"])
async def test_many_replies_to_other_requests_fail_the_send(nursery, extra):
    """Guards against a server out of step that is trusted with the next request."""
    backend, collector = BackendStandIn(nursery), OutcomeCollector()
    late = make_reply(extra) * (backendclient.EXTRA_REPLIES_MAX + 1)
    await backend.serve([make_reply(b"a"), late + make_reply(b"b")])
    client = backendclient.BackendClient(IdentityProtocol(), collector, nursery)
    client.send(make_send(1, backend.address, identity="a"))
    await collector.next()
    client.send(make_send(2, backend.address, identity="b"))
    failure = (await collector.next())[1]
    assert failure.kind is forwarding.FailureKind.OTHER_REQUEST
    assert client.connections == 0


async def test_reply_after_a_late_one_is_delivered(nursery):
    """Guards against a request that fails because of an extra reply before its own."""

    async def reply_late(stream):
        await stream.receive_some(65536)
        await stream.send_all(make_reply(b"a"))
        await stream.receive_some(65536)
        await stream.send_all(make_reply(b"a"))
        await trio.sleep(0.02)
        await stream.send_all(make_reply(b"b"))
        await trio.sleep_forever()

    address, collector = await serve_once(nursery, reply_late), OutcomeCollector()
    client = backendclient.BackendClient(IdentityProtocol(), collector, nursery)
    for number, identity in enumerate("ab"):
        client.send(make_send(number, address, identity=identity))
        assert (await collector.next())[1].body == identity.encode()
    assert client.opened == 1


@pytest.mark.parametrize("address", ["127.0.0.1:99999", "127.0.0.1:port", "no host:1"])
async def test_address_that_cannot_be_used_fails_only_its_send(nursery, address):
    """Guards against a registration that ends the process."""
    collector = OutcomeCollector()
    client = backendclient.BackendClient(FixedRequestProtocol(), collector, nursery)
    client.send(make_send(1, address))
    assert (await collector.next())[1].kind is forwarding.FailureKind.NOT_SENT


class FailingProtocol(FixedRequestProtocol):
    """Raises unexpected exceptions."""

    def decode(self, send, status, fields, body):
        raise RuntimeError("defect")


class FailingReceiver(backendclient.Receiver):
    """Raises unexpected exceptions."""

    def handle_reply(self, number, reply):
        raise RuntimeError("defect")

    def handle_failure(self, number, failure):
        raise RuntimeError("defect")


async def test_unexpected_error_fails_only_its_send(nursery):
    """Guards against an exception in one reply that ends the process."""
    backend, collector = BackendStandIn(nursery), OutcomeCollector()
    await backend.serve([COMPLETE_REPLY])
    seen = []
    client = backendclient.BackendClient(
        FailingProtocol(), collector, nursery, seen.append
    )
    client.send(make_send(1, backend.address))
    failure = (await collector.next())[1]
    assert failure.kind is forwarding.FailureKind.CONNECTION_LOST
    client = backendclient.BackendClient(
        FixedRequestProtocol(), FailingReceiver(), nursery, seen.append
    )
    client.send(make_send(2, backend.address))
    with trio.fail_after(5):
        while len(seen) < 2:
            await trio.sleep(0.001)


class FirstLineProtocol(IdentityProtocol):
    """Takes the status of a reply for its outcome, and the body for its request."""

    KINDS = {
        503: forwarding.FailureKind.SHED,
        421: forwarding.FailureKind.WRONG_SERVER,
        429: forwarding.FailureKind.CONNECTION_LOST,
    }

    def encode(self, send):
        return f"GET /{send.request.identity} HTTP/1.1\r\nhost: a\r\n\r\n".encode()

    def decode(self, send, status, fields, body):
        outcome = super().decode(send, status, fields, body)
        if isinstance(outcome, forwarding.Reply) and status in self.KINDS:
            return forwarding.SendFailure(self.KINDS[status])
        return outcome


class RepeatingServer:
    """Answers with given statuses in turn; the first reply comes once more, late.

    Attributes
    ----------
    received : list of list of str
        Identifiers of the requests on each connection.
    """

    def __init__(self, statuses):
        self._statuses = iter(statuses)
        self.received = []

    async def serve(self, stream):
        received = []
        self.received.append(received)
        late_copy = b""
        async with stream:
            while data := await stream.receive_some(65536):
                identity = data.split()[1].removeprefix(b"/")
                received.append(identity.decode())
                status = next(self._statuses, 200)
                head = f"HTTP/1.1 {status} x\r\ncontent-length: {len(identity)}"
                reply = head.encode() + b"\r\n\r\n" + identity
                await stream.send_all(late_copy + reply)
                late_copy = b"" if len(received) > 1 else reply


@pytest.mark.parametrize("status", [*FirstLineProtocol.KINDS, 500])
async def test_late_copy_is_not_taken_for_the_answer_to_a_second_attempt(
    nursery, status
):
    """Guards against a request that runs twice, or is refused although it runs.

    A replica rejected a request, was sent it again on the same connection, and sent
    its rejection once more while it ran the request.
    """
    server = RepeatingServer([status])
    address = await serve_once(nursery, server.serve)
    collector = OutcomeCollector()
    client = backendclient.BackendClient(FirstLineProtocol(), collector, nursery)
    outcomes = []
    for number, identity in enumerate(["r", "r", "s"]):
        client.send(make_send(number, address, identity=identity))
        outcomes.append((await collector.next())[1])
    assert outcomes[0] != outcomes[1]
    assert [one.status for one in outcomes[1:]] == [200, 200]
    assert server.received == [["r"], ["r", "s"]]
    assert (client.opened, client.passed_over) == (2, 1)


async def test_connection_that_answered_a_request_carries_others(nursery):
    """Guards against a new connection for each request after a rejection."""
    server = RepeatingServer([503])
    address = await serve_once(nursery, server.serve)
    collector = OutcomeCollector()
    client = backendclient.BackendClient(FirstLineProtocol(), collector, nursery)
    for number, identity in enumerate(["r", "s", "t"]):
        client.send(make_send(number, address, identity=identity))
        await collector.next()
    assert server.received == [["r", "s", "t"]]


async def test_no_connection_carries_a_request_twice(nursery):
    """Guards against any order of rejections in which replies become ambiguous."""
    source = random.Random(7)
    server = RepeatingServer(source.choice([200, 503, 421, 500]) for _ in range(300))
    address = await serve_once(nursery, server.serve)
    collector = OutcomeCollector()
    client = backendclient.BackendClient(FirstLineProtocol(), collector, nursery)
    waiting = [f"r{number}" for number in range(60)]
    for number in range(300):
        if not waiting:
            break
        identity = source.choice(waiting[:4])
        client.send(make_send(number, address, identity=identity))
        outcome = (await collector.next())[1]
        if isinstance(outcome, forwarding.Reply) and outcome.status == 200:
            waiting.remove(identity)
    for received in server.received:
        assert len(received) == len(set(received))


async def test_connections_stay_within_the_share_when_idle_ones_are_unusable(nursery):
    """Guards against more connections than allowed, for requests sent again."""
    server = RepeatingServer([503] * 20)
    address = await serve_once(nursery, server.serve)
    collector = OutcomeCollector()
    client = backendclient.BackendClient(FirstLineProtocol(), collector, nursery)
    for number in range(12):
        client.send(make_send(number, address))
        await collector.next()
        assert client.connections <= make_send(0, address).connections_max
    assert client.opened == 12


async def test_connection_forgets_requests_that_cannot_be_sent_again(
    nursery, monkeypatch
):
    """Guards against memory that grows with the rejections on a connection."""
    monkeypatch.setattr(backendclient, "ANSWERED_MAX", 3)
    server = RepeatingServer([503] * 20)
    address = await serve_once(nursery, server.serve)
    collector = OutcomeCollector()
    client = backendclient.BackendClient(FirstLineProtocol(), collector, nursery)
    for number in range(8):
        client.send(make_send(number, address, identity=f"r{number}"))
        await collector.next()
    assert [len(received) for received in server.received] == [4, 4]
    client.send(make_send(8, address, identity="s")._replace(timeout_s=0.0))
    await collector.next()
    client.send(make_send(9, address, identity="t"))
    await collector.next()
    assert server.received[-1] == ["s", "t"]


@contextlib.contextmanager
def use_up_descriptors():
    """Let the process open no further descriptor within the block."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with contextlib.ExitStack() as held:
        probe = held.enter_context(socket.socket())
        resource.setrlimit(resource.RLIMIT_NOFILE, (probe.fileno() + 1, hard))
        with contextlib.suppress(OSError):
            while True:
                held.enter_context(socket.socket())
        try:
            yield
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


async def test_send_without_a_descriptor_fails_and_lets_the_next_ones_go_on(nursery):
    """Guards against actions that are lost when descriptors are used up.

    The exception ended the series of actions that contained the send, so that other
    requests of the series never got an outcome.
    """
    collector = OutcomeCollector()
    client = backendclient.BackendClient(FixedRequestProtocol(), collector, nursery)
    with use_up_descriptors():
        for number in range(3):
            client.send(make_send(number, "127.0.0.1:9"))
        outcomes = [await collector.next() for _ in range(3)]
    assert sorted(number for number, _ in outcomes) == [0, 1, 2]
    for _, failure in outcomes:
        assert failure.kind is forwarding.FailureKind.NOT_SENT
        assert "Too many open files" in failure.detail
    assert client.connections == 0


async def test_send_cancelled_before_it_connects_opens_no_connection(nursery):
    """Guards against a request that is sent although it was cancelled."""
    backend, collector = BackendStandIn(nursery), OutcomeCollector()
    await backend.serve([COMPLETE_REPLY])
    client = backendclient.BackendClient(FixedRequestProtocol(), collector, nursery)
    client.send(make_send(1, backend.address))
    client.cancel(1)
    await trio.sleep(0.05)
    assert backend.accepted == []
    assert client.connections == 0
