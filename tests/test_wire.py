"""Tests for acacialatch.wire; test_peers covers its message handling."""

import collections
import logging
import socket

import trio
import trio_asyncio

from acacialatch import wire


async def test_errors_without_a_task_are_reported(caplog):
    """Guards against a callback error that ends the process, and library log output."""
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


async def test_server_disables_nagle():
    """Guards against replies delayed by 40 ms by Nagle's algorithm."""
    options = []

    class Server(wire.Server):
        def _protocol_factory(self):
            protocol = super()._protocol_factory()
            made = protocol.connection_made

            def connection_made(transport):
                made(transport)
                end = transport.get_extra_info("socket")
                level, name = socket.IPPROTO_TCP, socket.TCP_NODELAY
                options.append(end.getsockopt(level, name))
                accepted.set()

            protocol.connection_made = connection_made
            return protocol

    async def serve(listener):
        server = Server(wire.Service({}, collections.Counter(), 1_000), None)
        await server.start(sock=listener)
        return server

    accepted = trio.Event()
    with trio.fail_after(5):
        async with wire.open_loop(options.append):
            listener = wire.bind("127.0.0.1:0")
            host, port = listener.getsockname()
            server = await trio_asyncio.aio_as_trio(serve)(listener)
            async with await trio.open_tcp_stream(host, port):
                await accepted.wait()
            server.close()
            server.close_connections()
    assert options == [1]
