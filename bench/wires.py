"""Processor time, bytes and memory of exchanges over loopback connections."""

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

EXCHANGES = 50
"""Exchanges in one repeat."""

REPEATS = 5
CONNECTIONS = 40
"""Connections and links opened at once to measure the memory of one."""

TIMEOUT_S = 10.0
_REQUEST_BYTES_MAX = 2048


class Exchange(typing.NamedTuple):
    """Cost of one exchange on an open connection.

    Attributes
    ----------
    cpu_s : float
        Processor time in seconds, median of the repeats.
    wall_s : float
        Time of one exchange in seconds, mean of all.
    sent_bytes, received_bytes : float
        Payload of TCP in bytes, without headers of TCP and IP.
    connection_bytes : float
        Memory of one open connection, in bytes.
    """

    cpu_s: float
    wall_s: float
    sent_bytes: float
    received_bytes: float
    connection_bytes: float


class _Counts:
    """Bytes that a server took and gave."""

    def __init__(self) -> None:
        self.taken = 0
        self.given = 0


# Backend servers.


def measure_http() -> Exchange:
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
    counts = _Counts()
    with contextlib.closing(socket.create_server(("127.0.0.1", 0))) as listener:
        thread = threading.Thread(
            target=_serve_fixed, args=(listener, reply, counts), daemon=True
        )
        thread.start()
        host, port = listener.getsockname()
        return trio.run(_measure_http, f"{host}:{port}", headers, counts)


def _serve_fixed(listener: socket.socket, reply: bytes, counts: _Counts) -> None:
    while True:
        try:
            connection, _ = listener.accept()
        except OSError:
            return
        threading.Thread(
            target=_answer_fixed, args=(connection, reply, counts), daemon=True
        ).start()


def _answer_fixed(connection: socket.socket, reply: bytes, counts: _Counts) -> None:
    with connection, contextlib.suppress(OSError):
        # Each request arrives in one piece, since it is sent in one and is small.
        while data := connection.recv(_REQUEST_BYTES_MAX):
            counts.taken += len(data)
            connection.sendall(reply)
            counts.given += len(reply)


async def _measure_http(
    address: str, headers: dict[str, str], counts: _Counts
) -> Exchange:
    client = httpclient.PooledClient(lambda _: CONNECTIONS)
    call = events.SendToServer(
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
        replied = await client.exchange(call)
        if not isinstance(replied, httpclient.Reply):
            raise RuntimeError(f"exchange failed: {replied.cause.value}")

    await exchange()
    measured = await _repeat(exchange, counts, time.thread_time)
    connection_bytes = await _measure_memory(
        lambda nursery, number: nursery.start_soon(exchange)
    )
    client.close_idle(address)
    return Exchange(*measured, connection_bytes)


async def _repeat(
    exchange: typing.Callable[[], typing.Awaitable[None]],
    counts: _Counts,
    clock: typing.Callable[[], float],
) -> tuple[float, float, float, float]:
    """Return processor time, time and payload in both directions of an exchange."""
    times = []
    began = trio.current_time()
    counts.taken = counts.given = 0
    for _ in range(REPEATS):
        started = clock()
        for _ in range(EXCHANGES):
            await exchange()
        times.append((clock() - started) / EXCHANGES)
    total = REPEATS * EXCHANGES
    wall_s = (trio.current_time() - began) / total
    cpu_s = statistics.median(times)
    return cpu_s, wall_s, counts.taken / total, counts.given / total


async def _measure_memory(
    start: typing.Callable[[trio.Nursery, int], None],
) -> float:
    """Return the memory that each of `CONNECTIONS` starts leaves behind."""
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


class _FixedPeer(peers.PeerHandlers):
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


def measure_peers(digest: messages.Digest) -> Exchange:
    """Measure one digest exchange, both ends of the link in this process.

    A daemon sends as many digests as it answers, so the time of both ends is its
    time for one exchange of its own and one of a peer. Likewise, the memory is that
    of a link that it opened and of one that a peer opened.

    Parameters
    ----------
    digest : messages.Digest
        Digest sent in both directions.
    """
    return trio.run(_measure_peers, digest)


async def _measure_peers(digest: messages.Digest) -> Exchange:
    counts = _Counts()
    async with wire.open_loop(lambda _: None), trio.open_nursery() as nursery:
        server = peers.PeerServer(_FixedPeer(digest))
        address = await nursery.start(server.serve, "127.0.0.1:0")
        client = peers.PeerClient(address, random.Random(1))
        cpu_s, wall_s, _, _ = await _exchange_digests(client, digest, counts)
        client.close()
        relay = await nursery.start(_relay, address, counts)
        relayed = peers.PeerClient(relay, random.Random(1))
        _, _, taken, given = await _exchange_digests(relayed, digest, counts)
        relayed.close()
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
    return Exchange(cpu_s, wall_s, taken, given, link_bytes)


async def _exchange_digests(
    client: peers.PeerClient, digest: messages.Digest, counts: _Counts
) -> tuple[float, float, float, float]:
    async def exchange() -> None:
        (await client.exchange(digest)).unwrap()

    await exchange()
    return await _repeat(exchange, counts, time.process_time)


async def _relay(
    target: str,
    counts: _Counts,
    task_status: trio.TaskStatus[str] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Pass one connection on to a server and count its bytes."""
    host, _, port = target.rpartition(":")
    listener = (await trio.open_tcp_listeners(0, host=host))[0]
    task_status.started(f"{host}:{listener.socket.getsockname()[1]}")

    async def pass_on(
        source: trio.SocketStream, sink: trio.SocketStream, is_request: bool
    ) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            async for data in source:
                counts.taken += len(data) if is_request else 0
                counts.given += 0 if is_request else len(data)
                await sink.send_all(data)

    async with (
        await listener.accept() as caller,
        await trio.open_tcp_stream(host, int(port)) as server,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(pass_on, server, caller, False)
        await pass_on(caller, server, True)
        nursery.cancel_scope.cancel()
