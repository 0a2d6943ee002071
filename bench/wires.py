"""Measures processor time, bytes and memory of exchanges over loopback connections."""

import contextlib
import gc
import random
import socket
import statistics
import threading
import time
import tracemalloc
import typing

import trio

from acacialatch import events, httpclient, messages, peers, wire
from bench import sizes

EXCHANGES_PER_REPEAT = 50
"""Exchanges in one repeat."""

REPEATS = 5
CONNECTIONS = 40
"""Connections or links that are open at once to measure the memory of one."""

TIMEOUT_S = 10.0
_RECEIVE_BYTES = 2048


class ExchangeCosts(typing.NamedTuple):
    """Cost of one exchange on an open connection.

    Attributes
    ----------
    cpu_s : float
        Processor time in seconds, median of the repeats.
    wall_s : float
        Time of one exchange in seconds, mean of all.
    sent_bytes, received_bytes : float
        TCP payload in bytes, seen from the client.
    connection_bytes : float
        Memory of one open connection, in bytes.
    """

    cpu_s: float
    wall_s: float
    sent_bytes: float
    received_bytes: float
    connection_bytes: float


class _ByteCounts:
    """Bytes that a server received and sent."""

    def __init__(self) -> None:
        self.received = 0
        self.sent = 0


# Backend servers.


def measure_http() -> ExchangeCosts:
    """Measure `httpclient.PooledClient` against a server with a fixed reply.

    The server runs in a thread of its own, whose processor time is not counted.
    """
    headers = {
        "x-request-id": "answer-1.1",
        "x-index": "i00",
        "x-index-version": str(sizes.INDEX_VERSION),
        "x-partition-map": "1",
    }
    body = sizes.encode_reply(headers, 0, 1110)
    reply = (
        b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
        b"x-request-id: answer-1.1\r\nx-incarnation: " + b"5e" * 16 + b"\r\n"
        b"x-state: ready\r\nx-index-versions: 7\r\n"
        b"content-length: %d\r\n\r\n" % len(body)
    ) + body
    counts = _ByteCounts()
    with contextlib.closing(socket.create_server(("127.0.0.1", 0))) as listener:
        thread = threading.Thread(
            target=_serve_fixed_reply, args=(listener, reply, counts), daemon=True
        )
        thread.start()
        host, port = listener.getsockname()
        return trio.run(_measure_http, f"{host}:{port}", headers, counts)


def _serve_fixed_reply(
    listener: socket.socket, reply: bytes, counts: _ByteCounts
) -> None:
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        threading.Thread(
            target=_answer_connection, args=(connection, reply, counts), daemon=True
        ).start()


def _answer_connection(
    connection: socket.socket, reply: bytes, counts: _ByteCounts
) -> None:
    with connection, contextlib.suppress(OSError):
        # Each request is small and sent at once, so it is received as a whole.
        while data := connection.recv(_RECEIVE_BYTES):
            counts.received += len(data)
            connection.sendall(reply)
            counts.sent += len(reply)


async def _measure_http(
    address: str, headers: dict[str, str], counts: _ByteCounts
) -> ExchangeCosts:
    client = httpclient.PooledClient(lambda _: CONNECTIONS)
    send = events.SendToServer(
        1,
        address,
        "POST",
        "/query",
        (
            ("content-type", "application/json"),
            *headers.items(),
            ("x-key-ranges", "0-1110"),
            ("x-deadline-ms", "200"),
        ),
        b'{"kind":"full_page","key":null,"limit":100,"body":""}',
        TIMEOUT_S,
    )

    async def exchange() -> None:
        reply = await client.exchange(send)
        if not isinstance(reply, httpclient.Reply):
            raise RuntimeError(f"exchange failed: {reply.cause.value}")

    await exchange()
    measured = await _measure_repeats(exchange, counts, time.thread_time)
    connection_bytes = await _measure_memory(
        lambda nursery, number: nursery.start_soon(exchange)
    )
    client.close_idle(address)
    return ExchangeCosts(*measured, connection_bytes)


async def _measure_repeats(
    exchange: typing.Callable[[], typing.Awaitable[None]],
    counts: _ByteCounts,
    clock: typing.Callable[[], float],
) -> tuple[float, float, float, float]:
    """Return processor time, elapsed time, bytes sent and received per exchange."""
    cpu_times_s = []
    started_at = trio.current_time()
    counts.received = counts.sent = 0
    for _ in range(REPEATS):
        repeat_started_at = clock()
        for _ in range(EXCHANGES_PER_REPEAT):
            await exchange()
        cpu_times_s.append((clock() - repeat_started_at) / EXCHANGES_PER_REPEAT)
    total = REPEATS * EXCHANGES_PER_REPEAT
    wall_s = (trio.current_time() - started_at) / total
    cpu_s = statistics.median(cpu_times_s)
    return cpu_s, wall_s, counts.received / total, counts.sent / total


async def _measure_memory(
    start: typing.Callable[[trio.Nursery, int], None],
) -> float:
    """Return the bytes that stay allocated after each of `CONNECTIONS` calls."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    async with trio.open_nursery() as nursery:
        for number in range(CONNECTIONS):
            start(nursery, number)
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / CONNECTIONS


# Peers.


class _FixedDigestPeer(peers.PeerHandlers):
    def __init__(self, digest: messages.Digest):
        self._digest = digest

    async def exchange(self, digest: messages.Digest) -> messages.Digest:
        return self._digest

    async def fetch_configuration(
        self, request: messages.ConfigurationRequest
    ) -> messages.ConfigurationReply:
        raise NotImplementedError

    async def forward(self, request: messages.ForwardRequest) -> messages.ForwardReply:
        raise NotImplementedError


def measure_peers(digest: messages.Digest) -> ExchangeCosts:
    """Measure one digest exchange with both ends of the link in this process.

    An entry instance answers as many digests as it sends, so the time of both ends is
    its time for one digest sent and one answered. Likewise, the memory is that of a
    link that it opened and one that a peer opened.

    Parameters
    ----------
    digest : messages.Digest
        Digest sent in both directions.
    """
    return trio.run(_measure_peers, digest)


async def _measure_peers(digest: messages.Digest) -> ExchangeCosts:
    counts = _ByteCounts()
    async with wire.open_loop(lambda _: None), trio.open_nursery() as nursery:
        server = peers.PeerServer(_FixedDigestPeer(digest))
        address = await nursery.start(server.serve, "127.0.0.1:0")
        client = peers.PeerClient(address, random.Random(1))
        cpu_s, wall_s, _, _ = await _exchange_digests(client, digest, counts)
        client.close()
        relay_address = await nursery.start(_relay, address, counts)
        relayed_client = peers.PeerClient(relay_address, random.Random(1))
        _, _, received, sent = await _exchange_digests(relayed_client, digest, counts)
        relayed_client.close()
        clients = [
            peers.PeerClient(address, random.Random(number))
            for number in range(CONNECTIONS)
        ]
        link_bytes = await _measure_memory(
            lambda opened, number: opened.start_soon(clients[number].exchange, digest)
        )
        for opened in clients:
            opened.close()
        nursery.cancel_scope.cancel()
    return ExchangeCosts(cpu_s, wall_s, received, sent, link_bytes)


async def _exchange_digests(
    client: peers.PeerClient, digest: messages.Digest, counts: _ByteCounts
) -> tuple[float, float, float, float]:
    async def exchange() -> None:
        (await client.exchange(digest)).unwrap()

    await exchange()
    return await _measure_repeats(exchange, counts, time.process_time)


async def _relay(
    target: str,
    counts: _ByteCounts,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Relay one connection to a server and count its bytes."""
    host, _, port = target.rpartition(":")
    listener = (await trio.open_tcp_listeners(0, host=host))[0]
    task_status.started(f"{host}:{listener.socket.getsockname()[1]}")

    async def copy_data(
        source: trio.SocketStream, sink: trio.SocketStream, is_request: bool
    ) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            async for data in source:
                counts.received += len(data) if is_request else 0
                counts.sent += 0 if is_request else len(data)
                await sink.send_all(data)

    async with (
        await listener.accept() as caller,
        await trio.open_tcp_stream(host, int(port)) as server,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(copy_data, server, caller, False)
        await copy_data(caller, server, True)
        nursery.cancel_scope.cancel()
